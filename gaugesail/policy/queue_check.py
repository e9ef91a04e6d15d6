"""The queue check, which runs once per tick and rejects waiting requests that cannot be served in time.

A request is rejected as soon as this is known: until it is answered it occupies a connection of its client.
"""

from __future__ import annotations

from .gateway_state import GatewayState
from .node_table import NodeTable
from .records import NodeRecord, PendingRequest, ShardRecord
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
        """Return the requests behind more others than are sent before their latest start.

        The queue is worked off as fast as measured, or by Little's law as long as it is new.  Nothing is
        known of a node that has served none yet.
        """
        node = shard.node
        if node is None:
            return []
        per_s = shard.drain.per_s or node.expected_per_s
        if not per_s:
            return []
        order = in_service_order(shard, self._state.now)
        beyond_per_s = min(per_s, shard.drain.beyond_reserve_per_s or per_s)
        overflow = self._beyond_reach(node, order.reserved, 0.0, per_s)
        reserved_us = (len(order.reserved) - len(overflow)) / per_s * 1e6
        return overflow + self._beyond_reach(node, order.beyond, reserved_us, beyond_per_s)

    def _beyond_reach(
        self, node: NodeRecord, requests: list[PendingRequest], wait_us: float, per_s: float
    ) -> list[PendingRequest]:
        """Return those of ``requests`` whose turn comes after their latest start.

        :param wait_us: until the turn of the first one; the others follow at ``per_s``.
        """
        overflow: list[PendingRequest] = []
        for request in requests:
            if self._state.now + wait_us > max(self._state.now, request.latest_start(node)):
                overflow.append(request)
            else:
                wait_us += 1e6 / per_s
        return overflow
