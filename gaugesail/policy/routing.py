"""Choice of the shard for a new object.

Gateways with the same information agree on the best node, and hundreds of them would send to it at once.  So
each choice is made between a few nodes drawn at random (Mitzenmacher, "The Power of Two Choices in Randomized
Load Balancing", 2001): a node that is known to be slow or busy loses against almost any other, and no node
is the best choice of all gateways.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from .records import NodeRecord, ShardRecord
from .slow_start import SlowStart

CHOICES = 4  # with 2, slow, failing and warming nodes are chosen too often in small fleets
NO_SHARD = -1  # no shard has a node


class Router:
    """Routes the new objects of one gateway.

    :param random: source of the draws; the same draws and records give the same shards.
    """

    def __init__(self, slow_start: SlowStart, random: Random) -> None:
        self._slow_start = slow_start
        self._random = random

    def choose(self, now: int, available: Sequence[ShardRecord], class_position: int) -> int:
        """Return the drawn shard whose node should answer soonest; ``NO_SHARD`` if no shard has a node.

        :param available: the shards that have a node.
        """
        best_shard = NO_SHARD
        shortest_us = float("inf")
        for shard in self._random.sample(available, min(CHOICES, len(available))):
            if shard.node is None:
                continue
            expected_us = self._expected_us(now, shard, shard.node, class_position)
            if expected_us < shortest_us:
                best_shard = shard.number
                shortest_us = expected_us
        return best_shard

    def _expected_us(self, now: int, shard: ShardRecord, node: NodeRecord, class_position: int) -> float:
        """Estimate the microseconds until an answer from the requests ahead and the node's present capacity.

        Each consecutive failure of the node doubles the length of the queue.
        """
        queue_length = 1 + len(node.in_flight) + sum(map(len, shard.waiting))
        weighted_length = queue_length * 2**node.consecutive_failures
        capacity_share = self._slow_start.capacity_share(now, node.warming_since)
        capacity = node.window * capacity_share
        return weighted_length * node.latency_us[class_position] / capacity
