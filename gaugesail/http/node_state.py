"""What the node pool knows of one node: its address, its connections, and the requests that wait for one."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from gaugesail.policy.settings import NodeId

from ..core.ports import DelayedCall

if TYPE_CHECKING:
    from .node_connection import NodeConnection
    from .node_request import NodeRequest


@dataclass(slots=True, eq=False)
class NodeAddress:
    """What the latest endpoint list says of one node."""

    host: str
    port: int
    shard: int
    ready: bool
    started_us: int  # when its process started, Unix microseconds; 0: not known


@dataclass(slots=True, eq=False)
class NodeState:
    """One node's connections, and what waits for one."""

    node_id: NodeId
    idle: list[NodeConnection] = field(default_factory=list)  # the latest used last
    busy: set[NodeConnection] = field(default_factory=set)
    waiting: deque[NodeRequest] = field(default_factory=deque)
    dials: set[Deferred[Any]] = field(default_factory=set)
    next_look: DelayedCall | None = None  # at the waiting requests, when an idle connection is usable
    generation: int = 0  # goes up when nothing may be written on the strength of the old address

    @property
    def connections(self) -> int:
        """How many there are, those that are being dialled included."""
        return len(self.idle) + len(self.busy) + len(self.dials)
