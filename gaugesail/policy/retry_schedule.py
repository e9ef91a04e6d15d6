"""Retry-After times that are level: of those who retry when told, as few as possible retry together."""

from __future__ import annotations

import random

SLOTS = 64  # of the longest time: how finely they are told apart


class RetrySchedule:
    """How many were told to come in each slot of the time ahead, on a ring.

    A new time goes to the slot with the fewest; where several have as few, to the one that this gateway's
    own draw says, and to a place within it that is drawn, so that no two gateways are in step.
    """

    def __init__(self, rng: random.Random, longest_us: int) -> None:
        self._rng = rng
        self._counts = [0] * (2 * SLOTS)
        self._turns = [0] * (2 * SLOTS)  # which turn of the ring a count is of
        self.update_longest(longest_us)

    def update_longest(self, longest_us: int) -> None:
        """Another longest time; what was told by the old one is forgotten."""
        self._width = max(1000, longest_us // SLOTS)
        self._counts = [0] * (2 * SLOTS)

    def _count(self, slot: int) -> int:
        turn, place = divmod(slot, 2 * SLOTS)
        return self._counts[place] if self._turns[place] == turn else 0

    def _add(self, slot: int) -> None:
        turn, place = divmod(slot, 2 * SLOTS)
        self._counts[place] = self._count(slot) + 1
        self._turns[place] = turn

    def record(self, now: int, wait: int) -> None:
        """A time that has another reason counts as well."""
        self._add((now + wait) // self._width)

    def choose(self, now: int, low: int, high: int) -> int:
        """A time from now, in microseconds, at least ``low`` and at most ``high``."""
        first = (now + low) // self._width + 1
        count = max(1, min(SLOTS, (now + high) // self._width - first))
        turn = self._rng.randrange(count)
        slot = min((first + (n + turn) % count for n in range(count)), key=self._count)
        self._add(slot)
        return min(high, max(low, slot * self._width - now + self._rng.randrange(self._width)))
