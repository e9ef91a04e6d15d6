"""Requests with less time than their class: only a retry's objective counts from its first request."""

from __future__ import annotations

from dataclasses import replace

import pytest

from gaugesail.policy.events import RequestReceived
from gaugesail.policy.first_requests import MAX_REMEMBERED

from ..support import gateway_driver
from ..support.gateway_driver import SEC


def driver_with_long_deadlines(marks: bool) -> gateway_driver.Driver:
    default = gateway_driver.settings()
    request_class = replace(default.classes[0], latency_objective_us=SEC, deadline_us=15 * SEC)
    driver = gateway_driver.Driver(
        gateway_driver.settings(classes=(request_class, *default.classes[1:]), clients_mark_retries=marks)
    )
    driver.pass_time(3 * SEC)
    return driver


@pytest.mark.parametrize("marks", [True, False])
def test_a_first_request_with_an_early_deadline_has_its_full_objective(marks: bool) -> None:
    driver = driver_with_long_deadlines(marks)
    number = driver.send_request(deadline_after_us=900_000)
    assert [send.request_id for send in driver.started] == [number]


def test_a_marked_retry_past_its_objective_is_rejected_at_once() -> None:
    driver = driver_with_long_deadlines(True)
    number = driver.send_request(deadline_after_us=900_000, is_retry=True)
    assert not driver.started
    assert number not in driver.gateway.pending


def request(number: int, deadline_us: int, units: float = 1.0) -> RequestReceived:
    return RequestReceived(number, 0, deadline_us, 0, units=units, volume_id=7, key=9)


def test_an_unmarked_retry_is_recognized_by_its_operation_and_time() -> None:
    recovery = driver_with_long_deadlines(False).gateway.recovery
    now, full = 100 * SEC, 15 * SEC
    assert recovery.first_received_at(now, request(1, now + full), 0, now) == now
    later = now + 2 * SEC  # the same client with the rest of its time, then one with an early deadline
    assert recovery.first_received_at(later, request(2, now + full), 0, now) == now
    assert (
        recovery.first_received_at(later, request(3, later + SEC), 0, later + SEC - full)
        == later + SEC - full
    )
    # Its deadline is later than that of the first request: it is from another client.
    assert recovery.first_received_at(later, request(4, now + full + SEC), 0, now + SEC) == later
    # Another operation, and the same operation much later.
    assert recovery.first_received_at(later, request(5, later + SEC, units=3), 0, later + SEC - full) == later
    after = later + 20 * SEC
    assert recovery.first_received_at(after, request(6, after + SEC), 0, after + SEC - full) == after


def test_a_request_like_a_served_one_is_a_first_request() -> None:
    driver = driver_with_long_deadlines(False)
    driver.send_request(volume_id=7, key=9)
    driver.pass_time(50_000)
    driver.end_attempt((1, 0))
    again = driver.send_request(deadline_after_us=900_000, volume_id=7, key=9)
    assert [send.request_id for send in driver.started if send.request_id == again] == [again]


def test_the_remembered_first_requests_are_bounded() -> None:
    recovery = driver_with_long_deadlines(False).gateway.recovery
    for number in range(MAX_REMEMBERED + 100):
        received = RequestReceived(number, 0, 200 * SEC, 0, volume_id=number, key=9)
        recovery.first_received_at(100 * SEC, received, 0, 185 * SEC)
    assert len(recovery.first_requests) == MAX_REMEMBERED
    marked = driver_with_long_deadlines(True).gateway.recovery
    marked.first_received_at(100 * SEC, request(1, 115 * SEC), 0, 100 * SEC)
    assert not marked.first_requests
