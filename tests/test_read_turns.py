"""A client that asks for much work waits for its turn; others don't."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gaugesail.read_turns import (
    CREDIT_PER_S,
    FULL_CREDIT,
    ITERATION_WORK,
    LONG_ITERATION_US,
    REQUEST_WORK,
    Credit,
    ReadTurns,
)


class Iterations:
    """A clock whose calls are made by the test, an iteration at a time."""

    def __init__(self) -> None:
        self.now = 1_000_000
        self._calls: list[Callable[[], None]] = []

    def now_us(self) -> int:
        return self.now

    def call_later(self, delay_us: int, call: Callable[[], None]) -> None:
        self._calls.append(call)

    def run(self) -> None:
        calls, self._calls = self._calls, []
        for call in calls:
            call()


class Client:
    """A client with endless input, that works whenever it has its turn."""

    def __init__(self, turns: ReadTurns, work: int) -> None:
        self.credit = Credit(refilled_us=1_000_000)
        self._turns, self._work = turns, work
        self.done = 0
        self.waits = False
        self.receives_body = False

    def receive(self) -> None:
        if self._turns.has_turn(self):
            self.done += self._work
            self._turns.spend(self, self._work)

    def wait_for_turn(self) -> None:
        self.waits = True

    def take_turn(self) -> None:
        self.waits = False
        self.receive()


def rig() -> tuple[Iterations, ReadTurns]:
    clock: Any = Iterations()
    return clock, ReadTurns(clock)


def test_the_work_of_greedy_clients_in_an_iteration_is_bounded_and_shared_in_turn() -> None:
    clock, turns = rig()
    greedy = [Client(turns, 700) for _ in range(20)]
    for client in greedy:
        while not client.waits:
            client.receive()
    for _ in range(200):
        before = sum(client.done for client in greedy)
        clock.run()
        for client in greedy:
            if not client.waits:
                client.receive()
        assert 0 < sum(client.done for client in greedy) - before <= ITERATION_WORK + 2 * 700
    done = [client.done for client in greedy]
    assert min(done) > 0.5 * max(done)


def test_usual_clients_never_wait_beside_greedy_ones() -> None:
    clock, turns = rig()
    greedy = [Client(turns, 700) for _ in range(20)]
    usual = [Client(turns, REQUEST_WORK) for _ in range(50)]
    for client in greedy:
        while not client.waits:
            client.receive()
    for _ in range(100):
        clock.now += 1_000_000 * REQUEST_WORK // CREDIT_PER_S
        for client in usual:
            client.receive()
        clock.run()
    assert not any(client.waits for client in usual)
    assert all(client.done == 100 * REQUEST_WORK for client in usual)


def test_a_client_alone_waits_only_for_the_next_iteration() -> None:
    clock, turns = rig()
    client = Client(turns, FULL_CREDIT)
    for _ in range(50):
        client.receive()
        clock.run()
        assert not client.waits


def test_a_body_waits_for_the_next_iteration_where_this_one_has_taken_long() -> None:
    """Guards against reading on for long while answers are due, which the timers give."""
    clock, turns = rig()
    bodies = [Client(turns, 1) for _ in range(10)]
    head = Client(turns, 1)
    for body in bodies:
        body.receives_body = True
        body.receive()
        clock.now += LONG_ITERATION_US // 3
    head.receive()
    assert [body.waits for body in bodies] == [False] * 4 + [True] * 6
    assert not head.waits and head.done == 1
    clock.run()
    assert not any(body.waits for body in bodies)
    assert all(body.done == 1 for body in bodies)
