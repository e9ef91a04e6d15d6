"""A gateway whose endpoint list has any number of servers, and stand-ins of the servers and of discovery.

A few listeners stand in for all servers: each entry of the list has a shard of its own and shares its address
with others.
"""

from __future__ import annotations

import random
import subprocess
from collections import deque
from pathlib import Path
from typing import Any, NamedTuple

from ..http.messages import Head
from ..net import dial
from ..rehearsal import defaults
from ..rehearsal.fleet.heads import GatewayProcess, free_ports
from ..rehearsal.peers import Directory, HttpConnection, HttpListener
from .processor_time import cpu_seconds

LISTENERS = 8
SOCKETS = 1024
MEMORY_MB = 192
READY_S = 60.0
REACTOR_STEP_S = 0.002
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REQUEST_MS = 3_000


class AnsweringServers(HttpListener):
    """A listener that answers each request at once, for many entries of the list."""

    connections_made = 0

    def opened(self, connection: HttpConnection) -> None:
        """Count a connection."""
        super().opened(connection)
        connection.link.setTcpNoDelay(True)
        self.connections_made += 1

    def message(self, connection: HttpConnection, head: Head, body: bytes) -> None:
        """Answer a request."""
        connection.link.write(ANSWER)


class Server(NamedTuple):
    """One entry of the list."""

    name: str
    address: str
    shard: int


class KeptClients:
    """Clients that keep their connections, with one request at a time on each."""

    def __init__(self, reactor: Any, port: int, seed: int) -> None:
        self._reactor, self._port = reactor, port
        self._rng = random.Random(seed)
        self._idle: deque[HttpConnection] = deque()
        self._sent = 0
        self.served = 0
        self.others = 0  # requests with another answer, or none

    @property
    def open_requests(self) -> int:
        """Requests without an answer so far."""
        return self._sent - self.served - self.others

    def send(self, shard: int) -> None:
        """Send a read of a block of a shard."""
        self._sent += 1
        text = (
            f"GET /api HTTP/1.1\r\nHost: a\r\nRequest-Id: {self._sent:016x}\r\nRequest-Class: read\r\n"
            f"X-Plan: basic\r\nCookie: block={self._rng.getrandbits(48):x}\r\n"
            f"Request-Timeout-Ms: {REQUEST_MS}\r\n"
            f"X-IO: volume={self._rng.randrange(1, 40):x},units=1,shard={shard},hosts=1\r\n\r\n"
        ).encode()
        if self._idle:
            self._idle.pop().link.write(text)
            return
        dialed = dial(
            self._reactor, ("127.0.0.1", self._port), 1.0, lambda: HttpConnection(self, answers=True)
        )
        dialed.addCallbacks(lambda connection: connection.link.write(text), self._failed)

    def _failed(self, failure: Any) -> None:
        self.others += 1

    def opened(self, connection: HttpConnection) -> None:
        """Disable Nagle's algorithm."""
        connection.link.setTcpNoDelay(True)

    def lost(self, connection: HttpConnection) -> None:
        """Forget an idle connection; one with a request is missed at the end."""
        if connection in self._idle:
            self._idle.remove(connection)

    def begins(self, head: Head) -> None:
        """No answer is long."""

    def saw(self, *words: str) -> None:
        """Count bytes that are no answer."""
        self.others += 1

    def message(self, connection: HttpConnection, head: Head, body: bytes) -> None:
        """Count an answer."""
        self.served += head.status == 200
        self.others += head.status != 200
        if head.keep_alive:
            self._idle.append(connection)


class ServerCountRig:
    """A gateway process, its servers, discovery and clients; ``close`` ends them."""

    def __init__(self, reactor: Any, folder: Path, listed: int, seed: int) -> None:
        self.reactor = reactor
        self._rng = random.Random(seed)
        self.servers = [AnsweringServers(reactor, f"servers-{number}") for number in range(LISTENERS)]
        self.discovery = Directory(reactor, "discovery", lambda address: None)
        self.names = [f"s-{shard:06x}" for shard in range(listed)]
        for shard, name in enumerate(self.names):
            self.discovery.add(Server(name, self.servers[shard % LISTENERS].address, shard))
        listen_port, management_port = free_ports(2)
        self.process = GatewayProcess("n", folder, listen_port, management_port, 0)
        self.process.with_fleet = False
        settings = defaults.settings()
        settings["domain"]["slots_total"] = listed
        self.process.write_files({
            "name": "n", "listen": f"127.0.0.1:{listen_port}", "management": f"127.0.0.1:{management_port}",
            "discovery": self.discovery.address, "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "known": {"revision": 0, "complete": True, "members": []}, "settings": settings,
        }, None)  # fmt: skip
        self.clients = KeptClients(reactor, listen_port, seed)

    def start(self) -> None:
        """Start the process and wait until it serves; raises TimeoutError if it does not."""
        self.process.start()
        end = self.reactor.seconds() + READY_S
        while "event=listening" not in self.process.log.read_text(errors="replace"):
            if self.reactor.seconds() > end:
                raise TimeoutError(f"the gateway did not serve within {READY_S} s")
            self.run(0.05)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.reactor.seconds() + seconds
        while self.reactor.seconds() < end:
            self.reactor.iterate(REACTOR_STEP_S)

    @property
    def gateway(self) -> subprocess.Popen[bytes]:
        """The gateway's process."""
        assert self.process.process is not None
        return self.process.process

    @property
    def cpu_s(self) -> float:
        """The processor time that the gateway has used so far, in seconds."""
        return cpu_seconds(self.gateway.pid)

    @property
    def connections_made(self) -> int:
        """Connections that the gateway has made to its servers."""
        return sum(servers.connections_made for servers in self.servers)

    def load(self, requests: int, rate: float, used: int, changes_per_s: float = 0.0) -> None:
        """Send requests to the first ``used`` servers and wait for the answers; beside that change others.

        :param rate: requests a second.
        """
        began = self.reactor.seconds()
        sent = changed = 0
        while sent < requests or self.clients.open_requests:
            elapsed_s = self.reactor.seconds() - began
            while sent < min(requests, elapsed_s * rate):
                self.clients.send(self._rng.randrange(used))
                sent += 1
            while changed < elapsed_s * changes_per_s:
                self._change(self.names[self._rng.randrange(used, len(self.names))])
                changed += 1
            if elapsed_s > requests / rate + READY_S:
                raise TimeoutError(f"{self.clients.open_requests} requests without an answer")
            self.reactor.iterate(REACTOR_STEP_S)

    def _change(self, name: str) -> None:
        """Let a server begin to drain, or be ready again."""
        is_ready = self.discovery.entries[name]["phase"] == "Ready"
        self.discovery.send([name, "Terminating" if is_ready else "Ready"])

    def close(self) -> None:
        """End the process and the stand-ins."""
        self.process.kill()
        for listener in (*self.servers, self.discovery):
            listener.close([])
        self.run(0.05)
