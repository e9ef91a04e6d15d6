"""Property tests of one gateway with unusual but legal event sequences; the driver checks every rule."""

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
        st.just("request"), st.integers(0, 2), st.integers(-1, 1), st.integers(0, 1), st.integers(0, 1),
        st.integers(1, 6), st.integers(1, 8),
    ),
    st.tuples(
        st.just("request"), st.integers(0, 2), st.just(0), st.just(1), st.just(1), st.just(6), st.just(8),
    ),
    st.tuples(st.just("end_attempt"), st.integers(0, 50), RESULTS),
    st.tuples(st.just("end_attempt"), st.just(0), RESULTS),
    st.tuples(st.just("request"), st.just(2), st.just(0), st.just(1), st.just(0), st.just(1), st.just(8)),
    st.tuples(st.just("wait"), st.sampled_from([1000, 7000, 60_000, 300_000, 1_100_000])),
    st.tuples(st.just("disconnect"), st.integers(0, 50)),
    st.tuples(
        st.just("list_changes"), st.integers(0, 2), st.sampled_from(list(EndpointState)), st.booleans(),
    ),
    st.tuples(st.just("list_full"), st.sets(st.integers(0, 2))),
    st.tuples(st.just("maintenance"), st.integers(0, 2), st.booleans()),
    st.tuples(st.just("change_settings"), st.integers(0, 2), st.integers(1, 4)),
    st.tuples(st.just("list_failed")),
    st.tuples(st.just("unknown_ids")),
    st.tuples(st.just("restart")),
)  # fmt: skip


def listed_start(driver: Driver, number: int) -> int:
    """Return the latest listed start of a node; 0: none."""
    endpoint = driver.endpoints.get(gateway_driver.node_id(number))
    return 0 if endpoint is None else endpoint.started_at


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(st.lists(STEP, min_size=30, max_size=90), st.booleans())
def test_rules_hold_for_unusual_events(steps: list[tuple], subscribes: bool) -> None:  # type: ignore[type-arg]
    initial = gateway_driver.settings(  # tight, so that each rule soon reaches its limit
        subscribes_to_endpoints=subscribes,
        drain_grace_us=0,
        initial_capacity_units=6.0,
        retry_budget_free=0.0,
        retry_budget_share=0.1,
        ordered_key_pause_us=400_000,
    )
    driver = Driver(initial)
    for step in steps:
        match step:
            case ("request", class_index, shard, key, plan, units, eighths):
                driver.send_request(
                    class_index,
                    shard,
                    driver.settings.classes[class_index].deadline_us * eighths // 8,
                    key=key,
                    plan_index=plan,
                    units=float(units),
                    volume_id=plan * 4 + key,
                    gateways_in_use=2.0,
                )
            case ("end_attempt", which, result) if driver.in_flight:
                driver.end_attempt(list(driver.in_flight)[which % len(driver.in_flight)], result)
            case ("wait", span):
                driver.pass_time(span)
            case ("disconnect", which) if driver.open_requests:
                driver.disconnect(list(driver.open_requests)[which % len(driver.open_requests)])
            case ("list_changes", number, state, restarted):
                known = listed_start(driver, number)
                driver.list_nodes([(number, state, driver.now if restarted else known)])
            case ("list_full", numbers):
                listed = [(n, EndpointState.READY, listed_start(driver, n)) for n in sorted(numbers)]
                driver.list_nodes(listed, EndpointListKind.FULL)
            case ("maintenance", number, on):
                driver.set_maintenance(number, on)
            case ("change_settings", first, max_attempts):
                # Classes change their positions, idempotency and times; one is dropped and another added.
                classes = initial.classes[first:] + initial.classes[:first]
                added = replace(
                    classes[2],
                    name=f"new{max_attempts}",
                    idempotency=Idempotency.IDEMPOTENT,
                    latency_objective_us=90_000 * max_attempts,
                )
                driver.change_settings(
                    replace(initial, classes=(*classes[:2], added), max_attempts=max_attempts)
                )
            case ("list_failed",):
                driver.feed(EndpointList(EndpointListKind.FAILED))
            case ("unknown_ids",):
                driver.feed(
                    ClientDisconnected(99_999),
                    TimerFired(77),
                    HealthCheckEnded(b"unknown", AttemptResult.TIMEOUT),
                    AttemptEnded(99_999, 0, b"unknown", AttemptResult.SERVED),
                    PeerMessageReceived(1, b"?"),
                )
            case ("restart",):
                ready = [
                    (int(node[3]), endpoint.state, endpoint.started_at)
                    for node, endpoint in driver.endpoints.items()
                    if endpoint.state is EndpointState.READY
                ]
                in_maintenance, driver = driver.in_maintenance, Driver(initial, 0, driver.now + 1000)
                for node in in_maintenance:
                    driver.set_maintenance(int(node[3]), True)
                driver.list_nodes(ready, EndpointListKind.CACHED)
        driver.pass_time(1000)
    for _ in range(60):
        driver.pass_time(SEC // 10)
        for key in [k for k in driver.in_flight if k[0] not in driver.open_requests]:
            driver.end_attempt(key, AttemptResult.CANCELLED)
    assert not driver.open_requests, "rule 1: requests without a final answer"


def test_same_events_same_actions() -> None:
    def run() -> list[list[Action]]:
        driver, actions = Driver(gateway_driver.settings(subscribes_to_endpoints=True)), []
        for turn in range(40):
            driver.send_request(turn % 3, turn % 2, key=turn % 4, volume_id=turn % 5, units=1.0 + turn % 3)
            actions.append(driver.last_actions)
            driver.pass_time(9000)
            if turn % 3 and driver.in_flight:
                actions.append(
                    driver.end_attempt(
                        next(iter(driver.in_flight)),
                        AttemptResult.ERROR if turn % 7 == 1 else AttemptResult.SERVED,
                    )
                )
        return actions

    assert run() == run()


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
def test_unusual_settings(
    objective: int, nodes: int, gateways: int, turns: list[tuple[int, AttemptResult]]
) -> None:
    unusual = gateway_driver.settings(
        classes=(RequestClass("only", objective, objective * 5),), plans=(Plan("only"),),
        gateway_count=gateways, overload_window_us=0, ordered_key_pause_us=0, retry_budget_window_us=0,
        max_attempts=2,
    )  # fmt: skip
    driver = Driver(unusual, 0)
    waiting = driver.send_request(shard=-1)
    driver.pass_time(objective // 10)
    driver.list_nodes([(n, EndpointState.READY, 0) for n in range(nodes)], EndpointListKind.FULL)
    driver.pass_time(objective // 2)
    assert any(send.request_id == waiting for send in driver.started), "a new object waits for the first node"
    for number, result in turns:
        driver.send_request(shard=number % min(nodes, 8))
        if driver.in_flight:
            driver.end_attempt(list(driver.in_flight)[number % len(driver.in_flight)], result)
        driver.pass_time(objective // 7)
    driver.pass_time(objective * 6)
    assert not driver.open_requests
