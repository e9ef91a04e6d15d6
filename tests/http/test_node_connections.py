"""Connections to bricks that end, come up or answer at the wrong instant."""

from __future__ import annotations

import socket
from typing import Any

import pytest

from gaugesail.core.ports import Attempt
from gaugesail.policy.events import AttemptResult

from ..support.live_head import GatewayRig, HeldDials, PeerSocket, gateway_rig

FULL = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
LATE_DIALS = {"settings__permissions__connect_timeout_us": "2000000"}


def effect(name: str, **more: str) -> dict[str, str]:
    """The class ``read`` has this effect."""
    return {"settings__categories__0__effect": name} | {
        f"settings__categories__0__{key}": value for key, value in more.items()
    }


def out(rig: GatewayRig) -> Attempt:
    (attempt,) = rig.gateway.engine._table.attempts.values()
    return attempt


def served_once(rig: GatewayRig) -> tuple[PeerSocket, PeerSocket]:
    """A client, and the connection that its first request was served by and that is kept."""
    client = rig.client()
    client.send(rig.request("first"))
    kept = rig.nodes[0].wait_for("first")
    rig.nodes[0].answer("first")
    client.read_until(b"\r\n\r\nok")
    rig.pass_time(0.02)
    return client, kept


def test_a_given_up_attempt_is_off_its_connection_before_anything_else_can_be_written() -> None:
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("a"))
        end = rig.nodes[0].wait_for("a")
        rig.gateway.engine.attempts.abort(out(rig), AttemptResult.TIMEOUT)
        assert end.closed(), "its connection is still open when the call returns"


def test_attempts_are_never_two_out_when_the_process_stood_still() -> None:
    """Time-outs, pauses and ticks all come due at once: an attempt's end is there before the next."""
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


def test_the_brick_closes_in_the_turn_in_which_the_connection_is_taken() -> None:
    with gateway_rig() as rig:
        client, kept = served_once(rig)
        client.send(rig.request("second"))
        rig.reactor.doIteration(0)  # the request is read, and is to go out in this turn
        kept.fin()
        rig.pass_time(0.02)
        assert rig.nodes[0].received("second") == 1 and not rig.gateway.engine.counts["attempt_no_connection"]
        rig.nodes[0].answer("second", b"2nd")
        client.read_until(b"\r\n\r\n2nd")
        assert rig.gateway.engine.counts["sent"] == 2


@pytest.mark.parametrize("read_first", [True, False])
def test_a_second_answer_on_a_kept_connection_reaches_nobody(read_first: bool) -> None:
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
def test_an_unrepeatable_request_whose_outcome_is_unknown_ends_as_failed_and_is_sent_once(way: str) -> None:
    with gateway_rig(**effect("fragile")) as rig:
        client = rig.client()
        client.send(rig.request("a"))
        getattr(rig.nodes[0].wait_for("a"), way)()
        client.read_until(b"HTTP/1.1 500 ")
        rig.nodes[0].connections.clear()
        rig.pass_time(1.0)
        assert not rig.nodes[0].received("a")


def test_an_unrepeatable_request_that_was_turned_away_unrun_goes_again() -> None:
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
    """It has not run and never will: a refusal in time, whatever its class; and nothing is written later."""
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


def test_what_may_have_run_goes_again_within_its_window_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its further attempt was sent in time, and then its connection came up after the window."""
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


def test_a_drain_told_between_the_choice_and_the_first_byte(monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_a_drain_told_while_an_attempt_rests_for_its_further_one() -> None:
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


@pytest.mark.parametrize("kind", ["retryable", "fragile"])
@pytest.mark.parametrize("length", [b"Content-Length: 4000\r\n", b"Transfer-Encoding: chunked\r\n", b""])
def test_an_answer_whose_bytes_trickle_ends_with_its_request(kind: str, length: bytes) -> None:
    with gateway_rig(**effect(kind, aim_us="300000", give_up_us="600000")) as rig:
        client, node = rig.client(), rig.nodes[0]
        began = rig.now
        client.send(rig.request("a", timeout=600))
        open_ends: list[PeerSocket] = []
        head = b"HTTP/1.1 200 OK\r\n" + length + b"\r\n"
        part = b"1\r\nx\r\n" if b"chunked" in length else b"x"

        def trickle() -> bool:
            node.read_all()
            for end in node.connections:
                try:
                    end.sock.send(part if end in open_ends else head)
                    if end not in open_ends:
                        open_ends.append(end)
                except OSError:
                    continue
            rig.pass_time(0.02)
            return bool(client.read())

        assert rig.until(trickle)
        assert rig.now - began <= 0.66
        assert client.text.count(b"HTTP/1.1 ") == 1 and b" 200 " not in client.text
        rig.pass_time(0.5)
        assert all(end.closed() for end in node.connections if end in open_ends)
        assert client.read().count(b"HTTP/1.1 ") == 1


@pytest.mark.parametrize("answer_first", [True, False])
@pytest.mark.parametrize("wait", [1.45, 2.997])
def test_an_answer_and_the_time_out_in_one_turn(answer_first: bool, wait: float) -> None:
    """One answer to the client, whichever comes first; and what was not taken reaches nobody."""
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
def test_a_reset_under_a_request_that_has_begun_is_repeated_once_and_answered_once(half: bytes) -> None:
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


def test_a_client_gone_between_the_nodes_answer_and_ours() -> None:
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


def test_a_client_back_at_once_with_the_same_request_is_no_second_copy() -> None:
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


def test_the_time_to_come_back_is_told_only_where_the_settings_allow_it() -> None:
    for allowed in ("1", ""):
        change: dict[str, Any] = {"settings__permissions__retry_after": allowed or "0"}
        with gateway_rig(**change) as rig:
            rig.watch.send(rig.drain(rig.nodes[0], 2))
            rig.turn(3)
            client = rig.client()
            client.send(rig.request("a"))
            client.read_until(b"HTTP/1.1 503 ")
            assert (b"Retry-After" in client.read()) == bool(allowed)


def test_what_a_client_says_besides_is_passed_on_to_the_brick_and_what_is_the_connections_own_is_not() -> (
    None
):
    """Clients of a class that may be repeated under its key alone send that key, and bricks read it."""
    more = (
        "Idempotency-Key: cd96000fde0eeb55\r\nX-Later: a, b\r\nCookie: other=1\r\nConnection: keep-alive, "
        "X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nKeep-Alive: timeout=5\r\n"
    )
    with gateway_rig(**effect("dedup", window_us="5000000", group="all")) as rig:
        client, node = rig.client(), rig.nodes[0]
        for end_it in (True, False):  # a further attempt says the same
            if end_it:
                client.send(rig.request("a", body=b"body", more=more))
            end = node.wait_for("a")
            said = end.text.lower()
            assert b"idempotency-key: cd96000fde0eeb55\r\n" in said and b"x-later: a, b\r\n" in said
            assert b"cookie: block=1; other=1\r\n" in said
            assert not any(name in said for name in (b"x-hop", b"te:", b"keep-alive", b"connection:"))
            assert said.count(b"host:") == said.count(b"content-length:") == said.count(b"request-id:") == 1
            if end_it:
                end.text = b""
                end.send(FULL)
        node.answer("a")
        client.read_until(b"\r\n\r\nok")


def test_a_brick_that_reads_nothing_holds_no_request_beyond_its_time() -> None:
    """The request is never written whole: it has not run, and its client hears so in time."""
    with gateway_rig(**effect("fragile", aim_us="200000", give_up_us="400000")) as rig:
        client, node = rig.client(), rig.nodes[0]
        node.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        began, body = rig.now, b"b" * 60_000
        client.send(rig.request("a", timeout=400, body=body))
        client.read_until(b"HTTP/1.1 ")
        assert rig.now - began <= 0.42
