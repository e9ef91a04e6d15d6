"""An incremental HTTP/1.1 parser for requests and answers.  It does no I/O; references are to RFC 9112."""

from __future__ import annotations

import re
from collections.abc import Iterator
from enum import Enum
from typing import Any

from .head_reader import VALUE, read_head
from .messages import BadMessage, Data, EndOfMessage, Head, Part

MAX_HEAD_BYTES = 16 * 1024  # of a header section, or of a trailer section
MAX_FIELDS = 256  # lines of a header section, as each costs much more memory than its bytes
MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_CHUNK_LINE_BYTES = 4096  # chunk extensions included

_WHOLE_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})\r\n")
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,16}\Z")


class _State(Enum):
    """What the parser expects next; the values are part of the handover to another process."""

    HEAD = "head"
    FIXED_BODY = "fixed"
    BODY_UNTIL_CLOSE = "until_close"
    CHUNK_LINE = "chunk_line"
    CHUNK = "chunk"
    CHUNK_END = "chunk_end"
    TRAILER = "trailer"
    END = "end"  # nothing: the message is complete


# Module names: an attribute look-up on the enumeration costs more for each part.
_HEAD = _State.HEAD
_FIXED_BODY = _State.FIXED_BODY
_BODY_UNTIL_CLOSE = _State.BODY_UNTIL_CLOSE
_CHUNK_LINE = _State.CHUNK_LINE
_CHUNK = _State.CHUNK
_CHUNK_END = _State.CHUNK_END
_TRAILER = _State.TRAILER
_END = _State.END
_BODY_STATES = (_FIXED_BODY, _BODY_UNTIL_CLOSE, _CHUNK)


class Parser:
    """Accepts bytes through ``feed`` and returns the parts of messages from ``parts``.

    ``parts`` stops after EndOfMessage; the bytes of the next message stay buffered until the next call, and
    ``buffered`` counts them.  After BadMessage the parser must not be used again.

    ``answers`` selects answers instead of requests.  ``max_body`` (None: unlimited) and ``max_head`` are in
    bytes.
    """

    def __init__(
        self, answers: bool, max_body: int | None = MAX_BODY_BYTES, max_head: int = MAX_HEAD_BYTES
    ) -> None:
        self._answers = answers
        self._max_body = max_body
        self._max_head = max_head
        self._input = bytearray()
        self._state = _HEAD
        self._remaining = 0  # bytes left of the body or the chunk
        self._body_bytes = 0  # parsed so far
        self._trailer_bytes = 0  # parsed so far
        self.bytes_fed = 0  # in total
        self.chunks_read = 0  # in total

    @property
    def buffered(self) -> int:
        """Number of bytes received but not parsed."""
        return len(self._input)

    @property
    def between_messages(self) -> bool:
        """Whether no message is in progress and no bytes are buffered."""
        return self._state is _HEAD and not self._input

    @property
    def bytes_read(self) -> int:
        """Number of bytes parsed, of all that were fed."""
        return self.bytes_fed - len(self._input)

    def export_state(self) -> dict[str, Any]:
        """Return the state as JSON values, from which another process continues."""
        return {
            "state": self._state.value,
            "left": self._remaining,
            "got": self._body_bytes,
            "trailer": self._trailer_bytes,
            "input": self._input.decode("latin-1"),
        }

    def restore_state(self, fields: dict[str, Any]) -> None:
        """Continue from a state that ``export_state`` returned in another process."""
        self._state = _State(fields["state"])
        self._remaining = int(fields["left"])
        self._body_bytes = int(fields["got"])
        self._trailer_bytes = int(fields["trailer"])
        self.feed(fields["input"].encode("latin-1"))

    def feed(self, data: bytes) -> None:
        """Add received bytes to the input."""
        self.bytes_fed += len(data)
        self._input += data

    def discard_input(self) -> None:
        """Drop the received bytes that are not parsed; the parser must not be used again."""
        self._input = bytearray()

    def parts(self) -> Iterator[Part]:
        """Yield the parts received so far, up to the end of one message.  Raises BadMessage."""
        while True:
            if self._state is _HEAD:
                head = self._read_head()
                if head is None:
                    return
                yield head
            elif self._state in _BODY_STATES:
                if not self._input:
                    return
                yield self._read_data()
                self._data_read()
            elif self._state is _CHUNK_LINE and (data := self._read_whole_chunks()):
                yield Data(data)
            elif self._state is _END:
                self._state = _HEAD
                yield EndOfMessage()
                return
            elif not self._read_chunk_framing():
                return

    # ---- header section ----

    def _read_head(self) -> Head | None:
        while self._input.startswith(b"\r\n"):  # 2.2: ignore empty lines before a request
            del self._input[:2]
        end = self._input.find(b"\r\n\r\n", 0, self._max_head + 4)
        if end < 0:
            if len(self._input) > self._max_head:
                raise BadMessage("the head is too long", 431)
            return None
        if self._input.count(b"\r\n", 0, end) > MAX_FIELDS:
            raise BadMessage(f"the head has more than {MAX_FIELDS} fields", 431)
        lines = bytes(self._input[:end]).split(b"\r\n")
        del self._input[: end + 4]
        head = read_head(lines, self._answers, self._max_body)
        self._body_bytes = 0
        self._trailer_bytes = 0
        self._state = self._body_state(head)
        return head

    def _body_state(self, head: Head) -> _State:
        if head.length == 0:
            return _END
        if head.length is not None:
            self._remaining = head.length
            return _FIXED_BODY
        return _CHUNK_LINE if head.chunked else _BODY_UNTIL_CLOSE

    # ---- body ----

    def _read_whole_chunks(self) -> bytes:
        """Read the chunks that have arrived completely, together: many small ones cost much each."""
        received = self._input
        position = 0
        pieces = []
        while line := _WHOLE_CHUNK_LINE.match(received, position):
            start = line.end()
            end = start + int(line[1], 16)
            if end == start or received[end : end + 2] != b"\r\n":
                break  # the last chunk, or an incomplete one
            pieces.append(received[start:end])
            position = end + 2
        if not pieces:
            return b""
        data = b"".join(pieces)
        self.chunks_read += len(pieces)
        self._body_bytes += len(data)
        self._check_body(self._body_bytes)
        del received[:position]
        return data

    def _read_data(self) -> Data:
        size = len(self._input)
        if self._state is not _BODY_UNTIL_CLOSE and self._remaining < size:
            size = self._remaining
        self._body_bytes += size
        self._check_body(self._body_bytes)
        data = bytes(memoryview(self._input)[:size])
        del self._input[:size]
        self._remaining -= size
        return Data(data)

    def _data_read(self) -> None:
        if self._state is _BODY_UNTIL_CLOSE or self._remaining:
            return
        self._state = _END if self._state is _FIXED_BODY else _CHUNK_END

    def _check_body(self, length: int) -> None:
        if self._max_body is not None and length > self._max_body:
            raise BadMessage("the body is too long", 413)

    def _read_chunk_framing(self) -> bool:
        """Read the framing between chunks or a trailer line; False if it is incomplete."""
        if self._state is _CHUNK_END:
            return self._read_chunk_end()
        if self._state is _CHUNK_LINE:
            return self._read_chunk_line()
        return self._read_trailer_line()

    def _read_chunk_end(self) -> bool:
        if len(self._input) < 2:
            return False
        if self._input[:2] != b"\r\n":
            raise BadMessage("a chunk is longer than it says")
        del self._input[:2]
        self._state = _CHUNK_LINE
        return True

    def _read_chunk_line(self) -> bool:
        line = self._read_line(MAX_CHUNK_LINE_BYTES)
        if line is None:
            return False
        size = line.partition(b";")[0].rstrip(b" \t")
        if not _CHUNK_SIZE.match(size) or not VALUE.match(line):
            raise BadMessage("bad chunk size")
        self.chunks_read += 1
        self._remaining = int(size, 16)
        self._state = _CHUNK if self._remaining else _TRAILER
        self._check_body(self._body_bytes + self._remaining)
        return True

    def _read_trailer_line(self) -> bool:
        line = self._read_line(self._max_head)
        if line is None:
            return False
        self._trailer_bytes += len(line)
        if self._trailer_bytes > self._max_head:
            raise BadMessage("the trailer is too long", 431)
        if not line:
            self._state = _END
        return True

    def _read_line(self, max_length: int) -> bytes | None:
        end = self._input.find(b"\r\n", 0, max_length + 2)
        if end < 0:
            if len(self._input) > max_length:
                raise BadMessage("a line is too long")
            return None
        line = bytes(self._input[:end])
        del self._input[: end + 2]
        return line
