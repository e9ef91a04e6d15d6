"""A complete gateway on real sockets with a manually iterated reactor: tests force the order of events.

The reactor belongs to the rig and is never installed; its clock is set by the test.  Peers are plain sockets
that act only when the test calls them.  Data sent on loopback has arrived when ``send`` returns, so the next
iteration of the reactor finds it.  ``until`` waits for a condition, with a time limit.
"""

from __future__ import annotations

import io
import json
import socket
import struct
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from gaugesail import config as configuration
from gaugesail.app import PlatformGateway
from gaugesail.core.clock import ReactorClock
from gaugesail.http import node_pool
from gaugesail.logs import make_logger
from gaugesail.rehearsal import defaults

STEP_S = 0.001


class PeerSocket:
    """One end of a connection: the input received, and whether and how the other side closed it."""

    def __init__(self, rig: ReactorRig, sock: socket.socket) -> None:
        self.rig, self.sock = rig, sock
        self.text = b""
        self.ended = self.was_reset = False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        rig.connections.append(self)

    def send(self, data: bytes) -> None:
        """Send all of ``data``, iterating the reactor while the other side has to read first."""
        view = memoryview(data)
        while view:
            try:
                view = view[self.sock.send(view) :]
            except BlockingIOError:
                self.rig.turn()

    def send_available(self, data: bytes) -> int:
        """Send as much as the kernel accepts without blocking; return the number of bytes."""
        sent = 0
        try:
            while sent < len(data):
                sent += self.sock.send(data[sent:])
        except BlockingIOError:
            pass
        return sent

    def read(self) -> bytes:
        """Return all input received so far."""
        while not self.ended:
            try:
                data = self.sock.recv(65536)
            except BlockingIOError:
                break
            except ConnectionError:
                self.ended = self.was_reset = True
                break
            self.text += data
            self.ended = not data
        return self.text

    def read_until(self, what: bytes) -> bytes:
        """Wait for these bytes, then remove and return the input up to their end."""
        assert self.rig.until(lambda: what in self.read()), f"{what!r} is not in {self.text!r}"
        at = self.text.index(what) + len(what)
        found, self.text = self.text[:at], self.text[at:]
        return found

    def closed(self) -> bool:
        self.read()
        return self.ended

    def fin(self) -> None:
        self.ended = True
        self.sock.close()

    def half(self) -> None:
        self.sock.shutdown(socket.SHUT_WR)

    def rst(self) -> None:
        self.ended = True
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class Listener:
    """A listening socket that accepts when the test calls it."""

    def __init__(self, rig: ReactorRig, at: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        self.rig, self.listener = rig, socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(at)
        self.listener.listen(64)
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        rig.listeners.append(self)

    def accept_now(self) -> PeerSocket | None:
        try:
            return PeerSocket(self.rig, self.listener.accept()[0])
        except BlockingIOError:
            return None

    def accept(self) -> PeerSocket:
        found: list[PeerSocket] = []

        def accepted() -> bool:
            if (end := self.accept_now()) is not None:
                found.append(end)
            return bool(found)

        assert self.rig.until(accepted), "no connection arrived"
        return found[0]


class NodePeer(Listener):
    """A node that holds every request until the test answers it."""

    def __init__(self, rig: ReactorRig, shard: int) -> None:
        super().__init__(rig)
        self.shard, self.id, self.phase = shard, f"b{shard}", "Ready"
        self.connections: list[PeerSocket] = []

    def read_all(self) -> bytes:
        """Return the input of all connections."""
        while (end := self.accept_now()) is not None:
            self.connections.append(end)
        return b"".join(end.read() for end in self.connections)

    def wait_for(self, name: str) -> PeerSocket:
        """Wait for this request and return the connection that carries it."""
        wanted = b"Request-Id: %s\r\n" % name.encode()
        assert self.rig.until(lambda: wanted in self.read_all()), f"{name} did not arrive"
        return next(end for end in self.connections if wanted in end.text)

    def received(self, name: str) -> int:
        """Number of requests received with this id."""
        return self.read_all().count(b"Request-Id: %s\r\n" % name.encode())

    def answer(self, name: str, body: bytes = b"ok") -> None:
        end = self.wait_for(name)
        end.text = b""
        end.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def member(self) -> dict[str, Any]:
        return {"id": self.id, "host_port": self.address, "locality": "", "flavor": "", "cell": self.shard,
                "phase": self.phase, "size": 1.0, "up_since_ms": 0}  # fmt: skip


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ReactorRig:
    """A reactor whose iterations and clock the test controls."""

    def __init__(self) -> None:
        self.now = 1_000_000.0
        made: Any = EPollReactor
        self.reactor = made()
        self.reactor.seconds = lambda: self.now
        self.connections: list[PeerSocket] = []
        self.listeners: list[Listener] = []
        self.log = io.StringIO()
        self.clock = ReactorClock(self.reactor, lambda: round(self.now * 1e9), lambda: 1_700_000_000 * 10**9)

    def turn(self, times: int = 1) -> None:
        for _ in range(times):
            self.reactor.iterate(0)

    def until(self, done: Callable[[], bool], seconds: float = 10.0) -> bool:
        end, turns = self.now + seconds, 0
        while not done():
            if self.now >= end:
                return False
            turns += 1
            self.reactor.iterate(0 if turns % 32 else 0.001)
            self.now += STEP_S
        return True

    def pass_time(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.turn()
            self.now += STEP_S
        self.turn(2)

    def leap(self, seconds: float) -> None:
        """Stall the process: input that arrived meanwhile and overdue timers are handled together."""
        self.now += seconds

    def close(self) -> None:
        for end in self.connections:
            end.sock.close()
        for listener in self.listeners:
            listener.listener.close()
        failure: Any = Failure
        lost = failure(ConnectionLost())
        for selectable in self.reactor.removeAll():
            selectable.connectionLost(lost)
        self.reactor._poller.close()


class GatewayRig(ReactorRig):
    """The gateway and its peers."""

    def __init__(self, **changes: str) -> None:
        super().__init__()
        self.discovery = Listener(self)
        self.nodes = [NodePeer(self, 0)]
        self.config: dict[str, Any] = {
            "name": "turned", "listen": "127.0.0.1:0", "discovery": self.discovery.address, "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.endpoint_list(), "settings": defaults.settings(),
        }  # fmt: skip
        for path, value in changes.items():
            defaults.change(self.config, path.replace("__", "."), value)
        self.gateway = PlatformGateway(
            self.reactor, configuration.read(self.config, {}), make_logger(self.log), self.clock
        )
        self.stopped: list[float] = []
        self.gateway.stopped.addCallback(lambda _: self.stopped.append(self.now))

    def start(self) -> GatewayRig:
        """Start the gateway and send its first watch the endpoint list."""
        self.gateway.start()
        self.watch = self.accept_watch()
        self.watch.send(HEAD + self.list_chunk(True, self.nodes, 1))
        assert self.until(lambda: self.gateway.front.listening)
        return self

    def accept_watch(self, listener: Listener | None = None) -> PeerSocket:
        """Accept a watch and read its request, without an answer."""
        end = (listener or self.discovery).accept()
        end.read_until(b"\r\n\r\n")
        return end

    def endpoint_list(
        self, members: list[NodePeer] | None = None, revision: int = 1, full: bool = True
    ) -> dict[str, Any]:
        lines = [node.member() for node in (self.nodes if members is None else members)]
        return {"revision": revision, "complete": full, "members": lines}

    def list_chunk(
        self, full: bool, members: list[NodePeer], revision: int, indent: int | None = None
    ) -> bytes:
        """Return a chunk of a watch with this endpoint list."""
        return chunk(json.dumps(self.endpoint_list(members, revision, full), indent=indent).encode() + b"\n")

    def drain(self, node: NodePeer, revision: int) -> bytes:
        node.phase = "Terminating"
        return self.list_chunk(False, [node], revision)

    def client(self) -> PeerSocket:
        sock = socket.socket()
        sock.connect(self.gateway.address)
        return PeerSocket(self, sock)

    @staticmethod
    def request(
        name: str, kind: str = "read", shard: int = 0, timeout: int = 0, body: bytes = b"", more: str = ""
    ) -> bytes:
        method = "PUT" if body else "GET"
        timeout = timeout or (5000 if kind == "write" else 3000)
        lines = [f"{method} /api HTTP/1.1", "Host: app.svc", f"Request-Id: {name}", f"Request-Class: {kind}",
                 "X-Plan: basic", "Cookie: block=1", f"Request-Timeout-Ms: {timeout}",
                 f"X-IO: volume=1,units=1,shard={shard},hosts=1", f"Content-Length: {len(body)}"]  # fmt: skip
        return "\r\n".join(lines).encode() + b"\r\n" + more.encode() + b"\r\n" + body

    def pass_time(self, seconds: float) -> None:
        """Let time pass while discovery sends its empty lines."""
        end, beat = self.now + seconds, self.now
        while self.now < end:
            if self.now >= beat and hasattr(self, "watch") and not self.watch.closed():
                beat = self.now + 2.0
                self.watch.send(chunk(b"\n"))
            self.turn()
            self.now += STEP_S
        self.turn(2)


@contextmanager
def gateway_rig(**changes: str) -> Iterator[GatewayRig]:
    rig = GatewayRig(**changes)
    try:
        yield rig.start()
    finally:
        rig.close()


def served(rig: GatewayRig, name: str) -> bool:
    """Whether the gateway sends a new request to the node, and its answer back."""
    client = rig.client()
    client.send(rig.request(name))
    rig.until(lambda: bool(rig.nodes[0].received(name)) or bool(client.read()), 1.0)
    if rig.nodes[0].received(name):
        rig.nodes[0].answer(name)
        client.read_until(b"\r\n\r\nok")
        return True
    return False


class HeldDials:
    """Dials that complete only when the test releases them."""

    def __init__(self, monkeypatch: Any, module: Any = node_pool) -> None:
        self._dial = module.dial
        self.held: list[tuple[Any, tuple[Any, ...]]] = []
        self.on = True
        monkeypatch.setattr(module, "dial", self.dial)

    def dial(self, *args: Any) -> Any:
        if not self.on:
            return self._dial(*args)
        made: Any = Deferred()
        self.held.append((made, args))
        return made

    def release(self) -> None:
        """Complete the held dials; later ones are not held."""
        self.on = False
        for made, args in self.held:
            if not made.called:
                self._dial(*args).chainDeferred(made)
        self.held = []


__all__ = [
    "HEAD",
    "GatewayRig",
    "HeldDials",
    "Listener",
    "NodePeer",
    "PeerSocket",
    "ReactorRig",
    "chunk",
    "gateway_rig",
    "served",
]
