"""The shards that are known to one gateway, and those of them that need attention.

A list may name thousands of shards of which few are in use.  So whoever looks at shards that have something,
such as a waiting request, keeps a ``ShardSet`` of them as that changes, instead of looking at all.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Sequence
from typing import overload

from .records import ShardRecord


class ShardTable(dict[int, ShardRecord]):
    """The records of shards by number; looking a new number up adds it.

    Shards are never removed.

    :param class_count: returns the present number of request classes.
    """

    def __init__(self, class_count: Callable[[], int]) -> None:
        super().__init__()
        self._class_count = class_count
        self.in_order: list[ShardRecord] = []  # by ``ShardRecord.position``
        self.available = ShardSet(self.in_order)  # that have a node
        self.queued = ShardSet(self.in_order)  # that may have a waiting request
        self.active = ShardSet(self.in_order)  # of which a control period may change the records

    def __missing__(self, number: int) -> ShardRecord:
        shard = ShardRecord(self._class_count(), number, len(self.in_order))
        self[number] = shard
        self.in_order.append(shard)
        return shard

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits; shards without one leave ``queued``."""
        while self.queued:
            latest = self.queued[-1]
            if any(latest.waiting):
                return True
            self.queued.discard(latest)
        return False

    def activate_all(self) -> None:
        """Have the next control period look at all shards."""
        for shard in self.in_order:
            self.active.add(shard)


class ShardSet(Sequence[ShardRecord]):
    """Some of the shards of a table, in the order in which they became known."""

    def __init__(self, in_order: list[ShardRecord]) -> None:
        self._in_order = in_order
        self._positions: list[int] = []  # sorted

    def __len__(self) -> int:
        return len(self._positions)

    @overload
    def __getitem__(self, index: int) -> ShardRecord: ...

    @overload
    def __getitem__(self, index: slice) -> list[ShardRecord]: ...

    def __getitem__(self, index: int | slice) -> ShardRecord | list[ShardRecord]:
        if isinstance(index, slice):
            return [self._in_order[position] for position in self._positions[index]]
        return self._in_order[self._positions[index]]

    def add(self, shard: ShardRecord) -> None:
        """Add a shard, unless it is there."""
        if not self._has_at(bisect_left(self._positions, shard.position), shard):
            insort(self._positions, shard.position)

    def discard(self, shard: ShardRecord) -> None:
        """Remove a shard, if it is there."""
        index = bisect_left(self._positions, shard.position)
        if self._has_at(index, shard):
            del self._positions[index]

    def after(self, shard: ShardRecord | None) -> ShardRecord | None:
        """Return the next one in order; the first for None.  The set may change between two calls."""
        index = 0 if shard is None else bisect_right(self._positions, shard.position)
        return self._in_order[self._positions[index]] if index < len(self._positions) else None

    def _has_at(self, index: int, shard: ShardRecord) -> bool:
        return index < len(self._positions) and self._positions[index] == shard.position
