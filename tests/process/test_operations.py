"""What operators ask for outlives the process that was asked."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, cast
from unittest.mock import Mock

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol

from gaugesail import config
from gaugesail.core.listed_nodes import MAX_LISTED_NODES
from gaugesail.core.settings_transition import transition_settings
from gaugesail.handover import Handover, HandoverConnection
from gaugesail.operations import Operations, StateNotKnown
from gaugesail.policy.events import Endpoint, EndpointList, EndpointListKind, EndpointState
from gaugesail.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings
from gaugesail.rehearsal.memory import MemoryReactor
from gaugesail.rehearsal.scenario import split
from gaugesail.rehearsal.worlds import MemoryWorld, rehearse
from gaugesail.state import State, StateError, StateFile

from ..support.scenario_runner import play

OUT = "brick b1\ncaller o1\nclient c1\nsend o1 call POST /bricks/b1/maint\nexpect o1 200\n"


def test_a_later_process_knows_what_is_in_maintenance_and_whether_it_is_drained(tmp_path: Path) -> None:
    folder, listen = {"TMPDIR": str(tmp_path)}, "daemon http listen=127.0.0.1:9000\n"
    play(listen + OUT + "expect o1 closed\nsend o1 call POST /healthcheck/fail\nexpect o1 200", **folder)
    assert len(list(tmp_path.glob("*json*"))) == 1, "one file, and nothing beside it"
    asks = "send c1 get /_health\nexpect c1 503\nexpect c1 closed\n"
    asks += "send c1 request a\nexpect c1 503 refused* within 0.05\n"
    back = "expect o1 closed\nsend o1 call POST /bricks/b1/ready\nexpect o1 200\nwait 0.6\n"
    served = "send c1 request b\nexpect b1 request b\nsend b1 answer b 200 hello\nexpect c1 200 hello"
    play(listen + OUT + asks + back + "expect c1 closed\n" + served, **folder)
    other = "daemon http listen=127.0.0.1:9001\nbrick b1\nclient c1\nsend c1 get /_health\nexpect c1 200"
    play(other, **folder)


def test_what_cannot_be_written_down_is_told_no_and_not_done() -> None:
    asks = OUT.replace("200", "503 *down*")
    serves = "send c1 request a\nexpect b1 request a\nsend b1 answer a 200 hello\nexpect c1 200 hello"
    assert not play(asks + serves, TMPDIR="/nowhere").head.engine.in_maintenance


def test_a_file_that_cannot_be_read_is_said_and_keeps_no_head_from_starting(tmp_path: Path) -> None:
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


def test_ids_ever_listed_are_known_and_bounded() -> None:
    engine = play("brick b1\nclient c1\nsend c1 get /_health\nexpect c1 200").head.engine
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


def test_when_the_next_process_dies_the_one_before_accepts_again() -> None:
    old, new = play(REPLACED + "wait 0.1\nexpect c1 nothing").heads
    reactor = old._reactor
    assert not old.front.accepting and new.front.accepting and old.front.migration.on
    assert old.buffers.limit == new.buffers.limit == old._max_buffers // 2
    new._port.stopListening()
    new._handover._connections[0].link.abortConnection()
    reactor.run_until(lambda: False, 4.0)
    assert old.front.accepting and not old.front.leaving and old.front.connections == 1
    assert old.buffers.limit == old._max_buffers and len(reactor.ports[old._port.getHost()]) == 1


def test_a_next_process_that_dies_before_it_serves_changes_nothing(tmp_path: Path) -> None:
    world = play("client c1\nsend c1 get /_health\nexpect c1 200\nsend list mute", TMPDIR=str(tmp_path))
    old = world.head
    link = HandoverConnection(Handover(world.reactor, old.clock, old._log, None, ("", 0), old), True)
    link._handover._requested = Deferred()
    factory = type("One", (Factory,), {"noisy": False, "buildProtocol": lambda self, addr: link})()
    world.reactor.connectUNIX(str(tmp_path / "gaugesail-127.0.0.1-0.sock"), factory)
    assert world.until(lambda: old.buffers.limit < old._max_buffers, 1.0)
    link.link.abortConnection()
    world.until(lambda: False, 0.1)
    assert old.front.accepting and not old.front.leaving and old.buffers.limit == old._max_buffers


def test_a_dead_peer_a_silent_one_and_noise_keep_no_process_from_starting(tmp_path: Path) -> None:
    for peer in (None, Factory.forProtocol(Protocol), Factory.forProtocol(Noise)):
        world = MemoryWorld(TMPDIR=str(tmp_path))
        (tmp_path / "gaugesail-127.0.0.1-0.sock").unlink(missing_ok=True)
        (tmp_path / "gaugesail-127.0.0.1-0.sock").symlink_to("gone.sock")
        if peer is not None:
            world.reactor.listenUNIX(str(tmp_path / "gone.sock"), peer)
        rehearse(split("client c1\nsend c1 get /_health\nexpect c1 200")[""], world)
        assert (tmp_path / "gaugesail-127.0.0.1-0.sock").readlink().name != "gone.sock"


class Noise(Protocol):
    def connectionMade(self) -> None:
        cast(Any, self.transport).write(b'{}\n[]\n{"known": {}, "version": 99}\n\xff\n')


def test_a_folder_whose_path_is_too_long_for_a_socket_is_named_another_way(tmp_path: Path) -> None:
    folder = tmp_path / ("f" * 120)
    folder.mkdir()
    handover = Handover(MemoryReactor(), Mock(), Mock(), str(folder), ("127.0.0.1", 9000), Mock())
    path = Path(handover._path("x.sock"))
    assert len(str(path)) < 100 and path.parent.samefile(folder)


def test_a_process_that_ends_takes_its_name_along_but_not_the_next_ones(tmp_path: Path) -> None:
    play(REPLACED + "close daemon\nexpect c1 closed\nexpect daemon exit 0\nwait 1", TMPDIR=str(tmp_path))
    assert (tmp_path / "gaugesail-127.0.0.1-9000.sock").is_symlink()
    ends = "close daemon\nexpect daemon exit 0\n"
    both = REPLACED + ends.replace("\n", "\nexpect c1 closed\n", 1) + ends
    (tmp_path / "gaugesail-127.0.0.1-9000.sock").unlink()
    play(both, TMPDIR=str(tmp_path))
    assert not (tmp_path / "gaugesail-127.0.0.1-9000.sock").is_symlink()


def test_a_broken_file_is_not_taken_and_a_start_without_some_keys_is(tmp_path: Path) -> None:
    head = play("brick b1\nclient c1\nsend c1 get /_health\nexpect c1 200").head
    file, good, wanted = tmp_path / "config.json", json.dumps(head._config.raw), head._latest_settings
    noise = good.replace('"read"', '"reads"')
    reads = noise.replace('"worth"', '"gain"')
    renamed = noise.replace('"give_up_us"', '"give_up"', 1)
    for text in ("", "{", "[]", "null", noise[: len(noise) // 2], renamed):
        file.write_text(text)
        head.reload_from(lambda: config.load({"BALANCER_CONFIG": str(file)}))
        assert head.engine.settings is wanted and "level=error event=bad_configuration" in last_line(head)
    file.write_text(reads)
    head.reload_from(lambda: config.load({"BALANCER_CONFIG": str(file)}))
    assert head.engine.settings.classes[0].name == "reads" and "event=reloaded" in last_line(head)


def last_line(head: Any) -> str:
    text: str = head._log._log._logger._file.getvalue()
    return text.splitlines()[-1]


def test_what_is_optional_may_go_and_what_is_there_keeps_its_form() -> None:
    old = {"a": {"keep_order": True, "b": 1}, "rows": [{"x": 1, "y": 2}, {"x": 1}], "n": None, "s": "t"}
    config.check_shape(old, {"a": {"b": 2.5}, "rows": [{"x": 2}], "n": 3, "s": "", "more": 1})
    config.check_shape(old, {"a": {"b": 2}, "rows": [], "n": None, "s": "u"})
    bad: list[dict[str, Any]] = [
        {"a": {}}, {"a": []}, {"rows": [{"y": 1}]}, {"rows": {}}, {"s": 5}, {"a": {"b": True}},
    ]  # fmt: skip
    for change in bad:
        with pytest.raises(config.ConfigError):
            config.check_shape(old, old | change)


def test_between_two_settings_the_stricter_holds() -> None:
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


def test_calls_at_both_processes_at_once_bind_both_and_are_kept(tmp_path: Path) -> None:
    text = "brick b2 shard=1\n" + REPLACED + "wait 0.1\nexpect c1 nothing"
    old, new = play(text, TMPDIR=str(tmp_path)).heads
    assert old.operations.maintain(b"b1", True) and new.operations.maintain(b"b2", True)
    old._reactor.run_until(lambda: False, 0.1)
    assert old.engine.in_maintenance == new.engine.in_maintenance == {b"b1", b"b2"}
    assert StateFile(str(tmp_path), ("127.0.0.1", 9000)).read().in_maintenance == {b"b1", b"b2"}
    new.operations.maintain(b"b1", False)
    old._reactor.run_until(lambda: False, 0.1)
    assert old.engine.in_maintenance == new.engine.in_maintenance == {b"b2"}


def test_before_it_knows_what_was_asked_a_process_takes_no_call(tmp_path: Path) -> None:
    engine, front = Mock(in_maintenance=set()), Mock()
    operations = Operations(engine, front, StateFile(str(tmp_path), ("", 1)), Mock(), Mock())
    for call in (lambda: operations.drain(True), lambda: operations.maintain(b"b1", True)):
        with pytest.raises(StateNotKnown):
            call()
    assert not list(tmp_path.iterdir()) and not engine.mock_calls


def test_the_next_process_has_the_places_that_the_one_before_does_not_hold() -> None:
    flood = "".join(f"client s{n}\n" for n in range(12))
    asks = "".join(f"send s{n} {'connect' if n < 9 else 'get /_health'}\n" for n in range(12))
    text = f"daemon http limits.sockets=116\n{flood}client c1\n{asks}wait 0.3\nexpect s11 200\n"
    old, new = play(text + "send daemon replace\nwait 0.3\nexpect c1 nothing").heads
    part = old._config.limits.of(2).client_connections
    assert part == 11 and old.front.connections == 3, "silent ones go at once, as more are here than its part"
    assert new.front._max_connections == 2 * part - 3
    old._handover._connections[0].link.abortConnection()
    old._reactor.run_until(lambda: False, 0.1)
    assert new.front._max_connections == old._config.limits.client_connections
