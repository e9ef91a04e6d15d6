"""The judge of the rehearsal kit: each test injects a fault into the daemon, and the judge reports it."""

from __future__ import annotations

from typing import Any

import pytest

from gaugesail.client_admission import ClientAdmission
from gaugesail.core.final_answers import FinalAnswers
from gaugesail.http.client_connection import ClientConnection
from gaugesail.policy.gateway import Gateway
from gaugesail.rehearsal.judge import Judge, RequestTracker
from gaugesail.rehearsal.memory import MemoryReactor
from gaugesail.rehearsal.scenario import ScenarioFailed
from gaugesail.shutdown import Shutdown

from ..support.scenario_runner import play

REQUEST_SENT = "brick b1\nclient c1\nsend c1 request a\nexpect b1 request a\n"
REQUEST_SERVED = REQUEST_SENT + "send b1 answer a 200 hello\nexpect c1 200 hello\n"
DAEMON_STOPPED = REQUEST_SERVED + "close daemon\n"


def assert_fault(text: str, message: str) -> None:
    with pytest.raises(ScenarioFailed, match=message):
        play(text)


def nothing(*_: Any) -> None:
    return None


@pytest.fixture
def silent_policy(monkeypatch: pytest.MonkeyPatch) -> None:
    """A policy that sends attempts and requests endpoint lists, and returns no other action."""
    handle = Gateway.handle

    def keep_sends_only(gateway: Gateway, now_us: int, events: Any) -> Any:
        actions = handle(gateway, now_us, events)
        return [
            action
            for action in actions
            if type(action).__name__ in ("StartAttempt", "WatchEndpoints", "PollEndpoints")
        ]

    monkeypatch.setattr(Gateway, "handle", keep_sends_only)


@pytest.mark.usefixtures("silent_policy")
def test_the_engine_answers_in_time_without_the_policy() -> None:
    play(REQUEST_SENT + "expect c1 504 within 3.0")


@pytest.mark.usefixtures("silent_policy")
def test_a_request_without_an_answer_in_time_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(FinalAnswers, "fail", nothing)
    assert_fault(REQUEST_SENT, r"c1: request a: no answer in its time")
    assert_fault(
        REQUEST_SENT + "wait 3.04\nexpect c1 nothing\nwait 0.02\nexpect c1 nothing",
        r"before line 8: .*no answer",
    )
    play("brick b1\nclient c1\nunanswered c1 a\n" + "\n".join(REQUEST_SENT.splitlines()[2:]))


def test_an_answer_to_a_request_declared_unanswered_is_reported() -> None:
    text = REQUEST_SERVED.replace("client c1\n", "client c1\nunanswered c1 a\n")
    assert_fault(text, "c1 a is to be left unanswered and is not")


def test_a_connection_closed_instead_of_an_answer_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ClientConnection, "answer", lambda self, *_, **__: self.close())
    assert_fault(
        REQUEST_SENT + "send b1 answer a 200 hello\nexpect c1 closed", "c1: request a: its connection ended"
    )


def test_a_second_answer_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    answer = ClientConnection.answer

    def twice(self: ClientConnection, status: int, body: bytes, **more: Any) -> None:
        answer(self, status, body, **more)
        self.link.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    monkeypatch.setattr(ClientConnection, "answer", twice)
    assert_fault(REQUEST_SERVED, "c1: an answer that nothing asked for")


def test_an_incomplete_answer_has_to_be_declared() -> None:
    text = REQUEST_SENT + "send b1 begin a 200000\nsend b1 part a 100000\nexpect c1 begins 200\n"
    assert_fault(text + "close b1 a\nexpect c1 broken", "c1: request a: its answer broke off")
    assert_fault(text + "expect c1 nothing", "c1: request a: its answer never ended")


@pytest.mark.parametrize(("read_bytes", "unanswered"), [(0, []), (10, ["c1 b"])])
def test_a_request_that_the_gateway_had_not_read_before_its_close_is_not_unanswered(
    read_bytes: int, unanswered: list[str]
) -> None:
    """The client sends it again; if the gateway had begun to read it, the gateway had accepted it."""
    judge = Judge(MemoryReactor(), list, 0.0)
    tracker = RequestTracker(judge, "c1", lambda: True)
    request = b"GET /api HTTP/1.1\r\nRequest-Id: %b\r\n\r\n"
    tracker.record_write(request % b"a")
    tracker.answered()
    answered_bytes = len(request % b"a")
    tracker.record_write(request % b"b")
    tracker.connection_lost(answered_bytes + read_bytes)
    assert judge.unanswered == unanswered and judge.closed_unread == (not unanswered)


HTTP_STEPS = "brick b1\nclient c1\nsend c1 get /_health\nexpect c1 200\n"
ISCSI_STEPS = "daemon iscsi\nnode n1\ninitiator i1\nsend i1 login\nexpect i1 login\n"


@pytest.mark.parametrize("steps", [HTTP_STEPS, ISCSI_STEPS])
def test_a_process_that_runs_on_after_its_port_has_closed_is_reported(
    steps: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    play(steps + "close daemon\nwait 1")
    monkeypatch.setattr(Shutdown, "_end", nothing)
    assert_fault(steps + "close daemon\nwait 3", "it runs on and serves nobody")


def test_a_process_that_does_not_end_in_time_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    """It keeps an idle connection open."""
    monkeypatch.setattr(Shutdown, "_close_idle", nothing)
    monkeypatch.setattr(Shutdown, "_end", nothing)
    assert_fault(DAEMON_STOPPED, "it has not ended in its time")


def test_a_process_that_accepts_no_connections_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    hold = ClientAdmission.hold
    monkeypatch.setattr(ClientAdmission, "hold", lambda self, on: hold(self, True))
    play(REQUEST_SERVED)
    declarations = "daemon http limits.sockets=32\nbrick b1\n" + "".join(f"client c{n}\n" for n in range(8))
    connects = "".join(f"send c{n} connect\nwait 0.01\n" for n in range(8)) + "wait 1\n"
    assert_fault(
        declarations + connects + "".join(f"close c{n}\n" for n in range(8)) + "wait 1\nexpect b1 nothing",
        "nobody can come in",
    )


def test_a_port_that_closes_too_soon_after_sigterm_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("gaugesail.shutdown_schedule.STOP_ACCEPTING_US", 150_000)
    assert_fault(DAEMON_STOPPED + "wait 1", "nobody can come in")


def test_a_predecessor_that_does_not_accept_again_after_its_successor_is_killed_is_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    text = REQUEST_SERVED + "send daemon replace\nwait 0.1\nsend daemon kill\nwait 1\nexpect b1 nothing"
    play(text)
    supersede = ClientAdmission.supersede
    monkeypatch.setattr(ClientAdmission, "supersede", lambda self, on: supersede(self, on) if on else None)
    assert_fault(text, "nobody can come in")


def test_a_command_without_its_status_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    text = "daemon iscsi\nnode n1\ninitiator i1\nsend i1 login\nexpect i1 login\nsend i1 read tag=1\n"
    play(text + "expect n1 login")
    monkeypatch.setattr(FinalAnswers, "_deliver", nothing)
    assert_fault(text + "expect n1 login", "i1: request 1: no answer in its time")


def test_unanswered_requests_of_a_killed_process_have_to_be_declared() -> None:
    text = REQUEST_SENT + "send daemon kill\nexpect c1 closed\nexpect b1 gone a"
    assert_fault(text, "c1: request a: its connection ended")
    play(text.replace("client c1\n", "client c1\nunanswered c1 a\n"))
