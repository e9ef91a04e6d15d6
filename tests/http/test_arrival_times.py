"""When input arrived is known at the next process too."""

from __future__ import annotations

from gaugesail.http.arrival_times import RESOLUTION_US, ArrivalTimes


def test_marks_of_unread_input_move_to_the_next_process() -> None:
    """Guards against a pipelined request whose time begins anew where it is read."""
    here, there = ArrivalTimes(), ArrivalTimes()
    for number in (1, 2, 3):
        here.record(100 * number, 0, RESOLUTION_US * number)
    there.restore(here.unread(150))
    there.record(400 - 150, 0, RESOLUTION_US * 50)
    later_us = RESOLUTION_US * 99
    assert there.last_read(50, later_us) == RESOLUTION_US * 2
    assert there.last_read(51, later_us) == RESOLUTION_US * 3
    assert there.last_read(250, later_us) == RESOLUTION_US * 50
    assert there.last_read(251, later_us) == RESOLUTION_US * 50
