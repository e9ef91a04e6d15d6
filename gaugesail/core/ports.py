"""The interfaces that the engine depends on, as protocols, and the records that they exchange."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from gaugesail.policy.actions import ClaimKey, GrantKey, ReleaseKey
from gaugesail.policy.events import AttemptResult
from gaugesail.policy.settings import NodeId, Settings


class DelayedCall(Protocol):
    """A call that has been scheduled and can be cancelled."""

    def cancel(self) -> None:
        """Cancel the call, which must be active."""
        ...

    def active(self) -> bool:
        """Whether the call has neither been made nor cancelled."""
        ...


class Clock(Protocol):
    """Monotonic time in microseconds, and one-shot delayed calls."""

    def now_us(self) -> int:
        """The current time in microseconds."""
        ...

    @property
    def polled_us(self) -> int:
        """The time up to which input has been handled.

        Data that had arrived at any socket by then has been read, unless more data was queued before it.
        """
        ...

    @property
    def matches_kernel_clock(self) -> bool:
        """Whether this is a clock of the kernel, so that durations from the kernel apply to its times."""
        ...

    def to_machine_us(self, time_us: int) -> int:
        """Convert a time of this clock to the monotonic clock that all processes of the machine share."""
        ...

    def from_machine_us(self, machine_us: int) -> int:
        """Convert a time of the machine's monotonic clock to this clock."""
        ...

    def call_later(self, delay_us: int, call: Callable[[], None]) -> DelayedCall:
        """Make a call once, after ``delay_us`` microseconds."""
        ...


class KeyLink(Protocol):
    """Exchanges the claims and grants of ordered keys with the sibling process (policy/ordered_keys.py)."""

    def claim_key(self, claim: ClaimKey) -> None:
        """Ask the sibling process for the turn of a request."""
        ...

    def release_key(self, release: ReleaseKey) -> None:
        """Tell the sibling process that a request is finished."""
        ...

    def grant_key(self, grant: GrantKey) -> None:
        """Grant a claim of the sibling process."""
        ...


class BodySource(Protocol):
    """The source of a streamed message; ``length`` is in bytes, or None if it is not known in advance."""

    length: int | None

    def pause(self) -> None:
        """Stop reading until ``resume``."""
        ...

    def resume(self) -> None:
        """Continue reading."""
        ...

    def stop(self) -> None:
        """Abandon the message, as its rest is not needed."""
        ...


class BodySink(Protocol):
    """The destination of a streamed message.

    ``write`` is followed by either ``finish`` or ``fail``, unless the source was stopped.
    """

    def write(self, data: bytes) -> None:
        """Write the next bytes of the message."""
        ...

    def finish(self) -> None:
        """Mark the message as complete."""
        ...

    def fail(self) -> None:
        """Mark the message as broken off."""
        ...


class FailureReason(Enum):
    """Why a request failed; the value is the text sent to the client."""

    FAILED = "failed"
    OUT_OF_TIME = "out of time"
    ID_IN_USE = "id in use"  # another request with the same id is open or has an attempt in flight


class Reply(Protocol):
    """Delivers a request's single final answer to its client."""

    def start_stream(self, source: BodySource) -> BodySink | None:
        """Start an answer that is streamed while it is received; None if the client has disconnected."""
        ...

    def send_answer(self, answer: bytes) -> None:
        """Send the answer that the node transport reported for the attempt."""
        ...

    def reject(self, retry_after_us: int) -> None:
        """Reject the request; the client may retry after ``retry_after_us``, 0 if no time is given."""
        ...

    def fail(self, reason: FailureReason) -> None:
        """Send a failure."""
        ...

    def client_has_disconnected(self) -> bool:
        """Whether the client has disconnected, even if the end of its connection has not been read yet."""
        ...


@dataclass(slots=True)
class ClientRequest:
    """A client's request, as decoded from its wire protocol; only the node transport uses ``payload``."""

    client_request_id: str  # unique among the open requests
    settings: Settings  # in force when it was received; later changes do not apply to it
    class_index: int  # of its class in ``settings``
    timeout_us: int  # from its receipt
    payload: Any
    shard: int = -1  # -1: a new object, which any shard may store
    plan_index: int = 0
    units: float = 1.0
    key: int = 0  # for idempotency and ordering; 0: none
    volume_id: int = 0
    gateways_in_use: float = 1.0
    is_retry: bool = False
    answer_us: int = 0  # of its time, kept for the node's answer and told to the node with an upload's head


@dataclass(slots=True, frozen=True)
class UploadProgress:
    """How a large request has arrived so far; times are spans in microseconds."""

    byte_count: int
    pauses: int  # in which the node's back-pressure kept it from being read
    reading_us: int  # since it was found to be large
    client_waits_us: int  # since its client may have sent its last byte

    def __str__(self) -> str:
        return (
            f"{self.byte_count} bytes in {self.reading_us // 1000} ms, {self.pauses} pauses,"
            f" the client may wait since {self.client_waits_us // 1000} ms"
        )


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at one node; its first end determines the result, and later reports are ignored."""

    request_id: int
    number: int  # 0 for the first of its request
    node_id: NodeId
    shard: int
    client_request_id: str
    payload: Any
    sent_us: int
    deadline_us: int  # a time, on the engine's clock
    ended: bool = False
    answer_begun: bool = False  # a byte of its answer has arrived: it has the rest of its request's time
    answer_started: bool = False  # its answer is being streamed, and is final even if it breaks off
    ordered_key: int = 0  # held up to the last byte of its answer; 0: its class keeps no order, or no key
    start_before_us: int = 0  # its quota or the nodes' deduplication ends then; 0: no limit
    request_closed: bool = False  # it must not start any more (rules.deny_first_byte)
    connection: object | None = None  # owned by the node transport
    client_has_disconnected: Callable[[], bool] | None = None  # see Reply


class AttemptListener(Protocol):
    """Receives a node transport's reports.

    An attempt starts at most once, its answer may start before it ends, and it ends exactly once.
    """

    def may_start(self, attempt: Attempt) -> bool:
        """Whether the first byte may be sent, checked right before; if not, the attempt ends NOT_STARTED."""
        ...

    def attempt_started(self, attempt: Attempt) -> None:
        """Report that the first byte is being sent."""
        ...

    def answer_begun(self, attempt: Attempt) -> None:
        """Report the first byte of the answer: the attempt has the rest of its request's time."""
        ...

    def answer_started(self, attempt: Attempt, source: BodySource) -> BodySink | None:
        """Start streaming the answer; None if no client receives it."""
        ...

    def attempt_ended(self, attempt: Attempt, result: AttemptResult, answer: bytes = b"") -> None:
        """Report the attempt's result, and its answer if that is complete."""
        ...

    def health_check_ended(self, node_id: NodeId, result: AttemptResult, elapsed_us: int) -> None:
        """Report the result of a health check, which took ``elapsed_us``."""
        ...


class NodeTransport(Protocol):
    """Carries attempts to nodes."""

    def send(self, attempt: Attempt, listener: AttemptListener) -> None:
        """Start an attempt; its end is reported to the listener."""
        ...

    def abort(self, attempt: Attempt) -> bool:
        """Abort an attempt without a report.

        Returns whether its last byte had been written, so that it may have run.
        """
        ...

    def cancel_unwritten(self, attempt: Attempt) -> bool:
        """Abort an attempt if its last byte has not been written; returns whether it was aborted."""
        ...

    def is_held_back(self, attempt: Attempt) -> bool:
        """Whether an attempt has not begun for want of a connection that the gateway itself may open."""
        ...

    def read_now(self, attempt: Attempt) -> None:
        """Read what has arrived of an attempt's answer, as its time ends."""
        ...

    def pass_on(self, attempt: Attempt) -> bool:
        """Stream what has arrived of an attempt's answer, and its rest as it comes.

        Returns False if nothing of it can be passed on, or if it is known to be short.
        """
        ...

    def describe_answer(self, attempt: Attempt) -> str:
        """Describe what has arrived of an attempt's answer, for the log."""
        ...

    def when_aborted(self, client_request_id: str, ended: Callable[[bool], None]) -> None:
        """Call ``ended`` once none of a request's aborted attempts can run any more.

        It is called with False where that cannot be known.
        """
        ...

    def stage_upload(self, node_id: NodeId, request: ClientRequest, source: BodySource) -> BodySink | None:
        """Start writing a large request while it is received, withholding its end; None if not possible."""
        ...

    def check_health(self, node_id: NodeId, listener: AttemptListener) -> None:
        """Check whether a node answers; the result is reported to the listener."""
        ...

    def close_idle_connections(self, node_id: NodeId) -> None:
        """Close all idle connections to a node."""
        ...

    def set_maintenance(self, node_id: NodeId, on: bool) -> None:
        """Begin or end the maintenance of a node; it overrides the endpoint list."""
        ...


class Discovery(Protocol):
    """The source of endpoint lists, which are passed to ``Engine.update_endpoints``."""

    def watch(self, on: bool) -> None:
        """Start or stop watching for changes."""
        ...

    def poll(self) -> None:
        """Request the list once."""
        ...


class Logger(Protocol):
    """The subset of a structlog logger that the gateway uses."""

    def info(self, event: str, **fields: Any) -> Any:
        """Log an event of normal operation."""
        ...

    def warning(self, event: str, **fields: Any) -> Any:
        """Log an event that may need an operator's action."""
        ...

    def error(self, event: str, **fields: Any) -> Any:
        """Log a fault."""
        ...


class Reactor(Protocol):
    """The subset of a Twisted reactor that the gateway uses."""

    def seconds(self) -> float:
        """The reactor's time, in seconds."""
        ...

    def callLater(self, delay: float, call: Callable[..., Any], /, *args: Any) -> Any:
        """Make a call after ``delay`` seconds."""
        ...

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        """Listen on a port."""
        ...

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30,
        bindAddress: Any = None,  # noqa: N803
    ) -> Any:
        """Connect to an address; ``timeout`` is in seconds."""
        ...
