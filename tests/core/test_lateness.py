"""What is decided after its time is counted, with by how much."""

from __future__ import annotations

from collections import Counter

import pytest

from gaugesail.core.lateness import LATE_TIMER_US, LOST_AFTER_US, Lateness

from ..support.live_head import gateway_rig

DEADLINE_US = 1_000_000


@pytest.mark.parametrize(("late_us", "counts"), [
    (-1, {}), (0, {}),
    (2_500, {"answered_late": 1, "answered_late_ms": 2}),
    (LOST_AFTER_US + 1, {"answered_late": 1, "answered_late_ms": 500, "answered_too_late": 1}),
])  # fmt: skip
def test_late_answers_are_counted(late_us: int, counts: dict[str, int]) -> None:
    found: Counter[str] = Counter()
    Lateness(found).answered(DEADLINE_US + late_us, DEADLINE_US)
    assert +found == counts


def test_late_timers_are_counted_and_the_latest_answer_is_known_once() -> None:
    found: Counter[str] = Counter()
    lateness = Lateness(found)
    for late_us in (0, LATE_TIMER_US, LATE_TIMER_US + 10_000):
        lateness.timer_due(DEADLINE_US + late_us, DEADLINE_US)
    for late_us in (5_000, 70_000, 6_000):
        lateness.answered(DEADLINE_US + late_us, DEADLINE_US)
    assert (found["timers_late"], found["timers_late_ms"]) == (1, 60)
    assert [lateness.take_most_us(), lateness.take_most_us()] == [70_000, 0]


def test_a_process_that_stood_still_counts_its_late_answer_and_a_running_one_none() -> None:
    for stall_s, expected in ((0.0, 0), (4.0, 1)):
        with gateway_rig() as rig:
            client = rig.client()
            client.send(rig.request("a"))
            rig.nodes[0].wait_for("a")
            rig.leap(stall_s)
            assert rig.until(lambda client=client: bool(client.read()), 4.0)  # type: ignore[misc]
            counts = rig.gateway.engine.counts
            assert counts["answered_too_late"] == counts["answered_late"] == expected
