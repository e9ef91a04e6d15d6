"""Retry-After follows from the work that is left, whatever the longest time that clients may be told."""

from __future__ import annotations

import pytest

from gaugesail.policy.actions import RejectRequest
from gaugesail.policy.events import EndpointListKind, EndpointState

from ..support import gateway_driver
from ..support.gateway_driver import SEC, Driver

LONGEST_US = (2 * SEC, 8 * SEC, 60 * SEC)
ANSWER_US = 100_000
WINDOW = 4
LONGEST_SPREAD = 1.25  # times the time until the backlog is worked off
LIST_DELAY_US = 700_000


def driver_of(longest_us: int, window: float = WINDOW) -> Driver:
    """A gateway whose node takes 100 ms for each request and has ``window`` of them at once."""
    driver = Driver(
        gateway_driver.settings(
            retry_after_allowed=True, max_retry_after_us=longest_us,
            overload_window_us=0, retry_budget_window_us=0,
        )
    )  # fmt: skip
    for _ in range(20):
        driver.send_request()
        driver.pass_time(ANSWER_US)
        driver.end_attempt(next(iter(driver.in_flight)))
    driver.gateway.nodes[gateway_driver.node_id(0)].window = window
    return driver


def told(driver: Driver, number: int) -> int:
    answer = driver.answers[number]
    assert isinstance(answer, RejectRequest)
    return answer.retry_after_us


def told_behind(longest_us: int, waiting: int) -> int:
    """What a request with too little time is told behind so many others."""
    driver = driver_of(longest_us)
    for _ in range(WINDOW + waiting):
        driver.send_request(deadline_after_us=60 * SEC)
    number = driver.send_request(deadline_after_us=90_000)
    return told(driver, number)


@pytest.mark.parametrize("waiting", [0, 3, 10, 40])
def test_the_same_backlog_is_told_alike_whatever_the_longest_time(waiting: int) -> None:
    times = {told_behind(longest_us, waiting) for longest_us in LONGEST_US}
    assert len(times) == 1
    backlog_us = (waiting + 1) * ANSWER_US / WINDOW
    assert backlog_us * 0.99 <= times.pop() <= backlog_us * LONGEST_SPREAD


def test_nobody_is_told_more_than_the_longest_time() -> None:
    assert 0.8 * 400_000 <= told_behind(400_000, 40) <= 400_000


def test_a_request_that_comes_too_late_at_an_idle_node_may_come_again_at_once() -> None:
    for longest_us in LONGEST_US:
        driver = driver_of(longest_us)
        assert told(driver, driver.send_request(deadline_after_us=25_000)) <= 10_000


def test_the_requests_of_a_burst_are_told_one_turn_after_another() -> None:
    driver = driver_of(8 * SEC)
    numbers = [driver.send_request() for _ in range(120)]
    driver.pass_time(12_000)
    times = [told(driver, number) for number in numbers if number in driver.answers]
    assert len(times) > 60
    # 40 a second: the last one's turn is so much later than that of the first one.
    assert max(times) - min(times) >= 0.7 * len(times) / 40 * SEC
    assert max(times) <= LONGEST_SPREAD * len(numbers) / 40 * SEC


def test_a_node_that_has_answered_nothing_is_taken_to_need_as_long_as_it_has() -> None:
    times = set()
    for longest_us in LONGEST_US:
        driver = Driver(gateway_driver.settings(retry_after_allowed=True, max_retry_after_us=longest_us))
        for _ in range(WINDOW):
            driver.send_request(deadline_after_us=60 * SEC)
        driver.pass_time(200_000)
        number = driver.send_request(deadline_after_us=25_000)
        times.add(told(driver, number))
    assert len(times) == 1 and 50_000 * 0.99 <= times.pop() <= 50_000 * LONGEST_SPREAD


@pytest.mark.parametrize("away_us", [300_000, 1_500_000])
def test_an_outage_is_told_to_last_as_long_again_as_it_has(away_us: int) -> None:
    times = set()
    for longest_us in LONGEST_US:
        driver = driver_of(longest_us)
        driver.list_nodes([(1, EndpointState.READY, 0)], EndpointListKind.FULL)
        driver.pass_time(away_us)
        number = driver.send_request(deadline_after_us=25_000)
        times.add(told(driver, number))
    assert len(times) == 1 and away_us // 2 <= times.pop() <= away_us


def test_an_outage_is_told_by_the_usual_delay_of_the_list() -> None:
    times = set()
    for longest_us in LONGEST_US:
        driver = driver_of(longest_us)
        driver.gateway.recovery.retry_after.record_list_delay(LIST_DELAY_US)
        driver.list_nodes([(1, EndpointState.READY, 0)], EndpointListKind.FULL)
        driver.pass_time(5 * SEC)
        number = driver.send_request(deadline_after_us=25_000)
        times.add(told(driver, number))
    assert len(times) == 1 and LIST_DELAY_US // 2 <= times.pop() <= LIST_DELAY_US
