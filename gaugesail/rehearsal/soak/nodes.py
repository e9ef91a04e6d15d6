"""The storage nodes of a soak: they serve, and misbehave as they are told."""

from __future__ import annotations

import random
from enum import Enum
from typing import Any

from ...http.messages import Head
from ..peers import HttpConnection, HttpListener
from .judge import Arrival, Asked, ColdNodeWindow, Rule, SoakJudge

SERVE_S = (0.002, 0.02)
SLOW_S = (0.15, 0.7)
ACCEPT_S = 0.1  # after a pause, until all that waited is accepted


class Behaviour(Enum):
    """What a node does with a request."""

    SERVE = "serve"
    HANG = "hang"
    SLOW = "slow"
    ERROR = "error"
    RESET = "reset"  # the connection, before or amid the answer
    TURN_AWAY = "turn_away"
    TRICKLE = "trickle"  # an answer that comes in pieces
    SPOIL = "spoil"  # bytes that are no answer, or a second answer right behind
    CLOSE = "close"  # answers and closes, without a word of it
    FORGET = "forget"  # answers, then resets the idle connection a little later


SPOILT = (
    b"\x00\xff\x16\x03\x01\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nwhole",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff0\r\nwhole",
    b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nwhole",
)


class SoakNode(HttpListener):
    """One node; another process of it, on another port, comes under a new id."""

    def __init__(self, reactor: Any, name: str, shard: int, judge: SoakJudge, rng: random.Random) -> None:
        self.shard, self._judge, self._rng = shard, judge, rng
        self.behaviour, self.phase = Behaviour.SERVE, "Ready"
        self.started_unix_ms = 0
        self.cold: ColdNodeWindow | None = None
        self._free_at = 0.0  # when its work in hand is done, while it is cold
        self.drained_at: dict[str, float] = {}  # by head: when it was told
        self.told_by: dict[str, str] = {}  # by head: how
        self._refused_since = self._refused_until = 0.0
        self._late: dict[HttpConnection, float] = {}  # by connection: how late it was taken
        self.silent = False  # it has vanished: what is open stays open, and nothing is said
        super().__init__(reactor, name)

    def line(self) -> dict[str, Any]:
        """As discovery lists it."""
        return {
            "id": self.name, "host_port": self.address, "locality": "ruum-1", "flavor": "node-2c",
            "cell": self.shard, "phase": self.phase, "size": 1.0, "up_since_ms": self.started_unix_ms,
        }  # fmt: skip

    def started_cold(self, now: float, unix_ms: int) -> None:
        self.started_unix_ms, self.cold = unix_ms, ColdNodeWindow(now)

    def opened(self, connection: HttpConnection) -> None:
        super().opened(connection)
        connection.link.setTcpNoDelay(True)
        now = self._reactor.seconds()
        if now < self._refused_until + ACCEPT_S:
            self._late[connection] = now - self._refused_since

    def lost(self, connection: HttpConnection) -> None:
        super().lost(connection)
        self._late.pop(connection, None)

    def saw(self, *words: str) -> None:
        self._judge.broke(Rule.UNKNOWN_REQUEST, "", f"{self.name} got {' '.join(words)}")

    def message(self, connection: HttpConnection, head: Head, body: bytes) -> None:
        name = head.headers.get("request-id", "")
        if not name:  # a probe
            connection.link.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        # What was written before we accepted came then, whenever we read it.
        late_s = self._late.pop(connection, 0.0)
        told_ms = int(head.headers["request-timeout-ms"])
        asked = self._judge.arrived(name, self.name, connection, told_ms, late_s)
        if asked is None:
            return
        if (told := self.drained_at.get(asked.head)) is not None:
            how = f"{self.name} by {self.told_by.get(asked.head, 'the time')}"
            self._judge.sent_to_draining(asked, how, self._judge.now() - told - late_s)
        if self.cold is not None:
            self._take_cold(asked, float(head.headers["x-io"].partition("units=")[2].partition(",")[0]))
        self._act(connection, asked, asked.arrivals[-1])

    def _take_cold(self, asked: Asked, units: float) -> None:
        """A node that has started works in turn, as slowly as the settings allow."""
        now = self._judge.now()
        if self.cold is None or self.cold.share(now) >= 1:
            self.cold = None
            return
        self._free_at = max(now, self._free_at) + self.cold.serving_s(now, units)
        if (over := self.cold.take(now, units)) > 0:
            self._judge.broke(Rule.COLD_NODE, asked.head, f"{self.name}: {over:.1f} requests too many")
            self.cold = None

    def _act(self, connection: HttpConnection, asked: Asked, arrival: Arrival) -> None:
        match self.behaviour:
            case Behaviour.HANG:
                pass
            case Behaviour.TURN_AWAY:
                arrival.ended, arrival.may_have_run = True, False
                self._write(connection, b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
            case Behaviour.ERROR if self._rng.random() < 0.7:
                arrival.ended = True
                self._write(connection, b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
            case Behaviour.RESET if self._rng.random() < 0.5:
                self._later(self._rng.uniform(0.0, 0.1), connection.link.abortConnection)
            case Behaviour.SPOIL if self._rng.random() < 0.5:
                self._spoil(connection, asked)
            case Behaviour.SLOW:
                self._later(self._rng.uniform(*SLOW_S), self._serve, connection, asked, arrival)
            case Behaviour.TRICKLE:
                self._trickle(connection, self._answer(asked), arrival)
            case _:
                busy_s = max(0.0, self._free_at - self._judge.now())
                self._later(busy_s + self._rng.uniform(*SERVE_S), self._serve, connection, asked, arrival)

    @staticmethod
    def _answer(asked: Asked) -> bytes:
        body = asked.name.encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    def _later(self, seconds: float, call: Any, *args: Any) -> None:
        self._reactor.callLater(seconds, call, *args)

    def _write(self, connection: HttpConnection, data: bytes) -> None:
        if connection in self.open and not self.silent:
            connection.link.write(data)

    def _serve(self, connection: HttpConnection, asked: Asked, arrival: Arrival) -> None:
        arrival.ended = True
        self._write(connection, self._answer(asked))
        if self.behaviour is Behaviour.CLOSE and connection in self.open:
            connection.link.loseConnection()
        if self.behaviour is Behaviour.FORGET and connection in self.open:
            self._later(self._rng.uniform(0.0, 0.05), connection.link.abortConnection)

    def _trickle(self, connection: HttpConnection, answer: bytes, arrival: Arrival) -> None:
        self._write(connection, answer[:4])
        if len(answer) > 4:
            self._later(0.001, self._trickle, connection, answer[4:], arrival)
        else:
            arrival.ended = True

    def _spoil(self, connection: HttpConnection, asked: Asked) -> None:
        if self._rng.random() < 0.4:  # a good answer, and another right behind it
            self._write(connection, 2 * self._answer(asked))
        else:
            self._write(connection, self._rng.choice(SPOILT))

    def vanish(self) -> None:
        """Say nothing any more, and take no connection: open ones stay open."""
        self.silent = True
        self.port.stopReading()

    def refuse(self, seconds: float) -> None:
        """Take no connection for a while: the kernel does, and what is written waits there."""
        self.port.stopReading()
        now = self._reactor.seconds()
        if now >= self._refused_until:  # else one pause runs into the next
            self._refused_since = now
        self._refused_until = max(self._refused_until, now + seconds)
        self._later(seconds, self._accept_again)

    def _accept_again(self) -> None:
        over = self._reactor.seconds() >= self._refused_until
        if over and not self.silent and self.port.connected:
            self.port.startReading()
