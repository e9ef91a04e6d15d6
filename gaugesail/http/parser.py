"""An incremental HTTP/1.1 parser for requests and answers; strict about all that decides framing."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

MAX_HEAD = 16 * 1024
MAX_BODY = 32 * 1024 * 1024
WHOLE_BODY = 64 * 1024  # up to here a message is held whole before it is passed on
MAX_CHUNK_LINE = 4096
FRAMING = ("content-length", "transfer-encoding")

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
_TARGET = re.compile(rb"[\x21-\x7e]+\Z")
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*\Z")
_DIGITS = re.compile(rb"[0-9]{1,15}\Z")
_HEX = re.compile(rb"[0-9A-Fa-f]{1,16}\Z")
_VERSION = re.compile(rb"HTTP/1\.([01])\Z")


class BadMessage(Exception):
    """The input is no message that may be acted on; ``status`` is what a client is told."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Head:
    """Start line and headers of one message; names are lower case."""

    method: str
    target: str
    status: int
    headers: dict[str, str]
    keep_alive: bool
    length: int | None = None  # None: chunked, or until the end
    chunked: bool = False
    until_close: bool = False
    old: bool = False  # HTTP/1.0, which has no chunks


@dataclass(slots=True, frozen=True)
class Data:
    """A piece of a body."""

    data: bytes


@dataclass(slots=True, frozen=True)
class End:
    """The message is whole."""


Part = Head | Data | End


class Parser:
    """Takes bytes with ``feed`` and gives the parts of messages with ``parts``.

    ``parts`` stops after an End, so that what follows waits for the next call; ``buffered`` tells how much
    waits.  After BadMessage the parser must not be used again.
    """

    def __init__(self, answers: bool, max_body: int | None = MAX_BODY, max_head: int = MAX_HEAD) -> None:
        self._answers, self._max_body, self._max_head = answers, max_body, max_head
        self._input = bytearray()
        self._head: Head | None = None
        self._left = 0  # of the body or the chunk
        self._got = 0  # of the body
        self._trailer = 0  # bytes of it
        self.fed = 0  # bytes in all
        self._state = "head"

    @property
    def buffered(self) -> int:
        return len(self._input)

    @property
    def between(self) -> bool:
        """Neither a message nor the start of one is held."""
        return self._state == "head" and not self._input

    @property
    def taken(self) -> int:
        """How many of the bytes that were fed have been read."""
        return self.fed - len(self._input)

    @property
    def state(self) -> dict[str, Any]:
        """Where it stands within a message, for another process to go on from."""
        return {
            "state": self._state, "left": self._left, "got": self._got, "trailer": self._trailer,
            "input": self._input.decode("latin-1"),
        }  # fmt: skip

    @state.setter
    def state(self, told: dict[str, Any]) -> None:
        self._state, self._left = str(told["state"]), int(told["left"])
        self._got, self._trailer = int(told["got"]), int(told["trailer"])
        self.feed(told["input"].encode("latin-1"))

    def feed(self, data: bytes) -> None:
        self.fed += len(data)
        self._input += data

    def parts(self) -> Iterator[Part]:
        while True:
            if self._state == "head":
                head = self._read_head()
                if head is None:
                    return
                yield head
                if self._state == "end":
                    self._state = "head"
                    yield End()
                    return
            elif self._state in ("fixed", "until_close", "chunk"):
                if not self._input:
                    return
                take = len(self._input) if self._state == "until_close" else min(self._left, len(self._input))
                self._count(take)
                data = bytes(memoryview(self._input)[:take])
                del self._input[:take]
                self._left -= take
                yield Data(data)
                if self._state == "fixed" and not self._left:
                    self._state = "head"
                    yield End()
                    return
                if self._state == "chunk" and not self._left:
                    self._state = "chunk_end"
            elif self._state == "chunk_end":
                if len(self._input) < 2:
                    return
                if self._input[:2] != b"\r\n":
                    raise BadMessage("a chunk is longer than it says")
                del self._input[:2]
                self._state = "chunk_line"
            elif self._state == "chunk_line":
                line = self._line(MAX_CHUNK_LINE)
                if line is None:
                    return
                size = line.partition(b";")[0].rstrip(b" \t")
                if not _HEX.match(size) or not _VALUE.match(line):
                    raise BadMessage("bad chunk size")
                self._left = int(size, 16)
                self._state = "chunk" if self._left else "trailer"
                if self._max_body is not None and self._got + self._left > self._max_body:
                    raise BadMessage("the body is too long", 413)
            else:  # trailer
                line = self._line(self._max_head)
                if line is None:
                    return
                self._trailer += len(line)
                if self._trailer > self._max_head:
                    raise BadMessage("the trailer is too long", 431)
                if not line:
                    self._state = "head"
                    yield End()
                    return

    def _count(self, size: int) -> None:
        self._got += size
        if self._max_body is not None and self._got > self._max_body:
            raise BadMessage("the body is too long", 413)

    def _line(self, most: int) -> bytes | None:
        end = self._input.find(b"\r\n", 0, most + 2)
        if end < 0:
            if len(self._input) > most:
                raise BadMessage("a line is too long")
            return None
        line = bytes(self._input[:end])
        del self._input[: end + 2]
        return line

    def _read_head(self) -> Head | None:
        while self._input.startswith(b"\r\n"):  # RFC 9112 2.2: empty lines before a request
            del self._input[:2]
        end = self._input.find(b"\r\n\r\n", 0, self._max_head + 4)
        if end < 0:
            if len(self._input) > self._max_head:
                raise BadMessage("the head is too long", 431)
            return None
        lines = bytes(self._input[:end]).split(b"\r\n")
        del self._input[: end + 4]
        headers: dict[str, str] = {}
        for line in lines[1:]:
            name, colon, value = line.partition(b":")
            value = value.strip(b" \t")
            # A folded line starts with a space and so is no token; a bare CR or LF is in no value.
            if not colon or not _TOKEN.match(name) or not _VALUE.match(value):
                raise BadMessage("bad header line")
            key, text = name.decode("ascii").lower(), value.decode("latin-1")
            # Names that a reader behind us might take for the framing, and the framing said twice: what one
            # party takes for the body another may take for the next request.
            if key.replace("_", "-") in FRAMING and (key not in FRAMING or key in headers):
                raise BadMessage("doubled or misspelt framing")
            if key not in headers:
                headers[key] = text
            elif key not in ("host", "request-id"):
                headers[key] += ("; " if key == "cookie" else ", ") + text
            elif headers[key] != text:
                raise BadMessage(f"two different values of {key}")
        head = self._answer(lines[0], headers) if self._answers else self._request(lines[0], headers)
        self._frame(head)
        return head

    def _request(self, line: bytes, headers: dict[str, str]) -> Head:
        words = line.split(b" ")
        if len(words) != 3 or not _TOKEN.match(words[0]) or not _TARGET.match(words[1]):
            raise BadMessage("bad request line")
        version = _VERSION.match(words[2])
        if version is None:
            known = words[2].startswith(b"HTTP/")
            raise BadMessage("unknown version", 505 if known else 400)
        old = version[1] == b"0"
        return Head(words[0].decode(), words[1].decode(), 0, headers, _keeps(version[1], headers), old=old)

    def _answer(self, line: bytes, headers: dict[str, str]) -> Head:
        words = line.split(b" ", 2)
        version = _VERSION.match(words[0])
        if version is None or len(words) < 2 or len(words[1]) != 3 or not _DIGITS.match(words[1]):
            raise BadMessage("bad status line")
        old = version[1] == b"0"
        return Head("", "", int(words[1]), headers, _keeps(version[1], headers), old=old)

    def _frame(self, head: Head) -> None:
        """How long the body is, RFC 9112 6.3; what two parties could read differently is bad."""
        coding, length = head.headers.get("transfer-encoding"), head.headers.get("content-length")
        self._got = self._trailer = 0
        if coding is not None:
            if coding.lower() != "chunked" or length is not None or head.old:
                raise BadMessage("unknown or doubled framing", 400 if length is not None or head.old else 501)
            head.chunked = True
            self._state = "chunk_line"
        elif length is not None:
            if not _DIGITS.match(length.encode("latin-1")):
                raise BadMessage("bad content-length")
            head.length = int(length)
            if self._max_body is not None and head.length > self._max_body:
                raise BadMessage("the body is too long", 413)
            self._left = head.length
            self._state = "fixed" if head.length else "end"
        elif self._answers and not (head.status in (204, 304) or head.status < 200):
            head.until_close, head.keep_alive = True, False
            self._state = "until_close"
        else:
            head.length = 0
            self._state = "end"
        if self._answers and (head.status in (204, 304) or head.status < 200):
            head.length, self._left, self._state = 0, 0, "end"


def _keeps(minor: bytes, headers: dict[str, str]) -> bool:
    words = [word.strip().lower() for word in headers.get("connection", "").split(",")]
    return "close" not in words and (minor == b"1" or "keep-alive" in words)
