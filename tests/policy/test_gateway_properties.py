"""Odd but legal event sequences; the driver checks every rule by books of its own."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from gaugesail.policy.actions import Action
from gaugesail.policy.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    EndpointList,
    EndpointListKind,
    EndpointState,
    HealthCheckEnded,
    PeerMessageReceived,
    TimerFired,
)
from gaugesail.policy.settings import Idempotency, Plan, RequestClass

from ..support import gateway_driver
from ..support.gateway_driver import SEC, Driver

RESULTS = st.sampled_from(
    [r for r in AttemptResult if r is not AttemptResult.NOT_STARTED] + [AttemptResult.SERVED] * 6
)
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
    st.tuples(st.just("list"), st.integers(0, 2), st.sampled_from(list(EndpointState)), st.booleans()),
    st.tuples(st.just("whole"), st.sets(st.integers(0, 2))),
    st.tuples(st.just("maintain"), st.integers(0, 2), st.booleans()),
    st.tuples(st.just("retune"), st.integers(0, 2), st.integers(1, 4)),
    st.tuples(st.just("failed")),
    st.tuples(st.just("stale")),
    st.tuples(st.just("restart")),
)  # fmt: skip


def listed_start(driver: Driver, number: int) -> int:
    """The start of a node as the gateway was told last; 0: none."""
    endpoint = driver.endpoints.get(gateway_driver.node_id(number))
    return 0 if endpoint is None else endpoint.started_at


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(st.lists(STEP, min_size=30, max_size=90), st.booleans())
def test_rules_hold_on_odd_days(steps: list[tuple], ask: bool) -> None:  # type: ignore[type-arg]
    site = gateway_driver.settings(  # tight, so that each rule is soon at its bound
        subscribes_to_endpoints=ask,
        drain_grace_us=0,
        initial_capacity_units=6.0,
        retry_budget_free=0.0,
        retry_budget_share=0.1,
        ordered_key_pause_us=400_000,
    )
    driver = Driver(site)
    for step in steps:
        match step:
            case ("ask", kind, shard, key, plan, units, tenths):
                driver.send_request(
                    kind,
                    shard,
                    driver.settings.classes[kind].deadline_us * tenths // 8,
                    key=key,
                    plan_index=plan,
                    units=float(units),
                    volume_id=plan * 4 + key,
                    gateways_in_use=2.0,
                )
            case ("answer", which, result) if driver.in_flight:
                driver.end_attempt(list(driver.in_flight)[which % len(driver.in_flight)], result)
            case ("wait", span):
                driver.pass_time(span)
            case ("gone", which) if driver.open_requests:
                driver.disconnect(list(driver.open_requests)[which % len(driver.open_requests)])
            case ("list", number, mode, fresh):
                known = listed_start(driver, number)
                driver.list_nodes([(number, mode, driver.now if fresh else known)])
            case ("whole", numbers):
                listed = [(n, EndpointState.READY, listed_start(driver, n)) for n in sorted(numbers)]
                driver.list_nodes(listed, EndpointListKind.FULL)
            case ("maintain", number, on):
                driver.set_maintenance(number, on)
            case ("retune", first, most):
                # Classes change places, effects and times; one is dropped and another added.
                specs = site.classes[first:] + site.classes[:first]
                more = replace(
                    specs[2],
                    name=f"new{most}",
                    idempotency=Idempotency.IDEMPOTENT,
                    latency_objective_us=90_000 * most,
                )
                driver.change_settings(replace(site, classes=(*specs[:2], more), max_attempts=most))
            case ("failed",):
                driver.feed(EndpointList(EndpointListKind.FAILED))
            case ("stale",):
                driver.feed(
                    ClientDisconnected(99_999),
                    TimerFired(77),
                    HealthCheckEnded(b"nobody", AttemptResult.TIMEOUT),
                    AttemptEnded(99_999, 0, b"nobody", AttemptResult.SERVED),
                    PeerMessageReceived(1, b"?"),
                )
            case ("restart",):
                lines = [
                    (int(node[3]), endpoint.state, endpoint.started_at)
                    for node, endpoint in driver.endpoints.items()
                    if endpoint.state is EndpointState.READY
                ]
                away, driver = driver.in_maintenance, Driver(site, 0, driver.now + 1000)
                for node in away:
                    driver.set_maintenance(int(node[3]), True)
                driver.list_nodes(lines, EndpointListKind.CACHED)
        driver.pass_time(1000)
    for _ in range(60):
        driver.pass_time(SEC // 10)
        for key in [k for k in driver.in_flight if k[0] not in driver.open_requests]:
            driver.end_attempt(key, AttemptResult.CANCELLED)
    assert not driver.open_requests, "rule 1: left without an answer"


def test_same_events_same_actions() -> None:
    def play() -> list[list[Action]]:
        driver, seen = Driver(gateway_driver.settings(subscribes_to_endpoints=True)), []
        for turn in range(40):
            driver.send_request(turn % 3, turn % 2, key=turn % 4, volume_id=turn % 5, units=1.0 + turn % 3)
            seen.append(driver.last_actions)
            driver.pass_time(9000)
            if turn % 3 and driver.in_flight:
                seen.append(
                    driver.end_attempt(
                        next(iter(driver.in_flight)),
                        AttemptResult.ERROR if turn % 7 == 1 else AttemptResult.SERVED,
                    )
                )
        return seen

    assert play() == play()


@settings(max_examples=40, derandomize=True, deadline=None, database=None)
@given(
    st.sampled_from([8_000, 60_000, 30_000_000]),
    st.sampled_from([1, 50]),
    st.sampled_from([1, 12]),
    st.lists(
        st.tuples(
            st.integers(0, 60),
            st.sampled_from([AttemptResult.SERVED, AttemptResult.ERROR, AttemptResult.REJECTED]),
        ),
        min_size=5,
        max_size=60,
    ),
)
def test_settings_far_from_the_usual(
    aim: int, nodes: int, gateways: int, turns: list[tuple[int, AttemptResult]]
) -> None:
    site = gateway_driver.settings(
        classes=(RequestClass("only", aim, aim * 5),), plans=(Plan("only"),), gateway_count=gateways,
        overload_window_us=0, ordered_key_pause_us=0, retry_budget_window_us=0, max_attempts=2,
    )  # fmt: skip
    driver = Driver(site, 0)
    waits = driver.send_request(shard=-1)
    driver.pass_time(aim // 10)
    driver.list_nodes([(n, EndpointState.READY, 0) for n in range(nodes)], EndpointListKind.FULL)
    driver.pass_time(aim // 2)
    assert any(send.request_id == waits for send in driver.started), "a new object waits for the first node"
    for number, result in turns:
        driver.send_request(shard=number % min(nodes, 8))
        if driver.in_flight:
            driver.end_attempt(list(driver.in_flight)[number % len(driver.in_flight)], result)
        driver.pass_time(aim // 7)
    driver.pass_time(aim * 6)
    assert not driver.open_requests
