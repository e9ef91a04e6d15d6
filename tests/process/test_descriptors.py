"""Idle clients fill the descriptors of a real process while discovery is down: it keeps what it needs."""

from __future__ import annotations

import json
import os
import re
import resource
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import pytest

from gaugesail.http.management import MAX_CONNECTIONS as MAX_CALLS
from gaugesail.rehearsal import defaults

from ..support.live_head import HEAD, GatewayRig, chunk

ROOT = Path(__file__).parents[2]
AGAIN_S = 2.5  # after failed calls discovery is asked again within that, whatever clients do
HEALTH = b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n"


def until(done: Callable[[], Any], seconds: float = 10.0) -> bool:
    end = time.monotonic() + seconds
    while not (found := done()) and time.monotonic() < end:
        time.sleep(0.002)
    return bool(found)


class Door:
    """An address of the test's that takes connections when it is open."""

    def __init__(self) -> None:
        self.listener, self.ends = socket.socket(), list[socket.socket]()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    def open(self) -> Door:
        self.listener.listen(64)
        return self

    def taken(self) -> socket.socket | None:
        with suppress(BlockingIOError):
            end = self.listener.accept()[0]
            end.settimeout(5.0)
            self.ends.append(end)
            return end
        return None


def read_to(end: socket.socket, what: bytes) -> bytes:
    text = b""
    while what not in text:
        data = end.recv(65536)
        if not data:
            break
        text += data
    return text


class Process:
    """A head of its own with so many descriptors, and its peers."""

    def __init__(self, folder: Path, sockets: int, most: int) -> None:
        self.list, self.bricks = Door(), [Door().open() for _ in range(3)]
        self.phases = ["Ready"] * 3
        self.config: dict[str, Any] = {
            "name": "full", "listen": "127.0.0.1:0", "management": "127.0.0.1:0",
            "discovery": self.list.address, "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": self.listing(2), "settings": defaults.settings(),
        }  # fmt: skip
        path = folder / "head.json"
        path.write_text(json.dumps(self.config))
        self.log = folder / "head.log"
        self.clients: list[socket.socket] = []
        environ = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        with self.log.open("wb") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-m", "gaugesail"], cwd=ROOT, stderr=log,
                env=environ | {"BALANCER_CONFIG": str(path), "TMPDIR": str(folder)},
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (most, most)),
            )  # fmt: skip
        assert until(lambda: "event=listening" in self.said()), self.said()
        found = re.search(r"event=listening address=\S+:(\d+) management=\S+:(\d+)", self.said())
        assert found is not None, self.said()
        self.port, self.calls = int(found[1]), int(found[2])

    def said(self) -> str:
        return self.log.read_text()

    def listing(self, members: int = 3) -> dict[str, Any]:
        lines = [{"id": f"b{n}", "host_port": brick.address, "locality": "", "flavor": "", "cell": n,
                  "phase": self.phases[n], "size": 1.0, "up_since_ms": 0}
                 for n, brick in enumerate(self.bricks[:members])]  # fmt: skip
        return {"revision": 5, "complete": True, "members": lines}

    def client(self, port: int = 0) -> socket.socket:
        client = socket.create_connection(("127.0.0.1", port or self.port), timeout=5.0)
        self.clients.append(client)
        return client

    def fill(self, clients: int, ask: bytes) -> None:
        """So many clients come and stay; nobody reads what they are told."""
        for _ in range(clients):
            client = self.client()
            with suppress(OSError):
                client.sendall(ask)

    @property
    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.child.pid}/fd"))

    def call(self, path: str) -> bytes:
        end = self.client(self.calls)
        end.sendall(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
        return read_to(end, b"\n\r\n\r")[:15]

    def close(self) -> None:
        self.child.kill()
        self.child.wait()
        for end in (*self.clients, self.list.listener, *self.list.ends):
            end.close()
        for brick in self.bricks:
            for end in (brick.listener, *brick.ends):
                end.close()


@contextmanager
def process(folder: Path, sockets: int, most: int) -> Iterator[Process]:
    head = Process(folder, sockets, most)
    try:
        yield head
    finally:
        head.close()


@pytest.mark.parametrize("ask", [b"", HEALTH, HEALTH[:20]], ids=["silent", "asked", "half"])
@pytest.mark.parametrize("sockets", [96, 1024])
def test_discovery_comes_back_to_a_head_full_of_clients(tmp_path: Path, sockets: int, ask: bytes) -> None:
    """The system gives 96, whatever the head was told."""
    with process(tmp_path, sockets, 96) as head:
        kept = [head.client(), head.client()]  # as usual clients do, they have asked before
        for client in kept * 2:
            client.sendall(HEALTH)
            assert read_to(client, b"ok").endswith(b"ok")
        head.fill(200, ask)
        until(lambda: head.descriptors >= 90, 1.0)
        head.fill(60, ask)
        time.sleep(0.5)
        assert b"200 OK" in head.call("/healthcheck")
        head.phases[0] = "Terminating"
        back = time.monotonic()
        head.list.open()
        found: list[socket.socket] = []

        def watched() -> bool:
            if (end := head.list.taken()) is not None and b"follow=1" in read_to(end, b"\r\n\r\n"):
                found.append(end)
            return bool(found)

        assert until(watched, 8.0), head.said()
        took = time.monotonic() - back
        found[0].sendall(HEAD + chunk(json.dumps(head.listing()).encode() + b"\n"))
        kept[0].sendall(GatewayRig.request("r2", shard=2))  # waits for the list, which alone names this node
        assert until(head.bricks[2].taken, 3.0), head.said()
        assert b"Request-Id: r2\r\n" in read_to(head.bricks[2].ends[0], b"\r\n\r\n")
        kept[1].sendall(GatewayRig.request("r0", shard=0))
        time.sleep(0.3)
        assert head.bricks[0].taken() is None, "it was told that this one drains"
        assert head.descriptors <= 96 and head.child.poll() is None
        assert took < AGAIN_S, f"discovery was back for {took:.2f} s"
        assert "Too many open files" not in head.said(), "a try that failed for want of a descriptor"
        assert "Traceback" not in head.said() and "callback_raised" not in head.said()


def test_callers_that_say_nothing_take_no_more_descriptors_than_are_theirs(tmp_path: Path) -> None:
    """Many come in one turn: for each that is too many another one goes."""
    with process(tmp_path, 96, 96) as head:
        base = head.descriptors
        head.fill(60, b"")
        most = 0
        for _ in range(20):
            for _ in range(12):
                head.client(head.calls)
            most = max(most, head.descriptors)
        assert b"200 OK" in head.call("/healthcheck")
        time.sleep(0.3)
        assert most < 96, "not even discovery can be dialled"
        assert head.descriptors <= base + 38 + MAX_CALLS + 1


def test_a_head_with_no_descriptor_left_answers_what_it_has_and_goes_on(tmp_path: Path) -> None:
    """The system gives less than before, at any call: accept, a dial, a file."""
    with process(tmp_path, 96, 96) as head:
        kept = [head.client() for _ in range(4)]
        for client in kept:
            client.sendall(HEALTH)
            assert read_to(client, b"ok").endswith(b"ok")
        kept[0].sendall(GatewayRig.request("warm", shard=1))
        assert until(head.bricks[1].taken, 3.0), head.said()
        brick = head.bricks[1].ends[0]
        read_to(brick, b"\r\n\r\n")
        resource.prlimit(head.child.pid, resource.RLIMIT_NOFILE, (head.descriptors, 96))
        head.fill(20, HEALTH)
        kept[1].sendall(GatewayRig.request("dialled", shard=0))
        assert b" 503 " in read_to(kept[1], b"\r\n\r\n")
        brick.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        assert read_to(kept[0], b"\r\n\r\nok").startswith(b"HTTP/1.1 200 ")
        kept[2].sendall(GatewayRig.request("used again", shard=1))
        assert b"Request-Id: used again\r\n" in read_to(brick, b"\r\n\r\n")
        brick.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        assert read_to(kept[2], b"\r\n\r\nok").startswith(b"HTTP/1.1 200 ")
        head.child.send_signal(signal.SIGHUP)  # the file cannot be read: the one in force stays
        assert until(lambda: "bad_configuration" in head.said(), 2.0)
        resource.prlimit(head.child.pid, resource.RLIMIT_NOFILE, (96, 96))
        head.list.open()
        assert until(head.list.taken, 3.0), head.said()
        kept[3].sendall(GatewayRig.request("again", shard=0))
        assert until(head.bricks[0].taken, 3.0), head.said()
        assert b"200 OK" in head.call("/healthcheck") and head.child.poll() is None
