"""The records of an engine's work: counters for the log, and steps of requests for the trace."""

from __future__ import annotations

from collections import Counter

from .lateness import Lateness
from .ports import Clock, Logger
from .trace import Step, Trace


class Activity:
    """The counters, the trace and the log of one engine."""

    def __init__(self, clock: Clock, log: Logger) -> None:
        self.counts: Counter[str] = Counter()
        self.lateness = Lateness(self.counts)
        self.trace = Trace()
        self.log = log
        self._now_us = clock.now_us
        self._note = self.trace.note

    def note(self, subject: str, step: Step, detail: str = "") -> None:
        """Add a step of a request or a node to the trace."""
        self._note(self._now_us(), subject, step, detail)

    def answered(self, deadline_us: int) -> None:
        """Note a final answer to a request whose client's time ends at ``deadline_us``."""
        self.lateness.answered(self._now_us(), deadline_us)

    def fault(self, event: str, error: Exception) -> None:
        """Log an exception that was caught."""
        self.log.error(event, error=repr(error))
