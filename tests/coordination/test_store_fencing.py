"""Store fencing: a replica with an outdated store does not vote."""

from __future__ import annotations

from gaugesail.coordination import messages as m
from gaugesail.coordination.store_fencing import KnownStore, StoreFence, may_be_latest


def test_a_store_is_judged_by_its_latest_known_mark() -> None:
    known = KnownStore(starts=3, writes=40, process=9)
    assert may_be_latest(None, m.StoreMark("s", 1, 1, 0, 5))
    assert may_be_latest(known, m.StoreMark("s", 3, 41, 30, 9)), "the same process continues"
    assert may_be_latest(known, m.StoreMark("s", 4, 42, 41, 10)), (
        "the next process, from a state at least as recent"
    )
    assert not may_be_latest(known, m.StoreMark("s", 4, 42, 39, 10)), "from an older copy"
    assert not may_be_latest(known, m.StoreMark("s", 3, 50, 45, 10)), (
        "another process with the same number of starts"
    )
    one = StoreFence({}, 0)
    assert not one.may_vote(2)
    one.receive_verdict("a", m.StoreMarkVerdict("s", 1, True))
    assert not one.may_vote(2), "more than half of two others is both"
    one.receive_verdict("b", m.StoreMarkVerdict("s", 1, True))
    assert one.may_vote(2)
    one.receive_verdict("a", m.StoreMarkVerdict("s", 1, False))
    assert one.outdated and not one.may_vote(2)
