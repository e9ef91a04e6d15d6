"""A second answer of a node, some milliseconds late, is served to nobody."""

from __future__ import annotations

import pytest

from gaugesail.http import node_connection
from gaugesail.http.settle_time import (
    CLEAN_AFTER_SURPLUS_US,
    CLEAN_ANSWERS_AFTER_SURPLUS,
    FIRST_CLEAN_ANSWERS,
    LONG_REST_US,
    MAX_DELAY_US,
    REST_FACTOR,
    SHORT_REST_US,
    SettleTime,
)
from tests.support.live_head import GatewayRig, PeerSocket, gateway_rig

SECOND_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"


def ask(rig: GatewayRig, client: PeerSocket, name: str) -> None:
    """Send a request, and let it reach the first node."""
    client.send(rig.request(name))
    rig.nodes[0].wait_for(name)


def serve(rig: GatewayRig, client: PeerSocket, name: str) -> None:
    ask(rig, client, name)
    rig.nodes[0].answer(name)
    client.read_until(b"\r\n\r\nok")


@pytest.mark.parametrize("after_s", [0.006, 0.009, 0.03])
def test_a_second_answer_that_crosses_the_next_request_is_served_to_nobody(after_s: float) -> None:
    """Guards against reusing a connection before a late second answer has come."""
    with gateway_rig() as rig:
        client = rig.client()
        ask(rig, client, "first")
        first_end = rig.nodes[0].connections[-1]
        rig.nodes[0].answer("first", b"first")
        client.read_until(b"\r\n\r\nfirst")
        rig.pass_time(after_s)
        client.send(rig.request("next"))
        rig.turn(6)
        first_end.send(SECOND_ANSWER)  # the next request may be on its way there
        rig.nodes[0].wait_for("next")
        rig.nodes[0].answer("next", b"next!")
        client.read_until(b"\r\n\r\nnext!")


def test_an_answer_that_came_before_its_request_could_arrive_is_served_to_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a second answer from a node at a distance, on a connection that has rested."""
    with gateway_rig() as rig:
        client = rig.client()
        serve(rig, client, "first")
        rig.pass_time(2 * LONG_REST_US / 1e6)
        (node_end,) = rig.nodes[0].connections
        client.send(rig.request("next"))
        assert rig.until(lambda: rig.nodes[0].received("next") == 1)
        monkeypatch.setattr(node_connection, "unacknowledged_bytes", lambda link: len(node_end.text))
        node_end.send(SECOND_ANSWER)
        assert rig.until(node_end.closed)
        monkeypatch.undo()
        client.read_until(b"HTTP/1.1 503 ")


def test_a_request_does_not_wait_for_a_connection_to_rest() -> None:
    with gateway_rig() as rig:
        clients = [rig.client() for _ in range(3)]
        for number, client in enumerate(clients):
            client.send(rig.request(f"busy{number}"))
        for number, client in enumerate(clients):
            rig.nodes[0].wait_for(f"busy{number}")
            rig.nodes[0].answer(f"busy{number}")
            client.read_until(b"\r\n\r\nok")
        began = rig.now
        ask(rig, clients[0], "next")
        assert rig.now - began < LONG_REST_US / 2e6


def test_connections_of_a_node_without_second_answers_are_soon_reused_at_once() -> None:
    with gateway_rig() as rig:
        client = rig.client()
        for number in range(FIRST_CLEAN_ANSWERS + 1):
            serve(rig, client, f"clean{number}")
            rig.pass_time(LONG_REST_US / 1e6)
        opened = len(rig.nodes[0].connections)
        for number in range(10):
            serve(rig, client, f"reused{number}")
            rig.pass_time(2 * SHORT_REST_US / 1e6)
        assert len(rig.nodes[0].connections) == opened


def test_the_rest_is_long_at_first_and_after_surplus_bytes() -> None:
    settle = SettleTime()
    now_us = 1_000_000
    for _ in range(FIRST_CLEAN_ANSWERS):
        assert settle.rest_us(now_us) == LONG_REST_US
        settle.rested()
    assert settle.rest_us(now_us) == SHORT_REST_US
    settle.surplus(now_us, 40_000)
    for _ in range(CLEAN_ANSWERS_AFTER_SURPLUS):
        assert settle.rest_us(now_us) == REST_FACTOR * 40_000
        settle.rested()
    assert settle.rest_us(now_us) == REST_FACTOR * 40_000, "forgiven only after some time"
    now_us += CLEAN_AFTER_SURPLUS_US
    assert settle.rest_us(now_us) == SHORT_REST_US


def test_bytes_after_a_long_idle_time_are_no_second_answer() -> None:
    settle = SettleTime()
    for _ in range(FIRST_CLEAN_ANSWERS):
        settle.rested()
    settle.surplus(1_000_000, MAX_DELAY_US + 1)
    assert settle.rest_us(1_000_000) == SHORT_REST_US
