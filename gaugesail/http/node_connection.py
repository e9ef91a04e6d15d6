"""One connection to a node: it carries one request at a time and streams large answers to the client."""

from __future__ import annotations

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from gaugesail.policy.events import AttemptResult

from ..buffers import Body, PoolEmpty
from ..core.ports import Attempt, AttemptListener, BodySink, DelayedCall
from ..net import Connection, abort, send_now
from ..output_progress import unacknowledged_bytes
from ..peer_progress import LONGEST_REST_US
from .answer_passing import may_pass_on, pass_on_at_us
from .messages import MAX_BUFFERED_BODY, BadMessage, Data, Head
from .node_owner import ConnectionOwner, PushProducer
from .node_request import NodeRequest
from .node_state import NodeState
from .parser import Parser
from .stream_end import StreamEnd
from .stream_handover import NodeStreamState

MAX_INTERIM_ANSWERS = 8  # 1xx answers before the final one
ERROR_BODY_STALL_US = 500_000  # longest gap between bytes of an answer whose status alone is needed
# A streamed answer may be given up if it rests for over LONGEST_REST_US, and for so long after its request's
# time, and only where its node has gone or others need its connection.
REST_AFTER_TIME_US = 2_000_000
STALE_US = 20_000  # a reset sooner than this after the request: the node had closed the idle connection
KEPT_FIELDS = ("not-started",)  # of an answer, while its body arrives


def result_of(head: Head) -> AttemptResult:
    """Return the attempt's result for the head of its answer."""
    if head.status == 200:
        return AttemptResult.SERVED
    if head.status in (503, 504) and head.headers.get("not-started") == "1":
        return AttemptResult.REJECTED
    return AttemptResult.ERROR


class NodeConnection(Connection):
    """One connection to a node.  Bytes received while no request is in flight close it."""

    length: int | None = None  # of the streamed answer, in bytes

    def __init__(self, pool: ConnectionOwner, node: NodeState, generation: int) -> None:
        self._pool = pool
        self.node = node
        self.generation = generation  # of the node at the time of the dial
        self._parser = Parser(answers=True)
        self._request: NodeRequest | None = None
        self._head: Head | None = None
        self._body: Body | None = None
        self._sink: BodySink | None = None  # of a streamed answer
        self.written = False  # the last byte of the request was passed to the kernel
        self.lost = False
        self._paused = False
        self._first_pull = False
        self._pass_on_call: DelayedCall | None = None  # for an answer whose rest is late
        self._pass_on_at_us = 0  # when that is due
        self._interim_answers = 0
        self._message_bytes = 0  # of the request; 0 if its body was written as it came
        self._first_byte_us = 0  # of the answer
        self._last_byte_us = 0  # of the answer, so far
        self._started_us = 0  # when the latest request started
        self._idle_before_us = 0  # idle time before the latest request
        self._used = False
        self.idle_since_us = 0
        self.usable_at_us = 0

    @property
    def attempt(self) -> Attempt | None:
        """The attempt that the connection carries, if any."""
        return self._request.attempt if self._request is not None else None

    def connectionMade(self) -> None:
        """Configure the socket."""
        self.link.setTcpNoDelay(True)
        self.link.bufferSize = self._pool.buffers.io_bytes

    # ---- requests ----

    def start(self, request: NodeRequest, message: bytes) -> None:
        """Write a complete request."""
        self._assign(request, len(message))
        self._write_end(message)

    def start_upload(self, request: NodeRequest, head: bytes, producer: PushProducer) -> None:
        """Write the head of a request whose body follows; ``producer`` receives the node's back-pressure."""
        self._assign(request)
        self.link.write(head)
        self.link.registerProducer(producer, True)

    def finish_upload(self, request: NodeRequest, end: bytes) -> None:
        """Write the end of a staged upload, which makes it an attempt."""
        self.link.unregisterProducer()
        self._assign(request)
        self._idle_before_us = 0
        self._write_end(end)

    def drop_upload(self) -> None:
        """Abort a staged upload that has no attempt yet."""
        if self._request is not None and self._request.upload is not None:
            self._end_with(AttemptResult.NO_CONNECTION)

    def _assign(self, request: NodeRequest, message_bytes: int = 0) -> None:
        self._request = request
        self.written = False
        self._interim_answers = 0
        self._first_byte_us = 0
        self._last_byte_us = 0
        self._message_bytes = message_bytes
        self._started_us = self._pool.clock.now_us()
        self._idle_before_us = self._started_us - self.idle_since_us
        if request.attempt is not None:
            request.attempt.connection = self

    def _write_end(self, last: bytes) -> None:
        """Write the end of a request; a pull producer reports when the kernel has taken a delayed rest."""
        self.written = send_now(self.link, last)
        if not self.written:
            self._first_pull = True
            self.link.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """The transport's buffer is empty."""
        if self._first_pull:
            self._first_pull = False  # the call that registerProducer makes
            return
        self.written = True
        self.link.unregisterProducer()

    def pauseProducing(self) -> None:
        """Nothing to pause: the request is written."""

    def stopProducing(self) -> None:
        """The connection is lost; ``connectionLost`` is called too."""

    # ---- answers ----

    def dataReceived(self, data: bytes) -> None:
        """Read the answer; close the connection if none is expected."""
        if self._request is None:
            self._note_surplus()
            self.abort()
            return
        if not self.written:
            self._note_surplus()
            # Bytes received before the request's last byte was written answer something else, even if they
            # are well formed.  The last byte is never written now, so the request has not run.
            self._end_with(AttemptResult.NO_CONNECTION)
            return
        if not self._first_byte_us and self._has_not_arrived:
            self._note_surplus()
            self._end_with(AttemptResult.RESET)
            return
        self._last_byte_us = self._pool.clock.now_us()
        self._first_byte_us = self._first_byte_us or self._last_byte_us
        if self._request.attempt is not None and self._request.listener is not None:
            self._request.listener.answer_begun(self._request.attempt)
        self._parser.feed(data)
        try:
            self._read()
        except (BadMessage, PoolEmpty):
            self._end_with(AttemptResult.ERROR)
        self._await_rest()

    @property
    def _has_not_arrived(self) -> bool:
        """Whether no byte of the request has reached the node: its kernel would have acknowledged it.

        Bytes that have come by then answer something else.
        """
        unacknowledged = unacknowledged_bytes(self.link)
        return unacknowledged is not None and 0 < self._message_bytes <= unacknowledged

    def _note_surplus(self) -> None:
        """Note bytes that no request asked for, perhaps a second answer to the one before."""
        if self._used:
            now_us = self._pool.clock.now_us()
            self.node.settle_time.surplus(now_us, now_us - self.idle_since_us)

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
                    read_on = True  # the final answer may be buffered behind an interim one
                if self._request is None:
                    return

    def _head_received(self, head: Head) -> None:
        self._head = head
        head.headers = {name: head.headers[name] for name in KEPT_FIELDS if name in head.headers}
        if head.status < 200:
            self._interim_answers += 1
        if self._interim_answers > MAX_INTERIM_ANSWERS or head.status == 101:
            raise BadMessage(
                f"more than {MAX_INTERIM_ANSWERS} interim answers, or a switch of protocol (101)"
            )
        large = head.length is None or head.length > MAX_BUFFERED_BODY
        if head.status >= 200 and head.status != 200 and large:
            self._end_with(result_of(head))  # only the status is used: do not wait for the body

    def _await_rest(self) -> None:
        """Pass on in time what has arrived of an answer, even if no more of it comes until then."""
        request = self._request
        if request is None or request.attempt is None or self._sink is not None or self._head is None:
            return
        body_bytes = self._body.length if self._body is not None else 0
        at_us = pass_on_at_us(self._head, body_bytes, self._first_byte_us)
        if at_us is None or (self._pass_on_call is not None and self._pass_on_at_us <= at_us):
            return
        self._cancel_pass_on()
        self._pass_on_at_us = at_us
        delay_us = max(0, at_us - self._pool.clock.now_us())
        self._pass_on_call = self._pool.clock.call_later(delay_us, self._rest_is_late)

    def _rest_is_late(self) -> None:
        self._pass_on_call = None
        self.pass_on()

    def pass_on(self) -> bool:
        """Stream what has arrived of the answer and its rest; returns whether that is possible."""
        if self._request is None or self._sink is not None or self._head is None:
            return False
        if not may_pass_on(self._head):
            return False
        self._start_stream(self._head, self._body or Body(self._pool.buffers, is_answer=True))
        return True

    def _cancel_pass_on(self) -> None:
        call, self._pass_on_call = self._pass_on_call, None
        if call is not None and call.active():
            call.cancel()

    def _body_received(self, data: bytes) -> None:
        head = self._head
        if self._sink is not None:
            self._sink.write(data)
            return
        if head is None or head.status != 200:
            return
        if self._body is None:
            self._body = Body(self._pool.buffers, is_answer=True)
        unbuffered = self._buffer(head, self._body, data)
        at_us = pass_on_at_us(head, self._body.length, self._first_byte_us)
        if unbuffered or (at_us is not None and at_us <= self._last_byte_us):
            self._start_stream(head, self._body, unbuffered)

    @staticmethod
    def _buffer(head: Head, body: Body, data: bytes) -> bytes:
        """Append to the body; returns what no buffer was left for, if the answer can be passed on.

        Raises PoolEmpty if it cannot.
        """
        length_before = body.length
        try:
            body.append(data)
        except PoolEmpty:
            if not may_pass_on(head):
                raise
        return data[body.length - length_before :]

    def _start_stream(self, head: Head, body: Body, unbuffered: bytes = b"") -> None:
        """Stream an answer that is not buffered any longer; no further attempt is possible after that."""
        self._cancel_pass_on()
        request = self._request
        received = body.read()
        body.release()
        self._body = None
        self.length = head.length
        sink = None
        if request is not None and request.attempt is not None and request.listener is not None:
            sink = request.listener.answer_started(request.attempt, self)
        if sink is None:  # the request has ended
            self._end_with(AttemptResult.CANCELLED)
            return
        self._sink = sink
        sink.write(received + unbuffered)

    def _answer_complete(self) -> None:
        self._cancel_pass_on()
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
            self._pool.idle_times.record(self._idle_before_us, False)
        self._used = True
        # Bytes after the end of the answer make the connection unusable.
        is_clean = self._parser.between_messages
        if not is_clean:
            self.node.settle_time.surplus(self._pool.clock.now_us(), 0)
        if head.keep_alive and is_clean and not self.lost:
            self._pool.connection_freed(self)
        else:
            self.abort()
        if sink is not None:
            sink.finish()
        self._pool.finish(request, result_of(head), answer)

    def rest_us(self, now_us: int) -> int:
        """How long ago the latest byte of the answer arrived, in microseconds."""
        return now_us - self._last_byte_us

    def rests_long(self, now_us: int) -> bool:
        """Whether the node has written nothing of a streamed answer for long, though its client reads."""
        if self._request is None or self._sink is None or self._paused:
            return False
        deadline_us = self.attempt.deadline_us if self.attempt is not None else 0
        return now_us > max(deadline_us + REST_AFTER_TIME_US, self._last_byte_us + LONGEST_REST_US)

    def give_up_stream(self, why: StreamEnd) -> None:
        """Break a streamed answer off; its client's connection is reset."""
        self._pool.stream_given_up(self, why)
        self._end_with(AttemptResult.ERROR)

    def error_body_stalled(self, now_us: int) -> bool:
        """Whether the rest of an answer of which only the status is needed is late."""
        if self._request is None or self._head is None or self._head.status == 200:
            return False
        return not self._paused and now_us - self._last_byte_us > ERROR_BODY_STALL_US

    def end_by_status(self) -> None:
        """End an attempt by the status of its answer, without the rest of it."""
        assert self._head is not None
        self._end_with(result_of(self._head))

    def describe_answer(self) -> str:
        """Describe what has arrived of the answer, for the log."""
        head = self._head
        if head is None:
            return f"no head, {self._parser.buffered} bytes"
        length = "no length" if head.length is None else f"length {head.length}"
        quiet_ms = self.rest_us(self._pool.clock.now_us()) // 1000
        buffered = self._body.length if self._body is not None else 0
        return f"{head.status}, {length}, {buffered} bytes buffered, quiet for {quiet_ms} ms"

    # ---- source of a streamed answer ----

    def pause(self) -> None:
        """Stop reading from the node, as the client reads more slowly."""
        if not self._paused and not self.lost:
            self._paused = True
            self.link.pauseProducing()

    def resume(self) -> None:
        """Continue reading from the node."""
        if self._paused and not self.lost:
            self._paused = False
            self._last_byte_us = self._pool.clock.now_us()
            self.link.resumeProducing()

    def stop(self) -> None:
        """Cancel the attempt: the client has disconnected."""
        self._sink = None
        self._end_with(AttemptResult.CANCELLED)

    # ---- handover of a streamed answer ----

    def hand_over_stream(self) -> NodeStreamState:
        """End the stream in this process and return the state from which another process continues it."""
        head, request = self._head, self._request
        assert head is not None and request is not None and request.attempt is not None
        state = NodeStreamState(
            request.node_id.decode("latin-1"),
            request.attempt.client_request_id,
            head.length,
            head.keep_alive,
            head.until_close,
            self._parser.export_state(),
            request.attempt.ordered_key,
        )
        self._request = self._sink = None
        self.lost = True
        self._pool.connection_ended(self)
        # The engine counts a streamed answer that ends NOT_STARTED as moved to the other process.
        self._pool.finish(request, AttemptResult.NOT_STARTED)
        return state

    def take_over_stream(self, state: NodeStreamState, attempt: Attempt, listener: AttemptListener) -> None:
        """Continue a stream of another process; ``stream_to`` is called once the connection is attached."""
        now_us = self._pool.clock.now_us()
        self._request = NodeRequest(listener, attempt.node_id, now_us, now_us, attempt)
        attempt.connection = self
        self.written = True
        self._last_byte_us = now_us
        self.length = state.length
        self._head = Head("", "", 200, {}, state.keep_alive, state.length, until_close=state.until_close)
        self._parser.restore_state(state.parser)

    def stream_to(self, sink: BodySink) -> None:
        """Write the answer to ``sink`` from now on."""
        self._sink = sink
        self._last_byte_us = self._pool.clock.now_us()
        self.dataReceived(b"")  # the handed over input may complete the answer

    # ---- end of the connection ----

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The connection was closed or reset, by the node or by the gateway."""
        self.lost = True
        self._cancel_pass_on()
        in_order = isinstance(reason.value, ConnectionDone)
        if self._request is not None and self._head is not None and self._head.until_close and in_order:
            self._answer_complete()  # only an orderly close completes such an answer, never a reset
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
            self._pool.idle_times.record(self._idle_before_us, stale)
        self._pool.finish(request, AttemptResult.RESET if self.written else AttemptResult.NO_CONNECTION)

    def abort(self) -> None:
        """Abort the connection and its request, the latter within this call as another attempt may follow."""
        self._cancel_pass_on()
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
        """End the connection and its request with ``result``; whatever arrives later is not an answer."""
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
