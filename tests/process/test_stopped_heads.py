"""Clients that stop amid a head do not hold back those that wait behind them for a place."""

from __future__ import annotations

import socket
import time
from pathlib import Path

from ..support.faulty_process import HOST
from ..support.pressed_gateway import PressedGateway, get_request
from .test_slow_bodies import read_answer

SOCKETS = 160  # 53 clients of one process
STOPPED_CLIENTS = 400
STOPPED_S = 0.5  # before the usual client comes
TIMEOUT_S = 2.0
HALF_HEAD = b"GET /api HTTP/1.1\r\nHost: h\r\n"


def test_a_client_does_not_wait_for_each_one_before_it_that_stopped_amid_a_head(tmp_path: Path) -> None:
    """Guards against giving such clients time to go on that they have had while they waited unread."""
    pressed = PressedGateway(tmp_path, 96, sockets=SOCKETS)
    stopped = []
    try:
        for _ in range(STOPPED_CLIENTS):
            stopped.append(socket.create_connection((HOST, pressed.port), 5.0))
            stopped[-1].sendall(HALF_HEAD)
        time.sleep(STOPPED_S)
        began = time.monotonic()
        status, _, _ = read_answer(pressed.port, get_request("usual", 0, TIMEOUT_S), 2 * TIMEOUT_S)
        took_s = time.monotonic() - began
    finally:
        pressed.close()
        for client in stopped:
            client.close()
    assert status == 200 and took_s < TIMEOUT_S
