"""With the same time left a request gets the same answer, whatever its aim, its attempts, or if it is a repeat."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

import pytest

from gaugesail.policy.actions import RejectRequest
from gaugesail.policy.events import AttemptResult

from ..support import gateway_driver
from ..support.gateway_driver import SEC

CLIENT_TIME_US = 3 * SEC
AIMS_US = (2_900_000, 30 * SEC)
OPERATION = {"volume_id": 7, "key": 9}
SHORT_TIMES_US = (150_000, 600_000, 1_200_000, 2_000_000)
LATEST_REFUSAL_US = 50_000  # before the end of its time


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

    The events at the node are the same for all kinds: one attempt is lost, of a request that had the window's
    last place, while a request that was sent later has been served.
    """
    lost_us = 40_000
    lost = driver.send_request(deadline_after_us=left_us + lost_us, **OPERATION)
    driver.pass_time(10_000)
    later = driver.send_request(deadline_after_us=60 * SEC)
    driver.pass_time(30_000)
    driver.end_attempt((later, 0))
    while len(driver.in_flight) < 4:
        driver.send_request(deadline_after_us=60 * SEC)
    driver.send_request(deadline_after_us=left_us - 5)  # takes the place of the lost attempt
    if kind is Kind.ATTEMPTED:
        driver.end_attempt((lost, 0), AttemptResult.RESET)
        return lost
    driver.disconnect(lost)
    driver.end_attempt((lost, 0), AttemptResult.RESET)
    return driver.send_request(deadline_after_us=left_us, is_retry=kind is Kind.MARKED, **OPERATION)


def outcome(driver: gateway_driver.Driver, number: int, free_after_us: int, left_us: int) -> Outcome:
    """Let a place come free after a time, and return what becomes of a waiting request until its end."""
    sent_before = driver.attempts[number]
    began = driver.now
    while driver.now < began + left_us and number in driver.open_requests:
        driver.pass_time(1_000)
        if driver.now - began == free_after_us:
            place = next(key for key in driver.in_flight if key[0] != number)
            driver.end_attempt(place)
        if driver.attempts[number] > sent_before:
            return Outcome(sent_after=driver.now - began)
    answer = driver.answers.get(number)
    assert isinstance(answer, RejectRequest)
    return Outcome(refused_after=driver.now - began, told=answer.retry_after_us)


@pytest.mark.parametrize("kind", Kind)
@pytest.mark.parametrize("aim_us", AIMS_US)
def test_a_request_waits_for_a_place_as_long_as_its_client_does(aim_us: int, kind: Kind) -> None:
    driver = driver_of(aim_us, kind)
    number = wait_at_a_full_node(driver, kind, CLIENT_TIME_US)
    assert outcome(driver, number, SEC, CLIENT_TIME_US) == Outcome(sent_after=SEC)


@pytest.mark.parametrize("left_us", SHORT_TIMES_US)
def test_a_repeat_or_further_attempt_with_little_time_waits_like_any_other(left_us: int) -> None:
    outcomes = set()
    for kind in Kind:
        driver = driver_of(AIMS_US[0], kind)
        number = wait_at_a_full_node(driver, kind, left_us)
        outcomes.add(outcome(driver, number, left_us // 2, left_us))
    assert outcomes == {Outcome(sent_after=left_us // 2)}


@pytest.mark.parametrize("left_us", SHORT_TIMES_US)
def test_a_request_that_gets_no_place_is_refused_alike_and_before_its_client_leaves(left_us: int) -> None:
    outcomes = set()
    for kind in Kind:
        for aim_us in AIMS_US:
            driver = driver_of(aim_us, kind)
            number = wait_at_a_full_node(driver, kind, left_us)
            result = outcome(driver, number, -1, left_us)
            outcomes.add(replace(result, told=None))
    assert len(outcomes) == 1
    (refused,) = outcomes
    assert refused.refused_after is not None
    # Its time less the margin, less the node's fastest answer of 30 ms.
    assert left_us - LATEST_REFUSAL_US - 30_000 <= refused.refused_after <= left_us - 30_000


@pytest.mark.parametrize("kind", Kind)
def test_a_request_with_less_time_than_the_fastest_answer_is_refused_at_once(kind: Kind) -> None:
    driver = driver_of(AIMS_US[0], kind)
    number = wait_at_a_full_node(driver, kind, 45_000)
    assert isinstance(driver.answers[number], RejectRequest)
