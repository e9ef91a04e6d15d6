"""The rate limits of plans at one gateway: a token bucket for each volume under a limit.

Where gateways may not exchange messages, each has an even share of a limit, which two processes of one
gateway split.  Where the fleet divides a limit (docs/fleet-agreement.md), a bucket fills at the rate of the
floor plus the leased allocation, and at that of the floor alone once the lease has ended.  A bucket starts
empty, as an earlier process may have spent all of this gateway's units.  A bucket whose burst grows keeps its
units; one whose burst shrinks loses the excess.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from itertools import pairwise

from .events import QuotaChanged
from .settings import Plan, Settings
from .token_bucket import TokenBucket

FLOOR_HOLD_US = 1_000_000  # an attempt without a lease must start within this time
NO_QUOTA = (0.0, 0.0)  # rate and burst
MAX_PERIODS = 8  # remembered; a new bucket counts as empty before them


@dataclass(slots=True, frozen=True)
class Period:
    """A time in which the rates did not change, for the buckets of volumes that have had no request yet."""

    since: int
    plans: dict[str, Plan]
    process_count: int


class RateLimits:
    """The token buckets of one gateway.

    Rates are in units per second, bursts in units, times in microseconds.  ``gateways_in_use`` is the number
    of gateways that a volume's requests are spread over.
    """

    def __init__(self, settings: Settings, started_at: int) -> None:
        self._settings = settings
        self._periods = [Period(started_at, {plan.name: plan for plan in settings.plans}, 1)]
        self._lease_until = 0
        # With ``fleet_quota``, the gateways in use of a key are 0.
        self._buckets: dict[tuple[str, int, float], TokenBucket] = {}  # by plan, volume, gateways in use
        self._requested: dict[tuple[str, int], TokenBucket] = {}  # with demand not yet drained
        self._allocations: dict[tuple[str, int], tuple[float, float]] = {}  # by plan, volume: rate, burst
        self._floors: dict[str, tuple[float, float]] = {}  # by plan: rate, burst
        self._floors_at = started_at

    def update_settings(self, now: int, settings: Settings) -> None:
        """Apply new settings from ``now`` on; each bucket follows its plan by name."""
        self._settle(now)
        self._settings = settings
        plans = {plan.name: plan for plan in settings.plans}
        self._begin_period(Period(now, plans, self._periods[-1].process_count))
        for bucket in self._buckets.values():
            bucket.plan = plans.get(bucket.plan.name, bucket.plan)

    def _settle(self, now: int) -> None:
        """Fill all buckets up to ``now`` at the rates in force, which are about to change."""
        for bucket in self._buckets.values():
            bucket.fill(now, self._lease_until)

    def _begin_period(self, period: Period) -> None:
        self._periods = [*self._periods, period][-MAX_PERIODS:]

    def restart(self, now: int) -> None:
        """Fill from ``now`` on only: a predecessor has used what this gateway had before."""
        self._periods = [replace(self._periods[-1], since=now)]
        for bucket in self._buckets.values():
            bucket.units = min(bucket.units, 0.0)
            bucket.filled_at = now

    def divide(self, now: int, process_count: int) -> None:
        """Split the units, rates and bursts of the even shares between this number of processes."""
        self._settle(now)
        self._begin_period(replace(self._periods[-1], since=now, process_count=process_count))
        if self._settings.fleet_quota:
            return
        for (_, _, gateways_in_use), bucket in self._buckets.items():
            self._set_even_share(bucket, gateways_in_use * process_count)
            bucket.clamp()

    @staticmethod
    def _set_even_share(bucket: TokenBucket, parts: float) -> None:
        bucket.set_own(bucket.plan.limit / parts, bucket.plan.limit_burst / parts)

    def _key(self, plan: str, volume: int, gateways_in_use: float) -> tuple[str, int, float]:
        return plan, volume, 0.0 if self._settings.fleet_quota else gateways_in_use

    # ---- spending ----

    def open_bucket(self, now: int, plan: Plan, volume: int, gateways_in_use: float) -> TokenBucket:
        """Return the bucket of a volume under its plan's limit, and count one more user of it."""
        key = self._key(plan.name, volume, gateways_in_use)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = TokenBucket(plan, self._periods[0].since)
            if not self._settings.fleet_quota:
                self._fill_past_periods(bucket, gateways_in_use)
            else:
                bucket.filled_at = self._floors_at
                bucket.set_own(*self._floors.get(plan.name, NO_QUOTA))
                bucket.fill(now, 0)
                bucket.set_leased(*self._allocations.get((plan.name, volume), NO_QUOTA))
        bucket.users += 1
        return bucket

    def _fill_past_periods(self, bucket: TokenBucket, gateways_in_use: float) -> None:
        """Fill a new bucket up to the start of the present period, at the rates of each one before."""
        plan = bucket.plan
        for period, following in pairwise(self._periods):
            bucket.plan = period.plans.get(plan.name, plan)
            self._set_even_share(bucket, gateways_in_use * period.process_count)
            bucket.clamp()
            if plan.name in period.plans:
                bucket.fill(following.since, 0)
            bucket.filled_at = following.since
        bucket.plan = plan
        self._set_even_share(bucket, gateways_in_use * self._periods[-1].process_count)
        bucket.clamp()

    def record_demand(self, now: int, bucket: TokenBucket, volume: int, units: float) -> None:
        """Count the units of a received request: the fleet divides limits by demand, served or not."""
        if self._settings.fleet_quota and bucket.plan.limit:
            bucket.requested_units += units
            self._requested[bucket.plan.name, volume] = bucket

    def refill(self, now: int, bucket: TokenBucket, gateways_in_use: float, process_count: int) -> None:
        """Fill a bucket up to ``now``; two processes of one gateway split an even share."""
        if not bucket.plan.limit:
            return
        if not self._settings.fleet_quota:
            self._set_even_share(bucket, gateways_in_use * process_count)
        bucket.fill(now, self._lease_until)

    def spend(self, now: int, bucket: TokenBucket, units: float) -> int:
        """Spend the units of a first attempt; return the time by which it must start, 0 for no limit.

        That time is checked again when the first byte is sent, as the process may be suspended in between
        for longer than its lease.
        """
        bucket.units -= units
        bucket.sent_units += units
        if not self._settings.fleet_quota or not bucket.plan.limit:
            return 0
        leased = now < self._lease_until and (bucket.leased_rate or bucket.leased_burst)
        return self._lease_until if leased else now + FLOOR_HOLD_US

    def release(self, now: int, key: tuple[int, str, float], bucket: TokenBucket) -> bool:
        """Return whether a volume's budget may be dropped, and drop its bucket with the last user.

        A bucket that is not full is kept, as a new one could hold more units.

        :param key: volume, plan and gateways in use of the budget.
        """
        bucket.fill(now, self._lease_until)
        if not bucket.is_full:
            return False
        bucket.users -= 1
        if not bucket.users:
            volume, plan, gateways_in_use = key
            self._buckets.pop(self._key(plan, volume, gateways_in_use), None)
        return True

    # ---- the fleet's quota ----

    def allowance(self, now: int, plan: str, volume: int) -> tuple[float, float]:
        """Return the rate and burst that this gateway may spend on a volume now; for audits."""
        rate, burst = self._floors.get(plan, NO_QUOTA)
        leased = self._allocations.get((plan, volume), NO_QUOTA) if now < self._lease_until else NO_QUOTA
        return rate + leased[0], burst + leased[1]

    def drain_demand(self, now: int) -> list[tuple[str, int, float, float, float]]:
        """Return plan, volume, requested, sent and saved units of each volume with new demand.

        The counters of requested and sent units restart from zero.
        """
        demand = []
        for (plan, volume), bucket in self._requested.items():
            bucket.fill(now, self._lease_until)
            saved_units = max(0.0, bucket.units)
            demand.append((plan, volume, bucket.requested_units, bucket.sent_units, saved_units))
            bucket.requested_units = 0.0
            bucket.sent_units = 0.0
        self._requested = {}
        return demand

    def update_quota(self, now: int, event: QuotaChanged) -> None:
        """Apply a new quota from ``now`` on; buckets are filled under the previous one up to then."""
        allocated = [self._buckets.get((plan, volume, 0.0)) for plan, volume, _, _ in event.allocations]
        if event.replaces_all or event.floors is not None or now > self._lease_until:
            changed = list(self._buckets.values())
        else:
            changed = [bucket for bucket in allocated if bucket is not None]
        for bucket in changed:
            bucket.fill(now, self._lease_until)
        self._lease_until = event.lease_until_us
        if event.floors is not None:
            self._update_floors(now, event.floors)
        if event.replaces_all:
            self._allocations.clear()
            for bucket in self._buckets.values():
                bucket.set_leased(0.0, 0.0)
        self._update_allocations(event)
        for bucket in changed:
            bucket.clamp()

    def _update_floors(self, now: int, floors: tuple[tuple[str, float, float], ...]) -> None:
        if not self._floors:
            self._floors_at = now
        self._floors = {plan: (rate, burst) for plan, rate, burst in floors}
        for bucket in self._buckets.values():
            bucket.set_own(*self._floors.get(bucket.plan.name, NO_QUOTA))

    def _update_allocations(self, event: QuotaChanged) -> None:
        for plan, volume, rate, burst in event.allocations:
            if rate or burst:
                self._allocations[plan, volume] = rate, burst
            else:
                self._allocations.pop((plan, volume), None)
            bucket = self._buckets.get((plan, volume, 0.0))
            if bucket is not None:
                bucket.set_leased(rate, burst)
