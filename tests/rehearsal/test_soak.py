"""The soak: a short one of real processes breaks nothing, and its judge finds each breach."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from gaugesail.rehearsal.soak import plan
from gaugesail.rehearsal.soak.judge import ColdNodeWindow, Rule, SoakJudge

ROOT = Path(__file__).parents[2]
READ, WRITE, BOOKING, LEDGER = plan.KINDS
DUE_S = 1.0


def test_a_short_soak_breaks_nothing() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "gaugesail.cli", "trial", "soak", "--heads", "4", "--seconds", "10",
         "--overlap", "2", "--seed", "3", "--json"],
        cwd=ROOT, capture_output=True, text=True, timeout=120, check=False,
    )  # fmt: skip
    assert done.stdout, done.stderr
    told: dict[str, Any] = json.loads(done.stdout)
    print(told)
    assert done.returncode == 0 and not told["violations"]
    assert told["requests"]["served"] > 100 and len(told["troubles"]) > 3


class Link:
    """A node's connection that is open."""

    connected = True

    @property
    def link(self) -> Link:
        return self


class Bench:
    """A judge with a clock of its own."""

    def __init__(self) -> None:
        self.now = 100.0
        self.judge = SoakJudge(lambda: self.now, lambda: ())

    def asked(self, kind: plan.RequestKind = READ) -> Any:
        return self.judge.asked("r", "h", kind, DUE_S)

    def arrives(self, after_s: float = 0.0, told_ms: int = 100, late_s: float = 0.0) -> Any:
        self.now += after_s
        return self.judge.arrived("r", "n", Link(), told_ms, late_s)

    @property
    def rules(self) -> list[Rule]:
        return [violation.rule for violation in self.judge.violations]


def ends(asked: Any, may_have_run: bool = True) -> None:
    asked.arrivals[-1].ended, asked.arrivals[-1].may_have_run = True, may_have_run


def test_a_good_request_is_no_breach() -> None:
    bench = Bench()
    asked = bench.asked()
    ends(bench.arrives(0.01))
    bench.judge.answered(asked, 200, b"r")
    bench.now += 20
    bench.judge.sweep()
    assert bench.rules == []


def test_answers_that_are_late_second_wrong_or_missing() -> None:
    late, second, wrong, lost, closed = Bench(), Bench(), Bench(), Bench(), Bench()
    asked = late.asked()
    late.now += DUE_S + 0.7
    late.judge.answered(asked, 200, b"r")
    asked = second.asked()
    second.judge.answered(asked, 200, b"r")
    second.judge.answered(asked, 503, b"")
    wrong.judge.answered(wrong.asked(), 200, b"other")
    lost.asked()
    lost.now += DUE_S + 0.7
    lost.judge.sweep()
    closed.judge.unanswered(closed.asked(), "closed")
    found = [late.rules, second.rules, wrong.rules, lost.rules, closed.rules]
    assert found == [[Rule.LATE], [Rule.TWO_ANSWERS], [Rule.WRONG_ANSWER], [Rule.LOST], [Rule.LOST]]


def test_what_is_owed_to_nobody_is_no_breach() -> None:
    left, killed, stopped, broken = Bench(), Bench(), Bench(), Bench()
    left.judge.left(left.asked())
    asked = killed.asked()
    asked.excused = True
    killed.judge.unanswered(asked, "closed")
    stopped.asked()
    stopped.judge.exemptions.stops("h", stopped.now)
    broken.judge.exemptions.break_connections("h", broken.now + 1)
    broken.asked()
    for bench in (left, killed, stopped, broken):
        bench.now += DUE_S + 0.7
        bench.judge.sweep()
        assert bench.rules == []


def test_attempts_beside_each_other_too_many_and_after_the_client_left() -> None:
    beside, many, gone = Bench(), Bench(), Bench()
    beside.asked()
    beside.arrives()
    beside.arrives()
    many.asked()
    for _ in range(plan.MAX_ATTEMPTS + 1):
        ends(many.arrives())
    gone.judge.left(gone.asked())
    gone.arrives(0.3)
    unknown = Bench()
    unknown.arrives()
    found = [beside.rules, many.rules, gone.rules, unknown.rules]
    assert found == [
        [Rule.TWO_OUT], [Rule.TOO_MANY_ATTEMPTS], [Rule.AFTER_CLIENT_LEFT], [Rule.UNKNOWN_REQUEST]
    ]  # fmt: skip


@pytest.mark.parametrize(("kind", "after_s", "broken"), [
    (READ, 0.9, []), (BOOKING, 0.1, [Rule.RAN_TWICE]), (LEDGER, 0.1, []), (LEDGER, 1.0, [Rule.RAN_TWICE]),
])  # fmt: skip
def test_repeats_of_what_may_have_run(kind: plan.RequestKind, after_s: float, broken: list[Rule]) -> None:
    bench = Bench()
    bench.asked(kind)
    ends(bench.arrives())
    bench.arrives(after_s)
    assert bench.rules == broken


def test_a_refusal_of_what_may_have_run_and_must_not_run_twice() -> None:
    bench = Bench()
    asked = bench.asked(BOOKING)
    ends(bench.arrives())
    bench.judge.answered(asked, 503, b"")
    assert bench.rules == [Rule.RAN_TWICE]


def test_the_time_told_and_the_drain() -> None:
    much, enough, waited, drained = Bench(), Bench(), Bench(), Bench()
    for bench in (much, enough, waited, drained):
        bench.asked()
    much.arrives(0.5, told_ms=900)
    enough.arrives(0.5, told_ms=600)
    waited.arrives(0.5, told_ms=900, late_s=0.5)
    drained.judge.sent_to_draining(drained.arrives(), "n", plan.DRAIN_GRACE_S + 0.2)
    assert [much.rules, enough.rules, waited.rules] == [[Rule.TOO_MUCH_TIME_TOLD], [], []]
    assert drained.rules == [Rule.DRAIN]


def test_a_cold_node_bears_what_the_settings_say_and_the_chance() -> None:
    cold = ColdNodeWindow(100.0)
    calls = plan.COLD_UNITS / plan.MEAN_UNITS
    allowed = int(calls + 2 * calls**0.5 + 2)
    assert all(cold.take(100.0, plan.MEAN_UNITS) <= 0 for _ in range(allowed))
    assert cold.take(100.0, plan.MEAN_UNITS) > 0
    assert cold.take(100.0 + plan.WARM_AFTER_S, plan.MEAN_UNITS) <= 0
