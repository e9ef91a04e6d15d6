"""The holder of a lease: it spends only what its session has, and only while its own clock says so."""

from __future__ import annotations

import random

from gaugesail.coordination import messages as m
from gaugesail.coordination.fleet_terms import FleetTerms
from gaugesail.coordination.gateway_floor import PersistedFloor
from gaugesail.coordination.lease_holder import LeaseHolder

TERMS = FleetTerms("f", ("a", "b", "c"), max_gateways=4)


def holder(store: str = "s", now: int = 0) -> LeaseHolder:
    made = LeaseHolder(TERMS, "d", 7, store, PersistedFloor(), now, random.Random(1))
    made.set_limits({"p": (100_000, 80_000)}, 8000)
    return made


def asked(one: LeaseHolder, now: int) -> m.LeaseRequest:
    one.tick(now, ["a"])
    (_, ask), *_ = one.drain_messages()
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


def test_a_lease_counts_from_when_it_was_requested() -> None:
    one = holder()
    ask = asked(one, 1000)
    one.receive(3_000_000, "a", answer(ask))
    assert one.lease_until == 1000 + TERMS.lease_us
    one.receive(9_000_000, "a", answer(ask))
    assert one.lease_until == 1000 + TERMS.lease_us, "a response that comes twice extends nothing"


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
    assert one.allocations["p/1"].rate == 20_000, (
        "an order that comes twice does not give back what was released"
    )


def test_a_session_has_none_of_the_allocations_of_the_one_before() -> None:
    one = holder()
    one.receive(10, "a", answer(asked(one, 0)))
    one.receive(20, "a", m.QuotaOrders(7, 5, "f", (m.QuotaOrder("p/1", 9, 50_000, 8000),)))
    one.pop_quota_update()
    one.receive(2_000_000, "a", answer(asked(one, 1_500_000), session=6))
    told = one.pop_quota_update()
    assert not one.allocations and told is not None and told.replaces_all


def test_without_a_store_it_requests_nothing_until_an_earlier_lease_is_over() -> None:
    one = holder("", now=100)
    one.tick(TERMS.lease_with_drift_us, ["a"])
    assert not one.drain_messages()
    one.tick(100 + TERMS.lease_with_drift_us, ["a"])
    assert one.drain_messages()
    assert not one.floors()


def test_a_holder_that_has_left_requests_nothing_and_has_no_timer() -> None:
    one = holder()
    one.receive(10, "a", answer(asked(one, 0)))
    one.leave(20)
    ask = asked(one, 20)
    assert ask.leaving
    one.receive(30, "a", m.LeaseResponse(7, ask.number, m.LeaseStatus.LEFT, 0, 1, "a"))
    assert one.left and one.next_at > 1 << 60, "or its process would turn without end"
    one.tick(10_000_000, ["a"])
    assert not one.drain_messages()


def test_a_floor_is_of_the_lesser_of_the_agreed_limit_and_its_own() -> None:
    one = holder()
    more = (("p", 200_000, 160_000),)
    one.receive(10, "a", answer(asked(one, 0), floor_slot=2, limits_version=3, limits=more))
    assert one.floor_changed and one.floors() == (("p", *TERMS.floor(100_000, 80_000)),)
    one.receive(
        1_700_000, "a", answer(asked(one, 1_600_000), floor_slot=2, limits_version=2, limits=(("p", 1, 1),))
    )
    assert one.floor.limits_version == 3, "older limits are ignored"
