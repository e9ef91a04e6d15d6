"""Detects an outdated copy of a replica's store: other replicas remember the latest write of each store.

A store that was restored from a backup lacks votes and entries that its replica has promised, and a replica
that acts on it could elect two leaders in one term.  So each replica sends the others a mark of its store's
latest write periodically, and they keep the latest mark that they received.  After a start it makes no
promise before more than half of the others have confirmed that they know of no later mark: any two groups of
more than half of the others share a replica, which has the earlier process's mark.  Writes of the last second
before a stop may not have been marked; a copy that recent is detected by its file instead
(docs/fleet-agreement.md).
"""

from __future__ import annotations

from dataclasses import dataclass

from .messages import StoreMark, StoreMarkVerdict

MARK_INTERVAL_US = 1_000_000  # between two marks
CONFIRM_INTERVAL_US = 300_000  # between two marks while the store is not confirmed


@dataclass(slots=True, frozen=True)
class KnownStore:
    """The latest known mark of one store."""

    starts: int
    writes: int
    process: int


def may_be_latest(known: KnownStore | None, mark: StoreMark) -> bool:
    """Whether a mark may come from the latest state of its store.

    A process other than the known one must be a later start, from a state no older than the known one.
    """
    if known is None or known.process == mark.process:
        return True
    return mark.starts > known.starts and mark.loaded_writes >= known.writes


class StoreFence:
    """One replica's marks of the other stores, and their verdicts on its own.

    ``unsaved``: ``known_stores`` must be persisted.
    """

    def __init__(self, known_stores: dict[str, KnownStore], now: int) -> None:
        self.known_stores = known_stores
        self.outdated = False  # another replica knows of a later state of this store
        self.trusted_by_operator = False
        self.unsaved = False
        self._confirmed_by: set[str] = set()
        self._mark_at = now

    def may_vote(self, other_voters: int) -> bool:
        """Whether more than half of ``other_voters`` or an operator has confirmed this store."""
        needed = 0 if other_voters == 0 else other_voters // 2 + 1
        return not self.outdated and (self.trusted_by_operator or len(self._confirmed_by) >= needed)

    def reset(self, now: int) -> None:
        """Start anew with a replaced store, which is not confirmed."""
        self._confirmed_by.clear()
        self.outdated = False
        self._mark_at = now

    @property
    def next_at(self) -> int:
        """When ``mark_is_due`` returns true next."""
        return self._mark_at

    def mark_is_due(self, now: int, confirmed: bool) -> bool:
        """Return whether the mark is due, and if so schedule the next one."""
        if now < self._mark_at:
            return False
        self._mark_at = now + (MARK_INTERVAL_US if confirmed else CONFIRM_INTERVAL_US)
        return True

    def receive_mark(self, mark: StoreMark) -> StoreMarkVerdict:
        """Return the verdict on another replica's mark; persist ``known_stores`` before sending it."""
        known = self.known_stores.get(mark.store_id)
        is_latest = may_be_latest(known, mark)
        received = KnownStore(mark.starts, mark.writes, mark.process)
        if is_latest and (
            known is None or received.process != known.process or received.writes > known.writes
        ):
            self.known_stores[mark.store_id] = received
            self.unsaved = True
        return StoreMarkVerdict(mark.store_id, mark.process, is_latest)

    def receive_verdict(self, sender: str, verdict: StoreMarkVerdict) -> None:
        """Process another replica's verdict on this one's mark."""
        if verdict.is_latest:
            self._confirmed_by.add(sender)
        else:
            self.outdated = True
