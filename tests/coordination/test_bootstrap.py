"""Bootstrap: a fleet is founded once, by all the configured replicas."""

from __future__ import annotations

from gaugesail.coordination import messages as m
from gaugesail.coordination.bootstrap import Bootstrap, BootstrapRecord
from gaugesail.coordination.replica_id import make_replica_id, name_of, store_id_of

SECOND = 1_000_000


def replicas(names: tuple[str, ...] = ("a", "b", "c")) -> dict[str, Bootstrap]:
    return {name: Bootstrap(name, f"s-{name}", names, "d", BootstrapRecord()) for name in names}


def deliver(fleet: dict[str, Bootstrap], now: int, cut_off: str = "") -> None:
    in_flight = [(name, to, message) for name, replica in fleet.items()
            for to, message in replica.tick(now, bool(replica.record.fleet_id))]  # fmt: skip
    while in_flight:
        sender, to, message = in_flight.pop(0)
        if to in fleet and cut_off not in (sender, to):
            assert isinstance(message, m.BootstrapStatus | m.BootstrapBind)
            in_flight += [(to, *response) for response in fleet[to].receive(sender, message)]


def test_a_fleet_is_founded_once_all_replicas_are_reachable() -> None:
    fleet = replicas()
    for n in range(4):
        deliver(fleet, n * SECOND, cut_off="c")
    assert not any(replica.record.fleet_id for replica in fleet.values())
    for n in range(4, 8):
        deliver(fleet, n * SECOND)
    assert len({replica.record.fleet_id for replica in fleet.values()}) == 1 and fleet["a"].record.fleet_id
    assert fleet["c"].record.voters == tuple(sorted(make_replica_id(name, f"s-{name}") for name in "abc"))
    assert (name_of("x#y#z"), store_id_of("x#y#z")) == ("x#y", "z")


def test_a_replica_bound_to_one_founder_is_bound_to_no_other() -> None:
    fleet = replicas()
    b = fleet["b"]
    b.receive("a", m.BootstrapBind("d", "s-a"))
    b.receive("a", m.BootstrapBind("d", "another store under that name"))
    assert b.record.bound_to == "s-a" and b.unsaved
    b.receive("c", m.BootstrapBind("d", "s-c"))
    assert b.record.bound_to == "s-a", "only the first of the configured replicas founds"
    status = m.BootstrapStatus(
        "d", "s-a", "fleet", (make_replica_id("a", "x"), make_replica_id("b", "s-b")), "x"
    )
    b.receive("a", status)
    assert not b.record.fleet_id, "that fleet was founded by another store"


def test_conflicting_replicas_are_reported_and_a_new_store_applies() -> None:
    fleet = replicas()
    for n in range(6):
        deliver(fleet, n * SECOND)
    a = fleet["a"]
    a.receive("b", m.BootstrapStatus("other file", "s-b", "", (), ""))
    assert "differs" in a.conflicts["b"]
    a.receive("b", m.BootstrapStatus("d", "s-b", "another", (), ""))
    assert "another fleet" in a.conflicts["b"]
    new_replica = Bootstrap("c", "fresh", ("a", "b", "c"), "d", BootstrapRecord())
    for to, message in new_replica.tick(9 * SECOND, False):
        assert isinstance(message, m.BootstrapStatus | m.BootstrapBind)
        for receiver, response in fleet[to].receive("c", message):
            assert receiver == "c" and isinstance(response, m.BootstrapStatus | m.BootstrapBind)
            new_replica.receive(to, response)
    assert new_replica.record.fleet_id == a.record.fleet_id and a.drain_applicants()["c"] == "fresh"
