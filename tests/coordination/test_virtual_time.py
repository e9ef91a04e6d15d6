"""Whole heads' decisions in virtual time: the limit is divided after demand, and nothing is overspent."""

from __future__ import annotations

from gaugesail.lab.fleet import SECOND, FleetWorld, Limit


def fleet(heads: int = 5, keepers: int = 3, seed: int = 1) -> FleetWorld:
    world = FleetWorld(seed, heads, keepers, Limit(100.0, 16.0 * heads))
    for head in world.heads.values():
        head.start()
    world.run(8 * SECOND)
    return world


def ask(world: FleetWorld, name: str, seconds: float, rate: float) -> None:
    """So many units a second at one head, in requests of two."""
    end = world.now + int(seconds * SECOND)
    while world.now < end:
        world.run(world.now + int(2 / rate * SECOND))
        world.ask(name, 2.0)


def test_all_demand_at_one_head_has_all_but_the_floors_of_the_others() -> None:
    world = fleet()
    start = world.now
    ask(world, "h4", 20, 150)
    assert world.used(start + 2 * SECOND, world.now) > 0.9, "the even split uses 0.2"
    assert world.overspent == 0


def test_a_head_that_is_cut_off_serves_on_with_its_floor_and_its_part_goes_to_others() -> None:
    world = fleet()
    ask(world, "h4", 5, 150)
    world.cut({"h4"})
    cut = world.now
    for _ in range(15):
        ask(world, "h4", 0.5, 150)
        ask(world, "h3", 0.5, 150)
    late = [item for item in world.arrivals if item[0] > cut + 8 * SECOND]
    mine = sum(units for _, name, units in late if name == "h4") / (world.now - cut - 8 * SECOND) * SECOND
    assert 1.5 < mine < 2.5, "a tenth of 100 units a second, by five"
    assert sum(units for _, name, units in late if name == "h3") > 8 * mine
    assert world.overspent == 0
