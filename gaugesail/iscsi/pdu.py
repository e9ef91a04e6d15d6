"""The PDU codec: basic header segment (BHS), data segment, text keys.

Digests and additional header segments are not supported.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

BHS_BYTES = 48
NO_TAG = 0xFFFFFFFF
MAX_DATA_SEGMENT_BYTES = 64 * 1024  # that is accepted
FINAL, SERIAL_MODULUS = 0x80, 1 << 32


class Op(IntEnum):
    """Opcodes; those from 0x20 on are sent by the target."""

    NOP_OUT = 0x00
    COMMAND = 0x01
    TASK = 0x02
    LOGIN = 0x03
    TEXT = 0x04
    DATA_OUT = 0x05
    LOGOUT = 0x06
    NOP_IN = 0x20
    RESPONSE = 0x21
    TASK_RESPONSE = 0x22
    LOGIN_RESPONSE = 0x23
    TEXT_RESPONSE = 0x24
    DATA_IN = 0x25
    LOGOUT_RESPONSE = 0x26
    R2T = 0x31
    REJECT = 0x3F


class Reason(IntEnum):
    """Reason codes of a Reject PDU."""

    PROTOCOL_ERROR = 0x04
    NOT_SUPPORTED = 0x05
    BAD_FIELD = 0x09


ABORT_TASK = 1  # a task management function, RFC 7143 section 11.5.1


class Status(IntEnum):
    """SCSI status codes."""

    GOOD = 0x00
    CHECK = 0x02
    BUSY = 0x08
    TASK_SET_FULL = 0x28


class TaskResponse(IntEnum):
    """Responses to task management functions, RFC 7143 section 11.6.1."""

    FUNCTION_COMPLETE = 0
    NO_SUCH_TASK = 1
    NOT_SUPPORTED = 5
    FUNCTION_REJECTED = 255


class BadPdu(Exception):
    """A PDU that cannot be framed or violates the protocol.

    :param text: what is wrong.
    :param header: the PDU's header, which a Reject sends back.
    :param reason: the reason code of the Reject.
    """

    def __init__(self, text: str, header: bytes = b"", reason: Reason = Reason.PROTOCOL_ERROR) -> None:
        super().__init__(text)
        self.header, self.reason = header, reason


@dataclass(slots=True)
class Pdu:
    """One PDU.  The fields from byte 20 on are read with ``word`` by their offset in the header."""

    opcode: int
    flags: int = 0
    itt: int = NO_TAG
    byte2: int = 0
    byte3: int = 0
    lun: bytes = bytes(8)
    rest: bytes = bytes(28)  # bytes 20 to 47 of the header
    data: bytes = b""
    immediate: bool = False

    def word(self, at: int) -> int:
        """Return the 32-bit field at an offset in the header, from 20 on."""
        value: int = struct.unpack_from(">I", self.rest, at - 20)[0]
        return value

    @property
    def cdb(self) -> bytes:
        """The SCSI command descriptor block of a command PDU."""
        return self.rest[12:28]

    def header(self) -> bytes:
        """Return the basic header segment."""
        first = self.opcode | (0x40 if self.immediate else 0)
        size = len(self.data).to_bytes(3, "big")
        start = bytes([first, self.flags, self.byte2, self.byte3, 0]) + size
        return start + self.lun + struct.pack(">I", self.itt) + self.rest

    def encode(self) -> bytes:
        """Return the PDU as it is sent, its data padded to 4 bytes."""
        return self.header() + self.data + bytes(-len(self.data) % 4)


def fields(words: dict[int, int] | None = None, cdb: bytes = b"") -> bytes:
    """Return bytes 20 to 47 of a header, made of 32-bit words by their offset, and of a CDB."""
    rest = bytearray(28)
    for at, value in (words or {}).items():
        struct.pack_into(">I", rest, at - 20, value % SERIAL_MODULUS)
    if cdb:
        rest[12:28] = cdb.ljust(16, b"\0")
    return bytes(rest)


class PduReader:
    """Splits received bytes into PDUs: ``feed`` adds bytes, ``pdus`` yields the complete PDUs.

    :param max_data: the largest data segment that is accepted, in bytes.
    """

    def __init__(self, max_data: int = MAX_DATA_SEGMENT_BYTES) -> None:
        self._max_data, self._input = max_data, bytearray()

    @property
    def buffered(self) -> int:
        """The number of bytes of an incomplete PDU."""
        return len(self._input)

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._input += data

    def pdus(self) -> Iterator[Pdu]:
        """Yield the complete PDUs.  Raises BadPdu if the stream cannot be framed any further."""
        while len(self._input) >= BHS_BYTES:
            header = bytes(self._input[:BHS_BYTES])
            size = int.from_bytes(header[5:8], "big")
            # After a wrong length the start of the next PDU is unknown: the connection must be closed.
            if header[4]:
                raise BadPdu("additional header segments are not supported", header, Reason.NOT_SUPPORTED)
            if size > self._max_data:
                raise BadPdu(f"data segment: expected at most {self._max_data} bytes, got {size}", header)
            end = BHS_BYTES + size + -size % 4
            if len(self._input) < end:
                return
            data = bytes(self._input[BHS_BYTES : BHS_BYTES + size])
            del self._input[:end]
            yield Pdu(
                header[0] & 0x3F, header[1], int.from_bytes(header[16:20], "big"), header[2], header[3],
                header[8:16], header[20:48], data, bool(header[0] & 0x40),
            )  # fmt: skip


def read_text(data: bytes) -> dict[str, str]:
    """Return the key=value pairs of a login or text PDU.  Raises BadPdu."""
    pairs: dict[str, str] = {}
    for pair in data.split(b"\0"):
        if pair:
            key, equals, value = pair.partition(b"=")
            if not equals or not key or not pair.isascii():
                raise BadPdu(f"text: expected key=value in ASCII, got {pair!r}")
            if key.decode() in pairs:
                raise BadPdu(f"text: expected the key {key.decode()} once, got it again")
            pairs[key.decode()] = value.decode()
    return pairs


def write_text(pairs: dict[str, str]) -> bytes:
    """Return key=value pairs as the data of a login or text PDU."""
    return b"".join(f"{key}={value}".encode() + b"\0" for key, value in pairs.items())


@dataclass(slots=True)
class Limits:
    """The limits negotiated at login, in bytes."""

    send_data: int = 8192  # the peer's MaxRecvDataSegmentLength
    max_burst: int = 262144
    first_burst: int = 65536
    immediate_data: bool = True


def _parse_number(key: str, value: str, low: int) -> int:
    if not (value.isascii() and value.isdigit() and len(value) <= 9) or not low <= int(value) < 1 << 24:
        raise BadPdu(f"{key}: expected {low} to 2**24 - 1, got {value!r}")
    return int(value)


def negotiate(offered: dict[str, str], limits: Limits) -> dict[str, str]:
    """Return the answers to an initiator's keys, RFC 7143 section 13, and set ``limits``.  Raises BadPdu."""
    answers: dict[str, str] = {}
    for key, value in offered.items():
        if key in ("HeaderDigest", "DataDigest", "AuthMethod"):
            answers[key] = "None" if "None" in value.split(",") else "Reject"
        elif key == "MaxRecvDataSegmentLength":
            limits.send_data = _parse_number(key, value, 512)
            answers[key] = str(MAX_DATA_SEGMENT_BYTES)
        elif key == "MaxBurstLength":
            limits.max_burst = min(limits.max_burst, _parse_number(key, value, 512))
            answers[key] = str(limits.max_burst)
        elif key == "FirstBurstLength":
            limits.first_burst = min(limits.first_burst, _parse_number(key, value, 512))
            answers[key] = str(limits.first_burst)
        elif key == "ImmediateData":
            limits.immediate_data = value == "Yes"
            answers[key] = "Yes" if limits.immediate_data else "No"
        elif key in ("InitialR2T", "DataPDUInOrder", "DataSequenceInOrder"):
            answers[key] = "Yes"
        elif key in ("MaxConnections", "MaxOutstandingR2T"):
            answers[key] = "1"
        elif key in ("ErrorRecoveryLevel", "DefaultTime2Retain"):
            answers[key] = "0"
        elif key == "DefaultTime2Wait":
            answers[key] = value
        elif key not in ("InitiatorName", "InitiatorAlias", "SessionType", "TargetName", "SendTargets"):
            answers[key] = "NotUnderstood"
    return answers


def sense(key: int, code: int, qualifier: int) -> bytes:
    """Return fixed format sense data, preceded by its length as in a SCSI response PDU."""
    data = bytes([0x70, 0, key, 0, 0, 0, 0, 10, 0, 0, 0, 0, code, qualifier, 0, 0, 0, 0])
    return len(data).to_bytes(2, "big") + data


def lun_bytes(number: int) -> bytes:
    """Return the LUN field of a logical unit: peripheral addressing below 256, flat addressing above."""
    return (bytes([0, number]) if number < 256 else (0x4000 | number).to_bytes(2, "big")) + bytes(6)


def lun_number(lun: bytes) -> int:
    """Return the number in a LUN field with peripheral or flat addressing of one level; -1 for any other."""
    first = int.from_bytes(lun[:2], "big")
    if any(lun[2:]) or first >> 14 > 1 or (first < 0x4000 and first > 255):
        return -1
    return first & 0x3FFF


def block_cdb(write: bool, lba: int, blocks: int) -> bytes:
    """Return the CDB of READ(10) or WRITE(10), or of the 16-byte form if the range needs it."""
    if lba < 1 << 32 and blocks < 1 << 16:
        return struct.pack(">BBIBHB", 0x2A if write else 0x28, 0, lba, 0, blocks, 0)
    return struct.pack(">BBQIBB", 0x8A if write else 0x88, 0, lba, blocks, 0, 0)
