"""The latest steps of requests and nodes, kept in memory for diagnosis.

Single requests are not logged.  The trace is served at the management address (``GET /trace`` and
``GET /trace/ID``), and a rule violation logs the steps of its request.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import NamedTuple

MAX_STEPS = 4096


class Step(Enum):
    """A step of a request, an attempt or a node; the value is shown in the trace."""

    RECEIVED = "taken"
    NOT_ADMITTED = "turned_away"
    SENT = "sent"  # passed to the node transport
    DENIED = "denied"  # not sent, or not started; the detail is the reason
    STARTED = "started"  # its first byte is being sent
    ANSWER_BEGUN = "answer_begun"  # its first byte; the detail is the attempt's number
    ENDED = "ended"  # an attempt; the detail is its result
    STREAMED = "streamed"  # its answer is being streamed
    ANSWERED = "answered"  # the final answer
    CLIENT_LEFT = "client_left"
    UPLOAD = "upload"  # a large request that is written to its node as it comes; the detail is its state
    LISTED = "listed"  # a node; the detail is its state


class TraceEntry(NamedTuple):
    """One step: ``at_us`` is a time of the gateway's clock, ``subject`` a client request id or a node id."""

    at_us: int
    subject: str
    step: Step
    detail: str

    def __str__(self) -> str:
        return f"{self.at_us / 1e6:.6f} {self.subject} {self.step.value} {self.detail}".rstrip()


class Trace:
    """A ring buffer of MAX_STEPS steps."""

    def __init__(self) -> None:
        self._entries: deque[TraceEntry] = deque(maxlen=MAX_STEPS)

    def note(self, now_us: int, subject: str, step: Step, detail: str = "") -> None:
        """Add a step; when the buffer is full, the oldest is dropped."""
        self._entries.append(TraceEntry(now_us, subject, step, detail))

    def steps_of(self, subject: str) -> list[TraceEntry]:
        """The recorded steps of one request or node, oldest first."""
        return [entry for entry in self._entries if entry.subject == subject]

    def latest(self, count: int) -> list[TraceEntry]:
        """The latest ``count`` steps, oldest first."""
        return list(self._entries)[-count:]
