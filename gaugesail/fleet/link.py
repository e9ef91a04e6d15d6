"""Sends and receives messages between gateways: small ones as UDP datagrams, large ones over TCP channels.

Delivery is not guaranteed.  Each gateway listens at one address for both.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import DatagramProtocol

from gaugesail.coordination.messages import Message

from ..core.ports import Clock, Logger
from .tcp_channel import IDLE_TIMEOUT_US, AcceptedChannels, DialledChannel
from .wire import MAX_DATAGRAM_BYTES, MAX_MESSAGE_BYTES, Wire

MAX_PACKET_BYTES = 65_536  # the largest UDP datagram
Address = tuple[str, int]  # host and port


class FleetReactor(Protocol):
    """The part of a Twisted reactor that the link uses."""

    def callLater(self, delay: float, call: Callable[..., Any], /, *args: Any) -> Any:
        """Schedule a call after ``delay`` seconds."""

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        """Accept connections.  Raises CannotListenError."""

    def listenUDP(self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8192) -> Any:  # noqa: N803
        """Receive datagrams.  Raises CannotListenError."""

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None  # noqa: N803
    ) -> Any:  # fmt: skip
        """Connect to an address."""


class _Datagrams(DatagramProtocol):
    noisy = False

    def __init__(self, receive: Callable[[bytes], None]) -> None:
        self._receive = receive

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self._receive(datagram)


class Link:
    """Exchanges one process's messages with the other gateways.

    ``counts`` are the operators' counters of bytes, and of messages that could not be sent.

    :param address_of: returns the address of a gateway by its name; None if it is not known.
    :param receive: called with the sender, the sender's process and the message.
    """

    def __init__(
        self,
        reactor: FleetReactor,
        clock: Clock,
        wire: Wire,
        log: Logger,
        address_of: Callable[[str], Address | None],
        receive: Callable[[str, int, Message], None],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._wire = wire
        self._log = log
        self._address_of = address_of
        self._receive = receive
        self.counts: Counter[str] = Counter()
        self._channels: dict[Address, DialledChannel] = {}
        self._accepted = AcceptedChannels(clock, self.counts, self._frame_received)
        self._datagrams = _Datagrams(self._frame_received)
        self._ports: list[Any] = []
        self._closed = False

    @property
    def listening(self) -> bool:
        """Whether ``listen`` has succeeded."""
        return bool(self._ports)

    def listen(self, host: str, port: int) -> Address:
        """Listen for TCP and UDP at one address, and return it.  Raises CannotListenError."""
        accepting = self._reactor.listenTCP(port, self._accepted, interface=host)
        port = accepting.getHost().port
        try:
            datagrams = self._reactor.listenUDP(
                port, self._datagrams, interface=host, maxPacketSize=MAX_PACKET_BYTES
            )
        except Exception:
            accepting.stopListening()
            raise
        self._ports = [accepting, datagrams]
        return host, port

    def send(self, to: str, message: Message) -> None:
        """Send a message to a gateway if its address is known; there is no acknowledgement."""
        address = self._address_of(to)
        if address is None or self._closed:
            self.counts["no_address"] += 1
            return
        frame = self._wire.pack(to, message)
        self.counts["bytes_out"] += len(frame)
        if len(frame) <= MAX_DATAGRAM_BYTES:
            self._send_datagram(address, frame)
        elif len(frame) <= MAX_MESSAGE_BYTES:
            self._channel(address).send(frame)
        else:
            self.counts["too_large"] += 1
            kind = type(message).__name__
            self._log.error("fleet_message_too_large", to=to, bytes=len(frame), kind=kind)

    def _send_datagram(self, address: Address, frame: bytes) -> None:
        transport: Any = self._datagrams.transport
        try:
            transport.write(frame, address)
        except OSError:  # a full buffer or no route: as if the network had lost it
            self.counts["not_sent"] += 1

    def _channel(self, address: Address) -> DialledChannel:
        channel = self._channels.get(address)
        if channel is None:
            channel = DialledChannel(self._reactor, self._clock, address, self.counts)
            self._channels[address] = channel
        return channel

    def _frame_received(self, frame: bytes) -> None:
        self.counts["bytes_in"] += len(frame)
        received = self._wire.unpack(frame)
        if received is not None:
            self._receive(*received)

    def sweep(self) -> None:
        """Close idle channels."""
        now = self._clock.now_us()
        for address, channel in list(self._channels.items()):
            if now - channel.used_at_us > IDLE_TIMEOUT_US:
                channel.close()
                del self._channels[address]
        self._accepted.close_idle(now)

    def close(self) -> None:
        """Stop listening, and close all channels."""
        self._closed = True
        for port in self._ports:
            port.stopListening()
        for channel in self._channels.values():
            channel.close()
        self._accepted.close()
