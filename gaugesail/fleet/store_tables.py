"""The tables of a fleet store: named records and log entries, each beside its checksum.

Nothing here commits: a transaction is its caller's.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Iterator

import xxhash

_TABLES = (
    "create table if not exists one (name text primary key, data blob not null, sum text not null)"
    " without rowid",
    "create table if not exists log (at integer primary key, data blob not null, sum text not null)",
)


class DamagedStore(Exception):
    """What is stored cannot be used as it is; the text is why."""


def _checksum(data: bytes) -> str:
    return xxhash.xxh3_64_hexdigest(data)


class StoreTables:
    """Reads and writes within the transactions of one connection.  All calls raise sqlite3.Error."""

    def __init__(self, db: sqlite3.Connection) -> None:
        self._db = db

    def create(self) -> None:
        """Make the tables where there are none."""
        for statement in _TABLES:
            self._db.execute(statement)

    # ---- named records ----

    def record(self, name: str) -> bytes | None:
        """A record; None where there is none.  DamagedStore where its checksum differs."""
        row = self._db.execute("select data, sum from one where name = ?", (name,)).fetchone()
        if row is None:
            return None
        data, checksum = row
        if _checksum(data) != checksum:
            raise DamagedStore(f"torn: {name}")
        return bytes(data)

    def put_record(self, name: str, data: bytes) -> None:
        """Write a record in place of the one of this name."""
        self._db.execute("insert or replace into one values (?, ?, ?)", (name, data, _checksum(data)))

    def delete_record(self, name: str) -> None:
        """Remove a record, if there is one."""
        self._db.execute("delete from one where name = ?", (name,))

    # ---- log entries ----

    def has_entries(self) -> bool:
        """Whether there is any entry."""
        return self._db.execute("select 1 from log").fetchone() is not None

    def entries(self, first_index: int) -> Iterator[bytes]:
        """All entries, in order.  DamagedStore unless they begin at this index and none is missing."""
        expected = first_index
        for index, data, checksum in self._db.execute("select at, data, sum from log order by at"):
            if index != expected or _checksum(data) != checksum:
                raise DamagedStore(f"torn: entry {index}")
            expected += 1
            yield data

    def replace_entries(self, first_index: int, entries: Iterable[bytes]) -> None:
        """Write entries from this index on, in place of all that stood there."""
        self._db.execute("delete from log where at >= ?", (first_index,))
        rows = [(index, data, _checksum(data)) for index, data in enumerate(entries, first_index)]
        self._db.executemany("insert into log values (?, ?, ?)", rows)

    def delete_entries_up_to(self, index: int) -> None:
        """Remove what a snapshot covers."""
        self._db.execute("delete from log where at <= ?", (index,))

    def delete_all_entries(self) -> None:
        """Remove the whole log."""
        self._db.execute("delete from log")
