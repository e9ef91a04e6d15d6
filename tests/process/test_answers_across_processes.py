"""Large answers come whole while a process is replaced, however many there are."""

from __future__ import annotations

import signal
import socket
import threading
import time
from contextlib import suppress
from pathlib import Path

import pytest

from ..support.faulty_process import HOST, ThreadedNode, read_head
from ..support.gateway_processes import put_request
from ..support.pressed_gateway import PressedGateway, get_request

NODES = 4
MEMORY_MB = 192
SOCKETS = 128  # 57 clients of one process
ANSWERS, IDLE_CLIENTS = 36, 14
PIECE_BYTES, PIECES, PIECE_GAP_S = 16_384, 80, 0.06  # 1.3 MB over 4.8 s
BEGUN_PIECES = 6  # at once


class SlowNode(ThreadedNode):
    """Writes the large answer to a read slowly, and answers a write at once."""

    def answer(self, connection: socket.socket, head: dict[str, str]) -> None:
        if head[""].startswith("PUT"):
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            return
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PIECE_BYTES * PIECES))
        for number in range(PIECES):
            connection.sendall(bytes(PIECE_BYTES))
            if number >= BEGUN_PIECES:
                time.sleep(PIECE_GAP_S)


def read_whole(port: int, number: int, lengths: dict[int, int]) -> None:
    """Read one large answer, and note how much of it came."""
    with suppress(OSError), socket.create_connection((HOST, port), 5.0) as client:
        client.settimeout(10.0)
        client.sendall(get_request(f"large-{number}", number % NODES, 3.0, block=number + 1))
        with client.makefile("rb") as stream:
            head = read_head(stream)
            if head is not None and head[""].split()[1] == "200":
                lengths[number] = 0
                while data := stream.read1(1 << 16):
                    lengths[number] += len(data)
                    if lengths[number] == PIECE_BYTES * PIECES:
                        return


def write(port: int, shard: int) -> int:
    """Send a write on a new connection; returns its status."""
    with socket.create_connection((HOST, port), 5.0) as client, client.makefile("rb") as stream:
        client.settimeout(5.0)
        client.sendall(put_request(f"small-{shard}", 1000 + shard, shard, 1.0, b"x"))
        head = read_head(stream)
        return int(head[""].split()[1]) if head is not None else 0


@pytest.mark.parametrize("replacements", [1, 2])
def test_more_answers_move_than_the_next_process_may_accept_clients(
    tmp_path: Path, replacements: int
) -> None:
    """Guards against an answer that is closed as a new client would be that has sent nothing."""
    pressed = PressedGateway(
        tmp_path, MEMORY_MB, [SlowNode(shard) for shard in range(NODES)], sockets=SOCKETS
    )
    gateway = pressed.gateway
    lengths: dict[int, int] = {}
    idle = []
    try:
        threads = [
            threading.Thread(target=read_whole, args=(gateway.port, number, lengths), daemon=True)
            for number in range(ANSWERS)
        ]
        for thread in threads:
            thread.start()
            time.sleep(0.01)
        time.sleep(0.5)
        idle = [socket.create_connection((HOST, gateway.port), 5.0) for _ in range(IDLE_CLIENTS)]
        for _ in range(replacements):
            old = gateway.started[-1]
            gateway.start_and_await()
            time.sleep(0.1)
            old.send_signal(signal.SIGTERM)
        statuses = [write(gateway.port, shard) for shard in range(NODES)]
        for thread in threads:
            thread.join(12.0)
    finally:
        pressed.close()
        for client in idle:
            client.close()
    assert statuses == [200] * NODES, "the next process has connections to nodes for new requests"
    assert len(lengths) == ANSWERS, "all answers begin"
    assert [length for length in lengths.values() if length != PIECE_BYTES * PIECES] == []
