"""To which node a new object goes.

Gateways that know the same agree on the best node, and hundreds of them would send to it at once.  Each
choice is between a few nodes drawn for it alone (Mitzenmacher, "The Power of Two Choices in Randomized Load
Balancing", 2001): what is known to be slow or busy loses against almost any other, and none is everybody's
best.  With two, nodes that are slow, failing or cold are chosen too often in small fleets (measured).
"""

from __future__ import annotations

from random import Random

from .records import NodeRecord, ShardRecord
from .slow_start import SlowStart

CHOICES = 4
NOWHERE = -1  # no shard has a node


class Router:
    """Places new objects for one gateway; the same seed and books give the same places."""

    def __init__(self, cold: SlowStart, rng: Random) -> None:
        self._cold, self._rng = cold, rng

    def choose(self, now: int, shards: dict[int, ShardRecord], kind: int) -> int:
        """The shard whose node promises the soonest answer, of those drawn; NOWHERE without a node."""
        held = [number for number, shard in shards.items() if shard.node is not None]
        best, least = NOWHERE, float("inf")
        for number in self._rng.sample(held, min(CHOICES, len(held))):
            shard = shards[number]
            if shard.node is not None and (cost := self._cost(now, shard, shard.node, kind)) < least:
                best, least = number, cost
        return best

    def _cost(self, now: int, shard: ShardRecord, node: NodeRecord, kind: int) -> float:
        """Microseconds until the answer, by what is ahead and by the node's present power."""
        queue = (1 + len(node.in_flight) + sum(map(len, shard.waiting))) * 2**node.consecutive_failures
        power = node.windows[0] * self._cold.capacity_share(now, node.warming_since)
        return queue * node.latency_us[kind] / power
