"""One session to a storage node: a login, and commands by initiator task tag."""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from gaugesail.policy.events import AttemptResult

from ..buffers import Body, BufferPool, PoolEmpty
from ..core.ports import Clock, Logger
from ..net import Connection, abort, send_now
from .node_command import Command, NodeState
from .operator import StorageNode
from .pdu import (
    ABORT_TASK,
    FINAL,
    MAX_DATA_SEGMENT_BYTES,
    NO_TAG,
    SERIAL_MODULUS,
    BadPdu,
    Limits,
    Op,
    Pdu,
    PduReader,
    Status,
    TaskResponse,
    block_cdb,
    fields,
    lun_bytes,
    read_text,
    write_text,
)
from .pending_aborts import AbortsByRequest, PendingAbort, PendingAborts


class SessionOwner(Protocol):
    """What a session needs of the node transport that it belongs to."""

    clock: Clock
    buffers: BufferPool
    log: Logger
    initiator: str
    aborts_by_request: AbortsByRequest

    def logged_in(self, state: NodeState, session: NodeSession) -> None:
        """The session may carry commands."""
        ...

    def session_lost(self, state: NodeState, session: NodeSession) -> None:
        """The session has ended."""
        ...

    def start_pending(self, state: NodeState) -> None:
        """Start commands that wait for the session, as its window may have room."""
        ...

    def finish(self, command: Command, result: AttemptResult) -> None:
        """Report the result of a command, unless it has one already."""
        ...

    def watch_aborts(self, session: NodeSession) -> None:
        """Check the session's aborts until none is pending."""
        ...


class NodeSession(Connection):
    """One session: a login, then commands by initiator task tag.

    A response with a tag that is not in flight is dropped.
    """

    def __init__(self, pool: SessionOwner, state: NodeState, node: StorageNode) -> None:
        self._pool, self._state, self.node = pool, state, node
        self._reader = PduReader()
        self._limits = Limits()
        self.ready = self.lost = self.retiring = False
        self._cmd_sn, self._max_cmd_sn, self._exp_stat_sn = 1, 0, 0
        self._next_itt = 1
        self.commands: dict[int, Command] = {}
        self.aborts = PendingAborts(pool.aborts_by_request)

    @property
    def has_window(self) -> bool:
        """Whether the session can send a command: it is in use, and the node's command window is not full.

        None is sent while the node owes the response to an abort and is silent.
        """
        left = (self._max_cmd_sn - self._cmd_sn) % SERIAL_MODULUS
        is_in_use = self.ready and not self.lost and not self.retiring
        return is_in_use and left < SERIAL_MODULUS // 2 and not self._owes_response

    def connectionMade(self) -> None:
        """Twisted: the connection is open; log in."""
        self.link.setTcpNoDelay(True)
        keys = {
            "InitiatorName": self._pool.initiator, "SessionType": "Normal", "AuthMethod": "None",
            "HeaderDigest": "None", "DataDigest": "None",
            "MaxRecvDataSegmentLength": str(MAX_DATA_SEGMENT_BYTES),
            "MaxBurstLength": "262144", "FirstBurstLength": "65536", "InitialR2T": "Yes",
            "ImmediateData": "Yes", "ErrorRecoveryLevel": "0", "MaxConnections": "1",
        }  # fmt: skip
        if self.node.target:
            keys["TargetName"] = self.node.target
        # From the operational negotiation stage (1) to the full feature phase (3).
        words = {24: self._cmd_sn}
        self.link.write(
            Pdu(Op.LOGIN, FINAL | 0x07, 0, lun=b"\x40" + bytes(7), rest=fields(words), data=write_text(keys),
                immediate=True).encode()
        )  # fmt: skip

    def dataReceived(self, data: bytes) -> None:
        """Twisted: bytes were received; a protocol error ends the session."""
        if self.lost:
            return
        self.last_received_us = self._pool.clock.now_us()
        self._reader.feed(data)
        try:
            for pdu in self._reader.pdus():
                self._receive(pdu)
                if self.lost:
                    return
        except (BadPdu, PoolEmpty) as error:
            self._pool.log.warning("node_pdu_bad", node=self.node.endpoint.node_id.decode(), why=str(error))
            self.drop(AttemptResult.ERROR)

    def _receive(self, pdu: Pdu) -> None:
        if pdu.opcode not in (Op.DATA_IN, Op.R2T) or pdu.flags & 0x01:
            self._exp_stat_sn = (pdu.word(24) + 1) % SERIAL_MODULUS
        # A MaxCmdSN that does not increase is outdated and ignored, RFC 7143 section 3.2.2.1.
        if (pdu.word(32) - self._max_cmd_sn) % SERIAL_MODULUS < SERIAL_MODULUS // 2:
            self._max_cmd_sn = pdu.word(32)
        if not self.ready:
            self._logged_in(pdu)
        elif pdu.opcode == Op.TASK_RESPONSE:
            is_known = pdu.byte2 in (TaskResponse.FUNCTION_COMPLETE, TaskResponse.NO_SUCH_TASK)
            self.aborts.end(pdu.itt, is_known)
        elif pdu.opcode == Op.REJECT:
            self._rejected(pdu)
        elif pdu.opcode == Op.NOP_IN and pdu.itt == NO_TAG:
            if pdu.word(20) != NO_TAG:  # a ping from the node
                words = {20: pdu.word(20), 24: self._cmd_sn, 28: self._exp_stat_sn}
                self._write(Op.NOP_OUT, FINAL, NO_TAG, words, lun=pdu.lun, immediate=True)
        elif pdu.opcode == Op.LOGOUT_RESPONSE:
            self.drop(AttemptResult.RESET)
        elif (command := self.commands.get(pdu.itt)) is not None:
            self._receive_response(command, pdu)
        self._pool.start_pending(self._state)

    def _logged_in(self, pdu: Pdu) -> None:
        if pdu.opcode != Op.LOGIN_RESPONSE or pdu.word(36) >> 16 or pdu.flags & 0x83 != 0x83:
            raise BadPdu(f"login rejected with status {pdu.word(36) >> 16:#06x}")
        answer = read_text(pdu.data)
        for key, name in (("MaxRecvDataSegmentLength", "send_data"), ("MaxBurstLength", "max_burst"),
                          ("FirstBurstLength", "first_burst")):  # fmt: skip
            if answer.get(key, "").isdigit():
                setattr(self._limits, name, max(512, int(answer[key])))
        self._limits.immediate_data = answer.get("ImmediateData", "Yes") == "Yes"
        self._max_cmd_sn = pdu.word(32)
        self.ready = True
        self._pool.logged_in(self._state, self)

    def _receive_response(self, command: Command, pdu: Pdu) -> None:
        transfer = command.transfer
        if pdu.opcode == Op.NOP_IN:
            self._end(command, AttemptResult.SERVED)
        elif pdu.opcode == Op.R2T and transfer is not None and transfer.write:
            self._data_out(command, pdu)
        elif pdu.opcode == Op.DATA_IN and command.body is not None and transfer is not None:
            if pdu.word(40) != command.body.length or command.body.length + len(pdu.data) > transfer.length:
                self._end(command, AttemptResult.ERROR, abort=True)
                return
            if command.attempt is not None:
                command.listener.answer_begun(command.attempt)
            command.body.append(pdu.data)
            if pdu.flags & 0x01:
                self._status(command, pdu.byte3)
        elif pdu.opcode == Op.RESPONSE:
            self._status(command, pdu.byte3 if not pdu.byte2 else Status.CHECK)
        else:
            self._end(command, AttemptResult.ERROR, abort=True)

    def _status(self, command: Command, status: int) -> None:
        if status in (Status.BUSY, Status.TASK_SET_FULL):
            self._end(command, AttemptResult.REJECTED)
        elif status != Status.GOOD or (
            command.body is not None and command.body.length != command.transfer.length  # type: ignore[union-attr]
        ):
            self._end(command, AttemptResult.ERROR)
        elif command.sent < len(command.data):
            self._end(command, AttemptResult.ERROR)  # the node cannot have written data that was not sent
        else:
            self._end(command, AttemptResult.SERVED)

    def _rejected(self, pdu: Pdu) -> None:
        """Fail the task whose PDU was rejected; the Reject's data is the header of that PDU."""
        itt = int.from_bytes(pdu.data[16:20], "big") if len(pdu.data) >= 20 else NO_TAG
        self.aborts.end(itt, False)
        if (command := self.commands.get(itt)) is not None:
            self._end(command, AttemptResult.ERROR)

    def _end(self, command: Command, result: AttemptResult, abort: bool = False) -> None:
        if abort:
            self.abort(command)
        self.commands.pop(command.itt, None)
        self._pool.finish(command, result)
        if self.retiring and not self.commands:
            self.logout()

    # ---- PDUs out ----

    def _write(self, opcode: Op, flags: int, itt: int, words: dict[int, int], **more: Any) -> None:
        cdb = more.pop("cdb", b"")
        pdu = Pdu(opcode, flags, itt, rest=fields(words, cdb), **more).encode()
        if opcode == Op.COMMAND:
            send_now(self.link, pdu)  # while the check of ``may_start`` is fresh
        else:
            self.link.write(pdu)

    def start(self, command: Command) -> None:
        """Send a command."""
        command.itt = self._next_itt
        self._next_itt = self._next_itt % (NO_TAG - 1) + 1
        self.commands[command.itt] = command
        command.session = self
        if (attempt := command.attempt) is not None:
            attempt.connection = command
        words = {24: self._cmd_sn, 28: self._exp_stat_sn}
        if (transfer := command.transfer) is None:
            self._write(Op.NOP_OUT, FINAL, command.itt, words | {20: NO_TAG}, immediate=True)
            return
        words[20] = transfer.length
        cdb = block_cdb(transfer.write, transfer.lba, transfer.blocks)
        data = b""
        if transfer.write:
            command.data = transfer.body.read()
            if self._limits.immediate_data:
                data = command.data[: min(self._limits.first_burst, self._limits.send_data)]
                command.sent = len(data)
        else:
            command.body = Body(self._pool.buffers, is_answer=True)
        flags = FINAL | (0x20 if transfer.write else 0x40) | 0x01  # simple task attribute
        self._write(Op.COMMAND, flags, command.itt, words, lun=lun_bytes(transfer.lun), cdb=cdb, data=data)
        self._cmd_sn = (self._cmd_sn + 1) % SERIAL_MODULUS

    def _data_out(self, command: Command, pdu: Pdu) -> None:
        start, size = pdu.word(40), pdu.word(44)
        end, number = start + size, 0
        if not size or end > len(command.data):
            self._end(command, AttemptResult.ERROR, abort=True)
            return
        command.sent = max(command.sent, end)
        while start < end:
            part = command.data[start : min(end, start + self._limits.send_data)]
            words = {20: pdu.word(20), 28: self._exp_stat_sn, 36: number, 40: start}
            start, number = start + len(part), number + 1
            self._write(Op.DATA_OUT, FINAL if start == end else 0, command.itt, words, lun=pdu.lun, data=part)

    def abort(self, command: Command) -> None:
        """Send an ABORT TASK, which precedes any later command; late data with the tag is dropped."""
        if self.commands.get(command.itt) is not command:
            return
        del self.commands[command.itt]
        if self.lost:
            return
        tag, self._next_itt = self._next_itt, self._next_itt % (NO_TAG - 1) + 1
        name = command.attempt.client_request_id if command.attempt is not None else ""
        self.aborts.add(tag, PendingAbort(self._pool.clock.now_us(), name))
        words = {20: command.itt, 24: self._cmd_sn, 28: self._exp_stat_sn}
        lun = lun_bytes(command.transfer.lun) if command.transfer is not None else bytes(8)
        self._write(Op.TASK, FINAL | ABORT_TASK, tag, words, lun=lun, immediate=True)
        self._pool.watch_aborts(self)

    @property
    def _owes_response(self) -> bool:
        return self.aborts.node_is_silent(self._pool.clock.now_us(), self.last_received_us)

    def check_aborts(self) -> bool:
        """End what waits for the response to an abort for too long; returns whether any is still pending.

        A node that is silent has gone if nothing else of it is awaited; a command in flight has its own time.
        """
        if self._owes_response and not self.commands:
            self._pool.log.warning("session_silent", node=self.node.endpoint.node_id.decode())
            self.drop(AttemptResult.RESET)
        self.aborts.end_overdue(self._pool.clock.now_us())
        return bool(self.aborts)

    def retire(self) -> None:
        """Send no new command; log out when those in flight have ended."""
        self.retiring = True
        if not self.commands:
            self.logout()

    def logout(self) -> None:
        """Log out and close the connection."""
        if not self.lost:
            if self.ready:
                self._write(Op.LOGOUT, FINAL, 0, {24: self._cmd_sn, 28: self._exp_stat_sn}, immediate=True)
            self.link.loseConnection()

    def drop(self, result: AttemptResult) -> None:
        """Abort the connection; commands in flight end with ``result``."""
        if not self.lost:
            abort(self.link)
            self._end_session(result)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted: the connection has ended."""
        self._end_session(AttemptResult.RESET)

    def _end_session(self, result: AttemptResult) -> None:
        if self.lost:
            return
        self.lost = True
        commands, self.commands = list(self.commands.values()), {}
        self._pool.session_lost(self._state, self)
        for command in commands:
            self._pool.finish(command, result)
        self.aborts.end_all()
