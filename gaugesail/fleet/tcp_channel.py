"""Messages too large for a datagram, over TCP.

A channel carries frames one way, from who dialled, so that a cut of one direction is one direction's.  Each
frame is preceded by its length in four bytes, the most significant first.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from ..core.ports import Clock
from ..net import Connection, dial
from .wire import MAX_MESSAGE_BYTES

MAX_QUEUED_BYTES = 4 * 1024 * 1024  # that wait for one channel; the oldest frames are dropped beyond
MAX_ACCEPTED = 256  # channels that others have open here
DIAL_TIMEOUT_S = 1.0
IDLE_TIMEOUT_US = 10_000_000
LENGTH_BYTES = 4


class AcceptedChannel(Int32StringReceiver):
    """The end of a channel that another gateway dialled; what cannot be a frame ends it."""

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self, channels: AcceptedChannels) -> None:
        self._channels = channels
        self.used_at = 0

    @property
    def pipe(self) -> Any:
        """The transport, which Twisted's interfaces do not type."""
        return self.transport

    def connectionMade(self) -> None:
        """Twisted: it is open."""
        self.used_at = self._channels.clock.now_us()
        self._channels.open[self] = None

    def stringReceived(self, string: bytes) -> None:
        """Twisted: a frame has come."""
        self.used_at = self._channels.clock.now_us()
        self._channels.receive(string)

    def lengthLimitExceeded(self, length: int) -> None:
        """Twisted: a frame would be too large."""
        self._channels.counts["too_large"] += 1
        self.pipe.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted: it has ended."""
        self._channels.open.pop(self, None)


class AcceptedChannels(Factory):
    """All channels that others have dialled.  ``receive`` takes each frame."""

    noisy = False

    def __init__(self, clock: Clock, counts: Counter[str], receive: Callable[[bytes], None]) -> None:
        self.clock = clock
        self.counts = counts
        self.receive = receive
        self.open: dict[AcceptedChannel, None] = {}
        self._closed = False

    def buildProtocol(self, addr: Any) -> AcceptedChannel | None:
        """Twisted: another gateway dials; None refuses."""
        if self._closed or len(self.open) >= MAX_ACCEPTED:
            return None
        return AcceptedChannel(self)

    def end_idle(self, now: int) -> None:
        """End those on which nothing came for twice as long as their dialler lets them idle."""
        idle = [channel for channel in self.open if now - channel.used_at > 2 * IDLE_TIMEOUT_US]
        for channel in idle:
            channel.pipe.abortConnection()

    def close(self) -> None:
        """End all of them, and accept no more."""
        self._closed = True
        for channel in list(self.open):
            channel.pipe.abortConnection()


class _DialledConnection(Connection):
    """The end that dialled: it sends, and whatever comes back ends it."""

    def __init__(self, channel: DialledChannel) -> None:
        self._channel = channel

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._channel.connection_lost(self)

    def dataReceived(self, data: bytes) -> None:
        self.link.abortConnection()


class DialledChannel:
    """What goes to one address: dialled when there is something to send, and again once it was lost."""

    def __init__(self, reactor: Any, clock: Clock, address: tuple[str, int], counts: Counter[str]) -> None:
        self._reactor = reactor
        self._clock = clock
        self._address = address
        self._counts = counts
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._connection: _DialledConnection | None = None
        self._dialling = False
        self.used_at = 0

    def send(self, frame: bytes) -> None:
        """Send a frame, in order; nobody hears whether it arrived."""
        self.used_at = self._clock.now_us()
        self._queue.append(len(frame).to_bytes(LENGTH_BYTES, "big") + frame)
        self._queued_bytes += len(frame)
        while self._queued_bytes > MAX_QUEUED_BYTES and len(self._queue) > 1:
            self._take_oldest()
            self._counts["queue_full"] += 1
        self._flush()

    def _take_oldest(self) -> bytes:
        oldest = self._queue.popleft()
        self._queued_bytes -= len(oldest) - LENGTH_BYTES
        return oldest

    def _flush(self) -> None:
        if self._connection is not None:
            while self._queue:
                self._connection.link.write(self._take_oldest())
        elif not self._dialling:
            self._dialling = True
            connecting = dial(self._reactor, self._address, DIAL_TIMEOUT_S, lambda: _DialledConnection(self))
            connecting.addCallbacks(self._connected, self._not_connected)

    def _connected(self, connection: _DialledConnection) -> None:
        self._dialling = False
        self._connection = connection
        connection.link.setTcpNoDelay(True)
        self._flush()

    def _not_connected(self, failure: Failure) -> None:
        """What waits is dropped: whoever wants a response sends its request again."""
        self._dialling = False
        self._counts["no_exchange"] += 1
        self._queue.clear()
        self._queued_bytes = 0

    def connection_lost(self, connection: _DialledConnection) -> None:
        """The next frame dials again."""
        if connection is self._connection:
            self._connection = None

    def close(self) -> None:
        """End its connection."""
        if self._connection is not None:
            self._connection.link.abortConnection()
