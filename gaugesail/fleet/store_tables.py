"""The tables of a fleet store: named records and log entries, each with its checksum.

The caller begins and commits transactions.
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
    """The stored data cannot be used; the text is the reason."""


def _checksum(data: bytes) -> str:
    return xxhash.xxh3_64_hexdigest(data)


class StoreTables:
    """Reads and writes records and log entries through one connection.  All methods raise sqlite3.Error."""

    def __init__(self, db: sqlite3.Connection) -> None:
        self._db = db

    def create(self) -> None:
        """Create the tables that do not exist."""
        for statement in _TABLES:
            self._db.execute(statement)

    # ---- named records ----

    def record(self, name: str) -> bytes | None:
        """Return a record; None if there is none.  Raises DamagedStore if its checksum differs."""
        row = self._db.execute("select data, sum from one where name = ?", (name,)).fetchone()
        if row is None:
            return None
        data, checksum = row
        if _checksum(data) != checksum:
            raise DamagedStore(f"damaged: the checksum of record {name!r} differs from the stored one")
        return bytes(data)

    def put_record(self, name: str, data: bytes) -> None:
        """Insert or replace a record."""
        self._db.execute("insert or replace into one values (?, ?, ?)", (name, data, _checksum(data)))

    def delete_record(self, name: str) -> None:
        """Delete a record if it exists."""
        self._db.execute("delete from one where name = ?", (name,))

    # ---- log entries ----

    def has_entries(self) -> bool:
        """Return whether the log has any entry."""
        return self._db.execute("select 1 from log").fetchone() is not None

    def entries(self, first_index: int) -> Iterator[bytes]:
        """Yield all entries in order.

        Raises DamagedStore if one is damaged, or missing from this index on.
        """
        expected = first_index
        for index, data, checksum in self._db.execute("select at, data, sum from log order by at"):
            if index != expected or _checksum(data) != checksum:
                raise DamagedStore(
                    f"damaged: log entry {index} was read where entry {expected} is expected;"
                    " if the numbers are equal, its checksum differs from the stored one"
                )
            expected += 1
            yield data

    def replace_entries(self, first_index: int, entries: Iterable[bytes]) -> None:
        """Replace all entries from this index on."""
        self._db.execute("delete from log where at >= ?", (first_index,))
        rows = [(index, data, _checksum(data)) for index, data in enumerate(entries, first_index)]
        self._db.executemany("insert into log values (?, ?, ?)", rows)

    def delete_entries_up_to(self, index: int) -> None:
        """Delete the entries up to this index, which a snapshot replaces."""
        self._db.execute("delete from log where at <= ?", (index,))

    def delete_all_entries(self) -> None:
        """Delete all entries."""
        self._db.execute("delete from log")
