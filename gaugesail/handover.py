"""Replaces a running process by a successor that takes over its listening socket.

The socket is passed (SCM_RIGHTS) over a Unix socket in the folder that both processes share, so that both use
one accept queue and the end of the predecessor resets no connection.  The predecessor sends its state, the
successor reports when it serves, and each forwards operators' calls to the other.
"""

from __future__ import annotations

import errno
import os
import socket
from pathlib import Path
from typing import Any, Protocol

from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.python.failure import Failure

from .core import ports
from .core.ports import Clock, Logger
from .handover_connection import ConnectionFactory, HandoverConnection, Takeover
from .handover_messages import (
    AnswerOffer,
    CallMade,
    ClientCount,
    DescriptorsTaken,
    HandoverMessage,
    Hello,
    IdsReleased,
    IdsUsed,
    KeyClaim,
    KeyRelease,
    NoTakeover,
    SuccessorServing,
    SuccessorStopping,
    TakeoverOffer,
    TakesUnsentOutput,
)
from .predecessor import PredecessorLink, SuccessorProcess
from .state import OperatorCall

MAX_SOCKET_PATH_BYTES = 100  # a Unix socket's address holds 108 bytes
# A successor that has sent no Hello by then is of a version that does not coordinate.
HELLO_TIMEOUT_US = 200_000
# Such a successor gets the listening socket once no ordered request is in flight; it waits 4 s for it.
LAST_ORDERED_REQUESTS_US = 2_500_000
SETTLED_RETRY_US = 20_000  # between checks whether any is in flight


class Owner(SuccessorProcess, Protocol):
    """The gateway process that a Handover belongs to."""

    @property
    def stopping(self) -> bool:
        """Whether this process is shutting down."""
        ...

    def offer_takeover(self) -> Takeover | None:
        """Return what to hand over to a successor, or None if this process cannot be replaced now."""
        ...

    def set_replaced(self, on: bool) -> None:
        """The successor serves in place of this process, or, with ``on`` False, has ended unexpectedly."""
        ...


class Handover:
    """The Unix socket of one process, the link to its successor, and that to its predecessor.

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
        self.predecessor = PredecessorLink(reactor, clock, log, owner, self._restore_link)
        self._asked_name = ""  # of the socket that was asked for a takeover
        self._connection: HandoverConnection | None = None  # to the successor
        self._offer_call: ports.DelayedCall | None = None  # for a successor that has sent no Hello
        self._has_offered = False  # the process at the connection counts as a sibling
        self._has_reported_keys = False
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
        """Request the running process's listening socket; the result is None if no process hands it over."""
        if self._folder is None or not os.path.lexists(link := self._folder / self._link_name):
            return succeed(None)
        try:
            # The process's own socket: the symlink will name another.  Old versions have no symlink.
            is_permanent = link.is_symlink()
            name = os.readlink(link) if is_permanent else self._link_name
            address = self._path(name)
        except OSError as error:
            self.log.info("no_predecessor", why=repr(error))
            return succeed(None)
        if name == self._asked_name:
            return succeed(None)
        self._asked_name = name
        return self.predecessor.request_takeover(address, is_permanent)

    def look_again(self) -> None:
        """Look whether the symlink names another process, as the clients' address is in use.

        What that process hands over is kept for ``PredecessorLink.pop_takeover``.
        """
        if not self.predecessor.searching:
            self.request_takeover().addCallback(self.predecessor.keep_takeover)

    def announce_serving(self) -> None:
        """Notify the predecessor that this process serves, and listen for a successor."""
        self.predecessor.announce_serving()
        if self._folder is None or self._closed:
            return
        # A fault of the folder must not stop this process from serving; only a handover becomes impossible.
        try:
            self._listen(self._folder)
        except Exception as error:  # Twisted wraps system errors in exceptions of its own
            self.log.warning("handover_unavailable", error=repr(error))

    def _listen(self, folder: Path) -> None:
        """Listen on this process's own socket, and point the symlink that successors use to it."""
        factory = ConnectionFactory(self, False)
        self._port = self._reactor.listenUNIX(self._path(self._socket_name), factory, mode=0o600)
        self._point_link(folder)

    def _point_link(self, folder: Path) -> None:
        """Point the symlink to this process's own socket; remove the one before if its process was killed."""
        link = folder / self._link_name
        new_link = folder / f"{self._socket_name}.link"
        new_link.unlink(missing_ok=True)
        new_link.symlink_to(self._socket_name)
        previous = os.readlink(link) if link.is_symlink() else self._socket_name
        new_link.replace(link)
        is_own = previous == self._socket_name
        if not (is_own or self.predecessor.present) and is_abandoned(self._path(previous)):
            (folder / previous).unlink(missing_ok=True)

    def _restore_link(self) -> None:
        """Point the symlink back to this process, as another one has pointed it to itself."""
        if self._port is None or self._folder is None:
            return
        try:
            self._point_link(self._folder)
        except OSError as error:
            self.log.warning("handover_unavailable", error=repr(error))

    # ---- as the predecessor ----

    @property
    def successor(self) -> HandoverConnection | None:
        """The connection to the successor, or None until it serves."""
        connection = self._connection
        return connection if connection is not None and connection.successor_serves else None

    @property
    def unconfirmed(self) -> bool:
        """Whether the receipt of any sent descriptor is not yet confirmed."""
        return self._connection is not None and bool(self._connection.unconfirmed)

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
        self.predecessor.announce_call(call)
        if self._connection is not None:
            self._connection.send(CallMade(call))

    def report_keys(self) -> bool:
        """Report the last state of ordered keys to the successor; returns whether there was any to report.

        From then on this process sends no ordered request.
        """
        connection = self._connection
        if connection is None or not connection.coordinates_keys or self._has_reported_keys:
            return False
        self._has_reported_keys = True
        connection.send(self._owner.keys.final_report())
        return True

    # ---- the connection to the successor ----

    def connected(self, connection: HandoverConnection) -> None:
        """Handle the connection of a successor, which gets the socket once it has sent Hello, or is late."""
        # One successor at a time: the state must not be handed over to two.
        if self._connection is not None or self.predecessor.present or self._closed:
            # It asks again, but may serve before it is answered, as the clients' address becomes free.
            self._owner.ids.inform(connection)
            connection.link.unregisterProducer()  # which would delay the close of a full link
            connection.link.loseConnection()
            return
        self._connection = connection
        self._offer_call = self._clock.call_later(HELLO_TIMEOUT_US, lambda: self._offer_to_older(connection))

    def _offer_to_older(self, connection: HandoverConnection, waited_us: int = 0) -> None:
        """Hand over to a version that cannot be asked: from now on, no ordered request is sent here."""
        if not waited_us:
            self._owner.keys.wait()
        if self._owner.keys.settled or waited_us >= LAST_ORDERED_REQUESTS_US:
            self._offer(connection)
            return
        waited_us += SETTLED_RETRY_US
        self._offer_call = self._clock.call_later(
            SETTLED_RETRY_US, lambda: self._offer_to_older(connection, waited_us)
        )

    def _offer(self, connection: HandoverConnection) -> None:
        takeover = None if self._closed else self._owner.offer_takeover()
        if takeover is not None:
            connection.link.sendFileDescriptor(takeover.descriptor)
            connection.send(TakeoverOffer(takeover.state))
        elif connection.coordinates_keys and self._owner.stopping:
            connection.send(NoTakeover())
        else:
            connection.link.loseConnection()
            return
        self._has_offered = True
        self._owner.sibling_process(True)

    def _cancel_offer(self) -> bool:
        """Cancel a pending offer; returns whether there was one."""
        call, self._offer_call = self._offer_call, None
        if call is None or not call.active():
            return False
        call.cancel()
        return True

    def received(self, connection: HandoverConnection, message: HandoverMessage | None) -> None:
        """Handle a message; raises MalformedMessage if it does not fit the previous ones."""
        match message:
            case Hello():
                self._start_coordination(connection)
            case TakesUnsentOutput():
                connection.takes_unsent_output = True
            case DescriptorsTaken():
                connection.confirm(message.count)
            case SuccessorServing():
                connection.successor_serves = True
                self._owner.set_replaced(True)
            case SuccessorStopping():
                self._resume_serving(connection)
            case CallMade():
                self._owner.follow(message.call)
            case IdsUsed() | IdsReleased():
                self._owner.ids.received(message)
            case KeyClaim() | KeyRelease():
                if not self._has_reported_keys:  # from then on the successor decides
                    self._owner.keys.received(connection, message)

    def _start_coordination(self, connection: HandoverConnection) -> None:
        connection.coordinates_keys = True
        connection.send(Hello())
        self._owner.keys.decide(successor=connection)
        self._owner.ids.begin(connection)
        if self._cancel_offer():
            self._offer(connection)

    def disconnected(self, connection: HandoverConnection) -> None:
        """Handle the end of the connection to the successor."""
        if connection is not self._connection:
            return
        self._connection = None
        self._owner.ids.end(connection)
        self._cancel_offer()
        if self._closed:
            return
        if not self._has_reported_keys:
            is_unknown = self._has_offered and not connection.coordinates_keys
            self._owner.keys.decide(attempts_unknown=is_unknown)
        if self._has_offered:
            self._has_offered = False
            self._owner.sibling_process(False)
        self._resume_serving(connection)

    def _resume_serving(self, connection: HandoverConnection) -> None:
        """Serve new clients again, as the successor has ended, or is shutting down."""
        if connection.successor_serves:
            connection.successor_serves = False
            self._restore_link()
            self._owner.set_replaced(False)

    def close(self) -> None:
        """Close the connections, and remove the socket, and the symlink if it still names this socket."""
        self._closed = True
        self._cancel_offer()
        self.predecessor.close()
        if self._connection is not None:
            self._connection.link.loseConnection()
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


def is_abandoned(path: str) -> bool:
    """Whether the process that listened on a Unix socket has ended without removing it."""
    with socket.socket(socket.AF_UNIX) as probe:
        probe.setblocking(False)
        return probe.connect_ex(path) == errno.ECONNREFUSED


def adopt_port(reactor: Any, descriptor: int, factory: Any) -> Any:
    """Return the listening port of a descriptor that was handed over; it does not accept yet."""
    port = reactor.adoptStreamPort(descriptor, socket.AF_INET, factory)
    port.stopReading()
    os.close(descriptor)  # the port has duplicated it
    return port
