"""The adapter: the examples of the wire, and one plain line on malformed input."""

from __future__ import annotations

import io
import struct
import subprocess
import sys
from typing import Any

import pytest

from gaugesail.policy.actions import Action, WriteLog
from gaugesail.policy.settings import Plan, RequestClass, Settings
from gaugesail.simulator import protocol as wire
from gaugesail.simulator.action_records import write_reply
from gaugesail.simulator.adapter import serve

SETTINGS = """balancers=3
me=0
categories.count=1
categories.0.name=get
categories.0.aim_us=500000
categories.0.give_up_us=2500000
contracts.count=1
contracts.0.name=basic
something.new=1
"""


def frame(records: list[bytes], tail: bytes = b"", now: int = 5_000_000) -> bytes:
    body = b"".join(record.ljust(wire.EVENT_SIZE, b"\0") for record in records) + tail
    return wire.HEADER.pack(len(records), wire.HEADER.size + len(body), now) + body


def start(text: str = SETTINGS, gateway: int = 3) -> bytes:
    data = text.encode()
    entry = wire.ENTRY.pack(bytes(6), 0, 0, 0, 1, 1.0, 0)
    return frame(
        [
            struct.pack("<HIQII", wire.EventCode.START, gateway, 9, 0, len(data)),
            struct.pack("<HIII", wire.EventCode.ENDPOINT_SHEET, 0, len(data), 1),
            struct.pack("<HIQIB", wire.EventCode.ENDPOINT_LIST, gateway, 1, 0, 1),
        ],
        data + entry,
    )


def talk(*frames: bytes) -> bytes:
    sink = io.BytesIO()
    serve(io.BytesIO(b"".join(frames)), sink)
    return sink.getvalue()


def test_a_request_becomes_an_attempt() -> None:
    order = bytes.fromhex(
        "0300 03000000 c4913a5d 00 0100 00000000 0000 da05840000000000 00000040"
        "640ad2557c3bf091 00004040 107cf3d901648e2b"
    )
    reply = talk(start(), frame([order]))
    count, length = wire.REPLY.unpack_from(reply)
    second = reply[length:]
    place = second[wire.REPLY.size : wire.REPLY.size + wire.ACTION_SIZE]
    assert place.hex() == "440003000000c4913a5d" + "00" * 6 + "c05c1500" + "00" * 4  # 1.4 s of patience
    assert count == 1


def test_a_restart_drops_the_gateway_before() -> None:
    stop = frame([struct.pack("<HI", wire.EventCode.STOP, 3)])
    assert talk(start(), stop, start()).count(struct.pack("<HI", 69, 3)) == 2


def test_a_log_line_without_a_text_is_written_as_before_its_class_was_renamed() -> None:
    """Simulators of an older version's runs compare replies byte for byte."""
    note = write_reply([(5, WriteLog("", "storm_begins", (("shard", 3), ("phase", "down"))))])
    assert note.endswith(b"Log(text='', event='storm_begins', fields=(('shard', 3), ('phase', 'down')))")
    assert b"WriteLog" not in note


def test_log_texts_use_the_tail() -> None:
    note = write_reply([(5, WriteLog("two servers known"))])
    assert note.hex().startswith("01000000" + "31000000" + "4700" + "05000000" + "00000000" + "11000000")
    assert note.endswith(b"two servers known")


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (b"\1\0\0", "ends inside a frame"),
        (wire.HEADER.pack(2, 20, 0), "cannot hold"),
        (frame([struct.pack("<HI", 500, 1)]), "unknown event code"),
        (start()[:-8], "ends inside a frame"),
        (start(SETTINGS.replace("balancers=3\n", "")), "balancers is missing"),
        (start(SETTINGS.replace("=500000", "=soon")), "aim_us has the value"),
        (start(SETTINGS.replace("=500000", "=-4")), "aim_us"),
        (frame([struct.pack("<HI", 7, 8)]), "never started"),
    ],
    ids=["header", "count", "code", "truncated", "missing", "word", "negative", "stranger"],
)
def test_malformed_input_ends_with_one_line(data: bytes, words: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "gaugesail.simulator.adapter"], input=data, capture_output=True
    )
    assert done.returncode != 0
    text = done.stderr.decode()
    assert words in text and text.count("\n") == 1


def test_an_exception_becomes_crash(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: Any) -> list[Action]:
        raise IndexError("out of range")

    monkeypatch.setattr("gaugesail.policy.gateway.Gateway.handle", broken)
    assert b"IndexError: out of range" in talk(start())


@pytest.mark.parametrize(
    ("changes", "key"),
    [({"gateway_count": 0}, "gateway_count"), ({"overload_window_us": -1}, "overload_window_us"),
     ({"classes": ()}, "classes"), ({"gateway_index": 9}, "gateway_index"),
     ({"mean_request_units": 0}, "mean_request_units"),
     ({"initial_capacity_share": "x"}, "initial_capacity_share")],
)  # fmt: skip
def test_wrong_settings_name_the_key(changes: dict[str, Any], key: str) -> None:
    given: dict[str, Any] = {"classes": (RequestClass("a", 1, 1),), "plans": (Plan("p"),)}
    with pytest.raises(ValueError, match=key):
        Settings(**{**given, **changes})
