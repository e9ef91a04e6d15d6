"""Units that were sent to each node and not yet served by it, by the time they were sent."""

from __future__ import annotations

from collections import deque

from .settings import NodeId


class UnservedUnits:
    """What one gateway has sent to its nodes.  Times are microseconds.

    It is kept apart from the record of a node: a list that drops a node for a moment ends its record, and
    what was sent to it counts all the same.
    """

    def __init__(self) -> None:
        # Sent units are positive; served ones are negative, at the time they were sent.
        self._logs: dict[NodeId, deque[tuple[int, float]]] = {}

    def clear(self) -> None:
        """Forget all that was sent."""
        self._logs.clear()

    def record_sent(self, now: int, node_id: NodeId, units: float, oldest: int) -> None:
        """Units go to a node; what was sent before ``oldest`` is forgotten."""
        log = self._logs.get(node_id)
        if log is None:
            self._logs = {key: kept for key, kept in self._logs.items() if max(kept)[0] >= oldest}
            log = self._logs[node_id] = deque()
        log.append((now, units))
        while log[0][0] < oldest:
            log.popleft()

    def record_served(self, node_id: NodeId, sent_at: int, units: float) -> None:
        """A node has served units that were sent then."""
        log = self._logs.get(node_id)
        if log is not None:
            log.append((sent_at, -units))

    def unserved_since(self, node_id: NodeId, start: int) -> float:
        """Units sent to a node since ``start`` that it has not served."""
        # A list here is faster than a generator: this runs for each attempt at a node in slow start.
        return sum([units for sent_at, units in self._logs.get(node_id, ()) if sent_at >= start])

    def sent_since(self, node_id: NodeId, start: int) -> float:
        """Units sent to a node since ``start``, served or not."""
        log = self._logs.get(node_id, ())
        return sum([units for sent_at, units in log if units > 0 and sent_at >= start])
