"""The queue check, which runs once per tick and rejects waiting requests that cannot be served in time.

A request is rejected as soon as this is known: until it is answered it occupies a connection of its client.
"""

from __future__ import annotations

from .gateway_state import GatewayState
from .node_table import NodeTable
from .priority import priority_weight, volume_tier
from .records import NodeRecord, PendingRequest, ShardRecord
from .recovery import RecoveryRamp
from .rejections import RejectionReason
from .request_queue import RequestQueue
from .volume_table import VolumeTable


class QueueCheck:
    """Checks the queues of one gateway."""

    def __init__(
        self,
        state: GatewayState,
        node_table: NodeTable,
        queue: RequestQueue,
        volumes: VolumeTable,
        recovery: RecoveryRamp,
    ) -> None:
        self._state = state
        self._node_table = node_table
        self._queue = queue
        self._volumes = volumes
        self._recovery = recovery

    def run(self) -> None:
        """Reject the requests that cannot be served in time; move those that another shard may serve."""
        for number, shard in list(self._node_table.shards.items()):
            for request in [request for waiting in shard.waiting for request in waiting]:
                self._check(request, shard)
            self._reject_in_outage(number, shard)
            for request in self._overflow(shard):
                self._queue.reject(request, RejectionReason.QUEUE_TOO_LONG)
            if any(shard.waiting):
                self._node_table.mark_changed(number)

    def _check(self, request: PendingRequest, shard: ShardRecord) -> None:
        reason = self._rejection_reason(request, shard)
        if reason is not None:
            self._queue.reject(request, reason)
        elif request.any_shard and request.possibly_executed_at is None and shard.node is None:
            self._queue.move(request)

    def _rejection_reason(self, request: PendingRequest, shard: ShardRecord) -> RejectionReason | None:
        now = self._state.now
        if shard.in_maintenance and not request.any_shard:
            return RejectionReason.IN_MAINTENANCE
        if now > request.latest_start(shard.node):
            return RejectionReason.OUT_OF_TIME
        if request.attempts and not self._state.retry_policy.allows_attempt(request, now):
            return RejectionReason.RETRY_NOT_ALLOWED
        return None

    def _reject_in_outage(self, number: int, shard: ShardRecord) -> None:
        """Reject the requests whose time is over before their unavailable shard is expected to return.

        The first in order stays: it is the next trial of a failing node.
        """
        now = self._state.now
        outage_us = self._recovery.outage_us(now, number)
        if not outage_us:
            return
        waiting = [request for requests in shard.waiting for request in requests]
        if shard.node is not None:
            waiting.sort(key=lambda request: request.answer_by)
            waiting = waiting[1:]
        for request in waiting:
            if now + outage_us > request.latest_start(shard.node) and not request.any_shard:
                self._queue.reject(request, RejectionReason.UNAVAILABLE)

    def _overflow(self, shard: ShardRecord) -> list[PendingRequest]:
        """Return the requests behind more others than can be sent before their latest start (Little's law).

        Nothing is known of a node that has served none yet.
        """
        node = shard.node
        if node is None:
            return []
        means_us = [service.mean_us for service in node.service if service.mean_us]
        if not means_us:
            return []
        latency_us = sum(means_us) / len(means_us)
        overflow: list[PendingRequest] = []
        for position, (tier, request) in enumerate(self._by_priority(shard, node)):
            time_left_us = max(0, request.latest_start(node) - self._state.now)
            ahead = position - len(overflow)
            if ahead > node.windows[tier] * time_left_us / latency_us:
                overflow.append(request)
        return overflow

    def _by_priority(self, shard: ShardRecord, node: NodeRecord) -> list[tuple[int, PendingRequest]]:
        """Return the waiting requests, each with its tier, in the order in which they would be sent."""
        ranked: list[tuple[float, int, int, int, PendingRequest]] = []
        for waiting in shard.waiting:
            for request in waiting:
                self._volumes.refill(request.volume)
                tier = volume_tier(request)
                weight = priority_weight(self._state, request, node, tier)
                ranked.append((weight, -request.answer_by, -request.request_id, tier, request))
        ranked.sort(reverse=True)
        return [(tier, request) for _, _, _, tier, request in ranked]
