"""A process that is late gives the answers that are due before it reads more."""

from __future__ import annotations

from typing import Any

import pytest

from ..support.live_head import GatewayRig, PeerSocket, gateway_rig

TIMEOUT_S = 0.6
BODY = b"x" * 50_000
LARGE = b"x" * 200_000


def put(rig: GatewayRig, name: str, body: bytes, timeout_s: float = TIMEOUT_S) -> bytes:
    return rig.request(name, "write", timeout=int(timeout_s * 1000), body=body)


def first_answer_s(rig: GatewayRig, client: PeerSocket, most_s: float) -> float:
    """How long it takes until a client has the first bytes of its answer."""
    began = rig.now
    assert rig.until(lambda: bool(client.read()), most_s)
    return rig.now - began


@pytest.mark.parametrize("size", [len(BODY), len(LARGE)])
def test_a_body_that_is_not_read_is_refused_in_its_time(size: int) -> None:
    """Guards against a time that runs only from when 64 KiB of a body, or all of it, have been read."""
    with gateway_rig() as rig:
        client = rig.client()
        message = put(rig, "a", b"x" * size)
        client.send(message[:10_000])
        rig.turn(5)
        (connection,) = rig.gateway.front._open
        connection.wait_for_turn()
        client.send_available(message[10_000:])
        assert first_answer_s(rig, client, 5.0) <= TIMEOUT_S + 0.01
        assert client.text.startswith(b"HTTP/1.1 503 ")
        assert rig.gateway.engine.counts["body_out_of_time"] == 1


def test_a_client_that_writes_a_body_slowly_is_not_refused() -> None:
    with gateway_rig() as rig:
        client = rig.client()
        message = put(rig, "a", BODY)
        for at in range(0, len(message), 1_000):
            client.send(message[at : at + 1_000])
            rig.pass_time(0.04)
        rig.nodes[0].answer("a")
        client.read_until(b"\r\n\r\nok")


@pytest.mark.parametrize("timeout_ms", [3, 50])
def test_a_short_time_does_not_run_while_the_rest_of_a_body_is_to_come(timeout_ms: int) -> None:
    """Guards against refusing a request that its client still writes, as it had to wait for its turn."""
    with gateway_rig() as rig:
        client = rig.client()
        message = put(rig, "a", b"x" * 3_000, timeout_ms / 1000)
        client.send(message[:-300])
        rig.turn(5)
        (connection,) = rig.gateway.front._open
        connection.wait_for_turn()
        rig.pass_time(0.002)
        connection.take_turn()
        rig.pass_time(0.5)
        assert not client.read()
        client.send(message[-300:])
        if timeout_ms == 50:
            rig.nodes[0].answer("a")
        assert rig.until(lambda: b"HTTP/1.1 " in client.read(), 0.6)
        client.send(rig.request("b"))
        rig.nodes[0].answer("b")
        client.read_until(b"\r\n\r\nok")


def test_answers_that_are_due_come_before_more_of_many_bodies_is_read() -> None:
    """Guards against a pass over many uploads that takes so long that answers come after their time."""
    with gateway_rig() as rig:
        waiting = rig.client()
        waiting.send(rig.request("a", timeout=int(TIMEOUT_S * 1000)))
        rig.nodes[0].wait_for("a")
        due_at = rig.now + TIMEOUT_S
        uploads = [rig.client() for _ in range(60)]
        for number, upload in enumerate(uploads):
            upload.send(put(rig, f"u{number}", LARGE, 3.0)[:500])
        rig.turn(5)
        spend = rig.gateway.front.turns.spend

        def spend_slowly(client: Any, work: int) -> Any:
            rig.now += 0.005
            return spend(client, work)

        rig.gateway.front.turns.spend = spend_slowly
        rig.now = due_at - 0.02
        for upload in uploads:
            upload.send_available(b"x" * 30_000)
        answered_at = 0.0
        while not answered_at and rig.now < due_at + 2.0:
            rig.turn()
            rig.now += 0.001
            if waiting.read():
                answered_at = rig.now
        assert 0 < answered_at <= due_at + 0.1, answered_at - due_at


@pytest.mark.parametrize(("sent", "keeps"), [(20_000, False), (150_000, True)])
def test_no_request_waits_behind_the_long_rest_of_a_refused_one(sent: int, keeps: bool) -> None:
    """Guards against answers that come late as the rest of a refused upload has to be read first."""
    with gateway_rig() as rig:
        client = rig.client()
        message = put(rig, "a", LARGE)
        client.send(message[:sent])
        rig.turn(20)
        (connection,) = rig.gateway.front._open
        connection.reject_body()
        head = client.read_until(b"refused")
        assert (b"Connection: close" not in head) is keeps
        client.send(message[sent:])
        rig.pass_time(0.1)
        assert client.closed() is not keeps and not client.was_reset


@pytest.mark.parametrize("late_s", [0.0, 0.03])
@pytest.mark.parametrize("size", [2, 150_000])
def test_an_answer_that_has_arrived_is_read_before_its_time_ends_it(late_s: float, size: int) -> None:
    """Guards against refusing a request whose answer stands unread in the kernel as its time ends."""
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("a", timeout=int(TIMEOUT_S * 1000)))
        end = rig.nodes[0].wait_for("a")
        rig.pass_time(TIMEOUT_S - 0.1)
        end.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nxx" % size)
        rig.now += 0.1 + late_s
        rig.turn(3)
        assert client.read().startswith(b"HTTP/1.1 200 ")
        assert not end.closed()
