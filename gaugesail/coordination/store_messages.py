"""How replicas find out that a store is not the latest (store_fencing.py)."""

from __future__ import annotations

from .record import Record


class StoreMark(Record, frozen=True, tag="Mark"):
    """How far a replica's store has come."""

    store_id: str
    starts: int  # of processes with this store
    writes: int
    loaded_writes: int  # that it held when this process started
    process: int


class StoreMarkVerdict(Record, frozen=True, tag="Marked"):
    """Whether the store may be the latest: False if a later mark of it is known."""

    store_id: str
    process: int
    is_latest: bool
