"""Stand-ins for the iSCSI-style wire: an initiator and a storage node, from RFC 7143.

One connection a session, error recovery level 0, no digests.  The node answers reads from its blocks.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass

from standins import Listener, Record

FINAL, STATUS_FOLLOWS, READS, SIMPLE = 0x80, 0x01, 0x40, 0x01
NO_TAG = 0xFFFFFFFF
COMMAND, TASK, LOGIN, LOGOUT, NOP_OUT = 0x01, 0x02, 0x03, 0x06, 0x00
NOP_IN, RESPONSE, TASK_RESPONSE, LOGIN_RESPONSE, DATA_IN, LOGOUT_RESPONSE = 0x20, 0x21, 0x22, 0x23, 0x25, 0x26
SEGMENT_BYTES = 64 * 1024
BLOCK_BYTES = 512
WINDOW = 32  # commands that the node takes at a time


def pdu(
    opcode: int, flags: int, itt: int, words: dict[int, int], cdb: bytes = b"", data: bytes = b"",
    lun: bytes = bytes(8), immediate: bool = False,
) -> bytes:
    """Encode one PDU; ``words`` are the 32-bit fields from byte 20 on, by their offset."""
    rest = bytearray(28)
    for at, value in words.items():
        struct.pack_into(">I", rest, at - 20, value % (1 << 32))
    if cdb:
        rest[12:28] = cdb.ljust(16, b"\0")
    first = opcode | (0x40 if immediate else 0)
    header = bytes([first, flags, 0, 0, 0]) + len(data).to_bytes(3, "big") + lun + struct.pack(">I", itt)
    return header + bytes(rest) + data + bytes(-len(data) % 4)


def word(header: bytes, at: int) -> int:
    return int.from_bytes(header[at : at + 4], "big")


async def read_pdu(reader: asyncio.StreamReader) -> tuple[bytes, bytes] | None:
    """Header and data of the next PDU; None at the end of the connection."""
    try:
        header = await reader.readexactly(48)
        size = int.from_bytes(header[5:8], "big")
        data = await reader.readexactly(size + -size % 4)
    except asyncio.IncompleteReadError:
        return None
    return header, data[:size]


def text(**pairs: str) -> bytes:
    return b"".join(f"{key}={value}".encode() + b"\0" for key, value in pairs.items())


class StorageNode(Listener):
    """A storage node that answers each read at once."""

    def __init__(self, record: Record, name: str) -> None:
        super().__init__()
        self.record, self.name = record, name
        self.reads = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        stat_sn = expected = 1

        def serials() -> dict[int, int]:
            return {24: stat_sn, 28: expected, 32: expected + WINDOW - 1}

        while (received := await read_pdu(reader)) is not None:
            header, _ = received
            opcode, itt = header[0] & 0x3F, word(header, 16)
            if opcode == LOGIN:
                keys = text(
                    MaxRecvDataSegmentLength=str(SEGMENT_BYTES), MaxBurstLength="262144",
                    FirstBurstLength="65536", ImmediateData="Yes", InitialR2T="Yes",
                )  # fmt: skip
                writer.write(pdu(LOGIN_RESPONSE, header[1], itt, serials(), data=keys, lun=header[8:16]))
                stat_sn += 1
            elif opcode == COMMAND:
                expected += 1
                self.reads += 1
                lba, blocks = struct.unpack(">IxH", header[34:41])
                self.record.note(self.name, f"ran a read of {blocks} blocks at {lba}")
                stat_sn = await self._answer(writer, itt, blocks * BLOCK_BYTES, serials, stat_sn)
            elif opcode in (TASK, LOGOUT):
                answer = TASK_RESPONSE if opcode == TASK else LOGOUT_RESPONSE
                writer.write(pdu(answer, FINAL, itt, serials()))
                stat_sn += 1
            elif opcode == NOP_OUT and itt != NO_TAG:
                writer.write(pdu(NOP_IN, FINAL, itt, serials() | {20: NO_TAG}))
                stat_sn += 1
            await writer.drain()

    async def _answer(self, writer: asyncio.StreamWriter, itt: int, size: int, serials, stat_sn: int) -> int:  # type: ignore[no-untyped-def]
        """Write a read's data, its status with the last part; return the next StatSN."""
        for number, start in enumerate(range(0, size, SEGMENT_BYTES)):
            part = b"r" * min(SEGMENT_BYTES, size - start)
            flags = FINAL | STATUS_FOLLOWS if start + len(part) == size else 0
            words = serials() | {20: NO_TAG, 36: number, 40: start}
            writer.write(pdu(DATA_IN, flags, itt, words, data=part))
            await writer.drain()
        return stat_sn + 1


@dataclass
class Command:
    itt: int
    size: int
    sent: float
    answered: float | None = None
    received: int = 0
    status: int | None = None


class Initiator:
    """An initiator with one session, which keeps to the command window that the target tells."""

    def __init__(self, record: Record, name: str, port: int, target: str) -> None:
        self.record, self.name, self._port, self._target = record, name, port, target
        self.commands: dict[int, Command] = {}
        self._cmd_sn = 1
        self._max_cmd_sn = 0
        self._input = bytearray()
        self._end = socket.socket()
        self.received_bytes = 0
        self.longest_gap_s = 0.0  # between two reads of this initiator that brought something

    async def login(self, receive_buffer: int) -> None:
        """Connect and log in; ConnectionError if the target refuses."""
        loop = asyncio.get_running_loop()
        self._end.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self._end.setblocking(False)
        await loop.sock_connect(self._end, ("127.0.0.1", self._port))
        self._end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        keys = text(
            InitiatorName="iqn.2026-12.ee.example:client", SessionType="Normal", TargetName=self._target,
            AuthMethod="None", HeaderDigest="None", DataDigest="None",
            MaxRecvDataSegmentLength=str(SEGMENT_BYTES),
        )  # fmt: skip
        lun = b"\x40" + bytes(7)  # the initiator session id
        request = pdu(LOGIN, FINAL | 0x07, 0, {24: self._cmd_sn}, data=keys, lun=lun, immediate=True)
        await loop.sock_sendall(self._end, request)
        while not (found := self._next()):
            data = await asyncio.wait_for(loop.sock_recv(self._end, 4096), 5.0)
            if not data:
                raise ConnectionError("closed at the login")
            self._input += data
        status = word(found, 36) >> 16
        if found[0] & 0x3F != LOGIN_RESPONSE or status:
            raise ConnectionError(f"login refused with {status:#06x}")
        self._max_cmd_sn = word(found, 32)

    @property
    def window(self) -> int:
        """How many commands may still be sent."""
        return self._max_cmd_sn - self._cmd_sn + 1

    async def read(self, lba: int, blocks: int) -> None:
        """Send READ(10)."""
        itt = len(self.commands) + 1
        cdb = struct.pack(">BBIBHB", 0x28, 0, lba, 0, blocks, 0)
        words = {20: blocks * BLOCK_BYTES, 24: self._cmd_sn}
        self._cmd_sn += 1
        message = pdu(COMMAND, FINAL | READS | SIMPLE, itt, words, cdb=cdb)
        await asyncio.get_running_loop().sock_sendall(self._end, message)
        self.commands[itt] = Command(itt, blocks * BLOCK_BYTES, self.record.now())
        self.record.note(self.name, f"sent command {itt}: read {blocks} blocks at {lba}")

    def _next(self) -> bytes:
        """Take the next whole PDU from the input; its header, or nothing."""
        if len(self._input) < 48:
            return b""
        size = int.from_bytes(self._input[5:8], "big")
        end = 48 + size + -size % 4
        if len(self._input) < end:
            return b""
        header = bytes(self._input[:48])
        del self._input[:end]
        if header[0] & 0x3F == DATA_IN and (command := self.commands.get(word(header, 16))):
            command.received += size
        return header

    def _received(self, header: bytes) -> None:
        opcode = header[0] & 0x3F
        self._max_cmd_sn = max(self._max_cmd_sn, word(header, 32))
        command = self.commands.get(word(header, 16))
        if command is not None and (opcode == RESPONSE or (opcode == DATA_IN and header[1] & STATUS_FOLLOWS)):
            command.status = header[3]
            command.answered = self.record.note(
                self.name, f"command {command.itt} has status {header[3]:#04x}, {command.received} bytes"
            )

    async def read_answers(self, bytes_a_second: float, until_s: float) -> str:
        """Read at this speed until all commands have their status; return how it ended."""
        loop = asyncio.get_running_loop()
        began = latest = self.record.now()
        pause_s = 0.05
        while any(command.status is None for command in self.commands.values()):
            now = self.record.now()
            if now - began > until_s:
                return "not all answered in time"
            try:
                size = max(1, int(bytes_a_second * pause_s))
                data = await asyncio.wait_for(loop.sock_recv(self._end, min(size, 1 << 20)), 5.0)
            except asyncio.TimeoutError:
                return "nothing came for 5 s"
            except OSError as error:
                return f"the head ended the session: {error!r}"
            if not data:
                return "the head ended the session"
            self.longest_gap_s = max(self.longest_gap_s, self.record.now() - latest)
            latest = self.record.now()
            self.received_bytes += len(data)
            self._input += data
            while header := self._next():
                self._received(header)
            allowed_s = self.received_bytes / bytes_a_second
            await asyncio.sleep(max(0.0, allowed_s - (self.record.now() - began)))
        return "all answered"

    def close(self) -> None:
        self._end.close()
