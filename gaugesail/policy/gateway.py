"""All decisions of one gateway; its settings, events and actions stand in modules of these names.

Ordinary path (docs/design.md): per host and node a window of requests out follows the FAST TCP rule toward
TARGET of each class's aim, and is split among the classes by a Little's-law response forecast; work beyond
the reserve has windows of its own with lower targets.  All else guards a rule or answers a symptom."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from .actions import (
    Action,
    FailRequest,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from .events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Event,
    MaintenanceChanged,
    PeerMessageReceived,
    QuotaChanged,
    RequestReceived,
    SettingsChanged,
    SiblingProcessChanged,
    TimerFired,
)
from .node_starts import NodeStartTimes
from .rate_limits import RateLimits
from .records import NodeRecord, OrderedKey, PendingRequest, ShardRecord, VolumeBudget
from .recovery import RecoveryRamp
from .recovery_queue import QueuePriority
from .retry_budget import RetryBudget
from .routing import Router
from .settings import DeduplicationScope, Idempotency, NodeId, Settings
from .slow_start import SlowStart

PERIOD_US = 250_000  # of the control loop; a second in the paper, too slow for surges of a few seconds
ALPHA, GAIN = 0.002, 0.8  # smoothing of latency and r of the window rule, as in the paper
START_WINDOW, COLD_WINDOW, CEILING = 4.0, 1.0, 4.0  # requests out per host and node
TIERS = 3  # of worth, with a window each: inside the reserve, inside the share, beyond
BASE_DRIFT = 1.15  # a period: how fast the least latency seen is forgotten
TARGET = 0.7  # of a class's aim: the latency the window is moved toward
TICK_US, TICKS = 10_000, 16  # between looks at what waits; at least so many in the shortest aim
EARLIEST = 0.7  # of the forecast latency: what would miss its aim even so counts as late
BACKOFF = 0.0625  # of the shortest target: the first pause after a failure, doubled up to 6 times
FORGET_US = 10_000_000  # after so long without a request a volume's full stores are dropped
HOPE = 1.0  # times what a window lets through by a job's aim: more ahead of it, and it is refused early
STUCK = 2.0  # times its target after which an attempt counts as stuck
PATIENCE = 4.0  # times its target after which an attempt of a class that is safe to repeat is given up
WATCH_US = 250_000  # first wait before subscribing again, doubled up to 4 times
BELL_PERIOD, BELL_TICK, BELL_WATCH = 1, 2, 3
RISKY = (
    AttemptResult.ERROR,
    AttemptResult.TIMEOUT,
    AttemptResult.RESET,
    AttemptResult.CANCELLED,
)  # it may have run
BROKEN = (*RISKY, AttemptResult.NO_CONNECTION)  # it may be the fault of one connection alone
UNENDED = (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)  # it may still be running


class Gateway:
    """The decisions of one gateway; the same settings, seed and events give the same actions."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.born, self.now = now, now
        self.rng, self.slow_start, self.starts = (
            random.Random(seed),
            SlowStart(settings, now),
            NodeStartTimes(),
        )
        self.rate_limits = RateLimits(settings, now)
        self.retry_budget = RetryBudget(settings)
        self.recovery = RecoveryRamp(settings, self.slow_start, random.Random(seed + 1))
        self.router = Router(self.slow_start, random.Random(seed + 2))
        self.places: dict[str, int] = {}  # of each class in the books
        self.latency_targets_us, self.latency_objectives_us = list[float](), list[float]()  # by place
        self._settle(settings)
        self.pending: dict[int, PendingRequest] = {}
        self.nodes: dict[NodeId, NodeRecord] = {}
        self.in_maintenance: set[NodeId] = set()  # in maintenance
        self.shards: dict[int, ShardRecord] = defaultdict(lambda: ShardRecord(len(self.latency_targets_us)))
        self.volumes: dict[tuple[int, str, float], VolumeBudget] = {}
        self.ordered_keys: dict[int, OrderedKey] = {}
        self.acts: list[Action] = [SetTimer(now + PERIOD_US, BELL_PERIOD)]
        self.acts += [WatchEndpoints(True)] * settings.subscribes_to_endpoints
        self.handlers: dict[type, Callable[[Any], None]] = {
            AttemptEnded: self._outcome, RequestReceived: self._request, TimerFired: self._bell,
            EndpointList: self._list, PeerMessageReceived: self._peer, ClientDisconnected: self._gone,
            MaintenanceChanged: self._maintain, SiblingProcessChanged: self._overlap,
            SettingsChanged: self._retune,
            QuotaChanged: lambda event: self.rate_limits.update_quota(self.now, event)}  # fmt: skip
        self.dirty: dict[int, ShardRecord] = {}
        self.walkers: list[PendingRequest] = []  # came in this batch, and do not wait
        self.ticking, self.watch_fails = False, 0
        self.alone_at = 0.0  # until then another process of this gateway has half of what is rationed

    def _settle(self, settings: Settings) -> None:
        self.settings, self.hold_off = settings, settings.longest_retry_after_us
        self.slow_start.update_settings(settings)
        self.rate_limits.update_settings(settings)
        self.retry_budget.update_settings(settings)
        self.recovery.update_settings(settings)
        self.tick_us = max(
            settings.tick_us, min(TICK_US, min(c.latency_objective_us for c in settings.classes) // TICKS)
        )
        self.tiers = (1.0, settings.fair_share_weight, settings.beyond_share_weight)
        self.floor = 1 / settings.gateway_count  # all hosts at their floor still keep one request out
        self.latency_targets_us, self.latency_objectives_us = (
            list(self.latency_targets_us),
            [float("inf")] * len(self.latency_objectives_us),
        )  # of those no longer used
        for spec in settings.classes:
            place = self.places.setdefault(spec.name, len(self.places))
            self.latency_targets_us[place:] = [
                spec.latency_objective_us * TARGET,
                *self.latency_targets_us[place + 1 :],
            ]
            self.latency_objectives_us[place:] = [
                spec.latency_objective_us,
                *self.latency_objectives_us[place + 1 :],
            ]

    def _retune(self, event: SettingsChanged) -> None:
        """Books go by the names of classes and plans; jobs keep what they were taken under."""
        old = self.latency_targets_us
        self._settle(event.settings)
        for node in self.nodes.values():
            node.widen(old, self.latency_targets_us)
        for shard in self.shards.values():
            shard.widen(len(self.latency_targets_us))
        plans = {plan.name: plan for plan in self.settings.plans}
        for volume in self.volumes.values():
            volume.plan = plans.get(volume.plan.name, volume.plan)

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take in what has happened by now and return what to do, in order."""
        self.now, self.dirty, self.walkers = now, {}, []
        for event in events:
            if (handler := self.handlers.get(type(event))) is not None:
                handler(event)
        for number, shard in self.dirty.items():
            self.recovery.update_capacity(now, number, shard.node, self.process_count)
            self._dispatch(shard)
            if (node := shard.node) is not None and node.share_requesters and node.warming_since is not None:
                self._tell(self.slow_start.give_share(now, shard, node, self.process_count))
        for job in self.walkers:  # there was no room for those whose place has not come
            if not (job.in_flight or job.finished or job.attempts):
                self._end(job, "no_place")
        if not self.ticking and any(any(s.waiting) for s in self.shards.values()):
            self.ticking = True
            self.acts.append(SetTimer(now + self.tick_us, BELL_TICK))
        acts, self.acts = self.acts, []
        return acts

    def _tell(self, message: SendPeerMessage | None) -> None:
        self.acts += [message] if message is not None else []

    # ---- the list of nodes ----

    def _list(self, event: EndpointList) -> None:
        if event.kind is EndpointListKind.FAILED:
            # Rule 3 rests on the subscription: renew it, later each time and never in step with others.
            wait = WATCH_US << min(self.watch_fails, 2)
            self.watch_fails += 1
            self.acts.append(SetTimer(self.now + int(wait * (0.5 + self.rng.random())), BELL_WATCH))
            return
        self.watch_fails = 0
        self.starts.update(self.now, event)
        if event.kind is not EndpointListKind.CHANGES:
            listed = {line.node_id for line in event.endpoints}
            for node in self.nodes.values():
                if node.node_id not in listed:
                    node.listed = False
                    self._retire(node)
        for line in event.endpoints:
            book = self.nodes.get(line.node_id)
            if book is None:
                book = NodeRecord(
                    line.node_id, line.shard, line.zone, [START_WINDOW] * TIERS, list(self.latency_targets_us)
                )
                # Unheard, it counts as the average of those heard of.
                if known := [
                    node.latency_us
                    for node in self.nodes.values()
                    if node.latency_us != self.latency_targets_us
                ]:
                    book.latency_us = [sum(kind) / len(known) for kind in zip(*known, strict=True)]
                self.nodes[line.node_id] = book
            if line.started_us not in (0, book.listed_start_us):
                self._started(book, line.started_us, self.starts.started_at(self.now, line.node_id))
            book.listed = line.state is EndpointState.READY
            if not book.listed or book.node_id in self.in_maintenance:
                self._retire(book)
                continue
            self._admit(book)

    def _started(self, node: NodeRecord, told: int, since: int) -> None:
        """A start that lists tell as ``told`` was at ``since`` on this gateway's clock, or later."""
        node.listed_start_us = told
        node.warming_since = since if self.slow_start.capacity_share(self.now, since) < 1 else None
        node.slow_start_share = self.slow_start.own_share(since)
        cold = node.warming_since is not None
        node.windows, node.consecutive_failures = [COLD_WINDOW if cold else START_WINDOW] * TIERS, 0

    def _admit(self, node: NodeRecord) -> None:
        node.ready = True
        shard = self.shards[node.shard]
        if shard.node is None or not shard.node.ready or node.listed_start_us >= shard.node.listed_start_us:
            shard.node, shard.in_maintenance = node, False
            self.recovery.node_ready(self.now, node)
        self.dirty[node.shard] = shard

    def _retire(self, node: NodeRecord) -> None:
        node.ready = False
        shard = self.shards[node.shard]
        if shard.node is node:
            shard.node = None
        shard.in_maintenance = shard.node is None and (
            shard.in_maintenance or node.node_id in self.in_maintenance
        )
        if shard.node is None:
            self.recovery.node_removed(
                self.now, node.shard, "maintenance" if shard.in_maintenance else "the list says so"
            )

    def _maintain(self, event: MaintenanceChanged) -> None:
        """Out until the call back, whatever lists say; then a cold node, with its old faults forgotten."""
        node, was = self.nodes.get(event.node_id), event.node_id in self.in_maintenance
        (self.in_maintenance.add if event.in_maintenance else self.in_maintenance.discard)(event.node_id)
        if node is None or was is event.in_maintenance:
            return
        self._retire(node)
        if not event.in_maintenance:
            # When it restarted is not told: the latest moment is the safe one.
            self._started(node, node.listed_start_us, self.now)
            node.latest_success_sent_at, node.backoff_until, node.paced_until = self.now, 0, [0] * TIERS
            if node.listed:
                self._admit(node)

    def _overlap(self, event: SiblingProcessChanged) -> None:
        # What the other has sent to a cold node counts for a window yet.
        self.alone_at = float("inf") if event.present else self.now + self.settings.overload_window_us

    @property
    def process_count(self) -> int:
        return 1 + (self.now < self.alone_at)

    # ---- requests ----

    def _request(self, event: RequestReceived) -> None:
        terms, now = event.settings or self.settings, self.now
        came = event.received_us or now
        spec = terms.classes[event.class_index]
        kind = self.places[spec.name]
        if event.shard >= 0 and event.shard not in self.shards:
            # No list has named it: it is the client's word alone, and no book is opened on that.
            self.recovery.count_rejection("unlisted", "none")
            self.acts.append(RejectRequest(event.request_id, self.hold_off))
            return
        self.retry_budget.record_request(now)
        volume = self._volume(event, terms)
        # A client's repeat has less time than its class, and part of its aim is gone.  Past its aim a request
        # earns next to nothing and delays the rest: there it ends.
        first = self.recovery.first_received_at(came, event, kind, event.deadline_us - spec.deadline_us)
        aim_at = min(first + spec.latency_objective_us, event.deadline_us - 2 * self.tick_us)
        chain = self.ordered_keys.setdefault(event.key, OrderedKey()) if spec.ordered and event.key else None
        movable = event.shard < 0
        number = self.router.choose(now, self.shards, kind) if movable else event.shard
        job = PendingRequest(event.request_id, kind, spec, volume, number, movable, event.units,
                  came, aim_at, event.deadline_us, chain, terms.max_attempts)  # fmt: skip
        self.pending[job.request_id] = job
        if chain is not None:
            chain.pending.append(job)
        self.shards[number].arrivals[job.class_index] += 1
        self.recovery.request_received(now, job, event)
        if self._walks(job):
            self.walkers.append(job)
        self._wait(job)
        if aim_at <= now + self.tick_us:
            self._end(job, "too_late")  # the next look at the queue may come too late for rule 1

    def _walks(self, job: PendingRequest) -> bool:
        """It is sent now or refused now: a repeat whose place has not come, or what has nowhere to go."""
        if self.recovery.unavailable_for_long(self.now, job.shard):
            shard = self.shards[job.shard]  # one waits, to try a node that fails
            return shard.node is None or any(shard.waiting) or bool(shard.node.in_flight)
        return job.queue_priority < QueuePriority.NEW

    def _volume(self, event: RequestReceived, terms: Settings) -> VolumeBudget:
        # A client that names another's volume with a plan or hosts not its own gets a book of its own.
        plan = terms.plans[event.plan_index]
        name = event.volume_id, plan.name, event.gateways_in_use
        if (volume := self.volumes.get(name)) is None:
            limit = self.rate_limits.open_bucket(self.now, plan, event.volume_id, event.gateways_in_use)
            reserve = plan.reserve + self.settings.max_request_units
            volume = VolumeBudget(plan, event.gateways_in_use, self.born, reserve, plan.rate, limit)
            self.volumes[name] = volume
        self._refill(volume)
        self.rate_limits.record_demand(self.now, volume.limit_bucket, event.volume_id, event.units)
        volume.open_requests += 1
        return volume

    def _refill(self, volume: VolumeBudget) -> None:
        volume.refill(self.now, self.settings.max_request_units)
        self.rate_limits.refill(self.now, volume.limit_bucket, volume.gateways_in_use, self.process_count)

    def _wait(self, job: PendingRequest) -> None:
        self.shards[job.shard].waiting[job.class_index].append(job)
        self.dirty[job.shard] = self.shards[job.shard]

    def _gone(self, event: ClientDisconnected) -> None:
        if (job := self.pending.get(event.request_id)) is not None:
            self.recovery.client_disconnected(self.now, job)
            self._forget(job)

    def _forget(self, job: PendingRequest) -> None:
        """The request is finished; what it still has out stays in the node's book."""
        job.finished = True
        job.volume.open_requests -= 1
        del self.pending[job.request_id]
        if not job.in_flight:
            self.shards[job.shard].waiting[job.class_index].remove(job)
            self.recovery.left_queue(job)
        if job.ordered_key is not None:
            job.ordered_key.pending.remove(job)
            self._next_in(job.ordered_key)

    def _next_in(self, chain: OrderedKey) -> None:
        if chain.pending:
            self.dirty[chain.pending[0].shard] = self.shards[chain.pending[0].shard]

    def _end(self, job: PendingRequest, why: str) -> None:
        """Final answer for a request with nothing out: a refusal where the rules allow it."""
        spec = job.request_class
        keyed_everywhere = (
            spec.idempotency is Idempotency.KEYED and spec.deduplication_scope is DeduplicationScope.ALL
        )
        harmless = (
            spec.idempotency is Idempotency.IDEMPOTENT or job.possibly_executed_at is None or keyed_everywhere
        )
        wait = self.recovery.reject(self.now, job, why, self.shards[job.shard].node)
        self.acts.append(RejectRequest(job.request_id, wait) if harmless else FailRequest(job.request_id))
        self._forget(job)

    def _may_repeat(self, job: PendingRequest) -> bool:
        harmless = (
            job.possibly_executed_at is None
            or job.request_class.idempotency is Idempotency.IDEMPOTENT
            or self.now < self._until(job)
        )
        return harmless and job.attempts < job.max_attempts and self.now < job.objective_at

    def _until(self, job: PendingRequest) -> int:
        """Before when what may have run may begin again, where its class bounds that; 0: it does not."""
        bound = job.possibly_executed_at is not None and job.request_class.idempotency is Idempotency.KEYED
        return (
            (job.possibly_executed_at or 0) + job.request_class.deduplication_window_us - self.tick_us
            if bound
            else 0
        )

    # ---- outcomes ----

    def _outcome(self, event: AttemptEnded) -> None:
        node = self.nodes.get(event.node_id)
        if node is None or (job := node.in_flight.pop((event.request_id, event.attempt), None)) is None:
            return
        self.dirty[node.shard] = self.shards[node.shard]
        job.in_flight, chain, result = False, job.ordered_key, event.result
        # The node served what was sent later: this one was lost by itself, say with its connection.  Or its
        # client left it hardly more time than the node takes for others.
        short = (
            result is AttemptResult.TIMEOUT and event.elapsed_us < STUCK * node.latency_us[job.class_index]
        )
        blameless = short or (result in BROKEN and job.sent_at < node.latest_success_sent_at)
        if self.recovery.attempt_ended(self.now, job, result, blameless):
            node.windows = [COLD_WINDOW] * TIERS
        node.class_in_flight[job.class_index] -= 1
        # Under one request out in the mean: one, and then a gap (Little's law).
        node.paced_until = [self.now + int(event.elapsed_us * max(0.0, 1 / w - 1)) for w in node.windows]
        # What is overdue took at least so long.
        if result is AttemptResult.SERVED or (result is AttemptResult.TIMEOUT and not short):
            node.latency_sums[job.class_index] += event.elapsed_us
            node.latency_counts[job.class_index] += 1
        if result is AttemptResult.SERVED:
            node.consecutive_failures, node.latest_success_sent_at = (
                0,
                max(node.latest_success_sent_at, job.sent_at),
            )
            self.slow_start.record_served(node, job.sent_at, job.units)
            job.volume.reserve_units -= event.served_elsewhere_units
        elif not blameless and result not in (AttemptResult.NOT_STARTED, AttemptResult.CANCELLED):
            # A connection that broke is mostly the connection's fault, a second one in a row the node's.
            broke = result is AttemptResult.RESET and not node.consecutive_failures
            node.consecutive_failures += 0.5 if broke else 1
            if result is not AttemptResult.ERROR and not broke:
                # It may still hold what timed out: a pause, so that its queue drains.  Hurts after bad luck.
                pause = (
                    min(self.latency_targets_us)
                    * BACKOFF
                    * 2 ** min(node.consecutive_failures, 6)
                    * (0.5 + self.rng.random())
                )
                node.backoff_until = max(node.backoff_until, self.now + int(pause))
        if result in RISKY and job.possibly_executed_at is None:
            job.possibly_executed_at, job.possibly_executed_zone = job.sent_at, node.zone
        if chain is not None:
            chain.in_flight -= 1
            if result in UNENDED:
                chain.quiet_until, chain.quiet_except = self.now + self.settings.ordered_key_pause_us, job
            self._next_in(chain)
        if job.finished:
            return
        if event.request_finished:
            job.in_flight = True  # it waits nowhere
            self._forget(job)
            return
        if job.any_shard and job.possibly_executed_at is None:
            job.shard = self.router.choose(self.now, self.shards, job.class_index)
        job.not_before = self.now + self.tick_us
        self._wait(job)
        if result is AttemptResult.NOT_STARTED or not self._may_repeat(job):
            self._end(job, "no_repeat")

    # ---- sending ----

    def node_of(self, shard: int) -> NodeId | None:
        """Where a large request for a shard may be written while it comes; it runs only once it is sent."""
        node = self.shards[shard].node if shard in self.shards else None
        return None if node is None else node.node_id

    def _room(self, node: NodeRecord, tier: int) -> bool:
        # A hang, slowness or errors: one at a time until an answer comes, and beside those that are stuck, as
        # only another shows that the node is back.  Hurts after a very heavy request.
        stuck = [
            job
            for job in node.in_flight.values()
            if self.now - job.sent_at > STUCK * self.latency_targets_us[job.class_index]
        ]
        hangs = any(
            job.sent_at >= node.latest_success_sent_at for job in stuck
        )  # else it served what was sent later
        most = 1 if hangs or node.consecutive_failures >= 1 else max(1, int(node.windows[tier]))
        free = len(node.in_flight) - len(stuck) < most and self.now >= max(
            node.backoff_until, node.paced_until[tier]
        )
        return free and self.recovery.may_send(self.now, node.shard, len(node.in_flight))

    def _peer(self, event: PeerMessageReceived) -> None:
        if (number := self.slow_start.receive(self.now, event, self.shards)) is not None:
            self.dirty[number] = self.shards[number]

    def _blocked(self, job: PendingRequest, node: NodeRecord, cold_room: float) -> bool:
        now, chain, plan = self.now, job.ordered_key, job.volume.plan
        if job.not_before > now or job.units > cold_room:
            return True
        if chain is not None and (chain.pending[0] is not job or chain.in_flight):
            return True
        if chain is not None and now < chain.quiet_until and chain.quiet_except is not job:
            return True
        if job.attempts == 0:
            return bool(plan.limit) and job.units > job.volume.limit_bucket.units
        risky = (
            job.possibly_executed_at is not None
            and job.request_class.deduplication_scope is DeduplicationScope.ZONE
        )
        return (risky and node.zone != job.possibly_executed_zone) or not self.retry_budget.retry_allowed(
            now, self.process_count
        )

    def _tier(self, job: PendingRequest) -> int:
        """What its units would be to its volume: 0 inside the reserve, 1 inside the share, 2 beyond."""
        volume = job.volume
        return 0 if volume.reserve_units >= job.units / 2 else 1 if volume.share_units >= job.units / 2 else 2

    def _worth(self, job: PendingRequest, node: NodeRecord, tier: int) -> float:
        """Worth a unit; what would be late comes last and is not dropped: the forecast may be stale."""
        late = self.now + EARLIEST * node.latency_us[job.class_index] > job.objective_at
        share = job.request_class.late_weight_share * self.tiers[-1] if late else self.tiers[tier]
        return job.request_class.priority_weight * job.volume.plan.priority_weight * share

    def _dispatch(self, shard: ShardRecord) -> None:
        if (node := shard.node) is None or not any(shard.waiting):
            return
        line = self.recovery.ordering_queue(node.shard)
        while any(room := [self._room(node, tier) for tier in range(TIERS)]):
            best, chosen = (-2, False, -1.0, 0), None
            borne, cold_room = self.slow_start.capacity(
                self.now, node, self.process_count, self.recovery.is_crowded(node.shard)
            )
            for kind, waiting in enumerate(shard.waiting):
                in_slots = node.class_in_flight[kind] < node.class_slots[kind]
                for job in waiting:
                    self._refill(job.volume)
                    tier = self._tier(job)
                    order = self.recovery.priority(job) if line is not None else 0
                    rank = (order, in_slots, self._worth(job, node, tier), -job.objective_at)
                    if room[tier] and rank > best and not self._blocked(job, node, cold_room):
                        best, chosen = rank, job
            if chosen is None:
                self._tell(self.slow_start.request_share(self.now, node, borne))
                return
            self._send(chosen, shard, node)

    def _hopeless(self, shard: ShardRecord) -> list[PendingRequest]:
        """What waits behind more than can be sent before its aim, by Little's law: it is refused at once.

        It would be refused at its aim in any case, and until then it holds a connection of its client.
        """
        node = shard.node
        queue = sum(map(len, shard.waiting))
        if node is None or queue <= CEILING:
            return []
        latency, ranked = (
            sum(node.latency_us) / len(node.latency_us),
            list[tuple[float, int, int, int, PendingRequest]](),
        )
        for job in (job for waiting in shard.waiting for job in waiting):
            self._refill(job.volume)
            tier = self._tier(job)
            ranked.append((self._worth(job, node, tier), -job.objective_at, -job.request_id, tier, job))
        ranked.sort(reverse=True)
        return [
            job
            for ahead, (_, _, _, tier, job) in enumerate(ranked)
            if ahead > HOPE * node.windows[tier] * (1 + max(0, job.objective_at - self.now) / latency)
        ]

    def _send(self, job: PendingRequest, shard: ShardRecord, node: NodeRecord) -> None:
        shard.waiting[job.class_index].remove(job)
        self.recovery.left_queue(job)
        # One that hangs gives its slot back; what must not run twice waits to the end: it could not go again.
        longer = PATIENCE * self.recovery.timeout_factor(job)
        patience = (
            int(longer * self.latency_targets_us[job.class_index])
            if job.request_class.idempotency is Idempotency.IDEMPOTENT
            else 0
        )
        volume = job.volume
        if job.attempts == 0:
            job.start_before = self.rate_limits.spend(self.now, volume.limit_bucket, job.units)
            if volume.reserve_units >= job.units / 2:
                volume.reserve_units -= job.units
            else:
                volume.share_units -= job.units
        else:
            self.retry_budget.record_retry(self.now)
        before = (
            job.start_before if job.possibly_executed_at is None else self._until(job)
        )  # what may have arrived is spent
        self.acts.append(StartAttempt(job.request_id, node.node_id, patience, before))
        node.in_flight[(job.request_id, job.attempts)] = job
        node.class_in_flight[job.class_index] += 1
        node.peak_in_flight = max(node.peak_in_flight, len(node.in_flight))
        self.slow_start.record_sent(self.now, node, job.units)
        job.attempts, job.in_flight, job.sent_at = job.attempts + 1, True, self.now
        if job.ordered_key is not None:
            job.ordered_key.in_flight += 1

    # ---- timers and the control loop ----

    def _bell(self, event: TimerFired) -> None:
        if event.token == BELL_WATCH:
            self.acts.append(WatchEndpoints(True))
        elif event.token == BELL_TICK:
            self.ticking = False
            for number, shard in list(self.shards.items()):
                for job in [job for waiting in shard.waiting for job in waiting]:
                    barred, late = shard.in_maintenance and not job.any_shard, self.now >= job.start_by
                    if barred or late or (job.attempts and not self._may_repeat(job)):
                        self._end(job, "away" if barred else "aim" if late else "no_repeat")
                    elif job.any_shard and job.possibly_executed_at is None and shard.node is None:
                        shard.waiting[job.class_index].remove(job)
                        job.shard = self.router.choose(self.now, self.shards, job.class_index)
                        self._wait(job)
                for job in self._hopeless(shard):
                    self._end(job, "hopeless")
                if any(shard.waiting):
                    self.dirty[number] = shard
        elif event.token == BELL_PERIOD:
            self.acts.append(SetTimer(self.now + PERIOD_US, BELL_PERIOD))
            self.acts += self.recovery.end_control_period(
                self.now, {number: shard.node for number, shard in self.shards.items()}, self.process_count
            )
            for shard in self.shards.values():
                self._control(shard)
            self.retry_budget.retry_allowed(self.now, self.process_count)
            self.ordered_keys = {
                k: c
                for k, c in self.ordered_keys.items()
                if c.pending or c.in_flight or c.quiet_until > self.now
            }
            for key, volume in [item for item in self.volumes.items() if not item[1].open_requests]:
                if self.now - volume.refilled_at > FORGET_US and self.rate_limits.release(
                    self.now, key, volume.limit_bucket
                ):
                    del self.volumes[key]
            self.nodes = {key: node for key, node in self.nodes.items() if node.listed or node.in_flight}

    def _control(self, shard: ShardRecord) -> None:
        """Each period: the FAST TCP rule moves the window, the Little's-law forecast splits it."""
        node = shard.node
        if node is not None:
            goal = total = base = 0.0
            for kind, count in enumerate(node.latency_counts):
                if count:
                    fresh = node.latency_sums[kind] / count
                    node.latency_us[kind] = (1 - ALPHA) * fresh + ALPHA * node.latency_us[kind]
                    goal, total = goal + self.latency_targets_us[kind], total + node.latency_us[kind]
                    node.base_latency_us[kind] = min(
                        self.latency_targets_us[kind], fresh, node.base_latency_us[kind] * BASE_DRIFT
                    )
                    base += node.base_latency_us[kind]
            if total:
                least, most = self.recovery.window_bounds(node.shard, CEILING)
                for tier, window in enumerate(node.windows):
                    wanted = base + (goal - base) * min(most, self.tiers[tier])
                    moved = window * (1 - GAIN + GAIN * wanted / total)
                    if moved < window or node.peak_in_flight >= int(window):  # no growth while unfilled
                        node.windows[tier] = max(self.floor, least, min(CEILING, moved))
            self._split(shard, node)
            node.latency_sums, node.latency_counts = (
                [0.0] * len(node.latency_sums),
                [0] * len(node.latency_sums),
            )
            node.peak_in_flight = len(node.in_flight)
        shard.previous_queue_lengths, shard.arrivals = (
            [len(jobs) for jobs in shard.waiting],
            [0] * len(shard.arrivals),
        )

    def _split(self, shard: ShardRecord, node: NodeRecord) -> None:
        """One slot at a time to the class whose forecast response is furthest over its aim."""
        node.class_slots = [0] * len(self.latency_targets_us)
        for _ in range(max(1, int(node.windows[0]))):
            worst = (-1.0, 0)
            for kind, waiting in enumerate(shard.waiting):
                rate, queue = shard.arrivals[kind], len(waiting)
                served, delay = node.class_slots[kind] * PERIOD_US / max(node.latency_us[kind], 1), 0.0
                if rate:
                    spent = sum(self.now - job.received_at for job in waiting) / max(queue, 1)
                    ahead = (max(0.0, queue + rate - served) + shard.previous_queue_lengths[kind]) / 2
                    delay = ahead / rate * PERIOD_US + spent
                over = (delay + self.latency_targets_us[kind]) / self.latency_objectives_us[kind]
                worst = max(worst, (over, -kind))
            node.class_slots[-worst[1]] += 1
