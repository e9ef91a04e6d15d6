"""`gaugesail measure budgets`: what a limit that the whole fleet keeps holds and costs, in virtual time.

Random schedules of all faults (gaugesail/lab/troubles.py), and single questions in worlds without others: how
much of the whole is used where demand moves, how soon a dead head's part is back, what a head that is cut off
still has, what is said between heads.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from typing import Any

import click

from ..lab.fleet import SECOND, FleetWorld, Limit
from ..lab.search import INSTANCES, search
from ..lab.troubles import Demand, FaultSchedule
from .cases import CASES
from .planted import PLANTS, planted

RATE = 100.0
BURST_A_HEAD = 16.0
SETTLE_S = 8  # until all have a session, a floor and a part
OVER = 1.3  # demand, of the whole
SCHEDULE_S = 45
GAP_S = 2.0  # between two faults
BACK_AT = 0.9  # of the whole: a dead head's part is in use again
FIND_SCHEDULES = 40


def world_of(heads: int, seed: int, drift: float = 0.0, fleet: bool = True, keepers: int = 3) -> FleetWorld:
    """Heads that have begun, and have what they need."""
    world = FleetWorld(seed, heads, min(keepers, heads), Limit(RATE, BURST_A_HEAD * heads), drift=drift)
    world.uses_fleet_quota = fleet
    for head in world.gateways.values():
        head.start()
    world.run(SETTLE_S * SECOND)
    return world


@dataclass(slots=True, frozen=True)
class Schedule:
    """What one random schedule came to."""

    overspent: int
    rights_over: int
    faults: Counter[str]


def schedule(seed: int, heads: int, seconds: int = SCHEDULE_S, gap_s: float = GAP_S) -> Schedule:
    """One schedule of faults drawn from a seed, with demand above the whole."""
    world = world_of(heads, seed, drift=0.01)
    Demand(world, seed + 1, OVER * RATE)
    world.audit()
    troubles = FaultSchedule(world, seed + 2)
    troubles.draw(world.now + seconds * SECOND, gap_s)
    world.run(world.now + (seconds + 8) * SECOND)
    return Schedule(world.overspent, world.counts["rights_over"], troubles.faults)


def steady(seed: int, heads: int, fleet: bool = True, seconds: int = 60) -> float:
    """What is used of the whole where demand moves and nothing fails."""
    world = world_of(heads, seed, fleet=fleet)
    Demand(world, seed + 1, OVER * RATE)
    start = world.now
    world.run(start + seconds * SECOND)
    return world.utilization(start + 3 * SECOND, world.now)


def back(seed: int, heads: int) -> float:
    """Seconds from a head's end, which had most of the whole, until the others use it."""
    world = world_of(heads, seed)
    names = list(world.gateways)
    dead, *others = world.rng.sample(names, len(names))

    def ask(who: list[str], rate: float, until: int) -> None:
        gap = int(2 / rate * SECOND)
        while world.now < until:
            world.run(world.now + gap)
            world.send_request(world.rng.choice(who), 2.0)

    ask([dead], 1.5 * RATE, world.now + 5 * SECOND)
    world.gateways[dead].kill()
    end = world.now
    for tenth in range(1, 300):
        ask(others, 1.5 * RATE, end + tenth * SECOND // 10)
        since = world.now - SECOND
        if since >= end and world.utilization(since, world.now) >= BACK_AT:
            return (since - end) / SECOND
    return 30.0


def cut_off(seed: int, heads: int) -> float:
    """What a head that is cut off has, as a share of its floor."""
    world = world_of(heads, seed)
    name = world.rng.choice(list(world.gateways))
    world.cut({name})
    end = world.now + 20 * SECOND
    start = world.now + 6 * SECOND  # its lease is over
    while world.now < end:
        world.run(world.now + SECOND // 10)
        world.send_request(name, 1.0)
    mine = sum(units for at, who, units in world.arrivals if who == name and at >= start)
    floor = world.fleet_terms.floor(round(RATE * 1000), 0)[0] / 1000
    return mine / ((end - start) / SECOND * floor)


def traffic(seed: int, heads: int, seconds: int = 20) -> tuple[float, float]:
    """Bytes a second that a head which is no keeper sends, and a keeper, where demand moves."""
    world = world_of(heads, seed)
    Demand(world, seed + 1, OVER * RATE)
    world.counts_bytes = True
    for head in world.gateways.values():
        head.sent_bytes = 0
    world.run(world.now + seconds * SECOND)
    kept = [head.sent_bytes for name, head in world.gateways.items() if name in world.fleet_terms.replicas]
    rest = [
        head.sent_bytes for name, head in world.gateways.items() if name not in world.fleet_terms.replicas
    ]
    return sum(rest) / max(1, len(rest)) / seconds, sum(kept) / len(kept) / seconds


def _map(jobs: int, call: Callable[[int], Any], seeds: list[int]) -> list[Any]:
    if jobs == 1:
        return [call(seed) for seed in seeds]
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(call, seeds, chunksize=4))


def figures(heads: int, seed: int, schedules: int, jobs: int, sizes: list[int]) -> dict[str, Any]:
    """All of it as one object."""
    seeds = list(range(seed, seed + schedules))
    played: list[Schedule] = _map(jobs, partial(schedule, heads=heads), seeds)
    faults: Counter[str] = Counter()
    for item in played:
        faults += item.faults
    few = seeds[: max(1, min(100, schedules))]
    backs = sorted(_map(jobs, partial(back, heads=heads), few))
    used = _map(jobs, partial(steady, heads=heads), few[:20])
    even = _map(jobs, partial(steady, heads=heads, fleet=False), few[:20])
    floors = _map(jobs, partial(cut_off, heads=heads), few[:20])
    said = {size: traffic(seed, size) for size in sizes}
    return {
        "heads": heads, "schedules": schedules, "overspent": sum(item.overspent for item in played),
        "rights_over": sum(item.rights_over for item in played),
        "used": round(min(used), 3), "used_mean": round(sum(used) / len(used), 3),
        "even_used": round(sum(even) / len(even), 3),
        "back_s": round(backs[min(len(backs) - 1, int(0.99 * len(backs)))], 2),
        "floor_kept": round(min(floors), 3),
        "bytes_a_head_s": {str(size): round(rest) for size, (rest, _) in said.items()},
        "bytes_a_keeper_s": {str(size): round(kept) for size, (_, kept) in said.items()},
        "faults": dict(sorted(faults.items())),
    }  # fmt: skip


# ---- every state ----


def _explore(name: str) -> dict[str, Any]:
    found = search(*INSTANCES[name])
    return {
        "states": found.states, "all": found.complete, "steps": dict(found.steps),
        "two_leaders": found.two_leaders, "moved": found.moved, "broken": found.counterexample,
    }  # fmt: skip


def explored(jobs: int) -> dict[str, Any]:
    """Each small instance, and how many states it has."""
    names = list(INSTANCES)
    if jobs == 1:
        found = [_explore(name) for name in names]
    else:
        with ProcessPoolExecutor(jobs) as pool:
            found = list(pool.map(_explore, names))
    told = dict(zip(names, found, strict=True))
    return {
        "states": sum(item["states"] for item in found), "instances": told,
        "broken": [name for name, item in told.items() if item["broken"]],
    }  # fmt: skip


# ---- planted faults ----


def find(name: str, heads: int, seeds: list[int]) -> str:
    """By what a planted fault is found, or nothing: cases first, then random schedules."""
    with planted(name):
        for case, play in CASES.items():
            try:
                if count := play():
                    return f"{case}: {count}"
            except Exception as error:  # a guard further on found it
                return f"{case}: {type(error).__name__}"
        for seed in seeds:
            try:
                done = schedule(seed, heads)
            except Exception as error:  # a guard further on found it
                return f"schedule {seed}: {type(error).__name__}"
            if done.overspent or done.rights_over:
                return f"schedule {seed}: overspent {done.overspent}, rights over {done.rights_over}"
    return ""


def hunt(heads: int, seed: int, schedules: int, jobs: int) -> dict[str, Any]:
    """Every planted fault, and by which schedule it is found."""
    names = [plant.name for plant in PLANTS]
    seeds = list(range(seed, seed + schedules))
    call = partial(find, heads=heads, seeds=seeds)
    if jobs == 1:
        found = [call(name) for name in names]
    else:
        with ProcessPoolExecutor(jobs) as pool:
            found = list(pool.map(call, names))
    caught = {name: by for name, by in zip(names, found, strict=True) if by}
    return {
        "planted": len(names), "caught": len(caught), "by": caught,
        "not_caught": [name for name in names if name not in caught],
    }  # fmt: skip


@click.command("budgets")
@click.option("--heads", type=click.IntRange(3, 200), default=5, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--schedules", type=click.IntRange(1, 100_000), default=100, show_default=True)
@click.option("--sizes", default="5,50", show_default=True, help="Heads at which what is said is weighed.")
@click.option("--jobs", type=click.IntRange(1, 256), default=1, show_default=True, help="Runs side by side.")
@click.option("--planted", "plants", is_flag=True, help="Plant faults in the decisions, and find them.")
@click.option("--search", "searched", is_flag=True, help="Every state of small instances; counts them.")
@click.option("--json", "as_json", is_flag=True)
def command(
    heads: int, seed: int, schedules: int, sizes: str, jobs: int, plants: bool, searched: bool, as_json: bool
) -> None:
    """A limit that the whole fleet keeps: what it holds under faults, what is used, how soon it is back.

    Whole heads' decisions in virtual time.  Exits with 1 where more was spent than there is.
    """
    if searched:
        told = explored(jobs)
    elif plants:
        told = hunt(heads, seed, min(schedules, FIND_SCHEDULES), jobs)
    else:
        try:
            counts = [int(size) for size in sizes.split(",") if size]
        except ValueError:
            wrong = f"{sizes!r}: numbers with commas are needed"
            raise click.BadParameter(wrong, param_hint="--sizes") from None
        told = figures(heads, seed, schedules, jobs, counts)
    if as_json:
        click.echo(json.dumps(told))
    else:
        for key, value in told.items():
            click.echo(f"{key:>18}  {value}")
    if told.get("overspent") or told.get("rights_over") or told.get("broken"):
        raise SystemExit(1)
