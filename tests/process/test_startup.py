"""A process as it is started: ready within 10 s, whatever discovery and its address do meanwhile."""

from __future__ import annotations

import json
import os
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import pytest

from gaugesail.rehearsal import defaults

ROOT = Path(__file__).parents[2]
READY_S = 10.0
Server = Callable[[socket.socket, int], None]


class Discovery:
    """Takes connections, one thread each, and does with them what the test says."""

    def __init__(self, serve: Server | None) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.calls = 0
        self._kept: list[socket.socket] = []
        if serve is None:
            self.listener.close()  # nothing is there
        else:
            threading.Thread(target=self._accept, args=[serve], daemon=True).start()

    def _accept(self, serve: Server) -> None:
        with suppress(OSError):
            while True:
                one, _ = self.listener.accept()
                self._kept.append(one)
                self.calls += 1
                serve(one, self.calls)

    def close(self) -> None:
        self.listener.close()
        for one in self._kept:
            one.close()


def waits(one: socket.socket, call: int) -> None:
    """It is accepted, and never answered."""


def reset(one: socket.socket) -> None:
    one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    one.close()


def overbooked(one: socket.socket, call: int) -> None:
    """503, a reset, a call that waits and is never answered, in turn."""
    if call % 3 == 0:
        return
    if call % 3 == 1:
        one.recv(4096)
        one.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        one.close()
    else:
        reset(one)


class Started:
    """One process of a head."""

    def __init__(self, folder: Path, discovery: str, listen: str, **changes: str) -> None:
        config: dict[str, Any] = {
            "name": "n", "listen": listen, "discovery": discovery, "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 1, "complete": True, "members": []}, "settings": defaults.settings(),
        }  # fmt: skip
        for path, value in changes.items():
            defaults.change(config, path.replace("__", "."), value)
        self.host, _, port = listen.partition(":")
        self.port = int(port)
        file = folder / f"config-{time.monotonic_ns()}.json"
        file.write_text(json.dumps(config))
        (kept := folder / file.stem).mkdir()
        self.began = time.monotonic()
        self.log = (folder / f"{file.stem}.log").open("w+")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "gaugesail"], cwd=ROOT, stderr=self.log,
            env=os.environ | {"BALANCER_CONFIG": str(file), "TMPDIR": str(kept)},
        )  # fmt: skip

    def health(self) -> str:
        """The status of GET /_health, or why there is none."""
        try:
            with socket.create_connection((self.host, self.port), 1.0) as one:
                one.settimeout(1.0)
                one.sendall(b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")
                return one.recv(100).partition(b"\r\n")[0].decode()
        except OSError as error:
            return repr(error)

    def ready_after(self) -> float:
        """Seconds from its start until it says that it is ready."""
        said = ""
        while time.monotonic() < self.began + READY_S + 5.0:
            assert self.process.poll() is None, f"it refused to start: {Path(self.log.name).read_text()}"
            said = self.health()
            if said == "HTTP/1.1 200 OK":
                return time.monotonic() - self.began
            time.sleep(0.02)
        raise AssertionError(f"not ready: {said}")

    def refuses_in_order(self) -> bool:
        """It takes a request; with no brick in its list it says so."""
        with socket.create_connection((self.host, self.port), 1.0) as one:
            one.settimeout(5.0)
            one.sendall(
                b"GET /api HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\nRequest-Class: read\r\nX-Plan: basic\r\n"
                b"X-IO: volume=1,units=1,shard=0,hosts=1\r\nRequest-Timeout-Ms: 3000\r\n\r\n"
            )
            return one.recv(100).startswith(b"HTTP/1.1 503 ")

    def end(self) -> None:
        """SIGKILL, where it is still there."""
        self.process.kill()
        self.process.wait()
        self.log.close()


def free_address() -> str:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{free.getsockname()[1]}"


@contextmanager
def discovery(serve: Server | None) -> Iterator[Discovery]:
    made = Discovery(serve)
    try:
        yield made
    finally:
        made.close()


@pytest.mark.parametrize("lists", ["ask", "push"])
@pytest.mark.parametrize("serve", [None, waits, overbooked], ids=["dead", "waits", "overbooked"])
def test_it_is_ready_whatever_discovery_does(serve: Server | None, lists: str, tmp_path: Path) -> None:
    with discovery(serve) as there:
        head = Started(tmp_path, there.address, free_address(), settings__discovery=lists)
        try:
            assert head.ready_after() <= READY_S
            assert head.refuses_in_order()
            assert serve is None or there.calls
        finally:
            head.end()


def test_heads_that_start_all_at_once_with_discovery_overbooked_are_ready(tmp_path: Path) -> None:
    with discovery(overbooked) as there:
        heads = [Started(tmp_path, there.address, free_address()) for _ in range(6)]
        try:
            assert max(head.ready_after() for head in heads) <= READY_S
        finally:
            for head in heads:
                head.end()


def test_it_is_ready_though_its_address_is_free_only_after_seconds(tmp_path: Path) -> None:
    """Something else holds it for as long as a process that is killed 3.7 s after its signal."""
    with discovery(None) as there, socket.create_server(("127.0.0.1", 0)) as before:
        head = Started(tmp_path, there.address, f"127.0.0.1:{before.getsockname()[1]}")
        try:
            threading.Timer(3.7, before.close).start()
            assert 3.7 <= head.ready_after() <= READY_S
        finally:
            head.end()


@pytest.mark.parametrize("held", [False, True], ids=["idle", "held"])
def test_it_is_ready_beside_the_process_before_that_is_told_to_end(held: bool, tmp_path: Path) -> None:
    """Each with a folder of its own, as on the platform: nothing is handed over."""
    with discovery(waits) as there:
        before = Started(tmp_path, there.address, free_address())
        head = None
        try:
            before.ready_after()
            with socket.create_connection((before.host, before.port)) as client:
                if held:  # a request that never comes whole
                    client.sendall(b"GET /api HTTP/1.1\r\nHost: h\r\n")
                    time.sleep(0.1)
                before.process.send_signal(signal.SIGTERM)
                head = Started(tmp_path, there.address, f"{before.host}:{before.port}")
                time.sleep(3.7)
                assert head.process.poll() is None
                before.process.kill()
                assert head.ready_after() <= READY_S
        finally:
            before.end()
            if head is not None:
                head.end()


def test_a_head_that_is_killed_right_after_an_accept_is_ready_again(tmp_path: Path) -> None:
    """Who was let in is reset, with a request or without; the next process has the address at once."""
    with discovery(waits) as there:
        before = Started(tmp_path, there.address, free_address())
        head = None
        try:
            before.ready_after()
            with (
                socket.create_connection((before.host, before.port)) as silent,
                socket.create_connection((before.host, before.port)) as asks,
            ):
                asks.sendall(b"GET /_health HTTP/1.1\r\n")
                before.end()
                head = Started(tmp_path, there.address, f"{before.host}:{before.port}")
                for one in (silent, asks):
                    one.settimeout(5.0)
                    with suppress(ConnectionError):
                        assert one.recv(100) == b""
            assert head.ready_after() <= READY_S
        finally:
            before.end()
            if head is not None:
                head.end()
