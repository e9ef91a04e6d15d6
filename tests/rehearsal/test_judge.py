"""What the judge of the rehearsal kit finds in any scenario: each fault is planted, and is seen."""

from __future__ import annotations

from typing import Any

import pytest

from gaugesail.client_admission import ClientAdmission
from gaugesail.core.final_answers import FinalAnswers
from gaugesail.http.client_connection import ClientConnection
from gaugesail.policy.gateway import Gateway
from gaugesail.rehearsal.judge import Judge, RequestBook
from gaugesail.rehearsal.memory import MemoryReactor
from gaugesail.rehearsal.scenario import ScenarioFailed
from gaugesail.service import Service

from ..support.scenario_runner import play

ASKED = "brick b1\nclient c1\nsend c1 request a\nexpect b1 request a\n"
SERVED = ASKED + "send b1 answer a 200 hello\nexpect c1 200 hello\n"
ENDS = SERVED + "close daemon\n"


def found(text: str, what: str) -> None:
    with pytest.raises(ScenarioFailed, match=what):
        play(text)


def nothing(*_: Any) -> None:
    return None


@pytest.fixture
def silent_module(monkeypatch: pytest.MonkeyPatch) -> None:
    """A module that sends what is new and never says anything else."""
    handle = Gateway.handle

    def sends_alone(gateway: Gateway, now_us: int, events: Any) -> Any:
        made = handle(gateway, now_us, events)
        return [
            action
            for action in made
            if type(action).__name__ in ("StartAttempt", "WatchEndpoints", "PollEndpoints")
        ]

    monkeypatch.setattr(Gateway, "handle", sends_alone)


@pytest.mark.usefixtures("silent_module")
def test_whatever_the_module_does_the_engine_answers_in_time() -> None:
    play(ASKED + "expect c1 504 within 3.0")


@pytest.mark.usefixtures("silent_module")
def test_a_request_that_has_no_answer_when_its_time_is_up_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(FinalAnswers, "fail", nothing)
    found(ASKED, r"c1: request a: no answer in its time")
    found(ASKED + "wait 3.04\nexpect c1 nothing\nwait 0.02\nexpect c1 nothing", r"before line 8: .*no answer")
    play("brick b1\nclient c1\nunanswered c1 a\n" + "\n".join(ASKED.splitlines()[2:]))


def test_a_request_that_is_said_to_have_no_answer_and_has_one_is_found() -> None:
    text = SERVED.replace("client c1\n", "client c1\nunanswered c1 a\n")
    found(text, "c1 a is to be left unanswered and is not")


def test_a_connection_that_ends_under_a_request_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ClientConnection, "answer", lambda self, *_, **__: self.close())
    found(ASKED + "send b1 answer a 200 hello\nexpect c1 closed", "c1: request a: its connection ended")


def test_a_second_answer_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    once = ClientConnection.answer

    def twice(self: ClientConnection, status: int, body: bytes, **more: Any) -> None:
        once(self, status, body, **more)
        self.link.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    monkeypatch.setattr(ClientConnection, "answer", twice)
    found(SERVED, "c1: an answer that nothing asked for")


def test_an_answer_that_breaks_off_has_to_be_said() -> None:
    text = ASKED + "send b1 begin a 200000\nsend b1 part a 100000\nexpect c1 begins 200\n"
    found(text + "close b1 a\nexpect c1 broken", "c1: request a: its answer broke off")
    found(text + "expect c1 nothing", "c1: request a: its answer never ended")


@pytest.mark.parametrize(("read", "lost"), [(0, []), (10, ["c1 b"])])
def test_a_close_that_crosses_a_request_the_head_has_not_read_is_none_that_is_lost(
    read: int, lost: list[str]
) -> None:
    """The page has the client send it once more; where the head had begun to read it, it was taken."""
    judge = Judge(MemoryReactor(), list, 0.0)
    book = RequestBook(judge, "c1", lambda: True)
    ask = b"GET /api HTTP/1.1\r\nRequest-Id: %b\r\n\r\n"
    book.wrote(ask % b"a")
    book.answered()
    before = len(ask % b"a")
    book.wrote(ask % b"b")
    book.lost(before + read)
    assert judge.unanswered == lost and judge.closed_unread == (not lost)


HTTP = "brick b1\nclient c1\nsend c1 get /_health\nexpect c1 200\n"
ISCSI = "daemon iscsi\nnode n1\ninitiator i1\nsend i1 login\nexpect i1 login\n"


@pytest.mark.parametrize("wire", [HTTP, ISCSI])
def test_a_process_that_runs_on_after_its_port_has_closed_is_found(
    wire: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    play(wire + "close daemon\nwait 1")
    monkeypatch.setattr(Service, "_finished", nothing)
    found(wire + "close daemon\nwait 3", "it runs on and serves nobody")


def test_a_process_that_does_not_end_in_its_time_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """It keeps a connection that is idle."""
    monkeypatch.setattr(Service, "_close_idle", nothing)
    monkeypatch.setattr(Service, "_finish_when_read", nothing)
    found(ENDS, "it has not ended in its time")


def test_a_process_that_lets_nobody_in_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    hold = ClientAdmission.hold
    monkeypatch.setattr(ClientAdmission, "hold", lambda self, on: hold(self, True))
    play(SERVED)
    full = "daemon http limits.sockets=32\nbrick b1\n" + "".join(f"client c{n}\n" for n in range(8))
    many = "".join(f"send c{n} connect\nwait 0.01\n" for n in range(8)) + "wait 1\n"
    found(full + many + "".join(f"close c{n}\n" for n in range(8)) + "wait 1\nexpect b1 nothing",
          "nobody can come in")  # fmt: skip


def test_a_port_that_closes_too_soon_after_the_signal_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("gaugesail.service.STOP_ACCEPTING_AFTER_US", 150_000)
    found(ENDS + "wait 1", "nobody can come in")


def test_a_process_that_does_not_accept_again_when_the_next_one_is_killed_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    text = SERVED + "send daemon replace\nwait 0.1\nsend daemon kill\nwait 1\nexpect b1 nothing"
    play(text)
    supersede = ClientAdmission.supersede
    monkeypatch.setattr(ClientAdmission, "supersede", lambda self, on: supersede(self, on) if on else None)
    found(text, "nobody can come in")


def test_a_command_without_its_status_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    text = "daemon iscsi\nnode n1\ninitiator i1\nsend i1 login\nexpect i1 login\nsend i1 read tag=1\n"
    play(text + "expect n1 login")
    monkeypatch.setattr(FinalAnswers, "_deliver", nothing)
    found(text + "expect n1 login", "i1: request 1: no answer in its time")


def test_a_killed_process_leaves_what_it_held_unanswered_and_that_has_to_be_said() -> None:
    text = ASKED + "send daemon kill\nexpect c1 closed\nexpect b1 gone a"
    found(text, "c1: request a: its connection ended")
    play(text.replace("client c1\n", "client c1\nunanswered c1 a\n"))
