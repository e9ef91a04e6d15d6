"""The ledger: no log can make allocations and floors exceed a limit."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from gaugesail.coordination import messages as m
from gaugesail.coordination.fleet_terms import FleetTerms
from gaugesail.coordination.quota_ledger import QuotaLedger

TERMS = FleetTerms("f", ("a", "b", "c"), max_gateways=4)


def ledger_of(*commands: m.Command) -> QuotaLedger:
    ledger = QuotaLedger(TERMS)
    for index, command in enumerate(commands, 1):
        ledger.apply(index, command)
    return ledger


LIMITS = m.SetLimits((("p", 100_000, 80_000),))


def test_an_allocation_beyond_the_limit_less_all_floors_changes_nothing() -> None:
    ledger = ledger_of(LIMITS, m.SettleLimits(1), m.OpenSession("a", 1, "s"), m.OpenSession("b", 2, "t"))
    assert ledger.leasable("p") == (90_000, 40_000), "a tenth of the rate and half of the burst are floors"
    assert ledger.apply(5, m.AllocateQuota("p/1", 3, 90_000, 40_000))
    assert not ledger.apply(6, m.AllocateQuota("p/1", 4, 1, 0))
    assert not ledger.apply(7, m.AllocateQuota("p/1", 4, 0, 1))
    assert ledger.apply(8, m.AllocateQuota("p/2", 4, 90_000, 40_000)), "each volume has a limit of its own"


def test_an_allocation_names_the_entry_that_it_replaces() -> None:
    ledger = ledger_of(
        LIMITS, m.SettleLimits(1), m.OpenSession("a", 1, "s"), m.AllocateQuota("p/1", 3, 50_000, 1000)
    )
    assert not ledger.apply(5, m.AllocateQuota("p/1", 3, 60_000, 1000)), (
        "the session already has an allocation to replace"
    )
    assert ledger.apply(6, m.AllocateQuota("p/1", 3, 60_000, 1000, 4))
    assert not ledger.apply(7, m.AllocateQuota("p/1", 3, 70_000, 1000, 4)), (
        "the replaced allocation is no longer the current one"
    )
    assert ledger.allocated("p/1") == (60_000, 1000)


def test_closing_a_session_frees_its_allocations_and_keeps_its_floor() -> None:
    ledger = ledger_of(
        LIMITS,
        m.SettleLimits(1),
        m.OpenSession("a", 1, "s"),
        m.AllocateQuota("p/1", 3, 90_000, 1000),
        m.CloseSession(3),
    )
    assert ledger.allocated("p/1") == (0, 0) and not ledger.sessions
    assert not ledger.apply(6, m.AllocateQuota("p/1", 3, 1, 1)), "its session is closed"
    assert not ledger.apply(7, m.CloseSession(3))
    assert ledger.floor_slots[0].store_id == "s"
    ledger.apply(8, m.OpenSession("a", 9, "s"))
    ledger.apply(9, m.OpenSession("b", 10, "s2"))
    assert [ledger.sessions[8].floor_slot, ledger.sessions[9].floor_slot] == [0, 1], (
        "a store keeps its own slot"
    )


def test_a_process_has_one_session_and_there_are_no_more_floors_than_slots() -> None:
    ledger = ledger_of(
        *(m.OpenSession(f"h{n}", n, f"s{n}") for n in range(1, 7)), m.OpenSession("h1", 1, "s1")
    )
    assert [item.floor_slot for item in ledger.sessions.values()] == [0, 1, 2, 3, -1, -1]
    ledger = ledger_of(m.OpenSession("h", 1, ""))
    assert ledger.sessions[1].floor_slot == -1, "without a store there is no floor"


def test_a_limit_is_lowered_at_once_and_raised_once_it_is_settled() -> None:
    ledger = ledger_of(LIMITS, m.SettleLimits(1))
    assert ledger.limits["p"] == (100_000, 80_000) and ledger.settled
    ledger.apply(3, m.SetLimits((("p", 40_000, 90_000),)))
    assert ledger.limits["p"] == (40_000, 80_000) and not ledger.settled
    assert not ledger.apply(4, m.SettleLimits(1)), "limits have changed since that version"
    assert ledger.apply(5, m.SettleLimits(3))
    assert ledger.limits["p"] == (40_000, 90_000) and ledger.settled


def test_a_floor_counts_at_its_largest_until_its_holder_goes_by_less() -> None:
    ledger = ledger_of(LIMITS, m.SettleLimits(1), m.OpenSession("a", 1, "s"))
    ledger.apply(4, m.SetLimits((("p", 20_000, 80_000),)))
    ledger.apply(5, m.SettleLimits(4))
    assert ledger.reserved_for_floors("p")[0] == 2500 + 3 * 500, (
        "one floor by the old limit, three by the new one"
    )
    assert ledger.apply(6, m.AcknowledgeFloor(0, ledger.limits_version))
    assert ledger.reserved_for_floors("p")[0] == 4 * 500
    assert not ledger.apply(7, m.AcknowledgeFloor(0, ledger.limits_version))


def test_a_gateway_with_a_session_is_not_forgotten() -> None:
    ledger = ledger_of(m.OpenSession("a", 1, "s"))
    assert not ledger.apply(2, m.ForgetGateway("a")) and ledger.floor_slots
    ledger.apply(3, m.CloseSession(1))
    assert ledger.apply(4, m.ForgetGateway("a")) and not ledger.floor_slots
    assert not ledger.apply(5, m.ForgetGateway("a"))


def test_a_snapshot_holds_the_complete_ledger() -> None:
    ledger = ledger_of(
        LIMITS,
        m.SettleLimits(1),
        m.OpenSession("a", 1, "s"),
        m.AllocateQuota("p/1", 3, 5, 6),
        m.SetLimits((("p", 5, 5),)),
    )
    copy = QuotaLedger(TERMS)
    copy.load(ledger.dump())
    assert copy.dump() == ledger.dump() and copy.reserved_for_floors("p") == ledger.reserved_for_floors("p")
    copy.load(b"")
    assert not copy.sessions and not copy.limits


numbers = st.integers(0, 200_000)


class AnyLog(RuleBasedStateMachine):
    """Arbitrary entries in any order, as correct and faulty leaders might propose them."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger, self.index = QuotaLedger(TERMS), 0

    def apply(self, command: m.Command) -> None:
        self.index += 1
        before = {quota_name: self.ledger.allocated(quota_name) for quota_name in self.ledger.allocations}
        done = self.ledger.apply(self.index, command)
        if isinstance(command, m.AllocateQuota) and not done:
            assert before.get(command.quota_name, (0, 0)) == self.ledger.allocated(command.quota_name)

    @initialize()
    def begin(self) -> None:
        self.apply(LIMITS)
        self.apply(m.SettleLimits(1))

    @rule(gateway=st.sampled_from("abcdef"), process=st.integers(1, 9), store=st.sampled_from(["", "s", "t"]))
    def open(self, gateway: str, process: int, store: str) -> None:
        self.apply(m.OpenSession(gateway, process, store and gateway + store))

    @rule(session=st.integers(1, 40))
    def close(self, session: int) -> None:
        self.apply(m.CloseSession(session))

    @precondition(lambda self: self.ledger.sessions)
    @rule(
        pick=st.integers(0, 9),
        rate=numbers,
        burst=numbers,
        quota_name=st.sampled_from(["p/1", "p/2"]),
        current=st.booleans(),
    )
    def allocate(self, pick: int, rate: int, burst: int, quota_name: str, current: bool) -> None:
        sessions = list(self.ledger.sessions)
        number = sessions[pick % len(sessions)]
        allocation = self.ledger.allocations.get(quota_name, {}).get(number)
        replaced_version = allocation.version if allocation is not None and current else 0
        self.apply(m.AllocateQuota(quota_name, number, rate, burst, replaced_version))

    @rule(rate=numbers, burst=numbers)
    def set_limits(self, rate: int, burst: int) -> None:
        self.apply(m.SetLimits((("p", rate, burst),)))

    @rule()
    def settle(self) -> None:
        self.apply(m.SettleLimits(self.ledger.limits_version))

    @rule(slot=st.integers(0, 3), age=st.integers(0, 3))
    def acknowledge_floor(self, slot: int, age: int) -> None:
        floor_slot = self.ledger.floor_slots.get(slot)
        if floor_slot is not None:
            self.apply(
                m.AcknowledgeFloor(
                    slot, floor_slot.limits_versions[max(-len(floor_slot.limits_versions), -1 - age)]
                )
            )

    @rule(gateway=st.sampled_from("abcdef"))
    def forget(self, gateway: str) -> None:
        self.apply(m.ForgetGateway(gateway))

    @invariant()
    def a_slot_belongs_to_one_store(self) -> None:
        stores = [slot.store_id for slot in self.ledger.floor_slots.values()]
        assert len(set(stores)) == len(stores) <= TERMS.max_gateways
        for session in self.ledger.sessions.values():
            assert (
                session.floor_slot < 0
                or self.ledger.floor_slots[session.floor_slot].gateway == session.gateway
            )

    @invariant()
    def sums_are_those_of_the_allocations_of_open_sessions(self) -> None:
        for quota_name, allocations in self.ledger.allocations.items():
            rate = sum(allocation.rate for allocation in allocations.values())
            burst = sum(allocation.burst for allocation in allocations.values())
            assert self.ledger.allocated(quota_name) == (rate, burst)
            assert set(allocations) <= set(self.ledger.sessions)

    @invariant()
    def a_snapshot_holds_the_complete_ledger(self) -> None:
        copy = QuotaLedger(TERMS)
        copy.load(self.ledger.dump())
        assert copy.dump() == self.ledger.dump()


AnyLog.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestAnyLog = AnyLog.TestCase
