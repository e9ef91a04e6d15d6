"""Clients that wait for less than their class's time: that is no sign that part of it is gone."""

from __future__ import annotations

from dataclasses import replace

import pytest

from gaugesail.policy.events import RequestReceived
from gaugesail.policy.first_requests import MAX_REMEMBERED

from ..support import gateway_driver
from ..support.gateway_driver import SEC


def rigged(marks: bool) -> gateway_driver.Driver:
    given = gateway_driver.settings()
    request_class = replace(given.classes[0], latency_objective_us=SEC, deadline_us=15 * SEC)
    driver = gateway_driver.Driver(
        gateway_driver.settings(classes=(request_class, *given.classes[1:]), clients_mark_retries=marks)
    )
    driver.pass_time(3 * SEC)
    return driver


@pytest.mark.parametrize("marks", [True, False])
def test_a_first_try_that_gives_up_early_has_its_whole_aim(marks: bool) -> None:
    driver = rigged(marks)
    asked = driver.send_request(deadline_after_us=900_000)
    assert [send.request_id for send in driver.started] == [asked]


def test_a_marked_repeat_whose_aim_is_over_is_refused_at_once() -> None:
    driver = rigged(True)
    asked = driver.send_request(deadline_after_us=900_000, is_retry=True)
    assert not driver.started
    assert asked not in driver.gateway.pending


def ask(number: int, deadline_us: int, units: float = 1.0) -> RequestReceived:
    return RequestReceived(number, 0, deadline_us, 0, units=units, volume_id=7, key=9)


def test_where_clients_do_not_mark_a_repeat_is_what_was_asked_for_within_its_time() -> None:
    recovery = rigged(False).gateway.recovery
    now, whole = 100 * SEC, 15 * SEC
    assert recovery.first_received_at(now, ask(1, now + whole), 0, now) == now
    later = now + 2 * SEC  # the same client, with what is left of its time; and one that gives up early
    assert recovery.first_received_at(later, ask(2, now + whole), 0, now) == now
    assert (
        recovery.first_received_at(later, ask(3, later + SEC), 0, later + SEC - whole) == later + SEC - whole
    )
    # It would give up later than the time of the first allows: another client's.
    assert recovery.first_received_at(later, ask(4, now + whole + SEC), 0, now + SEC) == later
    # Something else, and the same long after.
    assert recovery.first_received_at(later, ask(5, later + SEC, units=3), 0, later + SEC - whole) == later
    after = later + 20 * SEC
    assert recovery.first_received_at(after, ask(6, after + SEC), 0, after + SEC - whole) == after


def test_what_was_served_is_asked_for_anew() -> None:
    driver = rigged(False)
    driver.send_request(volume_id=7, key=9)
    driver.pass_time(50_000)
    driver.end_attempt((1, 0))
    again = driver.send_request(deadline_after_us=900_000, volume_id=7, key=9)
    assert [send.request_id for send in driver.started if send.request_id == again] == [again]


def test_what_is_remembered_of_requests_is_bounded() -> None:
    recovery = rigged(False).gateway.recovery
    for number in range(MAX_REMEMBERED + 100):
        request = RequestReceived(number, 0, 200 * SEC, 0, volume_id=number, key=9)
        recovery.first_received_at(100 * SEC, request, 0, 185 * SEC)
    assert len(recovery.first_requests) == MAX_REMEMBERED
    marked = rigged(True).gateway.recovery
    marked.first_received_at(100 * SEC, ask(1, 115 * SEC), 0, 100 * SEC)
    assert not marked.first_requests
