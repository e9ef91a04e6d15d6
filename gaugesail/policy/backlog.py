"""How long the work that is left at a shard takes, by the measured service of its node."""

from __future__ import annotations

from .records import NodeRecord, ShardRecord


def backlog_us(now: int, shard: ShardRecord) -> float:
    """Return the microseconds until the last of the requests that wait for a shard could be sent.

    0 if it could be sent now, or if the shard has no node.
    """
    node = shard.node
    if node is None:
        return 0.0
    paused_us = max(0, node.backoff_until - now, node.paced_until - now)
    waiting = sum(map(len, shard.waiting))
    per_s = drained_per_s(shard, node) or _assumed_per_s(now, node)
    if not per_s or (waiting <= 1 and len(node.in_flight) < int(node.window)):
        return paused_us
    return max(paused_us, waiting / per_s * 1e6)


def drained_per_s(shard: ShardRecord, node: NodeRecord) -> float:
    """Return how many requests leave a queue a second: as measured, or by Little's law while it is new.

    0 as long as the node has served nothing.
    """
    return shard.drain.per_s or node.expected_per_s


def _assumed_per_s(now: int, node: NodeRecord) -> float:
    """Return the rate of a node that has served none: it takes at least as long as its oldest attempt has."""
    oldest = min((request.sent_at for request in node.in_flight.values()), default=now)
    return node.window / (now - oldest) * 1e6 if now > oldest else 0.0
