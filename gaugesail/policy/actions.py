"""What a gateway asks its caller to do, in the order in which it asks.

``CancelAttempt``, ``PollEndpoints``, ``CheckHealth`` and ``CloseIdleConnections`` are part of the interface,
but the present policy does not ask for them.

Actions are immutable and carry no behaviour.  All times are integer microseconds of the caller's monotonic
clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from .settings import NodeId


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send a request to a node.

    An attempt that has not started by ``start_before_us`` ends as ``NOT_STARTED``: until then its
    quota is this gateway's, or nodes still drop it as a duplicate.  0: it may start at any time.
    """

    request_id: int
    node_id: NodeId
    timeout_us: int = 0  # 0: until the client gives up
    start_before_us: int = 0


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    request_id: int
    attempt: int


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Final answer: not executed, and harmless to retry."""

    request_id: int
    retry_after_us: int = 0


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Final answer: failed, and possibly executed."""

    request_id: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for ``TimerFired`` at or after a time."""

    at_us: int
    token: int  # a ``timers.Timer``


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Subscribe to changes of the endpoint list."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class PollEndpoints:
    """Ask for the whole endpoint list once."""


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Check one node."""

    node_id: NodeId


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Send a short message to one gateway, or to all (None)."""

    data: bytes
    to: int | None = None


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close idle connections to a node."""

    node_id: NodeId


@dataclass(slots=True, frozen=True)
class WriteLog:
    """One line for the log: a text, or an event with its fields."""

    text: str
    event: str = "module"
    fields: tuple[tuple[str, float | str], ...] = ()


Action = (
    StartAttempt
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | SetTimer
    | WatchEndpoints
    | PollEndpoints
    | CheckHealth
    | SendPeerMessage
    | CloseIdleConnections
    | WriteLog
)


def plain_fields(item: object) -> Iterator[tuple[str, object]]:
    """The name and the value of each field of an event or action, for logs and tests."""
    for name in getattr(item, "__slots__", ()):
        yield name, getattr(item, name)
