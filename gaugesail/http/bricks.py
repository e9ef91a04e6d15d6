"""Connections to bricks: each carries one request at a time, the newest idle one is used again first."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from gaugesail.policy.events import AttemptResult
from gaugesail.policy.settings import NodeId

from ..buffers import Body, BufferPool, PoolEmpty
from ..core.ports import (
    Attempt,
    AttemptListener,
    BodySink,
    BodySource,
    ClientRequest,
    Clock,
    DelayedCall,
    Logger,
    Reactor,
)
from ..net import Connection, abort, attach, dial, send_now
from .parser import WHOLE_BODY, BadMessage, Data, Head, Parser

IDLE_SHARE = 0.6  # of the time after which the other side closes; a request written then would be reset
REST_US = 5_000  # of a connection after an answer: what else comes then must not meet the next request
MAX_DIALS = 8  # to one brick at once
MAX_INTERIM = 8  # 1xx answers before the real one
STALL_US = 500_000  # without a byte of an answer that has begun: it never will be whole
STREAM_STALL_US = 5_000_000  # the same of one that is being passed on, while its client reads
SLOW_US, SLOW_BYTES = 30_000, 8 * 1024  # an answer without a length that comes no faster will be a large one
STALE_US = 20_000  # a request that is reset so soon met a connection that was closed before
PROBE_US = 250_000
READ_BYTES = 16 * 1024  # at once, and unwritten before a source is paused


@dataclass(slots=True, eq=False)
class Line:
    """What the latest list says of one brick."""

    host: str
    port: int
    shard: int
    ready: bool
    started: int


@dataclass(slots=True, eq=False)
class _Job:
    """An attempt, a large request that is written while it comes, or a probe, on its way to a brick."""

    sink: AttemptListener | None
    node: NodeId
    since_us: int
    deadline_us: int
    attempt: Attempt | None = None
    staged: Staged | None = None
    done: bool = False

    @property
    def over(self) -> bool:
        return self.done or (self.attempt is not None and self.attempt.ended)


class Staged:
    """A large request that is written to a brick while it comes from its client, all but its end.

    The end goes with the attempt, so that until then the brick has not begun, and what is given up never ran.
    It passes the brick's back-pressure on to the client.
    """

    def __init__(self, pool: BrickPool, exchange: Any, timeout_us: int, source: BodySource) -> None:
        self._pool, self._exchange, self._timeout_us, self._source = pool, exchange, timeout_us, source
        self._connection: BrickConnection | None = None
        self._held = b""  # the end of what has come
        self._whole = self._paused = False
        self.job: _Job | None = None
        self._attempt: _Job | None = None  # that waits for the connection
        self.state = "coming"  # then sent, or broken

    def started(self, connection: BrickConnection, job: _Job, host: str) -> None:
        """A connection is there: what came meanwhile is written, and the client goes on."""
        self._connection = connection
        body = self._exchange.body
        head = self._exchange.head(host, self._timeout_us, self._source.length)
        connection.stage(job, head, self)
        first = body.read()
        body.release()
        self.write(first)
        if self._whole and self._attempt is not None:
            self._release(connection, self._attempt)
        elif not (self._paused or self._whole):
            self._source.resume()

    # -- the transport tells how the brick reads --

    def pauseProducing(self) -> None:
        self._paused = True
        if self.state == "coming" and not self._whole:
            self._source.pause()

    def resumeProducing(self) -> None:
        self._paused = False
        if self.state == "coming" and not self._whole:
            self._source.resume()

    def stopProducing(self) -> None:
        pass

    # -- the client's side --

    def write(self, data: bytes) -> None:
        if self.state != "coming" or not data:
            return
        if self._connection is None:
            self._exchange.body.append(data)
        elif self._source.length is None:
            self._connection.link.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self._connection.link.write(self._held + data[:-1])
            self._held = data[-1:]

    def finish(self) -> None:
        """It has come whole.  Its end is held until it is sent."""
        self._whole = True
        if self._source.length is None:
            self._held = b"0\r\n\r\n"

    def fail(self) -> None:
        """The client left, or the request has its answer: without its end it never ran."""
        if self.state != "coming":
            return
        self.state = "broken"
        self._held = b""
        if self.job is not None:
            self.job.done = True
        if self._connection is not None:
            self._connection.abort()

    # -- the brick's side --

    def lost(self) -> None:
        """The brick is gone, or does not take it: the client need not go on."""
        if self.state == "coming":
            self.state = "broken"
            if not self._whole:
                self._source.stop()
            elif self._attempt is not None:
                self._pool.finish(self._attempt, AttemptResult.NO_CONNECTION)

    def send(self, job: _Job) -> bool:
        """Write its end, as the attempt: from here on it may run.  False where it can't be."""
        if self.state != "coming" or not self._whole:
            return False
        if self._connection is None:  # it is being dialled
            self._attempt = job
        else:
            self._release(self._connection, job)
        return True

    def _release(self, connection: BrickConnection, job: _Job) -> None:
        if job.over:
            self.fail()
            return
        if not _may_start(job):
            self.fail()
            self._pool.finish(job, AttemptResult.NOT_STARTED)
            return
        self.state = "sent"
        if job.sink is not None and job.attempt is not None:
            job.sink.attempt_started(job.attempt)
        connection.release(job, self._held)
        self._held = b""


@dataclass(slots=True, eq=False)
class _Brick:
    """One brick's connections, and what waits for one."""

    node: NodeId
    idle: list[BrickConnection] = field(default_factory=list)
    busy: set[BrickConnection] = field(default_factory=set)
    waiting: deque[_Job] = field(default_factory=deque)
    dials: set[Deferred[Any]] = field(default_factory=set)
    rest: DelayedCall | None = None  # until an idle connection has rested
    epoch: int = 0  # goes up when the process behind the address is another

    @property
    def connections(self) -> int:
        return len(self.idle) + len(self.busy) + len(self.dials)


class IdleBook:
    """How often a connection used again is reset at once, by how long it had been idle.

    Bricks close idle connections long before the time that the settings give, and not always so that we see
    it.  A length after which too many were reset is not used, nor is any longer one, until that is forgotten.
    """

    FIRST_US, LENGTHS = 10_000, 12  # the first is up to 10 ms, each next one twice as long
    TRUST, MOST = 10.0, 0.12  # good ones that each length starts with, and the share of bad ones it may have
    FADE = 0.97  # a sweep, so that half is forgotten in 6 s

    def __init__(self) -> None:
        self.used, self.reset = [0.0] * self.LENGTHS, [0.0] * self.LENGTHS

    def ended(self, idle_us: int, stale: bool) -> None:
        place = min((idle_us // self.FIRST_US).bit_length(), self.LENGTHS - 1)
        self.used[place] += 1
        self.reset[place] += stale

    def most_us(self) -> int:
        """The longest time that a connection may have been idle and still be used."""
        for place, (used, reset) in enumerate(zip(self.used, self.reset, strict=True)):
            # The shortest is always used: what is reset even there is not reset for having been idle.
            if place and reset / (used + self.TRUST) > self.MOST:
                return self.FIRST_US << (place - 1)
        return 1 << 62

    def fade(self) -> None:
        self.used = [used * self.FADE for used in self.used]
        self.reset = [reset * self.FADE for reset in self.reset]


class BrickConnection(Connection):
    """One connection to a brick.  What arrives without a request out, or after its end, closes it."""

    length: int | None = None  # of the answer that is being passed on

    def __init__(self, pool: BrickPool, brick: _Brick, epoch: int) -> None:
        self._pool, self._brick, self.epoch = pool, brick, epoch
        self._parser = Parser(answers=True)
        self._job: _Job | None = None
        self._head: Head | None = None
        self._body: Body | None = None
        self._sink: BodySink | None = None  # where an answer goes that is being passed on
        self.written = self._paused = self.lost = False
        self._interim = 0
        self._first_us = self._heard_us = 0  # when the first and the latest byte of the answer came
        self._started_us = self._idled_us = 0  # when it was last taken, and how long it was idle before
        self._used = False
        self.idle_since = self.rested_at = 0

    def connectionMade(self) -> None:
        self.link.setTcpNoDelay(True)
        self.link.bufferSize = READ_BYTES

    # -- requests --

    def start(self, job: _Job, request: bytes) -> None:
        self._take(job)
        self._send(request)

    def stage(self, job: _Job, head: bytes, staged: Staged) -> None:
        """A large request comes bit by bit; its writer hears how the brick reads."""
        self._take(job)
        self.link.write(head)
        self.link.registerProducer(staged, True)

    def release(self, job: _Job, end: bytes) -> None:
        """The end of a large request: from here on it is an attempt."""
        self.link.unregisterProducer()
        self._take(job)
        self._idled_us = 0
        self._send(end)

    def unstage(self) -> None:
        """A large request that has no attempt yet is not to get one here."""
        if self._job is not None and self._job.staged is not None:
            self._spoilt(AttemptResult.NO_CONNECTION)

    def _take(self, job: _Job) -> None:
        self._job, self.written, self._interim = job, False, 0
        self._first_us = self._heard_us = 0
        self._started_us = self._pool.clock.now_us()
        self._idled_us = self._started_us - self.idle_since
        if job.attempt is not None:
            job.attempt.connection = self

    def _send(self, last: bytes) -> None:
        """The end of a request.  Where it does not leave at once, a pull producer hears when it has."""
        self.written = send_now(self.link, last)
        if not self.written:
            self._first_pull = True
            self.link.registerProducer(self, False)

    def resumeProducing(self) -> None:
        if self._first_pull:
            self._first_pull = False  # the call that registering makes
            return
        self.written = True
        self.link.unregisterProducer()

    def pauseProducing(self) -> None:
        pass

    def stopProducing(self) -> None:
        pass

    # -- answers --

    def dataReceived(self, data: bytes) -> None:
        if self._job is None:
            self.abort()  # nothing was asked: these bytes belong to no request
            return
        if not self.written:
            # They answer something else, however good they look.  Our last byte now never leaves, so that the
            # request has not run.
            self._spoilt(AttemptResult.NO_CONNECTION)
            return
        self._heard_us = self._pool.clock.now_us()
        self._first_us = self._first_us or self._heard_us
        self._parser.feed(data)
        try:
            self._read()
        except (BadMessage, PoolEmpty):
            self._spoilt(AttemptResult.ERROR)

    def _read(self) -> None:
        whole = True
        while whole:  # a 1xx answer is whole and the real one may be right behind it
            whole = False
            for part in self._parser.parts():
                if isinstance(part, Head):
                    self._headed(part)
                elif isinstance(part, Data):
                    self._more(part.data)
                elif self._head is not None and self._head.status >= 200:
                    self._whole()
                else:
                    whole = True
                if self._job is None:
                    return

    def _headed(self, head: Head) -> None:
        self._head = head
        if head.status < 200:
            self._interim += 1
        if self._interim > MAX_INTERIM or head.status == 101:
            raise BadMessage("interim answers without end, or another protocol")
        if head.status not in (200, *range(100, 200)) and (head.length is None or head.length > WHOLE_BODY):
            self._spoilt(_result(head))  # only its status counts: there is no need to wait for the rest

    def _more(self, data: bytes) -> None:
        head = self._head
        if self._sink is not None:
            self._sink.write(data)
            return
        if head is None or head.status != 200:
            return
        if self._body is None:
            self._body = Body(self._pool.buffers)
        self._body.append(data)
        # Small answers come within 20 ms, whatever their framing; what is larger is timed by its first bytes.
        slow = self._heard_us - self._first_us > SLOW_US and self._body.length >= SLOW_BYTES
        if (head.length or self._body.length) > WHOLE_BODY or (head.length is None and slow):
            self._begin(head, self._body)

    def _begin(self, head: Head, body: Body) -> None:
        """An answer too large to hold is passed on as it comes; no other attempt can follow."""
        job, first = self._job, body.read()
        body.release()
        self._body, self.length = None, head.length
        sink = None
        if job is not None and job.attempt is not None and job.sink is not None:
            sink = job.sink.answer_started(job.attempt, self)
        if sink is None:  # nobody waits for it any more
            self._spoilt(AttemptResult.CANCELLED)
            return
        self._sink = sink
        sink.write(first)

    def pause(self) -> None:
        """The client reads no faster: neither do we."""
        if not self._paused and not self.lost:
            self._paused = True
            self.link.pauseProducing()

    def resume(self) -> None:
        if self._paused and not self.lost:
            self._paused = False
            self._heard_us = self._pool.clock.now_us()
            self.link.resumeProducing()

    def leave(self) -> dict[str, Any]:
        """Go on in another process with the answer that is being passed on: what that one is to know."""
        head, job = self._head, self._job
        assert head is not None and job is not None and job.attempt is not None
        told = {
            "node": job.node.decode("latin-1"), "name": job.attempt.client_request_id, "length": head.length,
            "keep": head.keep_alive, "ends": head.until_close, "parser": self._parser.state,
        }  # fmt: skip
        self._job = self._sink = None
        self.lost = True
        self._pool.ended(self)
        self._pool.finish(job, AttemptResult.NOT_STARTED)
        return told

    def enter(self, told: dict[str, Any], attempt: Attempt, sink: AttemptListener) -> None:
        """Go on where another process left."""
        now = self._pool.clock.now_us()
        self._job = _Job(sink, attempt.node_id, now, now, attempt)
        attempt.connection = self
        self.written, self._heard_us = True, now
        self.length, ends = told["length"], told["ends"] is True
        self._head = Head("", "", 200, {}, told["keep"] is True, self.length, until_close=ends)
        self._parser.state = told["parser"]

    @property
    def attempt(self) -> Attempt | None:
        return self._job.attempt if self._job is not None else None

    def goes_to(self, sink: BodySink) -> None:
        self._sink = sink
        self._heard_us = self._pool.clock.now_us()
        self.dataReceived(b"")  # what was left unread may be whole

    def stop(self) -> None:
        """The client has gone."""
        self._sink = None
        self._spoilt(AttemptResult.CANCELLED)

    def _whole(self) -> None:
        head, body, job, sink = self._head, self._body, self._job, self._sink
        assert head is not None and job is not None
        self._head = self._body = self._job = self._sink = None
        answer = b""
        if body is not None:
            answer = body.read()
            body.release()
        self.resume()
        if self._used:
            self._pool.idle_book.ended(self._idled_us, False)
        self._used = True
        # With more behind the answer than belongs to it, the connection is never used again.
        if head.keep_alive and self._parser.between and not self.lost:
            self._pool.freed(self)
        else:
            self.abort()
        if sink is not None:
            sink.finish()
        self._pool.finish(job, _result(head), answer)

    def _spoilt(self, result: AttemptResult) -> None:
        """What comes can't be the answer: the connection ends, and with it the attempt."""
        job, sink = self._job, self._sink
        self.abort()
        if sink is not None:
            sink.fail()
        if job is not None:
            self._pool.finish(job, result)

    def stalled(self, now: int) -> bool:
        """An answer that has begun and does not become whole."""
        patience = STALL_US if self._sink is None else STREAM_STALL_US
        return self._job is not None and not self._paused and 0 < self._heard_us < now - patience

    def give_up(self) -> None:
        self._spoilt(AttemptResult.ERROR)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.lost = True
        head = self._head
        in_order = isinstance(reason.value, ConnectionDone)
        if self._job is not None and head is not None and head.until_close and in_order:
            self._whole()  # its end in order is the end of such an answer; a reset is none
            return
        job, self._job, sink, self._sink = self._job, None, self._sink, None
        self._drop()
        self._pool.ended(self)
        if sink is not None:
            sink.fail()
        if job is not None and self._used and not self._heard_us:
            stale = self._pool.clock.now_us() - self._started_us < STALE_US
            self._pool.idle_book.ended(self._idled_us, stale)
        if job is not None:
            self._pool.finish(job, AttemptResult.RESET if self.written else AttemptResult.NO_CONNECTION)

    def _drop(self) -> None:
        if self._body is not None:
            self._body.release()
            self._body = None

    def abort(self) -> None:
        """Drop the connection and whatever it still carries: that at once, as another attempt may follow."""
        carries = self._job is not None
        self._job = self._sink = None
        self._drop()
        self._pool.ended(self)
        if not self.lost:
            if carries:
                abort(self.link)
            else:
                self.link.abortConnection()


def _may_start(job: _Job) -> bool:
    """Whether the first byte may leave; a probe's and a staged request's always may."""
    return job.attempt is None or job.sink is None or job.sink.may_start(job.attempt)


def _result(head: Head) -> AttemptResult:
    if head.status == 200:
        return AttemptResult.SERVED
    if head.status in (503, 504) and head.headers.get("not-started") == "1":
        return AttemptResult.REJECTED
    return AttemptResult.ERROR


class BrickPool:
    """The node transport of the platform's protocol: addresses by the latest list, connections by brick."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        buffers: BufferPool,
        log: Logger,
        idle_us: int,
        connect_timeout_us: int,
        max_connections: int,
    ) -> None:
        self._reactor, self.clock, self.buffers, self._log = reactor, clock, buffers, log
        self.retune(idle_us, connect_timeout_us)
        self._max = max_connections
        self._lines: dict[NodeId, Line] = {}
        self._bricks: dict[NodeId, _Brick] = {}
        self._away: set[NodeId] = set()  # in maintenance
        self._closing = False
        self.idle_book = IdleBook()

    @property
    def connections(self) -> int:
        return sum(brick.connections for brick in self._bricks.values())

    def retune(self, idle_us: int, connect_timeout_us: int) -> None:
        self._idle_us = int(idle_us * IDLE_SHARE)
        self._connect_s = connect_timeout_us / 1e6

    def limit(self, connections: int) -> None:
        """How many connections there may be; what is idle beyond that goes."""
        self._max = connections
        while self.connections > self._max and self._make_room():
            pass

    # ---- the list ----

    def listed(self, lines: dict[NodeId, Line | None], full: bool) -> None:
        """The latest list, or changes.  A brick that drains, goes or restarts gets nothing that waits.

        What is gone has no line: ids are never used again, and on a long day they would add up.
        """
        if full:
            for node in [node for node in self._lines if node not in lines]:
                self._stop(node)
                del self._lines[node]
        for node, line in lines.items():
            old = self._lines.get(node)
            if line is None:
                self._stop(node)
                self._lines.pop(node, None)
                continue
            self._lines[node] = line
            changed = old is not None and (
                (old.host, old.port, old.started) != (line.host, line.port, line.started)
            )
            if not line.ready or changed:
                self._stop(node)

    def set_maintenance(self, node: NodeId, on: bool) -> None:
        """Out of use whatever the list says, or back.  What is out may finish; what waits for it ends."""
        (self._away.add if on else self._away.discard)(node)
        self._stop(node)

    def _usable(self, node: NodeId) -> Line | None:
        """Where a brick is, if it may be sent anything new."""
        line = self._lines.get(node)
        return line if line is not None and line.ready and node not in self._away else None

    def _stop(self, node: NodeId) -> None:
        """Nothing may be written any more on the strength of the old line."""
        brick = self._bricks.get(node)
        if brick is None:
            return
        brick.epoch += 1
        waiting, brick.waiting = brick.waiting, deque()
        for made in list(brick.dials):
            made.cancel()
        for connection in list(brick.idle):
            connection.abort()
        for connection in list(brick.busy):
            connection.unstage()  # it has not begun to run
        for job in waiting:
            self.finish(job, AttemptResult.NO_CONNECTION)

    # ---- attempts ----

    def send(self, attempt: Attempt, sink: AttemptListener) -> None:
        now = self.clock.now_us()
        job = _Job(sink, attempt.node_id, now, attempt.deadline_us, attempt)
        line = self._usable(attempt.node_id)
        if line is None:
            self.finish(job, AttemptResult.NO_CONNECTION)
        elif attempt.shard >= 0 and line.shard != attempt.shard:
            self.finish(job, AttemptResult.NOT_STARTED)  # the brick would turn it away unrun
        elif (staged := attempt.payload.staged) is None:
            self._place(job)
        elif staged.job is None or staged.job.node != attempt.node_id or not staged.send(job):
            # Its body is with another brick, or gone with a connection: it can't be written there again.
            self.finish(job, AttemptResult.NOT_STARTED)

    def stage_upload(self, node: NodeId, order: ClientRequest, source: BodySource) -> BodySink | None:
        """Write a large request as it comes, short of its end; its client waits for the connection."""
        if self._usable(node) is None:
            return None
        now = self.clock.now_us()
        staged = order.payload.staged = Staged(self, order.payload, order.timeout_us, source)
        staged.job = _Job(None, node, now, now, staged=staged)
        source.pause()
        self._place(staged.job)
        return staged

    def abort(self, attempt: Attempt) -> bool:
        connection = attempt.connection
        attempt.connection = None
        if isinstance(connection, BrickConnection):
            connection.abort()
            return connection.written
        brick = self._bricks.get(attempt.node_id)
        if brick is not None:
            brick.waiting = deque(job for job in brick.waiting if job.attempt is not attempt)
        return False

    def cancel_unwritten(self, attempt: Attempt) -> bool:
        connection = attempt.connection
        return isinstance(connection, BrickConnection) and not connection.written and not self.abort(attempt)

    def adopt(self, descriptor: int, told: dict[str, Any], sink: AttemptListener) -> BrickConnection:
        """A connection with a large answer on it, which another process of this head began."""
        node, now = str(told["node"]).encode("latin-1"), self.clock.now_us()
        brick = self._bricks.setdefault(node, _Brick(node))
        connection = BrickConnection(self, brick, brick.epoch)
        connection.enter(
            told, Attempt(0, 0, node, -1, str(told["name"]), None, now, 0, answer_started=True), sink
        )
        brick.busy.add(connection)
        try:
            attach(self._reactor, descriptor, connection)
        except OSError:
            brick.busy.discard(connection)
            raise
        return connection

    def check_health(self, node: NodeId, sink: AttemptListener) -> None:
        now = self.clock.now_us()
        job = _Job(sink, node, now, now + PROBE_US)
        if self._usable(node) is None:
            self.finish(job, AttemptResult.NO_CONNECTION)
            return
        self.clock.call_later(PROBE_US, lambda: self.finish(job, AttemptResult.TIMEOUT))
        self._place(job)

    def close_idle_connections(self, node: NodeId) -> None:
        if (brick := self._bricks.get(node)) is not None:
            for connection in list(brick.idle):
                connection.abort()

    def _place(self, job: _Job) -> None:
        brick = self._bricks.get(job.node)
        if brick is None:
            brick = self._bricks[job.node] = _Brick(job.node)
        brick.waiting.append(job)
        self._pump(brick)

    def _pump(self, brick: _Brick) -> None:
        """Start what waits on connections that have rested; dial where there are too few."""
        now = self.clock.now_us()
        while brick.waiting:
            job = brick.waiting[0]
            if job.over or not _may_start(job):
                brick.waiting.popleft()
                self.finish(job, AttemptResult.NOT_STARTED)
                continue
            connection = self._rested(brick, now)
            if connection is None:
                break
            brick.waiting.popleft()
            self._start(connection, brick, job)
        if brick.waiting:
            if brick.idle and brick.rest is None:
                wait = max(0, min(connection.rested_at for connection in brick.idle) - now)
                brick.rest = self.clock.call_later(wait, lambda: self._has_rested(brick))
            self._dial(brick)

    def _rested(self, brick: _Brick, now: int) -> BrickConnection | None:
        """The connection used last of those that are good and have rested."""
        most = min(self._idle_us, self.idle_book.most_us())
        for connection in reversed(list(brick.idle)):
            if connection.epoch != brick.epoch or now - connection.idle_since >= most:
                connection.abort()
            elif connection.rested_at <= now:
                brick.idle.remove(connection)
                return connection
        return None

    def _has_rested(self, brick: _Brick) -> None:
        brick.rest = None
        self._pump(brick)

    def _start(self, connection: BrickConnection, brick: _Brick, job: _Job) -> None:
        """The last look before the first byte: the brick may drain by now."""
        attempt, line = job.attempt, self._usable(job.node)
        if line is None:
            connection.abort()
            self.finish(job, AttemptResult.NO_CONNECTION)
            return
        brick.busy.add(connection)
        if job.staged is not None:
            job.staged.started(connection, job, f"{line.host}:{line.port}")
            return
        if attempt is None:
            request = f"GET /ping HTTP/1.1\r\nHost: {line.host}:{line.port}\r\n\r\n".encode()
        else:
            exchange = attempt.payload
            body = exchange.body.read()
            left = job.deadline_us - self.clock.now_us()
            if job.sink is not None:
                job.sink.attempt_started(attempt)
            request = exchange.head(f"{line.host}:{line.port}", left, len(body)) + body
        connection.start(job, request)

    def finish(self, job: _Job, result: AttemptResult, answer: Any = None) -> None:
        if job.done:
            return
        job.done = True
        if job.sink is None:
            if job.staged is not None:
                job.staged.lost()
        elif job.attempt is not None:
            job.attempt.connection = None
            job.sink.attempt_ended(job.attempt, result, answer)
        else:
            job.sink.health_check_ended(job.node, result, self.clock.now_us() - job.since_us)

    # ---- connections ----

    def _dial(self, brick: _Brick) -> None:
        line = self._usable(brick.node)
        # One more than wait: where each is used again at once, the next would wait for its rest every time.
        coming = len(brick.dials) + len(brick.idle)
        if line is None or self._closing or len(brick.dials) >= MAX_DIALS or coming > len(brick.waiting):
            return
        if len(brick.dials) >= len(brick.waiting):
            return
        if self.connections >= self._max and not self._make_room():
            if not brick.connections:  # none that it could wait for
                self.finish(brick.waiting.popleft(), AttemptResult.NO_CONNECTION)
            return
        epoch = brick.epoch
        made = dial(
            self._reactor,
            (line.host, line.port),
            self._connect_s,
            lambda: BrickConnection(self, brick, epoch),
        )
        brick.dials.add(made)
        made.addCallbacks(self._dialled, self._dial_failed, (brick, made), {}, (brick, made))
        made.addErrback(self._fault)

    def _dialled(self, connection: BrickConnection, brick: _Brick, made: Deferred[Any]) -> None:
        brick.dials.discard(made)
        if connection.lost:
            self._next(brick, AttemptResult.NO_CONNECTION)
        elif connection.epoch != brick.epoch or self._closing:
            connection.abort()
        else:
            self.freed(connection, fresh=True)

    def _dial_failed(self, failure: Failure, brick: _Brick, made: Deferred[Any]) -> None:
        brick.dials.discard(made)
        self._next(brick, AttemptResult.NO_CONNECTION)

    def _next(self, brick: _Brick, result: AttemptResult) -> None:
        """A dial came to nothing: the one that has waited longest has its outcome."""
        while brick.waiting and brick.waiting[0].over:
            brick.waiting.popleft()
        if len(brick.waiting) > len(brick.dials) + len(brick.idle):
            self.finish(brick.waiting.popleft(), result)
        self._dial(brick)

    def _fault(self, failure: Failure) -> None:
        self._log.error("dial_raised", error=repr(failure.value))

    def _make_room(self) -> bool:
        """Close the longest idle connection of any brick, so that another can be dialled."""
        idle = [c for brick in self._bricks.values() for c in brick.idle]
        if not idle:
            return False
        min(idle, key=lambda c: c.idle_since).abort()
        return True

    def freed(self, connection: BrickConnection, fresh: bool = False) -> None:
        """A connection is free.  It rests after an answer, and then the next that waits takes it."""
        brick = connection._brick
        brick.busy.discard(connection)
        if connection.epoch != brick.epoch or self._closing or connection.lost:
            connection.abort()
            return
        connection.idle_since = now = self.clock.now_us()
        connection.rested_at = now if fresh else now + REST_US
        brick.idle.append(connection)
        self._pump(brick)

    def ended(self, connection: BrickConnection) -> None:
        brick = connection._brick
        brick.busy.discard(connection)
        if connection in brick.idle:
            brick.idle.remove(connection)
        if brick.waiting and brick.rest is None:  # what waits may have waited for this one
            brick.rest = self.clock.call_later(0, lambda: self._has_rested(brick))

    def sweep(self) -> None:
        """Retire what has been idle for long, end answers that stall, and forget bricks that are gone."""
        now = self.clock.now_us()
        self.idle_book.fade()
        for node, brick in list(self._bricks.items()):
            for connection in [busy for busy in brick.busy if busy.stalled(now)]:
                connection.give_up()
            for connection in list(brick.idle):
                if now - connection.idle_since >= self._idle_us:
                    connection.abort()
            if node not in self._lines and not brick.connections and not brick.waiting:
                del self._bricks[node]

    def close(self) -> None:
        """Nothing new is dialled; what is out may finish."""
        self._closing = True
        for brick in self._bricks.values():
            for connection in list(brick.idle):
                connection.abort()
