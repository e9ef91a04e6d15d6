"""The division of a quota: shares never exceed the rate and burst to divide."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from gaugesail.coordination.quota_division import QuotaClaim, divide

claims = st.dictionaries(
    st.integers(1, 9),
    st.builds(
        QuotaClaim,
        st.integers(0, 200_000),
        st.integers(1, 5000),
        st.tuples(st.integers(0, 100_000), st.integers(0, 50_000)),
        st.integers(0, 20_000),
    ),
    max_size=6,
)


@given(st.integers(0, 100_000), st.integers(0, 100_000), claims)
def test_the_shares_never_exceed_the_rate_and_burst(
    rate: int, burst: int, given_claims: dict[int, QuotaClaim]
) -> None:
    shares = divide(rate, burst, given_claims)
    assert set(shares) == set(given_claims)
    assert sum(share[0] for share in shares.values()) <= rate
    assert sum(share[1] for share in shares.values()) <= burst
    assert all(min(share) >= 0 for share in shares.values())


def test_small_demand_is_met_and_the_rest_divided_by_weight() -> None:
    shares = divide(
        90_000,
        90_000,
        {
            1: QuotaClaim(5_000, 1000, (0, 0)),
            2: QuotaClaim(200_000, 1000, (0, 0)),
            3: QuotaClaim(200_000, 3000, (0, 0)),
        },
    )
    assert shares[1][0] == 5_000
    assert abs(shares[3][0] - 3 * shares[2][0]) < 10 and shares[2][0] + shares[3][0] > 84_990


def test_a_burst_too_small_for_the_largest_request_is_not_granted() -> None:
    shares = divide(
        90_000, 10_000, {1: QuotaClaim(50_000, 2, (0, 0), 8000), 2: QuotaClaim(50_000, 1, (0, 0), 8000)}
    )
    assert shares[1][0] > 0 and shares[2] == (0, 0)
