"""The envelope of what heads say to each other: bounded, versioned, named, tagged under one shared key.

What is foreign, damaged, cut short, too large, addressed to another or replayed is dropped and counted; it
reaches no decision.  That a replay is dropped saves work only: every message is safe to take in twice.
"""

from __future__ import annotations

import hmac
from collections import Counter, OrderedDict
from typing import Any

import msgspec

from gaugesail.coordination.messages import Message

MAGIC, VERSION = b"gs", 1
TAG_BYTES = 16
MOST_DATAGRAM = 1200  # what is larger goes by the exchange (TCP)
MOST_BYTES = 8 * 1024 * 1024  # of one message there
WINDOW = 1024  # numbers of one process that are told apart, so far out of order
MOST_PROCESSES = 4096  # whose windows are kept


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """What a message travels in.  ``process`` is drawn at each start, ``number`` goes up by one."""

    fleet: str
    sender: str
    process: int
    number: int
    to: str
    body: msgspec.Raw


class Window:
    """Which of the latest numbers of one process have come."""

    __slots__ = ("_bits", "_top")

    def __init__(self) -> None:
        self._top, self._bits = -1, 0

    def fresh(self, number: int) -> bool:
        """Whether a number has not come before; one that is too old to tell is not fresh."""
        if number > self._top:
            self._bits = (self._bits << min(WINDOW, number - self._top)) & ((1 << WINDOW) - 1) | 1
            self._top = number
            return True
        behind = self._top - number
        if behind >= WINDOW or self._bits >> behind & 1:
            return False
        self._bits |= 1 << behind
        return True


class Wire:
    """Packs and unpacks messages of one head."""

    def __init__(self, fleet: str, me: str, process: int, key: bytes) -> None:
        self._fleet, self._me, self._process, self._key = fleet, me, process, key
        self._number = 0
        self._windows: OrderedDict[tuple[str, int], Window] = OrderedDict()
        self.dropped: Counter[str] = Counter()  # by cause
        self._pack = msgspec.msgpack.Encoder().encode
        self._envelope = msgspec.msgpack.Decoder(Envelope)
        self._message: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Message)

    def pack(self, to: str, message: Message) -> bytes:
        """A message for one head as it goes on the wire."""
        self._number += 1
        body = msgspec.Raw(self._pack(message))
        text = self._pack(Envelope(self._fleet, self._me, self._process, self._number, to, body))
        return MAGIC + bytes([VERSION]) + self._tag(text) + text

    def _tag(self, text: bytes) -> bytes:
        return hmac.digest(self._key, text, "sha256")[:TAG_BYTES]

    def unpack(self, data: bytes) -> tuple[str, int, Message] | None:
        """Who says what, with the sender's process; None for what is not to be taken in."""
        try:
            return self._read(data)
        except _Dropped as dropped:
            self.dropped[str(dropped)] += 1
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            self.dropped["malformed"] += 1
        return None

    def _read(self, data: bytes) -> tuple[str, int, Message]:
        start = len(MAGIC) + 1
        if len(data) < start + TAG_BYTES or data[: len(MAGIC)] != MAGIC:
            raise _Dropped("foreign")
        if data[len(MAGIC)] != VERSION:
            raise _Dropped("version")
        tag, text = data[start : start + TAG_BYTES], data[start + TAG_BYTES :]
        if not hmac.compare_digest(tag, self._tag(text)):
            raise _Dropped("tag")
        told = self._envelope.decode(text)
        if told.fleet != self._fleet:
            raise _Dropped("fleet")
        if told.to != self._me:
            raise _Dropped("not_ours")
        if told.sender == self._me and told.process == self._process:
            raise _Dropped("own")
        message: Message = self._message.decode(told.body)
        # Last, so that what is dropped leaves nothing behind.
        if not self._window(told.sender, told.process).fresh(told.number):
            raise _Dropped("replayed")
        return told.sender, told.process, message

    def _window(self, sender: str, process: int) -> Window:
        name = sender, process
        if (window := self._windows.get(name)) is None:
            window = self._windows[name] = Window()
            if len(self._windows) > MOST_PROCESSES:
                self._windows.popitem(last=False)
        self._windows.move_to_end(name)
        return window


class _Dropped(Exception):
    """Not taken in; the text is the cause, as it is counted."""
