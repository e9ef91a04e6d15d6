"""The clock of a running head: Unix microseconds at the start, monotonic from there on.

Starting at Unix time makes the one offset between the list's start times and this clock zero.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from .ports import Call, Reactor


def boot_ns() -> int:
    """Monotonic, and goes on while the machine sleeps, where the system has such a clock."""
    return time.clock_gettime_ns(getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC))


class ReactorClock:
    """Time from the system, calls from the reactor."""

    def __init__(
        self,
        reactor: Reactor,
        monotonic_ns: Callable[[], int] = time.monotonic_ns,
        unix_ns: Callable[[], int] = time.time_ns,
    ) -> None:
        self._reactor, self._monotonic_ns = reactor, monotonic_ns
        self._offset = unix_ns() - monotonic_ns()

    def now_us(self) -> int:
        return (self._monotonic_ns() + self._offset) // 1000

    def call_later(self, delay_us: int, call: Callable[[], None]) -> Call:
        handle: Call = self._reactor.callLater(max(0, delay_us) / 1e6, call)
        return handle
