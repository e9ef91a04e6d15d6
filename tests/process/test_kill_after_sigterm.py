"""A process that gets SIGTERM has answered all that it has read by the earliest time of a SIGKILL."""

from __future__ import annotations

from pathlib import Path

import pytest

from ..support.faulty_process import at_once, folder_of
from ..support.kept_clients import HANGING, SERVING, EndingGateway, spread_rests_s

DEADLINES_S = (0.3, 0.8, 1.5, 3.0, 5.0, 10.0)
CLIENTS = 24  # for each node
REPORTED_CLIENTS = 36  # that the old process held at its replacement


def end_with_kept_clients(gateway: EndingGateway, with_successor: bool) -> list[str]:
    """End a gateway whose clients send up to the kill; returns what is wrong."""
    for shard in (HANGING, SERVING):
        gateway.add_clients(spread_rests_s(shard, CLIENTS, gateway.kill_s), shard)
    if with_successor:
        gateway.gateway.start_and_await()
    took_s = gateway.end_old()
    problems = gateway.lost() + gateway.refused_too_soon()
    if gateway.old.returncode != 0:
        problems.append(f"it was killed {took_s:.3f} s after SIGTERM, with {gateway.old.returncode}")
    return problems


@pytest.mark.parametrize("with_successor", [False, True])
def test_requests_up_to_the_kill_are_answered_whatever_the_longest_deadline(
    tmp_path: Path, with_successor: bool
) -> None:
    """The requests at the node that hangs may not run again, so that only the shutdown ends them."""

    def run(deadline_s: float) -> list[str]:
        gateway = EndingGateway(folder_of(tmp_path, deadline_s), deadline_s, "fragile")
        try:
            return end_with_kept_clients(gateway, with_successor)
        finally:
            gateway.close()

    problems = {deadline_s: found for deadline_s, found in at_once(DEADLINES_S, run).items() if found}
    assert not problems


def test_a_write_of_5_s_read_2_s_after_sigterm_has_its_answer_before_the_kill(tmp_path: Path) -> None:
    """Guards against a replaced process that reckons with a kill after a deadline of over 3 s."""
    gateway = EndingGateway(tmp_path, 5.0)
    try:
        rests_s = [1.7 + 0.5 * number / REPORTED_CLIENTS for number in range(REPORTED_CLIENTS)]
        gateway.add_clients(rests_s, HANGING)
        gateway.gateway.start_and_await()
        gateway.end_old()
        assert gateway.exchanges and not gateway.lost()
        assert gateway.old.returncode == 0
    finally:
        gateway.close()
