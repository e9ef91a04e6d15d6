"""A schedule that spreads Retry-After times evenly, so that few clients retry at the same time."""

from __future__ import annotations

import random

SLOT_US = 8_000  # a slot of time that retries are counted in
MAX_CHOICES = 64  # slots that one choice is made among
KEPT_SLOTS = 1024  # beyond these, the slots that have passed are dropped


class RetrySchedule:
    """Counts the scheduled retries in each future slot of time.

    A new retry is scheduled in the slot with the fewest retries.  The choice among equal slots and the time
    within the slot are random, so that no two gateways have the same schedule.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._counts: dict[int, int] = {}  # by slot
        self._drop_at = KEPT_SLOTS

    def count(self, slot: int) -> int:
        """Return the retries that are scheduled in a slot."""
        return self._counts.get(slot, 0)

    def record(self, now: int, wait_us: int) -> None:
        """Count a retry whose time was not chosen by ``choose``."""
        self._add(now, (now + wait_us) // SLOT_US)

    def _add(self, now: int, slot: int) -> None:
        self._counts[slot] = self.count(slot) + 1
        if len(self._counts) > self._drop_at:
            self._counts = {kept: count for kept, count in self._counts.items() if kept >= now // SLOT_US}
            self._drop_at = max(KEPT_SLOTS, 2 * len(self._counts))

    def choose(self, now: int, shortest_us: int, longest_us: int) -> int:
        """Choose a Retry-After time in microseconds, from ``shortest_us`` to ``longest_us``."""
        first = (now + shortest_us) // SLOT_US + 1
        slots = max(1, (now + longest_us) // SLOT_US - first)
        count = min(MAX_CHOICES, slots)
        offset = self._rng.randrange(count)
        choices = (first + (n + offset) % count * slots // count for n in range(count))
        slot = min(choices, key=self.count)
        self._add(now, slot)
        wait_us = slot * SLOT_US - now + self._rng.randrange(SLOT_US)
        return min(longest_us, max(shortest_us, wait_us))
