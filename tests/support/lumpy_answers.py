"""Answers that a node writes in lumps with rests, in every framing, and clients that note when bytes come."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from .faulty_process import HOST

LAST_BYTE_AFTER_S = 8.0  # a client waits so long for more
HEAD = b"HTTP/1.1 200 OK\r\n"


class Framing(Enum):
    """How an answer tells where it ends."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


@dataclass(frozen=True)
class Lump:
    """A rest, then so many bytes of the body at once."""

    rest_s: float
    size: int


@dataclass(frozen=True)
class Form:
    """An answer: when its head comes, and its body."""

    lumps: tuple[Lump, ...]
    head_after_s: float = 0.0
    end_after_s: float = 0.0  # from the last byte of the body to the end of the message

    @property
    def size(self) -> int:
        return sum(lump.size for lump in self.lumps)

    def write(self, connection: socket.socket, framing: Framing) -> None:
        """Write the answer; the connection ends with it if that is its framing."""
        time.sleep(self.head_after_s)
        connection.sendall(_head(framing, self.size))
        for lump in self.lumps:
            time.sleep(lump.rest_s)
            data = b"x" * lump.size
            connection.sendall(b"%x\r\n%b\r\n" % (len(data), data) if framing is Framing.CHUNKED else data)
        if framing is not Framing.LENGTH:
            time.sleep(self.end_after_s)
        if framing is Framing.CHUNKED:
            connection.sendall(b"0\r\n\r\n")
        if framing is Framing.CLOSE:
            connection.shutdown(socket.SHUT_RDWR)


def _head(framing: Framing, size: int) -> bytes:
    match framing:
        case Framing.LENGTH:
            return HEAD + b"Content-Length: %d\r\n\r\n" % size
        case Framing.CHUNKED:
            return HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        case Framing.CLOSE:
            return HEAD + b"Connection: close\r\n\r\n"


Script = Callable[[socket.socket, dict[str, str]], None]


def script(form: Form, framing: Framing) -> Script:
    """Return the script of a node that answers every request so."""
    return lambda connection, _: form.write(connection, framing)


@dataclass
class Received:
    """What a client got: status 0 if nothing came; ``is_whole`` tells whether the answer had its end."""

    status: int
    body_bytes: int
    first_s: float  # from its last byte to the first of the answer
    last_s: float
    is_whole: bool


def exchange(
    port: int, message: bytes, pause_s: float = 0.0, receive_buffer: int = 0,
    patience_s: float = LAST_BYTE_AFTER_S,
) -> Received:  # fmt: skip
    """Send a request and read its answer, resting ``pause_s`` after each read, ``patience_s`` for one."""
    text = b""
    first_s = 0.0
    client = socket.socket()
    if receive_buffer:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    with client:
        client.settimeout(patience_s)
        client.connect((HOST, port))
        client.sendall(message)
        began = time.monotonic()
        try:
            while not is_whole(text) and (data := client.recv(1 << 16)):
                first_s = first_s or time.monotonic() - began
                text += data
                time.sleep(pause_s)
        except OSError:
            pass
    status = int(text[9:12]) if text else 0
    body_bytes = text.partition(b"\r\n\r\n")[2].count(b"x")
    return Received(status, body_bytes, first_s, time.monotonic() - began, is_whole(text))


def is_whole(text: bytes) -> bool:
    """Whether an answer of the gateway, which always has a length or chunks, has its end."""
    head, found, body = text.partition(b"\r\n\r\n")
    if not found:
        return False
    if b"Transfer-Encoding" in head:
        return body.endswith(b"0\r\n\r\n")
    return len(body) >= int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0])
