"""The PDU codec: basic header segment, data segment, text keys.  No digests, no additional headers."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

BHS = 48
NO_TAG = 0xFFFFFFFF
MAX_DATA = 64 * 1024  # the largest data segment taken here
FINAL, SERIAL = 0x80, 1 << 32


class Op(IntEnum):
    """Opcodes; those from 0x20 on are the target's."""

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
    """Why a PDU is rejected."""

    PROTOCOL_ERROR = 0x04
    NOT_SUPPORTED = 0x05
    BAD_FIELD = 0x09


class Status(IntEnum):
    """SCSI status."""

    GOOD = 0x00
    CHECK = 0x02
    BUSY = 0x08
    TASK_SET_FULL = 0x28


class BadPdu(Exception):
    """Input that cannot be framed or must not be acted on; ``header`` is what a Reject sends back."""

    def __init__(self, text: str, header: bytes = b"", reason: Reason = Reason.PROTOCOL_ERROR) -> None:
        super().__init__(text)
        self.header, self.reason = header, reason


@dataclass(slots=True)
class Pdu:
    """One PDU.  Fields from byte 20 on are read with ``word`` by their place in the header."""

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
        value: int = struct.unpack_from(">I", self.rest, at - 20)[0]
        return value

    @property
    def cdb(self) -> bytes:
        return self.rest[12:28]

    def header(self) -> bytes:
        first = self.opcode | (0x40 if self.immediate else 0)
        size = len(self.data).to_bytes(3, "big")
        head = bytes([first, self.flags, self.byte2, self.byte3, 0]) + size
        return head + self.lun + struct.pack(">I", self.itt) + self.rest

    def encode(self) -> bytes:
        return self.header() + self.data + bytes(-len(self.data) % 4)


def fields(words: dict[int, int] | None = None, cdb: bytes = b"") -> bytes:
    """Bytes 20 to 47 of a header from words by their place, and a CDB."""
    rest = bytearray(28)
    for at, value in (words or {}).items():
        struct.pack_into(">I", rest, at - 20, value % SERIAL)
    if cdb:
        rest[12:28] = cdb.ljust(16, b"\0")
    return bytes(rest)


class PduReader:
    """Takes bytes with ``feed`` and gives whole PDUs with ``pdus``."""

    def __init__(self, max_data: int = MAX_DATA) -> None:
        self._max, self._input = max_data, bytearray()

    @property
    def buffered(self) -> int:
        return len(self._input)

    def feed(self, data: bytes) -> None:
        self._input += data

    def pdus(self) -> Iterator[Pdu]:
        while len(self._input) >= BHS:
            head = bytes(self._input[:BHS])
            size = int.from_bytes(head[5:8], "big")
            # A length that cannot be trusted leaves no place to read on from: the connection must end.
            if head[4]:
                raise BadPdu("additional header segments are not supported", head, Reason.NOT_SUPPORTED)
            if size > self._max:
                raise BadPdu(f"a data segment of {size} bytes is over {self._max}", head)
            end = BHS + size + -size % 4
            if len(self._input) < end:
                return
            data = bytes(self._input[BHS : BHS + size])
            del self._input[:end]
            yield Pdu(
                head[0] & 0x3F, head[1], int.from_bytes(head[16:20], "big"), head[2], head[3], head[8:16],
                head[20:48], data, bool(head[0] & 0x40),
            )  # fmt: skip


def read_text(data: bytes) -> dict[str, str]:
    """key=value pairs of a login or text PDU."""
    found: dict[str, str] = {}
    for pair in data.split(b"\0"):
        if pair:
            key, equals, value = pair.partition(b"=")
            if not equals or not key or not pair.isascii():
                raise BadPdu("a text key has no value")
            if key.decode() in found:
                raise BadPdu(f"the text key {key.decode()} comes twice")
            found[key.decode()] = value.decode()
    return found


def write_text(pairs: dict[str, str]) -> bytes:
    return b"".join(f"{key}={value}".encode() + b"\0" for key, value in pairs.items())


@dataclass(slots=True)
class Limits:
    """What a login has settled."""

    send_data: int = 8192  # the other side's MaxRecvDataSegmentLength
    max_burst: int = 262144
    first_burst: int = 65536
    immediate_data: bool = True


def _number(key: str, value: str, low: int) -> int:
    if not (value.isascii() and value.isdigit() and len(value) <= 9) or not low <= int(value) < 1 << 24:
        raise BadPdu(f"{key} has the value {value!r}")
    return int(value)


def negotiate(offered: dict[str, str], limits: Limits) -> dict[str, str]:
    """The answers to the keys of an initiator, RFC 7143 section 13; ``limits`` takes what is settled."""
    answer: dict[str, str] = {}
    for key, value in offered.items():
        if key in ("HeaderDigest", "DataDigest", "AuthMethod"):
            answer[key] = "None" if "None" in value.split(",") else "Reject"
        elif key == "MaxRecvDataSegmentLength":
            limits.send_data = _number(key, value, 512)
            answer[key] = str(MAX_DATA)
        elif key == "MaxBurstLength":
            limits.max_burst = min(limits.max_burst, _number(key, value, 512))
            answer[key] = str(limits.max_burst)
        elif key == "FirstBurstLength":
            limits.first_burst = min(limits.first_burst, _number(key, value, 512))
            answer[key] = str(limits.first_burst)
        elif key == "ImmediateData":
            limits.immediate_data = value == "Yes"
            answer[key] = "Yes" if limits.immediate_data else "No"
        elif key in ("InitialR2T", "DataPDUInOrder", "DataSequenceInOrder"):
            answer[key] = "Yes"
        elif key in ("MaxConnections", "MaxOutstandingR2T"):
            answer[key] = "1"
        elif key in ("ErrorRecoveryLevel", "DefaultTime2Retain"):
            answer[key] = "0"
        elif key == "DefaultTime2Wait":
            answer[key] = value
        elif key not in ("InitiatorName", "InitiatorAlias", "SessionType", "TargetName", "SendTargets"):
            answer[key] = "NotUnderstood"
    return answer


def sense(key: int, code: int, qualifier: int) -> bytes:
    """Fixed format sense data with the length before it, as a SCSI response carries it."""
    data = bytes([0x70, 0, key, 0, 0, 0, 0, 10, 0, 0, 0, 0, code, qualifier, 0, 0, 0, 0])
    return len(data).to_bytes(2, "big") + data


def lun_bytes(number: int) -> bytes:
    return (bytes([0, number]) if number < 256 else (0x4000 | number).to_bytes(2, "big")) + bytes(6)


def lun_number(lun: bytes) -> int:
    """Peripheral and flat addressing of one level; -1 for what is neither."""
    first = int.from_bytes(lun[:2], "big")
    if any(lun[2:]) or first >> 14 > 1 or (first < 0x4000 and first > 255):
        return -1
    return first & 0x3FFF


def block_cdb(write: bool, lba: int, blocks: int) -> bytes:
    """READ or WRITE, 10 where it fits and 16 otherwise."""
    if lba < 1 << 32 and blocks < 1 << 16:
        return struct.pack(">BBIBHB", 0x2A if write else 0x28, 0, lba, 0, blocks, 0)
    return struct.pack(">BBQIBB", 0x8A if write else 0x88, 0, lba, blocks, 0, 0)
