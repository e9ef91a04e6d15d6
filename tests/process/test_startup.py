"""A started process is ready within 10 s, whatever the state of discovery and of its own address."""

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
    """A discovery service on one thread that passes each accepted connection to ``serve``.

    With ``serve`` None nothing listens at its address.
    """

    def __init__(self, serve: Server | None) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.calls = 0
        self._accepted: list[socket.socket] = []
        if serve is None:
            self.listener.close()  # connections are refused
        else:
            threading.Thread(target=self._accept, args=[serve], daemon=True).start()

    def _accept(self, serve: Server) -> None:
        with suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                self._accepted.append(connection)
                self.calls += 1
                serve(connection, self.calls)

    def close(self) -> None:
        self.listener.close()
        for connection in self._accepted:
            connection.close()


def never_answer(connection: socket.socket, call: int) -> None:
    """Keep the connection open without an answer."""


def reset(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def overload(connection: socket.socket, call: int) -> None:
    """Answer 503, reset, or keep the connection open without an answer, in turn."""
    if call % 3 == 0:
        return
    if call % 3 == 1:
        connection.recv(4096)
        connection.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        connection.close()
    else:
        reset(connection)


class GatewayProcess:
    """One gateway process."""

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
        (folder_of_process := folder / file.stem).mkdir()
        self.began = time.monotonic()
        self.log = (folder / f"{file.stem}.log").open("w+")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "gaugesail"], cwd=ROOT, stderr=self.log,
            env=os.environ | {"BALANCER_CONFIG": str(file), "TMPDIR": str(folder_of_process)},
        )  # fmt: skip

    def health(self) -> str:
        """The status line of GET /_health, or the error."""
        try:
            with socket.create_connection((self.host, self.port), 1.0) as connection:
                connection.settimeout(1.0)
                connection.sendall(b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")
                return connection.recv(100).partition(b"\r\n")[0].decode()
        except OSError as error:
            return repr(error)

    def ready_after(self) -> float:
        """Seconds from the start until the health check succeeds."""
        health = ""
        while time.monotonic() < self.began + READY_S + 5.0:
            assert self.process.poll() is None, f"the process has ended: {Path(self.log.name).read_text()}"
            health = self.health()
            if health == "HTTP/1.1 200 OK":
                return time.monotonic() - self.began
            time.sleep(0.02)
        raise AssertionError(f"not ready: {health}")

    def rejects_requests(self) -> bool:
        """Whether a request is rejected with 503, as no node is listed."""
        with socket.create_connection((self.host, self.port), 1.0) as connection:
            connection.settimeout(5.0)
            connection.sendall(
                b"GET /api HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\nRequest-Class: read\r\nX-Plan: basic\r\n"
                b"X-IO: volume=1,units=1,shard=0,hosts=1\r\nRequest-Timeout-Ms: 3000\r\n\r\n"
            )
            return connection.recv(100).startswith(b"HTTP/1.1 503 ")

    def end(self) -> None:
        """Kill the process if it is still running."""
        self.process.kill()
        self.process.wait()
        self.log.close()


def free_address() -> str:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{free.getsockname()[1]}"


@contextmanager
def discovery(serve: Server | None) -> Iterator[Discovery]:
    service = Discovery(serve)
    try:
        yield service
    finally:
        service.close()


@pytest.mark.parametrize("lists", ["ask", "push"])
@pytest.mark.parametrize("serve", [None, never_answer, overload], ids=["dead", "never_answer", "overload"])
def test_a_gateway_is_ready_whatever_discovery_does(serve: Server | None, lists: str, tmp_path: Path) -> None:
    with discovery(serve) as service:
        gateway = GatewayProcess(tmp_path, service.address, free_address(), settings__discovery=lists)
        try:
            assert gateway.ready_after() <= READY_S
            assert gateway.rejects_requests()
            assert serve is None or service.calls
        finally:
            gateway.end()


def test_gateways_that_start_together_with_overloaded_discovery_are_ready(tmp_path: Path) -> None:
    with discovery(overload) as service:
        gateways = [GatewayProcess(tmp_path, service.address, free_address()) for _ in range(6)]
        try:
            assert max(gateway.ready_after() for gateway in gateways) <= READY_S
        finally:
            for gateway in gateways:
                gateway.end()


def test_a_gateway_is_ready_although_its_address_is_in_use_for_seconds(tmp_path: Path) -> None:
    """The address is in use for as long as by a process that is killed 3.7 s after SIGTERM."""
    with discovery(None) as service, socket.create_server(("127.0.0.1", 0)) as listener:
        gateway = GatewayProcess(tmp_path, service.address, f"127.0.0.1:{listener.getsockname()[1]}")
        try:
            threading.Timer(3.7, listener.close).start()
            assert 3.7 <= gateway.ready_after() <= READY_S
        finally:
            gateway.end()


@pytest.mark.parametrize("held", [False, True], ids=["idle", "held"])
def test_a_gateway_is_ready_beside_a_predecessor_that_received_sigterm(held: bool, tmp_path: Path) -> None:
    """Each process has its own folder, as on the platform: nothing is handed over."""
    with discovery(never_answer) as service:
        predecessor = GatewayProcess(tmp_path, service.address, free_address())
        gateway = None
        try:
            predecessor.ready_after()
            with socket.create_connection((predecessor.host, predecessor.port)) as client:
                if held:  # a request that is never complete
                    client.sendall(b"GET /api HTTP/1.1\r\nHost: h\r\n")
                    time.sleep(0.1)
                predecessor.process.send_signal(signal.SIGTERM)
                gateway = GatewayProcess(tmp_path, service.address, f"{predecessor.host}:{predecessor.port}")
                time.sleep(3.7)
                assert gateway.process.poll() is None
                predecessor.process.kill()
                assert gateway.ready_after() <= READY_S
        finally:
            predecessor.end()
            if gateway is not None:
                gateway.end()


def test_a_gateway_killed_right_after_an_accept_is_ready_again(tmp_path: Path) -> None:
    """Accepted connections are reset, with or without a request; the address is free at once."""
    with discovery(never_answer) as service:
        predecessor = GatewayProcess(tmp_path, service.address, free_address())
        gateway = None
        try:
            predecessor.ready_after()
            with (
                socket.create_connection((predecessor.host, predecessor.port)) as silent,
                socket.create_connection((predecessor.host, predecessor.port)) as sending,
            ):
                sending.sendall(b"GET /_health HTTP/1.1\r\n")
                predecessor.end()
                gateway = GatewayProcess(tmp_path, service.address, f"{predecessor.host}:{predecessor.port}")
                for connection in (silent, sending):
                    connection.settimeout(5.0)
                    with suppress(ConnectionError):
                        assert connection.recv(100) == b""
            assert gateway.ready_after() <= READY_S
        finally:
            predecessor.end()
            if gateway is not None:
                gateway.end()
