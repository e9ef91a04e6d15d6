"""One client connection: reads a request, waits for its answer, writes it, reads the next request."""

from __future__ import annotations

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from ..buffers import Body, PoolEmpty
from ..client_admission import CloseReason
from ..core.attempts import ANSWER_MARGIN_US
from ..core.ports import BodySink, BodySource, ClientRequest
from ..net import Connection, reset_on_close, send_now, unread, unsent_output
from ..read_turns import BYTES_PER_WORK, FULL_CREDIT, REQUEST_WORK, Credit
from ..unread_output import UnreadOutput
from .answer_heads import CONTINUE, answer_head, stream_head
from .answer_stream import AnswerStream
from .client_input import ClientInput
from .client_limits import MAX_DISCARDED_BYTES
from .client_owner import ClientOwner
from .client_reply import ClientReply
from .client_upload import ClientUpload
from .forwarded_request import origin_form
from .held_request_id import HeldRequestId
from .messages import MAX_BUFFERED_BODY, BadMessage, Data, Head
from .stream_handover import ClientStreamState
from .upload_timer import UploadTimer

HEALTH_PATH = "/_health"
METHODS = ("GET", "PUT")
REFUSED = (429, 503)  # answers after which a request may be sent again


class ClientConnection(Connection):
    """One client connection: its requests and answers, one after another."""

    def __init__(self, owner: ClientOwner) -> None:
        self.owner = owner
        self.input = ClientInput(owner)
        self.credit = Credit()
        self.head: Head | None = None  # of the request that is arriving
        self._request: ClientRequest | None = None  # that is arriving or waits for its answer
        # The engine's; 0: already answered there; None: no answer is pending.
        self._request_id: int | None = None
        self._upload: ClientUpload | None = None  # of a large body
        self._body_timer: UploadTimer | None = None  # of a body that is buffered so far
        self.stream: AnswerStream | None = None  # a streamed answer
        self._resets_if_killed = False  # an end of the process would pass for that of the answer
        self.held_id = HeldRequestId(owner.engine.request_ids)
        self._keep_alive = True
        self._http_1_0 = False
        self._reading = False
        self.output = UnreadOutput(owner.clock, owner.pool, owner.holders)
        self.answered_early = False  # before its request was complete: the rest is discarded
        self._discarded = 0  # bytes received since the gateway began to close
        self.body_bytes = 0
        self._chunks_before = 0  # that were read before the request that is arriving
        self.last_received_us = 0  # when the latest byte was received
        self.blocked_since_us = 0  # when the gateway started to close
        self.lingering = False
        self.closing = False
        self.lost = False
        self.opened_at_us = self.last_used_us = owner.clock.now_us()
        self.unsent_bytes = 0  # upper bound of what is in the write buffer
        self.requests_received = 0
        self.surplus = False  # accepted beyond the limit: closed after its answer if that is still exceeded

    @property
    def idle(self) -> bool:
        """Whether no request is arriving or pending."""
        free = self._request_id is None and self.input.parser.between_messages
        return free and not (self.output.full or self.closing)

    @property
    def arriving(self) -> bool:
        """Whether a part of a request has been received, and the rest is awaited."""
        waits = self._request_id is None and not self.input.parser.between_messages
        return waits and not (self.output.full or self.closing or self.lost or self.input.waits_for_turn)

    @property
    def is_costly(self) -> bool:
        """Whether the body that is arriving costs more for its many small chunks than for its bytes.

        Its client moves, but at the pace of its turns: what it has written lasts for long after it has gone.
        """
        if self.head is None or self._request_id is not None or self.closing or self.lost:
            return False
        chunks = self.input.parser.chunks_read - self._chunks_before
        return chunks > max(FULL_CREDIT, self.body_bytes // BYTES_PER_WORK)

    @property
    def receives_body(self) -> bool:
        """Whether the body of a request is arriving, the head of which was read."""
        return self.head is not None

    @property
    def awaits_answer(self) -> bool:
        """Whether an answer is pending, for which the next request has to wait."""
        return self._request_id is not None

    @property
    def has_unanswered(self) -> bool:
        """Whether a request, or a part of one, was read and has no answer yet."""
        if self.closing or self.lost or self.stream is not None:
            return False
        return self._request_id is not None or self.input.is_pending

    @property
    def disconnected(self) -> bool:
        """Return whether the client has disconnected; if polling shows that, abort the connection.

        The client's FIN may be behind input that was not read.
        """
        unread_input = self.input.stopped or self.input.truncated or self.input.excess > 0
        return self.peer_closed(unread_input or self.may_have_unread(self.owner.clock))

    def connectionMade(self) -> None:
        """Configure the socket and register with the server."""
        self.link.setTcpNoDelay(True)
        # Twisted's 64 KiB for each of many clients would take most of the memory.
        self.link.bufferSize = self.owner.pool.io_bytes
        self.link.registerProducer(self, True)
        self.owner.opened(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The connection has ended: cancel its request and its streamed answer."""
        self.lost = True
        if self._request_id:
            self.owner.engine.client_disconnected(self._request_id)
            self.held_id.end()
        else:
            self.held_id.client_left()
        self._request_id = None
        if self.stream is not None:
            self.stream.source.stop()
            self.stream = None
        self._release_request()
        self.output.emptied(self)
        self.input.release()
        self.owner.closed(self)

    def dataReceived(self, data: bytes) -> None:
        """Parse the input; discard it once the connection is closing."""
        if self.closing or self.lost:
            self._discard(data)
            return
        if self.input.truncated:
            return
        self.last_received_us = self.owner.clock.now_us()
        self.input.feed(data, self.link, self.last_received_us)
        if self._request_id is None:
            self._read()
            self.owner.request_may_have_stalled(self)
        self.input.bound(not (self.closing or self.lost))

    def _discard(self, data: bytes) -> None:
        self._discarded += len(data)
        if self._discarded > MAX_DISCARDED_BYTES:
            self.pause_reading()

    def pauseProducing(self) -> None:
        """The client reads too slowly: pause the source of a streamed answer."""
        self.output.filled(self.link)
        if self.stream is not None:
            self.stream.source.pause()
        self.output.charge(self.unsent_bytes, self)

    def resumeProducing(self) -> None:
        """The client has read what was written: continue."""
        self.output.emptied(self)
        if self.stream is not None:
            self.stream.source.resume()
        else:
            self._read_next()

    def stopProducing(self) -> None:
        """The connection is lost; ``connectionLost`` is called too."""
        self.output.emptied(self)

    # ---- memory ----

    def stalled_at_us(self) -> int:
        """When the client counts as stalled if it neither sends nor reads anything until then."""
        if self.output.full:
            return self.output.stalled_at_us(self.link)
        if self.input.stopped:
            return self.owner.clock.now_us()  # it waits for us
        return self.input.steps.stalled_at_us

    @property
    def is_new_work(self) -> bool:
        """Whether only a request that is arriving holds memory."""
        return self.arriving

    def evict(self) -> None:
        """Give up what the client holds: reject a request that is arriving, or abort an unread answer."""
        if self.output.full:
            self.link.abortConnection()
        elif self.arriving or self.is_costly:
            self.fail_input(503, "no memory or no place left", self.owner.retry_after_us)
            if self.owner.held and not unread(self.link):
                self.link.loseConnection()  # its place is needed; nothing that it sent makes this a reset

    # ---- requests ----

    def _read(self) -> None:
        """Process the buffered requests until one has to wait for its answer."""
        if self._reading or not self.owner.turns.has_turn(self):
            return
        self._reading = True
        engine, retry_after_us = self.owner.engine, self.owner.retry_after_us
        try:
            self._read_requests()
            self._time_body()
            if self.input.truncated and self._may_read():
                engine.counts["pipelined_too_much"] += 1
                self.fail_input(429, "too much at once", retry_after_us)
        except BadMessage as error:
            engine.counts["bad_request"] += 1
            self.fail_input(error.status, str(error))
        except PoolEmpty:
            engine.counts["no_buffers"] += 1
            self.fail_input(503, "no memory", retry_after_us)
        except Exception as error:  # a fault of the gateway: Twisted would close without an answer
            self.owner.log_fault(error)
            self.fail_input(500, "internal fault")
        finally:
            self._reading = False

    def _may_read(self) -> bool:
        return self._request_id is None and not (self.output.full or self.closing or self.lost)

    def _read_requests(self) -> None:
        parser = self.input.parser
        while self._may_read():
            before = parser.buffered
            work = -parser.chunks_read
            for part in parser.parts():
                if isinstance(part, Head):
                    self._head_received(part)
                elif isinstance(part, Data):
                    self._body_received(part.data)
                else:
                    work += REQUEST_WORK
                    self._request_complete()
            work += parser.chunks_read + (before - parser.buffered) // BYTES_PER_WORK
            has_turn = self.owner.turns.spend(self, work)
            if not has_turn or parser.buffered in (before, 0):
                return

    def wait_for_turn(self) -> None:
        """Read nothing until other clients have been served."""
        if not self.lost:
            self.input.wait_for_turn(self.link)

    def take_turn(self) -> None:
        """Continue with the buffered input, and read on."""
        if not self.lost:
            self.last_received_us = self.input.take_turn(self.link)
            self._read_next()

    def _head_received(self, head: Head) -> None:
        self.head = head
        self._keep_alive = head.keep_alive
        self._http_1_0 = head.http_1_0
        self.input.since_us = self.owner.clock.now_us()
        self.body_bytes = 0
        self._chunks_before = self.input.parser.chunks_read
        head.target = origin_form(head.target)
        if head.target != HEALTH_PATH:
            if head.method not in METHODS:
                raise BadMessage("the method is neither GET nor PUT", 405)
            self._request = self.owner.reader.read(head, Body(self.owner.pool))
            self._request.payload.reserve()
        expects = head.headers.get("expect", "").lower()
        head.headers = {}  # not needed while the body arrives
        if expects not in ("", "100-continue"):
            raise BadMessage("an expectation that is not known", 417)
        if expects and head.length != 0 and not head.http_1_0:
            self.link.write(CONTINUE)

    def _body_received(self, data: bytes) -> None:
        request = self._request
        self.body_bytes += len(data)
        if self._upload is not None:
            self._upload.write(data)
        elif request is not None and not self.answered_early:
            request.payload.body.append(data)
            self.owner.holders.add(self)
            if self.body_bytes > MAX_BUFFERED_BODY and self.head is not None:
                # Too large to buffer: write it to its node while it arrives.
                self._stop_body_timer()
                self._upload = ClientUpload(self, request, self.head.length)
                self._upload.begin()

    def _time_body(self) -> None:
        """Refuse a request whose client may have waited for its time while its body was not read."""
        request = self._request
        if self.head is None or request is None or self._upload is not None or self._body_timer is not None:
            return
        self._body_timer = UploadTimer(
            self.owner.clock,
            max(0, request.timeout_us - ANSWER_MARGIN_US),
            self.input.last_byte,
            lambda: not unread(self.link),
            self._body_out_of_time,
        )

    def _body_out_of_time(self) -> None:
        self.owner.engine.counts["body_out_of_time"] += 1
        self.reject_body()

    def _stop_body_timer(self) -> None:
        timer, self._body_timer = self._body_timer, None
        if timer is not None:
            timer.stop()

    def _request_complete(self) -> None:
        head, request, upload = self.head, self._request, self._upload
        self.head = self._upload = None
        self._stop_body_timer()
        self.owner.holders.remove(self)
        if head is None:
            return
        self.requests_received += 1
        if self.answered_early:
            self.answered_early = False
            if not self._keep_alive or self.owner.leaving:
                self.close(CloseReason.LAST_ANSWER)
            return
        if request is None:
            self._answer_health_check(head)
            return
        received_us = self.input.last_read_us()
        if upload is not None:
            received_us = upload.finish(received_us)
        self.held_id.end()
        self._request_id = 0
        self._request_id = self.owner.engine.submit(request, ClientReply(self), received_us)
        if self._request_id:
            self.held_id.hold(request.client_request_id)

    def _answer_health_check(self, head: Head) -> None:
        status, text = (200, b"ok") if self.owner.ready else (503, b"not ready")
        self.answer(status, b"" if head.method == "HEAD" else text)

    # ---- reading of a large body ----

    def pause_reading(self) -> bool:
        """Stop reading from the client; returns False if that is so already."""
        if self.input.paused or self.lost:
            return False
        self.input.pause(self.link)
        return True

    def resume_reading(self) -> None:
        """Continue reading from the client, if that was paused."""
        if self.input.paused and not self.lost:
            self.last_received_us = self.input.resume(self.link)

    def reject_body(self) -> None:
        """Reject the request that is arriving, and discard the rest of its body.

        A request behind a long rest would wait until that is read: the client is told to use another
        connection.
        """
        if self.answered_early or self.closing or self.lost:
            return
        if self.head is not None and self._rest_is_long(self.head):
            self._keep_alive = False
        self._upload = None
        self.answered_early = True
        self.owner.engine.counts["rejected_uploads"] += 1
        self.answer(503, b"refused", retry_after_us=self.owner.retry_after_us)
        self.resume_reading()

    def _rest_is_long(self, head: Head) -> bool:
        return head.length is None or head.length - self.body_bytes > MAX_BUFFERED_BODY

    def reject_incomplete(self) -> None:
        """Reject a request that is still arriving, as the process is about to end."""
        if self._request_id is None and self.head is not None:
            self.reject_body()

    # ---- answers ----

    def answer(
        self, status: int, body: bytes, close: bool = False, retry_after_us: int | None = None
    ) -> None:
        """Write one answer, then close the connection or read the next request.

        ``close`` forces a close that lingers, so that the client can read the answer.
        """
        if status in REFUSED:
            self.held_id.end()
        self._release_request()
        if self.lost:
            self._request_id = None
            return
        self.owner.used(self)
        keep_alive = self._stays_open() and not close
        self.unsent_bytes = len(body)
        send_now(self.link, answer_head(status, len(body), retry_after_us, keep_alive) + body)
        if not self.answered_early:
            self._answer_written(keep_alive, close)

    def fail_input(self, status: int, text: str, retry_after_us: int | None = None) -> None:
        """Answer input that cannot be processed, unless it is answered already, and close the connection."""
        if self.answered_early:
            self.answered_early = False
            self.close(CloseReason.BAD_REQUEST, linger=True)
        else:
            self.answer(status, text.encode(), close=True, retry_after_us=retry_after_us)

    def _stays_open(self) -> bool:
        # While clients are to leave, an answer ends its connection.  Requests that are buffered behind it are
        # answered first, as closing would lose them.
        sent_away = self.owner.leaving or (self.surplus and self.owner.over_limit)
        return self._keep_alive and not (sent_away and not self.input.is_pending)

    def _answer_written(self, keep_alive: bool, linger: bool) -> None:
        """The pending answer is complete: close, or read the next request."""
        self._request_id = None
        if not keep_alive:
            self.close(CloseReason.BAD_REQUEST if linger else CloseReason.LAST_ANSWER, linger=linger)
            return
        self.resume_reading()
        if self.input.is_pending:
            self.input.since_us = self.owner.clock.now_us()
            if not self._reading:
                self.owner.clock.call_later(0, self._read_next)

    def _read_next(self) -> None:
        if self._request_id is None and not self.lost:
            self._read()
            self.input.bound(not (self.closing or self.lost))

    def _release_request(self) -> None:
        request = self._request
        self._request = None
        self._stop_body_timer()
        if request is not None:
            if not self.output.full:
                self.owner.holders.remove(self)
            if self._upload is not None:
                self._upload.end()
                self._upload = None
            request.payload.release()

    # ---- streamed answers ----

    def start_stream(self, source: BodySource) -> BodySink | None:
        """Start a streamed answer; the next request is read after its end.  None if the client is lost."""
        if self.lost:
            return None
        self._release_request()
        self.owner.used(self)
        self._keep_alive = self._stays_open()
        chunked = source.length is None and not self._http_1_0
        if source.length is None and not chunked:
            self._keep_alive = False  # HTTP/1.0 has no chunks: the close marks the end
        stream = self._add_stream(source, chunked)
        self.link.write(stream_head(source.length, chunked, self._keep_alive))
        if self.output.full:
            source.pause()
        return stream

    def _add_stream(self, source: BodySource, chunked: bool) -> AnswerStream:
        self._request_id = 0
        self.stream = AnswerStream(self, source, chunked)
        return self.stream

    def stream_bytes_come(self, byte_count: int) -> None:
        """Note how much of a streamed answer is written next: its first part may be a whole buffered body."""
        self.unsent_bytes = byte_count
        if self.output.full:
            self.output.charge(byte_count, self)

    @property
    def stream_moved_at_us(self) -> int:
        """When a byte of the streamed answer was last written, or read by the client; 0 without one."""
        if self.stream is None:
            return 0
        return max(self.stream.written_at_us, self.output.sample(self.link))

    def reset_if_killed(self) -> None:
        """Let the end of the process reset the connection if only its close tells the end of the answer."""
        if self.stream is not None and self.stream.ends_by_close and not self._resets_if_killed:
            self._resets_if_killed = True
            reset_on_close(self.link, True)

    def _end_reset_if_killed(self) -> None:
        if self._resets_if_killed:
            self._resets_if_killed = False
            reset_on_close(self.link, False)

    def stream_finished(self) -> None:
        """The streamed answer is complete."""
        self.stream = None
        self._end_reset_if_killed()
        if not self.lost:
            self.owner.used(self)
            # Its head has told the client to go on: what it has sent behind the request is answered too.
            leaves = self.owner.closing and not self.input.is_pending
            self._answer_written(self._keep_alive and not leaves, False)

    def stream_failed(self) -> None:
        """Reset the connection: only that shows the client that its answer is incomplete."""
        self.stream = None
        if not self.lost:
            self.link.abortConnection()

    def hand_over_stream(self) -> ClientStreamState:
        """End the stream in this process and return the state from which another process continues it.

        The caller ends the hold of the request's id once it has sent that state.
        """
        assert self.stream is not None
        self._end_reset_if_killed()  # the option would stay with the descriptor
        state = ClientStreamState(
            self.stream.chunked,
            self._keep_alive,
            self.requests_received,
            self._http_1_0,
            self.input.parser.export_state(),
            self.input.truncated,
            self.input.export_arrivals(),
            unsent_output(self.link),
        )
        self.stream = None
        self.lost = True
        self.output.emptied(self)
        self.input.release()
        return state

    def take_over_stream(
        self, state: ClientStreamState, client_request_id: str, source: BodySource
    ) -> AnswerStream:
        """Continue a streamed answer of another process, to the request with this id."""
        self._keep_alive = state.keep_alive
        self._http_1_0 = state.http_1_0
        self.held_id.hold(client_request_id)
        self.requests_received = state.requests_received
        self.input.restore(state.parser, state.input_truncated, state.arrivals)
        return self._add_stream(source, state.chunked)

    # ---- closing ----

    def stop_reading(self) -> None:
        """Read nothing more; input that is not read makes the close a reset, after which a client retries."""
        if not self.lost:
            self.link.pauseProducing()

    def close(
        self, reason: CloseReason = CloseReason.IDLE, linger: bool = False, at_once: bool = False
    ) -> None:
        """Close the sending side, and discard further input up to MAX_DISCARDED_BYTES.

        The client may still be sending.  Closing both sides then resets the connection, and the client loses
        the part of the answer that is still in the kernel's buffers.  ``linger`` and ``at_once`` override the
        default, which closes both sides only while no further client can be accepted.
        """
        if self.closing or self.lost:
            return
        if self._request_id:
            self.owner.engine.closed_unanswered(self._request_id)
        self.owner.engine.counts[f"closed_{reason.value}"] += 1
        self.closing = True
        self.lingering = linger
        self.blocked_since_us = self.owner.clock.now_us()
        self.link.unregisterProducer()
        if linger or not (at_once or self.owner.held):
            self.link.loseWriteConnection()
        else:  # free the descriptor at once
            self.link.loseConnection()

    def close_unless_unread(self) -> None:
        """Close an idle connection, unless it has unread input."""
        if not (self.lost or unread(self.link)):
            self.close()
