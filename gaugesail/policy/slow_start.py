"""Slow start: how much of a node that has just started this gateway may use.

A node starts at ``initial_capacity_share`` of its capacity and is warm ``warm_up_us`` later at the latest;
``initial_capacity_units`` from all gateways within ``overload_window_us`` never overload it.  The gateways
have even shares of that.  Where they may talk, one passes on what it does not need.  Where they may not, and
an even share would be less than a request, they take turns (``share_rotation``; docs/fleet.md, "The ramp").
"""

from __future__ import annotations

from typing import NamedTuple

from .actions import SendPeerMessage
from .events import PeerMessageReceived
from .records import NodeRecord, ShardRecord
from .settings import Settings
from .share_messages import ShareGrant, ShareRequest, decode
from .share_rotation import ShareRotation
from .unserved_units import UnservedUnits

SHARE_REQUEST_US = 1_000_000  # between two requests for a share, and how long one holds
SMALLEST_GRANT = 0.5  # of an even share
GRANT_ROUNDING = 1 - 1e-6  # so that a share rounded to 32 bits is not more than was deducted
ARRIVAL_JITTER_US = 50_000  # by which one request may arrive later than another sent at the same time
UNLIMITED = float("inf")


class SlowStartCapacity(NamedTuple):
    """What a node in slow start may be sent, in units; ``UNLIMITED`` for one that is warm."""

    unserved_units: float  # from all gateways together
    room_units: float  # more from this gateway now


WARM_CAPACITY = SlowStartCapacity(UNLIMITED, UNLIMITED)


class SlowStart:
    """The capacity of nodes in slow start, for one gateway.  Times are microseconds.

    ``warming_since`` is when a node started, None for one that is warm; ``process_count`` counts the
    processes of this gateway that serve at once, 1 or 2.
    """

    def __init__(self, settings: Settings, started_at: int) -> None:
        self._started_at = started_at
        self._unserved = UnservedUnits()
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Take other settings; what was sent stays."""
        self._settings = settings
        self._rotation = ShareRotation.from_settings(settings)

    # ---- the node's capacity ----

    def capacity_share(self, now: int, warming_since: int | None) -> float:
        """The share of its capacity that a node has at the least: it grows evenly, as late as allowed."""
        settings = self._settings
        warm_up_us = settings.warm_up_us
        if warming_since is None or not settings.overload_window_us or now - warming_since >= warm_up_us:
            return 1.0
        initial = settings.initial_capacity_share
        return initial + (1 - initial) * max(0, now - warming_since) / warm_up_us

    def allowed_units(self, now: int, warming_since: int | None) -> float:
        """Units that all gateways may send within one overload window; ``UNLIMITED`` when warm."""
        if warming_since is None:
            return UNLIMITED
        share = self.capacity_share(now, warming_since)
        if share >= 1:
            return UNLIMITED
        settings = self._settings
        return settings.initial_capacity_units * share / settings.initial_capacity_share

    def capacity(
        self, now: int, node: NodeRecord, process_count: int, count_served: bool
    ) -> SlowStartCapacity:
        """What a node in slow start may be sent.

        What it has served fitted its capacity, so that only unserved units add up to an overload.  With
        ``count_served`` all that was sent in the window counts: where every gateway has more to send than its
        share, what one leaves is no longer there for another.
        """
        settings = self._settings
        window_start = now - settings.overload_window_us
        # The least in any part of the window: as the node stood when the window began.
        allowed = self.allowed_units(window_start, node.warming_since)
        if node.warming_since is None or allowed == UNLIMITED:
            return WARM_CAPACITY
        unserved = allowed * (1 - 1 / settings.overload_factor)
        if node.warming_since <= self._started_at and window_start <= self._started_at:
            # An earlier process of this gateway may have spent its share, or given it away.
            return SlowStartCapacity(unserved, 0.0)
        if settings.peer_messages_allowed:
            share = node.slow_start_share / process_count
        else:
            share = self._rotation.share(now, node.node_id, unserved) / process_count
        room = unserved * share - self._unserved.unserved_since(node.node_id, window_start)
        if count_served:
            sent = self._unserved.sent_since(node.node_id, window_start - ARRIVAL_JITTER_US)
            room = min(room, self.allowed_units(now, node.warming_since) * share - sent)
        return SlowStartCapacity(unserved, room)

    # ---- this gateway's share ----

    def own_share(self, warming_since: int) -> float:
        """This gateway's share of a node that started then, before any is given or received.

        A node that started before this process has none to give: an earlier process may have given it.
        """
        if warming_since > self._started_at or not self._settings.peer_messages_allowed:
            return 1 / self._settings.gateway_count
        return 0.0

    # ---- what was sent ----

    def record_sent(self, now: int, node: NodeRecord, units: float) -> None:
        """Units go to a node."""
        window_us = self._settings.overload_window_us
        if window_us:
            self._unserved.record_sent(now, node.node_id, units, now - window_us - ARRIVAL_JITTER_US)

    def record_served(self, node: NodeRecord, sent_at: int, units: float) -> None:
        """A node has served units that were sent then."""
        self._unserved.record_served(node.node_id, sent_at, units)

    # ---- messages between gateways ----

    def give_share(
        self, now: int, shard: ShardRecord, node: NodeRecord, process_count: int
    ) -> SendPeerMessage | None:
        """Give what is not needed here to a gateway that has asked; it is deducted before it is sent."""
        capacity = self.capacity(now, node, process_count, False)
        largest = max((request.units for queue in shard.waiting for request in queue), default=0.0)
        spare = (capacity.room_units - largest) / capacity.unserved_units
        requesters = node.share_requesters.items()
        peer = next((peer for peer, asked_at in requesters if now - asked_at < SHARE_REQUEST_US), None)
        if peer is None or spare * self._settings.gateway_count <= SMALLEST_GRANT:
            return None
        del node.share_requesters[peer]
        node.slow_start_share -= spare
        grant = ShareGrant(node.shard, node.listed_start_us, spare * GRANT_ROUNDING)
        return SendPeerMessage(grant.encode(), peer)

    def request_share(self, now: int, node: NodeRecord, unserved_units: float) -> SendPeerMessage | None:
        """Ask all gateways for their shares, now and then, while there is more to send than may go."""
        if not self._settings.peer_messages_allowed or unserved_units == UNLIMITED:
            return None
        if now < node.next_share_request_at:
            return None
        node.next_share_request_at = now + SHARE_REQUEST_US
        return SendPeerMessage(ShareRequest(node.shard, node.listed_start_us).encode())

    def receive(self, now: int, event: PeerMessageReceived, shards: dict[int, ShardRecord]) -> int | None:
        """Take in a message about the same start of a node that is still warming up here; its shard."""
        message = decode(event.data)
        shard = shards.get(message.shard) if message is not None else None
        node = shard.node if shard is not None else None
        if message is None or node is None or message.listed_start_us != node.listed_start_us:
            return None
        if self.capacity_share(now, node.warming_since) >= 1:
            return None
        if isinstance(message, ShareRequest):
            node.share_requesters[event.sender] = now
        elif 0 < message.share <= 1:
            node.slow_start_share = min(1.0, node.slow_start_share + message.share)
        return node.shard
