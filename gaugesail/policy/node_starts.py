"""Start times of nodes, converted to the gateway's own clock.

Endpoint lists give start times on discovery's clock.  It may differ from the gateway's by any amount, and
either may be stepped, so the two are never compared.  A start that is new in a later list happened no later
than the list was received, and counts from then.  For the starts in its first lists a gateway knows only
their differences: each start is at least as old as its distance from the newest one.
"""

from __future__ import annotations

from typing import NamedTuple

from .events import Endpoint, EndpointList, EndpointListKind
from .settings import NodeId

MAX_KNOWN_STARTS = 10_000  # nodes; more than any list has


class KnownStart(NamedTuple):
    """The latest start of one node."""

    listed_us: int  # on discovery's clock
    started_at: int  # on the gateway's clock: the latest possible time


class NodeStartTimes:
    """The node starts that one gateway has learnt from endpoint lists.  All times are microseconds."""

    def __init__(self) -> None:
        self._known: dict[NodeId, KnownStart] = {}
        self._clock_offset: int | None = None  # discovery's clock less the gateway's: the lower bound
        self._list_received = False  # other than the cached list of an earlier process

    def update(self, now: int, received: EndpointList) -> None:
        """Record the new starts in a list.  A start time of 0 means long ago and is never new."""
        restarted = [endpoint for endpoint in received.endpoints if self._is_new_start(endpoint)]
        for endpoint in restarted:
            offset = endpoint.started_us - now
            self._clock_offset = offset if self._clock_offset is None else max(self._clock_offset, offset)
        for endpoint in restarted:
            self._remember(endpoint, self._on_own_clock(now, endpoint.started_us))
        if received.kind is not EndpointListKind.CACHED and received.endpoints:
            self._list_received = True

    def started_at(self, now: int, node_id: NodeId) -> int:
        """Return when a node last started, on the gateway's clock; ``now`` if no start is known.

        A start stays known while a list omits the node.
        """
        known = self._known.get(node_id)
        return now if known is None else known.started_at

    def _is_new_start(self, endpoint: Endpoint) -> bool:
        known = self._known.get(endpoint.node_id)
        return endpoint.started_us > 0 and (known is None or known.listed_us != endpoint.started_us)

    def _on_own_clock(self, now: int, listed_us: int) -> int:
        if self._list_received or self._clock_offset is None:
            return now
        return now - max(0, now + self._clock_offset - listed_us)

    def _remember(self, endpoint: Endpoint, started_at: int) -> None:
        self._known.pop(endpoint.node_id, None)
        self._known[endpoint.node_id] = KnownStart(endpoint.started_us, started_at)
        if len(self._known) > MAX_KNOWN_STARTS:
            del self._known[next(iter(self._known))]
