"""When a request may be attempted once more: one immutable value, without state of its own.

A request that may have been executed is repeated only where a second execution does no harm: its class is
idempotent, or nodes still drop duplicates of its idempotency key.  How many retries a gateway may send in
all is another matter (the retry budget).
"""

from __future__ import annotations

from dataclasses import dataclass

from .records import PendingRequest
from .settings import DeduplicationScope, Idempotency

ATTEMPT_TIMEOUT_TARGETS = 4.0  # latency targets after which an attempt of an idempotent request times out


@dataclass(slots=True, frozen=True)
class RetryPolicy:
    """The rules for further attempts under one version of the settings."""

    backoff_us: int  # between the end of an attempt and the next one
    deduplication_margin_us: int  # before the end of the deduplication window: no attempt starts in it

    def next_attempt_at(self, now: int) -> int:
        """When the next attempt may start at the earliest, in microseconds."""
        return now + self.backoff_us

    def allows_attempt(self, request: PendingRequest, now: int) -> bool:
        """Whether another attempt may start now, as far as the request itself is concerned."""
        harmless = (
            request.possibly_executed_at is None
            or request.request_class.idempotency is Idempotency.IDEMPOTENT
            or now < self.deduplicated_until(request)
        )
        return harmless and request.attempts < request.max_attempts and now < request.objective_at

    def deduplicated_until(self, request: PendingRequest) -> int:
        """Before when an attempt must start so that nodes still drop it as a duplicate, in microseconds.

        0 where no deduplication window bounds it: not keyed, or never executed.
        """
        executed_at = request.possibly_executed_at
        if executed_at is None or request.request_class.idempotency is not Idempotency.KEYED:
            return 0
        return executed_at + request.request_class.deduplication_window_us - self.deduplication_margin_us

    def start_before(self, request: PendingRequest) -> int:
        """Before when the attempt that is about to be sent must start, in microseconds; 0: at any time."""
        if request.possibly_executed_at is None:
            return request.quota_until
        return self.deduplicated_until(request)

    def may_reject(self, request: PendingRequest) -> bool:
        """Whether its client may be told that a retry is harmless; else the request fails."""
        request_class = request.request_class
        if request_class.idempotency is Idempotency.IDEMPOTENT or request.possibly_executed_at is None:
            return True
        keyed = request_class.idempotency is Idempotency.KEYED
        return keyed and request_class.deduplication_scope is DeduplicationScope.ALL

    def attempt_timeout_us(self, request: PendingRequest, target_us: float, factor: int) -> int:
        """The timeout of one attempt, in microseconds; 0: until the client gives up.

        Only an idempotent request has one: another could not be attempted again after it.

        :param target_us: the latency target of its class.
        :param factor: by which earlier timeouts of the same request lengthen this one.
        """
        if request.request_class.idempotency is not Idempotency.IDEMPOTENT:
            return 0
        return int(ATTEMPT_TIMEOUT_TARGETS * factor * target_us)
