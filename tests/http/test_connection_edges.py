"""Input that arrives as a connection is shut down or closed; every message form in pieces of one byte."""

from __future__ import annotations

import socket
from functools import partial
from typing import Any

import pytest

from gaugesail import config as configuration

from ..support.live_head import GatewayRig, Listener, PeerSocket, gateway_rig

KILL_S = 3.7  # after SIGTERM, at the earliest: a longest deadline of 5 s counts as 3 s
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def no_delay(end: PeerSocket) -> PeerSocket:
    """Send small writes at once (TCP_NODELAY)."""
    end.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return end


def reset(end: PeerSocket) -> bool:
    """Whether the connection was reset; a reset after an orderly close is only visible in SO_ERROR."""
    return end.was_reset or bool(end.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))


def ends_with(end: PeerSocket, tail: bytes) -> bool:
    return end.read().endswith(tail)


def served(rig: GatewayRig, name: str = "first") -> PeerSocket:
    """Return a client whose connection is idle after one request."""
    client = rig.client()
    client.send(rig.request(name))
    rig.nodes[0].answer(name)
    client.read_until(b"\r\n\r\nok")
    rig.pass_time(0.02)
    return client


# ---- shutdown of a client connection ----


def test_a_request_that_arrives_as_its_idle_connection_is_shut_down_is_neither_forwarded_nor_reset() -> None:
    """The poll found nothing unread; the request arrives before the shutdown of the socket."""
    with gateway_rig() as rig:
        client = served(rig)
        (connection,) = rig.gateway.front._open
        connection.close_unless_unread()
        client.send(rig.request("late"))
        assert rig.until(client.closed, 3.0)
        rig.pass_time(0.5)
        assert not reset(client) and not rig.nodes[0].received("late")


@pytest.mark.parametrize("after", [0.05, 1.0, 3.0])
def test_input_after_the_last_answer_does_not_reset_it(after: float) -> None:
    """The answer ends its connection while the client reads slowly and keeps sending.  The part that is still
    in the gateway's kernel must reach the client."""
    with gateway_rig() as rig:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(rig.gateway.address)
        client, body = PeerSocket(rig, sock), b"b" * 60_000
        client.send(rig.request("a"))
        rig.nodes[0].wait_for("a")
        rig.gateway.front.closing = True
        rig.nodes[0].answer("a", body)
        (connection,) = rig.gateway.front._open
        assert rig.until(lambda: connection.closing)
        client.send_available(b"\r\n" + rig.request("b"))
        rig.pass_time(after)
        client.send_available(b"\r\n")
        client.read_until(b"\r\n\r\n" + body)
        assert rig.until(client.closed, 3.0) and not client.was_reset and not rig.nodes[0].received("b")


def test_a_request_read_after_the_shutdown_is_not_forwarded() -> None:
    """The client got an error and keeps sending."""
    with gateway_rig() as rig:
        client = rig.client()
        client.send(b"NOISE\r\n\r\n")
        client.read_until(b"HTTP/1.1 400 ")
        client.send_available(rig.request("after"))
        rig.pass_time(0.5)
        assert client.closed() and not client.was_reset and not rig.nodes[0].received("after")


def test_a_connection_that_was_shut_down_ends_though_its_client_never_closes() -> None:
    with gateway_rig() as rig:
        client = served(rig)
        rig.gateway.stop()
        assert rig.until(lambda: bool(rig.stopped), 2.5)
        assert client.closed() and not client.was_reset


@pytest.mark.parametrize("gap", [0.0, 0.003, 0.05])
def test_clients_send_on_open_connections_until_the_kill(gap: float) -> None:
    """Each request gets its answer, or its connection is closed in order before the request is read."""
    with gateway_rig() as rig:
        clients = [served(rig, f"first{n}") for n in range(4)]
        pending, answered = dict[PeerSocket, int](), 0
        rig.gateway.stop()
        began, number = rig.now, 0
        while rig.now - began < KILL_S and not rig.stopped:
            for client in clients:
                if client in pending and b"\r\n\r\nok" in client.read():
                    answered += 1
                    client.text = b""
                    del pending[client]
                if client not in pending and not client.ended:
                    # Without reading first: a FIN may be on its way.
                    try:
                        client.sock.send(rig.request(f"n{number}"))
                    except OSError:
                        client.ended = True
                        continue
                    pending[client], number = number, number + 1
            for n in list(pending.values()):
                if rig.nodes[0].received(f"n{n}"):
                    rig.nodes[0].answer(f"n{n}")
            rig.turn(2)
            rig.pass_time(gap)
            rig.now += 0.002
        rig.pass_time(0.1)
        assert rig.stopped and answered >= 4
        for client, n in pending.items():
            text = client.read()
            assert b"\r\n\r\nok" in text or (client.ended and not client.was_reset), (n, text)
            assert b"\r\n\r\nok" in text or not rig.nodes[0].received(f"n{n}")


# ---- TCP_NODELAY ----


def test_all_connections_set_tcp_nodelay() -> None:
    with gateway_rig() as rig:
        client = served(rig)
        (ours,) = rig.gateway.front._open
        (node,) = rig.gateway.transport._nodes.values()
        links = [ours.link, node.idle[0].link, *(call.link for call in rig.gateway.discovery._calls)]
        assert len(links) == 3 and not client.ended
        for link in links:
            assert link.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY), link


def test_a_connection_that_was_handed_over_sets_tcp_nodelay() -> None:
    from gaugesail.net import attach

    with gateway_rig() as rig:
        listener = Listener(rig)
        for made in (rig.gateway.front.buildProtocol(None),):
            far = socket.create_connection(listener.listener.getsockname())
            near = listener.accept()
            attach(rig.reactor, near.sock.detach(), made)
            assert made.link.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            far.close()


# ---- an answer without a length ----


@pytest.mark.parametrize("old", [b"0", b"1"])
@pytest.mark.parametrize("body", [b"", b"looks whole"])
def test_an_answer_with_no_length_that_is_reset_is_never_served(old: bytes, body: bytes) -> None:
    with gateway_rig() as rig:
        client, node = rig.client(), rig.nodes[0]
        client.send(rig.request("a"))
        end = node.wait_for("a")
        end.send(b"HTTP/1.%b 200 OK\r\n\r\n%b" % (old, body))
        rig.turn(2)
        node.connections.remove(end)
        end.rst()
        node.answer("a", b"again")
        assert body not in client.read_until(b"\r\n\r\nagain") or not body
        client.send(rig.request("b"))
        node.answer("b")
        client.read_until(b"\r\n\r\nok")


@pytest.mark.parametrize("unread", [True, False])
def test_bytes_and_a_reset_found_in_one_iteration_are_no_answer(unread: bool) -> None:
    with gateway_rig() as rig:
        client, node = rig.client(), rig.nodes[0]
        client.send(rig.request("a"))
        end = node.wait_for("a")
        node.connections.remove(end)
        end.send(b"HTTP/1.1 200 OK\r\n\r\nlooks whole")
        if not unread:
            rig.reactor.doIteration(0)
        end.rst()
        node.answer("a", b"again")
        assert b"whole" not in client.read_until(b"\r\n\r\nagain")


def test_an_answer_with_no_length_is_served_after_an_orderly_close() -> None:
    with gateway_rig() as rig:
        client, node = rig.client(), rig.nodes[0]
        client.send(rig.request("a"))
        end = node.wait_for("a")
        end.send(b"HTTP/1.1 200 OK\r\n\r\nwhole")
        rig.pass_time(0.1)
        assert not client.read()
        end.fin()
        assert b"Content-Length: 5\r\n" in client.read_until(b"\r\n\r\nwhole")


@pytest.mark.parametrize("way", ["fin", "rst"])
@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_a_streamed_answer_ends_for_its_client_as_the_node_ended_it(way: str, version: bytes) -> None:
    with gateway_rig() as rig:
        client, node = rig.client(), rig.nodes[0]
        client.send(rig.request("a").replace(b"HTTP/1.1", b"HTTP/" + version, 1))
        end = node.wait_for("a")
        end.send(b"HTTP/1.1 200 OK\r\n\r\n" + b"p" * 100_000)
        assert rig.until(lambda: client.read().count(b"p") >= 90_000)
        getattr(end, way)()
        rig.pass_time(0.1)
        text = client.read()
        complete = text.endswith(b"0\r\n\r\n") if version == b"1.1" else client.ended and not client.was_reset
        assert complete == (way == "fin")
        if way == "rst":
            assert client.was_reset


@pytest.mark.parametrize("way", ["fin", "rst"])
def test_a_streamed_answer_ends_while_its_client_reads_nothing(way: str) -> None:
    """Reading from the node is paused: a reset is detected at once, a FIN only behind all its bytes."""
    with gateway_rig() as rig:
        client, node = rig.client(), rig.nodes[0]
        client.send(rig.request("a"))
        end = node.wait_for("a")
        end.send(b"HTTP/1.1 200 OK\r\n\r\n" + b"p" * 70_000)
        rig.pass_time(0.05)
        (ours,) = rig.gateway.front._open
        sent = 70_000
        for _ in range(4000):
            sent += end.send_available(b"p" * 100_000)
            rig.turn(4)
            if ours.stream.source._paused:
                break
        assert ours.stream.source._paused
        getattr(end, way)()
        rig.pass_time(0.3)
        rig.until(lambda: client.closed() or client.text.endswith(b"\r\n0\r\n\r\n"), 20.0)
        complete = client.text.endswith(b"\r\n0\r\n\r\n") and client.text.count(b"p") == sent
        assert complete == (way == "fin") and client.was_reset == (way == "rst")


# ---- message forms in pieces of one byte ----

FIELDS = (
    b"Request-Id: %b\r\nRequest-Class: read\r\nX-Plan: basic\r\nCookie: block=1\r\n"
    b"Request-Timeout-Ms: 3000\r\nX-IO: volume=1,units=1,shard=0,hosts=1\r\n"
)
REQUESTS = {
    "plain": b"GET /api HTTP/1.1\r\nHost: a\r\n" + FIELDS + b"\r\n",
    "query": b"GET /api?x=%%20y&z HTTP/1.1\r\nHost: a\r\n" + FIELDS + b"\r\n",
    "length": b"PUT /api HTTP/1.1\r\nHost: a\r\n" + FIELDS + b"Content-Length: 4\r\n\r\nbody",
    "no body": b"PUT /api HTTP/1.1\r\nHost: a\r\n" + FIELDS + b"Content-Length: 0\r\n\r\n",
    "chunks": b"PUT /api HTTP/1.1\r\nHost: a\r\n" + FIELDS + b"Transfer-Encoding: chunked\r\n\r\n"
              b"1;x=\"y\"\r\nb\r\n03\r\nody\r\n0;z\r\nX-Trailer: t\r\n\r\n",
    "lower case": b"GET /api HTTP/1.1\r\nhost: a\r\n" + FIELDS.lower().replace(b"%b", b"%b") + b"\r\n",
    "white space": b"GET /api HTTP/1.1\r\nHost:a\r\n" + FIELDS.replace(b": ", b":\t  ") + b"X-E:\r\n\r\n",
    "empty lines": b"\r\n\r\nGET /api HTTP/1.1\r\nHost: a\r\n" + FIELDS + b"\r\n",
    "absolute": b"GET http://app.svc/api HTTP/1.1\r\nHost: a\r\n" + FIELDS + b"\r\n",
    "old": b"GET /api HTTP/1.0\r\nConnection: keep-alive\r\n" + FIELDS + b"\r\n",
    "expects": b"PUT /api HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n" + FIELDS
               + b"Content-Length: 4\r\n\r\nbody",
}  # fmt: skip
ANSWERS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2;x=1\r\nwh\r\n3\r\nole\r\n0\r\nT: t\r\n\r\n",
    "lower case": b"HTTP/1.1 200 ok\r\ncontent-length:5\r\n\r\nwhole",
    "no reason": b"HTTP/1.1 200 \r\nContent-Length:  5 \r\n\r\nwhole",
    "interim": b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
    "old": b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nwhole",
    "closes": b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole",
}


@pytest.mark.parametrize("form", sorted(REQUESTS))
def test_a_request_in_pieces_of_one_byte(form: str) -> None:
    with gateway_rig() as rig:
        client, node = no_delay(rig.client()), rig.nodes[0]
        for name in ("a", "b"):  # then another request on the same connection
            for byte in REQUESTS[form] % name.encode():
                client.send(bytes([byte]))
                rig.turn()
            end = node.wait_for(name)
            if b"PUT" in REQUESTS[form]:
                size = 0 if form == "no body" else 4
                assert b"content-length: %d\r\n" % size in end.text.lower()
                tail = b"\r\n\r\n" + b"body"[:size]
                assert rig.until(partial(ends_with, end, tail))
            node.answer(name, b"<%b>" % name.encode())
            client.read_until(b"\r\n\r\n<%b>" % name.encode())


@pytest.mark.parametrize("form", sorted(ANSWERS))
def test_an_answer_in_pieces_of_one_byte(form: str) -> None:
    with gateway_rig() as rig:
        client, node = rig.client(), rig.nodes[0]
        for name in ("a", "b"):
            client.send(rig.request(name))
            end = no_delay(node.wait_for(name))
            end.text = b""
            for byte in ANSWERS[form]:
                assert not client.read()
                end.send(bytes([byte]))
                rig.turn()
            client.read_until(b"\r\n\r\nwhole")
            assert not client.read() and rig.gateway.engine.counts["sent"] == (1 if name == "a" else 2)
            rig.pass_time(0.02)


# ---- late events ----


@pytest.mark.parametrize("half", [0, 20])
def test_a_late_answer_is_discarded(half: int) -> None:
    """The request was answered long before; a part of the node's answer may have arrived in time."""
    with gateway_rig(settings__categories__0__effect="fragile") as rig:
        client, node = rig.client(), rig.nodes[0]
        client.send(rig.request("a"))
        end = node.wait_for("a")
        end.text = b""
        end.send(OK[:half])
        client.read_until(b"HTTP/1.1 5")
        rig.pass_time(4.0)
        before = client.read()
        assert end.closed(), "the attempt is still in flight"
        client.send(rig.request("b"))
        assert node.wait_for("b") is not end
        node.answer("b", b"b!")
        assert client.read_until(b"\r\n\r\nb!")[len(before) :].count(b"HTTP/1.1 ") == 1


def test_a_reload_followed_by_a_drain() -> None:
    """The new discovery sends its list, and a drain right after it."""
    with gateway_rig() as rig:
        client, node, listener = rig.client(), rig.nodes[0], Listener(rig)
        config: dict[str, Any] = rig.config | {"discovery": listener.address}
        rig.gateway.reload_from(lambda: configuration.read(config, {}))
        rig.watch = rig.accept_watch(listener)
        rig.watch.send(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + rig.list_chunk(True, [node], 1)
        )
        rig.watch.send(rig.drain(node, 2))
        rig.turn(3)
        client.send(rig.request("a"))
        client.read_until(b"HTTP/1.1 503 ")
        rig.pass_time(0.5)
        assert not node.received("a")
