"""A connection between two processes of one gateway: lines of messages, and descriptors beside them."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from twisted.internet.interfaces import IFileDescriptorReceiver, IPushProducer
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from .core.ports import Logger
from .handover_messages import HandoverMessage, MalformedMessage, decode, encode
from .net import Connection, send_now

MAX_LINE_BYTES = 4 * 1024 * 1024


@dataclass(slots=True, frozen=True)
class Takeover:
    """What the running process hands over to its successor."""

    descriptor: int  # of the listening socket
    state: dict[str, Any]  # in the JSON form of the message


class ConnectionOwner(Protocol):
    """The end of a HandoverConnection in this process."""

    log: Logger

    def connected(self, connection: HandoverConnection) -> None:
        """Handle a connection that has opened."""
        ...

    def received(self, connection: HandoverConnection, message: HandoverMessage | None) -> None:
        """Handle a message, None for one of an unknown kind.

        Raises MalformedMessage if it does not fit the previous ones.
        """
        ...

    def disconnected(self, connection: HandoverConnection) -> None:
        """Handle the end of a connection."""
        ...


@implementer(IFileDescriptorReceiver, IPushProducer)
class HandoverConnection(Connection):
    """A connection between two processes of one gateway, open until either of them ends.

    :param is_successor: whether this process, at this end of the connection, is the successor.
    """

    def __init__(self, owner: ConnectionOwner, is_successor: bool) -> None:
        self._owner = owner
        self.is_successor = is_successor
        self.successor_serves = False  # reported by the successor
        self.coordinates_keys = False  # the other process has sent Hello
        self.takes_unsent_output = False  # the other process takes a streamed answer's unsent output
        self.backlogged = False  # the other process does not read
        self.received_descriptors: deque[int] = deque()  # not yet claimed by a message
        self.unconfirmed: deque[int] = deque()  # sent descriptors, open until their receipt is confirmed
        self._buffer = bytearray()

    def connectionMade(self) -> None:
        """Twisted: the connection is open."""
        self.link.registerProducer(self, True)
        self._owner.connected(self)

    def pauseProducing(self) -> None:
        """Twisted: the write buffer is full."""
        self.backlogged = True

    def resumeProducing(self) -> None:
        """Twisted: the write buffer is empty."""
        self.backlogged = False

    def stopProducing(self) -> None:
        """Twisted: the connection has ended; ``connectionLost`` is called too."""

    def fileDescriptorReceived(self, descriptor: int) -> None:
        """Twisted: a descriptor has been received, ahead of the message that it belongs to."""
        self.received_descriptors.append(descriptor)

    def pop_descriptors(self, count: int) -> list[int]:
        """Remove and return the next ``count`` received descriptors; raises MalformedMessage if fewer."""
        if len(self.received_descriptors) < count:
            raise MalformedMessage(f"expected {count} descriptors, received {len(self.received_descriptors)}")
        return [self.received_descriptors.popleft() for _ in range(count)]

    def hand_over(self, descriptors: Sequence[int], message: HandoverMessage) -> None:
        """Send descriptors with their message; they are closed here once their receipt is confirmed."""
        for descriptor in descriptors:
            self.link.sendFileDescriptor(descriptor)
        self.unconfirmed += descriptors
        self.send(message)

    def confirm(self, count: int) -> None:
        """Close the next ``count`` sent descriptors, as the other process has received them.

        Raises MalformedMessage if fewer are unconfirmed.
        """
        if len(self.unconfirmed) < count:
            raise MalformedMessage(f"{count} descriptors confirmed, but {len(self.unconfirmed)} unconfirmed")
        for _ in range(count):
            os.close(self.unconfirmed.popleft())

    def send(self, message: HandoverMessage) -> None:
        """Send a message without descriptors."""
        self.link.write(encode(message))

    def send_now(self, message: HandoverMessage) -> None:
        """Send a message within this call, unless others or descriptors wait to be sent before it."""
        if getattr(self.link, "_sendmsgQueue", None):
            self.send(message)
        else:
            send_now(self.link, encode(message))

    def dataReceived(self, data: bytes) -> None:
        """Twisted: decode the received bytes; each line is a message."""
        self._buffer += data
        while (end := self._buffer.find(b"\n")) >= 0:
            line = bytes(self._buffer[:end])
            del self._buffer[: end + 1]
            try:
                self._owner.received(self, decode(line))
            except (ValueError, LookupError, TypeError, AttributeError) as error:
                # The state in a well-formed message may be malformed, which the owner finds only in use.
                self._owner.log.error("handover_message_malformed", error=repr(error))
                self.link.abortConnection()
                return
        if len(self._buffer) > MAX_LINE_BYTES:
            self.link.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted: the connection has ended; close the descriptors that are left."""
        for descriptor in (*self.received_descriptors, *self.unconfirmed):
            os.close(descriptor)
        self.received_descriptors.clear()
        self.unconfirmed.clear()
        self._owner.disconnected(self)


class ConnectionFactory(Factory):
    """Creates the connections of one owner."""

    noisy = False

    def __init__(self, owner: ConnectionOwner, is_successor: bool) -> None:
        self._owner = owner
        self._is_successor = is_successor

    def buildProtocol(self, addr: Any) -> HandoverConnection:
        """Twisted: create the protocol of a new connection."""
        return HandoverConnection(self._owner, self._is_successor)
