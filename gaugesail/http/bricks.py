"""Connections to bricks: each carries one request at a time, the newest idle one is used again first."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from marllift.interface import NodeId, Result

from ..buffers import Body, BufferPool, PoolEmpty
from ..core.ports import Attempt, AttemptSink, Clock, Logger, Reactor
from ..net import Connection, dial
from .parser import BadMessage, Data, Head, Parser

IDLE_SHARE = 0.6  # of the time after which the other side closes; a request written then would be reset
MAX_DIALS = 8  # to one brick at once
PROBE_US = 250_000


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
    epoch: int = 0  # goes up when the process behind the address is another

    @property
    def connections(self) -> int:
        return len(self.idle) + len(self.busy) + len(self.dials)


class BrickConnection(Connection):
    """One connection to a brick.  What arrives without a request out, or after its end, closes it."""

    def __init__(self, pool: BrickPool, brick: _Brick, epoch: int) -> None:
        self._pool, self._brick, self.epoch = pool, brick, epoch
        self._parser = Parser(answers=True)
        self._job: _Job | None = None
        self._head: Head | None = None
        self._body: Body | None = None
        self._written = self.lost = False
        self.idle_since = 0

    def connectionMade(self) -> None:
        self.link.setTcpNoDelay(True)

    def start(self, job: _Job, request: bytes) -> None:
        """Write one request.  The pull producer hears when the last byte has left our buffer."""
        self._job, self._written = job, False
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
        self._parser.feed(data)
        try:
            self._read()
        except (BadMessage, PoolEmpty):
            job, self._job = self._job, None
            self.abort()
            self._pool.finish(job, Result.ERROR)

    def _read(self) -> None:
        whole = True
        while whole:  # a 1xx answer is whole and the real one may be right behind it
            whole = False
            for part in self._parser.parts():
                if isinstance(part, Head):
                    self._head = part
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
        # An answer before the request's last byte, or with more behind it: never used again.
        if head.keep_alive and self._written and self._parser.between and not self.lost:
            self._pool.freed(self)
        else:
            self.abort()
        self._pool.finish(job, _result(head), answer)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.lost = True
        job = self._job
        if job is not None and self._parser.end_of_input() and isinstance(reason.value, ConnectionDone):
            self._whole()
            job = None
        self._job = None
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
        self._reactor, self._clock, self.buffers, self._log = reactor, clock, buffers, log
        self._idle_us = int(idle_us * IDLE_SHARE)
        self._connect_s = connect_timeout_us / 1e6
        self._max = max_connections
        self._lines: dict[NodeId, Line] = {}
        self._bricks: dict[NodeId, _Brick] = {}
        self._closing = False

    @property
    def connections(self) -> int:
        return sum(brick.connections for brick in self._bricks.values())

    # ---- the list ----

    def listed(self, lines: dict[NodeId, Line], full: bool) -> None:
        """The latest list, or changes.  A brick that drains, goes or restarts gets nothing that waits."""
        if full:
            for node in [node for node in self._lines if node not in lines]:
                self._stop(node)
                del self._lines[node]
        for node, line in lines.items():
            old = self._lines.get(node)
            self._lines[node] = line
            changed = old is not None and (
                (old.host, old.port, old.started) != (line.host, line.port, line.started)
            )
            if not line.ready or changed:
                self._stop(node)

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
        now = self._clock.now_us()
        job = _Job(sink, attempt.node, now, attempt.deadline_us, attempt)
        line = self._lines.get(attempt.node)
        if line is None or not line.ready:
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
        now = self._clock.now_us()
        job = _Job(sink, node, now, now + PROBE_US)
        if (line := self._lines.get(node)) is None or not line.ready:
            self.finish(job, Result.NO_CONNECTION)
            return
        self._clock.call_later(PROBE_US, lambda: self.finish(job, Result.TIMEOUT))
        self._place(job)

    def close_idle(self, node: NodeId) -> None:
        if (brick := self._bricks.get(node)) is not None:
            for connection in list(brick.idle):
                connection.abort()

    def _place(self, job: _Job) -> None:
        brick = self._bricks.get(job.node)
        if brick is None:
            brick = self._bricks[job.node] = _Brick(job.node)
        now = self._clock.now_us()
        while brick.idle:
            connection = brick.idle.pop()
            if connection.epoch == brick.epoch and now - connection.idle_since < self._idle_us:
                self._start(connection, brick, job)
                return
            connection.abort()
        brick.waiting.append(job)
        self._dial(brick)

    def _start(self, connection: BrickConnection, brick: _Brick, job: _Job) -> None:
        """The last look before the first byte: the request may be over, the brick may drain by now."""
        attempt, line = job.attempt, self._lines.get(job.node)
        if job.over or (attempt is not None and attempt.over) or line is None or not line.ready:
            self.freed(connection)
            self.finish(job, Result.MOOT if line is not None and line.ready else Result.NO_CONNECTION)
            return
        brick.busy.add(connection)
        if attempt is None:
            request = f"GET /ping HTTP/1.1\r\nHost: {line.host}:{line.port}\r\n\r\n".encode()
        else:
            exchange = attempt.payload
            left = max(1, (job.deadline_us - self._clock.now_us()) // 1000)
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
            job.sink.probe_ended(job.node, result, self._clock.now_us() - job.since_us)

    # ---- connections ----

    def _dial(self, brick: _Brick) -> None:
        line = self._lines.get(brick.node)
        if line is None or self._closing or len(brick.dials) >= min(MAX_DIALS, len(brick.waiting)):
            return
        if self.connections >= self._max and not self._make_room():
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
            self.freed(connection)

    def _dial_failed(self, failure: Failure, brick: _Brick, made: Deferred[Any]) -> None:
        brick.dials.discard(made)
        self._next(brick, Result.NO_CONNECTION)

    def _next(self, brick: _Brick, result: Result) -> None:
        """A dial came to nothing: the one that has waited longest has its outcome."""
        while brick.waiting and brick.waiting[0].over:
            brick.waiting.popleft()
        if len(brick.waiting) > len(brick.dials):
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

    def freed(self, connection: BrickConnection) -> None:
        """A connection is free: the next that waits takes it, or it rests."""
        brick = connection._brick
        brick.busy.discard(connection)
        if connection.epoch != brick.epoch or self._closing or connection.lost:
            connection.abort()
            return
        while brick.waiting:
            job = brick.waiting.popleft()
            if not job.over:
                self._start(connection, brick, job)
                return
        connection.idle_since = self._clock.now_us()
        brick.idle.append(connection)

    def ended(self, connection: BrickConnection) -> None:
        brick = connection._brick
        brick.busy.discard(connection)
        if connection in brick.idle:
            brick.idle.remove(connection)

    def sweep(self) -> None:
        """Retire what has been idle for long, and forget bricks that are gone."""
        now = self._clock.now_us()
        for node, brick in list(self._bricks.items()):
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
