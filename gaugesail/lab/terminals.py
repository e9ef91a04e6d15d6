"""Client populations: terminals that send one request at a time and retry it, each kind in its own way."""

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
from .observer import Observer, Operation

CLIENT_DELAY_S = 0.02  # from a response to the next request, for the client's machine and network
GAP_SHAPE = 4.0  # of the gamma distribution of the gaps between operations (coefficient of variation 0.5)
DECK_SIZE = 4
RESPONSE_SLACK_S = 0.06  # allowed lateness of a final response (8 ms and 50 ms on sockets)


@dataclass(slots=True, frozen=True)
class ClientKind:
    """How clients of a kind behave when they were not served.

    They wait as Retry-After says if they honor it, else for a random time between ``min_wait_s`` and
    ``max_wait_s``.
    """

    name: str
    marks_retries: bool = True  # sends Client-Retry with each retry
    honors_retry_after: bool = False  # waits as long as Retry-After says
    reconnects: bool = False  # opens a new connection for each request
    min_wait_s: float = 0.0
    max_wait_s: float = 0.0
    max_tries: int = 0  # of one operation, before it gives up; 0: retries until it is served

    def wait(self, retry_after_s: float | None, rng: np.random.Generator) -> float:
        """Return the seconds until the next try; ``retry_after_s`` is what the response said."""
        if self.honors_retry_after and retry_after_s is not None:
            return retry_after_s
        return float(rng.uniform(self.min_wait_s, self.max_wait_s))


KINDS = {
    kind.name: kind
    for kind in (
        ClientKind("heeds", honors_retry_after=True, min_wait_s=0.25, max_wait_s=0.5),
        ClientKind("at-once"),
        ClientKind("fixed", min_wait_s=1.0, max_wait_s=1.0),
        ClientKind("random", min_wait_s=0.2, max_wait_s=2.0),
        ClientKind("unmarked", marks_retries=False, min_wait_s=0.2, max_wait_s=2.0),
        ClientKind("redials", honors_retry_after=True, reconnects=True, min_wait_s=0.25, max_wait_s=0.5),
        ClientKind("leaves", honors_retry_after=True, min_wait_s=0.25, max_wait_s=0.5, max_tries=3),
    )
}


@dataclass(slots=True, frozen=True)
class Volume:
    """A volume: its plan, its price for a unit, its node, and the gateways that its clients use."""

    name: int
    plan: str
    price: float
    node: int
    gateways: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class RequestSpec:
    """The properties of an operation's request, the same in all its retries."""

    write: bool
    units: int
    core_s: float
    key: int
    objective_s: float
    deadline_s: float


class ClientEnvironment(Protocol):
    """What a terminal needs of the simulation."""

    reactor: Any
    observer: Observer

    def draw_request(self, rng: np.random.Generator, level: float) -> RequestSpec:
        """Draw a request whose size is the quantile ``level`` of the sizes."""
        ...

    def new_request_id(self, spec: RequestSpec) -> str:
        """Return the id of a new try of a request."""
        ...

    def gateway_address(self, gateway: int) -> tuple[str, int]:
        """Return the host and port that a gateway listens on."""
        ...


class _GatewayConnection(Connection):
    """A terminal's connection to its gateway."""

    def __init__(self, terminal: Terminal) -> None:
        self._terminal, self._parser = terminal, Parser(answers=True)
        self._header_section: Head | None = None

    def connectionMade(self) -> None:
        self._terminal.connected(self)

    def dataReceived(self, data: bytes) -> None:
        self._parser.feed(data)
        try:
            while True:
                complete = False
                for part in self._parser.parts():
                    if isinstance(part, Head):
                        self._header_section = part
                    complete = isinstance(part, EndOfMessage)
                if not complete or self._header_section is None:
                    return
                header_section, self._header_section = self._header_section, None
                if header_section.status >= 200:
                    self._terminal.response_received(self, header_section)
        except BadMessage:
            self._terminal.observer.counts["malformed"] += 1

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._terminal.connection_lost(self)


class Terminal:
    """One client, whose operations fall due every ``gap_s`` seconds in the mean.

    Those that fall due while another is in progress are queued, and dropped when their latency objective has
    passed.  ``gateway`` is the index of the gateway that it connects to.
    """

    def __init__(
        self, world: ClientEnvironment, number: int, kind: ClientKind, volume: Volume, gateway: int,
        gap_s: float, rng: np.random.Generator,
    ) -> None:  # fmt: skip
        self._world, self.observer, self._rng = world, world.observer, rng
        self.number, self.kind, self.volume, self.gateway, self._gap_s = number, kind, volume, gateway, gap_s
        self._operations: deque[tuple[Operation, RequestSpec]] = deque()
        self._current: tuple[Operation, RequestSpec] | None = None  # the operation in progress
        self._busy = False  # with an operation, or in the delay after it
        self._tries = 0
        self._connection: _GatewayConnection | None = None
        self._request_pending = False  # a request was sent and has no response yet
        self._timeout: Any = None  # the timer of the response
        self._retry_at: float | None = None  # the end of the latest Retry-After
        self.stopped = False
        self._deck: list[float] = []  # the next size levels

    def _next_level(self) -> float:
        """Return the next size as a quantile, from a shuffled deck that spreads the sizes evenly."""
        if not self._deck:
            self._deck = [
                (n + float(self._rng.random())) / DECK_SIZE for n in self._rng.permutation(DECK_SIZE)
            ]
        return self._deck.pop()

    def _gap(self) -> float:
        return float(self._rng.gamma(GAP_SHAPE, self._gap_s / GAP_SHAPE))

    def start(self) -> None:
        """Schedule the first operation."""
        # The rest of a gap that is in progress at the start: the length of such a gap is drawn weighted by
        # length (length-biased sampling), the position in it uniformly.
        gap = float(self._rng.gamma(GAP_SHAPE + 1, self._gap_s / GAP_SHAPE))
        self._world.reactor.callLater(float(self._rng.random()) * gap, self._operation_due)

    def _operation_due(self) -> None:
        if self.stopped:
            return
        self._world.reactor.callLater(self._gap(), self._operation_due)
        spec, now = self._world.draw_request(self._rng, self._next_level()), self._world.reactor.seconds()
        operation = Operation(
            now, self.volume.plan, self.kind.name, self.volume.node, self.volume.price * spec.units
        )
        self.observer.operations.append(operation)
        self._operations.append((operation, spec))
        if not self._busy:
            self._next_operation()

    def _next_operation(self) -> None:
        now = self._world.reactor.seconds()
        while self._operations and self._operations[0][0].due + self._operations[0][1].objective_s < now:
            self._operations.popleft()  # its latency objective has passed
            self.observer.counts["never_asked"] += 1
        self._current, self._tries = (self._operations.popleft() if self._operations else None), 0
        self._busy = self._current is not None
        if self._busy:
            self._start_try()

    # ---- requests ----

    def _start_try(self) -> None:
        if self.stopped or self._current is None:
            return
        if self._connection is None:
            connecting = dial(
                self._world.reactor,
                self._world.gateway_address(self.gateway),
                5.0,
                lambda: _GatewayConnection(self),
            )
            connecting.addErrback(lambda _: self._not_served(None))
        else:
            self._send_request(self._connection)

    def connected(self, connection: _GatewayConnection) -> None:
        """The connection to the gateway is established."""
        self._connection = connection
        self.observer.counts["dials"] += 1
        if self._current is not None and not self._request_pending:
            self._send_request(connection)

    def _send_request(self, connection: _GatewayConnection) -> None:
        assert self._current is not None
        _, spec = self._current
        now = self._world.reactor.seconds()
        self._request_pending, self._tries = True, self._tries + 1
        if self._tries > 1:
            self.observer.retries.append((now, self.kind.name))
            if self._retry_at is not None and now < self._retry_at - 0.001:
                self.observer.counts["early_repeats"] += 1
        self._retry_at = None
        volume = self.volume
        retry_header = "Client-Retry: 1\r\n" if self._tries > 1 and self.kind.marks_retries else ""
        body = "0123456789abcdef" if spec.write else ""
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        self.observer.counts["asked"] += 1
        self._timeout = self._world.reactor.callLater(spec.deadline_s + RESPONSE_SLACK_S, self._timed_out)
        connection.link.write(
            f"{'PUT' if spec.write else 'GET'} /api HTTP/1.1\r\nHost: app.svc\r\n"
            f"Request-Id: {self._world.new_request_id(spec)}\r\n"
            f"Request-Class: {'write' if spec.write else 'read'}\r\n"
            f"X-Plan: {volume.plan}\r\nCookie: block={spec.key:016x}\r\n"
            f"Request-Timeout-Ms: {round(spec.deadline_s * 1000)}\r\n{retry_header}{length}"
            f"X-IO: volume={volume.name:016x},units={spec.units},shard={volume.node},"
            f"hosts={len(volume.gateways)}\r\n\r\n{body}".encode()
        )

    def _end_request(self) -> None:
        self._request_pending = False
        if self._timeout is not None and self._timeout.active():
            self._timeout.cancel()
        self._timeout = None

    def response_received(self, connection: _GatewayConnection, header_section: Head) -> None:
        """Handle a final response, by its header section."""
        if not self._request_pending or connection is not self._connection:
            self.observer.counts["answered_twice"] += 1
            return
        self._end_request()
        if self.kind.reconnects or not header_section.keep_alive:
            self._connection = None
            connection.link.loseConnection()
        now = self._world.reactor.seconds()
        if header_section.status == 200:
            assert self._current is not None
            operation, spec = self._current
            operation.in_time = now <= operation.due + spec.objective_s
            self.observer.counts["served"] += 1
            self._world.reactor.callLater(CLIENT_DELAY_S, self._next_operation)
            self._current = None
            return
        self.observer.counts["refused" if header_section.status in (429, 503) else "failed"] += 1
        retry_after = header_section.headers.get("retry-after")
        self._not_served(float(retry_after) if retry_after is not None else None)

    def connection_lost(self, connection: _GatewayConnection) -> None:
        """The gateway closed the connection; a pending request then has no response."""
        if connection is not self._connection:
            return
        self._connection = None
        if self._request_pending:
            self._end_request()
            self.observer.counts["unanswered"] += not self.stopped
            self._not_served(None)

    def _timed_out(self) -> None:
        self.observer.counts["unanswered"] += 1
        connection, self._connection = self._connection, None
        self._end_request()
        if connection is not None:
            connection.link.abortConnection()
        self._not_served(None)

    def _not_served(self, retry_after_s: float | None) -> None:
        if self.kind.max_tries and self._tries >= self.kind.max_tries:
            self.observer.counts["left"] += 1
            connection, self._connection = self._connection, None
            if connection is not None:
                connection.link.loseConnection()
            self._current = None
            self._world.reactor.callLater(CLIENT_DELAY_S, self._next_operation)
            return
        if retry_after_s is not None:
            self._retry_at = self._world.reactor.seconds() + retry_after_s
        delay = self.kind.wait(retry_after_s, self._rng)
        self._world.reactor.callLater(max(delay, CLIENT_DELAY_S), self._start_try)

    def stop(self) -> None:
        """End the client at the end of the experiment."""
        self.stopped = True
        self._end_request()
        if self._connection is not None:
            self._connection.link.abortConnection()
