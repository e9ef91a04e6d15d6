"""Clients that send large and small requests one after another, and note how late each answer is."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from typing import Any

from ..http.messages import Head
from ..net import dial
from ..rehearsal.peers import HttpConnection
from ..rehearsal.soak.large_requests import LargeRequestWriter

UPLOAD_SHARE = 0.7  # of the requests; the others are small reads
UPLOAD_BYTES = (70_000, 1_200_000)
TIMES_S = (0.3, 1.5)
PAUSE_S = (0.0, 0.2)  # between an answer and the next request
LOST_AFTER_S = 0.5  # after its time an answer counts as lost
PATIENCE_S = 5.0  # beyond a request's time, after which its client leaves


@dataclass(slots=True)
class Tally:
    """What the clients saw."""

    requests: int = 0
    served: int = 0
    too_late: int = 0  # answers over LOST_AFTER_S late
    unanswered: int = 0  # of which the connection ended without an answer, or none came in PATIENCE_S
    latest_s: float = 0.0


class StarvedClient:
    """One client, with one request at a time."""

    def __init__(self, reactor: Any, port: int, rng: random.Random, used: int, tally: Tally) -> None:
        self._reactor, self._port, self._rng, self._used = reactor, port, rng, used
        self._tally = tally
        self._name = f"{rng.getrandbits(40):x}"
        self._connection: HttpConnection | None = None
        self._sent = 0
        self._pending = 0  # the number of the request without an answer; 0: none
        self._due_at = 0.0
        self.stopped = False

    def start(self) -> None:
        """Send the first request soon."""
        self._later()

    def _later(self) -> None:
        self._reactor.callLater(self._rng.uniform(*PAUSE_S), self._next)

    def _next(self) -> None:
        if self.stopped:
            return
        if self._connection is not None:
            self._send(self._connection)
            return
        dialed = dial(
            self._reactor, ("127.0.0.1", self._port), PATIENCE_S, lambda: HttpConnection(self, answers=True)
        )
        dialed.addCallbacks(self._send, lambda _: self._later())

    def _send(self, connection: HttpConnection) -> None:
        self._connection = connection
        self._sent += 1
        number = self._pending = self._sent
        time_s = self._rng.uniform(*TIMES_S)
        size = 0
        if self._rng.random() < UPLOAD_SHARE:
            size = int(math.exp(self._rng.uniform(*map(math.log, UPLOAD_BYTES))))
        self._due_at = float("inf")
        LargeRequestWriter(
            self._reactor, connection, self._text(time_s, size), 1,
            lambda: self._pending == number and not self.stopped, lambda: self._written(number, time_s),
        ).write()  # fmt: skip

    def _text(self, time_s: float, size: int) -> bytes:
        method, kind = ("PUT", "write") if size else ("GET", "read")
        head = (
            f"{method} /api HTTP/1.1\r\nHost: a\r\nRequest-Id: {self._name}{self._sent:x}\r\n"
            f"Request-Class: {kind}\r\nX-Plan: basic\r\nCookie: block={self._rng.getrandbits(48):x}\r\n"
            f"Request-Timeout-Ms: {int(time_s * 1000)}\r\n"
            f"X-IO: volume={self._rng.randrange(1, 40):x},units=1,shard={self._rng.randrange(self._used)},"
            f"hosts=1\r\nContent-Length: {size}\r\n\r\n"
        )
        return head.encode() + b"u" * size

    def _written(self, number: int, time_s: float) -> None:
        self._due_at = self._reactor.seconds() + time_s
        self._reactor.callLater(time_s + PATIENCE_S, self._give_up, number)

    def _give_up(self, number: int) -> None:
        if self._pending == number and self._connection is not None:
            self._connection.link.abortConnection()

    def _ended(self, is_answered: bool) -> None:
        """Count the pending request; it may have been refused before it was written."""
        self._pending = 0
        late_s = max(0.0, self._reactor.seconds() - self._due_at)
        self._tally.requests += 1
        self._tally.unanswered += not is_answered
        self._tally.too_late += is_answered and late_s > LOST_AFTER_S
        self._tally.latest_s = max(self._tally.latest_s, late_s)

    # ---- the connection's owner ----

    def opened(self, connection: HttpConnection) -> None:
        """Disable Nagle's algorithm."""
        connection.link.setTcpNoDelay(True)

    def lost(self, connection: HttpConnection) -> None:
        """Count a request without an answer; go on with a new connection."""
        self._connection = None
        if self._pending and not self.stopped:
            self._ended(False)
            self._later()

    def begins(self, head: Head) -> None:
        """No answer is long."""

    def saw(self, *words: str) -> None:
        """Ignored: the connection ends."""

    def message(self, connection: HttpConnection, head: Head, body: bytes) -> None:
        """Count an answer."""
        if head.status < 200 or not self._pending:
            return
        was_written = self._due_at < float("inf")
        self._tally.served += head.status == 200
        self._ended(True)
        if not (head.keep_alive and was_written):
            connection.link.abortConnection()
        self._later()
