"""The node side: one session to each storage node, used again by every command, many in flight."""

from __future__ import annotations

from collections import deque
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
from .operator import NodeLine
from .pdu import (
    FINAL,
    MAX_DATA,
    NO_TAG,
    SERIAL,
    BadPdu,
    Limits,
    Op,
    Pdu,
    PduReader,
    Status,
    block_cdb,
    fields,
    lun_bytes,
    read_text,
    write_text,
)
from .target import Transfer

ABORT_US = 1_000_000  # a session that does not answer an ABORT TASK for so long is dead
PROBE_US = 250_000


@dataclass(slots=True, eq=False)
class _Job:
    """A command on its way: an attempt, or a probe (NOP-Out) where there is none."""

    sink: AttemptListener
    node: NodeId
    since_us: int
    attempt: Attempt | None = None
    transfer: Transfer | None = None
    body: Body | None = None  # of a read
    itt: int = 0
    data: bytes = b""  # of a write, while it is out
    sent: int = 0  # of it
    done: bool = False


class NodeSession(Connection):
    """One login, then commands by task tag.  An answer to a tag that is not out is dropped."""

    def __init__(self, pool: NodePool, book: _Book, line: NodeLine) -> None:
        self._pool, self._book, self._line = pool, book, line
        self._reader = PduReader()
        self._limits = Limits()
        self.ready = self.lost = self.retiring = False
        self._cmd_sn, self._max_cmd_sn, self._exp_stat_sn = 1, 0, 0
        self._next_itt = 1
        self.jobs: dict[int, _Job] = {}
        self._aborting: dict[int, int] = {}  # tag of the ABORT TASK: since when

    @property
    def room(self) -> bool:
        """The node's command window has room."""
        left = (self._max_cmd_sn - self._cmd_sn) % SERIAL
        return self.ready and not self.lost and not self.retiring and left < SERIAL // 2

    def connectionMade(self) -> None:
        self.link.setTcpNoDelay(True)
        keys = {
            "InitiatorName": self._pool.initiator, "SessionType": "Normal", "AuthMethod": "None",
            "HeaderDigest": "None", "DataDigest": "None", "MaxRecvDataSegmentLength": str(MAX_DATA),
            "MaxBurstLength": "262144", "FirstBurstLength": "65536", "InitialR2T": "Yes",
            "ImmediateData": "Yes", "ErrorRecoveryLevel": "0", "MaxConnections": "1",
        }  # fmt: skip
        if self._line.target:
            keys["TargetName"] = self._line.target
        # From operational stage (1) straight to the full feature phase (3).
        words = {24: self._cmd_sn}
        self.link.write(
            Pdu(Op.LOGIN, FINAL | 0x07, 0, lun=b"\x40" + bytes(7), rest=fields(words), data=write_text(keys),
                immediate=True).encode()
        )  # fmt: skip

    def dataReceived(self, data: bytes) -> None:
        if self.lost:
            return
        self._reader.feed(data)
        try:
            for pdu in self._reader.pdus():
                self._take(pdu)
                if self.lost:
                    return
        except (BadPdu, PoolEmpty) as error:
            self._pool.log.warning("node_pdu_bad", node=self._line.node.node_id.decode(), why=str(error))
            self.drop(AttemptResult.ERROR)

    def _take(self, pdu: Pdu) -> None:
        if pdu.opcode not in (Op.DATA_IN, Op.R2T) or pdu.flags & 0x01:
            self._exp_stat_sn = (pdu.word(24) + 1) % SERIAL
        # A window that is no step forward is an old one, RFC 7143 section 3.2.2.1.
        if (pdu.word(32) - self._max_cmd_sn) % SERIAL < SERIAL // 2:
            self._max_cmd_sn = pdu.word(32)
        if not self.ready:
            self._logged_in(pdu)
        elif pdu.opcode == Op.TASK_RESPONSE:
            self._aborting.pop(pdu.itt, None)
        elif pdu.opcode == Op.REJECT:
            self._rejected(pdu)
        elif pdu.opcode == Op.NOP_IN and pdu.itt == NO_TAG:
            if pdu.word(20) != NO_TAG:  # the node asks whether we live
                words = {20: pdu.word(20), 24: self._cmd_sn, 28: self._exp_stat_sn}
                self._write(Op.NOP_OUT, FINAL, NO_TAG, words, lun=pdu.lun, immediate=True)
        elif pdu.opcode == Op.LOGOUT_RESPONSE:
            self.drop(AttemptResult.RESET)
        elif (job := self.jobs.get(pdu.itt)) is not None:
            self._about(job, pdu)
        self._pool.pump(self._book)

    def _logged_in(self, pdu: Pdu) -> None:
        if pdu.opcode != Op.LOGIN_RESPONSE or pdu.word(36) >> 16 or pdu.flags & 0x83 != 0x83:
            raise BadPdu(f"login refused with status {pdu.word(36) >> 16:#06x}")
        answer = read_text(pdu.data)
        for key, name in (("MaxRecvDataSegmentLength", "send_data"), ("MaxBurstLength", "max_burst"),
                          ("FirstBurstLength", "first_burst")):  # fmt: skip
            if answer.get(key, "").isdigit():
                setattr(self._limits, name, max(512, int(answer[key])))
        self._limits.immediate_data = answer.get("ImmediateData", "Yes") == "Yes"
        self._max_cmd_sn = pdu.word(32)
        self.ready = True
        self._pool.logged_in(self._book, self)

    def _about(self, job: _Job, pdu: Pdu) -> None:
        transfer = job.transfer
        if pdu.opcode == Op.NOP_IN:
            self._end(job, AttemptResult.SERVED)
        elif pdu.opcode == Op.R2T and transfer is not None and transfer.write:
            self._data_out(job, pdu)
        elif pdu.opcode == Op.DATA_IN and job.body is not None and transfer is not None:
            if pdu.word(40) != job.body.length or job.body.length + len(pdu.data) > transfer.length:
                self._end(job, AttemptResult.ERROR, abort=True)
                return
            job.body.append(pdu.data)
            if pdu.flags & 0x01:
                self._status(job, pdu.byte3)
        elif pdu.opcode == Op.RESPONSE:
            self._status(job, pdu.byte3 if not pdu.byte2 else Status.CHECK)
        else:
            self._end(job, AttemptResult.ERROR, abort=True)

    def _status(self, job: _Job, status: int) -> None:
        if status in (Status.BUSY, Status.TASK_SET_FULL):
            self._end(job, AttemptResult.REJECTED)
        elif status != Status.GOOD or (job.body is not None and job.body.length != job.transfer.length):  # type: ignore[union-attr]
            self._end(job, AttemptResult.ERROR)
        elif job.sent < len(job.data):
            self._end(job, AttemptResult.ERROR)  # it can't have written what it never had
        else:
            self._end(job, AttemptResult.SERVED)

    def _rejected(self, pdu: Pdu) -> None:
        """A Reject holds the header of what was turned away; its task ends with it."""
        itt = int.from_bytes(pdu.data[16:20], "big") if len(pdu.data) >= 20 else NO_TAG
        self._aborting.pop(itt, None)
        if (job := self.jobs.get(itt)) is not None:
            self._end(job, AttemptResult.ERROR)

    def _end(self, job: _Job, result: AttemptResult, abort: bool = False) -> None:
        if abort:
            self.abort(job)
        self.jobs.pop(job.itt, None)
        self._pool.finish(job, result)
        if self.retiring and not self.jobs:
            self.logout()

    # ---- PDUs out ----

    def _write(self, opcode: Op, flags: int, itt: int, words: dict[int, int], **more: Any) -> None:
        cdb = more.pop("cdb", b"")
        pdu = Pdu(opcode, flags, itt, rest=fields(words, cdb), **more).encode()
        if opcode == Op.COMMAND:
            send_now(self.link, pdu)  # the last look was just now
        else:
            self.link.write(pdu)

    def start(self, job: _Job) -> None:
        job.itt = self._next_itt
        self._next_itt = self._next_itt % (NO_TAG - 1) + 1
        self.jobs[job.itt] = job
        if (attempt := job.attempt) is not None:
            attempt.connection = job
        words = {24: self._cmd_sn, 28: self._exp_stat_sn}
        if (transfer := job.transfer) is None:
            self._write(Op.NOP_OUT, FINAL, job.itt, words | {20: NO_TAG}, immediate=True)
            return
        words[20] = transfer.length
        cdb = block_cdb(transfer.write, transfer.lba, transfer.blocks)
        data = b""
        if transfer.write:
            job.data = transfer.body.read()
            if self._limits.immediate_data:
                data = job.data[: min(self._limits.first_burst, self._limits.send_data)]
                job.sent = len(data)
        else:
            job.body = Body(self._pool.buffers)
        flags = FINAL | (0x20 if transfer.write else 0x40) | 0x01  # simple task attribute
        self._write(Op.COMMAND, flags, job.itt, words, lun=lun_bytes(transfer.lun), cdb=cdb, data=data)
        self._cmd_sn = (self._cmd_sn + 1) % SERIAL

    def _data_out(self, job: _Job, pdu: Pdu) -> None:
        start, size = pdu.word(40), pdu.word(44)
        end, number = start + size, 0
        if not size or end > len(job.data):
            self._end(job, AttemptResult.ERROR, abort=True)
            return
        job.sent = max(job.sent, end)
        while start < end:
            part = job.data[start : min(end, start + self._limits.send_data)]
            words = {20: pdu.word(20), 28: self._exp_stat_sn, 36: number, 40: start}
            start, number = start + len(part), number + 1
            self._write(Op.DATA_OUT, FINAL if start == end else 0, job.itt, words, lun=pdu.lun, data=part)

    def abort(self, job: _Job) -> None:
        """ABORT TASK.  It goes before any later command on this session; late data of the tag is dropped."""
        if self.jobs.pop(job.itt, None) is None or self.lost:
            return
        tag, self._next_itt = self._next_itt, self._next_itt % (NO_TAG - 1) + 1
        self._aborting[tag] = self._pool.clock.now_us()
        words = {20: job.itt, 24: self._cmd_sn, 28: self._exp_stat_sn}
        lun = lun_bytes(job.transfer.lun) if job.transfer is not None else bytes(8)
        self._write(Op.TASK, FINAL | 1, tag, words, lun=lun, immediate=True)
        self._pool.watch_aborts()

    def overdue(self, now: int) -> bool:
        """An ABORT TASK without an answer: a node that took the login and never says anything again."""
        return any(now - since >= ABORT_US for since in self._aborting.values())

    @property
    def aborting(self) -> bool:
        return bool(self._aborting)

    def retire(self) -> None:
        """No new command; what is in transfer may finish."""
        self.retiring = True
        if not self.jobs:
            self.logout()

    def logout(self) -> None:
        if not self.lost:
            if self.ready:
                self._write(Op.LOGOUT, FINAL, 0, {24: self._cmd_sn, 28: self._exp_stat_sn}, immediate=True)
            self.link.loseConnection()

    def drop(self, result: AttemptResult) -> None:
        """End the session at once; what is out on it ends with ``result``."""
        if not self.lost:
            abort(self.link)
            self._gone(result)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._gone(AttemptResult.RESET)

    def _gone(self, result: AttemptResult) -> None:
        if self.lost:
            return
        self.lost = True
        jobs, self.jobs = list(self.jobs.values()), {}
        self._pool.session_lost(self._book, self)
        for job in jobs:
            self._pool.finish(job, result)


@dataclass(slots=True, eq=False)
class _Book:
    """One node's session, what waits for it, and sessions that only finish."""

    node: NodeId
    session: NodeSession | None = None
    dial: Deferred[Any] | None = None
    login: DelayedCall | None = None
    waiting: deque[_Job] = field(default_factory=deque)


class NodePool:
    """The node transport of the iSCSI wire."""

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
        self._lines: dict[NodeId, NodeLine] = {}
        self._books: dict[NodeId, _Book] = {}
        self._sessions: dict[NodeSession, None] = {}
        self._away: set[NodeId] = set()  # in maintenance
        self._look: DelayedCall | None = None

    @property
    def connections(self) -> int:
        return len(self._sessions)

    def listed(self, lines: dict[NodeId, NodeLine]) -> None:
        """The whole list.  What waits for a node that drains, goes, moves or restarts is not written."""
        old, self._lines = self._lines, lines
        for node, before in old.items():
            now = lines.get(node)
            same = now is not None and (
                (now.address, now.target, now.node.started_us)
                == (before.address, before.target, before.node.started_us)
            )
            if not same or now is None or now.node.state is not EndpointState.READY:
                self._stop(node)

    def set_maintenance(self, node: NodeId, on: bool) -> None:
        """Out of use whatever the file says, or back.  What is in transfer finishes; what waits ends."""
        (self._away.add if on else self._away.discard)(node)
        self._stop(node)

    def _usable(self, node: NodeId) -> NodeLine | None:
        """Where a node is, if it may be sent anything new."""
        line = self._lines.get(node)
        ready = line is not None and line.node.state is EndpointState.READY and node not in self._away
        return line if ready else None

    def _stop(self, node: NodeId) -> None:
        book = self._books.get(node)
        if book is None:
            return
        if book.dial is not None:
            book.dial.cancel()
        session, book.session = book.session, None
        if session is not None:
            session.retire()
        self._fail_waiting(book)

    # ---- attempts ----

    def send(self, attempt: Attempt, sink: AttemptListener) -> None:
        job = _Job(sink, attempt.node_id, self.clock.now_us(), attempt, attempt.payload)
        line = self._usable(attempt.node_id)
        if line is None:
            self.finish(job, AttemptResult.NO_CONNECTION)
        elif attempt.shard >= 0 and line.node.shard != attempt.shard:
            self.finish(job, AttemptResult.NOT_STARTED)
        else:
            self._queue(job)

    def check_health(self, node: NodeId, sink: AttemptListener) -> None:
        job = _Job(sink, node, self.clock.now_us())
        if self._usable(node) is None:
            self.finish(job, AttemptResult.NO_CONNECTION)
            return
        self.clock.call_later(PROBE_US, lambda: self.finish(job, AttemptResult.TIMEOUT))
        self._queue(job)

    def abort(self, attempt: Attempt) -> bool:
        job, attempt.connection = attempt.connection, None
        book = self._books.get(attempt.node_id)
        if book is not None:
            book.waiting = deque(item for item in book.waiting if item.attempt is not attempt)
        if isinstance(job, _Job):
            job.done = True
            self._release(job)
            for session in list(self._sessions):
                if session.jobs.get(job.itt) is job:
                    session.abort(job)
                    if session.retiring and not session.jobs:
                        session.logout()
            return True
        return False

    def cancel_unwritten(self, attempt: Attempt) -> bool:
        job = attempt.connection
        return isinstance(job, _Job) and job.sent < len(job.data) and self.abort(attempt)

    def stage_upload(self, node: NodeId, order: ClientRequest, source: BodySource) -> None:
        """A command's data is bounded and comes whole before it is taken."""

    def close_idle_connections(self, node: NodeId) -> None:
        """Sessions are few and cost the node little: one a node is kept."""

    def _queue(self, job: _Job) -> None:
        book = self._books.setdefault(job.node, _Book(job.node))
        book.waiting.append(job)
        self.pump(book)

    def pump(self, book: _Book) -> None:
        """Start what waits, as far as the node's window goes.  The last look before the first byte."""
        while book.waiting:
            session, line = book.session, self._usable(book.node)
            if line is None:
                self._fail_waiting(book)
                return
            if session is None:
                self._dial(book, line)
                return
            if not session.room:
                return
            job = book.waiting.popleft()
            attempt = job.attempt
            if job.done or (attempt is not None and not job.sink.may_start(attempt)):
                self.finish(job, AttemptResult.NOT_STARTED)
                continue
            if attempt is not None:
                job.sink.attempt_started(attempt)
            session.start(job)

    def finish(self, job: _Job, result: AttemptResult) -> None:
        if job.done:
            return
        job.done = True
        answer = job.body.read() if job.body is not None and result is AttemptResult.SERVED else b""
        self._release(job)
        if job.attempt is not None:
            job.attempt.connection = None
            job.sink.attempt_ended(job.attempt, result, answer)
        else:
            job.sink.health_check_ended(job.node, result, self.clock.now_us() - job.since_us)

    @staticmethod
    def _release(job: _Job) -> None:
        job.data = b""
        if job.body is not None:
            job.body.release()

    def _fail_waiting(self, book: _Book) -> None:
        waiting, book.waiting = book.waiting, deque()
        for job in waiting:
            self.finish(job, AttemptResult.NO_CONNECTION)

    # ---- sessions ----

    def _dial(self, book: _Book, line: NodeLine) -> None:
        if book.dial is not None:
            return
        made = dial(
            self._reactor, line.address, self._timeout_us / 1e6, lambda: NodeSession(self, book, line)
        )
        book.dial = made
        made.addCallbacks(self._connected, self._not_connected, (book, made), {}, (book, made))
        made.addErrback(lambda failure: self.log.error("dial_raised", error=repr(failure.value)))

    def _connected(self, session: NodeSession, book: _Book, made: Deferred[Any]) -> None:
        if book.dial is made:
            book.dial = None
        if session.lost:
            self._fail_waiting(book)
            return
        self._sessions[session] = None
        line = self._usable(book.node)
        if book.session is not None or line is None or line != session._line:
            session.drop(AttemptResult.NO_CONNECTION)  # the list has moved on
            return
        book.session = session
        # A node may take the connection and never answer the login.
        book.login = self.clock.call_later(self._timeout_us, lambda: self._login_late(session))

    def _login_late(self, session: NodeSession) -> None:
        if not session.ready:
            session.drop(AttemptResult.NO_CONNECTION)

    def logged_in(self, book: _Book, session: NodeSession) -> None:
        if book.login is not None and book.login.active():
            book.login.cancel()
        book.login = None

    def _not_connected(self, failure: Failure, book: _Book, made: Deferred[Any]) -> None:
        if book.dial is made:
            book.dial = None
        self._fail_waiting(book)

    def session_lost(self, book: _Book, session: NodeSession) -> None:
        self._sessions.pop(session, None)
        if book.session is session:
            book.session = None
            if book.login is not None and book.login.active():
                book.login.cancel()
            book.login = None
            self._fail_waiting(book)  # unsent: each has its outcome, the module decides what next

    def watch_aborts(self) -> None:
        if self._look is None:
            self._look = self.clock.call_later(ABORT_US // 4, self._look_at_aborts)

    def _look_at_aborts(self) -> None:
        self._look = None
        now = self.clock.now_us()
        for session in list(self._sessions):
            if session.overdue(now):
                self.log.warning("session_silent", node=session._line.node.node_id.decode())
                session.drop(AttemptResult.RESET)
        if any(session.aborting for session in self._sessions):
            self.watch_aborts()

    def sweep(self) -> None:
        for node in [node for node in self._books if node not in self._lines]:
            book = self._books[node]
            if book.session is None and book.dial is None and not book.waiting:
                del self._books[node]

    def close(self) -> None:
        for session in list(self._sessions):
            session.retire()
