"""A small iSCSI codec, initiator and storage node of the second review, written from RFC 7143."""

from __future__ import annotations

import asyncio
import struct

from standins_2 import Record

NOP_OUT, COMMAND, TASK, LOGIN, DATA_OUT, LOGOUT = 0x00, 0x01, 0x02, 0x03, 0x05, 0x06
NOP_IN, RESPONSE, TASK_RESPONSE, LOGIN_RESPONSE, DATA_IN, LOGOUT_RESPONSE, R2T = (
    0x20, 0x21, 0x22, 0x23, 0x25, 0x26, 0x31,
)  # fmt: skip
FINAL, IMMEDIATE, NO_TAG, BLOCK = 0x80, 0x40, 0xFFFFFFFF, 512
GOOD = 0


def pdu(
    opcode: int, flags: int, tag: int, words: dict[int, int], data: bytes = b"", lun: bytes = bytes(8),
    cdb: bytes = b"", status: int = 0,
) -> bytes:  # fmt: skip
    head = bytearray(48)
    head[0], head[1], head[3] = opcode, flags, status
    head[5:8] = len(data).to_bytes(3, "big")
    head[8:16] = lun
    struct.pack_into(">I", head, 16, tag)
    for at, word in words.items():
        struct.pack_into(">I", head, at, word & 0xFFFFFFFF)
    if cdb:
        head[32:48] = cdb.ljust(16, b"\0")
    return bytes(head) + data + bytes(-len(data) % 4)


class Received:
    """One PDU that was read."""

    def __init__(self, head: bytes, data: bytes) -> None:
        self.head, self.data = head, data
        self.opcode, self.immediate, self.flags = head[0] & 0x3F, bool(head[0] & IMMEDIATE), head[1]
        self.response, self.status, self.tag = head[2], head[3], self.word(16)
        self.cdb = head[32:48]

    def word(self, at: int) -> int:
        return int.from_bytes(self.head[at : at + 4], "big")


async def read_pdu(reader: asyncio.StreamReader) -> Received:
    head = await reader.readexactly(48)
    size = int.from_bytes(head[5:8], "big")
    data = await reader.readexactly(size + -size % 4)
    return Received(head, data[:size])


def keys(**pairs: str) -> bytes:
    return b"".join(f"{key}={value}".encode() + b"\0" for key, value in pairs.items())


class Node:
    """A sound storage node: it runs commands beside each other and ends what it is told to abort.

    ``delay`` returns the seconds that a command takes.
    """

    def __init__(self, record: Record, name: str, delay) -> None:  # noqa: ANN001
        self.record, self.name, self.delay = record, name, delay
        self.blocks: dict[int, bytes] = {}
        self.aborts = 0
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        running: dict[int, asyncio.Task[None]] = {}
        serials = {"stat": 1, "cmd": 0}

        def send(opcode: int, flags: int, tag: int, words: dict[int, int], **more: object) -> None:
            base = {24: serials["stat"], 28: serials["cmd"], 32: serials["cmd"] + 31}
            serials["stat"] += 1
            writer.write(pdu(opcode, flags, tag, base | words, **more))  # type: ignore[arg-type]

        async def run(command: Received) -> None:
            write = command.cdb[0] == 0x2A
            first, count = int.from_bytes(command.cdb[2:6], "big"), int.from_bytes(command.cdb[7:9], "big")
            await asyncio.sleep(self.delay(write, command.data))
            running.pop(command.tag, None)
            if write:
                for at in range(count):
                    self.blocks[first + at] = command.data[at * BLOCK : (at + 1) * BLOCK]
                self.record(f"{self.name} has written {command.data[:8]!r} at block {first}")
                send(RESPONSE, FINAL, command.tag, {})
            else:
                data = b"".join(self.blocks.get(first + at, bytes(BLOCK)) for at in range(count))
                self.record(f"{self.name} has read {data[:8]!r} at block {first}")
                send(DATA_IN, FINAL | 1, command.tag, {20: NO_TAG}, data=data)

        try:
            while True:
                got = await read_pdu(reader)
                if got.opcode in (COMMAND, LOGIN) and not (got.opcode == COMMAND and got.immediate):
                    serials["cmd"] = got.word(24) + (got.opcode == COMMAND)
                if got.opcode == LOGIN:
                    text = keys(MaxRecvDataSegmentLength="65536", MaxBurstLength="262144",
                                FirstBurstLength="65536", ImmediateData="Yes")  # fmt: skip
                    send(LOGIN_RESPONSE, 0x87, got.tag, {36: 0}, data=text)
                elif got.opcode == COMMAND:
                    self.record(f"{self.name} gets command {got.tag}: {got.data[:8]!r}")
                    running[got.tag] = asyncio.create_task(run(got))
                elif got.opcode == TASK:
                    self.aborts += 1
                    task = running.pop(got.word(20), None)
                    self.record(f"{self.name} gets an abort of {got.word(20)}: {'ended' if task else 'unknown'}")
                    if task is not None:
                        task.cancel()
                    send(TASK_RESPONSE, FINAL, got.tag, {})
                elif got.opcode == NOP_OUT and got.tag != NO_TAG:
                    send(NOP_IN, FINAL, got.tag, {20: NO_TAG})
                elif got.opcode == LOGOUT:
                    send(LOGOUT_RESPONSE, FINAL, got.tag, {})
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for task in running.values():  # without error recovery the tasks end with their connection
                task.cancel()
            writer.close()


class Initiator:
    """One session of a client; one command at a time, small enough for immediate data."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self._serial = 1
        self._tag = 0

    async def login(self, port: int, target: str) -> None:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        text = keys(InitiatorName=f"iqn.2026-12.ee.example:{self.name}", SessionType="Normal", TargetName=target,
                    MaxRecvDataSegmentLength="65536", ImmediateData="Yes")  # fmt: skip
        self.writer.write(pdu(LOGIN | IMMEDIATE, 0x87, 0, {24: self._serial}, data=text, lun=b"\x40" + bytes(7)))
        answer = await read_pdu(self.reader)
        if answer.opcode != LOGIN_RESPONSE or answer.word(36) >> 16:
            raise ConnectionError(f"login: {answer.word(36) >> 16:#06x}")

    def send(self, write: bool, block: int, data: bytes = b"", count: int = 8) -> int:
        """Send a command without waiting for its status; returns its tag."""
        self._tag += 1
        count = len(data) // BLOCK if write else count
        cdb = struct.pack(">BBIBHB", 0x2A if write else 0x28, 0, block, 0, count, 0)
        flags = FINAL | (0x20 if write else 0x40) | 1
        words = {20: count * BLOCK, 24: self._serial, 28: 0}
        self.writer.write(pdu(COMMAND, flags, self._tag, words, data=data, cdb=cdb))
        self._serial += 1
        self.record(f"{self.name} sends {'write' if write else 'read'} {self._tag} at block {block}: {data[:8]!r}")
        return self._tag

    async def status(self, tag: int, seconds: float) -> tuple[int, bytes]:
        """Wait for the status of a command; returns it and the data that was read."""
        data = b""
        while True:
            got = await asyncio.wait_for(read_pdu(self.reader), seconds)
            if got.tag != tag:
                continue
            if got.opcode == DATA_IN:
                data += got.data
            if got.opcode == RESPONSE or (got.opcode == DATA_IN and got.flags & 1):
                self.record(f"{self.name} has status {got.status} of {tag}: {data[:8]!r}")
                return got.status, data

    async def abort(self, tag: int, seconds: float) -> int | None:
        """Abort a command; returns the response (0: function complete), None if its status came first."""
        self.writer.write(pdu(TASK | IMMEDIATE, FINAL | 1, 0x70000000 + tag, {20: tag, 24: self._serial}))
        self.record(f"{self.name} aborts {tag}")
        finished = False
        while True:
            got = await asyncio.wait_for(read_pdu(self.reader), seconds)
            if got.tag == tag and (got.opcode == RESPONSE or got.opcode == DATA_IN):
                finished = True
            if got.opcode == TASK_RESPONSE:
                self.record(f"{self.name} has the response {got.response} to the abort of {tag}")
                return None if finished else got.response
