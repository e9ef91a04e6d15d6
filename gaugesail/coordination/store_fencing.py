"""Whether a replica's store is the latest that it wrote: others remember how far each store has come.

A store that was restored from a backup has forgotten votes and entries that its replica had promised, and
a replica that acts on it could help two leaders to one term.  So each replica tells the others its store's
latest write now and then, and they keep the largest that they heard.  After a start it makes no promise
before more than half of the others have said that they know of nothing later: any two such groups share one,
which heard of the earlier process.  What was written in the second before a stop may be untold; a copy so
young is not seen by this, but by its file (docs/fleet-agreement.md).
"""

from __future__ import annotations

from dataclasses import dataclass

from .messages import StoreMark, StoreMarkVerdict

MARK_INTERVAL_US = 1_000_000  # between two marks
CONFIRM_INTERVAL_US = 300_000  # the same while the store is not confirmed


@dataclass(slots=True, frozen=True)
class KnownStore:
    """The latest mark that is known of one store."""

    starts: int
    writes: int
    process: int


def may_be_latest(known: KnownStore | None, mark: StoreMark) -> bool:
    """Whether a mark may come from the latest state of its store.

    Another process than the known one has to be a later start, from a state no older than the known one.
    """
    if known is None or known.process == mark.process:
        return True
    return mark.starts > known.starts and mark.loaded_writes >= known.writes


class StoreFence:
    """What one replica knows of the others' stores, and what they say of its own.

    ``unsaved``: ``known_stores`` is to be persisted.
    """

    def __init__(self, known_stores: dict[str, KnownStore], now: int) -> None:
        self.known_stores = known_stores
        self.stale = False  # another replica knows of a later state of this store
        self.trusted_by_operator = False
        self.unsaved = False
        self._confirmed_by: set[str] = set()
        self._mark_at = now

    def may_vote(self, other_voters: int) -> bool:
        """Whether more than half of so many other voters have confirmed this store, or an operator has."""
        needed = 0 if other_voters == 0 else other_voters // 2 + 1
        return not self.stale and (self.trusted_by_operator or len(self._confirmed_by) >= needed)

    def reset(self, now: int) -> None:
        """This replica has another store, which nobody has confirmed."""
        self._confirmed_by.clear()
        self.stale = False
        self._mark_at = now

    @property
    def next_at(self) -> int:
        """When ``mark_is_due`` turns true."""
        return self._mark_at

    def mark_is_due(self, now: int, confirmed: bool) -> bool:
        """Whether the mark is to be sent again; if so, the next time is set."""
        if now < self._mark_at:
            return False
        self._mark_at = now + (MARK_INTERVAL_US if confirmed else CONFIRM_INTERVAL_US)
        return True

    def receive_mark(self, mark: StoreMark) -> StoreMarkVerdict:
        """Return the verdict on another replica's mark; what it tells is persisted before that is sent."""
        known = self.known_stores.get(mark.store_id)
        is_latest = may_be_latest(known, mark)
        fresh = KnownStore(mark.starts, mark.writes, mark.process)
        if is_latest and (known is None or fresh.process != known.process or fresh.writes > known.writes):
            self.known_stores[mark.store_id] = fresh
            self.unsaved = True
        return StoreMarkVerdict(mark.store_id, mark.process, is_latest)

    def receive_verdict(self, sender: str, verdict: StoreMarkVerdict) -> None:
        """Take in what another replica says of this one's mark."""
        if verdict.is_latest:
            self._confirmed_by.add(sender)
        else:
            self.stale = True
