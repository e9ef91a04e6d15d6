"""The node pool's records of one node: address, connections and pending requests."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from gaugesail.policy.settings import NodeId

from ..core.ports import DelayedCall
from .settle_time import SettleTime

if TYPE_CHECKING:
    from .node_connection import NodeConnection
    from .node_request import NodeRequest


@dataclass(slots=True, eq=False)
class NodeAddress:
    """One node in the latest endpoint list."""

    host: str
    port: int
    shard: int
    ready: bool
    started_us: int  # start of its process in Unix microseconds; 0: unknown


@dataclass(slots=True, eq=False)
class NodeState:
    """The connections of one node, and the pending requests, which wait for one."""

    node_id: NodeId
    idle: list[NodeConnection] = field(default_factory=list)  # the latest used last
    busy: set[NodeConnection] = field(default_factory=set)
    pending: deque[NodeRequest] = field(default_factory=deque)
    dials: set[Deferred[Any]] = field(default_factory=set)
    wakeup: DelayedCall | None = None  # retries the pending requests once an idle connection is usable
    settle_time: SettleTime = field(default_factory=SettleTime)
    generation: int = 0  # increases when connections to the old address may no longer be used
    gone_generation: int = 0  # connections of earlier generations are those of a process that has gone

    def pop_usable(self, now_us: int, max_idle_us: int) -> NodeConnection | None:
        """Return the latest used idle connection that has rested; abort those idle for ``max_idle_us``."""
        for connection in reversed(list(self.idle)):
            if connection.generation != self.generation or now_us - connection.idle_since_us >= max_idle_us:
                connection.abort()
            elif connection.usable_at_us <= now_us:
                self.idle.remove(connection)
                if connection.usable_at_us > connection.idle_since_us:
                    self.settle_time.rested()
                return connection
        return None

    def usable_by(self, at_us: int) -> int:
        """Return how many of the idle connections will have rested by then."""
        return sum(connection.usable_at_us <= at_us for connection in self.idle)

    @property
    def connections(self) -> int:
        """Number of connections, dials in progress included."""
        return len(self.idle) + len(self.busy) + len(self.dials)
