"""The division of a quota: no claims are given more than there is."""

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
def test_the_sum_is_at_most_what_there_is(rate: int, burst: int, told: dict[int, QuotaClaim]) -> None:
    parts = divide(rate, burst, told)
    assert set(parts) == set(told)
    assert sum(part[0] for part in parts.values()) <= rate
    assert sum(part[1] for part in parts.values()) <= burst
    assert all(min(part) >= 0 for part in parts.values())


def test_small_demand_is_met_and_the_rest_divided_by_weight() -> None:
    parts = divide(
        90_000,
        90_000,
        {
            1: QuotaClaim(5_000, 1000, (0, 0)),
            2: QuotaClaim(200_000, 1000, (0, 0)),
            3: QuotaClaim(200_000, 3000, (0, 0)),
        },
    )
    assert parts[1][0] == 5_000
    assert abs(parts[3][0] - 3 * parts[2][0]) < 10 and parts[2][0] + parts[3][0] > 84_990


def test_a_burst_too_small_for_one_request_is_given_to_nobody() -> None:
    parts = divide(
        90_000, 10_000, {1: QuotaClaim(50_000, 2, (0, 0), 8000), 2: QuotaClaim(50_000, 1, (0, 0), 8000)}
    )
    assert parts[1][0] > 0 and parts[2] == (0, 0)
