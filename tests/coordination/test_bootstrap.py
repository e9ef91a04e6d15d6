"""Bootstrap: a fleet begins once, with all the replicas that the files name."""

from __future__ import annotations

from gaugesail.coordination import messages as m
from gaugesail.coordination.bootstrap import Bootstrap, BootstrapRecord
from gaugesail.coordination.replica_id import make_replica_id, name_of, store_id_of

SECOND = 1_000_000


def replicas(names: tuple[str, ...] = ("a", "b", "c")) -> dict[str, Bootstrap]:
    return {name: Bootstrap(name, f"s-{name}", names, "d", BootstrapRecord()) for name in names}


def deliver(fleet: dict[str, Bootstrap], now: int, cut_off: str = "") -> None:
    said = [(name, to, what) for name, one in fleet.items()
            for to, what in one.tick(now, bool(one.record.fleet_id))]  # fmt: skip
    while said:
        sender, to, what = said.pop(0)
        if to in fleet and cut_off not in (sender, to):
            assert isinstance(what, m.BootstrapStatus | m.BootstrapBind)
            said += [(to, *answer) for answer in fleet[to].receive(sender, what)]


def test_a_fleet_begins_once_all_replicas_are_there() -> None:
    fleet = replicas()
    for n in range(4):
        deliver(fleet, n * SECOND, cut_off="c")
    assert not any(one.record.fleet_id for one in fleet.values())
    for n in range(4, 8):
        deliver(fleet, n * SECOND)
    assert len({one.record.fleet_id for one in fleet.values()}) == 1 and fleet["a"].record.fleet_id
    assert fleet["c"].record.voters == tuple(sorted(make_replica_id(name, f"s-{name}") for name in "abc"))
    assert (name_of("x#y#z"), store_id_of("x#y#z")) == ("x#y", "z")


def test_a_replica_bound_to_one_founder_is_bound_to_no_other() -> None:
    fleet = replicas()
    b = fleet["b"]
    b.receive("a", m.BootstrapBind("d", "s-a"))
    b.receive("a", m.BootstrapBind("d", "another store under that name"))
    assert b.record.bound_to == "s-a" and b.unsaved
    b.receive("c", m.BootstrapBind("d", "s-c"))
    assert b.record.bound_to == "s-a", "only the first of the names founds"
    status = m.BootstrapStatus(
        "d", "s-a", "fleet", (make_replica_id("a", "x"), make_replica_id("b", "s-b")), "x"
    )
    b.receive("a", status)
    assert not b.record.fleet_id, "that fleet was founded by another store"


def test_conflicting_replicas_are_reported_and_a_fresh_store_applies() -> None:
    fleet = replicas()
    for n in range(6):
        deliver(fleet, n * SECOND)
    a = fleet["a"]
    a.receive("b", m.BootstrapStatus("other file", "s-b", "", (), ""))
    assert "differs" in a.conflicts["b"]
    a.receive("b", m.BootstrapStatus("d", "s-b", "another", (), ""))
    assert "another fleet" in a.conflicts["b"]
    fresh = Bootstrap("c", "fresh", ("a", "b", "c"), "d", BootstrapRecord())
    for to, said in fresh.tick(9 * SECOND, False):
        assert isinstance(said, m.BootstrapStatus | m.BootstrapBind)
        for back, answer in fleet[to].receive("c", said):
            assert back == "c" and isinstance(answer, m.BootstrapStatus | m.BootstrapBind)
            fresh.receive(to, answer)
    assert fresh.record.fleet_id == a.record.fleet_id and a.drain_applicants()["c"] == "fresh"
