"""Handover of the listening socket from and to dbd4a08, with the bytes that dbd4a08 wrote."""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from gaugesail.handover_connection import HandoverConnection
from gaugesail.handover_messages import HandoverMessage, encode
from gaugesail.http.arrival_times import ArrivalMark
from gaugesail.http.stream_handover import ClientStreamState

from ..support.faulty_process import HOST, READY_S, ServingNode, faulty, wait_until
from ..support.scenario_runner import play, scenarios

RECORDED: dict[str, list[tuple[str, str]]] = json.loads(
    (Path(__file__).parent / "data" / "handover_lines.json").read_text()
)
SCENARIOS = scenarios("operations.txt", "large.txt", "http.txt")
# dbd4a08 gave up a write at four latency targets, however long its client waited: the request ends then.
AS_RECORDED = {"timeout=9000": "timeout=1700"}
RUNNING, NEXT = "running", "next"
SOCKET_NAME = f"gaugesail-{HOST}-0.sock"
WAIT_S = 5.0
KNOWN_KEYS = {"known", "stream", "took", "serving", "clients", "node"}  # each names a message of dbd4a08


def recorded_line(role: str, key: str) -> bytes:
    """Return the first line with this key that dbd4a08 sent, as the running process or as the next one."""
    lines = [line for messages in RECORDED.values() for sender, line in messages if sender == role]
    return next(line for line in lines if key in json.loads(line)).encode()


def types_of(value: Any) -> Any:
    """Return only the keys and types of a value; of a list, those of its first item."""
    if isinstance(value, dict):
        return {key: types_of(item) for key, item in value.items()}
    if isinstance(value, list):
        return [types_of(item) for item in value[:1]]
    return type(value).__name__


class ReceivedLines:
    """The lines that the other process sends over a Unix socket, read in a separate thread."""

    def __init__(self, stream: socket.socket) -> None:
        self.stream = stream
        self.data = b""
        self.descriptors: list[int] = []
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        with suppress(OSError):
            while True:
                data, descriptors, _, _ = socket.recv_fds(self.stream, 65_536, 4)
                self.descriptors += descriptors
                self.data += data
                if not data:
                    return

    def has(self, key: str) -> bool:
        return any(key in json.loads(line) for line in self.data.split(b"\n")[:-1])


@contextmanager
def running_process(
    folder: Path, listener: socket.socket
) -> Iterator[tuple[list[ReceivedLines], socket.socket]]:
    """Simulate a running process of dbd4a08 that hands over its listening socket."""
    unix = socket.socket(socket.AF_UNIX)
    unix.bind(str(folder / SOCKET_NAME))
    unix.listen(1)
    connections: list[ReceivedLines] = []

    def hand_over() -> None:
        with suppress(OSError):
            stream, _ = unix.accept()
            socket.send_fds(stream, [recorded_line(RUNNING, "known")], [listener.fileno()])
            connections.append(ReceivedLines(stream))

    threading.Thread(target=hand_over, daemon=True).start()
    try:
        yield connections, unix
    finally:
        unix.close()
        for lines in connections:
            lines.stream.close()


def test_this_version_takes_over_from_a_running_dbd4a08(tmp_path: Path, library: Path) -> None:
    listener = socket.create_server((HOST, 0))
    listener.setblocking(False)  # as a gateway's is
    with (
        running_process(tmp_path, listener) as (connections, _),
        faulty(tmp_path, library, [ServingNode(0)]) as gateway,
    ):
        assert gateway.port == listener.getsockname()[1]
        assert wait_until(lambda: bool(connections) and connections[0].has("serving"), READY_S)
        assert recorded_line(NEXT, "serving") in connections[0].data
        answer = gateway.send_request("a")
        assert wait_until(lambda: answer.status == 200, WAIT_S), (answer.status, gateway.text)
        connections[0].stream.sendall(recorded_line(RUNNING, "clients") + recorded_line(NEXT, "node"))
        assert wait_until(lambda: "maintenance_begins" in gateway.text, WAIT_S), gateway.text
        assert "handover_message_malformed" not in gateway.text
    listener.close()


def test_this_version_hands_over_to_the_next_dbd4a08(tmp_path: Path, library: Path) -> None:
    with faulty(tmp_path, library, [ServingNode(0)]) as gateway:
        stream = socket.socket(socket.AF_UNIX)
        stream.connect(str(tmp_path / SOCKET_NAME))
        lines = ReceivedLines(stream)
        assert wait_until(lambda: lines.has("known"), WAIT_S)
        first_message = json.loads(lines.data.split(b"\n")[0])
        assert types_of(first_message) == types_of(json.loads(recorded_line(RUNNING, "known")))
        listener = socket.socket(fileno=lines.descriptors[0])
        assert listener.getsockname()[1] == gateway.port
        stream.sendall(recorded_line(NEXT, "serving") + recorded_line(NEXT, "node"))
        assert wait_until(lambda: lines.has("clients"), WAIT_S)
        assert wait_until(lambda: "maintenance_begins" in gateway.text, WAIT_S), gateway.text
        listener.settimeout(WAIT_S)
        with socket.create_connection((HOST, gateway.port), WAIT_S):
            listener.accept()[0].close()  # the gateway no longer accepts: the next process does
        assert "handover_message_malformed" not in gateway.text
        stream.close()
        listener.close()


@pytest.mark.parametrize("name", RECORDED)
def test_processes_exchange_the_messages_of_dbd4a08(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    sent: list[tuple[str, str]] = []
    send = HandoverConnection.send

    def record(connection: HandoverConnection, message: HandoverMessage) -> None:
        sent.append((NEXT if connection.is_successor else RUNNING, encode(message).decode()))
        send(connection, message)

    monkeypatch.setattr(HandoverConnection, "send", record)
    steps = SCENARIOS[name]
    play([replace(step, words=tuple(AS_RECORDED.get(word, word) for word in step.words)) for step in steps])
    known = [row for row in sent if KNOWN_KEYS & json.loads(row[1]).keys()]
    assert known == [tuple(row) for row in RECORDED[name]]
    # dbd4a08 ignores a line without a known key.
    others = [json.loads(line) for sender, line in sent if (sender, line) not in known]
    assert others[:2] == [{"hello": True}] * 2


ORDERED: dict[str, Any] = {"categories__0__keep_order": "true", "guarantees__key_quiet_us": "50000"}
HELD_S = 0.2  # longer than a request waits that is not held back, and shorter than its objective


def test_ordered_requests_wait_until_a_running_dbd4a08_has_ended(tmp_path: Path, library: Path) -> None:
    """Guards against sending them beside a process that sends them too and cannot be asked."""
    listener = socket.create_server((HOST, 0))
    listener.setblocking(False)
    node = ServingNode(0)
    with faulty_beside(tmp_path, library, listener, node) as (gateway, connections, unix):
        answer = gateway.send_request("a", timeout_ms=3000)
        assert not wait_until(lambda: answer.status != 0, HELD_S)
        unix.close()
        connections[0].stream.shutdown(socket.SHUT_RDWR)
        assert wait_until(lambda: answer.status == 200, WAIT_S), gateway.text
    listener.close()


@contextmanager
def faulty_beside(
    folder: Path, library: Path, listener: socket.socket, node: ServingNode
) -> Iterator[tuple[Any, list[ReceivedLines], socket.socket]]:
    """Start a gateway with an ordered class beside a running process of dbd4a08."""
    with (
        running_process(folder, listener) as (connections, unix),
        faulty(folder, library, [node], **ORDERED) as gateway,
    ):
        assert wait_until(lambda: bool(connections) and connections[0].has("serving"), READY_S)
        yield gateway, connections, unix


def test_no_ordered_request_is_sent_beside_the_next_dbd4a08(tmp_path: Path, library: Path) -> None:
    """Guards against sending them beside a successor that sends them too without asking."""
    with faulty(tmp_path, library, [ServingNode(0)], **ORDERED) as gateway:
        stream = socket.socket(socket.AF_UNIX)
        stream.connect(str(tmp_path / SOCKET_NAME))
        lines = ReceivedLines(stream)
        assert wait_until(lambda: lines.has("known"), WAIT_S)
        answer = gateway.send_request("a", timeout_ms=3000)
        assert not wait_until(lambda: answer.status != 0, HELD_S)
        stream.shutdown(socket.SHUT_RDWR)
        assert wait_until(lambda: answer.status == 200, WAIT_S), gateway.text
        for descriptor in lines.descriptors:
            socket.socket(fileno=descriptor).close()
        stream.close()


def test_a_streamed_answer_of_dbd4a08_is_read() -> None:
    fields = json.loads(recorded_line(RUNNING, "stream"))["stream"]["client"]
    state = ClientStreamState.from_json(fields)
    assert (state.input_truncated, state.arrivals) == (False, ())
    assert state.to_json() == fields


def test_a_streamed_answer_behind_which_input_is_missing() -> None:
    """Guards against a version that does not know the gap and reads on behind it: it has to close there."""
    fields = json.loads(recorded_line(RUNNING, "stream"))["stream"]["client"]
    state = replace(
        ClientStreamState.from_json(fields | {"keep": True}),
        input_truncated=True,
        arrivals=(ArrivalMark(5, 7_000_000),),
    )
    sent = json.loads(json.dumps(state.to_json()))
    assert sent["keep"] is False
    assert ClientStreamState.from_json(sent) == state
