"""Replaces a running process by a successor that takes over its listening socket.

The socket is passed (SCM_RIGHTS) over a Unix socket in the folder that both processes share, so that both use
one accept queue and the end of the predecessor resets no connection.  The predecessor sends its state, the
successor reports when it serves, and each forwards operators' calls to the other.
"""

from __future__ import annotations

import os
import socket
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.internet.endpoints import UNIXClientEndpoint
from twisted.internet.interfaces import IFileDescriptorReceiver
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from .core import ports
from .core.ports import Clock, Logger
from .handover_messages import (
    VERSION,
    AnswerOffer,
    CallMade,
    ClientCount,
    DescriptorsTaken,
    HandoverMessage,
    MalformedMessage,
    SuccessorServing,
    TakeoverOffer,
    decode,
    encode,
)
from .net import Connection
from .state import OperatorCall

REPLY_TIMEOUT_US = 4_000_000  # for the running process to hand over its listening socket
MAX_LINE_BYTES = 4 * 1024 * 1024
MAX_SOCKET_PATH_BYTES = 100  # a Unix socket's address holds 108 bytes
DESCRIPTORS_OF_AN_ANSWER = 2  # its client's and its node's


@dataclass(slots=True, frozen=True)
class Takeover:
    """What the running process hands over to its successor."""

    descriptor: int  # of the listening socket
    state: dict[str, Any]  # in the JSON form of the message


class Owner(Protocol):
    """The gateway process that a Handover belongs to."""

    def offer_takeover(self) -> Takeover | None:
        """Return what to hand over to a successor, or None if this process cannot be replaced now."""
        ...

    def sibling_process(self, present: bool) -> None:
        """Set whether another process of this gateway runs in parallel with this one."""
        ...

    def replaced(self, on: bool) -> None:
        """The successor serves in place of this process, or, with ``on`` False, has ended unexpectedly."""
        ...

    def follow(self, call: OperatorCall) -> None:
        """Apply an operator's call that the other process received."""
        ...

    def predecessor_clients(self, clients: int) -> None:
        """The predecessor has reported how many client connections it still holds."""
        ...

    def continue_answer(self, descriptors: list[int], state: dict[str, Any]) -> None:
        """Continue a streamed answer of the predecessor."""
        ...


@implementer(IFileDescriptorReceiver)
class HandoverConnection(Connection):
    """A connection between two processes of one gateway, open until either of them ends.

    :param is_successor: whether this process, at this end of the connection, is the successor.
    """

    def __init__(self, handover: Handover, is_successor: bool) -> None:
        self._handover = handover
        self.is_successor = is_successor
        self.successor_serves = False  # reported by the successor
        self.received_descriptors: deque[int] = deque()  # not yet claimed by a message
        self.unconfirmed: deque[int] = deque()  # sent descriptors, open until their receipt is confirmed
        self._buffer = bytearray()

    def connectionMade(self) -> None:
        """Twisted: the connection is open."""
        self._handover.connected(self)

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

    def dataReceived(self, data: bytes) -> None:
        """Twisted: decode the received bytes; each line is a message."""
        self._buffer += data
        while (end := self._buffer.find(b"\n")) >= 0:
            line = bytes(self._buffer[:end])
            del self._buffer[: end + 1]
            try:
                self._handover.received(self, decode(line))
            except (ValueError, LookupError, TypeError, AttributeError) as error:
                # The state in a well-formed message may be malformed, which the owner finds only in use.
                self._handover.log.error("handover_message_malformed", error=repr(error))
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
        self._handover.disconnected(self)


class _ConnectionFactory(Factory):
    noisy = False

    def __init__(self, handover: Handover, is_successor: bool) -> None:
        self._handover = handover
        self._is_successor = is_successor

    def buildProtocol(self, addr: Any) -> HandoverConnection:
        return HandoverConnection(self._handover, self._is_successor)


class Handover:
    """The Unix socket of one process, and its connections to its predecessor and its successor.

    Without a ``folder`` nothing is handed over.  ``listen`` is the clients' address, which names the socket.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        log: Logger,
        folder: str | None,
        listen: tuple[str, int],
        owner: Owner,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self.log = log
        self._owner = owner
        self._folder = Path(folder) if folder else None
        self._base_name = f"gaugesail-{listen[0]}-{listen[1]}"
        # Each process has its own socket, which it removes at its end; a symlink names the latest one.
        self._socket_name = f"{self._base_name}.{os.urandom(6).hex()}.sock"
        self._folder_descriptor: int | None = None
        self._port: Any = None
        self._connections: list[HandoverConnection] = []
        self._requested: Deferred[Takeover | None] | None = None
        self._timeout: ports.DelayedCall | None = None
        self._closed = False

    @property
    def _link_name(self) -> str:
        return f"{self._base_name}.sock"

    def _path(self, name: str) -> str:
        """The path of a name in the folder, short enough for a Unix socket's address."""
        assert self._folder is not None
        path = str(self._folder / name)
        if len(path.encode()) <= MAX_SOCKET_PATH_BYTES:
            return path
        if self._folder_descriptor is None:
            self._folder_descriptor = os.open(self._folder, os.O_PATH | os.O_DIRECTORY)
        return f"/proc/self/fd/{self._folder_descriptor}/{name}"

    # ---- as the successor ----

    def request_takeover(self) -> Deferred[Takeover | None]:
        """Request the running process's listening socket; the result is None if no process answers."""
        if self._folder is None or not os.path.lexists(self._folder / self._link_name):
            return succeed(None)
        requested: Deferred[Takeover | None] = Deferred()
        self._requested = requested
        self._timeout = self._clock.call_later(REPLY_TIMEOUT_US, lambda: self._no_takeover("silent"))
        try:
            endpoint: Any = UNIXClientEndpoint
            address = self._path(self._link_name)
            connected = endpoint(self._reactor, address).connect(_ConnectionFactory(self, True))
        except OSError as error:
            self._no_takeover(repr(error))
            return requested
        connected.addErrback(lambda failure: self._no_takeover(repr(failure.value)))
        return requested

    def _no_takeover(self, why: str) -> None:
        """Resolve the pending request with None, as no process hands over; no-op if it is resolved."""
        if (requested := self._pop_request()) is None:
            return
        self.log.info("no_predecessor", why=why)
        for connection in list(self._connections):
            connection.link.abortConnection()
        requested.callback(None)

    def _pop_request(self) -> Deferred[Takeover | None] | None:
        """Remove and return the pending request and cancel its timeout; None if there is none."""
        requested, self._requested = self._requested, None
        if requested is not None and self._timeout is not None and self._timeout.active():
            self._timeout.cancel()
        return requested

    def announce_serving(self) -> None:
        """Notify the predecessor that this process serves, and listen for a successor."""
        for connection in self._connections:
            if connection.is_successor:
                connection.send(SuccessorServing())
        if self._folder is None or self._closed:
            return
        # A fault of the folder must not stop this process from serving; only a handover becomes impossible.
        try:
            self._listen(self._folder)
        except Exception as error:  # Twisted wraps system errors in exceptions of its own
            self.log.warning("handover_unavailable", error=repr(error))

    def _listen(self, folder: Path) -> None:
        """Listen on this process's own socket, and point the symlink that successors use to it."""
        factory = _ConnectionFactory(self, False)
        self._port = self._reactor.listenUNIX(self._path(self._socket_name), factory, mode=0o600)
        link = folder / self._link_name
        new_link = folder / f"{self._socket_name}.link"
        new_link.symlink_to(self._socket_name)
        previous = folder / os.readlink(link) if link.is_symlink() else None
        new_link.replace(link)
        if previous is not None and not self._connections:  # left behind by a process that was killed
            previous.unlink(missing_ok=True)

    # ---- as the predecessor ----

    @property
    def successor(self) -> HandoverConnection | None:
        """The connection to the successor, or None until it serves."""
        for connection in self._connections:
            if connection.successor_serves and not connection.is_successor:
                return connection
        return None

    @property
    def unconfirmed(self) -> bool:
        """Whether the receipt of any sent descriptor is not yet confirmed."""
        return any(connection.unconfirmed for connection in self._connections)

    def hand_over_answer(self, descriptors: list[int], state: dict[str, Any]) -> None:
        """Hand over a streamed answer, with the descriptors of its client and its node."""
        successor = self.successor
        assert successor is not None
        successor.hand_over(descriptors, AnswerOffer(state))

    def report_clients(self, clients: int) -> None:
        """Report to the successor how many client connections this process still holds."""
        if (successor := self.successor) is not None:
            successor.send(ClientCount(clients))

    def announce_call(self, call: OperatorCall) -> None:
        """Forward an operator's call to the other process."""
        for connection in self._connections:
            connection.send(CallMade(call))

    # ---- connections ----

    def connected(self, connection: HandoverConnection) -> None:
        """Handle a connection to the other process that has opened."""
        if connection.is_successor:
            if self._requested is None:  # too late: this process started without a takeover
                connection.link.abortConnection()
            else:
                self._connections.append(connection)
            return
        # One successor at a time: the state must not be handed over to two.
        takeover = None if self._connections or self._closed else self._owner.offer_takeover()
        if takeover is None:
            connection.link.loseConnection()
            return
        self._connections.append(connection)
        connection.link.sendFileDescriptor(takeover.descriptor)
        connection.send(TakeoverOffer(takeover.state))
        self._owner.sibling_process(True)

    def received(self, connection: HandoverConnection, message: HandoverMessage | None) -> None:
        """Handle a message; raises MalformedMessage if it does not fit the previous ones."""
        match message:
            case TakeoverOffer():
                self._take_over(connection, message)
            case AnswerOffer():
                descriptors = connection.pop_descriptors(DESCRIPTORS_OF_AN_ANSWER)
                connection.send(DescriptorsTaken(len(descriptors)))
                self._owner.continue_answer(descriptors, message.state)
            case DescriptorsTaken():
                connection.confirm(message.count)
            case SuccessorServing():
                connection.successor_serves = True
                self._owner.replaced(True)
            case ClientCount():
                self._owner.predecessor_clients(message.clients)
            case CallMade():
                self._owner.follow(message.call)

    def _take_over(self, connection: HandoverConnection, offer: TakeoverOffer) -> None:
        if offer.version != VERSION or not connection.received_descriptors or self._requested is None:
            raise MalformedMessage(
                f"expected a requested takeover of version {VERSION} with a descriptor,"
                f" received version {offer.version} with {len(connection.received_descriptors)} descriptors"
                f" (pending request: {self._requested!r})"
            )
        self._owner.sibling_process(True)
        takeover = Takeover(connection.received_descriptors.popleft(), offer.state)
        if (requested := self._pop_request()) is not None:
            requested.callback(takeover)

    def disconnected(self, connection: HandoverConnection) -> None:
        """Handle the end of a connection to the other process."""
        if connection not in self._connections:
            return
        self._connections.remove(connection)
        if self._closed:
            return
        self._no_takeover("connection closed")
        self._owner.sibling_process(bool(self._connections))
        if connection.successor_serves and not connection.is_successor:
            self._owner.replaced(False)  # the successor ended unexpectedly: this process serves again

    def close(self) -> None:
        """Close the connections, and remove the socket, and the symlink if it still names this socket."""
        self._closed = True
        for connection in list(self._connections):
            connection.link.loseConnection()
        if self._port is None or self._folder is None:
            return
        maybeDeferred(self._port.stopListening).addErrback(self._not_removed)
        try:
            link = self._folder / self._link_name
            if link.is_symlink() and os.readlink(link) == self._socket_name:
                link.unlink()
        except OSError as error:  # the next process finds a dangling link, and opens its own listening socket
            self.log.warning("handover_socket_not_removed", error=repr(error))

    def _not_removed(self, failure: Failure) -> None:
        self.log.warning("handover_socket_not_removed", error=repr(failure.value))


def adopt_port(reactor: Any, descriptor: int, factory: Any) -> Any:
    """Return the listening port of a descriptor that was handed over; it does not accept yet."""
    port = reactor.adoptStreamPort(descriptor, socket.AF_INET, factory)
    port.stopReading()
    os.close(descriptor)  # the port has duplicated it
    return port
