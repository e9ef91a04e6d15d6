"""The sets of shards and the mean latencies that are kept as they change equal those that are made anew."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from gaugesail.policy.measured_latencies import MeasuredLatencies
from gaugesail.policy.records import ShardRecord
from gaugesail.policy.shard_capacity import SERVED_RATE_SMOOTHING, ShardCapacity
from gaugesail.policy.shard_table import ShardTable

from ..support import gateway_driver

NUMBERS = st.integers(0, 30)


@given(st.lists(st.tuples(st.booleans(), NUMBERS)))
def test_a_set_of_shards_keeps_the_order_in_which_they_became_known(steps: list[tuple[bool, int]]) -> None:
    table = ShardTable(lambda: 1)
    expected: set[int] = set()
    for adds, number in steps:
        (table.available.add if adds else table.available.discard)(table[number])
        (expected.add if adds else expected.discard)(number)
    in_order = [number for number in table if number in expected]
    assert [shard.number for shard in table.available] == in_order
    visited: list[int] = []
    shard: ShardRecord | None = None
    while (shard := table.available.after(shard)) is not None:
        visited.append(shard.number)
    assert visited == in_order


def test_a_shard_that_is_added_behind_the_present_one_is_visited_and_one_before_it_is_not() -> None:
    table = ShardTable(lambda: 1)
    shards = [table[number] for number in (7, 3, 5)]
    table.queued.add(shards[1])
    assert table.queued.after(None) is shards[1]
    table.queued.add(shards[0])
    table.queued.add(shards[2])
    assert table.queued.after(shards[1]) is shards[2] and table.queued.after(shards[2]) is None


def test_shards_without_a_waiting_request_leave_the_queued_ones() -> None:
    table = ShardTable(lambda: 1)
    for number in range(3):
        table.queued.add(table[number])
    request: object = object()
    table[0].waiting[0].append(request)  # type: ignore[arg-type]
    assert table.has_waiting and len(table.queued) == 1
    table[0].waiting[0].clear()
    assert not table.has_waiting and not table.queued


@given(st.lists(st.tuples(st.integers(0, 5), st.floats(1, 1e7), st.floats(1, 1e7))))
def test_the_mean_of_measured_latencies_is_that_of_all_that_differ_from_the_targets(
    changes: list[tuple[int, float, float]],
) -> None:
    targets = [500.0, 700.0]
    nodes = [list(targets) for _ in range(6)]
    kept = MeasuredLatencies()
    kept.restart(targets, nodes)
    for number, *latency in changes:
        kept.remove(nodes[number])
        nodes[number] = latency
        kept.add(latency)
    measured = [latency for latency in nodes if latency != targets]
    mean = kept.mean()
    if not measured:
        assert mean is None
        return
    assert mean is not None
    for position, value in enumerate(mean):
        exact = sum(latency[position] for latency in measured) / len(measured)
        assert abs(value - exact) <= 1e-9 * exact


def test_the_rate_that_a_shard_served_is_the_same_as_if_each_period_had_looked_at_it() -> None:
    rng = random.Random(3)
    settings = gateway_driver.settings()
    capacity = ShardCapacity(settings, slow_start=None)  # type: ignore[arg-type]
    expected = [0.0, 0.0]
    for _ in range(400):
        units = [rng.choice((0.0, 0.0, 0.0, 4.0)) if shard else 0.0 for shard in range(2)]
        units[0] = 3.0 if rng.random() < 0.02 else 0.0
        for shard, amount in enumerate(units):
            if amount:
                capacity.record_served(shard, amount)
        capacity.end_period(0.25)
        for shard, amount in enumerate(units):
            expected[shard] += SERVED_RATE_SMOOTHING * (amount / 0.25 - expected[shard])
        if rng.random() < 0.1:
            assert [capacity.served_per_s(shard) for shard in range(2)] == expected
