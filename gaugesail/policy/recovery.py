"""The recovery ramp: decisions for a shard that is unavailable or recovering.

Each such shard has a ``ShardRecovery``: its health, a recovery queue of the clients that were rejected and
may retry, and the retry storm that they may cause.  Turns in a queue are assigned by the share weights of
plans.  The queue advances by what the node may be sent (``shard_capacity``) less what new requests
take, so turns keep their order when the node warms up faster or slower than assumed.  A rejected client gets
a Retry-After time that follows from its turn (``retry_after``).

Nothing here sends, waits or reads a clock: the same calls always produce the same decisions.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from .actions import WriteLog
from .events import AttemptResult, RequestReceived
from .records import NodeRecord, PendingRequest
from .recovery_queue import Arrival, RecoveryQueue
from .rejections import NodeState, RejectionReason
from .retry_after import RetryAfterPolicy
from .retry_tickets import RetryTicket, RetryTickets
from .settings import Settings
from .shard_capacity import ShardCapacity
from .shard_health import FAILURE_POINTS, ShardHealth, ShardPhase
from .shard_recovery import ShardRecovery
from .slow_start import SlowStart
from .spare_shares import SMALLEST_WEIGHT

LOST_TICKET_US = 1_000_000  # overdue by this, or twice the longest Retry-After if longer: no retry expected
# While a shard returns (``is_returning``), its node's windows aim at this share of the way from the lowest
# latency to the target.
RETURNING_LATENCY_SHARE = 0.35
RETURNING_IN_FLIGHT = 4.0  # requests in flight at its node then, from all gateways together


class WindowBounds(NamedTuple):
    """The limits that recovery sets for the congestion windows of a node."""

    smallest: float  # requests in flight
    latency_share: float  # latency goal: its share of the way from the lowest latency seen to the target


DEFAULT_WINDOW_BOUNDS = WindowBounds(0.0, 1.0)


class RecoveryRamp:
    """The shards in recovery, for one gateway.

    All times are in microseconds, rates in units per second.  ``process_count`` is the number of processes
    of this gateway that serve at once, 1 or 2.
    """

    def __init__(self, settings: Settings, slow_start: SlowStart, rng: random.Random) -> None:
        self._rng = rng
        self._slow_start = slow_start
        self.tickets = RetryTickets(rng.getrandbits(64))
        self.retry_after = RetryAfterPolicy(rng)
        self.shards: dict[int, ShardRecovery] = {}
        self.awake: set[int] = set()  # those that are not dormant
        self._opened = 0
        self._capacity = ShardCapacity(settings, slow_start)
        self._period_ended_at = 0
        self.rejections: Counter[str] = Counter()  # by counter name, since the start
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings; tickets and queues stay, under the names of their plans and classes."""
        self._settings = settings
        self._enabled = settings.recovery_queue
        self._capacity.update_settings(settings)
        self.retry_after.update_longest(settings.longest_retry_after_us)
        self._weights = {
            (plan.name, request_class.name): max(SMALLEST_WEIGHT, plan.share_weight)
            for plan in settings.plans
            for request_class in settings.classes
        }

    # ---- evidence of faults ----

    def node_removed(self, now: int, shard: int, reason: str) -> None:
        """Record that the endpoint list, or an operator, has removed the node of a shard."""
        recovery = self._attend(shard)
        if recovery is None:
            if self._enabled:
                self._open(now, shard, ShardPhase.DOWN, reason)
        elif recovery.health.phase is not ShardPhase.DOWN:
            recovery.enter(ShardPhase.DOWN, now, reason)

    def node_ready(self, now: int, node: NodeRecord) -> None:
        """Record that a shard has a ready node: the previous one, another one, or one that restarted."""
        recovery = self._attend(node.shard)
        if recovery is None:
            return
        health = recovery.health
        restarted = node.listed_start_us != health.listed_start_us
        health.listed_start_us = node.listed_start_us
        if health.phase is ShardPhase.DOWN:
            self.retry_after.record_list_delay(now - node.listed_start_us)
        elif not restarted:
            return
        health.reset()
        warming_up = node.warming_since is not None
        phase = ShardPhase.WARMING_UP if warming_up else ShardPhase.RECOVERING
        recovery.enter(phase, now, "ready by the endpoint list")

    def attempt_ended(
        self, now: int, request: PendingRequest, result: AttemptResult, excused: bool = False
    ) -> bool:
        """Record the result of an attempt; return whether it was a served trial of a failing node.

        :param excused: the failure is not the node's fault and does not count as evidence against it.
        """
        if result is AttemptResult.TIMEOUT:
            request.timed_out = True
        if result is AttemptResult.SERVED:
            return self._attempt_served(now, request)
        points = FAILURE_POINTS.get(result, 0)
        if points and self._enabled and not excused:
            recovery = self._attend(request.shard)
            if recovery is None:
                recovery = self._open(now, request.shard, ShardPhase.SERVING, "an attempt failed")
            if recovery.health.record_failure(now, points, self._rng):
                recovery.enter(ShardPhase.FAILING, now, f"{result.name.lower()} in a row")
        return False

    def _attempt_served(self, now: int, request: PendingRequest) -> bool:
        self._capacity.record_served(request.shard, request.units)
        recovery = self._attend(request.shard)
        if recovery is None:
            return False
        self._leave_queue(self.tickets.drop(request.fingerprint))
        recovery.health.failure_points = 0
        if recovery.health.phase is not ShardPhase.FAILING:
            return False
        recovery.enter(ShardPhase.RECOVERING, now, "a trial was served")
        return True

    def _open(self, now: int, shard: int, phase: ShardPhase, reason: str) -> ShardRecovery:
        self._opened += 1
        health = ShardHealth(phase, now, reason)
        recovery = ShardRecovery(health, RecoveryQueue(shard, now), opened=self._opened)
        self.shards[shard] = recovery
        self.awake.add(shard)
        return recovery

    def _attend(self, shard: int) -> ShardRecovery | None:
        """Return a shard in recovery to which something happens, or None if it is not in recovery."""
        recovery = self.shards.get(shard)
        if recovery is not None and shard not in self.awake:
            self.awake.add(shard)
            recovery.queue.advance(self._period_ended_at)
        return recovery

    def _attended(self) -> list[tuple[int, ShardRecovery]]:
        """Return the shards that are not dormant, in the order in which their recovery was opened."""
        found = [(number, self.shards[number]) for number in self.awake]
        return sorted(found, key=lambda attended: attended[1].opened)

    # ---- what may be sent ----

    def is_contended(self, shard: int) -> bool:
        """Return whether this gateway's queue has been long since the shard became unavailable.

        All gateways are then assumed to have more to send than their shares, so that none leaves any unused.
        """
        recovery = self.shards.get(shard)
        return recovery is not None and recovery.queue.contended

    def window_bounds(self, shard: int, ceiling: float) -> WindowBounds:
        """Return the limits of the windows of a shard's node; they are tighter while the shard returns.

        Where all gateways have more to send than their shares, windows that aim at the target latency would
        make the node that slow for all of them.  With short windows requests wait at the gateway instead,
        where those that cannot be served in time are rejected early.  The smallest window keeps the gateways
        from starving each other.

        :param ceiling: the largest window, in requests in flight.
        """
        recovery = self.shards.get(shard)
        if recovery is None or not recovery.health.is_returning:
            return DEFAULT_WINDOW_BOUNDS
        even_share = RETURNING_IN_FLIGHT / self._settings.gateway_count
        return WindowBounds(max(1.0, min(ceiling, even_share)), RETURNING_LATENCY_SHARE)

    def may_send(self, now: int, shard: int, in_flight: int) -> bool:
        """Return whether the shard's health allows an attempt beside the ``in_flight`` ones."""
        recovery = self.shards.get(shard)
        return recovery is None or recovery.health.trial_allowed(now, in_flight)

    def outage_us(self, now: int, shard: int) -> int:
        """Return for how long a shard has been unavailable, in microseconds; 0: it is available.

        Nothing tells when it returns; it is taken to be away for as long again as it has been.
        """
        recovery = self.shards.get(shard)
        if recovery is None or not recovery.health.is_unavailable:
            return 0
        return now - recovery.health.unavailable_since

    def update_capacity(self, now: int, shard: int, node: NodeRecord | None, process_count: int) -> None:
        """Advance a shard's queue to ``now`` and update the capacity that it has from its node."""
        recovery = self._attend(shard)
        if recovery is None:
            return
        recovery.queue.advance(now)
        recovery.queue.capacity_per_s = self._capacity.units_per_s(
            now, shard, recovery.health, node, process_count
        )

    # ---- requests ----

    def request_received(self, now: int, request: PendingRequest, received: RequestReceived) -> None:
        """Record a new request, and whether it is the retry that a ticket of its shard awaits."""
        if not self._enabled or request.any_shard:
            return
        request.fingerprint = self.tickets.fingerprint(received, request.class_position)
        ticket = self.tickets.find(request.fingerprint)
        recovery = self._attend(request.shard)
        if recovery is None:
            return
        marked = self._settings.clients_mark_retries
        if received.is_retry if marked else ticket is not None:
            request.arrival = recovery.retry_received(now, request.units, ticket)
        else:
            recovery.queue.new_units += request.units

    def request_dequeued(self, request: PendingRequest) -> None:
        """Record that a request no longer waits, as it was sent or has its final answer."""
        if request.arrival is Arrival.DUE:
            recovery = self.shards.get(request.shard)
            if recovery is not None:
                recovery.queue.remove_due(request.units)
        request.arrival = Arrival.WITHOUT_TICKET

    def record_rejection(
        self,
        now: int,
        request: PendingRequest,
        reason: RejectionReason,
        node: NodeRecord | None,
        backlog_us: float,
    ) -> int:
        """Return the Retry-After time of a rejected request, in microseconds.

        The rejection is counted by its reason and the state of the shard's node.

        :param backlog_us: until the shard has worked off what waits there.
        """
        self.count_rejection(reason, _state_of(node))
        if not self._enabled or not self.retry_after.can_be_spread:
            return self.retry_after.longest_us
        recovery = self._attend(request.shard)
        if recovery is None or request.any_shard or recovery.health.phase is ShardPhase.SERVING:
            return self.retry_after.for_backlog(now, backlog_us)
        if recovery.storm is not None:
            recovery.storm.rejected += 1
        ticket = self.tickets.find(request.fingerprint)
        if ticket is None or request.arrival is Arrival.EARLY:
            ticket = self._new_ticket(recovery.queue, now, request, ticket)
        wait_us = self.retry_after.for_ticket(now, recovery.health, recovery.queue, ticket, backlog_us)
        ticket.retry_after_us = wait_us
        ticket.retry_at = now + wait_us
        self._keep(ticket)
        return wait_us

    def count_rejection(self, reason: RejectionReason, node_state: NodeState) -> None:
        """Count a rejection for operators, as ``refused_<reason>_<node_state>``."""
        self.rejections[f"refused_{reason.value}_{node_state.value}"] += 1

    def client_disconnected(self, now: int, request: PendingRequest) -> None:
        """Record that a client disconnected before its answer; it may retry at any time."""
        recovery = self._attend(request.shard)
        if recovery is None or request.any_shard or self.tickets.find(request.fingerprint) is not None:
            return
        ticket = self._new_ticket(recovery.queue, now, request, None)
        ticket.retry_at = now
        self._keep(ticket)

    def _new_ticket(
        self, queue: RecoveryQueue, now: int, request: PendingRequest, old: RetryTicket | None
    ) -> RetryTicket:
        """Return a new ticket at the end of its flow; it replaces the ``old`` one of an early retry."""
        if old is not None:
            self._leave_queue(self.tickets.drop(old.fingerprint))
        flow_key = request.volume.plan.name, request.request_class.name
        tag = queue.enter(flow_key, self._weights.get(flow_key, 1.0), request.units)
        queue.contended = queue.contended or queue.is_long
        first_rejected_at = old.first_rejected_at if old is not None else now
        return RetryTicket(
            request.fingerprint, request.shard, flow_key, request.units, tag, now, 0, first_rejected_at
        )

    def _keep(self, ticket: RetryTicket) -> None:
        self._leave_queue(self.tickets.keep(ticket))

    def _leave_queue(self, ticket: RetryTicket | None) -> None:
        if ticket is None:
            return
        recovery = self.shards.get(ticket.shard)
        if recovery is not None:
            recovery.queue.leave(ticket)

    # ---- the control period ----

    def end_control_period(
        self, now: int, nodes: Mapping[int, NodeRecord | None], process_count: int
    ) -> list[WriteLog]:
        """Advance all queues to ``now``; return the log lines about retry storms."""
        span_s = max(1, now - self._period_ended_at) / 1e6
        self._period_ended_at = now
        self._capacity.end_period(span_s)
        self._drop_lost_tickets(now)
        notices: list[WriteLog] = []
        for shard, recovery in self._attended():
            node = nodes.get(shard)
            self.update_capacity(now, shard, node, process_count)
            recovery.queue.end_period(span_s)
            self._update_phase(now, recovery, node)
            notices += recovery.update_storm(now, self._capacity.served_per_s(shard))
            if recovery.is_over(now):
                self._close(shard)
            elif recovery.is_dormant:
                self.awake.discard(shard)
        return notices

    def _drop_lost_tickets(self, now: int) -> None:
        overdue_before = now - max(LOST_TICKET_US, 2 * self.retry_after.longest_us)
        while (ticket := self.tickets.pop_overdue(overdue_before)) is not None:
            self._leave_queue(ticket)

    def _update_phase(self, now: int, recovery: ShardRecovery, node: NodeRecord | None) -> None:
        health = recovery.health
        if (
            health.phase is ShardPhase.WARMING_UP
            and node is not None
            and self._slow_start.capacity_share(now, node.warming_since) >= 1
        ):
            recovery.enter(ShardPhase.RECOVERING, now, "its warm-up has ended")
        health.decay_trial_wait(now)

    def _close(self, shard: int) -> None:
        self.tickets.drop_shard(shard)
        del self.shards[shard]
        self.awake.discard(shard)


def _state_of(node: NodeRecord | None) -> NodeState:
    if node is None:
        return NodeState.NONE
    return NodeState.WARM if node.warming_since is None else NodeState.WARMING_UP
