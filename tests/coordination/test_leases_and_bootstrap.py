"""A gateway's store, a leader's office and a fleet's founding, by examples."""

from __future__ import annotations

import random
from typing import Any

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from gaugesail.coordination import messages as m
from gaugesail.coordination.bootstrap import Bootstrap, BootstrapRecord
from gaugesail.coordination.consensus import RaftNode
from gaugesail.coordination.demand_tracker import QuotaUsage
from gaugesail.coordination.fleet_terms import FleetTerms
from gaugesail.coordination.gateway_floor import HeadFloor
from gaugesail.coordination.lease_holder import LeaseHolder
from gaugesail.coordination.lease_manager import LeaseManager
from gaugesail.coordination.quota_allocator import RELEASE_TIMEOUT_US
from gaugesail.coordination.quota_ledger import QuotaLedger
from gaugesail.coordination.raft_log import RaftLog, Snapshot
from gaugesail.coordination.replica_id import make_replica_id, name_of, store_id_of
from gaugesail.measure.planted import planted
from gaugesail.policy.events import QuotaChanged
from gaugesail.policy.rate_limits import FLOOR_HOLD_US, RateLimits
from gaugesail.policy.settings import Plan, RequestClass, Settings
from gaugesail.policy.token_bucket import TokenBucket

SECOND = 1_000_000
PLAN = Plan("p", 100.0, limit=100.0, limit_burst=80.0)


def amounts(fleet: bool = True) -> tuple[RateLimits, TokenBucket]:
    settings = Settings(classes=(RequestClass("r", 1, 2),), plans=(PLAN,), fleet_quota=fleet)
    made = RateLimits(settings, 0)
    return made, made.open_bucket(0, PLAN, 1, 5.0)


# ---- a gateway's store ----


def test_a_store_begins_empty_and_fills_at_its_part_until_the_lease_is_over() -> None:
    made, store = amounts()
    made.update_quota(0, QuotaChanged(2 * SECOND, (("p", 1, 50.0, 40.0),), (("p", 2.0, 8.0),)))
    made.refill(SECOND // 2, store, 5.0, 1)
    assert store.units == 26.0
    made.refill(10 * SECOND, store, 5.0, 1)
    assert store.units == 8.0, "of what the part had saved up only the floor's burst is left"


def test_what_grows_grows_empty_and_what_shrinks_loses_the_rest() -> None:
    made, store = amounts()
    made.update_quota(0, QuotaChanged(9 * SECOND, (("p", 1, 50.0, 40.0),), ()))
    made.update_quota(2 * SECOND, QuotaChanged(9 * SECOND, (("p", 1, 90.0, 70.0),)))
    assert store.units == 40.0
    made.update_quota(2 * SECOND, QuotaChanged(9 * SECOND, (("p", 1, 10.0, 5.0),)))
    assert store.units == 5.0
    made.update_quota(2 * SECOND, QuotaChanged(9 * SECOND, replaces_all=True))
    assert store.units == 0.0 and made.allowance(3 * SECOND, "p", 1) == (0.0, 0.0)


def test_a_first_send_is_tied_to_the_lease_that_it_rests_on() -> None:
    made, store = amounts()
    assert made.spend(0, store, 1.0) == FLOOR_HOLD_US, (
        "a floor needs no lease; it is begun soon or not at all"
    )
    made.update_quota(0, QuotaChanged(7 * SECOND, (("p", 1, 50.0, 40.0),)))
    assert made.spend(SECOND, store, 1.0) == 7 * SECOND
    assert made.spend(8 * SECOND, store, 1.0) == 8 * SECOND + FLOOR_HOLD_US
    alone, its = amounts(fleet=False)
    assert alone.spend(0, its, 1.0) == 0


def test_its_own_file_bounds_what_the_fleet_says() -> None:
    made, store = amounts()
    made.update_quota(0, QuotaChanged(9 * SECOND, (("p", 1, 500.0, 400.0),)))
    made.refill(SECOND // 2, store, 5.0, 1)
    assert store.units == 50.0


def test_what_was_asked_for_is_told_once() -> None:
    made, store = amounts()
    made.record_demand(0, store, 1, 3.0)
    made.spend(0, store, 2.0)
    assert made.take_demand(0) == [("p", 1, 3.0, 2.0, 0.0)] and made.take_demand(0) == []


spans = st.lists(
    st.tuples(st.integers(0, 3 * SECOND), st.floats(0, 100), st.floats(0, 80), st.integers(0, 4 * SECOND),
              st.floats(0, 20)),
    max_size=20,
)  # fmt: skip


@given(spans)
def test_no_more_is_spent_than_its_rights_allowed(told: list[tuple[int, float, float, int, float]]) -> None:
    """Against a plain reckoning: what comes in is at most rate times time while the lease runs."""
    made, store = amounts()
    now = until = 0
    rate = came = spent = 0.0
    for span, new_rate, burst, lease, units in told:
        came += rate * max(0, min(now + span, until) - now) / SECOND
        now += span
        made.refill(now, store, 5.0, 1)
        if store.units >= units:
            made.spend(now, store, units)
            spent += units
        made.update_quota(now, QuotaChanged(now + lease, (("p", 1, new_rate, burst),)))
        rate, until = new_rate, now + lease
    assert spent <= came + 1e-6


# ---- the office ----

CHARTER = FleetTerms("f", ("a",), max_gateways=2)


class Leader:
    """A keeper alone that leads, and its office."""

    def __init__(self) -> None:
        self.now = 100 * SECOND
        self.raft = RaftNode(
            "a#1", random.Random(1), self.now, log=RaftLog(Snapshot(0, 0, ("a#1",))), may_vote=True
        )
        self.raft.tick(self.now + 9 * SECOND)
        self.ledger = QuotaLedger(CHARTER)
        self.pump()
        self.office = LeaseManager(CHARTER, "d", "f", self.ledger, self.raft, self.now, False)
        self.number = 0

    def pump(self) -> None:
        office: Any = getattr(self, "office", None)
        for _ in range(6):
            self.raft.flush(self.now)
            for index, command in self.raft.log.take_committed():
                done = self.ledger.apply(index, command)
                if office is not None:
                    office.entry_applied(self.now, index, command, done)
            if office is not None:
                office.tick(self.now)
            self.now += 30_000

    def ask(self, process: int, session: int = 0, **more: Any) -> list[Any]:
        self.number += 1
        given: dict[str, Any] = {
            "terms_digest": "d",
            "store_id": f"s{process}",
            "limits": (("p", 100_000, 80_000),),
            "floor_slot": -1,
            "floor_version": 0,
            "max_request": 4000,
            "fleet": "f",
            "last_seen_index": 0,
            "demands": (),
            "held": (),
        } | more
        self.office.request(self.now, f"h{process}", m.LeaseRequest(process, self.number, session, **given))
        self.pump()
        return [said for _, said in self.office.take_messages()]


def want(rate: int) -> tuple[m.QuotaDemand, ...]:
    return (m.QuotaDemand("p/1", rate, 1000, rate),)


def test_a_session_is_opened_and_its_part_granted_once_it_is_written() -> None:
    leader = Leader()
    (answer,) = leader.ask(1)
    assert answer.status is m.LeaseStatus.RENEWED and answer.session in leader.ledger.sessions
    leader.now += 10 * SECOND  # the whole is settled
    said = leader.ask(1, answer.session, demands=want(50_000))
    orders = [one for one in said if isinstance(one, m.QuotaOrders)]
    stake = leader.ledger.allocations["p/1"][answer.session]
    assert orders and orders[-1].orders[0].version == stake.version and stake.rate >= 50_000


def test_less_is_asked_for_and_more_given_only_when_it_was_given_up() -> None:
    leader = Leader()
    one, two = (leader.ask(n)[0].session for n in (1, 2))
    leader.now += SECOND
    leader.ask(1, one), leader.ask(2, two)
    leader.now += 3_200_000
    leader.ask(1, one), leader.ask(2, two)
    leader.ask(1, one, demands=want(200_000))
    had = leader.ledger.allocations["p/1"][one]
    assert had.rate > 80_000
    said = leader.ask(2, two, demands=want(200_000))
    lower = [
        order for told in said if isinstance(told, m.QuotaOrders) for order in told.orders if order.release
    ]
    assert lower and leader.ledger.allocations["p/1"][one].rate == had.rate, "asked, and not written down yet"
    leader.ask(1, one, demands=want(200_000), held=(m.HeldQuota("p/1", had.version, 45_000, lower[0].burst),))
    assert leader.ledger.allocations["p/1"][one].rate <= 45_000
    assert leader.ledger.allocations["p/1"][two].rate >= 40_000
    assert leader.ledger.allocated("p/1")[0] <= 90_000


def test_a_lease_that_ran_out_is_closed_after_it_has_surely_run_out_and_not_renewed_then() -> None:
    leader = Leader()
    asked_at = leader.now
    session = leader.ask(1)[0].session
    until = leader.office.leases[session].expires_at
    assert (
        until >= asked_at + CHARTER.lease_with_drift_us > asked_at + CHARTER.lease_us
    )  # its clock may be slow
    leader.now = until
    leader.office.tick(leader.now)
    assert not leader.office.leases[session].closing
    leader.now = until + 1
    leader.office.tick(leader.now)
    assert leader.office.leases[session].closing
    assert not [
        one for one in leader.ask(1, session) if getattr(one, "status", None) is m.LeaseStatus.RENEWED
    ]
    assert session not in leader.ledger.sessions
    assert leader.ask(1, session)[0].status is m.LeaseStatus.UNKNOWN_SESSION


def test_a_file_that_differs_a_log_that_is_short_and_an_end_in_order() -> None:
    leader = Leader()
    assert leader.ask(1, terms_digest="other")[0].status is m.LeaseStatus.TERMS_DIFFER
    session = leader.ask(1)[0].session
    assert leader.ask(1, session, last_seen_index=10_000)[0].status is m.LeaseStatus.UNKNOWN_SESSION
    assert leader.ask(1, session, leaving=True)[0].status is m.LeaseStatus.LEFT
    assert session not in leader.ledger.sessions
    assert leader.ask(1, session)[0].status is m.LeaseStatus.UNKNOWN_SESSION


def test_who_keeps_what_a_lowered_whole_has_no_room_for_is_renewed_no_more() -> None:
    leader = Leader()
    session = leader.ask(1)[0].session
    for _ in range(5):
        leader.now += SECOND
        leader.ask(1, session, demands=want(200_000))
    less = (("p", 20_000, 80_000),)
    leader.ask(1, session, demands=want(200_000), limits=less)
    leader.now += RELEASE_TIMEOUT_US
    leader.ask(1, session, demands=want(200_000), limits=less)
    leader.now += 1000
    said = leader.ask(1, session, demands=want(200_000), limits=less)
    assert not [one for one in said if getattr(one, "status", None) is m.LeaseStatus.RENEWED]


def test_an_office_whose_guards_are_away_is_found() -> None:
    with planted("closing_renewed"):
        leader = Leader()
        session = leader.ask(1)[0].session
        lease = leader.office.leases[session]
        lease.unanswered_request = m.LeaseRequest(1, 9, session, "d", "s1", (), -1, 0, 1, "f", 0)
        lease.confirmation_round, lease.closing = 0, True
        leader.office.tick(leader.now)
        assert [one for _, one in leader.office.take_messages() if isinstance(one, m.LeaseResponse)]


# ---- founding ----


def founders(names: tuple[str, ...] = ("a", "b", "c")) -> dict[str, Bootstrap]:
    return {name: Bootstrap(name, f"s-{name}", names, "d", BootstrapRecord()) for name in names}


def talk(all_: dict[str, Bootstrap], now: int, deaf: str = "") -> None:
    said = [(name, to, what) for name, one in all_.items()
            for to, what in one.tick(now, bool(one.record.fleet_id))]  # fmt: skip
    while said:
        sender, to, what = said.pop(0)
        if to in all_ and deaf not in (sender, to):
            assert isinstance(what, m.BootstrapStatus | m.BootstrapBind)
            said += [(to, *answer) for answer in all_[to].receive(sender, what)]


def test_a_fleet_is_founded_once_all_keepers_are_there() -> None:
    all_ = founders()
    for n in range(4):
        talk(all_, n * SECOND, deaf="c")
    assert not any(one.record.fleet_id for one in all_.values())
    for n in range(4, 8):
        talk(all_, n * SECOND)
    assert len({one.record.fleet_id for one in all_.values()}) == 1 and all_["a"].record.fleet_id
    assert all_["c"].record.voters == tuple(sorted(make_replica_id(name, f"s-{name}") for name in "abc"))
    assert (name_of("x#y#z"), store_id_of("x#y#z")) == ("x#y", "z")


def test_who_is_bound_to_one_founder_is_bound_to_no_other() -> None:
    all_ = founders()
    b = all_["b"]
    b.receive("a", m.BootstrapBind("d", "s-a"))
    b.receive("a", m.BootstrapBind("d", "another store under that name"))
    assert b.record.bound_to == "s-a" and b.unsaved
    b.receive("c", m.BootstrapBind("d", "s-c"))
    assert b.record.bound_to == "s-a", "only the first of the names founds"
    told = m.BootstrapStatus(
        "d", "s-a", "fleet", (make_replica_id("a", "x"), make_replica_id("b", "s-b")), "x"
    )
    b.receive("a", told)
    assert not b.record.fleet_id, "that fleet was founded by another store"


def test_strangers_are_told_and_a_fresh_store_asks_for_a_seat() -> None:
    all_ = founders()
    for n in range(6):
        talk(all_, n * SECOND)
    a = all_["a"]
    a.receive("b", m.BootstrapStatus("other file", "s-b", "", (), ""))
    assert "differs" in a.conflicts["b"]
    a.receive("b", m.BootstrapStatus("d", "s-b", "another", (), ""))
    assert "another fleet" in a.conflicts["b"]
    fresh = Bootstrap("c", "fresh", ("a", "b", "c"), "d", BootstrapRecord())
    for to, said in fresh.tick(9 * SECOND, False):
        assert isinstance(said, m.BootstrapStatus | m.BootstrapBind)
        for back, answer in all_[to].receive("c", said):
            assert back == "c" and isinstance(answer, m.BootstrapStatus | m.BootstrapBind)
            fresh.receive(to, answer)
    assert fresh.record.fleet_id == a.record.fleet_id and a.take_applicants()["c"] == "fresh"


class Leases(RuleBasedStateMachine):
    """Two holders and a leader; what is said comes late, twice, in any order or never, and time passes."""

    @initialize()
    def begin(self) -> None:
        self.leader = Leader()
        self.air: list[tuple[int, Any]] = []  # for which holder, 0: the leader
        self.holders = {
            n: LeaseHolder(CHARTER, "d", n, f"s{n}", HeadFloor(), self.leader.now, random.Random(n))
            for n in (1, 2)
        }
        for one in self.holders.values():
            one.set_limits({"p": (100_000, 80_000)}, 4000)

    def say(self) -> None:
        for n, one in self.holders.items():
            self.air += [(0, (n, said)) for _, said in one.take_messages()]
        for to, said in self.leader.office.take_messages():
            self.air.append((int(to[1:]), said))

    @rule(n=st.sampled_from([1, 2]), rate=st.sampled_from([0, 20, 60, 200]))
    def want(self, n: int, rate: int) -> None:
        one, now = self.holders[n], self.leader.now
        usage = QuotaUsage(rate / 10, rate / 10, 0.0, 1000)
        one.record_demand(now, {"p/1": usage} if rate else {})
        one.tick(now, ["a"])
        self.say()

    @precondition(lambda self: self.air)
    @rule(pick=st.integers(0, 99), again=st.booleans())
    def hear(self, pick: int, again: bool) -> None:
        place = pick % len(self.air)
        to, said = self.air[place]
        if not again:
            del self.air[place]
        if to:
            self.holders[to].receive(self.leader.now, "a", said)
        else:
            self.leader.office.request(self.leader.now, f"h{said[0]}", said[1])
            self.leader.pump()
        self.say()

    @rule(span=st.sampled_from([50_000, 300_000, 1_000_000, 4_100_000]))
    def pass_time(self, span: int) -> None:
        self.leader.now += span
        for one in self.holders.values():
            one.tick(self.leader.now, ["a"])
        self.leader.pump()
        self.say()

    @invariant()
    def rights_fit_the_whole(self) -> None:
        now = self.leader.now
        parts = [
            one.allocations["p/1"]
            for one in self.holders.values()
            if now < one.lease_until and "p/1" in one.allocations
        ]
        floors = CHARTER.floor(100_000, 80_000)
        assert sum(part.rate for part in parts) + 2 * floors[0] <= 100_000
        assert sum(part.burst for part in parts) + 2 * floors[1] <= 80_000


Leases.TestCase.settings = hypothesis_settings(max_examples=60, stateful_step_count=40)
TestLeases = Leases.TestCase
