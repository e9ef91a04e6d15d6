"""Which failures count against a node: not those that a connection or an early deadline caused."""

from __future__ import annotations

import pytest

from gaugesail.policy.events import AttemptEnded, AttemptResult

from ..support import gateway_driver


def test_a_failed_connection_does_not_count_against_a_node_that_served_a_later_request() -> None:
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


@pytest.mark.parametrize(("elapsed", "counted"), [(60_000, False), (400_000, True)])
def test_a_timeout_by_an_early_deadline_does_not_count_against_the_node(elapsed: int, counted: bool) -> None:
    """An attempt that times out sooner than a node may take says nothing about the node."""
    driver = gateway_driver.Driver(gateway_driver.settings())
    driver.pass_time(3 * gateway_driver.SEC)
    driver.send_request(deadline_after_us=elapsed)
    (send,) = driver.started
    node = driver.gateway.nodes[send.node_id]
    latency_before = list(node.latency_us)
    driver.pass_time(elapsed + 500_000)  # past its deadline and the end of a control period
    assert not driver.in_flight
    assert bool(node.consecutive_failures) is counted
    assert bool(driver.gateway.recovery.shards) is counted
    assert (node.latency_us != latency_before) is counted
