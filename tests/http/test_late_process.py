"""A process that is late gives the answers that are due before it reads more."""

from __future__ import annotations

from typing import Any

import pytest

from ..support.live_head import GatewayRig, gateway_rig

TIMEOUT_S = 0.6
LARGE = b"x" * 200_000


def put(rig: GatewayRig, name: str, body: bytes, timeout_s: float = TIMEOUT_S) -> bytes:
    return rig.request(name, "write", timeout=int(timeout_s * 1000), body=body)


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
