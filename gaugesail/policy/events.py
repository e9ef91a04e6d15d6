"""The events that a gateway handles while it runs.

``AnswerStarted`` and ``HealthCheckEnded`` are part of the interface, but the present policy ignores them.
Events are immutable and carry no behaviour.  All times are integer microseconds of the caller's monotonic
clock unless a comment names another, all sizes are units of work.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from .settings import NodeId, Settings


class AttemptResult(IntEnum):
    """How one attempt or health check ended."""

    SERVED = 0
    ERROR = 1  # the node reported a failure; the request may have been executed
    REJECTED = 2  # the node did not accept the request; it was not executed
    TIMEOUT = 3  # the request may have been executed, or may still be running
    NO_CONNECTION = 4  # not executed
    RESET = 5  # the request may have been executed
    CANCELLED = 6  # the request may have been executed
    NOT_STARTED = 7  # never sent, so not executed


class EndpointListKind(Enum):
    """What an ``EndpointList`` event contains."""

    CHANGES = "changes"  # endpoints that are not listed keep their state
    FULL = "full"  # endpoints that are not listed no longer exist
    CACHED = "cached"  # the full list of an earlier process; it may be outdated
    FAILED = "failed"  # no list: a call to discovery failed


class EndpointState(IntEnum):
    """The state of a node in the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list."""

    node_id: NodeId
    shard: int
    state: EndpointState = EndpointState.READY
    zone: int = 0
    flavor: int = 0  # kind of node; the present policy ignores it
    capacity: float = 1.0  # as listed; the present policy ignores it
    started_us: int = 0  # on discovery's clock; 0: long ago


@dataclass(slots=True, frozen=True)
class EndpointList:
    """The endpoint list, changes to it, or a failure to fetch it."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestReceived:
    """A request of a client; it gets exactly one final answer, unless the client disconnects."""

    request_id: int
    class_index: int
    deadline_us: int  # when the client gives up
    shard: int = -1  # -1: a new object, which any shard may store
    plan_index: int = 0
    units: float = 1.0
    key: int = 0  # idempotency key and ordered key; 0: none
    volume_id: int = 0
    gateways_in_use: float = 1.0  # number of gateways that the volume's requests are spread over
    is_retry: bool = False  # marked as a retry by the client
    settings: Settings | None = None  # in force when it was received; None: the gateway's present ones
    received_us: int = 0  # when the request was received, if earlier than this event; 0: now
    start_before_us: int = 0  # its node has been told how long it may take: no attempt from then on; 0: any


@dataclass(slots=True, frozen=True)
class AnswerStarted:
    """The first part of a streamed answer was passed to the client."""

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
    request_finished: bool = False  # its client has the final answer, or has disconnected
    quota_used: int = 0  # 1 + percent of the plan's rate; 0: unknown
    served_elsewhere_units: int = 0  # units this shard served for the volume through other gateways
    load_report: tuple[float, ...] = ()  # from the node; the present policy ignores it
    answer_continues: bool = False  # SERVED by the first part of an answer that is passed on as it comes


class AnswerEnding(Enum):
    """How an answer ended that was passed on as it came."""

    WHOLE = "whole"
    BROKEN = "broken"  # by its node, by the gateway, or as its client has left: the node may work on it
    MOVED = "moved"  # the successor process passes it on


@dataclass(slots=True, frozen=True)
class AnswerEnded:
    """The end of an answer that continued after ``AttemptEnded``, or after ``AnswerAdopted``."""

    request_id: int
    attempt: int
    ending: AnswerEnding


@dataclass(slots=True, frozen=True)
class AnswerAdopted:
    """This process passes on the answer to a request of an ordered key that its predecessor has served."""

    request_id: int  # of this process; its attempt has the number 0
    key: int


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client disconnected; its request needs no answer."""

    request_id: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that ``SetTimer`` started is due."""

    token: int


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """The end of a health check."""

    node_id: NodeId
    result: AttemptResult
    elapsed_us: int = 0
    load_report: tuple[float, ...] = ()  # from the node; the present policy ignores it


@dataclass(slots=True, frozen=True)
class PeerMessageReceived:
    """A short message from another gateway."""

    sender: int
    data: bytes


@dataclass(slots=True, frozen=True)
class MaintenanceChanged:
    """An operator begins or ends the maintenance of a node.

    A node in maintenance is not used, whatever its state in the endpoint list.
    """

    node_id: NodeId
    in_maintenance: bool


@dataclass(slots=True, frozen=True)
class SiblingProcessChanged:
    """Another process of this gateway has started or stopped serving beside this one.

    :param is_predecessor: the other process has used this gateway's limits and budgets up to now.
    """

    present: bool
    is_predecessor: bool = False


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """This process is to end: requests without an answer by ``answers_due_us`` are failed by the caller."""

    answers_due_us: int


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings apply from now on; open requests keep those in force when they were received."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class QuotaChanged:
    """The fleet changed this gateway's quota; rates are in units per second, bursts in units."""

    lease_until_us: int  # end of the lease: allocations are valid until then; floors need no lease
    allocations: tuple[tuple[str, int, float, float], ...] = ()  # changed ones: plan, volume, rate, burst
    floors: tuple[tuple[str, float, float], ...] | None = (
        None  # plan, rate and burst of each of the plan's volumes; None: unchanged
    )
    replaces_all: bool = False  # allocations that are not listed end


class KeyAuthority(Enum):
    """Which process of this gateway decides the order of the requests of a key."""

    OWN = "own"
    SIBLING = "sibling"  # it is asked for each ordered request (``ClaimKey``)
    UNAVAILABLE = "unavailable"  # another process may send requests, but it cannot be asked: all wait


@dataclass(slots=True, frozen=True)
class KeyAuthorityChanged:
    """Another process decides the order of keys from now on; all claims and grants of before end.

    :param attempts_unknown: a process has ended without a report, so that its attempts may be running on
        any key.
    :param paused_keys: the keys on which its attempts may be running, each with the end of its pause.
    """

    authority: KeyAuthority
    attempts_unknown: bool = False
    paused_keys: tuple[tuple[int, int], ...] = ()


@dataclass(slots=True, frozen=True)
class KeyClaimed:
    """The sibling process has received a request of an ordered key."""

    claim_id: int
    key: int
    received_us: int
    is_held: bool = False  # an attempt of an earlier grant is in flight


@dataclass(slots=True, frozen=True)
class KeyReleased:
    """A request that the sibling process claimed a key for is finished, and none of its attempts is out."""

    claim_id: int
    paused_until: int = 0  # until then an attempt may still be running at its node; 0: none


@dataclass(slots=True, frozen=True)
class KeyGranted:
    """The sibling process has granted a request its ordered key."""

    request_id: int


Event = (
    KeyAuthorityChanged
    | KeyClaimed
    | KeyReleased
    | KeyGranted
    | QuotaChanged
    | MaintenanceChanged
    | SiblingProcessChanged
    | ShutdownStarted
    | EndpointList
    | RequestReceived
    | AnswerStarted
    | AnswerEnded
    | AnswerAdopted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | PeerMessageReceived
    | SettingsChanged
)
