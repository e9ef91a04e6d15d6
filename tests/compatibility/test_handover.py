"""The hand-over of the listening socket beside dbd4a08, both ways, with the bytes that dbd4a08 wrote."""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import pytest

from gaugesail.handover import HandoverConnection
from gaugesail.handover_messages import HandoverMessage, encode

from ..support.faulty_process import HOST, READY_S, ServingNode, faulty, wait_until
from ..support.scenario_runner import play, scenarios

SAID: dict[str, list[tuple[str, str]]] = json.loads(
    (Path(__file__).parent / "data" / "handover_lines.json").read_text()
)
SCENARIOS = scenarios("operations.txt", "large.txt", "http.txt")
RUNNING, NEXT = "running", "next"
SOCKET_NAME = f"gaugesail-{HOST}-0.sock"
WAIT_S = 5.0


def said_by(who: str, key: str) -> bytes:
    """A line that dbd4a08 said, as the running process or as the next one."""
    lines = [line for rows in SAID.values() for speaker, line in rows if speaker == who]
    return next(line for line in lines if key in json.loads(line)).encode()


def shape(value: Any) -> Any:
    """Keys and types alone; of a list the first item's."""
    if isinstance(value, dict):
        return {key: shape(item) for key, item in value.items()}
    if isinstance(value, list):
        return [shape(item) for item in value[:1]]
    return type(value).__name__


class Lines:
    """What the other process says over a Unix socket, read in a thread of its own."""

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
def running_process(folder: Path, listener: socket.socket) -> Iterator[list[Lines]]:
    """A stand-in for a running process of dbd4a08 that hands its listening socket over."""
    unix = socket.socket(socket.AF_UNIX)
    unix.bind(str(folder / SOCKET_NAME))
    unix.listen(1)
    linked: list[Lines] = []

    def hand_over() -> None:
        with suppress(OSError):
            stream, _ = unix.accept()
            socket.send_fds(stream, [said_by(RUNNING, "known")], [listener.fileno()])
            linked.append(Lines(stream))

    threading.Thread(target=hand_over, daemon=True).start()
    try:
        yield linked
    finally:
        unix.close()
        for lines in linked:
            lines.stream.close()


def test_this_version_takes_over_from_a_running_dbd4a08(tmp_path: Path, library: Path) -> None:
    listener = socket.create_server((HOST, 0))
    listener.setblocking(False)  # as that of a head is
    with (
        running_process(tmp_path, listener) as linked,
        faulty(tmp_path, library, [ServingNode(0)]) as head,
    ):
        assert head.port == listener.getsockname()[1]
        assert wait_until(lambda: bool(linked) and linked[0].has("serving"), READY_S)
        assert said_by(NEXT, "serving") in linked[0].data
        answer = head.send_request("a")
        assert wait_until(lambda: answer.status == 200, WAIT_S), (answer.status, head.text)
        linked[0].stream.sendall(said_by(RUNNING, "clients") + said_by(NEXT, "node"))
        assert wait_until(lambda: "maintenance_begins" in head.text, WAIT_S), head.text
        assert "handover_message_malformed" not in head.text
    listener.close()


def test_this_version_hands_over_to_the_next_dbd4a08(tmp_path: Path, library: Path) -> None:
    with faulty(tmp_path, library, [ServingNode(0)]) as head:
        stream = socket.socket(socket.AF_UNIX)
        stream.connect(str(tmp_path / SOCKET_NAME))
        lines = Lines(stream)
        assert wait_until(lambda: lines.has("known"), WAIT_S)
        told = json.loads(lines.data.split(b"\n")[0])
        assert shape(told) == shape(json.loads(said_by(RUNNING, "known")))
        listener = socket.socket(fileno=lines.descriptors[0])
        assert listener.getsockname()[1] == head.port
        stream.sendall(said_by(NEXT, "serving") + said_by(NEXT, "node"))
        assert wait_until(lambda: lines.has("clients"), WAIT_S)
        assert wait_until(lambda: "maintenance_begins" in head.text, WAIT_S), head.text
        listener.settimeout(WAIT_S)
        with socket.create_connection((HOST, head.port), WAIT_S):
            listener.accept()[0].close()  # the head has left the address to the next process
        assert "handover_message_malformed" not in head.text
        stream.close()
        listener.close()


@pytest.mark.parametrize("name", SAID)
def test_processes_say_to_each_other_what_dbd4a08_said(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    said: list[tuple[str, str]] = []
    send = HandoverConnection.send

    def record(connection: HandoverConnection, message: HandoverMessage) -> None:
        said.append((NEXT if connection.is_successor else RUNNING, encode(message).decode()))
        send(connection, message)

    monkeypatch.setattr(HandoverConnection, "send", record)
    play(SCENARIOS[name])
    assert said == [tuple(row) for row in SAID[name]]
