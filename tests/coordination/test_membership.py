"""Membership: updates converge in any order, false suspicions are refuted, restarts replace a process."""

from __future__ import annotations

import random
from itertools import permutations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gaugesail.coordination import messages as m
from gaugesail.coordination.member import MemberState, rank
from gaugesail.coordination.member_table import PERIOD_US
from gaugesail.coordination.membership import Membership

SECOND = 1_000_000


def member(name: str, process: int = 1, generation: int = 1, now: int = 0) -> Membership:
    return Membership(name, f"{name}:1", process, generation, random.Random(name), now)


def update(
    name: str, state: MemberState, incarnation: int = 0, generation: int = 1, process: int = 9
) -> m.MemberUpdate:
    return m.MemberUpdate(name, f"{name}:1", generation, incarnation, state, process)


class Fleet:
    """Members in virtual time; messages to and from those in ``cut_off`` are lost."""

    def __init__(self, count: int) -> None:
        self.now, self.cut_off = 0, set[str]()
        self.members = {f"h{n}": member(f"h{n}", n + 1) for n in range(count)}
        for one in self.members.values():
            one.join(["h0"])

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.now += 20_000
            for one in self.members.values():
                one.tick(self.now)
            self.deliver()

    def deliver(self) -> None:
        for _ in range(4):
            for name, one in self.members.items():
                for to, message in one.drain_messages():
                    if to in self.members and not {name, to} & self.cut_off:
                        self.members[to].receive(self.now, name, message)


def test_all_members_learn_of_all_and_a_silent_one_is_gone_and_then_back() -> None:
    fleet = Fleet(6)
    fleet.run(4)
    assert all(len(one) == 6 for one in fleet.members.values())
    fleet.cut_off = {"h3"}
    fleet.run(25)
    assert fleet.members["h0"].state_of("h3") == MemberState.GONE
    fleet.cut_off = set()
    fleet.run(20)
    assert all(one.state_of("h3") == MemberState.ALIVE for one in fleet.members.values())
    kinds = [change.kind for change in fleet.members["h0"].drain_changes() if change.name == "h3"]
    assert kinds[:3] == ["join", "suspect", "gone"] and kinds[-1] in ("back", "refute")


def test_a_member_refutes_a_suspicion_by_a_larger_incarnation() -> None:
    one = member("a", 5)
    one.receive(10, "b", m.StateSync((update("a", MemberState.SUSPECT, 3, process=5),), False))
    assert one.own_update.incarnation == 4 and one.own_update.state == MemberState.ALIVE
    assert one.local_health > 0, "it responded too late"


def test_a_restarted_member_replaces_its_former_process_whose_clock_was_ahead() -> None:
    one = member("a", 5, generation=10)
    one.receive(10, "b", m.StateSync((update("a", MemberState.ALIVE, 0, generation=900, process=4),), False))
    assert one.own_update.generation == 901 and not one.name_taken
    one.receive(
        900 * SECOND, "b", m.StateSync((update("a", MemberState.ALIVE, 0, generation=990, process=6),), False)
    )
    assert one.name_taken, "long after its start another process under its name is no earlier start"


def test_updates_converge_in_any_order() -> None:
    updates = [
        update("x", MemberState.ALIVE), update("x", MemberState.SUSPECT), update("x", MemberState.ALIVE, 1),
        update("x", MemberState.GONE, 1), update("x", MemberState.ALIVE, 0, generation=2),
    ]  # fmt: skip
    digests = set()
    for order in permutations(updates):
        one = member("a")
        for item in order:
            one.receive(10, "b", m.StateSync((item,), False))
        digests.add(one.digest())
        assert one.state_of("x") == MemberState.ALIVE
    assert len(digests) == 1


def test_a_member_that_was_not_running_declares_no_member_gone() -> None:
    fleet = Fleet(3)
    fleet.run(4)
    one = fleet.members["h0"]
    one.drain_changes()
    one.tick(fleet.now + 60 * SECOND)
    one.tick(fleet.now + 60 * SECOND + PERIOD_US // 2)
    assert not [change for change in one.drain_changes() if change.kind == "gone"]
    assert one.local_health > 0


def test_a_member_that_leaves_is_left_and_not_gone() -> None:
    fleet = Fleet(4)
    fleet.run(3)
    fleet.members["h2"].leave(fleet.now)
    fleet.deliver()
    fleet.run(3)
    assert fleet.members["h0"].state_of("h2") == MemberState.LEFT


class AnyUpdates(RuleBasedStateMachine):
    """One member receives arbitrary updates; the oracle keeps the largest of each member."""

    @initialize()
    def begin(self) -> None:
        self.one, self.now = member("a", 5), 0
        self.largest: dict[str, tuple[int, int, int]] = {}
        self.own_rank = rank(self.one.own_update)

    @rule(name=st.sampled_from("bcd"), state=st.sampled_from(list(MemberState)), generation=st.integers(1, 3),
          incarnation=st.integers(0, 3))  # fmt: skip
    def receive_update(self, name: str, state: MemberState, generation: int, incarnation: int) -> None:
        received = update(name, state, incarnation, generation)
        self.one.receive(self.now, "z", m.StateSync((received,), False))
        self.largest[name] = max(self.largest.get(name, (0, 0, 0)), rank(received))

    @rule(state=st.sampled_from(list(MemberState)), incarnation=st.integers(0, 9))
    def receive_own_update(self, state: MemberState, incarnation: int) -> None:
        self.one.receive(self.now, "z", m.StateSync((update("a", state, incarnation, process=5),), False))

    @rule(span=st.integers(0, 100_000))
    def pass_time(self, span: int) -> None:
        self.now += span
        self.one.tick(self.now)
        for name, member in self.one:
            if name in self.largest:  # its own suspicions count as well
                self.largest[name] = max(self.largest[name], rank(member.update))

    @invariant()
    def the_largest_holds_and_it_is_alive(self) -> None:
        for name, largest in self.largest.items():
            member = dict(self.one).get(name)
            assert member is not None and rank(member.update) == largest
        assert self.one.own_update.state == MemberState.ALIVE and rank(self.one.own_update) >= self.own_rank
        self.own_rank = rank(self.one.own_update)


AnyUpdates.TestCase.settings = settings(max_examples=50, stateful_step_count=25)
TestAnyUpdates = AnyUpdates.TestCase
