"""The clock of a running gateway: all durations are measured by a monotonic clock.

A Twisted reactor schedules its calls by ``time.time``, which an administrator or a time service may step.
``use_monotonic_time`` replaces that, once, before the reactor's first call; ``ReactorClock`` rejects a
reactor that still uses the wall clock.  The wall clock is read only once, at startup.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.python.runtime import seconds as wall_seconds

from .ports import DelayedCall, Reactor

LATE_TIMER_S = 0.05  # a timer later than this indicates that the process was suspended or overloaded


class WallClockReactor(ValueError):
    """The reactor's timers, or calls that it has already scheduled, follow the wall clock."""


def boot_ns() -> int:
    """Monotonic nanoseconds, including suspend time where the system has such a clock.

    Elsewhere they are those of CLOCK_MONOTONIC.
    """
    return time.clock_gettime_ns(getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC))


def use_monotonic_time(reactor: Any, monotonic_ns: Callable[[], int] = time.monotonic_ns) -> None:
    """Schedule all calls of a reactor by a monotonic clock.

    Raises WallClockReactor if calls are already scheduled by the wall clock.  A reactor with another time
    source is left unchanged.
    """
    if not uses_wall_clock(reactor):
        return
    if reactor.getDelayedCalls():
        raise WallClockReactor(
            "the reactor has calls scheduled by the wall clock: call use_monotonic_time before the first"
        )
    reactor.seconds = lambda: monotonic_ns() / 1e9


def uses_wall_clock(reactor: Any) -> bool:
    """Whether a step of the wall clock shifts this reactor's timers."""
    return reactor.seconds in (wall_seconds, time.time)


class _ReactorCall:
    """A delayed call of the reactor that lets the sockets be read first if it is late.

    The reactor runs timers before it reads; after a suspension of the process, unread input may already rule
    out what the call would do.
    """

    __slots__ = ("_call", "_due", "_handle", "_reactor")

    def __init__(self, reactor: Reactor, delay: float, call: Callable[[], None]) -> None:
        self._reactor = reactor
        self._call = call
        self._due = reactor.seconds() + delay
        self._handle: DelayedCall | None = reactor.callLater(delay, self._run)

    def _run(self) -> None:
        self._handle = None  # the handle of a call that has run keeps its function
        if self._reactor.seconds() - self._due > LATE_TIMER_S:
            self._handle = self._reactor.callLater(0, self._call)
        else:
            self._call()

    def cancel(self) -> None:
        if self._handle is not None:
            self._handle.cancel()

    def active(self) -> bool:
        return self._handle is not None and self._handle.active()


class ReactorClock:
    """Takes the time from the system and schedules calls on the reactor.

    ``now_us`` starts at the Unix time of startup and is monotonic from there on.  Raises WallClockReactor if
    the reactor's timers follow the wall clock.
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
                " gaugesail.core.clock.use_monotonic_time(reactor) before it schedules any call"
            )
        self._reactor = reactor
        self._monotonic_ns = monotonic_ns
        self._offset = unix_ns() - monotonic_ns()
        self._polled_us: int | None = None
        # A reactor in memory has no doIteration: data arrives when it is sent.
        self._do_iteration: Any = getattr(reactor, "doIteration", None)
        if self._do_iteration is not None:
            self._polled_us = self.now_us()
            patched: Any = reactor
            patched.doIteration = self._iterate

    def now_us(self) -> int:
        """The current time in microseconds."""
        return (self._monotonic_ns() + self._offset) // 1000

    def to_machine_us(self, time_us: int) -> int:
        """Convert a time of this clock to the monotonic clock that all processes of the machine share."""
        return time_us - self._offset // 1000

    def from_machine_us(self, machine_us: int) -> int:
        """Convert a time of the machine's monotonic clock to this clock."""
        return machine_us + self._offset // 1000

    @property
    def matches_kernel_clock(self) -> bool:
        """Whether this is a clock of the kernel, so that durations from the kernel apply to its times."""
        return self._monotonic_ns in (time.monotonic_ns, boot_ns)

    @property
    def polled_us(self) -> int:
        """When the reactor's latest pass over its sockets began; input that arrived earlier is handled."""
        return self.now_us() if self._polled_us is None else self._polled_us

    def _iterate(self, delay: Any) -> None:
        """Run one pass of the reactor over its sockets, including the handling of their input."""
        began_us = self.now_us()
        self._do_iteration(delay)
        self._polled_us = began_us

    def call_later(self, delay_us: int, call: Callable[[], None]) -> DelayedCall:
        """Make a call once, after ``delay_us`` microseconds."""
        return _ReactorCall(self._reactor, max(0, delay_us) / 1e6, call)
