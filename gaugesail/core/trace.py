"""The latest steps of requests and nodes, in memory, for whoever has to find out what happened.

Nothing is logged for a single request; this is what answers the question afterwards.  It is read at the
second address (``GET /trace`` and ``GET /trace/ID``), and a violation of a rule logs its request's steps.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import NamedTuple

MAX_STEPS = 4096


class Step(Enum):
    """What may happen to a request, an attempt or a node; the value is the word that the trace shows."""

    RECEIVED = "taken"
    NOT_ADMITTED = "turned_away"
    SENT = "sent"  # handed to the transport
    DENIED = "denied"  # not sent, or not started; the detail is the reason
    STARTED = "started"  # its first byte leaves
    ENDED = "ended"  # the attempt; the detail is its result
    STREAMED = "streamed"  # its answer is passed on from its first bytes
    ANSWERED = "answered"  # the final answer
    CLIENT_LEFT = "client_left"
    LISTED = "listed"  # a node; the detail is its state


class TraceEntry(NamedTuple):
    """One step.  ``at_us`` is the gateway's clock, ``subject`` a client's request id or a node's id."""

    at_us: int
    subject: str
    step: Step
    detail: str

    def __str__(self) -> str:
        return f"{self.at_us / 1e6:.6f} {self.subject} {self.step.value} {self.detail}".rstrip()


class Trace:
    """A ring of steps."""

    def __init__(self) -> None:
        self._entries: deque[TraceEntry] = deque(maxlen=MAX_STEPS)

    def note(self, now_us: int, subject: str, step: Step, detail: str = "") -> None:
        """Enter a step; the oldest goes."""
        self._entries.append(TraceEntry(now_us, subject, step, detail))

    def steps_of(self, subject: str) -> list[TraceEntry]:
        """All that is known of one request or node, the oldest first."""
        return [entry for entry in self._entries if entry.subject == subject]

    def latest(self, count: int) -> list[TraceEntry]:
        """The latest steps, the oldest first."""
        return list(self._entries)[-count:]
