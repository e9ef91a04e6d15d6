"""Decoding of the simulator's records into events of a gateway."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from ..policy.events import (
    AnswerStarted,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Event,
    HealthCheckEnded,
    PeerMessageReceived,
    RequestReceived,
    TimerFired,
)
from .protocol import (
    ENTRY,
    EVENT_SIZE,
    LIST_KINDS,
    RECORD_HEADER,
    RESULTS,
    EventCode,
    Started,
    Stopped,
    WireError,
)
from .settings_text import parse_settings

MAX_LOAD_REPORT = 4  # values
IS_RETRY_FLAG = 2  # bit of a request's flags

Fields = tuple[Any, ...]  # of a record, after its header
Sheets = dict[int, tuple[Endpoint, ...]]  # endpoint sheets, by number
Value = TypeVar("Value")


def _lookup(table: Mapping[int, Value], code: int, kind: str) -> Value:
    try:
        return table[code]
    except KeyError:
        raise WireError(f"unknown {kind} {code}") from None


def _result(code: int) -> AttemptResult:
    return _lookup(RESULTS, code, "completion code")


def _load_report(fields: Fields) -> tuple[float, ...]:
    count = fields[0]
    if count > MAX_LOAD_REPORT:
        raise WireError(f"load report: expected at most {MAX_LOAD_REPORT} values, got {count}")
    return fields[1 : 1 + count]


@dataclass(slots=True, frozen=True)
class FrameData:
    """The data that the records of one frame refer to."""

    tail: bytes
    sheets: Sheets

    def slice(self, offset: int, length: int) -> bytes:
        """Return a part of the tail; raise ``WireError`` if it ends beyond the tail."""
        if offset + length > len(self.tail):
            raise WireError(f"field ends at byte {offset + length} of a tail of {len(self.tail)} bytes")
        return self.tail[offset : offset + length]

    def endpoints(self, offset: int, count: int) -> tuple[Endpoint, ...]:
        """Decode the endpoints of a sheet; raise ``WireError`` on an unknown mode."""
        sheet = []
        for entry in ENTRY.iter_unpack(self.slice(offset, count * ENTRY.size)):
            node_id, zone, flavor, shard, state, capacity, started_us = entry
            if state > max(EndpointState):
                raise WireError(f"unknown mode {state}")
            sheet.append(Endpoint(node_id, shard, EndpointState(state), zone, flavor, capacity, started_us))
        return tuple(sheet)


def _start(frame: FrameData, fields: Fields) -> Started:
    seed, offset, length = fields
    return Started(seed, parse_settings(frame.slice(offset, length)))


def _stop(frame: FrameData, fields: Fields) -> Stopped:
    return Stopped()


def _endpoint_list(frame: FrameData, fields: Fields) -> EndpointList:
    _, sheet, kind_code = fields
    kind = _lookup(LIST_KINDS, kind_code, "list scope")
    if kind is EndpointListKind.FAILED:
        return EndpointList(kind)
    return EndpointList(kind, _lookup(frame.sheets, sheet, "sheet"))


def _request_received(frame: FrameData, fields: Fields) -> RequestReceived:
    request_id, class_index, flags, shard, plan_index, deadline_us, units, key, gateways, volume_id = fields
    return RequestReceived(
        request_id,
        class_index,
        deadline_us,
        int(shard),
        plan_index,
        units,
        key,
        volume_id,
        gateways_in_use=max(1.0, gateways),
        is_retry=bool(flags & IS_RETRY_FLAG),
    )


def _answer_started(frame: FrameData, fields: Fields) -> AnswerStarted:
    return AnswerStarted(*fields)


def _attempt_ended(frame: FrameData, fields: Fields) -> AttemptEnded:
    request_id, code, attempt, node_id, quota_used, elapsed_us, finished, elsewhere, *report = fields
    return AttemptEnded(
        request_id,
        attempt,
        node_id,
        _result(code),
        elapsed_us,
        bool(finished),
        quota_used,
        elsewhere,
        _load_report(tuple(report)),
    )


def _client_disconnected(frame: FrameData, fields: Fields) -> ClientDisconnected:
    return ClientDisconnected(*fields)


def _timer_fired(frame: FrameData, fields: Fields) -> TimerFired:
    return TimerFired(*fields)


def _health_check_ended(frame: FrameData, fields: Fields) -> HealthCheckEnded:
    node_id, elapsed_us, code, *report = fields
    return HealthCheckEnded(node_id, _result(code), elapsed_us, _load_report(tuple(report)))


def _peer_message(frame: FrameData, fields: Fields) -> PeerMessageReceived:
    sender, offset, length = fields
    return PeerMessageReceived(sender, frame.slice(offset, length))


@dataclass(slots=True, frozen=True)
class EventFormat:
    """The layout of one kind of event record after its header, and its decoder."""

    layout: struct.Struct
    decode: Callable[[FrameData, Fields], Event | Started | Stopped]


SHEET_LAYOUT = struct.Struct("<II")  # offset, entries
EVENT_FORMATS: dict[int, EventFormat] = {
    EventCode.START: EventFormat(struct.Struct("<QII"), _start),
    EventCode.ENDPOINT_LIST: EventFormat(struct.Struct("<QIB"), _endpoint_list),
    EventCode.REQUEST_RECEIVED: EventFormat(struct.Struct("<IBHfHQfQfQ"), _request_received),
    EventCode.ANSWER_STARTED: EventFormat(struct.Struct("<IB6sI"), _answer_started),
    EventCode.ATTEMPT_ENDED: EventFormat(struct.Struct("<IBB6sHIBHB4f"), _attempt_ended),
    EventCode.CLIENT_DISCONNECTED: EventFormat(struct.Struct("<I"), _client_disconnected),
    EventCode.TIMER_FIRED: EventFormat(struct.Struct("<Q"), _timer_fired),
    EventCode.HEALTH_CHECK_ENDED: EventFormat(struct.Struct("<6sIBB4f"), _health_check_ended),
    EventCode.PEER_MESSAGE: EventFormat(struct.Struct("<HII"), _peer_message),
    EventCode.STOP: EventFormat(struct.Struct("<"), _stop),
}


def read_batch(body: bytes, count: int, sheets: Sheets) -> Iterator[tuple[int, Event | Started | Stopped]]:
    """Yield the events of one frame's body, each with its gateway; store endpoint sheets in ``sheets``.

    Raises ``WireError`` at the first malformed record, after the events before it.
    """
    records_size = count * EVENT_SIZE
    if len(body) < records_size:
        raise WireError(f"frame body: expected at least {records_size} bytes of records, got {len(body)}")
    frame = FrameData(body[records_size:], sheets)
    for at in range(0, records_size, EVENT_SIZE):
        code, number = RECORD_HEADER.unpack_from(body, at)
        if code == EventCode.ENDPOINT_SHEET:
            sheets[number] = frame.endpoints(*SHEET_LAYOUT.unpack_from(body, at + RECORD_HEADER.size))
        else:
            event_format = _lookup(EVENT_FORMATS, code, "event code")
            fields = event_format.layout.unpack_from(body, at + RECORD_HEADER.size)
            yield number, event_format.decode(frame, fields)
