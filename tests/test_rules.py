"""Odd but legal event sequences; the driver checks every rule by books of its own."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from marllift import interface as api
from marllift.interface import NodeMode, Result

from . import driver
from .driver import SEC, Driver

RESULTS = st.sampled_from([r for r in Result if r is not Result.MOOT] + [Result.SERVED] * 6)
STEP = st.one_of(
    st.tuples(
        st.just("ask"), st.integers(0, 2), st.integers(-1, 1), st.integers(0, 1), st.integers(0, 1),
        st.integers(1, 6), st.integers(1, 8),
    ),
    st.tuples(st.just("ask"), st.integers(0, 2), st.just(0), st.just(1), st.just(1), st.just(6), st.just(8)),
    st.tuples(st.just("answer"), st.integers(0, 50), RESULTS),
    st.tuples(st.just("answer"), st.just(0), RESULTS),
    st.tuples(st.just("ask"), st.just(2), st.just(0), st.just(1), st.just(0), st.just(1), st.just(8)),
    st.tuples(st.just("wait"), st.sampled_from([1000, 7000, 60_000, 300_000, 1_100_000])),
    st.tuples(st.just("gone"), st.integers(0, 50)),
    st.tuples(st.just("list"), st.integers(0, 2), st.sampled_from(list(NodeMode)), st.booleans()),
    st.tuples(st.just("whole"), st.sets(st.integers(0, 2))),
    st.tuples(st.just("maintain"), st.integers(0, 2), st.booleans()),
    st.tuples(st.just("retune"), st.integers(0, 2), st.integers(1, 4)),
    st.tuples(st.just("failed")),
    st.tuples(st.just("stale")),
    st.tuples(st.just("restart")),
)  # fmt: skip


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(st.lists(STEP, min_size=30, max_size=90), st.booleans())
def test_rules_hold_on_odd_days(steps: list[tuple], ask: bool) -> None:  # type: ignore[type-arg]
    site = driver.settings(  # tight, so that each rule is soon at its bound
        ask_for_lists=ask, drain_grace_us=0, cold_units=6.0, budget_free=0.0, budget_share=0.1,
        quiet_us=400_000,
    )  # fmt: skip
    rig = Driver(site)
    for step in steps:
        match step:
            case ("ask", kind, shard, key, plan, units, tenths):
                rig.ask(kind, shard, rig.given.classes[kind].deadline_us * tenths // 8, key=key, plan=plan,
                        units=float(units), volume=plan * 4 + key, mounts=2.0)  # fmt: skip
            case ("answer", which, result) if rig.out:
                rig.answer(list(rig.out)[which % len(rig.out)], result)
            case ("wait", span):
                rig.pass_time(span)
            case ("gone", which) if rig.open:
                rig.gone(list(rig.open)[which % len(rig.open)])
            case ("list", number, mode, fresh):
                known = rig.modes.get(driver.node_id(number), (mode, 0, 0, 0))[3]
                rig.list_nodes([(number, mode, rig.now if fresh else known)])
            case ("whole", numbers):
                rig.list_nodes(
                    [(n, NodeMode.READY, rig.modes.get(driver.node_id(n), (0, 0, 0, 0))[3]) for n in
                     sorted(numbers)], api.ListKind.FULL)  # fmt: skip
            case ("maintain", number, on):
                rig.maintain(number, on)
            case ("retune", first, most):
                # Classes change places, effects and times; one is dropped and another added.
                specs = site.classes[first:] + site.classes[:first]
                more = replace(specs[2], name=f"new{most}", effect=api.Effect.SAFE, aim_us=90_000 * most)
                rig.retune(replace(site, classes=(*specs[:2], more), max_attempts=most))
            case ("failed",):
                rig.feed(api.NodeList(api.ListKind.FAILED))
            case ("stale",):
                rig.feed(
                    api.ClientGone(99_999), api.TimerFired(77), api.ProbeResult(b"nobody", Result.TIMEOUT),
                    api.Outcome(99_999, 0, b"nobody", Result.SERVED), api.PeerMessage(1, b"?"),
                )  # fmt: skip
            case ("restart",):
                lines = [(int(n[3]), m[0], m[3]) for n, m in rig.modes.items() if m[0] is NodeMode.READY]
                away, rig = rig.away, Driver(site, 0, rig.now + 1000)
                for node in away:
                    rig.maintain(int(node[3]), True)
                rig.list_nodes(lines, api.ListKind.CACHED)
        rig.pass_time(1000)
    for _ in range(60):
        rig.pass_time(SEC // 10)
        for key in [k for k in rig.out if k[0] not in rig.open]:
            rig.answer(key, Result.CANCELLED)
    assert not rig.open, "rule 1: left without an answer"


def test_same_events_same_actions() -> None:
    def play() -> list[list[api.Action]]:
        rig, seen = Driver(driver.settings(ask_for_lists=True)), []
        for turn in range(40):
            rig.ask(turn % 3, turn % 2, key=turn % 4, volume=turn % 5, units=1.0 + turn % 3)
            seen.append(rig.last)
            rig.pass_time(9000)
            if turn % 3 and rig.out:
                seen.append(rig.answer(next(iter(rig.out)), Result.ERROR if turn % 7 == 1 else Result.SERVED))
        return seen

    assert play() == play()


@settings(max_examples=40, derandomize=True, deadline=None, database=None)
@given(
    st.sampled_from([8_000, 60_000, 30_000_000]), st.sampled_from([1, 50]), st.sampled_from([1, 12]),
    st.lists(st.tuples(st.integers(0, 60), st.sampled_from([Result.SERVED, Result.ERROR, Result.FULL])),
             min_size=5, max_size=60),
)  # fmt: skip
def test_settings_far_from_the_usual(
    aim: int, nodes: int, gateways: int, turns: list[tuple[int, Result]]
) -> None:
    site = driver.settings(
        classes=(api.RequestClass("only", aim, aim * 5),), plans=(api.Plan("only"),), gateways=gateways,
        fall_us=0, quiet_us=0, budget_window_us=0, max_attempts=2,
    )  # fmt: skip
    rig = Driver(site, 0)
    waits = rig.ask(shard=-1)
    rig.pass_time(aim // 10)
    rig.list_nodes([(n, NodeMode.READY, 0) for n in range(nodes)], api.ListKind.FULL)
    rig.pass_time(aim // 2)
    assert any(send.request == waits for send in rig.sends), "a new object waits for the first node"
    for number, result in turns:
        rig.ask(shard=number % min(nodes, 8))
        if rig.out:
            rig.answer(list(rig.out)[number % len(rig.out)], result)
        rig.pass_time(aim // 7)
    rig.pass_time(aim * 6)
    assert not rig.open
