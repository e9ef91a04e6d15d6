"""Whether a keeper's store is the latest that it wrote: others remember the numbers of its saves.

A store that was restored from a backup has forgotten votes and entries that its keeper had promised, and a
keeper that acts on it could help two leaders to one term.  So each keeper tells the others its store's latest
save now and then, and they keep the largest that they heard.  After a start it makes no promise before more
than half of the others have vouched that they know of nothing later: any two such groups share one, which
heard of the earlier life.  What was saved in the second before a stop may be untold; a copy so young is
not seen by this, but by its file (docs/fleet-agreement.md).
"""

from __future__ import annotations

from dataclasses import dataclass

from .messages import Message, StoreMark, StoreMarkVerdict

MARK_US = 1_000_000  # between two tellings
ASK_US = 300_000  # while it has not been vouched for


@dataclass(slots=True, frozen=True)
class KnownStore:
    """The latest mark that is known of one store."""

    starts: int
    writes: int
    process: int


def may_be_latest(known: KnownStore | None, mark: StoreMark) -> bool:
    """Whether a mark may come from the latest state of its store."""
    if known is None or known.process == mark.process:
        return True
    # Another process: a later start, from a save that is no older than any that is known.
    return mark.starts > known.starts and mark.loaded_writes >= known.writes


class StoreFence:
    """One keeper's memory of the others' stores, and what they say of its own."""

    def __init__(self, known: dict[str, KnownStore], now: int) -> None:
        self.known_stores = known
        self._vouched: set[str] = set()
        self.stale = False
        self.trusted_by_operator = False  # by an operator's word
        self._mark_at = now
        self.unsaved = False

    def may_vote(self, others: int) -> bool:
        """Whether this store is known to be the latest, with so many other keepers there."""
        enough = 0 if others == 0 else others // 2 + 1
        return not self.stale and (self.trusted_by_operator or len(self._vouched) >= enough)

    def reset(self, now: int) -> None:
        """Another store: nobody has vouched for it."""
        self._vouched.clear()
        self.stale, self._mark_at = False, now

    @property
    def next_at(self) -> int:
        return self._mark_at

    def mark_is_due(self, now: int, good: bool) -> bool:
        """Whether the mark is to be told again."""
        if now < self._mark_at:
            return False
        self._mark_at = now + (MARK_US if good else ASK_US)
        return True

    def receive_mark(self, mark: StoreMark) -> Message:
        """Another keeper tells its mark: what is known of its store is kept before it is answered."""
        known = self.known_stores.get(mark.store_id)
        good = may_be_latest(known, mark)
        fresh = KnownStore(mark.starts, mark.writes, mark.process)
        if good and (known is None or fresh.process != known.process or fresh.writes > known.writes):
            self.known_stores[mark.store_id] = fresh
            self.unsaved = True
        return StoreMarkVerdict(mark.store_id, mark.process, good)

    def receive_verdict(self, sender: str, answer: StoreMarkVerdict) -> None:
        """What another keeper makes of this one's mark."""
        if answer.is_latest:
            self._vouched.add(sender)
        else:
            self.stale = True
