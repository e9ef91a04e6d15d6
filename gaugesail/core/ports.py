"""What the engine needs from outside, as small protocols, and the records that pass between them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from gaugesail.policy.events import AttemptResult
from gaugesail.policy.settings import NodeId, Settings


class DelayedCall(Protocol):
    """A call that has been scheduled and can be cancelled."""

    def cancel(self) -> None:
        """Do not make the call; it must be active."""
        ...

    def active(self) -> bool:
        """Whether it has neither been made nor cancelled."""
        ...


class Clock(Protocol):
    """Monotonic microseconds and one-shot calls; a fake one serves the tests."""

    def now_us(self) -> int:
        """The present time."""
        ...

    @property
    def polled_us(self) -> int:
        """What had come to any socket by this time has been read and handled, except what lies behind it."""
        ...

    @property
    def matches_kernel_clock(self) -> bool:
        """Whether spans that the kernel measures are spans of this clock too."""
        ...

    def call_later(self, delay_us: int, call: Callable[[], None]) -> DelayedCall:
        """Make a call once, after a delay."""
        ...


class BodySource(Protocol):
    """Where a message that has begun comes from; ``length`` is None where only its end tells."""

    length: int | None

    def pause(self) -> None:
        """Read no more for now."""
        ...

    def resume(self) -> None:
        """Read on."""
        ...

    def stop(self) -> None:
        """Nobody takes the rest."""
        ...


class BodySink(Protocol):
    """Where a message that has begun goes, up to ``finish`` or ``fail``, unless the source was stopped."""

    def write(self, data: bytes) -> None:
        """Pass on the next bytes."""
        ...

    def finish(self) -> None:
        """The message is complete."""
        ...

    def fail(self) -> None:
        """The message broke off and never will be complete."""
        ...


class FailureReason(Enum):
    """Why a request fails; the value is the text that its client gets."""

    FAILED = "failed"
    OUT_OF_TIME = "out of time"
    ID_IN_USE = "id in use"  # another request of the same id is open or has an attempt in flight


class Reply(Protocol):
    """Where a request's one final answer goes."""

    def start_stream(self, source: BodySource) -> BodySink | None:
        """Begin an answer that is passed on while it comes; None where the client has gone."""
        ...

    def send_answer(self, answer: bytes) -> None:
        """Answer with what the node transport reported for the attempt."""
        ...

    def reject(self, retry_after_us: int) -> None:
        """Reject the request; the client may come back after that time, 0: no time is named."""
        ...

    def fail(self, reason: FailureReason) -> None:
        """Answer that the request failed."""
        ...

    def client_has_disconnected(self) -> bool:
        """Whether the client has gone, though its end may not have been read yet."""
        ...


@dataclass(slots=True)
class ClientRequest:
    """A client's request as its wire hands it over; ``payload`` is for the node transport alone."""

    client_request_id: str  # unique among the open requests
    settings: Settings  # those it was received under; it is served by them whatever comes later
    class_index: int  # of its class there
    timeout_us: int  # from the moment at which the client sent it
    payload: Any
    shard: int = -1  # -1: a new object, which any shard may take
    plan_index: int = 0
    units: float = 1.0
    key: int = 0  # of idempotency and of ordering; 0: none
    volume_id: int = 0
    gateways_in_use: float = 1.0
    is_retry: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at one node.  Whoever ends it first decides; later reports of it are dropped."""

    request_id: int
    number: int  # 0 for the first of its request
    node_id: NodeId
    shard: int
    client_request_id: str
    payload: Any
    sent_us: int
    deadline_us: int
    ended: bool = False
    answer_started: bool = False  # its answer is being passed on: it is final whatever happens to the rest
    start_before_us: int = 0  # its quota was this gateway's until then; 0: it may start at any time
    request_answered: bool = False  # what is not written yet must not be (rules.deny_first_byte)
    connection: object | None = None  # the transport's own
    client_has_disconnected: Callable[[], bool] | None = None  # whether its client has gone


class AttemptListener(Protocol):
    """How a transport reports.

    An attempt starts at most once, its answer may start before it ends, and it ends once.
    """

    def may_start(self, attempt: Attempt) -> bool:
        """Asked right before the first byte leaves; where it may not, the attempt ends as NOT_STARTED."""
        ...

    def attempt_started(self, attempt: Attempt) -> None:
        """The first byte leaves now."""
        ...

    def answer_started(self, attempt: Attempt, source: BodySource) -> BodySink | None:
        """The answer is to be passed on while it comes; None where nobody receives it."""
        ...

    def attempt_ended(self, attempt: Attempt, result: AttemptResult, answer: bytes = b"") -> None:
        """The attempt has its result, and its answer where that is complete."""
        ...

    def health_check_ended(self, node_id: NodeId, result: AttemptResult, elapsed_us: int) -> None:
        """A health check has its result."""
        ...


class NodeTransport(Protocol):
    """Carries attempts to nodes."""

    def send(self, attempt: Attempt, listener: AttemptListener) -> None:
        """Make an attempt; its end is reported to the listener."""
        ...

    def abort(self, attempt: Attempt) -> bool:
        """Abort it without a report; whether its last byte had been written, so that it may have run."""
        ...

    def cancel_unwritten(self, attempt: Attempt) -> bool:
        """Abort it if its last byte has not been written; whether it was aborted."""
        ...

    def stage_upload(self, node_id: NodeId, request: ClientRequest, source: BodySource) -> BodySink | None:
        """Write a large request while it is received, short of its end; None where that cannot be."""
        ...

    def check_health(self, node_id: NodeId, listener: AttemptListener) -> None:
        """Ask a node whether it answers; the result is reported to the listener."""
        ...

    def close_idle_connections(self, node_id: NodeId) -> None:
        """Close the idle connections to a node."""
        ...

    def set_maintenance(self, node_id: NodeId, on: bool) -> None:
        """Take a node out of use whatever the endpoint list says, or put it back."""
        ...


class Discovery(Protocol):
    """Where the endpoint list comes from; news is handed to ``Engine.update_endpoints``."""

    def watch(self, on: bool) -> None:
        """Follow the list, or no longer."""
        ...

    def poll(self) -> None:
        """Ask for the list once."""
        ...


class Logger(Protocol):
    """The part of a structlog logger that is used."""

    def info(self, event: str, **fields: Any) -> Any:
        """Log what belongs to normal operation."""
        ...

    def warning(self, event: str, **fields: Any) -> Any:
        """Log what an operator may have to act on."""
        ...

    def error(self, event: str, **fields: Any) -> Any:
        """Log a fault."""
        ...


class Reactor(Protocol):
    """The part of a Twisted reactor that is used."""

    def seconds(self) -> float:
        """The time by which calls are made."""
        ...

    def callLater(self, delay: float, call: Callable[..., Any], /, *args: Any) -> Any:
        """Make a call after a delay in seconds."""
        ...

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        """Accept connections at a port."""
        ...

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30,
        bindAddress: Any = None,  # noqa: N803
    ) -> Any:
        """Connect to an address; the timeout is in seconds."""
        ...
