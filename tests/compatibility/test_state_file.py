"""The operators' state file as dbd4a08 wrote it is read, and written again as the same bytes."""

from __future__ import annotations

import shutil
from pathlib import Path

from gaugesail.state import State, StateFile

DATA = Path(__file__).parent / "data"
NAME = "gaugesail-127.0.0.1-9000.json"


def test_the_state_file_is_read_and_written_as_before(tmp_path: Path) -> None:
    shutil.copy(DATA / NAME, tmp_path / NAME)
    file = StateFile(str(tmp_path), ("127.0.0.1", 9000))
    state = file.read()
    assert state == State(frozenset({b"b1", b"b2"}), True)
    file.write(state)
    assert (tmp_path / NAME).read_bytes() == (DATA / NAME).read_bytes()
