"""Ordered keys: the requests of one key are executed one at a time, in the order of receipt."""

from __future__ import annotations

from .events import AttemptResult
from .gateway_state import GatewayState
from .node_table import NodeTable
from .records import OrderedKey, PendingRequest

# Results after which the attempt may still be running at its node.
POSSIBLY_RUNNING = (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)


class OrderedKeys:
    """The ordered keys of one gateway's requests."""

    def __init__(self, state: GatewayState, node_table: NodeTable) -> None:
        self._state = state
        self._node_table = node_table
        self._keys: dict[int, OrderedKey] = {}

    def open(self, key: int) -> OrderedKey:
        """Return the record of a key; it is created if there is none."""
        return self._keys.setdefault(key, OrderedKey())

    def attempt_ended(self, ordered_key: OrderedKey, request: PendingRequest, result: AttemptResult) -> None:
        """Record the end of an attempt; if it may still be running, pause the key for other requests."""
        ordered_key.in_flight -= 1
        if result in POSSIBLY_RUNNING:
            ordered_key.paused_until = self._state.now + self._state.settings.ordered_key_pause_us
            ordered_key.pause_exempt = request
        self._mark_next(ordered_key)

    def remove(self, ordered_key: OrderedKey, request: PendingRequest) -> None:
        """Remove a finished request of the key."""
        ordered_key.pending.remove(request)
        self._mark_next(ordered_key)

    def _mark_next(self, ordered_key: OrderedKey) -> None:
        if ordered_key.pending:
            self._node_table.mark_changed(ordered_key.pending[0].shard)

    def drop_idle(self) -> None:
        """Drop the keys that no longer block any request."""
        now = self._state.now
        self._keys = {
            key: ordered_key
            for key, ordered_key in self._keys.items()
            if ordered_key.pending or ordered_key.in_flight or ordered_key.paused_until > now
        }
