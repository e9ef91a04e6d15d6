"""The measured processor time is that of all threads, and finer than the system's clock ticks."""

from __future__ import annotations

import os
import threading
import time

import pytest

from gaugesail.measure.processor_time import cpu_seconds


def busy_until(process_time_s: float) -> None:
    while time.process_time() < process_time_s:
        pass


def test_the_processor_time_includes_threads_that_have_ended() -> None:
    before_s = cpu_seconds(os.getpid())
    thread = threading.Thread(target=busy_until, args=(time.process_time() + 0.015,))
    thread.start()
    thread.join()
    used_s = cpu_seconds(os.getpid()) - before_s
    assert 0.015 <= used_s == pytest.approx(0.015, abs=0.5)


def test_a_process_that_does_not_exist_is_an_error() -> None:
    with pytest.raises(OSError):
        cpu_seconds(2**22)
