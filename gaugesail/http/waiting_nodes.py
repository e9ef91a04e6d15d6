"""Nodes without a connection whose requests wait until the pool may open another one."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .node_state import NodeState


class WaitingNodes:
    """The nodes in the order in which they began to wait."""

    def __init__(self) -> None:
        self._nodes: OrderedDict[NodeState, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._nodes)

    def __contains__(self, node: NodeState) -> bool:
        return node in self._nodes

    @property
    def first(self) -> NodeState | None:
        """The node that has waited for longest; None if none waits."""
        return next(iter(self._nodes), None)

    def add(self, node: NodeState) -> None:
        """Add a node as the last; one that waits already keeps its place."""
        self._nodes.setdefault(node)

    def discard(self, node: NodeState) -> None:
        """Remove a node; no-op if it does not wait."""
        self._nodes.pop(node, None)
