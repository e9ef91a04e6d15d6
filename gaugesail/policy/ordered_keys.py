"""Requests of one key run one after another, in the order in which they were received."""

from __future__ import annotations

from .events import AttemptResult
from .gateway_state import GatewayState
from .node_table import NodeTable
from .records import OrderedKey, PendingRequest

# The attempt may still be running at its node.
POSSIBLY_RUNNING = (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)


class OrderedKeys:
    """The ordered keys that one gateway has requests of."""

    def __init__(self, state: GatewayState, node_table: NodeTable) -> None:
        self._state = state
        self._node_table = node_table
        self._keys: dict[int, OrderedKey] = {}

    def open(self, key: int) -> OrderedKey:
        """The record of a key."""
        return self._keys.setdefault(key, OrderedKey())

    def attempt_ended(self, ordered_key: OrderedKey, request: PendingRequest, result: AttemptResult) -> None:
        """An attempt of the key has ended; if it may still run, only its own request goes on for a while."""
        ordered_key.in_flight -= 1
        if result in POSSIBLY_RUNNING:
            ordered_key.paused_until = self._state.now + self._state.settings.ordered_key_pause_us
            ordered_key.pause_exempt = request
        self._mark_next(ordered_key)

    def remove(self, ordered_key: OrderedKey, request: PendingRequest) -> None:
        """A request of the key is finished."""
        ordered_key.pending.remove(request)
        self._mark_next(ordered_key)

    def _mark_next(self, ordered_key: OrderedKey) -> None:
        if ordered_key.pending:
            self._node_table.mark_changed(ordered_key.pending[0].shard)

    def forget_idle(self) -> None:
        """Drop the keys that hold nothing back any more."""
        now = self._state.now
        self._keys = {
            key: ordered_key
            for key, ordered_key in self._keys.items()
            if ordered_key.pending or ordered_key.in_flight or ordered_key.paused_until > now
        }
