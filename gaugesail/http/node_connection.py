"""One connection to a node: it carries one request at a time, and passes large answers on while they come."""

from __future__ import annotations

from typing import Protocol

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from gaugesail.policy.events import AttemptResult

from ..buffers import Body, BufferPool, PoolEmpty
from ..core.ports import Attempt, AttemptListener, BodySink, Clock
from ..net import Connection, abort, send_now
from .idle_times import IdleTimes
from .messages import MAX_BUFFERED_BODY, BadMessage, Data, Head
from .node_request import NodeRequest
from .node_state import NodeState
from .parser import Parser
from .stream_handover import NodeStreamState

MAX_INTERIM_ANSWERS = 8  # 1xx answers before the real one
STALL_US = 500_000  # without a byte of an answer that has started: it never will be complete
STREAM_STALL_US = 5_000_000  # the same of one that is passed on, while its client reads
SLOW_US = 30_000  # an answer without a length that has come for so long with
SLOW_BYTES = 8 * 1024  # at least so many bytes will be a large one
STALE_US = 20_000  # a request that is reset so soon met a connection that was closed before
READ_BYTES = 16 * 1024  # at once, and unwritten before a source is paused


class PushProducer(Protocol):
    """What Twisted calls as the other side reads too slowly, or reads on."""

    def pauseProducing(self) -> None:
        """Write no more for now."""
        ...

    def resumeProducing(self) -> None:
        """Write on."""
        ...

    def stopProducing(self) -> None:
        """The connection is lost."""
        ...


class ConnectionOwner(Protocol):
    """The pool that a connection belongs to."""

    clock: Clock
    buffers: BufferPool
    idle_times: IdleTimes

    def connection_freed(self, connection: NodeConnection) -> None:
        """Its answer is complete, and it may be used again."""
        ...

    def connection_ended(self, connection: NodeConnection) -> None:
        """It carries nothing any more; reported at least once."""
        ...

    def finish(self, request: NodeRequest, result: AttemptResult, answer: bytes = b"") -> None:
        """Report the result of what it carried."""
        ...


def result_of(head: Head) -> AttemptResult:
    """The result that a complete answer stands for."""
    if head.status == 200:
        return AttemptResult.SERVED
    if head.status in (503, 504) and head.headers.get("not-started") == "1":
        return AttemptResult.REJECTED
    return AttemptResult.ERROR


class NodeConnection(Connection):
    """One connection to a node.  Bytes that come while no request is in flight on it close it."""

    length: int | None = None  # of the answer that is passed on

    def __init__(self, pool: ConnectionOwner, node: NodeState, generation: int) -> None:
        self._pool = pool
        self.node = node
        self.generation = generation  # of the node, when this was dialled
        self._parser = Parser(answers=True)
        self._request: NodeRequest | None = None
        self._head: Head | None = None
        self._body: Body | None = None
        self._sink: BodySink | None = None  # where an answer goes that is passed on
        self.written = False  # the last byte of the request has left
        self.lost = False
        self._paused = False
        self._first_pull = False
        self._interim_answers = 0
        self._first_byte_us = 0  # of the answer
        self._last_byte_us = 0  # when its latest byte came
        self._started_us = 0  # when a request last took this connection
        self._idled_us = 0  # for how long it was idle before that
        self._used = False
        self.idle_since_us = 0
        self.usable_at_us = 0

    @property
    def attempt(self) -> Attempt | None:
        """The attempt that it carries."""
        return self._request.attempt if self._request is not None else None

    def connectionMade(self) -> None:
        """Set the socket up."""
        self.link.setTcpNoDelay(True)
        self.link.bufferSize = READ_BYTES

    # ---- requests ----

    def start(self, request: NodeRequest, message: bytes) -> None:
        """Write a complete request."""
        self._take(request)
        self._write_end(message)

    def start_upload(self, request: NodeRequest, head: bytes, producer: PushProducer) -> None:
        """Write the head of a request whose body follows; the producer hears how the node reads."""
        self._take(request)
        self.link.write(head)
        self.link.registerProducer(producer, True)

    def finish_upload(self, request: NodeRequest, end: bytes) -> None:
        """Write the end of a large request: from here on it is an attempt."""
        self.link.unregisterProducer()
        self._take(request)
        self._idled_us = 0
        self._write_end(end)

    def drop_upload(self) -> None:
        """Give up a staged upload that has no attempt yet."""
        if self._request is not None and self._request.upload is not None:
            self._end_with(AttemptResult.NO_CONNECTION)

    def _take(self, request: NodeRequest) -> None:
        self._request = request
        self.written = False
        self._interim_answers = 0
        self._first_byte_us = 0
        self._last_byte_us = 0
        self._started_us = self._pool.clock.now_us()
        self._idled_us = self._started_us - self.idle_since_us
        if request.attempt is not None:
            request.attempt.connection = self

    def _write_end(self, last: bytes) -> None:
        """Write the end of a request.  Where it does not leave at once, a pull producer hears when it has."""
        self.written = send_now(self.link, last)
        if not self.written:
            self._first_pull = True
            self.link.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """All that was written has left."""
        if self._first_pull:
            self._first_pull = False  # the call that registering makes
            return
        self.written = True
        self.link.unregisterProducer()

    def pauseProducing(self) -> None:
        """Nothing more is written in any case."""

    def stopProducing(self) -> None:
        """The connection is lost, which ``connectionLost`` hears too."""

    # ---- answers ----

    def dataReceived(self, data: bytes) -> None:
        """Read the answer, or close the connection where there is none to read."""
        if self._request is None:
            self.abort()  # these bytes belong to no request
            return
        if not self.written:
            # They answer something else, however good they look.  Our last byte now never leaves, so that the
            # request has not run.
            self._end_with(AttemptResult.NO_CONNECTION)
            return
        self._last_byte_us = self._pool.clock.now_us()
        self._first_byte_us = self._first_byte_us or self._last_byte_us
        self._parser.feed(data)
        try:
            self._read()
        except (BadMessage, PoolEmpty):
            self._end_with(AttemptResult.ERROR)

    def _read(self) -> None:
        read_on = True
        while read_on:
            read_on = False
            for part in self._parser.parts():
                if isinstance(part, Head):
                    self._head_received(part)
                elif isinstance(part, Data):
                    self._body_received(part.data)
                elif self._head is not None and self._head.status >= 200:
                    self._answer_complete()
                else:
                    read_on = True  # the real answer may be right behind an interim one
                if self._request is None:
                    return

    def _head_received(self, head: Head) -> None:
        self._head = head
        if head.status < 200:
            self._interim_answers += 1
        if self._interim_answers > MAX_INTERIM_ANSWERS or head.status == 101:
            raise BadMessage("interim answers without end, or another protocol")
        large = head.length is None or head.length > MAX_BUFFERED_BODY
        if head.status >= 200 and head.status != 200 and large:
            self._end_with(result_of(head))  # only its status counts: there is no need to wait for the rest

    def _body_received(self, data: bytes) -> None:
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
        slow = self._last_byte_us - self._first_byte_us > SLOW_US and self._body.length >= SLOW_BYTES
        if (head.length or self._body.length) > MAX_BUFFERED_BODY or (head.length is None and slow):
            self._start_stream(head, self._body)

    def _start_stream(self, head: Head, body: Body) -> None:
        """Pass an answer too large to hold on while it comes; no other attempt can follow."""
        request = self._request
        received = body.read()
        body.release()
        self._body = None
        self.length = head.length
        sink = None
        if request is not None and request.attempt is not None and request.listener is not None:
            sink = request.listener.answer_started(request.attempt, self)
        if sink is None:  # nobody waits for it any more
            self._end_with(AttemptResult.CANCELLED)
            return
        self._sink = sink
        sink.write(received)

    def _answer_complete(self) -> None:
        head, request = self._head, self._request
        body, sink = self._body, self._sink
        assert head is not None and request is not None
        self._head = self._body = self._request = self._sink = None
        answer = b""
        if body is not None:
            answer = body.read()
            body.release()
        self.resume()
        if self._used:
            self._pool.idle_times.record(self._idled_us, False)
        self._used = True
        # With more behind the answer than belongs to it, the connection is never used again.
        if head.keep_alive and self._parser.between_messages and not self.lost:
            self._pool.connection_freed(self)
        else:
            self.abort()
        if sink is not None:
            sink.finish()
        self._pool.finish(request, result_of(head), answer)

    def stalled(self, now_us: int) -> bool:
        """Whether an answer has started and will not become complete."""
        timeout_us = STALL_US if self._sink is None else STREAM_STALL_US
        return self._request is not None and not self._paused and 0 < self._last_byte_us < now_us - timeout_us

    def end_stalled(self) -> None:
        """Give up an answer that has stalled."""
        self._end_with(AttemptResult.ERROR)

    # ---- the source of an answer that is passed on ----

    def pause(self) -> None:
        """The client reads no faster: neither do we."""
        if not self._paused and not self.lost:
            self._paused = True
            self.link.pauseProducing()

    def resume(self) -> None:
        """Read on."""
        if self._paused and not self.lost:
            self._paused = False
            self._last_byte_us = self._pool.clock.now_us()
            self.link.resumeProducing()

    def stop(self) -> None:
        """The client has gone."""
        self._sink = None
        self._end_with(AttemptResult.CANCELLED)

    # ---- the handover of an answer that is passed on ----

    def hand_over_stream(self) -> NodeStreamState:
        """End it here, and return what another process needs to go on with it."""
        head, request = self._head, self._request
        assert head is not None and request is not None and request.attempt is not None
        state = NodeStreamState(
            request.node_id.decode("latin-1"),
            request.attempt.client_request_id,
            head.length,
            head.keep_alive,
            head.until_close,
            self._parser.export_state(),
        )
        self._request = self._sink = None
        self.lost = True
        self._pool.connection_ended(self)
        self._pool.finish(request, AttemptResult.NOT_STARTED)
        return state

    def take_over_stream(self, state: NodeStreamState, attempt: Attempt, listener: AttemptListener) -> None:
        """Go on where another process ended; ``stream_to`` follows once the connection is attached."""
        now_us = self._pool.clock.now_us()
        self._request = NodeRequest(listener, attempt.node_id, now_us, now_us, attempt)
        attempt.connection = self
        self.written = True
        self._last_byte_us = now_us
        self.length = state.length
        self._head = Head("", "", 200, {}, state.keep_alive, state.length, until_close=state.until_close)
        self._parser.restore_state(state.parser)

    def stream_to(self, sink: BodySink) -> None:
        """Pass on what comes from now on."""
        self._sink = sink
        self._last_byte_us = self._pool.clock.now_us()
        self.dataReceived(b"")  # what was left unread may be complete

    # ---- ends ----

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The node has closed or reset the connection, or we did."""
        self.lost = True
        in_order = isinstance(reason.value, ConnectionDone)
        if self._request is not None and self._head is not None and self._head.until_close and in_order:
            self._answer_complete()  # only an end in order, never a reset, completes such an answer
            return
        request, sink = self._request, self._sink
        self._request = self._sink = None
        self._release_body()
        self._pool.connection_ended(self)
        if sink is not None:
            sink.fail()
        if request is None:
            return
        if self._used and not self._last_byte_us:
            stale = self._pool.clock.now_us() - self._started_us < STALE_US
            self._pool.idle_times.record(self._idled_us, stale)
        self._pool.finish(request, AttemptResult.RESET if self.written else AttemptResult.NO_CONNECTION)

    def abort(self) -> None:
        """Drop the connection with what it carries, that within this call, as another attempt may follow."""
        carries = self._request is not None
        self._request = self._sink = None
        self._release_body()
        self._pool.connection_ended(self)
        if self.lost:
            return
        if carries:
            abort(self.link)
        else:
            self.link.abortConnection()

    def _end_with(self, result: AttemptResult) -> None:
        """End the connection, and with it the attempt: what comes can't be the answer."""
        request, sink = self._request, self._sink
        self.abort()
        if sink is not None:
            sink.fail()
        if request is not None:
            self._pool.finish(request, result)

    def _release_body(self) -> None:
        if self._body is not None:
            self._body.release()
            self._body = None
