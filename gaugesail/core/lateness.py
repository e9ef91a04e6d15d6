"""What was decided after its time, and by how much: an invariant that is counted while the gateway runs.

A process that is suspended or starved decides late whatever it does; one that has the processor should not.
"""

from __future__ import annotations

from collections import Counter

from .clock import LATE_TIMER_S

LOST_AFTER_US = 500_000  # after its client's time an answer counts as lost (protocol page)
LATE_TIMER_US = round(LATE_TIMER_S * 1e6)


class Lateness:
    """Counts late final answers and late timers; ``counts`` are the counters of the log.

    ``answered_late`` and ``timers_late`` count them, ``answered_late_ms`` and ``timers_late_ms`` add up by
    how much, and ``answered_too_late`` counts the answers that no client waits for any longer.
    """

    def __init__(self, counts: Counter[str]) -> None:
        self._counts = counts
        self._most_us = 0

    def answered(self, now_us: int, deadline_us: int) -> None:
        """Note a final answer, or its begin, to a request whose client's time ends at ``deadline_us``."""
        late_us = now_us - deadline_us
        if late_us <= 0:
            return
        self._counts["answered_late"] += 1
        self._counts["answered_late_ms"] += late_us // 1000
        self._counts["answered_too_late"] += late_us > LOST_AFTER_US
        self._most_us = max(self._most_us, late_us)

    def timer_due(self, now_us: int, at_us: int) -> None:
        """Note a timer that was due at ``at_us``."""
        late_us = now_us - at_us
        if late_us > LATE_TIMER_US:
            self._counts["timers_late"] += 1
            self._counts["timers_late_ms"] += late_us // 1000

    def take_most_us(self) -> int:
        """Return by how much the latest of the answers was late since the last call, in microseconds."""
        most_us, self._most_us = self._most_us, 0
        return most_us
