"""Exhaustive search: no reachable state exceeds the limit, and a missing safeguard is detected."""

from __future__ import annotations

import pytest

from gaugesail.lab.search import Budget, Transitions, search
from gaugesail.measure.planted import inject_fault


@pytest.mark.parametrize(
    ("budget", "replicas"),
    [
        (Budget(lease_requests=2), 1),
        (Budget(lease_requests=1, steps=2), 1),
        (Budget(lease_requests=1, crashes=1), 1),
        (Budget(lease_requests=1), 3),
    ],
)
def test_no_reachable_state_exceeds_the_limit(budget: Budget, replicas: int) -> None:
    result = search(budget, replicas, 5000)
    assert result.complete and not result.counterexample
    assert result.moved, "in some states the quota moves from one gateway to the other"


def test_the_search_begins_with_all_leasable_quota_at_one_gateway() -> None:
    transitions = Transitions()
    state = transitions.initial_state(Budget())
    assert transitions.spendable(state)[0] == 100_000 and transitions.within_limit(state)
    assert "p/1" in state.gateways["h1"].holder.allocations and not state.gateways["h2"].holder.allocations


@pytest.mark.parametrize("fault", ["lower_unasked", "closed_early"])
def test_a_missing_safeguard_is_detected(fault: str) -> None:
    with inject_fault(fault):
        result = search(Budget(lease_requests=2, steps=1), 1, 4000)
    assert result.counterexample, result
