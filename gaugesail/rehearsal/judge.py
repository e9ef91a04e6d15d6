"""What must hold in every scenario, whatever its lines say: each request has its answer, each process serves.

A scenario that leaves a request without one says so: ``unanswered WHO ID...``, and just these must be.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from ..http.messages import BadMessage, EndOfMessage, Head
from ..http.parser import Parser

SLACK_S = 0.05  # that the protocol adds to each time limit
STALL_LOOK_S = 0.1
LOOK_S = 0.05  # between looks at the processes
LEAST_LONGEST_S, KILL_S = 3.0, 0.7  # SIGKILL comes the longest deadline, 3 s at the least, and 0.7 s later
COMING_S = 0.4  # after SIGTERM new connections come for so long
SHUT_S = 0.1  # how long nobody may be able to come in
USELESS_S = 0.5  # how long a process may stay that serves nobody


class Process(Protocol):
    """One process of the daemon, as it is seen from outside."""

    name: str
    stop_at: float | None  # when it got SIGTERM

    @property
    def running(self) -> bool: ...
    @property
    def has_listener(self) -> bool: ...
    @property
    def accepts(self) -> bool: ...
    @property
    def busy(self) -> bool:
        """It has connections of clients, or requests that are open."""
        ...


@dataclass(slots=True, eq=False)
class Owed:
    """A request that is owed its one final answer."""

    who: str
    name: str
    start: int = 0  # its first byte on its connection
    whole: bool = False
    begun: bool = False  # the head of its answer has come
    over: bool = False  # answered, lost, or its client has gone


class Judge:
    """Keeps the books of one scenario.  ``faults`` are told as soon as they are seen."""

    def __init__(self, reactor: Any, processes: Callable[[], Sequence[Process]], margin_s: float) -> None:
        self.reactor, self._processes = reactor, processes
        self._margin_s = margin_s  # against real processes
        self.longest_s = LEAST_LONGEST_S
        self.faults: list[str] = []
        self.allowed: set[str] = set()  # that the scenario says are left without an answer
        self.unanswered: list[str] = []
        self.closed_unread = 0
        self._owed: list[Owed] = []
        self._since: dict[tuple[str, str], float] = {}  # what holds of which process, and since when
        self._ended = False

    # ---- requests ----

    def asked(self, who: str, name: str, start: int = 0) -> Owed:
        owed = Owed(who, name, start)
        self._owed.append(owed)
        return owed

    def is_whole(self, owed: Owed, within_s: float | None, waits: Callable[[], bool]) -> None:
        """Its last byte is written: its time runs.  ``waits``: its client reads what comes."""
        owed.whole = True
        within = self.longest_s if within_s is None else within_s
        self.reactor.callLater(within + SLACK_S + self._margin_s, self._due, owed, waits)

    def _due(self, owed: Owed, waits: Callable[[], bool]) -> None:
        if owed.over or owed.begun or self._ended:
            return
        if waits():
            self.left(owed, "no answer in its time")
        else:
            self.reactor.callLater(STALL_LOOK_S, self._due, owed, waits)

    def answered(self, owed: Owed) -> None:
        owed.over = True

    def left(self, owed: Owed, why: str) -> None:
        """It has no final answer, and will have none."""
        if owed.over:
            return
        owed.over = True
        key = f"{owed.who} {owed.name}"
        self.unanswered.append(key)
        if key not in self.allowed:
            self.fault(f"{owed.who}: request {owed.name}: {why}")

    def fault(self, text: str) -> None:
        self.faults.append(f"{self.reactor.seconds():.3f}: {text}")

    @property
    def pending(self) -> bool:
        """Some request has its time yet."""
        return any(owed.whole and not (owed.over or owed.begun) for owed in self._owed)

    def finish(self) -> None:
        """The scenario is over, and all times are up."""
        self._ended = True
        for owed in self._owed:
            if owed.begun and not owed.over:
                self.left(owed, "its answer never ended")
        for key in sorted(self.allowed - set(self.unanswered)):
            self.fault(f"{key} is to be left unanswered and is not")

    # ---- processes ----

    def watch(self) -> None:
        """Look at the processes from now on."""
        if not self._ended:
            self.look()
            self.reactor.callLater(LOOK_S, self.watch)

    def look(self) -> None:
        now, processes = self.reactor.seconds(), self._processes()
        for process in processes:
            if not process.running:
                continue
            others = any(p.running and p.accepts for p in processes if p is not process)
            coming = process.stop_at is None or now < process.stop_at + COMING_S
            shut = coming and not process.accepts and not others
            self._holds(process, "nobody can come in", shut, SHUT_S)
            useless = not process.has_listener and not process.busy
            self._holds(process, "it runs on and serves nobody", useless, USELESS_S)
            if process.stop_at is not None:
                # What is being passed on may go on for as long as nobody kills it.
                passing = any(owed.begun and not owed.over for owed in self._owed)
                late = now > process.stop_at + self.kill_s + self._margin_s and not passing
                self._holds(process, "it has not ended in its time", late, 0.0)

    def _holds(self, process: Process, what: str, true: bool, for_s: float) -> None:
        now, key = self.reactor.seconds(), (process.name, what)
        if not true:
            self._since.pop(key, None)
        elif now - self._since.setdefault(key, now) >= for_s + self._margin_s:
            self.fault(f"process {process.name}: {what}")
            self._since[key] = float("inf")  # said once

    @property
    def kill_s(self) -> float:
        return max(LEAST_LONGEST_S, self.longest_s) + KILL_S

    @property
    def ending(self) -> bool:
        """A process that was told to end runs yet."""
        return any(p.running and p.stop_at is not None for p in self._processes())


@dataclass(slots=True, eq=False)
class RequestBook:
    """What one connection of a client has asked, read out of what it writes."""

    judge: Judge
    who: str
    waits: Callable[[], bool]
    _sent: Parser = field(default_factory=lambda: Parser(answers=False, max_body=None))
    _open: deque[Owed] = field(default_factory=deque)
    _head: Head | None = None
    _start: int = 0  # where the one that is being written began
    _owed: Owed | None = None  # the one that is being written
    _bad: bool = False  # what it wrote from here on is no request
    _refused: bool = False  # an error of the client's has ended the connection

    def wrote(self, data: bytes) -> None:
        if self._bad:
            return
        self._sent.feed(data)
        try:
            more = True
            while more:
                more = False
                for part in self._sent.parts():
                    if isinstance(part, Head):
                        self._head = part
                        name = part.headers.get("request-id", part.target)
                        self._owed = self.judge.asked(self.who, name, self._start)
                        self._open.append(self._owed)
                    elif isinstance(part, EndOfMessage):
                        self._whole()
                        self._start = self._sent.bytes_read
                        more = self._sent.buffered > 0
        except BadMessage:
            self._bad = True

    def _whole(self) -> None:
        owed, head = self._owed, self._head
        if owed is None or head is None:
            return
        told = head.headers.get("request-timeout-ms", "")
        self._owed = self._head = None
        if not owed.over:
            self.judge.is_whole(owed, int(told) / 1000 if told.isdigit() else None, self.waits)

    def headed(self, head: Head) -> None:
        """The head of a final answer has come."""
        if self._open:
            self._open[0].begun = True
        elif not self._bad and self._sent.between_messages:
            self.judge.fault(f"{self.who}: an answer that nothing asked for: {head.status}")
        self._refused = 400 <= head.status < 500 and not head.keep_alive

    def answered(self) -> None:
        if self._open:
            self.judge.answered(self._open.popleft())

    def lost(self, delivered: int | None) -> None:
        """The head has ended the connection; ``delivered``: how much of what was written it has read."""
        for owed in self._open:
            if not owed.whole or (self._refused and not owed.begun):
                owed.over = True  # it never came whole, or was written behind what ended the connection
            elif not owed.begun and delivered is not None and owed.start >= delivered:
                owed.over = True
                self.judge.closed_unread += 1
            else:
                self.judge.left(owed, "its answer broke off" if owed.begun else "its connection ended")
        self._open.clear()

    def gone(self) -> None:
        """The client has left: nothing is owed to it."""
        for owed in self._open:
            owed.over = True
        self._open.clear()
