"""Replacing a running process: its successor is handed the listening socket of the clients' address.

The socket itself is passed (SCM_RIGHTS) over a Unix socket in the folder that both processes share, so that
both have one accept queue and the end of the first resets nothing.  The predecessor says what its successor
is to know, the successor says when it serves, and both tell each other what operators ask.
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

REPLY_TIMEOUT_US = 4_000_000  # how long the running process may take to hand over
MAX_LINE_BYTES = 4 * 1024 * 1024
MAX_SOCKET_PATH_BYTES = 100  # a Unix socket's address holds 108 bytes
DESCRIPTORS_OF_AN_ANSWER = 2  # its client's and its node's


@dataclass(slots=True, frozen=True)
class Takeover:
    """What the running process hands to its successor."""

    descriptor: int  # of the listening socket
    state: dict[str, Any]


class Owner(Protocol):
    """The gateway's process, as its handover sees it."""

    def offer_takeover(self) -> Takeover | None:
        """What a successor gets; None where this process has nothing to hand over."""
        ...

    def sibling_process(self, present: bool) -> None:
        """Another process of this gateway runs beside this one, or no longer."""
        ...

    def replaced(self, on: bool) -> None:
        """The successor serves in place of this process, or has died and this one serves again."""
        ...

    def follow(self, call: OperatorCall) -> None:
        """An operator has called the other process."""
        ...

    def predecessor_clients(self, clients: int) -> None:
        """How many clients the predecessor still holds."""
        ...

    def continue_answer(self, descriptors: list[int], state: dict[str, Any]) -> None:
        """Go on with a streamed answer of the predecessor."""
        ...


@implementer(IFileDescriptorReceiver)
class HandoverConnection(Connection):
    """A connection between two processes of one gateway; it lasts as long as both do."""

    def __init__(self, handover: Handover, is_successor: bool) -> None:
        self._handover = handover
        self.is_successor = is_successor  # this process is the next one
        self.successor_serves = False  # the other process has said that it serves
        self.received_descriptors: deque[int] = deque()  # that nobody has taken yet
        self.unconfirmed: deque[int] = deque()  # descriptors of ours, until the other process has them
        self._buffer = bytearray()

    def connectionMade(self) -> None:
        """Twisted: the connection is open."""
        self._handover.connected(self)

    def fileDescriptorReceived(self, descriptor: int) -> None:
        """Twisted: a descriptor has come, ahead of the message that says what it is."""
        self.received_descriptors.append(descriptor)

    def take_descriptors(self, count: int) -> list[int]:
        """Descriptors that came with the latest message.  MalformedMessage where there are too few."""
        if len(self.received_descriptors) < count:
            raise MalformedMessage(f"{count} descriptors are needed, {len(self.received_descriptors)} came")
        return [self.received_descriptors.popleft() for _ in range(count)]

    def hand_over(self, descriptors: Sequence[int], message: HandoverMessage) -> None:
        """Send descriptors and what they are; ours are closed once the other process has them."""
        for descriptor in descriptors:
            self.link.sendFileDescriptor(descriptor)
        self.unconfirmed += descriptors
        self.send(message)

    def confirm(self, count: int) -> None:
        """The other process has so many of our descriptors.  MalformedMessage where there are fewer."""
        if len(self.unconfirmed) < count:
            raise MalformedMessage(f"{count} descriptors are confirmed, {len(self.unconfirmed)} were sent")
        for _ in range(count):
            os.close(self.unconfirmed.popleft())

    def send(self, message: HandoverMessage) -> None:
        """Send a message without descriptors."""
        self.link.write(encode(message))

    def dataReceived(self, data: bytes) -> None:
        """Twisted: bytes have come; each whole line is a message."""
        self._buffer += data
        while (end := self._buffer.find(b"\n")) >= 0:
            line = bytes(self._buffer[:end])
            del self._buffer[: end + 1]
            try:
                self._handover.received(self, decode(line))
            except (ValueError, LookupError, TypeError, AttributeError) as error:
                # A message may be well-formed and its state not: the owner finds that only as it uses it.
                self._handover.log.error("handover_message_malformed", error=repr(error))
                self.link.abortConnection()
                return
        if len(self._buffer) > MAX_LINE_BYTES:
            self.link.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted: the connection has ended; descriptors that nobody took are closed."""
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
    """The Unix socket of one process, and its connections to its predecessor and its successor."""

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
        # Each process has a socket of its own name, with a link to the latest: an ending one removes its own.
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
        """A path of the folder that is short enough for a Unix socket's address."""
        assert self._folder is not None
        path = str(self._folder / name)
        if len(path.encode()) <= MAX_SOCKET_PATH_BYTES:
            return path
        if self._folder_descriptor is None:
            self._folder_descriptor = os.open(self._folder, os.O_PATH | os.O_DIRECTORY)
        return f"/proc/self/fd/{self._folder_descriptor}/{name}"

    # ---- as the successor ----

    def request_takeover(self) -> Deferred[Takeover | None]:
        """Ask the running process for its listening socket; None where no process answers."""
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
        """No process hands its listening socket over; nothing where the request has its answer already."""
        if (requested := self._take_request()) is None:
            return
        self.log.info("no_predecessor", why=why)
        for connection in list(self._connections):
            connection.link.abortConnection()
        requested.callback(None)

    def _take_request(self) -> Deferred[Takeover | None] | None:
        """The request that waits for an answer, which it now gets; None where none waits."""
        requested, self._requested = self._requested, None
        if requested is not None and self._timeout is not None and self._timeout.active():
            self._timeout.cancel()
        return requested

    def announce_serving(self) -> None:
        """This process serves: its predecessor hears of it, and its successor will find it."""
        for connection in self._connections:
            if connection.is_successor:
                connection.send(SuccessorServing())
        if self._folder is None or self._closed:
            return
        # Whatever is wrong with the folder keeps nobody from serving; only a successor can't take over.
        try:
            self._listen(self._folder)
        except Exception as error:  # Twisted raises errors of its own for what the system refuses
            self.log.warning("handover_unavailable", error=repr(error))

    def _listen(self, folder: Path) -> None:
        """Listen at a name of our own, and point the link that successors follow to it."""
        factory = _ConnectionFactory(self, False)
        self._port = self._reactor.listenUNIX(self._path(self._socket_name), factory, mode=0o600)
        link = folder / self._link_name
        fresh = folder / f"{self._socket_name}.link"
        fresh.symlink_to(self._socket_name)
        previous = folder / os.readlink(link) if link.is_symlink() else None
        fresh.replace(link)
        if previous is not None and not self._connections:  # of a process that was killed
            previous.unlink(missing_ok=True)

    # ---- as the predecessor ----

    @property
    def successor(self) -> HandoverConnection | None:
        """The connection to the successor, once that serves."""
        for connection in self._connections:
            if connection.successor_serves and not connection.is_successor:
                return connection
        return None

    @property
    def unconfirmed(self) -> bool:
        """The successor has not yet said that it has all that was handed over."""
        return any(connection.unconfirmed for connection in self._connections)

    def hand_over_answer(self, descriptors: list[int], state: dict[str, Any]) -> None:
        """Hand a streamed answer over, as the descriptors of its client and its node."""
        successor = self.successor
        assert successor is not None
        successor.hand_over(descriptors, AnswerOffer(state))

    def report_clients(self, clients: int) -> None:
        """Tell the successor how many client connections this process still holds."""
        if (successor := self.successor) is not None:
            successor.send(ClientCount(clients))

    def announce_call(self, call: OperatorCall) -> None:
        """Tell the other process what an operator has asked of this one."""
        for connection in self._connections:
            connection.send(CallMade(call))

    # ---- connections ----

    def connected(self, connection: HandoverConnection) -> None:
        """A connection to the other process is open."""
        if connection.is_successor:
            if self._requested is None:  # it came too late: we have begun without it
                connection.link.abortConnection()
            else:
                self._connections.append(connection)
            return
        # One at a time: what is handed to one successor is not handed to another beside it.
        takeover = None if self._connections or self._closed else self._owner.offer_takeover()
        if takeover is None:
            connection.link.loseConnection()
            return
        self._connections.append(connection)
        connection.link.sendFileDescriptor(takeover.descriptor)
        connection.send(TakeoverOffer(takeover.state))
        self._owner.sibling_process(True)

    def received(self, connection: HandoverConnection, message: HandoverMessage | None) -> None:
        """Act on a message.  MalformedMessage where it does not fit what came before it."""
        match message:
            case TakeoverOffer():
                self._take_over(connection, message)
            case AnswerOffer():
                descriptors = connection.take_descriptors(DESCRIPTORS_OF_AN_ANSWER)
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
            raise MalformedMessage("not what this version can take over")
        self._owner.sibling_process(True)
        takeover = Takeover(connection.received_descriptors.popleft(), offer.state)
        if (requested := self._take_request()) is not None:
            requested.callback(takeover)

    def disconnected(self, connection: HandoverConnection) -> None:
        """A connection to the other process has ended."""
        if connection not in self._connections:
            return
        self._connections.remove(connection)
        if self._closed:
            return
        self._no_takeover("it went away")
        self._owner.sibling_process(bool(self._connections))
        if connection.successor_serves and not connection.is_successor:
            self._owner.replaced(False)  # the successor died: this process goes on

    def close(self) -> None:
        """This process ends; the socket's own name goes with it, and the link where it is still ours."""
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
        except OSError as error:  # the next process finds a link to nobody, and listens by itself
            self.log.warning("handover_socket_not_removed", error=repr(error))

    def _not_removed(self, failure: Failure) -> None:
        self.log.warning("handover_socket_not_removed", error=repr(failure.value))


def adopt_port(reactor: Any, descriptor: int, factory: Any) -> Any:
    """The listening port of a descriptor that was handed over; it does not accept yet."""
    port = reactor.adoptStreamPort(descriptor, socket.AF_INET, factory)
    port.stopReading()
    os.close(descriptor)  # the port has its own
    return port
