"""One shard in recovery: its health, its queue, and the retry storm that its rejected clients make."""

from __future__ import annotations

from dataclasses import dataclass

from .actions import WriteLog
from .recovery_queue import ORDERING_TICKETS, QueuePriority, RecoveryQueue
from .retry_storm import LONGEST_RECOVERY_US, RetryStorm, storm_begins
from .retry_tickets import RetryTicket
from .shard_health import ShardHealth, ShardPhase

EARLY_SHARE = 0.05  # of its Retry-After time: so much before it a retry is not yet early
EARLY_SLACK_US = 5_000  # and at the least
SHORTEST_RECOVERY_US = 5_000_000  # at full capacity, before a queue that is nearly empty ends
LOW_TICKETS = ORDERING_TICKETS // 2  # below which a queue is nearly empty


@dataclass(slots=True, eq=False)
class ShardRecovery:
    """All that is kept of one shard in recovery.  Times are microseconds."""

    health: ShardHealth
    queue: RecoveryQueue
    storm: RetryStorm | None = None

    def enter(self, phase: ShardPhase, now: int, reason: str) -> None:
        """Change the phase of the shard, with its queue brought up to now."""
        self.queue.advance(now)
        self.health.enter(phase, now, reason)

    def retry_received(self, now: int, units: float, ticket: RetryTicket | None) -> QueuePriority:
        """Count a retry of ``units`` and return its priority; one without a ticket has no turn yet."""
        if self.storm is not None:
            self.storm.returned += 1
        if ticket is None:
            return QueuePriority.RETRY
        if ticket.retry_at - now > max(EARLY_SLACK_US, EARLY_SHARE * ticket.retry_after_us):
            if self.storm is not None:
                self.storm.early += 1
            return QueuePriority.EARLY_RETRY
        if ticket.tag > self.queue.progress:
            return QueuePriority.RETRY
        self.queue.record_due(units)
        return QueuePriority.DUE_RETRY

    def update_storm(self, now: int, usual_per_s: float) -> list[WriteLog]:
        """Begin, follow or end a retry storm, where ``usual_per_s`` units a second are usually served."""
        notices: list[WriteLog] = []
        if self.storm is None:
            if not storm_begins(self.queue, max(self.queue.capacity_per_s, usual_per_s)):
                return notices
            self.storm = RetryStorm(now)
            notices.append(self.storm.notice("storm_begins", now, self.health, self.queue))
        notices += self.storm.update(now, self.health, self.queue)
        if self.storm.is_over(now, self.health, self.queue):
            notices.append(self.storm.notice("storm_ends", now, self.health, self.queue))
            self.storm = None
        return notices

    def is_over(self, now: int) -> bool:
        """Whether the shard serves as ever, and clients that still come back need no queue."""
        if self.health.phase is ShardPhase.SERVING:
            return not self.health.failure_points
        if self.health.phase is not ShardPhase.RECOVERING or self.health.failed_trials_lately:
            return False
        if self.storm is not None:
            return False
        recovering_us = now - self.health.phase_since
        nearly_empty = self.queue.ticket_count < LOW_TICKETS
        return recovering_us > LONGEST_RECOVERY_US or (nearly_empty and recovering_us > SHORTEST_RECOVERY_US)
