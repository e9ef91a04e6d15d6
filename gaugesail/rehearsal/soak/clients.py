"""The clients of a gateway: keep-alive connections with one request at a time, and some that misbehave."""

from __future__ import annotations

import random
from collections import deque
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from ...http.messages import Head
from ...net import dial
from ..peers import HttpConnection
from . import plan
from .judge import Rule, SentRequest, SoakJudge

MAX_CONNECTIONS = 40
CONNECT_S = 2.0
MAX_IDLE_S = 3.0  # a connection that was idle for longer is not reused
RequestSpec = tuple[str, plan.RequestClass, float]  # the id, the class and the timeout in seconds
CONNECT_AFTER_TERM_S = 0.3  # how long new connections are opened after a SIGTERM


class SoakConnection(HttpConnection):
    """A client connection."""

    def __init__(self, clients: SoakClients) -> None:
        super().__init__(clients, answers=True)
        self.request: SentRequest | None = None
        self.text = b""  # of the pending request
        self.fresh = True  # it has received no answer yet
        self.idle_since = 0.0
        self.close_reason = ""  # the class of the exception that ended it

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm (TCP_NODELAY)."""
        self.link.setTcpNoDelay(True)
        super().connectionMade()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Keep the reason for the judge."""
        self.close_reason = type(reason.value).__name__
        super().connectionLost(reason)


class SoakClients:
    """All clients of one gateway."""

    def __init__(
        self, reactor: Any, gateway: str, address: tuple[str, int], judge: SoakJudge, rng: random.Random,
        shards: int, gateways: int,
    ) -> None:  # fmt: skip
        self.reactor, self.gateway, self._address = reactor, gateway, address
        self._judge, self._rng, self._shards, self._gateways = judge, rng, shards, gateways
        self._idle: deque[SoakConnection] = deque()
        self._open: set[SoakConnection] = set()
        self._dialing = 0
        self._number = 0
        self.serving = False  # new connections are opened
        self.killed = False  # its process is being killed or has ended: pending requests are excused
        self.leave_share = 0.02  # of requests whose client closes before the answer
        self.bad_share = 0.0  # of requests in whose place a client misbehaves

    # ---- sending ----

    def send_request(self) -> None:
        """Send a request on an idle connection or a new one, or misbehave, by chance."""
        if self._rng.random() < self.bad_share:
            self._misbehave()
            return
        while self._idle:
            connection = self._idle.pop()
            if connection in self._open and self.reactor.seconds() - connection.idle_since < MAX_IDLE_S:
                self._send(connection, *self._new_request())
                return
            if connection in self._open:
                connection.link.loseConnection()
        self._connect_and_send(*self._new_request())

    def _connect_and_send(self, spec: RequestSpec, text: bytes) -> None:
        if not self.serving or len(self._open) + self._dialing >= MAX_CONNECTIONS:
            self._judge.counts["unreached"] += 1
            return
        self._dialing += 1
        dialed = dial(self.reactor, self._address, CONNECT_S, lambda: SoakConnection(self))
        dialed.addCallbacks(self._connected, self._not_connected, (spec, text))

    def _connected(self, connection: SoakConnection, spec: RequestSpec, text: bytes) -> None:
        self._dialing -= 1
        if connection in self._open:
            self._send(connection, spec, text)

    def _not_connected(self, failure: Failure) -> None:
        self._dialing -= 1
        self._judge.counts["unreached"] += 1

    def _new_request(self) -> tuple[RequestSpec, bytes]:
        self._number += 1
        name = f"{self.gateway}-{self._number}"
        request_class = self._rng.choices(
            plan.REQUEST_CLASSES, [request_class.share for request_class in plan.REQUEST_CLASSES]
        )[0]
        due_s = request_class.deadline_s if self._rng.random() < 0.85 else self._rng.uniform(0.002, 0.4)
        due_s = max(1, int(due_s * 1000)) / 1000
        body = b"b" * self._rng.choice((10, 300, 3000)) if request_class.writes else b""
        head = (
            f"{'PUT' if request_class.writes else 'GET'} /api HTTP/1.1\r\nHost: a\r\nRequest-Id: {name}\r\n"
            f"Request-Class: {request_class.name}\r\nX-Plan: {self._rng.choice(('basic', 'priority'))}\r\n"
            f"Cookie: block={self._rng.getrandbits(32):x}\r\nRequest-Timeout-Ms: {round(due_s * 1000)}\r\n"
            f"X-IO: volume={self._rng.randrange(1, 40):x},units={self._rng.randint(1, plan.MAX_UNITS)},"
            f"shard={self._rng.randrange(self._shards)},hosts={min(3, self._gateways)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return (name, request_class, due_s), head.encode() + body

    def _send(self, connection: SoakConnection, spec: RequestSpec, text: bytes) -> None:
        name, request_class, due_s = spec
        connection.request, connection.text = (
            self._judge.request_sent(name, self.gateway, request_class, due_s),
            text,
        )
        if self._rng.random() < 0.05 and len(text) > 40:  # a client that writes in two pieces
            cut = self._rng.randrange(1, len(text))
            connection.link.write(text[:cut])
            self.reactor.callLater(
                self._rng.uniform(0.0, 0.02), self._send_rest, connection, connection.request, text[cut:]
            )
        else:
            connection.link.write(text)
        if self._rng.random() < self.leave_share:
            after_s = self._rng.choice((0.0, 0.01, 0.3)) * self._rng.random()
            self.reactor.callLater(after_s, self._leave, connection, connection.request)

    @staticmethod
    def _send_rest(connection: SoakConnection, request: SentRequest, rest: bytes) -> None:
        if connection.request is request and not connection.lost:
            connection.link.write(rest)

    def _leave(self, connection: SoakConnection, request: SentRequest) -> None:
        if connection.request is not request or connection not in self._open:
            return
        self._judge.client_left(request)
        connection.request = None
        if self._rng.random() < 0.5:
            connection.link.abortConnection()
        else:
            connection.link.loseConnection()

    # ---- misbehaving ----

    def _misbehave(self) -> None:
        if not self.serving or len(self._open) + self._dialing >= MAX_CONNECTIONS:
            return
        self._dialing += 1
        dialed = dial(self.reactor, self._address, CONNECT_S, lambda: SoakConnection(self))
        dialed.addCallbacks(self._send_malformed, self._not_connected)

    def _send_malformed(self, connection: SoakConnection) -> None:
        self._dialing -= 1
        connection.fresh = False
        misbehaviour = self._rng.choice(("silent", "half", "noise", "headless", "burst"))
        text = self._new_request()[1]
        match misbehaviour:
            case "half":
                connection.link.write(text[: len(text) // 2])
            case "noise":
                connection.link.write(bytes(self._rng.getrandbits(8) for _ in range(200)))
            case "headless":
                connection.link.write(b"GET /api HTTP/1.1\r\nHost: a\r\n\r\n")
            case "burst":
                connection.link.write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n" * 30)
        self.reactor.callLater(self._rng.uniform(0.05, 4.0), self._abort, connection)

    def _abort(self, connection: SoakConnection) -> None:
        if connection in self._open:
            connection.link.abortConnection()

    # ---- receiving ----

    def opened(self, connection: SoakConnection) -> None:
        """Record an open connection."""
        self._open.add(connection)

    def begins(self, head: Head) -> None:
        """Ignored: only complete answers count."""

    def saw(self, *words: str) -> None:
        """Report bytes that are no valid answer."""
        self._judge.report(Rule.WRONG_ANSWER, self.gateway, " ".join(words))

    def message(self, connection: SoakConnection, head: Head, body: bytes) -> None:
        """Report a complete answer; interim ones (1xx) are ignored."""
        if head.status < 200:
            return
        request, connection.request = connection.request, None
        if request is None:
            return  # the connection of a client that misbehaves
        connection.fresh = False
        self._judge.answer_received(request, head.status, body)
        if head.keep_alive:
            connection.idle_since = self.reactor.seconds()
            self._idle.append(connection)
        else:
            connection.link.loseConnection()

    def lost(self, connection: SoakConnection) -> None:
        """Resend the pending request of a closed connection, or report that it has no answer."""
        self._open.discard(connection)
        request, connection.request = connection.request, None
        if request is None:
            return
        if self.killed:
            request.excused = True
        # Crossed: sent while the gateway closed the kept connection, and not forwarded; it is sent once more.
        crossed = not connection.fresh and not connection.half and not request.arrivals
        if crossed and not request.excused:
            self._judge.counts["crossed"] += 1
            self._resend(request, connection.text)
        else:
            amid = " amid the answer" if connection.half else ""
            kept = "a fresh" if connection.fresh else "a kept"
            self._judge.no_answer(request, f"{kept} connection ended{amid}: {connection.close_reason}")

    def _resend(self, request: SentRequest, text: bytes) -> None:
        if not self.serving or len(self._open) >= MAX_CONNECTIONS:
            request.excused = True
            self._judge.no_answer(request, "no connection to resend it on")
            return
        self._dialing += 1
        dialed = dial(self.reactor, self._address, CONNECT_S, lambda: SoakConnection(self))

        def connected(connection: SoakConnection) -> None:
            self._dialing -= 1
            request.at = self.reactor.seconds()
            connection.request, connection.text = request, text
            connection.link.write(text)

        def not_connected(failure: Failure) -> None:
            self._dialing -= 1
            request.excused = True
            self._judge.no_answer(request, "no connection")

        dialed.addCallbacks(connected, not_connected)

    # ---- the gateway's process ----

    def process_killed(self) -> None:
        """The process is being killed."""
        self.serving, self.killed = False, True

    def process_ready(self) -> None:
        """A process is ready to serve."""
        self.serving, self.killed = True, False

    def close(self) -> None:
        """Abort all connections without a report."""
        self.process_killed()
        for connection in list(self._open):
            connection.request = None
            connection.link.abortConnection()
