"""When a process may be killed after SIGTERM, by the protocol page.

The judges go by this, and not by ``gaugesail.shutdown_schedule``, whose reading of the page they check.
"""

from __future__ import annotations

MAX_COUNTED_DEADLINE_S = 3.0  # a longer deadline counts as this
KILL_DELAY_S = 0.7  # also: what came later than this after SIGTERM must be answered before a SIGKILL


def earliest_kill_s(longest_deadline_s: float) -> float:
    """Return how long after SIGTERM a SIGKILL may follow at the earliest, in seconds."""
    return min(longest_deadline_s, MAX_COUNTED_DEADLINE_S) + KILL_DELAY_S
