"""Recovery: what becomes of a shard while its node is away, and of those who wait for it to come back.

For each shard in trouble there is a line.  It knows the shard's phase and the evidence for it, who was
refused there and is owed a way back, and the book of places over the warm-up.  A place is a tag in units of
the line's own progress, which advances by what the node will bear (cold.py) less what fresh requests take,
so that nobody's place moves when the node warms up faster or slower than was thought.  Places are dealt by
the worth of plan and class, after start-time fair queueing (Goyal, Vin, Cheng 1996).  A client is told when
its place comes; where that is later than clients heed, when to ask again, level over that time.

Nothing here sends, waits or reads a clock; the same calls give the same answers.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Mapping
from typing import Any

from .actions import WriteLog
from .events import AttemptResult, RequestReceived
from .records import NodeRecord, PendingRequest
from .recovery_queue import QueuePriority, RecoveryQueue, RetryStorm, ShardPhase
from .retry_schedule import RetrySchedule
from .retry_tickets import RetryTicket, RetryTickets
from .settings import Settings
from .slow_start import FOREVER, SlowStart

LEAST_US, LEAST_HIGH_US = 5_000, 200_000  # the shortest time to come back, and of a shard that is away
SERVING_SHARE = 0.8  # of the longest time: the shortest that is told where a shard serves
EARLY_SHARE, EARLY_US = 0.05, 5_000  # of the time that was told, and in all: what is not yet too early
SILENT_US = 1_000_000  # so long past its time, and twice the longest time: it does not come any more
PATIENT_AIMS = 4.0  # of the longest aim: a shard that is away for longer will hardly be back within one
BUSY = 8  # tickets from which on a line orders what is sent
STORM, STORM_S = 24, 1.0  # tickets, and seconds of what the node bears, from which on it is called a storm
HEIGHT = 0.8  # of the most tickets: a storm that has fallen so far has passed its height
CALM = 0.25  # of STORM: below it a storm is over
CROWD_TARGET = 0.35  # of the way from the least latency seen to the target
CROWD_OUT = 4.0  # requests that all gateways together keep out at a node where all have more to send
USUAL_GAIN = 0.05  # of the latest period in what is served
FAILS = {
    AttemptResult.ERROR: 1,
    AttemptResult.REJECTED: 0,
    AttemptResult.TIMEOUT: 6,
    AttemptResult.NO_CONNECTION: 6,
    AttemptResult.RESET: 6,
}
FAILING = 20  # points in a row without an answer: the node is not there, or fails whatever it gets
TRIAL_US, MOST_TRIAL_US = 50_000, 2_000_000  # between two trials of a failing node: doubled each time
FORGIVE_US = 4_000_000  # of service after which the wait before a trial is halved
LEAST_WARM_US, MOST_WARM_US = 5_000_000, 20_000_000  # how long a line lasts after a warm-up
MOST_HUNG = 3  # doublings of the time for an attempt
ASKED_SLACK_US = 100_000  # by which a repeat may seem to have been asked for earlier than it was
MOST_ASKED = 4096  # requests that are remembered where clients do not mark repeats: about 0.5 MB
LAGS = 8  # of the list that are kept
MOST_LAG_US = 60_000_000


class RecoveryRamp:
    """The lines of one gateway."""

    def __init__(self, settings: Settings, cold: SlowStart, rng: random.Random) -> None:
        self._rng, self._cold = rng, cold
        self.repeats = RetryTickets(rng.getrandbits(64))
        self.longest_retry_after_us = 0
        self._level = RetrySchedule(rng, 0)
        self.lines: dict[int, RecoveryQueue] = {}
        self._usual: dict[int, list[float]] = {}  # by shard: units a second served, and since the last period
        self.lags: deque[int] = deque(maxlen=LAGS)
        self._notices: list[WriteLog] = []
        self._ticked_at = 0
        self._asked: dict[int, int] = {}  # by mark: first asked for when, where clients mark no repeats
        self.rejections: Counter[str] = Counter()  # by cause and what the node was then, since the start
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Other settings; tickets and lines stay, under the names of their plans and classes."""
        self._set, self.on = settings, settings.recovery_queue
        longest = settings.longest_retry_after_us
        if longest != self.longest_retry_after_us:
            self.longest_retry_after_us = longest
            self._level.update_longest(longest)
        self._patience = int(PATIENT_AIMS * max(spec.latency_objective_us for spec in settings.classes))
        self._weights = {
            (plan.name, spec.name): max(1e-3, plan.priority_weight * spec.priority_weight)
            for plan in settings.plans for spec in settings.classes
        }  # fmt: skip

    # ---- evidence ----

    def node_removed(self, now: int, shard: int, why: str) -> None:
        """The list, or an operator, has no node for the shard any more."""
        if (line := self.lines.get(shard)) is None and self.on:
            self._open(now, shard, ShardPhase.DOWN, why)
        elif line is not None and line.phase is not ShardPhase.DOWN:
            self._turn(line, now, ShardPhase.DOWN, why)

    def node_ready(self, now: int, node: NodeRecord) -> None:
        """The list has a ready node for the shard: the one that was away, another, or one that started
        again.
        """
        if (line := self.lines.get(node.shard)) is None:
            return
        again, line.started = node.listed_start_us != line.started, node.listed_start_us
        if line.phase is ShardPhase.DOWN:
            if 0 < now - node.listed_start_us < MOST_LAG_US:
                self.lags.append(now - node.listed_start_us)
        elif not again:
            return
        line.failure_points, line.trial_wait_us = 0, TRIAL_US
        cold = node.warming_since is not None
        self._turn(line, now, ShardPhase.COLD if cold else ShardPhase.WARM, "the list says so")

    def attempt_ended(
        self, now: int, job: PendingRequest, result: AttemptResult, blameless: bool = False
    ) -> bool:
        """How an attempt ended at the shard's node; whether it was a trial that the node has stood.

        One for which the node is ``blameless``, as it served what was sent later, says nothing of it.
        """
        line = self.lines.get(job.shard)
        if result is AttemptResult.TIMEOUT:
            job.timeouts = min(MOST_HUNG, job.timeouts + 1)
        if result is AttemptResult.SERVED:
            self._asked.pop(job.fingerprint, None)  # who asks for the same again is another
            self._usual.setdefault(job.shard, [0.0, 0.0])[1] += job.units
            if line is None:
                return False
            self._leave(self.repeats.drop(job.fingerprint))
            line.failure_points = 0
            if line.phase is ShardPhase.FAILING:
                self._turn(line, now, ShardPhase.WARM, "a trial was served")
                return True
        elif (points := FAILS.get(result, 0)) and self.on and not blameless:
            if line is None:
                line = self._open(now, job.shard, ShardPhase.SERVING, "an attempt failed")
            line.failure_points += points
            self._failed(line, now, f"{result.name.lower()} in a row")
        return False

    def _failed(self, line: RecoveryQueue, now: int, why: str) -> None:
        again = (
            line.trial_wait_us > TRIAL_US
        )  # it failed trials lately: one good answer does not make it whole
        if line.phase is ShardPhase.FAILING or (line.phase is not ShardPhase.DOWN and again):
            line.trial_wait_us = min(MOST_TRIAL_US, line.trial_wait_us * 2)
        elif line.phase is ShardPhase.DOWN or line.failure_points < FAILING:
            return
        line.trial_at = now + int(line.trial_wait_us * (0.75 + 0.5 * self._rng.random()))
        if line.phase is not ShardPhase.FAILING:
            self._turn(line, now, ShardPhase.FAILING, why)

    def _open(self, now: int, shard: int, phase: ShardPhase, why: str) -> RecoveryQueue:
        line = self.lines[shard] = RecoveryQueue(shard, phase, now, why, TRIAL_US, now)
        return line

    def _turn(self, line: RecoveryQueue, now: int, phase: ShardPhase, why: str) -> None:
        line.advance(now)
        line.phase, line.since, line.reason = phase, now, why

    def timeout_factor(self, job: PendingRequest) -> int:
        """By what the time for an attempt is multiplied.

        One that ran out of time was perhaps never to be done in it: asked for again and again it would take
        the node's time for nothing.
        """
        return 1 << job.timeouts

    # ---- what may be sent ----

    def is_crowded(self, shard: int) -> bool:
        """All gateways have more to send to the shard than their parts: none may take what another leaves."""
        return (line := self.lines.get(shard)) is not None and line.crowded

    def window_bounds(self, shard: int, ceiling: float) -> tuple[float, float]:
        """The least window for a shard, and what part of the wait that their aims leave may be spent at its
        node.

        Each gateway moves its window toward the same latency.  Where all of them always have more to send,
        the node is then as slow as that, and what is fresh is late with the rest; kept short there, the
        rest waits here, where what is hopeless is told so.  The least window keeps them from starving each
        other.
        """
        line = self.lines.get(shard)
        if line is None or line.phase not in (ShardPhase.COLD, ShardPhase.WARM):
            return 0.0, 1.0
        return max(1.0, min(ceiling, CROWD_OUT / self._set.gateway_count)), CROWD_TARGET

    def ordering_queue(self, shard: int) -> RecoveryQueue | None:
        """The line, where there is one that orders what is sent."""
        line = self.lines.get(shard)
        return line if line is not None and line.ticket_count >= BUSY else None

    def may_send(self, now: int, shard: int, out: int) -> bool:
        """A failing node is tried by one request at a time, and not before its wait is over."""
        line = self.lines.get(shard)
        return line is None or line.phase is not ShardPhase.FAILING or (not out and now >= line.trial_at)

    def unavailable_for_long(self, now: int, shard: int) -> bool:
        """The shard has been away for so long that what waits for it has little hope within its aim."""
        line = self.lines.get(shard)
        away = line is not None and line.phase in (ShardPhase.DOWN, ShardPhase.FAILING)
        return line is not None and away and now - line.since > self._patience

    # ---- the line's progress ----

    def update_capacity(self, now: int, shard: int, node: NodeRecord | None, lives: int) -> None:
        """Bring the line of a shard up to now, with the node that it has."""
        if (line := self.lines.get(shard)) is not None:
            line.advance(now)
            line.capacity_per_s = self._bears(line, now, node, lives)

    def _bears(self, line: RecoveryQueue, now: int, node: NodeRecord | None, lives: int) -> float:
        """Units a second that this gateway may send; 0 while the shard is away."""
        if node is None or line.phase in (ShardPhase.DOWN, ShardPhase.FAILING):
            return 0.0
        told = self._cold.allowed_units(now, node.warming_since)
        if told == FOREVER:
            told = self._set.initial_capacity_units / self._set.initial_capacity_share
        if told and self._set.overload_window_us:
            return told * 1e6 / self._set.overload_window_us / self._set.gateway_count / lives
        return max(self._usual.get(line.shard, [0.0])[0] * 1.25, self._set.max_request_units)

    # ---- requests ----

    def first_received_at(self, came: int, request: RequestReceived, kind: int, earliest: int) -> int:
        """When the client of a request that ``came`` then first asked for it, in microseconds, as far as that
        can be told.

        A repeat has what is left of its class's time: it first asked that time before it gives up, which is
        ``earliest``.  Who asks for the first time with less gives up early, and has waited for nothing yet.
        Where clients do not mark repeats, one is what was asked for before, within its class's time.
        """
        if self._set.clients_mark_retries:
            return min(came, earliest) if request.is_retry else came
        mark = self.repeats.fingerprint(request, kind)
        asked_at = self._asked.pop(mark, None)
        again = earliest < came and asked_at is not None and asked_at >= earliest - ASKED_SLACK_US
        self._asked[mark] = came if asked_at is None or not again else asked_at
        if len(self._asked) > MOST_ASKED:
            del self._asked[next(iter(self._asked))]
        return earliest if again else came

    def request_received(self, now: int, job: PendingRequest, request: RequestReceived) -> None:
        """How a request stands in the line of its shard."""
        if not self.on or job.any_shard:
            return
        job.fingerprint = self.repeats.fingerprint(request, job.class_index)
        ticket = self.repeats.find(job.fingerprint)
        if ticket is not None:
            job.timeouts = ticket.timeouts
        if (line := self.lines.get(job.shard)) is None:
            return
        if not (request.is_retry if self._set.clients_mark_retries else ticket is not None):
            line.fresh_units += job.units
            return
        if line.storm is not None:
            line.storm.returned += 1
        job.queue_priority = QueuePriority.ASKING
        if ticket is not None:
            early = ticket.retry_at - now > max(EARLY_US, EARLY_SHARE * ticket.retry_after_us)
            if early:
                job.queue_priority = QueuePriority.EARLY
                if line.storm is not None:
                    line.storm.early += 1
            elif ticket.tag <= line.progress:
                job.queue_priority = QueuePriority.DUE
                line.due_units += job.units

    def left_queue(self, job: PendingRequest) -> None:
        """A request waits no more: it was sent, or has its answer."""
        if job.queue_priority == QueuePriority.DUE and (line := self.lines.get(job.shard)) is not None:
            line.due_units = max(0.0, line.due_units - job.units)
        job.queue_priority = QueuePriority.FRESH

    def priority(self, job: PendingRequest) -> int:
        """What goes first where there is a line; further attempts go last."""
        return job.queue_priority if not job.attempts else QueuePriority.EARLY - 1

    def spread_retry_after(self, now: int) -> int:
        """When to come back to a head that serves, for who is refused whatever is asked for."""
        if not self.on or self.longest_retry_after_us < 2 * LEAST_US:
            return self.longest_retry_after_us
        return self._level.choose(
            now, int(SERVING_SHARE * self.longest_retry_after_us), self.longest_retry_after_us
        )

    def reject(self, now: int, job: PendingRequest, why: str, node: NodeRecord | None) -> int:
        """When the client of a request that is refused is to come back, in microseconds from now.

        ``why`` names the guard that refused it; it is counted with the state of the shard's node.
        """
        self.count_rejection(
            why, "none" if node is None else "cold" if node.warming_since is not None else "warm"
        )
        line = self.lines.get(job.shard)
        if not self.on or self.longest_retry_after_us < 2 * LEAST_US:
            return self.longest_retry_after_us
        if line is None or job.any_shard or line.phase is ShardPhase.SERVING:
            wait = self.spread_retry_after(now)
            if job.timeouts:  # that is all there is to remember
                self._keep(
                    RetryTicket(
                        job.fingerprint, job.shard, None, 0.0, 0.0, now + wait, wait, now, job.timeouts
                    )
                )
            return wait
        if line.storm is not None:
            line.storm.rejected += 1
        ticket = self.repeats.find(job.fingerprint)
        if ticket is None or job.queue_priority == QueuePriority.EARLY:
            ticket = self._enter(line, now, job, ticket)
        ticket.retry_after_us = self._wait(line, now, ticket)
        ticket.retry_at, ticket.timeouts = now + ticket.retry_after_us, job.timeouts
        self._keep(ticket)
        return ticket.retry_after_us

    def count_rejection(self, why: str, node: str) -> None:
        """A refusal, for the counts that operators read across a fleet: ``refused_<why>_<node>``."""
        self.rejections[f"refused_{why}_{node}"] += 1

    def _keep(self, ticket: RetryTicket) -> None:
        self._leave(self.repeats.keep(ticket))

    def client_disconnected(self, now: int, job: PendingRequest) -> None:
        """Its client went without an answer: it may come back at any time."""
        line = self.lines.get(job.shard)
        if line is not None and not job.any_shard and self.repeats.find(job.fingerprint) is None:
            ticket = self._enter(line, now, job, None)
            ticket.retry_at = now
            self._keep(ticket)

    def _enter(
        self, line: RecoveryQueue, now: int, job: PendingRequest, old: RetryTicket | None
    ) -> RetryTicket:
        """A place at the end of its lane.  Who came early has lost the one it had."""
        if old is not None:
            self._leave(self.repeats.drop(old.fingerprint))
        name = job.volume.plan.name, job.request_class.name
        tag = line.enter(name, self._weights.get(name, 1.0), job.units)
        line.crowded = line.crowded or line.ticket_count >= BUSY
        since = old.first_rejected_at if old is not None else now
        return RetryTicket(job.fingerprint, job.shard, name, job.units, tag, now, 0, since)

    def _leave(self, ticket: RetryTicket | None) -> None:
        if ticket is not None and (line := self.lines.get(ticket.shard)) is not None:
            line.leave(ticket)

    def _wait(self, line: RecoveryQueue, now: int, ticket: RetryTicket) -> int:
        """Until its place comes; where that is not known, or later than clients heed, until it asks again."""
        low, high = self.longest_retry_after_us // 2, self.longest_retry_after_us
        if line.phase in (ShardPhase.COLD, ShardPhase.WARM):
            wait = line.wait_us(ticket.tag)
            if wait is not None and LEAST_US <= wait < high:
                self._level.record(now, wait)
                return wait
            if wait is not None and wait < LEAST_US:  # it has come, and the node was too slow for it
                low, high = LEAST_US, max(2 * LEAST_US, high // 8)
        elif line.phase is ShardPhase.FAILING:
            low = min(high - 1, max(low, line.trial_at - now))
        elif self.lags:
            # Whenever the node is back, the list says so that much later: sooner it is no use to ask.
            high = min(high, max(LEAST_HIGH_US, max(self.lags)))
            low = high // 2
        return self._level.choose(now, low, high)

    # ---- once a period ----

    def end_control_period(
        self, now: int, nodes: Mapping[int, NodeRecord | None], lives: int
    ) -> list[WriteLog]:
        """Bring all lines up to now; what staff are told of them."""
        span, self._ticked_at = max(1, now - self._ticked_at) / 1e6, now
        for usual in self._usual.values():
            usual[0] += USUAL_GAIN * (usual[1] / span - usual[0])
            usual[1] = 0.0
        silent = now - max(SILENT_US, 2 * self.longest_retry_after_us)
        while (ticket := self.repeats.take_overdue(silent)) is not None:
            self._leave(ticket)
        for line in list(self.lines.values()):
            node = nodes.get(line.shard)
            self.update_capacity(now, line.shard, node, lives)
            line.end_period(span)
            if (
                line.phase is ShardPhase.COLD
                and node is not None
                and self._cold.capacity_share(now, node.warming_since) >= 1
            ):
                self._turn(line, now, ShardPhase.WARM, "its warm-up is over")
            if (
                line.trial_wait_us > TRIAL_US
                and line.phase is ShardPhase.WARM
                and now - line.since > FORGIVE_US
            ):
                line.trial_wait_us, line.since = max(TRIAL_US, line.trial_wait_us // 2), now
            self._storm(line, now)
            if self._over(line, now):
                for ticket in [ticket for ticket in self.repeats if ticket.shard == line.shard]:
                    self.repeats.drop(ticket.fingerprint)
                del self.lines[line.shard]
        notices, self._notices = self._notices, []
        return notices

    def _over(self, line: RecoveryQueue, now: int) -> bool:
        """The shard serves as ever, and whoever still comes back needs no place."""
        if line.phase is ShardPhase.SERVING:
            return not line.failure_points
        warm = now - line.since
        few = (line.ticket_count < BUSY // 2 and warm > LEAST_WARM_US) or warm > MOST_WARM_US
        return line.phase is ShardPhase.WARM and line.trial_wait_us <= TRIAL_US and few and line.storm is None

    def _storm(self, line: RecoveryQueue, now: int) -> None:
        """A line of the log when a storm begins, at its height, and when it ends."""
        storm = line.storm
        if storm is None:
            bears = max(line.capacity_per_s, self._usual.get(line.shard, [0.0])[0])
            if line.ticket_count < STORM or line.ticket_units < STORM_S * bears:
                return
            storm = line.storm = RetryStorm(now)
            self._notice("storm_begins", line, storm, now)
        storm.peak_tickets = max(storm.peak_tickets, line.ticket_count)
        if not storm.past_peak and line.ticket_count < HEIGHT * storm.peak_tickets:
            storm.past_peak = True
            self._notice("storm_height", line, storm, now)
        if line.ticket_count < CALM * STORM or (
            line.phase is ShardPhase.WARM and now - line.since > MOST_WARM_US
        ):
            self._notice("storm_ends", line, storm, now)
            line.storm = None

    def _notice(self, event: str, line: RecoveryQueue, storm: RetryStorm, now: int) -> None:
        told: tuple[tuple[str, float | str], ...] = (
            ("shard", line.shard), ("phase", line.phase.value), ("owed", line.ticket_count),
            ("most_owed", max(storm.peak_tickets, line.ticket_count)), ("refused", storm.rejected),
            ("returned", storm.returned), ("early", storm.early),
            ("lasted_s", round((now - storm.since) / 1e6, 1)),
        )  # fmt: skip
        self._notices.append(WriteLog("", event, told))

    def view(self, now: int) -> list[dict[str, Any]]:
        """The book of each shard in trouble, for staff; times in seconds, rates in units a second."""
        return [
            {
                "shard": line.shard, "phase": line.phase.value, "why": line.reason,
                "for_s": round((now - line.since) / 1e6, 3),
                "owed": line.ticket_count, "units": round(line.ticket_units, 1),
                "bears": round(line.capacity_per_s, 1), "fresh": round(line.fresh_per_s, 1),
                "clear_s": round(line.ticket_units / line.retry_rate, 1) if line.retry_rate else None,
                "next_trial_s": round(max(0, line.trial_at - now) / 1e6, 3),
                "storm": None if line.storm is None else {
                    "for_s": round((now - line.storm.since) / 1e6, 1), "most_owed": line.storm.peak_tickets,
                    "refused": line.storm.rejected, "returned": line.storm.returned,
                    "early": line.storm.early,
                },
                "lanes": [
                    {"plan": plan, "class": kind, "owed": lane.tickets, "units": round(lane.units, 1)}
                    for (plan, kind), lane in sorted(line.flows.items())
                ],
            }
            for line in sorted(self.lines.values(), key=lambda line: line.shard)
        ]  # fmt: skip
