"""A reactor in memory with UDP ports."""

from __future__ import annotations

from typing import Any

from twisted.internet.address import IPv4Address

from gaugesail.rehearsal.memory import MemoryReactor


class Transport:
    """The transport of one port; ``sent`` records its datagrams."""

    def __init__(self, reactor: UdpReactor) -> None:
        self._reactor = reactor
        self.sent: list[bytes] = []

    def write(self, data: bytes, to: tuple[str, int]) -> None:
        self.sent.append(data)
        self._reactor.callLater(0.0005, self._reactor.deliver, data, to)


class UdpReactor(MemoryReactor):
    """TCP and UDP between its own ports; a datagram takes half a millisecond."""

    def __init__(self) -> None:
        super().__init__()
        self.udp: dict[tuple[str, int], Any] = {}

    def listenUDP(self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 0) -> Any:  # noqa: N803
        address = interface, port
        self.udp[address] = protocol
        protocol.transport = Transport(self)
        return _Port(self, address)

    def deliver(self, data: bytes, to: tuple[str, int]) -> None:
        """Deliver a datagram to a port; it is lost if nothing listens there."""
        if (protocol := self.udp.get(to)) is not None:
            protocol.datagramReceived(data, ("", 0))


class _Port:
    def __init__(self, reactor: UdpReactor, address: tuple[str, int]) -> None:
        self._reactor, self._address = reactor, address

    def getHost(self) -> Any:
        return IPv4Address("UDP", *self._address)

    def stopListening(self) -> None:
        self._reactor.udp.pop(self._address, None)
