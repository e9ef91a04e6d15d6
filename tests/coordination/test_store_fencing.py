"""Store fencing: a store that is not the latest does not vote."""

from __future__ import annotations

from gaugesail.coordination import messages as m
from gaugesail.coordination.store_fencing import KnownStore, StoreFence, may_be_latest


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
