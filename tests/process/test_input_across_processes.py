"""What a client has sent behind an answer runs as it was sent, or not at all, whichever process reads it."""

from __future__ import annotations

import hashlib
import os
import signal
import socket
import threading
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from ..support.faulty_process import HOST, ListService, ThreadedNode, read_head
from ..support.gateway_processes import GatewayProcesses, put_request
from ..support.pressed_gateway import get_request

ANSWER_PIECE, ANSWER_PIECES, PIECE_GAP_S = 16_000, 100, 0.045  # 1.6 MB over 4.5 s
BODY_BYTES = 3_000
TIMEOUT_S = 9.0
TIMES = {f"categories__{number}__{name}_us": value for number in (0, 1)
         for name, value in (("give_up", "9000000"), ("aim", "1000000"))}  # fmt: skip
SLICE_BYTES = 7_001  # a client's pieces do not end where its requests do
TOLD_SLACK_MS = 150


def body_of(name: str) -> bytes:
    """The body of a write, made of its id."""
    return (hashlib.sha256(name.encode()).hexdigest().encode() * (BODY_BYTES // 64 + 1))[:BODY_BYTES]


def chunked(message: bytes) -> bytes:
    """Send the body of a message in chunks."""
    head, _, body = message.partition(b"\r\n\r\n")
    head = head.replace(b"Content-Length: %d" % len(body), b"Transfer-Encoding: chunked")
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in (body[:700], body[700:]))
    return head + b"\r\n\r\n" + chunks + b"0\r\n\r\n"


class StoringNode(ThreadedNode):
    """Answers a read slowly, and keeps what each write brought and the time that it was told."""

    def __init__(self, shard: int) -> None:
        self.stored: dict[str, bytes] = {}
        self.told_ms: dict[str, int] = {}
        self.ran_at: dict[str, float] = {}
        super().__init__(shard)

    def read_body(self, stream: Any, head: dict[str, str]) -> None:
        body = b""
        if head.get("transfer-encoding") == "chunked":
            while size := int(stream.readline(), 16):
                body += stream.read(size + 2)[:size]
            stream.readline()
        else:
            body = stream.read(int(head.get("content-length", "0")))
        name = head["request-id"]
        self.stored[name] = body
        self.told_ms[name] = int(head["request-timeout-ms"])
        self.ran_at[name] = time.monotonic()

    def answer(self, connection: socket.socket, head: dict[str, str]) -> None:
        if head[""].startswith("PUT"):
            name = head["request-id"].encode()
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(name), name))
            return
        length = ANSWER_PIECE * ANSWER_PIECES
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
        for number in range(ANSWER_PIECES):
            connection.sendall(bytes(ANSWER_PIECE))
            if number > 5:
                time.sleep(PIECE_GAP_S)


class PipeliningClient:
    """Sends a read and, while its answer comes, ``count`` writes on the same connection."""

    def __init__(self, port: int, count: int, bytes_per_s: float, in_chunks: bool = False) -> None:
        prefix = os.urandom(4).hex()
        self.names = [f"{prefix}-{number:04}" for number in range(count)]
        self.sent_at: dict[str, float] = {}
        self.answers: list[tuple[int, bytes]] = []  # of the writes, in the order in which they came
        self.read_bytes = 0
        self.ended = False
        self._bytes_per_s, self._in_chunks = bytes_per_s, in_chunks
        self._socket = socket.create_connection((HOST, port), 5.0)
        self._socket.settimeout(15.0)
        self._socket.sendall(get_request(f"{prefix}-read", 0, TIMEOUT_S))
        threading.Thread(target=self._send, daemon=True).start()
        self.reading = threading.Thread(target=self._read, daemon=True)
        self.reading.start()

    def _send(self) -> None:
        ends: list[tuple[int, str]] = []
        messages = b""
        for number, name in enumerate(self.names):
            message = put_request(name, 0x1000 + number, 0, TIMEOUT_S, body_of(name))
            messages += chunked(message) if self._in_chunks else message
            ends.append((len(messages), name))
        time.sleep(0.3)
        with suppress(OSError):
            for start in range(0, len(messages), SLICE_BYTES):
                self._socket.sendall(messages[start : start + SLICE_BYTES])
                while ends and ends[0][0] <= start + SLICE_BYTES:
                    self.sent_at[ends.pop(0)[1]] = time.monotonic()
                time.sleep(SLICE_BYTES / self._bytes_per_s)

    def _read(self) -> None:
        with suppress(OSError, ValueError), self._socket.makefile("rb") as stream:
            head = read_head(stream)
            assert head is not None
            self.read_bytes = len(stream.read(int(head["content-length"])))
            while (head := read_head(stream)) is not None:
                body = stream.read(int(head.get("content-length", "0")))
                self.answers.append((int(head[""].split()[1]), body))
        self.ended = True


class Replaced:
    """A gateway whose process is replaced, and its node."""

    def __init__(self, folder: Path) -> None:
        self.node = StoringNode(0)
        self.discovery = ListService([self.node])
        self.gateway = GatewayProcesses(folder, self.discovery, TIMES)
        self.gateway.start_and_await()

    def replace(self) -> None:
        """Start another process, and end the one before."""
        old = self.gateway.started[-1]
        self.gateway.start_and_await()
        time.sleep(0.1)
        old.send_signal(signal.SIGTERM)

    def close(self) -> None:
        self.gateway.close()
        self.discovery.close()
        self.node.close()


def wrong_bodies(node: StoringNode, client: PipeliningClient) -> list[str]:
    """The writes that ran with a body that nobody sent, or that nobody sent at all."""
    reads = {f"{client.names[0][:8]}-read"}
    return [
        name
        for name, body in node.stored.items()
        if name not in reads and (name not in client.names or body != body_of(name))
    ]


@pytest.mark.parametrize("in_chunks", [False, True], ids=["length", "chunks"])
@pytest.mark.parametrize("replacements", [1, 2])
def test_input_beyond_the_bound_is_no_part_of_a_request_at_the_next_process(
    tmp_path: Path, replacements: int, in_chunks: bool
) -> None:
    """Guards against a process that takes input behind a gap for the rest of the request before it."""
    gateway = Replaced(tmp_path)
    try:
        client = PipeliningClient(gateway.gateway.port, 500, 600_000, in_chunks)
        time.sleep(1.2)
        for _ in range(replacements):
            gateway.replace()
        client.reading.join(20.0)
    finally:
        gateway.close()
    assert client.read_bytes == ANSWER_PIECE * ANSWER_PIECES
    assert not wrong_bodies(gateway.node, client)
    served = [body for status, body in client.answers if status == 200]
    assert served == [name.encode() for name in client.names[: len(served)]], "before the gap, in order"
    assert len(served) >= 80, "what fits into the bound of a client is served"
    assert [status for status, _ in client.answers[len(served) :]] == [429], "the end that a client sees"
    assert client.ended


def test_input_within_the_bound_moves_whole_through_two_replacements(tmp_path: Path) -> None:
    """Guards against half read requests that are lost, and against time told that a client no longer has."""
    gateway = Replaced(tmp_path)
    try:
        client = PipeliningClient(gateway.gateway.port, 60, 60_000)
        time.sleep(0.8)
        gateway.replace()
        gateway.replace()
        client.reading.join(7.5)
        answers, node = list(client.answers), gateway.node
    finally:
        gateway.close()
    assert not wrong_bodies(node, client)
    assert answers == [(200, name.encode()) for name in client.names]
    late = [
        (name, node.told_ms[name])
        for name in client.names
        if node.told_ms[name]
        > 1000 * (TIMEOUT_S - (node.ran_at[name] - client.sent_at[name])) + TOLD_SLACK_MS
    ]
    assert not late


def test_requests_behind_a_large_answer_are_answered_as_their_process_ends(tmp_path: Path) -> None:
    """Guards against a connection that is closed behind a streamed answer with requests that were read."""
    gateway = Replaced(tmp_path)
    try:
        client = PipeliningClient(gateway.gateway.port, 5, 600_000)
        time.sleep(2.6)  # the answer ends after the idle connections are closed, and before the kill
        gateway.gateway.started[-1].send_signal(signal.SIGTERM)
        client.reading.join(7.5)
    finally:
        gateway.close()
    assert client.read_bytes == ANSWER_PIECE * ANSWER_PIECES
    assert client.answers == [(200, name.encode()) for name in client.names]
