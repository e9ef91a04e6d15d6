"""All decisions of one gateway.  The interface, its events and actions, stands in marllift/interface.py.

Ordinary path (docs/design.md): per host and node a window of requests out follows the FAST TCP rule toward
TARGET of each class's aim, and is split among the classes by a Little's-law response forecast; work beyond
the reserve has windows of its own with lower targets.  All else guards a rule or answers a symptom."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from . import interface as api
from .amounts import Amounts
from .cold import ColdCare
from .interface import Effect, Result
from .lines import Standing
from .placement import Placement
from .recovery import Recovery
from .starts import StartTimes
from .state import Chain, Job, NodeBook, Shard, Volume

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
RISKY = (Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED)  # it may have run
BROKEN = (*RISKY, Result.NO_CONNECTION)  # it may be the fault of one connection alone
UNENDED = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)  # it may still be running


class Gateway:
    """The decisions of one gateway; the same settings, seed and events give the same actions."""

    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        self.born, self.now = now, now
        self.rng, self.cold, self.starts = random.Random(seed), ColdCare(settings, now), StartTimes()
        self.amounts = Amounts(settings, now)
        self.recovery = Recovery(settings, self.cold, random.Random(seed + 1))
        self.placement = Placement(self.cold, random.Random(seed + 2))
        self.places: dict[str, int] = {}  # of each class in the books
        self.target, self.aims = list[float](), list[float]()  # by place
        self._settle(settings)
        self.jobs: dict[int, Job] = {}
        self.nodes: dict[api.NodeId, NodeBook] = {}
        self.away: set[api.NodeId] = set()  # in maintenance
        self.shards: dict[int, Shard] = defaultdict(lambda: Shard(len(self.target)))
        self.volumes: dict[tuple[int, str, float], Volume] = {}
        self.chains: dict[int, Chain] = {}
        self.acts: list[api.Action] = [api.SetTimer(now + PERIOD_US, BELL_PERIOD)]
        self.acts += [api.WatchList(True)] * settings.ask_for_lists
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.Outcome: self._outcome, api.Request: self._request, api.TimerFired: self._bell,
            api.NodeList: self._list, api.PeerMessage: self._peer, api.ClientGone: self._gone,
            api.Maintenance: self._maintain, api.Overlap: self._overlap,
            api.Retune: self._retune,
            api.Shares: lambda event: self.amounts.shares(self.now, event)}  # fmt: skip
        self.dirty: dict[int, Shard] = {}
        self.walkers: list[Job] = []  # came in this batch, and do not wait
        self.ticking, self.watch_fails = False, 0
        self.alone_at = 0.0  # until then another process of this gateway has half of what is rationed

    def _settle(self, settings: api.Settings) -> None:
        self.set, self.hold_off = settings, settings.hold_off_us
        self.cold.settle(settings)
        self.amounts.settle(settings)
        self.recovery.settle(settings)
        self.tick = max(settings.tick_us, min(TICK_US, min(c.aim_us for c in settings.classes) // TICKS))
        self.tiers = (1.0, settings.share_worth, settings.spare_worth)
        self.floor = 1 / settings.gateways  # all hosts at their floor still keep one request out
        self.target, self.aims = list(self.target), [float("inf")] * len(self.aims)  # of those no longer used
        for spec in settings.classes:
            place = self.places.setdefault(spec.name, len(self.places))
            self.target[place:] = [spec.aim_us * TARGET, *self.target[place + 1 :]]
            self.aims[place:] = [spec.aim_us, *self.aims[place + 1 :]]

    def _retune(self, event: api.Retune) -> None:
        """Books go by the names of classes and plans; jobs keep what they were taken under."""
        old = self.target
        self._settle(event.settings)
        for node in self.nodes.values():
            node.widen(old, self.target)
        for shard in self.shards.values():
            shard.widen(len(self.target))
        plans = {plan.name: plan for plan in self.set.plans}
        for volume in self.volumes.values():
            volume.plan = plans.get(volume.plan.name, volume.plan)

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        """Take in what has happened by now and return what to do, in order."""
        self.now, self.dirty, self.walkers = now, {}, []
        for event in events:
            if (handler := self.handlers.get(type(event))) is not None:
                handler(event)
        for number, shard in self.dirty.items():
            self.recovery.look(now, number, shard.node, self.lives)
            self._dispatch(shard)
            if (node := shard.node) is not None and node.wanters and node.cold_since is not None:
                self._tell(self.cold.give(now, shard, node, self.lives))
        for job in self.walkers:  # there was no room for those whose place has not come
            if not (job.out or job.done or job.attempts):
                self._end(job, "no_place")
        if not self.ticking and any(any(s.waiting) for s in self.shards.values()):
            self.ticking = True
            self.acts.append(api.SetTimer(now + self.tick, BELL_TICK))
        acts, self.acts = self.acts, []
        return acts

    def _tell(self, message: api.Tell | None) -> None:
        self.acts += [message] if message is not None else []

    # ---- the list of nodes ----

    def _list(self, event: api.NodeList) -> None:
        if event.kind is api.ListKind.FAILED:
            # Rule 3 rests on the subscription: renew it, later each time and never in step with others.
            wait = WATCH_US << min(self.watch_fails, 2)
            self.watch_fails += 1
            self.acts.append(api.SetTimer(self.now + int(wait * (0.5 + self.rng.random())), BELL_WATCH))
            return
        self.watch_fails = 0
        self.starts.hear(self.now, event)
        if event.kind is not api.ListKind.CHANGES:
            listed = {line.node for line in event.nodes}
            for node in self.nodes.values():
                if node.id not in listed:
                    node.listed = False
                    self._retire(node)
        for line in event.nodes:
            book = self.nodes.get(line.node)
            if book is None:
                book = NodeBook(line.node, line.shard, line.zone, [START_WINDOW] * TIERS, list(self.target))
                # Unheard, it counts as the average of those heard of.
                if known := [node.latency for node in self.nodes.values() if node.latency != self.target]:
                    book.latency = [sum(kind) / len(known) for kind in zip(*known, strict=True)]
                self.nodes[line.node] = book
            if line.started_us not in (0, book.started):
                self._started(book, line.started_us, self.starts.since(self.now, line.node))
            book.listed = line.mode is api.NodeMode.READY
            if not book.listed or book.id in self.away:
                self._retire(book)
                continue
            self._admit(book)

    def _started(self, node: NodeBook, told: int, since: int) -> None:
        """A start that lists tell as ``told`` was at ``since`` on this gateway's clock, or later."""
        node.started = told
        node.cold_since = since if self.cold.share(self.now, since) < 1 else None
        node.part = self.cold.part(since)
        cold = node.cold_since is not None
        node.windows, node.misses = [COLD_WINDOW if cold else START_WINDOW] * TIERS, 0

    def _admit(self, node: NodeBook) -> None:
        node.ready = True
        shard = self.shards[node.shard]
        if shard.node is None or not shard.node.ready or node.started >= shard.node.started:
            shard.node, shard.away = node, False
            self.recovery.admitted(self.now, node)
        self.dirty[node.shard] = shard

    def _retire(self, node: NodeBook) -> None:
        node.ready = False
        shard = self.shards[node.shard]
        if shard.node is node:
            shard.node = None
        shard.away = shard.node is None and (shard.away or node.id in self.away)
        if shard.node is None:
            self.recovery.retired(self.now, node.shard, "maintenance" if shard.away else "the list says so")

    def _maintain(self, event: api.Maintenance) -> None:
        """Out until the call back, whatever lists say; then a cold node, with its old faults forgotten."""
        node, was = self.nodes.get(event.node), event.node in self.away
        (self.away.add if event.on else self.away.discard)(event.node)
        if node is None or was is event.on:
            return
        self._retire(node)
        if not event.on:
            # When it restarted is not told: the latest moment is the safe one.
            self._started(node, node.started, self.now)
            node.lived, node.next_at, node.rest = self.now, 0, [0] * TIERS
            if node.listed:
                self._admit(node)

    def _overlap(self, event: api.Overlap) -> None:
        # What the other has sent to a cold node counts for a window yet.
        self.alone_at = float("inf") if event.on else self.now + self.set.fall_us

    @property
    def lives(self) -> int:
        return 1 + (self.now < self.alone_at)

    # ---- requests ----

    def _request(self, event: api.Request) -> None:
        terms, now = event.terms or self.set, self.now
        came = event.came_us or now
        spec = terms.classes[event.kind]
        kind = self.places[spec.name]
        if event.shard >= 0 and event.shard not in self.shards:
            # No list has named it: it is the client's word alone, and no book is opened on that.
            self.recovery.counted("unlisted", "none")
            self.acts.append(api.Refuse(event.request, self.hold_off))
            return
        self.amounts.request(now)
        volume = self._volume(event, terms)
        # A client's repeat has less time than its class, and part of its aim is gone.  Past its aim a request
        # earns next to nothing and delays the rest: there it ends.
        first = self.recovery.first_asked(came, event, kind, event.give_up_us - spec.deadline_us)
        aim_at = min(first + spec.aim_us, event.give_up_us - 2 * self.tick)
        chain = self.chains.setdefault(event.key, Chain()) if spec.ordered and event.key else None
        movable = event.shard < 0
        number = self.placement.choose(now, self.shards, kind) if movable else event.shard
        job = Job(event.request, kind, spec, volume, number, movable, event.units,
                  came, aim_at, event.give_up_us, chain, terms.max_attempts)  # fmt: skip
        self.jobs[job.id] = job
        if chain is not None:
            chain.jobs.append(job)
        self.shards[number].arrivals[job.kind] += 1
        self.recovery.arrived(now, job, event)
        if self._walks(job):
            self.walkers.append(job)
        self._wait(job)
        if aim_at <= now + self.tick:
            self._end(job, "too_late")  # the next look at the queue may come too late for rule 1

    def _walks(self, job: Job) -> bool:
        """It is sent now or refused now: a repeat whose place has not come, or what has nowhere to go."""
        if self.recovery.given_up(self.now, job.shard):
            shard = self.shards[job.shard]  # one waits, to try a node that fails
            return shard.node is None or any(shard.waiting) or bool(shard.node.out)
        return job.standing < Standing.FRESH

    def _volume(self, event: api.Request, terms: api.Settings) -> Volume:
        # A client that names another's volume with a plan or hosts not its own gets a book of its own.
        plan = terms.plans[event.plan]
        name = event.volume, plan.name, event.mounts
        if (volume := self.volumes.get(name)) is None:
            limit = self.amounts.limit(self.now, plan, event.volume, event.mounts)
            reserve = plan.reserve + self.set.most_units
            volume = Volume(plan, event.mounts, self.born, reserve, plan.rate, limit)
            self.volumes[name] = volume
        self._refill(volume)
        self.amounts.asked(self.now, volume.limit, event.volume, event.units)
        volume.jobs += 1
        return volume

    def _refill(self, volume: Volume) -> None:
        volume.refill(self.now, self.set.most_units)
        self.amounts.fill(self.now, volume.limit, volume.mounts, self.lives)

    def _wait(self, job: Job) -> None:
        self.shards[job.shard].waiting[job.kind].append(job)
        self.dirty[job.shard] = self.shards[job.shard]

    def _gone(self, event: api.ClientGone) -> None:
        if (job := self.jobs.get(event.request)) is not None:
            self.recovery.gone(self.now, job)
            self._forget(job)

    def _forget(self, job: Job) -> None:
        """The request is finished; what it still has out stays in the node's book."""
        job.done = True
        job.volume.jobs -= 1
        del self.jobs[job.id]
        if not job.out:
            self.shards[job.shard].waiting[job.kind].remove(job)
            self.recovery.left(job)
        if job.chain is not None:
            job.chain.jobs.remove(job)
            self._next_in(job.chain)

    def _next_in(self, chain: Chain) -> None:
        if chain.jobs:
            self.dirty[chain.jobs[0].shard] = self.shards[chain.jobs[0].shard]

    def _end(self, job: Job, why: str) -> None:
        """Final answer for a request with nothing out: a refusal where the rules allow it."""
        spec = job.spec
        keyed_everywhere = spec.effect is Effect.KEYED and spec.group is api.Group.ALL
        harmless = spec.effect is Effect.SAFE or job.risky_at is None or keyed_everywhere
        wait = self.recovery.refuse(self.now, job, why, self.shards[job.shard].node)
        self.acts.append(api.Refuse(job.id, wait) if harmless else api.Fail(job.id))
        self._forget(job)

    def _may_repeat(self, job: Job) -> bool:
        harmless = job.risky_at is None or job.spec.effect is Effect.SAFE or self.now < self._until(job)
        return harmless and job.attempts < job.most and self.now < job.aim_at

    def _until(self, job: Job) -> int:
        """Before when what may have run may begin again, where its class bounds that; 0: it does not."""
        bound = job.risky_at is not None and job.spec.effect is Effect.KEYED
        return (job.risky_at or 0) + job.spec.repeat_window_us - self.tick if bound else 0

    # ---- outcomes ----

    def _outcome(self, event: api.Outcome) -> None:
        node = self.nodes.get(event.node)
        if node is None or (job := node.out.pop((event.request, event.attempt), None)) is None:
            return
        self.dirty[node.shard] = self.shards[node.shard]
        job.out, chain, result = False, job.chain, event.result
        # The node served what was sent later: this one was lost by itself, say with its connection.  Or its
        # client left it hardly more time than the node takes for others.
        short = result is Result.TIMEOUT and event.elapsed_us < STUCK * node.latency[job.kind]
        blameless = short or (result in BROKEN and job.sent_at < node.lived)
        if self.recovery.outcome(self.now, job, result, blameless):
            node.windows = [COLD_WINDOW] * TIERS
        node.used[job.kind] -= 1
        # Under one request out in the mean: one, and then a gap (Little's law).
        node.rest = [self.now + int(event.elapsed_us * max(0.0, 1 / w - 1)) for w in node.windows]
        # What is overdue took at least so long.
        if result is Result.SERVED or (result is Result.TIMEOUT and not short):
            node.sums[job.kind] += event.elapsed_us
            node.counts[job.kind] += 1
        if result is Result.SERVED:
            node.misses, node.lived = 0, max(node.lived, job.sent_at)
            self.cold.served(node, job.sent_at, job.units)
            job.volume.reserve -= event.others_units
        elif not blameless and result not in (Result.MOOT, Result.CANCELLED):
            # A connection that broke is mostly the connection's fault, a second one in a row the node's.
            broke = result is Result.RESET and not node.misses
            node.misses += 0.5 if broke else 1
            if result is not Result.ERROR and not broke:
                # It may still hold what timed out: a pause, so that its queue drains.  Hurts after bad luck.
                pause = min(self.target) * BACKOFF * 2 ** min(node.misses, 6) * (0.5 + self.rng.random())
                node.next_at = max(node.next_at, self.now + int(pause))
        if result in RISKY and job.risky_at is None:
            job.risky_at, job.risky_zone = job.sent_at, node.zone
        if chain is not None:
            chain.out -= 1
            if result in UNENDED:
                chain.rest_until, chain.rest_for = self.now + self.set.quiet_us, job
            self._next_in(chain)
        if job.done:
            return
        if event.final:
            job.out = True  # it waits nowhere
            self._forget(job)
            return
        if job.movable and job.risky_at is None:
            job.shard = self.placement.choose(self.now, self.shards, job.kind)
        job.not_before = self.now + self.tick
        self._wait(job)
        if result is Result.MOOT or not self._may_repeat(job):
            self._end(job, "no_repeat")

    # ---- sending ----

    def holder(self, shard: int) -> api.NodeId | None:
        """Where a large request for a shard may be written while it comes; it runs only once it is sent."""
        node = self.shards[shard].node if shard in self.shards else None
        return None if node is None else node.id

    def _room(self, node: NodeBook, tier: int) -> bool:
        # A hang, slowness or errors: one at a time until an answer comes, and beside those that are stuck, as
        # only another shows that the node is back.  Hurts after a very heavy request.
        stuck = [job for job in node.out.values() if self.now - job.sent_at > STUCK * self.target[job.kind]]
        hangs = any(job.sent_at >= node.lived for job in stuck)  # else it served what was sent later
        most = 1 if hangs or node.misses >= 1 else max(1, int(node.windows[tier]))
        free = len(node.out) - len(stuck) < most and self.now >= max(node.next_at, node.rest[tier])
        return free and self.recovery.may_send(self.now, node.shard, len(node.out))

    def _peer(self, event: api.PeerMessage) -> None:
        if (number := self.cold.heard(self.now, event, self.shards)) is not None:
            self.dirty[number] = self.shards[number]

    def _blocked(self, job: Job, node: NodeBook, cold_room: float) -> bool:
        now, chain, plan = self.now, job.chain, job.volume.plan
        if job.not_before > now or job.units > cold_room:
            return True
        if chain is not None and (chain.jobs[0] is not job or chain.out):
            return True
        if chain is not None and now < chain.rest_until and chain.rest_for is not job:
            return True
        if job.attempts == 0:
            return bool(plan.limit) and job.units > job.volume.limit.units
        risky = job.risky_at is not None and job.spec.group is api.Group.ZONE
        return (risky and node.zone != job.risky_zone) or not self.amounts.budget_left(now, self.lives)

    def _tier(self, job: Job) -> int:
        """What its units would be to its volume: 0 inside the reserve, 1 inside the share, 2 beyond."""
        volume = job.volume
        return 0 if volume.reserve >= job.units / 2 else 1 if volume.share >= job.units / 2 else 2

    def _worth(self, job: Job, node: NodeBook, tier: int) -> float:
        """Worth a unit; what would be late comes last and is not dropped: the forecast may be stale."""
        late = self.now + EARLIEST * node.latency[job.kind] > job.aim_at
        share = job.spec.late_share * self.tiers[-1] if late else self.tiers[tier]
        return job.spec.worth * job.volume.plan.price * share

    def _dispatch(self, shard: Shard) -> None:
        if (node := shard.node) is None or not any(shard.waiting):
            return
        line = self.recovery.line(node.shard)
        while any(room := [self._room(node, tier) for tier in range(TIERS)]):
            best, chosen = (-2, False, -1.0, 0), None
            borne, cold_room = self.cold.room(self.now, node, self.lives, self.recovery.strict(node.shard))
            for kind, waiting in enumerate(shard.waiting):
                in_slots = node.used[kind] < node.slots[kind]
                for job in waiting:
                    self._refill(job.volume)
                    tier = self._tier(job)
                    order = self.recovery.order(job) if line is not None else 0
                    rank = (order, in_slots, self._worth(job, node, tier), -job.aim_at)
                    if room[tier] and rank > best and not self._blocked(job, node, cold_room):
                        best, chosen = rank, job
            if chosen is None:
                self._tell(self.cold.want(self.now, node, borne))
                return
            self._send(chosen, shard, node)

    def _hopeless(self, shard: Shard) -> list[Job]:
        """What waits behind more than can be sent before its aim, by Little's law: it is refused at once.

        It would be refused at its aim in any case, and until then it holds a connection of its client.
        """
        node = shard.node
        queue = sum(map(len, shard.waiting))
        if node is None or queue <= CEILING:
            return []
        latency, ranked = sum(node.latency) / len(node.latency), list[tuple[float, int, int, int, Job]]()
        for job in (job for waiting in shard.waiting for job in waiting):
            self._refill(job.volume)
            tier = self._tier(job)
            ranked.append((self._worth(job, node, tier), -job.aim_at, -job.id, tier, job))
        ranked.sort(reverse=True)
        return [
            job
            for ahead, (_, _, _, tier, job) in enumerate(ranked)
            if ahead > HOPE * node.windows[tier] * (1 + max(0, job.aim_at - self.now) / latency)
        ]

    def _send(self, job: Job, shard: Shard, node: NodeBook) -> None:
        shard.waiting[job.kind].remove(job)
        self.recovery.left(job)
        # One that hangs gives its slot back; what must not run twice waits to the end: it could not go again.
        longer = PATIENCE * self.recovery.patience(job)
        patience = int(longer * self.target[job.kind]) if job.spec.effect is Effect.SAFE else 0
        volume = job.volume
        if job.attempts == 0:
            job.before = self.amounts.take(self.now, volume.limit, job.units)
            if volume.reserve >= job.units / 2:
                volume.reserve -= job.units
            else:
                volume.share -= job.units
        else:
            self.amounts.extra(self.now)
        before = job.before if job.risky_at is None else self._until(job)  # what may have arrived is spent
        self.acts.append(api.Send(job.id, node.id, patience, before))
        node.out[(job.id, job.attempts)] = job
        node.used[job.kind] += 1
        node.peak = max(node.peak, len(node.out))
        self.cold.sent(self.now, node, job.units)
        job.attempts, job.out, job.sent_at = job.attempts + 1, True, self.now
        if job.chain is not None:
            job.chain.out += 1

    # ---- timers and the control loop ----

    def _bell(self, event: api.TimerFired) -> None:
        if event.token == BELL_WATCH:
            self.acts.append(api.WatchList(True))
        elif event.token == BELL_TICK:
            self.ticking = False
            for number, shard in list(self.shards.items()):
                for job in [job for waiting in shard.waiting for job in waiting]:
                    barred, late = shard.away and not job.movable, self.now >= job.begin_by
                    if barred or late or (job.attempts and not self._may_repeat(job)):
                        self._end(job, "away" if barred else "aim" if late else "no_repeat")
                    elif job.movable and job.risky_at is None and shard.node is None:
                        shard.waiting[job.kind].remove(job)
                        job.shard = self.placement.choose(self.now, self.shards, job.kind)
                        self._wait(job)
                for job in self._hopeless(shard):
                    self._end(job, "hopeless")
                if any(shard.waiting):
                    self.dirty[number] = shard
        elif event.token == BELL_PERIOD:
            self.acts.append(api.SetTimer(self.now + PERIOD_US, BELL_PERIOD))
            self.acts += self.recovery.tick(
                self.now, {number: shard.node for number, shard in self.shards.items()}, self.lives)
            for shard in self.shards.values():
                self._control(shard)
            self.amounts.budget_left(self.now, self.lives)
            self.chains = {k: c for k, c in self.chains.items() if c.jobs or c.out or c.rest_until > self.now}
            for key, volume in [item for item in self.volumes.items() if not item[1].jobs]:
                if self.now - volume.at > FORGET_US and self.amounts.left(self.now, key, volume.limit):
                    del self.volumes[key]
            self.nodes = {key: node for key, node in self.nodes.items() if node.listed or node.out}

    def _control(self, shard: Shard) -> None:
        """Each period: the FAST TCP rule moves the window, the Little's-law forecast splits it."""
        node = shard.node
        if node is not None:
            goal = total = base = 0.0
            for kind, count in enumerate(node.counts):
                if count:
                    fresh = node.sums[kind] / count
                    node.latency[kind] = (1 - ALPHA) * fresh + ALPHA * node.latency[kind]
                    goal, total = goal + self.target[kind], total + node.latency[kind]
                    node.base[kind] = min(self.target[kind], fresh, node.base[kind] * BASE_DRIFT)
                    base += node.base[kind]
            if total:
                least, most = self.recovery.window(node.shard, CEILING)
                for tier, window in enumerate(node.windows):
                    wanted = base + (goal - base) * min(most, self.tiers[tier])
                    moved = window * (1 - GAIN + GAIN * wanted / total)
                    if moved < window or node.peak >= int(window):  # no growth while unfilled
                        node.windows[tier] = max(self.floor, least, min(CEILING, moved))
            self._split(shard, node)
            node.sums, node.counts = [0.0] * len(node.sums), [0] * len(node.sums)
            node.peak = len(node.out)
        shard.last_queue, shard.arrivals = [len(jobs) for jobs in shard.waiting], [0] * len(shard.arrivals)

    def _split(self, shard: Shard, node: NodeBook) -> None:
        """One slot at a time to the class whose forecast response is furthest over its aim."""
        node.slots = [0] * len(self.target)
        for _ in range(max(1, int(node.windows[0]))):
            worst = (-1.0, 0)
            for kind, waiting in enumerate(shard.waiting):
                rate, queue = shard.arrivals[kind], len(waiting)
                served, delay = node.slots[kind] * PERIOD_US / max(node.latency[kind], 1), 0.0
                if rate:
                    spent = sum(self.now - job.taken for job in waiting) / max(queue, 1)
                    ahead = (max(0.0, queue + rate - served) + shard.last_queue[kind]) / 2
                    delay = ahead / rate * PERIOD_US + spent
                over = (delay + self.target[kind]) / self.aims[kind]
                worst = max(worst, (over, -kind))
            node.slots[-worst[1]] += 1
