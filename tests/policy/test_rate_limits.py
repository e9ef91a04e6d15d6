"""The token buckets of limited volumes when the settings change."""

from __future__ import annotations

from dataclasses import replace

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
