"""The rules of the wire in one place: what may be sent and started now, and a check of what was.

``deny_send`` is asked as the module wants an attempt, ``deny_start`` by every transport right before an
attempt's first byte.  ``RuleMonitor`` looks at what then really happens: a breach is a fault of ours, is
counted as ``rule_broken_<rule>`` and logged with the steps of its request.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum

from gaugesail.policy.events import EndpointList, EndpointListKind, EndpointState
from gaugesail.policy.settings import NodeId

from .ports import Attempt, Logger
from .trace import Trace

MOST_DRAINING = 4096  # nodes that are remembered as told to drain or to be gone


class Denial(Enum):
    """Why an attempt must not be made, or not begin."""

    ANSWERED = "answered"  # its request has its final answer
    SECOND_COPY = "second_copy"  # another attempt is out
    ATTEMPTS_SPENT = "attempts_spent"
    OUT_OF_TIME = "out_of_time"
    WINDOW_OVER = "window_over"  # of a repeat, or of what this head may spend
    CLIENT_LEFT = "client_left"


class Breach(Enum):
    """What must never happen."""

    SECOND_COPY = "second_copy"  # an attempt began beside another of its request
    AFTER_ANSWER = "after_answer"
    OUT_OF_TIME = "out_of_time"
    WINDOW_OVER = "window_over"
    DRAINING_NODE = "draining_node"
    CLOSED_UNANSWERED = "closed_unanswered"  # a client's connection, by us, with its request in hand


def deny_send(
    answered: bool, out: bool, attempts: int, most: int, deadline_us: int, before_us: int, now_us: int
) -> Denial | None:
    """Whether another attempt may be made now for a request; None where it may.  Times are microseconds."""
    if answered:
        return Denial.ANSWERED
    if out:
        return Denial.SECOND_COPY
    if attempts >= most:
        return Denial.ATTEMPTS_SPENT
    if deadline_us <= now_us:
        return Denial.OUT_OF_TIME
    return Denial.WINDOW_OVER if 0 < before_us <= now_us else None


def deny_start(attempt: Attempt, now_us: int) -> Denial | None:
    """Whether the first byte of an attempt may leave now; None where it may."""
    if attempt.done or attempt.over:
        return Denial.ANSWERED
    if 0 < attempt.before_us <= now_us:
        return Denial.WINDOW_OVER
    if attempt.deadline_us <= now_us:
        return Denial.OUT_OF_TIME
    return Denial.CLIENT_LEFT if attempt.left is not None and attempt.left() else None


class RuleMonitor:
    """Watches the attempts that begin, whatever let them."""

    def __init__(self, grace_us: int, log: Logger, trace: Trace) -> None:
        self.grace_us, self._log, self._trace = grace_us, log, trace
        self.broken: Counter[str] = Counter()
        self._begun: dict[str, Attempt] = {}  # by request, until they end
        self._draining: dict[NodeId, int] = {}  # since when we were told

    def listed(self, news: EndpointList, now_us: int) -> None:
        """What a list tells to drain, or to be gone."""
        if news.kind is EndpointListKind.FULL:
            listed = {line.node_id for line in news.endpoints}
            self._draining = {node: at for node, at in self._draining.items() if node in listed}
        for line in news.endpoints:
            if line.state is EndpointState.READY:
                self._draining.pop(line.node_id, None)
            else:
                self._draining.setdefault(line.node_id, now_us)
        while len(self._draining) > MOST_DRAINING:  # on a long day nodes come and go by the thousand
            del self._draining[next(iter(self._draining))]

    def began(self, attempt: Attempt, now_us: int) -> None:
        """The first byte of an attempt leaves."""
        other = self._begun.get(attempt.name)
        if other is not None and other is not attempt and not other.done:
            self.broke(Breach.SECOND_COPY, attempt.name)
        if attempt.over:
            self.broke(Breach.AFTER_ANSWER, attempt.name)
        if attempt.deadline_us <= now_us:
            self.broke(Breach.OUT_OF_TIME, attempt.name)
        if 0 < attempt.before_us <= now_us:
            self.broke(Breach.WINDOW_OVER, attempt.name)
        told = self._draining.get(attempt.node)
        if told is not None and now_us - told > self.grace_us:
            self.broke(Breach.DRAINING_NODE, attempt.name)
        self._begun[attempt.name] = attempt

    def ended(self, attempt: Attempt) -> None:
        """An attempt has its outcome."""
        if self._begun.get(attempt.name) is attempt:
            del self._begun[attempt.name]

    def broke(self, breach: Breach, request: str) -> None:
        """Count a breach and log the steps that led to it."""
        self.broken[f"rule_broken_{breach.value}"] += 1
        steps = "; ".join(map(str, self._trace.of(request)))
        self._log.error("rule_broken", rule=breach.value, request=request, steps=steps)
