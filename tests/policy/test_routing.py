"""Routing of new objects: gateways with the same information spread them over the nodes."""

from __future__ import annotations

from collections import Counter
from contextlib import ExitStack
from pathlib import Path

from gaugesail.policy import Gateway, Settings
from gaugesail.policy.actions import StartAttempt
from gaugesail.policy.events import Endpoint, EndpointList, EndpointListKind, EndpointState, RequestReceived
from gaugesail.policy.settings import Plan, RequestClass
from tests.support.faulty_process import HangingNode, faulty, folder_of, wait_until

GATEWAYS, NODES = 8, 8


def test_gateways_that_have_just_started_do_not_all_choose_one_node(tmp_path: Path, library: Path) -> None:
    nodes = [HangingNode(shard) for shard in range(NODES)]
    with ExitStack() as stack:
        processes = [
            stack.enter_context(faulty(folder_of(tmp_path, number), library, nodes, seed=f"{number + 1:x}"))
            for number in range(GATEWAYS)
        ]
        for number, process in enumerate(processes):
            process.send_request(f"new{number}", -1, 2000)
        assert wait_until(lambda: sum(node.requests for node in nodes) == GATEWAYS, 2.0)
        assert max(node.requests for node in nodes) <= GATEWAYS // 2, [node.requests for node in nodes]


CLASSES = (RequestClass("write", 500_000, 3_000_000, writes=True),)
NOW, SECOND = 1_000_000_000, 1_000_000


def gateway(seed: int, shards: int = NODES) -> Gateway:
    settings = Settings(
        classes=CLASSES,
        plans=(Plan("basic", 800.0, 400.0),),
        gateway_count=GATEWAYS,
        overload_window_us=1_500_000,
        overload_factor=3.0,
        initial_capacity_share=0.3,
        initial_capacity_units=20.0,
        warm_up_us=17 * SECOND,
    )
    made = Gateway(settings, seed, NOW)
    nodes = tuple(Endpoint(b"n%d" % shard, shard) for shard in range(shards))
    made.handle(NOW, [EndpointList(EndpointListKind.FULL, nodes)])
    return made


def chosen_node(made: Gateway, number: int, now: int) -> bytes:
    """Return the node that a new object is sent to."""
    actions = made.handle(now, [RequestReceived(number, 0, now + 3 * SECOND, shard=-1, key=number)])
    return next(act.node_id for act in actions if isinstance(act, StartAttempt))


def test_gateways_with_different_seeds_and_the_same_information_spread() -> None:
    counts = Counter(chosen_node(gateway(seed), 1, NOW + 1) for seed in range(400))
    assert len(counts) == NODES and max(counts.values()) < 2 * 400 / NODES


def test_nodes_that_a_gateway_knows_to_be_slow_or_failing_get_less() -> None:
    counts = Counter[bytes]()
    for seed in range(200):
        made = gateway(seed)
        made.nodes[b"n0"].latency_us = [10 * made.state.latency_targets_us[0]]
        made.nodes[b"n1"].consecutive_failures = 4
        counts[chosen_node(made, 1, NOW + 1)] += 1
    assert counts[b"n0"] + counts[b"n1"] < 0.06 * 200


def test_a_draining_node_gets_nothing_and_a_request_without_any_node_is_accepted() -> None:
    for seed in range(50):
        made = gateway(seed, 2)
        draining = Endpoint(b"n0", 0, EndpointState.DRAINING)
        made.handle(NOW, [EndpointList(EndpointListKind.CHANGES, (draining,))])
        assert chosen_node(made, 1, NOW + 1) == b"n1"
    made.handle(NOW, [EndpointList(EndpointListKind.FULL, ())])
    made.handle(NOW + 2, [RequestReceived(2, 0, NOW + 3 * SECOND, shard=-1, key=2)])  # waits, or is rejected


def test_shards_without_a_node_are_not_drawn() -> None:
    for seed in range(20):
        made = gateway(seed, 40)
        draining = tuple(Endpoint(b"n%d" % shard, shard, EndpointState.DRAINING) for shard in range(39))
        made.handle(NOW, [EndpointList(EndpointListKind.CHANGES, draining)])
        assert chosen_node(made, 1, NOW + 1) == b"n39"


def test_the_same_seed_chooses_the_same_node() -> None:
    assert [chosen_node(gateway(7), 1, NOW + 1) for _ in range(5)] == [
        chosen_node(gateway(7), 1, NOW + 1)
    ] * 5
