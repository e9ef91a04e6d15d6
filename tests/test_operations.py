"""What operators ask for outlives the process that was asked."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from gaugesail.core.engine import MOST_IDS
from gaugesail.state import State, StateError, StateFile
from marllift import interface as api

from .rehearse import play

OUT = "brick b1\ncaller o1\nclient c1\nsend o1 call POST /bricks/b1/maint\nexpect o1 200\n"


def test_a_later_process_knows_what_is_in_maintenance_and_whether_it_is_drained(tmp_path: Path) -> None:
    folder, listen = {"TMPDIR": str(tmp_path)}, "daemon http listen=127.0.0.1:9000\n"
    play(listen + OUT + "expect o1 closed\nsend o1 call POST /healthcheck/fail\nexpect o1 200", **folder)
    assert len(list(tmp_path.iterdir())) == 1, "one file, and nothing beside it"
    asks = "send c1 get /_health\nexpect c1 503\nexpect c1 closed\n"
    asks += "send c1 request a\nexpect c1 503 refused* within 0.05\n"
    back = "expect o1 closed\nsend o1 call POST /bricks/b1/ready\nexpect o1 200\nwait 0.6\n"
    served = "send c1 request b\nexpect b1 request b\nsend b1 answer b 200 hello\nexpect c1 200 hello"
    play(listen + OUT + asks + back + "expect c1 closed\n" + served, **folder)
    other = "daemon http listen=127.0.0.1:9001\nbrick b1\nclient c1\nsend c1 get /_health\nexpect c1 200"
    play(other, **folder)


def test_what_cannot_be_written_down_is_told_no_and_not_done() -> None:
    asks = OUT.replace("200", "503 *down*")
    serves = "send c1 request a\nexpect b1 request a\nsend b1 answer a 200 hello\nexpect c1 200 hello"
    assert not play(asks + serves, TMPDIR="/nowhere").head.engine.away


def test_a_file_that_cannot_be_read_is_said_and_keeps_no_head_from_starting(tmp_path: Path) -> None:
    file = StateFile(str(tmp_path), ("127.0.0.1", 9000))
    assert file.read() == State()
    assert file.path is not None
    for bad in ("", "[]", "{", '{"away": 3, "drained": true}', '{"away": []}'):
        file.path.write_text(bad)
        with pytest.raises(StateError):
            file.read()
    listen = "daemon http listen=127.0.0.1:9000\nclient c1\nsend c1 get /_health\nexpect c1 200"
    play(listen, TMPDIR=str(tmp_path))
    file.write(State(frozenset({b"s-1"}), True))
    assert file.read() == State(frozenset({b"s-1"}), True)
    assert os.listdir(tmp_path) == [file.path.name]


def test_ids_ever_listed_are_known_and_bounded() -> None:
    engine = play("brick b1\nclient c1\nsend c1 get /_health\nexpect c1 200").head.engine
    for n in range(MOST_IDS + 10):
        engine.listed(api.NodeList(api.ListKind.CHANGES, (api.Node(b"s-%d" % n, 0, api.NodeMode.GONE),)))
    assert engine.has_seen(b"s-11") and not engine.has_seen(b"s-1") and len(engine._seen) == MOST_IDS
