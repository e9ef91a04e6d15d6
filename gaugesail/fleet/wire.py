"""The envelope of what gateways send each other: bounded, versioned, addressed, tagged under a shared key.

A frame is MAGIC, one byte VERSION, the tag, and the envelope as msgpack.  What is foreign, damaged, too
large, for another gateway or replayed is dropped and counted; it reaches no decision.  Dropping replays only
saves work: every message is safe to take in twice.
"""

from __future__ import annotations

import hmac
from collections import Counter, OrderedDict
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from gaugesail.coordination.messages import Message

from .replay_window import ReplayWindow

MAGIC = b"gs"
VERSION = 1
TAG_BYTES = 16
HEADER_BYTES = len(MAGIC) + 1
MAX_DATAGRAM_BYTES = 1200  # what is larger goes by TCP
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
MAX_SENDERS = 4096  # processes whose replay windows are remembered


class DropReason(StrEnum):
    """Why a frame was dropped, as operators see it counted."""

    FOREIGN = "foreign"  # not a frame
    VERSION = "version"
    TAG = "tag"  # damaged, or under another key
    FLEET = "fleet"
    NOT_OURS = "not_ours"  # addressed to another gateway
    OWN = "own"  # sent by this process
    REPLAYED = "replayed"
    MALFORMED = "malformed"


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """What a message travels in; the order of the fields is that on the wire."""

    fleet: str
    sender: str
    process: int  # of the sender, drawn at each of its starts
    number: int  # goes up by one
    to: str
    body: msgspec.Raw


class ReceivedMessage(NamedTuple):
    """A message of another gateway's process, whose tag was right."""

    sender: str
    process: int
    message: Message


class _Dropped(Exception):
    """A frame must not be taken in."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason)
        self.reason = reason


class Wire:
    """Packs and unpacks the messages of one process of one gateway."""

    def __init__(self, fleet: str, gateway: str, process: int, key: bytes) -> None:
        self._fleet = fleet
        self._gateway = gateway
        self._process = process
        self._key = key
        self._number = 0
        self._windows: OrderedDict[tuple[str, int], ReplayWindow] = OrderedDict()  # by sender and process
        self.dropped: Counter[str] = Counter()  # by DropReason
        self._encode = msgspec.msgpack.Encoder().encode
        self._envelopes = msgspec.msgpack.Decoder(Envelope)
        self._messages: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Message)

    def pack(self, to: str, message: Message) -> bytes:
        """The frame of a message for one gateway."""
        self._number += 1
        body = msgspec.Raw(self._encode(message))
        envelope = Envelope(self._fleet, self._gateway, self._process, self._number, to, body)
        text = self._encode(envelope)
        return MAGIC + bytes([VERSION]) + self._tag(text) + text

    def _tag(self, text: bytes) -> bytes:
        return hmac.digest(self._key, text, "sha256")[:TAG_BYTES]

    def unpack(self, frame: bytes) -> ReceivedMessage | None:
        """The message of a frame; None, and counted in ``dropped``, where it must not be taken in."""
        try:
            envelope = self._open(frame)
            return self._accept(envelope)
        except _Dropped as dropped:
            self.dropped[dropped.reason] += 1
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            self.dropped[DropReason.MALFORMED] += 1
        return None

    def _open(self, frame: bytes) -> Envelope:
        """The envelope of a frame whose tag is right."""
        if len(frame) < HEADER_BYTES + TAG_BYTES or frame[: len(MAGIC)] != MAGIC:
            raise _Dropped(DropReason.FOREIGN)
        if frame[len(MAGIC)] != VERSION:
            raise _Dropped(DropReason.VERSION)
        tag = frame[HEADER_BYTES : HEADER_BYTES + TAG_BYTES]
        text = frame[HEADER_BYTES + TAG_BYTES :]
        if not hmac.compare_digest(tag, self._tag(text)):
            raise _Dropped(DropReason.TAG)
        return self._envelopes.decode(text)

    def _accept(self, envelope: Envelope) -> ReceivedMessage:
        """The message of an envelope for this gateway; its number is used up last, once all is right."""
        if envelope.fleet != self._fleet:
            raise _Dropped(DropReason.FLEET)
        if envelope.to != self._gateway:
            raise _Dropped(DropReason.NOT_OURS)
        if envelope.sender == self._gateway and envelope.process == self._process:
            raise _Dropped(DropReason.OWN)
        message: Message = self._messages.decode(envelope.body)
        if not self._window(envelope.sender, envelope.process).take(envelope.number):
            raise _Dropped(DropReason.REPLAYED)
        return ReceivedMessage(envelope.sender, envelope.process, message)

    def _window(self, sender: str, process: int) -> ReplayWindow:
        """The window of one process; those that were heard of longest ago are forgotten."""
        key = sender, process
        window = self._windows.get(key)
        if window is None:
            window = self._windows[key] = ReplayWindow()
            if len(self._windows) > MAX_SENDERS:
                self._windows.popitem(last=False)
        self._windows.move_to_end(key)
        return window
