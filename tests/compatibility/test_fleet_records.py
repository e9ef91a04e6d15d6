"""A fleet's frames, log and store as dbd4a08 wrote them are read, and written again as the same bytes."""

from __future__ import annotations

import json
import shutil
from enum import IntEnum
from pathlib import Path
from typing import Any, get_args

import msgspec
import pytest

from gaugesail.coordination.fleet_terms import FleetTerms
from gaugesail.coordination.log_commands import Command, LogEntry
from gaugesail.coordination.messages import Message
from gaugesail.coordination.quota_ledger import QuotaLedger
from gaugesail.fleet.store import FleetStore
from gaugesail.fleet.wire import Wire

DATA = Path(__file__).parent / "data"
FRAMES: dict[str, Any] = json.loads((DATA / "fleet_frames.json").read_text())
ENTRIES: dict[str, Any] = json.loads((DATA / "log_entries.json").read_text())
LEDGER: dict[str, str] = json.loads((DATA / "ledger.json").read_text())
KEY = b"a key of thirty-two bytes, fixed"
STORE_NAME = "fleet-h1.sqlite"


def plain(value: Any) -> Any:
    """Return a record as nested lists of its values: field names may change, their order may not."""
    if isinstance(value, msgspec.Struct):
        return [plain(getattr(value, name)) for name in value.__struct_fields__]
    if isinstance(value, tuple):
        return [plain(item) for item in value]
    if isinstance(value, bytes):
        return value.hex()
    return int(value) if isinstance(value, IntEnum) else value


def tags(union: Any) -> set[str]:
    return {str(kind.__struct_config__.tag) for kind in get_args(union)}


def test_the_data_has_a_frame_and_an_entry_of_every_kind() -> None:
    assert len(FRAMES) == 21 and len(ENTRIES) == 9
    assert set(FRAMES) == tags(Message) and set(ENTRIES) == tags(Command)


@pytest.mark.parametrize("tag", FRAMES)
def test_a_frame_is_read_and_written_as_before(tag: str) -> None:
    frame, values = bytes.fromhex(FRAMES[tag]["frame"]), FRAMES[tag]["values"]
    read = Wire("f", "h0", 1, KEY).unpack(frame)
    assert read is not None
    sender, process, message = read
    assert (sender, process, plain(message)) == ("h1", 99, values)
    previous_frames = list(FRAMES).index(tag)
    sender_wire = Wire("f", "h1", 99, KEY)
    for _ in range(previous_frames):
        sender_wire.pack("h0", message)
    assert sender_wire.pack("h0", message) == frame


@pytest.mark.parametrize("tag", ENTRIES)
def test_a_log_entry_is_read_and_written_as_before(tag: str) -> None:
    stored = bytes.fromhex(ENTRIES[tag]["entry"])
    entry = msgspec.msgpack.decode(stored, type=LogEntry)
    assert plain(entry) == ENTRIES[tag]["values"]
    assert msgspec.msgpack.encode(entry) == stored


def test_a_ledger_is_read_and_written_as_before() -> None:
    ledger = QuotaLedger(FleetTerms("f", ("h0", "h1")))
    ledger.load(bytes.fromhex(LEDGER["dump"]))
    assert ledger.dump().hex() == LEDGER["dump"]


def test_a_store_is_read_completely(tmp_path: Path) -> None:
    shutil.copy(DATA / STORE_NAME, tmp_path / STORE_NAME)
    FleetStore(str(tmp_path), "h1").accept_move()  # an operator confirms that the file was moved
    store = FleetStore(str(tmp_path), "h1")
    loaded = store.open()
    store.close()
    assert not store.quarantined, "quarantined"
    assert msgspec.msgpack.encode(loaded.state).hex() == LEDGER["kept"]
    assert (loaded.snapshot.index, loaded.snapshot.term) == (8, 2)
    assert loaded.snapshot.state.hex() == LEDGER["dump"]
    assert [plain(entry) for entry in loaded.entries] == [row["values"] for row in ENTRIES.values()]
