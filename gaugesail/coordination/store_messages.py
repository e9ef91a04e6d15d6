"""Messages by which replicas detect outdated copies of a store (store_fencing.py)."""

from __future__ import annotations

from .record import Record


class StoreMark(Record, frozen=True, tag="Mark"):
    """The progress of a replica's store."""

    store_id: str
    starts: int  # number of processes started with this store
    writes: int
    loaded_writes: int  # number of writes in it when this process started
    process: int


class StoreMarkVerdict(Record, frozen=True, tag="Marked"):
    """Whether the store may be the latest: False if a later mark of it is known."""

    store_id: str
    process: int
    is_latest: bool
