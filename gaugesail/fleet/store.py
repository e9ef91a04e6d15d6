"""A gateway's persistent fleet state: votes, log, starts and floor, in one SQLite file locked by one process.

A write is one transaction, synced to disk before ``write`` returns.  The file records where it was created:
one that is found elsewhere is a copy, and a copy beside its original must not spend the same floor.  A
damaged store or a copy is quarantined, that is renamed, never deleted, and replaced by a new empty store.
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
LOCATION = "home"  # host, device and inode of the file when it was created
STATE = "kept"  # a PersistentState
SNAPSHOT = "snapshot"
WRITE_CHECK = "proof"  # random bytes of ``check_writable``


class StoreError(Exception):
    """The store cannot be used; the text names its path and the reason."""


class StoreBusy(StoreError):
    """Another process holds the store's lock."""


class StoreFailed(StoreError):
    """The store cannot be read or written."""


class _StoredSnapshot(msgspec.Struct):
    """A stored snapshot; its keys are those of the first version of the format."""

    index: int
    term: int
    voters: tuple[str, ...] = msgspec.field(name="seats")
    state: bytes


@dataclass(slots=True, frozen=True)
class QuarantinedStore:
    """A store that could not be used and was renamed to ``path``, for a reason."""

    path: str
    reason: str


_encode = msgspec.msgpack.Encoder().encode
_decode_state = msgspec.msgpack.Decoder(PersistentState).decode
_decode_snapshot = msgspec.msgpack.Decoder(_StoredSnapshot).decode
_entry_decoder: msgspec.msgpack.Decoder[LogEntry] = msgspec.msgpack.Decoder(LogEntry)


class FleetStore:
    """One gateway's store.  ``quarantined`` lists the stores that ``open`` could not use and has renamed.

    :param folder: where the file is.
    :param gateway: the gateway's name, which is part of the file's name.
    """

    def __init__(self, folder: str, gateway: str) -> None:
        self.path = Path(folder) / f"fleet-{gateway}.sqlite"
        self.quarantined: list[QuarantinedStore] = []
        self._db: sqlite3.Connection | None = None

    # ---- opening ----

    def open(self) -> StoredState:
        """Lock the store, creating it if there is none, and return its contents.

        Raises StoreBusy or StoreFailed.
        """
        for _ in range(2):
            try:
                return self._open()
            except DamagedStore as damage:
                self._quarantine(str(damage))
        raise StoreFailed(f"{self.path}: the new store that replaced a damaged one cannot be read either")

    def _open(self) -> StoredState:
        try:
            return self._lock_and_read()
        except sqlite3.OperationalError as error:
            self.close()
            raise _operational_error(self.path, error) from None
        except (sqlite3.DatabaseError, msgspec.MsgspecError) as error:
            self.close()
            raise DamagedStore(f"damaged: {error}") from None
        except OSError as error:
            self.close()
            raise StoreFailed(f"{self.path}: {error}") from None

    def _lock_and_read(self) -> StoredState:
        """Lock the file until ``close`` or the end of the process, and read it."""
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
        location = tables.record(LOCATION)
        state = tables.record(STATE)
        if location is None and state is None and not tables.has_entries():
            return self._initialize(tables)
        if location is None or state is None:
            raise DamagedStore(f"damaged: both records {LOCATION!r} and {STATE!r} are needed")
        if location != self._location():
            raise DamagedStore(
                f"a copy: created at {location.decode(errors='replace')!r} (host, device, inode),"
                f" but {str(self.path)!r} is elsewhere"
            )
        snapshot = _read_snapshot(tables)
        entries = [_entry_decoder.decode(data) for data in tables.entries(snapshot.index + 1)]
        return StoredState(_decode_state(state), snapshot, entries)

    def _initialize(self, tables: StoreTables) -> StoredState:
        tables.put_record(LOCATION, self._location())
        fresh = PersistentState(secrets.token_hex(6))
        tables.put_record(STATE, _encode(fresh))
        return StoredState(fresh)

    def _location(self) -> bytes:
        """Return host name, device and inode of the file, which differ for a copy."""
        stat = self.path.stat()
        return f"{socket.gethostname()} {stat.st_dev} {stat.st_ino}".encode()

    def _quarantine(self, reason: str) -> None:
        """Rename a store that cannot be used, to keep it.  Raises StoreFailed."""
        self.close()
        number = 1
        while (target := self.path.with_suffix(f".aside-{number}")).exists():
            number += 1
        try:
            self.path.rename(target)
        except OSError as error:
            raise StoreFailed(f"{self.path}: {reason}; it cannot be renamed: {error}") from None
        # SQLite would replay the old store's journal into the new one.
        Path(f"{self.path}-journal").unlink(missing_ok=True)
        self.quarantined.append(QuarantinedStore(str(target), reason))

    # ---- writing ----

    def write(self, write: StoreWrite) -> None:
        """Persist a write, synced to disk on return.

        Raises StoreFailed; then either all of the write is stored, or nothing.
        """
        db = self._opened()
        try:
            db.execute("begin")
            _write(StoreTables(db), write)
            db.execute("commit")
        except (sqlite3.Error, OSError) as error:
            self._fail(error)

    def check_writable(self) -> None:
        """Check that the store can be written, by a synced write of a record of its own.

        Raises StoreFailed.
        """
        db = self._opened()
        try:
            db.execute("begin")
            StoreTables(db).put_record(WRITE_CHECK, secrets.token_bytes(8))
            db.execute("commit")
        except (sqlite3.Error, OSError) as error:
            self._fail(error)

    def _opened(self) -> sqlite3.Connection:
        if self._db is None:
            raise StoreFailed(f"{self.path}: the store is closed")
        return self._db

    def _fail(self, error: Exception) -> None:
        """Close the store, as it is unknown whether the failed write was stored, and raise StoreFailed."""
        self.close()
        raise StoreFailed(f"{self.path}: {error}") from None

    def close(self) -> None:
        """Close the file and release its lock."""
        db, self._db = self._db, None
        if db is not None:
            db.close()

    # ---- moving ----

    def accept_move(self) -> None:
        """Record the present location of a file that was moved here; its original must not exist any more.

        Raises StoreBusy or StoreFailed.
        """
        if not self.path.exists():
            raise StoreFailed(f"{self.path}: the store does not exist")
        try:
            with closing(sqlite3.connect(self.path, timeout=LOCK_TIMEOUT_S, isolation_level=None)) as db:
                db.execute("begin exclusive")
                StoreTables(db).put_record(LOCATION, self._location())
                db.execute("commit")
        except sqlite3.OperationalError as error:
            raise _operational_error(self.path, error) from None
        except sqlite3.Error as error:
            raise StoreFailed(f"{self.path}: {error}") from None


def _operational_error(path: Path, error: sqlite3.OperationalError) -> StoreError:
    if "locked" in str(error):
        return StoreBusy(f"{path}: another process holds its lock")
    return StoreFailed(f"{path}: {error}")


def _read_snapshot(tables: StoreTables) -> Snapshot:
    data = tables.record(SNAPSHOT)
    if data is None:
        return Snapshot()
    stored = _decode_snapshot(data)
    return Snapshot(stored.index, stored.term, stored.voters, stored.state)


def _write(tables: StoreTables, write: StoreWrite) -> None:
    """Apply a write within the caller's transaction."""
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
