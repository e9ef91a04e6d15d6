"""A node that is silent in a long answer is not cut off; what then ends one that has gone."""

from __future__ import annotations

import pytest

from gaugesail.http.client_server import ClientCapacity

from ..support.live_head import GatewayRig, NodePeer, PeerSocket, gateway_rig
from .test_long_answers import LUMP, assert_whole, begin, finish, framings

LONG_REST_S = 10.0
AFTER_TIME_S = 2.0
TIMEOUT_S = 0.6
SWEEP_S = 0.3


def relist(rig: GatewayRig, phase: str, revision: int, started_ms: int = 0) -> None:
    """Send a change of the first node's entry."""
    node = rig.nodes[0]
    node.phase = phase
    entry = NodePeer.member(node) | {"up_since_ms": started_ms}
    node.member = lambda: entry  # type: ignore[method-assign]
    rig.watch.send(rig.list_chunk(False, rig.nodes, revision))
    rig.turn(5)


@framings
@pytest.mark.parametrize("rest_s", [5.5, 10.0, 65.0])
def test_a_node_that_is_silent_and_writes_on_is_not_cut_off(framing: str, rest_s: float) -> None:
    """Guards against a limit of our own on the rests of an answer that a node is still writing."""
    with gateway_rig() as rig:
        client, end = begin(rig, framing)
        rig.pass_time(rest_s)
        assert not (client.closed() or end.closed())
        finish(end, framing, 2 * LUMP)
        assert_whole(rig, client)


@framings
@pytest.mark.parametrize(("phase", "started_ms"), [("Gone", 0), ("Ready", 1_700_000_100_000)])
def test_an_answer_of_a_process_that_has_gone_ends_after_its_rest(
    framing: str, phase: str, started_ms: int
) -> None:
    with gateway_rig() as rig:
        client, end = begin(rig, framing)
        relist(rig, phase, 2, started_ms)
        rig.pass_time(LONG_REST_S - 0.2)
        assert not (client.closed() or end.closed()), "it may still write"
        rig.pass_time(SWEEP_S + 0.2)
        assert client.closed() and client.was_reset and end.closed()
        assert "event=stream_given_up" in rig.log.getvalue() and "why=node_gone" in rig.log.getvalue()


@pytest.mark.parametrize("phase", ["Terminating", "Gone"])
def test_a_node_that_drains_or_is_back_in_the_list_finishes_what_it_holds(phase: str) -> None:
    with gateway_rig() as rig:
        client, end = begin(rig, "chunked")
        relist(rig, phase, 2)
        if phase == "Gone":
            relist(rig, "Ready", 3)
        rig.pass_time(3 * LONG_REST_S)
        finish(end, "chunked", 2 * LUMP)
        assert_whole(rig, client)


def test_an_answer_that_goes_on_outlasts_the_entry_of_its_node() -> None:
    with gateway_rig() as rig:
        client, end = begin(rig, "length")
        relist(rig, "Gone", 2)
        for _ in range(5):
            rig.pass_time(LONG_REST_S - 1.0)
            end.send(b"x" * 1_000)
        finish(end, "length", 2 * LUMP - 5_000)
        assert_whole(rig, client)


def begin_at(rig: GatewayRig, name: str) -> tuple[PeerSocket, PeerSocket]:
    client = rig.client()
    client.send(rig.request(name, timeout=int(TIMEOUT_S * 1000)))
    end = rig.nodes[0].wait_for(name)
    end.text = b""
    end.send(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + b"x" * LUMP)
    rig.turn(20)
    return client, end


def test_the_answer_that_rests_for_longest_ends_where_a_connection_to_a_node_is_needed() -> None:
    """Guards against nodes that have vanished in an answer and hold all connections for ever."""
    with gateway_rig() as rig:
        first, first_end = begin_at(rig, "first")
        rig.pass_time(1.0)
        second, second_end = begin_at(rig, "second")
        rig.gateway.transport.limit(2)
        rig.pass_time(LONG_REST_S + AFTER_TIME_S)
        assert not (first.closed() or second.closed())
        other = rig.client()
        other.send(rig.request("other"))
        rig.nodes[0].answer("other", b"own")
        other.read_until(b"\r\n\r\nown")
        assert first.closed() and first.was_reset and first_end.closed()
        assert not (second.closed() or second_end.closed())
        assert "why=connection_needed" in rig.log.getvalue()


def test_no_answer_that_rested_shortly_ends_for_the_connection_of_another_request() -> None:
    with gateway_rig() as rig:
        client, end = begin_at(rig, "first")
        rig.gateway.transport.limit(1)
        rig.pass_time(LONG_REST_S - 1.0)
        other = rig.client()
        other.send(rig.request("other"))
        rig.pass_time(0.5)
        assert not (client.closed() or end.closed())
        assert not rig.nodes[0].received("other")


def test_an_answer_that_rests_does_not_end_where_clients_wait_for_a_place() -> None:
    """Guards against crowds of clients that cost another one its answer."""
    with gateway_rig() as rig:
        client, end = begin_at(rig, "first")
        rig.pass_time(LONG_REST_S + AFTER_TIME_S)
        rig.gateway.front.limit(ClientCapacity(3, 0))
        for name in ("second", "third"):
            other = rig.client()
            other.send(rig.request(name))
            rig.nodes[0].wait_for(name)
        assert rig.gateway.front.held
        rig.pass_time(SWEEP_S)
        assert not (client.closed() or end.closed())


def test_answers_that_rest_hold_half_of_the_connections_before_any_goes() -> None:
    with gateway_rig() as rig:
        client, end = begin_at(rig, "first")
        rig.pass_time(LONG_REST_S + AFTER_TIME_S)
        rig.gateway.transport.limit(2)
        for name in ("second", "third"):
            other = rig.client()
            other.send(rig.request(name, timeout=500))
        rig.pass_time(0.6)
        assert not (client.closed() or end.closed())


def test_a_client_that_leaves_ends_the_answer_of_a_silent_node() -> None:
    with gateway_rig() as rig:
        client, end = begin(rig, "chunked")
        rig.pass_time(2 * LONG_REST_S)
        client.rst()
        rig.pass_time(0.1)
        assert end.closed()
