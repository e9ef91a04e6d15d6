"""What one gateway's store holds of the fleet, and what one write to it changes.

The keys of ``PersistentState`` in the store are older than the names of its fields, and stay as they are.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from .log_commands import LogEntry
from .quota_ledger import RateBurst
from .raft_log import Snapshot


class PersistentState(msgspec.Struct):
    """All that a gateway persists beside its log, written as one."""

    store_id: str = msgspec.field(name="store")  # drawn when the store was made
    starts: int = msgspec.field(default=0, name="life")  # of processes with this store
    writes: int = msgspec.field(default=0, name="saves")
    process: int = 0  # that wrote it
    generation: int = 0  # of the member (membership.py)
    fleet_id: str = msgspec.field(default="", name="fleet")
    voters: tuple[str, ...] = msgspec.field(default=(), name="seats")  # the first ones
    bound_to: str = msgspec.field(default="", name="bound")  # the founder's store (bootstrap.py)
    term: int = 0
    voted_for: str = msgspec.field(default="", name="vote")
    # Starts, writes and process of other stores, by store id (store_fencing.py).
    known_stores: dict[str, tuple[int, int, int]] = msgspec.field(default_factory=dict, name="known")
    floor_slot: int = msgspec.field(default=-1, name="slot")
    floor_version: int = msgspec.field(default=0, name="version")
    floor_limits: dict[str, RateBurst] = msgspec.field(default_factory=dict, name="wholes")
    floor_fleet: str = msgspec.field(default="", name="of_fleet")  # that gave the floor


@dataclass(slots=True)
class StoredState:
    """What a store held at the start of a process."""

    state: PersistentState
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[LogEntry] = field(default_factory=list)


@dataclass(slots=True)
class StoreWrite:
    """One write, all or nothing.

    ``state`` replaces the last one; ``entries`` replace all of the log from ``first_index`` on; a
    ``snapshot`` replaces all entries up to its index; ``replaces_store``: nothing of the old log stays.
    """

    state: PersistentState
    first_index: int | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None
    replaces_store: bool = False
