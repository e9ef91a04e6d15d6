"""Around the heads: storage nodes that count, the list of nodes, and clients that wait for one answer each.

The judge sees what arrives at the nodes and what clients are told, and nothing of what heads say of
themselves.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.python.failure import Failure

from ...http.messages import Head
from ...lab.fleet import Limit, ReferenceBucket
from ...lab.troubles import MEAN_REQUEST_UNITS, REQUEST_UNITS
from ...net import dial
from ..peers import Directory, HttpConnection, HttpListener

SERVE_S = 0.004  # at a node
LATE_S = 0.15  # between a head's last look and the node: what may arrive together that was sent apart
DEADLINE_S = 3.0  # the whole time of the class: with less the head takes it for a repeat
SLACK_S = 1.0  # beyond its deadline, and an answer is missing
MOST_CONNECTIONS = 24  # of clients, to one head
IDLE_S = 5.0  # a client asks on no connection that has rested for longer; the head closes them after 15 s


@dataclass(slots=True)
class Ledger:
    """What the judge has counted."""

    overspent: int = 0
    lost: int = 0
    answered_twice: int = 0
    two_out: int = 0
    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0  # an error for an answer
    unreached: int = 0  # the head's process had ended, or ended under it
    least: float = 0.0  # that the one store for all ever held, with the allowance
    arrivals: list[tuple[float, str, float]] = field(default_factory=list)  # when, head, units
    answers: list[tuple[float, str, str]] = field(default_factory=list)  # when, head, how


class Node(HttpListener):
    """A storage node: it serves each request after a moment, and tells the judge what came."""

    def __init__(self, reactor: Any, name: str, shard: int, judge: FleetJudge) -> None:
        self.shard, self._judge = shard, judge
        self._out: dict[str, HttpConnection] = {}
        super().__init__(reactor, name)

    def lost(self, connection: HttpConnection) -> None:
        super().lost(connection)
        for name in [name for name, at in self._out.items() if at is connection]:
            del self._out[name]

    def message(self, connection: HttpConnection, head: Head, body: bytes) -> None:
        name = head.headers.get("request-id", "")
        if not name:  # a probe
            connection.link.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        if name in self._out:
            self._judge.told.two_out += 1
        self._out[name] = connection
        self._judge.arrived(name)
        self._reactor.callLater(SERVE_S, self._served, name, connection)

    def _served(self, name: str, connection: HttpConnection) -> None:
        if self._out.get(name) is connection:
            del self._out[name]
            connection.link.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


class FleetJudge:
    """One volume's limit, by what reached the nodes."""

    def __init__(self, seconds: Callable[[], float], limit: Limit) -> None:
        self._seconds, self.told = seconds, Ledger()
        self._units: dict[str, tuple[str, float]] = {}  # by request: its head and what it costs
        self._judge = ReferenceBucket(limit.rate, limit.burst + LATE_S * limit.rate, self.now)

    @property
    def now(self) -> int:
        return int(self._seconds() * 1e6)

    def asked(self, request: str, head: str, units: float) -> None:
        self._units[request] = head, units
        self.told.asked += 1

    def arrived(self, request: str) -> None:
        """Only the first attempt of a request takes units."""
        found = self._units.pop(request, None)
        if found is None:
            return
        head, units = found
        self._judge.charge(self.now, units)
        self.told.arrivals.append((self._seconds(), head, units))
        self.told.overspent, self.told.least = self._judge.violations, self._judge.least

    def change(self, limit: Limit) -> None:
        """Another whole: a larger one at once; a smaller one once ``settle`` says so."""
        self._judge.change(self.now, Limit(limit.rate, limit.burst + LATE_S * limit.rate))

    def settle(self, after_s: float) -> None:
        self._judge.settle(self.now + int(after_s * 1e6))


class _Asker(HttpConnection):
    """A client's connection: one request at a time."""

    def __init__(self, clients: Clients) -> None:
        super().__init__(clients, answers=True)
        self._reactor = clients.reactor
        self.request = ""
        self.told_at = self.idle_at = 0.0  # when it was asked, and when it was last answered

    def ask(self, request: str, text: bytes) -> None:
        self.request, self.told_at = request, self._reactor.seconds()
        self.link.write(text)


class Clients:
    """All clients of one head."""

    def __init__(
        self, reactor: Any, name: str, address: tuple[str, int], heads: int, judge: FleetJudge,
        excused: Callable[[], bool],
    ) -> None:  # fmt: skip
        self.reactor, self.name, self._address, self._heads = reactor, name, address, heads
        self.judge, self._excused = judge, excused
        self._idle: deque[_Asker] = deque()
        self._open: dict[_Asker, None] = {}
        self._dialling = 0
        self._number = 0

    def ask(self, units: int, volume: int = 1) -> None:
        """One request.  With no connection free one more is opened, up to a bound."""
        while self._idle:
            asker = self._idle.pop()
            if asker in self._open and self.reactor.seconds() - asker.idle_at > IDLE_S:
                asker.link.loseConnection()  # the head may be closing it just now
            elif asker in self._open:
                self._send(asker, units, volume)
                return
        if len(self._open) + self._dialling >= MOST_CONNECTIONS:
            self.judge.told.unreached += 1
            return
        self._dialling += 1
        made = dial(self.reactor, self._address, 1.0, lambda: _Asker(self))
        made.addCallbacks(self._up, self._down, (units, volume))

    def _up(self, asker: _Asker, units: int, volume: int) -> None:
        self._dialling -= 1
        self._open[asker] = None
        self._send(asker, units, volume)

    def _down(self, failure: Failure) -> None:
        self._dialling -= 1
        self.judge.told.unreached += 1

    def _send(self, asker: _Asker, units: int, volume: int) -> None:
        self._number += 1
        request = f"{self.name}-{self._number}"
        self.judge.asked(request, self.name, units)
        asker.ask(request, (
            f"GET /api HTTP/1.1\r\nHost: a\r\nRequest-Id: {request}\r\nRequest-Class: read\r\n"
            f"X-Plan: limited\r\nCookie: block={self._number % 997:x}\r\n"
            f"Request-Timeout-Ms: {int(DEADLINE_S * 1000)}\r\n"
            f"X-IO: volume={volume:x},units={units},shard={self._number % 2},hosts={self._heads}\r\n\r\n"
        ).encode())  # fmt: skip

    def opened(self, asker: _Asker) -> None:
        pass

    def begins(self, head: Head) -> None:
        pass

    def saw(self, *words: str) -> None:
        """Bytes that are no answer to anything."""
        self.judge.told.answered_twice += 1

    def message(self, asker: _Asker, head: Head, body: bytes) -> None:
        """A whole answer."""
        told = self.judge.told
        if head.status < 200:
            return
        if not asker.request:
            told.answered_twice += 1
            return
        asker.request = ""
        how = "served" if head.status == 200 else "refused" if head.status in (429, 503) else "failed"
        setattr(told, how, getattr(told, how) + 1)
        told.answers.append((self.reactor.seconds(), self.name, how))
        if head.keep_alive:
            asker.idle_at = self.reactor.seconds()
            self._idle.append(asker)
        else:
            asker.link.loseConnection()

    def lost(self, asker: _Asker) -> None:
        self._open.pop(asker, None)
        if asker.request:
            if self._excused():
                self.judge.told.unreached += 1
            else:
                self.judge.told.lost += 1
            asker.request = ""

    def overdue(self, now: float) -> int:
        """Requests that should have their answer by now."""
        return sum(bool(asker.request) and now - asker.told_at > DEADLINE_S + SLACK_S for asker in self._open)

    def gone(self) -> None:
        """The process behind these was killed: whatever it owed died with it."""
        for asker in list(self._open):
            asker.link.abortConnection()

    def close(self) -> None:
        self._excused = lambda: True
        self.gone()


class MovingDemand:
    """Requests for one volume, unevenly over the heads; who is busiest changes."""

    def __init__(self, reactor: Any, seed: int, clients: dict[str, Clients], rate: float) -> None:
        self._reactor, self._rng, self._clients = reactor, random.Random(seed), clients
        self._gap = MEAN_REQUEST_UNITS / rate
        self._names = list(clients)
        self.weights: dict[str, float] = {}
        self.stopped = False
        self._next_at = reactor.seconds()
        self._move()
        self._arrive()

    def _move(self) -> None:
        weights = [1 / (n + 1) ** 1.5 for n in range(len(self._names))]
        self._rng.shuffle(weights)
        self.weights = dict(zip(self._names, weights, strict=True))
        if not self.stopped:
            self._reactor.callLater(self._rng.uniform(4, 12), self._move)

    def _arrive(self) -> None:
        """All that is due: arrivals do not wait for answers."""
        now = self._reactor.seconds()
        while self._next_at <= now and not self.stopped:
            self._next_at += self._rng.expovariate(1 / self._gap)
            name = self._rng.choices(self._names, list(self.weights.values()))[0]
            self._clients[name].ask(self._rng.choice(REQUEST_UNITS))
        if not self.stopped:
            self._reactor.callLater(max(0.001, self._next_at - now), self._arrive)


def config_of(
    directory: Directory, listen: int, calls: int, limit: Limit, heads: int, me: int
) -> dict[str, Any]:
    """A head's configuration in the platform's form, with one plan under a limit."""
    from .. import defaults

    settings = defaults.settings()
    settings["balancers"], settings["me"] = heads, me
    settings["contracts"] = [{
        "name": "limited", "rate": limit.rate, "reserve": 0.8 * limit.rate, "parts": 1.0, "pays": 1.0,
        "never_over": limit.rate, "most_at_once": limit.burst,
    }]  # fmt: skip
    return {
        "name": f"head-{me}", "listen": f"127.0.0.1:{listen}", "discovery": directory.address, "seed": "7",
        "management": f"127.0.0.1:{calls}", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": directory.listing(True), "settings": settings,
    }  # fmt: skip
