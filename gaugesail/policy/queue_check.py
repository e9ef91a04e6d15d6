"""The queue check, which runs once per tick and rejects waiting requests that cannot be served in time.

A request is rejected as soon as this is known: until it is answered it occupies a connection of its client.
"""

from __future__ import annotations

from .gateway_state import GatewayState
from .node_table import NodeTable
from .records import PendingRequest, ShardRecord
from .recovery import RecoveryRamp
from .rejections import RejectionReason
from .request_queue import RequestQueue
from .service_order import in_service_order


class QueueCheck:
    """Checks the queues of one gateway."""

    def __init__(
        self,
        state: GatewayState,
        node_table: NodeTable,
        queue: RequestQueue,
        recovery: RecoveryRamp,
    ) -> None:
        self._state = state
        self._node_table = node_table
        self._queue = queue
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
        answer_us = node.mean_answer_us if node is not None else 0.0
        if node is None or not answer_us:
            return []
        overflow: list[PendingRequest] = []
        for position, request in enumerate(in_service_order(shard, self._state.now)):
            time_left_us = max(0, request.latest_start(node) - self._state.now)
            ahead = position - len(overflow)
            if ahead > node.window * time_left_us / answer_us:
                overflow.append(request)
        return overflow
