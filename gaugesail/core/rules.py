"""The rules for sending attempts, and a monitor that detects violations.

``deny_attempt`` is checked when the policy starts an attempt, ``deny_first_byte`` by every transport right
before an attempt's first byte.  ``RuleMonitor`` checks what is really sent: a violation is a fault of the
gateway, is counted as ``rule_broken_<rule>`` and logged with the steps of its request.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum

from gaugesail.policy.events import EndpointList, EndpointListKind, EndpointState
from gaugesail.policy.settings import NodeId

from .ports import Attempt, Logger
from .request_table import OpenRequest
from .trace import Trace

MAX_DRAINING_NODES = 4096  # remembered as draining or removed; the oldest is dropped


class Denial(Enum):
    """Why an attempt must not be started, or its first byte not be sent."""

    ANSWERED = "answered"  # the request is closed or unknown, or the attempt has ended
    SECOND_COPY = "second_copy"  # another attempt of the request is in flight
    ATTEMPTS_SPENT = "attempts_spent"
    OUT_OF_TIME = "out_of_time"
    WINDOW_OVER = "window_over"  # of deduplication at the nodes, or of this gateway's quota
    CLIENT_LEFT = "client_left"
    ID_IN_USE = "id_in_use"  # it may have run for a client that left, or at the sibling process


class RuleViolation(Enum):
    """A broken rule; the value is its name in the log."""

    SECOND_COPY = "second_copy"  # started while another attempt of the request was in flight
    AFTER_ANSWER = "after_answer"  # started after its request was closed
    OUT_OF_TIME = "out_of_time"
    WINDOW_OVER = "window_over"
    DRAINING_NODE = "draining_node"
    CLOSED_UNANSWERED = "closed_unanswered"  # the gateway closed a client's connection before the answer


def deny_attempt(
    entry: OpenRequest | None, deadline_us: int, start_before_us: int, now_us: int
) -> Denial | None:
    """Return why no attempt may be started now, or None if one may.

    ``entry`` is None if the request is no longer open, ``deadline_us`` is the attempt's deadline, and
    ``start_before_us`` is the latest start of the attempt; 0 means no limit.
    """
    if entry is None:
        return Denial.ANSWERED
    if entry.in_flight is not None:
        return Denial.SECOND_COPY
    if entry.attempts >= entry.request.settings.max_attempts:
        return Denial.ATTEMPTS_SPENT
    if deadline_us <= now_us:
        return Denial.OUT_OF_TIME
    return Denial.WINDOW_OVER if 0 < start_before_us <= now_us else None


def deny_first_byte(attempt: Attempt, now_us: int) -> Denial | None:
    """Return why the first byte of an attempt may not be sent now, or None if it may."""
    if attempt.ended or attempt.request_closed:
        return Denial.ANSWERED
    if 0 < attempt.start_before_us <= now_us:
        return Denial.WINDOW_OVER
    if attempt.deadline_us <= now_us:
        return Denial.OUT_OF_TIME
    if attempt.client_has_disconnected is not None and attempt.client_has_disconnected():
        return Denial.CLIENT_LEFT
    return None


class RuleMonitor:
    """Checks every attempt that starts, independently of the checks that permitted it."""

    def __init__(self, drain_grace_us: int, log: Logger, trace: Trace) -> None:
        self.drain_grace_us = drain_grace_us
        self._log = log
        self._trace = trace
        self.violations: Counter[str] = Counter()
        self._started: dict[str, Attempt] = {}  # by client request id, until the attempt ends
        self._draining: dict[NodeId, int] = {}  # when the gateway was notified

    def update_endpoints(self, endpoints: EndpointList, now_us: int) -> None:
        """Record which nodes an endpoint list names as draining or removed."""
        if endpoints.kind is EndpointListKind.FULL:
            listed = {endpoint.node_id for endpoint in endpoints.endpoints}
            self._draining = {node: since for node, since in self._draining.items() if node in listed}
        for endpoint in endpoints.endpoints:
            if endpoint.state is EndpointState.READY:
                self._draining.pop(endpoint.node_id, None)
            else:
                self._draining.setdefault(endpoint.node_id, now_us)
        while len(self._draining) > MAX_DRAINING_NODES:
            del self._draining[next(iter(self._draining))]

    def attempt_started(self, attempt: Attempt, now_us: int) -> None:
        """Check an attempt whose first byte is being sent."""
        request = attempt.client_request_id
        other = self._started.get(request)
        if other is not None and other is not attempt and not other.ended:
            self.report(RuleViolation.SECOND_COPY, request)
        if attempt.request_closed:
            self.report(RuleViolation.AFTER_ANSWER, request)
        if attempt.deadline_us <= now_us:
            self.report(RuleViolation.OUT_OF_TIME, request)
        if 0 < attempt.start_before_us <= now_us:
            self.report(RuleViolation.WINDOW_OVER, request)
        draining_since = self._draining.get(attempt.node_id)
        if draining_since is not None and now_us - draining_since > self.drain_grace_us:
            self.report(RuleViolation.DRAINING_NODE, request)
        self._started[request] = attempt

    def attempt_ended(self, attempt: Attempt) -> None:
        """Forget an attempt that has ended."""
        if self._started.get(attempt.client_request_id) is attempt:
            del self._started[attempt.client_request_id]

    def report(self, violation: RuleViolation, client_request_id: str) -> None:
        """Count a violation and log the steps that led to it."""
        self.violations[f"rule_broken_{violation.value}"] += 1
        steps = "; ".join(map(str, self._trace.steps_of(client_request_id)))
        self._log.error("rule_broken", rule=violation.value, request=client_request_id, steps=steps)
