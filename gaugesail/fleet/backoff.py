"""Waits that grow: exponential backoff with jitter."""

from __future__ import annotations

import random

JITTER = 0.25  # of each wait, either way: gateways whose disks failed together do not retry in step


class Backoff:
    """The waits between attempts of one thing, in microseconds.  Each is twice the one before."""

    def __init__(self, first_us: int, longest_us: int) -> None:
        self._first_us = first_us
        self._longest_us = longest_us
        self._next_us = first_us
        self._rng = random.SystemRandom()

    def next_us(self) -> int:
        """How long to wait before the next attempt."""
        wait = int(self._next_us * self._rng.uniform(1 - JITTER, 1 + JITTER))
        self._next_us = min(self._longest_us, 2 * self._next_us)
        return wait

    def reset(self) -> None:
        """An attempt has succeeded."""
        self._next_us = self._first_us
