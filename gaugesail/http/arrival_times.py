"""Arrival times of a connection's input: the time of a pipelined request starts at its last byte."""

from __future__ import annotations

from collections import deque

RESOLUTION_US = 5_000  # input that arrives closer together shares one mark
MAX_MARKS = 64  # per connection


class ArrivalTimes:
    """Marks of a byte count and its arrival time; marks of parsed input are dropped."""

    def __init__(self) -> None:
        self._marks: deque[tuple[int, int]] = deque()

    def record(self, bytes_fed: int, bytes_read: int, arrived_us: int) -> None:
        """Mark the arrival of input up to ``bytes_fed`` bytes in total; drop the marks of parsed bytes."""
        marks = self._marks
        while marks and marks[0][0] <= bytes_read:
            marks.popleft()
        if marks and (arrived_us - marks[-1][1] < RESOLUTION_US or len(marks) >= MAX_MARKS):
            marks[-1] = bytes_fed, arrived_us
        else:
            marks.append((bytes_fed, arrived_us))

    def last_read(self, bytes_read: int, now_us: int) -> int:
        """Return when byte number ``bytes_read`` arrived; ``now_us`` if there is no mark."""
        marks = self._marks
        arrived_us = now_us
        while marks:
            arrived_us = marks[0][1]
            if marks[0][0] >= bytes_read:
                break
            marks.popleft()
        return arrived_us
