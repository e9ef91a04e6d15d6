"""A fleet in virtual time: whole heads' decisions (fleet and gateway), their stores, and what lies between.

Each head has a clock of its own that drifts and starts anywhere, a store that keeps what it was given, and
may stop at any step of what it is doing: die there, or sleep and go on with the rest.  The network loses,
delays, doubles and reorders, and is cut one way or both.  Storage nodes serve at once; a bucket counts what
reached them.
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
NODE = b"node-0"
WANT_US = 100_000
AUDIT_US = 20_000
MOST_CALLS = 30_000  # in one second of virtual time, and a tenth more for each head
SERVE_US = 1_000
INBOX = 400  # messages that wait while a head sleeps; the rest is lost
START_US = 1_700_000_000 * SECOND
ENVELOPE = 70  # bytes around a message on the wire


@dataclass(slots=True)
class Disk:
    """What a head's store holds.  ``full``: it takes no more."""

    kept: PersistentState | None = None
    snapshot: Snapshot = field(default_factory=Snapshot)
    log: dict[int, Any] = field(default_factory=dict)
    full: bool = False

    def load(self, rng: random.Random) -> StoredState:
        if self.kept is None:
            self.kept = PersistentState(f"{rng.getrandbits(48):012x}")
        first = self.snapshot.index + 1
        log = []
        while first in self.log:
            log.append(self.log[first])
            first += 1
        return StoredState(copy.deepcopy(self.kept), self.snapshot, log)

    def write(self, save: Any) -> bool:
        if self.full:
            return False
        self.kept = copy.deepcopy(save.state)
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
        return copy.deepcopy(self)


@dataclass(slots=True)
class Limit:
    """One plan's limit as a file says it."""

    rate: float
    burst: float


@dataclass(slots=True, eq=False)
class ReferenceBucket:
    """One volume's store as one mind would keep it, by what reached the nodes.

    When the whole is lowered, the larger figure holds until what was given under it has run out.
    """

    rate: float
    burst: float
    at: int
    units: float = 0.0
    least: float = 0.0
    spent: float = 0.0
    violations: int = 0
    later: list[tuple[int, float, float]] = field(default_factory=list)  # from when, rate and burst

    def __post_init__(self) -> None:
        self.units = self.burst

    def change(self, now: int, limit: Limit) -> None:
        """Another whole: more holds at once, less once it is settled."""
        self.fill(now)
        if limit.rate < self.rate:
            self.later.append((1 << 62, limit.rate, limit.burst))
        else:
            self.units += limit.burst - self.burst
            self.rate, self.burst = limit.rate, limit.burst
            self.later = []

    def settle(self, at: int) -> None:
        """All heads have heard of the latest whole: it holds from then on."""
        if self.later:
            self.later = [(at, *self.later[-1][1:])]

    def fill(self, now: int) -> None:
        while self.later and self.later[0][0] <= now:
            at, rate, burst = self.later.pop(0)
            self._fill(max(at, self.at))
            self.rate, self.burst, self.units = rate, burst, min(self.units, burst)
        self._fill(now)

    def _fill(self, now: int) -> None:
        self.units = min(self.burst, self.units + (now - self.at) / SECOND * self.rate)
        self.at = now

    def charge(self, now: int, units: float) -> None:
        self.fill(now)
        self.units -= units
        self.spent += units
        if self.units < -1e-6:
            self.violations += 1
        self.least = min(self.least, self.units)


class SimulatedGateway:
    """One head: a process that comes and goes, and a store that stays."""

    def __init__(self, world: FleetWorld, name: str, drift: float) -> None:
        self.world, self.name, self.drift = world, name, drift
        self.offset = world.rng.randrange(10**12)
        self.wall_ms = START_US // 1000
        self.disk: Disk | None = Disk()
        self.node: FleetNode | None = None
        self.gateway: Gateway | None = None
        self.life = 0
        self.asleep = False
        self.limit = world.limit
        self.inbox: deque[tuple[str, int, Message]] = deque(maxlen=INBOX)
        self._late: deque[Callable[[], None]] = deque()  # what it was doing when it stopped, and has missed
        self.stop_after: int | None = None  # steps, and then it sleeps (or dies)
        self.dies = False
        self._wake_at = 0
        self.sent_bytes = 0
        self.open: dict[int, float] = {}
        self.notices: Counter[str] = Counter()

    # ---- its time ----

    def now(self) -> int:
        return self.offset + int(self.world.now * (1 + self.drift))

    def true(self, local: int) -> int:
        """When its clock will show that; a moment later rather than earlier."""
        return int((local - self.offset) / (1 + self.drift)) + 1

    # ---- its life ----

    def start(self, store: bool = True) -> None:
        world = self.world
        self.life += 1
        life, process = self.life, world.rng.getrandbits(62) | 1
        loaded = self.disk.load(world.rng) if store and self.disk is not None else None
        self.asleep, self.stop_after = False, None
        self.inbox.clear()
        self._late.clear()
        self.open.clear()
        self._wake_at = 0
        seed = world.rng.getrandbits(32)
        settings = world.settings(self.limit)
        self.gateway = Gateway(settings, seed, self.now())
        self._carry(self.gateway.handle(self.now(), [
            EndpointList(EndpointListKind.CACHED, (Endpoint(NODE, 0),))
        ]))  # fmt: skip
        identity = GatewayIdentity(self.name, f"{self.name}:1", process, self.wall_ms + world.now // 1000)
        self.node = FleetNode(world.fleet_terms, "charter", identity, loaded, seed, self.now())
        self.tell_limit()
        self.step(lambda node: node.tick(self.now()))
        world.at(world.now + WANT_US, lambda: self._wants(life))

    def tell_limit(self) -> None:
        if self.node is not None:
            pair = round(self.limit.rate * 1000), round(self.limit.burst * 1000)
            self.node.set_limits({"plan": pair}, round(self.world.most_units * 1000))

    def change_limit(self, limit: Limit, then: Callable[[], None] = lambda: None) -> None:
        """Its file says another limit; asleep, it hears of it when it wakes."""
        self.limit = limit
        life = self.life

        def heard() -> None:
            if life == self.life and self.gateway is not None:
                self.tell_limit()
                self._carry(self.gateway.handle(self.now(), [SettingsChanged(self.world.settings(limit))]))
            then()

        if self.asleep or self._late:
            self._late.append(heard)
        else:
            heard()

    def kill(self) -> None:
        self.node = self.gateway = None
        self.asleep = False
        late, self._late = self._late, deque()
        for thing in late:
            if thing.__name__ == "heard":  # its file: the next process reads it
                thing()
        self.open.clear()

    def sleep(self) -> None:
        self.asleep = True

    def wake(self) -> None:
        """It goes on just where it stopped."""
        if not self.asleep:
            return
        self.asleep = False
        while self._late and not self.asleep and self.node is not None:
            self._late.popleft()()
        while self.inbox and not self.asleep and self.node is not None:
            sender, process, message = self.inbox.popleft()
            self.hear(sender, process, message)
        if self.node is not None and not self.asleep:
            self.step(lambda node: node.tick(self.now()))

    # ---- doing things, one after another ----

    def do(self, *things: Callable[[], None]) -> None:
        """It may stop before any of them; asleep, it goes on with the rest when it wakes."""
        if self._late or self.asleep:
            self._late.extend(things)
            return
        queue = deque(things)
        while queue and self.node is not None:
            if self.stop_after is not None:
                if self.stop_after <= 0:
                    self.stop_after = None
                    if self.dies:
                        self.kill()
                        return
                    self.asleep = True
                    self._late.extend(queue)
                    return
                self.stop_after -= 1
            queue.popleft()()

    def step(self, call: Callable[[FleetNode], StepOutput]) -> None:
        """One step of the fleet's decisions, and what it comes to."""
        node = self.node
        if node is None:
            return
        out = call(node)
        for notice in out.notices:
            self.notices[notice.event] += 1
        things: list[Callable[[], None]] = []
        if out.write is not None:
            # What is kept is what it was then.
            save = copy.deepcopy(out.write)
            if self.disk is None or not self.disk.write(save):
                node.store_failed(self.now(), "full")
                self._plan()
                return
            things.append(lambda: None)
        if (shares := out.quota) is not None:
            things.append(lambda: self._shares(shares))
        things += [self._sending(to, message) for to, message in out.messages]
        self.do(*things)
        self._plan()

    def _sending(self, to: str, message: Message) -> Callable[[], None]:
        life, node = self.life, self.node
        assert node is not None
        return lambda: self.world.send(self, life, to, node.process, message)

    def _plan(self) -> None:
        if self.node is None:
            return
        at = max(self.world.now + 1, self.true(self.node.next_at))
        if not self._wake_at or at < self._wake_at or self._wake_at <= self.world.now:
            self._wake_at = at
            life = self.life
            self.world.at(at, lambda: self._due(life, at))

    def _due(self, life: int, at: int) -> None:
        if life != self.life or self.node is None or at != self._wake_at:
            return
        self._wake_at = 0
        if self.asleep:
            return
        if self.now() >= self.node.next_at:
            self.step(lambda node: node.tick(self.now()))
        else:
            self._plan()

    def hear(self, sender: str, process: int, message: Message) -> None:
        if self.asleep or self._late:
            self.inbox.append((sender, process, message))
        else:
            self.step(lambda node: node.receive(self.now(), sender, process, message))

    def _wants(self, life: int) -> None:
        if life != self.life or self.node is None:
            return
        self.world.at(self.world.now + WANT_US, lambda: self._wants(life))
        if self.asleep or self.gateway is None:
            return
        asked = {
            quota_name_of(plan, volume): QuotaUsage(units, spent, saved, 1000)
            for plan, volume, units, spent, saved in self.gateway.rate_limits.drain_demand(self.now())
        }
        self.step(lambda node: node.report_demand(self.now(), asked))

    # ---- its gateway ----

    def _shares(self, told: QuotaUpdate) -> None:
        assert self.gateway is not None
        event = quota_changed_event(told)
        self._carry(self.gateway.handle(self.now(), [event]))

    def ask(self, units: float, volume: int) -> None:
        """A client's request."""
        if self.gateway is None or self.asleep:
            return
        number = self.world.next_request
        self.world.next_request += 1
        self.open[number] = units
        now = self.now()
        request = RequestReceived(number, 0, now + 2 * SECOND, 0, 0, units, 0, volume, self.world.mounts)
        self._carry(self.gateway.handle(now, [request]))

    def _event(self, life: int, event: Event) -> None:
        """Something falls due at the gateway; while it sleeps, it waits."""
        if life != self.life or self.gateway is None:
            return
        if self.asleep:
            self._late.append(lambda: self._event(life, event))
            return
        self._carry(self.gateway.handle(self.now(), [event]))

    def _carry(self, actions: list[Action]) -> None:
        life = self.life
        sends: list[Callable[[], None]] = []
        for action in actions:
            if isinstance(action, SetTimer):
                at = max(self.world.now + 1, self.true(action.at_us))
                self.world.at(at, lambda t=action.token: self._event(life, TimerFired(t)))  # type: ignore[misc]
            elif isinstance(action, StartAttempt):
                sends.append(lambda a=action: self._begin(a))  # type: ignore[misc]
            elif isinstance(action, (RejectRequest, FailRequest)):
                self.open.pop(action.request_id, None)
                self.world.counts["refused"] += 1
        if sends:
            self.do(*sends)

    def _begin(self, send: StartAttempt) -> None:
        """The first byte: the last look at whether it may still go."""
        life, world = self.life, self.world
        if send.start_before_us and self.now() >= send.start_before_us and world.guard_first_byte:
            world.counts["moot"] += 1
            outcome = AttemptEnded(send.request_id, 0, NODE, AttemptResult.NOT_STARTED, 0, False)
        else:
            world.arrived(self, send.request_id, self.open.get(send.request_id, 0.0))
            outcome = AttemptEnded(send.request_id, 0, NODE, AttemptResult.SERVED, SERVE_US, True)
            self.open.pop(send.request_id, None)
        world.at(world.now + SERVE_US, lambda: self._event(life, outcome))


@dataclass(slots=True)
class Link:
    """What happens to messages from one head to another."""

    drop: float = 0.0
    delay_us: int = 300
    jitter_us: int = 700
    duplicate: float = 0.0
    cut: bool = False


class FleetWorld:
    """All heads, the network between them, and the nodes' bucket."""

    def __init__(
        self, seed: int, heads: int, keepers: int, limit: Limit, terms: FleetTerms | None = None,
        mounts: float | None = None, drift: float = 0.0, most_units: float = 8.0,
    ) -> None:  # fmt: skip
        self.rng, self.now = random.Random(seed), 0
        names = [f"h{n}" for n in range(heads)]
        self.fleet_terms = terms or FleetTerms("lab", tuple(names[:keepers]), max_gateways=heads)
        self.limit, self.most_units = limit, most_units
        self.mounts = float(heads if mounts is None else mounts)
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._made = self._calls = 0
        self.counts: Counter[str] = Counter()
        self.next_request = 1
        self.guard_first_byte = True
        self.buckets: dict[int, ReferenceBucket] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.volume_of: dict[int, int] = {}
        self.arrivals: list[tuple[int, str, float]] = []
        self.uses_fleet_quota = True  # or each the even part
        self.pack = msgspec.msgpack.Encoder().encode
        self.counts_bytes = False  # whether messages' bytes are counted
        self.gateways = {
            name: SimulatedGateway(self, name, drift * self.rng.uniform(-1, 1)) for name in names
        }
        self.twins: dict[str, SimulatedGateway] = {}  # second processes under names that are taken

    def rename(self, head: SimulatedGateway, name: str) -> None:
        """A head is called otherwise from its next start on."""
        self.gateways = {name if item is head else old: item for old, item in self.gateways.items()}
        head.name = name

    def settings(self, limit: Limit) -> Settings:
        return Settings(
            classes=(RequestClass("read", 500_000, 2_000_000, 3.0, 0.15),),
            plans=(Plan("plan", limit.rate, 0.8 * limit.rate, limit=limit.rate, limit_burst=limit.burst),),
            gateway_count=len(self.gateways),
            tick_us=1000,
            mean_request_units=2.0,
            max_request_units=self.most_units,
            max_attempts=4,
            fleet_quota=self.uses_fleet_quota,
        )

    # ---- time ----

    def at(self, at: int, call: Callable[[], None]) -> None:
        self._made += 1
        heapq.heappush(self._heap, (at, self._made, call))

    def run(self, until: int) -> None:
        most = MOST_CALLS + MOST_CALLS // 10 * len(self.gateways)
        while self._heap and self._heap[0][0] <= until:
            at, _, call = heapq.heappop(self._heap)
            if at // SECOND > self.now // SECOND:
                self._calls = 0
            self._calls += 1
            if self._calls > most:
                raise RuntimeError(f"{most} calls in one second: somebody answers without end")
            self.now = max(self.now, at)
            call()
        self.now = until

    # ---- the network ----

    def link(self, a: str, b: str) -> Link:
        if (link := self.links.get((a, b))) is None:
            link = self.links[a, b] = Link()
        return link

    def send(self, head: SimulatedGateway, life: int, to: str, process: int, message: Message) -> None:
        if life != head.life or head.node is None:
            return
        if to == head.name:
            self.at(self.now, lambda: self._deliver(head.name, to, process, message))
            return
        if self.counts_bytes:
            head.sent_bytes += len(self.pack(message)) + ENVELOPE
        link = self.link(head.name, to)
        if link.cut or self.rng.random() < link.drop:
            return
        for _ in range(2 if self.rng.random() < link.duplicate else 1):
            late = link.delay_us + int(link.jitter_us * self.rng.random())
            self.at(self.now + late, lambda: self._deliver(head.name, to, process, message))

    def _deliver(self, sender: str, to: str, process: int, message: Message) -> None:
        found = [twin for twin in self.twins.values() if twin.name == to and twin.node is not None]
        head = self.gateways.get(to)
        if head is not None and head.node is not None:
            found.append(head)
        if found:  # of two under one name either may be the one that is reached
            self.rng.choice(found).hear(sender, process, message)

    def cut(self, side: set[str], both: bool = True, on: bool = True) -> None:
        """Between some heads and all others: what they say does not arrive, or nothing either way."""
        for a in self.gateways:
            for b in self.gateways:
                if a in side and b not in side:
                    self.link(a, b).cut = on
                    if both:
                        self.link(b, a).cut = on

    # ---- the nodes ----

    def bucket(self, volume: int) -> ReferenceBucket:
        if (bucket := self.buckets.get(volume)) is None:
            bucket = self.buckets[volume] = ReferenceBucket(self.limit.rate, self.limit.burst, self.now)
        return bucket

    def arrived(self, head: SimulatedGateway, request: int, units: float) -> None:
        self.bucket(self.volume_of.pop(request, 0)).charge(self.now, units)
        self.arrivals.append((self.now, head.name, units))

    def send_request(self, name: str, units: float, volume: int = 1) -> None:
        """A client asks a head, or one of those that go under its name."""
        self.volume_of[self.next_request] = volume
        self.counts["asked"] += 1
        first = name.partition(".")[0]
        found = [head for head in self.gateways.values() if head.name.partition(".")[0] == first]
        found += [twin for twin in self.twins.values() if twin.name == name and twin.node is not None]
        self.rng.choice(found).ask(units, volume)

    @property
    def overspent(self) -> int:
        return sum(bucket.violations for bucket in self.buckets.values())

    def audit(self) -> None:
        """All that may be spent now, by each head's own clock and books, asleep or not, fits the whole."""
        alive = [*self.gateways.values(), *self.twins.values()]
        for volume, bucket in self.buckets.items():
            rate = burst = 0.0
            for head in alive:
                if head.gateway is not None:
                    mine = head.gateway.rate_limits.allowance(head.now(), "plan", volume)
                    rate, burst = rate + mine[0], burst + mine[1]
            most = max([bucket.rate, *(item[1] for item in bucket.later)])
            bucket.fill(self.now)
            if rate > most + 1e-3 or burst > max([bucket.burst, *(item[2] for item in bucket.later)]) + 1e-3:
                self.counts["rights_over"] += 1
        self.at(self.now + AUDIT_US, self.audit)

    def utilization(self, since: int, until: int) -> float:
        """Units that reached the nodes within a span, of what the whole allows in it."""
        units = sum(units for at, _, units in self.arrivals if since <= at < until)
        return units / (self.limit.rate * (until - since) / SECOND * max(1, len(self.buckets)))
