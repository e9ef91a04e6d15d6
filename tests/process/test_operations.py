"""Operators' calls outlive the process that received them; reload and handover between processes."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, cast
from unittest.mock import Mock

import pytest
from twisted.internet.protocol import Factory, Protocol

from gaugesail import config
from gaugesail.core.listed_nodes import MAX_LISTED_NODES
from gaugesail.core.settings_transition import transition_settings
from gaugesail.handover import Handover
from gaugesail.handover_connection import HandoverConnection
from gaugesail.handover_messages import HandoverMessage, Hello
from gaugesail.operations import Operations, StateNotKnown
from gaugesail.policy.events import Endpoint, EndpointList, EndpointListKind, EndpointState
from gaugesail.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings
from gaugesail.rehearsal import defaults
from gaugesail.rehearsal.memory import MemoryReactor
from gaugesail.rehearsal.scenario import split
from gaugesail.rehearsal.worlds import MemoryWorld, rehearse
from gaugesail.state import State, StateError, StateFile

from ..support.scenario_runner import play

MAINTENANCE = "brick b1\ncaller o1\nclient c1\nsend o1 call POST /bricks/b1/maint\nexpect o1 200\n"


def test_a_later_process_restores_maintenance_and_drain(tmp_path: Path) -> None:
    folder, listen = {"TMPDIR": str(tmp_path)}, "daemon http listen=127.0.0.1:9000\n"
    play(
        listen + MAINTENANCE + "expect o1 closed\nsend o1 call POST /healthcheck/fail\nexpect o1 200",
        **folder,
    )
    assert len(list(tmp_path.glob("*json*"))) == 1, "one file and no other"
    rejected = "send c1 get /_health\nexpect c1 503\nexpect c1 closed\n"
    rejected += "send c1 request a\nexpect c1 503 refused* within 0.05\n"
    back = "expect o1 closed\nsend o1 call POST /bricks/b1/ready\nexpect o1 200\nwait 0.6\n"
    served = "send c1 request b\nexpect b1 request b\nsend b1 answer b 200 hello\nexpect c1 200 hello"
    play(listen + MAINTENANCE + rejected + back + "expect c1 closed\n" + served, **folder)
    other = "daemon http listen=127.0.0.1:9001\nbrick b1\nclient c1\nsend c1 get /_health\nexpect c1 200"
    play(other, **folder)


def test_a_call_that_cannot_be_saved_is_rejected_and_not_carried_out() -> None:
    rejected = MAINTENANCE.replace("200", "503 *down*")
    serves = "send c1 request a\nexpect b1 request a\nsend b1 answer a 200 hello\nexpect c1 200 hello"
    assert not play(rejected + serves, TMPDIR="/nowhere").gateway.engine.in_maintenance


def test_an_invalid_state_file_does_not_prevent_a_start(tmp_path: Path) -> None:
    file = StateFile(str(tmp_path), ("127.0.0.1", 9000))
    assert file.read() == State()
    assert file.path is not None
    for bad in ("", "[]", "{", '{"away": 3, "drained": true}', '{"away": []}'):
        file.path.write_text(bad)
        with pytest.raises(StateError):
            file.read()
    listen = "daemon http listen=127.0.0.1:9000\nclient c1\nsend c1 get /_health\nexpect c1 200"
    play(listen, TMPDIR=str(tmp_path))
    file.write(State(frozenset({b"s-1"}), True))
    assert file.read() == State(frozenset({b"s-1"}), True)
    assert [path.name for path in tmp_path.glob("*json*")] == [file.path.name]


def test_listed_nodes_are_remembered_up_to_a_bound() -> None:
    engine = play("brick b1\nclient c1\nsend c1 get /_health\nexpect c1 200").gateway.engine
    for n in range(MAX_LISTED_NODES + 10):
        engine.update_endpoints(
            EndpointList(EndpointListKind.CHANGES, (Endpoint(b"s-%d" % n, 0, EndpointState.GONE),))
        )
    assert (
        engine.has_listed(b"s-11")
        and not engine.has_listed(b"s-1")
        and len(engine._listed) == MAX_LISTED_NODES
    )


REPLACED = "brick b1\nclient c1\nclient c2\nsend c1 get /_health\nexpect c1 200\nsend daemon replace\n"


def test_when_the_successor_dies_the_predecessor_accepts_again() -> None:
    old, new = play(REPLACED + "wait 0.1\nexpect c1 nothing").gateways
    reactor = old._reactor
    assert not old.front.accepting and new.front.accepting and old.front.migration.on
    assert old.buffers.limit == new.buffers.limit == old.memory.budget(2).buffers
    new._reactor.end()
    reactor.run_until(lambda: False, 4.0)
    assert old.front.accepting and not old.front.leaving and old.front.connections == 1
    assert old.buffers.limit == old.memory.budget(1).buffers and len(reactor.ports[old._port.getHost()]) == 1


def test_a_link_that_breaks_while_both_processes_run_is_opened_again(tmp_path: Path) -> None:
    """Guards against two processes that each take the other for dead."""
    old, new = play(REPLACED + "wait 0.1\nexpect c1 nothing", TMPDIR=str(tmp_path)).gateways
    old._handover.successor.link.abortConnection()
    new._reactor.run_until(lambda: False, 0.2)
    assert old._handover.successor is not None
    assert new.front.accepting and not old.front.accepting
    assert new.engine.has_sibling and old.engine.has_sibling
    link = tmp_path / new._handover._link_name
    assert link.readlink().name == new._handover._socket_name


def test_a_successor_that_dies_before_it_serves_changes_nothing(tmp_path: Path) -> None:
    world = play("client c1\nsend c1 get /_health\nexpect c1 200\nsend list mute", TMPDIR=str(tmp_path))
    old = world.gateway
    link = HandoverConnection(SilentSuccessor(old._log), True)
    factory = type("One", (Factory,), {"noisy": False, "buildProtocol": lambda self, addr: link})()
    world.reactor.connectUNIX(str(tmp_path / "gaugesail-127.0.0.1-0.sock"), factory)
    assert world.until(lambda: old.buffers.limit < old.memory.budget(1).buffers, 1.0)
    link.link.abortConnection()
    world.until(lambda: False, 0.1)
    assert old.front.accepting and not old.front.leaving and old.buffers.limit == old.memory.budget(1).buffers


class SilentSuccessor:
    """The end of a successor that receives everything and never serves."""

    def __init__(self, log: Any) -> None:
        self.log = log

    def connected(self, connection: HandoverConnection) -> None:
        connection.send(Hello())

    def received(self, connection: HandoverConnection, message: HandoverMessage | None) -> None:
        pass

    def disconnected(self, connection: HandoverConnection) -> None:
        pass


def test_a_dead_a_silent_or_an_invalid_predecessor_does_not_prevent_a_start(tmp_path: Path) -> None:
    for peer in (None, Factory.forProtocol(Protocol), Factory.forProtocol(InvalidMessages)):
        world = MemoryWorld(TMPDIR=str(tmp_path))
        (tmp_path / "gaugesail-127.0.0.1-0.sock").unlink(missing_ok=True)
        (tmp_path / "gaugesail-127.0.0.1-0.sock").symlink_to("gone.sock")
        if peer is not None:
            world.reactor.listenUNIX(str(tmp_path / "gone.sock"), peer)
        rehearse(split("client c1\nsend c1 get /_health\nexpect c1 200")[""], world)
        assert (tmp_path / "gaugesail-127.0.0.1-0.sock").readlink().name != "gone.sock"


class InvalidMessages(Protocol):
    def connectionMade(self) -> None:
        cast(Any, self.transport).write(b'{}\n[]\n{"known": {}, "version": 99}\n\xff\n')


def test_a_folder_path_too_long_for_a_socket_address_is_shortened(tmp_path: Path) -> None:
    folder = tmp_path / ("f" * 120)
    folder.mkdir()
    handover = Handover(MemoryReactor(), Mock(), Mock(), str(folder), ("127.0.0.1", 9000), Mock())
    path = Path(handover._path("x.sock"))
    assert len(str(path)) < 100 and path.parent.samefile(folder)


def test_an_ending_process_removes_its_own_link_but_not_its_successors(tmp_path: Path) -> None:
    play(REPLACED + "close daemon\nexpect c1 closed\nexpect daemon exit 0\nwait 1", TMPDIR=str(tmp_path))
    assert (tmp_path / "gaugesail-127.0.0.1-9000.sock").is_symlink()
    ends = "close daemon\nexpect daemon exit 0\n"
    both = REPLACED + ends.replace("\n", "\nexpect c1 closed\n", 1) + ends
    (tmp_path / "gaugesail-127.0.0.1-9000.sock").unlink()
    play(both, TMPDIR=str(tmp_path))
    assert not (tmp_path / "gaugesail-127.0.0.1-9000.sock").is_symlink()


def config_of(gateway: Any) -> dict[str, Any]:
    """The configuration that ``play`` has given to a gateway."""
    return {
        "name": "rehearsed", "listen": "127.0.0.1:0", "discovery": gateway.discovery.host, "seed": "7",
        "management": "127.0.0.1:0", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": gateway.discovery.latest, "settings": defaults.settings(),
    }  # fmt: skip


def test_an_invalid_configuration_is_not_applied_on_reload(tmp_path: Path) -> None:
    gateway = play("brick b1\nclient c1\nsend c1 get /_health\nexpect c1 200").gateway
    file, good, wanted = tmp_path / "config.json", json.dumps(config_of(gateway)), gateway._latest_settings
    noise = good.replace('"read"', '"reads"')
    reads = noise.replace('"worth"', '"gain"')
    renamed = noise.replace('"give_up_us"', '"give_up"', 1)
    for text in ("", "{", "[]", "null", noise[: len(noise) // 2], renamed):
        file.write_text(text)
        gateway.reload_from(lambda: config.load({"BALANCER_CONFIG": str(file)}))
        assert gateway.engine.settings is wanted and "level=error event=bad_configuration" in last_line(
            gateway
        )
    file.write_text(reads)
    gateway.reload_from(lambda: config.load({"BALANCER_CONFIG": str(file)}))
    assert gateway.engine.settings.classes[0].name == "reads" and "event=reloaded" in last_line(gateway)


@pytest.mark.parametrize("row", [{"cell": "x"}, {"phase": 5}, None], ids=["text", "number", "no object"])
def test_a_later_row_of_a_list_with_another_type_is_not_applied_on_reload(
    tmp_path: Path, row: dict[str, Any] | None
) -> None:
    """Guards against a check of the first row alone, as only the shape of the file in force is kept."""
    gateway = play("brick b1\nbrick b2\nclient c1\nsend c1 get /_health\nexpect c1 200").gateway
    file, changed = tmp_path / "config.json", config_of(gateway)
    for expected in ("reloaded", "bad_configuration"):
        file.write_text(json.dumps(changed))
        gateway.reload_from(lambda: config.load({"BALANCER_CONFIG": str(file)}))
        assert f"event={expected}" in last_line(gateway)
        members = changed["known"]["members"]
        members[-1] = members[-1] | row if row is not None else "gone"


def last_line(gateway: Any) -> str:
    text: str = gateway._log._log._logger._file.getvalue()
    return text.splitlines()[-1]


def test_a_reloaded_file_may_lack_only_optional_keys_and_keeps_types() -> None:
    old = {"a": {"keep_order": True, "b": 1}, "rows": [{"x": 1, "y": 2}, {"x": 1}], "n": None, "s": "t"}
    config.check_shape(old, {"a": {"b": 2.5}, "rows": [{"x": 2}], "n": 3, "s": "", "more": 1})
    config.check_shape(old, {"a": {"b": 2}, "rows": [], "n": None, "s": "u"})
    bad: list[dict[str, Any]] = [
        {"a": {}}, {"a": []}, {"rows": [{"y": 1}]}, {"rows": {}}, {"s": 5}, {"a": {"b": True}},
    ]  # fmt: skip
    for change in bad:
        with pytest.raises(config.ConfigError):
            config.check_shape(old, old | change)


def test_the_shape_of_a_configuration_holds_no_rows_of_its_lists() -> None:
    """Guards against a long endpoint list that stays in memory for a later reload's check."""
    rows = [{"x": number, "y": {"z": number}} for number in range(100)]
    shape = config.shape_of({"known": {"members": [*rows, {"x": 1}]}, "listed": rows, "zones": ["a", "b"]})
    assert shape == {
        "known": {"members": [{"x": 0}]}, "listed": [{"x": 0, "y": {"z": 0}}], "zones": ["a", "b"],
    }  # fmt: skip
    assert config.shape_of(shape) == shape


def test_during_a_transition_the_stricter_settings_apply() -> None:
    read, write = (
        RequestClass("read", 5, 50),
        RequestClass("write", 5, 50, idempotency=Idempotency.NOT_IDEMPOTENT),
    )
    old = Settings((read, write), (Plan("a"), Plan("b")), max_attempts=4)
    changed = RequestClass(
        "write", 9, 20, idempotency=Idempotency.KEYED, deduplication_scope=DeduplicationScope.SHARD
    )
    new = Settings((changed, RequestClass("seal", 1, 2)), (Plan("b", 7.0),), max_attempts=2)
    both = transition_settings(old, new)
    assert [spec.name for spec in both.classes] == ["write", "seal", "read"]
    assert both.classes[0] == RequestClass(
        "write", 9, 50, idempotency=Idempotency.NOT_IDEMPOTENT, deduplication_scope=DeduplicationScope.SHARD
    )
    assert both.plans == (Plan("b", 7.0), Plan("a")) and both.max_attempts == 2


def test_simultaneous_calls_to_both_processes_apply_to_both_and_are_saved(tmp_path: Path) -> None:
    text = "brick b2 shard=1\n" + REPLACED + "wait 0.1\nexpect c1 nothing"
    old, new = play(text, TMPDIR=str(tmp_path)).gateways
    assert old.operations.maintain(b"b1", True) and new.operations.maintain(b"b2", True)
    old._reactor.run_until(lambda: False, 0.1)
    assert old.engine.in_maintenance == new.engine.in_maintenance == {b"b1", b"b2"}
    assert StateFile(str(tmp_path), ("127.0.0.1", 9000)).read().in_maintenance == {b"b1", b"b2"}
    new.operations.maintain(b"b1", False)
    old._reactor.run_until(lambda: False, 0.1)
    assert old.engine.in_maintenance == new.engine.in_maintenance == {b"b2"}


def test_calls_are_rejected_before_the_state_file_was_read(tmp_path: Path) -> None:
    engine, front = Mock(in_maintenance=set()), Mock()
    operations = Operations(engine, front, StateFile(str(tmp_path), ("", 1)), Mock(), Mock())
    for call in (lambda: operations.drain(True), lambda: operations.maintain(b"b1", True)):
        with pytest.raises(StateNotKnown):
            call()
    assert not list(tmp_path.iterdir()) and not engine.mock_calls


def test_the_successor_gets_the_client_places_that_the_predecessor_leaves_free() -> None:
    flood = "".join(f"client s{n}\n" for n in range(12))
    requests = "".join(f"send s{n} {'connect' if n < 9 else 'get /_health'}\n" for n in range(12))
    text = f"daemon http limits.sockets=116\n{flood}client c1\n{requests}wait 0.3\nexpect s11 200\n"
    old, new = play(text + "send daemon replace\nwait 0.3\nexpect c1 nothing").gateways
    part = old._config.limits.of(2).client_connections
    assert part == 11 and old.front.connections == 3, (
        "silent clients are closed at once, as there are more than its share"
    )
    assert new.front._max_connections == 2 * part - 3
    old._reactor.end()
    new._reactor.run_until(lambda: False, 0.1)
    assert new.front._max_connections == old._config.limits.client_connections
