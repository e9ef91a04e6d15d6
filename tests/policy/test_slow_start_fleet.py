"""Rule 4 counted at the node, over whole fleets that may not talk (gaugesail/lab/ramp.py).

200 seeds: each plays a fleet of 5, 20 or 30 heads, every twentieth one of 200.  The long form, with all 200
seeds for each size, is ``gaugesail measure ramp``."""

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


def short(heads: int, seed: int) -> Play:
    play = plays(heads, seed)
    return replace(play, span=4.0, rate=20.0, first_ask=min(play.first_ask, 1.0))


def over(played: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Where the node got more than N + 2 x root of N + 2 from heads that had been told of its start, or fell
    with over two thirds of what it got from such.
    """
    return [one for one in played if one["worst"] > 1 or one["broken"]]


@pytest.mark.parametrize("part", range(4))
def test_a_warming_node_gets_no_more_than_its_allowance_and_chance(part: int) -> None:
    seeds = range(1 + 50 * part, 51 + 50 * part)
    played = [Ramp(short(200 if seed % 20 == 0 else SIZES[seed % 3], seed)).run() for seed in seeds]
    assert not over(played)
    assert sum(one["arrived"] for one in played) > 400, "sending nothing is no answer"


@pytest.mark.parametrize(("heads", "least"), [(5, 0.85), (20, 0.8), (30, 0.8), (200, 0.25)])
def test_the_capacity_of_a_warming_node_is_used(heads: int, least: float) -> None:
    """Of its power since the start.  With even parts alone 20 and 30 heads use about a half, 200 nothing."""
    played = [Ramp(Play(heads, seed, hear=2.0)).run() for seed in range(3 if heads == 200 else 8)]
    assert not over(played)
    assert sum(one["served"] for one in played) > least * sum(one["power"] for one in played)


def test_the_same_play_gives_the_same_figures() -> None:
    assert Ramp(short(20, 5)).run() == Ramp(short(20, 5)).run()


# ---- faults that the count finds ----


def trusts_earlier_process(head: Gateway) -> None:
    """A new life takes its part at once, as if no earlier one had spent it."""
    head.slow_start._started_at = 0


def forgets(head: Gateway) -> None:
    """What was sent is not kept."""
    head.slow_start.record_sent = lambda now, node, units: None  # type: ignore[method-assign]


def drops(head: Gateway) -> None:
    """What was sent is forgotten with the book of a node that a list has dropped."""
    update = head.node_table.update

    def heard(event: EndpointList) -> None:
        if event.kind is EndpointListKind.FULL:
            head.slow_start._unserved.clear()
        update(event)

    head.node_table.update = heard  # type: ignore[method-assign]


def sound(head: Gateway) -> None:
    """No fault."""


@dataclass(frozen=True)
class Fault:
    """A fault planted in all heads, and plays of which some show it."""

    name: str
    play: Play
    seeds: tuple[int, ...]
    change: Callable[[Gateway], None] = sound
    told: Callable[[Settings], Settings] = lambda given: given

    def worst(self) -> float:
        """Of all its plays."""

        def make(given: Settings, seed: int, now: int) -> Gateway:
            head = Gateway(given, seed, now)
            self.change(head)
            return head

        played = [Ramp(replace(self.play, seed=seed), make, self.told).run() for seed in self.seeds]
        return max(float(one["worst"]) for one in played)


CROWD = Play(span=4.0, rate=100.0, slots=0)
MANY = replace(CROWD, heads=20, slots=40)
FAULTS = [
    Fault(
        "the part is not divided",
        MANY,
        (0, 1),
        told=lambda given: replace(given, gateway_count=1, gateway_index=0),
    ),
    Fault(
        "all have their turn at once",
        replace(MANY, heads=30),
        (4, 7),
        told=lambda given: replace(given, gateway_index=0),
    ),
    Fault(
        "a cold node counts as warm",
        MANY,
        (0, 1),
        told=lambda given: replace(given, initial_capacity_share=1.0),
    ),
    Fault(
        "a new life has its part at once", replace(CROWD, restarts="burst"), (8, 23), trusts_earlier_process
    ),
    Fault("what was sent is not kept", CROWD, (4, 6, 11, 21, 23), forgets),
    Fault("a list that drops the node ends its book", replace(CROWD, flaps=True), (4, 21), drops),
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_the_count_finds_a_planted_fault(fault: Fault) -> None:
    assert replace(fault, change=sound, told=lambda given: given).worst() <= 1
    assert fault.worst() > 1


@pytest.mark.parametrize("heads", [1, 2, 5, 20, 30, 200, 1000])
@pytest.mark.parametrize("units", [0.5, 9.0, 24.0, 60.0])
def test_the_shares_of_all_gateways_add_up_to_one(heads: int, units: float) -> None:
    """At each moment, and over the time of the rule with half of the chance and a quantum more."""
    given = Settings(
        (RequestClass("read", 1, 1),),
        (Plan("plan"),),
        gateway_count=heads,
        overload_window_us=1_500_000,
        overload_factor=3.0,
        initial_capacity_share=0.31,
        warm_up_us=17_000_000,
        initial_capacity_units=units,
        mean_request_units=2.05,
    )
    rotations = [ShareRotation.from_settings(replace(given, gateway_index=me)) for me in range(heads)]
    rng = random.Random(heads)
    root = (units / 2.05) ** 0.5 + 1
    quantum = 2.05 * min(2.0, root)
    for node in (b"node-0", b"node-1"):
        borne = units * 2 / 3 * rng.uniform(1, 3)
        start = rng.randrange(10**15, 2 * 10**15)
        most = [0.0] * heads
        for now in range(start, start + given.overload_window_us, 25_000):
            parts = [rotation.share(now, node, borne) * borne for rotation in rotations]
            assert sum(parts) <= borne + quantum + 1e-6
            most = [max(pair) for pair in zip(most, parts, strict=True)]
        assert sum(most) <= borne + root * 2.05 + quantum + 1e-6
