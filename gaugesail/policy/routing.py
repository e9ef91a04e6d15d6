"""Which shard a new object goes to.

Gateways that know the same agree on the best node, and hundreds of them would send to it at once.  So each
choice is between a few nodes drawn for it alone (Mitzenmacher, "The Power of Two Choices in Randomized Load
Balancing", 2001): a node that is known to be slow or busy loses against almost any other, and none is
everybody's best.
"""

from __future__ import annotations

from random import Random

from .records import WITHIN_RESERVE, NodeRecord, ShardRecord
from .slow_start import SlowStart

CHOICES = 4  # with two, slow, failing and cold nodes are chosen too often in small fleets
NOWHERE = -1  # no shard has a node


class Router:
    """Routes the new objects of one gateway.

    :param random: of the draws; the same draws and records give the same shards.
    """

    def __init__(self, slow_start: SlowStart, random: Random) -> None:
        self._slow_start = slow_start
        self._random = random

    def choose(self, now: int, shards: dict[int, ShardRecord], class_index: int) -> int:
        """The shard, of those drawn, whose node promises the soonest answer; ``NOWHERE`` without a node."""
        available = [number for number, shard in shards.items() if shard.node is not None]
        best = NOWHERE
        least = float("inf")
        for number in self._random.sample(available, min(CHOICES, len(available))):
            shard = shards[number]
            if shard.node is None:
                continue
            expected_us = self._expected_us(now, shard, shard.node, class_index)
            if expected_us < least:
                best = number
                least = expected_us
        return best

    def _expected_us(self, now: int, shard: ShardRecord, node: NodeRecord, class_index: int) -> float:
        """Microseconds until an answer, by the requests ahead and the node's present capacity.

        Each consecutive failure of the node counts as a queue of twice the length.
        """
        queue_length = 1 + len(node.in_flight) + sum(map(len, shard.waiting))
        weighted_length = queue_length * 2**node.consecutive_failures
        capacity_share = self._slow_start.capacity_share(now, node.warming_since)
        capacity = node.windows[WITHIN_RESERVE] * capacity_share
        return weighted_length * node.latency_us[class_index] / capacity
