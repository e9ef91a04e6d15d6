"""What the engine needs from outside, as small protocols, and the records that pass between them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from gaugesail.policy.events import AttemptResult
from gaugesail.policy.settings import NodeId, Settings


class Call(Protocol):
    """A call that has been scheduled and can be called off."""

    def cancel(self) -> None: ...
    def active(self) -> bool: ...


class Clock(Protocol):
    """Monotonic microseconds and one-shot calls; a fake one serves the tests."""

    def now_us(self) -> int: ...
    @property
    def polled_us(self) -> int:
        """What had come to any socket by then was found and handled, but what lies behind it."""
        ...

    @property
    def runs_with_kernel(self) -> bool:
        """Whether spans that the kernel measures are spans of this clock too."""
        ...

    def call_later(self, delay_us: int, call: Callable[[], None]) -> Call: ...


class Source(Protocol):
    """Where a message that has begun comes from; ``length`` is None where only its end tells."""

    length: int | None

    def pause(self) -> None: ...
    def resume(self) -> None: ...
    def stop(self) -> None: ...  # nobody takes the rest


class Sink(Protocol):
    """Where a message that has begun goes, up to ``done`` or ``broke``, unless the source was stopped."""

    def more(self, data: bytes) -> None: ...
    def done(self) -> None: ...
    def broke(self) -> None: ...


class Reply(Protocol):
    """Where a request's one final answer goes."""

    def begins(self, source: Source) -> Sink | None: ...  # an answer that is passed on as it comes
    def served(self, answer: Any) -> None: ...
    def refused(self, hold_off_us: int) -> None: ...
    def failed(self, reason: str) -> None: ...
    def left(self) -> bool: ...  # its client has gone, though the front may not have read so far


@dataclass(slots=True)
class Order:
    """A client's request as a front hands it over; ``payload`` is for the node transport alone."""

    name: str  # the client's id of the request, unique among the open ones
    terms: Settings  # what it was taken under, and is served by whatever comes later
    kind: int  # index of its class there
    timeout_us: int  # from the moment the client sent it
    payload: Any
    shard: int = -1
    plan: int = 0
    units: float = 1.0
    key: int = 0
    volume: int = 0
    mounts: float = 1.0
    again: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at one node.  Whoever ends it first decides; later news of it is dropped."""

    ticket: int
    number: int
    node: NodeId
    shard: int
    name: str  # of the request
    payload: Any
    sent_us: int
    deadline_us: int
    done: bool = False
    begun: bool = False  # its answer is being passed on: it is final whatever happens to the rest
    before_us: int = 0  # it must have begun by then: what it spends was ours until then; 0: at any time
    over: bool = False  # the request has its answer: what is not yet written must not be (rules.deny_start)
    connection: Any = None  # the transport's own
    left: Callable[[], bool] | None = None  # its client has gone


class AttemptSink(Protocol):
    """How a transport reports: each attempt starts at most once, ends once, and may begin to be answered
    before."""

    def may_start(self, attempt: Attempt) -> bool:
        """Asked right before its first byte leaves; where it may not, it ends as moot."""
        ...

    def attempt_started(self, attempt: Attempt) -> None:
        """Its first byte leaves now."""
        ...

    def attempt_began(self, attempt: Attempt, source: Source) -> Sink | None: ...
    def attempt_ended(self, attempt: Attempt, result: AttemptResult, answer: Any = None) -> None: ...
    def probe_ended(self, node: NodeId, result: AttemptResult, elapsed_us: int) -> None: ...


class NodeTransport(Protocol):
    """Carries attempts to nodes."""

    def send(self, attempt: Attempt, sink: AttemptSink) -> None: ...
    def abort(self, attempt: Attempt) -> bool: ...  # whether its last byte had been written: it may have run
    def withdraw(self, attempt: Attempt) -> bool: ...  # abort it if its last byte is not written; whether
    def stage(self, node: NodeId, order: Order, source: Source) -> Sink | None: ...
    def probe(self, node: NodeId, sink: AttemptSink) -> None: ...
    def close_idle(self, node: NodeId) -> None: ...
    def maintain(self, node: NodeId, on: bool) -> None: ...


class Discovery(Protocol):
    """Where the list of nodes comes from; news is handed to the engine's ``listed``."""

    def watch(self, on: bool) -> None: ...
    def fetch(self) -> None: ...


class Logger(Protocol):
    """The part of a structlog logger that is used."""

    def info(self, event: str, **fields: Any) -> Any: ...
    def warning(self, event: str, **fields: Any) -> Any: ...
    def error(self, event: str, **fields: Any) -> Any: ...


class Reactor(Protocol):
    """The part of a Twisted reactor that is used."""

    def seconds(self) -> float: ...
    def callLater(self, delay: float, call: Callable[..., Any], /, *args: Any) -> Any: ...
    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any: ...
    def connectTCP(
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30,
        bindAddress: Any = None,  # noqa: N803
    ) -> Any: ...
