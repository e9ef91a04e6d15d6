"""The token bucket of one volume under its plan's limit.

It is filled as time goes by and emptied by first attempts.  Beside a rate and burst of its own it may have a
rate and burst that a lease grants until it ends.
"""

from __future__ import annotations

from dataclasses import dataclass

from .settings import Plan


@dataclass(slots=True, eq=False)
class TokenBucket:
    """One volume's units at this gateway.  Rates are units a second, bursts units, times microseconds."""

    plan: Plan
    filled_at: int
    units: float = 0.0
    own_rate: float = 0.0  # without any lease: the floor, or the even share
    own_burst: float = 0.0
    leased_rate: float = 0.0
    leased_burst: float = 0.0
    requested_units: float = 0.0  # of requests received since demand was last taken
    sent_units: float = 0.0  # of first attempts since then
    users: int = 0  # budgets that draw on the bucket

    def fill(self, now: int, lease_until: int) -> None:
        """Add what has come in since the last call; what is leased only up to the end of the lease.

        Never more than this gateway's own file allows, whatever the fleet has agreed.
        """
        leased_until = min(now, lease_until)
        if leased_until > self.filled_at and (self.leased_rate or self.leased_burst):
            rate = min(self.plan.limit, self.own_rate + self.leased_rate)
            burst = min(self.plan.limit_burst, self.own_burst + self.leased_burst)
            self.units = min(burst, self.units + (leased_until - self.filled_at) / 1e6 * rate)
            self.filled_at = leased_until
        if now > self.filled_at:
            rate = min(self.plan.limit, self.own_rate)
            burst = min(self.plan.limit_burst, self.own_burst)
            self.units = min(burst, self.units + (now - self.filled_at) / 1e6 * rate)
            self.filled_at = now

    def clamp(self) -> None:
        """Drop the units that no longer fit after the bursts have changed."""
        self.units = min(self.units, self.own_burst + self.leased_burst)

    def set_own(self, rate: float, burst: float) -> None:
        """Set what comes in without any lease."""
        self.own_rate = rate
        self.own_burst = burst

    def set_leased(self, rate: float, burst: float) -> None:
        """Set what comes in until the lease ends."""
        self.leased_rate = rate
        self.leased_burst = burst

    @property
    def is_full(self) -> bool:
        """Whether a bucket opened anew could not hold more; one without a limit always is full."""
        if not self.plan.limit:
            return True
        return not self.units < min(self.plan.limit_burst, self.own_burst + self.leased_burst)
