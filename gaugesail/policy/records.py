"""The records of a gateway on volumes, ordered keys, requests, nodes and shards; they make no decisions.

All times are integer microseconds of the gateway's clock, all sizes are units of work.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .drain_rate import DrainRate
from .recovery_queue import Arrival
from .service_time import ServiceTime
from .settings import NodeId, Plan, RequestClass
from .spare_shares import SpareShares
from .token_bucket import TokenBucket


@dataclass(slots=True, eq=False)
class VolumeBudget:
    """What remains of a volume's reserve at this gateway, and its rate-limit bucket."""

    plan: Plan
    gateways_in_use: float
    refilled_at: int
    reserve_units: float
    limit_bucket: TokenBucket
    open_requests: int = 0

    def refill(self, now: int, max_request_units: float) -> None:
        """Add the units accrued since the last call to the reserve."""
        self.reserve_units = min(
            self.plan.reserve + max_request_units, self.reserve_by(self.refilled_at, now)
        )
        self.refilled_at = now

    def reserve_by(self, now: int, at: int) -> float:
        """Return the units that the reserve has at a later time if none are spent."""
        # Gateways are used unevenly: each one's part lies between an even share and the total.
        own_rate = self.plan.reserve / math.sqrt(self.gateways_in_use)
        return self.reserve_units + own_rate * max(0, at - now) / 1e6

    def is_full(self, max_request_units: float) -> bool:
        """Return whether a new budget would hold no more."""
        return self.reserve_units >= self.plan.reserve + max_request_units

    def has_reserve(self, units: float) -> bool:
        """Return whether the reserve covers at least half of a request."""
        return self.reserve_units >= units / 2


@dataclass(slots=True, eq=False)
class SiblingClaim:
    """A request of an ordered key that the sibling process has received and may send once it is granted."""

    claim_id: int  # the sibling's id of the request
    ordered_key: OrderedKey
    received_at: int
    granted: bool = False


@dataclass(slots=True, eq=False)
class AdoptedAnswer:
    """An answer of an ordered key that the predecessor process has begun and this one passes on."""

    request_id: int
    received_at: int  # when it was taken over
    finished: bool = True


@dataclass(slots=True, eq=False)
class OrderedKey:
    """The unfinished requests of one ordered key, in the order of receipt."""

    key: int
    pending: list[PendingRequest | SiblingClaim] = field(default_factory=list)
    in_flight: int = 0  # attempts, up to the last byte of the answer
    has_moved_answer: bool = False  # one of them goes on at the successor, which has not claimed the key yet
    paused_until: int = 0  # until then an attempt may still be running at its node
    pause_exempt: PendingRequest | AdoptedAnswer | None = None  # the request of that attempt
    granted: PendingRequest | AdoptedAnswer | None = None  # to which the sibling process has granted the key

    def release_moved_answer(self) -> bool:
        """End this process's hold for an answer that has moved; returns whether there was one."""
        if not self.has_moved_answer:
            return False
        self.has_moved_answer = False
        self.in_flight -= 1
        return True

    def insert(self, item: PendingRequest | SiblingClaim) -> None:
        """Add a request or claim by its time of receipt, but not before a granted claim."""
        position = len(self.pending)
        while position and self.pending[position - 1].received_at > item.received_at:
            ahead = self.pending[position - 1]
            if isinstance(ahead, SiblingClaim) and ahead.granted:
                break
            position -= 1
        self.pending.insert(position, item)

    def blocks(self, item: PendingRequest | SiblingClaim, now: int) -> bool:
        """Return whether a request or claim of the key has to wait for another one."""
        if self.pending[0] is not item or self.in_flight:
            return True
        return now < self.paused_until and self.pause_exempt is not item


@dataclass(slots=True, eq=False)
class PendingRequest:
    """One request without a final answer, or with an attempt in flight."""

    request_id: int
    class_position: int  # the position of its class (``GatewayState``)
    request_class: RequestClass
    volume: VolumeBudget
    shard: int
    any_shard: bool
    units: float
    received_at: int
    answer_by: int  # when its answer must leave: before the client gives up or this process is to end
    ordered_key: OrderedKey | None
    max_attempts: int  # by the settings in force when it was received
    attempts: int = 0
    start_before_us: int = 0  # its node has been told more time than is left from then on; 0: never
    quota_until: int = 0  # when the quota for its units expires; 0: never
    in_flight: bool = False
    finished: bool = False
    sent_at: int = 0  # when the latest attempt was sent
    not_before: int = 0  # earliest time of the next attempt
    possibly_executed_at: int | None = None  # when the first possibly executed attempt was sent
    possibly_executed_zone: int = 0
    fingerprint: int = 0  # of its content (retry_tickets.py)
    timed_out: bool = False  # an attempt of it has
    arrival: Arrival = Arrival.WITHOUT_TICKET  # by the recovery queue of its shard

    def latest_start(self, node: NodeRecord | None) -> int:
        """Return until when, in microseconds, an attempt at a node can be expected to come in time.

        Of a node that has served none of the class nothing is known: it may be fast.
        """
        mean_us = 0.0 if node is None else node.service[self.class_position].mean_us
        return self._startable(self.answer_by - int(mean_us))

    def latest_useful_start(self, node: NodeRecord | None) -> int:
        """Return until when, in microseconds, at least the node's fastest answer would come in time.

        Of a node with nothing in flight only another attempt can show how fast it is now.
        """
        is_idle = node is None or not node.in_flight
        fastest_us = 0.0 if node is None or is_idle else node.service[self.class_position].fastest_us
        return self._startable(self.answer_by - int(fastest_us))

    def _startable(self, until: int) -> int:
        return min(until, self.start_before_us) if self.start_before_us else until


@dataclass(slots=True, eq=False)
class NodeRecord:
    """What this gateway knows about one node."""

    node_id: NodeId
    shard: int
    zone: int
    window: float  # congestion window: requests in flight
    latency_us: list[float]  # smoothed, by class
    base_latency_us: list[float] = field(default_factory=list)  # lowest recent latency, by class
    service: list[ServiceTime] = field(default_factory=list)  # of served attempts, by class
    ready: bool = True
    listed_as_ready: bool = True  # ready in the latest endpoint list, even if in maintenance
    listed_start_us: int = 0  # on discovery's clock
    warming_since: int | None = None  # on the gateway's clock; None: warm
    latency_sums: list[float] = field(default_factory=list)  # of this control period, by class
    latency_counts: list[int] = field(default_factory=list)
    class_slots: list[int] = field(default_factory=list)  # of the window, by class
    class_in_flight: list[int] = field(default_factory=list)
    in_flight: dict[tuple[int, int], PendingRequest] = field(default_factory=dict)  # by request and attempt
    peak_in_flight: int = 0  # of this control period
    consecutive_failures: float = 0.0
    latest_success_sent_at: int = 0  # when the latest-sent request that it has served was sent
    backoff_until: int = 0
    slow_start_share: float = 0.0  # this gateway's share of its capacity while it warms up
    next_share_request_at: int = 0
    share_requesters: dict[int, int] = field(default_factory=dict)  # gateway: time of its latest request
    paced_until: int = 0  # no attempt before then

    def __post_init__(self) -> None:
        count = len(self.latency_us)
        self.latency_sums, self.latency_counts = [0.0] * count, [0] * count
        self.class_slots, self.class_in_flight = [0] * count, [0] * count
        self.base_latency_us = list(self.latency_us)
        self.service = [ServiceTime() for _ in range(count)]

    @property
    def mean_answer_us(self) -> float:
        """Microseconds that it takes to answer, the mean of the classes that it has served; 0: none yet."""
        means = [service.mean_us for service in self.service if service.mean_us]
        return sum(means) / len(means) if means else 0.0

    @property
    def expected_per_s(self) -> float:
        """Requests a second that its window lets through, by Little's law; 0: it has served none yet."""
        mean_us = self.mean_answer_us
        return self.window / mean_us * 1e6 if mean_us else 0.0

    def update_classes(self, old_targets_us: list[float], targets_us: list[float]) -> None:
        """Adapt to added classes or changed latency targets; measured latencies are kept."""
        if self.latency_us == old_targets_us:  # nothing has been measured yet
            self.latency_us = list(targets_us)
            self.base_latency_us = list(targets_us)
        else:
            added = targets_us[len(self.latency_us) :]
            self.latency_us = self.latency_us + added
            self.base_latency_us = self.base_latency_us + added
        self.service.extend(ServiceTime() for _ in range(len(targets_us) - len(self.service)))
        for counts in (self.latency_sums, self.latency_counts, self.class_slots, self.class_in_flight):
            counts.extend([0] * (len(targets_us) - len(counts)))


@dataclass(slots=True, eq=False)
class ShardRecord:
    """The requests that wait for the node of one shard, by class."""

    class_count: int
    number: int
    position: int  # in the order in which the shards became known
    waiting: list[list[PendingRequest]] = field(default_factory=list)
    arrivals: list[int] = field(default_factory=list)  # of this control period
    previous_queue_lengths: list[int] = field(default_factory=list)  # at the end of the previous period
    node: NodeRecord | None = None
    in_maintenance: bool = False  # its node is: nothing can be sent until that ends
    is_longer: bool = False  # a request was queued since the backlog was checked
    spare: SpareShares = field(default_factory=SpareShares)
    drain: DrainRate = field(default_factory=DrainRate)

    def __post_init__(self) -> None:
        self.waiting = [[] for _ in range(self.class_count)]
        self.arrivals = [0] * self.class_count
        self.previous_queue_lengths = [0] * self.class_count

    @property
    def queued(self) -> list[PendingRequest]:
        """The waiting requests of all classes."""
        return [request for requests in self.waiting for request in requests]

    def add_classes(self, count: int) -> None:
        """Extend the lists to ``count`` classes."""
        for _ in range(count - len(self.waiting)):
            self.waiting.append([])
            self.arrivals.append(0)
            self.previous_queue_lengths.append(0)
