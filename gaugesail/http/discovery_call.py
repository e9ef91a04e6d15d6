"""One call to discovery: a watch, whose answer stays open and brings a JSON object at a time, or a poll."""

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

SILENCE_US = 4_500_000  # an empty line comes every 2 s; two missing ones and the watch is dead
MAX_LINE = 4 * 1024 * 1024  # bytes; also of an object that goes over several lines
_JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class CallOwner(Protocol):
    """What starts calls and hears what comes of them."""

    host: str  # of discovery, for the requests

    @property
    def answer_timeout_us(self) -> int:
        """How long a call may wait for its answer to begin."""
        ...

    def now(self) -> int:
        """The present time in microseconds."""
        ...

    def call_answered(self, call: DiscoveryCall) -> None:
        """Its answer has begun, and is none of an error."""
        ...

    def receive(self, data: Any, since: int = 0) -> int:
        """Take a list, or what has changed after the revision ``since``; its revision.  Raises BadList."""
        ...

    def call_ended(self, call: DiscoveryCall, reason: str) -> None:
        """It has ended, with no reason where it did what it was for."""
        ...


class ObjectLines:
    """Cuts a stream of lines into JSON objects, which may be indented and so go over several lines."""

    def __init__(self) -> None:
        self._text = bytearray()
        self._object = bytearray()  # lines of one that has begun
        self._depth = 0  # brackets that are open in it

    def feed(self, data: bytes) -> None:
        """Add bytes that have come; raises BadList where a line is too long."""
        self._text += data
        if len(self._text) > MAX_LINE:
            raise BadList("a line is too long")

    def end_line(self) -> None:
        """The stream has ended, perhaps without the end of its last line."""
        self._text += b"\n"

    def rest(self) -> bytes:
        """All that was fed, where it is not cut into lines."""
        return bytes(self._text)

    def objects(self) -> Iterator[bytes]:
        """The objects that are complete, and an empty one for each empty line between them."""
        while (end := self._text.find(b"\n")) >= 0:
            line = bytes(self._text[:end]).strip()
            del self._text[: end + 1]
            if line:
                self._add(line)
                if self._depth <= 0:
                    yield self._take()
            elif not self._object:
                yield b""

    def _add(self, line: bytes) -> None:
        self._object += line
        if len(self._object) > MAX_LINE:
            raise BadList("an object is too long")
        # No string of JSON goes over the end of a line, so that brackets are counted line by line.
        bare = _JSON_STRING.sub(b"", line)
        self._depth += bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")

    def _take(self) -> bytes:
        complete = bytes(self._object)
        self._object = bytearray()
        self._depth = 0
        return complete


class DiscoveryCall(Connection):
    """One connection to discovery, for one call."""

    def __init__(self, owner: CallOwner, target: str, follow: bool) -> None:
        self._owner = owner
        self._target = target
        self.follow = follow  # it is a watch
        self.since = 0  # the revision that the next object of this watch follows on
        self._parser = Parser(answers=True, max_body=None)
        self._lines = ObjectLines()
        self.ended = False
        self._answered = False
        self.begun_us = owner.now()
        self.last_message_us = self.begun_us  # the last complete object or empty line, or the beginning

    @property
    def due_us(self) -> int:
        """When it counts as silent.  Pieces of a line or an object say nothing: they may trickle for ever."""
        return self.last_message_us + (SILENCE_US if self._answered else self._owner.answer_timeout_us)

    def connectionMade(self) -> None:
        """Send the request."""
        host = self._owner.host
        if self.ended:  # given up while it was being dialled
            self.link.abortConnection()
            return
        self.link.setTcpNoDelay(True)
        self.link.write(f"GET {self._target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    def dataReceived(self, data: bytes) -> None:
        """Read the answer; what is malformed ends the call."""
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
            raise BadList(f"status {head.status}")
        self._owner.call_answered(self)

    def _answer_complete(self) -> None:
        if self.follow:
            self._lines.end_line()
            self._receive_objects()
            self.end("ended")
            return
        text = self._lines.rest()
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
        """Discovery has closed the connection, or we did."""
        self.end("connection lost")

    def end(self, reason: str) -> None:
        """End the call, once; an empty reason means that it did what it was for."""
        if self.ended:
            return
        self.drop()
        self._owner.call_ended(self, reason)

    def drop(self) -> None:
        """End the call without a report."""
        self.ended = True
        if self.transport is not None:
            self.link.abortConnection()
