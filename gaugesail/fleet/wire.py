"""The frames that gateways exchange: size-limited, versioned, addressed, authenticated by a shared key.

A frame is MAGIC, one byte VERSION, the tag, and the envelope as msgpack.  The tag is a truncated HMAC-SHA256
of the envelope.  A frame that is foreign, damaged, malformed, for another gateway or replayed is dropped and
counted; link.py and tcp_channel.py enforce the size limits.  Dropping replays only saves work: every message
is idempotent.
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
MAX_DATAGRAM_BYTES = 1200  # larger frames go by TCP
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
MAX_SENDERS = 4096  # processes whose replay windows are kept


class DropReason(StrEnum):
    """Why a frame was dropped; the values are the names of the operators' counters."""

    FOREIGN = "foreign"  # shorter than a frame, or another magic number
    VERSION = "version"
    TAG = "tag"  # damaged, or authenticated by another key
    FLEET = "fleet"
    NOT_OURS = "not_ours"  # addressed to another gateway
    OWN = "own"  # sent by this process
    REPLAYED = "replayed"
    MALFORMED = "malformed"


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """The envelope of a message; the order of the fields is that on the wire."""

    fleet: str
    sender: str
    process: int  # of the sender, drawn at random when it starts
    number: int  # increases by one with each message of the process
    to: str
    body: msgspec.Raw


class ReceivedMessage(NamedTuple):
    """An authenticated message of another process."""

    sender: str
    process: int
    message: Message


class _Dropped(Exception):
    """A frame is rejected, for ``reason``."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason)
        self.reason = reason


class Wire:
    """Packs and unpacks the messages of one process.

    :param fleet: the fleet's name; frames of other fleets are dropped.
    :param gateway: the name of this gateway.
    :param process: the number of this process.
    :param key: the fleet's shared key.
    """

    def __init__(self, fleet: str, gateway: str, process: int, key: bytes) -> None:
        self._fleet = fleet
        self._gateway = gateway
        self._process = process
        self._key = key
        self._number = 0
        self._windows: OrderedDict[tuple[str, int], ReplayWindow] = OrderedDict()  # by sender, process
        self.dropped: Counter[str] = Counter()  # by DropReason
        self._encode = msgspec.msgpack.Encoder().encode
        self._envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self._message_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Message)

    def pack(self, to: str, message: Message) -> bytes:
        """Return the frame that carries a message to one gateway."""
        self._number += 1
        body = msgspec.Raw(self._encode(message))
        envelope = Envelope(self._fleet, self._gateway, self._process, self._number, to, body)
        payload = self._encode(envelope)
        return MAGIC + bytes([VERSION]) + self._tag(payload) + payload

    def _tag(self, payload: bytes) -> bytes:
        return hmac.digest(self._key, payload, "sha256")[:TAG_BYTES]

    def unpack(self, frame: bytes) -> ReceivedMessage | None:
        """Return the message of a frame; None if the frame is dropped, which ``dropped`` counts by reason."""
        try:
            envelope = self._open(frame)
            return self._accept(envelope)
        except _Dropped as dropped:
            self.dropped[dropped.reason] += 1
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            self.dropped[DropReason.MALFORMED] += 1
        return None

    def _open(self, frame: bytes) -> Envelope:
        """Authenticate a frame and return its envelope.  _Dropped."""
        if len(frame) < HEADER_BYTES + TAG_BYTES or frame[: len(MAGIC)] != MAGIC:
            raise _Dropped(DropReason.FOREIGN)
        if frame[len(MAGIC)] != VERSION:
            raise _Dropped(DropReason.VERSION)
        tag = frame[HEADER_BYTES : HEADER_BYTES + TAG_BYTES]
        payload = frame[HEADER_BYTES + TAG_BYTES :]
        if not hmac.compare_digest(tag, self._tag(payload)):
            raise _Dropped(DropReason.TAG)
        return self._envelope_decoder.decode(payload)

    def _accept(self, envelope: Envelope) -> ReceivedMessage:
        """Return the message of an envelope; its number is recorded last, if all else is right.  _Dropped."""
        if envelope.fleet != self._fleet:
            raise _Dropped(DropReason.FLEET)
        if envelope.to != self._gateway:
            raise _Dropped(DropReason.NOT_OURS)
        if envelope.sender == self._gateway and envelope.process == self._process:
            raise _Dropped(DropReason.OWN)
        message: Message = self._message_decoder.decode(envelope.body)
        if not self._window(envelope.sender, envelope.process).accept(envelope.number):
            raise _Dropped(DropReason.REPLAYED)
        return ReceivedMessage(envelope.sender, envelope.process, message)

    def _window(self, sender: str, process: int) -> ReplayWindow:
        """Return the replay window of one process; beyond MAX_SENDERS the least recently used is evicted."""
        key = sender, process
        window = self._windows.get(key)
        if window is None:
            window = self._windows[key] = ReplayWindow()
            if len(self._windows) > MAX_SENDERS:
                self._windows.popitem(last=False)
        self._windows.move_to_end(key)
        return window
