"""Refusals counted by their cause: what a fleet's operators add up across heads (docs/fleet.md)."""

from __future__ import annotations

from gaugesail.policy.actions import FailRequest, RejectRequest
from gaugesail.policy.events import EndpointState

from ..support import gateway_driver
from ..support.gateway_driver import SEC, Driver


def answered(rig: Driver) -> int:
    return sum(isinstance(action, (RejectRequest, FailRequest)) for action in rig.answers.values())


def test_a_shard_that_no_list_named_is_counted_as_unlisted() -> None:
    rig = Driver(gateway_driver.settings(), nodes=2)
    number = rig.ask(0, shard=5)
    assert isinstance(rig.answers[number], RejectRequest)
    assert rig.gateway.recovery.rejections == {"refused_unlisted_none": 1}


def test_what_has_no_time_left_is_counted_at_a_warm_node() -> None:
    rig = Driver(gateway_driver.settings(), nodes=2)
    tick = rig.gateway.state.tick_us
    number = rig.ask(0, shard=0, give_up=2 * tick + tick // 2)
    assert isinstance(rig.answers[number], RejectRequest)
    assert rig.gateway.recovery.rejections == {"refused_too_late_warm": 1}


def test_a_cold_node_without_room_for_this_gateway_is_counted_as_cold() -> None:
    # Forty gateways: the part of each of the first message's units is under one request of 6 units.
    rig = Driver(gateway_driver.settings(gateway_count=40), nodes=1)
    rig.pass_time(SEC)
    rig.list_nodes([(0, EndpointState.READY, rig.now)])  # it has just started again
    asked = [rig.ask(0, shard=0, units=6.0) for _ in range(3)]
    rig.pass_time(2 * SEC)
    assert not rig.sends
    assert all(isinstance(rig.answers[number], RejectRequest) for number in asked)
    refused = rig.gateway.recovery.rejections
    assert set(refused) == {"refused_aim_cold"} and sum(refused.values()) == 3


def test_every_refusal_and_fail_is_counted_once() -> None:
    rig = Driver(gateway_driver.settings(gateway_count=3, initial_capacity_units=6.0), nodes=3)
    rig.list_nodes([(1, EndpointState.READY, rig.now)])
    for round_ in range(40):
        for shard in (0, 1, 2, 7):
            rig.ask(
                round_ % 3, shard=shard, units=float(1 + round_ % 6), key=round_ % 4, volume_id=round_ % 5
            )
        if round_ % 3 == 0:
            for key in list(rig.out)[:2]:
                rig.answer(key)
        rig.pass_time(150_000)
    rig.pass_time(5 * SEC)
    assert answered(rig) > 0
    assert sum(rig.gateway.recovery.rejections.values()) == answered(rig)
