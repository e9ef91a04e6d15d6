"""The storage nodes of a soak, which serve requests or misbehave as set by ``Behaviour``."""

from __future__ import annotations

import random
from enum import Enum
from typing import Any

from ...http.messages import Head
from ..hostile_clients import HOSTILE_TARGET
from ..peers import HttpConnection, HttpListener
from .cold_node import ColdNodeWindow
from .judge import Arrival, Rule, SentRequest, SoakJudge
from .large_requests import NodeSideConnection
from .long_answer_writer import LongAnswerWriter

SERVICE_TIME_S = (0.002, 0.02)
SLOW_SERVICE_TIME_S = (0.15, 0.7)
LATE_BODY_S = (0.55, 0.9)
LATE_BODY_MARGIN_S = 0.5  # that a request has to have beyond that
HOSTILE_ANSWER_BYTES = 200_000
ACCEPT_DELAY_S = 0.1  # after a pause, until all waiting connections are accepted


class Behaviour(Enum):
    """What a node does with a request."""

    SERVE = "serve"
    HANG = "hang"
    SLOW = "slow"
    ERROR = "error"
    RESET = "reset"  # of the connection, before or within the answer
    REJECT = "turn_away"
    LATE_BODY = "late_body"  # sends the head of the answer at once, and its body later
    TRICKLE = "trickle"  # sends the answer in small pieces
    MALFORMED = "spoil"  # sends bytes that are no valid answer, or a second answer after the first
    CLOSE = "close"  # answers and closes, without Connection: close
    RESET_IDLE = "forget"  # answers, and resets the idle connection shortly after


WRITES_LONG_ANSWERS = (
    Behaviour.SERVE, Behaviour.SLOW, Behaviour.LATE_BODY, Behaviour.TRICKLE, Behaviour.CLOSE,
    Behaviour.RESET_IDLE,
)  # fmt: skip
MALFORMED_ANSWERS = (
    b"\x00\xff\x16\x03\x01\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nwhole",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff0\r\nwhole",
    b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nwhole",
)


class SoakNode(HttpListener):
    """A storage node; a new process of it has another id and port."""

    def __init__(self, reactor: Any, name: str, shard: int, judge: SoakJudge, rng: random.Random) -> None:
        self.shard, self._judge, self._rng = shard, judge, rng
        self.behaviour, self.phase = Behaviour.SERVE, "Ready"
        self.started_unix_ms = 0
        self.cold: ColdNodeWindow | None = None
        self._busy_until = 0.0  # when it has completed its pending work, while it is cold
        self.drain_known_at: dict[str, float] = {}  # by gateway: when it was notified of the drain or end
        self.notified_by: dict[str, str] = {}  # by gateway: how it was notified
        self._accept_paused_since = self._accept_paused_until = 0.0
        self._accept_delays: dict[HttpConnection, float] = {}  # at most, in seconds
        self.silent = False  # it has vanished: connections stay open, but it sends nothing
        super().__init__(reactor, name)

    def endpoint(self) -> dict[str, Any]:
        """Its entry in the endpoint list."""
        return {
            "id": self.name, "host_port": self.address, "locality": "ruum-1", "flavor": "node-2c",
            "cell": self.shard, "phase": self.phase, "size": 1.0, "up_since_ms": self.started_unix_ms,
        }  # fmt: skip

    def start_cold(self, now: float, unix_ms: int) -> None:
        """Record that it is a process that starts now, cold."""
        self.started_unix_ms, self.cold = unix_ms, ColdNodeWindow(now)

    def accept(self) -> HttpConnection:
        """Return the protocol of a new connection."""
        return NodeSideConnection(self, self._reactor, self._rng)

    def opened(self, connection: HttpConnection) -> None:
        """Note how late a connection is accepted after a pause."""
        super().opened(connection)
        connection.link.setTcpNoDelay(True)
        now = self._reactor.seconds()
        if now < self._accept_paused_until + ACCEPT_DELAY_S:
            self._accept_delays[connection] = now - self._accept_paused_since

    def lost(self, connection: HttpConnection) -> None:
        """Forget a closed connection."""
        super().lost(connection)
        self._accept_delays.pop(connection, None)

    def saw(self, *words: str) -> None:
        """Report bytes that are no valid request."""
        self._judge.report(Rule.UNKNOWN_REQUEST, "", f"{self.name} got {' '.join(words)}")

    def message(self, connection: HttpConnection, head: Head, body: bytes) -> None:
        """Report a request to the judge, and act as set by ``behaviour``."""
        paced_s = connection.take_unread_s() if isinstance(connection, NodeSideConnection) else 0.0
        name = head.headers.get("request-id", "")
        if not name:  # a health check
            connection.link.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        if head.target == HOSTILE_TARGET:
            size = HOSTILE_ANSWER_BYTES if head.method == "GET" else 0
            self._write(connection, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size))
            return
        # Data that was written before the connection was accepted had arrived then, however late it is read.
        unread_s = self._accept_delays.pop(connection, 0.0) + paced_s
        if isinstance(connection, NodeSideConnection) and connection.turned_away:
            return
        timeout_ms = int(head.headers["request-timeout-ms"])
        request = self._judge.attempt_arrived(name, self.name, connection, timeout_ms, unread_s)
        if request is None:
            return
        if (known_at := self.drain_known_at.get(request.gateway)) is not None:
            detail = f"{self.name} by {self.notified_by.get(request.gateway, 'the time')}"
            self._judge.sent_to_draining(request, detail, self._judge.now() - known_at - unread_s)
        if self.cold is not None:
            self._add_cold_work(request, float(head.headers["x-io"].partition("units=")[2].partition(",")[0]))
        self._handle(connection, request, request.arrivals[-1])

    def _add_cold_work(self, request: SentRequest, units: float) -> None:
        """A cold node works on one request at a time, as slowly as the settings allow."""
        now = self._judge.now()
        if self.cold is None or self.cold.capacity_share(now) >= 1:
            self.cold = None
            return
        self._busy_until = max(now, self._busy_until) + self.cold.service_time_s(now, units)
        if (over := self.cold.add(now, units)) > 0:
            self._judge.report(Rule.COLD_NODE, request.gateway, f"{self.name}: {over:.1f} requests too many")
            self.cold = None

    def _handle(self, connection: HttpConnection, request: SentRequest, arrival: Arrival) -> None:
        if request.long_answer is not None and self.behaviour in WRITES_LONG_ANSWERS:
            LongAnswerWriter(self._reactor, self, self._judge, connection, request, arrival).begin()
            return
        match self.behaviour:
            case Behaviour.HANG:
                pass
            case Behaviour.REJECT:
                arrival.ended, arrival.may_have_run = True, False
                self._write(connection, b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
            case Behaviour.ERROR if self._rng.random() < 0.7:
                arrival.ended = True
                self._write(connection, b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
            case Behaviour.RESET if self._rng.random() < 0.5:
                self._later(self._rng.uniform(0.0, 0.1), connection.link.abortConnection)
            case Behaviour.MALFORMED if self._rng.random() < 0.5:
                self._send_malformed(connection, request)
            case Behaviour.SLOW:
                self._later(
                    self._rng.uniform(*SLOW_SERVICE_TIME_S), self._send_answer, connection, request, arrival
                )
            case Behaviour.LATE_BODY if request.due_s > LATE_BODY_S[1] + LATE_BODY_MARGIN_S:
                self._send_late_body(connection, request, arrival)
            case Behaviour.TRICKLE:
                self._trickle(connection, self._answer(request), arrival)
            case _:
                busy_s = max(0.0, self._busy_until - self._judge.now())
                self._later(
                    busy_s + self._rng.uniform(*SERVICE_TIME_S),
                    self._send_answer,
                    connection,
                    request,
                    arrival,
                )

    @staticmethod
    def _answer(request: SentRequest) -> bytes:
        body = request.expected_body
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    def _later(self, seconds: float, call: Any, *args: Any) -> None:
        self._reactor.callLater(seconds, call, *args)

    def _write(self, connection: HttpConnection, data: bytes) -> None:
        if connection in self.open and not self.silent:
            connection.link.write(data)

    def _send_answer(self, connection: HttpConnection, request: SentRequest, arrival: Arrival) -> None:
        arrival.ended = True
        self._write(connection, self._answer(request))
        if self.behaviour is Behaviour.CLOSE and connection in self.open:
            connection.link.loseConnection()
        if self.behaviour is Behaviour.RESET_IDLE and connection in self.open:
            self._later(self._rng.uniform(0.0, 0.05), connection.link.abortConnection)

    def _send_late_body(self, connection: HttpConnection, request: SentRequest, arrival: Arrival) -> None:
        head, _, body = self._answer(request).rpartition(b"\r\n\r\n")
        self._write(connection, head + b"\r\n\r\n")
        self._later(self._rng.uniform(*LATE_BODY_S), self._send_body, connection, request, arrival, body)

    def _send_body(
        self, connection: HttpConnection, request: SentRequest, arrival: Arrival, body: bytes
    ) -> None:
        arrival.ended = True
        if connection not in self.open:
            self._judge.answer_given_up(request, self.name)
        self._write(connection, body)

    def _trickle(self, connection: HttpConnection, answer: bytes, arrival: Arrival) -> None:
        self._write(connection, answer[:4])
        if len(answer) > 4:
            self._later(0.001, self._trickle, connection, answer[4:], arrival)
        else:
            arrival.ended = True

    def _send_malformed(self, connection: HttpConnection, request: SentRequest) -> None:
        if self._rng.random() < 0.4:  # a valid answer and a second one after it
            self._write(connection, 2 * self._answer(request))
        else:
            self._write(connection, self._rng.choice(MALFORMED_ANSWERS))

    def vanish(self) -> None:
        """Send nothing and accept no connections from now on; open ones stay open."""
        self.silent = True
        self.port.stopReading()

    def pause_accepting(self, seconds: float) -> None:
        """Accept no connections for ``seconds``; the kernel still does, and buffers what is written."""
        self.port.stopReading()
        now = self._reactor.seconds()
        if now >= self._accept_paused_until:  # else this extends the current pause
            self._accept_paused_since = now
        self._accept_paused_until = max(self._accept_paused_until, now + seconds)
        self._later(seconds, self._resume_accepting)

    def _resume_accepting(self) -> None:
        over = self._reactor.seconds() >= self._accept_paused_until
        if over and not self.silent and self.port.connected:
            self.port.startReading()
