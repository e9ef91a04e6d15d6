"""Connections to bricks: each carries one request at a time, the newest idle one is used again first."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from marllift.interface import NodeId, Result

from ..buffers import Body, BufferPool, PoolEmpty
from ..core.ports import Attempt, AttemptSink, Call, Clock, Logger, Reactor
from ..net import Connection, dial
from .parser import MAX_BODY, BadMessage, Data, Head, Parser

IDLE_SHARE = 0.6  # of the time after which the other side closes; a request written then would be reset
REST_US = 5_000  # of a connection after an answer: what else comes then must not meet the next request
MAX_DIALS = 8  # to one brick at once
MAX_INTERIM = 8  # 1xx answers before the real one
STALL_US = 500_000  # a brick writes a whole answer: one that has begun and is not whole by then never will be
PROBE_US = 250_000
MAX_ANSWER = 1024 * 1024
ANSWERS = 16  # of the largest at once, at the least


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
    """An attempt, or a probe where there is none, on its way to a brick."""

    sink: AttemptSink
    node: NodeId
    since_us: int
    deadline_us: int
    attempt: Attempt | None = None
    done: bool = False

    @property
    def over(self) -> bool:
        return self.done or (self.attempt is not None and self.attempt.done)


@dataclass(slots=True, eq=False)
class _Brick:
    """One brick's connections, and what waits for one."""

    node: NodeId
    idle: list[BrickConnection] = field(default_factory=list)
    busy: set[BrickConnection] = field(default_factory=set)
    waiting: deque[_Job] = field(default_factory=deque)
    dials: set[Deferred[Any]] = field(default_factory=set)
    rest: Call | None = None  # until an idle connection has rested
    epoch: int = 0  # goes up when the process behind the address is another

    @property
    def connections(self) -> int:
        return len(self.idle) + len(self.busy) + len(self.dials)


class BrickConnection(Connection):
    """One connection to a brick.  What arrives without a request out, or after its end, closes it."""

    def __init__(self, pool: BrickPool, brick: _Brick, epoch: int) -> None:
        self._pool, self._brick, self.epoch = pool, brick, epoch
        self._parser = Parser(answers=True, max_body=pool.max_answer)
        self._job: _Job | None = None
        self._head: Head | None = None
        self._body: Body | None = None
        self._written = self.lost = False
        self._interim = 0
        self._began_us = 0  # when the first byte of the answer came
        self.idle_since = self.rested_at = 0

    def connectionMade(self) -> None:
        self.link.setTcpNoDelay(True)

    def start(self, job: _Job, request: bytes) -> None:
        """Write one request.  The pull producer hears when the last byte has left our buffer."""
        self._job, self._written, self._interim, self._began_us = job, False, 0, 0
        if job.attempt is not None:
            job.attempt.connection = self
        self.link.write(request)
        self._first_pull = True
        self.link.registerProducer(self, False)

    def resumeProducing(self) -> None:
        if self._first_pull:
            self._first_pull = False  # the call that registering makes
            return
        self._written = True
        self.link.unregisterProducer()

    def pauseProducing(self) -> None:
        pass

    def stopProducing(self) -> None:
        pass

    def dataReceived(self, data: bytes) -> None:
        if self._job is None:
            self.abort()  # nothing was asked: these bytes belong to no request
            return
        if not self._written:
            # They answer something else, however good they look.  Our last byte now never leaves, so that the
            # request has not run.
            self._spoilt(Result.NO_CONNECTION)
            return
        self._began_us = self._began_us or self._pool.clock.now_us()
        self._parser.feed(data)
        try:
            self._read()
        except (BadMessage, PoolEmpty):
            self._spoilt(Result.ERROR)

    def _read(self) -> None:
        whole = True
        while whole:  # a 1xx answer is whole and the real one may be right behind it
            whole = False
            for part in self._parser.parts():
                if isinstance(part, Head):
                    self._head = part
                    if part.status < 200:
                        self._interim += 1
                    if self._interim > MAX_INTERIM or part.status == 101:
                        raise BadMessage("interim answers without end, or another protocol")
                    if part.until_close:
                        # Nothing would tell a whole answer from one that broke off: only its status counts.
                        self._spoilt(Result.ERROR if part.status == 200 else _result(part))
                        return
                elif isinstance(part, Data):
                    if self._body is None:
                        self._body = Body(self._pool.buffers)
                    self._body.append(part.data)
                elif self._head is not None and self._head.status >= 200:
                    self._whole()
                    return
                else:
                    whole = True

    def _whole(self) -> None:
        head, body, job = self._head, self._body, self._job
        assert head is not None and job is not None
        self._head = self._body = self._job = None
        answer = b""
        if body is not None:
            answer = body.read()
            body.release()
        # With more behind the answer than belongs to it, the connection is never used again.
        if head.keep_alive and self._parser.between and not self.lost:
            self._pool.freed(self)
        else:
            self.abort()
        self._pool.finish(job, _result(head), answer)

    def _spoilt(self, result: Result) -> None:
        """What comes can't be the answer: the connection ends, and with it the attempt."""
        job = self._job
        self.abort()
        if job is not None:
            self._pool.finish(job, result)

    def stalled(self, now: int) -> bool:
        """An answer that has begun and does not become whole."""
        return self._job is not None and 0 < self._began_us < now - STALL_US

    def give_up(self) -> None:
        self._spoilt(Result.ERROR)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.lost = True
        job, self._job = self._job, None
        if self._body is not None:
            self._body.release()
            self._body = None
        self._pool.ended(self)
        if job is not None:
            self._pool.finish(job, Result.RESET if self._written else Result.NO_CONNECTION)

    def abort(self) -> None:
        """Drop the connection and whatever it still carries."""
        self._job = None
        self._pool.ended(self)
        if not self.lost:
            self.link.abortConnection()


def _result(head: Head) -> Result:
    if head.status == 200:
        return Result.SERVED
    if head.status in (503, 504) and head.headers.get("not-started") == "1":
        return Result.FULL
    return Result.ERROR


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
        # The protocol says 64 KiB; answers of 400 KB have come, and were good.  A part of the buffers bounds
        # what one may hold, and what claims more ends at its head.
        self.max_answer = max(MAX_BODY, min(MAX_ANSWER, buffers.limit * buffers.size // ANSWERS))
        self._lines: dict[NodeId, Line] = {}
        self._bricks: dict[NodeId, _Brick] = {}
        self._away: set[NodeId] = set()  # in maintenance
        self._closing = False

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

    def maintain(self, node: NodeId, on: bool) -> None:
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
        for job in waiting:
            self.finish(job, Result.NO_CONNECTION)

    # ---- attempts ----

    def send(self, attempt: Attempt, sink: AttemptSink) -> None:
        now = self.clock.now_us()
        job = _Job(sink, attempt.node, now, attempt.deadline_us, attempt)
        line = self._usable(attempt.node)
        if line is None:
            self.finish(job, Result.NO_CONNECTION)
        elif attempt.shard >= 0 and line.shard != attempt.shard:
            self.finish(job, Result.MOOT)  # the brick would turn it away unrun
        else:
            self._place(job)

    def abort(self, attempt: Attempt) -> None:
        connection = attempt.connection
        attempt.connection = None
        if isinstance(connection, BrickConnection):
            connection.abort()
        else:
            brick = self._bricks.get(attempt.node)
            if brick is not None:
                brick.waiting = deque(job for job in brick.waiting if job.attempt is not attempt)

    def probe(self, node: NodeId, sink: AttemptSink) -> None:
        now = self.clock.now_us()
        job = _Job(sink, node, now, now + PROBE_US)
        if self._usable(node) is None:
            self.finish(job, Result.NO_CONNECTION)
            return
        self.clock.call_later(PROBE_US, lambda: self.finish(job, Result.TIMEOUT))
        self._place(job)

    def close_idle(self, node: NodeId) -> None:
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
            if job.over or (job.attempt is not None and job.attempt.over):
                brick.waiting.popleft()
                self.finish(job, Result.MOOT)
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
        for connection in reversed(list(brick.idle)):
            if connection.epoch != brick.epoch or now - connection.idle_since >= self._idle_us:
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
            self.finish(job, Result.NO_CONNECTION)
            return
        brick.busy.add(connection)
        if attempt is None:
            request = f"GET /ping HTTP/1.1\r\nHost: {line.host}:{line.port}\r\n\r\n".encode()
        else:
            exchange = attempt.payload
            left = max(1, (job.deadline_us - self.clock.now_us()) // 1000)
            body = exchange.body.read()
            head = (
                f"{exchange.method} {exchange.target} HTTP/1.1\r\nHost: {line.host}:{line.port}\r\n"
                f"Request-Id: {exchange.request_id}\r\nRequest-Timeout-Ms: {left}\r\n"
            )
            if body or exchange.method not in ("GET", "HEAD"):
                head += f"Content-Length: {len(body)}\r\n"
            request = head.encode("latin-1") + b"\r\n" + body
        connection.start(job, request)

    def finish(self, job: _Job, result: Result, answer: Any = None) -> None:
        if job.done:
            return
        job.done = True
        if job.attempt is not None:
            job.attempt.connection = None
            job.sink.attempt_ended(job.attempt, result, answer)
        else:
            job.sink.probe_ended(job.node, result, self.clock.now_us() - job.since_us)

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
                self.finish(brick.waiting.popleft(), Result.NO_CONNECTION)
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
            self._next(brick, Result.NO_CONNECTION)
        elif connection.epoch != brick.epoch or self._closing:
            connection.abort()
        else:
            self.freed(connection, fresh=True)

    def _dial_failed(self, failure: Failure, brick: _Brick, made: Deferred[Any]) -> None:
        brick.dials.discard(made)
        self._next(brick, Result.NO_CONNECTION)

    def _next(self, brick: _Brick, result: Result) -> None:
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
