"""Which waiting request is sent to a node next.

While the window of a node allows it, the unblocked request that is first in the order of ``service_order`` is
sent; within the reserves, and again beyond them, classes with a free slot go first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .actions import StartAttempt
from .gateway_state import GatewayState
from .ordered_keys import OrderedKeys
from .outlier_detection import OutlierDetector, hang_us
from .records import NodeRecord, PendingRequest, ShardRecord
from .recovery import RecoveryRamp
from .retry_budget import RetryBudget
from .settings import DeduplicationScope
from .slow_start import SlowStart
from .volume_table import VolumeTable

if TYPE_CHECKING:
    Rank = tuple[bool, bool, float, int]  # beyond its reserve, without a slot, spare tag, answer time

LAST: Rank = (True, True, float("inf"), 0)  # after any request


class Dispatcher:
    """Dispatches the waiting requests of one gateway."""

    def __init__(
        self,
        state: GatewayState,
        volumes: VolumeTable,
        retry_budget: RetryBudget,
        slow_start: SlowStart,
        recovery: RecoveryRamp,
        outliers: OutlierDetector,
        ordered_keys: OrderedKeys,
    ) -> None:
        self._state = state
        self._ordered_keys = ordered_keys
        self._volumes = volumes
        self._retry_budget = retry_budget
        self._slow_start = slow_start
        self._recovery = recovery
        self._outliers = outliers

    def dispatch(self, shard: ShardRecord) -> None:
        """Send the waiting requests that the node of a shard may be sent now."""
        node = shard.node
        if node is None or not any(shard.waiting):
            return
        while self.may_send(node):
            is_contended = self._recovery.is_contended(node.shard)
            capacity_units, available_units = self._slow_start.capacity(
                self._state.now, node, self._state.process_count, is_contended
            )
            request = self._choose(shard, node, available_units)
            if request is None:
                message = self._slow_start.request_share(self._state.now, node, capacity_units)
                if message is not None:
                    self._state.actions.append(message)
                return
            self._send(request, shard, node)

    def may_send(self, node: NodeRecord) -> bool:
        """Return whether a node may be sent one more request now."""
        now = self._state.now
        stuck = self._outliers.stuck_requests(node)
        limit = 1 if self._outliers.is_limited_to_one(node, stuck) else max(1, int(node.window))
        if now < max(node.backoff_until, node.paced_until) or len(node.in_flight) - len(stuck) >= limit:
            return False
        return self._recovery.may_send(now, node.shard, len(node.in_flight))

    def _choose(self, shard: ShardRecord, node: NodeRecord, available_units: float) -> PendingRequest | None:
        """Return the first request in order that may be sent to the node, or None."""
        best = LAST
        chosen = None
        for position, waiting in enumerate(shard.waiting):
            has_slot = node.class_in_flight[position] < node.class_slots[position]
            for request in waiting:
                volume = request.volume
                self._volumes.refill(volume)
                beyond = not volume.has_reserve(request.units)
                rank = (beyond, not has_slot, shard.spare.tag(volume) if beyond else 0.0, request.answer_by)
                if rank < best and not self._is_blocked(request, node, available_units):
                    best = rank
                    chosen = request
        return chosen

    def _is_blocked(self, request: PendingRequest, node: NodeRecord, available_units: float) -> bool:
        """Return whether something other than the window keeps a request from being sent now."""
        now = self._state.now
        if request.not_before > now or request.units > available_units:
            return True
        if request.ordered_key is not None and self._ordered_keys.blocks(request, request.ordered_key):
            return True
        if request.attempts == 0:
            volume = request.volume
            return bool(volume.plan.limit) and request.units > volume.limit_bucket.units
        if self._is_outside_zone(request, node):
            return True
        return not self._retry_budget.retry_allowed(self._state)

    @staticmethod
    def _is_outside_zone(request: PendingRequest, node: NodeRecord) -> bool:
        """Return whether a possibly executed request would be sent to a zone that cannot deduplicate it."""
        if request.possibly_executed_at is None:
            return False
        by_zone = request.request_class.deduplication_scope is DeduplicationScope.ZONE
        return by_zone and node.zone != request.possibly_executed_zone

    def _send(self, request: PendingRequest, shard: ShardRecord, node: NodeRecord) -> None:
        state = self._state
        shard.waiting[request.class_position].remove(request)
        self._recovery.request_dequeued(request)
        may_need_longer = node.service[request.class_position].may_need_longer
        timeout_us = state.retry_policy.attempt_timeout_us(
            request, state.now, hang_us(node, request), may_need_longer
        )
        shard.drain.record_sent(not request.volume.has_reserve(request.units))
        if request.attempts == 0:
            self._volumes.spend(request, shard.spare)
        else:
            self._retry_budget.record_retry(state.now)
        start_before = state.retry_policy.start_before(request)
        state.actions.append(StartAttempt(request.request_id, node.node_id, timeout_us, start_before))
        self._record_sent(request, node)

    def _record_sent(self, request: PendingRequest, node: NodeRecord) -> None:
        now = self._state.now
        node.in_flight[(request.request_id, request.attempts)] = request
        node.class_in_flight[request.class_position] += 1
        node.peak_in_flight = max(node.peak_in_flight, len(node.in_flight))
        self._slow_start.record_sent(now, node, request.units)
        request.attempts += 1
        request.in_flight = True
        request.sent_at = now
        if request.ordered_key is not None:
            request.ordered_key.in_flight += 1

    def grant_spare_share(self, shard: ShardRecord) -> None:
        """Grant a gateway that requested it the part of a node's slow-start share not needed here."""
        node = shard.node
        if node is None or not node.share_requesters or node.warming_since is None:
            return
        message = self._slow_start.grant_share(self._state.now, shard, node, self._state.process_count)
        if message is not None:
            self._state.actions.append(message)
