"""Accepts clients within this process's connection limit, and closes idle ones if it is exceeded."""

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
from ..memory_holders import MemoryHolders, stalled_longest_first
from ..net import kernel_wait_us, unread
from ..read_turns import ReadTurns
from .client_connection import ClientConnection
from .client_limits import (
    EVICTED_PLACES_DIVISOR,
    PIPELINED_EXCESS_DIVISOR,
    UNUSED_CONNECTION_US,
)
from .client_sweep import priority_to_close, sweep
from .request_reader import RequestReader

MIN_CAPACITY_BESIDE = 16  # connections; the limit beside another process, however many that one has
FIRST_PRIORITY = 3  # highest rank of client_limits.closing_priority


@dataclass(slots=True, frozen=True)
class ClientCapacity:
    """Connection limit, and the overflow accepted above it until other connections are closed."""

    connections: int
    overflow: int


class ClientServer(ClientAdmission):
    """The server for clients of the platform's HTTP protocol."""

    def __init__(
        self,
        engine: Engine,
        settings: Settings,
        clock: Clock,
        pool: BufferPool,
        log: Logger,
        capacity: ClientCapacity,
        on_idle: Callable[[], None],
    ) -> None:
        super().__init__(engine, clock, on_idle)
        self.pool = pool
        self._log = log
        self.change_settings(settings)
        self.limit(capacity)
        self._open: OrderedDict[ClientConnection, None] = OrderedDict()  # the latest used is last
        self.turns = ReadTurns(clock)
        self.holders = MemoryHolders(pool, clock, self._count_eviction, engine.refuse_latest_waiting)
        self.excess_input = 0

    def change_settings(self, settings: Settings) -> None:
        """Apply changed settings to the requests received from now on."""
        self.reader = RequestReader(settings)
        self.retry_after_us = settings.longest_retry_after_us

    # ---- capacity ----

    def limit(self, capacity: ClientCapacity) -> None:
        """Set the connection limit and the overflow."""
        self._own_capacity = capacity.connections
        self._predecessor_clients = 0  # as it has reported
        self._overflow = capacity.overflow
        self._set_capacity(capacity.connections)

    def reserve_for_predecessor(self, clients: int) -> None:
        """Share the capacity with another process of this gateway that still has ``clients`` connections."""
        # This process may use what the other one leaves of both limits.  A fixed half would starve the usual
        # clients during a flood, most of which is still connected to the other process.
        self._predecessor_clients = clients
        self._set_capacity(max(MIN_CAPACITY_BESIDE, 2 * self._own_capacity - clients))

    def predecessor_handed_over(self) -> None:
        """Take over the place of a connection that the other process hands over; it has one client less."""
        if self._predecessor_clients:
            self.reserve_for_predecessor(self._predecessor_clients - 1)

    def _set_capacity(self, connections: int) -> None:
        self._max_connections = connections
        self._max_with_overflow = connections + self._overflow
        if self.held and self.free_places > 0:
            self.hold(False)

    @property
    def free_places(self) -> int:
        """Number of further connections that may be accepted, overflow included."""
        return self._max_with_overflow - len(self._open)

    @property
    def over_limit(self) -> bool:
        """Whether there are more connections than the limit without overflow."""
        return len(self._open) > self._max_connections

    @property
    def max_excess_input(self) -> int:
        """Limit in bytes of all clients' input beyond what each may always have buffered."""
        return self.pool.limit * self.pool.size // PIPELINED_EXCESS_DIVISOR

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._open)

    @property
    def streams(self) -> list[ClientConnection]:
        """The connections with a streamed answer."""
        return [connection for connection in self._open if connection.stream is not None]

    def closable(self) -> list[ClientConnection]:
        """The idle connections, longest idle first, without new ones that are about to send a request."""
        now_us = self.clock.now_us()
        return [
            connection
            for connection in self._open
            if connection.idle
            and (connection.requests_received or now_us - connection.opened_at_us > UNUSED_CONNECTION_US)
            and not unread(connection.link)
        ]

    # ---- reports of connections ----

    def buildProtocol(self, addr: Any) -> ClientConnection:
        """Twisted: create the protocol of a new connection."""
        return ClientConnection(self)

    def opened(self, connection: ClientConnection) -> None:
        """Register a connection; above the limit, close an idle one, or this one after its answer.

        One that was handed over has an answer under way, and is no new client, however long it is silent.
        """
        self._open[connection] = None
        if self.over_limit:
            self.engine.counts["client_limit"] += 1
            if connection.stream is None and self._was_silent_in_kernel(connection):
                connection.close(CloseReason.MADE_ROOM, at_once=True)
            else:
                connection.surplus = not self._close_one_idle()
        if len(self._open) >= self._max_with_overflow and self.port is not None and not self.held:
            self.hold(True)

    def _was_silent_in_kernel(self, connection: ClientConnection) -> bool:
        """Whether a new connection has waited for its place without sending anything."""
        waited_us = kernel_wait_us(connection.link, self.clock)
        return waited_us > UNUSED_CONNECTION_US and not unread(connection.link)

    def used(self, connection: ClientConnection) -> None:
        """Move a connection to the end of the order of use."""
        if connection in self._open:
            connection.last_used_us = self.clock.now_us()
            self._open.move_to_end(connection)

    def closed(self, connection: ClientConnection) -> None:
        """Unregister a connection."""
        self._open.pop(connection, None)
        self.turns.remove(connection)
        if self.held and len(self._open) < self._max_with_overflow:
            self.hold(False)
        if self.closing and not self._open:
            self.on_idle()

    def request_may_have_stalled(self, connection: ClientConnection) -> None:
        """End a client that had stopped amid a request before it was read, if others wait for its place."""
        if self.held and connection.arriving and stalled_longest_first([connection], self.clock.now_us()):
            self._evict(connection)

    def _evict(self, connection: ClientConnection) -> None:
        self._count_eviction()
        connection.evict()

    def _count_eviction(self) -> None:
        self.engine.counts["evicted"] += 1

    def log_slow_input(self, connection: ClientConnection) -> None:
        """Log a request that took too long to arrive, before it is ended."""
        now_us = self.clock.now_us()
        self._log.info(
            "request_too_slow",
            has_head=connection.head is not None,
            is_answered=connection.answered_early,
            body_bytes=connection.body_bytes,
            buffered=connection.input.parser.buffered,
            since_ms=(now_us - connection.input.since_us) // 1000,
            latest_byte_ms=(now_us - connection.last_received_us) // 1000,
            requests_before=connection.requests_received,
        )

    def log_fault(self, error: Exception) -> None:
        """Count and log a fault of the gateway."""
        self.engine.counts["front_raised"] += 1
        self._log.error("front_raised", error=repr(error))

    # ---- closing ----

    def _close_one_idle(self) -> bool:
        """Close the longest idle connection of the highest closing rank; return False if there is none."""
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
        """Enforce the time limits, and close idle connections above the connection limit."""
        now_us = self.clock.now_us()
        for connection in list(self._open):
            sweep(connection, now_us)
        surplus = sum(not connection.closing for connection in self._open) - self._max_connections
        while surplus > 0 and self._close_one_idle():
            surplus -= 1
        if self.held:
            self._free_stalled_places(now_us)
        if self.closing:  # connections with unread input may be idle by now
            self._close_idle()

    def _free_stalled_places(self, now_us: int) -> None:
        """End clients that sent no request, stopped amid one, or send one at a great cost.

        Others wait in the kernel.
        """
        for connection in list(self._open):
            unused = priority_to_close(connection, now_us) == FIRST_PRIORITY
            if unused and not unread(connection.link):
                connection.close(CloseReason.MADE_ROOM, at_once=True)
        arriving = [connection for connection in self._open if connection.arriving]
        costly = [connection for connection in self._open if connection.is_costly]
        to_evict = dict.fromkeys(stalled_longest_first(arriving, now_us) + costly)
        for connection in list(to_evict)[: max(1, self._max_connections // EVICTED_PLACES_DIVISOR)]:
            self._evict(connection)

    def end(self) -> None:
        """Reject requests that are still arriving, as the process is about to be killed."""
        for connection in list(self._open):
            connection.reject_incomplete()

    @property
    def has_unanswered(self) -> bool:
        """Whether anything that was read has no answer yet; a streamed answer has begun."""
        return any(connection.has_unanswered for connection in self._open)

    def stop_reading(self) -> None:
        """Read nothing more."""
        for connection in self._open:
            connection.stop_reading()

    def supersede(self, on: bool) -> None:
        """Let the next process accept in place of this one, or accept again if that process has ended."""
        super().supersede(on)
        now_us = self.clock.now_us()
        if on and len(self._open) > self._own_capacity:
            # More than its share, at the expense of the next process: close little-used connections now.
            for connection in list(self._open):
                if priority_to_close(connection, now_us) > 1:
                    connection.close_unless_unread()

    def _close_idle(self) -> None:
        for connection in list(self._open):
            if connection.idle:
                connection.close_unless_unread()
