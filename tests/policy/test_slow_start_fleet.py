"""Units sent to a node in slow start by fleets without messages between gateways (gaugesail/lab/ramp.py).

200 seeds: each simulates a fleet of 5, 20 or 30 gateways, every twentieth seed one of 200.  The long form,
with all 200 seeds for each size, is ``gaugesail measure ramp``.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import pytest

from gaugesail.lab.ramp import Play, Ramp, plays
from gaugesail.policy.events import EndpointList, EndpointListKind
from gaugesail.policy.gateway import Gateway
from gaugesail.policy.settings import Plan, RequestClass, Settings
from gaugesail.policy.share_rotation import ShareRotation

SIZES = (5, 20, 30)


def short(gateways: int, seed: int) -> Play:
    play = plays(gateways, seed)
    return replace(play, span=4.0, rate=20.0, first_ask=min(play.first_ask, 1.0))


def overloads(results: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the results in which the gateways that knew of the node's start sent it too much.

    That is more than N + 2 * sqrt(N) + 2 requests in a window that allows N, or over two thirds of what it
    got when it failed.
    """
    return [result for result in results if result["worst"] > 1 or result["broken"]]


@pytest.mark.parametrize("part", range(4))
def test_a_warming_node_gets_no_more_than_its_allowance_and_chance(part: int) -> None:
    seeds = range(1 + 50 * part, 51 + 50 * part)
    results = [Ramp(short(200 if seed % 20 == 0 else SIZES[seed % 3], seed)).run() for seed in seeds]
    assert not overloads(results)
    assert sum(result["arrived"] for result in results) > 400, "sending nothing is no solution"


@pytest.mark.parametrize(("gateways", "least"), [(5, 0.85), (20, 0.8), (30, 0.8), (200, 0.25)])
def test_the_capacity_of_a_warming_node_is_used(gateways: int, least: float) -> None:
    """At least this share of the capacity since the start; even shares alone use about a half with 20 and 30
    gateways, and nothing with 200.
    """
    results = [Ramp(Play(gateways, seed, hear=2.0)).run() for seed in range(3 if gateways == 200 else 8)]
    assert not overloads(results)
    assert sum(result["served"] for result in results) > least * sum(result["power"] for result in results)


def test_the_same_play_gives_the_same_figures() -> None:
    assert Ramp(short(20, 5)).run() == Ramp(short(20, 5)).run()


# ---- faults that the count finds ----


def trust_earlier_process(gateway: Gateway) -> None:
    """Inject a fault: a new process uses its share at once, as if no earlier one had spent it."""
    gateway.slow_start._started_at = 0


def do_not_record_sent(gateway: Gateway) -> None:
    """Inject a fault: sent units are not recorded."""
    gateway.slow_start.record_sent = lambda now, node, units: None  # type: ignore[method-assign]


def drop_sent_of_unlisted(gateway: Gateway) -> None:
    """Inject a fault: sent units are dropped with the record of a node that is removed from the list."""
    update = gateway.node_table.update

    def update_and_clear(event: EndpointList) -> None:
        if event.kind is EndpointListKind.FULL:
            gateway.slow_start._unserved.clear()
        update(event)

    gateway.node_table.update = update_and_clear  # type: ignore[method-assign]


def no_fault(gateway: Gateway) -> None:
    """Inject no fault."""


@dataclass(frozen=True)
class Fault:
    """A fault that is injected into all gateways, and the simulations of which some reveal it."""

    name: str
    play: Play
    seeds: tuple[int, ...]
    change: Callable[[Gateway], None] = no_fault
    change_settings: Callable[[Settings], Settings] = lambda settings: settings

    def worst(self) -> float:
        """Return the largest excess at the node in all its simulations; above 1 it is not allowed."""

        def make(settings: Settings, seed: int, now: int) -> Gateway:
            gateway = Gateway(settings, seed, now)
            self.change(gateway)
            return gateway

        results = [
            Ramp(replace(self.play, seed=seed), make, self.change_settings).run() for seed in self.seeds
        ]
        return max(float(result["worst"]) for result in results)


CROWD = Play(span=4.0, rate=100.0, slots=0)
MANY = replace(CROWD, heads=20, slots=40)
FAULTS = [
    Fault(
        "the share is not divided",
        MANY,
        (0, 1),
        change_settings=lambda settings: replace(settings, gateway_count=1, gateway_index=0),
    ),
    Fault(
        "all have their turn at once",
        replace(MANY, heads=30),
        (4, 7),
        change_settings=lambda settings: replace(settings, gateway_index=0),
    ),
    Fault(
        "a warming node counts as warm",
        MANY,
        (0, 1),
        change_settings=lambda settings: replace(settings, initial_capacity_share=1.0),
    ),
    Fault(
        "a new process has its share at once",
        replace(CROWD, restarts="burst"),
        (8, 23),
        trust_earlier_process,
    ),
    Fault("sent units are not recorded", CROWD, (4, 6, 11, 21, 23), do_not_record_sent),
    Fault(
        "sent units are dropped with an unlisted node",
        replace(CROWD, flaps=True),
        (4, 21),
        drop_sent_of_unlisted,
    ),
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_the_count_finds_an_injected_fault(fault: Fault) -> None:
    assert replace(fault, change=no_fault, change_settings=lambda settings: settings).worst() <= 1
    assert fault.worst() > 1


@pytest.mark.parametrize("gateways", [1, 2, 5, 20, 30, 200, 1000])
@pytest.mark.parametrize("units", [0.5, 9.0, 24.0, 60.0])
def test_the_shares_of_all_gateways_add_up_to_one(gateways: int, units: float) -> None:
    """At any time, up to one quantum; over one window, with half of the allowed excess in addition."""
    settings = Settings(
        (RequestClass("read", 1, 1),),
        (Plan("plan"),),
        gateway_count=gateways,
        overload_window_us=1_500_000,
        overload_factor=3.0,
        initial_capacity_share=0.31,
        warm_up_us=17_000_000,
        initial_capacity_units=units,
        mean_request_units=2.05,
    )
    rotations = [ShareRotation.from_settings(replace(settings, gateway_index=me)) for me in range(gateways)]
    rng = random.Random(gateways)
    root = (units / 2.05) ** 0.5 + 1
    quantum = 2.05 * min(2.0, root)
    for node in (b"node-0", b"node-1"):
        unserved = units * 2 / 3 * rng.uniform(1, 3)
        start = rng.randrange(10**15, 2 * 10**15)
        largest = [0.0] * gateways
        for now in range(start, start + settings.overload_window_us, 25_000):
            parts = [rotation.share(now, node, unserved) * unserved for rotation in rotations]
            assert sum(parts) <= unserved + quantum + 1e-6
            largest = [max(pair) for pair in zip(largest, parts, strict=True)]
        assert sum(largest) <= unserved + root * 2.05 + quantum + 1e-6
