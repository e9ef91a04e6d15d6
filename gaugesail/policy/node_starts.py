"""When nodes started, on the gateway's own clock.

Lists tell starts by discovery's clock.  It may be off from the gateway's by any amount, and either may be
stepped, so the two are never compared.  A start that comes as news happened no later than it was received,
and counts from then.  Of the starts in its first lists a gateway knows only how they stand to each other:
each is at least as old as it is older than the newest.
"""

from __future__ import annotations

from typing import NamedTuple

from .events import Endpoint, EndpointList, EndpointListKind
from .settings import NodeId

MAX_KNOWN = 10_000  # nodes whose starts are remembered: more than any list has


class KnownStart(NamedTuple):
    """The latest start of one node."""

    listed_us: int  # by discovery's clock
    started_at: int  # by ours, the latest that it can be


class NodeStartTimes:
    """The starts that lists have told one gateway.  All times are microseconds."""

    def __init__(self) -> None:
        self._known: dict[NodeId, KnownStart] = {}
        self._clock_lead: int | None = None  # of discovery's clock over ours, at the least
        self._list_received = False  # one that is not the cached list of an earlier process

    def update(self, now: int, received: EndpointList) -> None:
        """Take in a list.  A start of 0 is long ago and no news."""
        restarted = [endpoint for endpoint in received.endpoints if self._is_news(endpoint)]
        for endpoint in restarted:
            lead = endpoint.started_us - now
            self._clock_lead = lead if self._clock_lead is None else max(self._clock_lead, lead)
        for endpoint in restarted:
            self._remember(endpoint, self._on_own_clock(now, endpoint.started_us))
        if received.kind is not EndpointListKind.CACHED and received.endpoints:
            self._list_received = True

    def started_at(self, now: int, node_id: NodeId) -> int:
        """When a node started last, on our clock; now where no start is remembered.

        A list that drops the node for a moment changes nothing.
        """
        known = self._known.get(node_id)
        return now if known is None else known.started_at

    def _is_news(self, endpoint: Endpoint) -> bool:
        known = self._known.get(endpoint.node_id)
        return endpoint.started_us > 0 and (known is None or known.listed_us != endpoint.started_us)

    def _on_own_clock(self, now: int, listed_us: int) -> int:
        if self._list_received or self._clock_lead is None:
            return now
        return now - max(0, now + self._clock_lead - listed_us)

    def _remember(self, endpoint: Endpoint, started_at: int) -> None:
        self._known.pop(endpoint.node_id, None)
        self._known[endpoint.node_id] = KnownStart(endpoint.started_us, started_at)
        if len(self._known) > MAX_KNOWN:
            del self._known[next(iter(self._known))]
