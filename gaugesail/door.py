"""Where clients come in, on any wire: taken, sent away by a drain, or left to the head's next process."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Any

from twisted.internet.protocol import Factory

from .core.engine import Engine
from .core.ports import Clock, DelayedCall

FIRST_US = 500_000  # until then connections end with their answers alone: what crosses a close fails
LAST_US = 1_800_000  # by then all idle ones are closed: what came before is over 2 s old at 4 s
MOVED_LAST_US = 2_500_000  # for the next process: SIGKILL comes no sooner than 3.7 s
STEP_US = 100_000


class CloseReason(Enum):
    """Why a head closes a client's connection; counted as ``closed_<reason>``."""

    LAST_ANSWER = "last_answer"  # its answer was to be the last
    IDLE = "idle"  # clients are sent away, or the head ends
    MADE_ROOM = "made_room"
    BAD_REQUEST = "bad_request"
    SILENT = "silent"


class Drain:
    """Closes what is idle, a few connections at a time, for as long as it is on."""

    def __init__(self, clock: Clock, idle: Callable[[], Sequence[Any]], last_us: int = LAST_US) -> None:
        self._clock, self._idle, self._last_us = clock, idle, last_us  # the longest idle first
        self.on = False
        self._since = 0
        self._step: DelayedCall | None = None

    def set(self, on: bool) -> None:
        if on and not self.on:
            self._since = self._clock.now_us()
        self.on = on
        if on and self._step is None:
            self._step = self._clock.call_later(FIRST_US, self._shed)

    def _shed(self) -> None:
        self._step = None
        if not self.on:
            return
        left = self._last_us - (self._clock.now_us() - self._since)
        idle = self._idle()
        for connection in idle[: len(idle) // max(1, left // STEP_US)]:
            connection.close()
        self._step = self._clock.call_later(STEP_US, self._shed)


class Door(Factory):
    """What the fronts of all wires share: whether clients are to come, and how those that are here leave."""

    noisy = False

    def __init__(self, engine: Engine, clock: Clock, on_idle: Callable[[], None]) -> None:
        self.engine, self.clock, self.on_idle = engine, clock, on_idle
        self.port: Any = None  # what accepts, set when it listens
        self.listening = False  # the head has its address, in this process or the next
        self.accepting = False  # this process takes what comes there
        self.held = False  # accepting is held back, as all places are in use
        self.closing = False
        self.drain = Drain(clock, self.sendable)
        self.moved = Drain(clock, self.sendable, MOVED_LAST_US)  # to the next process

    def sendable(self) -> Sequence[Any]:
        """The connections that may be closed, as they are idle; the longest idle first."""
        raise NotImplementedError

    @property
    def serving(self) -> bool:
        return self.listening and self.engine.ready

    @property
    def ready(self) -> bool:
        """Whether clients are to come; a drained head serves those that are here."""
        return self.serving and not self.drain.on

    @property
    def leaving(self) -> bool:
        """Clients that are here are to go, with their next answer or when they are idle."""
        return self.closing or self.drain.on or self.moved.on

    def limit_beside(self, clients: int) -> None:
        """Beside the process before this one, which still has so many clients."""

    def accept(self, on: bool) -> None:
        self.accepting = on
        if on and not self.held:
            self.port.startReading()
        elif not on:
            self.port.stopReading()

    def hold(self, on: bool) -> None:
        """With all places in use the rest waits in the kernel, where it costs no descriptor."""
        self.held = on
        if self.accepting:
            (self.port.stopReading if on else self.port.startReading)()

    def end(self) -> None:
        """The process is about to be killed: what is still coming is refused while it can be."""

    def supersede(self, on: bool) -> None:
        """The next process accepts in place of this one; or has gone, and this one does again."""
        self.accept(not on)
        self.moved.set(on)
