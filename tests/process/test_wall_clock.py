"""The wall clock is stepped under a running head: every span is one of real time all the same."""

from __future__ import annotations

import time
from pathlib import Path

from tests.support.faulty_process import (
    FaultyGateway,
    HangingNode,
    ServingNode,
    answered_late,
    at_once,
    faulty,
    folder_of,
    wait_until,
)

HOUR_S, DAY_S = 3600.0, 86400.0
STEPS_S = (-HOUR_S, -3.0, -2.0, 3.0, HOUR_S)


def hanging() -> list[HangingNode]:
    return [HangingNode(shard) for shard in range(8)]


def test_requests_are_answered_in_time_whatever_step_came_before(tmp_path: Path, library: Path) -> None:
    def late(step: float) -> list[str]:
        with faulty(folder_of(tmp_path, step), library, hanging()) as head:
            head.faults.step_wall_clock(step)
            return answered_late(head.ask_all(1000))

    found = at_once(STEPS_S, late)
    assert not any(found.values()), found


def test_requests_in_flight_are_answered_in_time_through_steps(tmp_path: Path, library: Path) -> None:
    def late(step: float) -> list[str]:
        with faulty(folder_of(tmp_path, step), library, hanging()) as head:
            answers = head.ask_all(1500)
            time.sleep(0.3)
            head.faults.step_wall_clock(step)
            time.sleep(0.3)
            head.faults.step_wall_clock(step)  # once more, the same way
            return answered_late(answers)

    found = at_once(STEPS_S, late)
    assert not any(found.values()), found


def test_a_stop_ends_in_time_through_steps(tmp_path: Path, library: Path) -> None:
    def late(step: float) -> list[str]:
        with faulty(folder_of(tmp_path, step), library, hanging()) as head:
            answers = head.ask_all(1500)
            time.sleep(0.1)
            head.term()
            time.sleep(0.2)
            head.faults.step_wall_clock(step)
            found = answered_late(answers)
            ended = wait_until(lambda: head.process.poll() is not None, 5.0)
            return found if ended else [*found, "the process has not ended"]

    found = at_once((-DAY_S, -2.0, 2.0, HOUR_S), late)
    assert not any(found.values()), found


def served(head: FaultyGateway, name: str) -> int:
    answer = head.ask(name, 0, 2000)
    wait_until(lambda: answer.status != 0, 2.5)
    return answer.status


def test_a_drain_told_after_a_step_is_kept(tmp_path: Path, library: Path) -> None:
    def sent(step: float) -> int:
        with faulty(folder_of(tmp_path, step), library, [ServingNode(0)]) as head:
            assert served(head, "before") == 200
            head.faults.step_wall_clock(step)
            head.nodes[0].phase = "Terminating"
            head.discovery.changed()
            time.sleep(0.4)
            before = head.nodes[0].requests
            head.ask("after", 0, 1000)
            time.sleep(0.3)
            return head.nodes[0].requests - before

    found = at_once((-HOUR_S, HOUR_S), sent)
    assert not any(found.values()), found


def test_a_watch_that_falls_silent_after_a_step_is_opened_anew(tmp_path: Path, library: Path) -> None:
    def opened(step: float) -> tuple[int, bool]:
        with faulty(folder_of(tmp_path, step), library, [ServingNode(0)]) as head:
            calls = head.discovery.calls
            head.faults.step_wall_clock(step)
            time.sleep(0.5)
            early = head.discovery.calls - calls
            head.discovery.fall_silent()
            return early, wait_until(lambda: head.discovery.calls > calls, 6.0)

    found = at_once((-HOUR_S, HOUR_S), opened)
    assert set(found.values()) == {(0, True)}, found
