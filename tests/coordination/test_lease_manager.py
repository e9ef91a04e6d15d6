"""The leader's leases: renewals, grants, and that all holders together never exceed the limit."""

from __future__ import annotations

import random
from typing import Any

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from gaugesail.coordination import messages as m
from gaugesail.coordination.consensus import RaftNode
from gaugesail.coordination.demand_tracker import QuotaUsage
from gaugesail.coordination.fleet_terms import FleetTerms
from gaugesail.coordination.gateway_floor import PersistedFloor
from gaugesail.coordination.lease_holder import LeaseHolder
from gaugesail.coordination.lease_manager import LeaseManager
from gaugesail.coordination.quota_allocator import RELEASE_TIMEOUT_US
from gaugesail.coordination.quota_ledger import QuotaLedger
from gaugesail.coordination.raft_log import RaftLog, Snapshot
from gaugesail.measure.planted import inject_fault

SECOND = 1_000_000
TERMS = FleetTerms("f", ("a",), max_gateways=2)


class Leader:
    """The only replica of a log, which leads, with its lease manager."""

    def __init__(self) -> None:
        self.now = 100 * SECOND
        self.raft = RaftNode(
            "a#1", random.Random(1), self.now, log=RaftLog(Snapshot(0, 0, ("a#1",))), may_vote=True
        )
        self.raft.tick(self.now + 9 * SECOND)
        self.ledger = QuotaLedger(TERMS)
        self.pump()
        self.manager = LeaseManager(TERMS, "d", "f", self.ledger, self.raft, self.now, False)
        self.number = 0

    def pump(self) -> None:
        manager: Any = getattr(self, "manager", None)
        for _ in range(6):
            self.raft.flush(self.now)
            for index, command in self.raft.log.drain_committed():
                done = self.ledger.apply(index, command)
                if manager is not None:
                    manager.entry_applied(self.now, command, done)
            if manager is not None:
                manager.tick(self.now)
            self.now += 30_000

    def request(self, process: int, session: int = 0, **overrides: Any) -> list[Any]:
        self.number += 1
        fields: dict[str, Any] = {
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
        } | overrides
        self.manager.request(self.now, f"h{process}", m.LeaseRequest(process, self.number, session, **fields))
        self.pump()
        return [message for _, message in self.manager.drain_messages()]


def demand(rate: int) -> tuple[m.QuotaDemand, ...]:
    return (m.QuotaDemand("p/1", rate, 1000, rate),)


def test_a_session_is_opened_and_its_quota_granted_once_committed() -> None:
    leader = Leader()
    (response,) = leader.request(1)
    assert response.status is m.LeaseStatus.RENEWED and response.session in leader.ledger.sessions
    leader.now += 10 * SECOND  # the limits are settled
    messages = leader.request(1, response.session, demands=demand(50_000))
    orders = [one for one in messages if isinstance(one, m.QuotaOrders)]
    allocation = leader.ledger.allocations["p/1"][response.session]
    assert orders and orders[-1].orders[0].version == allocation.version and allocation.rate >= 50_000


def test_quota_is_released_by_one_holder_before_another_gets_it() -> None:
    leader = Leader()
    one, two = (leader.request(n)[0].session for n in (1, 2))
    leader.now += SECOND
    leader.request(1, one), leader.request(2, two)
    leader.now += 3_200_000
    leader.request(1, one), leader.request(2, two)
    leader.request(1, one, demands=demand(200_000))
    had = leader.ledger.allocations["p/1"][one]
    assert had.rate > 80_000
    messages = leader.request(2, two, demands=demand(200_000))
    lower = [
        order
        for message in messages
        if isinstance(message, m.QuotaOrders)
        for order in message.orders
        if order.release
    ]
    assert lower and leader.ledger.allocations["p/1"][one].rate == had.rate, (
        "the release is requested, and not committed yet"
    )
    leader.request(
        1, one, demands=demand(200_000), held=(m.HeldQuota("p/1", had.version, 45_000, lower[0].burst),)
    )
    assert leader.ledger.allocations["p/1"][one].rate <= 45_000
    assert leader.ledger.allocations["p/1"][two].rate >= 40_000
    assert leader.ledger.allocated("p/1")[0] <= 90_000


def test_a_session_is_closed_once_its_lease_has_certainly_expired_and_not_renewed_then() -> None:
    leader = Leader()
    asked_at = leader.now
    session = leader.request(1)[0].session
    until = leader.manager.leases[session].expires_at
    assert until >= asked_at + TERMS.lease_with_drift_us > asked_at + TERMS.lease_us  # its clock may be slow
    leader.now = until
    leader.manager.tick(leader.now)
    assert not leader.manager.leases[session].closing
    leader.now = until + 1
    leader.manager.tick(leader.now)
    assert leader.manager.leases[session].closing
    assert not [
        one for one in leader.request(1, session) if getattr(one, "status", None) is m.LeaseStatus.RENEWED
    ]
    assert session not in leader.ledger.sessions
    assert leader.request(1, session)[0].status is m.LeaseStatus.UNKNOWN_SESSION


def test_terms_that_differ_a_log_that_lost_entries_and_a_holder_that_leaves() -> None:
    leader = Leader()
    assert leader.request(1, terms_digest="other")[0].status is m.LeaseStatus.TERMS_DIFFER
    session = leader.request(1)[0].session
    assert leader.request(1, session, last_seen_index=10_000)[0].status is m.LeaseStatus.UNKNOWN_SESSION
    assert leader.request(1, session, leaving=True)[0].status is m.LeaseStatus.LEFT
    assert session not in leader.ledger.sessions
    assert leader.request(1, session)[0].status is m.LeaseStatus.UNKNOWN_SESSION


def test_a_holder_that_does_not_release_what_a_lowered_limit_forbids_is_not_renewed() -> None:
    leader = Leader()
    session = leader.request(1)[0].session
    for _ in range(5):
        leader.now += SECOND
        leader.request(1, session, demands=demand(200_000))
    less = (("p", 20_000, 80_000),)
    leader.request(1, session, demands=demand(200_000), limits=less)
    leader.now += RELEASE_TIMEOUT_US
    leader.request(1, session, demands=demand(200_000), limits=less)
    leader.now += 1000
    messages = leader.request(1, session, demands=demand(200_000), limits=less)
    assert not [one for one in messages if getattr(one, "status", None) is m.LeaseStatus.RENEWED]


def test_a_manager_that_renews_sessions_being_closed_is_detected() -> None:
    with inject_fault("closing_renewed"):
        leader = Leader()
        session = leader.request(1)[0].session
        lease = leader.manager.leases[session]
        lease.unanswered_request = m.LeaseRequest(1, 9, session, "d", "s1", (), -1, 0, 1, "f", 0)
        lease.confirmation_round, lease.closing = 0, True
        leader.manager.tick(leader.now)
        assert [one for _, one in leader.manager.drain_messages() if isinstance(one, m.LeaseResponse)]


class Leases(RuleBasedStateMachine):
    """Two holders and a leader; messages are delayed, duplicated, reordered or lost, and time passes."""

    @initialize()
    def begin(self) -> None:
        self.leader = Leader()
        self.in_flight: list[tuple[int, Any]] = []  # receiver and message; a holder, or 0 for the leader
        self.holders = {
            n: LeaseHolder(TERMS, "d", n, f"s{n}", PersistedFloor(), self.leader.now, random.Random(n))
            for n in (1, 2)
        }
        for one in self.holders.values():
            one.set_limits({"p": (100_000, 80_000)}, 4000)

    def send(self) -> None:
        for n, one in self.holders.items():
            self.in_flight += [(0, (n, message)) for _, message in one.drain_messages()]
        for to, message in self.leader.manager.drain_messages():
            self.in_flight.append((int(to[1:]), message))

    @rule(n=st.sampled_from([1, 2]), rate=st.sampled_from([0, 20, 60, 200]))
    def report_demand(self, n: int, rate: int) -> None:
        one, now = self.holders[n], self.leader.now
        usage = QuotaUsage(rate / 10, rate / 10, 0.0, 1000)
        one.record_demand(now, {"p/1": usage} if rate else {})
        one.tick(now, ["a"])
        self.send()

    @precondition(lambda self: self.in_flight)
    @rule(pick=st.integers(0, 99), twice=st.booleans())
    def deliver(self, pick: int, twice: bool) -> None:
        index = pick % len(self.in_flight)
        to, message = self.in_flight[index]
        if not twice:
            del self.in_flight[index]
        if to:
            self.holders[to].receive(self.leader.now, "a", message)
        else:
            self.leader.manager.request(self.leader.now, f"h{message[0]}", message[1])
            self.leader.pump()
        self.send()

    @rule(span=st.sampled_from([50_000, 300_000, 1_000_000, 4_100_000]))
    def pass_time(self, span: int) -> None:
        self.leader.now += span
        for one in self.holders.values():
            one.tick(self.leader.now, ["a"])
        self.leader.pump()
        self.send()

    @invariant()
    def what_may_be_spent_fits_the_limit(self) -> None:
        now = self.leader.now
        parts = [
            one.allocations["p/1"]
            for one in self.holders.values()
            if now < one.lease_until and "p/1" in one.allocations
        ]
        floors = TERMS.floor(100_000, 80_000)
        assert sum(part.rate for part in parts) + 2 * floors[0] <= 100_000
        assert sum(part.burst for part in parts) + 2 * floors[1] <= 80_000


Leases.TestCase.settings = hypothesis_settings(max_examples=60, stateful_step_count=40)
TestLeases = Leases.TestCase
