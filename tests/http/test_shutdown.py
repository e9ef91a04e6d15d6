"""SIGTERM at every instant: nothing that was taken goes without its answer, and the process ends."""

from __future__ import annotations

import pytest

from gaugesail import config as configuration

from ..support.live_head import End, Place, Turned, turned

LONGEST_S = 5.0  # of the settings' deadlines
KILL_S = LONGEST_S + 0.7


def ends(rig: Turned, within: float = KILL_S) -> None:
    assert rig.until(lambda: bool(rig.stopped), within), rig.log.getvalue()[-500:]


@pytest.mark.parametrize("cut", [1, 20, -3])
def test_a_request_half_read_at_the_signal_is_served(cut: int) -> None:
    with turned() as rig:
        client, text = rig.client(), rig.ask("a", "write", body=b"body")
        client.send(text[:cut])
        rig.turn(3)
        rig.head.stop()
        rig.pass_time(0.9)
        client.send(text[cut:])
        rig.bricks[0].answer("a")
        assert b"Connection: close" in client.take(b"\r\n\r\nok")
        ends(rig)


def test_a_request_that_was_only_accepted_by_the_kernel_at_the_signal() -> None:
    with turned() as rig:
        client = rig.client()
        client.send(rig.ask("a"))
        rig.head.stop()
        rig.bricks[0].answer("a")
        client.take(b"\r\n\r\nok")
        ends(rig)


def test_a_request_in_the_kernel_as_the_port_closes() -> None:
    """It connects and sends in the very turn in which the port is to close."""
    with turned() as rig:
        rig.head.stop()
        rig.pass_time(0.4)
        client = rig.client()
        client.send(rig.ask("a"))
        rig.leap(0.2)
        rig.bricks[0].answer("a")
        client.take(b"\r\n\r\nok")
        ends(rig)


def test_more_wait_in_the_kernel_than_there_are_places_as_the_port_closes() -> None:
    with turned(limits__sockets="48") as rig:
        front = rig.head.front
        many = front._max_with_overflow + 4
        rig.head.stop()
        rig.pass_time(0.44)
        clients = [rig.client() for _ in range(many)]
        for n, client in enumerate(clients):
            client.send(rig.ask(f"r{n}"))
        rig.leap(0.02)  # the port is to close before any of them was accepted

        def answered() -> bool:
            for n in range(many):
                if rig.bricks[0].saw(f"r{n}"):
                    rig.bricks[0].answer(f"r{n}")
            return all(b"HTTP/1.1 " in client.read() for client in clients)

        assert rig.until(answered, 3.0), [client.read()[:20] for client in clients]
        assert not any(client.was_reset for client in clients)
        ends(rig)


def test_a_request_that_arrives_as_idle_connections_are_closed() -> None:
    """A kept connection between two requests; the next one is in our kernel when it would be closed."""
    with turned() as rig:
        client = rig.client()
        client.send(rig.ask("a"))
        rig.bricks[0].answer("a")
        client.take(b"\r\n\r\nok")
        rig.head.stop()
        rig.pass_time(0.69)
        client.send(rig.ask("b"))
        rig.leap(0.05)
        rig.bricks[0].answer("b", b"b!")
        assert b"Connection: close" in client.take(b"\r\n\r\nb!")
        ends(rig)


def test_requests_on_connections_that_stay_open_up_to_the_kill() -> None:
    """One that asks and asks behind its answers is served until there is no time left, and then told so."""
    with turned() as rig:
        client = rig.client()
        client.send(rig.ask("n0"))
        rig.bricks[0].request("n0")
        rig.head.stop()
        began, number, got = rig.now, 0, b""
        while rig.now - began < KILL_S and not client.ended:
            client.cram(rig.ask(f"n{number + 1}"))  # before the answer to the one before
            rig.pass_time(0.1)
            if not rig.bricks[0].saw(f"n{number}"):
                break
            rig.bricks[0].answer(f"n{number}", b"<%d>" % number)
            number += 1
            rig.pass_time(0.05)
            got = client.read()
        assert client.ended or rig.until(client.gone, KILL_S - (rig.now - began))
        assert got.count(b"HTTP/1.1 ") >= number
        ends(rig)


@pytest.mark.parametrize("effect", ["retryable", "fragile"])
def test_a_request_at_a_node_that_hangs(effect: str) -> None:
    with turned(settings__categories__1__effect=effect) as rig:
        client = rig.client()
        client.send(rig.ask("a", "write", body=b"body"))
        rig.bricks[0].request("a")
        rig.head.stop()
        client.take(b"HTTP/1.1 ")
        assert client.text.count(b"HTTP/1.1 ") == 0
        ends(rig)


def test_requests_in_a_line_at_the_signal_each_have_an_answer() -> None:
    with turned() as rig:
        clients = [rig.client() for _ in range(9)]
        for n, client in enumerate(clients):
            client.send(rig.ask(f"r{n}"))
        rig.turn(4)
        rig.head.stop()

        def answered() -> bool:
            for n in range(9):
                if rig.bricks[0].saw(f"r{n}"):
                    rig.bricks[0].answer(f"r{n}")
            return all(client.read().count(b"HTTP/1.1 ") == 1 for client in clients)

        assert rig.until(answered, KILL_S)
        ends(rig)


def test_an_answer_in_part_at_the_signal() -> None:
    with turned() as rig:
        client = rig.client()
        client.send(rig.ask("a"))
        end = rig.bricks[0].request("a")
        end.send(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf")
        rig.turn(2)
        rig.head.stop()
        rig.pass_time(0.3)
        end.send(b"half")
        client.take(b"\r\n\r\nhalfhalf")
        ends(rig)


def test_a_second_signal_changes_nothing() -> None:
    with turned() as rig:
        client = rig.client()
        client.send(rig.ask("a"))
        rig.bricks[0].request("a")
        rig.head.stop()
        rig.pass_time(0.3)
        assert rig.head.stop() is rig.head.stopped
        rig.pass_time(0.6)
        rig.head.stop()
        assert not rig.stopped
        rig.bricks[0].answer("a")
        client.take(b"\r\n\r\nok")
        ends(rig)


@pytest.mark.parametrize("after", [0.0, 0.5, 0.8])
def test_a_new_configuration_during_shutdown(after: float) -> None:
    with turned() as rig:
        client = rig.client()
        client.send(rig.ask("a"))
        rig.bricks[0].request("a")
        rig.head.stop()
        rig.pass_time(after)
        rig.head.reload_from(lambda: configuration.read(rig.config | {"seed": "9"}, {}))
        rig.bricks[0].answer("a")
        client.take(b"\r\n\r\nok")
        ends(rig)


def test_a_signal_before_the_process_before_has_answered_ends_it_with_nothing_taken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It waits for what a running process hands over, and is told to end meanwhile."""
    from twisted.internet.defer import Deferred

    rig = Turned()
    try:
        asked: Deferred[None] = Deferred()
        monkeypatch.setattr(rig.head._handover, "request_takeover", lambda: asked)
        rig.head.start()
        rig.turn(2)
        rig.head.stop()
        rig.pass_time(0.5)
        asked.callback(None)
        rig.turn(3)
        assert rig.head._port is None, "it listens, though it is to end"
        ends(rig)
    finally:
        rig.close()


def test_the_next_process_goes_while_this_one_ends() -> None:
    """It had accepted in place of this one: who waits in the kernel now is this one's again."""
    with turned() as rig:
        rig.head.replaced(True)
        rig.head.stop()
        rig.pass_time(0.5)
        client = rig.client()
        client.send(rig.ask("a"))
        rig.pass_time(0.1)
        rig.head.replaced(False)
        rig.bricks[0].answer("a")
        client.take(b"\r\n\r\nok")
        ends(rig)


def test_the_next_process_says_that_it_serves_and_goes_when_the_port_is_closed() -> None:
    with turned() as rig:
        client = rig.client()
        client.send(rig.ask("a"))
        rig.bricks[0].request("a")
        rig.head.stop()
        rig.pass_time(0.6)
        rig.head.replaced(True)
        rig.head.replaced(False)
        rig.bricks[0].answer("a")
        client.take(b"\r\n\r\nok")
        ends(rig)


@pytest.mark.parametrize("for_s", [1.0, KILL_S, 9.0])
def test_the_address_is_waited_for_while_a_process_before_is_on_its_way_out(for_s: float) -> None:
    """It may be killed only as long after its signal as a request may take."""
    rig = Turned()
    try:
        before = Place(rig)
        host, port = before.address.split(":")
        rig.head._listen = (host, int(port))
        failed: list[object] = []
        rig.head.start().addErrback(failed.append)
        rig.pass_time(for_s)
        assert not failed and not rig.head.front.listening
        before.listener.close()
        assert rig.until(lambda: rig.head.front.listening, 0.1)
        client = rig.client()
        client.send(rig.ask("a"))
        rig.bricks[0].answer("a")
        client.take(b"\r\n\r\nok")
    finally:
        rig.close()


def test_an_address_that_is_never_free_is_said_so_in_the_end() -> None:
    rig = Turned()
    try:
        host, port = Place(rig).address.split(":")
        rig.head._listen = (host, int(port))
        failed: list[object] = []
        rig.head.start().addErrback(failed.append)
        assert rig.until(lambda: bool(failed), 30.0) and not rig.head.front.listening
    finally:
        rig.close()


def test_the_second_address_is_waited_for_too() -> None:
    rig = Turned()
    try:
        before = Place(rig)
        host, port = before.address.split(":")
        rig.head.management_address = (host, int(port))
        failed: list[object] = []
        rig.head.start().addErrback(failed.append)
        rig.pass_time(KILL_S)
        assert not failed and not rig.head.front.listening
        before.listener.close()
        assert rig.until(lambda: rig.head.front.listening, 0.1)
    finally:
        rig.close()


def test_a_signal_while_the_address_is_awaited() -> None:
    rig = Turned()
    try:
        before = Place(rig)
        host, port = before.address.split(":")
        rig.head._listen = (host, int(port))
        rig.head.start()
        rig.pass_time(1.0)
        rig.head.stop()
        rig.pass_time(0.2)
        before.listener.close()
        rig.pass_time(0.1)
        assert rig.head._port is None, "it listens, though it is to end"
        ends(rig, 1.0)
    finally:
        rig.close()


def test_a_signal_while_a_pushed_list_is_awaited() -> None:
    rig = Turned(settings__discovery="push")
    try:
        rig.head.start()
        rig.turn(2)
        rig.head.stop()
        ends(rig)
    finally:
        rig.close()


def test_a_client_that_leaves_during_shutdown_does_not_hold_it_up() -> None:
    with turned() as rig:
        client: End = rig.client()
        client.send(rig.ask("a"))
        rig.bricks[0].request("a")
        rig.head.stop()
        rig.pass_time(0.2)
        client.rst()
        ends(rig, 1.5)
