"""When the bytes of a connection came, so that the time of a pipelined request runs from its last byte."""

from __future__ import annotations

from collections import deque

RESOLUTION_US = 5_000  # input that came closer together counts as come at once
MAX_MARKS = 64


class ArrivalTimes:
    """Marks of how many bytes had come, and when; those of input that was read are dropped."""

    def __init__(self) -> None:
        self._marks: deque[tuple[int, int]] = deque()

    def record(self, bytes_fed: int, bytes_read: int, arrived_us: int) -> None:
        """Enter that so many bytes have come in all by now, of which so many have been read."""
        marks = self._marks
        while marks and marks[0][0] <= bytes_read:
            marks.popleft()
        if marks and (arrived_us - marks[-1][1] < RESOLUTION_US or len(marks) >= MAX_MARKS):
            marks[-1] = bytes_fed, arrived_us
        else:
            marks.append((bytes_fed, arrived_us))

    def last_read(self, bytes_read: int, now_us: int) -> int:
        """When the last of so many bytes came; ``now_us`` where no mark tells."""
        marks = self._marks
        arrived_us = now_us
        while marks:
            arrived_us = marks[0][1]
            if marks[0][0] >= bytes_read:
                break
            marks.popleft()
        return arrived_us
