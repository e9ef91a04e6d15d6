"""Steps of the wall clock under a running gateway change no duration."""

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


def hanging_nodes() -> list[HangingNode]:
    return [HangingNode(shard) for shard in range(8)]


def test_requests_are_answered_in_time_after_a_step(tmp_path: Path, library: Path) -> None:
    def late(step: float) -> list[str]:
        with faulty(folder_of(tmp_path, step), library, hanging_nodes()) as gateway:
            gateway.faults.step_wall_clock(step)
            return answered_late(gateway.send_requests(1000))

    found = at_once(STEPS_S, late)
    assert not any(found.values()), found


def test_requests_in_flight_are_answered_in_time_through_steps(tmp_path: Path, library: Path) -> None:
    def late(step: float) -> list[str]:
        with faulty(folder_of(tmp_path, step), library, hanging_nodes()) as gateway:
            answers = gateway.send_requests(1500)
            time.sleep(0.3)
            gateway.faults.step_wall_clock(step)
            time.sleep(0.3)
            gateway.faults.step_wall_clock(step)  # again in the same direction
            return answered_late(answers)

    found = at_once(STEPS_S, late)
    assert not any(found.values()), found


def test_a_shutdown_ends_in_time_through_steps(tmp_path: Path, library: Path) -> None:
    def late(step: float) -> list[str]:
        with faulty(folder_of(tmp_path, step), library, hanging_nodes()) as gateway:
            answers = gateway.send_requests(1500)
            time.sleep(0.1)
            gateway.term()
            time.sleep(0.2)
            gateway.faults.step_wall_clock(step)
            found = answered_late(answers)
            ended = wait_until(lambda: gateway.process.poll() is not None, 5.0)
            return found if ended else [*found, "the process has not ended"]

    found = at_once((-DAY_S, -2.0, 2.0, HOUR_S), late)
    assert not any(found.values()), found


def served(gateway: FaultyGateway, name: str) -> int:
    answer = gateway.send_request(name, 0, 2000)
    wait_until(lambda: answer.status != 0, 2.5)
    return answer.status


def test_a_drain_notified_after_a_step_is_obeyed(tmp_path: Path, library: Path) -> None:
    def sent(step: float) -> int:
        with faulty(folder_of(tmp_path, step), library, [ServingNode(0)]) as gateway:
            assert served(gateway, "before") == 200
            gateway.faults.step_wall_clock(step)
            gateway.nodes[0].phase = "Terminating"
            gateway.discovery.changed()
            time.sleep(0.4)
            before = gateway.nodes[0].requests
            gateway.send_request("after", 0, 1000)
            time.sleep(0.3)
            return gateway.nodes[0].requests - before

    found = at_once((-HOUR_S, HOUR_S), sent)
    assert not any(found.values()), found


def test_a_watch_that_becomes_silent_after_a_step_is_reopened(tmp_path: Path, library: Path) -> None:
    def opened(step: float) -> tuple[int, bool]:
        with faulty(folder_of(tmp_path, step), library, [ServingNode(0)]) as gateway:
            calls = gateway.discovery.calls
            gateway.faults.step_wall_clock(step)
            time.sleep(0.5)
            early = gateway.discovery.calls - calls
            gateway.discovery.fall_silent()
            return early, wait_until(lambda: gateway.discovery.calls > calls, 6.0)

    found = at_once((-HOUR_S, HOUR_S), opened)
    assert set(found.values()) == {(0, True)}, found
