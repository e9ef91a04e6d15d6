"""Retry storms: many rejected clients of one shard that may all come back, reported to operators in the log.

A storm begins when ``STORM_TICKETS`` clients may come back for more than ``STORM_BACKLOG_S`` of the shard's
capacity.  It is reported when it begins, once it is past its peak, and when it ends.
"""

from __future__ import annotations

from dataclasses import dataclass

from .actions import WriteLog
from .recovery_queue import RecoveryQueue
from .shard_health import ShardHealth, ShardPhase

STORM_TICKETS = 24
STORM_BACKLOG_S = 1.0  # of the units that the shard serves
PAST_PEAK_SHARE = 0.8  # of the most tickets: a storm that has fallen so far is past its peak
CALM_TICKETS = 0.25 * STORM_TICKETS  # below them a storm is over
LONGEST_RECOVERY_US = 20_000_000  # after which a shard at full capacity is in a storm no more


@dataclass(slots=True, eq=False)
class RetryStorm:
    """What has happened in one retry storm.  Times are microseconds."""

    since: int
    peak_tickets: int = 0
    past_peak: bool = False
    rejected: int = 0  # requests rejected again, or for the first time
    returned: int = 0  # retries received
    early: int = 0  # of them, before their Retry-After time

    def update(self, now: int, health: ShardHealth, queue: RecoveryQueue) -> list[WriteLog]:
        """Follow the queue; what is to be logged of the storm's peak."""
        self.peak_tickets = max(self.peak_tickets, queue.ticket_count)
        if self.past_peak or queue.ticket_count >= PAST_PEAK_SHARE * self.peak_tickets:
            return []
        self.past_peak = True
        return [self.notice("storm_height", now, health, queue)]

    def is_over(self, now: int, health: ShardHealth, queue: RecoveryQueue) -> bool:
        """Few clients are left to come back, or the shard has been at full capacity for long."""
        recovered_long = (
            health.phase is ShardPhase.RECOVERING and now - health.phase_since > LONGEST_RECOVERY_US
        )
        return queue.ticket_count < CALM_TICKETS or recovered_long

    def notice(self, event: str, now: int, health: ShardHealth, queue: RecoveryQueue) -> WriteLog:
        """The log line of ``event`` (docs/storms.md explains its fields)."""
        fields: tuple[tuple[str, float | str], ...] = (
            ("shard", queue.shard),
            ("phase", health.phase.value),
            ("owed", queue.ticket_count),
            ("most_owed", max(self.peak_tickets, queue.ticket_count)),
            ("refused", self.rejected),
            ("returned", self.returned),
            ("early", self.early),
            ("lasted_s", round((now - self.since) / 1e6, 1)),
        )
        return WriteLog("", event, fields)


def storm_begins(queue: RecoveryQueue, units_per_s: float) -> bool:
    """Whether the clients that may come back make a storm for a shard that serves ``units_per_s``."""
    return queue.ticket_count >= STORM_TICKETS and queue.ticket_units >= STORM_BACKLOG_S * units_per_s
