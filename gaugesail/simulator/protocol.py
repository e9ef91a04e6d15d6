"""The simulator's wire: the codes, frames and errors that both directions share.

A frame is a header, records of one size, and a tail that records point into.  The wire's own codes and names
are mapped to the gateway's terms in this package and nowhere else: codes here, records in ``event_records``
and ``action_records``, settings in ``settings_text``.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from ..policy.events import AttemptResult, EndpointListKind
from ..policy.settings import Settings


class WireError(Exception):
    """The input does not follow the wire; the text names what is wrong as the wire names it."""


EVENT_SIZE = 56  # bytes of a record
ACTION_SIZE = 24
HEADER = struct.Struct("<IIQ")  # records, bytes of the frame, now in microseconds
RECORD_HEADER = struct.Struct("<HI")  # code, gateway (or number of the sheet)
REPLY = struct.Struct("<II")  # records, bytes of the frame
ENTRY = struct.Struct("<6sHHHBfQ")  # node, zone, flavor, shard, state, capacity, start
ALL_GATEWAYS = 0xFFFF


class EventCode(IntEnum):
    """Records that come in; the wire's own name stands beside those that it names."""

    START = 1  # ENLIST
    ENDPOINT_LIST = 2  # PEERS_KNOWN
    REQUEST_RECEIVED = 3
    ANSWER_STARTED = 4
    ATTEMPT_ENDED = 5
    CLIENT_DISCONNECTED = 6
    TIMER_FIRED = 7
    HEALTH_CHECK_ENDED = 8
    PEER_MESSAGE = 9  # INBOX
    STOP = 10  # POWER_OFF
    ENDPOINT_SHEET = 11  # CENSUS


class ActionCode(IntEnum):
    """Records that go out."""

    POLL_ENDPOINTS = 65
    WATCH_ENDPOINTS = 66
    CANCEL_ATTEMPT = 67
    START_ATTEMPT = 68
    SET_TIMER = 69
    CLOSE_IDLE_CONNECTIONS = 70
    WRITE_LOG = 71
    REJECT_REQUEST = 72
    SEND_PEER_MESSAGE = 73
    CHECK_HEALTH = 74
    FAIL_REQUEST = 75
    CRASH = 76


RESULTS = {
    0: AttemptResult.SERVED,
    5: AttemptResult.ERROR,
    11: AttemptResult.REJECTED,
    104: AttemptResult.RESET,
    110: AttemptResult.TIMEOUT,
    111: AttemptResult.NO_CONNECTION,
    114: AttemptResult.NOT_STARTED,
    125: AttemptResult.CANCELLED,
}
LIST_KINDS = {
    0: EndpointListKind.CHANGES,
    1: EndpointListKind.CACHED,
    2: EndpointListKind.FULL,
    3: EndpointListKind.FAILED,
}


@dataclass(slots=True, frozen=True)
class Started:
    """A gateway starts, with its settings and the seed of its draws."""

    seed: int
    settings: Settings


@dataclass(slots=True, frozen=True)
class Stopped:
    """A gateway was killed."""


@dataclass(slots=True, frozen=True)
class Crash:
    """A gateway raised an exception; its day ends."""

    text: str
