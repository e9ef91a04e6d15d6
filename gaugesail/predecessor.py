"""A process's link to the one that it replaces, from its start until that process has ended.

Whether the predecessor has ended is what its socket tells: it refuses connections.  The end of a connection
alone is no proof, so the link is then opened again.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import UNIXClientEndpoint
from twisted.internet.error import ConnectError

from .core.ports import Clock, DelayedCall, Logger
from .handover_connection import ConnectionFactory, HandoverConnection, Takeover
from .handover_messages import (
    VERSION,
    AnswerOffer,
    CallMade,
    ClientCount,
    DescriptorsTaken,
    HandoverMessage,
    Hello,
    IdsReleased,
    IdsUsed,
    KeyGrant,
    KeysPaused,
    MalformedMessage,
    NoTakeover,
    SuccessorServing,
    SuccessorStopping,
    TakeoverOffer,
    TakesUnsentOutput,
)
from .id_coordination import IdCoordination
from .key_coordination import KeyCoordination
from .listening import SHORTAGES
from .state import OperatorCall

REPLY_TIMEOUT_US = 4_000_000  # for the running process to hand over its listening socket
RECONNECT_US = 50_000  # between attempts to reach a process that has closed the link but may not have ended
DESCRIPTORS_OF_AN_ANSWER = 2  # its client's and its node's
# Errors on connecting after which the process at the socket may be alive.
TRANSIENT_ERRORS = SHORTAGES | {errno.EAGAIN, errno.EINTR, errno.ETIMEDOUT}


class SuccessorProcess(Protocol):
    """The gateway process that a PredecessorLink belongs to."""

    keys: KeyCoordination
    ids: IdCoordination

    @property
    def has_port(self) -> bool:
        """Whether the clients' address is open in this process."""
        ...

    def sibling_process(self, present: bool, is_predecessor: bool = False) -> None:
        """Set whether another process of this gateway runs in parallel with this one.

        :param is_predecessor: the other process has used this gateway's limits and budgets up to now.
        """
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


class PredecessorLink:
    """The link to the predecessor; without one, ``present`` is False from the start."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        log: Logger,
        owner: SuccessorProcess,
        on_repeated_takeover: Callable[[], None],
    ) -> None:
        self._on_repeated_takeover = on_repeated_takeover
        self._reactor = reactor
        self._clock = clock
        self.log = log
        self._owner = owner
        self._address = ""  # of the predecessor's socket
        self._is_permanent = True
        self.present = False  # the predecessor may be running
        self._connection: HandoverConnection | None = None
        self._requested: Deferred[Takeover | None] | None = None
        self._timeout: DelayedCall | None = None
        self._late_takeover: Takeover | None = None
        self._has_reported = False  # the predecessor has sent its last message on keys
        self._serving = False
        self._closed = False

    # ---- the takeover ----

    def request_takeover(self, address: str, is_permanent: bool) -> Deferred[Takeover | None]:
        """Request the listening socket of the process at this socket; the result is None if there is none.

        If a process is there but does not hand over, the search goes on: see ``pop_takeover``.

        :param is_permanent: whether the address stays that of the predecessor once this process listens.
        """
        requested: Deferred[Takeover | None] = Deferred()
        self._address = address
        self._is_permanent = is_permanent
        self._requested = requested
        self._has_reported = False
        self._timeout = self._clock.call_later(REPLY_TIMEOUT_US, lambda: self._no_takeover("silent"))
        self._connect()
        return requested

    @property
    def searching(self) -> bool:
        """Whether a process may be there that can still hand over."""
        return self.present or self._requested is not None or self._late_takeover is not None

    def keep_takeover(self, takeover: Takeover | None) -> None:
        """Keep what was handed over for ``pop_takeover``."""
        self._late_takeover = takeover

    def pop_takeover(self) -> Takeover | None:
        """Return what the predecessor has handed over since ``request_takeover`` had no result, once."""
        takeover, self._late_takeover = self._late_takeover, None
        return takeover

    def _no_takeover(self, why: str) -> None:
        """Resolve the pending request with None; no-op if it is resolved."""
        if (requested := self._pop_request()) is not None:
            self.log.info("no_predecessor", why=why)
            requested.callback(None)

    def _pop_request(self) -> Deferred[Takeover | None] | None:
        """Remove and return the pending request and cancel its timeout; None if there is none."""
        requested, self._requested = self._requested, None
        if requested is not None and self._timeout is not None and self._timeout.active():
            self._timeout.cancel()
        return requested

    def announce_serving(self) -> None:
        """Notify the predecessor that this process serves."""
        self._serving = True
        if self._connection is not None:
            self._connection.send(SuccessorServing())

    def announce_stopping(self) -> None:
        """Leave the clients that connect from now on to the predecessor."""
        if self._serving and self._connection is not None:
            self._serving = False
            self._connection.send(SuccessorStopping())

    def announce_call(self, call: OperatorCall) -> None:
        """Forward an operator's call to the predecessor."""
        if self._connection is not None:
            self._connection.send(CallMade(call))

    # ---- the connection ----

    def _connect(self) -> None:
        if self._closed:
            return
        try:
            endpoint: Any = UNIXClientEndpoint
            connecting = endpoint(self._reactor, self._address).connect(ConnectionFactory(self, True))
        except OSError as error:
            self._cannot_connect(error)
            return
        connecting.addErrback(lambda failure: self._cannot_connect(failure.value))

    def _cannot_connect(self, error: BaseException | None) -> None:
        if self._closed:
            return
        number = error.osError if isinstance(error, ConnectError) else getattr(error, "errno", None)
        if number in TRANSIENT_ERRORS:
            self._clock.call_later(RECONNECT_US, self._connect)
            return
        self._predecessor_ended(repr(error))

    def connected(self, connection: HandoverConnection) -> None:
        """Handle the link's opening: the predecessor is alive, and decides the order of keys."""
        if self._closed:
            connection.link.abortConnection()
            return
        self._connection = connection
        self._set_present()
        connection.send(Hello())

    def _set_present(self) -> None:
        if not self.present:
            self.present = True
            self._owner.keys.wait()
            self._owner.sibling_process(True, is_predecessor=True)

    def _predecessor_ended(self, why: str) -> None:
        """The predecessor has ended: without its last report, its attempts may be running on any key."""
        self._owner.keys.decide(attempts_unknown=True)
        if self.present:
            self.log.warning("predecessor_ended_without_report", why=why)
            self.present = False
            self._owner.sibling_process(False)
        self._no_takeover(why)

    def disconnected(self, connection: HandoverConnection) -> None:
        """Handle the end of the link; find out whether the predecessor has ended too."""
        if connection is not self._connection:
            return
        self._connection = None
        self._owner.ids.end(connection)
        if self._closed:
            return
        if self._has_reported:
            self.present = False
            self._owner.sibling_process(False)
            return
        self._owner.keys.wait()
        if self._serving and not self._is_permanent:
            self._predecessor_ended("its socket is unreachable")
        else:
            self._no_takeover("connection closed")
            self._clock.call_later(RECONNECT_US, self._connect)

    def received(self, connection: HandoverConnection, message: HandoverMessage | None) -> None:
        """Handle a message; raises MalformedMessage if it does not fit the previous ones."""
        match message:
            case Hello():
                connection.coordinates_keys = True
                connection.send(TakesUnsentOutput())
                self._owner.keys.ask(connection)
                self._owner.ids.begin(connection)
            case TakeoverOffer():
                self._take_over(connection, message)
            case NoTakeover():
                self._owner.sibling_process(True, is_predecessor=True)  # which has now halved its limits
                self._no_takeover("stopping")
            case AnswerOffer():
                descriptors = connection.pop_descriptors(DESCRIPTORS_OF_AN_ANSWER)
                connection.send(DescriptorsTaken(len(descriptors)))
                self._owner.continue_answer(descriptors, message.state)
            case ClientCount():
                self._owner.predecessor_clients(message.clients)
            case CallMade():
                self._owner.follow(message.call)
            case IdsUsed() | IdsReleased():
                self._owner.ids.received(message)
            case KeyGrant():
                self._owner.keys.received(connection, message)
            case KeysPaused():
                self._owner.keys.received(connection, message)
                self._has_reported = True

    def _take_over(self, connection: HandoverConnection, offer: TakeoverOffer) -> None:
        if offer.version != VERSION or not connection.received_descriptors:
            raise MalformedMessage(
                f"expected a takeover of version {VERSION} with a descriptor,"
                f" received version {offer.version} with {len(connection.received_descriptors)} descriptors"
            )
        self._owner.sibling_process(True, is_predecessor=True)  # which has now halved its limits
        takeover = Takeover(connection.received_descriptors.popleft(), offer.state)
        if (requested := self._pop_request()) is not None:
            requested.callback(takeover)
        elif self._owner.has_port or self._late_takeover is not None:
            os.close(takeover.descriptor)
        else:
            self._late_takeover = takeover
        if self._serving:  # the link was opened again: the predecessor took this process for dead
            connection.send(SuccessorServing())
            self._on_repeated_takeover()

    def close(self) -> None:
        """Close the link, as this process ends."""
        self._closed = True
        if self._late_takeover is not None:
            os.close(self._late_takeover.descriptor)
            self._late_takeover = None
        if self._connection is not None:
            self._connection.link.loseConnection()
