"""Admission of new requests: each one is queued for its node, or rejected at once."""

from __future__ import annotations

from .actions import RejectRequest
from .events import RequestReceived
from .gateway_state import GatewayState
from .node_table import NodeTable
from .ordered_keys import OrderedKeys
from .records import PendingRequest
from .recovery import RecoveryRamp
from .rejections import NodeState, RejectionReason
from .request_queue import RequestQueue
from .retry_budget import RetryBudget
from .volume_table import VolumeTable

ANSWER_MARGIN_TICKS = 2  # between the latest answer and the time the client gives up


class Admission:
    """Admits the new requests of one gateway."""

    def __init__(
        self,
        state: GatewayState,
        node_table: NodeTable,
        queue: RequestQueue,
        ordered_keys: OrderedKeys,
        volumes: VolumeTable,
        retry_budget: RetryBudget,
        recovery: RecoveryRamp,
    ) -> None:
        self._state = state
        self._node_table = node_table
        self._queue = queue
        self._ordered_keys = ordered_keys
        self._volumes = volumes
        self._retry_budget = retry_budget
        self._recovery = recovery

    def receive(self, event: RequestReceived) -> None:
        """Queue a new request for the node of its shard, or reject it at once."""
        state = self._state
        if event.shard >= 0 and event.shard not in self._node_table.shards:
            # A record for every shard that clients name would let them exhaust the memory.
            self._recovery.count_rejection(RejectionReason.UNLISTED_SHARD, NodeState.NONE)
            state.actions.append(RejectRequest(event.request_id, state.settings.longest_retry_after_us))
            return
        self._retry_budget.record_request(state.now)
        request = self._open(event)
        shard = self._node_table.shards[request.shard]
        shard.arrivals[request.class_position] += 1
        self._recovery.request_received(state.now, request, event)
        self._queue.enqueue(request)
        if request.latest_useful_start(shard.node) <= state.now + state.tick_us:
            # The next queue check may run after that, or after the client has given up.
            self._queue.reject(request, RejectionReason.TOO_LATE)

    def _open(self, event: RequestReceived) -> PendingRequest:
        settings = event.settings or self._state.settings
        request_class = settings.classes[event.class_index]
        position = self._state.class_positions[request_class.name]
        volume = self._volumes.open(event, settings)
        ordered = request_class.ordered and event.key
        ordered_key = self._ordered_keys.open(event.key) if ordered else None
        any_shard = event.shard < 0
        request = PendingRequest(
            request_id=event.request_id,
            class_position=position,
            request_class=request_class,
            volume=volume,
            shard=self._queue.choose_shard(position) if any_shard else event.shard,
            any_shard=any_shard,
            units=event.units,
            received_at=event.received_us or self._state.now,
            answer_by=self._answer_by(event.deadline_us),
            ordered_key=ordered_key,
            max_attempts=settings.max_attempts,
            start_before_us=event.start_before_us,
        )
        self._queue.pending[request.request_id] = request
        if ordered_key is not None:
            self._ordered_keys.add(request, ordered_key)
        return request

    def _answer_by(self, deadline_us: int) -> int:
        """Return when an answer must leave: before its client gives up or this process is to end."""
        margin_us = ANSWER_MARGIN_TICKS * self._state.tick_us
        return int(min(deadline_us, self._state.answers_due)) - margin_us

    def limit_answers(self, answers_due_us: int) -> None:
        """Serve all open and later requests by ``answers_due_us``, in microseconds, or not at all."""
        self._state.answers_due = answers_due_us
        for request in self._queue.pending.values():
            request.answer_by = min(request.answer_by, self._answer_by(answers_due_us))
