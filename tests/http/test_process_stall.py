"""After a stall of the process, input that arrived meanwhile is read before overdue timers run."""

from __future__ import annotations

import pytest

from gaugesail.http import node_pool

from ..support.live_head import GatewayRig, HeldDials, PeerSocket, gateway_rig

STALL_S = [0.3, 0.5, 1.0, 2.0]  # each longer than the drain grace


def with_idle_connections(rig: GatewayRig, count: int) -> list[PeerSocket]:
    """Return this many clients, each with an idle, settled connection to the node."""
    clients = [rig.client() for _ in range(count)]
    for number, client in enumerate(clients):
        client.send(rig.request(f"before{number}"))
    for number in range(count):
        rig.nodes[0].wait_for(f"before{number}")
    for number in range(count):
        rig.nodes[0].answer(f"before{number}")
    for client in clients:
        client.read_until(b"\r\n\r\nok")
    rig.pass_time(0.05)
    return clients


def drain_and_stall(rig: GatewayRig, seconds: float) -> None:
    """Send a drain, which stays in the kernel during the stall."""
    rig.watch.send(rig.drain(rig.nodes[0], 2))
    rig.leap(seconds)
    rig.turn(8)


@pytest.mark.parametrize("seconds", STALL_S)
def test_a_retry_delay_ends_during_the_stall(seconds: float) -> None:
    with gateway_rig() as rig:
        clients, node = with_idle_connections(rig, 3), rig.nodes[0]
        clients[0].send(rig.request("name"))
        end = node.wait_for("name")
        end.send(b"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
        rig.turn(3)
        drain_and_stall(rig, seconds)
        assert node.received("name") == 1, "it was sent again to a node that drains"


@pytest.mark.parametrize("seconds", STALL_S)
def test_a_connection_settles_during_the_stall(seconds: float, monkeypatch: pytest.MonkeyPatch) -> None:
    with gateway_rig() as rig:
        node, clients = rig.nodes[0], [rig.client(), rig.client()]
        clients[0].send(rig.request("first"))
        node.wait_for("first")
        HeldDials(monkeypatch, node_pool)  # no other connection opens
        rig.pass_time(0.05)
        node.answer("first")
        clients[0].read_until(b"\r\n\r\nok")
        clients[1].send(rig.request("name"))
        rig.turn(6)
        assert not node.received("name")
        drain_and_stall(rig, seconds)
        assert not node.received("name"), "it was sent to a node that drains"


def test_an_answer_in_the_kernel_is_read_before_the_attempts_timeout() -> None:
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("name"))
        rig.nodes[0].wait_for("name")
        rig.nodes[0].answer("name")
        rig.leap(2.5)
        client.read_until(b"\r\n\r\nok")
