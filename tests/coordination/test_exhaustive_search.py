"""Every state of small instances fits the whole, and a guard that is away is found."""

from __future__ import annotations

import pytest

from gaugesail.lab.search import Budget, Search, search
from gaugesail.measure.planted import planted


@pytest.mark.parametrize(
    ("budget", "keepers"),
    [(Budget(asks=2), 1), (Budget(asks=1, steps=2), 1), (Budget(asks=1, crashes=1), 1), (Budget(asks=1), 3)],
)
def test_every_state_fits_the_whole(budget: Budget, keepers: int) -> None:
    found = search(budget, keepers, 5000)
    assert found.whole and not found.broken
    assert found.moved, "the part goes from one head to the other in some of them"


def test_it_begins_where_one_head_has_all_that_may_be_given() -> None:
    way = Search()
    room = way.first(Budget())
    assert way.spendable(room)[0] == 100_000 and way.good(room)
    assert "p/1" in room.cells["h1"].holder.allocations and not room.cells["h2"].holder.allocations


@pytest.mark.parametrize("plant", ["lower_unasked", "closed_early"])
def test_a_guard_that_is_away_is_found(plant: str) -> None:
    with planted(plant):
        found = search(Budget(asks=2, steps=1), 1, 4000)
    assert found.broken, found
