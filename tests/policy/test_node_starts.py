"""A start is told in Unix time: no clock that is off makes a cold node warm, or keeps a warm one cold."""

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
ASKED = 8
SETTLED_S = 0.4


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


def sent_at_once(head: FaultyGateway, node: HangingNode, units: int = 1) -> int:
    """How many of several requests a node that hangs is sent before it has answered any."""
    before = node.requests
    for number in range(ASKED):
        head.send_request(f"a{time.monotonic_ns()}-{number}", node.shard, 2500, units)
    wait_until(lambda: node.requests - before >= ASKED, SETTLED_S)
    return node.requests - before


def test_a_node_that_started_before_the_head_is_cold(tmp_path: Path, library: Path) -> None:
    def sent(ahead_s: float) -> int:
        node = HangingNode(0)
        node.started_ms = unix_ms() - 1000
        with faulty(folder_of(tmp_path, ahead_s), library, [node], ahead_s=ahead_s) as head:
            time.sleep(1.6)  # past the window in which an earlier life of the head may have sent
            return sent_at_once(head, node)

    found = at_once((HOUR_S, 30.0, 0.0, -HOUR_S), sent)
    assert max(found.values()) <= 1, found


def test_a_node_whose_start_is_told_by_the_watch_is_cold(tmp_path: Path, library: Path) -> None:
    """The head's clock is off from its start, or that of discovery has been stepped."""

    def sent(off: tuple[float, float]) -> int:
        ahead_s, told_s = off
        node, other = HangingNode(0), HangingNode(1)
        other.started_ms = unix_ms() - 1000
        with faulty(folder_of(tmp_path, off), library, [node, other], ahead_s=ahead_s) as head:
            node.started_ms = unix_ms() + int(told_s * 1000)
            head.discovery.changed()
            time.sleep(0.2)
            return sent_at_once(head, node)

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


def hear(heard: Gateway, now: int, kind: EndpointListKind, *starts: tuple[bytes, int]) -> None:
    nodes = tuple(Endpoint(name, shard, started_us=at) for shard, (name, at) in enumerate(starts))
    heard.handle(now, [EndpointList(kind, nodes)])


def age_s(heard: Gateway, now: int, name: bytes) -> float:
    """How long ago a node started, as far as the gateway knows; infinite for one that is warm."""
    since = heard.nodes[name].warming_since
    return (
        float("inf")
        if heard.slow_start.capacity_share(now, since) >= 1 or since is None
        else (now - since) / SECOND
    )


@pytest.mark.parametrize("off_s", [-3600, -3, 0, 3, 3600])
def test_first_lists_order_starts_by_age(off_s: int) -> None:
    told, heard = NOW + off_s * SECOND, gateway(NOW)
    starts = (b"old", told - 60 * SECOND), (b"mid", told - 10 * SECOND), (b"new", told)
    hear(heard, NOW, EndpointListKind.CACHED, *starts)
    assert [age_s(heard, NOW, name) for name in (b"old", b"mid", b"new")] == [float("inf"), 10.0, 0.0]


@pytest.mark.parametrize("off_s", [-3600, -3, 0, 3, 3600])
def test_the_first_list_counts_from_the_cached_one(off_s: int) -> None:
    told, heard = NOW + off_s * SECOND, gateway(NOW)
    hear(heard, NOW, EndpointListKind.CACHED, (b"old", told))
    hear(heard, NOW + 5 * SECOND, EndpointListKind.FULL, (b"old", told), (b"new", told + 2 * SECOND))
    assert age_s(heard, NOW + 5 * SECOND, b"old") == 5.0
    assert age_s(heard, NOW + 5 * SECOND, b"new") == 3.0


@pytest.mark.parametrize("off_s", [-3600, -3, 0, 3, 3600])
def test_a_new_start_counts_from_when_it_was_received(off_s: int) -> None:
    heard = gateway(NOW)
    hear(heard, NOW, EndpointListKind.FULL, (b"a", 0), (b"b", NOW - 60 * SECOND))
    now = NOW + 5 * SECOND
    hear(heard, now, EndpointListKind.CHANGES, (b"a", now + off_s * SECOND))
    assert age_s(heard, now, b"a") == 0.0
    later = now + WARM_AFTER_US
    hear(heard, later, EndpointListKind.CHANGES, (b"a", now + off_s * SECOND))
    assert age_s(heard, later, b"a") == float("inf"), "warm, whatever the clocks are"


def test_a_node_dropped_from_one_list_keeps_its_start() -> None:
    heard = gateway(NOW)
    hear(heard, NOW, EndpointListKind.FULL, (b"a", 0))
    hear(heard, NOW + SECOND, EndpointListKind.CHANGES, (b"a", NOW))
    hear(heard, NOW + 2 * SECOND, EndpointListKind.FULL)
    heard.handle(NOW + 3 * SECOND, [TimerFired(1)])  # its book ends
    assert b"a" not in heard.nodes
    hear(heard, NOW + 4 * SECOND, EndpointListKind.FULL, (b"a", NOW))
    assert age_s(heard, NOW + 4 * SECOND, b"a") == 3.0


def test_a_restart_counts_though_its_listed_time_is_earlier() -> None:
    heard = gateway(NOW)
    hear(heard, NOW, EndpointListKind.FULL, (b"a", 0))
    hear(heard, NOW + SECOND, EndpointListKind.CHANGES, (b"a", NOW))
    later = NOW + 60 * SECOND
    hear(heard, later, EndpointListKind.CHANGES, (b"a", NOW - 3600 * SECOND))
    assert age_s(heard, later, b"a") == 0.0


@pytest.mark.parametrize("off_s", [-3600, 0, 3600])
def test_a_start_first_listed_while_draining_counts_once_ready(off_s: int) -> None:
    heard, now = gateway(NOW), NOW + SECOND
    hear(heard, NOW, EndpointListKind.FULL, (b"a", 0))
    draining = Endpoint(b"a", 0, EndpointState.DRAINING, started_us=now + off_s * SECOND)
    heard.handle(now, [EndpointList(EndpointListKind.CHANGES, (draining,))])
    hear(heard, now + SECOND, EndpointListKind.CHANGES, (b"a", now + off_s * SECOND))
    assert age_s(heard, now + SECOND, b"a") == 1.0


def test_the_end_of_maintenance_counts_as_a_start_whatever_lists_said_meanwhile() -> None:
    heard, now = gateway(NOW), NOW + SECOND
    hear(heard, NOW, EndpointListKind.FULL, (b"a", 0))
    heard.handle(NOW, [MaintenanceChanged(b"a", True)])
    hear(heard, now, EndpointListKind.CHANGES, (b"a", now))
    back = now + 5 * SECOND
    heard.handle(back, [MaintenanceChanged(b"a", False)])
    hear(heard, back + SECOND, EndpointListKind.CHANGES, (b"a", now))
    assert age_s(heard, back + SECOND, b"a") == 1.0
