"""What a node is blamed for: not for what the connection, or a client that leaves early, brought about."""

from __future__ import annotations

import pytest

from gaugesail.policy.events import AttemptEnded, AttemptResult

from ..support import gateway_driver


def test_a_late_connection_is_no_fault_of_a_node_that_has_served_what_was_sent_later() -> None:
    driver = gateway_driver.Driver(gateway_driver.settings())
    driver.pass_time(3 * gateway_driver.SEC)
    late = driver.send_request()
    driver.pass_time(10_000)
    other = driver.send_request()
    assert {send.request_id for send in driver.started} >= {late, other}
    node = driver.gateway.nodes[driver.started[0].node_id]
    driver.pass_time(20_000)
    driver.feed(AttemptEnded(other, 0, node.node_id, AttemptResult.SERVED, 20_000, True))
    driver.feed(AttemptEnded(late, 0, node.node_id, AttemptResult.NO_CONNECTION, 250_000, False))
    assert not node.consecutive_failures and node.backoff_until <= driver.now


@pytest.mark.parametrize(("elapsed", "blamed"), [(60_000, False), (400_000, True)])
def test_an_attempt_that_its_client_cut_short_is_no_hang_of_the_node(elapsed: int, blamed: bool) -> None:
    """One that ran out of time sooner than a node is allowed to take says nothing of the node."""
    driver = gateway_driver.Driver(gateway_driver.settings())
    driver.pass_time(3 * gateway_driver.SEC)
    driver.send_request(deadline_after_us=elapsed)
    (send,) = driver.started
    node = driver.gateway.nodes[send.node_id]
    learnt = list(node.latency_us)
    driver.pass_time(elapsed + 500_000)  # its time is up, and the control loop has had a period
    assert not driver.in_flight
    assert bool(node.consecutive_failures) is blamed
    assert bool(driver.gateway.recovery.shards) is blamed
    assert (node.latency_us != learnt) is blamed


def test_a_request_that_cannot_begin_is_refused_before_half_of_its_time_is_over() -> None:
    """From there on a refusal costs a part of its worth, though nothing was sent."""
    driver = gateway_driver.Driver(gateway_driver.settings())
    driver.pass_time(3 * gateway_driver.SEC)
    for number in range(8):  # more than the window holds
        driver.send_request(key=number)
    began = driver.now
    waits = driver.send_request(deadline_after_us=240_000, key=9)
    assert waits in driver.gateway.pending
    driver.pass_time(119_000)
    assert waits not in driver.gateway.pending and driver.now - began < 120_000
