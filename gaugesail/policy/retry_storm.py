"""Retry storms: many rejected clients of one shard that may all retry; operators see them in the log.

A storm begins when ``STORM_TICKETS`` clients may retry with requests for more than ``STORM_BACKLOG_S``
seconds of the shard's capacity.  It is logged when it begins, when its peak has passed, and when it ends.
"""

from __future__ import annotations

from dataclasses import dataclass

from .actions import WriteLog
from .recovery_queue import RecoveryQueue
from .shard_health import ShardHealth, ShardPhase

STORM_TICKETS = 24
STORM_BACKLOG_S = 1.0  # seconds of the units that the shard serves
PAST_PEAK_SHARE = 0.8  # of the peak number of tickets: below it a storm is past its peak
CALM_TICKETS = 0.25 * STORM_TICKETS  # with fewer tickets a storm has ended
LONGEST_RECOVERY_US = 20_000_000  # at full capacity, after which any storm counts as ended


@dataclass(slots=True, eq=False)
class RetryStorm:
    """The figures of one retry storm.  Times are microseconds."""

    since: int
    peak_tickets: int = 0
    past_peak: bool = False
    rejected: int = 0  # rejected requests, first ones and retries
    returned: int = 0  # received retries
    early: int = 0  # retries received before their Retry-After time

    def update(self, now: int, health: ShardHealth, queue: RecoveryQueue) -> list[WriteLog]:
        """Update the peak from the queue; return the log line once it has passed."""
        self.peak_tickets = max(self.peak_tickets, queue.ticket_count)
        if self.past_peak or queue.ticket_count >= PAST_PEAK_SHARE * self.peak_tickets:
            return []
        self.past_peak = True
        return [self.notice("storm_height", now, health, queue)]

    def is_over(self, now: int, health: ShardHealth, queue: RecoveryQueue) -> bool:
        """Return whether few clients may still retry, or the shard has long been at full capacity."""
        recovered_long = (
            health.phase is ShardPhase.RECOVERING and now - health.phase_since > LONGEST_RECOVERY_US
        )
        return queue.ticket_count < CALM_TICKETS or recovered_long

    def notice(self, event: str, now: int, health: ShardHealth, queue: RecoveryQueue) -> WriteLog:
        """Return the log line of ``event`` (docs/storms.md explains its fields)."""
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
    """Return whether the clients that may retry make a storm for a shard that serves ``units_per_s``."""
    return queue.ticket_count >= STORM_TICKETS and queue.ticket_units >= STORM_BACKLOG_S * units_per_s
