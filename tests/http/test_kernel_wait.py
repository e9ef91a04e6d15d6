"""A request's time runs from when it came, also where it waited unread in our kernel."""

from __future__ import annotations

import errno
import re
import signal
import socket
import time
from pathlib import Path

from gaugesail.rehearsal.faults.shim import Call
from tests.support.faulty_process import HOST, FaultyGateway, HangingNode, faulty, wait_until

SLACK_MS = 150
TIMEOUT_MS = 1500
AIM_US = "1300000"  # so that what has waited is still worth sending


def told_ms(node: HangingNode) -> int:
    """What the node was told of the time left by the latest request that came."""
    text = b"".join(node._received.values())
    return int(re.findall(rb"Request-Timeout-Ms: (\d+)", text)[-1])


def too_much_ms(head: FaultyGateway, node: HangingNode, waited_s: float) -> float:
    """By how much that is more than its client has left, for a request that has waited so long unread."""
    assert wait_until(lambda: node.requests > 0, 2.0), head.text
    return told_ms(node) - (TIMEOUT_MS - 1000 * waited_s)


def test_while_no_descriptor_is_free(tmp_path: Path, library: Path) -> None:
    node = HangingNode(0)
    with faulty(tmp_path, library, [node], categories__0__aim_us=AIM_US) as head:
        head.faults.fail(Call.ACCEPT, errno.EMFILE, 1000)
        head.send_request("waits", 0, TIMEOUT_MS)
        time.sleep(0.5)
        head.faults.clear()
        assert too_much_ms(head, node, 0.5) < SLACK_MS


def test_while_the_process_stands_still(tmp_path: Path, library: Path) -> None:
    node = HangingNode(0)
    with faulty(tmp_path, library, [node], categories__0__aim_us=AIM_US) as head:
        head.process.send_signal(signal.SIGSTOP)
        head.send_request("waits", 0, TIMEOUT_MS)
        time.sleep(0.5)
        head.process.send_signal(signal.SIGCONT)
        assert too_much_ms(head, node, 0.5) < SLACK_MS


def test_while_all_places_are_in_use(tmp_path: Path, library: Path) -> None:
    node = HangingNode(0)
    with faulty(tmp_path, library, [node], limits__sockets="40", categories__0__aim_us=AIM_US) as head:
        others = [socket.create_connection((HOST, head.port)) for _ in range(40)]
        time.sleep(0.02)
        head.send_request("waits", 0, TIMEOUT_MS)
        began = time.monotonic()
        time.sleep(0.5)
        for one in others:
            one.close()
        assert wait_until(lambda: node.requests > 0, 3.0), head.text
        came_s = time.monotonic() - began
        assert told_ms(node) < TIMEOUT_MS - 1000 * came_s + SLACK_MS
