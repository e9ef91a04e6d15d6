"""The actions that a gateway returns; its caller carries them out in order.

``CancelAttempt``, ``PollEndpoints``, ``CheckHealth`` and ``CloseIdleConnections`` are part of the interface,
but the present policy does not use them.

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

    :param timeout_us: how long to wait for the answer; 0: until the client gives up.
    :param start_before_us: an attempt that has not started by this time ends as ``NOT_STARTED``, because
        the quota that it uses has expired, or nodes no longer drop it as a duplicate.  0: no limit.
    """

    request_id: int
    node_id: NodeId
    timeout_us: int = 0
    start_before_us: int = 0


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    request_id: int
    attempt: int


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Answer a request for good: it was not executed, and a retry is harmless."""

    request_id: int
    retry_after_us: int = 0  # 0: no Retry-After


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Answer a request for good: it failed, and may have been executed."""

    request_id: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Deliver ``TimerFired`` with the same token at or after a time."""

    at_us: int
    token: int  # a ``timers.Timer``


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Subscribe to changes of the endpoint list."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class PollEndpoints:
    """Fetch the full endpoint list once."""


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Run one health check on a node."""

    node_id: NodeId


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Send a short message to another gateway."""

    data: bytes
    to: int | None = None  # index of the gateway; None: all other gateways


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close idle connections to a node."""

    node_id: NodeId


@dataclass(slots=True, frozen=True)
class ClaimKey:
    """Ask the sibling process for the turn of a request of an ordered key."""

    request_id: int
    key: int
    received_us: int
    is_held: bool = False  # an attempt of an earlier grant is in flight


@dataclass(slots=True, frozen=True)
class ReleaseKey:
    """Tell the sibling process that a request it was asked for is finished, with no attempt in flight."""

    request_id: int
    paused_until: int = 0  # until then an attempt may still be running at its node; 0: none


@dataclass(slots=True, frozen=True)
class GrantKey:
    """Grant a claim of the sibling process; its request may be sent until the claim is released."""

    claim_id: int


@dataclass(slots=True, frozen=True)
class WriteLog:
    """Write one log line: a text, or an event with its fields."""

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
    | ClaimKey
    | ReleaseKey
    | GrantKey
    | WriteLog
)


def plain_fields(item: object) -> Iterator[tuple[str, object]]:
    """Yield the name and value of each field of an event or action, for logs and tests."""
    for name in getattr(item, "__slots__", ()):
        yield name, getattr(item, name)
