"""Members: rumours in any order come to the same, a false death is refuted, a new life replaces the old."""

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


def head(name: str, process: int = 1, generation: int = 1, now: int = 0) -> Membership:
    return Membership(name, f"{name}:1", process, generation, random.Random(name), now)


def rumour(
    name: str, state: MemberState, incarnation: int = 0, generation: int = 1, process: int = 9
) -> m.MemberUpdate:
    return m.MemberUpdate(name, f"{name}:1", generation, incarnation, state, process)


class Fleet:
    """Some heads in virtual time; what goes to the deaf, or comes from them, is lost."""

    def __init__(self, count: int) -> None:
        self.now, self.deaf = 0, set[str]()
        self.all = {f"h{n}": head(f"h{n}", n + 1) for n in range(count)}
        for one in self.all.values():
            one.join(["h0"])

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.now += 20_000
            for one in self.all.values():
                one.tick(self.now)
            self.talk()

    def talk(self) -> None:
        for _ in range(4):
            for name, one in self.all.items():
                for to, said in one.take_messages():
                    if to in self.all and not {name, to} & self.deaf:
                        self.all[to].receive(self.now, name, said)


def test_all_learn_of_all_and_one_that_is_silent_is_gone_and_then_back() -> None:
    fleet = Fleet(6)
    fleet.run(4)
    assert all(len(one) == 6 for one in fleet.all.values())
    fleet.deaf = {"h3"}
    fleet.run(25)
    assert fleet.all["h0"].state_of("h3") == MemberState.GONE
    fleet.deaf = set()
    fleet.run(20)
    assert all(one.state_of("h3") == MemberState.ALIVE for one in fleet.all.values())
    told = [change.kind for change in fleet.all["h0"].take_changes() if change.name == "h3"]
    assert told[:3] == ["join", "suspect", "gone"] and told[-1] in ("back", "refute")


def test_a_head_refutes_what_is_said_of_it_by_a_larger_incarnation() -> None:
    one = head("a", 5)
    one.receive(10, "b", m.StateSync((rumour("a", MemberState.SUSPECT, 3, process=5),), False))
    assert one.own_update.incarnation == 4 and one.own_update.state == MemberState.ALIVE
    assert one.local_health > 0, "it was slow to answer"


def test_a_new_life_takes_the_place_of_an_earlier_one_whose_clock_was_ahead() -> None:
    one = head("a", 5, generation=10)
    one.receive(10, "b", m.StateSync((rumour("a", MemberState.ALIVE, 0, generation=900, process=4),), False))
    assert one.own_update.generation == 901 and not one.name_taken
    one.receive(
        900 * SECOND, "b", m.StateSync((rumour("a", MemberState.ALIVE, 0, generation=990, process=6),), False)
    )
    assert one.name_taken, "long after its start that is another process under its name"


def test_rumours_in_any_order_come_to_the_same() -> None:
    told = [
        rumour("x", MemberState.ALIVE), rumour("x", MemberState.SUSPECT), rumour("x", MemberState.ALIVE, 1),
        rumour("x", MemberState.GONE, 1), rumour("x", MemberState.ALIVE, 0, generation=2),
    ]  # fmt: skip
    digests = set()
    for order in permutations(told):
        one = head("a")
        for item in order:
            one.receive(10, "b", m.StateSync((item,), False))
        digests.add(one.digest())
        assert one.state_of("x") == MemberState.ALIVE
    assert len(digests) == 1


def test_a_head_that_did_not_run_accuses_nobody() -> None:
    fleet = Fleet(3)
    fleet.run(4)
    one = fleet.all["h0"]
    one.take_changes()
    one.tick(fleet.now + 60 * SECOND)
    one.tick(fleet.now + 60 * SECOND + PERIOD_US // 2)
    assert not [change for change in one.take_changes() if change.kind == "gone"]
    assert one.local_health > 0


def test_one_that_leaves_is_left_and_not_gone() -> None:
    fleet = Fleet(4)
    fleet.run(3)
    fleet.all["h2"].leave(fleet.now)
    fleet.talk()
    fleet.run(3)
    assert fleet.all["h0"].state_of("h2") == MemberState.LEFT


class AnyRumours(RuleBasedStateMachine):
    """One head hears anything of anybody; a plain oracle keeps the largest rumour of each."""

    @initialize()
    def begin(self) -> None:
        self.one, self.now = head("a", 5), 0
        self.largest: dict[str, tuple[int, int, int]] = {}
        self.mine = rank(self.one.own_update)

    @rule(name=st.sampled_from("bcd"), state=st.sampled_from(list(MemberState)), generation=st.integers(1, 3),
          incarnation=st.integers(0, 3))  # fmt: skip
    def hear(self, name: str, state: MemberState, generation: int, incarnation: int) -> None:
        said = rumour(name, state, incarnation, generation)
        self.one.receive(self.now, "z", m.StateSync((said,), False))
        self.largest[name] = max(self.largest.get(name, (0, 0, 0)), rank(said))

    @rule(state=st.sampled_from(list(MemberState)), incarnation=st.integers(0, 9))
    def slander(self, state: MemberState, incarnation: int) -> None:
        self.one.receive(self.now, "z", m.StateSync((rumour("a", state, incarnation, process=5),), False))

    @rule(span=st.integers(0, 100_000))
    def pass_time(self, span: int) -> None:
        self.now += span
        self.one.tick(self.now)
        for name, member in self.one:
            if name in self.largest:  # its own doubts count too
                self.largest[name] = max(self.largest[name], rank(member.update))

    @invariant()
    def the_largest_holds_and_it_lives(self) -> None:
        for name, largest in self.largest.items():
            member = dict(self.one).get(name)
            assert member is not None and rank(member.update) == largest
        assert self.one.own_update.state == MemberState.ALIVE and rank(self.one.own_update) >= self.mine
        self.mine = rank(self.one.own_update)


AnyRumours.TestCase.settings = settings(max_examples=50, stateful_step_count=25)
TestAnyRumours = AnyRumours.TestCase
