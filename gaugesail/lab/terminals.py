"""Client populations: terminals that ask for one thing at a time, and again in ways of their own until
served.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any, Protocol

import numpy as np
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from ..http.messages import BadMessage, EndOfMessage, Head
from ..http.parser import Parser
from ..net import Connection, dial
from .observer import Observer, Wish

TURN_S = 0.02  # between an answer and the next request: the terminal's own machine and its network
RHYTHM = 4.0  # shape of the gamma distribution of the gaps between its wishes (variation 0.5)
CARDS = 4
SLACK_S = 0.06  # a final answer may be so late (8 ms and 50 ms on sockets)


@dataclass(slots=True, frozen=True)
class Kind:
    """How a client of this kind behaves when it was not served."""

    name: str
    marks: bool = True  # its repeats
    heeds: bool = False  # the time to come back that it is told
    redials: bool = False  # for each request
    least_s: float = 0.0  # its own wait, drawn evenly between these
    most_s: float = 0.0
    tries: int = 0  # then it gives up and leaves; 0: until it is served

    def wait(self, told_s: float | None, rng: np.random.Generator) -> float:
        if self.heeds and told_s is not None:
            return told_s
        return float(rng.uniform(self.least_s, self.most_s))


KINDS = {
    kind.name: kind
    for kind in (
        Kind("heeds", heeds=True, least_s=0.25, most_s=0.5),
        Kind("at-once"),
        Kind("fixed", least_s=1.0, most_s=1.0),
        Kind("random", least_s=0.2, most_s=2.0),
        Kind("unmarked", marks=False, least_s=0.2, most_s=2.0),
        Kind("redials", heeds=True, redials=True, least_s=0.25, most_s=0.5),
        Kind("leaves", heeds=True, least_s=0.25, most_s=0.5, tries=3),
    )
}


@dataclass(slots=True, frozen=True)
class Volume:
    """Where a volume's data and its clients are."""

    name: int
    plan: str
    price: float
    node: int
    heads: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class Ask:
    """What a terminal asks for: the same in each of its repeats."""

    write: bool
    units: int
    core_s: float
    key: int
    aim_s: float
    deadline_s: float


class World(Protocol):
    """What a terminal needs around it."""

    reactor: Any
    observer: Observer

    def draw(self, rng: np.random.Generator, level: float) -> Ask: ...
    def name(self, ask: Ask) -> str: ...
    def head_address(self, head: int) -> tuple[str, int]: ...


class _Line(Connection):
    """A terminal's connection to its head."""

    def __init__(self, terminal: Terminal) -> None:
        self._terminal, self._parser = terminal, Parser(answers=True)
        self._head: Head | None = None

    def connectionMade(self) -> None:
        self._terminal.connected(self)

    def dataReceived(self, data: bytes) -> None:
        self._parser.feed(data)
        try:
            while True:
                whole = False
                for part in self._parser.parts():
                    if isinstance(part, Head):
                        self._head = part
                    whole = isinstance(part, EndOfMessage)
                if not whole or self._head is None:
                    return
                head, self._head = self._head, None
                if head.status >= 200:
                    self._terminal.answered(self, head)
        except BadMessage:
            self._terminal.observer.counts["malformed"] += 1

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._terminal.broken(self)


class Terminal:
    """One client at one place.  What falls due while it waits for an answer is asked for after it, if it
    can be.
    """

    def __init__(
        self, world: World, number: int, kind: Kind, volume: Volume, head: int, mean_s: float,
        rng: np.random.Generator,
    ) -> None:  # fmt: skip
        self._world, self.observer, self._rng = world, world.observer, rng
        self.number, self.kind, self.volume, self.head, self._mean_s = number, kind, volume, head, mean_s
        self._due: deque[tuple[Wish, Ask]] = deque()
        self._now: tuple[Wish, Ask] | None = None  # what it is after
        self._busy = False  # with that, or between that and the next
        self._tries = 0
        self._line: _Line | None = None
        self._asked = False  # a request is out
        self._over: Any = None  # when it stops waiting for the answer
        self._told_at: float | None = None  # when it was told to come back
        self.stopped = False
        self._deck: list[float] = []  # sizes to come

    def _level(self) -> float:
        """The next size as a share of all that are smaller: a shuffled deck, so that none comes too often."""
        if not self._deck:
            self._deck = [(n + float(self._rng.random())) / CARDS for n in self._rng.permutation(CARDS)]
        return self._deck.pop()

    def _gap(self) -> float:
        return float(self._rng.gamma(RHYTHM, self._mean_s / RHYTHM))

    def start(self) -> None:
        # What is left of a gap that began long ago: its length is drawn by size, and the place in it evenly.
        gap = float(self._rng.gamma(RHYTHM + 1, self._mean_s / RHYTHM))
        self._world.reactor.callLater(float(self._rng.random()) * gap, self._falls_due)

    def _falls_due(self) -> None:
        if self.stopped:
            return
        self._world.reactor.callLater(self._gap(), self._falls_due)
        ask, now = self._world.draw(self._rng, self._level()), self._world.reactor.seconds()
        wish = Wish(now, self.volume.plan, self.kind.name, self.volume.node, self.volume.price * ask.units)
        self.observer.wishes.append(wish)
        self._due.append((wish, ask))
        if not self._busy:
            self._next()

    def _next(self) -> None:
        now = self._world.reactor.seconds()
        while self._due and self._due[0][0].due + self._due[0][1].aim_s < now:
            self._due.popleft()  # nobody waits for it any more
            self.observer.counts["never_asked"] += 1
        self._now, self._tries = (self._due.popleft() if self._due else None), 0
        self._busy = self._now is not None
        if self._busy:
            self._try()

    # ---- one try ----

    def _try(self) -> None:
        if self.stopped or self._now is None:
            return
        if self._line is None:
            made = dial(self._world.reactor, self._world.head_address(self.head), 5.0, lambda: _Line(self))
            made.addErrback(lambda _: self._failed(None))
        else:
            self._ask(self._line)

    def connected(self, line: _Line) -> None:
        self._line = line
        self.observer.counts["dials"] += 1
        if self._now is not None and not self._asked:
            self._ask(line)

    def _ask(self, line: _Line) -> None:
        assert self._now is not None
        _, ask = self._now
        now = self._world.reactor.seconds()
        self._asked, self._tries = True, self._tries + 1
        if self._tries > 1:
            self.observer.repeats.append((now, self.kind.name))
            if self._told_at is not None and now < self._told_at - 0.001:
                self.observer.counts["early_repeats"] += 1
        self._told_at = None
        volume = self.volume
        again = "Client-Retry: 1\r\n" if self._tries > 1 and self.kind.marks else ""
        body = "0123456789abcdef" if ask.write else ""
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        self.observer.counts["asked"] += 1
        self._over = self._world.reactor.callLater(ask.deadline_s + SLACK_S, self._too_late)
        line.link.write(
            f"{'PUT' if ask.write else 'GET'} /api HTTP/1.1\r\nHost: app.svc\r\n"
            f"Request-Id: {self._world.name(ask)}\r\nRequest-Class: {'write' if ask.write else 'read'}\r\n"
            f"X-Plan: {volume.plan}\r\nCookie: block={ask.key:016x}\r\n"
            f"Request-Timeout-Ms: {round(ask.deadline_s * 1000)}\r\n{again}{length}"
            f"X-IO: volume={volume.name:016x},units={ask.units},shard={volume.node},"
            f"hosts={len(volume.heads)}\r\n\r\n{body}".encode()
        )

    def _end(self) -> None:
        self._asked = False
        if self._over is not None and self._over.active():
            self._over.cancel()
        self._over = None

    def answered(self, line: _Line, head: Head) -> None:
        if not self._asked or line is not self._line:
            self.observer.counts["answered_twice"] += 1
            return
        self._end()
        if self.kind.redials or not head.keep_alive:
            self._line = None
            line.link.loseConnection()
        now = self._world.reactor.seconds()
        if head.status == 200:
            assert self._now is not None
            wish, ask = self._now
            wish.in_time = now <= wish.due + ask.aim_s
            self.observer.counts["served"] += 1
            self._world.reactor.callLater(TURN_S, self._next)
            self._now = None
            return
        self.observer.counts["refused" if head.status in (429, 503) else "failed"] += 1
        told = head.headers.get("retry-after")
        self._failed(float(told) if told is not None else None)

    def broken(self, line: _Line) -> None:
        """The head ended the connection; with a request out that is a failure without an answer."""
        if line is not self._line:
            return
        self._line = None
        if self._asked:
            self._end()
            self.observer.counts["unanswered"] += not self.stopped
            self._failed(None)

    def _too_late(self) -> None:
        self.observer.counts["unanswered"] += 1
        line, self._line = self._line, None
        self._end()
        if line is not None:
            line.link.abortConnection()
        self._failed(None)

    def _failed(self, told_s: float | None) -> None:
        if self.kind.tries and self._tries >= self.kind.tries:
            self.observer.counts["left"] += 1
            line, self._line = self._line, None
            if line is not None:
                line.link.loseConnection()
            self._now = None
            self._world.reactor.callLater(TURN_S, self._next)
            return
        if told_s is not None:
            self._told_at = self._world.reactor.seconds() + told_s
        wait = self.kind.wait(told_s, self._rng)
        self._world.reactor.callLater(max(wait, TURN_S), self._try)

    def stop(self) -> None:
        """The experiment is over."""
        self.stopped = True
        self._end()
        if self._line is not None:
            self._line.link.abortConnection()
