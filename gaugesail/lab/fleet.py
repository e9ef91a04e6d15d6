"""Discrete-event simulation of a fleet: complete gateways, their persistent stores and the network.

Each gateway runs the real coordination and policy code with a clock of its own, which drifts and has an
arbitrary offset, and with a store that survives restarts.  A gateway can be stopped between any two of its
actions: its process is killed there, or is suspended and continues with the remaining actions.  The network
loses, delays, duplicates and reorders messages, and can be cut in one or both directions.  Storage nodes
serve at once; reference token buckets check what reaches them against the limit.
"""

from __future__ import annotations

import copy
import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from gaugesail.coordination.demand_tracker import QuotaUsage
from gaugesail.coordination.fleet_terms import FleetTerms
from gaugesail.coordination.messages import Message
from gaugesail.coordination.node import FleetNode, GatewayIdentity, StepOutput
from gaugesail.coordination.persisted_state import PersistentState, StoredState
from gaugesail.coordination.quota_names import quota_changed_event, quota_name_of
from gaugesail.coordination.raft_log import Snapshot
from gaugesail.coordination.spending_rights import QuotaUpdate
from gaugesail.policy.actions import Action, FailRequest, RejectRequest, SetTimer, StartAttempt
from gaugesail.policy.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointListKind,
    Event,
    RequestReceived,
    SettingsChanged,
    TimerFired,
)
from gaugesail.policy.gateway import Gateway
from gaugesail.policy.settings import Plan, RequestClass, Settings

SECOND = 1_000_000
NODE_NAME = b"node-0"
DEMAND_INTERVAL_US = 100_000
AUDIT_INTERVAL_US = 20_000
MAX_CALLS_PER_SECOND = 30_000  # plus a tenth of it for each gateway; more is an endless loop
SERVICE_TIME_US = 1_000
INBOX_SIZE = 400  # messages received while the gateway is suspended; the oldest are dropped
WALL_START_US = 1_700_000_000 * SECOND
ENVELOPE_BYTES = 70  # added to each encoded message


@dataclass(slots=True)
class Disk:
    """The persistent store of a gateway; while ``full`` is set, writes fail."""

    state: PersistentState | None = None
    snapshot: Snapshot = field(default_factory=Snapshot)
    log: dict[int, Any] = field(default_factory=dict)
    full: bool = False

    def load(self, rng: random.Random) -> StoredState:
        """Return what the store holds; an empty store gets a new id."""
        if self.state is None:
            self.state = PersistentState(f"{rng.getrandbits(48):012x}")
        first = self.snapshot.index + 1
        log = []
        while first in self.log:
            log.append(self.log[first])
            first += 1
        return StoredState(copy.deepcopy(self.state), self.snapshot, log)

    def write(self, save: Any) -> bool:
        """Persist ``save``; return False if the store is full."""
        if self.full:
            return False
        self.state = copy.deepcopy(save.state)
        if save.replaces_store:
            self.snapshot, self.log = Snapshot(), {}
        if save.first_index is not None:
            self.log = {index: entry for index, entry in self.log.items() if index < save.first_index}
            self.log.update(enumerate(save.entries, save.first_index))
        if save.snapshot is not None:
            self.snapshot = save.snapshot
            self.log = {index: entry for index, entry in self.log.items() if index > save.snapshot.index}
        return True

    def copy(self) -> Disk:
        """Return an independent copy, such as a backup of the store."""
        return copy.deepcopy(self)


@dataclass(slots=True)
class Limit:
    """The configured limit of a plan: units a second, and units."""

    rate: float
    burst: float


@dataclass(slots=True, eq=False)
class ReferenceBucket:
    """The token bucket that one central limiter would keep for a volume, charged with what reaches the nodes.

    When the limit is lowered, the larger limit holds until all quota that was allocated under it has expired.

    ``rate`` is in units a second, ``burst`` and ``units`` (the present fill) in units; ``least`` is the
    lowest fill so far, ``spent`` the sum of all charges, ``violations`` the number of overdrawing charges.
    ``pending_limits`` holds tuples of the time from which a limit holds, its rate and its burst.
    """

    rate: float
    burst: float
    updated_at: int
    units: float = 0.0
    least: float = 0.0
    spent: float = 0.0
    violations: int = 0
    pending_limits: list[tuple[int, float, float]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.units = self.burst

    def change(self, now: int, limit: Limit) -> None:
        """Change the limit: a larger one holds at once, a smaller one when it is settled."""
        self.refill(now)
        if limit.rate < self.rate:
            self.pending_limits.append((1 << 62, limit.rate, limit.burst))
        else:
            self.units += limit.burst - self.burst
            self.rate, self.burst = limit.rate, limit.burst
            self.pending_limits = []

    def settle(self, at: int) -> None:
        """Make the latest smaller limit effective at ``at``: all gateways have received it."""
        if self.pending_limits:
            self.pending_limits = [(at, *self.pending_limits[-1][1:])]

    def refill(self, now: int) -> None:
        """Add the units earned up to ``now``, with the pending limits that have become effective."""
        while self.pending_limits and self.pending_limits[0][0] <= now:
            at, rate, burst = self.pending_limits.pop(0)
            self._refill_to(max(at, self.updated_at))
            self.rate, self.burst, self.units = rate, burst, min(self.units, burst)
        self._refill_to(now)

    def _refill_to(self, now: int) -> None:
        self.units = min(self.burst, self.units + (now - self.updated_at) / SECOND * self.rate)
        self.updated_at = now

    def charge(self, now: int, units: float) -> None:
        """Remove the units of a request; overdrawing the bucket is a violation."""
        self.refill(now)
        self.units -= units
        self.spent += units
        if self.units < -1e-6:
            self.violations += 1
        self.least = min(self.least, self.units)


class SimulatedGateway:
    """A gateway: a process that starts and ends, and a store that persists.

    ``node`` and ``policy`` are None while no process runs.  ``generation`` counts the starts, so that
    callbacks of an earlier process can be ignored.
    """

    def __init__(self, world: FleetWorld, name: str, drift: float) -> None:
        self.world, self.name, self.drift = world, name, drift
        self.offset = world.rng.randrange(10**12)
        self.wall_ms = WALL_START_US // 1000
        self.disk: Disk | None = Disk()
        self.node: FleetNode | None = None
        self.policy: Gateway | None = None
        self.generation = 0
        self.asleep = False
        self.limit = world.limit
        self.inbox: deque[tuple[str, int, Message]] = deque(maxlen=INBOX_SIZE)
        self._deferred: deque[Callable[[], None]] = deque()  # interrupted actions and missed events
        self.stop_after: int | None = None  # actions until it is suspended (or killed)
        self.kills_at_stop = False
        self._wake_at = 0
        self.sent_bytes = 0
        self.pending_units: dict[int, float] = {}
        self.notices: Counter[str] = Counter()

    # ---- the clock ----

    def now(self) -> int:
        """The time by this gateway's own clock, in microseconds."""
        return self.offset + int(self.world.now * (1 + self.drift))

    def to_world_time(self, local: int) -> int:
        """Convert a time by this gateway's clock to world time, rounded up."""
        return int((local - self.offset) / (1 + self.drift)) + 1

    # ---- the process ----

    def start(self, store: bool = True) -> None:
        """Start a process; without ``store`` it runs without a persistent store."""
        world = self.world
        self.generation += 1
        generation, process = self.generation, world.rng.getrandbits(62) | 1
        loaded = self.disk.load(world.rng) if store and self.disk is not None else None
        self.asleep, self.stop_after = False, None
        self.inbox.clear()
        self._deferred.clear()
        self.pending_units.clear()
        self._wake_at = 0
        seed = world.rng.getrandbits(32)
        settings = world.settings(self.limit)
        self.policy = Gateway(settings, seed, self.now())
        self._execute(self.policy.handle(self.now(), [
            EndpointList(EndpointListKind.CACHED, (Endpoint(NODE_NAME, 0),))
        ]))  # fmt: skip
        identity = GatewayIdentity(self.name, f"{self.name}:1", process, self.wall_ms + world.now // 1000)
        self.node = FleetNode(world.fleet_terms, "charter", identity, loaded, seed, self.now())
        self.apply_limit()
        self.step(lambda node: node.tick(self.now()))
        world.at(world.now + DEMAND_INTERVAL_US, lambda: self._report_demand(generation))

    def apply_limit(self) -> None:
        """Pass the configured limit to the coordination."""
        if self.node is not None:
            pair = round(self.limit.rate * 1000), round(self.limit.burst * 1000)
            self.node.set_limits({"plan": pair}, round(self.world.max_units * 1000))

    def change_limit(self, limit: Limit, on_applied: Callable[[], None] = lambda: None) -> None:
        """Change the configured limit and call ``on_applied``; a suspended process applies it on waking."""
        self.limit = limit
        generation = self.generation

        def reload_settings() -> None:
            if generation == self.generation and self.policy is not None:
                self.apply_limit()
                self._execute(self.policy.handle(self.now(), [SettingsChanged(self.world.settings(limit))]))
            on_applied()

        if self.asleep or self._deferred:
            self._deferred.append(reload_settings)
        else:
            reload_settings()

    def kill(self) -> None:
        """End the process at once; the store stays."""
        self.node = self.policy = None
        self.asleep = False
        deferred, self._deferred = self._deferred, deque()
        for action in deferred:
            if action.__name__ == "reload_settings":  # the next process reads the changed file
                action()
        self.pending_units.clear()

    def sleep(self) -> None:
        """Suspend the process."""
        self.asleep = True

    def wake(self) -> None:
        """Resume a suspended process exactly where it was stopped."""
        if not self.asleep:
            return
        self.asleep = False
        while self._deferred and not self.asleep and self.node is not None:
            self._deferred.popleft()()
        while self.inbox and not self.asleep and self.node is not None:
            sender, process, message = self.inbox.popleft()
            self.receive(sender, process, message)
        if self.node is not None and not self.asleep:
            self.step(lambda node: node.tick(self.now()))

    # ---- interruptible actions ----

    def run_actions(self, *actions: Callable[[], None]) -> None:
        """Run actions in order.  The process may be stopped before any of them: if killed, the rest is
        dropped; if suspended, the rest runs on waking.
        """
        if self._deferred or self.asleep:
            self._deferred.extend(actions)
            return
        queue = deque(actions)
        while queue and self.node is not None:
            if self.stop_after is not None:
                if self.stop_after <= 0:
                    self.stop_after = None
                    if self.kills_at_stop:
                        self.kill()
                        return
                    self.asleep = True
                    self._deferred.extend(queue)
                    return
                self.stop_after -= 1
            queue.popleft()()

    def step(self, call: Callable[[FleetNode], StepOutput]) -> None:
        """Run one step of the coordination and carry out its output."""
        node = self.node
        if node is None:
            return
        output = call(node)
        for notice in output.notices:
            self.notices[notice.event] += 1
        actions: list[Callable[[], None]] = []
        if output.write is not None:
            # Later steps change the state; the store has it as of this step.
            write = copy.deepcopy(output.write)
            if self.disk is None or not self.disk.write(write):
                node.store_failed(self.now(), "full")
                self._schedule_tick()
                return
            actions.append(lambda: None)
        if (update := output.quota) is not None:
            actions.append(lambda: self._apply_quota(update))
        actions += [self._send_action(to, message) for to, message in output.messages]
        self.run_actions(*actions)
        self._schedule_tick()

    def _send_action(self, to: str, message: Message) -> Callable[[], None]:
        generation, node = self.generation, self.node
        assert node is not None
        return lambda: self.world.send(self, generation, to, node.process, message)

    def _schedule_tick(self) -> None:
        if self.node is None:
            return
        at = max(self.world.now + 1, self.to_world_time(self.node.next_at))
        if not self._wake_at or at < self._wake_at or self._wake_at <= self.world.now:
            self._wake_at = at
            generation = self.generation
            self.world.at(at, lambda: self._tick_due(generation, at))

    def _tick_due(self, generation: int, at: int) -> None:
        if generation != self.generation or self.node is None or at != self._wake_at:
            return
        self._wake_at = 0
        if self.asleep:
            return
        if self.now() >= self.node.next_at:
            self.step(lambda node: node.tick(self.now()))
        else:
            self._schedule_tick()

    def receive(self, sender: str, process: int, message: Message) -> None:
        """Handle a message; a suspended process queues it."""
        if self.asleep or self._deferred:
            self.inbox.append((sender, process, message))
        else:
            self.step(lambda node: node.receive(self.now(), sender, process, message))

    def _report_demand(self, generation: int) -> None:
        if generation != self.generation or self.node is None:
            return
        self.world.at(self.world.now + DEMAND_INTERVAL_US, lambda: self._report_demand(generation))
        if self.asleep or self.policy is None:
            return
        usage = {
            quota_name_of(plan, volume): QuotaUsage(units, spent, saved, 1000)
            for plan, volume, units, spent, saved in self.policy.rate_limits.drain_demand(self.now())
        }
        self.step(lambda node: node.report_demand(self.now(), usage))

    # ---- the policy ----

    def _apply_quota(self, update: QuotaUpdate) -> None:
        assert self.policy is not None
        event = quota_changed_event(update)
        self._execute(self.policy.handle(self.now(), [event]))

    def submit(self, units: float, volume: int) -> None:
        """Receive a client's request; it is lost if no process runs or the process is suspended."""
        if self.policy is None or self.asleep:
            return
        number = self.world.next_request
        self.world.next_request += 1
        self.pending_units[number] = units
        now = self.now()
        request = RequestReceived(
            number, 0, now + 2 * SECOND, 0, 0, units, 0, volume, self.world.gateways_in_use
        )
        self._execute(self.policy.handle(now, [request]))

    def _handle_event(self, generation: int, event: Event) -> None:
        """Pass an event to the policy; a suspended process handles it on waking."""
        if generation != self.generation or self.policy is None:
            return
        if self.asleep:
            self._deferred.append(lambda: self._handle_event(generation, event))
            return
        self._execute(self.policy.handle(self.now(), [event]))

    def _execute(self, actions: list[Action]) -> None:
        generation = self.generation
        attempts: list[Callable[[], None]] = []
        for action in actions:
            if isinstance(action, SetTimer):
                at = max(self.world.now + 1, self.to_world_time(action.at_us))
                self.world.at(at, lambda t=action.token: self._handle_event(generation, TimerFired(t)))  # type: ignore[misc]
            elif isinstance(action, StartAttempt):
                attempts.append(lambda a=action: self._start_attempt(a))  # type: ignore[misc]
            elif isinstance(action, (RejectRequest, FailRequest)):
                self.pending_units.pop(action.request_id, None)
                self.world.counts["refused"] += 1
        if attempts:
            self.run_actions(*attempts)

    def _start_attempt(self, attempt: StartAttempt) -> None:
        """Send the first byte, after the last check that the attempt may still start."""
        generation, world = self.generation, self.world
        if attempt.start_before_us and self.now() >= attempt.start_before_us and world.checks_start_deadline:
            world.counts["moot"] += 1
            outcome = AttemptEnded(attempt.request_id, 0, NODE_NAME, AttemptResult.NOT_STARTED, 0, False)
        else:
            world.record_arrival(self, attempt.request_id, self.pending_units.get(attempt.request_id, 0.0))
            outcome = AttemptEnded(
                attempt.request_id, 0, NODE_NAME, AttemptResult.SERVED, SERVICE_TIME_US, True
            )
            self.pending_units.pop(attempt.request_id, None)
        world.at(world.now + SERVICE_TIME_US, lambda: self._handle_event(generation, outcome))


@dataclass(slots=True)
class Link:
    """The network path from one gateway to another; ``drop`` and ``duplicate`` are probabilities."""

    drop: float = 0.0
    delay_us: int = 300
    jitter_us: int = 700
    duplicate: float = 0.0
    cut: bool = False


class FleetWorld:
    """All gateways, the network between them, and a reference bucket for each volume.

    Times are in microseconds of virtual time.  ``gateways_in_use`` is what each request says of the number of
    gateways that its volume is used through, by default all; ``drift`` is the largest relative error of a
    gateway's clock, ``max_units`` the largest size of a request.
    """

    def __init__(
        self, seed: int, gateway_count: int, replica_count: int, limit: Limit,
        terms: FleetTerms | None = None, gateways_in_use: float | None = None, drift: float = 0.0,
        max_units: float = 8.0,
    ) -> None:  # fmt: skip
        self.rng, self.now = random.Random(seed), 0
        names = [f"h{n}" for n in range(gateway_count)]
        self.fleet_terms = terms or FleetTerms(
            "lab", tuple(names[:replica_count]), max_gateways=gateway_count
        )
        self.limit, self.max_units = limit, max_units
        self.gateways_in_use = float(gateway_count if gateways_in_use is None else gateways_in_use)
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._scheduled = self._calls = 0
        self.counts: Counter[str] = Counter()
        self.next_request = 1
        self.checks_start_deadline = True
        self.buckets: dict[int, ReferenceBucket] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.request_volumes: dict[int, int] = {}
        self.arrivals: list[tuple[int, str, float]] = []
        self.uses_fleet_quota = True  # else each gateway has an even part of the limit
        self.encode = msgspec.msgpack.Encoder().encode
        self.counts_bytes = False  # whether ``sent_bytes`` is counted
        self.gateways = {
            name: SimulatedGateway(self, name, drift * self.rng.uniform(-1, 1)) for name in names
        }
        self.twins: dict[str, SimulatedGateway] = {}  # second processes under the name of a running gateway

    def rename(self, gateway: SimulatedGateway, name: str) -> None:
        """Rename a gateway; the name takes effect at its next start."""
        self.gateways = {name if item is gateway else old: item for old, item in self.gateways.items()}
        gateway.name = name

    def settings(self, limit: Limit) -> Settings:
        """Return the settings of a gateway whose plan has this limit."""
        return Settings(
            classes=(RequestClass("read", 500_000, 2_000_000, 3.0, 0.15),),
            plans=(Plan("plan", limit.rate, 0.8 * limit.rate, limit=limit.rate, limit_burst=limit.burst),),
            gateway_count=len(self.gateways),
            tick_us=1000,
            mean_request_units=2.0,
            max_request_units=self.max_units,
            max_attempts=4,
            fleet_quota=self.uses_fleet_quota,
        )

    # ---- time ----

    def at(self, at: int, call: Callable[[], None]) -> None:
        """Schedule a call; calls for the same time run in the order of scheduling."""
        self._scheduled += 1
        heapq.heappush(self._heap, (at, self._scheduled, call))

    def run(self, until: int) -> None:
        """Run all calls that are due up to ``until``.

        Raises RuntimeError if there are too many within one second of virtual time.
        """
        max_calls = MAX_CALLS_PER_SECOND + MAX_CALLS_PER_SECOND // 10 * len(self.gateways)
        while self._heap and self._heap[0][0] <= until:
            at, _, call = heapq.heappop(self._heap)
            if at // SECOND > self.now // SECOND:
                self._calls = 0
            self._calls += 1
            if self._calls > max_calls:
                raise RuntimeError(
                    f"{max_calls} calls in one second of virtual time: a message loop does not end"
                )
            self.now = max(self.now, at)
            call()
        self.now = until

    # ---- the network ----

    def link(self, a: str, b: str) -> Link:
        """Return the path from ``a`` to ``b``."""
        if (link := self.links.get((a, b))) is None:
            link = self.links[a, b] = Link()
        return link

    def send(
        self, gateway: SimulatedGateway, generation: int, to: str, process: int, message: Message
    ) -> None:
        """Send a message, unless the process that sends it has ended."""
        if generation != gateway.generation or gateway.node is None:
            return
        if to == gateway.name:
            self.at(self.now, lambda: self._deliver(gateway.name, to, process, message))
            return
        if self.counts_bytes:
            gateway.sent_bytes += len(self.encode(message)) + ENVELOPE_BYTES
        link = self.link(gateway.name, to)
        if link.cut or self.rng.random() < link.drop:
            return
        for _ in range(2 if self.rng.random() < link.duplicate else 1):
            delay = link.delay_us + int(link.jitter_us * self.rng.random())
            self.at(self.now + delay, lambda: self._deliver(gateway.name, to, process, message))

    def _deliver(self, sender: str, to: str, process: int, message: Message) -> None:
        receivers = [twin for twin in self.twins.values() if twin.name == to and twin.node is not None]
        gateway = self.gateways.get(to)
        if gateway is not None and gateway.node is not None:
            receivers.append(gateway)
        if receivers:  # of two processes under one name, either may be reached
            self.rng.choice(receivers).receive(sender, process, message)

    def cut(self, names: set[str], both: bool = True, on: bool = True) -> None:
        """Cut the paths from these gateways to all others, and with ``both`` the paths back.

        ``on=False`` restores them.
        """
        for a in self.gateways:
            for b in self.gateways:
                if a in names and b not in names:
                    self.link(a, b).cut = on
                    if both:
                        self.link(b, a).cut = on

    # ---- the nodes ----

    def bucket(self, volume: int) -> ReferenceBucket:
        """Return the reference bucket of a volume; it is created full."""
        if (bucket := self.buckets.get(volume)) is None:
            bucket = self.buckets[volume] = ReferenceBucket(self.limit.rate, self.limit.burst, self.now)
        return bucket

    def record_arrival(self, gateway: SimulatedGateway, request: int, units: float) -> None:
        """Charge a request that reached a node."""
        self.bucket(self.request_volumes.pop(request, 0)).charge(self.now, units)
        self.arrivals.append((self.now, gateway.name, units))

    def send_request(self, name: str, units: float, volume: int = 1) -> None:
        """Send a client's request to a gateway, or to one of the processes under its name."""
        self.request_volumes[self.next_request] = volume
        self.counts["asked"] += 1
        base_name = name.partition(".")[0]
        candidates = [
            gateway for gateway in self.gateways.values() if gateway.name.partition(".")[0] == base_name
        ]
        candidates += [twin for twin in self.twins.values() if twin.name == name and twin.node is not None]
        self.rng.choice(candidates).submit(units, volume)

    @property
    def overspent(self) -> int:
        """The number of requests that overdrew a reference bucket."""
        return sum(bucket.violations for bucket in self.buckets.values())

    def audit(self) -> None:
        """Check, now and periodically, that the allowances of all gateways together fit the limit.

        Each counts by the gateway's own clock and records, suspended or not.
        """
        processes = [*self.gateways.values(), *self.twins.values()]
        for volume, bucket in self.buckets.items():
            rate = burst = 0.0
            for gateway in processes:
                if gateway.policy is not None:
                    allowance = gateway.policy.rate_limits.allowance(gateway.now(), "plan", volume)
                    rate, burst = rate + allowance[0], burst + allowance[1]
            max_rate = max([bucket.rate, *(item[1] for item in bucket.pending_limits)])
            bucket.refill(self.now)
            if (
                rate > max_rate + 1e-3
                or burst > max([bucket.burst, *(item[2] for item in bucket.pending_limits)]) + 1e-3
            ):
                self.counts["rights_over"] += 1
        self.at(self.now + AUDIT_INTERVAL_US, self.audit)

    def utilization(self, since: int, until: int) -> float:
        """Return the units that reached the nodes within a span, as a share of what the limit allows."""
        units = sum(units for at, _, units in self.arrivals if since <= at < until)
        return units / (self.limit.rate * (until - since) / SECOND * max(1, len(self.buckets)))
