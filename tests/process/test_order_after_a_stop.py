"""Writes of an item keep the order of their arrival when a process that stood still reads them together."""

from __future__ import annotations

import signal
import socket
import time
from pathlib import Path

import pytest

from ..support.faulty_process import HOST, ListService, read_head
from ..support.gateway_processes import GatewayProcesses, put_request
from ..support.pressed_gateway import ScriptedNode, answer_at_once

TIMEOUT_S = 3.0
APART_S = 0.1  # between the two writes
ITEM = 5


class Client:
    """A client on a connection of its own."""

    def __init__(self, port: int) -> None:
        self._socket = socket.create_connection((HOST, port), 5.0)
        self._socket.settimeout(TIMEOUT_S + 2.0)
        self._stream = self._socket.makefile("rb")

    def send(self, name: str) -> None:
        self._socket.sendall(put_request(name, ITEM, 0, TIMEOUT_S, b"data"))

    def read(self) -> str:
        head = read_head(self._stream)
        assert head is not None
        self._stream.read(int(head["content-length"]))
        return head[""]

    def close(self) -> None:
        self._stream.close()
        self._socket.close()


@pytest.mark.parametrize("has_successor", [False, True])
@pytest.mark.parametrize("queued", [0, 200])
def test_a_write_on_a_new_connection_is_not_overtaken(
    tmp_path: Path, has_successor: bool, queued: int
) -> None:
    """Guards against a later write that is sent while an earlier one's connection is only being accepted."""
    node = ScriptedNode(0, answer_at_once)
    discovery = ListService([node])
    gateway = GatewayProcesses(tmp_path, discovery, {"categories__1__keep_order": "true"})
    clients = []
    try:
        stopped = gateway.start_and_await()
        if has_successor:
            stopped = gateway.start_and_await()
            time.sleep(0.2)
        clients.append(connected := Client(gateway.port))
        connected.send("first")
        assert connected.read().split()[1] == "200"
        stopped.send_signal(signal.SIGSTOP)
        clients += [Client(gateway.port) for _ in range(queued)]  # more than are accepted at once
        clients.append(new := Client(gateway.port))
        new.send("second")
        time.sleep(APART_S)
        connected.send("third")
        time.sleep(APART_S)
        stopped.send_signal(signal.SIGCONT)
        assert [client.read().split()[1] for client in (new, connected)] == ["200", "200"]
        assert node.ids == ["first", "second", "third"]
    finally:
        for client in clients:
            client.close()
        gateway.close()
        discovery.close()
        node.close()
