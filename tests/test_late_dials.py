"""Connections to bricks that come up late: another is made beside them, and their brick is not blamed."""

from __future__ import annotations

import random
from typing import Any

import pytest
from twisted.internet.error import TimeoutError as ConnectTimeout

from gaugesail.http.bricks import LEAST_LATE_US, DialBook
from marllift import interface as api
from marllift.interface import Result

from . import driver
from .turned import HeldDials, Turned, turned

TIMEOUT_US = 250_000


class LateDials(HeldDials):
    """Each connection comes up, or is given up, by its number."""

    def let(self, number: int) -> None:
        made, args = self.held[number]
        self._dial(*args).chainDeferred(made)


def asked(rig: Turned, dials: LateDials, name: str = "a") -> None:
    client = rig.client()
    client.send(rig.ask(name))
    assert rig.until(lambda: bool(dials.held))


def test_a_connection_that_is_late_is_made_up_for_by_another(monkeypatch: pytest.MonkeyPatch) -> None:
    with turned() as rig:
        dials = LateDials(monkeypatch)
        began = rig.now
        asked(rig, dials)
        assert rig.until(lambda: len(dials.held) > 1)
        dials.let(1)
        rig.bricks[0].answer("a")
        rig.pass_time(0.01)
        assert rig.now - began < 0.15
        assert rig.head.engine.counts["served"] == 1 and rig.head.engine.counts["sent"] == 1
        assert not rig.head.engine.counts["attempt_no_connection"]
        assert rig.head.engine.counts["dialled"] == 2 and rig.head.engine.counts["dial_late"] == 1


def test_the_late_one_is_kept_for_the_next_request_and_carries_nothing_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with turned() as rig:
        dials = LateDials(monkeypatch)
        asked(rig, dials)
        assert rig.until(lambda: len(dials.held) > 1)
        dials.let(1)
        first = rig.bricks[0].request("a")
        dials.let(0)
        rig.pass_time(0.05)
        assert rig.bricks[0].saw("a") == 1
        count = len(dials.held)
        client = rig.client()
        client.send(rig.ask("b"))
        assert rig.bricks[0].request("b") is not first
        assert len(dials.held) == count


def test_a_brick_that_never_comes_up_is_known_in_the_time_to_connect_and_not_dialled_without_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """More dials do not make a brick that is gone be waited for any longer."""
    with turned(**{"settings__permissions__connect_timeout_us": str(TIMEOUT_US)}) as rig:
        dials = LateDials(monkeypatch)
        asked(rig, dials)
        began = rig.now
        timed_out: Any = ConnectTimeout
        ends = {0: began + TIMEOUT_US / 1e6}

        def run_out() -> bool:
            for number, (made, _) in enumerate(dials.held):
                if rig.now >= ends.setdefault(number, rig.now + TIMEOUT_US / 1e6) and not made.called:
                    made.errback(timed_out())
            return bool(rig.head.engine.counts["attempt_no_connection"])

        assert rig.until(run_out)
        assert rig.now - began <= TIMEOUT_US / 1e6 + 0.01
        assert 2 <= len(dials.held) <= 6


def test_a_brick_that_refuses_while_one_is_late_is_not_dialled_again_and_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A refusal is the brick's own word: the request has its outcome, whatever may still come up."""
    with turned(**{"settings__permissions__connect_timeout_us": str(TIMEOUT_US)}) as rig:
        dials = LateDials(monkeypatch)
        asked(rig, dials)
        assert rig.until(lambda: len(dials.held) > 1)
        refused: Any = ConnectionRefusedError
        dials.held[1][0].errback(refused())
        rig.turn(3)
        assert rig.head.engine.counts["attempt_no_connection"] == 1 and len(dials.held) == 2


def test_the_end_of_an_older_late_dial_is_no_end_of_a_request_that_came_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with turned(**{"settings__permissions__connect_timeout_us": str(TIMEOUT_US)}) as rig:
        dials = LateDials(monkeypatch)
        asked(rig, dials)
        assert rig.until(lambda: len(dials.held) > 1)
        dials.let(1)
        busy = rig.bricks[0].request("a")
        rig.pass_time(0.1)
        client = rig.client()
        client.send(rig.ask("b"))
        assert rig.until(lambda: len(dials.held) > 3)
        timed_out: Any = ConnectTimeout
        dials.held[0][0].errback(timed_out())
        rig.pass_time(0.01)
        assert not rig.head.engine.counts["attempt_no_connection"]
        dials.let(3)
        assert rig.bricks[0].request("b") is not busy


def test_the_time_after_which_a_dial_is_late_is_not_moved_by_those_that_are_late() -> None:
    rng, book = random.Random(4), DialBook()
    assert LEAST_LATE_US <= book.late_us(TIMEOUT_US) <= TIMEOUT_US // 2
    for _ in range(500):
        book.ended(TIMEOUT_US if rng.random() < 1 / 3 else rng.randrange(1500, 3000))
    assert LEAST_LATE_US <= book.late_us(TIMEOUT_US) <= 12_000
    for _ in range(50):  # another building: all take longer
        book.ended(20_000)
    assert book.late_us(TIMEOUT_US) == 80_000
    for _ in range(50):
        book.ended(TIMEOUT_US)
    assert book.late_us(TIMEOUT_US) == TIMEOUT_US // 2


def test_a_late_connection_is_no_fault_of_a_node_that_has_served_what_was_sent_later() -> None:
    rig = driver.Driver(driver.settings())
    rig.pass_time(3 * driver.SEC)
    late = rig.ask()
    rig.pass_time(10_000)
    other = rig.ask()
    assert {send.request for send in rig.sends} >= {late, other}
    node = rig.gateway.nodes[rig.sends[0].node]
    rig.pass_time(20_000)
    rig.feed(api.Outcome(other, 0, node.id, Result.SERVED, 20_000, True))
    rig.feed(api.Outcome(late, 0, node.id, Result.NO_CONNECTION, 250_000, False))
    assert not node.misses and node.next_at <= rig.now
