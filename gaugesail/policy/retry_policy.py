"""The retry policy: when a request may be attempted again.

A possibly executed request is attempted again only where a second execution is harmless: its class is
idempotent, or nodes still drop duplicates of its idempotency key.  How many retries a gateway may send in
total is limited by the retry budget (``retry_budget``).
"""

from __future__ import annotations

from dataclasses import dataclass

from .records import PendingRequest
from .settings import DeduplicationScope, Idempotency

ATTEMPT_TIMEOUT_TARGETS = 4.0  # latency targets after which an attempt of an idempotent request times out


@dataclass(slots=True, frozen=True)
class RetryPolicy:
    """The immutable rules for further attempts under one version of the settings."""

    backoff_us: int  # between the end of an attempt and the next one
    deduplication_margin_us: int  # before the end of the deduplication window, in which no attempt starts

    def next_attempt_at(self, now: int) -> int:
        """Return the earliest time of the next attempt, in microseconds."""
        return now + self.backoff_us

    def allows_attempt(self, request: PendingRequest, now: int) -> bool:
        """Return whether a request may be attempted again now, apart from its time and the retry budget."""
        harmless = (
            request.possibly_executed_at is None
            or request.request_class.idempotency is Idempotency.IDEMPOTENT
            or now < self.deduplicated_until(request)
        )
        return harmless and request.attempts < request.max_attempts

    def deduplicated_until(self, request: PendingRequest) -> int:
        """Return the time, in microseconds, before which an attempt must start to be deduplicated by nodes.

        0 if nodes drop no duplicates of the request: it is not keyed, or cannot have been executed.
        """
        executed_at = request.possibly_executed_at
        if executed_at is None or request.request_class.idempotency is not Idempotency.KEYED:
            return 0
        return executed_at + request.request_class.deduplication_window_us - self.deduplication_margin_us

    def start_before(self, request: PendingRequest) -> int:
        """Return the time before which the next attempt must start, in microseconds; 0: no limit."""
        if request.possibly_executed_at is None:
            return request.quota_until
        return self.deduplicated_until(request)

    def may_reject(self, request: PendingRequest) -> bool:
        """Return whether a request may be rejected, as a retry is harmless; otherwise it must fail."""
        request_class = request.request_class
        if request_class.idempotency is Idempotency.IDEMPOTENT or request.possibly_executed_at is None:
            return True
        keyed = request_class.idempotency is Idempotency.KEYED
        return keyed and request_class.deduplication_scope is DeduplicationScope.ALL

    def attempt_timeout_us(self, request: PendingRequest, target_us: float, factor: int) -> int:
        """Return the timeout of one attempt, in microseconds; 0: until the client gives up.

        Only idempotent requests have a timeout: after it, others could be attempted again only while nodes
        drop duplicates, or never.

        :param target_us: the latency target of the request's class.
        :param factor: the multiplier for earlier timeouts of the same request.
        """
        if request.request_class.idempotency is not Idempotency.IDEMPOTENT:
            return 0
        return int(ATTEMPT_TIMEOUT_TARGETS * factor * target_us)
