"""The link between heads: datagrams for what is small, an exchange over TCP for what is large.

Nothing here is promised to arrive.  Each head listens at one address for both; an exchange carries frames one
way, from who dialled, so that a cut of one direction is one direction's.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import DatagramProtocol, Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from gaugesail.coordination.messages import Message

from ..core.ports import Clock, Logger
from ..net import Connection, dial
from .wire import MOST_BYTES, MOST_DATAGRAM, Wire

MOST_QUEUED = 4 * 1024 * 1024  # bytes that wait for one exchange; the oldest go
MOST_EXCHANGES = 256  # that others have open here
DIAL_S = 1.0
IDLE_US = 10_000_000  # an exchange that nothing was said on


class FleetReactor(Protocol):
    """The part of a Twisted reactor that the link uses."""

    def callLater(self, delay: float, call: Callable[..., Any], /, *args: Any) -> Any: ...
    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any: ...
    def listenUDP(self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8192) -> Any: ...  # noqa: N803
    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None  # noqa: N803
    ) -> Any: ...  # fmt: skip


class _Datagrams(DatagramProtocol):
    noisy = False

    def __init__(self, heard: Callable[[bytes], None]) -> None:
        self._heard = heard

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self._heard(datagram)


class _Frames(Int32StringReceiver):
    """One end of an exchange; what cannot be a frame ends it."""

    MAX_LENGTH = MOST_BYTES

    def __init__(self, link: Link) -> None:
        self._link = link
        self.used_at = 0

    @property
    def pipe(self) -> Any:
        return self.transport

    def connectionMade(self) -> None:
        self.used_at = self._link.clock.now_us()
        self._link.opened(self)

    def stringReceived(self, string: bytes) -> None:
        self.used_at = self._link.clock.now_us()
        self._link.heard(string)

    def lengthLimitExceeded(self, length: int) -> None:
        self._link.counts["too_large"] += 1
        self.pipe.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._link.closed(self)


class _Accepts(Factory):
    noisy = False

    def __init__(self, link: Link) -> None:
        self._link = link

    def buildProtocol(self, addr: Any) -> _Frames | None:
        return _Frames(self._link) if self._link.room else None


class _Out(Connection):
    """The dialled end: it says, and hears nothing."""

    def __init__(self, exchange: _Exchange) -> None:
        self._exchange = exchange

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._exchange.lost(self)

    def dataReceived(self, data: bytes) -> None:
        self.link.abortConnection()  # nothing is said this way


class _Exchange:
    """What goes to one address by TCP."""

    def __init__(self, link: Link, address: tuple[str, int]) -> None:
        self._link, self._address = link, address
        self._queue: deque[bytes] = deque()
        self._bytes = 0
        self._connection: _Out | None = None
        self._dialling = False
        self.used_at = 0

    def send(self, data: bytes) -> None:
        self.used_at = self._link.clock.now_us()
        self._queue.append(len(data).to_bytes(4, "big") + data)
        self._bytes += len(data)
        while self._bytes > MOST_QUEUED and len(self._queue) > 1:
            self._bytes -= len(self._queue.popleft()) - 4
            self._link.counts["queue_full"] += 1
        self._flush()

    def _flush(self) -> None:
        if self._connection is not None:
            while self._queue:
                frame = self._queue.popleft()
                self._bytes -= len(frame) - 4
                self._connection.link.write(frame)
        elif not self._dialling:
            self._dialling = True
            made = dial(self._link.reactor, self._address, DIAL_S, lambda: _Out(self))
            made.addCallbacks(self._up, self._down)

    def _up(self, connection: _Out) -> None:
        self._dialling, self._connection = False, connection
        connection.link.setTcpNoDelay(True)
        self._flush()

    def _down(self, failure: Failure) -> None:
        self._dialling = False
        self._link.counts["no_exchange"] += 1
        self._queue.clear()  # whoever wants an answer asks again
        self._bytes = 0

    def lost(self, connection: _Out) -> None:
        if connection is self._connection:
            self._connection = None

    def close(self) -> None:
        if self._connection is not None:
            self._connection.link.abortConnection()


class Link:
    """One head's way to the others.  ``address`` tells where a head is reached, or None."""

    def __init__(
        self,
        reactor: FleetReactor,
        clock: Clock,
        wire: Wire,
        log: Logger,
        address: Callable[[str], tuple[str, int] | None],
        heard: Callable[[str, int, Message], None],
    ) -> None:
        self.reactor, self.clock, self._wire, self._log = reactor, clock, wire, log
        self._address, self._heard = address, heard
        self.counts: Counter[str] = Counter()
        self._exchanges: dict[tuple[str, int], _Exchange] = {}
        self._accepted: dict[_Frames, None] = {}
        self._datagrams = _Datagrams(self.heard)
        self._ports: list[Any] = []
        self._closed = False

    @property
    def listening(self) -> bool:
        return bool(self._ports)

    @property
    def room(self) -> bool:
        return len(self._accepted) < MOST_EXCHANGES and not self._closed

    def listen(self, host: str, port: int) -> tuple[str, int]:
        """Listen at one address for both; raises where it cannot be had."""
        accepts = self.reactor.listenTCP(port, _Accepts(self), interface=host)
        port = accepts.getHost().port
        try:
            datagrams = self.reactor.listenUDP(port, self._datagrams, interface=host, maxPacketSize=65_536)
        except Exception:
            accepts.stopListening()
            raise
        self._ports = [accepts, datagrams]
        return host, port

    def send(self, to: str, message: Message) -> None:
        """Say something to a head, as far as it can be reached; nobody hears whether it arrived."""
        address = self._address(to)
        if address is None or self._closed:
            self.counts["no_address"] += 1
            return
        data = self._wire.pack(to, message)
        self.counts["bytes_out"] += len(data)
        if len(data) <= MOST_DATAGRAM:
            transport: Any = self._datagrams.transport
            try:
                transport.write(data, address)
            except OSError:  # a full buffer or no way there: as if it were lost on the way
                self.counts["not_sent"] += 1
            return
        if len(data) > MOST_BYTES:
            self.counts["too_large"] += 1
            self._log.error("fleet_message_too_large", to=to, bytes=len(data), kind=type(message).__name__)
            return
        if (exchange := self._exchanges.get(address)) is None:
            exchange = self._exchanges[address] = _Exchange(self, address)
        exchange.send(data)

    def heard(self, data: bytes) -> None:
        self.counts["bytes_in"] += len(data)
        if (told := self._wire.unpack(data)) is not None:
            self._heard(*told)

    def opened(self, frames: _Frames) -> None:
        self._accepted[frames] = None

    def closed(self, frames: _Frames) -> None:
        self._accepted.pop(frames, None)

    def sweep(self) -> None:
        """End exchanges that nobody uses."""
        now = self.clock.now_us()
        for address, exchange in list(self._exchanges.items()):
            if now - exchange.used_at > IDLE_US:
                exchange.close()
                del self._exchanges[address]
        for frames in [frames for frames in self._accepted if now - frames.used_at > 2 * IDLE_US]:
            frames.pipe.abortConnection()

    def close(self) -> None:
        self._closed = True
        for port in self._ports:
            port.stopListening()
        for exchange in self._exchanges.values():
            exchange.close()
        for frames in list(self._accepted):
            frames.pipe.abortConnection()
