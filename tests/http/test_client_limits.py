"""A new connection keeps its place by the time of the clients that wait for one."""

from __future__ import annotations

from dataclasses import replace

import pytest

from gaugesail.http.client_limits import closing_priority, unused_connection_us

from ..support import gateway_driver


@pytest.mark.parametrize(("shortest_s", "unused_s"), [(0.3, 0.15), (1.0, 0.5), (3.0, 1.5), (10.0, 2.0)])
def test_a_silent_connection_goes_while_those_that_wait_have_as_much_time_left(
    shortest_s: float, unused_s: float
) -> None:
    short, long = gateway_driver.CLASSES[:2]
    settings = gateway_driver.settings(
        classes=(replace(short, deadline_us=int(shortest_s * 1e6)), replace(long, deadline_us=60_000_000))
    )
    unused_us = unused_connection_us(settings)
    assert unused_us == unused_s * 1e6
    assert closing_priority(unused_us - 1, 0, unused_us) == 0
    assert closing_priority(unused_us, 0, unused_us) > closing_priority(2_000_000, 1, unused_us) > 0
