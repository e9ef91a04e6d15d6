"""The nodes that endpoint lists have named, used to check the node ids in operators' calls."""

from __future__ import annotations

from collections import OrderedDict

from gaugesail.policy.settings import NodeId

MAX_LISTED_NODES = 10_000


class ListedNodes:
    """Node ids, ordered by when they were last named; beyond MAX_LISTED_NODES the oldest are dropped."""

    def __init__(self) -> None:
        self._nodes: OrderedDict[NodeId, None] = OrderedDict()

    def __contains__(self, node_id: NodeId) -> bool:
        return node_id in self._nodes

    def __len__(self) -> int:
        return len(self._nodes)

    def add(self, node_id: NodeId) -> None:
        """Add a node as the most recent."""
        self._nodes[node_id] = None
        self._nodes.move_to_end(node_id)

    def trim(self) -> None:
        """Drop the oldest nodes beyond MAX_LISTED_NODES."""
        while len(self._nodes) > MAX_LISTED_NODES:
            self._nodes.popitem(last=False)

    def ids(self) -> list[NodeId]:
        """All node ids, oldest first."""
        return list(self._nodes)

    def restore(self, node_ids: list[NodeId]) -> None:
        """Add the nodes that endpoint lists have named to the predecessor process."""
        self._nodes.update((node_id, None) for node_id in node_ids[-MAX_LISTED_NODES:])
