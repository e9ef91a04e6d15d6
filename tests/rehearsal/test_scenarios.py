"""Every scenario of the folder, in memory; and what must hold after each of them."""

from __future__ import annotations

from unittest.mock import Mock

import pytest

from gaugesail.http.client_sweep import sweep
from gaugesail.http.request_reader import RequestReader
from gaugesail.iscsi.target import TargetFront
from gaugesail.listening import ListeningPort
from gaugesail.rehearsal.peers import RUDE, SPOILT, ScenarioError
from gaugesail.rehearsal.scenario import ScenarioFailed, split
from gaugesail.rehearsal.worlds import MemoryWorld

from ..support.scenario_runner import FOLDER, play, scenarios

ALL = scenarios(*sorted(path.name for path in FOLDER.iterdir()))


@pytest.mark.parametrize("name", ALL)
def test_scenario(name: str) -> None:
    head = play(ALL[name]).head
    counts = head.engine.counts
    assert not [key for key in counts if key.endswith("_raised")], counts
    ends = sum(counts[key] for key in ("served", "refused", "failed", "gone"))
    assert counts["taken"] == ends + head.engine.open_requests, counts


@pytest.mark.parametrize(
    "ending", ["send c1 get /_health\nexpect c1 404", "expect c1 nothing\nexpect c1 200"]
)
def test_a_step_that_does_not_come_true_fails_with_its_line(ending: str) -> None:
    text = f"brick b1 shard=0\nclient c1\n{ending}"
    with pytest.raises(ScenarioFailed, match="line 4"):
        play(text)


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("jump c1", "line 1: unknown word"),
        ("client c1\nwait", "line 2: wait needs more words"),
        ("client c1\nwait 1\nclient c2\nexpect c1 closed", "line 3: client must come before"),
        ("client c1\nwait 1", "expects nothing cannot fail"),
    ],
)
def test_a_scenario_that_cannot_be_read_names_its_line(text: str, why: str) -> None:
    with pytest.raises(ScenarioError, match=why):
        split(text)


def test_a_wait_in_memory_lasts_as_long_as_it_says() -> None:
    world = MemoryWorld()
    before = world.reactor.seconds()
    world.reactor.callLater(0.2, lambda: None)
    world.pass_time(1.0)
    assert abs(world.reactor.seconds() - before - 1.0) < 1e-6


ASKED = "brick b1\nclient c1\nsend c1 request a\nexpect b1 request a\n"


@pytest.mark.parametrize("kind", sorted(SPOILT.keys() - {"copy", "hint", "load", "short"}))
def test_a_spoilt_answer_is_a_failed_attempt_and_its_connection_is_not_used_again(kind: str) -> None:
    again = "expect b1 request a within 0.1\nsend b1 answer a 200 mine\nexpect c1 200 mine\n"
    head = play(f"{ASKED}send b1 spoil a {kind}\n{again}wait 0.1\nsend b1 more a x\nexpect c1 nothing").head
    assert head.engine.counts["attempt_error"] == 1 and head.buffers.out == 0


@pytest.mark.parametrize("kind", sorted(RUDE))
def test_a_rude_client_gets_an_error_and_a_close_and_nothing_of_it_is_passed_on(kind: str) -> None:
    text = (
        f"brick b1\nclient c1\nsend c1 rude {kind}\nexpect c1 [45]* within 0.1\nexpect c1 closed within 0.1\n"
    )
    head = play(f"{text}expect b1 nothing").head
    assert head.engine.counts["taken"] == 0 and head.buffers.out == 0


@pytest.mark.parametrize("kind", ["copy", "hint", "load"])
def test_a_good_answer_is_served_whatever_else_comes_with_it(kind: str) -> None:
    more = "send c1 request b\nexpect b1 request b\nsend b1 answer b 200 mine\nexpect c1 200 mine"
    play(f"{ASKED}send b1 spoil a {kind}\nexpect c1 200 whole\nwait 0.1\n{more}")


def raise_told(*_: object) -> None:
    raise RuntimeError("told to")


def test_a_fault_in_the_http_front_is_answered_and_costs_no_buffer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RequestReader, "read", raise_told)
    head = play("client c1\nsend c1 request a body=x\nexpect c1 500\nexpect c1 closed").head
    assert head.engine.counts["front_raised"] == 1 and head.buffers.out == 0


def test_a_fault_in_the_target_front_ends_the_one_command(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(TargetFront, "next_request_id", raise_told)
    text = "daemon iscsi\nnode n1\ninitiator i1\nsend i1 login\nexpect i1 login 0x0000\n"
    head = play(text + "send i1 read tag=1\nexpect i1 check 1 04/44/00\nsend i1 nop x\nexpect i1 nop").head
    assert head.engine.counts["front_raised"] == 1 and head.buffers.out == 0


def test_without_buffers_a_request_is_refused_and_the_head_serves_on() -> None:
    text = "daemon http limits.memory_mb=1\nbrick b1\nclient c1\nclient c2\n"
    text += "".join(f"client x{n}\n" for n in range(5))
    text += "".join(f"send x{n} request r{n} class=write large=65536\n" for n in range(5))
    text += "wait 0.1\n" + "".join(f"send x{n} part 65535\nwait 0.01\n" for n in range(5))
    text += "expect x4 503 *memory*\nexpect x4 closed\n" + "close x0\nwait 0.1\n"
    text += "send c1 request a\nexpect b1 request a\nsend b1 answer a 200 hello\nexpect c1 200 hello"
    assert play(text).head.engine.counts["no_buffers"] == 1


def test_replaced_bricks_leave_nothing_behind() -> None:
    head = play(f"{ASKED}send b1 answer a 200 x\nexpect c1 200").head
    before = len(head.transport._addresses), len(head.transport._nodes)
    for n in range(1000):
        name = f"s-{n}"
        line = {"id": name, "host_port": "127.0.0.1:1", "cell": 0, "phase": "Ready"}
        head.discovery.receive({"revision": 9, "complete": False, "members": [line]})
        head.transport._nodes[name.encode()] = type(head.transport._nodes[b"b1"])(name.encode())
        head.discovery.receive({"revision": 9, "complete": False, "members": [line | {"phase": "Gone"}]})
    head.transport.sweep()
    assert (len(head.transport._addresses), len(head.transport._nodes)) == before


def test_a_huge_body_is_answered_before_it_is_read_and_its_sender_may_read_the_answer() -> None:
    front = play("client c1\nsend c1 get /_health\nexpect c1 200").head.front
    connection, link = front.buildProtocol(None), Mock()
    connection.transport = link
    connection.connectionMade()
    connection.dataReceived(b"PUT /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")
    assert b" 413 " in link.write.call_args[0][0]
    link.loseWriteConnection.assert_called_once()
    link.loseConnection.assert_not_called()  # it would reset the connection under the answer
    for _ in range(100):
        connection.dataReceived(bytes(16 * 1024))
    link.pauseProducing.assert_called_once()
    assert not connection.input.parser.buffered
    now = front.clock.now_us()
    sweep(connection, now + 900_000)
    link.abortConnection.assert_not_called()
    sweep(connection, now + 1_100_000)
    link.abortConnection.assert_called_once()


def test_what_waits_to_be_accepted_is_taken_before_the_port_closes() -> None:
    head, port = play("client c1\nsend c1 get /_health\nexpect c1 200").head, Mock()
    head._port, head._stopping_since_us, head.front.held = port, head.clock.now_us(), True
    head._listener = ListeningPort(port, head.clock, lambda: 1, lambda: True)
    head._stop_accepting()
    assert not port.mock_calls, "a place must come free first"
    head.front.held = False
    head._stop_accepting()
    assert [call[0] for call in port.mock_calls if call[0] != "getHost"] == ["doRead", "stopListening"]
