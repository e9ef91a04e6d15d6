"""One session of the iSCSI target, with many commands in flight on its connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from ..buffers import Body, PoolEmpty
from ..core.ports import ClientRequest
from ..memory_budget import REQUEST_RECORD_BYTES
from ..net import Connection, send_now, unread
from ..output_progress import UNREAD_US
from ..peer_progress import PeerProgress
from ..read_turns import BYTES_PER_WORK, REQUEST_WORK, Credit
from ..unread_output import UnreadOutput
from .aborted_writes import SeveralAborts
from .local_commands import Units, parameter_data
from .operator import LogicalUnit
from .pdu import (
    ABORT_TASK,
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
    TaskResponse,
    fields,
    lun_number,
    negotiate,
    read_text,
    sense,
    write_text,
)
from .read_write import READS_AND_WRITES, read_transfer
from .target_login import LoginRequest, LoginStatus, is_last_stage, login_status
from .task import (
    ABORTED_COMMAND,
    COMMUNICATION_TIMEOUT,
    DATA_PHASE_ERROR,
    HARDWARE_ERROR,
    INTERNAL_TARGET_FAILURE,
    CheckCondition,
    Task,
    Transfer,
)

if TYPE_CHECKING:
    from .target_server import TargetFront

COMMAND_WINDOW = 32  # commands that a session may have in flight
CLEANUP_FAILED = 3  # response to a logout, RFC 7143 section 11.15.1
LOGIN_TIMEOUT_US = 2_500_000  # for a login, and for the reception of one PDU
LOGIN_DELAY_US = 250_000  # after which a session without a login may be closed in favour of another
CLOSING_US = 10_000_000  # after which a session that is closing ends, whatever its client has not read
MAX_READS_AHEAD = 4  # of a connection, before the next reactor iteration reads it


class TargetConnection(Connection):
    """One session on one connection: a login, then commands within the CmdSN window."""

    def __init__(self, front: TargetFront) -> None:
        self._front = front
        self._reader = PduReader()
        self._limits = Limits()
        self._state = "login"
        self._discovery = False
        self._stat_sn = 1
        self._exp_cmd_sn = 0
        self._tasks: dict[int, Task] = {}
        self._phase_since_us = 0  # when the present wait began: for the login, the reader or the close
        self._partial_since_us = 0  # when the first bytes of an incomplete PDU came; 0 if there is none
        self._closing = self._waits_for_turn = self._logs_out = False
        self._initiator = ""  # its name
        self._aborts: dict[int, list[int]] = {}  # the tags of ABORT TASKs without a response, by the task's
        self._output = UnreadOutput(front.clock, front.pool, front.holders)
        self._input_steps = PeerProgress()
        self.credit = Credit()
        self.lost = self.reject_login = False
        self._handlers: dict[int, Callable[[Pdu], None]] = {
            Op.NOP_OUT: self._nop, Op.COMMAND: self._command, Op.TASK: self._task_management,
            Op.TEXT: self._text, Op.DATA_OUT: self._data_out, Op.LOGOUT: self._logout,
            Op.LOGIN: self._reject_login_request,
        }  # fmt: skip

    @property
    def idle(self) -> bool:
        """Whether no command is in flight, was received in part, or is being aborted."""
        return not (self._tasks or self._reader.buffered or self._aborts or self._logs_out)

    @property
    def client_disconnected(self) -> bool:
        """Return whether the client has disconnected; if polling shows that, abort the connection.

        Its end may be unread while the client does not read, or while the reactor serves other connections.
        Then pending input is read and handled here, as it may contain an abort of the task.
        """
        if self._output.full or self.may_have_unread(self._front.clock):
            if self.peer_closed(True):
                return True
            self._read_ahead()
        return self.lost

    def _read_ahead(self) -> None:
        """Read and handle input before the next reactor iteration: it may contain an abort of the task."""
        for _ in range(MAX_READS_AHEAD):
            if self.lost or self._closing or not unread(self.link) or self.link.doRead() is not None:
                break  # the reactor will see the end of the connection again

    def connectionMade(self) -> None:
        """Twisted: the connection is open."""
        self._phase_since_us = self._front.clock.now_us()
        self.link.setTcpNoDelay(True)
        self.link.bufferSize = self._front.pool.io_bytes
        self.link.registerProducer(self, True)
        self._front.opened(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted: the connection has ended; its commands are aborted."""
        self.lost = True
        for task in list(self._tasks.values()):
            self._abort_task(task)
        self._output.emptied(self)
        self._front.closed(self)

    # -- flow control by the transport; the command window bounds the tasks in flight --

    def pauseProducing(self) -> None:
        """Twisted: the client does not read; stop reading from it."""
        self._output.filled(self.link)
        self.link.pauseProducing()

    def resumeProducing(self) -> None:
        """Twisted: the client reads again."""
        self._output.emptied(self)
        if not self._waits_for_turn:
            self.link.resumeProducing()

    def stopProducing(self) -> None:
        """Twisted: the connection has ended."""
        self._output.emptied(self)

    @property
    def receives_body(self) -> bool:
        """The data of a command comes with its PDUs, each of which is small."""
        return False

    def wait_for_turn(self) -> None:
        """Read nothing until other clients have been served."""
        self._waits_for_turn = True
        if not self.lost:
            self.link.pauseProducing()

    def take_turn(self) -> None:
        """Read on."""
        self._waits_for_turn = False
        if not (self.lost or self._output.full):
            self.link.resumeProducing()

    # -- memory --

    def stalled_at_us(self) -> int:
        """When the client counts as stalled if it neither sends nor reads anything until then."""
        if self._output.full:
            return self._output.stalled_at_us(self.link)
        if self._waits_for_turn:
            return self._front.clock.now_us()
        return self._input_steps.stalled_at_us

    @property
    def is_new_work(self) -> bool:
        """Whether only writes hold memory whose data is still coming."""
        return not self._output.full and self._awaits_data

    @property
    def _awaits_data(self) -> bool:
        """Whether data of any write is still coming."""
        return any(task.r2t_end for task in self._tasks.values())

    def evict(self) -> None:
        """Give up what the client holds: answers that it does not read, or writes whose data is coming."""
        if self._output.full:
            self.link.abortConnection()
            return
        for task in [task for task in self._tasks.values() if task.r2t_end]:
            self.end(task, Status.TASK_SET_FULL)

    # ---- PDUs in ----

    def dataReceived(self, data: bytes) -> None:
        """Twisted: bytes were received; a PDU that violates the protocol is rejected."""
        if self._closing or self.lost or self._logs_out:
            return
        self.last_received_us = self._front.clock.now_us()
        if self._awaits_data:
            self._input_steps.advance(self.last_received_us, len(data))
        else:
            self._input_steps.begin(self.last_received_us, len(data))
        self._reader.feed(data)
        work = len(data) // BYTES_PER_WORK
        try:
            for pdu in self._reader.pdus():
                work += REQUEST_WORK
                self._partial_since_us = 0
                if self._closing or self.lost or self._logs_out:
                    return
                self._handle(pdu)
        except BadPdu as error:
            # The start of the next PDU is unknown: close the connection.
            self._reject(error.reason, error.header, str(error))
            self.close()
        self._front.turns.spend(self, work)
        self._note_partial_pdu()

    def _handle(self, pdu: Pdu) -> None:
        """Handle a PDU; a fault of it, or of this code, ends no more than its command."""
        try:
            self._dispatch(pdu)
        except BadPdu as error:
            self._reject(error.reason, pdu.header(), str(error))
            if self._state == "login":
                self.close()
        except Exception as error:
            self._front.engine.counts["front_raised"] += 1
            self._front.log.error("front_raised", error=repr(error))
            if (task := self._tasks.get(pdu.itt)) is not None:
                self.check_condition(task, HARDWARE_ERROR, INTERNAL_TARGET_FAILURE)

    def _note_partial_pdu(self) -> None:
        if not self._reader.buffered:
            self._partial_since_us = 0
        elif not self._partial_since_us:
            self._partial_since_us = self._front.clock.now_us()

    def is_login_late(self, now: int) -> bool:
        """Whether the login is missing after LOGIN_DELAY_US, so that another session may take its place."""
        return self._state == "login" and not self._closing and now - self._phase_since_us >= LOGIN_DELAY_US

    def _dispatch(self, pdu: Pdu) -> None:
        if self._state == "login":
            if pdu.opcode != Op.LOGIN:
                raise BadPdu(f"expected a login request as the first PDU, got opcode {pdu.opcode:#x}")
            self._login(pdu)
            return
        handler = self._handlers.get(pdu.opcode)
        if handler is None:
            raise BadPdu(f"opcode {pdu.opcode:#x} is not a supported request", reason=Reason.NOT_SUPPORTED)
        if pdu.opcode != Op.DATA_OUT:
            if pdu.immediate or pdu.opcode == Op.LOGIN:
                pass
            elif pdu.word(24) != self._exp_cmd_sn:
                # On one connection commands arrive in order: a missing one will never arrive.
                raise BadPdu(f"CmdSN: expected {self._exp_cmd_sn}, got {pdu.word(24)}")
            elif len(self._tasks) >= COMMAND_WINDOW and pdu.opcode == Op.COMMAND:
                raise BadPdu(
                    f"CmdSN {pdu.word(24)} is beyond MaxCmdSN: {len(self._tasks)} commands are in flight"
                )
            else:
                self._exp_cmd_sn = (self._exp_cmd_sn + 1) % SERIAL_MODULUS
        handler(pdu)

    def _login(self, pdu: Pdu) -> None:
        try:
            offered = read_text(pdu.data)
            answer = negotiate(offered, self._limits)
        except BadPdu:
            self._login_answer(pdu, 0, {}, LoginStatus.INITIATOR_ERROR)
            self.close()
            return
        first = self._stat_sn == 1
        if first:
            self._discovery = offered.get("SessionType") == "Discovery"
            self._initiator = offered.get("InitiatorName", "")
        status = LoginStatus.SERVICE_UNAVAILABLE
        if not self.reject_login:
            wanted = LoginRequest(pdu, offered, first, self._discovery)
            status = login_status(wanted, self._front.operator.target, "Reject" in answer.values())
        if status is not LoginStatus.SUCCESS:
            self._login_answer(pdu, 0, {}, status)
            self.close()
            return
        self._exp_cmd_sn = pdu.word(24)
        if first and not self._discovery:
            answer["TargetPortalGroupTag"] = "1"
        if not is_last_stage(pdu):
            self._login_answer(pdu, pdu.flags & 0x8F, answer)
            return
        # What an earlier session has left of its writes may not run after what this one is about to write.
        self._front.aborted_writes.when_ended(self._initiator, lambda: self._complete_login(pdu, answer))

    def _complete_login(self, pdu: Pdu, answer: dict[str, str]) -> None:
        if not (self._closing or self.lost):
            self._login_answer(pdu, pdu.flags & 0x8F, answer)
            self._state = "full"

    def _login_answer(
        self, pdu: Pdu, flags: int, answer: dict[str, str], status: LoginStatus = LoginStatus.SUCCESS
    ) -> None:
        lun = pdu.lun[:6] + (b"\0\1" if flags & FINAL and flags & 3 == 3 else pdu.lun[6:])
        self._send(Op.LOGIN_RESPONSE, flags, pdu.itt, {36: status << 16}, lun=lun, data=write_text(answer))

    def _reject_login_request(self, pdu: Pdu) -> None:
        raise BadPdu("login request in the full feature phase")

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
        """Answer a logout once nothing of the session's commands can run any more."""
        self._logs_out = True
        tasks = list(self._tasks.values())
        aborts = SeveralAborts(len(tasks), lambda is_known: self._logged_out(pdu.itt, is_known))
        for task in tasks:
            self._abort_task(task, aborts.one_ended)

    def _logged_out(self, itt: int, is_known: bool) -> None:
        if not (self._closing or self.lost):
            self._send(Op.LOGOUT_RESPONSE, FINAL, itt, byte2=0 if is_known else CLEANUP_FAILED)
            self.close()

    def _task_management(self, pdu: Pdu) -> None:
        """Handle ABORT TASK: the task ends without a status, and the engine aborts its request.

        The response follows once nothing of the task can run any more.  Other functions are not supported.
        """
        if pdu.flags & 0x7F != ABORT_TASK:
            self._send(Op.TASK_RESPONSE, FINAL, pdu.itt, byte2=TaskResponse.NOT_SUPPORTED)
            return
        tag = pdu.word(20)
        task = self._tasks.get(tag)
        if task is not None:
            tags = self._aborts[tag] = [pdu.itt]
            self._abort_task(task, lambda is_known: self._task_aborted(tag, tags, is_known))
        elif tag in self._aborts:
            self._aborts[tag].append(pdu.itt)
        else:
            self._send(Op.TASK_RESPONSE, FINAL, pdu.itt, byte2=TaskResponse.NO_SUCH_TASK)

    def _task_aborted(self, tag: int, waiting_tags: list[int], is_known: bool) -> None:
        """Respond to the ABORT TASKs of one task."""
        if self._aborts.get(tag) is waiting_tags:
            del self._aborts[tag]
        for itt in waiting_tags:
            if not (self._closing or self.lost):
                response = TaskResponse.FUNCTION_COMPLETE if is_known else TaskResponse.FUNCTION_REJECTED
                self._send(Op.TASK_RESPONSE, FINAL, itt, byte2=response)

    # ---- commands ----

    def _command(self, pdu: Pdu) -> None:
        if pdu.itt in self._tasks or pdu.itt == NO_TAG:
            raise BadPdu(f"initiator task tag {pdu.itt:#x} is in use or reserved", reason=Reason.BAD_FIELD)
        if self._discovery:
            raise BadPdu("SCSI command in a discovery session")
        task = Task.of(self, pdu, self._front.clock.now_us())
        self._tasks[pdu.itt] = task
        unit, cdb = self._front.operator.units.get(lun_number(pdu.lun)), pdu.cdb
        try:
            if cdb[0] in READS_AND_WRITES:
                self._read_or_write(task, unit, pdu)
            else:
                operator = self._front.operator
                data = parameter_data(cdb, unit, Units(operator.target, operator.units))
                self.end(task, Status.GOOD, data)
        except CheckCondition as condition:
            self.check_condition(task, condition.key, condition.code)
        except PoolEmpty:
            self._front.engine.counts["no_buffers"] += 1
            self.end(task, Status.TASK_SET_FULL)

    def _read_or_write(self, task: Task, unit: LogicalUnit | None, pdu: Pdu) -> None:
        read_transfer(task, unit, pdu)
        if not task.length:
            self.end(task, Status.GOOD)
            return
        if self._front.engine.closing:  # its data would come too late
            self.end(task, Status.BUSY)
            return
        kind = self._front.operator.write_class if task.write else self._front.operator.read_class
        task.deadline_us = task.received_at_us + self._front.settings.classes[kind].deadline_us
        task.body = Body(self._front.pool)
        task.body.reserve(REQUEST_RECORD_BYTES + (0 if task.write else task.length))
        if task.write:
            self._begin_write(task, task.body, pdu.data)
        else:
            self._submit(task)

    def _begin_write(self, task: Task, body: Body, immediate_data: bytes) -> None:
        """Take the data that came with a write, and ask for the rest."""
        if immediate_data and not self._limits.immediate_data:
            raise self._data_error(task, "immediate data, but ImmediateData=No was negotiated")
        if len(immediate_data) > min(task.length, self._limits.first_burst):
            raise self._data_error(
                task,
                f"immediate data: expected at most {self._limits.first_burst} bytes, or"
                f" {task.length} of the command, got {len(immediate_data)}",
            )
        body.append(immediate_data)
        if body.length < task.length:
            self._send_r2t(task)
        else:
            self._submit(task)

    def _data_error(self, task: Task, text: str) -> BadPdu:
        """End a task with its status; return the error that rejects the PDU."""
        self.check_condition(task, ABORTED_COMMAND, DATA_PHASE_ERROR)
        return BadPdu(text)

    def _send_r2t(self, task: Task) -> None:
        """Send an R2T for the next part of a write's data; a task has one outstanding at most."""
        assert task.body is not None
        start = task.body.length
        size = min(self._limits.max_burst, task.length - start)
        task.r2t_end, task.data_sn = start + size, 0
        self._front.holders.add(self)
        words = {20: task.itt, 24: self._stat_sn, 36: task.r2t_sn, 40: start, 44: size}
        self._send(Op.R2T, FINAL, task.itt, words, lun=task.lun, advances_stat_sn=False)
        task.r2t_sn += 1

    def _data_out(self, pdu: Pdu) -> None:
        task = self._tasks.get(pdu.itt)
        if task is None:
            return  # of a task that has ended: RFC 7143 allows the initiator to send the rest
        if task.body is None or not task.r2t_end:
            raise BadPdu(f"Data-Out without an R2T, for initiator task tag {pdu.itt:#x}")
        end = task.body.length + len(pdu.data)
        if pdu.word(20) != task.itt or pdu.word(36) != task.data_sn or pdu.word(40) != task.body.length:
            raise self._data_error(
                task,
                f"Data-Out: expected DataSN {task.data_sn}, offset {task.body.length} and the R2T's tag",
            )
        if end > task.r2t_end or bool(pdu.flags & FINAL) != (end == task.r2t_end):
            raise self._data_error(
                task,
                f"Data-Out: expected the final PDU to end at {task.r2t_end}, the end of its R2T, got {end}",
            )
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
            self._send_r2t(task)

    def _submit(self, task: Task) -> None:
        extent, front = task.extent, self._front
        assert extent is not None and task.body is not None
        blocks = task.length // front.operator.units[lun_number(task.lun)].block_size
        kind = front.operator.write_class if task.write else front.operator.read_class
        transfer = Transfer(task.write, lun_number(task.lun), task.lba, blocks, task.length, task.body)
        request = ClientRequest(
            front.next_request_id(),
            front.settings,
            kind,
            task.deadline_us - task.received_at_us,
            transfer,
            extent.shard,
            extent.plan,
            float(-(-blocks // extent.blocks_per_unit)),
            task.lba + 1,
            extent.volume,
            extent.hosts,
        )
        task.request_id = front.engine.submit(request, task, task.received_at_us)

    # ---- ends of tasks ----

    def _abort_task(self, task: Task, ended: Callable[[bool], None] = lambda is_known: None) -> None:
        """End a task without a status, and its request in the engine.

        ``ended`` is called once it can change nothing any more, with False if that cannot be known.  A read
        never does, so that its attempt goes on: its node works on it anyway.
        """
        if self._tasks.pop(task.itt, None) is None:
            return
        task.done = True
        if task.body is not None:
            task.body.release()
        if not (task.request_id and task.write):
            if task.request_id:
                self._front.engine.client_disconnected(task.request_id)
            ended(True)
            return
        initiator, aborted_writes = self._initiator, self._front.aborted_writes

        def write_ended(is_known: bool) -> None:
            aborted_writes.end(initiator)
            ended(is_known)

        aborted_writes.begin(initiator)
        self._front.engine.abort_request(task.request_id, write_ended)

    def reject_incomplete(self) -> None:
        """End the writes whose data is still being received, as the process is about to end."""
        for task in list(self._tasks.values()):
            if task.r2t_end:
                self.end(task, Status.BUSY)

    def check_condition(self, task: Task, key: int, code: tuple[int, int]) -> None:
        """End a task with status CHECK CONDITION and this sense key, code and qualifier."""
        self.end(task, Status.CHECK, sense(key, *code))

    def end(self, task: Task, status: Status, data: bytes = b"") -> None:
        """End a task: send its read data, then its status; GOOD goes with the last Data-In."""
        if task.done:
            return
        task.done = True
        del self._tasks[task.itt]
        if task.body is not None:
            task.body.release()  # before the answer is charged in its place
        if not self.lost:
            self._answer(task, status, data)
            if self._output.full:
                self._output.charge(len(data), self)

    def _answer(self, task: Task, status: Status, data: bytes) -> None:
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
                    advances_stat_sn=last,
                )
                offset, number = offset + len(part), number + 1
            if moved:
                return
            data = b""
        residual, flags = self._residual(task.expected, moved)
        self._send(Op.RESPONSE, FINAL | flags, task.itt, {44: residual}, byte3=status, data=data)

    @staticmethod
    def _residual(expected: int, available: int) -> tuple[int, int]:
        """Return the residual count and its flag: overflow 0x04, underflow 0x02."""
        if available > expected:
            return available - expected, 0x04
        return expected - available, 0x02 if available < expected else 0

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
        advances_stat_sn: bool = True,
    ) -> None:
        window = max(0, COMMAND_WINDOW - len(self._tasks))
        serials = {
            24: self._stat_sn if advances_stat_sn else 0,
            28: self._exp_cmd_sn,
            32: self._exp_cmd_sn + window - 1,
        }
        if advances_stat_sn:
            self._stat_sn = (self._stat_sn + 1) % SERIAL_MODULUS
        pdu = Pdu(opcode, flags, itt, byte2, byte3, lun, fields(serials | (words or {})), data)
        send_now(self.link, pdu.encode())

    def _reject(self, reason: Reason, header: bytes, text: str) -> None:
        self._front.engine.counts["rejected_pdu"] += 1
        self._front.log.warning("pdu_rejected", why=text)
        if not self.lost:
            self._send(Op.REJECT, FINAL, NO_TAG, byte2=reason, data=header)

    def close(self) -> None:
        """Abort all tasks, and close the connection once all is sent."""
        if not self._closing and not self.lost:
            self._closing = True
            self._phase_since_us = self._front.clock.now_us()
            for task in list(self._tasks.values()):
                self._abort_task(task)
            self.link.unregisterProducer()
            self.link.loseConnection()

    def sweep(self, now: int) -> None:
        """Enforce the time limits of logins, of clients that do not read, of PDUs and of write data."""
        read_us = self._output.sample(self.link) if self._output.full or self._closing else 0
        if self._output.full and now - read_us > UNREAD_US:
            self._front.engine.counts["unread"] += 1
            self.link.abortConnection()
        elif self._closing and now - max(read_us, self._phase_since_us) > CLOSING_US:
            self.link.abortConnection()
        elif self._state == "login" and now - self._phase_since_us > LOGIN_TIMEOUT_US:
            self.close()
        elif (
            self._partial_since_us
            and not (self._output.full or self._waits_for_turn)
            and now - self._partial_since_us > LOGIN_TIMEOUT_US
        ):
            self._front.engine.counts["half_sent"] += 1
            self.close()
        for task in list(self._tasks.values()):
            if task.r2t_end and now >= task.deadline_us:
                self.check_condition(task, ABORTED_COMMAND, COMMUNICATION_TIMEOUT)
