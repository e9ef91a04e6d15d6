"""SIGTERM at any moment: every accepted request is answered, and the process ends."""

from __future__ import annotations

import pytest

from gaugesail import config as configuration

from ..support.live_head import GatewayRig, Listener, PeerSocket, gateway_rig

KILL_S = 3.7  # after SIGTERM, at the earliest: a longest deadline of 5 s counts as 3 s


def assert_stops(rig: GatewayRig, within: float = KILL_S) -> None:
    assert rig.until(lambda: bool(rig.stopped), within), rig.log.getvalue()[-500:]


@pytest.mark.parametrize("split", [1, 20, -3])
def test_a_request_half_read_at_the_signal_is_served(split: int) -> None:
    with gateway_rig() as rig:
        client, text = rig.client(), rig.request("a", "write", body=b"body")
        client.send(text[:split])
        rig.turn(3)
        rig.gateway.stop()
        rig.pass_time(0.9)
        client.send(text[split:])
        rig.nodes[0].answer("a")
        assert b"Connection: close" in client.read_until(b"\r\n\r\nok")
        assert_stops(rig)


def test_a_request_that_was_only_accepted_by_the_kernel_at_the_signal() -> None:
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("a"))
        rig.gateway.stop()
        rig.nodes[0].answer("a")
        client.read_until(b"\r\n\r\nok")
        assert_stops(rig)


def test_a_request_in_the_kernel_as_the_port_closes() -> None:
    """A client connects and sends in the iteration in which the port is closed."""
    with gateway_rig() as rig:
        rig.gateway.stop()
        rig.pass_time(0.4)
        client = rig.client()
        client.send(rig.request("a"))
        rig.leap(0.2)
        rig.nodes[0].answer("a")
        client.read_until(b"\r\n\r\nok")
        assert_stops(rig)


def test_more_clients_than_connections_wait_in_the_kernel_as_the_port_closes() -> None:
    with gateway_rig(limits__sockets="48") as rig:
        front = rig.gateway.front
        many = front._max_with_overflow + 4
        rig.gateway.stop()
        rig.pass_time(0.44)
        clients = [rig.client() for _ in range(many)]
        for n, client in enumerate(clients):
            client.send(rig.request(f"r{n}"))
        rig.leap(0.02)  # the port is due to close before any of them is accepted

        def answered() -> bool:
            for n in range(many):
                if rig.nodes[0].received(f"r{n}"):
                    rig.nodes[0].answer(f"r{n}")
            return all(b"HTTP/1.1 " in client.read() for client in clients)

        assert rig.until(answered, 3.0), [client.read()[:20] for client in clients]
        assert not any(client.was_reset for client in clients)
        assert_stops(rig)


def test_a_request_that_arrives_as_idle_connections_are_closed() -> None:
    """The connection is between two requests; the next one is in the kernel when it would be closed."""
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("a"))
        rig.nodes[0].answer("a")
        client.read_until(b"\r\n\r\nok")
        rig.gateway.stop()
        rig.pass_time(0.69)
        client.send(rig.request("b"))
        rig.leap(0.05)
        rig.nodes[0].answer("b", b"b!")
        assert b"Connection: close" in client.read_until(b"\r\n\r\nb!")
        assert_stops(rig)


def test_requests_on_a_connection_that_stays_open_until_the_kill() -> None:
    """A client that sends request after request is served until no time is left, then its connection ends."""
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("n0"))
        rig.nodes[0].wait_for("n0")
        rig.gateway.stop()
        began, number, got = rig.now, 0, b""
        while rig.now - began < KILL_S and not client.ended:
            client.send_available(rig.request(f"n{number + 1}"))  # before the previous answer
            rig.pass_time(0.1)
            if not rig.nodes[0].received(f"n{number}"):
                break
            rig.nodes[0].answer(f"n{number}", b"<%d>" % number)
            number += 1
            rig.pass_time(0.05)
            got = client.read()
        assert client.ended or rig.until(client.closed, KILL_S - (rig.now - began))
        assert got.count(b"HTTP/1.1 ") >= number
        assert_stops(rig)


@pytest.mark.parametrize("effect", ["retryable", "fragile"])
def test_a_request_at_a_node_that_hangs(effect: str) -> None:
    with gateway_rig(settings__categories__1__effect=effect) as rig:
        client = rig.client()
        client.send(rig.request("a", "write", body=b"body"))
        rig.nodes[0].wait_for("a")
        rig.gateway.stop()
        client.read_until(b"HTTP/1.1 ")
        assert client.text.count(b"HTTP/1.1 ") == 0
        assert_stops(rig)


def test_queued_requests_at_the_signal_each_have_an_answer() -> None:
    with gateway_rig() as rig:
        clients = [rig.client() for _ in range(9)]
        for n, client in enumerate(clients):
            client.send(rig.request(f"r{n}"))
        rig.turn(4)
        rig.gateway.stop()

        def answered() -> bool:
            for n in range(9):
                if rig.nodes[0].received(f"r{n}"):
                    rig.nodes[0].answer(f"r{n}")
            return all(client.read().count(b"HTTP/1.1 ") == 1 for client in clients)

        assert rig.until(answered, KILL_S)
        assert_stops(rig)


def test_an_answer_in_part_at_the_signal() -> None:
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("a"))
        end = rig.nodes[0].wait_for("a")
        end.send(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf")
        rig.turn(2)
        rig.gateway.stop()
        rig.pass_time(0.3)
        end.send(b"half")
        client.read_until(b"\r\n\r\nhalfhalf")
        assert_stops(rig)


def test_a_second_signal_changes_nothing() -> None:
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("a"))
        rig.nodes[0].wait_for("a")
        rig.gateway.stop()
        rig.pass_time(0.3)
        assert rig.gateway.stop() is rig.gateway.stopped
        rig.pass_time(0.6)
        rig.gateway.stop()
        assert not rig.stopped
        rig.nodes[0].answer("a")
        client.read_until(b"\r\n\r\nok")
        assert_stops(rig)


@pytest.mark.parametrize("after", [0.0, 0.5, 0.8])
def test_a_new_configuration_during_shutdown(after: float) -> None:
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("a"))
        rig.nodes[0].wait_for("a")
        rig.gateway.stop()
        rig.pass_time(after)
        rig.gateway.reload_from(lambda: configuration.read(rig.config | {"seed": "9"}, {}))
        rig.nodes[0].answer("a")
        client.read_until(b"\r\n\r\nok")
        assert_stops(rig)


def test_a_signal_before_the_previous_process_has_answered_ends_it_without_a_port(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The process waits for the handover of a running process, and gets SIGTERM meanwhile."""
    from twisted.internet.defer import Deferred

    rig = GatewayRig()
    try:
        takeover: Deferred[None] = Deferred()
        monkeypatch.setattr(rig.gateway._handover, "request_takeover", lambda: takeover)
        rig.gateway.start()
        rig.turn(2)
        rig.gateway.stop()
        rig.pass_time(0.5)
        takeover.callback(None)
        rig.turn(3)
        assert rig.gateway._port is None, "it listens although it must end"
        assert_stops(rig)
    finally:
        rig.close()


def test_the_next_process_dies_while_this_one_ends() -> None:
    """The next process had accepted in place of this one, which accepts waiting clients again."""
    with gateway_rig() as rig:
        rig.gateway.set_replaced(True)
        rig.gateway.stop()
        rig.pass_time(0.5)
        client = rig.client()
        client.send(rig.request("a"))
        rig.pass_time(0.1)
        rig.gateway.set_replaced(False)
        rig.nodes[0].answer("a")
        client.read_until(b"\r\n\r\nok")
        assert_stops(rig)


def test_the_next_process_serves_and_dies_when_the_port_is_closed() -> None:
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("a"))
        rig.nodes[0].wait_for("a")
        rig.gateway.stop()
        rig.pass_time(0.6)
        rig.gateway.set_replaced(True)
        rig.gateway.set_replaced(False)
        rig.nodes[0].answer("a")
        client.read_until(b"\r\n\r\nok")
        assert_stops(rig)


@pytest.mark.parametrize("for_s", [1.0, KILL_S, 9.0])
def test_the_address_is_awaited_while_the_previous_process_ends(for_s: float) -> None:
    """The previous process may serve until a request's longest deadline after its signal."""
    rig = GatewayRig()
    try:
        before = Listener(rig)
        host, port = before.address.split(":")
        rig.gateway._listen = (host, int(port))
        failed: list[object] = []
        rig.gateway.start().addErrback(failed.append)
        rig.pass_time(for_s)
        assert not failed and not rig.gateway.front.listening
        before.listener.close()
        assert rig.until(lambda: rig.gateway.front.listening, 0.1)
        client = rig.client()
        client.send(rig.request("a"))
        rig.nodes[0].answer("a")
        client.read_until(b"\r\n\r\nok")
    finally:
        rig.close()


def test_an_address_that_is_never_free_fails_the_start() -> None:
    rig = GatewayRig()
    try:
        host, port = Listener(rig).address.split(":")
        rig.gateway._listen = (host, int(port))
        failed: list[object] = []
        rig.gateway.start().addErrback(failed.append)
        assert rig.until(lambda: bool(failed), 30.0) and not rig.gateway.front.listening
    finally:
        rig.close()


def test_the_management_address_is_awaited_too() -> None:
    rig = GatewayRig()
    try:
        before = Listener(rig)
        host, port = before.address.split(":")
        rig.gateway.management_address = (host, int(port))
        failed: list[object] = []
        rig.gateway.start().addErrback(failed.append)
        rig.pass_time(KILL_S)
        assert not failed and not rig.gateway.front.listening
        before.listener.close()
        assert rig.until(lambda: rig.gateway.front.listening, 0.1)
    finally:
        rig.close()


def test_a_signal_while_the_address_is_awaited() -> None:
    rig = GatewayRig()
    try:
        before = Listener(rig)
        host, port = before.address.split(":")
        rig.gateway._listen = (host, int(port))
        rig.gateway.start()
        rig.pass_time(1.0)
        rig.gateway.stop()
        rig.pass_time(0.2)
        before.listener.close()
        rig.pass_time(0.1)
        assert rig.gateway._port is None, "it listens although it must end"
        assert_stops(rig, 1.0)
    finally:
        rig.close()


def test_a_signal_while_a_pushed_list_is_awaited() -> None:
    rig = GatewayRig(settings__discovery="push")
    try:
        rig.gateway.start()
        rig.turn(2)
        rig.gateway.stop()
        assert_stops(rig)
    finally:
        rig.close()


def test_a_client_that_disconnects_during_shutdown_does_not_delay_it() -> None:
    with gateway_rig() as rig:
        client: PeerSocket = rig.client()
        client.send(rig.request("a"))
        rig.nodes[0].wait_for("a")
        rig.gateway.stop()
        rig.pass_time(0.2)
        client.rst()
        assert_stops(rig, 1.5)


def stop_with_a_write_in_flight(rig: GatewayRig) -> PeerSocket:
    """Stop the gateway while a node holds the write "a" of the client that is returned."""
    client = rig.client()
    client.send(rig.request("a", "write", body=b"body"))
    rig.nodes[0].wait_for("a")
    rig.gateway.stop()
    return client


def send_behind_a_slow_request(rig: GatewayRig, after: float) -> PeerSocket:
    """Send a request whose answer comes ``after`` seconds after the signal, and the next one behind it."""
    client = stop_with_a_write_in_flight(rig)
    rig.pass_time(after)
    client.send(rig.request("b", "write", body=b"body"))
    rig.turn(2)
    rig.nodes[0].answer("a")
    client.read_until(b"\r\n\r\nok")
    return client


def test_a_node_is_told_the_time_that_is_left_to_the_process() -> None:
    """Guards against attempts that are given their client's whole time by a process that is to end."""
    with gateway_rig(settings__categories__1__effect="fragile") as rig:
        after = 3.0
        client = send_behind_a_slow_request(rig, after)
        node = rig.nodes[0].wait_for("b")
        told_ms = int(node.text.partition(b"Request-Timeout-Ms: ")[2].split()[0])
        assert told_ms < (KILL_S - after) * 1000
        assert b"HTTP/1.1 500" in client.read_until(b"\r\n\r\n")
        assert_stops(rig, KILL_S - after)


def test_a_repeatable_request_without_time_is_refused_so_that_its_client_tries_again() -> None:
    with gateway_rig(settings__categories__1__aim_us="4000000") as rig:
        client = stop_with_a_write_in_flight(rig)
        rig.pass_time(3.3)
        assert not client.read()
        assert b"HTTP/1.1 503" in client.read_until(b"\r\n\r\n")
        assert rig.nodes[0].connections[-1].closed()
        assert_stops(rig, KILL_S - 3.3)


def test_a_request_that_the_process_has_no_time_to_serve_is_refused_at_once() -> None:
    with gateway_rig(settings__categories__1__effect="fragile") as rig:
        client = send_behind_a_slow_request(rig, 3.43)
        began = rig.now
        assert b"HTTP/1.1 503" in client.read_until(b"\r\n\r\n")
        assert rig.now - began < 0.01
        assert not rig.nodes[0].received("b")
        assert_stops(rig, KILL_S - 3.4)


def test_nothing_is_read_from_the_moment_in_which_the_process_ends() -> None:
    """Guards against a request that is read between the last answer and the exit."""
    with gateway_rig(settings__categories__1__effect="fragile") as rig:
        client, text = stop_with_a_write_in_flight(rig), rig.request("b")
        rig.pass_time(3.2)
        client.send(text[:20])
        rig.turn(2)
        rig.nodes[0].answer("a")
        client.read_until(b"\r\n\r\nok")
        rig.pass_time(KILL_S - 3.2 - 0.1 - 0.01)
        client.send(text[20:])
        rig.leap(0.02)
        assert rig.until(lambda: bool(rig.stopped), 0.1)
        rig.turn(3)
        assert not rig.gateway.engine.counts["rejected_at_shutdown"] and not client.read()


def test_requests_behind_one_another_at_the_end_each_have_an_answer() -> None:
    with gateway_rig(settings__categories__1__effect="fragile") as rig:
        client = stop_with_a_write_in_flight(rig)
        rig.pass_time(KILL_S - 0.26)
        for number in range(20):
            client.send(rig.request(f"b{number}"))
        assert_stops(rig, 0.26)
        assert client.read().count(b"HTTP/1.1 503") == 20


@pytest.mark.parametrize("read", [True, False])
def test_an_answer_without_a_length_that_is_cut_by_the_kill_is_reset(read: bool) -> None:
    """Guards against an end that passes for that of a whole answer."""
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("a").replace(b"HTTP/1.1", b"HTTP/1.0"))
        node = rig.nodes[0].wait_for("a")
        node.send(b"HTTP/1.0 200 OK\r\n\r\n" + b"h" * 100_000)
        assert rig.until(lambda: b"200 OK" in client.read())
        rig.gateway.stop()
        if read:
            assert rig.until(lambda: client.read().count(b"h") >= 100_000)
        rig.pass_time(KILL_S)
        assert not client.closed()
        (connection,) = rig.gateway.front.streams
        connection.link.socket.close()  # as the kernel does for a process that is killed
        assert client.closed() and client.was_reset


def test_an_answer_without_a_length_that_ends_after_the_earliest_kill_ends_in_order() -> None:
    """Guards against a reset of a whole answer, as the process had prepared for its kill."""
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("a").replace(b"HTTP/1.1", b"HTTP/1.0"))
        node = rig.nodes[0].wait_for("a")
        node.send(b"HTTP/1.0 200 OK\r\n\r\n" + b"h" * 100_000)
        rig.gateway.stop()
        rig.pass_time(KILL_S)
        node.send(b"h" * 100_000)
        node.fin()
        assert rig.until(lambda: client.read().count(b"h") == 200_000)
        assert rig.until(client.closed) and not client.was_reset
        assert_stops(rig, 0.2)


def reload_with_deadline(rig: GatewayRig, deadline_s: float) -> None:
    """Reload with this longest deadline."""
    for index, share in enumerate((0.5, 1.0)):
        category = rig.config["settings"]["categories"][index]
        category["give_up_us"] = int(share * deadline_s * 1e6)
        category["aim_us"] = min(category["aim_us"], int(share * deadline_s * 5e5))
    rig.gateway.reload_from(lambda: configuration.read(rig.config, {}))


@pytest.mark.parametrize("after", [-0.2, 0.0, 0.3])
def test_shorter_deadlines_by_a_reload_around_the_signal_let_the_process_end_sooner(after: float) -> None:
    """Guards against a kill that is timed by the new settings while the process goes by the old ones."""
    with gateway_rig(settings__categories__1__effect="fragile") as rig:
        client = rig.client()
        client.send(rig.request("a", "write", body=b"body"))
        rig.nodes[0].wait_for("a")
        if after < 0:
            reload_with_deadline(rig, 0.4)
            rig.pass_time(-after)
        rig.gateway.stop()
        began = rig.now
        if after >= 0:
            rig.pass_time(after)
            reload_with_deadline(rig, 0.4)
        assert_stops(rig, began + 0.4 + 0.7 - rig.now)
        assert client.read().count(b"HTTP/1.1 50") == 1


@pytest.mark.parametrize("before", [0.2, 1.0])
def test_longer_deadlines_by_a_reload_just_before_the_signal_do_not_delay_the_end(before: float) -> None:
    with gateway_rig(
        settings__categories__0__give_up_us="300000", settings__categories__0__aim_us="150000",
        settings__categories__1__give_up_us="400000", settings__categories__1__aim_us="200000",
        settings__categories__1__effect="fragile",
    ) as rig:  # fmt: skip
        reload_with_deadline(rig, 5.0)
        rig.pass_time(before)
        client = stop_with_a_write_in_flight(rig)
        assert_stops(rig, 0.4 + 0.7)
        assert client.read().count(b"HTTP/1.1 50") == 1
