"""The iSCSI client server: accepts sessions up to its limit, and closes them as the process ends."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from gaugesail.policy.settings import Settings

from ..buffers import BufferPool
from ..client_admission import ClientAdmission
from ..core.engine import Engine
from ..core.ports import Clock, Logger
from ..memory_holders import MemoryHolders
from ..net import unread
from ..read_turns import ReadTurns
from .aborted_writes import AbortedWrites
from .operator import OperatorConfig
from .target import TargetConnection

EXTRA_SESSIONS = 8  # beyond the limit, rejected at login; further connections wait in the kernel


class TargetFront(ClientAdmission):
    """The iSCSI client server: accepts sessions up to its limit, and rejects further ones at login.

    :param pool: buffers for the bodies of transfers.
    :param max_connections: sessions that are served at once.
    :param on_idle: called when the last session ends after ``close_idle``.
    """

    def __init__(
        self,
        engine: Engine,
        operator: OperatorConfig,
        clock: Clock,
        pool: BufferPool,
        log: Logger,
        max_connections: int,
        on_idle: Callable[[], None],
    ) -> None:
        super().__init__(engine, clock, on_idle)
        self.operator, self.pool, self.log = operator, pool, log
        self.change_settings(operator.settings)
        self.address = operator.listen
        self._max_connections = max_connections
        self._open: dict[TargetConnection, None] = {}
        self.turns = ReadTurns(clock)
        self.holders = MemoryHolders(pool, clock, self._count_eviction, engine.refuse_latest_waiting)
        self.aborted_writes = AbortedWrites()
        self._last_request_id = 0
        self._id_prefix = os.urandom(6).hex()  # not that of another process of this gateway

    @property
    def connections(self) -> int:
        """The number of open sessions."""
        return len(self._open)

    def change_settings(self, settings: Settings) -> None:
        """Use other settings, whose first classes and plans are those of the operator's file, in order."""
        self.settings = settings

    def limit(self, connections: int) -> None:
        """Serve at most this number of sessions."""
        self._max_connections = connections
        if self.held and self.free_places > 0:
            self.hold(False)

    def _count_eviction(self) -> None:
        self.engine.counts["evicted"] += 1

    def closable(self) -> list[TargetConnection]:
        """Return the sessions without a command in flight, or in the kernel."""
        return [session for session in self._open if session.idle and not unread(session.link)]

    @property
    def free_places(self) -> int:
        """The number of connections that may still be accepted."""
        return self._max_connections + EXTRA_SESSIONS - len(self._open)

    def next_request_id(self) -> str:
        """Return a new request id."""
        self._last_request_id += 1
        return f"{self._id_prefix}-{self._last_request_id}"

    def buildProtocol(self, addr: Any) -> TargetConnection:
        """Twisted: a connection was accepted."""
        return TargetConnection(self)

    def opened(self, connection: TargetConnection) -> None:
        """Admit a connection.

        Beyond the limit one without a login is closed, or else the new one is rejected at its login.
        """
        self._open[connection] = None
        if self.leaving:
            connection.reject_login = True
        elif len(self._open) > self._max_connections:
            self.engine.counts["client_limit"] += 1
            now = self.clock.now_us()
            late = next((other for other in self._open if other.is_login_late(now)), None)
            if late is not None:
                late.close()
            else:
                connection.reject_login = True
        if self.free_places <= 0 and self.port is not None and not self.held:
            self.hold(True)

    def closed(self, connection: TargetConnection) -> None:
        """Remove a connection that has ended."""
        self._open.pop(connection, None)
        self.turns.remove(connection)
        if self.held and self.free_places > 0:
            self.hold(False)
        if self.closing and not self._open:
            self.on_idle()

    @property
    def has_unanswered(self) -> bool:
        """Whether any command has no status yet."""
        return any(not session.idle for session in self._open)

    def stop_reading(self) -> None:
        """Read nothing more."""
        for session in self._open:
            session.link.pauseProducing()

    def sweep(self) -> None:
        """Enforce the time limits of all connections; while closing, close those that are idle."""
        now = self.clock.now_us()
        over = len(self._open) - self._max_connections
        for connection in list(self._open):
            connection.sweep(now)
            # There may be no new connection in whose favour it would be closed.
            if over > 0 and connection.is_login_late(now):
                connection.close()
                over -= 1
        if self.closing:
            self._close_idle()

    def end(self) -> None:
        """End the commands that are still being received, as the process is about to end."""
        for connection in list(self._open):
            connection.reject_incomplete()

    def _close_idle(self) -> None:
        for connection in self.closable():
            connection.close()
