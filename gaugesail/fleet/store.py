"""What a gateway persists for its fleet: votes, log, starts and floor, in one SQLite file of one process.

A write is one transaction, on the disk before ``write`` returns.  The file knows where it was made: one that
is found elsewhere is a copy, and a copy beside its original must not spend the same floor.  What is damaged
or a copy is put aside under another name, never deleted, and a fresh store is made in its place.
"""

from __future__ import annotations

import secrets
import socket
import sqlite3
from contextlib import closing
from dataclasses import dataclass
from pathlib import Path

import msgspec

from gaugesail.coordination.messages import LogEntry
from gaugesail.coordination.persisted_state import PersistentState, StoredState, StoreWrite
from gaugesail.coordination.raft_log import Snapshot

from .store_tables import DamagedStore, StoreTables

LOCK_TIMEOUT_S = 0.05

# Names of the stored records.
HOME = "home"  # where the file was made
STATE = "kept"  # a PersistentState
SNAPSHOT = "snapshot"
PROOF = "proof"  # written to see that the store can be written


class StoreError(Exception):
    """The store is not to be had; the text says why."""


class StoreBusy(StoreError):
    """Another process has it."""


class StoreFailed(StoreError):
    """It cannot be read or written."""


class _StoredSnapshot(msgspec.Struct):
    """A snapshot as it is stored; the names of the stored keys are those of the first version."""

    index: int
    term: int
    voters: tuple[str, ...] = msgspec.field(name="seats")
    state: bytes


@dataclass(slots=True, frozen=True)
class PutAside:
    """A store that could not be used: where it is now, and why."""

    path: str
    why: str


_encode = msgspec.msgpack.Encoder().encode
_decode_state = msgspec.msgpack.Decoder(PersistentState).decode
_decode_snapshot = msgspec.msgpack.Decoder(_StoredSnapshot).decode
_entry_decoder: msgspec.msgpack.Decoder[LogEntry] = msgspec.msgpack.Decoder(LogEntry)


class FleetStore:
    """One gateway's store.  ``quarantined`` tells which stores ``open`` could not use."""

    def __init__(self, folder: str, gateway: str) -> None:
        self.path = Path(folder) / f"fleet-{gateway}.sqlite"
        self.quarantined: list[PutAside] = []
        self._db: sqlite3.Connection | None = None

    # ---- opening ----

    def open(self) -> StoredState:
        """Take the store and read all of it.  StoreBusy, StoreFailed."""
        for _ in range(2):
            try:
                return self._open()
            except DamagedStore as damage:
                self._put_aside(str(damage))
        raise StoreFailed(f"{self.path}: a fresh store cannot be read either")

    def _open(self) -> StoredState:
        try:
            return self._take()
        except sqlite3.OperationalError as error:
            self.close()
            raise _operational_error(self.path, error) from None
        except (sqlite3.DatabaseError, msgspec.MsgspecError) as error:
            self.close()
            raise DamagedStore(f"torn: {error}") from None
        except OSError as error:
            self.close()
            raise StoreFailed(f"{self.path}: {error}") from None

    def _take(self) -> StoredState:
        """Lock the file for as long as the process lives, and read it.  Its lock goes with the process."""
        db = sqlite3.connect(self.path, timeout=LOCK_TIMEOUT_S, isolation_level=None)
        self._db = db
        db.execute("pragma locking_mode = exclusive")
        db.execute("pragma synchronous = full")
        db.execute("begin exclusive")
        tables = StoreTables(db)
        tables.create()
        stored = self._read(tables)
        db.execute("commit")
        return stored

    def _read(self, tables: StoreTables) -> StoredState:
        home = tables.record(HOME)
        state = tables.record(STATE)
        if home is None and state is None and not tables.has_entries():
            return self._begin_store(tables)
        if home is None or state is None:
            raise DamagedStore("torn: a part is missing")
        if home != self._home():
            raise DamagedStore(f"a copy: it was made at {home.decode(errors='replace')}")
        snapshot = _read_snapshot(tables)
        entries = [_entry_decoder.decode(data) for data in tables.entries(snapshot.index + 1)]
        return StoredState(_decode_state(state), snapshot, entries)

    def _begin_store(self, tables: StoreTables) -> StoredState:
        tables.put_record(HOME, self._home())
        fresh = PersistentState(secrets.token_hex(6))
        tables.put_record(STATE, _encode(fresh))
        return StoredState(fresh)

    def _home(self) -> bytes:
        """Where the file is: a copy of it has another."""
        stat = self.path.stat()
        return f"{socket.gethostname()} {stat.st_dev} {stat.st_ino}".encode()

    def _put_aside(self, why: str) -> None:
        """Keep what cannot be used, under another name.  StoreFailed."""
        self.close()
        number = 1
        while (target := self.path.with_suffix(f".aside-{number}")).exists():
            number += 1
        try:
            self.path.rename(target)
        except OSError as error:
            raise StoreFailed(f"{self.path}: {why}; {error}") from None
        # SQLite would play the old store's journal back into the fresh one.
        Path(f"{self.path}-journal").unlink(missing_ok=True)
        self.quarantined.append(PutAside(str(target), why))

    # ---- writing ----

    def write(self, write: StoreWrite) -> None:
        """Persist all of it before this returns.  StoreFailed: all of it is stored, or nothing."""
        db = self._opened()
        try:
            db.execute("begin")
            _write(StoreTables(db), write)
            db.execute("commit")
        except (sqlite3.Error, OSError) as error:
            self._fail(error)

    def prove(self) -> None:
        """Write something and sync it, to see that it is possible.  StoreFailed."""
        db = self._opened()
        try:
            db.execute("begin")
            StoreTables(db).put_record(PROOF, secrets.token_bytes(8))
            db.execute("commit")
        except (sqlite3.Error, OSError) as error:
            self._fail(error)

    def _opened(self) -> sqlite3.Connection:
        if self._db is None:
            raise StoreFailed(f"{self.path}: it is closed")
        return self._db

    def _fail(self, error: Exception) -> None:
        """Nobody can say how much of the write is stored: this process writes no more.  StoreFailed."""
        self.close()
        raise StoreFailed(f"{self.path}: {error}") from None

    def close(self) -> None:
        """Give the store up."""
        db, self._db = self._db, None
        if db is not None:
            db.close()

    # ---- moving ----

    def accept_location(self) -> None:
        """The file was moved here, and no original of it is left.  StoreBusy, StoreFailed."""
        if not self.path.exists():
            raise StoreFailed(f"{self.path}: there is none")
        try:
            with closing(sqlite3.connect(self.path, timeout=LOCK_TIMEOUT_S, isolation_level=None)) as db:
                db.execute("begin exclusive")
                StoreTables(db).put_record(HOME, self._home())
                db.execute("commit")
        except sqlite3.OperationalError as error:
            raise _operational_error(self.path, error) from None
        except sqlite3.Error as error:
            raise StoreFailed(f"{self.path}: {error}") from None


def _operational_error(path: Path, error: sqlite3.OperationalError) -> StoreError:
    if "locked" in str(error):
        return StoreBusy(f"{path}: another process holds it")
    return StoreFailed(f"{path}: {error}")


def _read_snapshot(tables: StoreTables) -> Snapshot:
    data = tables.record(SNAPSHOT)
    if data is None:
        return Snapshot()
    stored = _decode_snapshot(data)
    return Snapshot(stored.index, stored.term, stored.voters, stored.state)


def _write(tables: StoreTables, write: StoreWrite) -> None:
    """One write, within its transaction."""
    if write.replaces_store:
        tables.delete_all_entries()
        tables.delete_record(SNAPSHOT)
    tables.put_record(STATE, _encode(write.state))
    if write.first_index is not None:
        tables.replace_entries(write.first_index, map(_encode, write.entries))
    snapshot = write.snapshot
    if snapshot is not None:
        stored = _StoredSnapshot(snapshot.index, snapshot.term, snapshot.voters, snapshot.state)
        tables.put_record(SNAPSHOT, _encode(stored))
        tables.delete_entries_up_to(snapshot.index)
