"""Every step of a shutdown is due before the earliest SIGKILL, with time to read the last answers."""

from __future__ import annotations

import pytest

from gaugesail.shutdown_schedule import ShutdownSchedule

HELD_UP_US = 150_000  # for which a process may stand still between its clock and its writes


@pytest.mark.parametrize(("deadline_s", "kill_s"), [
    (0.05, 0.75), (0.3, 1.0), (0.8, 1.5), (1.5, 2.2), (3.0, 3.7), (5.0, 3.7), (10.0, 3.7),
])  # fmt: skip
def test_the_steps_are_in_order_before_the_earliest_kill(deadline_s: float, kill_s: float) -> None:
    steps = ShutdownSchedule.for_deadline(int(deadline_s * 1e6))
    assert steps.kill_us == kill_s * 1e6
    assert 400_000 < steps.stop_accepting_us <= steps.close_idle_us <= steps.migrated_us
    assert steps.migrated_us <= steps.answers_due_us < steps.end_us < steps.last_us < steps.kill_us
    assert steps.answers_due_us + HELD_UP_US < steps.kill_us


def test_a_long_deadline_leaves_the_steps_their_whole_time() -> None:
    steps = ShutdownSchedule.for_deadline(5_000_000)
    assert (steps.stop_accepting_us, steps.close_idle_us) == (450_000, 700_000)
    assert steps.migrated_us > 2_400_000 and steps.answers_due_us == 3_450_000
