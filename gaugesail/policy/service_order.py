"""In which order the requests that wait for a shard are served.

Those within the reserve of their volume go first; the capacity beyond the reserves is due to the volumes by
their share weights (``spare_shares``).  Among equals, the one whose client has the least time left goes
first.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

from .records import PendingRequest, ShardRecord, VolumeBudget
from .spare_shares import cost


class ServiceOrder(NamedTuple):
    """The waiting requests of a shard, in the order in which they would be served."""

    reserved: list[PendingRequest]  # within the reserve of their volume; they go first
    beyond: list[PendingRequest]


def in_service_order(shard: ShardRecord, now: int) -> ServiceOrder:
    """Return the waiting requests of a shard in the order in which they would be served from ``now`` on.

    A reserve counts with what it accrues until the answer of each request is due.
    """
    by_volume: dict[VolumeBudget, list[PendingRequest]] = {}
    for request in sorted(shard.queued, key=lambda request: request.answer_by):
        by_volume.setdefault(request.volume, []).append(request)
    reserved: list[PendingRequest] = []
    beyond: list[list[PendingRequest]] = []  # of each volume, the last to go first
    for volume, requests in by_volume.items():
        beyond.append(_split_off_reserved(volume, requests, now, reserved))
    reserved.sort(key=lambda request: request.answer_by)
    return ServiceOrder(reserved, _by_spare_share(shard, [requests for requests in beyond if requests]))


def _split_off_reserved(
    volume: VolumeBudget, requests: list[PendingRequest], now: int, reserved: list[PendingRequest]
) -> list[PendingRequest]:
    """Add a volume's requests within its reserve to ``reserved``; return the others, the last to go first."""
    spent = 0.0
    beyond = []
    for request in requests:
        if volume.reserve_by(now, request.answer_by) - spent >= request.units / 2:
            reserved.append(request)
            spent += request.units
        else:
            beyond.append(request)
    beyond.reverse()
    return beyond


def _by_spare_share(shard: ShardRecord, volumes: list[list[PendingRequest]]) -> list[PendingRequest]:
    """Merge the volumes' requests, each list popped from its end, by the tags that they would have."""
    heads = [
        (shard.spare.tag(requests[-1].volume), requests[-1].answer_by, requests[-1].request_id, requests)
        for requests in volumes
    ]
    heapq.heapify(heads)
    merged = []
    while heads:
        tag, _, _, requests = heapq.heappop(heads)
        request = requests.pop()
        merged.append(request)
        if requests:
            following = requests[-1]
            next_tag = tag + cost(request.volume, request.units)
            heapq.heappush(heads, (next_tag, following.answer_by, following.request_id, requests))
    return merged
