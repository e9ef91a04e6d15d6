"""The peers of the gateways in a trial: storage nodes, clients with a moving load, and a judge.

The judge observes only what arrives at the nodes and which answers the clients receive; it uses nothing that
gateways report about themselves.
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

SERVICE_TIME_S = 0.004
ARRIVAL_SPREAD_S = 0.15  # requests that gateways sent up to this long apart may arrive at nodes together
DEADLINE_S = 3.0  # the full time of the class: with less, the gateway would count the request as a retry
ANSWER_SLACK_S = 1.0  # after its deadline, until a request counts as lost
MAX_CONNECTIONS = 24  # of all clients, to one gateway
MAX_IDLE_S = 5.0  # a client reuses no connection that was idle for longer; the gateway closes them after 15 s


@dataclass(slots=True)
class TrialCounts:
    """The counters of a trial; --json prints them by these names, but ``lowest_units`` as ``least_units``."""

    overspent: int = 0
    lost: int = 0
    answered_twice: int = 0
    two_out: int = 0  # attempts that arrived at a node while another of the request was pending there
    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0  # answered with another error
    unreached: int = 0  # not sent for want of a connection, or the gateway's process was ended
    lowest_units: float = 0.0  # lowest level of the fleet's bucket, with the allowance for ARRIVAL_SPREAD_S
    arrivals: list[tuple[float, str, float]] = field(default_factory=list)  # time, gateway, units
    answers: list[tuple[float, str, str]] = field(default_factory=list)  # time, gateway, outcome


class Node(HttpListener):
    """A storage node that answers each request after SERVICE_TIME_S and reports its arrival to the judge."""

    def __init__(self, reactor: Any, name: str, shard: int, judge: FleetJudge) -> None:
        self.shard, self._judge = shard, judge
        self._pending: dict[str, HttpConnection] = {}
        super().__init__(reactor, name)

    def lost(self, connection: HttpConnection) -> None:
        """The requests of a closed connection are no longer pending."""
        super().lost(connection)
        for name in [name for name, at in self._pending.items() if at is connection]:
            del self._pending[name]

    def message(self, connection: HttpConnection, head: Head, body: bytes) -> None:
        """Count a request and answer it later; a health check is answered at once."""
        name = head.headers.get("request-id", "")
        if not name:  # a health check
            connection.link.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        if name in self._pending:
            self._judge.counts.two_out += 1
        self._pending[name] = connection
        self._judge.attempt_arrived(name)
        self._reactor.callLater(SERVICE_TIME_S, self._served, name, connection)

    def _served(self, name: str, connection: HttpConnection) -> None:
        if self._pending.get(name) is connection:
            del self._pending[name]
            connection.link.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


class FleetJudge:
    """Checks the limit of one volume by what reached the nodes."""

    def __init__(self, seconds: Callable[[], float], limit: Limit) -> None:
        self._seconds, self.counts = seconds, TrialCounts()
        self._units: dict[str, tuple[str, float]] = {}  # by request: its gateway and units
        self._judge = ReferenceBucket(limit.rate, limit.burst + ARRIVAL_SPREAD_S * limit.rate, self.now)

    @property
    def now(self) -> int:
        """The current time in microseconds."""
        return int(self._seconds() * 1e6)

    def request_sent(self, request: str, gateway: str, units: float) -> None:
        """Count a request that a client sends to ``gateway``."""
        self._units[request] = gateway, units
        self.counts.asked += 1

    def attempt_arrived(self, request: str) -> None:
        """Take the units of a request at its first attempt; later attempts take none."""
        found = self._units.pop(request, None)
        if found is None:
            return
        gateway, units = found
        self._judge.charge(self.now, units)
        self.counts.arrivals.append((self._seconds(), gateway, units))
        self.counts.overspent, self.counts.lowest_units = self._judge.violations, self._judge.least

    def change_limit(self, limit: Limit) -> None:
        """Apply another limit: a higher one at once, a lower one by ``enforce_lower_limit``."""
        self._judge.change(self.now, Limit(limit.rate, limit.burst + ARRIVAL_SPREAD_S * limit.rate))

    def enforce_lower_limit(self, after_s: float) -> None:
        """Enforce the latest lower limit from ``after_s`` seconds on."""
        self._judge.settle(self.now + int(after_s * 1e6))


class _ClientConnection(HttpConnection):
    """A client connection with one request at a time; ``request`` is empty while none is pending."""

    def __init__(self, clients: Clients) -> None:
        super().__init__(clients, answers=True)
        self._reactor = clients.reactor
        self.request = ""
        self.sent_at = self.idle_since = 0.0  # when the request was sent, and when the last answer came

    def send(self, request: str, text: bytes) -> None:
        """Write a request."""
        self.request, self.sent_at = request, self._reactor.seconds()
        self.link.write(text)


class Clients:
    """All clients of one gateway.

    Connections that end without an answer count as lost, or as unreached while ``excused`` returns true.
    """

    def __init__(
        self, reactor: Any, name: str, address: tuple[str, int], gateways: int, judge: FleetJudge,
        excused: Callable[[], bool],
    ) -> None:  # fmt: skip
        self.reactor, self.name, self._address, self._gateways = reactor, name, address, gateways
        self.judge, self._excused = judge, excused
        self._idle: deque[_ClientConnection] = deque()
        self._open: dict[_ClientConnection, None] = {}
        self._dialing = 0
        self._number = 0

    def send_request(self, units: int, volume: int = 1) -> None:
        """Send one request on an idle connection or a new one.

        With MAX_CONNECTIONS in use it is not sent, and counts as unreached.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection in self._open and self.reactor.seconds() - connection.idle_since > MAX_IDLE_S:
                connection.link.loseConnection()  # the gateway may be closing it at this moment
            elif connection in self._open:
                self._send(connection, units, volume)
                return
        if len(self._open) + self._dialing >= MAX_CONNECTIONS:
            self.judge.counts.unreached += 1
            return
        self._dialing += 1
        dialed = dial(self.reactor, self._address, 1.0, lambda: _ClientConnection(self))
        dialed.addCallbacks(self._connected, self._connect_failed, (units, volume))

    def _connected(self, connection: _ClientConnection, units: int, volume: int) -> None:
        self._dialing -= 1
        self._open[connection] = None
        self._send(connection, units, volume)

    def _connect_failed(self, failure: Failure) -> None:
        self._dialing -= 1
        self.judge.counts.unreached += 1

    def _send(self, connection: _ClientConnection, units: int, volume: int) -> None:
        self._number += 1
        request = f"{self.name}-{self._number}"
        self.judge.request_sent(request, self.name, units)
        connection.send(request, (
            f"GET /api HTTP/1.1\r\nHost: a\r\nRequest-Id: {request}\r\nRequest-Class: read\r\n"
            f"X-Plan: limited\r\nCookie: block={self._number % 997:x}\r\n"
            f"Request-Timeout-Ms: {int(DEADLINE_S * 1000)}\r\n"
            f"X-IO: volume={volume:x},units={units},shard={self._number % 2},hosts={self._gateways}\r\n\r\n"
        ).encode())  # fmt: skip

    def opened(self, connection: _ClientConnection) -> None:
        """Ignored: a connection is recorded when dialing succeeds."""

    def begins(self, head: Head) -> None:
        """Ignored: only complete answers count."""

    def saw(self, *words: str) -> None:
        """Count bytes that are no valid answer as a second answer."""
        self.judge.counts.answered_twice += 1

    def message(self, connection: _ClientConnection, head: Head, body: bytes) -> None:
        """Count a complete answer; interim ones (1xx) are ignored."""
        counts = self.judge.counts
        if head.status < 200:
            return
        if not connection.request:
            counts.answered_twice += 1
            return
        connection.request = ""
        outcome = "served" if head.status == 200 else "refused" if head.status in (429, 503) else "failed"
        setattr(counts, outcome, getattr(counts, outcome) + 1)
        counts.answers.append((self.reactor.seconds(), self.name, outcome))
        if head.keep_alive:
            connection.idle_since = self.reactor.seconds()
            self._idle.append(connection)
        else:
            connection.link.loseConnection()

    def lost(self, connection: _ClientConnection) -> None:
        """Count a pending request of a closed connection as lost or, if excused, as unreached."""
        self._open.pop(connection, None)
        if connection.request:
            if self._excused():
                self.judge.counts.unreached += 1
            else:
                self.judge.counts.lost += 1
            connection.request = ""

    def overdue(self, now: float) -> int:
        """The number of requests without an answer ANSWER_SLACK_S after their deadline."""
        return sum(
            bool(connection.request) and now - connection.sent_at > DEADLINE_S + ANSWER_SLACK_S
            for connection in self._open
        )

    def abort_connections(self) -> None:
        """Abort all connections, as the process at their other end was killed."""
        for connection in list(self._open):
            connection.link.abortConnection()

    def close(self) -> None:
        """Abort all connections; pending requests are excused."""
        self._excused = lambda: True
        self.abort_connections()


class MovingDemand:
    """Random requests for one volume, unevenly distributed over the gateways.

    The distribution changes every 4 to 12 s.  ``rate`` is in units a second, for all gateways together.
    """

    def __init__(self, reactor: Any, seed: int, clients: dict[str, Clients], rate: float) -> None:
        self._reactor, self._rng, self._clients = reactor, random.Random(seed), clients
        self._mean_gap_s = MEAN_REQUEST_UNITS / rate
        self._names = list(clients)
        self.weights: dict[str, float] = {}
        self.stopped = False
        self._next_at = reactor.seconds()
        self._shift_load()
        self._send_due()

    def _shift_load(self) -> None:
        weights = [1 / (n + 1) ** 1.5 for n in range(len(self._names))]
        self._rng.shuffle(weights)
        self.weights = dict(zip(self._names, weights, strict=True))
        if not self.stopped:
            self._reactor.callLater(self._rng.uniform(4, 12), self._shift_load)

    def _send_due(self) -> None:
        """Send all requests that are due; arrivals do not depend on answers."""
        now = self._reactor.seconds()
        while self._next_at <= now and not self.stopped:
            self._next_at += self._rng.expovariate(1 / self._mean_gap_s)
            name = self._rng.choices(self._names, list(self.weights.values()))[0]
            self._clients[name].send_request(self._rng.choice(REQUEST_UNITS))
        if not self.stopped:
            self._reactor.callLater(max(0.001, self._next_at - now), self._send_due)


def gateway_config(
    directory: Directory, listen_port: int, management_port: int, limit: Limit, gateways: int, index: int
) -> dict[str, Any]:
    """The configuration of a gateway in the platform's format, with one plan under ``limit``."""
    from .. import defaults

    settings = defaults.settings()
    settings["balancers"], settings["me"] = gateways, index
    settings["contracts"] = [{
        "name": "limited", "rate": limit.rate, "reserve": 0.8 * limit.rate, "parts": 1.0, "pays": 1.0,
        "never_over": limit.rate, "most_at_once": limit.burst,
    }]  # fmt: skip
    return {
        "name": f"head-{index}", "listen": f"127.0.0.1:{listen_port}", "discovery": directory.address,
        "seed": "7", "management": f"127.0.0.1:{management_port}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": directory.listing(True), "settings": settings,
    }  # fmt: skip
