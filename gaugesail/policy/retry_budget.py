"""The retry budget: how many retries this gateway may send for the requests that it has received.

Within any ``retry_budget_window_us`` the retries stay within a free number and a share of the requests.  A
window of 0 leaves retries without a budget.
"""

from __future__ import annotations

from collections import deque

from .settings import Settings


class RetryBudget:
    """The requests and retries of one gateway within the window.  Times are microseconds."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._requests = deque[int]()
        self._retries = deque[int]()

    def update_settings(self, settings: Settings) -> None:
        """Take other settings; what was counted stays."""
        self._settings = settings

    def record_request(self, now: int) -> None:
        """A request was received."""
        if self._settings.retry_budget_window_us:
            self._requests.append(now)

    def record_retry(self, now: int) -> None:
        """A retry starts."""
        if self._settings.retry_budget_window_us:
            self._retries.append(now)

    def retry_allowed(self, now: int, process_count: int) -> bool:
        """Whether one more retry stays within the budget.

        ``process_count`` counts the processes of this gateway, 1 or 2; they split the free retries.
        """
        window_us = self._settings.retry_budget_window_us
        if not window_us:
            return True
        # The ends differ on purpose: a request on the edge no longer counts, a retry there still does.
        while self._requests and self._requests[0] <= now - window_us:
            self._requests.popleft()
        while self._retries and self._retries[0] < now - window_us:
            self._retries.popleft()
        free = self._settings.retry_budget_free / process_count
        return len(self._retries) + 1 <= free + self._settings.retry_budget_share * len(self._requests)
