"""What a node is blamed for: not for what the connection, or a client that leaves early, brought about."""

from __future__ import annotations

import pytest

from gaugesail.policy.events import AttemptEnded, AttemptResult

from ..support import gateway_driver


def test_a_late_connection_is_no_fault_of_a_node_that_has_served_what_was_sent_later() -> None:
    rig = gateway_driver.Driver(gateway_driver.settings())
    rig.pass_time(3 * gateway_driver.SEC)
    late = rig.ask()
    rig.pass_time(10_000)
    other = rig.ask()
    assert {send.request_id for send in rig.sends} >= {late, other}
    node = rig.gateway.nodes[rig.sends[0].node_id]
    rig.pass_time(20_000)
    rig.feed(AttemptEnded(other, 0, node.node_id, AttemptResult.SERVED, 20_000, True))
    rig.feed(AttemptEnded(late, 0, node.node_id, AttemptResult.NO_CONNECTION, 250_000, False))
    assert not node.consecutive_failures and node.backoff_until <= rig.now


@pytest.mark.parametrize(("elapsed", "blamed"), [(60_000, False), (400_000, True)])
def test_an_attempt_that_its_client_cut_short_is_no_hang_of_the_node(elapsed: int, blamed: bool) -> None:
    """One that ran out of time sooner than a node is allowed to take says nothing of the node."""
    rig = gateway_driver.Driver(gateway_driver.settings())
    rig.pass_time(3 * gateway_driver.SEC)
    rig.ask(give_up=elapsed)
    (send,) = rig.sends
    node = rig.gateway.nodes[send.node_id]
    learnt = list(node.latency_us)
    rig.pass_time(elapsed + 500_000)  # its time is up, and the control loop has had a period
    assert not rig.out
    assert bool(node.consecutive_failures) is blamed
    assert bool(rig.gateway.recovery.shards) is blamed
    assert (node.latency_us != learnt) is blamed


def test_a_request_that_cannot_begin_is_refused_before_half_of_its_time_is_over() -> None:
    """From there on a refusal costs a part of its worth, though nothing was sent."""
    rig = gateway_driver.Driver(gateway_driver.settings())
    rig.pass_time(3 * gateway_driver.SEC)
    for number in range(8):  # more than the window holds
        rig.ask(key=number)
    began = rig.now
    waits = rig.ask(give_up=240_000, key=9)
    assert waits in rig.gateway.pending
    rig.pass_time(119_000)
    assert waits not in rig.gateway.pending and rig.now - began < 120_000
