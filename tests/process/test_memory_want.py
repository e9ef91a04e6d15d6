"""While the buffers of a gateway are used up, new work is refused and answers that are read go on."""

from __future__ import annotations

import os
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import pytest

from gaugesail.rehearsal.hostile_clients import Behaviour

from ..support.faulty_process import HOST
from ..support.gateway_processes import put_request
from ..support.pressed_gateway import NODES, PressedGateway, ScriptedNode, get_request

MEMORY_MB = 60
ANSWER_BYTES = 8_000_000
READERS, WRITERS = 8, 120
BODY_BYTES = 60_000
PIECE_BYTES, PIECE_GAP_S = 16_000, 0.25  # of a body that is sent slowly
WORK_S = 0.4  # of a node on a write
PRESSED_S = 8.0
TIMEOUT_S = 3.0


def answer_slowly(connection: socket.socket, head: dict[str, str]) -> None:
    """Answer a read with a long body, and a write after a while."""
    is_read = head[""].startswith("GET")
    if not is_read:
        time.sleep(WORK_S)
    body = bytes(ANSWER_BYTES) if is_read else b"ok"
    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


class Reader:
    """A client that reads a long answer in steps of ``step_bytes`` until ``until``, then at full speed."""

    def __init__(self, port: int, buffer_bytes: int, step_bytes: int, gap_s: float, until: float) -> None:
        self._step_bytes, self._gap_s, self._until = step_bytes, gap_s, until
        self.received = 0
        self.status = 0
        self._client = socket.socket()
        self._client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        self._client.settimeout(10.0)
        self._client.connect((HOST, port))
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        name = os.urandom(8).hex()
        with self._client as client, client.makefile("rb") as stream:
            try:
                client.sendall(get_request(name, 0, TIMEOUT_S, block=int(name[:6], 16)))
                self.status = int(stream.readline().split()[1])
                while stream.readline() != b"\r\n":
                    pass
                while self.received < ANSWER_BYTES and (data := stream.read(self._step_bytes)):
                    self.received += len(data)
                    if time.monotonic() < self._until:
                        time.sleep(self._gap_s)
            except OSError:
                pass


def write_slowly(port: int, shard: int, until: float, statuses: Counter[int]) -> None:
    """Send writes one after another, each in pieces."""
    while time.monotonic() < until:
        name = os.urandom(8).hex()
        message = put_request(name, int(name[:8], 16), shard, TIMEOUT_S, bytes(BODY_BYTES))
        try:
            with socket.create_connection((HOST, port), TIMEOUT_S) as client:
                for start in range(0, len(message), PIECE_BYTES):
                    client.sendall(message[start : start + PIECE_BYTES])
                    time.sleep(PIECE_GAP_S)
                statuses[int(client.recv(64)[9:12] or b"0")] += 1
        except OSError:
            statuses[0] += 1


def start_all(calls: list[Callable[[], None]]) -> list[threading.Thread]:
    threads = [threading.Thread(target=call, daemon=True) for call in calls]
    for thread in threads:
        thread.start()
        time.sleep(0.003)
    return threads


@pytest.mark.parametrize(("buffer_bytes", "step_bytes", "gap_s"), [
    (65_536, 16_000, 0.25), (212_992, 16_000, 0.25), (8_192, 100_000, 1.5), (212_992, 512, 0.05),
], ids=["window of 64 KB", "window of 200 KB", "long rests", "small steps"])  # fmt: skip
def test_answers_that_are_read_slowly_stay_whole_while_bodies_fill_the_buffers(
    tmp_path: Path, buffer_bytes: int, step_bytes: int, gap_s: float
) -> None:
    """Guards against slow readers that are reset for the memory of requests that wait."""
    gateway = PressedGateway(tmp_path, MEMORY_MB, [ScriptedNode(n, answer_slowly) for n in range(NODES)])
    statuses: Counter[int] = Counter()
    try:
        until = time.monotonic() + PRESSED_S
        readers = [Reader(gateway.port, buffer_bytes, step_bytes, gap_s, until) for _ in range(READERS)]
        time.sleep(0.5)
        gateway.play(Behaviour.SLOW_READERS, 20, PRESSED_S)
        start_all([
            lambda n=n: write_slowly(gateway.port, n % NODES, until, statuses)  # type: ignore[misc]
            for n in range(WRITERS)
        ])  # fmt: skip
        for reader in readers:
            reader.thread.join(PRESSED_S + 20)
        peak_mb = gateway.peak_memory_mb
    finally:
        gateway.close()
    assert statuses[503] > 0, f"the buffers were never used up: {statuses}"
    assert [(reader.status, reader.received) for reader in readers] == [(200, ANSWER_BYTES)] * READERS
    assert peak_mb <= MEMORY_MB
