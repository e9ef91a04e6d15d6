"""Bootstrap: a fleet begins once, with all the replicas that the files name."""

from __future__ import annotations

from gaugesail.coordination import messages as m
from gaugesail.coordination.bootstrap import Bootstrap, BootstrapRecord
from gaugesail.coordination.replica_id import make_replica_id, name_of, store_id_of

SECOND = 1_000_000


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
