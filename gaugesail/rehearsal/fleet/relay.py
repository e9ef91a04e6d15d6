"""What lies between two heads, for each direction by itself: datagrams and exchanges, lost, late, twice, out
of order, cut, or a slow trickle."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import DatagramProtocol, Factory, connectionDone
from twisted.python.failure import Failure

from ...net import Connection, dial

MOST_HELD = 1 << 20  # bytes of one exchange


@dataclass(slots=True)
class Weather:
    """What happens to all that goes one way: shares of datagrams, seconds, bytes a second (0: no bound).

    An exchange (TCP) is late, cut or slow as a whole: a transport that keeps order and resends has no other
    faults.
    """

    drop: float = 0.0
    double: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0  # on top, drawn for each, so that later ones overtake
    cut: bool = False
    trickle: int = 0

    def clear(self) -> None:
        self.drop = self.double = self.delay = self.jitter = 0.0
        self.cut, self.trickle = False, 0


class _Ear(DatagramProtocol):
    noisy = False

    def __init__(self, line: Line) -> None:
        self._line = line

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self._line.datagram(datagram)


class _Far(Connection):
    """The end at the head that hears; it says nothing."""

    def __init__(self, near: _Near) -> None:
        self._near = near

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._near.broke()


class _Near(Connection):
    """The end at the head that says."""

    def __init__(self, line: Line) -> None:
        self._line = line
        self._far: _Far | None = None
        self._held = bytearray()
        self._due: Any = None
        self._ended = False

    def connectionMade(self) -> None:
        self._line.exchanges[self] = None
        if self._line.weather.cut:
            return  # nothing gets through, not even word of it
        made = dial(self._line.reactor, self._line.to, 2.0, lambda: _Far(self))
        made.addCallbacks(self._up, lambda failure: self.end())

    def _up(self, far: _Far) -> None:
        self._far = far
        if self._ended:
            far.link.abortConnection()
        self._push()

    def dataReceived(self, data: bytes) -> None:
        self._held += data
        if len(self._held) > MOST_HELD:
            self.link.pauseProducing()
        self._push()

    def _push(self) -> None:
        """Hand on what may go now, and the rest a little later."""
        weather = self._line.weather
        if self._far is None or self._due is not None or not self._held or weather.cut:
            return
        late = weather.delay + weather.jitter * self._line.rng.random()
        size = len(self._held)
        if weather.trickle:
            size, late = max(1, weather.trickle // 20), late + 0.05
        data = bytes(self._held[:size])
        del self._held[:size]
        if len(self._held) <= MOST_HELD and not self._ended:
            self.link.resumeProducing()
        if late:
            self._due = self._line.reactor.callLater(late, self._write, data)
        else:
            self._far.link.write(data)

    def _write(self, data: bytes) -> None:
        self._due = None
        if self._far is not None:
            self._far.link.write(data)
        self._push()

    def changed(self) -> None:
        """The weather is another; an exchange that a cut has held goes on where it stopped."""
        if self._far is None and not self._line.weather.cut and not self._ended:
            self.connectionMade()
        self._push()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._ended = True
        self._line.exchanges.pop(self, None)
        if self._due is not None and self._due.active():
            self._due.cancel()
        if self._far is not None:
            self._far.link.abortConnection()

    def broke(self) -> None:
        self._far = None
        self.end()

    def end(self) -> None:
        if not self._ended:
            self.link.abortConnection()


class _Accepts(Factory):
    noisy = False

    def __init__(self, line: Line) -> None:
        self._line = line

    def buildProtocol(self, addr: Any) -> _Near:
        return _Near(self._line)


class Line:
    """One direction: whoever sends to ``address`` reaches the head that listens at ``to``."""

    def __init__(self, reactor: Any, rng: random.Random, to: tuple[str, int]) -> None:
        self.reactor, self.rng, self.to = reactor, rng, to
        self.weather = Weather()
        self.exchanges: dict[_Near, None] = {}
        self.counts: Counter[str] = Counter()
        self._ear = _Ear(self)
        self._ports: list[Any] = []
        self.address = self._listen()

    def _listen(self) -> tuple[str, int]:
        """One number for both, as a head has."""
        for _ in range(20):
            tcp = self.reactor.listenTCP(0, _Accepts(self), interface="127.0.0.1")
            number = tcp.getHost().port
            try:
                udp = self.reactor.listenUDP(number, self._ear, interface="127.0.0.1", maxPacketSize=65_536)
            except Exception:  # somebody else has it: another number
                tcp.stopListening()
                continue
            self._ports = [tcp, udp]
            return "127.0.0.1", number
        raise OSError("no number is free for both UDP and TCP")

    def datagram(self, data: bytes) -> None:
        weather, rng = self.weather, self.rng
        self.counts["came"] += 1
        if weather.cut or rng.random() < weather.drop:
            self.counts["dropped"] += 1
            return
        copies = 2 if rng.random() < weather.double else 1
        self.counts["doubled"] += copies - 1
        for _ in range(copies):
            late = weather.delay + weather.jitter * rng.random()
            if late:
                self.counts["late"] += 1
                self.reactor.callLater(late, self._send, data)
            else:
                self._send(data)

    def _send(self, data: bytes) -> None:
        transport: Any = self._ear.transport
        if transport is not None:
            try:
                transport.write(data, self.to)
            except OSError:  # nobody listens there now: it is lost
                self.counts["dropped"] += 1

    def changed(self) -> None:
        for near in list(self.exchanges):
            near.changed()

    def close(self) -> None:
        for near in list(self.exchanges):
            near.end()
        for port in self._ports:
            port.stopListening()


class Relays:
    """A line for each direction between each two heads."""

    def __init__(self, reactor: Any, seed: int, heads: dict[str, tuple[str, int]]) -> None:
        rng = random.Random(seed)
        self.lines = {
            (a, b): Line(reactor, random.Random(rng.getrandbits(32)), at)
            for a in heads for b, at in heads.items() if a != b
        }  # fmt: skip

    def peers(self, name: str) -> dict[str, tuple[str, int]]:
        """Where one head reaches each other."""
        return {b: line.address for (a, b), line in self.lines.items() if a == name}

    def between(self, side: set[str], both: bool = True) -> list[Line]:
        """The lines from some heads to all others, and back."""
        return [
            line for (a, b), line in self.lines.items()
            if (a in side) != (b in side) and (both or a in side)
        ]  # fmt: skip

    def close(self) -> None:
        for line in self.lines.values():
            line.close()
