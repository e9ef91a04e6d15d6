"""A start is told in Unix time: no clock that is off makes a cold node warm, or keeps a warm one cold."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

import pytest

from gaugesail.rehearsal.faults.shim import build
from tests.faulty import FaultyHead, HangingNode, faulty, folder_of, wait_until

HOUR_S = 3600.0
ASKED = 8
WARM_AT_ONCE = 4  # what a warm node that hangs is sent (decide.START_WINDOW)
SETTLED_S = 0.4


@pytest.fixture(scope="module")
def library() -> Path:
    return build(Path(tempfile.mkdtemp(prefix="gaugesail-shim-")))


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


def sent_at_once(head: FaultyHead, node: HangingNode) -> int:
    """How many of several requests a node that hangs is sent before it has answered any."""
    before = node.requests
    for number in range(ASKED):
        head.ask(f"a{time.monotonic_ns()}-{number}", node.shard, 2500)
    wait_until(lambda: node.requests - before >= ASKED, SETTLED_S)
    return node.requests - before


def test_a_node_that_started_before_the_head_is_cold(tmp_path: Path, library: Path) -> None:
    sent: dict[float, int] = {}
    for ahead_s in (HOUR_S, 30.0, 0.0, -HOUR_S):
        node = HangingNode(0)
        node.started_ms = unix_ms() - 1000
        with faulty(folder_of(tmp_path, ahead_s), library, [node], ahead_s=ahead_s) as head:
            time.sleep(1.6)  # past the window in which an earlier life of the head may have sent
            sent[ahead_s] = sent_at_once(head, node)
    assert max(sent.values()) <= 1, sent


def test_a_node_whose_start_is_told_by_the_watch_is_cold(tmp_path: Path, library: Path) -> None:
    """The head's clock is off from its start, or that of discovery has been stepped back."""
    sent: dict[tuple[float, float], int] = {}
    for ahead_s, told_s in ((HOUR_S, 0.0), (30.0, 0.0), (-HOUR_S, 0.0), (0.0, -HOUR_S), (0.0, HOUR_S)):
        node, other = HangingNode(0), HangingNode(1)
        other.started_ms = unix_ms() - 1000
        with faulty(folder_of(tmp_path, (ahead_s, told_s)), library, [node, other], ahead_s=ahead_s) as head:
            node.started_ms = unix_ms() + int(told_s * 1000)
            head.discovery.changed()
            time.sleep(0.2)
            sent[ahead_s, told_s] = sent_at_once(head, node)
    assert max(sent.values()) <= 1, sent


def test_a_node_that_has_started_long_ago_gets_warm(tmp_path: Path, library: Path) -> None:
    sent: dict[float, int] = {}
    for ahead_s in (HOUR_S, 0.0, -HOUR_S):
        node = HangingNode(0)
        node.started_ms = unix_ms() - 60_000
        changes = {"guarantees__ramp_time_us": "1000000"}
        with faulty(folder_of(tmp_path, ahead_s), library, [node], ahead_s=ahead_s, **changes) as head:
            time.sleep(1.6)
            sent[ahead_s] = sent_at_once(head, node)
    assert min(sent.values()) == WARM_AT_ONCE, sent
