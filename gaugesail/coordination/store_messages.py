"""How replicas find out that a store is not the latest (store_fencing.py)."""

from __future__ import annotations

from .record import Record


class StoreMark(Record, frozen=True, tag="Mark"):
    """A keeper's store: its start's number, its save's number, and that of the save it was started from."""

    store_id: str
    starts: int
    writes: int
    loaded_writes: int
    process: int


class StoreMarkVerdict(Record, frozen=True, tag="Marked"):
    """What a witness makes of a mark: ``good``, or a later one is known to it."""

    store_id: str
    process: int
    is_latest: bool
