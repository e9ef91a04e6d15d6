"""TCP channels for messages too large for a datagram.

A channel carries frames in one direction, from the gateway that dialled, so that a network fault in one
direction does not stop the other.  Each frame is preceded by its length: four bytes, big-endian.
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

MAX_QUEUED_BYTES = 4 * 1024 * 1024  # for one channel; beyond that the oldest frames are dropped
MAX_ACCEPTED = 256  # open channels that other gateways dialled
DIAL_TIMEOUT_S = 1.0
IDLE_TIMEOUT_US = 10_000_000
LENGTH_BYTES = 4


class AcceptedChannel(Int32StringReceiver):
    """The receiving end of a channel; an oversized frame closes it."""

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self, channels: AcceptedChannels) -> None:
        self._channels = channels
        self.used_at_us = 0

    @property
    def link(self) -> Any:
        """The transport, untyped, as mypy does not understand Twisted's zope interfaces."""
        return self.transport

    def connectionMade(self) -> None:
        """Twisted: the channel is open."""
        self.used_at_us = self._channels.clock.now_us()
        self._channels.open[self] = None

    def stringReceived(self, string: bytes) -> None:
        """Twisted: a frame was received."""
        self.used_at_us = self._channels.clock.now_us()
        self._channels.receive(string)

    def lengthLimitExceeded(self, length: int) -> None:
        """Twisted: the announced length is over MAX_LENGTH."""
        self._channels.counts["too_large"] += 1
        self.link.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted: the channel was closed."""
        self._channels.open.pop(self, None)


class AcceptedChannels(Factory):
    """All channels that other gateways dialled; ``receive`` is called with each frame."""

    noisy = False

    def __init__(self, clock: Clock, counts: Counter[str], receive: Callable[[bytes], None]) -> None:
        self.clock = clock
        self.counts = counts
        self.receive = receive
        self.open: dict[AcceptedChannel, None] = {}
        self._closed = False

    def buildProtocol(self, addr: Any) -> AcceptedChannel | None:
        """Twisted: a connection was accepted; None closes it, at MAX_ACCEPTED and after ``close``."""
        if self._closed or len(self.open) >= MAX_ACCEPTED:
            return None
        return AcceptedChannel(self)

    def close_idle(self, now: int) -> None:
        """Close channels without a frame for twice the idle time after which the dialling end closes them."""
        idle = [channel for channel in self.open if now - channel.used_at_us > 2 * IDLE_TIMEOUT_US]
        for channel in idle:
            channel.link.abortConnection()

    def close(self) -> None:
        """Close all channels and accept no more."""
        self._closed = True
        for channel in list(self.open):
            channel.link.abortConnection()


class _DialledConnection(Connection):
    """The sending end of a channel; any data received closes it."""

    def __init__(self, channel: DialledChannel) -> None:
        self._channel = channel

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._channel.connection_lost(self)

    def dataReceived(self, data: bytes) -> None:
        self.link.abortConnection()


class DialledChannel:
    """The sending side towards one address: dials when there is a frame to send, and again after a loss."""

    def __init__(self, reactor: Any, clock: Clock, address: tuple[str, int], counts: Counter[str]) -> None:
        self._reactor = reactor
        self._clock = clock
        self._address = address
        self._counts = counts
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._connection: _DialledConnection | None = None
        self._dialling = False
        self.used_at_us = 0

    def send(self, frame: bytes) -> None:
        """Queue a frame; frames are sent in order, without acknowledgement."""
        self.used_at_us = self._clock.now_us()
        self._queue.append(len(frame).to_bytes(LENGTH_BYTES, "big") + frame)
        self._queued_bytes += len(frame)
        while self._queued_bytes > MAX_QUEUED_BYTES and len(self._queue) > 1:
            self._pop_oldest()
            self._counts["queue_full"] += 1
        self._flush()

    def _pop_oldest(self) -> bytes:
        oldest = self._queue.popleft()
        self._queued_bytes -= len(oldest) - LENGTH_BYTES
        return oldest

    def _flush(self) -> None:
        if self._connection is not None:
            while self._queue:
                self._connection.link.write(self._pop_oldest())
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
        """Drop the queue: a sender that needs a response repeats its request."""
        self._dialling = False
        self._counts["no_exchange"] += 1
        self._queue.clear()
        self._queued_bytes = 0

    def connection_lost(self, connection: _DialledConnection) -> None:
        """Forget a lost connection; the next frame dials again."""
        if connection is self._connection:
            self._connection = None

    def close(self) -> None:
        """Abort the connection."""
        if self._connection is not None:
            self._connection.link.abortConnection()
