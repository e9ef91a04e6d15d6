"""What has ended is freed at once, not only by the garbage collector's next full pass."""

from __future__ import annotations

import gc
import weakref
from collections.abc import Callable, Iterator

import pytest

from gaugesail.core.clock import ReactorClock
from gaugesail.http.client_connection import ClientConnection
from gaugesail.http.messages import MAX_BUFFERED_BODY
from gaugesail.http.node_connection import NodeConnection
from gaugesail.rehearsal.memory import MemoryReactor

from ..support.live_head import GatewayRig, PeerSocket, gateway_rig

LONG_BODY = b"x" * (2 * MAX_BUFFERED_BODY)


@pytest.fixture(autouse=True)
def no_collection() -> Iterator[None]:
    gc.disable()
    yield
    gc.enable()


def leave_before_the_answer(rig: GatewayRig, client: PeerSocket) -> None:
    rig.nodes[0].wait_for("a")
    client.fin()


def leave_with_requests_behind(rig: GatewayRig, client: PeerSocket) -> None:
    client.send(rig.request("b") + rig.request("c"))
    rig.nodes[0].wait_for("a")
    client.fin()


def leave_amid_a_long_answer(rig: GatewayRig, client: PeerSocket) -> None:
    node = rig.nodes[0].wait_for("a")
    node.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * len(LONG_BODY)) + LONG_BODY)
    client.read_until(b"x" * 1000)
    client.fin()


def leave_after_a_long_answer(rig: GatewayRig, client: PeerSocket) -> None:
    rig.nodes[0].answer("a", LONG_BODY)
    client.read_until(LONG_BODY)
    client.fin()


def leave_after_an_answer(rig: GatewayRig, client: PeerSocket) -> None:
    rig.nodes[0].answer("a")
    client.read_until(b"ok")
    client.fin()


@pytest.mark.parametrize("leave", [
    leave_before_the_answer, leave_with_requests_behind, leave_amid_a_long_answer, leave_after_a_long_answer,
    leave_after_an_answer,
])  # fmt: skip
def test_the_memory_of_a_client_that_has_left_is_freed_at_once(
    leave: Callable[[GatewayRig, PeerSocket], None],
) -> None:
    """Guards against a cycle of a request and its attempt, which kept some 2,000 lost clients in memory."""
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("a"))
        rig.nodes[0].wait_for("a")
        connections = [
            weakref.ref(found) for found in gc.get_objects() if isinstance(found, ClientConnection)
        ]
        leave(rig, client)
        rig.pass_time(4.0)
        assert [reference() for reference in connections] == [None]


def test_the_memory_of_a_lost_connection_to_a_node_is_freed_at_once() -> None:
    """Guards against a cycle of a dial, its factory and its transport."""
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("a"))
        node = rig.nodes[0].wait_for("a")
        found = [found for found in gc.get_objects() if isinstance(found, NodeConnection)]
        transports = [weakref.ref(connection.link) for connection in found]
        factories = [weakref.ref(connection.link.connector.factory) for connection in found]
        del found
        rig.nodes[0].answer("a")
        client.read_until(b"ok")
        node.fin()
        rig.pass_time(0.5)
        assert [reference() for reference in transports + factories] == [None] * 2


def test_the_memory_of_a_timer_that_has_run_is_freed_at_once() -> None:
    """Guards against a cycle of a timer and its handle."""

    class Subject:
        def called(self) -> None:
            pass

    reactor = MemoryReactor()
    clock = ReactorClock(reactor, lambda: round(reactor.seconds() * 1e9), lambda: 10**18)
    subject = Subject()
    reference = weakref.ref(subject)
    clock.call_later(1000, subject.called)
    del subject
    reactor.advance(1.0)
    assert reference() is None
