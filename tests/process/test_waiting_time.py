"""Requests wait as long as their clients, whatever their aim and whether they are repeats; real processes."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import suppress
from pathlib import Path

import pytest

from ..support.faulty_process import HOST, HangingNode, ListService, ThreadedNode, at_once
from ..support.gateway_processes import GatewayProcesses, put_request

TIMEOUT_S = 3.0
FREE_AFTER_S = 1.0
FILLERS = 4  # the first window
FILLER_TIMEOUT_S = 4.9
LATEST_S = 0.5  # after a request's time; the page's slack
KINDS = ("first", "repeat")
AIMS_US = ("100000", "500000", "2900000")


class HeldNode(ThreadedNode):
    """A node that answers nothing until it is released."""

    def __init__(self, shard: int) -> None:
        self.released = threading.Event()
        super().__init__(shard)

    def work(self, name: str) -> None:
        self.released.wait(30)


def ask(port: int, name: str, timeout_s: float) -> tuple[int, float]:
    """Send a request, marked as a repeat if its name says so; return its status, and how long that took."""
    message = put_request(name, 1, 0, timeout_s)
    if name.startswith("repeat"):
        message = message.replace(b"X-Plan", b"Client-Retry: 1\r\nX-Plan")
    began = time.monotonic()
    with socket.create_connection((HOST, port), 2.0) as client:
        client.settimeout(timeout_s + 2.0)
        client.sendall(message)
        status = int(client.recv(4096)[9:12])
    return status, time.monotonic() - began


def fill(port: int, name: str) -> None:
    """Send a request whose answer nobody looks at."""
    with suppress(OSError, ValueError):
        ask(port, name, FILLER_TIMEOUT_S)


@pytest.mark.parametrize("aim_us", AIMS_US)
@pytest.mark.parametrize("is_released", [True, False])
def test_requests_at_a_full_node_wait_for_a_place_in_their_time(
    tmp_path: Path, aim_us: str, is_released: bool
) -> None:
    node = HeldNode(0)
    nodes: list[HangingNode] = [node]
    discovery = ListService(nodes)
    gateway = GatewayProcesses(tmp_path, discovery, {"categories__1__aim_us": aim_us})
    answers: dict[str, tuple[int, float]] = {}
    try:
        gateway.start_and_await()
        fillers = [
            threading.Thread(target=fill, args=(gateway.port, f"fill{n}"), daemon=True)
            for n in range(FILLERS)
        ]
        for filler in fillers:
            filler.start()
        time.sleep(0.2)
        if is_released:
            threading.Timer(FREE_AFTER_S, node.released.set).start()
        answers = at_once(KINDS, lambda name: ask(gateway.port, name, TIMEOUT_S))
    finally:
        node.released.set()
        gateway.close()
        discovery.close()
        node.close()
    for name, (status, took_s) in answers.items():
        if is_released:
            assert status == 200 and FREE_AFTER_S - 0.1 <= took_s <= TIMEOUT_S, (name, status, took_s)
        else:
            assert status in (503, 504) and took_s <= TIMEOUT_S + LATEST_S, (name, status, took_s)
