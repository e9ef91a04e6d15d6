"""Exponential backoff with jitter."""

from __future__ import annotations

import random

JITTER = 0.25  # of each delay, up or down, so that gateways whose disks failed together retry apart


class Backoff:
    """Delays between the attempts of one operation, in microseconds; each doubles the one before it.

    :param first_us: the first delay, also after ``reset``.
    :param longest_us: no delay is longer, before jitter.
    """

    def __init__(self, first_us: int, longest_us: int) -> None:
        self._first_us = first_us
        self._longest_us = longest_us
        self._next_us = first_us
        self._rng = random.SystemRandom()

    def next_us(self) -> int:
        """Return the delay before the next attempt, and double the one after it."""
        delay = int(self._next_us * self._rng.uniform(1 - JITTER, 1 + JITTER))
        self._next_us = min(self._longest_us, 2 * self._next_us)
        return delay

    def reset(self) -> None:
        """Begin with the first delay again, after an attempt that succeeded."""
        self._next_us = self._first_us
