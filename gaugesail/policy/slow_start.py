"""Slow start: how much of a node that has just started this gateway may use.

A node starts at ``initial_capacity_share`` of its capacity and is warm after ``warm_up_us`` at the latest;
``initial_capacity_units`` from all gateways within ``overload_window_us`` never overload it.  Each gateway
has an even share of them.  Where gateways may exchange messages, a gateway grants others the part that it
does not need.  Where they may not, and an even share is less than a quantum, they take turns
(both in ``share_rotation``; docs/fleet.md, "The ramp").
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

SHARE_REQUEST_US = 1_000_000  # interval of share requests, and how long each one is valid
SMALLEST_GRANT = 0.5  # of an even share
GRANT_ROUNDING = 1 - 1e-6  # so that a share rounded to 32 bits does not exceed what was deducted
ARRIVAL_JITTER_US = 50_000  # by which one request may arrive later than another sent at the same time
UNLIMITED = float("inf")


class SlowStartCapacity(NamedTuple):
    """What a node in slow start may be sent, in units; ``UNLIMITED`` for a warm node."""

    unserved_units: float  # largest number of unserved units, from all gateways together
    available_units: float  # units that this gateway may send now


WARM_CAPACITY = SlowStartCapacity(UNLIMITED, UNLIMITED)


class SlowStart:
    """The capacity of nodes in slow start, for one gateway.  Times are microseconds.

    ``warming_since`` is when a node started, or None for a warm node.  ``process_count`` is the number of
    processes of this gateway that serve at once, 1 or 2.
    """

    def __init__(self, settings: Settings, started_at: int) -> None:
        self._started_at = started_at
        self._unserved = UnservedUnits()
        self.update_settings(settings)

    def restart(self, now: int) -> None:
        """Count as started now: a predecessor has used the shares of nodes that started before."""
        self._started_at = now

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings; the records of sent units stay."""
        self._settings = settings
        self._rotation = ShareRotation.from_settings(settings)

    # ---- the node's capacity ----

    def capacity_share(self, now: int, warming_since: int | None) -> float:
        """Return a node's smallest possible share of its full capacity, which grows linearly until warm."""
        settings = self._settings
        warm_up_us = settings.warm_up_us
        if warming_since is None or not settings.overload_window_us or now - warming_since >= warm_up_us:
            return 1.0
        initial = settings.initial_capacity_share
        return initial + (1 - initial) * max(0, now - warming_since) / warm_up_us

    def allowed_units(self, now: int, warming_since: int | None) -> float:
        """Return the units that all gateways may send in one overload window; ``UNLIMITED`` when warm."""
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
        """Return what a node in slow start may be sent.

        Units that it has served fitted its capacity, so only unserved units can add up to an overload.

        :param count_served: also limit all units sent in the window, served or not: where every gateway has
            more to send than its share, no share is left unused for another gateway.
        """
        settings = self._settings
        window_start = now - settings.overload_window_us
        # The capacity at the beginning of the window is the smallest within it.
        allowed = self.allowed_units(window_start, node.warming_since)
        if node.warming_since is None or allowed == UNLIMITED:
            return WARM_CAPACITY
        unserved = allowed * (1 - 1 / settings.overload_factor)
        if node.warming_since <= self._started_at and window_start <= self._started_at:
            # An earlier process of this gateway may have spent its share, or granted it to others.
            return SlowStartCapacity(unserved, 0.0)
        if settings.peer_messages_allowed:
            share = node.slow_start_share / process_count
        else:
            share = self._rotation.share(now, node.node_id, unserved) / process_count
        available = unserved * share - self._unserved.unserved_since(node.node_id, window_start)
        if count_served:
            sent = self._unserved.sent_since(node.node_id, window_start - ARRIVAL_JITTER_US)
            available = min(available, self.allowed_units(now, node.warming_since) * share - sent)
        return SlowStartCapacity(unserved, available)

    # ---- this gateway's share ----

    def own_share(self, warming_since: int) -> float:
        """Return this gateway's share of a node that started at ``warming_since``, without any grants.

        Where grants are allowed, the share of a node that started before this process is 0, as an earlier
        process may have granted it to others.
        """
        if warming_since > self._started_at or not self._settings.peer_messages_allowed:
            return 1 / self._settings.gateway_count
        return 0.0

    # ---- what was sent ----

    def record_sent(self, now: int, node: NodeRecord, units: float) -> None:
        """Record units that are sent to a node."""
        window_us = self._settings.overload_window_us
        if window_us:
            self._unserved.record_sent(now, node.node_id, units, now - window_us - ARRIVAL_JITTER_US)

    def record_served(self, node: NodeRecord, sent_at: int, units: float) -> None:
        """Record that a node has served units that were sent at ``sent_at``."""
        self._unserved.record_served(node.node_id, sent_at, units)

    # ---- messages between gateways ----

    def grant_share(
        self, now: int, shard: ShardRecord, node: NodeRecord, process_count: int
    ) -> SendPeerMessage | None:
        """Grant the unneeded part of this gateway's share to a requester; return the message, if any.

        The part is deducted before the message is sent.
        """
        capacity = self.capacity(now, node, process_count, False)
        largest = max((request.units for request in shard.queued), default=0.0)
        spare = (capacity.available_units - largest) / capacity.unserved_units
        requesters = node.share_requesters.items()
        peer = next((peer for peer, asked_at in requesters if now - asked_at < SHARE_REQUEST_US), None)
        if peer is None or spare * self._settings.gateway_count <= SMALLEST_GRANT:
            return None
        del node.share_requesters[peer]
        node.slow_start_share -= spare
        grant = ShareGrant(node.shard, node.listed_start_us, spare * GRANT_ROUNDING)
        return SendPeerMessage(grant.encode(), peer)

    def request_share(self, now: int, node: NodeRecord, unserved_units: float) -> SendPeerMessage | None:
        """Return a message that requests shares from all gateways, or None if none is allowed or due."""
        if not self._settings.peer_messages_allowed or unserved_units == UNLIMITED:
            return None
        if now < node.next_share_request_at:
            return None
        node.next_share_request_at = now + SHARE_REQUEST_US
        return SendPeerMessage(ShareRequest(node.shard, node.listed_start_us).encode())

    def receive(self, now: int, event: PeerMessageReceived, shards: dict[int, ShardRecord]) -> int | None:
        """Handle a message from another gateway; return the shard that it changed, if any.

        It must be about the latest start of a node that is still warming up here.
        """
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
