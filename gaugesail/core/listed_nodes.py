"""The nodes that endpoint lists have named, so that an operator's call can be checked against them."""

from __future__ import annotations

from collections import OrderedDict

from gaugesail.policy.settings import NodeId

MAX_LISTED_NODES = 10_000


class ListedNodes:
    """Node ids in the order in which they were last named; the oldest beyond the bound are forgotten."""

    def __init__(self) -> None:
        self._nodes: OrderedDict[NodeId, None] = OrderedDict()

    def __contains__(self, node_id: NodeId) -> bool:
        return node_id in self._nodes

    def __len__(self) -> int:
        return len(self._nodes)

    def add(self, node_id: NodeId) -> None:
        """Enter a node as the latest."""
        self._nodes[node_id] = None
        self._nodes.move_to_end(node_id)

    def trim(self) -> None:
        """Forget the oldest beyond MAX_LISTED_NODES."""
        while len(self._nodes) > MAX_LISTED_NODES:
            self._nodes.popitem(last=False)

    def ids(self) -> list[NodeId]:
        """All of them, the oldest first."""
        return list(self._nodes)

    def restore(self, node_ids: list[NodeId]) -> None:
        """Enter what lists have named to the process before this one."""
        self._nodes.update((node_id, None) for node_id in node_ids[-MAX_LISTED_NODES:])
