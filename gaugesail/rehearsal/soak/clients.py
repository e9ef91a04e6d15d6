"""The clients of a gateway: keep-alive connections with one request at a time, and some that misbehave."""

from __future__ import annotations

import random
from collections import deque
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from ...http.messages import Head
from ...net import dial
from ..kill_time import KILL_DELAY_S
from ..peers import HttpConnection
from . import plan
from .judge import Rule, SentRequest, SoakJudge
from .large_requests import LargeRequestWriter
from .new_request import NewRequest, draw_request

MAX_CONNECTIONS = 60
CONNECT_S = 2.0
MAX_IDLE_S = 20.0  # a connection that was idle for longer is not reused
NEW_CONNECTION_SHARE = 0.15  # of requests that open a connection although some are idle
LONGEST_IDLE_SHARE = 0.3  # of requests that use the connection that was idle for longest
RESTING_CLIENTS = 24
CROWD = 120  # idle connections of a crowd
REPEATED_SHARE = 0.5  # of clients that left, after which the id comes again
REPEATED_S = (0.0, 2.0)  # later
EXCUSE_LASTS_S = 0.3  # after a SIGKILL, until the ends of its connections are observed
SLOW_READER_SHARE = 0.2  # of the clients of long answers, which rest when the answer begins
READ_RESTS_S = (0.05, 0.4, 1.0)
NOTICED_LATEST_S = EXCUSE_LASTS_S + max(READ_RESTS_S)  # a client that rests notices the end after it
CONNECT_AFTER_TERM_S = (0.2, 0.4)  # how long new connections are opened after a SIGTERM


class SoakConnection(HttpConnection):
    """A client connection."""

    def __init__(self, clients: SoakClients) -> None:
        super().__init__(clients, answers=True)
        self.reactor = clients.reactor
        self.request: SentRequest | None = None
        self.text = b""  # of the pending request
        self.fresh = True  # it has received no answer yet
        self.idle_since = 0.0
        self.close_reason = ""  # the class of the exception that ended it
        self.rest_s: float | None = None  # its client rests for so long after an answer, then sends once more
        self.read_rest_s = 0.0  # its client reads nothing for so long when an answer begins

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm (TCP_NODELAY)."""
        self.link.setTcpNoDelay(True)
        super().connectionMade()

    def header_received(self, head: Head) -> None:
        """Note when an answer begins, and rest."""
        if self.request is not None and head.status >= 200:
            self.request.client_began_at = self.reactor.seconds()
        rest_s, self.read_rest_s = self.read_rest_s, 0.0
        if rest_s:
            self.link.pauseProducing()
            self.reactor.callLater(rest_s, self.read_on)

    def read_on(self) -> None:
        """End a rest."""
        if not self.lost and self.link.connected:
            self.link.resumeProducing()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Keep the reason for the judge."""
        self.lost = True
        self.close_reason = type(reason.value).__name__
        super().connectionLost(reason)


class SoakClients:
    """All clients of one gateway."""

    def __init__(
        self, reactor: Any, gateway: str, address: tuple[str, int], judge: SoakJudge, rng: random.Random,
        soak_plan: plan.SoakPlan, longest_deadline_s: float,
    ) -> None:  # fmt: skip
        self.reactor, self.gateway, self.address = reactor, gateway, address
        self._judge, self._rng, self._plan = judge, rng, soak_plan
        self._longest_deadline_s = longest_deadline_s
        self._idle: deque[SoakConnection] = deque()
        self._open: set[SoakConnection] = set()
        self._dialing = 0
        self._number = 0
        self.serving = False  # new connections are opened
        self.killed = False  # its process is being killed or has ended: pending requests are excused
        self._excused_before = 0.0  # requests of before may be unanswered as a process is killed
        self._ids_known_from = 0.0  # its processes remember the ids of requests since then
        self._crowds = 0  # that occupy its connections now
        self._killed_at = float("-inf")  # when its process was killed without a SIGTERM
        self._killed_amid_at = float("-inf")  # when one was killed after SIGTERM
        self.leave_share = 0.02  # of requests whose client closes before the answer
        self.bad_share = 0.0  # of requests in whose place a client misbehaves

    @property
    def _is_full(self) -> bool:
        """Whether no further connection may be opened, beside those of crowds."""
        return len(self._open) + self._dialing >= MAX_CONNECTIONS + self._crowds * CROWD

    # ---- sending ----

    def send_request(self) -> None:
        """Send a request on an idle connection or a new one, or misbehave, by chance."""
        if self._rng.random() < self.bad_share:
            self._misbehave()
            return
        opens = self.serving and self._rng.random() < NEW_CONNECTION_SHARE
        while self._idle and not opens:
            longest = self._rng.random() < LONGEST_IDLE_SHARE
            connection = self._idle.popleft() if longest else self._idle.pop()
            if connection in self._open and self.reactor.seconds() - connection.idle_since < MAX_IDLE_S:
                self._send(connection, self._new_request())
                return
            if connection in self._open:
                connection.link.loseConnection()
        self._connect_and_send(self._new_request())

    def _connect_and_send(self, new: NewRequest) -> None:
        if not self.serving or self._is_full:
            self._judge.counts["unreached"] += 1
            return
        self._dialing += 1
        dialed = dial(self.reactor, self.address, CONNECT_S, lambda: SoakConnection(self))
        dialed.addCallbacks(self._connected, self._not_connected, (new,))

    def _connected(self, connection: SoakConnection, new: NewRequest) -> None:
        self._dialing -= 1
        if connection in self._open:
            self._send(connection, new)

    def _not_connected(self, failure: Failure) -> None:
        self._dialing -= 1
        self._judge.counts["unreached"] += 1

    def _new_request(self) -> NewRequest:
        self._number += 1
        return draw_request(self._rng, self._plan, f"{self.gateway}-{self._number}", self._longest_deadline_s)

    def _send(self, connection: SoakConnection, new: NewRequest) -> None:
        request = self._judge.request_sent(new, self.gateway)
        connection.request, connection.text = request, new.text
        request.may_be_unread = connection.fresh and self._crowds > 0
        if new.large_body is not None:
            self._write_large(connection, request, new.text, new.large_body.pieces)
        elif self._rng.random() < 0.05 and len(new.text) > 40:  # a client that writes in two pieces
            cut = self._rng.randrange(1, len(new.text))
            connection.link.write(new.text[:cut])
            request.is_written = False
            self.reactor.callLater(
                self._rng.uniform(0.0, 0.02), self._send_rest, connection, request, new.text[cut:]
            )
        else:
            connection.link.write(new.text)
        if new.long_answer is not None and self._rng.random() < SLOW_READER_SHARE:
            connection.read_rest_s = self._rng.choice(READ_RESTS_S)
        if self._rng.random() < self.leave_share:
            after_s = self._rng.choice((0.0, 0.01, 0.3)) * self._rng.random()
            self.reactor.callLater(after_s, self._leave, connection, request)

    def _write_large(
        self, connection: SoakConnection, request: SentRequest, text: bytes, pieces: int
    ) -> None:
        """Write a large request; its time begins once the kernel has its last byte."""
        request.is_written = False
        LargeRequestWriter(
            self.reactor,
            connection,
            text,
            pieces,
            lambda: connection.request is request and not connection.lost,
            lambda: self._judge.request_written(request),
        ).write()

    def _send_rest(self, connection: SoakConnection, request: SentRequest, rest: bytes) -> None:
        if connection.request is request and not connection.lost:
            connection.link.write(rest)
            self._judge.request_written(request)

    def _leave(self, connection: SoakConnection, request: SentRequest) -> None:
        if connection.request is not request or connection not in self._open:
            return
        self._judge.client_left(request)
        connection.request = None
        # A regular close would first write the rest of a large request.
        if self._rng.random() < 0.5 or not request.is_written:
            connection.link.abortConnection()
        else:
            connection.link.loseConnection()
        if self._rng.random() < REPEATED_SHARE:
            self.reactor.callLater(self._rng.uniform(*REPEATED_S), self._repeat, request, connection.text)

    def _repeat(self, request: SentRequest, text: bytes) -> None:
        """Use the id of a request that may have run for a client that left once more, at any process."""
        known = request.at >= self._ids_known_from and self.serving and not self.killed
        ran = any(arrival.may_have_run for arrival in request.arrivals)
        if not ran or not known or self._judge.exemptions.has_broken_connections(self.gateway, request.at):
            return
        self._judge.counts["repeated"] += 1
        dialed = dial(self.reactor, self.address, CONNECT_S, lambda: SoakConnection(self))
        dialed.addCallbacks(lambda connection: connection.link.write(text), lambda _: None)

    def ids_forgotten(self) -> None:
        """Its only process ends: the next one does not know the ids of before."""
        self._ids_known_from = float("inf")

    def hostile_begin(self, behaviours: list[str], is_crowd: bool) -> None:
        """Hostile clients come to the gateway; as a crowd they may fill its descriptors."""
        self._crowds += is_crowd
        for behaviour in behaviours:
            self._judge.counts[f"hostile_{behaviour}"] += 1

    def hostile_end(self, is_crowd: bool) -> None:
        """The hostile clients leave."""
        self._crowds -= is_crowd

    # ---- misbehaving ----

    def _misbehave(self) -> None:
        if not self.serving or self._is_full:
            return
        self._dialing += 1
        dialed = dial(self.reactor, self.address, CONNECT_S, lambda: SoakConnection(self))
        dialed.addCallbacks(self._send_malformed, self._not_connected)

    def _send_malformed(self, connection: SoakConnection) -> None:
        self._dialing -= 1
        connection.fresh = False
        misbehaviour = self._rng.choice(("silent", "half", "noise", "headless", "burst"))
        text = self._new_request().text
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
        connection.read_on()
        self._judge.answer_received(request, head.status, body)
        if not (head.keep_alive and request.is_written):
            connection.link.loseConnection()
        elif connection.rest_s is not None:
            self.reactor.callLater(connection.rest_s, self._send_after_rest, connection)
        else:
            connection.idle_since = self.reactor.seconds()
            self._idle.append(connection)

    def lost(self, connection: SoakConnection) -> None:
        """Resend the pending request of a closed connection, or report that it has no answer."""
        self._open.discard(connection)
        request, connection.request = connection.request, None
        if request is None:
            return
        is_killed = self.killed or request.at <= self._killed_at  # a client that rests notices it later
        if is_killed or request.at <= self._excused_before or self._was_killed_amid(connection, request):
            request.excused = True
        # Crossed: sent while the gateway closed the kept connection, and not read; it is sent once more.
        crossed = not (connection.fresh or connection.half) and self._judge.may_have_crossed(request)
        if crossed and not request.excused:
            self._judge.counts["crossed"] += 1
            self._resend(request, connection.text)
        else:
            amid = " amid the answer" if connection.half else ""
            kept = "a fresh" if connection.fresh else "a kept"
            self._judge.no_answer(request, f"{kept} connection ended{amid}: {connection.close_reason}")

    def _resend(self, request: SentRequest, text: bytes) -> None:
        if not self.serving or self._is_full:
            request.excused = True
            self._judge.no_answer(request, "no connection to resend it on")
            return
        self._dialing += 1
        dialed = dial(self.reactor, self.address, CONNECT_S, lambda: SoakConnection(self))

        def connected(connection: SoakConnection) -> None:
            self._dialing -= 1
            self._judge.request_written(request)
            connection.request, connection.text = request, text
            connection.link.write(text)

        def not_connected(failure: Failure) -> None:
            self._dialing -= 1
            request.excused = True
            self._judge.no_answer(request, "no connection")

        dialed.addCallbacks(connected, not_connected)

    # ---- clients that rest ----

    def rest(self, latest_s: float) -> None:
        """Connect clients that each send, rest for up to ``latest_s``, and send once more."""
        for _ in range(RESTING_CLIENTS):
            if not self._is_full:
                self._dialing += 1
                dialed = dial(self.reactor, self.address, CONNECT_S, lambda: SoakConnection(self))
                dialed.addCallbacks(self._send_before_rest, self._not_connected, (latest_s,))

    def _send_before_rest(self, connection: SoakConnection, latest_s: float) -> None:
        connection.rest_s = self._rng.uniform(0.0, latest_s)
        self._connected(connection, self._new_request())

    def _send_after_rest(self, connection: SoakConnection) -> None:
        connection.rest_s = None
        if connection in self._open:
            self._send(connection, self._new_request())

    # ---- crowds ----

    def crowd_begins(self) -> list[SoakConnection]:
        """Connect many clients that say nothing, and return their connections as they open."""
        self._crowds += 1
        crowd: list[SoakConnection] = []
        for _ in range(CROWD):
            dialed = dial(self.reactor, self.address, CONNECT_S, lambda: SoakConnection(self))
            dialed.addCallbacks(crowd.append, lambda _: None)
        return crowd

    def crowd_ends(self, crowd: list[SoakConnection]) -> None:
        """Disconnect a crowd."""
        self._crowds -= 1
        for connection in crowd:
            self._abort(connection)

    # ---- the gateway's process ----

    def process_killed_after_term(self, term_at: float) -> None:
        """A process is killed after SIGTERM: only what came early enough may be unanswered, or unfinished."""
        self._excused_before = term_at + KILL_DELAY_S
        self._killed_amid_at = self.reactor.seconds()
        self.reactor.callLater(EXCUSE_LASTS_S, self._end_excuse)

    def _end_excuse(self) -> None:
        self._excused_before = 0.0

    def _was_killed_amid(self, connection: SoakConnection, request: SentRequest) -> bool:
        """Whether a SIGKILL after SIGTERM has ended a long answer that had begun."""
        ago_s = self.reactor.seconds() - self._killed_amid_at
        is_begun = request.long_answer is not None and connection.half
        return is_begun and request.at <= self._killed_amid_at and ago_s <= NOTICED_LATEST_S

    @property
    def has_unfinished_answers(self) -> bool:
        """Whether any long answer has begun and goes on."""
        pending = (connection.request for connection in self._open if connection.half)
        return any(request is not None and request.long_answer is not None for request in pending)

    def process_killed(self) -> None:
        """The process is being killed."""
        self.serving, self.killed = False, True
        self._killed_at = self.reactor.seconds()
        self.ids_forgotten()

    def process_ready(self) -> None:
        """A process is ready to serve."""
        self.serving, self.killed = True, False
        if self._ids_known_from == float("inf"):
            self._ids_known_from = self.reactor.seconds()

    def close(self) -> None:
        """Abort all connections without a report."""
        self.process_killed()
        for connection in list(self._open):
            connection.request = None
            connection.link.abortConnection()
