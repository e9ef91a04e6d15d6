"""Every scenario of the folder, in memory, with the engine's invariants after each; and injected faults."""

from __future__ import annotations

from unittest.mock import Mock

import pytest

from gaugesail.http.client_sweep import sweep
from gaugesail.http.request_reader import RequestReader
from gaugesail.iscsi.target_server import TargetFront
from gaugesail.listening import ListeningPort
from gaugesail.rehearsal.peers import INVALID_REQUESTS, IRREGULAR_ANSWERS, ScenarioError
from gaugesail.rehearsal.scenario import ScenarioFailed, split
from gaugesail.rehearsal.worlds import MemoryWorld

from ..support.scenario_runner import FOLDER, play, scenarios

ALL = scenarios(*sorted(path.name for path in FOLDER.iterdir()))


@pytest.mark.parametrize("name", ALL)
def test_scenario(name: str) -> None:
    gateway = play(ALL[name]).gateway
    counts = gateway.engine.counts
    assert not [key for key in counts if key.endswith("_raised")], counts
    ended = sum(counts[key] for key in ("served", "refused", "failed", "gone"))
    assert counts["taken"] == ended + gateway.engine.open_requests, counts


@pytest.mark.parametrize("steps", ["send c1 get /_health\nexpect c1 404", "expect c1 nothing\nexpect c1 200"])
def test_a_failed_step_names_its_line(steps: str) -> None:
    text = f"brick b1 shard=0\nclient c1\n{steps}"
    with pytest.raises(ScenarioFailed, match="line 4"):
        play(text)


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("jump c1", "line 1: unknown word"),
        ("client c1\nwait", "line 2: wait needs more words"),
        ("client c1\nwait 1\nclient c2\nexpect c1 closed", "line 3: client must come before"),
        ("client c1\nwait 1", "expects nothing cannot fail"),
    ],
)
def test_an_invalid_scenario_names_its_line(text: str, reason: str) -> None:
    with pytest.raises(ScenarioError, match=reason):
        split(text)


def test_a_wait_in_memory_lasts_its_full_time() -> None:
    world = MemoryWorld()
    before = world.reactor.seconds()
    world.reactor.callLater(0.2, lambda: None)
    world.pass_time(1.0)
    assert abs(world.reactor.seconds() - before - 1.0) < 1e-6


REQUEST_SENT = "brick b1\nclient c1\nsend c1 request a\nexpect b1 request a\n"


@pytest.mark.parametrize("kind", sorted(IRREGULAR_ANSWERS.keys() - {"copy", "hint", "load", "short"}))
def test_an_invalid_answer_fails_the_attempt_and_its_connection_is_not_reused(kind: str) -> None:
    retry = "expect b1 request a within 0.1\nsend b1 answer a 200 mine\nexpect c1 200 mine\n"
    gateway = play(
        f"{REQUEST_SENT}send b1 spoil a {kind}\n{retry}wait 0.1\nsend b1 more a x\nexpect c1 nothing"
    ).gateway
    assert gateway.engine.counts["attempt_error"] == 1 and gateway.buffers.out == 0


@pytest.mark.parametrize("kind", sorted(INVALID_REQUESTS))
def test_an_invalid_request_gets_an_error_and_a_close_and_is_not_forwarded(kind: str) -> None:
    text = (
        f"brick b1\nclient c1\nsend c1 rude {kind}\nexpect c1 [45]* within 0.1\nexpect c1 closed within 0.1\n"
    )
    gateway = play(f"{text}expect b1 nothing").gateway
    assert gateway.engine.counts["taken"] == 0 and gateway.buffers.out == 0


@pytest.mark.parametrize("kind", ["copy", "hint", "load"])
def test_a_valid_answer_is_served_with_any_additions(kind: str) -> None:
    next_request = "send c1 request b\nexpect b1 request b\nsend b1 answer b 200 mine\nexpect c1 200 mine"
    play(f"{REQUEST_SENT}send b1 spoil a {kind}\nexpect c1 200 whole\nwait 0.1\n{next_request}")


def raise_injected(*_: object) -> None:
    raise RuntimeError("injected fault")


def test_a_fault_in_the_http_front_is_answered_and_keeps_no_buffer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RequestReader, "read", raise_injected)
    gateway = play("client c1\nsend c1 request a body=x\nexpect c1 500\nexpect c1 closed").gateway
    assert gateway.engine.counts["front_raised"] == 1 and gateway.buffers.out == 0


def test_a_fault_in_the_target_front_ends_only_its_command(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(TargetFront, "next_request_id", raise_injected)
    text = "daemon iscsi\nnode n1\ninitiator i1\nsend i1 login\nexpect i1 login 0x0000\n"
    gateway = play(
        text + "send i1 read tag=1\nexpect i1 check 1 04/44/00\nsend i1 nop x\nexpect i1 nop"
    ).gateway
    assert gateway.engine.counts["front_raised"] == 1 and gateway.buffers.out == 0


def test_without_buffers_a_request_is_rejected_and_the_gateway_continues_to_serve() -> None:
    text = "daemon http limits.memory_mb=1\nbrick b1\nclient c1\nclient c2\n"
    text += "".join(f"client x{n}\n" for n in range(5))
    text += "".join(f"send x{n} request r{n} class=write large=65536\n" for n in range(5))
    text += "wait 0.1\n" + "".join(f"send x{n} part 65535\nwait 0.01\n" for n in range(5))
    text += "expect x4 503 *memory*\nexpect x4 closed\n" + "close x0\nwait 0.1\n"
    text += "send c1 request a\nexpect b1 request a\nsend b1 answer a 200 hello\nexpect c1 200 hello"
    assert play(text).gateway.engine.counts["no_buffers"] == 1


def test_replaced_nodes_leave_no_state() -> None:
    gateway = play(f"{REQUEST_SENT}send b1 answer a 200 x\nexpect c1 200").gateway
    before = len(gateway.transport._addresses), len(gateway.transport._nodes)
    for n in range(1000):
        name = f"s-{n}"
        endpoint = {"id": name, "host_port": "127.0.0.1:1", "cell": 0, "phase": "Ready"}
        gateway.discovery.receive({"revision": 9, "complete": False, "members": [endpoint]})
        gateway.transport._nodes[name.encode()] = type(gateway.transport._nodes[b"b1"])(name.encode())
        gateway.discovery.receive(
            {"revision": 9, "complete": False, "members": [endpoint | {"phase": "Gone"}]}
        )
    gateway.transport.sweep()
    assert (len(gateway.transport._addresses), len(gateway.transport._nodes)) == before


def test_a_too_large_body_is_answered_before_it_is_read_and_the_client_can_read_the_answer() -> None:
    front = play("client c1\nsend c1 get /_health\nexpect c1 200").gateway.front
    connection, link = front.buildProtocol(None), Mock()
    connection.transport = link
    connection.connectionMade()
    connection.dataReceived(b"PUT /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")
    assert b" 413 " in link.write.call_args[0][0]
    link.loseWriteConnection.assert_called_once()
    link.loseConnection.assert_not_called()  # it would reset the connection before the answer is read
    for _ in range(100):
        connection.dataReceived(bytes(16 * 1024))
    link.pauseProducing.assert_called_once()
    assert not connection.input.parser.buffered
    now = front.clock.now_us()
    sweep(connection, now + 900_000)
    link.abortConnection.assert_not_called()
    sweep(connection, now + 1_100_000)
    link.abortConnection.assert_called_once()


def test_waiting_connections_are_accepted_before_the_port_closes() -> None:
    gateway, port = play("client c1\nsend c1 get /_health\nexpect c1 200").gateway, Mock()
    gateway._port, gateway.front.held = port, True
    gateway._listener = ListeningPort(port, gateway.clock, lambda: 1, lambda: True)
    assert not gateway.close_port(at_once=False)
    assert not port.mock_calls, "a client place must be free first"
    gateway.front.held = False
    assert gateway.close_port(at_once=False)
    assert [call[0] for call in port.mock_calls if call[0] != "getHost"] == ["doRead", "stopListening"]


def test_a_process_that_ends_before_it_serves_leaves_waiting_connections_to_its_predecessor() -> None:
    gateway, port = play("client c1\nsend c1 get /_health\nexpect c1 200").gateway, Mock()
    gateway._port, gateway.front.listening, gateway._handover.predecessor.present = port, False, True
    gateway._listener = ListeningPort(port, gateway.clock, lambda: 1, lambda: True)
    assert gateway.close_port(at_once=False)
    assert [call[0] for call in port.mock_calls if call[0] != "getHost"] == ["stopListening"]
