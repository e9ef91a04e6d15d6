"""Counters of rejections by reason, which operators add up across the gateways of a fleet (docs/fleet.md)."""

from __future__ import annotations

from gaugesail.policy.actions import FailRequest, RejectRequest
from gaugesail.policy.events import EndpointState

from ..support import gateway_driver
from ..support.gateway_driver import SEC, Driver


def rejected_or_failed(driver: Driver) -> int:
    return sum(isinstance(action, (RejectRequest, FailRequest)) for action in driver.answers.values())


def test_a_shard_that_no_list_contains_is_counted_as_unlisted() -> None:
    driver = Driver(gateway_driver.settings(), nodes=2)
    number = driver.send_request(0, shard=5)
    assert isinstance(driver.answers[number], RejectRequest)
    assert driver.gateway.recovery.rejections == {"refused_unlisted_none": 1}


def test_a_request_without_time_is_counted_with_its_warm_node() -> None:
    driver = Driver(gateway_driver.settings(), nodes=2)
    tick = driver.gateway.state.tick_us
    number = driver.send_request(0, shard=0, deadline_after_us=2 * tick + tick // 2)
    assert isinstance(driver.answers[number], RejectRequest)
    assert driver.gateway.recovery.rejections == {"refused_too_late_warm": 1}


def test_a_warming_node_without_a_share_for_this_gateway_is_counted_as_cold() -> None:
    # 40 gateways: the even share of the initial capacity is less than one request of 6 units.
    driver = Driver(gateway_driver.settings(gateway_count=40), nodes=1)
    driver.pass_time(SEC)
    driver.list_nodes([(0, EndpointState.READY, driver.now)])  # it has just restarted
    numbers = [driver.send_request(0, shard=0, units=6.0) for _ in range(3)]
    driver.pass_time(2 * SEC)
    assert not driver.started
    assert all(isinstance(driver.answers[number], RejectRequest) for number in numbers)
    rejections = driver.gateway.recovery.rejections
    assert set(rejections) == {"refused_out_of_time_cold"} and sum(rejections.values()) == 3


def test_each_rejection_and_failure_is_counted_once() -> None:
    driver = Driver(gateway_driver.settings(gateway_count=3, initial_capacity_units=6.0), nodes=3)
    driver.list_nodes([(1, EndpointState.READY, driver.now)])
    for round_ in range(40):
        for shard in (0, 1, 2, 7):
            driver.send_request(
                round_ % 3, shard=shard, units=float(1 + round_ % 6), key=round_ % 4, volume_id=round_ % 5
            )
        if round_ % 3 == 0:
            for key in list(driver.in_flight)[:2]:
                driver.end_attempt(key)
        driver.pass_time(150_000)
    driver.pass_time(5 * SEC)
    assert rejected_or_failed(driver) > 0
    assert sum(driver.gateway.recovery.rejections.values()) == rejected_or_failed(driver)
