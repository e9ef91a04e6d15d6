"""What a gateway takes in while it runs.

``AnswerStarted`` and ``HealthCheckEnded`` are part of the interface, but the present policy passes them over.
Events are immutable and carry no behaviour.  All times are integer microseconds of the caller's monotonic
clock, all sizes are units of work.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from .settings import NodeId, Settings


class AttemptResult(IntEnum):
    """How one attempt or health check ended."""

    SERVED = 0
    ERROR = 1  # the node failed it; it may have run
    REJECTED = 2  # the node did not accept it: it never ran
    TIMEOUT = 3  # it may have run, or may still run
    NO_CONNECTION = 4  # it never ran
    RESET = 5  # it may have run
    CANCELLED = 6  # it may have run
    NOT_STARTED = 7  # it was never sent: it never ran


class EndpointListKind(Enum):
    """What a list event carries."""

    CHANGES = "changes"  # endpoints that are not named stay as they are
    FULL = "full"  # endpoints that are not named are gone
    CACHED = "cached"  # the list of an earlier process: it may be old
    FAILED = "failed"  # no list: a call to discovery failed


class EndpointState(IntEnum):
    """A node's state in the list."""

    GONE = 0
    READY = 1
    DRAINING = 2


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One line of the endpoint list."""

    node_id: NodeId
    shard: int
    state: EndpointState = EndpointState.READY
    zone: int = 0
    flavor: int = 0
    capacity: float = 1.0
    started_us: int = 0  # by discovery's clock; 0: long ago


@dataclass(slots=True, frozen=True)
class EndpointList:
    """The endpoint list, changes to it, or the failure of a call for it."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestReceived:
    """A client's request, which is owed one final answer."""

    request_id: int
    class_index: int
    deadline_us: int  # when its client gives up
    shard: int = -1  # -1: a new object, which any shard may take
    plan_index: int = 0
    units: float = 1.0
    key: int = 0  # idempotency key and ordered key; 0: none
    volume_id: int = 0
    gateways_in_use: float = 1.0  # through which the volume's requests can come
    is_retry: bool = False  # marked so by the client
    settings: Settings | None = None  # those it was received under, where they may be older than the latest
    received_us: int = 0  # when its time began to run, where that is earlier than this event; 0: now


@dataclass(slots=True, frozen=True)
class AnswerStarted:
    """A streamed answer has begun; the client has it from here on."""

    request_id: int
    attempt: int
    node_id: NodeId
    elapsed_us: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The end of one attempt."""

    request_id: int
    attempt: int
    node_id: NodeId
    result: AttemptResult
    elapsed_us: int = 0
    request_finished: bool = False
    quota_used: int = 0  # 1 + percent of the plan's rate; 0: not known
    served_elsewhere_units: int = 0  # for the volume, by this shard, through other gateways
    load_report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client left: its request is owed no answer any more."""

    request_id: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set earlier is due."""

    token: int


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """The end of a health check."""

    node_id: NodeId
    result: AttemptResult
    elapsed_us: int = 0
    load_report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class PeerMessageReceived:
    """A short message from another gateway."""

    sender: int
    data: bytes


@dataclass(slots=True, frozen=True)
class MaintenanceChanged:
    """Operators take a node out of use, or put it back: until then it is out whatever lists say."""

    node_id: NodeId
    in_maintenance: bool


@dataclass(slots=True, frozen=True)
class SiblingProcessChanged:
    """Another process of this gateway works beside this one, or no longer does."""

    present: bool


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """Other settings from now on; open requests keep those that they were received under."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class QuotaChanged:
    """What the fleet lets this gateway send: rates in units a second, bursts in units."""

    lease_until_us: int  # allocations hold until then, floors at any time
    allocations: tuple[tuple[str, int, float, float], ...] = ()  # plan, volume, rate, burst: the changed ones
    floors: tuple[tuple[str, float, float], ...] | None = (
        None  # by plan, for each of its volumes: rate and burst; None: as before
    )
    replaces_all: bool = False  # allocations that are not named end


Event = (
    QuotaChanged
    | MaintenanceChanged
    | SiblingProcessChanged
    | EndpointList
    | RequestReceived
    | AnswerStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | PeerMessageReceived
    | SettingsChanged
)
