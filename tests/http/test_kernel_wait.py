"""A request's time starts when it arrives, even if it then waits unread in the gateway's kernel."""

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
AIM_US = "1300000"  # long enough that a request is still sent after its wait


def forwarded_timeout_ms(node: HangingNode) -> int:
    """Return the Request-Timeout-Ms of the latest request at the node, in milliseconds."""
    text = b"".join(node._received.values())
    return int(re.findall(rb"Request-Timeout-Ms: (\d+)", text)[-1])


def excess_ms(gateway: FaultyGateway, node: HangingNode, waited_s: float) -> float:
    """Return by how much that exceeds the client's remaining time, after ``waited_s`` unread."""
    assert wait_until(lambda: node.requests > 0, 2.0), gateway.text
    return forwarded_timeout_ms(node) - (TIMEOUT_MS - 1000 * waited_s)


def test_while_no_descriptor_is_free(tmp_path: Path, library: Path) -> None:
    node = HangingNode(0)
    with faulty(tmp_path, library, [node], categories__0__aim_us=AIM_US) as gateway:
        gateway.faults.fail(Call.ACCEPT, errno.EMFILE, 1000)
        gateway.send_request("waits", 0, TIMEOUT_MS)
        time.sleep(0.5)
        gateway.faults.clear()
        assert excess_ms(gateway, node, 0.5) < SLACK_MS


def test_while_the_process_is_stopped(tmp_path: Path, library: Path) -> None:
    node = HangingNode(0)
    with faulty(tmp_path, library, [node], categories__0__aim_us=AIM_US) as gateway:
        gateway.process.send_signal(signal.SIGSTOP)
        gateway.send_request("waits", 0, TIMEOUT_MS)
        time.sleep(0.5)
        gateway.process.send_signal(signal.SIGCONT)
        assert excess_ms(gateway, node, 0.5) < SLACK_MS


def test_while_all_client_connections_are_in_use(tmp_path: Path, library: Path) -> None:
    node = HangingNode(0)
    with faulty(tmp_path, library, [node], limits__sockets="40", categories__0__aim_us=AIM_US) as gateway:
        others = [socket.create_connection((HOST, gateway.port)) for _ in range(40)]
        time.sleep(0.02)
        began = time.monotonic()
        gateway.send_request("waits", 0, TIMEOUT_MS)
        wait_until(lambda: node.requests > 0, 0.5)  # it comes as soon as silent clients are closed
        for other in others:
            other.close()
        assert wait_until(lambda: node.requests > 0, 3.0), gateway.text
        arrived_after_s = time.monotonic() - began - node.received_ago_s
        assert 1000 * arrived_after_s > SLACK_MS, "it did not wait for a place"
        assert forwarded_timeout_ms(node) < TIMEOUT_MS - 1000 * arrived_after_s + SLACK_MS
