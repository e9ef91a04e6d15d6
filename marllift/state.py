"""Plain records that the decision module keeps its books in; no decision is made here."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from .amounts import Store
from .interface import NodeId, Plan, RequestClass

HALF_SPENT = 0.4  # of a request's time, so that its refusal arrives before half of it is over


@dataclass(slots=True, eq=False)
class Volume:
    """What is left of a volume's reserve and share at this gateway, and its store under a limit."""

    plan: Plan
    mounts: float
    at: int
    reserve: float
    share: float
    limit: Store
    jobs: int = 0

    def refill(self, now: int, most_units: float) -> None:
        """What has come into its stores since."""
        plan, span, self.at = self.plan, (now - self.at) / 1e6, now
        mine = span / self.mounts**0.5  # between the even part, as use is uneven, and the whole
        self.reserve = min(plan.reserve + most_units, self.reserve + plan.reserve * mine)
        self.share = min(plan.rate * 2, self.share + plan.rate * 2 * mine)


@dataclass(slots=True, eq=False)
class Chain:
    """The unfinished requests of one ordered key, in the order taken."""

    jobs: deque[Job] = field(default_factory=deque)
    out: int = 0
    rest_until: int = 0
    rest_for: Job | None = None


@dataclass(slots=True, eq=False)
class Job:
    """One request that is owed a final answer, or has an attempt out."""

    id: int
    kind: int
    spec: RequestClass
    volume: Volume
    shard: int
    movable: bool
    units: float
    taken: int
    aim_at: int
    give_up: int
    chain: Chain | None
    most: int  # attempts, by the settings that it was taken under
    attempts: int = 0
    before: int = 0  # its units were this gateway's to spend until then; 0: at any time
    out: bool = False
    done: bool = False
    sent_at: int = 0
    not_before: int = 0
    risky_at: int | None = None
    risky_zone: int = 0
    mark: int = 0  # of what it asks for (repeats.py)
    hung: int = 0  # attempts for it that ran out of time, those of its client's earlier tries too
    standing: int = 2  # against others in the line of its shard (recovery.Standing): fresh

    @property
    def begin_by(self) -> int:
        """Refused if it waits still then, in microseconds: past its aim, or near half of its time without
        an attempt, from where on a refusal costs its worth in part (protocol, Figures)."""
        latest = self.taken + int(HALF_SPENT * (self.give_up - self.taken))
        return self.aim_at if self.attempts else min(self.aim_at, latest)


@dataclass(slots=True, eq=False)
class NodeBook:
    """What this gateway knows of one node."""

    id: NodeId
    shard: int
    zone: int
    windows: list[float]
    latency: list[float]
    base: list[float] = field(default_factory=list)
    ready: bool = True
    listed: bool = True  # ready by the latest list, in maintenance or not
    started: int = 0  # as lists tell it, by discovery's clock
    cold_since: int | None = None  # by ours
    sums: list[float] = field(default_factory=list)
    counts: list[int] = field(default_factory=list)
    slots: list[int] = field(default_factory=list)
    used: list[int] = field(default_factory=list)
    out: dict[tuple[int, int], Job] = field(default_factory=dict)
    peak: int = 0
    misses: float = 0.0
    lived: int = 0  # when the latest of what it has served was sent
    next_at: int = 0
    part: float = 0.0
    want_at: int = 0
    wanters: dict[int, int] = field(default_factory=dict)
    rest: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        count = len(self.latency)
        self.sums, self.counts = [0.0] * count, [0] * count
        self.slots, self.used = [0] * count, [0] * count
        self.base = list(self.latency)
        self.rest = [0] * len(self.windows)

    def widen(self, old: list[float], new: list[float]) -> None:
        """Classes were added, or their targets moved; what was learnt of the others stays."""
        more = new[len(self.latency) :]
        if self.latency == old:  # nothing learnt yet
            self.latency = self.base = []
            more = new
        self.latency, self.base = self.latency + more, self.base + more
        for row in (self.sums, self.counts, self.slots, self.used):
            row.extend([0] * (len(new) - len(row)))


@dataclass(slots=True, eq=False)
class Shard:
    """The requests waiting here for one shard, by class."""

    count: int
    waiting: list[list[Job]] = field(default_factory=list)
    arrivals: list[int] = field(default_factory=list)
    last_queue: list[int] = field(default_factory=list)
    node: NodeBook | None = None
    away: bool = False  # its node was taken out: nothing that waits can be sent before the call back

    def __post_init__(self) -> None:
        self.waiting = [[] for _ in range(self.count)]
        self.arrivals, self.last_queue = [0] * self.count, [0] * self.count

    def widen(self, count: int) -> None:
        for _ in range(count - len(self.waiting)):
            self.waiting.append([])
            self.arrivals.append(0)
            self.last_queue.append(0)
