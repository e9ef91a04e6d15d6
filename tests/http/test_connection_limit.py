"""Requests to more nodes than there may be connections wait for one, as those to a busy node do."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from ..support.live_head import GatewayRig, PeerSocket, gateway_rig
from .test_steps_by_list_size import SharedEntry

LISTED = 20
MOST = 2  # connections to nodes


class FullPool:
    """A gateway with a request out on each connection that it may have."""

    def __init__(self, rig: GatewayRig) -> None:
        self.rig = rig
        self._revision = 1
        self.send_list([SharedEntry(rig, shard) for shard in range(LISTED)])
        rig.gateway.transport.limit(MOST)
        self.out = [self.ask(f"out{shard}", shard) for shard in range(MOST)]
        for shard in range(MOST):
            rig.nodes[0].wait_for(f"out{shard}")

    def send_list(self, entries: list[Any], full: bool = True) -> None:
        self._revision += 1
        self.rig.watch.send(self.rig.list_chunk(full, entries, self._revision))
        self.rig.turn(20)

    def ask(self, name: str, shard: int, timeout_ms: int = 0) -> PeerSocket:
        client = self.rig.client()
        client.send(self.rig.request(name, shard=shard, timeout=timeout_ms))
        self.rig.turn(5)
        return client

    def answer(self, name: str, client: PeerSocket) -> None:
        self.rig.nodes[0].answer(name)
        client.read_until(b"\r\n\r\nok")

    @property
    def counts(self) -> dict[str, int]:
        return dict(self.rig.gateway.engine.counts)


@contextmanager
def full_pool() -> Iterator[FullPool]:
    with gateway_rig(settings__domain__slots_total=str(LISTED)) as rig:
        yield FullPool(rig)


@pytest.mark.parametrize("waits_s", [0.2, 2.0])
def test_a_request_waits_for_a_connection_of_another_node(waits_s: float) -> None:
    """Guards against refusing at once what finds all connections in use, at nodes that have none."""
    with full_pool() as pool:
        client = pool.ask("a", MOST)
        pool.rig.pass_time(min(waits_s, 1.0))
        pool.answer("out0", pool.out[0])
        if waits_s > 1.0:
            pool.answer("out1", pool.out[1])
        pool.answer("a", client)
        assert "attempt_no_connection" not in pool.counts
        assert pool.rig.gateway.transport.connections <= MOST


def test_nodes_get_a_connection_in_the_order_in_which_they_began_to_wait() -> None:
    with full_pool() as pool:
        clients = {f"a{shard}": pool.ask(f"a{shard}", shard) for shard in range(MOST, MOST + 3)}
        pool.answer("out0", pool.out[0])
        for name, client in clients.items():
            pool.rig.nodes[0].wait_for(name)
            assert sum(pool.rig.nodes[0].received(other) for other in clients) == 1
            pool.answer(name, client)


def test_a_request_that_no_connection_gets_free_for_is_refused_in_its_time() -> None:
    """Guards against a node that counts as failing, as the gateway itself had no connection for it."""
    with full_pool() as pool:
        clients = [pool.ask(f"a{number}", MOST, 600) for number in range(8)]
        for client in clients:
            assert pool.rig.until(lambda client=client: bool(client.read()), 0.61)  # type: ignore[misc]
            assert client.text.startswith(b"HTTP/1.1 503 ")
        assert not sum(pool.rig.nodes[0].received(f"a{number}") for number in range(8))
        assert pool.counts["no_connection_free"] > 0
        pool.answer("out0", pool.out[0])
        client = pool.ask("later", MOST)
        pool.answer("later", client)
        assert "attempt_no_connection" not in pool.counts


def test_a_node_that_leaves_the_list_waits_no_longer() -> None:
    with full_pool() as pool:
        client = pool.ask("a", MOST)
        pool.send_list([SharedEntry(pool.rig, MOST, "Terminating")], False)
        pool.answer("out0", pool.out[0])
        pool.rig.pass_time(0.3)
        assert not pool.rig.nodes[0].received("a")
        other = pool.ask("b", MOST + 1)
        pool.answer("b", other)
        assert not client.read().startswith(b"HTTP/1.1 200 ")


def test_a_node_that_waits_gets_the_connection_of_an_answer_that_rests_for_long() -> None:
    """Guards against a wait that nothing ends, as no connection gets free by itself."""
    with full_pool() as pool:
        for end in pool.rig.nodes[0].connections:
            end.send(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + b"x" * 100_000)
        pool.rig.pass_time(9.0)
        client = pool.ask("a", MOST, 3_000)
        pool.answer("a", client)


def test_a_client_that_leaves_gives_its_turn_to_the_next() -> None:
    with full_pool() as pool:
        pool.ask("a", MOST).fin()
        client = pool.ask("b", MOST + 1)
        pool.answer("out0", pool.out[0])
        pool.answer("b", client)
        assert not pool.rig.nodes[0].received("a")
