"""Client admission on any wire: clients are accepted, sent away by a drain, or left to the next process."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Any, Protocol

from twisted.internet.protocol import Factory

from .core.engine import Engine
from .core.ports import Clock, DelayedCall

CLOSING_BEGINS_US = 500_000  # until then connections end with their answers alone: what crosses a close fails
CLOSING_ENDS_US = 1_800_000  # by then all idle ones are closed: what came before is over 2 s old at 4 s
MIGRATION_ENDS_US = 2_500_000  # of clients to the next process: SIGKILL comes no sooner than 3.7 s
CLOSING_STEP_US = 100_000


class CloseReason(Enum):
    """Why a gateway closes a client's connection; counted as ``closed_<reason>``."""

    LAST_ANSWER = "last_answer"  # its answer was to be the last
    IDLE = "idle"  # clients are sent away, or the gateway ends
    MADE_ROOM = "made_room"
    BAD_REQUEST = "bad_request"
    SILENT = "silent"


class Closable(Protocol):
    """A client's connection that may be closed."""

    def close(self) -> None:
        """Close it in order."""
        ...


class GradualClose:
    """Closes what is idle, a few connections at a time, for as long as it is on."""

    def __init__(
        self, clock: Clock, idle: Callable[[], Sequence[Closable]], ends_us: int = CLOSING_ENDS_US
    ) -> None:
        self._clock = clock
        self._idle = idle  # the longest idle first
        self._ends_us = ends_us
        self.on = False
        self._since_us = 0
        self._step: DelayedCall | None = None

    def set(self, on: bool) -> None:
        """Begin, or stop."""
        if on and not self.on:
            self._since_us = self._clock.now_us()
        self.on = on
        if on and self._step is None:
            self._step = self._clock.call_later(CLOSING_BEGINS_US, self._close_some)

    def _close_some(self) -> None:
        self._step = None
        if not self.on:
            return
        left_us = self._ends_us - (self._clock.now_us() - self._since_us)
        idle = self._idle()
        for connection in idle[: len(idle) // max(1, left_us // CLOSING_STEP_US)]:
            connection.close()
        self._step = self._clock.call_later(CLOSING_STEP_US, self._close_some)


class ClientAdmission(Factory):
    """What the servers of all wires share: whether clients are to come, and how those that are here leave."""

    noisy = False

    def __init__(self, engine: Engine, clock: Clock, on_idle: Callable[[], None]) -> None:
        self.engine = engine
        self.clock = clock
        self.on_idle = on_idle
        self.port: Any = None  # what accepts, set when it listens
        self.listening = False  # the gateway has its address, in this process or the next
        self.accepting = False  # this process accepts what comes there
        self.held = False  # accepting is held back, as all places are in use
        self.closing = False
        self.drain = GradualClose(clock, self.closable)
        self.migration = GradualClose(clock, self.closable, MIGRATION_ENDS_US)  # to the next process

    def closable(self) -> Sequence[Closable]:
        """The connections that may be closed, as they are idle; the longest idle first."""
        raise NotImplementedError

    @property
    def serving(self) -> bool:
        """Whether requests are served, by this process or the next."""
        return self.listening and self.engine.started

    @property
    def ready(self) -> bool:
        """Whether clients are to come; a drained gateway serves those that are here."""
        return self.serving and not self.drain.on

    @property
    def leaving(self) -> bool:
        """Whether clients that are here are to go, with their next answer or when they are idle."""
        return self.closing or self.drain.on or self.migration.on

    def reserve_for_predecessor(self, clients: int) -> None:
        """Leave room for the process before this one, which still has so many clients."""

    def accept(self, on: bool) -> None:
        """Accept clients, or leave that to another process."""
        self.accepting = on
        if on and not self.held:
            self.port.startReading()
        elif not on:
            self.port.stopReading()

    def hold(self, on: bool) -> None:
        """Hold accepting back: with all places in use the rest waits in the kernel, at no descriptor."""
        self.held = on
        if self.accepting:
            (self.port.stopReading if on else self.port.startReading)()

    def end(self) -> None:
        """The process is about to be killed: reject what is still arriving while that can be."""

    def supersede(self, on: bool) -> None:
        """The next process accepts in place of this one; or has gone, and this one does again."""
        self.accept(not on)
        self.migration.set(on)
