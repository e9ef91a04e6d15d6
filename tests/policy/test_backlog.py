"""What is measured of a queue and of its node: answers, how fast it drains, and the work that is left."""

from __future__ import annotations

import pytest

from gaugesail.policy.backlog import backlog_us, drained_per_s
from gaugesail.policy.drain_rate import GAIN, DrainRate
from gaugesail.policy.service_time import ServiceTime

from ..support import gateway_driver
from ..support.gateway_driver import SEC, Driver

PERIOD_S = 0.25


def test_the_mean_of_answers_follows_slowly_and_the_fastest_expires() -> None:
    service = ServiceTime()
    for elapsed_us in (100_000, 20_000):
        service.record(elapsed_us)
    assert (service.mean_us, service.fastest_us) == (90_000, 20_000)
    for _ in range(100):
        service.record(100_000)
    assert 99_000 <= service.mean_us <= 100_000 and service.fastest_us == 100_000


def test_the_drain_rate_starts_by_littles_law_and_follows_what_leaves_the_queue() -> None:
    drain = DrainRate()
    drain.record_sent(True)
    drain.end_period(PERIOD_S, False, 40.0)
    assert drain.per_s == 0.0, "the queue was empty: nothing is known of how fast it drains"
    rates = []
    for _ in range(12):
        for number in range(5):
            drain.record_sent(number < 2)
        drain.end_period(PERIOD_S, True, 40.0)
        rates.append(drain.per_s)
    assert rates[0] == 35.0 and rates == sorted(rates, reverse=True)
    assert drain.per_s == pytest.approx(20.0 + 20.0 * (1 - GAIN) ** 12)
    assert drain.beyond_reserve_per_s == pytest.approx(8.0 + 32.0 * (1 - GAIN) ** 12)


@pytest.mark.parametrize("waiting", [1, 2, 8])
def test_the_backlog_is_what_waits_over_the_rate_and_no_less_than_a_pause(waiting: int) -> None:
    driver = Driver(gateway_driver.settings(overload_window_us=0, retry_budget_window_us=0))
    number = driver.send_request()
    driver.pass_time(SEC // 10)
    driver.end_attempt((number, 0))
    node = driver.gateway.nodes[gateway_driver.node_id(0)]
    shard = driver.gateway.shards[0]
    assert drained_per_s(shard, node) == pytest.approx(40.0), "four at once, 0.1 s each"
    assert backlog_us(driver.now, shard) == 0.0
    for _ in range(4 + waiting):
        driver.send_request()
    assert backlog_us(driver.now, shard) == pytest.approx(waiting * SEC / 40)
    node.backoff_until = driver.now + 2 * SEC
    assert backlog_us(driver.now, shard) == 2 * SEC
