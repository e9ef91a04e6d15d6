"""Accepts clients within this process's part of the sockets, and makes room where places are short."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from gaugesail.policy.settings import Settings

from ..buffers import BufferPool
from ..client_admission import ClientAdmission, CloseReason
from ..core.engine import Engine
from ..core.ports import Clock, Logger
from ..net import unread
from .client_connection import ClientConnection
from .client_limits import PIPELINED_EXCESS_DIVISOR, UNUSED_CONNECTION_US
from .client_sweep import priority_to_close, sweep
from .request_reader import RequestReader
from .slow_readers import SlowReaders

MIN_PLACES_BESIDE = 16  # for clients beside another process, whatever that still holds
FIRST_PRIORITY = 3  # the highest of client_limits.closing_priority


@dataclass(slots=True, frozen=True)
class ClientCapacity:
    """How many clients may be here, and how many more until one of them has been sent away."""

    connections: int
    overflow: int


class ClientServer(ClientAdmission):
    """The clients' side of the platform's protocol."""

    def __init__(
        self,
        engine: Engine,
        settings: Settings,
        clock: Clock,
        pool: BufferPool,
        log: Logger,
        places: ClientCapacity,
        on_idle: Callable[[], None],
    ) -> None:
        super().__init__(engine, clock, on_idle)
        self.pool = pool
        self._log = log
        self.change_settings(settings)
        self.limit(places)
        self._open: OrderedDict[ClientConnection, None] = OrderedDict()  # the latest used last
        self._slow_readers = SlowReaders(pool)
        self.excess_input = 0

    def change_settings(self, settings: Settings) -> None:
        """Use other settings for the requests received from now on."""
        self.reader = RequestReader(settings)
        self.retry_after_us = settings.longest_retry_after_us

    # ---- places ----

    def limit(self, places: ClientCapacity) -> None:
        """Set how many clients may be here."""
        self._own_places = places.connections
        self._overflow = places.overflow
        self._set_places(places.connections)

    def limit_beside(self, clients: int) -> None:
        """Leave room for another process of this gateway, which still has so many clients."""
        # What the other leaves of both parts is ours.  To have a mere half would starve the usual clients in
        # a flood, of which the other still holds the most.
        self._set_places(max(MIN_PLACES_BESIDE, 2 * self._own_places - clients))

    def _set_places(self, connections: int) -> None:
        self._max_connections = connections
        self._max_with_overflow = connections + self._overflow
        if self.held and self.capacity_left > 0:
            self.hold(False)

    @property
    def capacity_left(self) -> int:
        """How many more clients may be accepted."""
        return self._max_with_overflow - len(self._open)

    @property
    def over_limit(self) -> bool:
        """Whether there are more clients than places."""
        return len(self._open) > self._max_connections

    @property
    def max_excess_input(self) -> int:
        """How many bytes clients may together have sent beyond what each may."""
        return self.pool.limit * self.pool.size // PIPELINED_EXCESS_DIVISOR

    @property
    def connections(self) -> int:
        """How many clients there are."""
        return len(self._open)

    @property
    def streams(self) -> list[ClientConnection]:
        """Those to which a large answer is being passed on."""
        return [connection for connection in self._open if connection.stream is not None]

    def closable(self) -> list[ClientConnection]:
        """The idle connections, the longest idle first; not one that has just come and is about to ask."""
        now_us = self.clock.now_us()
        return [
            connection
            for connection in self._open
            if connection.idle
            and (connection.requests_received or now_us - connection.opened_at_us > UNUSED_CONNECTION_US)
            and not unread(connection.link)
        ]

    # ---- what connections report ----

    def buildProtocol(self, addr: Any) -> ClientConnection:
        """The connection of a client that has come."""
        return ClientConnection(self)

    def opened(self, connection: ClientConnection) -> None:
        """Take a client; where there are more than places, another goes, or this one after its answer."""
        self._open[connection] = None
        if self.over_limit:
            self.engine.counts["client_limit"] += 1
            connection.surplus = not self._make_room()
        if len(self._open) >= self._max_with_overflow and self.port is not None and not self.held:
            self.hold(True)

    def used(self, connection: ClientConnection) -> None:
        """Keep the connections in the order in which they were last used."""
        if connection in self._open:
            connection.last_used_us = self.clock.now_us()
            self._open.move_to_end(connection)

    def closed(self, connection: ClientConnection) -> None:
        """Forget a connection."""
        self._open.pop(connection, None)
        if self.held and len(self._open) < self._max_with_overflow:
            self.hold(False)
        if self.closing and not self._open:
            self.on_idle()

    def output_full(self, connection: ClientConnection) -> None:
        """Cut off the slowest reader, where all of them hold too much memory."""
        self._slow_readers.add(connection)
        slowest = self._slow_readers.take_excess(self.clock.now_us())
        if slowest is not None:
            self.engine.counts["slow_reader"] += 1
            slowest.link.abortConnection()

    def output_emptied(self, connection: ClientConnection) -> None:
        """A client reads again, or is gone."""
        self._slow_readers.remove(connection)

    def raised(self, error: Exception) -> None:
        """Count and log a fault of ours."""
        self.engine.counts["front_raised"] += 1
        self._log.error("front_raised", error=repr(error))

    # ---- closing ----

    def _make_room(self) -> bool:
        """Close one connection that nobody is likely to miss, the longest idle of the highest priority."""
        now_us = self.clock.now_us()
        best = 0
        found = None
        for connection in self._open:
            priority = priority_to_close(connection, now_us)
            if priority > best and not unread(connection.link):
                best = priority
                found = connection
                if best == FIRST_PRIORITY:
                    break
        if found is not None:
            found.close(CloseReason.MADE_ROOM, at_once=True)
        return found is not None

    def sweep(self) -> None:
        """End what takes too long, and make room where all places were filled at once."""
        now_us = self.clock.now_us()
        for connection in list(self._open):
            sweep(connection, now_us)
        surplus = sum(not connection.closing for connection in self._open) - self._max_connections
        while surplus > 0 and self._make_room():
            surplus -= 1
        if self.closing:  # what had something unread may be idle by now
            self._close_idle()

    def end(self) -> None:
        """The process is about to be killed: reject what is still arriving."""
        for connection in list(self._open):
            connection.reject_incomplete()

    def supersede(self, on: bool) -> None:
        """The next process accepts in place of this one; or has gone, and this one does again."""
        super().supersede(on)
        now_us = self.clock.now_us()
        if on and len(self._open) > self._own_places:
            # More than its part, so that the next process is short of places: what nobody misses goes now.
            for connection in list(self._open):
                if priority_to_close(connection, now_us) > 1:
                    connection.close_unless_unread()

    def close_idle(self) -> None:
        """From here on an answer ends its connection, and what is idle ends now."""
        self.closing = True
        self._close_idle()
        if not self._open:
            self.on_idle()

    def _close_idle(self) -> None:
        for connection in list(self._open):
            if connection.idle:
                connection.close_unless_unread()
