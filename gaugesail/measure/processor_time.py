"""The processor time of a process, as the system tells it."""

from __future__ import annotations

import time

SCHEDULED_TIME = 2  # the kernel's number for the time that a process was scheduled, in a CPU clock's id


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used so far, in seconds.

    All its threads are included, also those that have ended.  Raises OSError if there is no such process.
    """
    clock_id = (~pid << 3) | SCHEDULED_TIME  # as clock_getcpuclockid(3) makes it on Linux
    return time.clock_gettime_ns(clock_id) / 1e9
