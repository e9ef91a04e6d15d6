"""One shard in recovery: its health, its recovery queue, and the retry storm of its rejected clients."""

from __future__ import annotations

from dataclasses import dataclass

from .actions import WriteLog
from .recovery_queue import LONG_QUEUE_TICKETS, Arrival, RecoveryQueue
from .retry_storm import LONGEST_RECOVERY_US, RetryStorm, storm_begins
from .retry_tickets import RetryTicket
from .shard_health import ShardHealth, ShardPhase

EARLY_SHARE = 0.05  # tolerance for early retries, as a share of the Retry-After time
EARLY_SLACK_US = 5_000  # smallest tolerance for early retries
SHORTEST_RECOVERY_US = 5_000_000  # at full capacity, before recovery ends with a nearly empty queue
LOW_TICKETS = LONG_QUEUE_TICKETS // 2  # a queue with fewer tickets is nearly empty


@dataclass(slots=True, eq=False)
class ShardRecovery:
    """The state of one shard in recovery.  Times are microseconds."""

    health: ShardHealth
    queue: RecoveryQueue
    storm: RetryStorm | None = None
    opened: int = 0  # its number, in the order of openings

    @property
    def is_dormant(self) -> bool:
        """Whether the shard is down and nobody asks for it, so that a control period only passes."""
        is_down = self.health.phase is ShardPhase.DOWN and self.storm is None
        return is_down and self.queue.is_unused

    def enter(self, phase: ShardPhase, now: int, reason: str) -> None:
        """Advance the queue to ``now``, then change the phase of the shard."""
        self.queue.advance(now)
        self.health.enter(phase, now, reason)

    def retry_received(self, now: int, units: float, ticket: RetryTicket | None) -> Arrival:
        """Count a received retry of ``units`` and return when it came, by its ticket."""
        if self.storm is not None:
            self.storm.returned += 1
        if ticket is None:
            return Arrival.WITHOUT_TICKET
        if ticket.retry_at - now > max(EARLY_SLACK_US, EARLY_SHARE * ticket.retry_after_us):
            if self.storm is not None:
                self.storm.early += 1
            return Arrival.EARLY
        if ticket.tag > self.queue.progress:
            return Arrival.BEFORE_TURN
        self.queue.add_due(units)
        return Arrival.DUE

    def update_storm(self, now: int, served_per_s: float) -> list[WriteLog]:
        """Begin, update or end a retry storm; return its log lines.

        :param served_per_s: the shard's smoothed rate, in units per second.
        """
        notices: list[WriteLog] = []
        if self.storm is None:
            if not storm_begins(self.queue, max(self.queue.capacity_per_s, served_per_s)):
                return notices
            self.storm = RetryStorm(now)
            notices.append(self.storm.notice("storm_begins", now, self.health, self.queue))
        notices += self.storm.update(now, self.health, self.queue)
        if self.storm.is_over(now, self.health, self.queue):
            notices.append(self.storm.notice("storm_ends", now, self.health, self.queue))
            self.storm = None
        return notices

    def is_over(self, now: int) -> bool:
        """Return whether the shard serves normally and the remaining clients need no queue."""
        if self.health.phase is ShardPhase.SERVING:
            return not self.health.failure_points
        if self.health.phase is not ShardPhase.RECOVERING or self.health.has_recent_failed_trials:
            return False
        if self.storm is not None:
            return False
        recovering_us = now - self.health.phase_since
        nearly_empty = self.queue.ticket_count < LOW_TICKETS
        return recovering_us > LONGEST_RECOVERY_US or (nearly_empty and recovering_us > SHORTEST_RECOVERY_US)
