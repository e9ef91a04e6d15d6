"""The rules of the wire in one place: what may be sent and started now, and a check of what was.

``deny_attempt`` is asked as the policy wants an attempt, ``deny_first_byte`` by every transport right before
an attempt's first byte.  ``RuleMonitor`` looks at what then really happens: a violation is a fault of the
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

MAX_DRAINING_NODES = 4096  # that are remembered as draining or gone


class Denial(Enum):
    """Why an attempt must not be made, or not begin."""

    ANSWERED = "answered"  # its request has its final answer
    SECOND_COPY = "second_copy"  # another attempt is in flight
    ATTEMPTS_SPENT = "attempts_spent"
    OUT_OF_TIME = "out_of_time"
    WINDOW_OVER = "window_over"  # of deduplication, or of this gateway's quota
    CLIENT_LEFT = "client_left"


class RuleViolation(Enum):
    """What must never happen."""

    SECOND_COPY = "second_copy"  # an attempt started beside another of its request
    AFTER_ANSWER = "after_answer"
    OUT_OF_TIME = "out_of_time"
    WINDOW_OVER = "window_over"
    DRAINING_NODE = "draining_node"
    CLOSED_UNANSWERED = "closed_unanswered"  # we closed a client's connection before its request's answer


def deny_attempt(
    entry: OpenRequest | None, deadline_us: int, start_before_us: int, now_us: int
) -> Denial | None:
    """Why no attempt may be made now for a request, which is None once it is answered; None where one may.

    ``deadline_us`` is that of the attempt.  It must start before ``start_before_us``, where that is not 0.
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
    """Why the first byte of an attempt may not leave now; None where it may."""
    if attempt.ended or attempt.request_answered:
        return Denial.ANSWERED
    if 0 < attempt.start_before_us <= now_us:
        return Denial.WINDOW_OVER
    if attempt.deadline_us <= now_us:
        return Denial.OUT_OF_TIME
    if attempt.client_has_disconnected is not None and attempt.client_has_disconnected():
        return Denial.CLIENT_LEFT
    return None


class RuleMonitor:
    """Watches the attempts that start, whatever allowed them."""

    def __init__(self, drain_grace_us: int, log: Logger, trace: Trace) -> None:
        self.drain_grace_us = drain_grace_us
        self._log = log
        self._trace = trace
        self.violations: Counter[str] = Counter()
        self._started: dict[str, Attempt] = {}  # by client request id, until they end
        self._draining: dict[NodeId, int] = {}  # since when we were notified

    def update_endpoints(self, endpoints: EndpointList, now_us: int) -> None:
        """Remember which nodes a list names as draining or gone."""
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
        """Check an attempt whose first byte leaves."""
        request = attempt.client_request_id
        other = self._started.get(request)
        if other is not None and other is not attempt and not other.ended:
            self.report(RuleViolation.SECOND_COPY, request)
        if attempt.request_answered:
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
        """An attempt has its result."""
        if self._started.get(attempt.client_request_id) is attempt:
            del self._started[attempt.client_request_id]

    def report(self, violation: RuleViolation, client_request_id: str) -> None:
        """Count a violation and log the steps that led to it."""
        self.violations[f"rule_broken_{violation.value}"] += 1
        steps = "; ".join(map(str, self._trace.steps_of(client_request_id)))
        self._log.error("rule_broken", rule=violation.value, request=client_request_id, steps=steps)
