"""The retry policy: when a request may be attempted again.

A possibly executed request is attempted again only where a second execution is harmless: its class is
idempotent, or nodes still drop duplicates of its idempotency key.  How many retries a gateway may send in
total is limited by the retry budget (``retry_budget``).
"""

from __future__ import annotations

from dataclasses import dataclass

from .records import PendingRequest
from .settings import DeduplicationScope, Idempotency


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
        executed = request.possibly_executed_at is not None
        until = self.deduplicated_until(request) if executed else request.quota_until
        return min(filter(None, (until, request.start_before_us)), default=0)

    def may_reject(self, request: PendingRequest) -> bool:
        """Return whether a request may be rejected, as a retry is harmless; otherwise it must fail."""
        request_class = request.request_class
        if request_class.idempotency is Idempotency.IDEMPOTENT or request.possibly_executed_at is None:
            return True
        keyed = request_class.idempotency is Idempotency.KEYED
        return keyed and request_class.deduplication_scope is DeduplicationScope.ALL

    def attempt_timeout_us(
        self, request: PendingRequest, now: int, hang_us: float, may_need_longer: bool = False
    ) -> int:
        """Return the timeout of one attempt, in microseconds; 0: until the client gives up.

        An attempt at a node that hangs is given up while another one can have as much time as it had.  That
        needs a request that may be executed again and has an attempt left.  One whose attempt has timed out
        may need longer than half of its time: the next attempt has all that is left.  So has one at a node
        that gave no answer in the time of its latest: a slow node would serve nothing otherwise.

        :param hang_us: after which the node hangs; an attempt that has less time is no sign of that.
        :param may_need_longer: whether an attempt at the node ran out of its time, with none served since.
        """
        idempotent = request.request_class.idempotency is Idempotency.IDEMPOTENT
        # The body of a request that was written while it came is not kept for another attempt.
        is_last = request.attempts + 1 >= request.max_attempts or bool(request.start_before_us)
        half_us = (request.answer_by - now) // 2
        if not idempotent or is_last or request.timed_out or may_need_longer or half_us < hang_us:
            return 0
        return half_us
