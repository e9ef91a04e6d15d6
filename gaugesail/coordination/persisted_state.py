"""The fleet's state in a gateway's store, and the writes that change it.

The stored keys of ``PersistentState`` keep the names of the first version.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from .log_commands import LogEntry
from .quota_ledger import RateBurst
from .raft_log import Snapshot


class PersistentState(msgspec.Struct):
    """The state that a gateway persists besides its log, written as one record."""

    store_id: str = msgspec.field(name="store")  # random, drawn when the store was created
    starts: int = msgspec.field(default=0, name="life")  # number of processes started with this store
    writes: int = msgspec.field(default=0, name="saves")
    process: int = 0  # the process that wrote it
    generation: int = 0  # of the member: Unix ms of its start, or the previous one + 1 if that is later
    fleet_id: str = msgspec.field(default="", name="fleet")
    voters: tuple[str, ...] = msgspec.field(default=(), name="seats")  # the fleet's first
    bound_to: str = msgspec.field(default="", name="bound")  # the founder's store (bootstrap.py)
    term: int = 0
    voted_for: str = msgspec.field(default="", name="vote")
    # Starts, writes and process of other stores, by store id (store_fencing.py).
    known_stores: dict[str, tuple[int, int, int]] = msgspec.field(default_factory=dict, name="known")
    floor_slot: int = msgspec.field(default=-1, name="slot")
    floor_version: int = msgspec.field(default=0, name="version")
    floor_limits: dict[str, RateBurst] = msgspec.field(default_factory=dict, name="wholes")
    floor_fleet: str = msgspec.field(default="", name="of_fleet")  # the fleet that assigned the slot


@dataclass(slots=True)
class StoredState:
    """The content of a store at the start of a process."""

    state: PersistentState
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[LogEntry] = field(default_factory=list)


@dataclass(slots=True)
class StoreWrite:
    """One atomic write.

    ``state`` replaces the last one; ``entries`` replace all of the log from ``first_index`` on; a
    ``snapshot`` replaces all entries up to its index; ``replaces_store``: the old log is removed entirely.
    """

    state: PersistentState
    first_index: int | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None
    replaces_store: bool = False
