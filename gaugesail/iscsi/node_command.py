"""The records of the node transport over iSCSI: commands, and what is known of each node."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from gaugesail.policy.settings import NodeId

from ..buffers import Body
from ..core.ports import Attempt, AttemptListener, DelayedCall
from .task import Transfer

if TYPE_CHECKING:
    from .node_session import NodeSession


@dataclass(slots=True, eq=False)
class Command:
    """A pending or sent command: an attempt, or a health check (NOP-Out) if ``attempt`` is None."""

    listener: AttemptListener
    node_id: NodeId
    queued_us: int
    attempt: Attempt | None = None
    transfer: Transfer | None = None
    body: Body | None = None  # received by a read
    itt: int = 0  # initiator task tag
    data: bytes = b""  # of a write in flight
    sent: int = 0  # bytes of ``data``
    done: bool = False
    session: NodeSession | None = None  # that carries it


@dataclass(slots=True, eq=False)
class NodeState:
    """One node's current session or dial, and the pending commands, which wait for it."""

    node_id: NodeId
    session: NodeSession | None = None
    dial: Deferred[Any] | None = None
    login_timeout: DelayedCall | None = None
    pending: deque[Command] = field(default_factory=deque)
