"""Writes of an item keep their order while two processes of a gateway run, whatever happens to either."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import pytest

from ..support.faulty_process import wait_until
from ..support.ordered_writes import TIMEOUT_S, OrderedWrites, ordered_writes

ENOUGH_SERVED = 10


def assert_order(writes: OrderedWrites, may_lose: bool = False) -> None:
    writes.finish()
    assert len(writes.served()) >= ENOUGH_SERVED
    assert not writes.violations()
    assert may_lose or not writes.late()


def test_writes_of_an_item_keep_their_order_while_a_process_is_replaced(tmp_path: Path) -> None:
    """Guards against an older write that overtakes a newer one which the other process has sent."""
    with ordered_writes(tmp_path) as writes:
        old = writes.processes[0]
        writes.start_and_await()
        writes.add_clients(4)
        time.sleep(0.3)
        old.send_signal(signal.SIGTERM)
        assert wait_until(lambda: old.poll() is not None, TIMEOUT_S + 1.0)
        time.sleep(0.5)
        assert_order(writes)


@pytest.mark.parametrize("which", [0, 1])
def test_order_holds_as_either_process_is_killed(tmp_path: Path, which: int) -> None:
    with ordered_writes(tmp_path) as writes:
        writes.start_and_await()
        writes.add_clients(4)
        time.sleep(0.5)
        writes.processes[which].kill()
        time.sleep(1.0)
        assert_order(writes, may_lose=True)


@pytest.mark.parametrize("which", [0, 1])
@pytest.mark.parametrize("stop_s", [0.15, 1.0])
def test_order_holds_as_either_process_stands_still(tmp_path: Path, which: int, stop_s: float) -> None:
    with ordered_writes(tmp_path) as writes:
        writes.start_and_await()
        writes.add_clients(4)
        time.sleep(0.3)
        writes.processes[which].send_signal(signal.SIGSTOP)
        time.sleep(stop_s)
        writes.processes[which].send_signal(signal.SIGCONT)
        time.sleep(0.3)
        writes.processes[0].send_signal(signal.SIGTERM)
        time.sleep(1.0)
        assert_order(writes)


def test_order_holds_as_a_process_starts_beside_one_that_ends(tmp_path: Path) -> None:
    """Guards against the overlap of a restart, in which no listening socket is handed over."""
    with ordered_writes(tmp_path) as writes:
        writes.add_clients(10, items=1)  # a queue that the ending process still has to serve
        time.sleep(0.3)
        writes.processes[0].send_signal(signal.SIGTERM)
        writes.start()
        writes.await_serving(1)
        writes.add_clients(4)
        time.sleep(1.0)
        assert_order(writes, may_lose=True)


def test_a_process_that_never_answers_again_holds_ordered_writes_back_in_time(tmp_path: Path) -> None:
    with ordered_writes(tmp_path) as writes:
        writes.start_and_await()
        writes.processes[0].send_signal(signal.SIGSTOP)
        writes.add_clients(4)
        time.sleep(TIMEOUT_S)
        writes.processes[0].kill()
        time.sleep(1.0)
        assert_order(writes, may_lose=True)
        with_answer = [write for write in writes.writes.values() if write.answered]
        assert all(write.answered - write.sent < TIMEOUT_S for write in with_answer)
