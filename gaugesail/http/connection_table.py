"""All connections of a node pool, kept as they change: how many, and which has been idle for longest."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .node_connection import NodeConnection


class ConnectionTable:
    """The idle and busy connections to all nodes, and the number of dials in progress."""

    def __init__(self) -> None:
        self._idle: OrderedDict[NodeConnection, None] = OrderedDict()  # the longest idle first
        self._busy: dict[NodeConnection, None] = {}
        self.dials = 0

    def __len__(self) -> int:
        return len(self._idle) + len(self._busy) + self.dials

    @property
    def idle(self) -> list[NodeConnection]:
        """The idle connections, the longest idle first."""
        return list(self._idle)

    @property
    def busy(self) -> list[NodeConnection]:
        """The connections that carry a request."""
        return list(self._busy)

    @property
    def longest_idle(self) -> NodeConnection | None:
        """The connection that has been idle for longest; None if none is idle."""
        return next(iter(self._idle), None)

    def add_idle(self, connection: NodeConnection) -> None:
        """Add a connection that is idle from now on."""
        self._busy.pop(connection, None)
        self._idle[connection] = None

    def add_busy(self, connection: NodeConnection) -> None:
        """Add a connection that carries a request from now on."""
        self._idle.pop(connection, None)
        self._busy[connection] = None

    def remove(self, connection: NodeConnection) -> None:
        """Remove a connection that has ended; no-op if it is not there."""
        self._idle.pop(connection, None)
        self._busy.pop(connection, None)
