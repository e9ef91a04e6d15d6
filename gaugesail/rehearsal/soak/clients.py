"""The clients of one head: they keep connections, wait for one answer at a time, and some behave badly."""

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
from .judge import Asked, Rule, SoakJudge

MOST_CONNECTIONS = 40
CONNECT_S = 2.0
RESTED_S = 3.0  # a connection that has been idle for longer is not used again
AskedFor = tuple[str, plan.RequestKind, float]  # the id, the class, and seconds until it is given up
ARRIVALS_S = 0.3  # for so long after a SIGTERM new connections are opened


class SoakClient(HttpConnection):
    """One connection of a client."""

    def __init__(self, clients: SoakClients) -> None:
        super().__init__(clients, answers=True)
        self.asked: Asked | None = None
        self.text = b""  # of the request in hand
        self.first = True  # the connection has carried no answer yet
        self.idle_at = 0.0
        self.reason = ""  # of its end

    def connectionMade(self) -> None:
        self.link.setTcpNoDelay(True)
        super().connectionMade()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.reason = type(reason.value).__name__
        super().connectionLost(reason)


class SoakClients:
    """All clients of one head."""

    def __init__(
        self, reactor: Any, head: str, address: tuple[str, int], judge: SoakJudge, rng: random.Random,
        shards: int, heads: int,
    ) -> None:  # fmt: skip
        self.reactor, self.head, self._address = reactor, head, address
        self._judge, self._rng, self._shards, self._heads = judge, rng, shards, heads
        self._idle: deque[SoakClient] = deque()
        self._open: set[SoakClient] = set()
        self._dialling = 0
        self._number = 0
        self.serving = False  # new connections are opened
        self.killed = False  # its process is being killed, or is dead: what it owes died with it
        self.leave_share = 0.02  # of clients that go before they have their answer
        self.bad_share = 0.0  # that send half a request and stay, or noise

    # ---- asking ----

    def ask(self) -> None:
        """One request, on an idle connection or a new one."""
        if self._rng.random() < self.bad_share:
            self._misbehave()
            return
        while self._idle:
            client = self._idle.pop()
            if client in self._open and self.reactor.seconds() - client.idle_at < RESTED_S:
                self._send(client, *self._request())
                return
            if client in self._open:
                client.link.loseConnection()
        self._open_for(*self._request())

    def _open_for(self, asked_for: AskedFor, text: bytes) -> None:
        if not self.serving or len(self._open) + self._dialling >= MOST_CONNECTIONS:
            self._judge.counts["unreached"] += 1
            return
        self._dialling += 1
        made = dial(self.reactor, self._address, CONNECT_S, lambda: SoakClient(self))
        made.addCallbacks(self._connected, self._not_connected, (asked_for, text))

    def _connected(self, client: SoakClient, asked_for: AskedFor, text: bytes) -> None:
        self._dialling -= 1
        if client in self._open:
            self._send(client, asked_for, text)

    def _not_connected(self, failure: Failure) -> None:
        self._dialling -= 1
        self._judge.counts["unreached"] += 1

    def _request(self) -> tuple[AskedFor, bytes]:
        self._number += 1
        name = f"{self.head}-{self._number}"
        kind = self._rng.choices(plan.KINDS, [kind.share for kind in plan.KINDS])[0]
        due_s = kind.deadline_s if self._rng.random() < 0.85 else self._rng.uniform(0.002, 0.4)
        due_s = max(1, int(due_s * 1000)) / 1000
        body = b"b" * self._rng.choice((10, 300, 3000)) if kind.writes else b""
        head = (
            f"{'PUT' if kind.writes else 'GET'} /api HTTP/1.1\r\nHost: a\r\nRequest-Id: {name}\r\n"
            f"Request-Class: {kind.name}\r\nX-Plan: {self._rng.choice(('basic', 'priority'))}\r\n"
            f"Cookie: block={self._rng.getrandbits(32):x}\r\nRequest-Timeout-Ms: {round(due_s * 1000)}\r\n"
            f"X-IO: volume={self._rng.randrange(1, 40):x},units={self._rng.randint(1, plan.MOST_UNITS)},"
            f"shard={self._rng.randrange(self._shards)},hosts={min(3, self._heads)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return (name, kind, due_s), head.encode() + body

    def _send(self, client: SoakClient, asked_for: AskedFor, text: bytes) -> None:
        name, kind, due_s = asked_for
        client.asked, client.text = self._judge.asked(name, self.head, kind, due_s), text
        if self._rng.random() < 0.05 and len(text) > 40:  # a client that writes in two pieces
            cut = self._rng.randrange(1, len(text))
            client.link.write(text[:cut])
            self.reactor.callLater(self._rng.uniform(0.0, 0.02), self._rest, client, client.asked, text[cut:])
        else:
            client.link.write(text)
        if self._rng.random() < self.leave_share:
            after_s = self._rng.choice((0.0, 0.01, 0.3)) * self._rng.random()
            self.reactor.callLater(after_s, self._leave, client, client.asked)

    @staticmethod
    def _rest(client: SoakClient, asked: Asked, rest: bytes) -> None:
        if client.asked is asked and not client.lost:
            client.link.write(rest)

    def _leave(self, client: SoakClient, asked: Asked) -> None:
        if client.asked is not asked or client not in self._open:
            return
        self._judge.left(asked)
        client.asked = None
        if self._rng.random() < 0.5:
            client.link.abortConnection()
        else:
            client.link.loseConnection()

    # ---- misbehaving ----

    def _misbehave(self) -> None:
        if not self.serving or len(self._open) + self._dialling >= MOST_CONNECTIONS:
            return
        self._dialling += 1
        made = dial(self.reactor, self._address, CONNECT_S, lambda: SoakClient(self))
        made.addCallbacks(self._bad_connected, self._not_connected)

    def _bad_connected(self, client: SoakClient) -> None:
        self._dialling -= 1
        client.first = False
        how = self._rng.choice(("silent", "half", "noise", "headless", "burst"))
        text = self._request()[1]
        match how:
            case "half":
                client.link.write(text[: len(text) // 2])
            case "noise":
                client.link.write(bytes(self._rng.getrandbits(8) for _ in range(200)))
            case "headless":
                client.link.write(b"GET /api HTTP/1.1\r\nHost: a\r\n\r\n")
            case "burst":
                client.link.write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n" * 30)
        self.reactor.callLater(self._rng.uniform(0.05, 4.0), self._drop, client)

    def _drop(self, client: SoakClient) -> None:
        if client in self._open:
            client.link.abortConnection()

    # ---- what comes back ----

    def opened(self, client: SoakClient) -> None:
        self._open.add(client)

    def begins(self, head: Head) -> None:
        pass

    def saw(self, *words: str) -> None:
        self._judge.broke(Rule.WRONG_ANSWER, self.head, " ".join(words))

    def message(self, client: SoakClient, head: Head, body: bytes) -> None:
        if head.status < 200:
            return
        asked, client.asked = client.asked, None
        if asked is None:
            return  # of one that misbehaves
        client.first = False
        self._judge.answered(asked, head.status, body)
        if head.keep_alive:
            client.idle_at = self.reactor.seconds()
            self._idle.append(client)
        else:
            client.link.loseConnection()

    def lost(self, client: SoakClient) -> None:
        self._open.discard(client)
        asked, client.asked = client.asked, None
        if asked is None:
            return
        if self.killed:
            asked.excused = True
        # Where the close crossed a request that the head has not read, a client sends it once more.
        crossed = not client.first and not client.half and not asked.arrivals
        if crossed and not asked.excused:
            self._judge.counts["crossed"] += 1
            self._again(asked, client.text)
        else:
            amid = " amid the answer" if client.half else ""
            kept = "a fresh" if client.first else "a kept"
            self._judge.unanswered(asked, f"{kept} connection ended{amid}: {client.reason}")

    def _again(self, asked: Asked, text: bytes) -> None:
        if not self.serving or len(self._open) >= MOST_CONNECTIONS:
            asked.excused = True
            self._judge.unanswered(asked, "no head to send it to again")
            return
        self._dialling += 1
        made = dial(self.reactor, self._address, CONNECT_S, lambda: SoakClient(self))

        def connected(client: SoakClient) -> None:
            self._dialling -= 1
            asked.at = self.reactor.seconds()
            client.asked, client.text = asked, text
            client.link.write(text)

        def not_connected(failure: Failure) -> None:
            self._dialling -= 1
            asked.excused = True
            self._judge.unanswered(asked, "no connection")

        made.addCallbacks(connected, not_connected)

    # ---- the head's process ----

    def end(self) -> None:
        """The process is killed now."""
        self.serving, self.killed = False, True

    def begin(self) -> None:
        """A process serves."""
        self.serving, self.killed = True, False

    def close(self) -> None:
        self.end()
        for client in list(self._open):
            client.asked = None
            client.link.abortConnection()
