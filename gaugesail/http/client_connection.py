"""One client connection: reads a request, waits for its one answer, writes it, reads on."""

from __future__ import annotations

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from ..buffers import Body, PoolEmpty
from ..client_admission import CloseReason
from ..core.ports import BodySink, BodySource, ClientRequest
from ..net import Connection, unread
from .answer_heads import CONTINUE, answer_head, stream_head
from .answer_stream import AnswerStream
from .client_input import ClientInput
from .client_limits import MAX_DISCARDED
from .client_owner import ClientOwner
from .client_reply import ClientReply
from .forwarded_request import origin_form
from .messages import MAX_BUFFERED_BODY, BadMessage, Data, Head
from .node_connection import READ_BYTES
from .stream_handover import ClientStreamState

HEALTH_PATH = "/_health"
METHODS = ("GET", "PUT")


class ClientConnection(Connection):
    """The source of a large body; each side's back-pressure goes through it."""

    length: int | None = None  # of the body that is passed on

    def __init__(self, owner: ClientOwner) -> None:
        self.owner = owner
        self.input = ClientInput(owner)
        self.head: Head | None = None  # of the request that is arriving
        self._request: ClientRequest | None = None  # that is arriving, or is owed its answer
        self._request_id: int | None = None  # the engine's; 0: answered there; None: no request in hand
        self._upload: BodySink | None = None  # where a large body goes
        self.stream: AnswerStream | None = None  # the large answer that is passed on
        self._keep_alive = True
        self._http_1_0 = False
        self._reading = False
        self.output_full = False  # the client does not read as fast as we write
        self._answered_early = False  # before its request was complete: the rest is read and thrown away
        self._discarded = 0  # bytes
        self.body_bytes = 0
        self.last_byte_us = 0  # when the latest byte came
        self.stuck_since_us = 0  # when the client stopped reading, or we began to close
        self.lingering = False
        self.closing = False
        self.lost = False
        self.opened_at_us = self.last_used_us = owner.clock.now_us()
        self.unread_bytes = 0  # that may wait in our buffer
        self.requests_received = 0
        self.surplus = False  # came when all places were in use: closed after its answer while that lasts

    @property
    def idle(self) -> bool:
        """Whether no request is arriving or in hand."""
        free = self._request_id is None and self.input.parser.between_messages
        return free and not (self.output_full or self.closing)

    @property
    def awaits_answer(self) -> bool:
        """Whether a request is in hand, and the next has to wait for its answer."""
        return self._request_id is not None

    @property
    def disconnected(self) -> bool:
        """Whether the client has gone: its end may lie behind much that it sent."""
        unread_input = self.input.paused or self.input.cut or self.input.excess > 0
        return self.gone(unread_input or self.stale(self.owner.clock))

    def connectionMade(self) -> None:
        """Set the socket up and count the client."""
        self.link.setTcpNoDelay(True)
        # With many clients, 64 KiB each would be the larger part of the memory.
        self.link.bufferSize = READ_BYTES
        self.link.registerProducer(self, True)
        self.owner.opened(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The client has gone, or we have closed the connection."""
        self.lost = True
        if self._request_id:
            self.owner.engine.client_disconnected(self._request_id)
        self._request_id = None
        if self.stream is not None:
            self.stream.source.stop()
            self.stream = None
        self._release_request()
        self.input.release()
        self.owner.closed(self)

    def dataReceived(self, data: bytes) -> None:
        """Take what has come; behind the end of what is served it is thrown away."""
        if self.closing or self.lost:
            self._discard(data)
            return
        if self.input.cut:
            return
        self.last_byte_us = self.owner.clock.now_us()
        self.input.feed(data, self.link, self.last_byte_us)
        if self._request_id is None:
            self._read()
        self.input.bound(not (self.closing or self.lost))

    def _discard(self, data: bytes) -> None:
        self._discarded += len(data)
        if self._discarded > MAX_DISCARDED:
            self.pause()

    def pauseProducing(self) -> None:
        """The client reads no faster."""
        self.output_full = True
        self.stuck_since_us = self.owner.clock.now_us()
        self.owner.output_full(self)
        if self.stream is not None:
            self.stream.source.pause()

    def resumeProducing(self) -> None:
        """The client reads on."""
        self.output_full = False
        self.owner.output_emptied(self)
        if self.stream is not None:
            self.stream.source.resume()
        else:
            self._read_next()

    def stopProducing(self) -> None:
        """The connection is lost, which ``connectionLost`` hears too."""
        self.output_full = False
        self.owner.output_emptied(self)

    # ---- requests ----

    def _read(self) -> None:
        """Take complete requests out of what has arrived, until one has to wait for its answer."""
        if self._reading:
            return
        self._reading = True
        engine, retry_after_us = self.owner.engine, self.owner.retry_after_us
        try:
            self._read_requests()
            if self.input.cut and self._reads_on():
                engine.counts["pipelined_too_much"] += 1
                self.fail_input(429, "too much at once", retry_after_us)
        except BadMessage as error:
            engine.counts["bad_request"] += 1
            self.fail_input(error.status, str(error))
        except PoolEmpty:
            engine.counts["no_buffers"] += 1
            self.fail_input(503, "no memory", retry_after_us)
        except Exception as error:  # a fault of ours: Twisted would drop the connection without an answer
            self.owner.raised(error)
            self.fail_input(500, "internal fault")
        finally:
            self._reading = False

    def _reads_on(self) -> bool:
        return self._request_id is None and not (self.output_full or self.closing or self.lost)

    def _read_requests(self) -> None:
        while self._reads_on():
            before = self.input.parser.buffered
            for part in self.input.parser.parts():
                if isinstance(part, Head):
                    self._head_received(part)
                elif isinstance(part, Data):
                    self._body_received(part.data)
                else:
                    self._request_complete()
            if self.input.parser.buffered in (before, 0):
                return

    def _head_received(self, head: Head) -> None:
        self.head = head
        self._keep_alive = head.keep_alive
        self._http_1_0 = head.http_1_0
        self.input.since_us = self.owner.clock.now_us()
        self.body_bytes = 0
        head.target = origin_form(head.target)
        if head.target != HEALTH_PATH:
            if head.method not in METHODS:
                raise BadMessage("the method is neither GET nor PUT", 405)
            self._request = self.owner.reader.read(head, Body(self.owner.pool))
        expects = head.headers.get("expect", "").lower()
        if expects not in ("", "100-continue"):
            raise BadMessage("an expectation that is not known", 417)
        if expects and head.length != 0 and not head.http_1_0:
            self.link.write(CONTINUE)

    def _body_received(self, data: bytes) -> None:
        request = self._request
        self.body_bytes += len(data)
        if self._upload is not None:
            self._upload.write(data)
        elif request is not None and not self._answered_early:
            request.payload.body.append(data)
            if self.body_bytes > MAX_BUFFERED_BODY and self.head is not None:
                # Too large to hold: it is written to its node while it comes.
                self.length = self.head.length
                self._upload = self.owner.engine.stage_upload(request, self)
                if self._upload is None:
                    self.stop()

    def _request_complete(self) -> None:
        head, request, upload = self.head, self._request, self._upload
        self.head = self._upload = None
        if head is None:
            return
        self.requests_received += 1
        if self._answered_early:
            self._answered_early = False
            if not self._keep_alive or self.owner.leaving:
                self.close(CloseReason.LAST_ANSWER)
            return
        if request is None:
            self._answer_health_check(head)
            return
        if upload is not None:
            upload.finish()
            self.resume()  # it is complete: from here on nobody pauses it, and its client's end is seen
        self._request_id = 0
        self._request_id = self.owner.engine.submit(request, ClientReply(self), self.input.last_read_us())

    def _answer_health_check(self, head: Head) -> None:
        status, text = (200, b"ok") if self.owner.ready else (503, b"not ready")
        self.answer(status, b"" if head.method == "HEAD" else text)

    # ---- the source of a large body ----

    def pause(self) -> None:
        """The node takes no more of the body for now."""
        if not self.input.paused and not self.lost:
            self.input.pause(self.link)

    def resume(self) -> None:
        """Read on."""
        if self.input.paused and not self.lost:
            self.last_byte_us = self.input.resume(self.link)

    def stop(self) -> None:
        """The body can go nowhere: it is rejected at once, and what still comes of it is thrown away."""
        if self._answered_early or self.closing or self.lost:
            return
        self._upload = None
        self._answered_early = True
        self.owner.engine.counts["rejected_uploads"] += 1
        self.answer(503, b"refused", retry_after_us=self.owner.retry_after_us)
        self.resume()

    def reject_incomplete(self) -> None:
        """No time is left for a request that is still arriving."""
        if self._request_id is None and self.head is not None:
            self.stop()

    # ---- answers ----

    def answer(
        self, status: int, body: bytes, close: bool = False, retry_after_us: int | None = None
    ) -> None:
        """Write one answer; the connection is free again after it, or closes."""
        self._release_request()
        if self.lost:
            self._request_id = None
            return
        self.owner.used(self)
        keep_alive = self._stays_open() and not close
        self.unread_bytes = len(body)
        self.link.write(answer_head(status, len(body), retry_after_us, keep_alive) + body)
        if not self._answered_early:
            self._answer_written(keep_alive, close)

    def fail_input(self, status: int, text: str, retry_after_us: int | None = None) -> None:
        """What came can't be taken: answer, unless there is an answer already, and end the connection."""
        if self._answered_early:
            self._answered_early = False
            self.close(CloseReason.BAD_REQUEST, linger=True)
        else:
            self.answer(status, text.encode(), close=True, retry_after_us=retry_after_us)

    def _stays_open(self) -> bool:
        # Where clients are sent away, an answer ends its connection; not before what has come behind it has
        # its own, as that would be lost with the connection.
        sent_away = self.owner.leaving or (self.surplus and self.owner.over_limit)
        return self._keep_alive and not (sent_away and not self.input.parser.buffered)

    def _answer_written(self, keep_alive: bool, linger: bool) -> None:
        """The request in hand has its complete answer."""
        self._request_id = None
        if not keep_alive:
            self.close(CloseReason.BAD_REQUEST if linger else CloseReason.LAST_ANSWER, linger=linger)
            return
        self.resume()
        if self.input.parser.buffered or self.input.cut:
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
        if request is not None:
            request.payload.release()

    # ---- large answers ----

    def start_stream(self, source: BodySource) -> BodySink | None:
        """Begin an answer that is passed on while it comes; until its end nothing else is served."""
        if self.lost:
            return None
        self._release_request()
        self.owner.used(self)
        self._keep_alive = self._stays_open()
        chunked = source.length is None and not self._http_1_0
        if source.length is None and not chunked:
            self._keep_alive = False  # for a client that knows no chunks the end is the connection's
        stream = self._add_stream(source, chunked)
        self.link.write(stream_head(source.length, chunked, self._keep_alive))
        if self.output_full:
            source.pause()
        return stream

    def _add_stream(self, source: BodySource, chunked: bool) -> AnswerStream:
        self._request_id = 0
        self.unread_bytes = READ_BYTES
        self.stream = AnswerStream(self, source, chunked)
        return self.stream

    def stream_finished(self) -> None:
        """A large answer is complete."""
        self.stream = None
        if not self.lost:
            self.owner.used(self)
            self._answer_written(self._keep_alive and not self.owner.closing, False)

    def stream_failed(self) -> None:
        """A large answer can't be finished, or half an answer may be written: only a reset tells."""
        self.stream = None
        if not self.lost:
            self.link.abortConnection()

    def hand_over_stream(self) -> ClientStreamState:
        """End a large answer here, and return what another process needs to go on with it."""
        assert self.stream is not None
        state = ClientStreamState(
            self.stream.chunked,
            self._keep_alive,
            self.requests_received,
            self._http_1_0,
            self.input.parser.export_state(),
        )
        self.stream = None
        self.lost = True
        self.owner.output_emptied(self)
        return state

    def take_over_stream(self, state: ClientStreamState, source: BodySource) -> BodySink:
        """Go on with a large answer where another process ended."""
        self._keep_alive = state.keep_alive
        self._http_1_0 = state.http_1_0
        self.requests_received = state.requests_received
        self.input.parser.restore_state(state.parser)
        return self._add_stream(source, state.chunked)

    # ---- closing ----

    def close(
        self, reason: CloseReason = CloseReason.IDLE, linger: bool = False, at_once: bool = False
    ) -> None:
        """End our side, and throw away within bounds what still comes.

        The client may be sending still: closing at once would reset the connection, and with it what our
        kernel still has of the answer.
        """
        if self.closing or self.lost:
            return
        if self._request_id:
            self.owner.engine.closed_unanswered(self._request_id)
        self.owner.engine.counts[f"closed_{reason.value}"] += 1
        self.closing = True
        self.lingering = linger
        self.stuck_since_us = self.owner.clock.now_us()
        self.link.unregisterProducer()
        if linger or not (at_once or self.owner.held):
            self.link.loseWriteConnection()
        else:  # where places are short
            self.link.loseConnection()

    def close_unless_unread(self) -> None:
        """Close it as it is idle, unless something has come that was not read yet."""
        if not (self.lost or unread(self.link)):
            self.close()
