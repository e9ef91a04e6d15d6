"""What an HTTP/1.1 message is made of, as the parser gives it, and the error for input that is none."""

from __future__ import annotations

from dataclasses import dataclass

MAX_BUFFERED_BODY = 64 * 1024  # bytes; a longer body is passed on while it comes


class BadMessage(Exception):
    """The input is no message that may be acted on; ``status`` is what a client is answered."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Head:
    """Start line and headers of one message; names of headers are lower case."""

    method: str  # of a request
    target: str  # of a request
    status: int  # of an answer
    headers: dict[str, str]
    keep_alive: bool
    length: int | None = None  # of the body, in bytes; None: chunked, or until the connection closes
    chunked: bool = False
    until_close: bool = False
    http_1_0: bool = False  # which has no chunks


@dataclass(slots=True, frozen=True)
class Data:
    """A piece of a body."""

    data: bytes


@dataclass(slots=True, frozen=True)
class EndOfMessage:
    """The message is complete."""


Part = Head | Data | EndOfMessage
