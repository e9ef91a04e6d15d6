"""The engine's guarantees, whatever the policy, a reply or the node transport does; in virtual time."""

from __future__ import annotations

import io
from typing import Any

import pytest

from gaugesail.core.clock import ReactorClock
from gaugesail.core.engine import MAX_LOGGED_UNSERVED, Engine
from gaugesail.core.ports import Attempt, ClientRequest, FailureReason
from gaugesail.logs import make_logger
from gaugesail.policy.actions import Action, CancelAttempt, FailRequest, RejectRequest, StartAttempt, WriteLog
from gaugesail.policy.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointListKind,
    Event,
    RequestReceived,
)
from gaugesail.policy.settings import Plan, RequestClass, Settings
from gaugesail.rehearsal.memory import MemoryReactor

NODE = b"n1"
SETTINGS = Settings((RequestClass("read", 500_000, 3_000_000),), (Plan("basic"),), max_attempts=2)


class Rig:
    """An engine with a scripted policy, and a node transport and replies that only record their calls."""

    def __init__(self) -> None:
        self.reactor = MemoryReactor()
        self.clock = ReactorClock(self.reactor, lambda: round(self.reactor.seconds() * 1e9), lambda: 10**18)
        self.sent: list[Attempt] = []
        self.aborted: list[Attempt] = []
        self.events: list[Event] = []
        self.answers: list[tuple[str, Any]] = []
        self.script: dict[type, list[Action]] = {}
        self.disconnected = self.unwritten = self.held_back = False
        transport: Any = self
        self.engine = Engine(SETTINGS, 1, self.clock, transport, transport, make_logger(io.StringIO()), 4)
        gateway: Any = self
        self.engine.policy.gateway = gateway
        self.engine.start(EndpointList(EndpointListKind.CACHED, (Endpoint(NODE, 0),)))

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        self.events += events
        actions = [action for event in events for action in self.script.pop(type(event), [])]
        if any(isinstance(action, WriteLog) for action in actions):
            raise RuntimeError("scripted")
        return actions

    def send(self, attempt: Attempt, sink: Any) -> None:
        self.sent.append(attempt)

    def abort(self, attempt: Attempt) -> bool:
        self.aborted.append(attempt)
        return not self.held_back

    def is_held_back(self, attempt: Attempt) -> bool:
        return self.held_back

    def read_now(self, attempt: Attempt) -> None:
        """Nothing arrives here unread."""

    def pass_on(self, attempt: Attempt) -> bool:
        return False

    def describe_answer(self, attempt: Attempt) -> str:
        return ""

    def cancel_unwritten(self, attempt: Attempt) -> bool:
        return self.unwritten

    def start_stream(self, source: Any) -> Any:
        self.answers.append(("begins", source))
        return self

    def send_answer(self, answer: Any) -> None:
        self.answers.append(("served", answer))

    def reject(self, retry_after_us: int) -> None:
        self.answers.append(("refused", retry_after_us))

    def fail(self, reason: FailureReason) -> None:
        self.answers.append(("failed", reason.value))

    def client_has_disconnected(self) -> bool:
        return self.disconnected

    def submit(self, *actions: Action, name: str = "a") -> int:
        self.script[RequestReceived] = list(actions)
        request_id = self.engine.submit(ClientRequest(name, SETTINGS, 0, 1_000_000, "payload"), self)
        self.reactor.advance(0)
        return request_id

    def outcomes(self) -> list[AttemptResult]:
        return [event.result for event in self.events if isinstance(event, AttemptEnded)]


def test_a_second_attempt_is_not_sent_while_one_is_in_flight() -> None:
    rig = Rig()
    rig.submit(StartAttempt(1, NODE), StartAttempt(1, NODE))
    rig.reactor.advance(0)
    assert len(rig.sent) == 1 and rig.outcomes() == [AttemptResult.NOT_STARTED]


def test_an_attempt_without_a_connection_to_begin_on_has_all_of_its_requests_time() -> None:
    rig = Rig()
    rig.held_back = True
    rig.submit(StartAttempt(1, NODE, 300_000))
    rig.reactor.advance(0.9)
    assert not rig.aborted
    rig.reactor.advance(0.2)
    assert len(rig.aborted) == 1 and rig.outcomes() == [AttemptResult.NOT_STARTED]


def test_attempts_beyond_the_limit_are_not_sent() -> None:
    rig = Rig()
    rig.submit(StartAttempt(1, NODE))
    for _ in range(2):
        rig.script[AttemptEnded] = [StartAttempt(1, NODE)]
        rig.engine.attempts.attempt_ended(rig.sent[-1], AttemptResult.ERROR)
        rig.reactor.advance(0)
    assert len(rig.sent) == 2
    rig.reactor.advance(0)
    assert rig.outcomes() == [AttemptResult.ERROR, AttemptResult.ERROR, AttemptResult.NOT_STARTED]


def test_nothing_is_sent_after_the_final_answer() -> None:
    rig = Rig()
    rig.submit(RejectRequest(1, 5), StartAttempt(1, NODE))
    rig.reactor.advance(0)
    assert not rig.sent and rig.answers == [("refused", 5)] and rig.outcomes() == [AttemptResult.NOT_STARTED]


def test_a_request_has_one_final_answer_whatever_is_reported_later() -> None:
    rig = Rig()
    rig.submit(StartAttempt(1, NODE))
    rig.script[AttemptEnded] = [FailRequest(1), RejectRequest(1)]
    rig.engine.attempts.attempt_ended(rig.sent[0], AttemptResult.SERVED, b"x")
    rig.engine.attempts.attempt_ended(rig.sent[0], AttemptResult.RESET)
    rig.reactor.advance(2)
    assert rig.answers == [("served", b"x")] and rig.outcomes() == [AttemptResult.SERVED]


def test_a_request_that_the_policy_ignores_is_failed_before_the_clients_timeout() -> None:
    rig = Rig()
    rig.submit()
    rig.reactor.advance(0.9)
    assert not rig.answers
    rig.reactor.advance(0.0999)
    assert rig.answers == [("failed", "out of time")]


def test_an_attempt_is_aborted_at_its_deadline_before_the_policy_is_notified() -> None:
    rig = Rig()
    rig.submit(StartAttempt(1, NODE, 200_000))
    rig.reactor.advance(0.1999)
    assert not rig.aborted
    rig.reactor.advance(0.0002)
    assert rig.aborted == rig.sent and rig.outcomes() == [AttemptResult.TIMEOUT]


def test_a_cancelled_attempt_is_aborted_and_reported_once() -> None:
    rig = Rig()
    rig.submit(StartAttempt(1, NODE), CancelAttempt(1, 0), CancelAttempt(1, 0))
    rig.reactor.advance(0)
    assert rig.aborted == rig.sent and rig.outcomes() == [AttemptResult.CANCELLED]


@pytest.mark.parametrize("unwritten", [True, False])
def test_after_a_disconnect_an_unwritten_attempt_ends_and_a_written_one_continues(unwritten: bool) -> None:
    rig = Rig()
    request_id = rig.submit(StartAttempt(1, NODE))
    rig.unwritten = unwritten
    rig.engine.client_disconnected(request_id)
    rig.reactor.advance(0)
    assert rig.outcomes() == ([AttemptResult.NOT_STARTED] if unwritten else [])
    assert rig.engine.attempts_in_flight == (0 if unwritten else 1)


def test_a_request_that_ends_before_its_tick_never_reaches_the_policy() -> None:
    rig = Rig()
    rig.script[RequestReceived] = [StartAttempt(1, NODE)]
    request_id = rig.engine.submit(ClientRequest("a", SETTINGS, 0, 1_000_000, "payload"), rig)
    rig.engine.client_disconnected(request_id)
    rig.reactor.advance(0.01)
    assert not rig.sent and not any(isinstance(event, RequestReceived) for event in rig.events)


def test_an_exception_in_the_policy_fails_its_requests_and_nothing_else() -> None:
    rig = Rig()
    rig.submit(WriteLog("raise"))
    assert rig.answers == [("failed", "failed")] and rig.engine.counts["policy_raised"] == 1
    rig.submit(RejectRequest(2), name="b")
    assert rig.answers[-1] == ("refused", 0)


def test_a_transport_that_raises_ends_the_attempt() -> None:
    rig = Rig()
    rig.send = None  # type: ignore[method-assign, assignment]
    rig.submit(StartAttempt(1, NODE))
    rig.reactor.advance(0)
    assert rig.outcomes() == [AttemptResult.RESET]


def test_an_exception_in_a_reply_does_not_affect_other_requests() -> None:
    rig = Rig()
    rig.reject = None  # type: ignore[method-assign, assignment]
    rig.submit(RejectRequest(1))
    rig.submit(FailRequest(2), name="b")
    assert rig.answers == [("failed", "failed")] and rig.engine.idle


def test_requests_beyond_the_open_limit_are_rejected() -> None:
    rig = Rig()
    for n in range(5):
        rig.submit(name=str(n))
    rig.reactor.advance(0)
    assert rig.engine.open_requests == 4 and [how for how, _ in rig.answers] == ["refused"]


def test_events_of_one_tick_are_passed_together() -> None:
    rig = Rig()
    before = len(rig.events)
    seen: list[int] = []
    rig.handle = lambda now, events: (seen.append(len(events)), [])[1]  # type: ignore[method-assign, func-returns-value]
    for n in range(3):
        rig.engine.submit(ClientRequest(str(n), SETTINGS, 0, 1_000_000, None), rig)
    rig.reactor.advance(0)
    assert seen == [3] and len(rig.events) == before


@pytest.mark.parametrize("timeout_us", [0, 3_000])
def test_a_request_without_time_is_answered_and_not_sent(timeout_us: int) -> None:
    rig = Rig()
    rig.script[RequestReceived] = [StartAttempt(1, NODE)]
    rig.engine.submit(ClientRequest("a", SETTINGS, 0, timeout_us, None), rig)
    rig.reactor.advance(0.01)
    assert not rig.sent and rig.answers == [("failed", "out of time")]


def test_the_end_of_the_process_answers_all_before_it_searches_the_trace(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a crowd of open requests whose steps are searched while SIGKILL comes nearer."""
    rig = Rig()
    rig.engine._max_open = 100
    for number in range(50):
        rig.submit(name=f"r{number}")
    searched_after: list[int] = []
    steps_of = rig.engine.trace.steps_of

    def search(subject: str) -> Any:
        searched_after.append(len(rig.answers))
        return steps_of(subject)

    monkeypatch.setattr(rig.engine.trace, "steps_of", search)
    rig.engine.fail_all()
    assert len(rig.answers) == rig.engine.counts["unserved_at_shutdown"] == 50
    assert searched_after == [50] * MAX_LOGGED_UNSERVED
