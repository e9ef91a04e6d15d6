"""Requests of an item wait for the last byte of a large answer, in whichever process and however it ends."""

from __future__ import annotations

import signal
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from ..support.faulty_process import HOST, ListService, ThreadedNode, read_head, wait_until
from ..support.gateway_processes import GatewayProcesses, put_request
from ..support.pressed_gateway import get_request

PIECE_BYTES, PIECES = 40_000, 24
PIECE_GAP_S = 0.08  # 960 kB over 1.9 s
LONG_GAP_S = 0.2  # over 4.8 s: an answer that two processes pass on
QUIET_S = 0.4
SLACK_S = 0.01  # by which a thread of the node may note its times late
ITEM = 5


class SlowNode(ThreadedNode):
    """Writes the answers of reads slowly, and notes when it works on what."""

    def __init__(self, gap_s: float) -> None:
        self.gap_s = gap_s
        self.pieces = PIECES  # after which it breaks off
        self.began: dict[str, float] = {}
        self.ended: dict[str, float] = {}
        super().__init__(0)

    def answer(self, connection: socket.socket, head: dict[str, str]) -> None:
        name = head["request-id"]
        self.began[name] = time.monotonic()
        try:
            if head[""].startswith("PUT"):
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                return
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PIECES * PIECE_BYTES))
            for _ in range(self.pieces):
                connection.sendall(bytes(PIECE_BYTES))
                self.ended[name] = time.monotonic()
                time.sleep(self.gap_s)
            if self.pieces < PIECES:
                connection.shutdown(socket.SHUT_RDWR)
        finally:
            self.ended.setdefault(name, time.monotonic())


@dataclass(eq=False)
class Exchange:
    """A request on a connection of its own, and what came of it."""

    port: int
    message: bytes
    leaves_after_s: float = 0.0  # the client closes amid its answer; 0: it reads all
    status: int = 0
    length: int = 0
    ended: float = 0.0

    def start(self) -> Exchange:
        self.client = socket.create_connection((HOST, self.port), 5.0)
        self.client.settimeout(10.0)
        self.client.sendall(self.message)
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()
        return self

    def _run(self) -> None:
        with suppress(OSError), self.client, self.client.makefile("rb") as stream:
            head = read_head(stream)
            if head is not None:
                self.status = int(head[""].split()[1])
                if self.leaves_after_s:
                    time.sleep(self.leaves_after_s)
                    self.ended = time.monotonic()
                    self.client.shutdown(socket.SHUT_RDWR)
                    return
                self.length = len(stream.read(int(head.get("content-length", "0"))))
        self.ended = time.monotonic()


class Ordered:
    """A gateway with a class that keeps order, and its node."""

    def __init__(self, folder: Path, gap_s: float) -> None:
        self.node = SlowNode(gap_s)
        self.discovery = ListService([self.node])
        changes = {f"categories__{number}__keep_order": "true" for number in (0, 1)}
        changes |= {f"categories__{number}__give_up_us": "8000000" for number in (0, 1)}
        changes |= {"guarantees__key_quiet_us": str(int(QUIET_S * 1e6))}
        self.gateway = GatewayProcesses(folder, self.discovery, changes)
        self.gateway.start_and_await()

    def read(self, name: str, item: int = ITEM, **options: Any) -> Exchange:
        """Start a read, and wait until its answer comes."""
        exchange = Exchange(self.gateway.port, get_request(name, 0, 7.0, block=item), **options).start()
        assert wait_until(lambda: exchange.status == 200, 3.0)
        return exchange

    def write(self, name: str, item: int = ITEM) -> Exchange:
        return Exchange(self.gateway.port, put_request(name, item, 0, 7.0, b"x")).start()

    def replace(self) -> None:
        """Start another process, and end the one before."""
        old = self.gateway.started[-1]
        self.gateway.start_and_await()
        time.sleep(0.1)
        old.send_signal(signal.SIGTERM)

    def after_end_s(self, first: str, second: str) -> float:
        """How long after the end of the one answer the other request began at the node."""
        return self.node.began[second] - self.node.ended[first]


@contextmanager
def ordered(folder: Path, gap_s: float = PIECE_GAP_S) -> Iterator[Ordered]:
    made = Ordered(folder, gap_s)
    try:
        yield made
    finally:
        made.gateway.close()
        made.discovery.close()
        made.node.close()


def finish(*exchanges: Exchange) -> list[int]:
    for exchange in exchanges:
        exchange.thread.join(9.0)
    return [exchange.status for exchange in exchanges]


def test_a_write_waits_for_the_last_byte_of_the_answer_before_it(tmp_path: Path) -> None:
    """Guards against an answer that takes its start for its end, so that it is mixed with a later write."""
    with ordered(tmp_path) as gateway:
        first = gateway.read("read")
        other = gateway.write("other", ITEM + 1)
        assert finish(gateway.write("write"), other, first) == [200, 200, 200]
        assert -SLACK_S <= gateway.after_end_s("read", "write") < QUIET_S / 2, "at once after its last byte"
        assert gateway.after_end_s("read", "other") < -1.0, "another item waits for nothing"


def test_an_answer_that_breaks_off_leaves_its_item_quiet(tmp_path: Path) -> None:
    with ordered(tmp_path) as gateway:
        gateway.node.pieces = 6
        first = gateway.read("read")
        assert finish(gateway.write("write"), first) == [200, 200]
        assert gateway.after_end_s("read", "write") >= QUIET_S - SLACK_S


def test_a_client_that_leaves_amid_its_answer_leaves_its_item_quiet(tmp_path: Path) -> None:
    with ordered(tmp_path) as gateway:
        first = gateway.read("read", leaves_after_s=0.5)
        assert finish(gateway.write("write"), first) == [200, 200]
        assert gateway.node.began["write"] - first.ended >= QUIET_S - SLACK_S


@pytest.mark.parametrize("replacements", [1, 2])
def test_the_turn_goes_with_an_answer_to_the_next_process(tmp_path: Path, replacements: int) -> None:
    """Guards against a write at either process beside an answer that the other one has begun."""
    with ordered(tmp_path, LONG_GAP_S) as gateway:
        first = gateway.read("read")
        at_old = gateway.write("at-old")
        for _ in range(replacements):
            gateway.replace()
            time.sleep(0.2)
        at_new = gateway.write("at-new")
        assert finish(at_old, at_new, first)[2] == 200
        assert first.length == PIECES * PIECE_BYTES
        assert "at-new" in gateway.node.began
        for name in {"at-old", "at-new"} & gateway.node.began.keys():
            assert gateway.after_end_s("read", name) >= -SLACK_S


def test_the_turn_of_an_answer_ends_with_the_process_that_passes_it_on(tmp_path: Path) -> None:
    with ordered(tmp_path, LONG_GAP_S) as gateway:
        first = gateway.read("read")
        gateway.gateway.start_and_await()
        time.sleep(0.5)  # the answer has moved; the old process still decides the order
        killed_at = time.monotonic()
        gateway.gateway.started[-1].kill()
        assert finish(gateway.write("write"), first)[0] == 200
        assert first.length < PIECES * PIECE_BYTES
        assert gateway.node.began["write"] - killed_at >= QUIET_S - SLACK_S
