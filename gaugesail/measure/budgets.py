"""`gaugesail measure budgets`: whether a fleet-wide limit holds, and what it costs, in virtual time.

Random schedules of all faults (gaugesail/lab/troubles.py) check that the limit holds.  Worlds without other
faults measure the share of the limit that is used while demand moves, the time until the quota of a dead
gateway is reallocated, the share of its floor that an isolated gateway gets, and the traffic of the fleet.
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
from .planted import INJECTED_FAULTS, inject_fault

RATE = 100.0
BURST_PER_GATEWAY = 16.0
SETTLING_S = 8  # until all gateways have a session, a floor and an allocation
DEMAND_FACTOR = 1.3  # demand over the limit
SCHEDULE_S = 45
MEAN_FAULT_INTERVAL_S = 2.0
REALLOCATED_SHARE = 0.9  # of the limit: if this much is used, a dead gateway's quota is in use again
MAX_DETECTION_SCHEDULES = 40  # per injected fault


def start_world(
    gateways: int, seed: int, drift: float = 0.0, fleet: bool = True, replicas: int = 3
) -> FleetWorld:
    """Start a fleet and run it until all gateways have their quota.

    Without ``fleet`` each gateway has an even share of the limit.
    """
    world = FleetWorld(
        seed, gateways, min(replicas, gateways), Limit(RATE, BURST_PER_GATEWAY * gateways), drift=drift
    )
    world.uses_fleet_quota = fleet
    for gateway in world.gateways.values():
        gateway.start()
    world.run(SETTLING_S * SECOND)
    return world


@dataclass(slots=True, frozen=True)
class ScheduleResult:
    """Violations in a random schedule, and the faults that it injected."""

    overspent: int
    rights_over: int
    faults: Counter[str]


def run_schedule(
    seed: int, gateways: int, seconds: int = SCHEDULE_S, mean_interval_s: float = MEAN_FAULT_INTERVAL_S
) -> ScheduleResult:
    """Run a schedule of faults drawn from a seed, with demand above the limit."""
    world = start_world(gateways, seed, drift=0.01)
    Demand(world, seed + 1, DEMAND_FACTOR * RATE)
    world.audit()
    injector = FaultSchedule(world, seed + 2)
    injector.draw(world.now + seconds * SECOND, mean_interval_s)
    world.run(world.now + (seconds + 8) * SECOND)
    return ScheduleResult(world.overspent, world.counts["rights_over"], injector.faults)


def used_share(seed: int, gateways: int, fleet: bool = True, seconds: int = 60) -> float:
    """Return the share of the limit that is used while demand moves and nothing fails."""
    world = start_world(gateways, seed, fleet=fleet)
    Demand(world, seed + 1, DEMAND_FACTOR * RATE)
    start = world.now
    world.run(start + seconds * SECOND)
    return world.utilization(start + 3 * SECOND, world.now)


def reallocation_time(seed: int, gateways: int) -> float:
    """Return the seconds from the death of the gateway with most of the limit until the others use it."""
    world = start_world(gateways, seed)
    names = list(world.gateways)
    dead, *others = world.rng.sample(names, len(names))

    def send(targets: list[str], rate: float, until: int) -> None:
        gap = int(2 / rate * SECOND)
        while world.now < until:
            world.run(world.now + gap)
            world.send_request(world.rng.choice(targets), 2.0)

    send([dead], 1.5 * RATE, world.now + 5 * SECOND)
    world.gateways[dead].kill()
    end = world.now
    for tenth in range(1, 300):
        send(others, 1.5 * RATE, end + tenth * SECOND // 10)
        since = world.now - SECOND
        if since >= end and world.utilization(since, world.now) >= REALLOCATED_SHARE:
            return (since - end) / SECOND
    return 30.0


def isolated_floor_share(seed: int, gateways: int) -> float:
    """Return the rate of an isolated gateway as a share of its floor."""
    world = start_world(gateways, seed)
    name = world.rng.choice(list(world.gateways))
    world.cut({name})
    end = world.now + 20 * SECOND
    start = world.now + 6 * SECOND  # its lease has ended
    while world.now < end:
        world.run(world.now + SECOND // 10)
        world.send_request(name, 1.0)
    units_served = sum(units for at, gateway, units in world.arrivals if gateway == name and at >= start)
    floor = world.fleet_terms.floor(round(RATE * 1000), 0)[0] / 1000
    return units_served / ((end - start) / SECOND * floor)


def bytes_per_second(seed: int, gateways: int, seconds: int = 20) -> tuple[float, float]:
    """Return the bytes per second sent by a gateway without and by one with a replica, while demand moves."""
    world = start_world(gateways, seed)
    Demand(world, seed + 1, DEMAND_FACTOR * RATE)
    world.counts_bytes = True
    for gateway in world.gateways.values():
        gateway.sent_bytes = 0
    world.run(world.now + seconds * SECOND)
    replica_bytes = [
        gateway.sent_bytes for name, gateway in world.gateways.items() if name in world.fleet_terms.replicas
    ]
    other_bytes = [
        gateway.sent_bytes
        for name, gateway in world.gateways.items()
        if name not in world.fleet_terms.replicas
    ]
    return sum(other_bytes) / max(1, len(other_bytes)) / seconds, sum(replica_bytes) / len(
        replica_bytes
    ) / seconds


def _map(jobs: int, call: Callable[[int], Any], seeds: list[int]) -> list[Any]:
    """Return the results for the seeds in order, computed by ``jobs`` processes."""
    if jobs == 1:
        return [call(seed) for seed in seeds]
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(call, seeds, chunksize=4))


def measure(gateways: int, seed: int, schedules: int, jobs: int, sizes: list[int]) -> dict[str, Any]:
    """Return the figures of ``--json``."""
    seeds = list(range(seed, seed + schedules))
    results: list[ScheduleResult] = _map(jobs, partial(run_schedule, gateways=gateways), seeds)
    faults: Counter[str] = Counter()
    for item in results:
        faults += item.faults
    sample = seeds[: max(1, min(100, schedules))]
    times = sorted(_map(jobs, partial(reallocation_time, gateways=gateways), sample))
    used = _map(jobs, partial(used_share, gateways=gateways), sample[:20])
    even_split = _map(jobs, partial(used_share, gateways=gateways, fleet=False), sample[:20])
    floors = _map(jobs, partial(isolated_floor_share, gateways=gateways), sample[:20])
    traffic = {size: bytes_per_second(seed, size) for size in sizes}
    return {
        "heads": gateways, "schedules": schedules, "overspent": sum(item.overspent for item in results),
        "rights_over": sum(item.rights_over for item in results),
        "used": round(min(used), 3), "used_mean": round(sum(used) / len(used), 3),
        "even_used": round(sum(even_split) / len(even_split), 3),
        "back_s": round(times[min(len(times) - 1, int(0.99 * len(times)))], 2),
        "floor_kept": round(min(floors), 3),
        "bytes_a_head_s": {str(size): round(other) for size, (other, _) in traffic.items()},
        "bytes_a_keeper_s": {str(size): round(replica) for size, (_, replica) in traffic.items()},
        "faults": dict(sorted(faults.items())),
    }  # fmt: skip


# ---- exhaustive search ----


def _search_instance(name: str) -> dict[str, Any]:
    found = search(*INSTANCES[name])
    return {
        "states": found.states, "all": found.complete, "steps": dict(found.steps),
        "two_leaders": found.two_leaders, "moved": found.moved, "broken": found.counterexample,
    }  # fmt: skip


def search_instances(jobs: int) -> dict[str, Any]:
    """Search the states of each small instance, and count them."""
    names = list(INSTANCES)
    if jobs == 1:
        found = [_search_instance(name) for name in names]
    else:
        with ProcessPoolExecutor(jobs) as pool:
            found = list(pool.map(_search_instance, names))
    report = dict(zip(names, found, strict=True))
    return {
        "states": sum(item["states"] for item in found), "instances": report,
        "broken": [name for name, item in report.items() if item["broken"]],
    }  # fmt: skip


# ---- injected faults ----


def detect(name: str, gateways: int, seeds: list[int]) -> str:
    """Return what detects an injected fault, or an empty string.

    The cases are tried first, then random schedules.
    """
    with inject_fault(name):
        for case, run in CASES.items():
            try:
                if count := run():
                    return f"{case}: {count}"
            except Exception as error:  # another safeguard detected it
                return f"{case}: {type(error).__name__}"
        for seed in seeds:
            try:
                result = run_schedule(seed, gateways)
            except Exception as error:  # another safeguard detected it
                return f"schedule {seed}: {type(error).__name__}"
            if result.overspent or result.rights_over:
                return f"schedule {seed}: overspent {result.overspent}, rights over {result.rights_over}"
    return ""


def detect_all(gateways: int, seed: int, schedules: int, jobs: int) -> dict[str, Any]:
    """Inject every fault, and report what detects it."""
    names = [fault.name for fault in INJECTED_FAULTS]
    seeds = list(range(seed, seed + schedules))
    call = partial(detect, gateways=gateways, seeds=seeds)
    if jobs == 1:
        found = [call(name) for name in names]
    else:
        with ProcessPoolExecutor(jobs) as pool:
            found = list(pool.map(call, names))
    detected = {name: by for name, by in zip(names, found, strict=True) if by}
    return {
        "planted": len(names), "caught": len(detected), "by": detected,
        "not_caught": [name for name in names if name not in detected],
    }  # fmt: skip


@click.command("budgets")
@click.option("--heads", type=click.IntRange(3, 200), default=5, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--schedules", type=click.IntRange(1, 100_000), default=100, show_default=True)
@click.option("--sizes", default="5,50", show_default=True, help="Sizes of fleets whose traffic is measured.")
@click.option("--jobs", type=click.IntRange(1, 256), default=1, show_default=True, help="Runs side by side.")
@click.option("--planted", "inject", is_flag=True, help="Inject faults into the decisions, and detect them.")
@click.option("--search", "exhaustive", is_flag=True, help="Search and count every state of small instances.")
@click.option("--json", "as_json", is_flag=True)
def command(
    heads: int,
    seed: int,
    schedules: int,
    sizes: str,
    jobs: int,
    inject: bool,
    exhaustive: bool,
    as_json: bool,
) -> None:
    """A fleet-wide limit: whether it holds under faults, how much of it is used, how soon it is reallocated.

    Simulates complete gateways' decisions in virtual time.  Exits with 1 if the limit was exceeded.
    """
    if exhaustive:
        report = search_instances(jobs)
    elif inject:
        report = detect_all(heads, seed, min(schedules, MAX_DETECTION_SCHEDULES), jobs)
    else:
        try:
            counts = [int(size) for size in sizes.split(",") if size]
        except ValueError:
            message = f"expected numbers separated by commas, got {sizes!r}"
            raise click.BadParameter(message, param_hint="--sizes") from None
        report = measure(heads, seed, schedules, jobs, counts)
    if as_json:
        click.echo(json.dumps(report))
    else:
        for key, value in report.items():
            click.echo(f"{key:>18}  {value}")
    if report.get("overspent") or report.get("rights_over") or report.get("broken"):
        raise SystemExit(1)
