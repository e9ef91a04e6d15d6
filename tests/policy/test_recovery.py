"""Recovery decisions: evidence of faults, recovery queue, priorities, Retry-After, bounded memory."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from gaugesail.policy.events import AttemptResult, RequestReceived
from gaugesail.policy.records import NodeRecord, PendingRequest, VolumeBudget
from gaugesail.policy.recovery import RETURNING_IN_FLIGHT, RETURNING_LATENCY_SHARE, RecoveryRamp
from gaugesail.policy.recovery_queue import (
    DUE_BACKLOG_S,
    LONG_QUEUE_TICKETS,
    MAX_NEW_SHARE,
    Arrival,
    RecoveryQueue,
)
from gaugesail.policy.rejections import RejectionReason
from gaugesail.policy.retry_after import SHORTEST_LIST_DELAY_US
from gaugesail.policy.retry_schedule import KEPT_SLOTS, SLOT_US, RetrySchedule
from gaugesail.policy.retry_storm import LONGEST_RECOVERY_US, STORM_TICKETS
from gaugesail.policy.retry_tickets import MAX_TICKETS, RetryTicket, RetryTickets
from gaugesail.policy.settings import Settings
from gaugesail.policy.shard_health import (
    FAILING_POINTS,
    FIRST_TRIAL_WAIT_US,
    LONGEST_TRIAL_WAIT_US,
    ShardPhase,
)
from gaugesail.policy.slow_start import SlowStart

from ..support import gateway_driver

SEC = 1_000_000
NOW = 100 * SEC
LONGEST = 500_000


def settings(**more: Any) -> Settings:
    return gateway_driver.settings(
        retry_after_allowed=True, max_retry_after_us=LONGEST, gateway_count=2, **more
    )


def recovery(**more: Any) -> RecoveryRamp:
    changed = settings(**more)
    return RecoveryRamp(changed, SlowStart(changed, 0), random.Random(3))


def request(number: int = 1, **more: Any) -> RequestReceived:
    return RequestReceived(number, 0, NOW + SEC, more.pop("shard", 0), key=number, **more)


def pending_request(ramp: RecoveryRamp, number: int = 1, **more: Any) -> PendingRequest:
    """Return a request that the ramp has received."""
    default, received = settings(), request(number, **more)
    volume = VolumeBudget(default.plans[0], 1.0, NOW, 0.0, limit_bucket=None)  # type: ignore[arg-type]
    request_class, units = default.classes[0], received.units
    pending = PendingRequest(
        number, 0, request_class, volume, received.shard, False, units, NOW, NOW + SEC, None, 3
    )
    ramp.request_received(NOW, pending, received)
    return pending


def node(warming: bool = False, started: int = 0) -> NodeRecord:
    return NodeRecord(
        b"n",
        0,
        0,
        1.0,
        [1.0],
        listed_start_us=started,
        warming_since=started if warming else None,
    )


def take_down(ramp: RecoveryRamp, tickets: int = 0, first: int = 1) -> list[PendingRequest]:
    """Remove the node of shard 0 and reject some requests; return these."""
    ramp.node_removed(NOW, 0, "removed")
    requests = [pending_request(ramp, first + n) for n in range(tickets)]
    for each in requests:
        ramp.record_rejection(NOW, each, RejectionReason.IN_MAINTENANCE, None, 0.0)
    return requests


def phase(ramp: RecoveryRamp) -> ShardPhase:
    return ramp.shards[0].health.phase


# ---- the queue ----


def queue_with(capacity_per_s: float = 10.0, new_per_s: float = 0.0) -> RecoveryQueue:
    queue = RecoveryQueue(0, NOW)
    queue.capacity_per_s, queue.new_per_s = capacity_per_s, new_per_s
    return queue


def test_new_requests_reduce_the_capacity_for_retries_but_not_to_zero() -> None:
    assert queue_with(10.0, 4.0).retry_rate == 6.0
    assert queue_with(10.0, 400.0).retry_rate == 10.0 * (1 - MAX_NEW_SHARE)


def test_a_ticket_is_due_after_all_before_it_as_fast_as_the_queue_advances() -> None:
    queue = queue_with(10.0)
    tags = [queue.enter(("p", "c"), 2.0, 5.0) for _ in range(3)]
    assert [queue.wait_us(tag) for tag in tags] == [0, 500_000, 1_000_000]
    queue.advance(NOW + 750_000)
    assert [queue.wait_us(tag) for tag in tags] == [0, 0, 250_000]
    assert queue_with(0.0).wait_us(1.0) is None, "the queue is stopped"


def test_flows_are_served_in_proportion_to_their_weights() -> None:
    queue = queue_with(9.0)
    light = [queue.enter(("a", "c"), 1.0, 1.0) for _ in range(6)]
    heavy = [queue.enter(("b", "c"), 2.0, 1.0) for _ in range(6)]
    queue.advance(NOW + SEC)
    assert sum(tag < queue.progress for tag in heavy) == 2 * sum(tag < queue.progress for tag in light) == 6


def test_the_queue_does_not_advance_while_due_retries_wait() -> None:
    queue = queue_with(10.0)
    queue.enter(("p", "c"), 1.0, 1.0)
    queue.due_units = DUE_BACKLOG_S * 10 + 0.1
    queue.advance(NOW + SEC)
    assert queue.progress == 0.0
    queue.due_units = 0.0
    queue.advance(NOW + 2 * SEC)
    assert queue.progress == 10.0


def test_the_rate_of_new_requests_is_smoothed_over_control_periods() -> None:
    queue = queue_with()
    for _ in range(30):
        queue.new_units = 2.0
        queue.end_period(0.5)
    assert 3.9 < queue.new_per_s <= 4.0 and queue.new_units == 0.0


# ---- evidence ----


def test_a_node_is_failing_after_consecutive_points_and_one_served_attempt_clears_them() -> None:
    ramp = recovery()
    pending = pending_request(ramp)
    for _ in range(3):
        ramp.attempt_ended(NOW, pending, AttemptResult.TIMEOUT)
    assert phase(ramp) is ShardPhase.SERVING
    ramp.attempt_ended(NOW, pending, AttemptResult.SERVED)
    assert ramp.shards[0].health.failure_points == 0
    for _ in range(4):
        ramp.attempt_ended(NOW, pending, AttemptResult.RESET)
    assert phase(ramp) is ShardPhase.FAILING and ramp.shards[0].health.failure_points >= FAILING_POINTS
    ramp.attempt_ended(NOW, pending, AttemptResult.REJECTED)
    assert ramp.shards[0].health.failure_points == 24, "a rejection by a full node is no failure"


def test_a_failing_node_gets_one_trial_at_a_time_after_its_backoff() -> None:
    ramp = recovery()
    for _ in range(4):
        ramp.attempt_ended(NOW, pending_request(ramp), AttemptResult.RESET)
    at = ramp.shards[0].health.trial_at
    assert NOW < at <= NOW + FIRST_TRIAL_WAIT_US * 1.25
    assert not ramp.may_send(at - 1, 0, 0)
    assert ramp.may_send(at, 0, 0) and not ramp.may_send(at, 0, 1)
    assert ramp.may_send(NOW, 1, 9), "another shard"
    for _ in range(12):
        ramp.attempt_ended(at, pending_request(ramp), AttemptResult.TIMEOUT)
    assert ramp.shards[0].health.trial_wait_us == LONGEST_TRIAL_WAIT_US, "doubled each time, up to a limit"
    assert ramp.attempt_ended(at, pending_request(ramp), AttemptResult.SERVED), "a served trial"
    assert phase(ramp) is ShardPhase.RECOVERING and ramp.may_send(at, 0, 9)


def test_a_node_that_failed_trials_recently_is_failing_again_at_once() -> None:
    ramp = recovery()
    for _ in range(5):
        ramp.attempt_ended(NOW, pending_request(ramp), AttemptResult.RESET)
    ramp.attempt_ended(NOW, pending_request(ramp), AttemptResult.SERVED)
    ramp.attempt_ended(NOW, pending_request(ramp), AttemptResult.ERROR)
    assert phase(ramp) is ShardPhase.FAILING


# ---- the endpoint list ----


def test_a_node_that_is_removed_from_the_list_and_listed_again_warms_up() -> None:
    ramp = recovery()
    ramp.node_removed(NOW, 0, "removed")
    ramp.node_ready(NOW + 9 * SEC, node(warming=True, started=NOW + 8 * SEC))
    assert phase(ramp) is ShardPhase.WARMING_UP and list(ramp.retry_after.list_delays_us) == [SEC]


def test_a_node_that_is_listed_with_a_new_start_warms_up() -> None:
    ramp = recovery()
    ramp.node_removed(NOW, 0, "removed")
    ramp.node_ready(NOW, node(started=5))
    ramp.node_ready(NOW + SEC, node(warming=True, started=NOW))
    assert phase(ramp) is ShardPhase.WARMING_UP


def test_a_list_with_the_same_start_leaves_a_failing_node_failing() -> None:
    ramp = recovery()
    ramp.node_removed(NOW, 0, "removed")
    ramp.node_ready(NOW, node(started=5))
    for _ in range(4):
        ramp.attempt_ended(NOW, pending_request(ramp), AttemptResult.RESET)
    ramp.node_ready(NOW, node(started=5))
    assert phase(ramp) is ShardPhase.FAILING, "the same process: it has to serve a trial"


def test_retry_after_of_a_shard_that_is_down_follows_the_delay_of_the_list() -> None:
    ramp = recovery()
    ramp.retry_after.list_delays_us.append(300_000)
    (pending,) = take_down(ramp, 1)
    waits = [
        ramp.record_rejection(NOW, pending_request(ramp, 50 + n), RejectionReason.IN_MAINTENANCE, None, 0.0)
        for n in range(40)
    ]
    assert all(150_000 <= wait <= 300_000 for wait in waits) and pending.fingerprint
    ramp.retry_after.list_delays_us.append(10 * SEC)
    waits = [
        ramp.record_rejection(NOW, pending_request(ramp, 150 + n), RejectionReason.IN_MAINTENANCE, None, 0.0)
        for n in range(40)
    ]
    assert all(LONGEST // 2 <= wait <= LONGEST for wait in waits)
    ramp.retry_after.list_delays_us.clear()
    ramp.retry_after.list_delays_us.append(1000)
    assert (
        ramp.record_rejection(NOW, pending_request(ramp, 200), RejectionReason.IN_MAINTENANCE, None, 0.0)
        >= SHORTEST_LIST_DELAY_US // 2
    )


def test_a_restart_during_the_warm_up_begins_it_anew() -> None:
    ramp = recovery()
    take_down(ramp)
    ramp.node_ready(NOW, node(warming=True, started=NOW))
    ramp.node_ready(NOW + SEC, node(warming=True, started=NOW + SEC))
    assert phase(ramp) is ShardPhase.WARMING_UP and ramp.shards[0].health.phase_since == NOW + SEC
    ramp.end_control_period(NOW + 30 * SEC, {0: node(warming=True, started=NOW + SEC)}, 1)
    assert phase(ramp) is ShardPhase.RECOVERING


# ---- priorities ----


def test_the_arrival_of_a_retry_is_told_by_its_ticket_and_due_ones_hold_the_queue() -> None:
    ramp = recovery()
    take_down(ramp, 3)
    ramp.node_ready(NOW, node())
    ramp.shards[0].queue.progress = 0.001
    ticket = ramp.tickets.find(pending_request(ramp, 1).fingerprint)
    assert ticket is not None
    ticket.retry_at = NOW
    due, new = pending_request(ramp, 1), pending_request(ramp, 99)
    early = pending_request(ramp, 2)
    later_ticket = ramp.tickets.find(early.fingerprint)
    assert later_ticket is not None
    later_ticket.retry_at, later_ticket.tag = NOW, 5.0
    in_time = pending_request(ramp, 2)
    arrivals = [each.arrival for each in (due, new, in_time, early)]
    assert arrivals == [Arrival.DUE, Arrival.WITHOUT_TICKET, Arrival.BEFORE_TURN, Arrival.EARLY]
    assert ramp.shards[0].queue.due_units == due.units
    ramp.request_dequeued(due)
    assert due.arrival is Arrival.WITHOUT_TICKET and ramp.shards[0].queue.due_units == 0.0, (
        "it no longer blocks others"
    )


def test_a_client_that_retries_early_goes_to_the_end_of_its_flow() -> None:
    ramp = recovery()
    requests = take_down(ramp, 4)
    before = ramp.tickets.find(requests[0].fingerprint)
    assert before is not None and before.tag == 0.0
    ramp.record_rejection(NOW, pending_request(ramp, 1), RejectionReason.IN_MAINTENANCE, None, 0.0)
    after = ramp.tickets.find(requests[0].fingerprint)
    assert after is not None and after.tag > 0 and ramp.shards[0].queue.ticket_count == 4, (
        "and it has no second ticket"
    )


def test_a_long_queue_is_contended_and_a_returning_shard_has_short_windows() -> None:
    ramp = recovery()
    take_down(ramp, LONG_QUEUE_TICKETS - 1)
    assert not ramp.is_contended(0)
    ramp.record_rejection(NOW, pending_request(ramp, 77), RejectionReason.IN_MAINTENANCE, None, 0.0)
    assert ramp.is_contended(0) and not ramp.is_contended(1)
    assert ramp.window_bounds(0, 4.0) == (0.0, 1.0), "no limits while the node is down"
    ramp.node_ready(NOW, node())
    assert ramp.window_bounds(0, 4.0) == (RETURNING_IN_FLIGHT / 2, RETURNING_LATENCY_SHARE)
    assert ramp.window_bounds(0, 1.5) == (1.5, RETURNING_LATENCY_SHARE)


def test_an_outage_lasts_from_its_evidence_until_the_node_is_ready() -> None:
    ramp = recovery()
    assert not ramp.outage_us(NOW, 0)
    ramp.node_removed(NOW, 0, "removed")
    assert ramp.outage_us(NOW + 3 * SEC, 0) == 3 * SEC
    ramp.node_ready(NOW + 4 * SEC, node())
    assert not ramp.outage_us(NOW + 9 * SEC, 0)


def test_an_outage_that_the_list_tells_late_counts_from_the_first_failures() -> None:
    ramp = recovery()
    for _ in range(4):
        ramp.attempt_ended(NOW, pending_request(ramp), AttemptResult.RESET)
    assert phase(ramp) is ShardPhase.FAILING
    ramp.node_removed(NOW + 3 * SEC, 0, "removed")
    assert phase(ramp) is ShardPhase.DOWN and ramp.outage_us(NOW + 4 * SEC, 0) == 4 * SEC


def test_a_client_that_disconnected_has_one_ticket() -> None:
    ramp = recovery()
    ramp.node_removed(NOW, 0, "removed")
    pending = pending_request(ramp)
    ramp.client_disconnected(NOW, pending)
    ramp.client_disconnected(NOW, pending)
    assert ramp.shards[0].queue.ticket_count == 1
    ramp.attempt_ended(NOW, pending, AttemptResult.SERVED)
    assert ramp.shards[0].queue.ticket_count == 0 and not len(ramp.tickets)


# ---- Retry-After ----


def test_retry_after_times_are_spread_evenly_and_differ_between_gateways() -> None:
    schedule, other = (RetrySchedule(random.Random(n)) for n in (1, 2))
    waits = [schedule.choose(NOW, 100_000, LONGEST) for _ in range(200)]
    assert all(100_000 <= wait <= LONGEST for wait in waits)
    slots = Counter((NOW + wait) // SLOT_US for wait in waits)
    assert max(slots.values()) <= 2 * 200 / 50 and len(slots) >= 45
    assert waits != [other.choose(NOW, 100_000, LONGEST) for _ in range(200)]


def test_recorded_times_count_and_past_slots_are_dropped() -> None:
    schedule = RetrySchedule(random.Random(1))
    for _ in range(50):
        schedule.record(NOW, 10 * SLOT_US)
    near = [schedule.choose(NOW, 8 * SLOT_US, 13 * SLOT_US) for _ in range(12)]
    assert not any((NOW + wait) // SLOT_US == (NOW + 10 * SLOT_US) // SLOT_US for wait in near)
    later = NOW + SEC
    for slot in range(KEPT_SLOTS + 1):
        schedule.record(later, slot * SLOT_US)
    assert schedule.count((NOW + 10 * SLOT_US) // SLOT_US) == 0


def test_a_client_whose_turn_is_near_gets_its_time() -> None:
    ramp = recovery()
    requests = take_down(ramp, LONG_QUEUE_TICKETS)
    ramp.node_ready(NOW, node())
    ramp.update_capacity(NOW, 0, node(), 1)
    queue = ramp.shards[0].queue
    ticket = ramp.tickets.find(requests[-1].fingerprint)
    assert ticket is not None
    ticket.retry_at = NOW
    wait = queue.wait_us(ticket.tag)
    assert wait is not None
    rejected = pending_request(ramp, LONG_QUEUE_TICKETS)
    retry_after = ramp.record_rejection(NOW, rejected, RejectionReason.OUT_OF_TIME, node(), 0.0)
    assert retry_after == wait if 5000 <= wait < LONGEST else retry_after <= LONGEST


def test_rejections_at_a_shard_that_serves_are_spread_and_leave_no_ticket() -> None:
    ramp = recovery()
    for backlog_us, least, most in ((200_000, 200_000, 250_000), (9e6, 0.8 * LONGEST, LONGEST)):
        waits = [
            ramp.record_rejection(
                NOW, pending_request(ramp, n), RejectionReason.OUT_OF_TIME, node(), backlog_us
            )
            for n in range(1, 50)
        ]
        assert all(least <= wait <= most for wait in waits) and len(set(waits)) > 20
    assert not len(ramp.tickets) and not ramp.shards


# ---- memory ----


def test_tickets_are_bounded_and_the_oldest_are_dropped() -> None:
    tickets = RetryTickets(1)
    dropped = 0
    for fingerprint in range(1_000_000):
        ticket = RetryTicket(fingerprint, 0, None, 1.0, 0.0, NOW + fingerprint, 0, NOW)
        dropped += tickets.keep(ticket) is not None
    assert len(tickets) == MAX_TICKETS and dropped == 1_000_000 - MAX_TICKETS
    assert tickets.find(0) is None and tickets.find(999_999) is not None, "the oldest are dropped"
    assert tickets.pop_overdue(NOW) is None
    first = tickets.pop_overdue(NOW + 2_000_000)
    assert first is not None and first.fingerprint == 1_000_000 - MAX_TICKETS


def test_a_ticket_dropped_for_another_leaves_its_queue() -> None:
    ramp = recovery()
    ramp.tickets.max_tickets = 10
    take_down(ramp, 30)
    assert ramp.shards[0].queue.ticket_count == len(ramp.tickets) == 10


def test_overdue_tickets_are_dropped_and_a_recovered_shard_is_forgotten() -> None:
    ramp = recovery()
    take_down(ramp, 6)
    ramp.node_ready(NOW, node())
    ramp.end_control_period(NOW + SEC, {0: node()}, 1)
    assert ramp.shards[0].queue.ticket_count == 6
    ramp.end_control_period(NOW + 3 * SEC, {0: node()}, 1)
    assert ramp.shards[0].queue.ticket_count == 0
    ramp.end_control_period(NOW + LONGEST_RECOVERY_US + SEC, {0: node()}, 1)
    assert not ramp.shards


def test_a_retry_storm_is_logged_when_it_begins_past_its_peak_and_when_it_ends() -> None:
    ramp = recovery()
    take_down(ramp, 4 * STORM_TICKETS)
    events = [log.event for log in ramp.end_control_period(NOW + 1000, {0: None}, 1)]
    for ticket in list(ramp.tickets)[: 3 * STORM_TICKETS]:
        ramp._leave_queue(ramp.tickets.drop(ticket.fingerprint))
    events += [log.event for log in ramp.end_control_period(NOW + 2000, {0: None}, 1)]
    ramp.node_ready(NOW + 3000, node())
    for ticket in list(ramp.tickets):
        ramp._leave_queue(ramp.tickets.drop(ticket.fingerprint))
    events += [log.event for log in ramp.end_control_period(NOW + 4000, {0: node()}, 1)]
    assert events == ["storm_begins", "storm_height", "storm_ends"]


class Tickets(RuleBasedStateMachine):
    """Requests that are received, rejected, served, cancelled and retried; checked against plain counts."""

    @initialize()
    def begin(self) -> None:
        self.ramp, self.now = recovery(), NOW
        self.ramp.tickets.max_tickets = 12
        self.ramp.node_removed(NOW, 0, "removed")

    def receive(self, number: int) -> PendingRequest:
        default, received = settings(), request(number)
        volume = VolumeBudget(default.plans[0], 1.0, NOW, 0.0, limit_bucket=None)  # type: ignore[arg-type]
        pending = PendingRequest(
            number, 0, default.classes[0], volume, 0, False, 1.0, self.now, NOW + SEC, None, 3
        )
        self.ramp.request_received(self.now, pending, received)
        return pending

    @rule(number=st.integers(1, 30))
    def reject(self, number: int) -> None:
        pending_request = self.receive(number)
        wait = self.ramp.record_rejection(self.now, pending_request, RejectionReason.OUT_OF_TIME, None, 0.0)
        self.ramp.request_dequeued(pending_request)
        assert 0 < wait <= LONGEST
        assert self.ramp.tickets.find(pending_request.fingerprint) is not None or 0 not in self.ramp.shards

    @rule(number=st.integers(1, 30))
    def serve(self, number: int) -> None:
        pending_request = self.receive(number)
        self.ramp.request_dequeued(pending_request)
        self.ramp.attempt_ended(self.now, pending_request, AttemptResult.SERVED)
        if 0 in self.ramp.shards:
            assert self.ramp.tickets.find(pending_request.fingerprint) is None

    @rule(number=st.integers(1, 30))
    def disconnect(self, number: int) -> None:
        pending_request = self.receive(number)
        self.ramp.request_dequeued(pending_request)
        self.ramp.client_disconnected(self.now, pending_request)

    @rule(span=st.integers(1000, 900_000))
    def pass_time(self, span: int) -> None:
        self.now += span
        self.ramp.end_control_period(self.now, {0: node() if self.up else None}, 1)

    up = False

    @precondition(lambda self: not self.up)
    @rule()
    def bring_up(self) -> None:
        self.up = True
        self.ramp.node_ready(self.now, node(started=self.now))

    @precondition(lambda self: self.up)
    @rule()
    def take_down(self) -> None:
        self.up = False
        self.ramp.node_removed(self.now, 0, "removed")

    @precondition(lambda self: self.up and 0 in self.ramp.shards and self.ramp.shards[0].queue.ticket_count)
    @rule()
    def advance_queue(self) -> None:
        """The queue advances while the node has capacity and no due retry waits."""
        queue = self.ramp.shards[0].queue
        self.ramp.update_capacity(self.now, 0, node(), 1)
        before = queue.progress
        self.ramp.update_capacity(self.now + SEC, 0, node(), 1)
        self.now += SEC
        assert queue.progress > before or queue.due_units > 0

    @invariant()
    def counts_agree(self) -> None:
        tickets = [ticket for ticket in self.ramp.tickets if ticket.flow is not None]
        assert len(self.ramp.tickets) <= 12
        recovering = self.ramp.shards.get(0)
        if recovering is None:
            assert not tickets
            return
        queue = recovering.queue
        assert queue.ticket_count == len(tickets) == sum(flow.tickets for flow in queue.flows.values())
        assert abs(queue.ticket_units - sum(ticket.units for ticket in tickets)) < 1e-6
        assert queue.due_units >= 0 and len({ticket.fingerprint for ticket in tickets}) == len(tickets)


Tickets.TestCase.settings = hypothesis_settings(max_examples=50, stateful_step_count=25)
TestTickets = Tickets.TestCase
