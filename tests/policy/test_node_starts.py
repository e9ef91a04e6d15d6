"""Node starts are listed in Unix time: a wrong clock must not change whether a node is warming up."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from gaugesail.policy import Gateway
from gaugesail.policy.events import (
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    MaintenanceChanged,
    TimerFired,
)
from gaugesail.policy.settings import Plan, RequestClass, Settings
from tests.support.faulty_process import FaultyGateway, HangingNode, at_once, faulty, folder_of, wait_until

HOUR_S = 3600.0
REQUESTS = 8
SETTLED_S = 0.4


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


def sent_at_once(process: FaultyGateway, node: HangingNode, units: int = 1) -> int:
    """Send several requests; return how many of them a hanging node gets before it has answered any."""
    before = node.requests
    for number in range(REQUESTS):
        process.send_request(f"a{time.monotonic_ns()}-{number}", node.shard, 2500, units)
    wait_until(lambda: node.requests - before >= REQUESTS, SETTLED_S)
    return node.requests - before


def test_a_node_that_started_before_the_gateway_is_warming_up(tmp_path: Path, library: Path) -> None:
    def sent(ahead_s: float) -> int:
        node = HangingNode(0)
        node.started_ms = unix_ms() - 1000
        with faulty(folder_of(tmp_path, ahead_s), library, [node], ahead_s=ahead_s) as process:
            time.sleep(1.6)  # past the window in which an earlier process of the gateway may have sent
            return sent_at_once(process, node)

    found = at_once((HOUR_S, 30.0, 0.0, -HOUR_S), sent)
    assert max(found.values()) <= 1, found


def test_a_node_whose_start_is_received_as_a_change_is_warming_up(tmp_path: Path, library: Path) -> None:
    """The gateway's clock is wrong from the start, or discovery's clock has been stepped."""

    def sent(off: tuple[float, float]) -> int:
        ahead_s, listed_s = off
        node, other = HangingNode(0), HangingNode(1)
        other.started_ms = unix_ms() - 1000
        with faulty(folder_of(tmp_path, off), library, [node, other], ahead_s=ahead_s) as process:
            node.started_ms = unix_ms() + int(listed_s * 1000)
            process.discovery.changed()
            time.sleep(0.2)
            return sent_at_once(process, node)

    rows = ((HOUR_S, 0.0), (30.0, 0.0), (-HOUR_S, 0.0), (0.0, -HOUR_S), (0.0, HOUR_S))
    found = at_once(rows, sent)
    assert max(found.values()) <= 1, found


NOW, SECOND = 1_700_000_000_000_000, 1_000_000
WARM_AFTER_US = 17 * SECOND


def gateway(now: int) -> Gateway:
    classes = (RequestClass("read", 500_000, 3_000_000),)
    return Gateway(
        Settings(
            classes=classes,
            plans=(Plan("basic", 8.0, 4.0),),
            overload_window_us=1_500_000,
            overload_factor=3.0,
            initial_capacity_share=0.31,
            initial_capacity_units=22.0,
            warm_up_us=WARM_AFTER_US,
        ),
        seed=7,
        now=now,
    )


def receive_list(receiver: Gateway, now: int, kind: EndpointListKind, *starts: tuple[bytes, int]) -> None:
    nodes = tuple(Endpoint(name, shard, started_us=at) for shard, (name, at) in enumerate(starts))
    receiver.handle(now, [EndpointList(kind, nodes)])


def age_s(receiver: Gateway, now: int, name: bytes) -> float:
    """Return the seconds since a node's start, as the gateway knows it; infinite for a warm node."""
    since = receiver.nodes[name].warming_since
    return (
        float("inf")
        if receiver.slow_start.capacity_share(now, since) >= 1 or since is None
        else (now - since) / SECOND
    )


@pytest.mark.parametrize("off_s", [-3600, -3, 0, 3, 3600])
def test_starts_in_the_first_list_count_from_the_newest(off_s: int) -> None:
    newest, receiver = NOW + off_s * SECOND, gateway(NOW)
    starts = (b"old", newest - 60 * SECOND), (b"mid", newest - 10 * SECOND), (b"new", newest)
    receive_list(receiver, NOW, EndpointListKind.CACHED, *starts)
    assert [age_s(receiver, NOW, name) for name in (b"old", b"mid", b"new")] == [float("inf"), 10.0, 0.0]


@pytest.mark.parametrize("off_s", [-3600, -3, 0, 3, 3600])
def test_starts_in_the_first_full_list_count_from_the_cached_list(off_s: int) -> None:
    old, receiver = NOW + off_s * SECOND, gateway(NOW)
    receive_list(receiver, NOW, EndpointListKind.CACHED, (b"old", old))
    receive_list(receiver, NOW + 5 * SECOND, EndpointListKind.FULL, (b"old", old), (b"new", old + 2 * SECOND))
    assert age_s(receiver, NOW + 5 * SECOND, b"old") == 5.0
    assert age_s(receiver, NOW + 5 * SECOND, b"new") == 3.0


@pytest.mark.parametrize("off_s", [-3600, -3, 0, 3, 3600])
def test_a_new_start_counts_from_when_it_was_received(off_s: int) -> None:
    receiver = gateway(NOW)
    receive_list(receiver, NOW, EndpointListKind.FULL, (b"a", 0), (b"b", NOW - 60 * SECOND))
    now = NOW + 5 * SECOND
    receive_list(receiver, now, EndpointListKind.CHANGES, (b"a", now + off_s * SECOND))
    assert age_s(receiver, now, b"a") == 0.0
    later = now + WARM_AFTER_US
    receive_list(receiver, later, EndpointListKind.CHANGES, (b"a", now + off_s * SECOND))
    assert age_s(receiver, later, b"a") == float("inf"), "warm, whatever the clocks show"


def test_a_node_dropped_from_one_list_keeps_its_start() -> None:
    receiver = gateway(NOW)
    receive_list(receiver, NOW, EndpointListKind.FULL, (b"a", 0))
    receive_list(receiver, NOW + SECOND, EndpointListKind.CHANGES, (b"a", NOW))
    receive_list(receiver, NOW + 2 * SECOND, EndpointListKind.FULL)
    receiver.handle(NOW + 3 * SECOND, [TimerFired(1)])  # its record ends
    assert b"a" not in receiver.nodes
    receive_list(receiver, NOW + 4 * SECOND, EndpointListKind.FULL, (b"a", NOW))
    assert age_s(receiver, NOW + 4 * SECOND, b"a") == 3.0


def test_a_restart_counts_though_its_listed_time_is_earlier() -> None:
    receiver = gateway(NOW)
    receive_list(receiver, NOW, EndpointListKind.FULL, (b"a", 0))
    receive_list(receiver, NOW + SECOND, EndpointListKind.CHANGES, (b"a", NOW))
    later = NOW + 60 * SECOND
    receive_list(receiver, later, EndpointListKind.CHANGES, (b"a", NOW - 3600 * SECOND))
    assert age_s(receiver, later, b"a") == 0.0


@pytest.mark.parametrize("off_s", [-3600, 0, 3600])
def test_a_start_first_listed_while_draining_counts_once_ready(off_s: int) -> None:
    receiver, now = gateway(NOW), NOW + SECOND
    receive_list(receiver, NOW, EndpointListKind.FULL, (b"a", 0))
    draining = Endpoint(b"a", 0, EndpointState.DRAINING, started_us=now + off_s * SECOND)
    receiver.handle(now, [EndpointList(EndpointListKind.CHANGES, (draining,))])
    receive_list(receiver, now + SECOND, EndpointListKind.CHANGES, (b"a", now + off_s * SECOND))
    assert age_s(receiver, now + SECOND, b"a") == 1.0


def test_the_end_of_maintenance_counts_as_a_start_whatever_was_listed_meanwhile() -> None:
    receiver, now = gateway(NOW), NOW + SECOND
    receive_list(receiver, NOW, EndpointListKind.FULL, (b"a", 0))
    receiver.handle(NOW, [MaintenanceChanged(b"a", True)])
    receive_list(receiver, now, EndpointListKind.CHANGES, (b"a", now))
    back = now + 5 * SECOND
    receiver.handle(back, [MaintenanceChanged(b"a", False)])
    receive_list(receiver, back + SECOND, EndpointListKind.CHANGES, (b"a", now))
    assert age_s(receiver, back + SECOND, b"a") == 1.0
