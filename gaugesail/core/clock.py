"""The clock of a running gateway.  Every span of time in the program is counted by a monotonic clock.

A Twisted reactor times its calls by ``time.time``, which an administrator or a time service may step.
``use_monotonic_time`` replaces that, once, before the reactor's first call; ``ReactorClock`` rejects a
reactor that still uses the wall clock.  The wall clock is read a single time, at the start.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.python.runtime import seconds as wall_seconds

from .ports import DelayedCall, Reactor

LATE_TIMER_S = 0.05  # a timer that is later than this: the process stood still, or was very busy


class WallClockReactor(ValueError):
    """A reactor whose timers follow the wall clock, or have begun to."""


def boot_ns() -> int:
    """Monotonic nanoseconds that go on while the machine sleeps, where the system has such a clock."""
    return time.clock_gettime_ns(getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC))


def use_monotonic_time(reactor: Any, monotonic_ns: Callable[[], int] = time.monotonic_ns) -> None:
    """Time all calls of a reactor by a monotonic clock; raises WallClockReactor where it has some already."""
    if not uses_wall_clock(reactor):
        return
    if reactor.getDelayedCalls():
        raise WallClockReactor("the reactor has calls that follow the wall clock; set it up before the first")
    reactor.seconds = lambda: monotonic_ns() / 1e9


def uses_wall_clock(reactor: Any) -> bool:
    """Whether a step of the wall clock moves this reactor's timers."""
    return reactor.seconds in (wall_seconds, time.time)


class _ReactorCall:
    """A delayed call of the reactor.

    One that comes late lets the sockets be read first: after a standstill of the process they may hold what
    forbids the call, and the reactor runs timers before it reads.
    """

    __slots__ = ("_call", "_due", "_handle", "_reactor")

    def __init__(self, reactor: Reactor, delay: float, call: Callable[[], None]) -> None:
        self._reactor = reactor
        self._call = call
        self._due = reactor.seconds() + delay
        self._handle: DelayedCall = reactor.callLater(delay, self._run)

    def _run(self) -> None:
        if self._reactor.seconds() - self._due > LATE_TIMER_S:
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
    Raises WallClockReactor where the reactor's own timers are not.
    """

    def __init__(
        self,
        reactor: Reactor,
        monotonic_ns: Callable[[], int] = time.monotonic_ns,
        unix_ns: Callable[[], int] = time.time_ns,
    ) -> None:
        if uses_wall_clock(reactor):
            raise WallClockReactor(
                "the reactor's timers follow the wall clock: call"
                " gaugesail.core.clock.use_monotonic_time(reactor) before anything is timed by it"
            )
        self._reactor = reactor
        self._monotonic_ns = monotonic_ns
        self._offset = unix_ns() - monotonic_ns()
        self._polled_us: int | None = None
        # A reactor in memory has none: what is sent there has arrived.
        self._do_iteration: Any = getattr(reactor, "doIteration", None)
        if self._do_iteration is not None:
            self._polled_us = self.now_us()
            patched: Any = reactor
            patched.doIteration = self._iterate

    def now_us(self) -> int:
        """The present time in microseconds."""
        return (self._monotonic_ns() + self._offset) // 1000

    @property
    def matches_kernel_clock(self) -> bool:
        """Whether spans that the kernel measures are spans of this clock too."""
        return self._monotonic_ns in (time.monotonic_ns, boot_ns)

    @property
    def polled_us(self) -> int:
        """When the reactor last began to read its sockets; all that had come by then has been handled."""
        return self.now_us() if self._polled_us is None else self._polled_us

    def _iterate(self, delay: Any) -> None:
        """One pass of the reactor over its sockets, and the handling of all that it found."""
        began_us = self.now_us()
        self._do_iteration(delay)
        self._polled_us = began_us

    def call_later(self, delay_us: int, call: Callable[[], None]) -> DelayedCall:
        """Make a call once, after a delay in microseconds."""
        return _ReactorCall(self._reactor, max(0, delay_us) / 1e6, call)
