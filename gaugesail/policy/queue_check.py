"""The queue check, which runs once per tick and rejects waiting requests that cannot be served in time.

A request is rejected as soon as this is known: until it is answered it occupies a connection of its client.
"""

from __future__ import annotations

from typing import NamedTuple

from .backlog import drained_per_s
from .gateway_state import GatewayState
from .node_table import NodeTable
from .records import NodeRecord, PendingRequest, ShardRecord, VolumeBudget
from .recovery import RecoveryRamp
from .rejections import RejectionReason
from .request_queue import RequestQueue
from .service_order import in_service_order

BACKLOG_TICKS = 4  # between two looks at a queue that has not grown


class Overflow(NamedTuple):
    """A request that is not reached in its time."""

    request: PendingRequest
    turn_us: float  # until its turn


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
        self._runs = 0

    def run(self) -> None:
        """Reject the requests that cannot be served in time; move those that another shard may serve."""
        self._runs += 1
        queued = self._node_table.shards.queued
        shard = queued.after(None)
        while shard is not None:
            self._check_shard(shard)
            if any(shard.waiting):
                self._node_table.mark_changed(shard.number)
            else:
                queued.discard(shard)
            shard = queued.after(shard)

    def _check_shard(self, shard: ShardRecord) -> None:
        for request in shard.queued:
            self._check(request, shard)
        self._reject_in_outage(shard)
        for request, turn_us in self._over_limit(shard):
            self._queue.reject(request, RejectionReason.OVER_LIMIT, turn_us)
        if shard.is_longer or not self._runs % BACKLOG_TICKS:
            self._reject_unreachable(shard)

    def _reject_unreachable(self, shard: ShardRecord) -> None:
        for request, turn_us in self._overflow(shard):
            self._queue.reject(request, RejectionReason.QUEUE_TOO_LONG, turn_us)
        shard.is_longer = False

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

    def _reject_in_outage(self, shard: ShardRecord) -> None:
        """Reject the requests whose time is over before their unavailable shard is expected to return.

        The first in order stays: it is the next trial of a failing node.
        """
        now = self._state.now
        outage_us = self._recovery.outage_us(now, shard.number)
        if not outage_us:
            return
        waiting = shard.queued
        if shard.node is not None:
            waiting.sort(key=lambda request: request.answer_by)
            waiting = waiting[1:]
        for request in waiting:
            if now + outage_us > request.latest_start(shard.node) and not request.any_shard:
                self._queue.reject(request, RejectionReason.UNAVAILABLE)

    def _over_limit(self, shard: ShardRecord) -> list[Overflow]:
        """Return the requests that their plan's limit has no units for before their latest start.

        A volume's requests get units in the order of their time.  Without a rate, a quota may still come.
        """
        waiting = [request for request in shard.queued if request.volume.plan.limit and not request.attempts]
        units: dict[VolumeBudget, float] = {}
        overflow = []
        for request in sorted(waiting, key=lambda request: request.answer_by):
            needed = units.get(request.volume, 0.0) + request.units
            wait_us = request.volume.limit_bucket.wait_us(self._state.now, needed)
            if wait_us < float("inf") and self._state.now + wait_us > request.latest_start(shard.node):
                overflow.append(Overflow(request, wait_us))
            else:
                units[request.volume] = needed
        return overflow

    def _overflow(self, shard: ShardRecord) -> list[Overflow]:
        """Return the requests behind more others than are sent before their latest start.

        The queue is worked off as fast as measured.  Nothing is known of a node that has served none yet.
        """
        node = shard.node
        per_s = drained_per_s(shard, node) if node is not None else 0.0
        if node is None or not per_s:
            return []
        order = in_service_order(shard, self._state.now)
        beyond_per_s = min(per_s, shard.drain.beyond_reserve_per_s or per_s)
        overflow = self._beyond_reach(node, order.reserved, 0.0, per_s)
        reserved_us = (len(order.reserved) - len(overflow)) / per_s * 1e6
        return overflow + self._beyond_reach(node, order.beyond, reserved_us, beyond_per_s)

    def _beyond_reach(
        self, node: NodeRecord, requests: list[PendingRequest], wait_us: float, per_s: float
    ) -> list[Overflow]:
        """Return those of ``requests`` whose turn comes after their latest start.

        Each is told a turn of its own behind the others.

        :param wait_us: until the turn of the first one; the others follow at ``per_s``.
        """
        overflow: list[Overflow] = []
        for request in requests:
            if wait_us > max(0, request.latest_start(node) - self._state.now):
                overflow.append(Overflow(request, wait_us + len(overflow) / per_s * 1e6))
            else:
                wait_us += 1e6 / per_s
        return overflow
