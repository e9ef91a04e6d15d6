"""Encoding of a gateway's actions as records for the simulator."""

from __future__ import annotations

import struct
from collections.abc import Callable, Sequence
from typing import Any

from ..policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    PollEndpoints,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from .protocol import ACTION_SIZE, ALL_GATEWAYS, RECORD_HEADER, REPLY, ActionCode, Crash

# Layouts of records, each beginning with the code and the gateway.
FLAG = struct.Struct("<HIB")
REQUEST = struct.Struct("<HII")
REQUEST_AND_TIME = struct.Struct("<HIII")
ATTEMPT = struct.Struct("<HIIB")
ATTEMPT_START = struct.Struct("<HII6sI")
TIMER = struct.Struct("<HIQQ")
NODE = struct.Struct("<HI6s")
# Text of a WriteLog without one; it has the former name of the class, as replies are compared byte for byte.
LOG_TEXT = "Log(text={0.text!r}, event={0.event!r}, fields={0.fields!r})"
TEXT = struct.Struct("<HIII")  # offset and length in the tail
MESSAGE = struct.Struct("<HIHII")  # receiver; offset and length in the tail


def _poll_endpoints(gateway: int, action: PollEndpoints, tail: bytearray) -> bytes:
    return RECORD_HEADER.pack(ActionCode.POLL_ENDPOINTS, gateway)


def _watch_endpoints(gateway: int, action: WatchEndpoints, tail: bytearray) -> bytes:
    return FLAG.pack(ActionCode.WATCH_ENDPOINTS, gateway, action.on)


def _cancel_attempt(gateway: int, action: CancelAttempt, tail: bytearray) -> bytes:
    return ATTEMPT.pack(ActionCode.CANCEL_ATTEMPT, gateway, action.request_id, action.attempt)


def _start_attempt(gateway: int, action: StartAttempt, tail: bytearray) -> bytes:
    return ATTEMPT_START.pack(
        ActionCode.START_ATTEMPT, gateway, action.request_id, action.node_id, action.timeout_us
    )


def _set_timer(gateway: int, action: SetTimer, tail: bytearray) -> bytes:
    return TIMER.pack(ActionCode.SET_TIMER, gateway, action.at_us, action.token)


def _close_idle_connections(gateway: int, action: CloseIdleConnections, tail: bytearray) -> bytes:
    return NODE.pack(ActionCode.CLOSE_IDLE_CONNECTIONS, gateway, action.node_id)


def _reject_request(gateway: int, action: RejectRequest, tail: bytearray) -> bytes:
    return REQUEST_AND_TIME.pack(ActionCode.REJECT_REQUEST, gateway, action.request_id, action.retry_after_us)


def _check_health(gateway: int, action: CheckHealth, tail: bytearray) -> bytes:
    return NODE.pack(ActionCode.CHECK_HEALTH, gateway, action.node_id)


def _fail_request(gateway: int, action: FailRequest, tail: bytearray) -> bytes:
    return REQUEST.pack(ActionCode.FAIL_REQUEST, gateway, action.request_id)


def _send_peer_message(gateway: int, action: SendPeerMessage, tail: bytearray) -> bytes:
    receiver = ALL_GATEWAYS if action.to is None else action.to
    record = MESSAGE.pack(ActionCode.SEND_PEER_MESSAGE, gateway, receiver, len(tail), len(action.data))
    tail += action.data
    return record


def _write_log(gateway: int, action: WriteLog, tail: bytearray) -> bytes:
    text = action.text or LOG_TEXT.format(action)
    return _text_record(ActionCode.WRITE_LOG, gateway, text, tail)


def _crash(gateway: int, crash: Crash, tail: bytearray) -> bytes:
    return _text_record(ActionCode.CRASH, gateway, crash.text, tail)


def _text_record(code: ActionCode, gateway: int, text: str, tail: bytearray) -> bytes:
    data = text.encode()
    record = TEXT.pack(code, gateway, len(tail), len(data))
    tail += data
    return record


# Each encoder returns the record of one kind of action and appends data of variable size to the tail.
ENCODERS: dict[type, Callable[[int, Any, bytearray], bytes]] = {
    PollEndpoints: _poll_endpoints,
    WatchEndpoints: _watch_endpoints,
    CancelAttempt: _cancel_attempt,
    StartAttempt: _start_attempt,
    SetTimer: _set_timer,
    CloseIdleConnections: _close_idle_connections,
    WriteLog: _write_log,
    RejectRequest: _reject_request,
    SendPeerMessage: _send_peer_message,
    CheckHealth: _check_health,
    FailRequest: _fail_request,
    Crash: _crash,
}


def write_reply(actions: Sequence[tuple[int, Action | Crash]]) -> bytes:
    """Encode one reply frame: the records of all actions, each with its gateway, in order."""
    records = bytearray()
    tail = bytearray()
    for gateway, action in actions:
        record = ENCODERS[type(action)](gateway, action, tail)
        records += record.ljust(ACTION_SIZE, b"\0")
    length = REPLY.size + len(records) + len(tail)
    return REPLY.pack(len(actions), length) + records + tail
