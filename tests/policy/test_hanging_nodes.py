"""When a node hangs, and how long requests wait there, follow from its answers and from the clients' time."""

from __future__ import annotations

from dataclasses import replace

import pytest

from gaugesail.policy import congestion_window
from gaugesail.policy.actions import RejectRequest
from gaugesail.policy.events import AttemptResult, EndpointListKind, EndpointState

from ..support import gateway_driver
from ..support.gateway_driver import SEC, Driver

AIMS_US = (30_000, 500_000, 30 * SEC)
CLIENT_TIME_US = 3 * SEC


@pytest.fixture(autouse=True)
def windows_do_not_grow(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(congestion_window, "MAX_WINDOW", congestion_window.INITIAL_WINDOW)


def driver_of(aim_us: int) -> Driver:
    only = replace(gateway_driver.CLASSES[0], latency_objective_us=aim_us, deadline_us=CLIENT_TIME_US)
    return Driver(
        gateway_driver.settings(
            classes=(only,), overload_window_us=0, retry_budget_window_us=0, max_attempts=4
        )
    )


def serve(driver: Driver, answer_us: int) -> None:
    """Have the node serve one request."""
    number = driver.send_request()
    driver.pass_time(answer_us)
    driver.end_attempt((number, 0))


@pytest.mark.parametrize("aim_us", AIMS_US)
def test_an_attempt_has_half_of_the_clients_time_while_another_may_follow(aim_us: int) -> None:
    driver = driver_of(aim_us)
    first = driver.send_request()
    half_us = driver.started[-1].timeout_us
    assert CLIENT_TIME_US // 2 - 20_000 <= half_us <= CLIENT_TIME_US // 2
    driver.pass_time(half_us)
    driver.end_attempt((first, 0), AttemptResult.TIMEOUT)
    driver.pass_time(100_000)
    assert driver.started[-1].timeout_us == 0, "the request may need longer: it has all the time that is left"


@pytest.mark.parametrize("aim_us", AIMS_US)
def test_a_node_that_needs_over_half_of_the_time_serves_from_its_second_request_on(aim_us: int) -> None:
    """Guards against a slow node that serves nothing, as each of its attempts is given up half way."""
    driver = driver_of(aim_us)
    first = driver.send_request()
    half_us = driver.started[-1].timeout_us
    driver.pass_time(half_us)
    driver.end_attempt((first, 0), AttemptResult.TIMEOUT)
    driver.disconnect(first)
    driver.pass_time(3 * SEC)
    for _ in range(3):
        number = driver.send_request()
        assert driver.started[-1].timeout_us == 0, "its node may need longer"
        driver.pass_time(round(0.7 * CLIENT_TIME_US))
        driver.end_attempt((number, 0))
        driver.pass_time(30 * SEC)  # it may be paced


@pytest.mark.parametrize("aim_us", AIMS_US)
def test_a_lost_answer_costs_only_the_next_request_its_second_attempt(aim_us: int) -> None:
    driver = driver_of(aim_us)
    first = driver.send_request()
    driver.pass_time(driver.started[-1].timeout_us)
    driver.end_attempt((first, 0), AttemptResult.TIMEOUT)
    driver.pass_time(100_000)
    driver.end_attempt((first, 1))
    driver.pass_time(30 * SEC)
    driver.send_request()
    assert driver.started[-1].timeout_us > 0, "its node has answered since"


@pytest.mark.parametrize("aim_us", AIMS_US)
def test_the_last_attempt_has_all_the_time_that_is_left(aim_us: int) -> None:
    driver = driver_of(aim_us)
    number = driver.send_request()
    for attempt in range(3):
        assert driver.started[-1].timeout_us
        driver.end_attempt((number, attempt), AttemptResult.ERROR)
        driver.pass_time(20_000)
    assert driver.attempts[number] == 4 and driver.started[-1].timeout_us == 0


@pytest.mark.parametrize("aim_us", AIMS_US)
def test_an_attempt_at_a_node_that_takes_as_long_is_not_given_up(aim_us: int) -> None:
    driver = driver_of(aim_us)
    serve(driver, 400_000)  # it hangs after 1.6 s, and half of the time is 1.5 s
    driver.pass_time(2 * SEC)
    driver.send_request()
    assert driver.started[-1].timeout_us == 0


@pytest.mark.parametrize("aim_us", AIMS_US)
def test_a_node_hangs_at_four_times_its_mean_answer(aim_us: int) -> None:
    driver = driver_of(aim_us)
    serve(driver, 100_000)
    for _ in range(5):
        driver.send_request()
    driver.pass_time(390_000)
    assert len(driver.in_flight) == 4
    driver.pass_time(30_000)
    assert len(driver.in_flight) == 5, "one trial beside the stuck attempts"


@pytest.mark.parametrize("aim_us", AIMS_US)
def test_the_backoff_of_a_node_is_that_of_the_page_on_storms(aim_us: int) -> None:
    driver = driver_of(aim_us)
    node = driver.gateway.nodes[gateway_driver.node_id(0)]
    for expected_us in (50_000, 100_000, 200_000, 400_000, 800_000, 1_600_000, 2 * SEC, 2 * SEC):
        number = driver.send_request()
        driver.pass_time(20_000)
        driver.end_attempt((number, 0), AttemptResult.REJECTED)
        assert 0.75 * expected_us <= node.backoff_until - driver.now <= 1.25 * expected_us
        driver.disconnect(number)
        driver.pass_time(node.backoff_until - driver.now)


@pytest.mark.parametrize("aim_us", AIMS_US)
def test_requests_wait_for_a_shard_that_is_away_while_it_may_return_in_their_time(aim_us: int) -> None:
    driver = driver_of(aim_us)
    driver.list_nodes([(1, EndpointState.READY, 0)], EndpointListKind.FULL)  # the node of shard 0 is gone
    driver.pass_time(SEC)
    short, long = driver.send_request(deadline_after_us=900_000), driver.send_request()
    driver.pass_time(20_000)
    assert isinstance(driver.answers[short], RejectRequest), "away for longer than its client still waits"
    assert long not in driver.answers
    driver.list_nodes([(0, EndpointState.READY, 0), (1, EndpointState.READY, 0)], EndpointListKind.FULL)
    assert long in {send.request_id for send in driver.started}
