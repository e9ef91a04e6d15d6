"""A request whose client has left while it waited is not sent on, however it waits and however it left."""

from __future__ import annotations

import socket
from collections.abc import Callable
from random import Random
from typing import Any

import pytest

from gaugesail import net
from gaugesail.core.deadlines import RequestDeadline
from gaugesail.http import node_connection
from gaugesail.http.client_connection import ClientConnection

from ..support.live_head import STEP_S, GatewayRig, HeldDials, PeerSocket, chunk, gateway_rig

Way = Callable[[GatewayRig, PeerSocket], None]
BOUND_S = 0.3  # the outer bound of the operators


def fin(rig: GatewayRig, client: PeerSocket) -> None:
    client.fin()


def half(rig: GatewayRig, client: PeerSocket) -> None:
    client.half()


def rst(rig: GatewayRig, client: PeerSocket) -> None:
    client.rst()


def buffered(rig: GatewayRig, client: PeerSocket) -> None:
    """With more of its requests behind, which the head has and has not read."""
    client.send_available(rig.request("behind1"))
    rig.turn(2)
    client.send_available(rig.request("behind2"))
    client.fin()


def paused(rig: GatewayRig, client: PeerSocket) -> None:
    """So much behind it that the head has stopped reading."""
    client.send(rig.request("behind") * 100)
    rig.turn(5)
    client.fin()


def paused_half(rig: GatewayRig, client: PeerSocket) -> None:
    client.send(rig.request("behind") * 100)
    rig.turn(5)
    client.half()


def paused_rst(rig: GatewayRig, client: PeerSocket) -> None:
    client.send(rig.request("behind") * 100)
    rig.turn(5)
    client.rst()


def crammed(rig: GatewayRig, client: PeerSocket) -> None:
    """So much that its end can't reach the head's machine before the head reads on."""
    junk = rig.request("behind") * 8000
    for _ in range(50):
        client.send_available(junk)
        rig.turn()
    client.fin()


WAYS: list[Way] = [fin, half, rst, buffered, paused, paused_half, paused_rst, crammed]
every_way = pytest.mark.parametrize("way", WAYS, ids=lambda way: way.__name__)


def fill(rig: GatewayRig, shard: int = 0) -> list[str]:
    """All slots of a shard's node are taken."""
    names = [f"fill{n}" for n in range(4)]
    for name in names:
        rig.client().send(rig.request(name, shard=shard))
    for name in names:
        rig.nodes[shard].wait_for(name)
    return names


@every_way
def test_waiting_for_a_slot(way: Way) -> None:
    with gateway_rig() as rig:
        names, client = fill(rig), rig.client()
        client.send(rig.request("left"))
        rig.pass_time(0.01)
        way(rig, client)
        rig.pass_time(BOUND_S)
        for name in names:
            rig.nodes[0].answer(name)
        rig.pass_time(0.3)
        assert not rig.nodes[0].received("left")
        assert not rig.nodes[0].received("behind")


def test_a_burst_of_clients_leaves() -> None:
    with gateway_rig() as rig:
        names, clients = fill(rig), [rig.client() for _ in range(3 * len(WAYS))]
        for n, client in enumerate(clients):
            client.send(rig.request(f"left{n}"))
        rig.pass_time(0.01)
        for n, client in enumerate(clients):
            WAYS[n % len(WAYS)](rig, client)
        rig.pass_time(BOUND_S)
        for name in names:
            rig.nodes[0].answer(name)
        rig.pass_time(0.3)
        assert not rig.nodes[0].read_all().count(b"Request-Id: left")
        assert not rig.nodes[0].received("behind")


@every_way
def test_waiting_for_a_further_attempt(way: Way) -> None:
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("left"))
        node = rig.nodes[0]
        end = node.wait_for("left")
        way(rig, client)
        rig.pass_time(BOUND_S)
        end.text = b""
        end.send(b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
        rig.pass_time(1.0)
        assert not node.received("left")


@every_way
def test_waiting_for_a_connection_that_is_coming_up(way: Way, monkeypatch: pytest.MonkeyPatch) -> None:
    with gateway_rig(settings__permissions__connect_timeout_us="2000000") as rig:
        dials, client = HeldDials(monkeypatch), rig.client()
        client.send(rig.request("left"))
        assert rig.until(lambda: bool(dials.held))
        way(rig, client)
        rig.pass_time(BOUND_S)
        dials.release()
        rig.pass_time(0.3)
        assert not rig.nodes[0].received("left")


@every_way
def test_waiting_for_a_shard_that_is_away(way: Way) -> None:
    with gateway_rig() as rig:
        node, client = rig.nodes[0], rig.client()
        rig.watch.send(rig.drain(node, 2))
        rig.turn(3)
        client.send(rig.request("left"))
        rig.turn(3)
        way(rig, client)
        rig.pass_time(BOUND_S)
        node.phase = "Ready"
        rig.watch.send(rig.list_chunk(False, [node], 3))
        rig.pass_time(0.4)
        assert not node.received("left")


@pytest.mark.parametrize("way", [fin, half, rst, buffered], ids=lambda way: way.__name__)
def test_waiting_at_the_door(way: Way) -> None:
    """All places are in use, so that it waits in the kernel with what it has sent; then one comes free, and
    its request and its end are found together."""
    with gateway_rig(limits__sockets="48") as rig:
        front, node = rig.gateway.front, rig.nodes[0]
        warm = rig.client()
        warm.send(rig.request("warm"))
        node.answer("warm")
        others: list[PeerSocket] = []
        while not front.held:  # with bodies that are still coming: none of these goes for another
            others.append(rig.client())
            others[-1].send(rig.request(f"o{len(others)}", "write", body=b"half")[:-1])
            rig.turn(4)
        client = rig.client()
        client.send(rig.request("left"))
        rig.pass_time(0.05)
        way(rig, client)
        rig.pass_time(BOUND_S)
        assert front.held
        others[0].fin()
        rig.pass_time(0.3)
        assert not front.held and rig.gateway.engine.counts["taken"] in (1, 2)
        assert not node.received("left") and not node.received("behind1")


def test_one_large_body_whole_but_waiting_is_not_ended_when_its_client_has_left() -> None:
    """Its body is with the brick, all but the end, and the brick reads no more; then its client leaves."""
    with gateway_rig() as rig:
        fill(rig)
        node, client = rig.nodes[0], rig.client()
        body = b"b" * 600_000
        client.send(rig.request("large", "write", body=body)[: -len(body)])
        sent = 0
        while sent < len(body):
            sent += client.send_available(body[sent : sent + 16384])
            rig.turn()
            if sent < len(body):
                node.read_all()  # so far it reads
        rig.turn(4)
        client.rst()
        rig.pass_time(BOUND_S)
        for n in range(4):
            node.answer(f"fill{n}")
        rig.pass_time(0.5)
        assert node.read_all().count(b"b") < len(body) + 100 and b"b" * len(body) not in node.read_all()


def test_a_client_that_sends_on_without_reading_takes_no_more_memory_than_it_may() -> None:
    with gateway_rig(limits__memory_mb="32") as rig:
        client = rig.client()
        health = b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n" * 2000
        connection = None
        while connection is None or not connection.input.truncated:
            client.send_available(health)
            rig.turn()
            connection = next(iter(rig.gateway.front._open), None)
        assert connection.output_full and connection.input.parser.buffered < 300_000
        rig.until(client.closed)  # what it may have is answered, and then it is told
        assert client.text.count(b"200 OK") > 1000 and client.text.count(b"HTTP/1.1 429 ") == 1
        assert client.text.rindex(b"200 OK") < client.text.index(b"HTTP/1.1 429 ")


def test_what_is_thrown_away_may_begin_between_two_requests() -> None:
    """Where it begins the connection ends, though no part of a request is left there to be refused."""
    with gateway_rig() as rig:
        fill(rig)
        client, short = rig.client(), len(rig.request("x", shard=5, more="X-Pad: \r\n"))
        refused = rig.request("x", shard=5, more="X-Pad: " + "p" * (1024 - short) + "\r\n")
        client.send(rig.request("first"))
        rig.turn(3)
        connection = list(rig.gateway.front._open)[-1]
        while not connection.input.truncated:
            client.send(refused * 16)  # as much as is read at once
            rig.turn()
        assert connection.input.parser.buffered % 1024 == 0
        client.send(refused)
        for n in range(4):
            rig.nodes[0].answer(f"fill{n}")
        rig.nodes[0].answer("first")
        assert rig.until(client.closed)
        assert client.text.count(b"HTTP/1.1 429 ") == 1


def test_clients_that_stay_are_served_though_much_waits_behind_them() -> None:
    """What was mended must not cost those that pipeline and stay."""
    with gateway_rig() as rig:
        names, client = fill(rig), rig.client()
        rest = [f"p{n}" for n in range(100)]
        client.send(b"".join(rig.request(name) for name in ["first", *rest]))
        rig.turn(5)
        for name in names:
            rig.nodes[0].answer(name)
        for name in ["first", *rest]:
            rig.nodes[0].answer(name, name.encode())
            client.read_until(b"\r\n\r\n" + name.encode())


def test_a_reset_client_leaves_nothing_behind(recwarn: Any) -> None:
    with gateway_rig() as rig:
        fill(rig)
        for way in WAYS:
            client = rig.client()
            client.send(rig.request(way.__name__))
            rig.turn(3)
            way(rig, client)
        rig.pass_time(1.0)
        assert rig.gateway.engine.open_requests <= 4
        assert rig.gateway.front.connections <= 4


def warm(rig: GatewayRig, connections: int) -> None:
    """So many connections to the first brick have rested and can be used at once."""
    names = [f"warm{n}" for n in range(connections)]
    for name in names:
        rig.client().send(rig.request(name))
    for name in names:
        rig.nodes[0].wait_for(name)
    for name in names:
        rig.nodes[0].answer(name)
    rig.pass_time(0.05)


def with_its_end(rig: GatewayRig, client: PeerSocket, way: Way) -> None:
    """Its request and its end are in the kernel when the head looks."""
    client.send(rig.request("left"))
    way(rig, client)


AT_ONCE = pytest.mark.parametrize("way", [fin, half, rst], ids=lambda way: way.__name__)


@AT_ONCE
def test_found_with_its_end_in_the_turn_of_an_outcome(way: Way) -> None:
    """The outcome makes the module's next turn due: the request waits for a look of its own all the same."""
    with gateway_rig() as rig:
        warm(rig, 2)
        node, client = rig.nodes[0], rig.client()
        rig.client().send(rig.request("first"))
        node.wait_for("first")
        rig.turn(2)
        node.answer("first")
        with_its_end(rig, client, way)
        rig.pass_time(0.3)
        assert not node.received("left")


@AT_ONCE
def test_found_with_its_end_as_a_deadline_runs_the_module(way: Way) -> None:
    with gateway_rig() as rig:
        warm(rig, 2)
        client, engine = rig.client(), rig.gateway.engine
        rig.turn(2)
        with_its_end(rig, client, way)
        rig.turn()
        engine._deadlines.add(
            rig.clock.now_us() + 1, RequestDeadline(0)
        )  # as of a request that has its answer
        rig.leap(0.001)
        rig.pass_time(0.3)
        assert not rig.nodes[0].received("left")


@AT_ONCE
def test_found_with_its_end_as_a_list_runs_the_module(way: Way) -> None:
    with gateway_rig() as rig:
        warm(rig, 1)
        client = rig.client()
        rig.turn(2)
        with_its_end(rig, client, way)
        rig.watch.send(rig.list_chunk(False, rig.nodes, 2))
        rig.pass_time(0.3)
        assert not rig.nodes[0].received("left")


@AT_ONCE
def test_found_with_its_end_behind_a_further_request_as_its_slot_is_free(way: Way) -> None:
    with gateway_rig() as rig:
        fill(rig)
        node, client = rig.nodes[0], rig.client()
        client.send(rig.request("left"))
        rig.pass_time(0.01)
        node.answer("fill0")
        client.send(rig.request("behind"))
        way(rig, client)
        rig.turn()
        rig.leap(0.006)  # the connection has rested
        rig.pass_time(0.3)
        assert not node.received("left")


def step(rig: GatewayRig, turns: int) -> None:
    """Turns that take a little time each."""
    for _ in range(turns):
        rig.turn()
        rig.leap(0.001)


def test_a_request_whose_client_stays_costs_no_call_to_the_system(monkeypatch: pytest.MonkeyPatch) -> None:
    """The look that it waits for serves all: no socket is asked for one request alone."""
    asked: list[Any] = []
    plain = net.hung_up
    monkeypatch.setattr(net, "hung_up", lambda link: (asked.append(link), plain(link))[1])  # type: ignore[func-returns-value]
    with gateway_rig() as rig:
        warm(rig, 3)
        node, clients = rig.nodes[0], [rig.client() for _ in range(3)]
        for n in range(30):
            clients[n % 3].send(rig.request(f"stays{n}"))
            node.wait_for(f"stays{n}")
            node.answer(f"stays{n}")
            clients[n % 3].read_until(b"\r\n\r\nok")
        assert not asked


def busy_as(rig: GatewayRig, neighbour: PeerSocket, meanwhile: Callable[[], None]) -> None:
    """The loop handles what this neighbour sent for 0.15 s; what comes meanwhile is in the kernel alone."""
    port = neighbour.sock.getsockname()[1]
    connection = next(c for c in rig.gateway.front._open if c.link.getPeer().port == port)
    handle = connection.dataReceived

    def slowly(data: bytes) -> None:
        connection.dataReceived = handle
        meanwhile()
        rig.leap(0.15)
        handle(data)

    connection.dataReceived = slowly
    neighbour.send(b"GET /_health HTTP/1.1\r\n")


@AT_ONCE
def test_leaves_as_the_loop_is_busy_with_another_before_its_slot_is_free(way: Way) -> None:
    with gateway_rig() as rig:
        fill(rig)
        node, client, neighbour = rig.nodes[0], rig.client(), rig.client()
        client.send(rig.request("left"))
        rig.pass_time(0.01)
        node.answer("fill0")
        busy_as(rig, neighbour, lambda: way(rig, client))
        rig.pass_time(0.3)
        assert not node.received("left")


@AT_ONCE
def test_leaves_as_the_loop_is_busy_with_another_before_its_further_attempt(way: Way) -> None:
    with gateway_rig() as rig:
        warm(rig, 2)
        node, client, neighbour = rig.nodes[0], rig.client(), rig.client()
        client.send(rig.request("left"))
        end = node.wait_for("left")
        end.text = b""
        end.send(b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
        rig.turn(3)
        busy_as(rig, neighbour, lambda: way(rig, client))
        rig.pass_time(1.0)
        assert not node.received("left")


@AT_ONCE
def test_leaves_as_the_loop_is_busy_with_another_before_its_connection_is_up(way: Way) -> None:
    with gateway_rig() as rig:
        client, neighbour = rig.client(), rig.client()
        rig.turn(2)
        client.send(rig.request("left"))
        step(rig, 3)
        busy_as(rig, neighbour, lambda: way(rig, client))
        rig.pass_time(0.3)
        assert not rig.nodes[0].received("left")


@AT_ONCE
def test_leaves_as_the_loop_is_busy_with_another_before_its_shard_is_back(way: Way) -> None:
    with gateway_rig() as rig:
        warm(rig, 1)
        node, client, neighbour = rig.nodes[0], rig.client(), rig.client()
        rig.watch.send(rig.drain(node, 2))
        rig.turn(3)
        client.send(rig.request("left"))
        step(rig, 3)
        node.phase = "Ready"
        rig.watch.send(rig.list_chunk(False, [node], 3))
        step(rig, 1)
        busy_as(rig, neighbour, lambda: way(rig, client))
        rig.pass_time(0.4)
        assert not node.received("left")


@AT_ONCE
def test_leaves_as_the_loop_is_busy_with_another_between_the_last_look_and_the_first_byte(way: Way) -> None:
    """What the look found is true of the bytes only if these leave at once, not at the end of a long turn."""
    with gateway_rig() as rig:
        warm(rig, 2)
        node, client, neighbour = rig.nodes[0], rig.client(), rig.client()
        rig.turn(2)
        client.send(rig.request("left"))
        step(rig, 2)
        seen: list[int] = []

        def leave() -> None:
            seen.append(node.received("left"))
            way(rig, client)

        busy_as(rig, neighbour, leave)
        rig.pass_time(0.3)
        assert seen and node.received("left") == seen[0]


@AT_ONCE
def test_leaves_as_the_loop_is_busy_with_another_before_the_end_of_its_large_body(way: Way) -> None:
    """It is with its brick, all but the end, and waits for a slot."""
    with gateway_rig() as rig:
        fill(rig)
        node, client, neighbour = rig.nodes[0], rig.client(), rig.client()
        body = b"b" * 200_000
        client.send(rig.request("large", "write", body=body))
        assert rig.until(lambda: node.read_all().count(b"b") >= 199_999)
        rig.pass_time(0.05)
        node.answer("fill0")
        seen: list[int] = []

        def leave() -> None:
            seen.append(node.read_all().count(b"b"))
            way(rig, client)

        rig.turn()
        busy_as(rig, neighbour, leave)
        rig.pass_time(0.3)
        assert seen and node.read_all().count(b"b") == seen[0]


@pytest.mark.parametrize("end", [fin, rst], ids=lambda end: end.__name__)
def test_what_leaves_at_once_is_not_sent_into_a_connection_that_its_brick_has_closed(end: Way) -> None:
    """The brick's end is in the kernel as the connection is taken: it is read first, and nothing was sent."""
    with gateway_rig() as rig:
        warm(rig, 1)
        node, client = rig.nodes[0], rig.client()
        rig.turn(2)
        client.send(rig.request("stays", "write", body=b"b"))
        step(rig, 2)
        end(rig, node.connections[0])
        rig.pass_time(0.1)
        assert node.received("stays") == 1 and not rig.gateway.engine.counts["attempt_reset"]
        node.answer("stays")
        client.read_until(b"\r\n\r\nok")


def test_a_request_larger_than_the_system_takes_at_once_comes_whole() -> None:
    with gateway_rig() as rig:
        warm(rig, 1)
        node, client, body = rig.nodes[0], rig.client(), bytes(range(256)) * 255
        node.connections[0].sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        inside = next(iter(next(iter(rig.gateway.transport._nodes.values())).idle))
        inside.link.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.send(rig.request("large", "write", body=body))
        rig.pass_time(0.02)
        assert not inside.written, "all has left at once: the test forces nothing"
        assert rig.until(lambda: body in node.read_all()) and rig.until(lambda: inside.written)
        node.answer("large")
        client.read_until(b"\r\n\r\nok")


@AT_ONCE
def test_leaves_as_many_are_sent_in_one_turn_of_the_module(way: Way, monkeypatch: pytest.MonkeyPatch) -> None:
    """What the module says at once is carried out one by one: each has its own last look."""
    with gateway_rig() as rig:
        warm(rig, 4)
        node, clients, sent = rig.nodes[0], [rig.client() for _ in range(3)], list[bytes]()
        rig.turn(2)
        plain = net.send_now

        def slowly(link: Any, data: bytes) -> bool:
            whole = plain(link, data)
            sent.append(data)
            if len(sent) == 1:
                for client in clients[1:]:
                    way(rig, client)
                rig.leap(0.15)
            return whole

        monkeypatch.setattr(node_connection, "send_now", slowly)
        for n, client in enumerate(clients):
            client.send(rig.request(f"many{n}"))
        rig.pass_time(0.3)
        assert [node.received(f"many{n}") for n in range(3)] == [1, 0, 0] and len(sent) == 1


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
BYTE_S = 2e-6  # 16 KiB are read in 33 ms


@pytest.mark.parametrize("sockets", ["1024", "72"])
def test_under_load_no_attempt_begins_long_after_its_client_has_left(
    sockets: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A flood of clients, of which many leave, and some that send megabytes, with places for all or not.
    Turns of the loop last far longer than the bound, as each byte that is read takes its time by the rig's
    clock; a close counts from the latest look before it."""
    rig, longest = GatewayRig(limits__sockets=sockets).start(), [0.0]
    read = ClientConnection.dataReceived

    def slowly(connection: ClientConnection, data: bytes) -> None:
        rig.now += len(data) * BYTE_S
        read(connection, data)

    monkeypatch.setattr(ClientConnection, "dataReceived", slowly)
    began: dict[str, int] = {}
    left: dict[str, int] = {}
    calm: dict[str, PeerSocket] = {}
    plain, flood = net.send_now, 40
    health, chance = b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n" * 1700, Random(3)

    def sent(link: Any, data: bytes) -> bool:
        whole, name = plain(link, data), data.partition(b"Request-Id: ")[2].partition(b"\r\n")[0].decode()
        began.setdefault(name, rig.clock.now_us())
        return whole

    monkeypatch.setattr(node_connection, "send_now", sent)
    loud, served, number = [rig.client() for _ in range(4)], 0, 0
    try:
        until = rig.now + 8.0
        while rig.now < until:
            while len(calm) < flood:
                number += 1
                calm[f"r{number}"] = client = rig.client()
                client.send(rig.request(f"r{number}"))
            start = rig.now
            rig.turn()
            longest.append(rig.now - start)
            rig.now += STEP_S
            if not rig.watch.closed() and len(longest) % 5 == 0:
                rig.watch.send(chunk(b"\n"))
            rig.nodes[0].read_all()
            for end in rig.nodes[0].connections:
                if end.text and not end.ended:
                    end.text = b""
                    end.send_available(OK)
            for client in loud:
                client.read()
                client.text = b""
                if not client.ended:
                    client.send_available(health)
            for name, client in list(calm.items()):
                if client.closed() or client.text:
                    served += b" 200 " in client.text
                    del calm[name]
                elif chance.random() < 0.05:
                    if name not in began:
                        left[name] = rig.clock.polled_us
                    chance.choice([client.fin, client.rst])()
                    del calm[name]
    finally:
        rig.close()
    late = max([began[name] - at for name, at in left.items() if name in began], default=0)
    print(f"turns up to {max(longest):.3f} s, {len(left)} left, {served} served, {late / 1e6:.3f} s at most")
    assert max(longest) > 0.1 and len(left) > 30 and served > 5, "too little load: nothing is forced"
    assert late < 100_000


@pytest.mark.parametrize("way", [fin, half, rst], ids=lambda way: way.__name__)
def test_leaves_while_its_request_is_still_being_written(way: Way) -> None:
    """A node counts an attempt from its last byte: what is not with it by then does not go on."""
    with gateway_rig() as rig:
        warm(rig, 1)
        node, client, body = rig.nodes[0], rig.client(), b"b" * 65_000
        node.connections[0].sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        inside = next(iter(next(iter(rig.gateway.transport._nodes.values())).idle))
        inside.link.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.send(rig.request("left", "write", body=body))
        rig.pass_time(0.02)
        assert not inside.written, "all has left at once: the test forces nothing"
        way(rig, client)
        rig.pass_time(0.1)
        assert rig.until(lambda: node.connections[0].closed() or body in node.read_all(), 1.0)
        assert body not in node.read_all() and rig.gateway.engine.counts["attempt_not_started"] == 1
        again = rig.client()  # its id and its slot are free again
        again.send(rig.request("left"))
        node.wait_for("left")
