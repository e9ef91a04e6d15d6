"""Refusals counted by their cause: what a fleet's operators add up across heads (docs/fleet.md)."""

from __future__ import annotations

from gaugesail.policy.actions import FailRequest, RejectRequest
from gaugesail.policy.events import EndpointState

from ..support import gateway_driver
from ..support.gateway_driver import SEC, Driver


def answered(driver: Driver) -> int:
    return sum(isinstance(action, (RejectRequest, FailRequest)) for action in driver.answers.values())


def test_a_shard_that_no_list_named_is_counted_as_unlisted() -> None:
    driver = Driver(gateway_driver.settings(), nodes=2)
    number = driver.send_request(0, shard=5)
    assert isinstance(driver.answers[number], RejectRequest)
    assert driver.gateway.recovery.rejections == {"refused_unlisted_none": 1}


def test_what_has_no_time_left_is_counted_at_a_warm_node() -> None:
    driver = Driver(gateway_driver.settings(), nodes=2)
    tick = driver.gateway.state.tick_us
    number = driver.send_request(0, shard=0, deadline_after_us=2 * tick + tick // 2)
    assert isinstance(driver.answers[number], RejectRequest)
    assert driver.gateway.recovery.rejections == {"refused_too_late_warm": 1}


def test_a_cold_node_without_room_for_this_gateway_is_counted_as_cold() -> None:
    # Forty gateways: the part of each of the first message's units is under one request of 6 units.
    driver = Driver(gateway_driver.settings(gateway_count=40), nodes=1)
    driver.pass_time(SEC)
    driver.list_nodes([(0, EndpointState.READY, driver.now)])  # it has just started again
    asked = [driver.send_request(0, shard=0, units=6.0) for _ in range(3)]
    driver.pass_time(2 * SEC)
    assert not driver.started
    assert all(isinstance(driver.answers[number], RejectRequest) for number in asked)
    refused = driver.gateway.recovery.rejections
    assert set(refused) == {"refused_aim_cold"} and sum(refused.values()) == 3


def test_every_refusal_and_fail_is_counted_once() -> None:
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
    assert answered(driver) > 0
    assert sum(driver.gateway.recovery.rejections.values()) == answered(driver)
