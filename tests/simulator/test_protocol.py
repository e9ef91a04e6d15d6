"""The simulator adapter: example frames of the protocol, and one error line on malformed input."""

from __future__ import annotations

import io
import struct
import subprocess
import sys
from typing import Any

import pytest

from gaugesail.policy.actions import Action, WriteLog
from gaugesail.policy.gateway_state import MAX_TICK_US
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


def exchange(*frames: bytes) -> bytes:
    sink = io.BytesIO()
    serve(io.BytesIO(b"".join(frames)), sink)
    return sink.getvalue()


def test_a_request_becomes_an_attempt() -> None:
    request = bytes.fromhex(
        "0300 03000000 c4913a5d 00 0100 00000000 0000 da05840000000000 00000040"
        "640ad2557c3bf091 00004040 107cf3d901648e2b"
    )
    reply = exchange(start(SETTINGS + "permissions.max_attempts=2\n"), frame([request]))
    count, length = wire.REPLY.unpack_from(reply)
    second = reply[length:]
    record = second[wire.REPLY.size : wire.REPLY.size + wire.ACTION_SIZE]
    half_us = struct.pack("<I", (8_652_250 - 5_000_000 - 2 * MAX_TICK_US) // 2).hex()
    assert record.hex() == "440003000000c4913a5d" + "00" * 6 + half_us + "00" * 4
    assert count == 1


def test_a_restart_replaces_the_gateway() -> None:
    stop = frame([struct.pack("<HI", wire.EventCode.STOP, 3)])
    assert exchange(start(), stop, start()).count(struct.pack("<HI", 69, 3)) == 2


def test_a_log_line_without_a_text_keeps_the_old_name_of_its_class() -> None:
    """Replies are compared byte for byte with those of versions before the class was renamed."""
    reply = write_reply([(5, WriteLog("", "storm_begins", (("shard", 3), ("phase", "down"))))])
    assert reply.endswith(b"Log(text='', event='storm_begins', fields=(('shard', 3), ('phase', 'down')))")
    assert b"WriteLog" not in reply


def test_log_texts_use_the_tail() -> None:
    reply = write_reply([(5, WriteLog("two servers known"))])
    assert reply.hex().startswith("01000000" + "31000000" + "4700" + "05000000" + "00000000" + "11000000")
    assert reply.endswith(b"two servers known")


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\1\0\0", "ends inside a frame"),
        (wire.HEADER.pack(2, 20, 0), "too short for its 2 records"),
        (frame([struct.pack("<HI", 500, 1)]), "unknown event code"),
        (start()[:-8], "ends inside a frame"),
        (start(SETTINGS.replace("balancers=3\n", "")), "balancers is missing"),
        (start(SETTINGS.replace("=500000", "=soon")), "aim_us: invalid value 'soon'"),
        (start(SETTINGS.replace("=500000", "=-4")), "aim_us"),
        (frame([struct.pack("<HI", 7, 8)]), "expected an event for a running gateway, got one for gateway 8"),
    ],
    ids=["header", "count", "code", "truncated", "missing", "not-a-number", "negative", "unknown-gateway"],
)
def test_malformed_input_ends_with_one_line(data: bytes, message: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "gaugesail.simulator.adapter"], input=data, capture_output=True
    )
    assert done.returncode != 0
    text = done.stderr.decode()
    assert message in text and text.count("\n") == 1


def test_an_exception_becomes_a_crash_record(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_index_error(*_: Any) -> list[Action]:
        raise IndexError("out of range")

    monkeypatch.setattr("gaugesail.policy.gateway.Gateway.handle", raise_index_error)
    assert b"IndexError: out of range" in exchange(start())


@pytest.mark.parametrize(
    ("changes", "field"),
    [({"gateway_count": 0}, "gateway_count"), ({"overload_window_us": -1}, "overload_window_us"),
     ({"classes": ()}, "classes"), ({"gateway_index": 9}, "gateway_index"),
     ({"mean_request_units": 0}, "mean_request_units"),
     ({"initial_capacity_share": "x"}, "initial_capacity_share")],
)  # fmt: skip
def test_invalid_settings_name_the_field(changes: dict[str, Any], field: str) -> None:
    valid: dict[str, Any] = {"classes": (RequestClass("a", 1, 1),), "plans": (Plan("p"),)}
    with pytest.raises(ValueError, match=field):
        Settings(**{**valid, **changes})
