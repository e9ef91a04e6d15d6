"""The parts of an HTTP/1.1 message as the parser returns them, and the error for malformed input."""

from __future__ import annotations

from dataclasses import dataclass

MAX_BUFFERED_BODY = 64 * 1024  # bytes; a longer body is streamed


class BadMessage(Exception):
    """The message is malformed or not acceptable; ``status`` and the text form the answer to a client."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Head:
    """Start line and header fields of one message; field names are in lower case."""

    method: str  # empty in an answer
    target: str  # empty in an answer
    status: int  # 0 in a request
    headers: dict[str, str]
    keep_alive: bool
    length: int | None = None  # of the body in bytes; None: chunked, or until the connection is closed
    chunked: bool = False
    until_close: bool = False
    http_1_0: bool = False  # HTTP/1.0 has no chunked coding


@dataclass(slots=True, frozen=True)
class Data:
    """Part of a body."""

    data: bytes


@dataclass(slots=True, frozen=True)
class EndOfMessage:
    """The message is complete."""


Part = Head | Data | EndOfMessage
