"""Hard cases of a fleet-wide limit in virtual time; with a safeguard missing they detect the fault."""

from __future__ import annotations

import pytest

from gaugesail.lab.fleet import SECOND
from gaugesail.measure import budgets
from gaugesail.measure.cases import CASES
from gaugesail.measure.planted import INJECTED_FAULTS, inject_fault

DETECTING_CASES = {  # by injected fault, one of the cases that detect it
    "lease_from_receipt": "answer_late",
    "grant_twice": "answers_lost",
    "older_grant": "order_late",
    "no_wait_after_election": "leader_wakes",
    "lower_unasked": "answers_lost",
    "no_drift": "clocks_differ",
    "no_sum": "leader_errs",
    "told_before_committed": "minority_grants",
    "book_kept": "session_replaced",
    "expired_spent": "halves",
    "minority": "halves",
    "entries_not_kept": "snapshot_and_log",
    "floor_twice": "two_under_one_name",
    "grown_full": "files_differ",
    "born_full": "born_again",
    "closed_early": "halves",
    "not_confirmed": "two_leaders",
    "vote_not_kept": "vote_forgotten",
}


@pytest.mark.parametrize("name", CASES)
def test_no_case_violates_the_limit(name: str) -> None:
    assert CASES[name]() == 0


@pytest.mark.parametrize("fault", DETECTING_CASES)
def test_a_missing_safeguard_is_detected(fault: str) -> None:
    with inject_fault(fault):
        assert CASES[DETECTING_CASES[fault]]() > 0


def test_injected_faults_have_unique_names() -> None:
    assert len({fault.name for fault in INJECTED_FAULTS}) == len(INJECTED_FAULTS) >= 12


def test_schedules_of_all_faults_overspend_nothing() -> None:
    for seed in (11, 12):
        result = budgets.run_schedule(seed, 5, 20)
        assert (result.overspent, result.rights_over) == (0, 0)
        assert result.faults


def test_the_limit_is_used_where_demand_moves_and_an_even_split_leaves_much_unused() -> None:
    assert budgets.used_share(3, 5, seconds=20) > 0.93
    assert budgets.used_share(3, 5, fleet=False, seconds=20) < 0.85


def test_a_dead_gateways_quota_is_reallocated_soon() -> None:
    assert budgets.reallocation_time(3, 5) < 10


def test_an_isolated_gateway_has_its_floor() -> None:
    assert budgets.isolated_floor_share(3, 5) > 0.9


def test_traffic_of_a_gateway_without_a_replica_is_flat_in_the_fleets_size() -> None:
    few, many = budgets.bytes_per_second(3, 5, 5)[0], budgets.bytes_per_second(3, 40, 5)[0]
    assert many < 3 * few


def test_two_hundred_gateways_that_start_in_one_second_all_have_a_lease() -> None:
    world = budgets.start_world(200, 1)
    held = sum(
        gateway.node is not None and gateway.node.lease_holder.lease_until > gateway.now()
        for gateway in world.gateways.values()
    )
    world.audit()
    world.run(world.now + SECOND)
    assert held == 200 and world.counts["rights_over"] == 0
