"""Which waiting request is sent to a node next.

While the windows of a node allow it, the unblocked request with the highest rank is sent.  Requests are
ranked by whether their class has a free slot, then by priority weight, then by the time that their clients
have left.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .actions import StartAttempt
from .gateway_state import GatewayState
from .ordered_keys import OrderedKeys
from .outlier_detection import OutlierDetector, hang_us
from .priority import priority_weight, volume_tier
from .records import TIERS, NodeRecord, PendingRequest, ShardRecord
from .recovery import RecoveryRamp
from .retry_budget import RetryBudget
from .settings import DeduplicationScope
from .slow_start import SlowStart
from .volume_table import VolumeTable

if TYPE_CHECKING:
    Rank = tuple[bool, float, float]

LOWEST_RANK: Rank = (False, -1.0, 0)  # below the rank of any request


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
        while any(sendable := self.sendable_tiers(node)):
            is_contended = self._recovery.is_contended(node.shard)
            capacity_units, available_units = self._slow_start.capacity(
                self._state.now, node, self._state.process_count, is_contended
            )
            request = self._choose(shard, node, sendable, available_units)
            if request is None:
                message = self._slow_start.request_share(self._state.now, node, capacity_units)
                if message is not None:
                    self._state.actions.append(message)
                return
            self._send(request, shard, node)

    def sendable_tiers(self, node: NodeRecord) -> list[bool]:
        """Return for each tier whether one of its requests may be sent to a node now."""
        now = self._state.now
        stuck = self._outliers.stuck_requests(node)
        is_limited_to_one = self._outliers.is_limited_to_one(node, stuck)
        in_flight = len(node.in_flight) - len(stuck)
        may_send = self._recovery.may_send(now, node.shard, len(node.in_flight))
        sendable = []
        for tier in range(TIERS):
            limit = 1 if is_limited_to_one else max(1, int(node.windows[tier]))
            paused = now < max(node.backoff_until, node.paced_until[tier])
            sendable.append(may_send and in_flight < limit and not paused)
        return sendable

    def _choose(
        self, shard: ShardRecord, node: NodeRecord, sendable: list[bool], available_units: float
    ) -> PendingRequest | None:
        """Return the request with the highest rank that may be sent to the node, or None."""
        state = self._state
        best = LOWEST_RANK
        chosen = None
        for position, waiting in enumerate(shard.waiting):
            has_slot = node.class_in_flight[position] < node.class_slots[position]
            for request in waiting:
                self._volumes.refill(request.volume)
                tier = volume_tier(request)
                weight = priority_weight(state, request, node, tier)
                rank = (has_slot, weight, -request.answer_by)
                if sendable[tier] and rank > best and not self._is_blocked(request, node, available_units):
                    best = rank
                    chosen = request
        return chosen

    def _is_blocked(self, request: PendingRequest, node: NodeRecord, available_units: float) -> bool:
        """Return whether something other than the windows keeps a request from being sent now."""
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
        timeout_us = state.retry_policy.attempt_timeout_us(request, state.now, hang_us(node, request))
        if request.attempts == 0:
            self._volumes.spend(request)
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
