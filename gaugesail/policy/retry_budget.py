"""The retry budget: how many retries this gateway may send for the requests that it has received.

Within any ``retry_budget_window_us``, the retries do not exceed ``retry_budget_free`` plus
``retry_budget_share`` of the received requests.  With a window of 0 the number of retries is not
limited.
"""

from __future__ import annotations

from collections import deque

from .gateway_state import GatewayState
from .settings import Settings


class RetryBudget:
    """Counts the requests and retries of one gateway within the window.  Times are microseconds."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._requests = deque[int]()
        self._retries = deque[int]()

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings; the counts stay."""
        self._settings = settings

    def record_request(self, now: int) -> None:
        """Count a received request."""
        if self._settings.retry_budget_window_us:
            self._requests.append(now)

    def record_retry(self, now: int) -> None:
        """Count a retry that starts."""
        if self._settings.retry_budget_window_us:
            self._retries.append(now)

    def drop_expired(self, now: int) -> None:
        """Drop the requests and retries that have left the window."""
        window_us = self._settings.retry_budget_window_us
        # The comparisons differ on purpose: a request at the edge no longer counts, a retry there still does.
        while self._requests and self._requests[0] <= now - window_us:
            self._requests.popleft()
        while self._retries and self._retries[0] < now - window_us:
            self._retries.popleft()

    def retry_allowed(self, state: GatewayState) -> bool:
        """Return whether one more retry stays within the budget.

        Two processes of this gateway split the free retries; a predecessor may have used all of them.
        """
        window_us = self._settings.retry_budget_window_us
        if not window_us:
            return True
        self.drop_expired(state.now)
        free = self._settings.retry_budget_free / state.process_count_within(window_us)
        if state.predecessor_counts_within(window_us):
            free = 0.0
        return len(self._retries) + 1 <= free + self._settings.retry_budget_share * len(self._requests)
