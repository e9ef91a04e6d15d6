"""A request that may have run for a client that left is not run again under the same id."""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from ..support.faulty_process import HOST, HangingNode, wait_until
from ..support.gateway_processes import GatewayProcesses, put_request
from ..support.pressed_gateway import PressedGateway, ScriptedNode
from .test_slow_bodies import read_answer

WORK_S = 0.6
LONG_WORK_S = 2.2
TIMEOUT_S = 2.5


class Upgrade:
    """A gateway whose only node takes WORK_S for a request, and perhaps a second process of it."""

    def __init__(self, folder: Path) -> None:
        self.node = ScriptedNode(0, self._work)
        nodes: list[HangingNode] = [self.node]
        self.pressed = PressedGateway(folder, 192, nodes)
        self.processes: GatewayProcesses = self.pressed.gateway

    @staticmethod
    def _work(connection: socket.socket, head: dict[str, str]) -> None:
        time.sleep(LONG_WORK_S if head["request-id"] == "long" else WORK_S)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    def connect(self) -> socket.socket:
        return socket.create_connection((HOST, self.processes.port), 5.0)

    def replace(self) -> None:
        """Start a second process, which takes the new connections from now on."""
        self.processes.start_and_await()
        time.sleep(0.1)

    def ids(self, name: str) -> int:
        return self.node.ids.count(name)

    def send_and_leave(self, client: socket.socket, name: str) -> None:
        """Send a request, and close once it has reached the node."""
        client.sendall(put_request(name, 1, 0, TIMEOUT_S))
        assert wait_until(lambda: self.ids(name) == 1, 3.0)
        client.close()

    def send_and_leave_unread(self, client: socket.socket, name: str) -> None:
        """Send a request, and wait until its answer has come, but do not read it."""
        client.sendall(put_request(name, 1, 0, TIMEOUT_S))
        time.sleep(WORK_S + 0.2)

    def repeat(self, name: str) -> int:
        return read_answer(self.processes.port, put_request(name, 1, 0, TIMEOUT_S), 2 * TIMEOUT_S)[0]


@pytest.fixture
def upgrade(tmp_path: Path) -> Iterator[Upgrade]:
    made = Upgrade(tmp_path)
    yield made
    made.pressed.close()


@pytest.mark.parametrize("after_s", [0.0, WORK_S / 2, 2 * WORK_S])
@pytest.mark.parametrize("at_other_process", [False, True])
def test_an_id_whose_client_has_left_does_not_run_again(
    upgrade: Upgrade, after_s: float, at_other_process: bool
) -> None:
    """Guards against forgetting the id, or keeping it from the other process of an upgrade."""
    client = upgrade.connect()
    if at_other_process:
        upgrade.replace()
    upgrade.send_and_leave(client, "left")
    time.sleep(after_s)
    status = upgrade.repeat("left")
    assert (upgrade.ids("left"), status) == (1, 409)


@pytest.mark.parametrize("at_other_process", [False, True])
def test_an_id_whose_client_left_with_its_answer_unread_does_not_run_again(
    upgrade: Upgrade, at_other_process: bool
) -> None:
    """Guards against taking an answer that was written for one that was read."""
    client = upgrade.connect()
    if at_other_process:
        upgrade.replace()
    upgrade.send_and_leave_unread(client, "left")
    client.close()
    time.sleep(0.05)
    assert (upgrade.repeat("left"), upgrade.ids("left")) == (409, 1)


def test_an_id_whose_client_leaves_a_process_that_stands_still_does_not_run_again(upgrade: Upgrade) -> None:
    """Guards against freeing an id at the other process before its client is known to have its answer."""
    client = upgrade.connect()
    upgrade.replace()
    upgrade.send_and_leave_unread(client, "left")
    upgrade.processes.started[0].send_signal(signal.SIGSTOP)
    client.close()
    assert (upgrade.repeat("left"), upgrade.ids("left")) == (409, 1)


def test_an_id_whose_answer_is_unread_as_its_process_ends_does_not_run_again(upgrade: Upgrade) -> None:
    """Guards against an end whose last answers are taken for read."""
    client = upgrade.connect()
    upgrade.replace()
    upgrade.send_and_leave_unread(client, "left")
    old = upgrade.processes.started[0]
    old.send_signal(signal.SIGTERM)
    assert wait_until(lambda: old.poll() is not None, 2 * TIMEOUT_S)
    client.close()
    assert (upgrade.repeat("left"), upgrade.ids("left")) == (409, 1)


def test_an_id_whose_answer_was_read_may_be_used_again_at_the_other_process(upgrade: Upgrade) -> None:
    """Guards against ids that are still kept after the next request on their connection."""
    at_old = upgrade.connect()
    upgrade.replace()
    at_new = upgrade.connect()
    for client, name in ((at_new, "first"), (at_new, "second"), (at_old, "first")):
        client.settimeout(2 * TIMEOUT_S)
        client.sendall(put_request(name, 1, 0, TIMEOUT_S))
        assert client.recv(4096).startswith(b"HTTP/1.1 200")


def test_an_id_that_left_before_the_upgrade_does_not_run_again(upgrade: Upgrade) -> None:
    """Guards against a successor that does not learn what its predecessor remembers."""
    upgrade.send_and_leave(upgrade.connect(), "left")
    upgrade.processes.start_and_await()
    assert upgrade.repeat("left") == 409
    assert upgrade.ids("left") == 1


def test_an_id_that_the_new_process_has_sent_does_not_run_again_at_the_old_one(upgrade: Upgrade) -> None:
    """Guards against a predecessor that does not learn what its successor sends."""
    kept = upgrade.connect()
    upgrade.replace()
    upgrade.send_and_leave(upgrade.connect(), "left")
    kept.sendall(put_request("left", 1, 0, TIMEOUT_S))
    kept.settimeout(2 * TIMEOUT_S)
    assert kept.recv(4096).startswith(b"HTTP/1.1 409")
    assert upgrade.ids("left") == 1


def test_an_id_does_not_run_again_at_a_third_process_that_serves_beside_two_ending_ones(
    upgrade: Upgrade,
) -> None:
    """Guards against a process that is told no ids until the first of the two has ended."""
    waits = upgrade.connect()
    waits.sendall(put_request("long", 2, 0, TIMEOUT_S))  # the first process waits for its answer
    upgrade.replace()
    first, second = upgrade.processes.started
    upgrade.send_and_leave(upgrade.connect(), "left")
    first.send_signal(signal.SIGTERM)
    upgrade.processes.start()
    second.send_signal(signal.SIGTERM)
    upgrade.processes.await_serving(2)
    assert first.poll() is None, "the third process did not serve beside the first: nothing was tested"
    assert (upgrade.repeat("left"), upgrade.ids("left")) == (409, 1)
