"""A head that stood still: what came meanwhile is read before a timer that is overdue acts."""

from __future__ import annotations

import pytest

from gaugesail.http import node_pool

from ..support.live_head import GatewayRig, HeldDials, PeerSocket, gateway_rig

STOOD_S = [0.3, 0.5, 1.0, 2.0]  # each longer than the time that drains leave


def resting(rig: GatewayRig, count: int) -> list[PeerSocket]:
    """So many clients, and a connection to the brick for each, that has rested."""
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


def drained(rig: GatewayRig, seconds: float) -> None:
    """A drain is in our kernel while we stand still."""
    rig.watch.send(rig.drain(rig.nodes[0], 2))
    rig.leap(seconds)
    rig.turn(8)


@pytest.mark.parametrize("seconds", STOOD_S)
def test_a_pause_after_a_failure_is_over_as_we_wake(seconds: float) -> None:
    with gateway_rig() as rig:
        clients, node = resting(rig, 3), rig.nodes[0]
        clients[0].send(rig.request("name"))
        end = node.wait_for("name")
        end.send(b"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
        rig.turn(3)
        drained(rig, seconds)
        assert node.received("name") == 1, "it was sent again to a node that drains"


@pytest.mark.parametrize("seconds", STOOD_S)
def test_a_connection_has_rested_as_we_wake(seconds: float, monkeypatch: pytest.MonkeyPatch) -> None:
    with gateway_rig() as rig:
        node, clients = rig.nodes[0], [rig.client(), rig.client()]
        clients[0].send(rig.request("first"))
        node.wait_for("first")
        HeldDials(monkeypatch, node_pool)  # there is this one connection alone
        rig.pass_time(0.05)
        node.answer("first")
        clients[0].read_until(b"\r\n\r\nok")
        clients[1].send(rig.request("name"))
        rig.turn(6)
        assert not node.received("name")
        drained(rig, seconds)
        assert not node.received("name"), "it was sent to a node that drains"


def test_an_answer_is_there_as_its_attempt_would_be_given_up() -> None:
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("name"))
        rig.nodes[0].wait_for("name")
        rig.nodes[0].answer("name")
        rig.leap(2.5)
        client.read_until(b"\r\n\r\nok")
