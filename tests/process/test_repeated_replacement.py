"""After the end of either process of a replacement, the one that lives serves and can be replaced."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import pytest

from ..support.faulty_process import wait_until
from ..support.ordered_writes import TIMEOUT_S, OrderedWrites, ordered_writes

REPLACEMENT_S = 6.0


def assert_replaced(writes: OrderedWrites) -> None:
    """Replace the first process by one more, in time, and let it end."""
    number = len(writes.processes)
    writes.start()
    assert wait_until(lambda: "event=listening" in writes.log(number).read_text(), REPLACEMENT_S)
    writes.processes[0].send_signal(signal.SIGTERM)
    assert wait_until(lambda: writes.processes[0].poll() is not None, TIMEOUT_S + 1.0)
    served = len(writes.served())
    assert wait_until(lambda: len(writes.served()) > served, 2.0), "the third process serves"


def test_a_replacement_is_repeated_after_the_new_process_was_killed(tmp_path: Path) -> None:
    """Guards against a name of the dead process's socket that the next one asks for ever."""
    with ordered_writes(tmp_path) as writes:
        writes.start_and_await().kill()
        time.sleep(0.3)
        assert_replaced(writes)
        writes.finish()
        assert not writes.violations()


@pytest.mark.parametrize("after_s", [0.1, 0.3, 0.45, 0.6, 0.9])
def test_a_replacement_is_repeated_after_an_end_at_any_step(tmp_path: Path, after_s: float) -> None:
    with ordered_writes(tmp_path) as writes:
        killed = writes.start()
        time.sleep(after_s)
        killed.kill()
        killed.wait()
        assert_replaced(writes)
        writes.finish()
        assert not writes.violations()


@pytest.mark.parametrize("after_s", [0.3, 0.6, 0.9])
def test_a_process_that_stands_still_amid_a_replacement_goes_on(tmp_path: Path, after_s: float) -> None:
    with ordered_writes(tmp_path) as writes:
        writes.start()
        time.sleep(after_s)
        for which in (1, 0):
            writes.processes[which].send_signal(signal.SIGSTOP)
            time.sleep(0.5)
            writes.processes[which].send_signal(signal.SIGCONT)
        writes.await_serving(1)
        writes.processes[0].send_signal(signal.SIGTERM)
        assert wait_until(lambda: writes.processes[0].poll() is not None, TIMEOUT_S + 1.0)
        served = len(writes.served())
        assert wait_until(lambda: len(writes.served()) > served, 2.0)
        writes.finish()
        assert not writes.violations()
