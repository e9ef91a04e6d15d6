"""Who is served first: reserves, then the shares of plans, then the least time left; prices say nothing."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from gaugesail.policy.actions import Action
from gaugesail.policy.events import AttemptResult
from gaugesail.policy.service_order import in_service_order
from gaugesail.policy.settings import Plan
from gaugesail.policy.spare_shares import KEPT_TAGS, SpareShares

from ..support import gateway_driver
from ..support.gateway_driver import SEC, Driver

LIGHT, HEAVY, RESERVED = range(3)  # positions of the plans
PLANS = (
    Plan("light", 8.0, 0.0, share_weight=1.0),
    Plan("heavy", 8.0, 0.0, share_weight=3.0),
    Plan("reserved", 8.0, 8.0, share_weight=1.0),
)
LONG_US = 60 * SEC


def driver_of(**changes: object) -> Driver:
    only = replace(gateway_driver.CLASSES[0], deadline_us=LONG_US)
    driver = Driver(
        gateway_driver.settings(
            classes=(only,), plans=PLANS, overload_window_us=0, retry_budget_window_us=0,
            max_request_units=1.0, **changes,
        )
    )  # fmt: skip
    for number in range(4):  # the node is full, and has served nothing yet
        driver.send_request(volume_id=1000 + number, plan_index=RESERVED)
    return driver


def serve(driver: Driver, count: int) -> list[int]:
    """Serve as many requests, and return those that were sent in their places."""
    node = driver.gateway.nodes[gateway_driver.node_id(0)]
    before = len(driver.started)
    for _ in range(count):
        driver.pass_time(1_000)
        node.window = 4.0
        driver.end_attempt(next(iter(driver.in_flight)))
    return [start.request_id for start in driver.started[before:]]


def spend_reserve(driver: Driver, volume_id: int, plan_index: int) -> None:
    """Leave a volume without a reserve, whatever its plan has at the start."""
    driver.send_request(volume_id=volume_id, plan_index=plan_index)
    for (volume, _, _), budget in driver.gateway.volumes.budgets.items():
        if volume == volume_id:
            budget.reserve_units = 0.0


def test_requests_within_a_reserve_go_first_and_then_the_least_time_left() -> None:
    driver = driver_of()
    spend_reserve(driver, 1, LIGHT)
    beyond = driver.send_request(volume_id=1, plan_index=LIGHT, deadline_after_us=20 * SEC)
    late, soon = (
        driver.send_request(volume_id=2 + n, plan_index=RESERVED, deadline_after_us=us * SEC)
        for n, us in enumerate((50, 30))
    )
    order = serve(driver, 4)
    assert order[:2] == [soon, late] and beyond in order[2:]


def test_what_a_shard_can_do_beyond_the_reserves_is_divided_by_share_weights() -> None:
    driver = driver_of()
    plans = {}
    for volume, plan in ((1, LIGHT), (2, HEAVY)):
        spend_reserve(driver, volume, plan)
        for _ in range(60):
            plans[driver.send_request(volume_id=volume, plan_index=plan)] = plan
    served = Counter(plans[number] for number in serve(driver, 62)[2:] if number in plans)
    assert abs(served[HEAVY] - 3 * served[LIGHT]) <= 4


def test_a_volume_that_asks_for_more_takes_nothing_from_another() -> None:
    driver = driver_of()
    volumes = {}
    for volume, count in ((1, 80), (2, 20)):
        spend_reserve(driver, volume, LIGHT)
        for _ in range(count):
            volumes[driver.send_request(volume_id=volume, plan_index=LIGHT)] = volume
    served = Counter(volumes[number] for number in serve(driver, 42)[2:] if number in volumes)
    assert abs(served[1] - served[2]) <= 2


@pytest.mark.parametrize("seed", range(5))
def test_the_order_that_queues_are_judged_by_is_the_one_in_which_they_are_served(seed: int) -> None:
    rng = random.Random(seed)
    driver = driver_of()
    for volume in range(1, 5):
        spend_reserve(driver, volume, volume % 2)
    for _ in range(40):
        volume = rng.randint(1, 4)
        driver.send_request(
            volume_id=volume, plan_index=volume % 2, deadline_after_us=rng.randint(30, 59) * SEC
        )
    shard = driver.gateway.shards[0]
    order = in_service_order(shard, driver.now)
    expected = [request.request_id for request in order.reserved + order.beyond]
    assert serve(driver, len(expected)) == expected


def play(seed: int, prices: float) -> list[list[Action]]:
    """Play random events with prices that are multiplied; return all actions."""
    default = gateway_driver.settings()
    driver = Driver(
        gateway_driver.settings(
            classes=tuple(
                replace(each, priority_weight=each.priority_weight * prices**n, late_weight_share=prices % 1)
                for n, each in enumerate(default.classes)
            ),
            plans=tuple(replace(each, priority_weight=prices**n) for n, each in enumerate(default.plans)),
            fair_share_weight=1 / prices,
            beyond_share_weight=1 / prices**2,
            retry_after_allowed=True,
            max_retry_after_us=2 * SEC,
        )
    )
    rng = random.Random(seed)
    actions = []
    for _ in range(400):
        if rng.random() < 0.6:
            driver.send_request(
                rng.randrange(3), rng.randrange(2), plan_index=rng.randrange(2), key=rng.randrange(9),
                units=float(rng.randint(1, 4)), volume_id=rng.randrange(5), gateways_in_use=2.0,
            )  # fmt: skip
        elif driver.in_flight:
            key = rng.choice(list(driver.in_flight))
            driver.end_attempt(key, rng.choice([AttemptResult.SERVED] * 5 + [AttemptResult.ERROR]))
        actions.append(driver.last_actions)
        driver.pass_time(rng.choice([0, 3_000, 30_000]))
    return actions


@pytest.mark.parametrize("seed", range(4))
def test_prices_change_no_decision(seed: int) -> None:
    assert play(seed, 1.0) == play(seed, 3.7)


def test_the_tags_of_a_shards_volumes_are_bounded() -> None:
    driver, spare = driver_of(), SpareShares()
    for number in range(5 * KEPT_TAGS):
        driver.send_request(volume_id=number, plan_index=LIGHT)
    for budget in driver.gateway.volumes.budgets.values():
        spare.spend(budget, 1.0)
        spare.progress += 0.5
    assert len(spare._tags) <= 2 * KEPT_TAGS
