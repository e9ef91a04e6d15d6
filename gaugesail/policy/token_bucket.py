"""The token bucket of one volume under its plan's limit.

It is filled over time and drained by first attempts.  Besides its own rate and burst it may have a leased
rate and burst, which apply until the lease ends.
"""

from __future__ import annotations

from dataclasses import dataclass

from .settings import Plan


@dataclass(slots=True, eq=False)
class TokenBucket:
    """One volume's units at this gateway.

    Rates are in units per second, bursts in units, times in microseconds.
    """

    plan: Plan
    filled_at: int
    units: float = 0.0
    own_rate: float = 0.0  # without a lease: the floor, or the even share
    own_burst: float = 0.0
    leased_rate: float = 0.0
    leased_burst: float = 0.0
    requested_units: float = 0.0  # of requests received since demand was last drained
    sent_units: float = 0.0  # of first attempts since then
    users: int = 0  # volume budgets that use the bucket

    def fill(self, now: int, lease_until: int) -> None:
        """Add the units accrued since the last call; the leased rate counts up to ``lease_until``.

        Rate and burst never exceed the plan's limits in this gateway's own settings, whatever the fleet has
        agreed.
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
        """Drop the units beyond the present bursts."""
        self.units = min(self.units, self.own_burst + self.leased_burst)

    def set_own(self, rate: float, burst: float) -> None:
        """Set the rate and burst without a lease."""
        self.own_rate = rate
        self.own_burst = burst

    def set_leased(self, rate: float, burst: float) -> None:
        """Set the additional rate and burst until the lease ends."""
        self.leased_rate = rate
        self.leased_burst = burst

    def wait_us(self, now: int, units: float) -> float:
        """Return the microseconds until it holds ``units`` at the present rate; infinite without a rate."""
        missing = units - self.units
        if missing <= 0:
            return 0.0
        rate = min(self.plan.limit, self.own_rate + self.leased_rate)
        return max(0.0, self.filled_at - now + missing / rate * 1e6) if rate else float("inf")

    @property
    def is_full(self) -> bool:
        """Whether a new bucket could not hold more units; a bucket without a limit is always full."""
        if not self.plan.limit:
            return True
        return not self.units < min(self.plan.limit_burst, self.own_burst + self.leased_burst)
