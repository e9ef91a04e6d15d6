"""The rules in one place: what is denied, what the monitor finds without a guard, and the trace."""

from __future__ import annotations

from typing import Any

import pytest

from gaugesail.core.ports import Attempt
from gaugesail.core.rules import MOST_DRAINING, Breach, Denial, RuleMonitor, deny_send, deny_start
from gaugesail.core.trace import MOST_STEPS, Step, Trace
from gaugesail.http.bricks import BrickPool
from gaugesail.policy.events import Endpoint, EndpointList, EndpointListKind, EndpointState
from tests.support.live_head import turned

NOW, GRACE_US = 10_000_000, 250_000


class Log:
    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def error(self, event: str, **fields: Any) -> None:
        self.lines.append({"event": event, **fields})

    info = warning = error


def attempt(number: int = 0, deadline_us: int = NOW + 1000, before_us: int = 0) -> Attempt:
    return Attempt(1, number, b"n", 0, "r", None, NOW, deadline_us, before_us=before_us)


def test_each_reason_to_deny_another_attempt() -> None:
    def denied(**changed: Any) -> Denial | None:
        given = {"answered": False, "out": False, "attempts": 0, "most": 2, "deadline_us": NOW + 1,
                 "before_us": 0, "now_us": NOW} | changed  # fmt: skip
        return deny_send(**given)

    assert denied() is None and denied(before_us=NOW + 1) is None
    assert denied(answered=True) is Denial.ANSWERED
    assert denied(out=True) is Denial.SECOND_COPY
    assert denied(attempts=2) is Denial.ATTEMPTS_SPENT
    assert denied(deadline_us=NOW) is Denial.OUT_OF_TIME
    assert denied(before_us=NOW) is Denial.WINDOW_OVER


def test_each_reason_to_deny_a_first_byte() -> None:
    over, left = attempt(), attempt()
    over.over, left.left = True, lambda: True
    assert deny_start(attempt(), NOW) is None
    assert deny_start(over, NOW) is Denial.ANSWERED
    assert deny_start(attempt(deadline_us=NOW), NOW) is Denial.OUT_OF_TIME
    assert deny_start(attempt(before_us=NOW), NOW) is Denial.WINDOW_OVER
    assert deny_start(left, NOW) is Denial.CLIENT_LEFT


def found(*begun: Attempt, told: int | None = None) -> list[str]:
    """The breaches that the monitor finds as these attempts begin."""
    log, trace = Log(), Trace()
    monitor = RuleMonitor(GRACE_US, log, trace)
    trace.note(NOW, "r", Step.TAKEN)
    if told is not None:
        line = Endpoint(b"n", 0, EndpointState.DRAINING)
        monitor.listed(EndpointList(EndpointListKind.CHANGES, (line,)), told)
    for one in begun:
        monitor.began(one, NOW)
    assert all("taken" in line["steps"] for line in log.lines)
    assert sum(monitor.broken.values()) == len(log.lines)
    return [line["rule"] for line in log.lines]


def test_the_monitor_finds_each_breach() -> None:
    over, ended = attempt(), attempt()
    over.over, ended.done = True, True
    assert found(attempt()) == found(ended, attempt(1)) == found(attempt(), told=NOW - GRACE_US) == []
    assert found(attempt(), attempt(1)) == [Breach.SECOND_COPY.value]
    assert found(over) == [Breach.AFTER_ANSWER.value]
    assert found(attempt(deadline_us=NOW)) == [Breach.OUT_OF_TIME.value]
    assert found(attempt(before_us=NOW)) == [Breach.WINDOW_OVER.value]
    assert found(attempt(), told=NOW - GRACE_US - 1) == [Breach.DRAINING_NODE.value]


def test_a_node_that_is_ready_again_or_no_longer_listed_is_forgotten() -> None:
    log = Log()
    monitor = RuleMonitor(GRACE_US, log, Trace())
    for mode in (EndpointState.DRAINING, EndpointState.READY):
        news = EndpointList(EndpointListKind.CHANGES, (Endpoint(b"n", 0, mode),))
        monitor.listed(news, NOW - 10 * GRACE_US)
    monitor.began(attempt(), NOW)
    assert not log.lines


def test_nodes_that_come_and_go_by_the_thousand_are_forgotten() -> None:
    monitor = RuleMonitor(GRACE_US, Log(), Trace())
    for number in range(MOST_DRAINING + 10):
        line = Endpoint(b"%d" % number, 0, EndpointState.GONE)
        monitor.listed(EndpointList(EndpointListKind.CHANGES, (line,)), NOW)
    assert len(monitor._draining) == MOST_DRAINING


def test_a_guard_that_is_taken_away_is_found_by_the_monitor(monkeypatch: pytest.MonkeyPatch) -> None:
    """A brick that drains is sent to all the same: by the module, and by a pool that does not look."""
    with turned() as rig:
        gateway = rig.head.engine._gateway
        monkeypatch.setattr(gateway, "_retire", lambda node: None)
        monkeypatch.setattr(BrickPool, "_usable", lambda self, node: self._lines.get(node))
        monkeypatch.setattr(BrickPool, "_stop", lambda self, node: None)
        rig.watch.send(rig.drain(rig.bricks[0], 2))
        rig.pass_time(0.4)
        rig.client().send(rig.ask("late"))
        rig.bricks[0].request("late")
        assert rig.head.engine.rules.broken == {"rule_broken_draining_node": 1}
        assert "rule_broken" in rig.log.getvalue() and "late started" in rig.log.getvalue()


def test_a_connection_closed_with_its_request_in_hand_is_found() -> None:
    with turned() as rig:
        rig.client().send(rig.ask("held"))
        rig.bricks[0].request("held")
        next(iter(rig.head.front._open)).close()
        assert rig.head.engine.rules.broken == {"rule_broken_closed_unanswered": 1}


def test_the_trace_tells_a_request_from_its_arrival_to_its_answer() -> None:
    with turned() as rig:
        client = rig.client()
        client.send(rig.ask("one"))
        rig.bricks[0].answer("one")
        client.take(b"\r\n\r\nok")
        lines = rig.head.operations.trace("one").splitlines()
        assert [line.split()[2] for line in lines] == ["taken", "sent", "started", "ended", "answered"]
        assert rig.head.operations.trace("b0").endswith("listed ready")
        assert rig.head.operations.trace(None).count("\n") >= 5
        assert rig.head.operations.trace("none") == "nothing is known"


def test_the_trace_is_bounded() -> None:
    trace = Trace()
    for number in range(MOST_STEPS + 10):
        trace.note(number, "r", Step.TAKEN)
    assert len(trace.of("r")) == MOST_STEPS and trace.latest(1)[0].at_us == MOST_STEPS + 9
