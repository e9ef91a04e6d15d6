"""The mean latencies of the nodes that have been measured, kept as they change."""

from __future__ import annotations

from collections.abc import Iterable

SCALE = 1 << 40  # sums are whole numbers of 1/SCALE microseconds, so that they never drift


class MeasuredLatencies:
    """The sums of the latencies of all nodes that differ from the targets, by class.  Microseconds."""

    def __init__(self) -> None:
        self._targets: list[float] = []
        self._sums: list[int] = []
        self._count = 0

    def restart(self, targets: list[float], latencies: Iterable[list[float]]) -> None:
        """Begin anew with changed targets and the latencies of all nodes."""
        self._targets = targets
        self._sums = [0] * len(targets)
        self._count = 0
        for latency in latencies:
            self.add(latency)

    def add(self, latency: list[float]) -> None:
        """Add the latencies of a node, which has not been measured if they are the targets."""
        if latency != self._targets:
            self._change(latency, 1)

    def remove(self, latency: list[float]) -> None:
        """Remove what was added for a node."""
        if latency != self._targets:
            self._change(latency, -1)

    def mean(self) -> list[float] | None:
        """Return the mean of the measured nodes by class; None if there is none."""
        if not self._count:
            return None
        return [total / SCALE / self._count for total in self._sums]

    def _change(self, latency: list[float], sign: int) -> None:
        self._count += sign
        for position, value in enumerate(latency):
            self._sums[position] += sign * round(value * SCALE)
