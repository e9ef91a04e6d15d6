"""The units that each node was sent and has not served yet, by the time they were sent."""

from __future__ import annotations

from collections import OrderedDict, deque
from itertools import islice

from .settings import NodeId

EXAMINED_FOR_ONE = 2  # nodes whose records may be dropped, for each one that is added


class UnservedUnits:
    """The units that one gateway has sent to its nodes.  Times are microseconds.

    They are kept apart from the node records: an endpoint list that omits a node for a moment ends its
    record, but the units sent to it still count.
    """

    def __init__(self) -> None:
        # Sent units are positive, served units negative; both have the time at which they were sent.  The
        # node that was sent something last is last.
        self._logs: OrderedDict[NodeId, deque[tuple[int, float]]] = OrderedDict()

    def clear(self) -> None:
        """Drop all records."""
        self._logs.clear()

    def record_sent(self, now: int, node_id: NodeId, units: float, oldest: int) -> None:
        """Record units that are sent to a node; records from before ``oldest`` are dropped."""
        log = self._logs.get(node_id)
        if log is None:
            self._drop_before(oldest)
            log = self._logs[node_id] = deque()
        self._logs.move_to_end(node_id)
        log.append((now, units))
        while log[0][0] < oldest:
            log.popleft()

    def _drop_before(self, oldest: int) -> None:
        """Drop the records of a few of the nodes that were sent nothing since then."""
        for node_id in list(islice(self._logs, EXAMINED_FOR_ONE)):
            if max(self._logs[node_id])[0] >= oldest:
                return
            del self._logs[node_id]

    def record_served(self, node_id: NodeId, sent_at: int, units: float) -> None:
        """Record that a node has served units that were sent at ``sent_at``."""
        log = self._logs.get(node_id)
        if log is not None:
            log.append((sent_at, -units))

    def unserved_since(self, node_id: NodeId, start: int) -> float:
        """Return the units sent to a node since ``start`` that it has not served."""
        # A list is faster than a generator here: this runs for each attempt at a node in slow start.
        return sum([units for sent_at, units in self._logs.get(node_id, ()) if sent_at >= start])

    def sent_since(self, node_id: NodeId, start: int) -> float:
        """Return the units sent to a node since ``start``, served or not."""
        log = self._logs.get(node_id, ())
        return sum([units for sent_at, units in log if units > 0 and sent_at >= start])
