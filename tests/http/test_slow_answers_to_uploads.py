"""A large request has one attempt, as its body is not kept: its node has all of the time to answer it."""

from __future__ import annotations

import pytest

from ..support.live_head import gateway_rig
from .test_node_connections import effect

TIMEOUT_S = 3.0
LARGE_BYTES = 100_000


@pytest.mark.parametrize("kind", ["retryable", "fragile", "dedup"])
@pytest.mark.parametrize("share", [0.4, 0.6, 0.95])
def test_a_large_request_that_its_node_answers_late_in_its_time_is_served(kind: str, share: float) -> None:
    """Guards against giving an upload's only attempt up at half of its time, as if it could be repeated."""
    with gateway_rig(**effect(kind)) as rig:
        client = rig.client()
        client.send(rig.request("a", timeout=int(TIMEOUT_S * 1000), body=b"x" * LARGE_BYTES))
        end = rig.nodes[0].wait_for("a")
        assert rig.until(lambda: end.read().count(b"x") >= LARGE_BYTES)
        rig.pass_time(share * TIMEOUT_S)
        rig.nodes[0].answer("a")
        client.read_until(b"\r\n\r\nok")
        assert client.text == b"" and rig.nodes[0].received("a") == 0


def test_a_large_request_that_its_node_never_answers_is_refused_or_failed_in_its_time() -> None:
    with gateway_rig(**effect("retryable")) as rig:
        client = rig.client()
        client.send(rig.request("a", timeout=int(TIMEOUT_S * 1000), body=b"x" * LARGE_BYTES))
        rig.nodes[0].wait_for("a")
        rig.pass_time(TIMEOUT_S + 0.01)
        assert client.read().startswith(b"HTTP/1.1 50")
