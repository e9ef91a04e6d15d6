"""Hard cases of a fleet-wide limit in virtual time, and the faults that they find when a guard is away."""

from __future__ import annotations

import pytest

from gaugesail.lab.fleet import SECOND
from gaugesail.measure import budgets
from gaugesail.measure.cases import CASES
from gaugesail.measure.planted import PLANTS, planted

QUICK = {  # a case for each guard, among those that find it
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
def test_nothing_is_broken(name: str) -> None:
    assert CASES[name]() == 0


@pytest.mark.parametrize("plant", QUICK)
def test_a_guard_that_is_away_is_missed(plant: str) -> None:
    with planted(plant):
        assert CASES[QUICK[plant]]() > 0


def test_the_plants_have_names_of_their_own() -> None:
    assert len({plant.name for plant in PLANTS}) == len(PLANTS) >= 12


def test_schedules_of_all_faults_overspend_nothing() -> None:
    for seed in (11, 12):
        done = budgets.schedule(seed, 5, 20)
        assert (done.overspent, done.rights_over) == (0, 0)
        assert done.faults


def test_the_whole_is_used_where_demand_moves_and_an_even_split_leaves_much() -> None:
    assert budgets.steady(3, 5, seconds=20) > 0.93
    assert budgets.steady(3, 5, fleet=False, seconds=20) < 0.85


def test_a_dead_heads_part_is_back_soon() -> None:
    assert budgets.back(3, 5) < 10


def test_a_head_that_is_cut_off_has_its_floor() -> None:
    assert budgets.cut_off(3, 5) > 0.9


def test_what_others_say_is_flat_in_the_number_of_heads() -> None:
    few, many = budgets.traffic(3, 5, 5)[0], budgets.traffic(3, 40, 5)[0]
    assert many < 3 * few


def test_two_hundred_heads_that_start_in_one_second_all_have_a_lease() -> None:
    world = budgets.world_of(200, 1)
    held = sum(
        head.node is not None and head.node.lease_holder.lease_until > head.now()
        for head in world.heads.values()
    )
    world.audit()
    world.run(world.now + SECOND)
    assert held == 200 and world.counts["rights_over"] == 0
