"""With the same time left a request gets the same answer, whatever its aim, its attempts, or its repeats."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import Enum

import pytest

from gaugesail.policy import congestion_window
from gaugesail.policy.actions import RejectRequest
from gaugesail.policy.events import AttemptResult, EndpointState, RequestReceived

from ..support import gateway_driver
from ..support.gateway_driver import SEC

CLIENT_TIME_US = 3 * SEC
AIMS_US = (30_000, 200_000, 500_000, 2_900_000, 30 * SEC)
OPERATION = {"volume_id": 7, "key": 9}
TIMES_US = (160_000, 600_000, 1_200_000, 2_000_000, CLIENT_TIME_US)
FASTEST_SHARE = 8  # the node takes 1/8 of the time that the request has; it hangs at four times that
LATEST_REFUSAL_US = 50_000  # before the end of its time


@pytest.fixture(autouse=True)
def windows_do_not_grow(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(congestion_window, "MAX_WINDOW", congestion_window.INITIAL_WINDOW)


class Kind(Enum):
    """How a request comes to wait at a full node."""

    FIRST = "a client's first try"
    MARKED = "a client's repeat, marked as one"
    UNMARKED = "a client's repeat of the same operation, not marked"
    ATTEMPTED = "a request whose attempt was lost"


@dataclass(frozen=True)
class Outcome:
    """What became of a request, in microseconds after it began to wait."""

    sent_after: int | None = None
    refused_after: int | None = None
    told: int | None = None


def driver_of(aim_us: int, kind: Kind, **changes: object) -> gateway_driver.Driver:
    default = gateway_driver.settings()
    only = replace(default.classes[0], latency_objective_us=aim_us, deadline_us=CLIENT_TIME_US)
    return gateway_driver.Driver(
        gateway_driver.settings(
            classes=(only,),
            overload_window_us=0,
            retry_budget_window_us=0,
            clients_mark_retries=kind is not Kind.UNMARKED,
            retry_after_allowed=True,
            max_retry_after_us=8 * SEC,
            **changes,
        )
    )


def wait_at_a_full_node(driver: gateway_driver.Driver, kind: Kind, left_us: int) -> int:
    """Fill the node, have a request begin to wait there with ``left_us`` left, and return its id.

    The events at the node are the same for all kinds: one attempt is lost, of a request that had one of the
    window's places, while a request that was sent later has been served.
    """
    answer_us = left_us // FASTEST_SHARE
    lost = driver.send_request(deadline_after_us=left_us + 10_000 + answer_us, **OPERATION)
    driver.pass_time(10_000)
    later = driver.send_request(deadline_after_us=60 * SEC)
    driver.pass_time(answer_us)
    driver.end_attempt((later, 0))
    while len(driver.in_flight) < 4:
        driver.send_request(deadline_after_us=60 * SEC)
    # One takes the place of the lost attempt, the other goes beside those that hang.
    for _ in range(2):
        driver.send_request(deadline_after_us=left_us - 5)
    if kind is Kind.ATTEMPTED:
        driver.end_attempt((lost, 0), AttemptResult.RESET)
        return lost
    driver.disconnect(lost)
    driver.end_attempt((lost, 0), AttemptResult.RESET)
    return driver.send_request(deadline_after_us=left_us, is_retry=kind is Kind.MARKED, **OPERATION)


def outcome(driver: gateway_driver.Driver, number: int, free_after_us: int, left_us: int) -> Outcome:
    """Let two places come free after a time, and return what becomes of a waiting request until its end."""
    sent_before = driver.attempts[number]
    began = driver.now
    node = driver.gateway.nodes[gateway_driver.node_id(0)]
    while driver.now < began + left_us and number in driver.open_requests:
        driver.pass_time(1_000)
        node.window = 4.0  # an aim may move them
        if driver.now - began == free_after_us:
            for place in [key for key in driver.in_flight if key[0] != number][:2]:
                driver.end_attempt(place)  # one for the request with less time
        if driver.attempts[number] > sent_before:
            return Outcome(sent_after=driver.now - began)
    answer = driver.answers.get(number)
    assert isinstance(answer, RejectRequest)
    return Outcome(refused_after=driver.now - began, told=answer.retry_after_us)


@pytest.mark.parametrize("left_us", TIMES_US)
def test_a_place_that_comes_free_in_its_time_is_used_for_any_aim_repeat_or_attempt(left_us: int) -> None:
    free_after_us = left_us // 3 // 1000 * 1000
    for kind in Kind:
        for aim_us in AIMS_US:
            driver = driver_of(aim_us, kind)
            first = wait_at_a_full_node(driver, kind, left_us)
            assert outcome(driver, first, free_after_us, left_us) == Outcome(sent_after=free_after_us)


@pytest.mark.parametrize("left_us", TIMES_US)
def test_a_request_that_gets_no_place_is_refused_alike_and_before_its_client_leaves(left_us: int) -> None:
    outcomes = set()
    for kind in Kind:
        for aim_us in AIMS_US:
            driver = driver_of(aim_us, kind)
            number = wait_at_a_full_node(driver, kind, left_us)
            outcomes.add(outcome(driver, number, -1, left_us))
    (refused,) = outcomes
    assert refused.refused_after is not None
    latest_start = left_us - left_us // FASTEST_SHARE
    assert latest_start - LATEST_REFUSAL_US <= refused.refused_after <= latest_start


@pytest.mark.parametrize("kind", Kind)
def test_a_request_with_less_time_than_the_fastest_answer_is_refused_at_once(kind: Kind) -> None:
    driver = driver_of(500_000, kind)
    wait_at_a_full_node(driver, kind, SEC)
    number = driver.send_request(
        deadline_after_us=SEC // FASTEST_SHARE, is_retry=kind is Kind.MARKED, **OPERATION
    )
    assert isinstance(driver.answers[number], RejectRequest)


def test_first_tries_repeats_and_attempts_at_a_returning_shard_go_by_the_time_they_have_left() -> None:
    driver = driver_of(500_000, Kind.MARKED)
    node = driver.gateway.nodes[gateway_driver.node_id(0)]
    driver.list_nodes([(0, EndpointState.GONE, 0)])
    driver.pass_time(2 * SEC)
    for number in range(20):  # turned away, so that all of them have a turn in a long recovery queue
        driver.send_request(deadline_after_us=SEC, volume_id=number, key=number + 1)
    driver.pass_time(20_000)
    assert len(driver.answers) == 20
    driver.list_nodes([(0, EndpointState.READY, 0)])
    attempted = driver.send_request(deadline_after_us=900_000, volume_id=50, key=50)
    fillers = [driver.send_request(deadline_after_us=60 * SEC, volume_id=60, key=n) for n in range(3)]
    left = random.Random(5).sample(range(200_000, 800_000, 10_000), 24)
    numbers = {
        driver.send_request(deadline_after_us=us, is_retry=n % 2 == 0, volume_id=n % 30, key=n % 30 + 1): us
        for n, us in enumerate(left)
    }
    driver.end_attempt((fillers[0], 0))
    driver.end_attempt((attempted, 0), AttemptResult.RESET)
    numbers[attempted] = 900_000
    sent_before = len(driver.started)
    while set(numbers) & set(driver.gateway.pending):
        driver.pass_time(1_000)
        node.window = 4.0
        driver.end_attempt(next(iter(driver.in_flight)))
    sent = [numbers[start.request_id] for start in driver.started[sent_before:]]
    assert sent == sorted(sent) and len(sent) >= 20


def test_one_slow_answer_does_not_keep_an_idle_node_from_further_requests() -> None:
    """Guards against refusing every request by an answer that no other one can ever correct."""
    driver = driver_of(500_000, Kind.FIRST)
    slow = driver.send_request()
    driver.pass_time(CLIENT_TIME_US - 5_000)
    driver.end_attempt((slow, 0))
    driver.pass_time(SEC)
    number = driver.send_request()
    assert driver.attempts[number] == 1


def test_an_attempt_starts_only_while_the_time_told_to_its_node_is_left() -> None:
    """An upload tells its node a time before it has waited for anything."""
    driver = driver_of(500_000, Kind.FIRST)
    for _ in range(4):
        driver.send_request(deadline_after_us=60 * SEC)
    told_us = SEC
    deadline_us = driver.now + CLIENT_TIME_US
    for number in (100, 101):
        driver.feed(
            RequestReceived(
                number, 0, deadline_us, 0, settings=driver.settings, start_before_us=deadline_us - told_us
            )
        )
    driver.pass_time(CLIENT_TIME_US - told_us - 100_000)
    driver.end_attempt(next(iter(driver.in_flight)))
    sent = driver.started[-1]
    assert sent.request_id in (100, 101) and sent.start_before_us == deadline_us - told_us
    other = 201 - sent.request_id
    driver.pass_time(100_000 + 20_000)
    assert isinstance(driver.answers[other], RejectRequest), "it may no longer start"
