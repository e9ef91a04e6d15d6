"""When nodes started, on the gateway's own clock.

Lists tell starts by discovery's clock.  The gateway's own clock may be off from it by any amount, and
either may be stepped, so that the two are never compared.  What is certain is what the gateway has seen
itself: a start that comes as news happened no later than it was heard of, and is counted from then.  Of the
starts in its first lists a gateway knows how they stand to each other: each is at least as old as it is
older than the newest.
"""

from __future__ import annotations

from .events import Endpoint, EndpointList, EndpointListKind
from .settings import NodeId

MOST_KNOWN = 10_000  # nodes whose starts are remembered: more than any list has


class NodeStartTimes:
    """The starts that lists have told one gateway.  All times are microseconds."""

    def __init__(self) -> None:
        self._known: dict[NodeId, tuple[int, int]] = {}  # the start as it was told, and on our clock
        self._lead: int | None = None  # by how much discovery's clock is ahead of ours, at the least
        self._current = False  # a list has come that is not the one of an earlier process

    def update(self, now: int, news: EndpointList) -> None:
        """Take in a list.  A start of 0 is long ago and no news."""
        fresh = [line for line in news.endpoints if self._is_fresh(line)]
        for line in fresh:
            lead = line.started_us - now
            self._lead = lead if self._lead is None else max(self._lead, lead)
        for line in fresh:
            self._remember(line, self._since(now, line.started_us))
        if news.kind is not EndpointListKind.CACHED and news.endpoints:
            self._current = True

    def started_at(self, now: int, node: NodeId) -> int:
        """When the latest start that was told of a node was, on our clock; now where none is remembered.  A
        list that drops it for a moment changes nothing."""
        known = self._known.get(node)
        return now if known is None else known[1]

    def _is_fresh(self, line: Endpoint) -> bool:
        known = self._known.get(line.node_id)
        return line.started_us > 0 and (known is None or known[0] != line.started_us)

    def _since(self, now: int, started: int) -> int:
        if self._current or self._lead is None:
            return now
        return now - max(0, now + self._lead - started)

    def _remember(self, line: Endpoint, since: int) -> None:
        self._known.pop(line.node_id, None)
        self._known[line.node_id] = line.started_us, since
        if len(self._known) > MOST_KNOWN:
            del self._known[next(iter(self._known))]
