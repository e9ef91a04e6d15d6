"""Which connections of a soak's clients may end without a whole answer, as their process was killed."""

from __future__ import annotations

import random
from typing import Any

import pytest

from gaugesail.rehearsal.kill_time import KILL_DELAY_S
from gaugesail.rehearsal.memory import MemoryReactor
from gaugesail.rehearsal.soak import plan
from gaugesail.rehearsal.soak.clients import NOTICED_LATEST_S, SoakClients
from gaugesail.rehearsal.soak.judge import Rule, SoakJudge
from gaugesail.rehearsal.soak.long_answers import Framing, LongAnswer, Lump
from gaugesail.rehearsal.soak.new_request import NewRequest

LONG = LongAnswer(Framing.CHUNKED, 0.0, (Lump(0.0, 50_000), Lump(2.0, 50_000)))


class Begun:
    """A kept connection on which the head of an answer has come."""

    half, fresh, text, close_reason = True, False, b"", "ConnectionDone"

    def __init__(self, request: Any) -> None:
        self.request = request


class Clients:
    """The clients of one gateway, with one request whose long answer has begun."""

    def __init__(self, sent_after_s: float = 0.0) -> None:
        self.reactor = MemoryReactor()
        self.reactor.advance(100.0)
        self.judge = SoakJudge(self.reactor.seconds, lambda: ())
        self.clients = SoakClients(
            self.reactor, "h", ("127.0.0.1", 9), self.judge, random.Random(1), plan.SoakPlan(), 3.0
        )
        self.began = self.reactor.seconds()
        self.reactor.advance(sent_after_s)
        request = self.judge.request_sent(NewRequest("r", plan.REQUEST_CLASSES[0], 1.0, b"", LONG), "h")
        begun: Any = Begun
        self.connection = begun(request)
        self.clients._open.add(self.connection)

    def end(self) -> list[Rule]:
        """The client notices the end of its connection; returns the violations."""
        self.clients.lost(self.connection)
        return [violation.rule for violation in self.judge.violations]


def test_an_answer_that_the_gateway_itself_breaks_off_is_lost() -> None:
    assert Clients().end() == [Rule.LOST]


@pytest.mark.parametrize(("sent_after_s", "broken"), [(0.0, []), (0.6, [Rule.LOST])])
def test_a_client_that_rests_notices_a_kill_after_the_next_process_serves(
    sent_after_s: float, broken: list[Rule]
) -> None:
    """Guards against blaming the next process for the answers of one that was killed."""
    made = Clients()
    made.reactor.advance(0.5)
    made.clients.process_killed()
    made.clients.process_ready()
    made.connection.request.at += sent_after_s
    made.reactor.advance(0.5)
    assert made.end() == broken


@pytest.mark.parametrize("sent_after_s", [0.0, KILL_DELAY_S + 0.5])
@pytest.mark.parametrize(
    ("noticed_after_s", "broken"), [(NOTICED_LATEST_S, []), (NOTICED_LATEST_S + 0.1, [Rule.LOST])]
)
def test_an_answer_that_a_kill_after_sigterm_finds_unfinished_is_not_lost(
    sent_after_s: float, noticed_after_s: float, broken: list[Rule]
) -> None:
    made = Clients(sent_after_s)
    made.reactor.advance(1.0)
    assert made.clients.has_unfinished_answers
    made.clients.process_killed_after_term(made.began)
    made.reactor.advance(noticed_after_s)
    assert made.end() == broken
