"""The simulator's wire protocol: the codes, frames and errors of both directions.

A frame is a header, records of a fixed size, and a tail that records refer to.  The codes and names of the
protocol are mapped to the gateway's terms in this package only: codes here, records in ``event_records`` and
``action_records``, settings in ``settings_text``.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from ..policy.events import AttemptResult, EndpointListKind
from ..policy.settings import Settings


class WireError(Exception):
    """The input violates the protocol; the message uses the protocol's own names."""


EVENT_SIZE = 56  # bytes of an event record
ACTION_SIZE = 24  # bytes of an action record
HEADER = struct.Struct("<IIQ")  # of a frame: count of records, bytes of the frame, time in microseconds
RECORD_HEADER = struct.Struct("<HI")  # code, number of the gateway or endpoint sheet
REPLY = struct.Struct("<II")  # header of a reply: count of records, bytes of the frame
ENTRY = struct.Struct("<6sHHHBfQ")  # of a sheet: node, zone, flavor, shard, state, capacity, start
ALL_GATEWAYS = 0xFFFF  # as the receiver of a peer message


class EventCode(IntEnum):
    """Codes of event records; the comments give the protocol's own names."""

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
    """Codes of action records."""

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
    """A gateway starts with these settings and the seed of its random draws."""

    seed: int
    settings: Settings


@dataclass(slots=True, frozen=True)
class Stopped:
    """A gateway was killed."""


@dataclass(slots=True, frozen=True)
class Crash:
    """A gateway raised an exception, which ends the simulation run."""

    text: str
