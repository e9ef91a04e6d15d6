"""The other front, on real sockets: clients that leave while their commands wait, sessions given up."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from gaugesail.http.management import MAX_CONNECTIONS as MAX_CALLS
from gaugesail.iscsi.app import IscsiGateway
from gaugesail.iscsi.operator import read_operator
from gaugesail.logs import make_logger
from gaugesail.net import unread
from gaugesail.policy.events import AttemptResult
from gaugesail.rehearsal.iscsi_peers import IscsiClient, IscsiNode, operator_file

from ..support.live_head import Turning

BOUND_S = 0.3


class Rig(Turning):
    def __init__(self, **changes: str) -> None:
        super().__init__()
        self.node = IscsiNode(self.reactor, "n1", 0)
        config = operator_file(
            [self.node], {path.replace("__", "."): value for path, value in changes.items()}
        )
        self.head = IscsiGateway(self.reactor, read_operator(config, {}), make_logger(self.log), self.clock)
        self.head.start()
        self.turn(3)

    def client(self) -> IscsiClient:
        client = IscsiClient(self.reactor, "c", lambda: self.head.address)
        client.send(["login"])
        assert self.until(lambda: bool(client.inbox)) and client.inbox.popleft()[1] == "0x0000"
        return client

    def saw(self) -> list[str]:
        """The blocks that commands have come to the node for."""
        return [words[2] for words in self.node.inbox if words[0] in ("read", "write")]

    def fill(self) -> IscsiClient:
        client = self.client()
        for tag in range(4):
            client.send(["read", f"tag={tag + 1}", f"lba={tag}"])
        assert self.until(lambda: len(self.saw()) == 4)
        return client

    def free(self) -> None:
        for number in list(self.node.held):
            self.node.send(["data", number, "d"])


@contextmanager
def rigged(**changes: str) -> Iterator[Rig]:
    rig = Rig(**changes)
    try:
        yield rig
    finally:
        rig.close()


def link(client: IscsiClient) -> Any:
    assert client._connection is not None
    return client._connection.link


def fin(rig: Rig, client: IscsiClient) -> None:
    link(client).loseConnection()
    rig.turn(3)


def half(rig: Rig, client: IscsiClient) -> None:
    link(client).socket.shutdown(socket.SHUT_WR)


def rst(rig: Rig, client: IscsiClient) -> None:
    link(client).socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    link(client).abortConnection()
    rig.turn(3)


def paused(way: Callable[[Rig, IscsiClient], None]) -> Callable[[Rig, IscsiClient], None]:
    """It does not read what it is sent, so that the head has stopped reading it."""

    def leave(rig: Rig, client: IscsiClient) -> None:
        session = list(rig.head.front._open)[-1]
        session.pauseProducing()  # as its transport says when nobody reads the other end
        rig.turn(2)
        way(rig, client)

    leave.__name__ = f"paused_{way.__name__}"
    return leave


@pytest.mark.parametrize(
    "way", [fin, half, rst, paused(fin), paused(half), paused(rst)], ids=lambda way: way.__name__
)
def test_a_command_whose_client_has_left_while_it_waited_is_not_sent_on(
    way: Callable[[Rig, IscsiClient], None],
) -> None:
    with rigged() as rig:
        rig.fill()
        client = rig.client()
        client.send(["read", "tag=9", "lba=99"])
        rig.turn(4)
        way(rig, client)
        rig.pass_time(BOUND_S)
        rig.free()
        rig.pass_time(0.3)
        assert "lba=99" not in rig.saw() and len(rig.saw()) == 4


def push(peer: Any) -> None:
    """What it has written is in the head's kernel when this returns."""
    peer.link.setTcpNoDelay(True)  # else it waits for the answer to what was sent before
    peer.link.doWrite()


def aborts(rig: Rig, client: IscsiClient) -> None:
    client.send(["abort", "9"])
    push(client._connection)


def logs_out(rig: Rig, client: IscsiClient) -> None:
    client.send(["logout"])
    push(client._connection)


def busy_as(rig: Rig, neighbour: IscsiClient, meanwhile: Callable[[], None]) -> None:
    """The loop handles what this neighbour sent for 0.15 s; what comes meanwhile is in the kernel alone."""
    port = link(neighbour).getHost().port
    session = next(session for session in rig.head.front._open if session.link.getPeer().port == port)
    handle = session.dataReceived

    def slowly(data: bytes) -> None:
        session.dataReceived = handle
        meanwhile()
        rig.leap(0.15)
        handle(data)

    session.dataReceived = slowly
    neighbour.send(["nop", "x"])
    push(neighbour._connection)


def free_now(rig: Rig) -> None:
    rig.free()
    for connection in rig.node.open:
        push(connection)


CANCELS = pytest.mark.parametrize("way", [half, aborts, logs_out], ids=lambda way: way.__name__)


@CANCELS
def test_cancelled_as_the_loop_is_busy_with_another(way: Callable[[Rig, IscsiClient], None]) -> None:
    with rigged() as rig:
        rig.fill()
        client, neighbour = rig.client(), rig.client()
        client.send(["read", "tag=9", "lba=99"])
        rig.pass_time(0.05)
        free_now(rig)
        busy_as(rig, neighbour, lambda: way(rig, client))
        rig.pass_time(0.3)
        assert "lba=99" not in rig.saw() and len(rig.saw()) == 4


@CANCELS
def test_cancelled_as_the_loop_is_busy_between_the_last_look_and_the_first_byte(
    way: Callable[[Rig, IscsiClient], None],
) -> None:
    with rigged() as rig:
        rig.fill()
        rig.free()
        rig.pass_time(0.1)
        client, neighbour = rig.client(), rig.client()
        client.send(["read", "tag=9", "lba=99"])
        push(client._connection)
        for _ in range(2):
            rig.turn()
            rig.leap(0.001)
        came: list[bool] = []

        def leave() -> None:
            came.append(bool(unread(rig.node.open[0].link)))
            way(rig, client)

        busy_as(rig, neighbour, leave)
        rig.pass_time(0.3)
        assert came and came[0] == ("lba=99" in rig.saw())


@CANCELS
def test_cancelled_while_its_data_is_still_being_written(way: Callable[[Rig, IscsiClient], None]) -> None:
    """The node has asked for no more of it yet: it is told to drop the task."""
    with rigged() as rig:
        client = rig.client()
        client.send(["write", "tag=9", "lba=99", "blocks=200"])
        assert rig.until(lambda: "lba=99" in rig.saw())
        way(rig, client)
        rig.pass_time(0.05)
        assert any(words[0] == "abort" for words in rig.node.inbox)
        assert rig.head.engine.attempts_in_flight == 0


@CANCELS
def test_cancelled_by_one_that_does_not_read(way: Callable[[Rig, IscsiClient], None]) -> None:
    """It is not read meanwhile, so that what it says last is in the kernel for long."""
    with rigged() as rig:
        rig.fill()
        client = rig.client()
        client.send(["read", "tag=9", "lba=99"])
        rig.pass_time(0.05)
        paused(way)(rig, client)
        rig.pass_time(BOUND_S)
        rig.free()
        rig.pass_time(0.3)
        assert "lba=99" not in rig.saw() and len(rig.saw()) == 4


def test_a_command_that_waits_for_a_client_that_stays_is_sent_on() -> None:
    with rigged() as rig:
        rig.fill()
        client = rig.client()
        client.send(["read", "tag=9", "lba=99"])
        rig.pass_time(0.1)
        rig.free()
        assert rig.until(lambda: "lba=99" in rig.saw())


def test_a_session_that_is_given_up_ends_before_its_commands_may_go_again() -> None:
    with rigged() as rig:
        rig.fill()
        session = rig.head.transport._nodes[b"n1"].session
        assert session is not None
        peer = rig.node.open[0].link.socket
        session.drop(AttemptResult.RESET)
        peer.setblocking(False)
        try:
            left = peer.recv(1 << 20)
            while left:
                left = peer.recv(1 << 20)
            ended = True
        except BlockingIOError:
            ended = False
        except ConnectionError:
            ended = True
        assert ended, "its connection is still open when the call returns"


IN_USE = 11  # descriptors of a process that has just started (test_rare_descriptors)


def test_silent_and_idle_sessions_leave_what_nodes_and_operators_need() -> None:
    with rigged(limits__sockets="96") as rig:
        used = rig.client()  # logged in before the flood: it has its place
        front, raw, most = rig.head.front, list[socket.socket](), 0
        try:
            for _ in range(150):
                raw.append(socket.create_connection(rig.head.address))
                rig.turn()
                most = max(most, front.connections)
            rig.pass_time(1.0)
            assert IN_USE + most + MAX_CALLS + 4 + len(rig.node.open) < 96, f"{most} connections at once"
            used.send(["read", "tag=9", "lba=99"])
            assert rig.until(lambda: "lba=99" in rig.saw())
            for end in raw:  # who comes when the flood is over finds a place
                end.close()
            rig.pass_time(0.5)
            rig.client()
        finally:
            for end in raw:
                end.close()


def test_a_flood_of_silent_sessions_keeps_nobody_out_for_long() -> None:
    with rigged(limits__sockets="96") as rig:
        raw = [socket.create_connection(rig.head.address) for _ in range(90)]
        try:
            rig.pass_time(0.01)
            until, told = rig.now + 4.0, ""
            while told != "0x0000" and rig.now < until:  # told to come back later, it does
                client = IscsiClient(rig.reactor, "c", lambda: rig.head.address)
                client.send(["login"])
                assert rig.until(lambda: bool(client.inbox), 3.0)  # noqa: B023
                told = client.inbox.popleft()[1]
                rig.pass_time(0.25)
            assert told == "0x0000"
        finally:
            for end in raw:
                end.close()
