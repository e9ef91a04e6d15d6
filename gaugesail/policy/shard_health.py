"""The health of one shard: the phase it is in, and the evidence that put it there.

Two sources move it: the endpoint list, which says whether the shard has a node, and the results of attempts.
A node that fails ``FAILING_POINTS`` in a row is given one trial attempt at a time, with exponential backoff
between trials, until it serves one.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from .events import AttemptResult

FAILURE_POINTS = {
    AttemptResult.ERROR: 1,
    AttemptResult.REJECTED: 0,
    AttemptResult.TIMEOUT: 6,
    AttemptResult.NO_CONNECTION: 6,
    AttemptResult.RESET: 6,
}
FAILING_POINTS = 20  # in a row without a served attempt
FIRST_TRIAL_WAIT_US = 50_000
LONGEST_TRIAL_WAIT_US = 2_000_000
TRIAL_FORGIVENESS_US = 4_000_000  # in service, after which the wait before a trial is halved


class ShardPhase(Enum):
    """Where a shard stands.  The values are those of logs and of the view for operators."""

    SERVING = "serving"
    FAILING = "failing"  # listed, but it cannot be reached or fails whatever it gets
    DOWN = "down"  # the list, or operators, have no node for it
    WARMING_UP = "cold"  # back, in slow start
    RECOVERING = "warm"  # back at full capacity; rejected clients may still come back


@dataclass(slots=True, eq=False)
class ShardHealth:
    """The phase of one shard and its evidence.  Times are microseconds of the caller's clock."""

    phase: ShardPhase
    phase_since: int
    reason: str  # the evidence for the phase
    failure_points: int = 0  # of failures in a row
    trial_wait_us: int = FIRST_TRIAL_WAIT_US
    trial_at: int = 0  # no trial of a failing node before then
    listed_start_us: int = 0  # of the node seen last, as lists tell it

    @property
    def is_unavailable(self) -> bool:
        """Nothing but trials can be sent to the shard."""
        return self.phase in (ShardPhase.DOWN, ShardPhase.FAILING)

    @property
    def is_returning(self) -> bool:
        """The shard was unavailable and is served again."""
        return self.phase in (ShardPhase.WARMING_UP, ShardPhase.RECOVERING)

    @property
    def failed_trials_lately(self) -> bool:
        """Trials failed so lately that one served attempt is not enough to trust the node."""
        return self.trial_wait_us > FIRST_TRIAL_WAIT_US

    def enter(self, phase: ShardPhase, now: int, reason: str) -> None:
        """Change the phase; the caller has brought the recovery queue up to now before."""
        self.phase = phase
        self.phase_since = now
        self.reason = reason

    def reset(self) -> None:
        """Forget the failures of an earlier node, or of an earlier process of the node."""
        self.failure_points = 0
        self.trial_wait_us = FIRST_TRIAL_WAIT_US

    def record_failure(self, now: int, points: int, rng: random.Random) -> bool:
        """Count a failed attempt and schedule the next trial; whether the node is now found failing."""
        self.failure_points += points
        if self.phase is ShardPhase.FAILING or (
            self.phase is not ShardPhase.DOWN and self.failed_trials_lately
        ):
            self.trial_wait_us = min(LONGEST_TRIAL_WAIT_US, self.trial_wait_us * 2)
        elif self.phase is ShardPhase.DOWN or self.failure_points < FAILING_POINTS:
            return False
        # Jitter keeps the trials of several gateways apart.
        self.trial_at = now + int(self.trial_wait_us * (0.75 + 0.5 * rng.random()))
        return self.phase is not ShardPhase.FAILING

    def trial_allowed(self, now: int, in_flight: int) -> bool:
        """Whether an attempt may start: at a failing node one at a time, and after its wait."""
        return self.phase is not ShardPhase.FAILING or (not in_flight and now >= self.trial_at)

    def forgive(self, now: int) -> None:
        """Halve the wait before a trial once the node has served for ``TRIAL_FORGIVENESS_US``."""
        served_long = now - self.phase_since > TRIAL_FORGIVENESS_US
        if self.failed_trials_lately and self.phase is ShardPhase.RECOVERING and served_long:
            self.trial_wait_us = max(FIRST_TRIAL_WAIT_US, self.trial_wait_us // 2)
            self.phase_since = now
