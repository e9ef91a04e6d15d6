"""The health of one shard: its phase, and the evidence for it.

The evidence has two sources: the endpoint list, which shows whether the shard has a node, and the results of
attempts.  A node with ``FAILING_POINTS`` of consecutive failures gets one trial attempt at a time, with
exponential backoff between trials, until it serves one.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from .events import AttemptResult

# By result; other results count 0.
FAILURE_POINTS = {
    AttemptResult.ERROR: 1,
    AttemptResult.REJECTED: 0,
    AttemptResult.TIMEOUT: 6,
    AttemptResult.NO_CONNECTION: 6,
    AttemptResult.RESET: 6,
}
FAILING_POINTS = 20  # without a served attempt in between
FIRST_TRIAL_WAIT_US = 50_000
LONGEST_TRIAL_WAIT_US = 2_000_000
TRIAL_WAIT_DECAY_US = 4_000_000  # time in service after which the wait before a trial is halved


class ShardPhase(Enum):
    """The phase of a shard; the values appear in logs and in the view for operators."""

    SERVING = "serving"
    FAILING = "failing"  # its node is listed, but unreachable or failing all requests
    DOWN = "down"  # it has no node by the endpoint list, or only one in maintenance
    WARMING_UP = "cold"  # available again, in slow start
    RECOVERING = "warm"  # available again at full capacity; rejected clients may still retry


@dataclass(slots=True, eq=False)
class ShardHealth:
    """The phase of one shard and its evidence.  Times are microseconds of the caller's clock."""

    phase: ShardPhase
    phase_since: int  # when it began, or when ``decay_trial_wait`` last halved the wait in it
    reason: str  # the evidence for the phase
    failure_points: int = 0  # of consecutive failures
    trial_wait_us: int = FIRST_TRIAL_WAIT_US
    trial_at: int = 0  # earliest time of the next trial of a failing node
    listed_start_us: int = 0  # start of the latest node, on discovery's clock
    unavailable_since: int = 0  # when the present or latest outage began, whatever phases it has had

    def __post_init__(self) -> None:
        self.unavailable_since = self.phase_since

    @property
    def is_unavailable(self) -> bool:
        """Whether the shard has no node, or a failing one that may be sent only trials."""
        return self.phase in (ShardPhase.DOWN, ShardPhase.FAILING)

    @property
    def is_returning(self) -> bool:
        """Whether the shard was unavailable and serves again."""
        return self.phase in (ShardPhase.WARMING_UP, ShardPhase.RECOVERING)

    @property
    def has_recent_failed_trials(self) -> bool:
        """Whether trials failed so recently that one served attempt does not prove the node healthy."""
        return self.trial_wait_us > FIRST_TRIAL_WAIT_US

    def enter(self, phase: ShardPhase, now: int, reason: str) -> None:
        """Change the phase; the caller has advanced the recovery queue to ``now``."""
        if not self.is_unavailable:
            self.unavailable_since = now
        self.phase = phase
        self.phase_since = now
        self.reason = reason

    def reset(self) -> None:
        """Clear the failures of a previous node, or of a previous process of the node."""
        self.failure_points = 0
        self.trial_wait_us = FIRST_TRIAL_WAIT_US

    def record_failure(self, now: int, points: int, rng: random.Random) -> bool:
        """Count a failed attempt and schedule the next trial; return whether the node is now failing."""
        self.failure_points += points
        if self.phase is ShardPhase.FAILING or (
            self.phase is not ShardPhase.DOWN and self.has_recent_failed_trials
        ):
            self.trial_wait_us = min(LONGEST_TRIAL_WAIT_US, self.trial_wait_us * 2)
        elif self.phase is ShardPhase.DOWN or self.failure_points < FAILING_POINTS:
            return False
        # Jitter keeps the trials of several gateways apart.
        self.trial_at = now + int(self.trial_wait_us * (0.75 + 0.5 * rng.random()))
        return self.phase is not ShardPhase.FAILING

    def trial_allowed(self, now: int, in_flight: int) -> bool:
        """Return whether an attempt may start; a failing node gets one at a time, after the trial wait."""
        return self.phase is not ShardPhase.FAILING or (not in_flight and now >= self.trial_at)

    def decay_trial_wait(self, now: int) -> None:
        """Halve the wait before a trial each time the node has served for ``TRIAL_WAIT_DECAY_US``."""
        served_long = now - self.phase_since > TRIAL_WAIT_DECAY_US
        if self.has_recent_failed_trials and self.phase is ShardPhase.RECOVERING and served_long:
            self.trial_wait_us = max(FIRST_TRIAL_WAIT_US, self.trial_wait_us // 2)
            self.phase_since = now
