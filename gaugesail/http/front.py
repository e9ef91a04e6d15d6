"""The clients' side of the platform's protocol: an object for each connection, one request at a time."""

from __future__ import annotations

import re
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from gaugesail.policy.settings import Settings

from ..buffers import Body, BufferPool, PoolEmpty
from ..core.engine import Engine
from ..core.ports import BodySink, BodySource, ClientRequest, Clock, FailureReason, Logger
from ..door import CloseReason, Door
from ..net import Connection, Emptied, unread, waited_us
from .messages import MAX_BUFFERED_BODY, BadMessage, Data, Head
from .node_connection import READ_BYTES
from .parser import Parser

HEALTH_PATH = "/_health"
METHODS = ("GET", "PUT")
HEAD_US = 2_500_000  # how long a head may take to arrive, and a new connection to send its first
BODY_US, BODY_RATE = 2_500_000, 16 * 1024  # a body: so long after a byte, and a second more for so many
UNREAD_US = 60_000_000  # a client that has read nothing for so long has gone
SLOW_US = 5_000_000  # and after this long it may be cut off where memory is short
RESTED_US = 2_000_000  # an idle connection may be closed for another after this long
SILENT_US = 250_000  # and one that has never sent a byte after this long: clients open one to ask at once
LINGER_US = 1_000_000  # after an error: until then the client may read it, whatever it still sends
MAX_DISCARDED = 256 * 1024  # of what it still sends
MAX_PIPELINED = 16 * 1024  # input beyond the request in hand that each client may always have here
MAX_AHEAD, AHEAD_SHARE = 256 * 1024, 8  # and at most; all together: a part of what buffers may hold
MARK_US, MOST_MARKS = 5_000, 64  # how finely the times are kept at which pipelined input came
LEAST_BESIDE = 16  # places for clients beside another process, whatever it still holds
LATEST = 2  # times its class's deadline: more than a client may ask for
REASONS = {
    200: "OK", 400: "Bad Request", 405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict",
    413: "Content Too Large", 417: "Expectation Failed", 429: "Too Many Requests",
    431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
    503: "Service Unavailable", 504: "Gateway Timeout", 505: "HTTP Version Not Supported",
}  # fmt: skip
# Fields of the one connection (RFC 9110 7.6.1), or that the head writes itself; all others are passed on, as
# an Idempotency-Key, say, is the brick's to read.
NOT_PASSED = frozenset({
    "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
    "trailer", "transfer-encoding", "upgrade", "http2-settings", "expect", "content-length", "host",
    "request-id", "request-timeout-ms",
})  # fmt: skip
_HEX16 = re.compile(r"[0-9a-fA-F]{1,16}\Z")
_BLOCK = re.compile(r"(?:^|;\s*)block=([^;]*)")
_NUMBER = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?\Z")
_WHOLE = re.compile(r"-?[0-9]{1,9}\Z")
_ORIGIN = re.compile(r"https?://[^/?#]*", re.IGNORECASE)


@dataclass(slots=True)
class Exchange:
    """What a brick is sent of a client's request; the payload of its order."""

    method: str
    target: str
    request_id: str
    body: Body
    fields: tuple[str, ...] = ()  # what else the client said, to be passed on as it is
    staged: Any = None  # the transport's own: a large body on its way to a brick

    def head(self, host: str, left_us: int, length: int | None) -> bytes:
        """The head for a brick; without a length the body goes in chunks."""
        lines = [
            f"{self.method} {self.target} HTTP/1.1", f"Host: {host}", f"Request-Id: {self.request_id}",
            f"Request-Timeout-Ms: {max(1, left_us // 1000)}", *self.fields,
        ]  # fmt: skip
        if length is None:
            lines.append("Transfer-Encoding: chunked")
        elif length or self.method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {length}")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"

    def release(self) -> None:
        """The request has its answer: what is held of it goes, and what has not run never will."""
        self.body.release()
        if self.staged is not None:
            self.staged.fail()


def passed_on(headers: dict[str, str]) -> tuple[str, ...]:
    """The lines of the fields that go on to a brick, whoever they are for."""
    named = headers.get("connection", "").lower().replace(" ", "").split(",")
    return tuple(
        f"{name}: {value}" for name, value in headers.items() if name not in NOT_PASSED and name not in named
    )


def origin_form(target: str) -> str:
    """A target as a brick takes it: clients may send it with scheme and host before, RFC 9112 3.2.2."""
    match = _ORIGIN.match(target)
    if match is None:
        return target
    rest = target[match.end() :]
    return rest if rest.startswith("/") else "/" + rest


class OrderReader:
    """Reads a request's headers into an order, by the names in the settings and within their bounds.

    What a client writes goes into books that it shares with others: no figure is taken beyond what the
    settings allow.
    """

    def __init__(self, settings: Settings) -> None:
        self._set = settings
        self._kinds = {spec.name: n for n, spec in enumerate(settings.classes)}
        self._plans = {plan.name: n for n, plan in enumerate(settings.plans)}
        self._deadlines = [spec.deadline_us for spec in settings.classes]

    def read(self, head: Head, body: Body) -> ClientRequest:
        """The order; BadMessage names the header that is missing or cannot be read."""
        headers = head.headers
        name = headers.get("request-id", "")
        kind = self._kinds.get(headers.get("request-class", ""))
        plan = self._plans.get(headers.get("x-plan", ""))
        if not name or len(name) > 200:
            raise BadMessage("Request-Id is missing or too long")
        if kind is None:
            raise BadMessage("Request-Class is missing or unknown")
        if plan is None:
            raise BadMessage("X-Plan is missing or unknown")
        extras = dict(part.strip().partition("=")[::2] for part in headers.get("x-io", "").split(","))
        units, hosts, shard = extras.get("units", ""), extras.get("hosts", "1"), extras.get("shard", "")
        volume, block = extras.get("volume", ""), _BLOCK.search(headers.get("cookie", ""))
        if not (_NUMBER.match(units) and _NUMBER.match(hosts) and _WHOLE.match(shard)):
            raise BadMessage("X-IO is missing or malformed")
        if not _HEX16.match(volume) or (block and not _HEX16.match(block[1])):
            raise BadMessage("the volume or the block is no hex number")
        timeout = headers.get("request-timeout-ms")
        if timeout is not None and not (timeout.isascii() and timeout.isdigit() and len(timeout) <= 9):
            raise BadMessage("Request-Timeout-Ms is no whole number")
        # Clients that write slowly may ask for a little more than the class's time.
        time_us = self._deadlines[kind] if timeout is None else int(timeout) * 1000
        if time_us > self._deadlines[kind] * LATEST:
            raise BadMessage("Request-Timeout-Ms is beyond the class's")
        if not 0 < float(units) <= self._set.max_request_units or float(hosts) > self._set.gateway_count:
            raise BadMessage("units or hosts are beyond the settings'")
        if int(shard) < -1 or (self._set.shard_count and int(shard) >= self._set.shard_count):
            raise BadMessage("there is no such shard")
        return ClientRequest(
            name,
            self._set,
            kind,
            time_us,
            Exchange(head.method, head.target, name, body, passed_on(headers)),
            int(shard),
            plan,
            float(units),
            int(block[1], 16) if block else 0,
            int(volume, 16),
            max(1.0, float(hosts)),
            headers.get("client-retry") == "1",
        )


class ClientConnection(Connection):
    """One client connection: reads a request, waits for its one answer, writes it, reads on.

    For a large body it is the source, for a large answer the sink; each side's back-pressure goes through it.
    """

    length: int | None = None  # of the body that is being passed on

    def __init__(self, front: ClientFront) -> None:
        self._front = front
        self._parser = Parser(answers=False)
        self._head: Head | None = None
        self._order: ClientRequest | None = None  # the one that is being received, or is owed its answer
        self._up: BodySink | None = None  # where a large body goes
        self._source: BodySource | None = None  # where a large answer comes from
        self._chunked = False
        self._ticket: int | None = None  # of the request in hand; 0 where the engine took none, or is done
        self._keep, self._old = True, False
        self._paused = self._full = self.closing = self._reading = self._lingering = False
        self._moving = False  # to another process
        self._answered = False  # before its request was whole: the rest is read and thrown away
        self._discarded = 0
        self._ahead = 0  # bytes of input beyond MAX_PIPELINED
        self._cut = False  # it sent more than it may: the rest is thrown away
        self._paused_at = 0
        self._since = 0  # when the part of a request that is now arriving began, or came to its turn
        self._got = 0  # bytes of its body
        self.heard_us = 0  # when the latest byte came
        self._marks: deque[tuple[int, int]] = deque()  # how much had come, and when
        self._stuck_since = 0  # when the client stopped reading, or we began to close
        self.lost = False
        self.opened_at = self.last_used = front.clock.now_us()
        self.unread = 0  # bytes that may wait in our buffer
        self.asked = 0  # whole requests that came by it
        self.surplus = False  # came when all places were in use: closed after its answer while that lasts

    @property
    def streams(self) -> bool:
        return self._source is not None

    @property
    def stuck_us(self) -> int:
        """For how long it has read nothing."""
        return self._front.clock.now_us() - self._stuck_since if self._full else 0

    @property
    def idle(self) -> bool:
        return self._ticket is None and self._parser.between_messages and not (self._full or self.closing)

    def connectionMade(self) -> None:
        self.link.setTcpNoDelay(True)
        # With many clients, 64 KiB each would be the larger part of the memory.
        self.link.bufferSize = READ_BYTES
        self.link.registerProducer(self, True)
        self._front.opened(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.lost = True
        if self._ticket:
            self._front.engine.client_disconnected(self._ticket)
        self._ticket = None
        if self._source is not None:
            self._source.stop()
            self._source = None
        self._drop_order()
        self._front.ahead -= self._ahead
        self._ahead = 0
        self._front.closed(self)

    def dataReceived(self, data: bytes) -> None:
        if self.closing or self.lost:
            self._discarded += len(data)
            if self._discarded > MAX_DISCARDED and not self._paused and not self.lost:
                self._pause(True)
            return
        if self._cut:
            return
        now = self.heard_us = self._front.clock.now_us()
        came = now - waited_us(self.link, self._front.clock)
        if self._parser.between_messages:
            self._since = now
        self._parser.feed(data)
        while self._marks and self._marks[0][0] <= self._parser.bytes_read:
            self._marks.popleft()
        if self._marks and (came - self._marks[-1][1] < MARK_US or len(self._marks) >= MOST_MARKS):
            self._marks[-1] = self._parser.bytes_fed, came
        else:
            self._marks.append((self._parser.bytes_fed, came))
        if self._ticket is None:
            self._read()
        self._hold()

    def _hold(self) -> None:
        """Bound what waits behind the request in hand.  Reading goes on, as the client's end is seen behind
        all that it has sent: what is too much is thrown away, and the connection ends where that begins."""
        ahead = 0 if self.closing or self.lost else max(0, self._parser.buffered - MAX_PIPELINED)
        self._front.ahead += ahead - self._ahead
        self._ahead = ahead
        if ahead and (ahead > MAX_AHEAD or self._front.ahead > self._front.most_ahead):
            self._cut = True

    @property
    def left(self) -> bool:
        """The client has gone: its end may lie behind much that it sent."""
        return self.gone(self._paused or self._cut or self._ahead > 0 or self.stale(self._front.clock))

    def _pause(self, on: bool) -> None:
        now = self._front.clock.now_us()
        if on:
            self._paused_at = now
        else:
            self._since += now - self._paused_at  # what we make a client wait is not its time
            self.heard_us = now
        self._paused = on
        (self.link.pauseProducing if on else self.link.resumeProducing)()

    def _came(self) -> int:
        """When the last byte came of what has been read: a request's time runs from there, whenever its turn
        comes."""
        taken, at = self._parser.bytes_read, self._front.clock.now_us()
        while self._marks:
            at = self._marks[0][1]
            if self._marks[0][0] >= taken:
                break
            self._marks.popleft()
        return at

    # -- the transport tells us how the client reads --

    def pauseProducing(self) -> None:
        self._full, self._stuck_since = True, self._front.clock.now_us()
        self._front.filled(self)
        if self._source is not None:
            self._source.pause()

    def resumeProducing(self) -> None:
        self._full = False
        self._front.emptied(self)
        if self._source is not None:
            self._source.resume()
        elif self._ticket is None and not self.lost:
            self._read()
            self._hold()

    def stopProducing(self) -> None:
        self._full = False
        self._front.emptied(self)

    # -- requests --

    def _read(self) -> None:
        """Take whole requests out of what has arrived, until one has to wait for its answer."""
        if self._reading:
            return
        self._reading = True
        try:
            while self._ticket is None and not (self._full or self.closing or self.lost):
                before = self._parser.buffered
                for part in self._parser.parts():
                    if isinstance(part, Head):
                        self._headed(part)
                    elif isinstance(part, Data):
                        self._more(part.data)
                    else:
                        self._whole()
                if self._parser.buffered in (before, 0):
                    break
            if self._cut and self._ticket is None and not (self._full or self.closing or self.lost):
                self._front.engine.counts["pipelined_too_much"] += 1
                self._fail(429, "too much at once", self._front.hold_off_us)
        except BadMessage as error:
            self._front.engine.counts["bad_request"] += 1
            self._fail(error.status, str(error))
        except PoolEmpty:
            self._front.engine.counts["no_buffers"] += 1
            self._fail(503, "no memory", self._front.hold_off_us)
        except Exception as error:  # a fault of ours: Twisted would drop the connection without an answer
            self._front.raised(error)
            self._fail(500, "internal fault")
        finally:
            self._reading = False

    def _headed(self, head: Head) -> None:
        self._head, self._keep, self._old = head, head.keep_alive, head.http_1_0
        self._since, self._got = self._front.clock.now_us(), 0
        head.target = origin_form(head.target)
        if head.target != HEALTH_PATH:
            if head.method not in METHODS:
                raise BadMessage("the method is neither GET nor PUT", 405)
            self._order = self._front.reader.read(head, Body(self._front.pool))
        expects = head.headers.get("expect", "").lower()
        if expects not in ("", "100-continue"):
            raise BadMessage("an expectation that is not known", 417)
        if expects and head.length != 0 and not head.http_1_0:
            self.link.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _more(self, data: bytes) -> None:
        order = self._order
        self._got += len(data)
        if self._up is not None:
            self._up.write(data)
        elif order is not None and not self._answered:
            order.payload.body.append(data)
            if self._got > MAX_BUFFERED_BODY and self._head is not None:
                # Too large to hold: it is written to its brick as it comes.
                self.length = self._head.length
                self._up = self._front.engine.stage_upload(order, self)
                if self._up is None:
                    self.stop()

    def pause(self) -> None:
        """The brick takes no more of the body for now."""
        if not self._paused and not self.lost:
            self._pause(True)

    def resume(self) -> None:
        if self._paused and not self.lost:
            self._pause(False)

    def stop(self) -> None:
        """The body can go nowhere: it is refused at once, and what still comes of it is thrown away."""
        if self._answered or self.closing or self.lost:
            return
        self._up, self._answered = None, True
        self._front.engine.counts["refused_coming"] += 1
        self.answer(503, b"refused", hold_off_us=self._front.hold_off_us)
        self.resume()

    def _whole(self) -> None:
        head, order, up = self._head, self._order, self._up
        self._head = self._up = None
        if head is None:
            return
        self.asked += 1
        if self._answered:
            self._answered = False
            if not self._keep or self._front.leaving:
                self.close(CloseReason.LAST_ANSWER)
            return
        if order is None:
            ready = self._front.ready
            text = b"ok" if ready else b"not ready"
            self.answer(200 if ready else 503, b"" if head.method == "HEAD" else text)
            return
        if up is not None:
            up.finish()
            self.resume()  # it has come whole: from here on nobody pauses it, and its client's end is seen
        self._ticket = 0
        self._ticket = self._front.engine.submit(order, ClientReply(self), self._came())

    # -- answers --

    def answer(self, status: int, body: bytes, close: bool = False, hold_off_us: int | None = None) -> None:
        """Write one answer; the connection is free again after it, or closes."""
        self._drop_order()
        if self.lost:
            self._ticket = None
            return
        self._front.used(self)
        keep = self._keeps() and not close
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", f"Content-Length: {len(body)}"]
        if hold_off_us:
            lines.append(f"Retry-After: {hold_off_us / 1e6:.3f}")
        if not keep:
            lines.append("Connection: close")
        self.unread = len(body)
        self.link.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        if not self._answered:
            self._free(keep, close)

    def _fail(self, status: int, text: str, hold_off_us: int | None = None) -> None:
        """What came can't be taken: the answer, unless it has one, and the end of the connection."""
        if self._answered:
            self._answered = False
            self.close(CloseReason.BAD_REQUEST, linger=True)
        else:
            self.answer(status, text.encode(), close=True, hold_off_us=hold_off_us)

    def _keeps(self) -> bool:
        # Where clients are sent away, an answer ends its connection; not before what has come behind it has
        # its own, as that would be lost with the connection.
        away = self._front.leaving or (self.surplus and self._front.over)
        return self._keep and not (away and not self._parser.buffered)

    def _free(self, keep: bool, linger: bool) -> None:
        """The request in hand has its whole answer."""
        self._ticket = None
        if not keep:
            self.close(CloseReason.BAD_REQUEST if linger else CloseReason.LAST_ANSWER, linger=linger)
            return
        if self._paused:
            self._pause(False)
        if self._parser.buffered or self._cut:
            self._since = self._front.clock.now_us()
            if not self._reading:
                self._front.clock.call_later(0, self._next)

    def _next(self) -> None:
        if self._ticket is None:
            self._read()
            self._hold()

    def begins(self, source: BodySource) -> BodySink | None:
        """An answer that is passed on as it comes.  Until its end the connection takes nothing else."""
        if self.lost:
            return None
        self._drop_order()
        self._ticket, self._source = 0, source
        self._front.used(self)
        self._keep = self._keeps()
        self._chunked = source.length is None and not self._old
        lines = ["HTTP/1.1 200 OK"]
        if source.length is not None:
            lines.append(f"Content-Length: {source.length}")
        elif self._chunked:
            lines.append("Transfer-Encoding: chunked")
        else:
            self._keep = False  # for a client that knows no chunks the end is the connection's
        if not self._keep:
            lines.append("Connection: close")
        self.unread = READ_BYTES
        self.link.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        if self._full:
            source.pause()
        return self

    def end(self) -> None:
        """No time is left for a request that is still coming."""
        if self._ticket is None and self._head is not None:
            self.stop()

    def move(self, moved: Callable[[ClientConnection, Any], None]) -> None:
        """Another process is to pass the rest on: once what is written has left our buffer, it may."""
        if self._moving or self.lost or self._source is None:
            return
        self._moving = True
        self._source.pause()
        self.link.unregisterProducer()

        def emptied() -> None:
            if not self.lost and self._source is not None:
                moved(self, self._source)

        Emptied(self.link, emptied)

    def leave(self) -> dict[str, Any]:
        told = {"chunked": self._chunked, "keep": self._keep, "asked": self.asked, "old": self._old,
                "parser": self._parser.export_state()}  # fmt: skip
        self._source, self.lost = None, True
        self._front.emptied(self)
        return told

    def stay(self) -> None:
        """There is no other process any more."""
        self._moving = False
        self.link.registerProducer(self, True)
        if self._source is not None:
            self._source.resume()

    def enter(self, told: dict[str, Any], source: BodySource) -> None:
        """Go on with an answer where another process left it."""
        self._ticket, self._source, self._chunked = 0, source, told["chunked"] is True
        self._keep, self._old, self.asked = told["keep"] is True, told["old"] is True, int(told["asked"])
        self._parser.restore_state(told["parser"])
        self.unread = READ_BYTES

    def write(self, data: bytes) -> None:
        if not self.lost and data:
            self.link.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def finish(self) -> None:
        self._source = None
        if self.lost:
            return
        if self._chunked:
            self.link.write(b"0\r\n\r\n")
        self._front.used(self)
        self._free(self._keep and not self._front.closing, False)

    def fail(self) -> None:
        """The answer can't be finished: a reset tells the client that it is not whole."""
        self._source = None
        if not self.lost:
            self.link.abortConnection()

    def _drop_order(self) -> None:
        order, self._order = self._order, None
        if order is not None:
            order.payload.release()

    # -- closing --

    def close(self, why: CloseReason = CloseReason.IDLE, linger: bool = False, at_once: bool = False) -> None:
        """The client may be sending still: closing at once would reset the connection, and with it what our
        kernel still has of the answer.  So our side ends, and what comes is thrown away, within bounds."""
        if self.closing or self.lost:
            return
        if self._ticket:
            self._front.engine.closed_unanswered(self._ticket)
        self._front.engine.counts[f"closed_{why.value}"] += 1
        self.closing, self._lingering = True, linger
        self._stuck_since = self._front.clock.now_us()
        self.link.unregisterProducer()
        if linger or not (at_once or self._front.held):
            self.link.loseWriteConnection()
        else:  # where places are short
            self.link.loseConnection()

    def dismiss(self) -> None:
        """Close it as it is idle, unless something has come that was not read yet."""
        if not (self.lost or unread(self.link)):
            self.close()

    def sweep(self, now: int) -> None:
        """Ends what takes too long: a request that never becomes whole, a client that reads nothing."""
        if self._full or self.closing:
            stuck = now - self._stuck_since
            if stuck > (LINGER_US if self._lingering else UNREAD_US):
                self._front.engine.counts["unread"] += not self._lingering
                self.link.abortConnection()
            elif self.closing and stuck > (SLOW_US if self._full else LINGER_US):  # its client does not close
                self.link.loseConnection()
        elif self._paused and self.left:
            pass  # nobody reads it, and it has gone
        elif self._ticket is None and not self._parser.between_messages:
            if not self._paused and now > self._due():
                self._front.engine.counts["half_sent"] += 1
                self._fail(408, "the request took too long to arrive")
        elif not self.asked and self._ticket is None and now - self.opened_at > HEAD_US:
            self._front.engine.counts["silent"] += 1
            self.close(CloseReason.SILENT, at_once=True)

    def _due(self) -> int:
        """Until when more of the request that is arriving must come."""
        if self._head is not None:
            # Slowly is well, and so is a pause; silence is not.
            return min(self.heard_us, self._since + self._got * 1_000_000 // BODY_RATE) + BODY_US
        # A first request that trickles in is owed its error by the time that a silent one is.
        return (self._since if self.asked else self.opened_at) + HEAD_US

    def may_go(self, now: int) -> int:
        """How readily it is closed for another: 0 not at all, 3 first.

        The first request on a connection that the head closes has failed, so that one that clients use again
        and again goes last, and none goes that has just been used.
        """
        rested = now - self.last_used
        if not self.idle or rested < (RESTED_US if self.asked else SILENT_US):
            return 0
        return 1 if self.asked > 1 else 2 if self.asked else 3


class ClientReply:
    """The one final answer of a request, on the connection that it came by."""

    __slots__ = ("_connection",)

    def __init__(self, connection: ClientConnection) -> None:
        self._connection: ClientConnection | None = connection

    def _take(self) -> ClientConnection:
        connection, self._connection = self._connection, None
        if connection is None:
            raise RuntimeError("a second final answer")
        return connection

    def start_stream(self, source: BodySource) -> BodySink | None:
        connection = self._take()
        try:
            return connection.begins(source)
        except Exception:  # half an answer may be written: only the end of the connection is safe
            connection.fail()
            raise

    def send_answer(self, answer: Any) -> None:
        self._take().answer(200, answer)

    def reject(self, retry_after_us: int) -> None:
        connection = self._take()
        connection.answer(503, b"refused", hold_off_us=retry_after_us or connection._front.hold_off_us)

    def client_disconnected(self) -> bool:
        return self._connection is not None and self._connection.left

    def fail(self, reason: FailureReason) -> None:
        status = {FailureReason.OUT_OF_TIME: 504, FailureReason.ID_IN_USE: 409}.get(reason, 500)
        self._take().answer(status, reason.value.encode())


class ClientFront(Door):
    """Accepts clients, within its part of the sockets."""

    def __init__(
        self,
        engine: Engine,
        settings: Settings,
        clock: Clock,
        pool: BufferPool,
        log: Logger,
        max_connections: int,
        overflow: int,
        on_idle: Callable[[], None],
    ) -> None:
        super().__init__(engine, clock, on_idle)
        self.pool, self._log = pool, log
        self.retune(settings)
        self.limit(max_connections, overflow)
        self._open: OrderedDict[ClientConnection, None] = OrderedDict()
        self._slow: OrderedDict[ClientConnection, int] = OrderedDict()  # bytes that wait to be read
        self.ahead = 0  # bytes of input that clients have sent beyond their part

    @property
    def most_ahead(self) -> int:
        return self.pool.limit * self.pool.size // AHEAD_SHARE

    def retune(self, settings: Settings) -> None:
        self.reader = OrderReader(settings)
        self.hold_off_us = settings.longest_retry_after_us

    def limit(self, connections: int, overflow: int) -> None:
        """How many clients may be here; beside another process it is half."""
        self._part, self._overflow = connections, overflow
        self._places(connections)

    def limit_beside(self, clients: int) -> None:
        # What the other leaves of both parts is ours.  To have a mere half would starve the usual clients in
        # a flood, of which the other still holds the most.
        self._places(max(LEAST_BESIDE, 2 * self._part - clients))

    def _places(self, connections: int) -> None:
        self._max, self._most = connections, connections + self._overflow
        if self.held and self.room > 0:
            self.hold(False)

    def end(self) -> None:
        for connection in list(self._open):
            connection.end()

    def supersede(self, on: bool) -> None:
        super().supersede(on)
        now = self.clock.now_us()
        if on and len(self._open) > self._part:
            # More than its part, so that the next process is short of places: what nobody misses goes now.
            for connection in list(self._open):
                if connection.may_go(now) > 1:
                    connection.dismiss()

    def sendable(self) -> list[ClientConnection]:
        now = self.clock.now_us()
        # One that has just come is about to ask.
        idle = [c for c in self._open if c.idle and (c.asked or now - c.opened_at > SILENT_US)]
        return [c for c in idle if not unread(c.link)]

    @property
    def connections(self) -> int:
        return len(self._open)

    @property
    def streams(self) -> list[ClientConnection]:
        """Those with a large answer in mid air."""
        return [connection for connection in self._open if connection.streams]

    def buildProtocol(self, addr: Any) -> ClientConnection:
        return ClientConnection(self)

    @property
    def room(self) -> int:
        return self._most - len(self._open)

    @property
    def over(self) -> bool:
        return len(self._open) > self._max

    def opened(self, connection: ClientConnection) -> None:
        self._open[connection] = None
        if self.over:
            self.engine.counts["client_limit"] += 1
            connection.surplus = not self._relieve()
        if len(self._open) >= self._most and self.port is not None and not self.held:
            self.hold(True)

    def _relieve(self) -> bool:
        """Close one connection that nobody is likely to miss, the longest idle of the readiest kind."""
        now, best, victim = self.clock.now_us(), 0, None
        for connection in self._open:
            if (ready := connection.may_go(now)) > best and not unread(connection.link):
                best, victim = ready, connection
                if best == 3:
                    break
        if victim is not None:
            victim.close(CloseReason.MADE_ROOM, at_once=True)
        return victim is not None

    def used(self, connection: ClientConnection) -> None:
        """Keeps the connections in the order in which they were last used."""
        if connection in self._open:
            connection.last_used = self.clock.now_us()
            self._open.move_to_end(connection)

    def closed(self, connection: ClientConnection) -> None:
        self._open.pop(connection, None)
        if self.held and len(self._open) < self._most:
            self.hold(False)
        if self.closing and not self._open:
            self.on_idle()

    def filled(self, connection: ClientConnection) -> None:
        """A client does not read as fast as its answer comes, which ends nothing by itself.  Together such
        clients may hold so much of the memory; past that goes the one that has read nothing for longest."""
        self._slow[connection] = connection.unread
        if sum(self._slow.values()) > self.pool.limit * self.pool.size // 2:
            slowest = next(iter(self._slow))
            if slowest.stuck_us > SLOW_US:
                del self._slow[slowest]
                self.engine.counts["slow_reader"] += 1
                slowest.link.abortConnection()

    def emptied(self, connection: ClientConnection) -> None:
        self._slow.pop(connection, None)

    def raised(self, error: Exception) -> None:
        self.engine.counts["front_raised"] += 1
        self._log.error("front_raised", error=repr(error))

    def sweep(self) -> None:
        now = self.clock.now_us()
        for connection in list(self._open):
            connection.sweep(now)
        # A flood that fills all places at once leaves nothing that would make room: it is done here.
        left = sum(not connection.closing for connection in self._open) - self._max
        while left > 0 and self._relieve():
            left -= 1
        if self.closing:  # what had something unread may be idle by now
            self._dismiss_idle()

    def close_idle(self) -> None:
        """From here on an answer ends its connection, and what is idle ends now."""
        self.closing = True
        self._dismiss_idle()
        if not self._open:
            self.on_idle()

    def _dismiss_idle(self) -> None:
        for connection in list(self._open):
            if connection.idle:
                connection.dismiss()
