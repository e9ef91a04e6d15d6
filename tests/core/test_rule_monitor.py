"""The rules in one place: what is denied, what the monitor finds without a guard, and the trace."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from gaugesail.core.ports import Attempt, ClientRequest
from gaugesail.core.request_table import OpenRequest
from gaugesail.core.rules import (
    MAX_DRAINING_NODES,
    Denial,
    RuleMonitor,
    RuleViolation,
    deny_attempt,
    deny_first_byte,
)
from gaugesail.core.trace import MAX_STEPS, Step, Trace
from gaugesail.http.node_pool import NodePool
from gaugesail.policy.events import Endpoint, EndpointList, EndpointListKind, EndpointState
from gaugesail.policy.settings import Plan, RequestClass, Settings
from tests.support.live_head import gateway_rig

NOW, GRACE_US = 10_000_000, 250_000


class Log:
    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def error(self, event: str, **fields: Any) -> None:
        self.lines.append({"event": event, **fields})

    info = warning = error


def attempt(number: int = 0, deadline_us: int = NOW + 1000, before_us: int = 0) -> Attempt:
    return Attempt(1, number, b"n", 0, "r", None, NOW, deadline_us, start_before_us=before_us)


def test_each_reason_to_deny_another_attempt() -> None:
    settings = Settings((RequestClass("read", 500_000, 3_000_000),), (Plan("basic"),), max_attempts=2)
    reply: Any = None
    entry = OpenRequest(1, ClientRequest("r", settings, 0, 1_000_000, None), reply, NOW + 1000)
    in_flight = replace(entry, in_flight=attempt())
    assert deny_attempt(entry, NOW + 1, 0, NOW) is None
    assert deny_attempt(entry, NOW + 1, NOW + 1, NOW) is None
    assert deny_attempt(replace(entry, attempts=1), NOW + 1, 0, NOW) is None
    assert deny_attempt(None, NOW + 1, 0, NOW) is Denial.ANSWERED
    assert deny_attempt(in_flight, NOW + 1, 0, NOW) is Denial.SECOND_COPY
    assert deny_attempt(replace(entry, attempts=2), NOW + 1, 0, NOW) is Denial.ATTEMPTS_SPENT
    assert deny_attempt(entry, NOW, 0, NOW) is Denial.OUT_OF_TIME
    assert deny_attempt(entry, NOW + 1, NOW, NOW) is Denial.WINDOW_OVER


def test_each_reason_to_deny_a_first_byte() -> None:
    over, left = attempt(), attempt()
    over.request_answered, left.client_is_gone = True, lambda: True
    assert deny_first_byte(attempt(), NOW) is None
    assert deny_first_byte(over, NOW) is Denial.ANSWERED
    assert deny_first_byte(attempt(deadline_us=NOW), NOW) is Denial.OUT_OF_TIME
    assert deny_first_byte(attempt(before_us=NOW), NOW) is Denial.WINDOW_OVER
    assert deny_first_byte(left, NOW) is Denial.CLIENT_LEFT


def found(*begun: Attempt, told: int | None = None) -> list[str]:
    """The breaches that the monitor finds as these attempts begin."""
    log, trace = Log(), Trace()
    monitor = RuleMonitor(GRACE_US, log, trace)
    trace.note(NOW, "r", Step.RECEIVED)
    if told is not None:
        line = Endpoint(b"n", 0, EndpointState.DRAINING)
        monitor.update_endpoints(EndpointList(EndpointListKind.CHANGES, (line,)), told)
    for one in begun:
        monitor.attempt_started(one, NOW)
    assert all("taken" in line["steps"] for line in log.lines)
    assert sum(monitor.violations.values()) == len(log.lines)
    return [line["rule"] for line in log.lines]


def test_the_monitor_finds_each_breach() -> None:
    over, ended = attempt(), attempt()
    over.request_answered, ended.ended = True, True
    assert found(attempt()) == found(ended, attempt(1)) == found(attempt(), told=NOW - GRACE_US) == []
    assert found(attempt(), attempt(1)) == [RuleViolation.SECOND_COPY.value]
    assert found(over) == [RuleViolation.AFTER_ANSWER.value]
    assert found(attempt(deadline_us=NOW)) == [RuleViolation.OUT_OF_TIME.value]
    assert found(attempt(before_us=NOW)) == [RuleViolation.WINDOW_OVER.value]
    assert found(attempt(), told=NOW - GRACE_US - 1) == [RuleViolation.DRAINING_NODE.value]


def test_a_node_that_is_ready_again_or_no_longer_listed_is_forgotten() -> None:
    log = Log()
    monitor = RuleMonitor(GRACE_US, log, Trace())
    for mode in (EndpointState.DRAINING, EndpointState.READY):
        news = EndpointList(EndpointListKind.CHANGES, (Endpoint(b"n", 0, mode),))
        monitor.update_endpoints(news, NOW - 10 * GRACE_US)
    monitor.attempt_started(attempt(), NOW)
    assert not log.lines


def test_nodes_that_come_and_go_by_the_thousand_are_forgotten() -> None:
    monitor = RuleMonitor(GRACE_US, Log(), Trace())
    for number in range(MAX_DRAINING_NODES + 10):
        line = Endpoint(b"%d" % number, 0, EndpointState.GONE)
        monitor.update_endpoints(EndpointList(EndpointListKind.CHANGES, (line,)), NOW)
    assert len(monitor._draining) == MAX_DRAINING_NODES


def test_a_guard_that_is_taken_away_is_found_by_the_monitor(monkeypatch: pytest.MonkeyPatch) -> None:
    """A node that drains is sent to all the same: by the policy, and by a pool that does not look."""
    with gateway_rig() as rig:
        node_table = rig.gateway.engine.policy.gateway.node_table
        monkeypatch.setattr(node_table, "_set_unready", lambda node: None)
        monkeypatch.setattr(NodePool, "_usable_address", lambda self, node: self._addresses.get(node))
        monkeypatch.setattr(NodePool, "_stop_waiting", lambda self, node: None)
        rig.watch.send(rig.drain(rig.nodes[0], 2))
        rig.pass_time(0.4)
        rig.client().send(rig.request("late"))
        rig.nodes[0].wait_for("late")
        assert rig.gateway.engine.rules.violations == {"rule_broken_draining_node": 1}
        assert "rule_broken" in rig.log.getvalue() and "late started" in rig.log.getvalue()


def test_a_connection_closed_with_its_request_in_hand_is_found() -> None:
    with gateway_rig() as rig:
        rig.client().send(rig.request("held"))
        rig.nodes[0].wait_for("held")
        next(iter(rig.gateway.front._open)).close()
        assert rig.gateway.engine.rules.violations == {"rule_broken_closed_unanswered": 1}


def test_the_trace_tells_a_request_from_its_arrival_to_its_answer() -> None:
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("one"))
        rig.nodes[0].answer("one")
        client.read_until(b"\r\n\r\nok")
        lines = rig.gateway.operations.trace("one").splitlines()
        assert [line.split()[2] for line in lines] == ["taken", "sent", "started", "ended", "answered"]
        assert rig.gateway.operations.trace("b0").endswith("listed ready")
        assert rig.gateway.operations.trace(None).count("\n") >= 5
        assert rig.gateway.operations.trace("none") == "nothing is known"


def test_the_trace_is_bounded() -> None:
    trace = Trace()
    for number in range(MAX_STEPS + 10):
        trace.note(number, "r", Step.RECEIVED)
    assert len(trace.steps_of("r")) == MAX_STEPS and trace.latest(1)[0].at_us == MAX_STEPS + 9
