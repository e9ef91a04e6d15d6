"""A schedule that spreads Retry-After times evenly, so that few clients retry at the same time."""

from __future__ import annotations

import random

SLOTS = 64  # that the longest Retry-After time is divided into
RING_SLOTS = 2 * SLOTS  # future slots that are counted
SHORTEST_SLOT_US = 1000


class RetrySchedule:
    """Counts the scheduled retries in each future slot of time, on a ring.

    A new retry is scheduled in the slot with the fewest retries.  The choice among equal slots and the time
    within the slot are random, so that no two gateways have the same schedule.
    """

    def __init__(self, rng: random.Random, longest_us: int) -> None:
        self._rng = rng
        self._counts = [0] * RING_SLOTS
        self._rounds = [0] * RING_SLOTS  # the round of the ring that each count belongs to
        self.update_longest(longest_us)

    def update_longest(self, longest_us: int) -> None:
        """Set the longest Retry-After time and reset the schedule."""
        self._slot_us = max(SHORTEST_SLOT_US, longest_us // SLOTS)
        self._counts = [0] * RING_SLOTS

    def _count(self, slot: int) -> int:
        ring_round, index = divmod(slot, RING_SLOTS)
        return self._counts[index] if self._rounds[index] == ring_round else 0

    def _add(self, slot: int) -> None:
        ring_round, index = divmod(slot, RING_SLOTS)
        self._counts[index] = self._count(slot) + 1
        self._rounds[index] = ring_round

    def record(self, now: int, wait_us: int) -> None:
        """Count a retry whose time was not chosen by ``choose``."""
        self._add((now + wait_us) // self._slot_us)

    def choose(self, now: int, shortest_us: int, longest_us: int) -> int:
        """Choose a Retry-After time in microseconds, from ``shortest_us`` to ``longest_us``."""
        first = (now + shortest_us) // self._slot_us + 1
        count = max(1, min(SLOTS, (now + longest_us) // self._slot_us - first))
        offset = self._rng.randrange(count)
        slot = min((first + (n + offset) % count for n in range(count)), key=self._count)
        self._add(slot)
        wait_us = slot * self._slot_us - now + self._rng.randrange(self._slot_us)
        return min(longest_us, max(shortest_us, wait_us))
