"""Idle clients use up a process's descriptors while discovery is down: reserved ones stay usable."""

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

from gaugesail.http.management import MAX_CONNECTIONS as MAX_MANAGEMENT_CONNECTIONS
from gaugesail.rehearsal import defaults

from ..support.live_head import HEAD, GatewayRig, chunk

ROOT = Path(__file__).parents[2]
RETRY_S = 2.5  # discovery is polled again within that after failed calls, whatever clients do
HEALTH = b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n"


def wait_until(done: Callable[[], Any], seconds: float = 10.0) -> bool:
    end = time.monotonic() + seconds
    while not (found := done()) and time.monotonic() < end:
        time.sleep(0.002)
    return bool(found)


class Listener:
    """An address of the test that accepts connections once it is open."""

    def __init__(self) -> None:
        self.listener, self.connections = socket.socket(), list[socket.socket]()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    def open(self) -> Listener:
        self.listener.listen(64)
        return self

    def accept_now(self) -> socket.socket | None:
        with suppress(BlockingIOError):
            end = self.listener.accept()[0]
            end.settimeout(5.0)
            self.connections.append(end)
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


class GatewayProcess:
    """A gateway process whose system limit is ``hard_limit`` descriptors, and its peers."""

    def __init__(self, folder: Path, sockets: int, hard_limit: int) -> None:
        self.discovery, self.nodes = Listener(), [Listener().open() for _ in range(3)]
        self.phases = ["Ready"] * 3
        self.config: dict[str, Any] = {
            "name": "full", "listen": "127.0.0.1:0", "management": "127.0.0.1:0",
            "discovery": self.discovery.address, "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": self.endpoint_list(2), "settings": defaults.settings(),
        }  # fmt: skip
        path = folder / "gateway.json"
        path.write_text(json.dumps(self.config))
        self.log = folder / "gateway.log"
        self.clients: list[socket.socket] = []
        environ = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gaugesail"], cwd=ROOT, stderr=log,
                env=environ | {"BALANCER_CONFIG": str(path), "TMPDIR": str(folder)},
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit)),
            )  # fmt: skip
        assert wait_until(lambda: "event=listening" in self.log_text()), self.log_text()
        found = re.search(r"event=listening address=\S+:(\d+) management=\S+:(\d+)", self.log_text())
        assert found is not None, self.log_text()
        self.port, self.management_port = int(found[1]), int(found[2])

    def log_text(self) -> str:
        return self.log.read_text()

    def endpoint_list(self, members: int = 3) -> dict[str, Any]:
        lines = [{"id": f"b{n}", "host_port": node.address, "locality": "", "flavor": "", "cell": n,
                  "phase": self.phases[n], "size": 1.0, "up_since_ms": 0}
                 for n, node in enumerate(self.nodes[:members])]  # fmt: skip
        return {"revision": 5, "complete": True, "members": lines}

    def client(self, port: int = 0) -> socket.socket:
        client = socket.create_connection(("127.0.0.1", port or self.port), timeout=5.0)
        self.clients.append(client)
        return client

    def fill(self, clients: int, data: bytes) -> None:
        """Connect ``clients`` that send ``data``, stay connected and do not read."""
        for _ in range(clients):
            client = self.client()
            with suppress(OSError):
                client.sendall(data)

    @property
    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def management_call(self, path: str) -> bytes:
        end = self.client(self.management_port)
        end.sendall(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
        return read_to(end, b"\n\r\n\r")[:15]

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        for end in (*self.clients, self.discovery.listener, *self.discovery.connections):
            end.close()
        for node in self.nodes:
            for end in (node.listener, *node.connections):
                end.close()


@contextmanager
def running_gateway(folder: Path, sockets: int, hard_limit: int) -> Iterator[GatewayProcess]:
    gateway = GatewayProcess(folder, sockets, hard_limit)
    try:
        yield gateway
    finally:
        gateway.close()


@pytest.mark.parametrize("data", [b"", HEALTH, HEALTH[:20]], ids=["silent", "request", "half"])
@pytest.mark.parametrize("sockets", [96, 1024])
def test_discovery_is_polled_again_by_a_gateway_full_of_clients(
    tmp_path: Path, sockets: int, data: bytes
) -> None:
    """The system's limit is 96 descriptors, whatever the configuration says."""
    with running_gateway(tmp_path, sockets, 96) as gateway:
        kept = [gateway.client(), gateway.client()]  # usual clients, which have sent requests before
        for client in kept * 2:
            client.sendall(HEALTH)
            assert read_to(client, b"ok").endswith(b"ok")
        gateway.fill(200, data)
        wait_until(lambda: gateway.descriptors >= 90, 1.0)
        gateway.fill(60, data)
        time.sleep(0.5)
        assert b"200 OK" in gateway.management_call("/healthcheck")
        gateway.phases[0] = "Terminating"
        back = time.monotonic()
        gateway.discovery.open()
        found: list[socket.socket] = []

        def watched() -> bool:
            if (end := gateway.discovery.accept_now()) is not None and b"follow=1" in read_to(
                end, b"\r\n\r\n"
            ):
                found.append(end)
            return bool(found)

        assert wait_until(watched, 8.0), gateway.log_text()
        took = time.monotonic() - back
        found[0].sendall(HEAD + chunk(json.dumps(gateway.endpoint_list()).encode() + b"\n"))
        kept[0].sendall(
            GatewayRig.request("r2", shard=2)
        )  # waits for the endpoint list, which alone names this node
        assert wait_until(gateway.nodes[2].accept_now, 3.0), gateway.log_text()
        assert b"Request-Id: r2\r\n" in read_to(gateway.nodes[2].connections[0], b"\r\n\r\n")
        kept[1].sendall(GatewayRig.request("r0", shard=0))
        time.sleep(0.3)
        assert gateway.nodes[0].accept_now() is None, "the node is draining"
        assert gateway.descriptors <= 96 and gateway.process.poll() is None
        assert took < RETRY_S, f"discovery was polled {took:.2f} s after it was back"
        assert "Too many open files" not in gateway.log_text(), "a dial failed for want of a descriptor"
        assert "Traceback" not in gateway.log_text() and "callback_raised" not in gateway.log_text()


def test_silent_management_connections_use_only_their_reserved_descriptors(tmp_path: Path) -> None:
    """Many connect in one reactor turn: for each one beyond the limit another one is closed."""
    with running_gateway(tmp_path, 96, 96) as gateway:
        base = gateway.descriptors
        gateway.fill(60, b"")
        max_descriptors = 0
        for _ in range(20):
            for _ in range(12):
                gateway.client(gateway.management_port)
            max_descriptors = max(max_descriptors, gateway.descriptors)
        assert b"200 OK" in gateway.management_call("/healthcheck")
        time.sleep(0.3)
        assert max_descriptors < 96, "no descriptor is left to dial discovery"
        assert gateway.descriptors <= base + 38 + MAX_MANAGEMENT_CONNECTIONS + 1


def test_a_gateway_without_free_descriptors_answers_open_requests_and_recovers(tmp_path: Path) -> None:
    """The system's limit drops at run time, so that accepting, dialling and opening files fail."""
    with running_gateway(tmp_path, 96, 96) as gateway:
        kept = [gateway.client() for _ in range(4)]
        for client in kept:
            client.sendall(HEALTH)
            assert read_to(client, b"ok").endswith(b"ok")
        kept[0].sendall(GatewayRig.request("warm", shard=1))
        assert wait_until(gateway.nodes[1].accept_now, 3.0), gateway.log_text()
        node = gateway.nodes[1].connections[0]
        read_to(node, b"\r\n\r\n")
        resource.prlimit(gateway.process.pid, resource.RLIMIT_NOFILE, (gateway.descriptors, 96))
        gateway.fill(20, HEALTH)
        kept[1].sendall(GatewayRig.request("dialled", shard=0))
        assert b" 503 " in read_to(kept[1], b"\r\n\r\n")
        node.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        assert read_to(kept[0], b"\r\n\r\nok").startswith(b"HTTP/1.1 200 ")
        kept[2].sendall(GatewayRig.request("used again", shard=1))
        assert b"Request-Id: used again\r\n" in read_to(node, b"\r\n\r\n")
        node.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        assert read_to(kept[2], b"\r\n\r\nok").startswith(b"HTTP/1.1 200 ")
        gateway.process.send_signal(signal.SIGHUP)  # the file cannot be opened: nothing changes
        assert wait_until(lambda: "bad_configuration" in gateway.log_text(), 2.0)
        resource.prlimit(gateway.process.pid, resource.RLIMIT_NOFILE, (96, 96))
        gateway.discovery.open()
        assert wait_until(gateway.discovery.accept_now, 3.0), gateway.log_text()
        kept[3].sendall(GatewayRig.request("again", shard=0))
        assert wait_until(gateway.nodes[0].accept_now, 3.0), gateway.log_text()
        assert b"200 OK" in gateway.management_call("/healthcheck") and gateway.process.poll() is None
