"""The token buckets of limited volumes when the settings change."""

from __future__ import annotations

from dataclasses import replace

from gaugesail.policy.actions import RejectRequest
from gaugesail.policy.rate_limits import RateLimits

from ..support import gateway_driver
from ..support.gateway_driver import SEC

CAPPED = gateway_driver.PLANS[1]


def test_a_raised_limit_does_not_count_for_the_time_before() -> None:
    """Guards against units at the new rate for the time since the last request."""
    settings = gateway_driver.settings()
    limits = RateLimits(settings, 0)
    bucket = limits.open_bucket(0, CAPPED, 5, 1.0)
    limits.refill(SEC // 10, bucket, 1.0, 1)
    assert bucket.units == 2.0, "0.1 s at 20 units a second"
    raised = replace(CAPPED, limit=60.0, limit_burst=90.0)
    limits.update_settings(SEC // 5, replace(settings, plans=(gateway_driver.PLANS[0], raised)))
    limits.refill(SEC * 3 // 10, bucket, 1.0, 1)
    assert bucket.units == 4.0 + 6.0, "0.2 s at 20, then 0.1 s at 60"


def test_a_request_that_its_limit_has_no_units_for_in_its_time_is_refused_at_once_with_the_time() -> None:
    driver = gateway_driver.Driver(
        gateway_driver.settings(retry_after_allowed=True, max_retry_after_us=60 * SEC, overload_window_us=0)
    )
    driver.pass_time(SEC)  # the volume has 20 units, and gets 20 a second
    numbers = [driver.send_request(plan_index=1, units=5.0, volume_id=5) for _ in range(12)]
    for key in list(driver.in_flight):
        driver.end_attempt(key)
    driver.pass_time(15_000)
    answers = [driver.answers[number] for number in numbers if number in driver.answers]
    told = [answer.retry_after_us for answer in answers if isinstance(answer, RejectRequest)]
    # Four at once, and three more in the second that the clients wait; the next one in 1 s at the earliest.
    assert len(told) == 5 and all(0.95 * SEC <= us <= 2.5 * SEC for us in told)
    for _ in range(20):
        driver.pass_time(50_000)
        for key in list(driver.in_flight):
            driver.end_attempt(key)
    assert len(driver.started) == 7 and not driver.open_requests
