"""A process that is to end serves what it can in the time that is left, and rejects the rest at once."""

from __future__ import annotations

from gaugesail.policy.events import ShutdownStarted

from ..support import gateway_driver
from ..support.gateway_driver import SEC

DEADLINE_US = 5 * SEC


def ending_driver(left_us: int) -> gateway_driver.Driver:
    """A gateway whose answers are due in ``left_us``."""
    driver = gateway_driver.Driver(gateway_driver.settings())
    driver.pass_time(3 * SEC)
    driver.feed(ShutdownStarted(driver.now + left_us))
    return driver


def test_a_request_that_can_be_served_before_the_end_is_sent() -> None:
    driver = ending_driver(150_000)
    number = driver.send_request(deadline_after_us=DEADLINE_US)
    assert [send.request_id for send in driver.started] == [number]


def test_a_request_that_comes_too_late_to_be_served_is_rejected_at_once() -> None:
    driver = ending_driver(3_000)
    number = driver.send_request(deadline_after_us=DEADLINE_US)
    assert not driver.started
    assert number not in driver.gateway.pending


def test_requests_that_wait_are_rejected_before_the_end() -> None:
    driver = gateway_driver.Driver(gateway_driver.settings())
    driver.pass_time(3 * SEC)
    numbers = [driver.send_request(deadline_after_us=DEADLINE_US) for _ in range(30)]
    waiting = [number for number in numbers if number in driver.gateway.pending]
    sent = {send.request_id for send in driver.started}
    assert sent and set(waiting) - sent
    driver.feed(ShutdownStarted(driver.now + 50_000))
    driver.pass_time(50_000)
    assert set(driver.gateway.pending) <= sent
