"""Deadlines on one heap: however many there are, a single delayed call waits for the earliest."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass

from .ports import Attempt, Clock, DelayedCall

LONGEST_DELAY_US = 10 * 60 * 1_000_000  # of one delayed call; a later deadline is waited for in several


@dataclass(slots=True)
class PolicyTimer:
    """A timer that the policy has set; the policy gets its token back."""

    token: int


@dataclass(slots=True)
class AttemptDeadline:
    """The end of the time that an attempt may take."""

    attempt: Attempt


@dataclass(slots=True)
class RequestDeadline:
    """The last moment for a request's final answer."""

    request_id: int


Deadline = PolicyTimer | AttemptDeadline | RequestDeadline


class DeadlineQueue:
    """Deadlines in the order of their time; those of one instant in the order in which they were added."""

    def __init__(self, clock: Clock, on_due: Callable[[], None]) -> None:
        self._clock = clock
        self._on_due = on_due
        self._heap: list[tuple[int, int, Deadline]] = []  # time, number of the entry, deadline
        self._added = 0
        self._call: DelayedCall | None = None
        self._call_at_us = 0

    def add(self, at_us: int, deadline: Deadline) -> None:
        """Enter a deadline at a time of the clock, in microseconds."""
        self._added += 1
        heapq.heappush(self._heap, (at_us, self._added, deadline))
        if self._call is None or at_us < self._call_at_us:
            self._schedule()

    def pop_due(self, now_us: int) -> Deadline | None:
        """Take the earliest deadline that has come by ``now_us``; None where there is none."""
        if not self._heap or self._heap[0][0] > now_us:
            return None
        return heapq.heappop(self._heap)[2]

    def ensure_scheduled(self) -> None:
        """Wait for the earliest deadline, unless something has scheduled that call already."""
        if self._call is None:
            self._schedule()

    def _schedule(self) -> None:
        if self._call is not None and self._call.active():
            self._call.cancel()
        self._call = None
        if self._heap:
            self._call_at_us = self._heap[0][0]
            delay_us = min(LONGEST_DELAY_US, self._call_at_us - self._clock.now_us())
            self._call = self._clock.call_later(delay_us, self._run)

    def _run(self) -> None:
        self._call = None
        self._on_due()
