"""Relays between gateways that impair the traffic of each direction separately.

Datagrams are lost, duplicated, delayed or reordered; TCP connections are delayed or throttled; both are cut.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import DatagramProtocol, Factory, connectionDone
from twisted.python.failure import Failure

from ...net import Connection, dial

MAX_BUFFERED_BYTES = 1 << 20  # of one connection; above it, reading pauses


@dataclass(slots=True)
class Impairment:
    """The impairment of one direction.

    ``drop`` and ``duplicate`` are shares of datagrams, ``delay`` and ``jitter`` seconds, ``trickle`` bytes a
    second (0: unlimited).  TCP connections are only delayed, throttled or cut, as TCP keeps the order and
    retransmits.
    """

    drop: float = 0.0
    duplicate: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0  # at most, added to each delay at random, so that datagrams overtake each other
    cut: bool = False
    trickle: int = 0

    def clear(self) -> None:
        """Remove the impairment."""
        self.drop = self.duplicate = self.delay = self.jitter = 0.0
        self.cut, self.trickle = False, 0


class _DatagramReceiver(DatagramProtocol):
    noisy = False

    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self._relay.datagram(datagram)


class _Outbound(Connection):
    """The connection to the receiving gateway; what it sends is ignored."""

    def __init__(self, inbound: _Inbound) -> None:
        self._inbound = inbound

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._inbound.outbound_lost()


class _Inbound(Connection):
    """The connection from the sending gateway, with the data that waits to be forwarded."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._outbound: _Outbound | None = None
        self._buffered = bytearray()
        self._scheduled_write: Any = None
        self._ended = False

    def connectionMade(self) -> None:
        self._relay.connections[self] = None
        if self._relay.impairment.cut:
            return  # no packet passes, so that not even a refusal can arrive
        dialed = dial(self._relay.reactor, self._relay.target, 2.0, lambda: _Outbound(self))
        dialed.addCallbacks(self._dialed, lambda failure: self.abort())

    def _dialed(self, outbound: _Outbound) -> None:
        self._outbound = outbound
        if self._ended:
            outbound.link.abortConnection()
        self._forward()

    def dataReceived(self, data: bytes) -> None:
        self._buffered += data
        if len(self._buffered) > MAX_BUFFERED_BYTES:
            self.link.pauseProducing()
        self._forward()

    def _forward(self) -> None:
        """Forward the data that is due, and schedule the rest."""
        impairment = self._relay.impairment
        if (
            self._outbound is None
            or self._scheduled_write is not None
            or not self._buffered
            or impairment.cut
        ):
            return
        delay_s = impairment.delay + impairment.jitter * self._relay.rng.random()
        size = len(self._buffered)
        if impairment.trickle:
            size, delay_s = max(1, impairment.trickle // 20), delay_s + 0.05
        data = bytes(self._buffered[:size])
        del self._buffered[:size]
        if len(self._buffered) <= MAX_BUFFERED_BYTES and not self._ended:
            self.link.resumeProducing()
        if delay_s:
            self._scheduled_write = self._relay.reactor.callLater(delay_s, self._write, data)
        else:
            self._outbound.link.write(data)

    def _write(self, data: bytes) -> None:
        self._scheduled_write = None
        if self._outbound is not None:
            self._outbound.link.write(data)
        self._forward()

    def impairment_changed(self) -> None:
        """Apply the changed impairment; after a cut, forwarding continues where it stopped."""
        if self._outbound is None and not self._relay.impairment.cut and not self._ended:
            self.connectionMade()
        self._forward()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._ended = True
        self._relay.connections.pop(self, None)
        if self._scheduled_write is not None and self._scheduled_write.active():
            self._scheduled_write.cancel()
        if self._outbound is not None:
            self._outbound.link.abortConnection()

    def outbound_lost(self) -> None:
        self._outbound = None
        self.abort()

    def abort(self) -> None:
        if not self._ended:
            self.link.abortConnection()


class _InboundFactory(Factory):
    noisy = False

    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    def buildProtocol(self, addr: Any) -> _Inbound:
        return _Inbound(self._relay)


class Relay:
    """One direction: forwards what is sent to ``address`` to the gateway that listens at ``target``."""

    def __init__(self, reactor: Any, rng: random.Random, target: tuple[str, int]) -> None:
        self.reactor, self.rng, self.target = reactor, rng, target
        self.impairment = Impairment()
        self.connections: dict[_Inbound, None] = {}
        self.counts: Counter[str] = Counter()
        self._receiver = _DatagramReceiver(self)
        self._ports: list[Any] = []
        self.address = self._listen()

    def _listen(self) -> tuple[str, int]:
        """Listen on the same port for TCP and UDP, as a gateway does.  Raises OSError if none is free."""
        for _ in range(20):
            tcp = self.reactor.listenTCP(0, _InboundFactory(self), interface="127.0.0.1")
            port = tcp.getHost().port
            try:
                udp = self.reactor.listenUDP(
                    port, self._receiver, interface="127.0.0.1", maxPacketSize=65_536
                )
            except Exception:  # another process uses the UDP port: try another one
                tcp.stopListening()
                continue
            self._ports = [tcp, udp]
            return "127.0.0.1", port
        raise OSError("expected a port that is free for TCP and UDP, found none in 20 attempts")

    def datagram(self, data: bytes) -> None:
        """Forward a datagram, or drop, duplicate or delay it."""
        impairment, rng = self.impairment, self.rng
        self.counts["came"] += 1
        if impairment.cut or rng.random() < impairment.drop:
            self.counts["dropped"] += 1
            return
        copies = 2 if rng.random() < impairment.duplicate else 1
        self.counts["doubled"] += copies - 1
        for _ in range(copies):
            delay_s = impairment.delay + impairment.jitter * rng.random()
            if delay_s:
                self.counts["late"] += 1
                self.reactor.callLater(delay_s, self._send, data)
            else:
                self._send(data)

    def _send(self, data: bytes) -> None:
        transport: Any = self._receiver.transport
        if transport is not None:
            try:
                transport.write(data, self.target)
            except OSError:  # the target does not listen now: the datagram is lost
                self.counts["dropped"] += 1

    def impairment_changed(self) -> None:
        """Apply the changed impairment to the open connections."""
        for inbound in list(self.connections):
            inbound.impairment_changed()

    def close(self) -> None:
        """Abort the connections and stop listening."""
        for inbound in list(self.connections):
            inbound.abort()
        for port in self._ports:
            port.stopListening()


class RelayMesh:
    """A relay for each direction between each two gateways.

    ``gateways`` maps their names to the addresses of their fleet listeners.
    """

    def __init__(self, reactor: Any, seed: int, gateways: dict[str, tuple[str, int]]) -> None:
        rng = random.Random(seed)
        self.relays = {
            (a, b): Relay(reactor, random.Random(rng.getrandbits(32)), at)
            for a in gateways for b, at in gateways.items() if a != b
        }  # fmt: skip

    def peers(self, name: str) -> dict[str, tuple[str, int]]:
        """The addresses at which the gateway ``name`` reaches the others, by their names."""
        return {b: relay.address for (a, b), relay in self.relays.items() if a == name}

    def between(self, side: set[str], both: bool = True) -> list[Relay]:
        """The relays from the gateways ``side`` to all others and, with ``both``, those back."""
        return [
            relay for (a, b), relay in self.relays.items()
            if (a in side) != (b in side) and (both or a in side)
        ]  # fmt: skip

    def close(self) -> None:
        """Close all relays."""
        for relay in self.relays.values():
            relay.close()
