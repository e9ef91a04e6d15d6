"""The clock of a running head.  Every span of time in the program is counted by a monotonic clock.

A Twisted reactor times its calls by ``time.time``, which an administrator or a time service may step.
``use_monotonic_time`` replaces that, once, before the reactor's first call; ``ReactorClock`` refuses a
reactor that still goes by the wall clock.  The wall clock is read a single time, at the start.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.python.runtime import seconds as wall_seconds

from .ports import Call, Reactor

LATE_S = 0.05  # a timer that comes so late: this process stood still, or was very busy


class WallClockReactor(ValueError):
    """A reactor whose timers follow the wall clock, or have begun to."""


def boot_ns() -> int:
    """Monotonic, and goes on while the machine sleeps, where the system has such a clock."""
    return time.clock_gettime_ns(getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC))


def use_monotonic_time(reactor: Any, monotonic_ns: Callable[[], int] = time.monotonic_ns) -> None:
    """Time all calls of a reactor by a monotonic clock.  WallClockReactor where some are timed already."""
    if not goes_by_wall_clock(reactor):
        return
    if reactor.getDelayedCalls():
        raise WallClockReactor("the reactor has calls that follow the wall clock; set it up before the first")
    reactor.seconds = lambda: monotonic_ns() / 1e9


def goes_by_wall_clock(reactor: Any) -> bool:
    """Whether a step of the wall clock moves this reactor's timers."""
    return reactor.seconds in (wall_seconds, time.time)


class _Timer:
    """A call of the reactor's.  One that comes late lets the sockets be read first: after a standstill of
    ours they may hold what forbids it, and the reactor runs timers before it reads."""

    __slots__ = ("_call", "_due", "_handle", "_reactor")

    def __init__(self, reactor: Reactor, delay: float, call: Callable[[], None]) -> None:
        self._reactor, self._call = reactor, call
        self._due = reactor.seconds() + delay
        self._handle: Call = reactor.callLater(delay, self._run)

    def _run(self) -> None:
        if self._reactor.seconds() - self._due > LATE_S:
            self._handle = self._reactor.callLater(0, self._call)
        else:
            self._call()

    def cancel(self) -> None:
        self._handle.cancel()

    def active(self) -> bool:
        return self._handle.active()


class ReactorClock:
    """Time from the system, calls from the reactor.

    ``now_us`` is Unix microseconds as the wall clock had them at the start, and monotonic from there on.
    WallClockReactor where the reactor's own timers are not.
    """

    def __init__(
        self,
        reactor: Reactor,
        monotonic_ns: Callable[[], int] = time.monotonic_ns,
        unix_ns: Callable[[], int] = time.time_ns,
    ) -> None:
        if goes_by_wall_clock(reactor):
            raise WallClockReactor(
                "the reactor's timers follow the wall clock: call"
                " gaugesail.core.clock.use_monotonic_time(reactor) before anything is timed by it"
            )
        self._reactor, self._monotonic_ns = reactor, monotonic_ns
        self._offset = unix_ns() - monotonic_ns()
        self._polled_us: int | None = None
        self._poll: Any = getattr(reactor, "doIteration", None)  # none in memory: there what is sent is there
        if self._poll is not None:
            self._polled_us = self.now_us()
            plain: Any = reactor
            plain.doIteration = self._turn

    def now_us(self) -> int:
        return (self._monotonic_ns() + self._offset) // 1000

    @property
    def runs_with_kernel(self) -> bool:
        return self._monotonic_ns in (time.monotonic_ns, boot_ns)

    @property
    def polled_us(self) -> int:
        return self.now_us() if self._polled_us is None else self._polled_us

    def _turn(self, delay: Any) -> None:
        """One look of the reactor at its sockets, and the handling of all that it found."""
        began = self.now_us()
        self._poll(delay)
        self._polled_us = began

    def call_later(self, delay_us: int, call: Callable[[], None]) -> Call:
        return _Timer(self._reactor, max(0, delay_us) / 1e6, call)
