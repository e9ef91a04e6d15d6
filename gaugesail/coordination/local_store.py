"""The process's copy of its gateway's store: the persisted state, and the next write."""

from __future__ import annotations

from .bootstrap import BootstrapRecord
from .consensus import RaftNode, RaftWrite
from .gateway_floor import PersistedFloor
from .persisted_state import PersistentState, StoredState, StoreWrite
from .store_fencing import KnownStore
from .store_messages import StoreMark


class LocalStore:
    """The persisted state.  ``available``: there is a store, and it accepts writes."""

    def __init__(self, stored: StoredState | None, process: int, started_unix_ms: int) -> None:
        self.available = stored is not None
        self.state = stored.state if stored is not None else PersistentState("")
        self._process = process
        self._loaded_writes = self.state.writes
        self._replaced = False
        self._changed = self.available  # the start is persisted before any message is sent
        self.state.starts += 1
        self.state.process = process
        self.state.generation = max(started_unix_ms, self.state.generation + 1)

    def mark(self) -> StoreMark:
        """Return the mark of the store's latest write."""
        state = self.state
        return StoreMark(state.store_id, state.starts, state.writes, self._loaded_writes, self._process)

    def replace(self, store_id: str, record: BootstrapRecord) -> None:
        """Replace an outdated store by a new one in the same fleet."""
        old = self.state
        self.state = PersistentState(
            store_id,
            starts=old.starts,
            writes=old.writes,
            process=old.process,
            generation=old.generation,
            fleet_id=record.fleet_id,
            voters=record.voters,
        )
        self._changed = True
        self._replaced = True

    def pop_changed(self) -> bool:
        """Return and clear whether a start or a replacement of the store must be persisted."""
        changed = self._changed
        self._changed = False
        return changed

    def update_bootstrap(self, record: BootstrapRecord) -> None:
        """Update the state from the bootstrap's record."""
        self.state.fleet_id = record.fleet_id
        self.state.voters = record.voters
        self.state.bound_to = record.bound_to

    def update_known_stores(self, known_stores: dict[str, KnownStore]) -> None:
        """Update the latest known marks of other stores."""
        self.state.known_stores = {
            store: (known.starts, known.writes, known.process) for store, known in known_stores.items()
        }

    def update_floor(self, floor: PersistedFloor) -> None:
        """Update the gateway's floor."""
        self.state.floor_slot = floor.slot
        self.state.floor_version = floor.limits_version
        self.state.floor_limits = floor.limits
        self.state.floor_fleet = floor.fleet

    def update_vote(self, raft: RaftNode) -> None:
        """Update the replica's term and vote."""
        self.state.term = raft.term
        self.state.voted_for = raft.voted_for

    def next_write(self, log_write: RaftWrite | None) -> StoreWrite:
        """Return the next write, of the state and the changes of the log."""
        self.state.writes += 1
        write = StoreWrite(self.state, replaces_store=self._replaced)
        self._replaced = False
        if log_write is not None:
            write.first_index = log_write.first_index
            write.entries = log_write.entries
            write.snapshot = log_write.snapshot
        return write
