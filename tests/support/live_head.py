"""A whole head on real sockets, turned by hand: each order of events is forced, none is hoped for.

The reactor is the rig's own and never installed; its clock is the test's.  Peers are plain sockets that do
one step when they are told to.  What is sent on loopback is there when ``send`` returns, so that a turn of
the reactor finds it; ``until`` waits for a condition, within a bound.
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


class End:
    """One end of a connection: what came, and whether the other side ended it, and how."""

    def __init__(self, rig: Turning, sock: socket.socket) -> None:
        self.rig, self.sock = rig, sock
        self.text = b""
        self.ended = self.was_reset = False
        sock.setblocking(False)
        rig.ends.append(self)

    def send(self, data: bytes) -> None:
        """All of it, turning the reactor where the other side has to read first."""
        view = memoryview(data)
        while view:
            try:
                view = view[self.sock.send(view) :]
            except BlockingIOError:
                self.rig.turn()

    def cram(self, data: bytes) -> int:
        """As much as the kernel takes while nobody reads."""
        sent = 0
        try:
            while sent < len(data):
                sent += self.sock.send(data[sent:])
        except BlockingIOError:
            pass
        return sent

    def read(self) -> bytes:
        """All that has come."""
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

    def take(self, what: bytes) -> bytes:
        """Wait for these bytes and return what came up to their end."""
        assert self.rig.until(lambda: what in self.read()), f"{what!r} is not in {self.text!r}"
        at = self.text.index(what) + len(what)
        found, self.text = self.text[:at], self.text[at:]
        return found

    def gone(self) -> bool:
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


class Place:
    """An address where something listens and accepts when it is told to."""

    def __init__(self, rig: Turning, at: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        self.rig, self.listener = rig, socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(at)
        self.listener.listen(64)
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        rig.places.append(self)

    def accept_now(self) -> End | None:
        try:
            return End(self.rig, self.listener.accept()[0])
        except BlockingIOError:
            return None

    def accept(self) -> End:
        found: list[End] = []

        def came() -> bool:
            if (end := self.accept_now()) is not None:
                found.append(end)
            return bool(found)

        assert self.rig.until(came), "nobody connected"
        return found[0]


class Brick(Place):
    """A brick that holds every request until the test answers it."""

    def __init__(self, rig: Turning, shard: int) -> None:
        super().__init__(rig)
        self.shard, self.id, self.phase = shard, f"b{shard}", "Ready"
        self.ends: list[End] = []

    def look(self) -> bytes:
        """All that has come by any connection."""
        while (end := self.accept_now()) is not None:
            self.ends.append(end)
        return b"".join(end.read() for end in self.ends)

    def request(self, name: str) -> End:
        """Wait for this request; the connection that it came by."""
        wanted = b"Request-Id: %s\r\n" % name.encode()
        assert self.rig.until(lambda: wanted in self.look()), f"{name} did not come"
        return next(end for end in self.ends if wanted in end.text)

    def saw(self, name: str) -> int:
        """How often a request with this id has come."""
        return self.look().count(b"Request-Id: %s\r\n" % name.encode())

    def answer(self, name: str, body: bytes = b"ok") -> None:
        end = self.request(name)
        end.text = b""
        end.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def line(self) -> dict[str, Any]:
        return {"id": self.id, "host_port": self.address, "locality": "", "flavor": "", "cell": self.shard,
                "phase": self.phase, "size": 1.0, "up_since_ms": 0}  # fmt: skip


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Turning:
    """A reactor of its own, whose turns and clock are the test's."""

    def __init__(self) -> None:
        self.now = 1_000_000.0
        made: Any = EPollReactor
        self.reactor = made()
        self.reactor.seconds = lambda: self.now
        self.ends: list[End] = []
        self.places: list[Place] = []
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
        """The process stands still for so long: all that came meanwhile, and all timers, come at once."""
        self.now += seconds

    def close(self) -> None:
        for end in self.ends:
            end.sock.close()
        for place in self.places:
            place.listener.close()
        failure: Any = Failure
        lost = failure(ConnectionLost())
        for selectable in self.reactor.removeAll():
            selectable.connectionLost(lost)
        self.reactor._poller.close()


class Turned(Turning):
    """The head and its peers."""

    def __init__(self, **changes: str) -> None:
        super().__init__()
        self.list = Place(self)
        self.bricks = [Brick(self, 0)]
        self.config: dict[str, Any] = {
            "name": "turned", "listen": "127.0.0.1:0", "discovery": self.list.address, "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.listing(), "settings": defaults.settings(),
        }  # fmt: skip
        for path, value in changes.items():
            defaults.change(self.config, path.replace("__", "."), value)
        self.head = PlatformGateway(
            self.reactor, configuration.read(self.config, {}), make_logger(self.log), self.clock
        )
        self.stopped: list[float] = []
        self.head.stopped.addCallback(lambda _: self.stopped.append(self.now))

    def start(self) -> Turned:
        """Up to the first watch, with its list."""
        self.head.start()
        self.watch = self.watched()
        self.watch.send(HEAD + self.told(True, self.bricks, 1))
        assert self.until(lambda: self.head.front.listening)
        return self

    def watched(self, place: Place | None = None) -> End:
        """Wait for a watch to be opened; nothing is answered yet."""
        end = (place or self.list).accept()
        end.take(b"\r\n\r\n")
        return end

    def listing(
        self, members: list[Brick] | None = None, revision: int = 1, full: bool = True
    ) -> dict[str, Any]:
        lines = [brick.line() for brick in (self.bricks if members is None else members)]
        return {"revision": revision, "complete": full, "members": lines}

    def told(self, full: bool, members: list[Brick], revision: int, indent: int | None = None) -> bytes:
        """A chunk of a watch with this news."""
        return chunk(json.dumps(self.listing(members, revision, full), indent=indent).encode() + b"\n")

    def drain(self, brick: Brick, revision: int) -> bytes:
        brick.phase = "Terminating"
        return self.told(False, [brick], revision)

    def client(self) -> End:
        sock = socket.socket()
        sock.connect(self.head.address)
        return End(self, sock)

    @staticmethod
    def ask(
        name: str, kind: str = "read", shard: int = 0, timeout: int = 0, body: bytes = b"", more: str = ""
    ) -> bytes:
        method = "PUT" if body else "GET"
        timeout = timeout or (5000 if kind == "write" else 3000)
        lines = [f"{method} /api HTTP/1.1", "Host: app.svc", f"Request-Id: {name}", f"Request-Class: {kind}",
                 "X-Plan: basic", "Cookie: block=1", f"Request-Timeout-Ms: {timeout}",
                 f"X-IO: volume=1,units=1,shard={shard},hosts=1", f"Content-Length: {len(body)}"]  # fmt: skip
        return "\r\n".join(lines).encode() + b"\r\n" + more.encode() + b"\r\n" + body

    def pass_time(self, seconds: float) -> None:
        """Time goes by; discovery says that nothing has changed."""
        end, beat = self.now + seconds, self.now
        while self.now < end:
            if self.now >= beat and hasattr(self, "watch") and not self.watch.gone():
                beat = self.now + 2.0
                self.watch.send(chunk(b"\n"))
            self.turn()
            self.now += STEP_S
        self.turn(2)


@contextmanager
def turned(**changes: str) -> Iterator[Turned]:
    rig = Turned(**changes)
    try:
        yield rig.start()
    finally:
        rig.close()


def served(rig: Turned, name: str) -> bool:
    """Whether a new request is sent to the brick now."""
    client = rig.client()
    client.send(rig.ask(name))
    rig.until(lambda: bool(rig.bricks[0].saw(name)) or bool(client.read()), 1.0)
    if rig.bricks[0].saw(name):
        rig.bricks[0].answer(name)
        client.take(b"\r\n\r\nok")
        return True
    return False


class HeldDials:
    """Connections to bricks come up when the test lets them."""

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
        """Let all that wait come up, and all that follow."""
        self.on = False
        for made, args in self.held:
            if not made.called:
                self._dial(*args).chainDeferred(made)
        self.held = []


__all__ = ["HEAD", "Brick", "End", "HeldDials", "Place", "Turned", "Turning", "chunk", "served", "turned"]
