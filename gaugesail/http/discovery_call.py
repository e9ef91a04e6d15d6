"""One call to discovery: a poll, or a watch whose answer stays open and carries JSON objects."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any, Protocol

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from ..net import Connection
from .endpoint_reader import BadList
from .messages import BadMessage, Data, Head
from .parser import Parser

SILENCE_TIMEOUT_US = 4_500_000  # discovery sends an empty line every 2 s; two missing ones end the watch
MAX_UNPROCESSED_BYTES = 4 * 1024 * 1024  # of received lines or a poll's answer; also of one object
_JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class CallOwner(Protocol):
    """What a call needs of the client that started it, and reports to it."""

    host: str  # of discovery, for the Host header

    @property
    def answer_timeout_us(self) -> int:
        """Longest time until the answer to a call starts."""
        ...

    def now(self) -> int:
        """The present time in microseconds."""
        ...

    def call_answered(self, call: DiscoveryCall) -> None:
        """The answer has started, with status 200."""
        ...

    def receive(self, data: Any, since: int = 0) -> int:
        """Apply a full list, or the changes after ``since``; return its revision.  Raises BadList."""
        ...

    def call_ended(self, call: DiscoveryCall, reason: str) -> None:
        """The call has ended; ``reason`` is empty if it succeeded."""
        ...


class JsonObjectSplitter:
    """Splits a stream of lines into JSON objects, which may be indented and so span several lines."""

    def __init__(self) -> None:
        self._text = bytearray()
        self._object = bytearray()  # the lines of an incomplete object
        self._depth = 0  # open brackets in it

    def feed(self, data: bytes) -> None:
        """Add received bytes.  Raises BadList if more than MAX_UNPROCESSED_BYTES are unprocessed."""
        self._text += data
        if len(self._text) > MAX_UNPROCESSED_BYTES:
            raise BadList(
                f"expected at most {MAX_UNPROCESSED_BYTES} unprocessed bytes, received {len(self._text)}"
            )

    def end_line(self) -> None:
        """Terminate the last line at the end of the stream."""
        self._text += b"\n"

    def remaining(self) -> bytes:
        """Return all buffered bytes, for an answer that is not split into lines."""
        return bytes(self._text)

    def objects(self) -> Iterator[bytes]:
        """Yield the complete objects, and ``b""`` for each empty line between them."""
        while (end := self._text.find(b"\n")) >= 0:
            line = bytes(self._text[:end]).strip()
            del self._text[: end + 1]
            if line:
                self._add(line)
                if self._depth <= 0:
                    yield self._pop_object()
            elif not self._object:
                yield b""

    def _add(self, line: bytes) -> None:
        self._object += line
        if len(self._object) > MAX_UNPROCESSED_BYTES:
            raise BadList(f"an object is longer than {MAX_UNPROCESSED_BYTES} bytes")
        # JSON strings contain no line breaks, so brackets can be counted line by line.
        bare = _JSON_STRING.sub(b"", line)
        self._depth += bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")

    def _pop_object(self) -> bytes:
        complete = bytes(self._object)
        self._object = bytearray()
        self._depth = 0
        return complete


class DiscoveryCall(Connection):
    """One call, on a connection of its own."""

    def __init__(self, owner: CallOwner, target: str, follow: bool) -> None:
        self._owner = owner
        self._target = target
        self.follow = follow  # a watch, not a poll
        self.since = 0  # the revision that the next changes of this watch are based on
        self._parser = Parser(answers=True, max_body=None)
        self._lines = JsonObjectSplitter()
        self.ended = False
        self._answered = False
        self.started_us = owner.now()
        self.last_message_us = self.started_us  # when the last object or empty line was complete

    @property
    def due_us(self) -> int:
        """When the call is overdue; incomplete lines and objects, which may trickle, do not defer that."""
        return self.last_message_us + (
            SILENCE_TIMEOUT_US if self._answered else self._owner.answer_timeout_us
        )

    def connectionMade(self) -> None:
        """Send the request."""
        host = self._owner.host
        if self.ended:  # ended during the dial
            self.link.abortConnection()
            return
        self.link.setTcpNoDelay(True)
        self.link.write(f"GET {self._target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    def dataReceived(self, data: bytes) -> None:
        """Read the answer; malformed input ends the call."""
        if self.ended:
            return
        self._answered = True
        self._parser.feed(data)
        try:
            for part in self._parser.parts():
                if isinstance(part, Head):
                    self._head_received(part)
                elif isinstance(part, Data):
                    self._lines.feed(part.data)
                    if self.follow:
                        self._receive_objects()
                else:
                    self._answer_complete()
                    return
        except (BadMessage, BadList, ValueError) as error:
            self.end(str(error) or "malformed")

    def _head_received(self, head: Head) -> None:
        if head.status != 200:
            raise BadList(f"expected status 200, received {head.status}")
        self._owner.call_answered(self)

    def _answer_complete(self) -> None:
        if self.follow:
            self._lines.end_line()
            self._receive_objects()
            self.end("ended")
            return
        text = self._lines.remaining()
        if text.strip():
            self._owner.receive(json.loads(text))
        self.end("")

    def _receive_objects(self) -> None:
        if self.ended:
            return
        for text in self._lines.objects():
            self.last_message_us = self._owner.now()
            if text:
                self.since = self._owner.receive(json.loads(text), self.since)
            if self.ended:
                return

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The connection was closed or reset."""
        self.end("connection lost")

    def end(self, reason: str) -> None:
        """End the call and report it, once; an empty ``reason`` means success."""
        if self.ended:
            return
        self.drop()
        self._owner.call_ended(self, reason)

    def drop(self) -> None:
        """End the call without a report."""
        self.ended = True
        if self.transport is not None:
            self.link.abortConnection()
