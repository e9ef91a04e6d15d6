"""The requests of a gateway without a final answer, and the queues in which they wait for a node."""

from __future__ import annotations

from .actions import FailRequest, RejectRequest
from .backlog import backlog_us
from .events import ClientDisconnected
from .gateway_state import GatewayState
from .node_table import NodeTable
from .ordered_keys import OrderedKeys
from .records import PendingRequest
from .recovery import RecoveryRamp
from .rejections import RejectionReason
from .routing import Router


class RequestQueue:
    """The open requests of one gateway, by request id, and the queues of its shards."""

    def __init__(
        self,
        state: GatewayState,
        node_table: NodeTable,
        ordered_keys: OrderedKeys,
        recovery: RecoveryRamp,
        router: Router,
    ) -> None:
        self._state = state
        self._node_table = node_table
        self._ordered_keys = ordered_keys
        self._recovery = recovery
        self._router = router
        self.pending: dict[int, PendingRequest] = {}

    def choose_shard(self, class_position: int) -> int:
        """Return the shard for a new object of a class; ``routing.NO_SHARD`` without any node."""
        return self._router.choose(self._state.now, self._node_table.shards.available, class_position)

    def enqueue(self, request: PendingRequest) -> None:
        """Queue a request for the node of its shard."""
        shard = self._node_table.shards[request.shard]
        shard.waiting[request.class_position].append(request)
        shard.is_longer = True
        self._node_table.shards.queued.add(shard)
        self._node_table.mark_changed(request.shard)

    def move(self, request: PendingRequest) -> None:
        """Move a waiting request that any shard may serve to the queue of another shard."""
        self._node_table.shards[request.shard].waiting[request.class_position].remove(request)
        request.shard = self.choose_shard(request.class_position)
        self.enqueue(request)

    def client_disconnected(self, event: ClientDisconnected) -> None:
        """Drop the request of a client that disconnected; its attempt in flight continues."""
        request = self.pending.get(event.request_id)
        if request is not None:
            self._recovery.client_disconnected(self._state.now, request)
            self.remove(request)

    def remove(self, request: PendingRequest) -> None:
        """Remove a finished request; its attempt in flight stays in the record of the node."""
        request.finished = True
        request.volume.open_requests -= 1
        del self.pending[request.request_id]
        if not request.in_flight:
            self._node_table.shards[request.shard].waiting[request.class_position].remove(request)
            self._recovery.request_dequeued(request)
        if request.ordered_key is not None:
            self._ordered_keys.remove(request.ordered_key, request)

    def reject(self, request: PendingRequest, reason: RejectionReason, turn_us: float | None = None) -> None:
        """Reject a request with nothing in flight, or fail it where a retry may do harm.

        :param turn_us: microseconds until it could have been sent; None: behind all that waits now.
        """
        state = self._state
        shard = self._node_table.shards[request.shard]
        left_us = backlog_us(state.now, shard) if turn_us is None else turn_us
        retry_after_us = self._recovery.record_rejection(state.now, request, reason, shard.node, left_us)
        if state.retry_policy.may_reject(request):
            state.actions.append(RejectRequest(request.request_id, retry_after_us))
        else:
            state.actions.append(FailRequest(request.request_id))
        self.remove(request)
