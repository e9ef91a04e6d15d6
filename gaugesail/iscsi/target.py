"""The target front: iSCSI-style clients before the engine, many commands in flight on one connection."""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from gaugesail.policy.settings import Settings

from ..buffers import Body, BufferPool, PoolEmpty
from ..client_admission import ClientAdmission
from ..core.engine import Engine
from ..core.ports import BodySource, ClientRequest, Clock, FailureReason, Logger
from ..net import Connection, unread
from .operator import Extent, OperatorConfig, Unit
from .pdu import (
    FINAL,
    NO_TAG,
    SERIAL_MODULUS,
    BadPdu,
    Limits,
    Op,
    Pdu,
    PduReader,
    Reason,
    Status,
    fields,
    lun_bytes,
    lun_number,
    negotiate,
    read_text,
    sense,
    write_text,
)

WINDOW = 32  # commands a session may have in flight
MAX_TRANSFER = 256 * 1024  # with WINDOW it bounds what one slow client can make us hold
LOGIN_US = 2_500_000  # how long a login may take, and a PDU to arrive
OVERFLOW = 8  # sessions beyond all places, told so at their login; what else comes waits in the kernel
SILENT_US = 250_000  # a session that has not logged in may be closed for another after this long
SLOW_READER_US = 10_000_000
MOST_READS = 4  # ahead of a session's turn
ILLEGAL, ABORTED, HARDWARE = 0x05, 0x0B, 0x04
NO_UNIT, BAD_OPERATION, BAD_RANGE, BAD_CDB = (0x25, 0), (0x20, 0), (0x21, 0), (0x24, 0)
TIMED_OUT, NODE_FAILED, DATA_PHASE = (0x08, 0x01), (0x44, 0), (0x4B, 0)


@dataclass(slots=True)
class Transfer:
    """A read or write of blocks; the payload of its order."""

    write: bool
    lun: int
    lba: int
    blocks: int
    length: int
    body: Body


class Task:
    """One command from its arrival to its one status; it is the engine's reply too."""

    __slots__ = (
        "body",
        "connection",
        "data_sn",
        "done",
        "due",
        "expected",
        "extent",
        "itt",
        "lba",
        "length",
        "lun",
        "r2t_end",
        "r2t_sn",
        "since",
        "ticket",
        "write",
    )  # fmt: skip

    def __init__(self, connection: TargetConnection, pdu: Pdu, since: int) -> None:
        self.connection, self.itt, self.lun, self.since = connection, pdu.itt, pdu.lun, since
        self.expected = pdu.word(20)  # ExpectedDataTransferLength
        self.body: Body | None = None
        self.extent: Extent | None = None
        self.length = self.lba = self.due = self.ticket = 0
        self.r2t_sn = self.r2t_end = self.data_sn = 0
        self.write = self.done = False

    def start_stream(self, source: BodySource) -> None:
        """Transfers are bounded, and nodes' answers whole: what comes bit by bit is none of theirs."""
        self.connection.check(self, HARDWARE, NODE_FAILED)

    def send_answer(self, answer: Any) -> None:
        self.connection.end(self, Status.GOOD, b"" if self.write else answer)

    def reject(self, retry_after_us: int) -> None:
        self.connection.end(self, Status.BUSY)

    def client_is_gone(self) -> bool:
        return self.connection.left or self.done

    def fail(self, reason: FailureReason) -> None:
        code = TIMED_OUT if reason is FailureReason.OUT_OF_TIME else NODE_FAILED
        self.connection.check(self, ABORTED if code is TIMED_OUT else HARDWARE, code)


class TargetConnection(Connection):
    """One session of one connection: login, then commands within the CmdSN window."""

    def __init__(self, front: TargetFront) -> None:
        self._front = front
        self._reader = PduReader()
        self._limits = Limits()
        self._state = "login"
        self._discovery = False
        self._stat_sn = 1
        self._exp_cmd_sn = 0
        self._tasks: dict[int, Task] = {}
        self._since = 0
        self._half_since = 0  # when the PDU that is now arriving began; 0 between two
        self._full = self._closing = False
        self.lost = self.unwelcome = False
        self._handlers: dict[int, Callable[[Pdu], None]] = {
            Op.NOP_OUT: self._nop, Op.COMMAND: self._command, Op.TASK: self._task, Op.TEXT: self._text,
            Op.DATA_OUT: self._data_out, Op.LOGOUT: self._logout, Op.LOGIN: self._again,
        }  # fmt: skip

    @property
    def idle(self) -> bool:
        return not self._tasks

    @property
    def left(self) -> bool:
        """The client has gone, by what has come of it: it is not read while it does not read, nor as the loop
        is busy with others."""
        if self._full or self.stale(self._front.clock):
            if self.gone(True):
                return True
            self._read_on()
        return self.lost

    def _read_on(self) -> None:
        """Read what has come, ahead of its turn: an abort of the task in question may be among it."""
        for _ in range(MOST_READS):
            if self.lost or self._closing or not unread(self.link) or self.link.doRead() is not None:
                break  # the end of the connection is found again in its turn

    def connectionMade(self) -> None:
        self._since = self._front.clock.now_us()
        self.link.setTcpNoDelay(True)
        self.link.registerProducer(self, True)
        self._front.opened(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.lost = True
        for task in list(self._tasks.values()):
            self._drop(task)
        self._front.closed(self)

    # -- the transport tells how the client reads; tasks in flight are bounded by the window --

    def pauseProducing(self) -> None:
        self._full, self._since = True, self._front.clock.now_us()
        self.link.pauseProducing()

    def resumeProducing(self) -> None:
        self._full = False
        self.link.resumeProducing()

    def stopProducing(self) -> None:
        self._full = False

    # ---- PDUs in ----

    def dataReceived(self, data: bytes) -> None:
        if self._closing or self.lost:
            return
        self.heard_us = self._front.clock.now_us()
        self._reader.feed(data)
        try:
            for pdu in self._reader.pdus():
                self._half_since = 0
                if self._closing or self.lost:
                    return
                try:
                    self._take(pdu)
                except BadPdu as error:
                    self._reject(error.reason, pdu.header(), str(error))
                    if self._state == "login":
                        self.close()
                except Exception as error:  # a fault of ours ends the one command, not the session
                    self._front.engine.counts["front_raised"] += 1
                    self._front.log.error("front_raised", error=repr(error))
                    if (task := self._tasks.get(pdu.itt)) is not None:
                        self.check(task, HARDWARE, NODE_FAILED)
        except BadPdu as error:
            # The framing is lost: nothing after this can be read.
            self._reject(error.reason, error.header, str(error))
            self.close()
        if not self._reader.buffered:
            self._half_since = 0
        elif not self._half_since:
            self._half_since = self._front.clock.now_us()

    def silent(self, now: int) -> bool:
        """It has not logged in and had the time to: the first to go where places are short."""
        return self._state == "login" and not self._closing and now - self._since >= SILENT_US

    def _take(self, pdu: Pdu) -> None:
        if self._state == "login":
            if pdu.opcode != Op.LOGIN:
                raise BadPdu("the first PDU must be a login request")
            self._login(pdu)
            return
        handler = self._handlers.get(pdu.opcode)
        if handler is None:
            raise BadPdu(f"opcode {pdu.opcode:#x} is not a request", reason=Reason.NOT_SUPPORTED)
        if pdu.opcode != Op.DATA_OUT:
            if pdu.immediate or pdu.opcode == Op.LOGIN:
                pass
            elif pdu.word(24) != self._exp_cmd_sn:
                # On one connection commands arrive in order: a gap is a command that will never come.
                raise BadPdu(f"CmdSN {pdu.word(24)} where {self._exp_cmd_sn} is due")
            elif len(self._tasks) >= WINDOW and pdu.opcode == Op.COMMAND:
                raise BadPdu(f"CmdSN {pdu.word(24)} is beyond MaxCmdSN")
            else:
                self._exp_cmd_sn = (self._exp_cmd_sn + 1) % SERIAL_MODULUS
        handler(pdu)

    def _login(self, pdu: Pdu) -> None:
        csg, nsg, transit = pdu.flags >> 2 & 3, pdu.flags & 3, bool(pdu.flags & FINAL)
        try:
            offered = read_text(pdu.data)
            answer = negotiate(offered, self._limits)
        except BadPdu:
            self._login_answer(pdu, 0, {}, 0x0200)
            self.close()
            return
        first, names = self._stat_sn == 1, self._front.operator.target
        if first:
            self._discovery = offered.get("SessionType") == "Discovery"
        if pdu.byte3 > 0:
            status = 0x0205  # a version that is not ours
        elif csg == 2 or (transit and (nsg <= csg or nsg == 2)) or pdu.flags & 0x40:
            status = 0x020B  # stages out of order, or text that goes on
        elif first and ("InitiatorName" not in offered or not (self._discovery or "TargetName" in offered)):
            status = 0x0207  # a parameter is missing
        elif not self._discovery and offered.get("TargetName", names) != names:
            status = 0x0203  # no such target
        elif "Reject" in answer.values():
            status = 0x0201  # no way to authenticate in common
        else:
            status = 0
        if self.unwelcome:
            status = 0x0301  # service unavailable: come back later
        if status:
            self._login_answer(pdu, 0, {}, status)
            self.close()
            return
        self._exp_cmd_sn = pdu.word(24)
        if first and not self._discovery:
            answer["TargetPortalGroupTag"] = "1"
        self._login_answer(pdu, pdu.flags & 0x8F, answer, 0)
        if transit and nsg == 3:
            self._state = "full"

    def _login_answer(self, pdu: Pdu, flags: int, answer: dict[str, str], status: int) -> None:
        lun = pdu.lun[:6] + (b"\0\1" if flags & FINAL and flags & 3 == 3 else pdu.lun[6:])
        self._send(Op.LOGIN_RESPONSE, flags, pdu.itt, {36: status << 16}, lun=lun, data=write_text(answer))

    def _again(self, pdu: Pdu) -> None:
        raise BadPdu("a login request in the full feature phase")

    def _nop(self, pdu: Pdu) -> None:
        if pdu.itt != NO_TAG:
            echo = pdu.data[: self._limits.send_data]
            self._send(Op.NOP_IN, FINAL, pdu.itt, {20: NO_TAG}, lun=pdu.lun, data=echo)

    def _text(self, pdu: Pdu) -> None:
        answer = {}
        if read_text(pdu.data).get("SendTargets") is not None:
            host, port = self._front.address
            answer = {"TargetName": self._front.operator.target, "TargetAddress": f"{host}:{port},1"}
        self._send(Op.TEXT_RESPONSE, FINAL, pdu.itt, {20: NO_TAG}, data=write_text(answer))

    def _logout(self, pdu: Pdu) -> None:
        for task in list(self._tasks.values()):
            self._drop(task)
        self._send(Op.LOGOUT_RESPONSE, FINAL, pdu.itt)
        self.close()

    def _task(self, pdu: Pdu) -> None:
        """ABORT TASK: the task ends without a status; the engine hears that nobody waits."""
        function, response = pdu.flags & 0x7F, 5  # not supported
        if function == 1:
            task = self._tasks.get(pdu.word(20))
            response = 0 if task is not None else 1
            if task is not None:
                self._drop(task)
        self._send(Op.TASK_RESPONSE, FINAL, pdu.itt, byte2=response)

    # ---- commands ----

    def _command(self, pdu: Pdu) -> None:
        if pdu.itt in self._tasks or pdu.itt == NO_TAG:
            raise BadPdu("the task tag is in use or reserved", reason=Reason.BAD_FIELD)
        if self._discovery:
            raise BadPdu("a SCSI command in a discovery session")
        task = Task(self, pdu, self._front.clock.now_us())
        self._tasks[pdu.itt] = task
        unit, cdb = self._front.operator.units.get(lun_number(pdu.lun)), pdu.cdb
        try:
            if cdb[0] in (0x28, 0x88, 0x2A, 0x8A):
                self._blocks(task, unit, pdu)
            else:
                self._local(task, unit, cdb)
        except PoolEmpty:
            self._front.engine.counts["no_buffers"] += 1
            self.end(task, Status.TASK_SET_FULL)

    def _local(self, task: Task, unit: Unit | None, cdb: bytes) -> None:
        """What the head answers by itself."""
        if cdb[0] == 0xA0:
            numbers = sorted(self._front.operator.units)
            entries = b"".join(map(lun_bytes, numbers))
            self._short(task, struct.pack(">II", len(entries), 0) + entries, int.from_bytes(cdb[6:10], "big"))
        elif cdb[0] == 0x12:
            self._inquiry(task, unit, cdb)
        elif unit is None:
            self.check(task, ILLEGAL, NO_UNIT)
        elif cdb[0] == 0x00:
            self.end(task, Status.GOOD)
        elif cdb[0] == 0x25:
            last = min(unit.blocks - 1, 0xFFFFFFFF)
            self._short(task, struct.pack(">II", last, unit.block_size), 8)
        elif cdb[0] == 0x9E and cdb[1] & 0x1F == 0x10:
            data = struct.pack(">QI", unit.blocks - 1, unit.block_size).ljust(32, b"\0")
            self._short(task, data, int.from_bytes(cdb[10:14], "big"))
        else:
            self.check(task, ILLEGAL, BAD_OPERATION)

    def _inquiry(self, task: Task, unit: Unit | None, cdb: bytes) -> None:
        size = int.from_bytes(cdb[3:5], "big")
        kind = 0x00 if unit is not None else 0x7F  # 0x7F: no unit can be there
        if not cdb[1] & 1 and not cdb[2]:
            data = bytes([kind, 0, 6, 2, 31, 0, 0, 2]) + b"GAUGESAIHEAD            0001"
            self._short(task, data, size)
        elif cdb[1] & 1 and cdb[2] == 0x00:
            self._short(task, bytes([kind, 0, 0, 2, 0x00, 0x83]), size)
        elif cdb[1] & 1 and cdb[2] == 0x83 and unit is not None:
            name = f"{self._front.operator.target}:{unit.number}".encode()[:200]
            page = bytes([0x02, 0x01, 0, len(name)]) + name
            self._short(task, bytes([kind, 0x83]) + len(page).to_bytes(2, "big") + page, size)
        else:
            self.check(task, ILLEGAL, BAD_CDB)

    def _short(self, task: Task, data: bytes, allowed: int) -> None:
        self.end(task, Status.GOOD, data[:allowed])

    def _blocks(self, task: Task, unit: Unit | None, pdu: Pdu) -> None:
        cdb = pdu.cdb
        task.write = cdb[0] in (0x2A, 0x8A)
        if cdb[0] & 0x80:
            task.lba, count = struct.unpack(">QI", cdb[2:14])
        else:
            task.lba, count = struct.unpack(">I", cdb[2:6])[0], struct.unpack(">H", cdb[7:9])[0]
        if unit is None:
            self.check(task, ILLEGAL, NO_UNIT)
            return
        if task.lba + count > unit.blocks:
            self.check(task, ILLEGAL, BAD_RANGE)
            return
        task.length = count * unit.block_size
        wants = 0x20 if task.write else 0x40
        if count == 0:
            self.end(task, Status.GOOD)
            return
        task.extent = unit.extent(task.lba, count)
        # A range over two extents would need two nodes for one command; it is the client's to split.
        if task.extent is None or task.length > MAX_TRANSFER or not pdu.flags & wants:
            self.check(task, ILLEGAL, BAD_CDB)
            return
        if task.write and task.expected < task.length:
            self.check(task, ILLEGAL, BAD_CDB)
            return
        kind = self._front.operator.write_class if task.write else self._front.operator.read_class
        task.due = task.since + self._front.settings.classes[kind].deadline_us
        task.body = Body(self._front.pool)
        if task.write:
            if pdu.data and not self._limits.immediate_data:
                raise self._bad_data(task, "immediate data was not agreed")
            if len(pdu.data) > min(task.length, self._limits.first_burst):
                raise self._bad_data(task, "more immediate data than the first burst or the command")
            task.body.append(pdu.data)
            if task.body.length < task.length:
                self._ask(task)
                return
        self._submit(task)

    def _bad_data(self, task: Task, text: str) -> BadPdu:
        """The task ends with its own status; the PDU is rejected as well."""
        self.check(task, ABORTED, DATA_PHASE)
        return BadPdu(text)

    def _ask(self, task: Task) -> None:
        """One R2T out for a task, for the next part in order."""
        assert task.body is not None
        start = task.body.length
        size = min(self._limits.max_burst, task.length - start)
        task.r2t_end, task.data_sn = start + size, 0
        words = {20: task.itt, 24: self._stat_sn, 36: task.r2t_sn, 40: start, 44: size}
        self._send(Op.R2T, FINAL, task.itt, words, lun=task.lun, counts=False)
        task.r2t_sn += 1

    def _data_out(self, pdu: Pdu) -> None:
        task = self._tasks.get(pdu.itt)
        if task is None:
            return  # of a task that has ended or was aborted: RFC 7143 lets the data run out
        if task.body is None or not task.r2t_end:
            raise BadPdu("Data-Out that no R2T asked for")
        end = task.body.length + len(pdu.data)
        if pdu.word(20) != task.itt or pdu.word(36) != task.data_sn or pdu.word(40) != task.body.length:
            raise self._bad_data(task, "Data-Out out of order")
        if end > task.r2t_end or bool(pdu.flags & FINAL) != (end == task.r2t_end):
            raise self._bad_data(task, "Data-Out does not end where its R2T does")
        task.data_sn += 1
        try:
            task.body.append(pdu.data)
        except PoolEmpty:
            self.end(task, Status.TASK_SET_FULL)
            return
        if end == task.length:
            task.r2t_end = 0
            self._submit(task)
        elif end == task.r2t_end:
            self._ask(task)

    def _submit(self, task: Task) -> None:
        extent, front = task.extent, self._front
        assert extent is not None and task.body is not None
        blocks = task.length // front.operator.units[lun_number(task.lun)].block_size
        kind = front.operator.write_class if task.write else front.operator.read_class
        transfer = Transfer(task.write, lun_number(task.lun), task.lba, blocks, task.length, task.body)
        order = ClientRequest(
            front.next_request_id(),
            front.settings,
            kind,
            task.due - task.since,
            transfer,
            extent.shard,
            extent.plan,
            float(-(-blocks // extent.blocks_per_unit)),
            task.lba + 1,
            extent.volume,
            extent.hosts,
        )
        task.ticket = front.engine.submit(order, task, task.since)

    # ---- ends of tasks ----

    def _drop(self, task: Task) -> None:
        """No status is owed any more."""
        if self._tasks.pop(task.itt, None) is not None:
            task.done = True
            if task.body is not None:
                task.body.release()
            if task.ticket:
                self._front.engine.client_disconnected(task.ticket)

    def check(self, task: Task, key: int, code: tuple[int, int]) -> None:
        self.end(task, Status.CHECK, sense(key, *code))

    def end(self, task: Task, status: Status, data: bytes = b"") -> None:
        """The one status of a task; read data goes before it, and the last Data-In carries GOOD."""
        if task.done:
            return
        task.done = True
        del self._tasks[task.itt]
        if task.body is not None:
            task.body.release()
        if self.lost:
            return
        moved = task.length if task.write and status is Status.GOOD else 0
        if status is Status.GOOD and not task.write:
            moved = min(len(data), task.expected)
            residual, flags = self._residual(task.expected, len(data))
            offset, number = 0, 0
            while offset < moved:
                part = data[offset : min(moved, offset + self._limits.send_data)]
                last = offset + len(part) == moved
                self._send(
                    Op.DATA_IN,
                    (FINAL | 0x01 | flags) if last else 0,
                    task.itt,
                    {20: NO_TAG, 36: number, 40: offset, 44: residual if last else 0},
                    lun=task.lun if last else bytes(8),
                    data=part,
                    counts=last,
                )
                offset, number = offset + len(part), number + 1
            if moved:
                return
            data = b""
        residual, flags = self._residual(task.expected, moved)
        self._send(Op.RESPONSE, FINAL | flags, task.itt, {44: residual}, byte3=status, data=data)

    @staticmethod
    def _residual(expected: int, there: int) -> tuple[int, int]:
        if there > expected:
            return there - expected, 0x04
        return expected - there, 0x02 if there < expected else 0

    # ---- PDUs out ----

    def _send(
        self,
        opcode: Op,
        flags: int,
        itt: int,
        words: dict[int, int] | None = None,
        byte2: int = 0,
        byte3: int = 0,
        lun: bytes = bytes(8),
        data: bytes = b"",
        counts: bool = True,
    ) -> None:
        room = max(0, WINDOW - len(self._tasks))
        serials = {24: self._stat_sn if counts else 0, 28: self._exp_cmd_sn, 32: self._exp_cmd_sn + room - 1}
        if counts:
            self._stat_sn = (self._stat_sn + 1) % SERIAL_MODULUS
        pdu = Pdu(opcode, flags, itt, byte2, byte3, lun, fields(serials | (words or {})), data)
        self.link.write(pdu.encode())

    def _reject(self, reason: Reason, header: bytes, why: str) -> None:
        self._front.engine.counts["rejected_pdu"] += 1
        self._front.log.warning("pdu_rejected", why=why)
        if not self.lost:
            self._send(Op.REJECT, FINAL, NO_TAG, byte2=reason, data=header)

    def close(self) -> None:
        if not self._closing and not self.lost:
            self._closing = True
            self._since = self._front.clock.now_us()
            for task in list(self._tasks.values()):
                self._drop(task)
            self.link.unregisterProducer()
            self.link.loseConnection()

    def sweep(self, now: int) -> None:
        """End what takes too long: a login, a client that does not read, write data that does not come."""
        if (self._full or self._closing) and now - self._since > SLOW_READER_US:
            self.link.abortConnection()
        elif self._state == "login" and now - self._since > LOGIN_US:
            self.close()
        elif self._half_since and not self._full and now - self._half_since > LOGIN_US:
            self._front.engine.counts["half_sent"] += 1
            self.close()
        for task in list(self._tasks.values()):
            if task.r2t_end and now >= task.due:
                self.check(task, ABORTED, TIMED_OUT)


class TargetFront(ClientAdmission):
    """Accepts sessions, within its part of the sockets; what is too many is told so at its login."""

    def __init__(
        self,
        engine: Engine,
        operator: OperatorConfig,
        clock: Clock,
        pool: BufferPool,
        log: Logger,
        max_connections: int,
        on_idle: Callable[[], None],
    ) -> None:
        super().__init__(engine, clock, on_idle)
        self.operator, self.pool, self.log = operator, pool, log
        self.change_settings(operator.settings)
        self.address = operator.listen
        self._max = max_connections
        self._open: dict[TargetConnection, None] = {}
        self._names = 0

    @property
    def connections(self) -> int:
        return len(self._open)

    def change_settings(self, settings: Settings) -> None:
        self.settings = settings  # its classes and plans are, in order, those of the operator's file first

    def limit(self, connections: int) -> None:
        self._max = connections
        if self.held and self.room > 0:
            self.hold(False)

    def closable(self) -> list[TargetConnection]:
        return [session for session in self._open if session.idle]

    @property
    def room(self) -> int:
        return self._max + OVERFLOW - len(self._open)

    def next_request_id(self) -> str:
        self._names += 1
        return str(self._names)

    def buildProtocol(self, addr: Any) -> TargetConnection:
        return TargetConnection(self)

    def opened(self, connection: TargetConnection) -> None:
        self._open[connection] = None
        if self.leaving:
            connection.unwelcome = True
        elif len(self._open) > self._max:
            self.engine.counts["client_limit"] += 1
            now = self.clock.now_us()
            silent = next((other for other in self._open if other.silent(now)), None)
            if silent is not None:
                silent.close()
            else:
                connection.unwelcome = True  # told so at its login
        if self.room <= 0 and self.port is not None and not self.held:
            self.hold(True)

    def closed(self, connection: TargetConnection) -> None:
        self._open.pop(connection, None)
        if self.held and self.room > 0:
            self.hold(False)
        if self.closing and not self._open:
            self.on_idle()

    def sweep(self) -> None:
        now = self.clock.now_us()
        over = len(self._open) - self._max
        for connection in list(self._open):
            connection.sweep(now)
            if over > 0 and connection.silent(now):  # none may come any more that would make it go
                connection.close()
                over -= 1
            if self.closing and connection.idle:
                connection.close()

    def close_idle(self) -> None:
        self.closing = True
        for connection in list(self._open):
            if connection.idle:
                connection.close()
        if not self._open:
            self.on_idle()
