"""Which of the latest message numbers of one sender have come, as one bit each."""

from __future__ import annotations

WINDOW_SIZE = 1024  # numbers that are told apart, however far out of order they come


class ReplayWindow:
    """The numbers of one process that were taken."""

    __slots__ = ("_newest", "_seen")

    def __init__(self) -> None:
        self._newest = -1
        self._seen = 0  # bit n: ``_newest - n`` has come

    def take(self, number: int) -> bool:
        """Whether a number has not come before; one that is too old to tell counts as if it had."""
        if number > self._newest:
            shift = min(WINDOW_SIZE, number - self._newest)
            self._seen = (self._seen << shift) & ((1 << WINDOW_SIZE) - 1) | 1
            self._newest = number
            return True
        behind = self._newest - number
        if behind >= WINDOW_SIZE or self._seen >> behind & 1:
            return False
        self._seen |= 1 << behind
        return True
