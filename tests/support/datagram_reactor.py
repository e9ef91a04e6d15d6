"""The shared helper: a reactor in memory that has datagrams too."""

from __future__ import annotations

from typing import Any

from twisted.internet.address import IPv4Address

from gaugesail.rehearsal.memory import MemoryReactor


class Transport:
    """Where one port writes; what it wrote is kept."""

    def __init__(self, reactor: UdpReactor) -> None:
        self._reactor = reactor
        self.sent: list[bytes] = []

    def write(self, data: bytes, to: tuple[str, int]) -> None:
        self.sent.append(data)
        self._reactor.callLater(0.0005, self._reactor.arrive, data, to)


class UdpReactor(MemoryReactor):
    """TCP and UDP between ports of its own; a datagram takes half a millisecond."""

    def __init__(self) -> None:
        super().__init__()
        self.udp: dict[tuple[str, int], Any] = {}

    def listenUDP(self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 0) -> Any:  # noqa: N803
        here = interface, port
        self.udp[here] = protocol
        protocol.transport = Transport(self)
        return _Port(self, here)

    def arrive(self, data: bytes, to: tuple[str, int]) -> None:
        if (protocol := self.udp.get(to)) is not None:
            protocol.datagramReceived(data, ("", 0))


class _Port:
    def __init__(self, reactor: UdpReactor, here: tuple[str, int]) -> None:
        self._reactor, self._here = reactor, here

    def getHost(self) -> Any:
        return IPv4Address("UDP", *self._here)

    def stopListening(self) -> None:
        self._reactor.udp.pop(self._here, None)
