"""A gateway's token buckets under a lease: they refill by its quota, and only while the lease lasts."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from gaugesail.policy.events import QuotaChanged
from gaugesail.policy.rate_limits import FLOOR_HOLD_US, RateLimits
from gaugesail.policy.settings import Plan, RequestClass, Settings
from gaugesail.policy.token_bucket import TokenBucket

SECOND = 1_000_000
PLAN = Plan("p", 100.0, limit=100.0, limit_burst=80.0)


def make_limits(fleet: bool = True) -> tuple[RateLimits, TokenBucket]:
    settings = Settings(classes=(RequestClass("r", 1, 2),), plans=(PLAN,), fleet_quota=fleet)
    rate_limits = RateLimits(settings, 0)
    return rate_limits, rate_limits.open_bucket(0, PLAN, 1, 5.0)


def test_a_bucket_starts_empty_and_refills_at_its_quota_until_the_lease_expires() -> None:
    rate_limits, bucket = make_limits()
    rate_limits.update_quota(0, QuotaChanged(2 * SECOND, (("p", 1, 50.0, 40.0),), (("p", 2.0, 8.0),)))
    rate_limits.refill(SECOND // 2, bucket, 5.0, 1)
    assert bucket.units == 26.0
    rate_limits.refill(10 * SECOND, bucket, 5.0, 1)
    assert bucket.units == 8.0, "of its savings only the floor's burst is left"


def test_a_larger_burst_adds_no_units_and_a_smaller_one_drops_the_excess() -> None:
    rate_limits, bucket = make_limits()
    rate_limits.update_quota(0, QuotaChanged(9 * SECOND, (("p", 1, 50.0, 40.0),), ()))
    rate_limits.update_quota(2 * SECOND, QuotaChanged(9 * SECOND, (("p", 1, 90.0, 70.0),)))
    assert bucket.units == 40.0
    rate_limits.update_quota(2 * SECOND, QuotaChanged(9 * SECOND, (("p", 1, 10.0, 5.0),)))
    assert bucket.units == 5.0
    rate_limits.update_quota(2 * SECOND, QuotaChanged(9 * SECOND, replaces_all=True))
    assert bucket.units == 0.0 and rate_limits.allowance(3 * SECOND, "p", 1) == (0.0, 0.0)


def test_a_first_attempt_has_to_be_sent_while_its_lease_lasts() -> None:
    rate_limits, bucket = make_limits()
    assert rate_limits.spend(0, bucket, 1.0) == FLOOR_HOLD_US, (
        "a floor needs no lease; an attempt under it is sent soon or not at all"
    )
    rate_limits.update_quota(0, QuotaChanged(7 * SECOND, (("p", 1, 50.0, 40.0),)))
    assert rate_limits.spend(SECOND, bucket, 1.0) == 7 * SECOND
    assert rate_limits.spend(8 * SECOND, bucket, 1.0) == 8 * SECOND + FLOOR_HOLD_US
    single, single_bucket = make_limits(fleet=False)
    assert single.spend(0, single_bucket, 1.0) == 0


def test_the_configured_limit_bounds_the_fleets_quota() -> None:
    rate_limits, bucket = make_limits()
    rate_limits.update_quota(0, QuotaChanged(9 * SECOND, (("p", 1, 500.0, 400.0),)))
    rate_limits.refill(SECOND // 2, bucket, 5.0, 1)
    assert bucket.units == 50.0


def test_demand_is_reported_once() -> None:
    rate_limits, bucket = make_limits()
    rate_limits.record_demand(0, bucket, 1, 3.0)
    rate_limits.spend(0, bucket, 2.0)
    assert rate_limits.drain_demand(0) == [("p", 1, 3.0, 2.0, 0.0)] and rate_limits.drain_demand(0) == []


spans = st.lists(
    st.tuples(
        st.integers(0, 3 * SECOND),
        st.floats(0, 100),
        st.floats(0, 80),
        st.integers(0, 4 * SECOND),
        st.floats(0, 20),
    ),
    max_size=20,
)


@given(spans)
def test_no_more_is_spent_than_the_quota_allowed(steps: list[tuple[int, float, float, int, float]]) -> None:
    """The total refill is at most rate times time while the lease lasts."""
    rate_limits, bucket = make_limits()
    now = until = 0
    rate = refilled = spent = 0.0
    for span, new_rate, burst, lease, units in steps:
        refilled += rate * max(0, min(now + span, until) - now) / SECOND
        now += span
        rate_limits.refill(now, bucket, 5.0, 1)
        if bucket.units >= units:
            rate_limits.spend(now, bucket, units)
            spent += units
        rate_limits.update_quota(now, QuotaChanged(now + lease, (("p", 1, new_rate, burst),)))
        rate, until = new_rate, now + lease
    assert spent <= refilled + 1e-6
