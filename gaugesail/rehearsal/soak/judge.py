"""The invariants of a soak, judged by what reaches the nodes and what the clients are told.

Nothing that a head says of itself is believed.  All times are seconds of the harness's monotonic clock.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from ...net import hung_up
from . import plan
from .plan import RequestKind

LEFT_S = 0.1  # after its client has closed, no attempt of a request may begin
TOLD_SLACK_S = 0.15  # of the time that a node is told
TOLD_LATEST_S = 6.0  # a change counts as told at the latest, once discovery could be reached
LATE_S = 0.5  # beyond its time an answer is lost, up to there it only earns nothing
HARNESS_S = 0.15  # of our own: between an event and its being seen here


class Rule(Enum):
    """What is never to happen."""

    LOST = "lost"
    LATE = "late"
    TWO_ANSWERS = "two_answers"
    WRONG_ANSWER = "wrong_answer"
    TWO_OUT = "two_out"
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    RAN_TWICE = "ran_twice"
    AFTER_CLIENT_LEFT = "after_client_left"
    TOO_MUCH_TIME_TOLD = "too_much_time_told"
    DRAIN = "drain"
    COLD_NODE = "cold_node"
    UNKNOWN_REQUEST = "unknown_request"
    CRASH = "crash"
    NOT_ENDED = "not_ended"
    NOT_READY = "not_ready"
    RAISED = "raised"


@dataclass(slots=True, frozen=True)
class Violation:
    """One breach."""

    rule: Rule
    at: float
    head: str
    detail: str
    troubles: tuple[str, ...] = ()  # that were on


@dataclass(slots=True, eq=False)
class Arrival:
    """One attempt, as it reached a node whole."""

    at: float
    node: str
    connection: Any
    ended: bool = False  # answered in full, or turned away unrun
    may_have_run: bool = True


@dataclass(slots=True, eq=False)
class Asked:
    """One request of a client."""

    name: str
    head: str
    kind: RequestKind
    at: float
    due_s: float
    answered: int = 0
    left_at: float | None = None  # its client closed
    given_up: bool = False  # it was entered as lost, or excused
    excused: bool = False  # its head's process was killed, or a fault broke its connection
    arrivals: list[Arrival] = field(default_factory=list)


class Exemptions:
    """Spans in which a head could not do what it owes: it was stopped or its calls were made to fail."""

    def __init__(self) -> None:
        self._stopped: dict[str, list[tuple[float, float]]] = {}
        self._broken: dict[str, float] = {}

    def stops(self, head: str, now: float) -> None:
        """The process stands still from now on (SIGSTOP)."""
        self._stopped.setdefault(head, []).append((now, float("inf")))

    def goes_on(self, head: str, now: float) -> None:
        """It runs again."""
        spans = self._stopped.get(head, [])
        if spans and spans[-1][1] == float("inf"):
            spans[-1] = spans[-1][0], now

    def standstill(self, head: str, since: float, until: float) -> float:
        """For how long of a span it stood still."""
        spans = self._stopped.get(head, ())
        return sum(max(0.0, min(end, until) - max(begin, since)) for begin, end in spans)

    def break_connections(self, head: str, until: float) -> None:
        """Calls on its connections fail as though the other side had gone."""
        self._broken[head] = max(until, self._broken.get(head, 0.0))

    def connections_break(self, head: str, since: float) -> bool:
        return since <= self._broken.get(head, -1.0)


class SoakJudge:
    """Counts, and keeps each breach."""

    def __init__(self, seconds: Callable[[], float], troubles: Callable[[], tuple[str, ...]]) -> None:
        self.now, self._troubles = seconds, troubles
        self.exemptions = Exemptions()
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()
        self._open: dict[str, Asked] = {}
        self._recent: deque[Asked] = deque()

    def broke(self, rule: Rule, head: str, detail: str) -> None:
        """Enter a breach."""
        self.violations.append(Violation(rule, self.now(), head, detail, self._troubles()))

    # ---- clients ----

    def asked(self, name: str, head: str, kind: RequestKind, due_s: float) -> Asked:
        """A client is about to write a request."""
        asked = self._open[name] = Asked(name, head, kind, self.now(), due_s)
        self._recent.append(asked)
        self.counts["asked"] += 1
        return asked

    def answered(self, asked: Asked, status: int, body: bytes) -> None:
        """A whole answer came."""
        if asked.given_up:
            self.counts["answered_when_lost"] += 1
            return
        asked.answered += 1
        if asked.answered > 1:
            self.broke(Rule.TWO_ANSWERS, asked.head, asked.name)
            return
        took, stood = self.now() - asked.at, self.exemptions.standstill(asked.head, asked.at, self.now())
        if took > asked.due_s + LATE_S + HARNESS_S + stood:
            self.broke(Rule.LATE, asked.head, f"{asked.name}: {took:.2f} of {asked.due_s:.2f} s, {status}")
        if status == 200 and body != asked.name.encode():
            self.broke(Rule.WRONG_ANSWER, asked.head, f"{asked.name} got {body[:40]!r}")
        how = "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        self.counts[how] += 1
        ran = any(one.may_have_run for one in asked.arrivals)
        if how == "refused" and ran and asked.kind.effect == "fragile":
            self.broke(Rule.RAN_TWICE, asked.head, f"{asked.name} was refused after it may have run")

    def left(self, asked: Asked) -> None:
        """Its client has closed the connection."""
        asked.left_at = self.now()
        self.counts["left"] += 1

    def unanswered(self, asked: Asked, why: str) -> None:
        """Its connection ended with no answer, or its time is long over."""
        if asked.answered or asked.given_up or asked.left_at is not None:
            return
        asked.given_up = True
        if asked.excused or self.exemptions.connections_break(asked.head, asked.at):
            self.counts["excused"] += 1
        else:
            now = self.now()
            arrived = [f"{one.node} {one.at - asked.at:+.3f}" for one in asked.arrivals]
            old = f"{asked.name} ({asked.kind.name}) {now - asked.at:.3f} s old"
            self.broke(Rule.LOST, asked.head, f"{old}: {why}; arrivals {arrived}")

    def sweep(self) -> None:
        """Requests whose time is long over must have their answer."""
        now = self.now()
        while self._recent and now - self._recent[0].at > 12.0:
            self._open.pop(self._recent.popleft().name, None)
        for asked in self._recent:
            stood = self.exemptions.standstill(asked.head, asked.at, now)
            if now - asked.at > asked.due_s + LATE_S + HARNESS_S + stood:
                self.unanswered(asked, "no answer in its time")

    # ---- nodes ----

    def arrived(self, name: str, node: str, connection: Any, told_ms: int, late_s: float) -> Asked | None:
        """An attempt has come whole; ``late_s`` at most it had waited unread."""
        asked, now = self._open.get(name), self.now()
        if asked is None:
            self.broke(Rule.UNKNOWN_REQUEST, "", f"{name} at {node}")
            return None
        self._check_attempt(asked, now, told_ms, late_s)
        asked.arrivals.append(Arrival(now, node, connection))
        self.counts["attempts"] += 1
        return asked

    def _check_attempt(self, asked: Asked, now: float, told_ms: int, late_s: float) -> None:
        head, earlier = asked.head, asked.arrivals
        stood = self.exemptions.standstill(head, asked.at, now) + late_s
        if len(earlier) >= plan.MAX_ATTEMPTS:
            self.broke(Rule.TOO_MANY_ATTEMPTS, head, f"{asked.name}: {len(earlier) + 1}")
        out = [one for one in earlier if not one.ended and not hung_up(one.connection.link)]
        if any(one.connection.link.connected for one in out):
            self.broke(Rule.TWO_OUT, head, asked.name)
        risky = [one for one in earlier if one.may_have_run]
        if risky and asked.kind.effect == "fragile":
            self.broke(Rule.RAN_TWICE, head, f"{asked.name} again after {now - risky[0].at:.3f} s")
        window = plan.KEYED_WINDOW_S + HARNESS_S + stood
        if risky and asked.kind.effect == "dedup" and now - risky[0].at > window:
            self.broke(Rule.RAN_TWICE, head, f"{asked.name} after its window: {now - risky[0].at:.3f} s")
        if asked.left_at is not None and now - asked.left_at > LEFT_S + HARNESS_S + stood:
            self.broke(Rule.AFTER_CLIENT_LEFT, head, f"{asked.name}: {now - asked.left_at:.3f} s after")
        left_ms = (asked.at + asked.due_s - now + TOLD_SLACK_S + stood) * 1000
        if told_ms > left_ms + HARNESS_S * 1000:
            self.broke(Rule.TOO_MUCH_TIME_TOLD, head, f"{asked.name}: {told_ms} of {left_ms:.0f} ms")

    def sent_to_draining(self, asked: Asked, node: str, since_told: float) -> None:
        """An attempt came so long after its head was told that the node drains or is gone."""
        stood = self.exemptions.standstill(asked.head, self.now() - since_told, self.now())
        if self.exemptions.connections_break(asked.head, self.now() - since_told):
            stood += TOLD_LATEST_S  # what was written to it may have been lost with its connection
        if since_told > plan.DRAIN_GRACE_S + HARNESS_S + stood:
            self.broke(Rule.DRAIN, asked.head, f"{asked.name} at {node}, told {since_told:.3f} s before")


class ColdNodeWindow:
    """What all heads together send to a node that has started: N calls and the chance that rule 4 leaves."""

    def __init__(self, started: float) -> None:
        self._started = started
        self._arrivals: deque[tuple[float, float]] = deque()  # when, requests of mean work

    def share(self, now: float) -> float:
        """Of its power, what it has by the slowest ramp that the settings allow."""
        age = min(plan.WARM_AFTER_S, now - self._started)
        return plan.COLD_SHARE + (1 - plan.COLD_SHARE) * age / plan.WARM_AFTER_S

    def serving_s(self, now: float, units: float) -> float:
        """How long it works on so many units: its power is what the settings' figure stands for."""
        full = plan.COLD_UNITS / plan.FALL_MULTIPLE / plan.COLD_SHARE / plan.FALL_S
        return units / (full * self.share(now))

    def take(self, now: float, units: float) -> float:
        """Enter an arrival; by how many requests the window is over what is allowed."""
        self._arrivals.append((now, units / plan.MEAN_UNITS))
        while self._arrivals[0][0] < now - plan.FALL_S:
            self._arrivals.popleft()
        if now - self._started >= plan.WARM_AFTER_S:
            return 0.0
        calls = plan.COLD_UNITS / plan.MEAN_UNITS * self.share(now) / plan.COLD_SHARE
        chance = 2 * calls**0.5 + 2 if calls >= 30 else 3 * calls**0.5 + 3
        return sum(work for _, work in self._arrivals) - float(calls + chance)
