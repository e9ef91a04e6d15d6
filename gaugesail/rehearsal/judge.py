"""Invariants of every scenario: each request gets one final answer in time, and each process serves or ends.

A scenario that leaves a request unanswered declares it with ``unanswered WHO ID...``.  Exactly the declared
requests must stay unanswered.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from ..http.messages import BadMessage, EndOfMessage, Head
from ..http.parser import Parser
from .kill_time import MAX_COUNTED_DEADLINE_S, earliest_kill_s

PROTOCOL_SLACK_S = 0.05  # the protocol's allowance on each time limit
STALLED_CLIENT_POLL_S = 0.1
PROCESS_POLL_S = 0.05
ACCEPT_AFTER_SIGTERM_S = 0.4  # clients still open new connections for this long after SIGTERM
MAX_UNREACHABLE_S = 0.1  # longest time during which no process may accept connections
MAX_LINGER_S = 0.5  # longest time that a process may run without a listener, client connections or requests


class Process(Protocol):
    """One process of the daemon, as seen from outside."""

    name: str
    stop_at: float | None  # when it received SIGTERM

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        ...

    @property
    def has_listener(self) -> bool:
        """Whether its listening socket for clients is open."""
        ...

    @property
    def accepts(self) -> bool:
        """Whether a client can connect to it."""
        ...

    @property
    def busy(self) -> bool:
        """Whether it has client connections or open requests."""
        ...


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """A request for which one final answer is expected."""

    client: str
    name: str
    start_offset: int = 0  # offset of its first byte on its connection
    complete: bool = False  # its last byte is written
    answer_begun: bool = False  # the header section of its answer was received
    settled: bool = False  # no answer is expected any more: answered, lost, or closed by its client


class Judge:
    """Checks the invariants of one scenario; ``faults`` lists the violations in the order of detection."""

    def __init__(self, reactor: Any, processes: Callable[[], Sequence[Process]], margin_s: float) -> None:
        self.reactor, self._processes = reactor, processes
        self._margin_s = margin_s  # tolerance for processes in real time
        self.max_deadline_s = MAX_COUNTED_DEADLINE_S
        self.faults: list[str] = []
        self.expected_unanswered: set[str] = set()  # "CLIENT ID", as declared by the scenario
        self.unanswered: list[str] = []
        self.closed_unread = 0
        self._requests: list[TrackedRequest] = []
        self._condition_since: dict[tuple[str, str], float] = {}  # by process and condition: when it began
        self._ended = False

    # ---- requests ----

    def add_request(self, client: str, name: str, start_offset: int = 0) -> TrackedRequest:
        """Track a request whose header section, or command, was written."""
        request = TrackedRequest(client, name, start_offset)
        self._requests.append(request)
        return request

    def request_complete(
        self, request: TrackedRequest, within_s: float | None, is_reading: Callable[[], bool]
    ) -> None:
        """Start the time limit of a request whose last byte was written.

        ``within_s`` is its own limit, or None for the longest deadline.  While ``is_reading`` returns false
        the client does not read, and a missing answer is not a fault.
        """
        request.complete = True
        limit_s = self.max_deadline_s if within_s is None else within_s
        self.reactor.callLater(
            limit_s + PROTOCOL_SLACK_S + self._margin_s, self._check_deadline, request, is_reading
        )

    def _check_deadline(self, request: TrackedRequest, is_reading: Callable[[], bool]) -> None:
        if request.settled or request.answer_begun or self._ended:
            return
        if is_reading():
            self.mark_unanswered(request, "no answer in its time")
        else:
            self.reactor.callLater(STALLED_CLIENT_POLL_S, self._check_deadline, request, is_reading)

    def answered(self, request: TrackedRequest) -> None:
        """Settle a request whose answer is complete."""
        request.settled = True

    def mark_unanswered(self, request: TrackedRequest, reason: str) -> None:
        """Settle a request that will get no final answer: a fault unless the scenario declares it."""
        if request.settled:
            return
        request.settled = True
        key = f"{request.client} {request.name}"
        self.unanswered.append(key)
        if key not in self.expected_unanswered:
            self.add_fault(f"{request.client}: request {request.name}: {reason}")

    def add_fault(self, text: str) -> None:
        """Record a violation with the current time."""
        self.faults.append(f"{self.reactor.seconds():.3f}: {text}")

    @property
    def pending(self) -> bool:
        """Whether a complete request waits for the start of its answer."""
        return any(
            request.complete and not (request.settled or request.answer_begun) for request in self._requests
        )

    def finish(self) -> None:
        """Check the requests after the end of the scenario, when every time limit has passed."""
        self._ended = True
        for request in self._requests:
            if request.answer_begun and not request.settled:
                self.mark_unanswered(request, "its answer never ended")
        for key in sorted(self.expected_unanswered - set(self.unanswered)):
            self.add_fault(f"{key} is to be left unanswered and is not")

    # ---- processes ----

    def poll_processes(self) -> None:
        """Check the processes now and every PROCESS_POLL_S until the scenario ends."""
        if not self._ended:
            self.check_processes()
            self.reactor.callLater(PROCESS_POLL_S, self.poll_processes)

    def check_processes(self) -> None:
        """Check once that each process serves or ends."""
        now, processes = self.reactor.seconds(), self._processes()
        for process in processes:
            if not process.running:
                continue
            other_accepts = any(p.running and p.accepts for p in processes if p is not process)
            must_accept = process.stop_at is None or now < process.stop_at + ACCEPT_AFTER_SIGTERM_S
            unreachable = must_accept and not process.accepts and not other_accepts
            self._check_condition(process, "nobody can come in", unreachable, MAX_UNREACHABLE_S)
            lingers = not process.has_listener and not process.busy
            self._check_condition(process, "it runs on and serves nobody", lingers, MAX_LINGER_S)
            if process.stop_at is not None:
                # An answer that is being forwarded may go on until the process is killed.
                forwarding = any(request.answer_begun and not request.settled for request in self._requests)
                late = now > process.stop_at + self.kill_after_s + self._margin_s and not forwarding
                self._check_condition(process, "it has not ended in its time", late, 0.0)

    def _check_condition(self, process: Process, condition: str, holds: bool, allowed_s: float) -> None:
        """Record a fault once a condition of a process has held for longer than allowed."""
        now, key = self.reactor.seconds(), (process.name, condition)
        if not holds:
            self._condition_since.pop(key, None)
        elif now - self._condition_since.setdefault(key, now) >= allowed_s + self._margin_s:
            self.add_fault(f"process {process.name}: {condition}")
            self._condition_since[key] = float("inf")  # reported once

    @property
    def kill_after_s(self) -> float:
        """Seconds from SIGTERM to SIGKILL."""
        return earliest_kill_s(self.max_deadline_s)

    @property
    def ending(self) -> bool:
        """Whether a process that received SIGTERM still runs."""
        return any(p.running and p.stop_at is not None for p in self._processes())


@dataclass(slots=True, eq=False)
class RequestTracker:
    """Tracks the requests of one client connection by parsing what the client writes."""

    judge: Judge
    client: str
    is_reading: Callable[[], bool]
    _parser: Parser = field(default_factory=lambda: Parser(answers=False, max_body=None))
    _open: deque[TrackedRequest] = field(default_factory=deque)
    _head: Head | None = None
    _start_offset: int = 0  # of the request that is being written
    _request: TrackedRequest | None = None  # that is being written
    _malformed: bool = False  # what the client writes from here on is not a request
    _closed_by_error: bool = False  # a 4xx answer has announced the end of the connection

    def record_write(self, data: bytes) -> None:
        """Track the requests in bytes that the client writes."""
        if self._malformed:
            return
        self._parser.feed(data)
        try:
            more = True
            while more:
                more = False
                for part in self._parser.parts():
                    if isinstance(part, Head):
                        self._head = part
                        name = part.headers.get("request-id", part.target)
                        self._request = self.judge.add_request(self.client, name, self._start_offset)
                        self._open.append(self._request)
                    elif isinstance(part, EndOfMessage):
                        self._request_complete()
                        self._start_offset = self._parser.bytes_read
                        more = self._parser.buffered > 0
        except BadMessage:
            self._malformed = True

    def _request_complete(self) -> None:
        request, head = self._request, self._head
        if request is None or head is None:
            return
        timeout_ms = head.headers.get("request-timeout-ms", "")
        self._request = self._head = None
        if not request.settled:
            self.judge.request_complete(
                request, int(timeout_ms) / 1000 if timeout_ms.isdigit() else None, self.is_reading
            )

    def header_received(self, head: Head) -> None:
        """Record the header section of a final answer."""
        if self._open:
            self._open[0].answer_begun = True
        elif not self._malformed and self._parser.between_messages:
            self.judge.add_fault(f"{self.client}: an answer that nothing asked for: {head.status}")
        self._closed_by_error = 400 <= head.status < 500 and not head.keep_alive

    def answered(self) -> None:
        """Settle the oldest open request: its answer is complete."""
        if self._open:
            self.judge.answered(self._open.popleft())

    def connection_lost(self, delivered: int | None) -> None:
        """Settle all open requests: the gateway has closed the connection.

        ``delivered`` is how many of the written bytes the gateway has read, or None if that is not known.
        """
        for request in self._open:
            if not request.complete or (self._closed_by_error and not request.answer_begun):
                request.settled = True  # never written completely, or written after the closing error
            elif not request.answer_begun and delivered is not None and request.start_offset >= delivered:
                request.settled = True
                self.judge.closed_unread += 1
            else:
                self.judge.mark_unanswered(
                    request, "its answer broke off" if request.answer_begun else "its connection ended"
                )
        self._open.clear()

    def client_closed(self) -> None:
        """Settle all open requests: the client has closed the connection and expects no answers."""
        for request in self._open:
            request.settled = True
        self._open.clear()
