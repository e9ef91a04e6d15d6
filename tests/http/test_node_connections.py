"""Connections to nodes that end, open or answer at the wrong moment."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import pytest

from gaugesail.core.ports import Attempt
from gaugesail.policy.events import AttemptResult

from ..support.live_head import GatewayRig, HeldDials, PeerSocket, gateway_rig

FULL = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
LONG_REST_S = 10.0
LATE_DIALS = {"settings__permissions__connect_timeout_us": "2000000"}


def effect(name: str, **more: str) -> dict[str, str]:
    """Return the changes of settings that give the class ``read`` this effect."""
    return {"settings__categories__0__effect": name} | {
        f"settings__categories__0__{key}": value for key, value in more.items()
    }


def attempt_in_flight(rig: GatewayRig) -> Attempt:
    (attempt,) = rig.gateway.engine._table.attempts.values()
    return attempt


def served_once(rig: GatewayRig) -> tuple[PeerSocket, PeerSocket]:
    """Return a client and the reusable node connection that served its first request."""
    client = rig.client()
    client.send(rig.request("first"))
    kept = rig.nodes[0].wait_for("first")
    rig.nodes[0].answer("first")
    client.read_until(b"\r\n\r\nok")
    rig.pass_time(0.02)
    return client, kept


def test_an_aborted_attempt_closes_its_connection_within_the_call() -> None:
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("a"))
        end = rig.nodes[0].wait_for("a")
        rig.gateway.engine.attempts.abort(attempt_in_flight(rig), AttemptResult.TIMEOUT)
        assert end.closed(), "its connection is still open when the call returns"


def test_after_a_stall_no_two_attempts_are_in_flight() -> None:
    """Timeouts, delays and ticks are due together: an attempt ends before the next one starts."""
    with gateway_rig() as rig:
        client, node = rig.client(), rig.nodes[0]
        client.send(rig.request("a"))
        for _ in range(3):
            end = node.wait_for("a")
            end.text = b""
            rig.leap(1.45)
            assert rig.until(lambda: node.received("a") > 0 or client.closed() or bool(client.read()))
            assert end.closed()
            if client.text:
                break


def test_the_node_closes_in_the_iteration_in_which_the_connection_is_taken() -> None:
    with gateway_rig() as rig:
        client, kept = served_once(rig)
        client.send(rig.request("second"))
        rig.reactor.doIteration(0)  # the request is read, and would be sent in this iteration
        kept.fin()
        rig.pass_time(0.02)
        assert rig.nodes[0].received("second") == 1 and not rig.gateway.engine.counts["attempt_no_connection"]
        rig.nodes[0].answer("second", b"2nd")
        client.read_until(b"\r\n\r\n2nd")
        assert rig.gateway.engine.counts["sent"] == 2


@pytest.mark.parametrize("read_first", [True, False])
def test_a_second_answer_on_an_idle_connection_is_discarded(read_first: bool) -> None:
    with gateway_rig() as rig:
        client, kept = served_once(rig)
        client.send(rig.request("second"))
        if read_first:
            rig.reactor.doIteration(0)
        kept.send(OK + b"NO")
        rig.pass_time(0.02)
        assert rig.nodes[0].wait_for("second") is not kept
        rig.nodes[0].answer("second", b"2nd")
        assert b"NO" not in client.read_until(b"\r\n\r\n2nd")
        assert kept.closed()


@pytest.mark.parametrize("way", ["fin", "rst"])
def test_an_unrepeatable_request_with_an_unknown_result_fails_and_is_sent_once(way: str) -> None:
    with gateway_rig(**effect("fragile")) as rig:
        client = rig.client()
        client.send(rig.request("a"))
        getattr(rig.nodes[0].wait_for("a"), way)()
        client.read_until(b"HTTP/1.1 500 ")
        rig.nodes[0].connections.clear()
        rig.pass_time(1.0)
        assert not rig.nodes[0].received("a")


def test_an_unrepeatable_request_that_was_rejected_unrun_is_repeated() -> None:
    with gateway_rig(**effect("fragile")) as rig:
        client = rig.client()
        client.send(rig.request("a"))
        end = rig.nodes[0].wait_for("a")
        end.text = b""
        end.send(FULL)
        rig.nodes[0].answer("a")
        client.read_until(b"\r\n\r\nok")


@pytest.mark.parametrize("kind", ["retryable", "fragile"])
def test_a_connection_that_is_late_while_the_deadline_passes(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request cannot have run: it is rejected in time, whatever its class, and not written later."""
    with gateway_rig(**LATE_DIALS, **effect(kind, aim_us="200000", give_up_us="400000")) as rig:
        dials, client = HeldDials(monkeypatch), rig.client()
        began = rig.now
        client.send(rig.request("a", timeout=400))
        assert rig.until(lambda: bool(dials.held))
        client.read_until(b"HTTP/1.1 503 ")
        assert rig.now - began <= 0.4
        dials.release()
        rig.pass_time(0.5)
        assert not rig.nodes[0].received("a") and not client.closed()
        client.send(rig.request("b", timeout=400))
        rig.nodes[0].answer("b", b"b!")
        client.read_until(b"\r\n\r\nb!")


def test_a_request_that_may_have_run_is_repeated_only_within_its_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The next attempt was made in time, but its connection opened after the window."""
    window = {"window_us": "600000", "group": "all", "aim_us": "2500000"}
    with gateway_rig(**LATE_DIALS, **effect("dedup", **window)) as rig:
        client = rig.client()
        client.send(rig.request("a"))
        end = rig.nodes[0].wait_for("a")
        dials = HeldDials(monkeypatch)
        rig.nodes[0].connections.clear()
        end.rst()
        assert rig.until(lambda: bool(dials.held))
        rig.pass_time(0.7)
        dials.release()
        client.read_until(b"HTTP/1.1 ")
        assert not rig.nodes[0].received("a")


def test_a_drain_received_between_the_choice_and_the_first_byte(monkeypatch: pytest.MonkeyPatch) -> None:
    with gateway_rig(**LATE_DIALS) as rig:
        dials, client = HeldDials(monkeypatch), rig.client()
        client.send(rig.request("a"))
        assert rig.until(lambda: bool(dials.held))
        rig.watch.send(rig.drain(rig.nodes[0], 2))
        rig.turn(3)
        dials.release()
        rig.pass_time(0.6)
        assert not rig.nodes[0].received("a")
        client.read_until(b"HTTP/1.1 503 ")


def test_a_drain_received_before_the_next_attempt() -> None:
    with gateway_rig() as rig:
        client, node = rig.client(), rig.nodes[0]
        client.send(rig.request("a"))
        end = node.wait_for("a")
        end.text = b""
        end.send(FULL)
        rig.watch.send(rig.drain(node, 2))
        rig.pass_time(0.6)
        assert not node.received("a")
        client.read_until(b"HTTP/1.1 503 ")


def trickled_answer(rig: GatewayRig, head: bytes, part: bytes) -> tuple[PeerSocket, Callable[[], bool]]:
    """Send a request with 0.6 s; return its client, and a call that writes one more part of its answer.

    The call writes the head first, on every connection that carries the request, lets 20 ms pass, and
    returns whether the client has received anything.
    """
    client, node = rig.client(), rig.nodes[0]
    client.send(rig.request("a", timeout=600))
    begun: list[PeerSocket] = []

    def trickle() -> bool:
        node.read_all()
        for end in node.connections:
            try:
                end.sock.send(part if end in begun else b"HTTP/1.1 200 OK\r\n" + head + b"\r\n")
                if end not in begun:
                    begun.append(end)
            except OSError:
                continue
        rig.pass_time(0.02)
        return bool(client.read())

    return client, trickle


@pytest.mark.parametrize("kind", ["retryable", "fragile"])
def test_a_short_answer_whose_bytes_trickle_ends_with_its_request(kind: str) -> None:
    with gateway_rig(**effect(kind, aim_us="300000", give_up_us="600000")) as rig:
        client, trickle = trickled_answer(rig, b"Content-Length: 4000\r\n", b"x")
        began = rig.now
        assert rig.until(trickle)
        assert rig.now - began <= 0.66
        assert client.text.count(b"HTTP/1.1 ") == 1 and b" 200 " not in client.text
        rig.pass_time(0.5)
        assert all(end.closed() for end in rig.nodes[0].connections)
        assert client.read().count(b"HTTP/1.1 ") == 1


@pytest.mark.parametrize("kind", ["retryable", "fragile"])
@pytest.mark.parametrize("framing", ["chunked", "close"])
def test_an_answer_without_a_length_whose_bytes_trickle_is_passed_on_at_its_time(
    kind: str, framing: str
) -> None:
    """Guards against refusing an answer of which nothing tells that it is short."""
    head, part = (b"Transfer-Encoding: chunked\r\n", b"1\r\nx\r\n") if framing == "chunked" else (b"", b"x")
    with gateway_rig(**effect(kind, aim_us="300000", give_up_us="600000")) as rig:
        client, trickle = trickled_answer(rig, head, part)
        began = rig.now
        assert rig.until(trickle)
        assert rig.now - began <= 0.62
        assert client.text.startswith(b"HTTP/1.1 200 ")
        (end,) = rig.nodes[0].connections
        for _ in range(20):  # whatever comes from now on goes on at once
            received = client.read().count(b"x")
            trickle()
            assert client.read().count(b"x") == received + 1
        rig.pass_time(LONG_REST_S + 2.0)
        assert not client.closed() and not end.closed()
        rig.nodes[0].phase = "Gone"
        rig.watch.send(rig.list_chunk(False, rig.nodes, 2))
        rig.pass_time(0.5)
        assert client.closed() and client.was_reset and end.closed()
        assert client.text.count(b"HTTP/1.1 ") == 1 and not client.text.endswith(b"0\r\n\r\n")
        assert rig.nodes[0].received("a") == 1


@pytest.mark.parametrize("answer_first", [True, False])
@pytest.mark.parametrize("wait", [1.45, 2.997])
def test_an_answer_and_the_timeout_in_one_iteration(answer_first: bool, wait: float) -> None:
    """The client gets one answer, whichever event is first; a late answer of the node is discarded."""
    with gateway_rig() as rig:
        client, node = rig.client(), rig.nodes[0]
        client.send(rig.request("a"))
        end = node.wait_for("a")
        end.text = b""
        rig.leap(wait)
        end.send(OK + b"ok")
        if answer_first:
            rig.reactor.doIteration(0)
        rig.pass_time(0.3)
        assert client.read().count(b"HTTP/1.1 ") <= 1
        if answer_first:
            assert client.text.endswith(b"\r\n\r\nok")
        elif node.received("a"):
            node.answer("a", b"again")
            client.read_until(b"\r\n\r\nagain")
            assert client.text.count(b"HTTP/1.1 ") == 0
        client.send(rig.request("b"))
        node.answer("b", b"b!")
        client.read_until(b"\r\n\r\nb!")


@pytest.mark.parametrize("half", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal"])
def test_a_request_reset_during_its_answer_is_repeated_once_and_answered_once(half: bytes) -> None:
    with gateway_rig() as rig:
        client, node = rig.client(), rig.nodes[0]
        client.send(rig.request("a"))
        end = node.wait_for("a")
        if half:
            end.send(half)
            rig.turn(2)
        node.connections.remove(end)
        end.rst()
        node.answer("a", b"whole")
        client.read_until(b"\r\n\r\nwhole")
        rig.pass_time(0.5)
        assert not node.received("a") and not client.read()


def test_a_client_that_disconnects_between_the_nodes_answer_and_its_own() -> None:
    with gateway_rig() as rig:
        client, node = rig.client(), rig.nodes[0]
        client.send(rig.request("a"))
        end = node.wait_for("a")
        end.send(OK + b"ok")
        client.rst()
        rig.pass_time(0.1)
        other = rig.client()
        other.send(rig.request("b"))
        node.answer("b", b"b!")
        assert other.read_until(b"b!").count(b"HTTP/1.1 ") == 1
        assert rig.gateway.engine.idle and rig.gateway.buffers.out == 0


def test_a_client_that_repeats_its_request_at_once_gets_409() -> None:
    with gateway_rig() as rig:
        client, node = rig.client(), rig.nodes[0]
        client.send(rig.request("a"))
        node.wait_for("a")
        client.rst()
        again = rig.client()
        again.send(rig.request("a"))
        again.read_until(b"HTTP/1.1 409 ")
        rig.pass_time(0.2)
        assert node.received("a") == 1


def test_retry_after_is_sent_only_if_the_settings_allow_it() -> None:
    for allowed in ("1", ""):
        change: dict[str, Any] = {"settings__permissions__retry_after": allowed or "0"}
        with gateway_rig(**change) as rig:
            rig.watch.send(rig.drain(rig.nodes[0], 2))
            rig.turn(3)
            client = rig.client()
            client.send(rig.request("a"))
            client.read_until(b"HTTP/1.1 503 ")
            assert (b"Retry-After" in client.read()) == bool(allowed)


def test_unknown_header_fields_are_forwarded_and_connection_specific_ones_are_not() -> None:
    """Clients of a class with deduplication by key send that key, and nodes read it."""
    more = (
        "Idempotency-Key: cd96000fde0eeb55\r\nX-Later: a, b\r\nCookie: other=1\r\nConnection: keep-alive, "
        "X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nKeep-Alive: timeout=5\r\n"
    )
    with gateway_rig(**effect("dedup", window_us="5000000", group="all")) as rig:
        client, node = rig.client(), rig.nodes[0]
        for is_first in (True, False):  # the next attempt sends the same fields
            if is_first:
                client.send(rig.request("a", body=b"body", more=more))
            end = node.wait_for("a")
            fields = end.text.lower()
            assert b"idempotency-key: cd96000fde0eeb55\r\n" in fields and b"x-later: a, b\r\n" in fields
            assert b"cookie: block=1; other=1\r\n" in fields
            assert not any(name in fields for name in (b"x-hop", b"te:", b"keep-alive", b"connection:"))
            assert (
                fields.count(b"host:")
                == fields.count(b"content-length:")
                == fields.count(b"request-id:")
                == 1
            )
            if is_first:
                end.text = b""
                end.send(FULL)
        node.answer("a")
        client.read_until(b"\r\n\r\nok")


def test_a_node_that_reads_nothing_holds_no_request_beyond_its_deadline() -> None:
    """The request is never written completely, so it has not run: its client gets an answer in time."""
    with gateway_rig(**effect("fragile", aim_us="200000", give_up_us="400000")) as rig:
        client, node = rig.client(), rig.nodes[0]
        node.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        began, body = rig.now, b"b" * 60_000
        client.send(rig.request("a", timeout=400, body=body))
        client.read_until(b"HTTP/1.1 ")
        assert rig.now - began <= 0.42
