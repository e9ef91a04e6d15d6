"""The ledger and the division: no entries and no claims make parts and floors more than the whole."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from gaugesail.coordination import messages as m
from gaugesail.coordination.fleet_terms import FleetTerms
from gaugesail.coordination.gateway_floor import HeadFloor
from gaugesail.coordination.lease_holder import LeaseHolder
from gaugesail.coordination.quota_division import QuotaClaim, divide
from gaugesail.coordination.quota_ledger import QuotaLedger
from gaugesail.coordination.store_fencing import KnownStore, StoreFence, may_be_latest

CHARTER = FleetTerms("f", ("a", "b", "c"), max_gateways=4)


def made(*commands: m.Command) -> QuotaLedger:
    ledger = QuotaLedger(CHARTER)
    for index, command in enumerate(commands, 1):
        ledger.apply(index, command)
    return ledger


WHOLE = m.SetLimits((("p", 100_000, 80_000),))


def test_a_part_beyond_the_whole_less_all_floors_changes_nothing() -> None:
    ledger = made(WHOLE, m.SettleLimits(1), m.OpenSession("a", 1, "s"), m.OpenSession("b", 2, "t"))
    assert ledger.leasable("p") == (90_000, 40_000), "a tenth of the rate and half of the burst are floors"
    assert ledger.apply(5, m.AllocateQuota("p/1", 3, 90_000, 40_000))
    assert not ledger.apply(6, m.AllocateQuota("p/1", 4, 1, 0))
    assert not ledger.apply(7, m.AllocateQuota("p/1", 4, 0, 1))
    assert ledger.apply(8, m.AllocateQuota("p/2", 4, 90_000, 40_000)), "each volume has a whole of its own"


def test_a_part_rests_on_the_entry_that_it_replaces() -> None:
    ledger = made(
        WHOLE, m.SettleLimits(1), m.OpenSession("a", 1, "s"), m.AllocateQuota("p/1", 3, 50_000, 1000)
    )
    assert not ledger.apply(5, m.AllocateQuota("p/1", 3, 60_000, 1000)), "it was for nobody's part"
    assert ledger.apply(6, m.AllocateQuota("p/1", 3, 60_000, 1000, 4))
    assert not ledger.apply(7, m.AllocateQuota("p/1", 3, 70_000, 1000, 4)), "and once"
    assert ledger.allocated("p/1") == (60_000, 1000)


def test_a_close_frees_the_parts_and_keeps_the_floor() -> None:
    ledger = made(
        WHOLE,
        m.SettleLimits(1),
        m.OpenSession("a", 1, "s"),
        m.AllocateQuota("p/1", 3, 90_000, 1000),
        m.CloseSession(3),
    )
    assert ledger.allocated("p/1") == (0, 0) and not ledger.sessions
    assert not ledger.apply(6, m.AllocateQuota("p/1", 3, 1, 1)), "nothing is given to who is gone"
    assert not ledger.apply(7, m.CloseSession(3))
    assert ledger.floor_slots[0].store_id == "s"
    ledger.apply(8, m.OpenSession("a", 9, "s"))
    ledger.apply(9, m.OpenSession("b", 10, "s2"))
    assert [ledger.sessions[8].floor_slot, ledger.sessions[9].floor_slot] == [0, 1], (
        "its own again, and never another's"
    )


def test_one_process_has_one_session_and_floors_end_with_the_slots() -> None:
    ledger = made(*(m.OpenSession(f"h{n}", n, f"s{n}") for n in range(1, 7)), m.OpenSession("h1", 1, "s1"))
    assert [item.floor_slot for item in ledger.sessions.values()] == [0, 1, 2, 3, -1, -1]
    ledger = made(m.OpenSession("h", 1, ""))
    assert ledger.sessions[1].floor_slot == -1, "without a store there is no floor"


def test_a_whole_is_lowered_at_once_and_raised_when_the_old_leases_are_over() -> None:
    ledger = made(WHOLE, m.SettleLimits(1))
    assert ledger.limits["p"] == (100_000, 80_000) and ledger.settled
    ledger.apply(3, m.SetLimits((("p", 40_000, 90_000),)))
    assert ledger.limits["p"] == (40_000, 80_000) and not ledger.settled
    assert not ledger.apply(4, m.SettleLimits(1)), "that was of an earlier one"
    assert ledger.apply(5, m.SettleLimits(3))
    assert ledger.limits["p"] == (40_000, 90_000) and ledger.settled


def test_a_floor_counts_at_its_largest_until_its_holder_goes_by_less() -> None:
    ledger = made(WHOLE, m.SettleLimits(1), m.OpenSession("a", 1, "s"))
    ledger.apply(4, m.SetLimits((("p", 20_000, 80_000),)))
    ledger.apply(5, m.SettleLimits(4))
    assert ledger.reserved_for_floors("p")[0] == 2500 + 3 * 500, "one of the old whole, three of the new"
    assert ledger.apply(6, m.AcknowledgeFloor(0, ledger.limits_version))
    assert ledger.reserved_for_floors("p")[0] == 4 * 500
    assert not ledger.apply(7, m.AcknowledgeFloor(0, ledger.limits_version))


def test_a_head_with_a_session_is_not_forgotten() -> None:
    ledger = made(m.OpenSession("a", 1, "s"))
    assert not ledger.apply(2, m.ForgetHead("a")) and ledger.floor_slots
    ledger.apply(3, m.CloseSession(1))
    assert ledger.apply(4, m.ForgetHead("a")) and not ledger.floor_slots
    assert not ledger.apply(5, m.ForgetHead("a"))


def test_a_snapshot_is_the_whole_of_it() -> None:
    ledger = made(
        WHOLE,
        m.SettleLimits(1),
        m.OpenSession("a", 1, "s"),
        m.AllocateQuota("p/1", 3, 5, 6),
        m.SetLimits((("p", 5, 5),)),
    )
    again = QuotaLedger(CHARTER)
    again.load(ledger.dump())
    assert again.dump() == ledger.dump() and again.reserved_for_floors("p") == ledger.reserved_for_floors("p")
    again.load(b"")
    assert not again.sessions and not again.limits


numbers = st.integers(0, 200_000)


class AnyLog(RuleBasedStateMachine):
    """Entries of any leader, sound or not, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger, self.index = QuotaLedger(CHARTER), 0

    def put(self, command: m.Command) -> None:
        self.index += 1
        before = {amount: self.ledger.allocated(amount) for amount in self.ledger.allocations}
        done = self.ledger.apply(self.index, command)
        if isinstance(command, m.AllocateQuota) and not done:
            assert before.get(command.quota_name, (0, 0)) == self.ledger.allocated(command.quota_name)

    @initialize()
    def begin(self) -> None:
        self.put(WHOLE)
        self.put(m.SettleLimits(1))

    @rule(head=st.sampled_from("abcdef"), process=st.integers(1, 9), store=st.sampled_from(["", "s", "t"]))
    def open(self, head: str, process: int, store: str) -> None:
        self.put(m.OpenSession(head, process, store and head + store))

    @rule(session=st.integers(1, 40))
    def close(self, session: int) -> None:
        self.put(m.CloseSession(session))

    @precondition(lambda self: self.ledger.sessions)
    @rule(pick=st.integers(0, 9), rate=numbers, burst=numbers, amount=st.sampled_from(["p/1", "p/2"]),
          fresh=st.booleans())  # fmt: skip
    def part(self, pick: int, rate: int, burst: int, amount: str, fresh: bool) -> None:
        sessions = list(self.ledger.sessions)
        number = sessions[pick % len(sessions)]
        stake = self.ledger.allocations.get(amount, {}).get(number)
        held = stake.version if stake is not None and fresh else 0
        self.put(m.AllocateQuota(amount, number, rate, burst, held))

    @rule(rate=numbers, burst=numbers)
    def wholes(self, rate: int, burst: int) -> None:
        self.put(m.SetLimits((("p", rate, burst),)))

    @rule()
    def settle(self) -> None:
        self.put(m.SettleLimits(self.ledger.limits_version))

    @rule(slot=st.integers(0, 3), back=st.integers(0, 3))
    def floor_at(self, slot: int, back: int) -> None:
        found = self.ledger.floor_slots.get(slot)
        if found is not None:
            self.put(
                m.AcknowledgeFloor(slot, found.limits_versions[max(-len(found.limits_versions), -1 - back)])
            )

    @rule(head=st.sampled_from("abcdef"))
    def forget(self, head: str) -> None:
        self.put(m.ForgetHead(head))

    @invariant()
    def slots_are_one_heads_each(self) -> None:
        stores = [slot.store_id for slot in self.ledger.floor_slots.values()]
        assert len(set(stores)) == len(stores) <= CHARTER.max_gateways
        for session in self.ledger.sessions.values():
            assert (
                session.floor_slot < 0
                or self.ledger.floor_slots[session.floor_slot].gateway == session.gateway
            )

    @invariant()
    def what_is_given_while_a_whole_holds_fits_it(self) -> None:
        for amount, stakes in self.ledger.allocations.items():
            assert self.ledger.allocated(amount) == (
                sum(stake.rate for stake in stakes.values()), sum(stake.burst for stake in stakes.values())
            )  # fmt: skip
            assert set(stakes) <= set(self.ledger.sessions)

    @invariant()
    def a_dump_is_the_whole(self) -> None:
        again = QuotaLedger(CHARTER)
        again.load(self.ledger.dump())
        assert again.dump() == self.ledger.dump()


AnyLog.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestAnyLog = AnyLog.TestCase

claims = st.dictionaries(
    st.integers(1, 9),
    st.builds(
        QuotaClaim, st.integers(0, 200_000), st.integers(1, 5000),
        st.tuples(st.integers(0, 100_000), st.integers(0, 50_000)), st.integers(0, 20_000),
    ),
    max_size=6,
)  # fmt: skip


@given(st.integers(0, 100_000), st.integers(0, 100_000), claims)
def test_parts_sum_to_at_most_what_there_is(rate: int, burst: int, told: dict[int, QuotaClaim]) -> None:
    parts = divide(rate, burst, told)
    assert set(parts) == set(told)
    assert sum(part[0] for part in parts.values()) <= rate
    assert sum(part[1] for part in parts.values()) <= burst
    assert all(min(part) >= 0 for part in parts.values())


def test_who_wants_little_has_it_all_and_the_rest_is_by_worth() -> None:
    parts = divide(
        90_000,
        90_000,
        {
            1: QuotaClaim(5_000, 1000, (0, 0)),
            2: QuotaClaim(200_000, 1000, (0, 0)),
            3: QuotaClaim(200_000, 3000, (0, 0)),
        },
    )
    assert parts[1][0] == 5_000
    assert abs(parts[3][0] - 3 * parts[2][0]) < 10 and parts[2][0] + parts[3][0] > 84_990


def test_a_part_too_small_for_one_request_is_nobodys() -> None:
    parts = divide(
        90_000, 10_000, {1: QuotaClaim(50_000, 2, (0, 0), 8000), 2: QuotaClaim(50_000, 1, (0, 0), 8000)}
    )
    assert parts[1][0] > 0 and parts[2] == (0, 0)


# ---- a holder's own count ----


def holder(store: str = "s", now: int = 0) -> LeaseHolder:
    made = LeaseHolder(CHARTER, "d", 7, store, HeadFloor(), now, random.Random(1))
    made.set_limits({"p": (100_000, 80_000)}, 8000)
    return made


def asked(one: LeaseHolder, now: int) -> m.LeaseRequest:
    one.tick(now, ["a"])
    (_, ask), *_ = one.take_messages()
    assert isinstance(ask, m.LeaseRequest)
    return ask


def answer(
    ask: m.LeaseRequest,
    session: int = 5,
    term: int = 1,
    floor_slot: int = -1,
    limits_version: int = 0,
    limits: tuple[tuple[str, int, int], ...] = (),
    fleet: str = "f",
) -> m.LeaseResponse:
    status = m.LeaseStatus.RENEWED
    return m.LeaseResponse(
        ask.process, ask.number, status, session, term, "a", floor_slot, limits_version, limits, fleet
    )


def test_a_lease_runs_from_when_it_was_asked_for() -> None:
    one = holder()
    ask = asked(one, 1000)
    one.receive(3_000_000, "a", answer(ask))
    assert one.lease_until == 1000 + CHARTER.lease_us
    one.receive(9_000_000, "a", answer(ask))
    assert one.lease_until == 1000 + CHARTER.lease_us, "told again, it is the same lease"


def test_an_order_for_another_process_or_session_is_nothing() -> None:
    one = holder()
    one.receive(10, "a", answer(asked(one, 0)))
    order = (m.QuotaOrder("p/1", 9, 50_000, 8000),)
    one.receive(20, "a", m.QuotaOrders(8, 5, "f", order))
    one.receive(20, "a", m.QuotaOrders(7, 4, "f", order))
    one.receive(20, "a", m.QuotaOrders(7, 5, "g", order))
    assert not one.allocations
    one.receive(20, "a", m.QuotaOrders(7, 5, "f", order))
    assert one.allocations["p/1"].rate == 50_000
    one.receive(30, "a", m.QuotaOrders(7, 5, "f", (m.QuotaOrder("p/1", 8, 90_000, 9000),)))
    assert one.allocations["p/1"].rate == 50_000, "an older one"
    one.receive(30, "a", m.QuotaOrders(7, 5, "f", (m.QuotaOrder("p/1", 9, 20_000, 9000, True),)))
    assert (one.allocations["p/1"].rate, one.allocations["p/1"].burst) == (20_000, 8000), "less, never more"
    one.receive(40, "a", m.QuotaOrders(7, 5, "f", order))
    assert one.allocations["p/1"].rate == 20_000, "told once more, it is not taken back"


def test_another_session_has_none_of_the_parts_of_the_one_before() -> None:
    one = holder()
    one.receive(10, "a", answer(asked(one, 0)))
    one.receive(20, "a", m.QuotaOrders(7, 5, "f", (m.QuotaOrder("p/1", 9, 50_000, 8000),)))
    one.take_quota_update()
    one.receive(2_000_000, "a", answer(asked(one, 1_500_000), session=6))
    told = one.take_quota_update()
    assert not one.allocations and told is not None and told.replaces_all


def test_without_a_store_it_asks_for_nothing_before_the_longest_lease_is_over() -> None:
    one = holder("", now=100)
    one.tick(CHARTER.lease_with_drift_us, ["a"])
    assert not one.take_messages()
    one.tick(100 + CHARTER.lease_with_drift_us, ["a"])
    assert one.take_messages()
    assert not one.floors()


def test_one_that_has_left_asks_no_more_and_waits_for_nothing() -> None:
    one = holder()
    one.receive(10, "a", answer(asked(one, 0)))
    one.leave(20)
    ask = asked(one, 20)
    assert ask.leaving
    one.receive(30, "a", m.LeaseResponse(7, ask.number, m.LeaseStatus.LEFT, 0, 1, "a"))
    assert one.left and one.next_at > 1 << 60, "or its process would turn without end"
    one.tick(10_000_000, ["a"])
    assert not one.take_messages()


def test_a_floor_is_the_lesser_of_the_agreed_and_its_own_file() -> None:
    one = holder()
    more = (("p", 200_000, 160_000),)
    one.receive(10, "a", answer(asked(one, 0), floor_slot=2, limits_version=3, limits=more))
    assert one.floor_changed and one.floors() == (("p", *CHARTER.floor(100_000, 80_000)),)
    one.receive(
        1_700_000, "a", answer(asked(one, 1_600_000), floor_slot=2, limits_version=2, limits=(("p", 1, 1),))
    )
    assert one.floor.limits_version == 3, "an older word of it"


def test_a_store_is_judged_by_the_latest_mark_that_is_known_of_it() -> None:
    known = KnownStore(starts=3, writes=40, process=9)
    assert may_be_latest(None, m.StoreMark("s", 1, 1, 0, 5))
    assert may_be_latest(known, m.StoreMark("s", 3, 41, 30, 9)), "the same process goes on"
    assert may_be_latest(known, m.StoreMark("s", 4, 42, 41, 10)), "the next one, from a save as late"
    assert not may_be_latest(known, m.StoreMark("s", 4, 42, 39, 10)), "from an older copy"
    assert not may_be_latest(known, m.StoreMark("s", 3, 50, 45, 10)), "two of one life"
    one = StoreFence({}, 0)
    assert not one.may_vote(2)
    one.receive_verdict("a", m.StoreMarkVerdict("s", 1, True))
    assert not one.may_vote(2), "of two others both are needed: more than half"
    one.receive_verdict("b", m.StoreMarkVerdict("s", 1, True))
    assert one.may_vote(2)
    one.receive_verdict("a", m.StoreMarkVerdict("s", 1, False))
    assert one.stale and not one.may_vote(2)
