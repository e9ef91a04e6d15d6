"""Replay protection: a sliding window over the message numbers of one sender, one bit each."""

from __future__ import annotations

WINDOW_SIZE = 1024  # numbers that are remembered, counted back from the highest: older ones are dropped


class ReplayWindow:
    """The message numbers of one process that were accepted."""

    __slots__ = ("_highest", "_seen")

    def __init__(self) -> None:
        self._highest = -1
        self._seen = 0  # bit n: ``_highest - n`` was accepted

    def accept(self, number: int) -> bool:
        """Record a number; False for a replay, and for a number that is older than the window."""
        if number > self._highest:
            shift = min(WINDOW_SIZE, number - self._highest)
            self._seen = (self._seen << shift) & ((1 << WINDOW_SIZE) - 1) | 1
            self._highest = number
            return True
        age = self._highest - number
        if age >= WINDOW_SIZE or self._seen >> age & 1:
            return False
        self._seen |= 1 << age
        return True
