"""What a head keeps: its votes, its log, its life and its floor, in one SQLite file that one process holds.

A save is one transaction, on the disk before ``write`` returns.  The file knows where it was made: one that
lies elsewhere is a copy, and a copy beside its original must not spend the same floor.  What is torn or a
copy is put aside under another name, never thrown away, and a fresh store is made in its place.
"""

from __future__ import annotations

import secrets
import socket
import sqlite3
from pathlib import Path
from typing import Any

import msgspec
import xxhash

from gaugesail.coordination.consensus import Snapshot
from gaugesail.coordination.messages import LogEntry
from gaugesail.coordination.node import PersistentState, StoredState, StoreWrite

BUSY_S = 0.05
_TABLES = """
create table if not exists one (name text primary key, data blob not null, sum text not null) without rowid;
create table if not exists log (at integer primary key, data blob not null, sum text not null);
"""


class StoreBusy(Exception):
    """Another process holds it."""


class StoreFailed(Exception):
    """It can't be read or written; the text says why."""


class _Snapshot(msgspec.Struct):
    index: int
    term: int
    seats: tuple[str, ...]
    state: bytes


_pack = msgspec.msgpack.Encoder().encode
_kept = msgspec.msgpack.Decoder(PersistentState)
_snapshot = msgspec.msgpack.Decoder(_Snapshot)
_entry: msgspec.msgpack.Decoder[LogEntry] = msgspec.msgpack.Decoder(LogEntry)


def _sum(data: bytes) -> str:
    return xxhash.xxh3_64_hexdigest(data)


class FleetStore:
    """One head's store.  ``notes`` tell what was put aside."""

    def __init__(self, folder: str, head: str) -> None:
        self.path = Path(folder) / f"fleet-{head}.sqlite"
        self.notes: list[dict[str, str]] = []
        self._db: sqlite3.Connection | None = None

    # ---- opening ----

    def open(self) -> StoredState:
        """Take the store and read it whole.  StoreBusy, StoreFailed."""
        for _ in range(2):
            try:
                return self._open()
            except _Aside as why:
                self._aside(str(why))
        raise StoreFailed(f"{self.path}: a fresh store cannot be read either")

    def _open(self) -> StoredState:
        try:
            # Held from here on: the lock is the process's own and goes with it, however it ends.
            db = sqlite3.connect(self.path, timeout=BUSY_S, isolation_level=None)
            self._db = db
            db.execute("pragma locking_mode = exclusive")
            db.execute("pragma synchronous = full")
            db.execute("begin exclusive")
            for statement in _TABLES.strip().split(";"):
                db.execute(statement)
            found = self._read(db)
            db.execute("commit")
            return found
        except sqlite3.OperationalError as error:
            self.close()
            if "locked" in str(error):
                raise StoreBusy(f"{self.path}: another process holds it") from None
            raise StoreFailed(f"{self.path}: {error}") from None
        except (sqlite3.DatabaseError, msgspec.MsgspecError) as error:
            self.close()
            raise _Aside(f"torn: {error}") from None
        except OSError as error:
            self.close()
            raise StoreFailed(f"{self.path}: {error}") from None

    def _home(self) -> bytes:
        """Where the file is: a copy has another."""
        stat = self.path.stat()
        return f"{socket.gethostname()} {stat.st_dev} {stat.st_ino}".encode()

    def _read(self, db: sqlite3.Connection) -> StoredState:
        home = self._one(db, "home")
        kept = self._one(db, "kept")
        if home is None or kept is None:
            if home is not None or kept is not None or db.execute("select 1 from log").fetchone():
                raise _Aside("torn: a part is missing")
            self._put(db, "home", self._home())
            fresh = PersistentState(secrets.token_hex(6))
            self._put(db, "kept", _pack(fresh))
            return StoredState(fresh)
        if home != self._home():
            raise _Aside(f"a copy: it was made at {home.decode(errors='replace')}")
        snapshot = Snapshot()
        if (data := self._one(db, "snapshot")) is not None:
            told = _snapshot.decode(data)
            snapshot = Snapshot(told.index, told.term, told.seats, told.state)
        log: list[LogEntry] = []
        for at, data, check in db.execute("select at, data, sum from log order by at"):
            if at != snapshot.index + 1 + len(log) or _sum(data) != check:
                raise _Aside(f"torn: entry {at}")
            log.append(_entry.decode(data))
        return StoredState(_kept.decode(kept), snapshot, log)

    def _one(self, db: sqlite3.Connection, name: str) -> bytes | None:
        row = db.execute("select data, sum from one where name = ?", (name,)).fetchone()
        if row is None:
            return None
        if _sum(row[0]) != row[1]:
            raise _Aside(f"torn: {name}")
        return bytes(row[0])

    def _aside(self, why: str) -> None:
        """Keep what can't be used, under another name."""
        self.close()
        number = 1
        while (to := self.path.with_suffix(f".aside-{number}")).exists():
            number += 1
        try:
            self.path.rename(to)
        except OSError as error:
            raise StoreFailed(f"{self.path}: {why}; {error}") from None
        Path(f"{self.path}-journal").unlink(missing_ok=True)  # of the old one: it must not meet the fresh one
        self.notes.append({"path": str(to), "why": why})

    # ---- writing ----

    def write(self, save: StoreWrite) -> None:
        """Keep it, whole and on the disk, before this returns.  StoreFailed: none of it is kept, or all."""
        db = self._db
        if db is None:
            raise StoreFailed(f"{self.path}: it is closed")
        try:
            db.execute("begin")
            if save.replaces_store:
                db.execute("delete from log")
                db.execute("delete from one where name = 'snapshot'")
            self._put(db, "kept", _pack(save.state))
            if save.first_index is not None:
                db.execute("delete from log where at >= ?", (save.first_index,))
                rows = [(at, data, _sum(data)) for at, data in self._rows(save.first_index, save.entries)]
                db.executemany("insert into log values (?, ?, ?)", rows)
            if (taken := save.snapshot) is not None:
                told = _Snapshot(taken.index, taken.term, taken.voters, taken.state)
                self._put(db, "snapshot", _pack(told))
                db.execute("delete from log where at <= ?", (taken.index,))
            db.execute("commit")
        except (sqlite3.Error, OSError) as error:
            self.close()  # what of it is kept, nobody here can say: this process writes no more
            raise StoreFailed(f"{self.path}: {error}") from None

    def prove(self) -> None:
        """Write something and sync it, so that it is known to be possible.  StoreFailed."""
        if self._db is None:
            raise StoreFailed(f"{self.path}: it is closed")
        try:
            self._db.execute("begin")
            self._put(self._db, "proof", secrets.token_bytes(8))
            self._db.execute("commit")
        except (sqlite3.Error, OSError) as error:
            self.close()
            raise StoreFailed(f"{self.path}: {error}") from None

    @staticmethod
    def _rows(first: int, entries: tuple[LogEntry, ...]) -> list[tuple[int, bytes]]:
        return [(at, _pack(entry)) for at, entry in enumerate(entries, first)]

    def _put(self, db: sqlite3.Connection, name: str, data: bytes) -> None:
        db.execute("insert or replace into one values (?, ?, ?)", (name, data, _sum(data)))

    def close(self) -> None:
        db, self._db = self._db, None
        if db is not None:
            db.close()


class _Aside(Exception):
    """It can't be used as it is; the text is why."""


def accept(folder: str, head: str) -> None:
    """An operator's word that a store was moved here and no original is left.  StoreBusy, StoreFailed."""
    store = FleetStore(folder, head)
    if not store.path.exists():
        raise StoreFailed(f"{store.path}: there is none")
    try:
        db: Any = sqlite3.connect(store.path, timeout=BUSY_S, isolation_level=None)
        try:
            db.execute("begin exclusive")
            store._put(db, "home", store._home())
            db.execute("commit")
        finally:
            db.close()
    except sqlite3.OperationalError as error:
        if "locked" in str(error):
            raise StoreBusy(f"{store.path}: another process holds it") from None
        raise StoreFailed(f"{store.path}: {error}") from None
    except sqlite3.Error as error:
        raise StoreFailed(f"{store.path}: {error}") from None
