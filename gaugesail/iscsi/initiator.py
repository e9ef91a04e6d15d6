"""The initiator: one session to each storage node, which carries many commands at once."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from gaugesail.policy.events import AttemptResult, EndpointState
from gaugesail.policy.settings import NodeId

from ..buffers import Body, BufferPool, PoolEmpty
from ..core.ports import (
    Attempt,
    AttemptListener,
    BodySource,
    ClientRequest,
    Clock,
    DelayedCall,
    Logger,
    Reactor,
)
from ..net import Connection, abort, dial, send_now
from .aborted_writes import SeveralAborts
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
from .task import Transfer

ABORT_CHECK_US = 250_000
HEALTH_CHECK_US = 250_000


@dataclass(slots=True, eq=False)
class _Command:
    """A pending or sent command: an attempt, or a health check (NOP-Out) if ``attempt`` is None."""

    listener: AttemptListener
    node_id: NodeId
    queued_us: int
    attempt: Attempt | None = None
    transfer: Transfer | None = None
    body: Body | None = None  # received by a read
    itt: int = 0  # initiator task tag
    data: bytes = b""  # of a write in flight
    sent: int = 0  # bytes of ``data``
    done: bool = False
    session: NodeSession | None = None  # that carries it


class NodeSession(Connection):
    """One session: a login, then commands by initiator task tag.

    A response with a tag that is not in flight is dropped.
    """

    def __init__(self, pool: NodePool, state: _NodeState, node: StorageNode) -> None:
        self._pool, self._state, self._node = pool, state, node
        self._reader = PduReader()
        self._limits = Limits()
        self.ready = self.lost = self.retiring = False
        self._cmd_sn, self._max_cmd_sn, self._exp_stat_sn = 1, 0, 0
        self._next_itt = 1
        self.commands: dict[int, _Command] = {}
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
        if self._node.target:
            keys["TargetName"] = self._node.target
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
            self._pool.log.warning("node_pdu_bad", node=self._node.endpoint.node_id.decode(), why=str(error))
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

    def _receive_response(self, command: _Command, pdu: Pdu) -> None:
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

    def _status(self, command: _Command, status: int) -> None:
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

    def _end(self, command: _Command, result: AttemptResult, abort: bool = False) -> None:
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

    def start(self, command: _Command) -> None:
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

    def _data_out(self, command: _Command, pdu: Pdu) -> None:
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

    def abort(self, command: _Command) -> None:
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
            self._pool.log.warning("session_silent", node=self._node.endpoint.node_id.decode())
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


@dataclass(slots=True, eq=False)
class _NodeState:
    """One node's current session or dial, and the pending commands, which wait for it."""

    node_id: NodeId
    session: NodeSession | None = None
    dial: Deferred[Any] | None = None
    login_timeout: DelayedCall | None = None
    pending: deque[_Command] = field(default_factory=deque)


class NodePool:
    """The node transport over iSCSI: carries attempts and health checks to the nodes.

    :param initiator: the initiator name for the login.
    :param connect_timeout_us: for the connection, and again for the login.
    """

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        buffers: BufferPool,
        log: Logger,
        initiator: str,
        connect_timeout_us: int,
    ) -> None:
        self._reactor, self.clock, self.buffers, self.log = reactor, clock, buffers, log
        self.initiator, self._timeout_us = initiator, connect_timeout_us
        self._configured: dict[NodeId, StorageNode] = {}
        self._nodes: dict[NodeId, _NodeState] = {}
        self._unlisted: set[NodeId] = set()  # of ``_nodes``
        self._sessions: dict[NodeSession, None] = {}
        self._in_maintenance: set[NodeId] = set()
        self.aborts_by_request: AbortsByRequest = {}
        self._aborting: dict[NodeSession, None] = {}  # sessions with an abort that has no response
        self._abort_check: DelayedCall | None = None

    @property
    def connections(self) -> int:
        """The number of connected sessions."""
        return len(self._sessions)

    def update_nodes(self, nodes: dict[NodeId, StorageNode]) -> None:
        """Replace the list of nodes.

        A node that is removed, moved, restarted or no longer ready loses its session.  Its pending commands
        fail; those in flight may finish.
        """
        old, self._configured = self._configured, nodes
        self._unlisted = {node_id for node_id in self._nodes if node_id not in nodes}
        for node_id, before in old.items():
            now = nodes.get(node_id)
            same = now is not None and (
                (now.address, now.target, now.endpoint.started_us)
                == (before.address, before.target, before.endpoint.started_us)
            )
            if not same or now is None or now.endpoint.state is not EndpointState.READY:
                self._stop_node(node_id)

    def set_maintenance(self, node_id: NodeId, on: bool) -> None:
        """Take a node out of use whatever the file says, or put it back.

        Commands in flight may finish; pending commands fail.
        """
        (self._in_maintenance.add if on else self._in_maintenance.discard)(node_id)
        self._stop_node(node_id)

    def _usable(self, node_id: NodeId) -> StorageNode | None:
        """Return a node that may be sent new commands; None for any other."""
        node = self._configured.get(node_id)
        ready = (
            node is not None
            and node.endpoint.state is EndpointState.READY
            and node_id not in self._in_maintenance
        )
        return node if ready else None

    def _stop_node(self, node_id: NodeId) -> None:
        state = self._nodes.get(node_id)
        if state is None:
            return
        if state.dial is not None:
            state.dial.cancel()
        session, state.session = state.session, None
        if session is not None:
            session.retire()
        self._fail_pending(state)

    # ---- attempts ----

    def send(self, attempt: Attempt, listener: AttemptListener) -> None:
        """Make an attempt; its end is reported to the listener."""
        command = _Command(listener, attempt.node_id, self.clock.now_us(), attempt, attempt.payload)
        node = self._usable(attempt.node_id)
        if node is None:
            self.finish(command, AttemptResult.NO_CONNECTION)
        elif attempt.shard >= 0 and node.endpoint.shard != attempt.shard:
            self.finish(command, AttemptResult.NOT_STARTED)
        else:
            self._queue(command)

    def check_health(self, node_id: NodeId, listener: AttemptListener) -> None:
        """Ping a node with a NOP-Out; the result is reported to the listener."""
        command = _Command(listener, node_id, self.clock.now_us())
        if self._usable(node_id) is None:
            self.finish(command, AttemptResult.NO_CONNECTION)
            return
        self.clock.call_later(HEALTH_CHECK_US, lambda: self.finish(command, AttemptResult.TIMEOUT))
        self._queue(command)

    def abort(self, attempt: Attempt) -> bool:
        """Abort an attempt without a report; whether it had been sent, so that it may have run."""
        command, attempt.connection = attempt.connection, None
        state = self._nodes.get(attempt.node_id)
        if state is not None:
            state.pending = deque(item for item in state.pending if item.attempt is not attempt)
        if isinstance(command, _Command):
            command.done = True
            self._release(command)
            session, command.session = command.session, None
            if session is not None:
                session.abort(command)
                if session.retiring and not session.commands:
                    session.logout()
            return True
        return False

    def read_now(self, attempt: Attempt) -> None:
        """Do nothing: the session serves other commands too."""

    def pass_on(self, attempt: Attempt) -> bool:
        """Do nothing: a read has a known, bounded length, and its status comes after its data."""
        return False

    def describe_answer(self, attempt: Attempt) -> str:
        """Describe what has arrived of an attempt's answer, for the log."""
        command = attempt.connection
        body = command.body if isinstance(command, _Command) else None
        return f"{body.length if body is not None else 0} bytes"

    def when_aborted(self, client_request_id: str, ended: Callable[[bool], None]) -> None:
        """Call ``ended`` once the nodes have responded to all aborts of a request's attempts."""
        pending = list(self.aborts_by_request.get(client_request_id, ()))
        waits = SeveralAborts(len(pending), ended)
        for abort_task in pending:
            abort_task.ended.append(waits.one_ended)

    def cancel_unwritten(self, attempt: Attempt) -> bool:
        """Abort a write whose data has not all been sent; whether it was aborted."""
        command = attempt.connection
        return isinstance(command, _Command) and command.sent < len(command.data) and self.abort(attempt)

    def stage_upload(self, node_id: NodeId, request: ClientRequest, source: BodySource) -> None:
        """Do nothing: a command's data is bounded, and complete before the command is submitted."""

    def close_idle_connections(self, node_id: NodeId) -> None:
        """Do nothing: the one idle session to a node costs the node little."""

    def _queue(self, command: _Command) -> None:
        state = self._nodes.get(command.node_id)
        if state is None:
            state = self._nodes[command.node_id] = _NodeState(command.node_id)
        state.pending.append(command)
        self.start_pending(state)

    def start_pending(self, state: _NodeState) -> None:
        """Start pending commands within the node's command window.

        ``may_start`` is called right before the first byte of each is sent.
        """
        while state.pending:
            session, node = state.session, self._usable(state.node_id)
            if node is None:
                self._fail_pending(state)
                return
            if session is None:
                self._dial(state, node)
                return
            if not session.has_window:
                return
            command = state.pending.popleft()
            attempt = command.attempt
            if command.done or (attempt is not None and not command.listener.may_start(attempt)):
                self.finish(command, AttemptResult.NOT_STARTED)
                continue
            if attempt is not None:
                command.listener.attempt_started(attempt)
            session.start(command)

    def finish(self, command: _Command, result: AttemptResult) -> None:
        """Report the result of a command, unless it has one already."""
        if command.done:
            return
        command.done = True
        answer = command.body.read() if command.body is not None and result is AttemptResult.SERVED else b""
        self._release(command)
        if command.attempt is not None:
            command.attempt.connection = None
            command.listener.attempt_ended(command.attempt, result, answer)
        else:
            command.listener.health_check_ended(
                command.node_id, result, self.clock.now_us() - command.queued_us
            )

    @staticmethod
    def _release(command: _Command) -> None:
        command.data = b""
        if command.body is not None:
            command.body.release()

    def _fail_pending(self, state: _NodeState) -> None:
        pending, state.pending = state.pending, deque()
        for command in pending:
            self.finish(command, AttemptResult.NO_CONNECTION)

    # ---- sessions ----

    def _dial(self, state: _NodeState, node: StorageNode) -> None:
        if state.dial is not None:
            return
        made = dial(
            self._reactor, node.address, self._timeout_us / 1e6, lambda: NodeSession(self, state, node)
        )
        state.dial = made
        made.addCallbacks(self._connected, self._not_connected, (state, made), {}, (state, made))
        made.addErrback(lambda failure: self.log.error("dial_raised", error=repr(failure.value)))

    def _connected(self, session: NodeSession, state: _NodeState, made: Deferred[Any]) -> None:
        if state.dial is made:
            state.dial = None
        if session.lost:
            self._fail_pending(state)
            return
        self._sessions[session] = None
        node = self._usable(state.node_id)
        if state.session is not None or node is None or node != session._node:
            session.drop(AttemptResult.NO_CONNECTION)  # the list has changed meanwhile
            return
        state.session = session
        # A node may accept the connection and never respond to the login.
        state.login_timeout = self.clock.call_later(self._timeout_us, lambda: self._check_login(session))

    def _check_login(self, session: NodeSession) -> None:
        if not session.ready:
            session.drop(AttemptResult.NO_CONNECTION)

    def logged_in(self, state: _NodeState, session: NodeSession) -> None:
        """Cancel the login timeout of a session that has logged in."""
        if state.login_timeout is not None and state.login_timeout.active():
            state.login_timeout.cancel()
        state.login_timeout = None

    def _not_connected(self, failure: Failure, state: _NodeState, made: Deferred[Any]) -> None:
        if state.dial is made:
            state.dial = None
        self._fail_pending(state)

    def session_lost(self, state: _NodeState, session: NodeSession) -> None:
        """Forget a session that has ended; if it is the current one of its node, pending commands fail."""
        self._sessions.pop(session, None)
        if state.session is session:
            state.session = None
            if state.login_timeout is not None and state.login_timeout.active():
                state.login_timeout.cancel()
            state.login_timeout = None
            self._fail_pending(state)  # never sent: the policy decides on a new attempt

    def watch_aborts(self, session: NodeSession) -> None:
        """Check a session's aborts until none is pending."""
        self._aborting[session] = None
        if self._abort_check is None:
            self._abort_check = self.clock.call_later(ABORT_CHECK_US, self._check_aborts)

    def _check_aborts(self) -> None:
        self._abort_check = None
        sessions, self._aborting = self._aborting, {}
        for session in sessions:
            if session.check_aborts():
                self.watch_aborts(session)

    def sweep(self) -> None:
        """Forget nodes that are not in the list and have no session, dial or pending command."""
        for node_id in list(self._unlisted):
            state = self._nodes[node_id]
            if state.session is None and state.dial is None and not state.pending:
                del self._nodes[node_id]
                self._unlisted.discard(node_id)

    def close(self) -> None:
        """Log out of all sessions, as soon as their commands have ended."""
        for session in list(self._sessions):
            session.retire()
