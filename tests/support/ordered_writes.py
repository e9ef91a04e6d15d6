"""Two processes of one gateway, a slow node, and clients that write the same items; real time and sockets."""

from __future__ import annotations

import random
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path
from typing import Any

from .faulty_process import HOST, ListService, ThreadedNode, read_head
from .gateway_processes import GatewayProcesses, put_request

SERVICE_S = 0.06  # of one write at the node
KEY_QUIET_S = 0.3
TIMEOUT_S = 3.0  # of a write
APART_S = 0.05  # requests are called earlier and later only if they were sent further apart
CLOCK_SLACK_S = 0.002  # a thread of the node may note its times late by this
ANSWER_SLACK_S = 0.3


@dataclass(eq=False)
class Write:
    """One write of an item by a client, and its execution at the node; times are monotonic seconds."""

    name: str
    item: int
    sent: float
    answered: float = 0.0  # 0: the connection ended without an answer
    status: int = 0
    reached: float = 0.0  # the node; 0: never
    executed: float = 0.0


class SlowNode(ThreadedNode):
    """A node that executes each write in SERVICE_S, all of those that have arrived at once."""

    def __init__(self, writes: dict[str, Write]) -> None:
        self._writes = writes
        super().__init__(0)

    def work(self, name: str) -> None:
        write = self._writes[name]
        write.reached = time.monotonic()
        time.sleep(SERVICE_S)
        write.executed = time.monotonic()


@dataclass(eq=False)
class Client:
    """Writes one item again and again; keeps its connection, and opens another one if it ends."""

    port: int
    item: int
    writes: dict[str, Write]
    random: random.Random
    name: str
    _stream: Any = None
    _socket: socket.socket | None = None

    def run(self, going: Callable[[], bool]) -> None:
        number = 0
        while going():
            number += 1
            self._write(f"{self.name}{number:08x}")
            time.sleep(self.random.uniform(0.0, 0.05))

    def _write(self, name: str) -> None:
        write = self.writes[name] = Write(name, self.item, 0.0)
        for _ in range(2):  # a close may cross the request: it is sent once more
            with suppress(OSError):
                if self._socket is None:
                    self._socket = socket.create_connection((HOST, self.port), 2.0)
                    self._socket.settimeout(TIMEOUT_S + 2.0)
                    self._stream = self._socket.makefile("rb")
                self._socket.sendall(put_request(name, self.item, 0, TIMEOUT_S, b"data"))
                write.sent = time.monotonic()
                head = read_head(self._stream)
                if head is not None:
                    self._stream.read(int(head.get("content-length", "0")))
                    write.answered = time.monotonic()
                    write.status = int(head[""].split()[1])
                    if head.get("connection") == "close":
                        self.close()
                    return
            self.close()

    def close(self) -> None:
        if self._socket is not None:
            self._stream.close()
            self._socket.close()
        self._socket = None


@dataclass(eq=False)
class OrderedWrites:
    """The processes, the node and the clients of one test."""

    folder: Path
    writes: dict[str, Write] = field(default_factory=dict)
    _threads: list[threading.Thread] = field(default_factory=list)
    _going: bool = True

    def __post_init__(self) -> None:
        self.node = SlowNode(self.writes)
        self.discovery = ListService([self.node])
        changes = {
            "categories__1__keep_order": "true",
            "guarantees__key_quiet_us": str(int(KEY_QUIET_S * 1e6)),
        }
        self.gateway = GatewayProcesses(self.folder, self.discovery, changes)
        self.port = self.gateway.port
        self.processes = self.gateway.started
        self.start = self.gateway.start
        self.log = self.gateway.log
        self.await_serving = self.gateway.await_serving
        self.start_and_await = self.gateway.start_and_await

    def add_clients(self, count: int, items: int = 2) -> None:
        for _ in range(count):
            number = len(self._threads)
            made = Client(
                self.port, 1 + number % items, self.writes, random.Random(number), f"c{number:02x}-"
            )
            thread = threading.Thread(target=made.run, args=(lambda: self._going,), daemon=True)
            self._threads.append(thread)
            thread.start()

    def finish(self) -> None:
        """Let the clients finish their last writes."""
        self._going = False
        for thread in self._threads:
            thread.join(TIMEOUT_S + 5.0)
            assert not thread.is_alive()

    def close(self) -> None:
        self._going = False
        self.gateway.close()
        self.discovery.close()
        self.node.close()

    # ---- the judge ----

    def served(self) -> list[Write]:
        return [write for write in self.writes.values() if write.status == 200]

    def violations(self) -> list[str]:
        """What breaks the order of an item: two writes at once, or one before an earlier one was executed."""
        found = []
        for item in {write.item for write in self.writes.values()}:
            writes = [write for write in self.writes.values() if write.item == item]
            found += self._at_once([write for write in writes if write.reached])
            found += self._out_of_order([write for write in writes if write.status == 200])
        return found

    @staticmethod
    def _at_once(writes: list[Write]) -> list[str]:
        writes.sort(key=lambda write: write.reached)
        return [
            f"{second.name} reached the node {first.executed - second.reached:.3f} s before the end of"
            f" {first.name}"
            for first, second in pairwise(writes)
            if second.reached < first.executed - CLOCK_SLACK_S
        ]

    @staticmethod
    def _out_of_order(served: list[Write]) -> list[str]:
        return [
            f"{later.name} reached the node {earlier.executed - later.reached:.3f} s before {earlier.name},"
            f" sent {later.sent - earlier.sent:.3f} s earlier, was executed"
            for earlier in served
            for later in served
            if earlier.sent + APART_S < later.sent and later.reached < earlier.executed - CLOCK_SLACK_S
        ]

    def late(self) -> list[str]:
        """The writes whose answer came after their time, or never."""
        return [
            f"{write.name}: {write.status} after {write.answered - write.sent:.3f} s"
            for write in self.writes.values()
            if not write.answered or write.answered - write.sent > TIMEOUT_S + ANSWER_SLACK_S
        ]


@contextmanager
def ordered_writes(folder: Path) -> Iterator[OrderedWrites]:
    """Start one process, and clients that write two items; end all at the end."""
    made = OrderedWrites(folder)
    try:
        made.start_and_await()
        made.add_clients(6)
        time.sleep(0.5)
        yield made
    finally:
        made.close()
