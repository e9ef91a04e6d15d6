"""A gateway's store: contents survive a restart, one process at a time, copies and damage are detected."""

from __future__ import annotations

import shutil
import sqlite3
from pathlib import Path

import pytest

from gaugesail.coordination import messages as m
from gaugesail.coordination.persisted_state import PersistentState, StoredState, StoreWrite
from gaugesail.coordination.raft_log import Snapshot
from gaugesail.fleet.store import FleetStore, StoreBusy, StoreFailed


def open_store(folder: Path) -> tuple[FleetStore, StoredState]:
    store = FleetStore(str(folder), "h1")
    return store, store.open()


def entries(*terms: int) -> tuple[m.LogEntry, ...]:
    return tuple(m.LogEntry(term, m.OpenSession("h", term, "")) for term in terms)


def test_the_next_process_reads_what_was_written(tmp_path: Path) -> None:
    store, found = open_store(tmp_path)
    assert found.entries == [] and found.state.store_id
    state = PersistentState(
        found.state.store_id,
        3,
        9,
        voted_for="h2#s",
        term=7,
        floor_slot=2,
        floor_version=4,
        floor_limits={"p": (1, 2)},
    )
    store.write(StoreWrite(state, 1, entries(1, 1, 2)))
    store.write(StoreWrite(state, 3, entries(3)))
    store.close()
    again = open_store(tmp_path)[1]
    assert again.state == state and [entry.term for entry in again.entries] == [1, 1, 3]


def test_a_snapshot_replaces_the_entries_that_it_covers(tmp_path: Path) -> None:
    store, found = open_store(tmp_path)
    store.write(StoreWrite(found.state, 1, entries(1, 1, 2)))
    store.write(StoreWrite(found.state, snapshot=Snapshot(2, 1, ("a#b",), b"ledger")))
    store.close()
    again = open_store(tmp_path)[1]
    assert again.snapshot == Snapshot(2, 1, ("a#b",), b"ledger") and [e.term for e in again.entries] == [2]


def test_a_replaced_store_begins_with_an_empty_log(tmp_path: Path) -> None:
    store, found = open_store(tmp_path)
    store.write(StoreWrite(found.state, 1, entries(1, 1)))
    store.write(StoreWrite(PersistentState("other"), replaces_store=True))
    store.close()
    again = open_store(tmp_path)[1]
    assert again.state.store_id == "other" and not again.entries and not again.snapshot.index


def test_the_store_is_locked_by_one_process_at_a_time(tmp_path: Path) -> None:
    store, _ = open_store(tmp_path)
    with pytest.raises(StoreBusy):
        open_store(tmp_path)
    store.close()
    open_store(tmp_path)[0].close()


def test_a_copy_beside_its_original_is_quarantined(tmp_path: Path) -> None:
    store, found = open_store(tmp_path)
    store.close()
    (tmp_path / "b").mkdir()
    copy = tmp_path / "b" / "fleet-h1.sqlite"
    shutil.copy(store.path, copy)
    other, fresh = open_store(tmp_path / "b")
    assert fresh.state.store_id != found.state.store_id and "copy" in other.quarantined[0].reason
    assert Path(other.quarantined[0].path).exists(), "nothing is lost"
    other.close()


def test_a_moved_store_is_opened_once_an_operator_accepts_the_move(tmp_path: Path) -> None:
    store, found = open_store(tmp_path)
    with pytest.raises(StoreBusy):
        FleetStore(str(tmp_path), "h1").accept_move()
    store.close()
    (tmp_path / "b").mkdir()
    shutil.copy(store.path, tmp_path / "b" / "fleet-h1.sqlite")
    FleetStore(str(tmp_path / "b"), "h1").accept_move()
    again, loaded = open_store(tmp_path / "b")
    assert loaded.state.store_id == found.state.store_id
    again.close()
    with pytest.raises(StoreFailed):
        FleetStore(str(tmp_path), "h2").accept_move()


@pytest.mark.parametrize("damage", ["truncated", "noise", "changed", "gap"])
def test_a_damaged_store_is_quarantined_and_replaced_by_a_new_one(tmp_path: Path, damage: str) -> None:
    store, found = open_store(tmp_path)
    store.write(StoreWrite(found.state, 1, entries(1, 1, 2)))
    store.close()
    data = store.path.read_bytes()
    if damage == "truncated":
        with store.path.open("r+b") as file:
            file.truncate(len(data) // 2 + 100)
    elif damage == "noise":
        with store.path.open("r+b") as file:
            file.write(b"\x00noise" * 20)
    else:
        db = sqlite3.connect(store.path)
        db.execute(
            "update log set sum = 'x' where at = 2" if damage == "changed" else "delete from log where at = 2"
        )
        db.commit()
        db.close()
    again, loaded = open_store(tmp_path)
    assert loaded.state.store_id != found.state.store_id and not loaded.entries
    assert len(again.quarantined) == 1 and Path(again.quarantined[0].path).stat().st_size
    again.close()


def test_a_failed_write_raises_and_leaves_the_stored_data(tmp_path: Path) -> None:
    store, found = open_store(tmp_path)
    store.write(StoreWrite(found.state, 1, entries(1)))
    assert store._db is not None
    pages = store._db.execute("pragma page_count").fetchone()[0]
    store._db.execute(f"pragma max_page_count = {pages}")  # as a full disk would
    big = tuple(m.LogEntry(2, m.OpenSession("h" * 5000, n, "")) for n in range(20))
    with pytest.raises(StoreFailed):
        store.write(StoreWrite(PersistentState(found.state.store_id, 9), 2, big))
    with pytest.raises(StoreFailed):
        store.write(StoreWrite(found.state))  # after a failed write the store stays closed
    again, loaded = open_store(tmp_path)
    assert loaded.state.starts == found.state.starts and len(loaded.entries) == 1
    again.close()


def test_an_error_names_the_folder_that_does_not_exist(tmp_path: Path) -> None:
    with pytest.raises(StoreFailed, match="none"):
        FleetStore(str(tmp_path / "none"), "h1").open()
