"""Arrival times of a connection's input: the time of a pipelined request starts at its last byte."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

RESOLUTION_US = 5_000  # input that arrives closer together shares one mark
MAX_MARKS = 64  # per connection


class ArrivalMark(NamedTuple):
    """The input up to byte number ``end`` had arrived at ``arrived_us``."""

    end: int
    arrived_us: int


class ArrivalTimes:
    """Marks of a byte count and its arrival time; marks of parsed input are dropped."""

    def __init__(self) -> None:
        self._marks: deque[ArrivalMark] = deque()

    def record(self, bytes_fed: int, bytes_read: int, arrived_us: int) -> None:
        """Mark the arrival of input up to ``bytes_fed`` bytes in total; drop the marks of parsed bytes."""
        marks = self._marks
        while marks and marks[0].end <= bytes_read:
            marks.popleft()
        if marks and (arrived_us - marks[-1].arrived_us < RESOLUTION_US or len(marks) >= MAX_MARKS):
            marks[-1] = ArrivalMark(bytes_fed, arrived_us)
        else:
            marks.append(ArrivalMark(bytes_fed, arrived_us))

    def last_read(self, bytes_read: int, now_us: int) -> int:
        """Return when byte number ``bytes_read`` arrived; ``now_us`` if there is no mark."""
        marks = self._marks
        arrived_us = now_us
        while marks:
            arrived_us = marks[0].arrived_us
            if marks[0].end >= bytes_read:
                break
            marks.popleft()
        return arrived_us

    def unread(self, bytes_read: int) -> tuple[ArrivalMark, ...]:
        """Return the marks behind byte number ``bytes_read``, counted from there."""
        return tuple(ArrivalMark(end - bytes_read, at_us) for end, at_us in self._marks if end > bytes_read)

    def restore(self, marks: Iterable[ArrivalMark]) -> None:
        """Begin with marks that ``unread`` returned in another process."""
        self._marks = deque(marks)
