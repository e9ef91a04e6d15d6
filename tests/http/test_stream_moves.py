"""A streamed answer moves to the next process although its client reads slowly."""

from __future__ import annotations

import socket
from types import SimpleNamespace
from typing import Any

import pytest

from gaugesail.handover import Handover
from tests.support.live_head import GatewayRig, PeerSocket, gateway_rig

BODY = b"".join(b"%07d\n" % number for number in range(250_000))  # 2 MB, more than the kernel buffers here
PLAIN = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY
CHUNKS = (
    b"%x\r\n%b\r\n" % (len(BODY) // 4, BODY[at : at + len(BODY) // 4]) for at in range(0, 2_000_000, 500_000)
)
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"".join(CHUNKS) + b"0\r\n\r\n"
Moved = list[tuple[list[int], dict[str, Any]]]


def send_until_full(rig: GatewayRig, node_end: PeerSocket, answer: bytes) -> int:
    """Send an answer until the gateway's client has no room for more; return the number of bytes sent."""
    (connection,) = rig.gateway.front._open
    sent = 0
    while not connection.output.full:
        sent += node_end.send_available(answer[sent : sent + 20_000])
        rig.turn()
    return sent


def body_of(text: bytes) -> bytes:
    """Return the body of an answer, or nothing if the last of its chunks is missing."""
    head, _, body = text.partition(b"\r\n\r\n")
    if b"chunked" not in head:
        return body
    data = b""
    while body and (size := int(body.partition(b"\r\n")[0], 16)):
        _, _, body = body.partition(b"\r\n")
        data, body = data + body[:size], body[size + 2 :]
    return data if body.startswith(b"0\r\n\r\n") else b""


def slow_client(rig: GatewayRig) -> PeerSocket:
    """Connect a client whose kernel takes little."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(rig.gateway.address)
    return PeerSocket(rig, sock)


@pytest.mark.parametrize("answer", [PLAIN, CHUNKED], ids=["plain", "chunked"])
@pytest.mark.parametrize("takes_unsent_output", [True, False])
def test_an_answer_moves_with_its_unsent_output(
    answer: bytes, takes_unsent_output: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against waiting until a client that reads slowly has read all that was written."""
    moved: Moved = []
    successor = SimpleNamespace(backlogged=False, takes_unsent_output=takes_unsent_output)
    monkeypatch.setattr(Handover, "successor", property(lambda self: successor))
    monkeypatch.setattr(Handover, "hand_over_answer", lambda self, *handed: moved.append(handed))
    with gateway_rig() as rig:
        client = slow_client(rig)
        client.send(rig.request("large"))
        node_end = rig.nodes[0].wait_for("large")
        sent = send_until_full(rig, node_end, answer)
        rig.gateway.hand_over_answers()
        assert len(moved) == takes_unsent_output
        if not takes_unsent_output:  # a process of an older version: once all has been sent
            assert rig.until(lambda: bool(client.read()) and bool(moved))
        ((descriptors, state),) = moved
        rig.gateway.continue_answer(descriptors, state)  # this process stands for the next one
        while sent < len(answer):  # the node goes on, and the client reads at full speed
            sent += node_end.send_available(answer[sent:])
            rig.turn()
            client.read()
        assert rig.until(lambda: body_of(client.read()) == BODY)


def test_a_moved_answer_that_only_its_close_ends_is_not_reset_by_the_next_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a whole answer that is reset, as the process before had prepared for its kill."""
    moved: Moved = []
    successor = SimpleNamespace(backlogged=False, takes_unsent_output=True)
    monkeypatch.setattr(Handover, "successor", property(lambda self: successor))
    monkeypatch.setattr(Handover, "hand_over_answer", lambda self, *handed: moved.append(handed))
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("large").replace(b"HTTP/1.1", b"HTTP/1.0"))
        node_end = rig.nodes[0].wait_for("large")
        node_end.send(b"HTTP/1.0 200 OK\r\n\r\n" + BODY[:100_000])
        assert rig.until(lambda: len(body_of(client.read())) == 100_000)
        rig.gateway.reset_streams_if_killed()
        rig.gateway.hand_over_answers()
        ((descriptors, state),) = moved
        rig.gateway.continue_answer(descriptors, state)
        (connection,) = rig.gateway.front.streams
        linger = connection.link.socket.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
        assert linger[:4] == bytes(4)
        node_end.send(BODY[100_000:])
        node_end.fin()
        assert rig.until(client.closed) and not client.was_reset
        assert body_of(client.text) == BODY
