"""The holder of a lease: it spends only by its session, and only until the lease expires on its own clock."""

from __future__ import annotations

import random

from gaugesail.coordination import messages as m
from gaugesail.coordination.fleet_terms import FleetTerms
from gaugesail.coordination.gateway_floor import PersistedFloor
from gaugesail.coordination.lease_holder import LeaseHolder

TERMS = FleetTerms("f", ("a", "b", "c"), max_gateways=4)


def make_holder(store: str = "s", now: int = 0) -> LeaseHolder:
    lease_holder = LeaseHolder(TERMS, "d", 7, store, PersistedFloor(), now, random.Random(1))
    lease_holder.set_limits({"p": (100_000, 80_000)}, 8000)
    return lease_holder


def next_request(one: LeaseHolder, now: int) -> m.LeaseRequest:
    one.tick(now, ["a"])
    (_, request), *_ = one.drain_messages()
    assert isinstance(request, m.LeaseRequest)
    return request


def renewal(
    request: m.LeaseRequest,
    session: int = 5,
    term: int = 1,
    floor_slot: int = -1,
    limits_version: int = 0,
    limits: tuple[tuple[str, int, int], ...] = (),
    fleet: str = "f",
) -> m.LeaseResponse:
    status = m.LeaseStatus.RENEWED
    return m.LeaseResponse(
        request.process, request.number, status, session, term, "a", floor_slot, limits_version, limits, fleet
    )


def test_a_lease_counts_from_when_it_was_requested() -> None:
    one = make_holder()
    request = next_request(one, 1000)
    one.receive(3_000_000, "a", renewal(request))
    assert one.lease_until == 1000 + TERMS.lease_us
    one.receive(9_000_000, "a", renewal(request))
    assert one.lease_until == 1000 + TERMS.lease_us, "a duplicate response does not extend the lease"


def test_an_order_for_another_process_session_or_fleet_is_ignored() -> None:
    one = make_holder()
    one.receive(10, "a", renewal(next_request(one, 0)))
    order = (m.QuotaOrder("p/1", 9, 50_000, 8000),)
    one.receive(20, "a", m.QuotaOrders(8, 5, "f", order))
    one.receive(20, "a", m.QuotaOrders(7, 4, "f", order))
    one.receive(20, "a", m.QuotaOrders(7, 5, "g", order))
    assert not one.allocations
    one.receive(20, "a", m.QuotaOrders(7, 5, "f", order))
    assert one.allocations["p/1"].rate == 50_000
    one.receive(30, "a", m.QuotaOrders(7, 5, "f", (m.QuotaOrder("p/1", 8, 90_000, 9000),)))
    assert one.allocations["p/1"].rate == 50_000, "an older order is ignored"
    one.receive(30, "a", m.QuotaOrders(7, 5, "f", (m.QuotaOrder("p/1", 9, 20_000, 9000, True),)))
    assert (one.allocations["p/1"].rate, one.allocations["p/1"].burst) == (20_000, 8000), (
        "an order of the same entry only lowers"
    )
    one.receive(40, "a", m.QuotaOrders(7, 5, "f", order))
    assert one.allocations["p/1"].rate == 20_000, "a duplicate order does not restore what was released"


def test_a_new_session_has_no_allocations_of_the_previous_one() -> None:
    one = make_holder()
    one.receive(10, "a", renewal(next_request(one, 0)))
    one.receive(20, "a", m.QuotaOrders(7, 5, "f", (m.QuotaOrder("p/1", 9, 50_000, 8000),)))
    one.pop_quota_update()
    one.receive(2_000_000, "a", renewal(next_request(one, 1_500_000), session=6))
    update = one.pop_quota_update()
    assert not one.allocations and update is not None and update.replaces_all


def test_without_a_store_it_requests_nothing_until_an_earlier_lease_has_expired() -> None:
    one = make_holder("", now=100)
    one.tick(TERMS.lease_with_drift_us, ["a"])
    assert not one.drain_messages()
    one.tick(100 + TERMS.lease_with_drift_us, ["a"])
    assert one.drain_messages()
    assert not one.floors()


def test_a_holder_that_has_left_requests_nothing_and_has_no_timer() -> None:
    one = make_holder()
    one.receive(10, "a", renewal(next_request(one, 0)))
    one.leave(20)
    request = next_request(one, 20)
    assert request.leaving
    one.receive(30, "a", m.LeaseResponse(7, request.number, m.LeaseStatus.LEFT, 0, 1, "a"))
    assert one.left and one.next_at > 1 << 60, "otherwise its process would tick in a busy loop"
    one.tick(10_000_000, ["a"])
    assert not one.drain_messages()


def test_a_floor_is_of_the_lesser_of_the_agreed_limit_and_its_own() -> None:
    one = make_holder()
    more = (("p", 200_000, 160_000),)
    one.receive(10, "a", renewal(next_request(one, 0), floor_slot=2, limits_version=3, limits=more))
    assert one.floor_changed and one.floors() == (("p", *TERMS.floor(100_000, 80_000)),)
    one.receive(
        1_700_000,
        "a",
        renewal(next_request(one, 1_600_000), floor_slot=2, limits_version=2, limits=(("p", 1, 1),)),
    )
    assert one.floor.limits_version == 3, "older limits are ignored"
