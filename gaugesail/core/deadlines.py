"""A queue of deadlines on one heap, with a single delayed call for the earliest of them."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass

from .ports import Attempt, Clock, DelayedCall

SMALLEST_SWEEP = 1024  # deadlines, from which on those that no longer matter are dropped
LONGEST_DELAY_US = 10 * 60 * 1_000_000  # of one delayed call; later deadlines take several calls


@dataclass(slots=True)
class PolicyTimer:
    """A timer set by the policy, which gets its token back when the timer is due."""

    token: int


@dataclass(slots=True)
class AttemptDeadline:
    """The time by which an attempt must end."""

    attempt: Attempt


@dataclass(slots=True)
class RequestDeadline:
    """The time by which a request must have its final answer."""

    request_id: int


Deadline = PolicyTimer | AttemptDeadline | RequestDeadline


class DeadlineQueue:
    """Deadlines in order of time; equal times keep the order in which they were added.

    ``on_due`` is called when the earliest deadline is due; it calls ``pop_due`` until that returns None, and
    ``ensure_scheduled`` afterwards.  ``is_obsolete`` tells whether what a deadline is for has ended; whenever
    the queue has doubled, such deadlines are dropped, so that ended requests do not fill it.  ``on_pop`` gets
    the present time and that of each deadline that is due.
    """

    def __init__(
        self,
        clock: Clock,
        on_due: Callable[[], None],
        is_obsolete: Callable[[Deadline], bool],
        on_pop: Callable[[int, int], None] = lambda now_us, at_us: None,
    ) -> None:
        self._clock = clock
        self._on_due = on_due
        self._is_obsolete = is_obsolete
        self._on_pop = on_pop
        self._sweep_at = SMALLEST_SWEEP  # deadlines
        self._heap: list[tuple[int, int, Deadline]] = []  # time, sequence number, deadline
        self._added = 0
        self._call: DelayedCall | None = None
        self._call_at_us = 0

    def add(self, at_us: int, deadline: Deadline) -> None:
        """Add a deadline at ``at_us``, a time of the clock in microseconds."""
        self._added += 1
        if len(self._heap) >= self._sweep_at:
            self._drop_obsolete()
        heapq.heappush(self._heap, (at_us, self._added, deadline))
        if self._call is None or at_us < self._call_at_us:
            self._schedule()

    def _drop_obsolete(self) -> None:
        self._heap = [entry for entry in self._heap if not self._is_obsolete(entry[2])]
        heapq.heapify(self._heap)
        self._sweep_at = max(SMALLEST_SWEEP, 2 * len(self._heap))

    def pop_due(self, now_us: int) -> Deadline | None:
        """Remove and return the earliest deadline due by ``now_us``, or None."""
        if not self._heap or self._heap[0][0] > now_us:
            return None
        at_us, _, deadline = heapq.heappop(self._heap)
        self._on_pop(now_us, at_us)
        return deadline

    def ensure_scheduled(self) -> None:
        """Schedule the call for the earliest deadline, unless one is scheduled already."""
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
