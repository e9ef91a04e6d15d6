"""Renewal of a failed subscription to the endpoint list: exponential backoff with jitter."""

from __future__ import annotations

from .gateway_state import GatewayState

FIRST_BACKOFF_US = 250_000
MAX_BACKOFF_DOUBLINGS = 2


class EndpointWatch:
    """Counts the consecutive failures of one subscription."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._failures = 0

    def failed(self) -> int:
        """Record a failure of the subscription; return when to renew it, in microseconds."""
        backoff = FIRST_BACKOFF_US << min(self._failures, MAX_BACKOFF_DOUBLINGS)
        self._failures += 1
        return self._state.now + int(backoff * (0.5 + self._state.random.random()))

    def received(self) -> None:
        """Record a received list: the next failure starts with the first backoff."""
        self._failures = 0
