"""A gateway's token buckets under a lease: never more than its quota gives while its lease runs."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from gaugesail.policy.events import QuotaChanged
from gaugesail.policy.rate_limits import FLOOR_HOLD_US, RateLimits
from gaugesail.policy.settings import Plan, RequestClass, Settings
from gaugesail.policy.token_bucket import TokenBucket

SECOND = 1_000_000
PLAN = Plan("p", 100.0, limit=100.0, limit_burst=80.0)


def limits(fleet: bool = True) -> tuple[RateLimits, TokenBucket]:
    settings = Settings(classes=(RequestClass("r", 1, 2),), plans=(PLAN,), fleet_quota=fleet)
    made = RateLimits(settings, 0)
    return made, made.open_bucket(0, PLAN, 1, 5.0)


def test_a_bucket_begins_empty_and_fills_at_its_quota_until_the_lease_is_over() -> None:
    made, bucket = limits()
    made.update_quota(0, QuotaChanged(2 * SECOND, (("p", 1, 50.0, 40.0),), (("p", 2.0, 8.0),)))
    made.refill(SECOND // 2, bucket, 5.0, 1)
    assert bucket.units == 26.0
    made.refill(10 * SECOND, bucket, 5.0, 1)
    assert bucket.units == 8.0, "only the floor's burst is left of what it had saved"


def test_what_grows_grows_empty_and_what_shrinks_loses_the_rest() -> None:
    made, bucket = limits()
    made.update_quota(0, QuotaChanged(9 * SECOND, (("p", 1, 50.0, 40.0),), ()))
    made.update_quota(2 * SECOND, QuotaChanged(9 * SECOND, (("p", 1, 90.0, 70.0),)))
    assert bucket.units == 40.0
    made.update_quota(2 * SECOND, QuotaChanged(9 * SECOND, (("p", 1, 10.0, 5.0),)))
    assert bucket.units == 5.0
    made.update_quota(2 * SECOND, QuotaChanged(9 * SECOND, replaces_all=True))
    assert bucket.units == 0.0 and made.allowance(3 * SECOND, "p", 1) == (0.0, 0.0)


def test_a_first_send_is_tied_to_the_lease_that_it_rests_on() -> None:
    made, bucket = limits()
    assert made.spend(0, bucket, 1.0) == FLOOR_HOLD_US, (
        "a floor needs no lease; it is begun soon or not at all"
    )
    made.update_quota(0, QuotaChanged(7 * SECOND, (("p", 1, 50.0, 40.0),)))
    assert made.spend(SECOND, bucket, 1.0) == 7 * SECOND
    assert made.spend(8 * SECOND, bucket, 1.0) == 8 * SECOND + FLOOR_HOLD_US
    alone, its = limits(fleet=False)
    assert alone.spend(0, its, 1.0) == 0


def test_its_own_file_bounds_what_the_fleet_says() -> None:
    made, bucket = limits()
    made.update_quota(0, QuotaChanged(9 * SECOND, (("p", 1, 500.0, 400.0),)))
    made.refill(SECOND // 2, bucket, 5.0, 1)
    assert bucket.units == 50.0


def test_what_was_asked_for_is_told_once() -> None:
    made, bucket = limits()
    made.record_demand(0, bucket, 1, 3.0)
    made.spend(0, bucket, 2.0)
    assert made.drain_demand(0) == [("p", 1, 3.0, 2.0, 0.0)] and made.drain_demand(0) == []


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
def test_no_more_is_spent_than_the_quota_allowed(told: list[tuple[int, float, float, int, float]]) -> None:
    """Against a plain reckoning: what comes in is at most rate times time while the lease runs."""
    made, bucket = limits()
    now = until = 0
    rate = came = spent = 0.0
    for span, new_rate, burst, lease, units in told:
        came += rate * max(0, min(now + span, until) - now) / SECOND
        now += span
        made.refill(now, bucket, 5.0, 1)
        if bucket.units >= units:
            made.spend(now, bucket, units)
            spent += units
        made.update_quota(now, QuotaChanged(now + lease, (("p", 1, new_rate, burst),)))
        rate, until = new_rate, now + lease
    assert spent <= came + 1e-6
