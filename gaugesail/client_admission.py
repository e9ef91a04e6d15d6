"""Client admission on any wire protocol: accepting, draining, and migration to the successor process."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Any, Protocol

from twisted.internet.protocol import Factory

from .core.engine import Engine
from .core.ports import Clock, DelayedCall
from .shutdown_schedule import MIGRATION_US

# Times after a GradualClose is switched on.  A request that the client sends while the gateway closes its
# connection fails.
FIRST_CLOSE_US = 500_000  # until then a connection is closed only after an answer
# All idle connections are closed by then, so that 4 s after the start the latest requests on them are over
# 2 s old.
CLOSING_ENDS_US = 1_800_000
CLOSING_STEP_US = 100_000


class CloseReason(Enum):
    """Why a gateway closes a client's connection; counted as ``closed_<reason>``."""

    LAST_ANSWER = "last_answer"  # after an answer that announced the close
    IDLE = "idle"  # for a drain, a migration or the shutdown
    MADE_ROOM = "made_room"
    BAD_REQUEST = "bad_request"
    SILENT = "silent"


class Closable(Protocol):
    """A client connection that can be closed."""

    def close(self) -> None:
        """Close the connection gracefully."""
        ...


class GradualClose:
    """While on, closes idle connections a few at a time, all of them by ``ends_us`` after its start.

    ``idle`` returns the idle connections, longest idle first.
    """

    def __init__(
        self, clock: Clock, idle: Callable[[], Sequence[Closable]], ends_us: int = CLOSING_ENDS_US
    ) -> None:
        self._clock = clock
        self._idle = idle
        self._ends_us = ends_us
        self.on = False
        self._ends_at_us = 0
        self._step: DelayedCall | None = None

    def set(self, on: bool) -> None:
        """Start or stop closing."""
        if on and not self.on:
            self._ends_at_us = self._clock.now_us() + self._ends_us
        self.on = on
        if on and self._step is None:
            self._step = self._clock.call_later(FIRST_CLOSE_US, self._close_some)

    def end_by(self, at_us: int) -> None:
        """Close all connections by ``at_us``, a time of the clock in microseconds, if that is earlier."""
        self._ends_at_us = min(self._ends_at_us, at_us)

    def _close_some(self) -> None:
        self._step = None
        if not self.on:
            return
        left_us = self._ends_at_us - self._clock.now_us()
        idle = self._idle()
        for connection in idle[: len(idle) // max(1, left_us // CLOSING_STEP_US)]:
            connection.close()
        self._step = self._clock.call_later(CLOSING_STEP_US, self._close_some)


class ClientAdmission(Factory):
    """The base of all client servers: whether clients are accepted, and how connected ones leave."""

    noisy = False

    def __init__(self, engine: Engine, clock: Clock, on_idle: Callable[[], None]) -> None:
        self.engine = engine
        self.clock = clock
        self.on_idle = on_idle
        self.port: Any = None  # the listening port, once it is open
        self.listening = False  # the clients' address is open, in this process or its successor
        self.accepting = False  # this process accepts connections there
        self.held = False  # accepting is paused, as all places are in use
        self.closing = False
        self.drain = GradualClose(clock, self.closable)
        self.migration = GradualClose(clock, self.closable, MIGRATION_US)  # to the successor process

    def closable(self) -> Sequence[Closable]:
        """The idle connections, which may be closed; longest idle first."""
        raise NotImplementedError

    @property
    def serving(self) -> bool:
        """Whether requests are served, by this process or its successor."""
        return self.listening and self.engine.started

    @property
    def ready(self) -> bool:
        """Whether clients should connect; a drained gateway serves only those already connected."""
        return self.serving and not self.drain.on

    @property
    def leaving(self) -> bool:
        """Whether connected clients should leave, with their next answer or when they are idle."""
        return self.closing or self.drain.on or self.migration.on

    def reserve_for_predecessor(self, clients: int) -> None:
        """Reserve places for the ``clients`` connections that the predecessor process still holds."""

    def accept(self, on: bool) -> None:
        """Start accepting clients, or leave that to another process."""
        self.accepting = on
        if on and not self.held:
            self.port.startReading()
        elif not on:
            self.port.stopReading()

    def hold(self, on: bool) -> None:
        """Pause or resume accepting; further connections wait in the kernel and need no descriptor."""
        self.held = on
        if self.accepting:
            (self.port.stopReading if on else self.port.startReading)()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        raise NotImplementedError

    def close_idle(self) -> None:
        """Close idle connections now, and the others when they become idle."""
        self.closing = True
        self._close_idle()
        if not self.connections:
            self.on_idle()

    def _close_idle(self) -> None:
        """Close idle connections, but not those with unread input."""
        raise NotImplementedError

    @property
    def has_unanswered(self) -> bool:
        """Whether anything that was read has no answer yet."""
        raise NotImplementedError

    def end(self) -> None:
        """Reject requests that are still being received, as the process is about to be killed."""

    def stop_reading(self) -> None:
        """Read nothing more: a client can send again what was not read, but not what was."""
        raise NotImplementedError

    def supersede(self, on: bool) -> None:
        """Leave accepting to the successor, or, with ``on`` False, resume it as the successor has ended."""
        self.accept(not on)
        self.migration.set(on)
