"""What the iSCSI transport does for an abort or a sweep does not grow with its nodes."""

from __future__ import annotations

import io
from typing import Any

from gaugesail.buffers import BufferPool
from gaugesail.core.clock import ReactorClock
from gaugesail.core.ports import Attempt
from gaugesail.iscsi.initiator import NodePool
from gaugesail.iscsi.operator import StorageNode
from gaugesail.logs import make_logger
from gaugesail.policy.events import Endpoint
from gaugesail.rehearsal.memory import MemoryReactor

from ..support.step_count import StepCounter

FEW, MANY = 8, 3_200
FACTOR = 1.4  # by the operators' table
PLUS_STEPS = 50
ADDRESS = ("127.0.0.1", 9_000)


class IgnoredResults:
    """A listener for which no result matters."""

    def attempt_ended(self, *args: Any) -> None:
        pass

    def health_check_ended(self, *args: Any) -> None:
        pass


def pool_of(count: int) -> NodePool:
    """A transport that has dialled each of its nodes."""
    reactor = MemoryReactor()
    clock = ReactorClock(reactor, lambda: round(reactor.seconds() * 1e9), lambda: 10**18)
    pool = NodePool(reactor, clock, BufferPool(64), make_logger(io.StringIO()), "iqn.2026-12.test:i", 250_000)
    ids = [b"n%d" % number for number in range(count)]
    nodes = [StorageNode(ADDRESS, "", Endpoint(node_id, shard)) for shard, node_id in enumerate(ids)]
    pool.update_nodes(dict(zip(ids, nodes, strict=True)))
    reactor.silent.add(ADDRESS)
    listener: Any = IgnoredResults()
    for node_id in ids:
        pool.check_health(node_id, listener)
    return pool


def steps_of(count: int) -> dict[str, int]:
    """The steps of each operation with so many nodes."""
    pool = pool_of(count)
    listener: Any = IgnoredResults()
    payload: Any = None
    attempt = Attempt(1, 0, b"n1", 1, "a", payload, 0, 10**18)
    pool.send(attempt, listener)
    return {
        "sweep": StepCounter().count(pool.sweep),
        "when aborted": StepCounter().count(lambda: pool.when_aborted("a", lambda is_known: None)),
        "abort": StepCounter().count(lambda: pool.abort(attempt)),
    }


def test_the_steps_of_an_abort_and_a_sweep_do_not_grow_with_the_nodes() -> None:
    """Guards against looking at all nodes or sessions, of which there is one for each server."""
    few, many = steps_of(FEW), steps_of(MANY)
    assert not {name: (few[name], many[name]) for name in few if many[name] > FACTOR * few[name] + PLUS_STEPS}
