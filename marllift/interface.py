"""The interface of marllift: settings, events in, actions out.

All times are integer microseconds of the caller's clock, all sizes are units.  A gateway builds one
``marllift.decide.Gateway`` from ``Settings``, hands it events with ``handle`` and carries out the
actions that come back, in order.  Nothing here decides anything.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, fields
from enum import Enum, IntEnum

NodeId = bytes


class Effect(Enum):
    """How often a request may take effect."""

    SAFE = "safe"  # may be repeated and refused at will
    KEYED = "keyed"  # repeats are dropped by one group of nodes, for a while
    UNSAFE = "unsafe"  # must never run twice


class Group(Enum):
    """Which nodes drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "shard"


class Result(IntEnum):
    """How one attempt or probe ended."""

    SERVED = 0
    ERROR = 1  # the node failed it; it may have run
    FULL = 2  # turned away unseen: it never ran
    TIMEOUT = 3  # it may have run, or may still run
    NO_CONNECTION = 4  # it never ran
    RESET = 5  # it may have run
    CANCELLED = 6  # it may have run
    MOOT = 7  # not sent: it never ran


class ListKind(Enum):
    """What a list event carries."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class NodeMode(IntEnum):
    """A node's state in the list."""

    GONE = 0
    READY = 1
    DRAINING = 2


def _require(owner: object, key: str, low: float, above: bool = False) -> None:
    value = getattr(owner, key)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{key}: a number is needed, not {value!r}")
    if not low <= value < float("inf") or (above and value <= low):
        raise ValueError(f"{key}: {value!r} is out of range")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests."""

    name: str
    aim_us: int
    deadline_us: int
    worth: float = 1.0
    late_share: float = 0.0
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    repeat_window_us: int = 0
    ordered: bool = False
    writes: bool = False

    def __post_init__(self) -> None:
        _require(self, "aim_us", 0, above=True)
        _require(self, "deadline_us", 0, above=True)
        for key in ("worth", "late_share", "repeat_window_us"):
            _require(self, key, 0)


@dataclass(slots=True, frozen=True)
class Plan:
    """What a volume on this plan is owed and allowed, over all gateways and nodes, in units a second."""

    name: str
    rate: float = 0.0
    reserve: float = 0.0
    weight: float = 1.0
    price: float = 1.0
    limit: float = 0.0  # 0: no limit
    limit_burst: float = 0.0
    limit_slack: float = 0.0

    def __post_init__(self) -> None:
        for key in ("rate", "reserve", "weight", "price", "limit", "limit_burst", "limit_slack"):
            _require(self, key, 0)


@dataclass(slots=True, frozen=True)
class Settings:
    """All that a gateway is told at its start."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    gateways: int = 1
    me: int = 0
    tick_us: int = 1000
    answer_slack_us: int = 0
    drain_grace_us: int = 0
    fall_us: int = 0  # 0: a cold node needs no care
    fall_multiple: float = 1.0  # of its present power: what a cold node bears in that time
    cold_share: float = 1.0
    warm_after_us: int = 0
    cold_units: float = 0.0
    quiet_us: int = 0
    budget_free: float = 0.0
    budget_share: float = 0.0
    budget_window_us: int = 0  # 0: no budget for further attempts
    mean_units: float = 1.0
    most_units: float = 1.0
    share_worth: float = 1.0
    spare_worth: float = 1.0
    tells_others: bool = False
    ask_for_lists: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_tell: bool = False
    may_hold_off: bool = False
    max_attempts: int = 1
    max_hold_off_us: int = 0
    shards: int = 0  # counted from 0; 0: not told
    clients_mark: bool = False  # their repeats
    fleet: bool = False  # what all gateways share is divided among them as they go (Shares)
    appointments: bool = True  # who is refused where a shard is away is told a place in its book
    report_fields: tuple[str, ...] = field(default=())

    @property
    def hold_off_us(self) -> int:
        """The longest time that a client may be told to stay away; 0: clients are told none."""
        return self.max_hold_off_us if self.may_hold_off else 0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if not self.plans:
            raise ValueError("plans: at least one is needed")
        for named in (self.classes, self.plans):
            if len({item.name for item in named}) < len(named):
                raise ValueError("two classes or plans of one name")
        _require(self, "gateways", 1)
        _require(self, "fall_multiple", 1)
        _require(self, "max_attempts", 1)
        _require(self, "mean_units", 0, above=True)
        _require(self, "cold_share", 0, above=True)
        if not 0 <= self.me < self.gateways:
            raise ValueError(f"me: {self.me!r} is not one of {self.gateways} gateways")
        for item in fields(self):
            if item.type in ("int", "float"):
                _require(self, item.name, 0)


# ---- events: what a gateway is told ----


@dataclass(slots=True, frozen=True)
class Node:
    """One line of the list of nodes."""

    node: NodeId
    shard: int
    mode: NodeMode = NodeMode.READY
    zone: int = 0
    kind: int = 0
    power: float = 1.0
    started_us: int = 0  # 0: long ago


@dataclass(slots=True, frozen=True)
class NodeList:
    """The list of nodes, or changes to it, or news that a call for it failed."""

    kind: ListKind
    nodes: tuple[Node, ...] = ()


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request, which the gateway now owes one final answer."""

    request: int
    kind: int  # index of its class
    give_up_us: int
    shard: int = -1  # -1: a new object, which any shard may take
    plan: int = 0
    units: float = 1.0
    key: int = 0  # 0: none
    volume: int = 0
    mounts: float = 1.0  # gateways the volume's requests can come through
    again: bool = False  # marked by the client as a repeat
    terms: Settings | None = None  # what it was taken under, where that may be older than the latest
    came_us: int = 0  # when its time began to run, where that may be before it is told; 0: it is told at once


@dataclass(slots=True, frozen=True)
class Started:
    """A streamed answer has begun; the client has it from here on."""

    request: int
    attempt: int
    node: NodeId
    elapsed_us: int


@dataclass(slots=True, frozen=True)
class Outcome:
    """The end of one attempt."""

    request: int
    attempt: int
    node: NodeId
    result: Result
    elapsed_us: int = 0
    final: bool = False  # the request is finished
    used: int = 0  # 1 + percent of the plan's rate; 0: not told
    others_units: int = 0  # served for the volume through other gateways, by this shard
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client left; nothing more is owed."""

    request: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set earlier is due."""

    token: int


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """The end of a probe."""

    node: NodeId
    result: Result
    elapsed_us: int = 0
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A short message from another gateway."""

    sender: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Maintenance:
    """Operators take a node out, or put it back; until then no list does."""

    node: NodeId
    on: bool


@dataclass(slots=True, frozen=True)
class Overlap:
    """Another process of this gateway works beside this one, or no longer: together they are one host."""

    on: bool


@dataclass(slots=True, frozen=True)
class Retune:
    """Other settings from now on; what is open keeps its own."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class Shares:
    """What the fleet lets this gateway spend until a time, and without any lease: rates in units a second,
    bursts in units."""

    until_us: int
    parts: tuple[tuple[str, int, float, float], ...] = ()  # plan, volume, rate, burst: the changed ones
    floors: tuple[tuple[str, float, float], ...] | None = None  # of each volume of a plan; None: as before
    anew: bool = False  # parts that are not named are nothing


Event = (
    Shares | Maintenance | Overlap | NodeList | Request | Started | Outcome | ClientGone | TimerFired
    | ProbeResult | PeerMessage | Retune
)


# ---- actions: what a gateway is to do ----


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt; ``patience_us`` 0 waits until the client gives up.  Not begun by ``before_us``, it is
    moot: what it was to spend was this gateway's until then; 0 is any time."""

    request: int
    node: NodeId
    patience_us: int = 0
    before_us: int = 0


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: not done, and harmless to try again."""

    request: int
    hold_off_us: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, with no promise about its effect."""

    request: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for ``TimerFired`` at or after a time."""

    at_us: int
    token: int


@dataclass(slots=True, frozen=True)
class WatchList:
    """Subscribe to changes of the list of nodes."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchList:
    """Ask for the whole list once."""


@dataclass(slots=True, frozen=True)
class Probe:
    """Check one node."""

    node: NodeId


@dataclass(slots=True, frozen=True)
class Tell:
    """Send a short message to one gateway, or to all (None)."""

    data: bytes
    to: int | None = None


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close idle connections to a node."""

    node: NodeId


@dataclass(slots=True, frozen=True)
class Log:
    """One line for the log: a text, or an event with what belongs to it."""

    text: str
    event: str = "module"
    fields: tuple[tuple[str, float | str], ...] = ()


Action = (
    Send | Cancel | Refuse | Fail | SetTimer | WatchList | FetchList | Probe | Tell | CloseIdle | Log
)


def plain_fields(item: object) -> Iterator[tuple[str, object]]:
    """Name and value of each field of an event or action, for logs and tests."""
    for name in getattr(item, "__slots__", ()):
        yield name, getattr(item, name)
