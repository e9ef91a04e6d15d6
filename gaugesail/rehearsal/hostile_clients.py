"""Clients that flood a gateway or hold what it has to buffer, in a process of their own.

``python -m gaugesail.rehearsal.hostile_clients BEHAVIOUR HOST PORT SECONDS CONNECTIONS SEED`` plays one
behaviour on so many connections at once.  Each connection is opened again when the gateway has closed it.
"""

from __future__ import annotations

import asyncio
import random
import socket
import subprocess
import sys
from collections.abc import Callable
from contextlib import suppress
from enum import Enum

HOSTILE_TARGET = "/hostile"
RECONNECT_S = 0.005  # between two connections of one client
REFUSED_RECONNECT_S = 0.2
SLOW_READ_BYTES = 512
SLOW_STEP_S = 0.1  # between two reads or writes of a slow client
LARGE_BODY_BYTES = 900_000
SHORT_FIELDS = 3600
PIPELINED = 200  # requests that are written at once
CHUNKS = 4000  # of one byte, that are written at once
RECEIVE_BUFFER_BYTES = 4096  # of clients that read slowly or not at all


class Behaviour(Enum):
    """What the clients do."""

    BAD_REQUESTS = "bad_requests"  # each is refused, on a new connection
    NEW_NAMES = "new_names"  # sound requests at full speed, each of a new volume
    HEALTH_CHECKS = "health_checks"  # pipelined at full speed
    MANY_FIELDS = "many_fields"  # heads of very many short fields, and half a body
    REPEATED_FIELDS = "repeated_fields"  # at full speed, heads that repeat one field
    ONE_BYTE_CHUNKS = "one_byte_chunks"  # at full speed
    HALF_UPLOADS = "half_uploads"  # large requests that stop half way
    HALF_BODIES = "half_bodies"  # requests that stop before the end of a body that is buffered whole
    SLOW_WRITERS = "slow_writers"
    SLOW_READERS = "slow_readers"  # of long answers
    UNREAD_ANSWERS = "unread_answers"  # pipelined requests whose answers are not read
    LEAVE_UNREAD = "leave_unread"  # pipelined requests of clients that close at once
    IDLE = "idle"


class HostileClients:
    """The clients of one behaviour."""

    def __init__(self, behaviour: Behaviour, address: tuple[str, int], seconds: float, seed: int) -> None:
        self._play = getattr(self, f"_{behaviour.value}")
        self._address, self._seconds = address, seconds
        self._reads_little = behaviour in (Behaviour.SLOW_READERS, Behaviour.UNREAD_ANSWERS)
        self._rng = random.Random(seed)
        self._name = f"{seed:x}{self._rng.getrandbits(32):x}"
        self._sent = 0

    async def run(self, connections: int) -> None:
        """Play for the given time."""
        with suppress(TimeoutError):
            async with asyncio.timeout(self._seconds):
                await asyncio.gather(*(self._repeat() for _ in range(connections)))

    async def _repeat(self) -> None:
        while True:
            try:
                reader, writer = await self._connect()
            except OSError:
                await asyncio.sleep(REFUSED_RECONNECT_S)
                continue
            try:
                with suppress(OSError, asyncio.IncompleteReadError):
                    await self._play(reader, writer)
            finally:
                writer.transport.abort()
            await asyncio.sleep(RECONNECT_S)

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        client = socket.socket()
        client.setblocking(False)
        if self._reads_little:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        try:
            await asyncio.get_running_loop().sock_connect(client, self._address)
        except OSError:
            client.close()
            raise
        limit = RECEIVE_BUFFER_BYTES if self._reads_little else 1 << 16
        return await asyncio.open_connection(sock=client, limit=limit)

    def _head(self, method: str, *fields: str, volume: int = 1) -> bytes:
        self._sent += 1
        lines = [
            f"{method} {HOSTILE_TARGET} HTTP/1.1", "Host: h", f"Request-Id: {self._name}-{self._sent}",
            f"Request-Class: {'read' if method == 'GET' else 'write'}", "X-Plan: basic",
            f"Cookie: block={self._sent:x}", f"X-IO: volume={volume:x},units=1,shard=0,hosts=1",
            *fields, "", "",
        ]  # fmt: skip
        return "\r\n".join(lines).encode()

    # ---- floods ----

    async def _bad_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(f"GET {HOSTILE_TARGET} HTTP/1.1\r\nRequest-Id: {self._sent}\r\n\r\n".encode())
        self._sent += 1
        await reader.read()

    async def _new_names(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._flood(reader, writer, lambda: self._head("GET", volume=self._rng.getrandbits(60)))

    async def _health_checks(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._flood(reader, writer, lambda: b"GET /_health HTTP/1.1\r\n\r\n")

    async def _repeated_fields(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._flood(reader, writer, lambda: self._head("GET", *["a:"] * SHORT_FIELDS), 1)

    async def _one_byte_chunks(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self._head("PUT", "Transfer-Encoding: chunked"))
        while not reader.at_eof():
            writer.write(b"1\r\nx\r\n" * CHUNKS)
            await writer.drain()

    async def _flood(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, message: Callable[[], bytes],
        pipelined: int = PIPELINED,
    ) -> None:  # fmt: skip
        discarding = asyncio.ensure_future(self._discard(reader))
        try:
            while not discarding.done():
                writer.write(b"".join(message() for _ in range(pipelined)))
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            discarding.cancel()

    @staticmethod
    async def _discard(reader: asyncio.StreamReader) -> None:
        with suppress(OSError):
            while await reader.read(1 << 16):
                pass

    # ---- clients that hold what they began ----

    async def _many_fields(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        fields = [f"{number:x}:" for number in range(SHORT_FIELDS)]
        head = self._head("PUT", *fields[: (15_800 - 300) // 6], "Content-Length: 60000")
        writer.write(head + b"x" * 30_000)
        await reader.read()

    async def _half_uploads(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        length = LARGE_BODY_BYTES
        writer.write(self._head("PUT", f"Content-Length: {length}") + b"x" * (length // 2))
        await reader.read()

    async def _half_bodies(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self._head("PUT", "Content-Length: 64000") + b"x" * 63_000)
        await reader.read()

    async def _slow_writers(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        length = self._rng.choice((50_000, LARGE_BODY_BYTES))
        writer.write(self._head("PUT", f"Content-Length: {length}"))
        for _ in range(length // 5000):
            writer.write(b"x" * 5000)
            await asyncio.sleep(SLOW_STEP_S)
        await reader.readuntil(b"\r\n\r\n")

    async def _slow_readers(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self._head("GET"))
        while await reader.read(SLOW_READ_BYTES):
            await asyncio.sleep(SLOW_STEP_S)

    async def _unread_answers(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(b"".join(self._head("GET") for _ in range(PIPELINED)))
        await asyncio.sleep(self._rng.uniform(1.0, 5.0))

    async def _leave_unread(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"".join(self._head("GET") for _ in range(PIPELINED // 4)))
        await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    async def _idle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()


def start(
    behaviour: Behaviour, address: tuple[str, int], seconds: float, connections: int, seed: int
) -> subprocess.Popen[bytes]:
    """Start hostile clients in a process of their own, which ends after ``seconds``."""
    arguments = (behaviour.value, *address, seconds, connections, seed)
    command = [sys.executable, "-m", "gaugesail.rehearsal.hostile_clients", *map(str, arguments)]
    return subprocess.Popen(command, stderr=subprocess.DEVNULL)


def main(arguments: list[str]) -> None:
    """Play the behaviour that the arguments name."""
    behaviour, host, port, seconds, connections, seed = arguments
    clients = HostileClients(Behaviour(behaviour), (host, int(port)), float(seconds), int(seed))
    asyncio.run(clients.run(int(connections)))


if __name__ == "__main__":
    main(sys.argv[1:])
