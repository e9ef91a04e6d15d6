"""The recovery decisions by example: evidence, places, who goes first, times to come back, bounded memory."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from gaugesail.policy.events import AttemptResult, RequestReceived
from gaugesail.policy.records import NodeRecord, PendingRequest, VolumeBudget
from gaugesail.policy.recovery import CROWDED_IN_FLIGHT, CROWDED_LATENCY_SHARE, RecoveryRamp
from gaugesail.policy.recovery_queue import (
    DUE_BACKLOG_S,
    MAX_NEW_SHARE,
    ORDERING_TICKETS,
    QueuePriority,
    RecoveryQueue,
)
from gaugesail.policy.retry_after import SHORTEST_LIST_DELAY_US
from gaugesail.policy.retry_schedule import SLOTS, RetrySchedule
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
    given = settings(**more)
    return RecoveryRamp(given, SlowStart(given, 0), random.Random(3))


def request(number: int = 1, **more: Any) -> RequestReceived:
    return RequestReceived(number, 0, NOW + SEC, more.pop("shard", 0), key=number, **more)


def job(one: RecoveryRamp, number: int = 1, **more: Any) -> PendingRequest:
    """A request that has come."""
    given, asked = settings(), request(number, **more)
    volume = VolumeBudget(given.plans[0], 1.0, NOW, 0.0, 0.0, limit_bucket=None)  # type: ignore[arg-type]
    spec, units = given.classes[0], asked.units
    made = PendingRequest(number, 0, spec, volume, asked.shard, False, units, NOW, 0, NOW + SEC, None, 3)
    one.request_received(NOW, made, asked)
    return made


def node(cold: bool = False, started: int = 0) -> NodeRecord:
    return NodeRecord(
        b"n", 0, 0, [1.0, 1.0, 1.0], [1.0], listed_start_us=started, warming_since=started if cold else None
    )


def away(one: RecoveryRamp, tickets: int = 0, first: int = 1) -> list[PendingRequest]:
    """Its node is gone, and some were refused for that."""
    one.node_removed(NOW, 0, "gone")
    jobs = [job(one, first + n) for n in range(tickets)]
    for each in jobs:
        one.reject(NOW, each, "away", None)
    return jobs


def phase(one: RecoveryRamp) -> ShardPhase:
    return one.shards[0].health.phase


# ---- the line ----


def line(bears: float = 10.0, fresh: float = 0.0) -> RecoveryQueue:
    made = RecoveryQueue(0, NOW)
    made.capacity_per_s, made.new_per_s = bears, fresh
    return made


def test_what_comes_fresh_is_taken_off_what_the_node_bears_but_not_all_of_it() -> None:
    assert line(10.0, 4.0).retry_rate == 6.0
    assert line(10.0, 400.0).retry_rate == 10.0 * (1 - MAX_NEW_SHARE)


def test_a_place_comes_after_all_that_is_before_it_as_fast_as_the_line_moves() -> None:
    one = line(10.0)
    tags = [one.enter(("p", "c"), 2.0, 5.0) for _ in range(3)]
    assert [one.wait_us(tag) for tag in tags] == [0, 500_000, 1_000_000]
    one.advance(NOW + 750_000)
    assert [one.wait_us(tag) for tag in tags] == [0, 0, 250_000]
    assert line(0.0).wait_us(1.0) is None, "it stands still"


def test_lanes_are_served_by_their_weight() -> None:
    one = line(9.0)
    light = [one.enter(("a", "c"), 1.0, 1.0) for _ in range(6)]
    heavy = [one.enter(("b", "c"), 2.0, 1.0) for _ in range(6)]
    one.advance(NOW + SEC)
    assert sum(tag < one.progress for tag in heavy) == 2 * sum(tag < one.progress for tag in light) == 6


def test_nobody_is_called_while_the_due_still_wait() -> None:
    one = line(10.0)
    one.enter(("p", "c"), 1.0, 1.0)
    one.due_units = DUE_BACKLOG_S * 10 + 0.1
    one.advance(NOW + SEC)
    assert one.progress == 0.0
    one.due_units = 0.0
    one.advance(NOW + 2 * SEC)
    assert one.progress == 10.0


def test_fresh_requests_are_smoothed_over_the_periods() -> None:
    one = line()
    for _ in range(30):
        one.new_units = 2.0
        one.end_period(0.5)
    assert 3.9 < one.new_per_s <= 4.0 and one.new_units == 0.0


# ---- evidence ----


def test_a_node_fails_by_points_in_a_row_and_one_answer_clears_them() -> None:
    one = recovery()
    asked = job(one)
    for _ in range(3):
        one.attempt_ended(NOW, asked, AttemptResult.TIMEOUT)
    assert phase(one) is ShardPhase.SERVING
    one.attempt_ended(NOW, asked, AttemptResult.SERVED)
    assert one.shards[0].health.failure_points == 0
    for _ in range(4):
        one.attempt_ended(NOW, asked, AttemptResult.RESET)
    assert phase(one) is ShardPhase.FAILING and one.shards[0].health.failure_points >= FAILING_POINTS
    one.attempt_ended(NOW, asked, AttemptResult.REJECTED)
    assert one.shards[0].health.failure_points == 24, "that it is full says nothing against it"


def test_a_failing_node_is_tried_by_one_at_a_time_and_after_its_wait() -> None:
    one = recovery()
    for _ in range(4):
        one.attempt_ended(NOW, job(one), AttemptResult.RESET)
    at = one.shards[0].health.trial_at
    assert NOW < at <= NOW + FIRST_TRIAL_WAIT_US * 1.25
    assert not one.may_send(at - 1, 0, 0)
    assert one.may_send(at, 0, 0) and not one.may_send(at, 0, 1)
    assert one.may_send(NOW, 1, 9), "another shard"
    for _ in range(12):
        one.attempt_ended(at, job(one), AttemptResult.TIMEOUT)
    assert one.shards[0].health.trial_wait_us == LONGEST_TRIAL_WAIT_US, "doubled each time, up to a bound"
    assert one.attempt_ended(at, job(one), AttemptResult.SERVED), "a trial that it stood"
    assert phase(one) is ShardPhase.RECOVERING and one.may_send(at, 0, 9)


def test_one_that_failed_trials_lately_fails_again_at_once() -> None:
    one = recovery()
    for _ in range(5):
        one.attempt_ended(NOW, job(one), AttemptResult.RESET)
    one.attempt_ended(NOW, job(one), AttemptResult.SERVED)
    one.attempt_ended(NOW, job(one), AttemptResult.ERROR)
    assert phase(one) is ShardPhase.FAILING


def test_what_ran_out_of_time_has_longer_the_next_time_up_to_a_bound() -> None:
    one = recovery()
    asked = job(one)
    told = []
    for _ in range(5):
        told.append(one.timeout_factor(asked))
        one.attempt_ended(NOW, asked, AttemptResult.TIMEOUT)
    assert told == [1, 2, 4, 8, 8]


def test_a_client_that_comes_back_brings_its_patience_along() -> None:
    one = recovery()
    first = job(one)
    one.attempt_ended(NOW, first, AttemptResult.TIMEOUT)
    one.reject(NOW, first, "aim", node())
    assert one.timeout_factor(job(one)) == 2 and one.timeout_factor(job(one, 2)) == 1


# ---- the four cases of a list ----


def test_a_list_that_says_gone_and_back() -> None:
    one = recovery()
    one.node_removed(NOW, 0, "gone")
    one.node_ready(NOW + 9 * SEC, node(cold=True, started=NOW + 8 * SEC))
    assert phase(one) is ShardPhase.WARMING_UP and list(one.retry_after.list_delays_us) == [SEC]


def test_a_list_that_says_only_that_it_started_again() -> None:
    one = recovery()
    one.node_removed(NOW, 0, "gone")
    one.node_ready(NOW, node(started=5))
    one.node_ready(NOW + SEC, node(cold=True, started=NOW))
    assert phase(one) is ShardPhase.WARMING_UP


def test_a_list_that_says_nothing_new_of_a_node_that_failed() -> None:
    one = recovery()
    one.node_removed(NOW, 0, "gone")
    one.node_ready(NOW, node(started=5))
    for _ in range(4):
        one.attempt_ended(NOW, job(one), AttemptResult.RESET)
    one.node_ready(NOW, node(started=5))
    assert phase(one) is ShardPhase.FAILING, "the same process: it has to stand a trial"


def test_a_list_that_is_late_tells_by_how_much_and_who_is_away_is_asked_for_no_sooner() -> None:
    one = recovery()
    one.retry_after.list_delays_us.append(300_000)
    (asked,) = away(one, 1)
    waits = [one.reject(NOW, job(one, 50 + n), "away", None) for n in range(40)]
    assert all(150_000 <= wait <= 300_000 for wait in waits) and asked.fingerprint
    one.retry_after.list_delays_us.append(10 * SEC)
    waits = [one.reject(NOW, job(one, 150 + n), "away", None) for n in range(40)]
    assert all(LONGEST // 2 <= wait <= LONGEST for wait in waits)
    one.retry_after.list_delays_us.clear()
    one.retry_after.list_delays_us.append(1000)
    assert one.reject(NOW, job(one, 200), "away", None) >= SHORTEST_LIST_DELAY_US // 2


def test_two_restarts_within_a_warm_up() -> None:
    one = recovery()
    away(one)
    one.node_ready(NOW, node(cold=True, started=NOW))
    one.node_ready(NOW + SEC, node(cold=True, started=NOW + SEC))
    assert phase(one) is ShardPhase.WARMING_UP and one.shards[0].health.phase_since == NOW + SEC
    one.end_control_period(NOW + 30 * SEC, {0: node(cold=True, started=NOW + SEC)}, 1)
    assert phase(one) is ShardPhase.RECOVERING


# ---- who goes first ----


def test_the_due_go_before_the_fresh_who_go_before_repeats_and_further_attempts_go_last() -> None:
    one = recovery()
    away(one, 3)
    one.node_ready(NOW, node())
    one.shards[0].queue.progress = 0.001
    ticket = one.tickets.find(job(one, 1).fingerprint)
    assert ticket is not None
    ticket.retry_at = NOW
    due, fresh = job(one, 1), job(one, 99)
    early = job(one, 2)
    late = one.tickets.find(early.fingerprint)
    assert late is not None
    late.retry_at, late.tag = NOW, 5.0
    asking = job(one, 2)
    again = job(one, 98)
    again.attempts = 1
    order = [one.priority(each) for each in (due, fresh, asking, early, again)]
    assert order == [
        QueuePriority.DUE_RETRY,
        QueuePriority.NEW,
        QueuePriority.RETRY,
        QueuePriority.EARLY_RETRY,
        -1,
    ]
    assert order == sorted(order, reverse=True)
    one.left_queue(due)
    assert due.queue_priority is QueuePriority.NEW and one.shards[0].queue.due_units == 0.0, (
        "it holds nobody up any more"
    )


def test_who_comes_early_goes_to_the_end_of_its_lane() -> None:
    one = recovery()
    jobs = away(one, 4)
    before = one.tickets.find(jobs[0].fingerprint)
    assert before is not None and before.tag == 0.0
    one.reject(NOW, job(one, 1), "away", None)
    after = one.tickets.find(jobs[0].fingerprint)
    assert after is not None and after.tag > 0 and one.shards[0].queue.ticket_count == 4, (
        "and has no second place"
    )


def test_a_line_is_crowded_from_so_many_tickets_on_and_keeps_the_windows_short() -> None:
    one = recovery()
    away(one, ORDERING_TICKETS - 1)
    assert not one.is_crowded(0) and one.ordering_queue(0) is None
    one.reject(NOW, job(one, 77), "away", None)
    assert one.is_crowded(0) and one.ordering_queue(0) is one.shards[0].queue and not one.is_crowded(1)
    assert one.window_bounds(0, 4.0) == (0.0, 1.0), "while it is away there is none"
    one.node_ready(NOW, node())
    assert one.window_bounds(0, 4.0) == (CROWDED_IN_FLIGHT / 2, CROWDED_LATENCY_SHARE)
    assert one.window_bounds(0, 1.5) == (1.5, CROWDED_LATENCY_SHARE)


def test_who_has_waited_long_for_a_shard_that_is_away_is_given_up() -> None:
    one = recovery()
    one.node_removed(NOW, 0, "gone")
    aims = 4 * 400_000
    assert not one.unavailable_for_long(NOW + aims, 0) and one.unavailable_for_long(NOW + aims + 1, 0)
    one.node_ready(NOW + aims + 1, node())
    assert not one.unavailable_for_long(NOW + 9 * aims, 0)


def test_a_client_that_left_without_an_answer_has_a_place_and_not_two() -> None:
    one = recovery()
    one.node_removed(NOW, 0, "gone")
    asked = job(one)
    one.client_disconnected(NOW, asked)
    one.client_disconnected(NOW, asked)
    assert one.shards[0].queue.ticket_count == 1
    one.attempt_ended(NOW, asked, AttemptResult.SERVED)
    assert one.shards[0].queue.ticket_count == 0 and not len(one.tickets)


# ---- times to come back ----


def test_times_are_level_over_what_is_allowed_and_no_two_gateways_are_in_step() -> None:
    one, other = (RetrySchedule(random.Random(n), LONGEST) for n in (1, 2))
    told = [one.choose(NOW, 100_000, LONGEST) for _ in range(200)]
    assert all(100_000 <= wait <= LONGEST for wait in told)
    slots = Counter((NOW + wait) // (LONGEST // SLOTS) for wait in told)
    assert max(slots.values()) <= 2 * 200 / (SLOTS * 0.8) and len(slots) >= 45
    assert told != [other.choose(NOW, 100_000, LONGEST) for _ in range(200)]


def test_a_time_with_another_reason_counts_and_old_turns_of_the_ring_do_not() -> None:
    one = RetrySchedule(random.Random(1), LONGEST)
    width = LONGEST // SLOTS
    for _ in range(50):
        one.record(NOW, 10 * width)
    near = [one.choose(NOW, 8 * width, 13 * width) for _ in range(12)]
    assert not any((NOW + wait) // width == (NOW + 10 * width) // width for wait in near)
    later = NOW + 2 * SLOTS * width * 3
    assert one._count((later + 10 * width) // width) == 0


def test_a_place_that_is_near_is_told_as_it_is() -> None:
    one = recovery()
    jobs = away(one, ORDERING_TICKETS)
    one.node_ready(NOW, node())
    one.update_capacity(NOW, 0, node(), 1)
    queue = one.shards[0].queue
    ticket = one.tickets.find(jobs[-1].fingerprint)
    assert ticket is not None
    ticket.retry_at = NOW
    wait = queue.wait_us(ticket.tag)
    assert wait is not None
    told = one.reject(NOW, job(one, ORDERING_TICKETS), "aim", node())
    assert told == wait if 5000 <= wait < LONGEST else told <= LONGEST


def test_refusals_elsewhere_are_spread_and_nothing_is_remembered_of_them() -> None:
    one = recovery()
    waits = [one.reject(NOW, job(one, n), "aim", node()) for n in range(1, 50)]
    assert all(0.8 * LONGEST <= wait <= LONGEST for wait in waits) and len(set(waits)) > 20
    assert not len(one.tickets) and not one.shards


# ---- memory ----


def test_a_million_ids_cost_no_more_than_the_bound() -> None:
    tickets = RetryTickets(1)
    gone = 0
    for mark in range(1_000_000):
        ticket = RetryTicket(mark, 0, None, 1.0, 0.0, NOW + mark, 0, NOW)
        gone += tickets.keep(ticket) is not None
    assert len(tickets) == MAX_TICKETS and gone == 1_000_000 - MAX_TICKETS
    assert tickets.find(0) is None and tickets.find(999_999) is not None, "the oldest go"
    assert tickets.take_overdue(NOW) is None
    first = tickets.take_overdue(NOW + 2_000_000)
    assert first is not None and first.fingerprint == 1_000_000 - MAX_TICKETS


def test_a_ticket_that_goes_for_another_leaves_its_line() -> None:
    one = recovery()
    one.tickets.max_tickets = 10
    away(one, 30)
    assert one.shards[0].queue.ticket_count == len(one.tickets) == 10


def test_who_does_not_come_loses_its_place_and_a_line_that_is_over_is_forgotten() -> None:
    one = recovery()
    away(one, 6)
    one.node_ready(NOW, node())
    one.end_control_period(NOW + SEC, {0: node()}, 1)
    assert one.shards[0].queue.ticket_count == 6
    one.end_control_period(NOW + 3 * SEC, {0: node()}, 1)
    assert one.shards[0].queue.ticket_count == 0
    one.end_control_period(NOW + LONGEST_RECOVERY_US + SEC, {0: node()}, 1)
    assert not one.shards


def test_a_storm_is_told_when_it_begins_at_its_height_and_when_it_ends() -> None:
    one = recovery()
    away(one, 4 * STORM_TICKETS)
    events = [log.event for log in one.end_control_period(NOW + 1000, {0: None}, 1)]
    for ticket in list(one.tickets)[: 3 * STORM_TICKETS]:
        one._leave_queue(one.tickets.drop(ticket.fingerprint))
    events += [log.event for log in one.end_control_period(NOW + 2000, {0: None}, 1)]
    one.node_ready(NOW + 3000, node())
    for ticket in list(one.tickets):
        one._leave_queue(one.tickets.drop(ticket.fingerprint))
    events += [log.event for log in one.end_control_period(NOW + 4000, {0: node()}, 1)]
    assert events == ["storm_begins", "storm_height", "storm_ends"]


class Tickets(RuleBasedStateMachine):
    """Requests that come, are refused, served, go and come back, against plain counts."""

    @initialize()
    def begin(self) -> None:
        self.one, self.now = recovery(), NOW
        self.one.tickets.max_tickets = 12
        self.one.node_removed(NOW, 0, "gone")

    def come(self, number: int) -> PendingRequest:
        given, asked = settings(), request(number)
        volume = VolumeBudget(given.plans[0], 1.0, NOW, 0.0, 0.0, limit_bucket=None)  # type: ignore[arg-type]
        made = PendingRequest(
            number, 0, given.classes[0], volume, 0, False, 1.0, self.now, 0, NOW + SEC, None, 3
        )
        self.one.request_received(self.now, made, asked)
        return made

    @rule(number=st.integers(1, 30))
    def refused(self, number: int) -> None:
        job = self.come(number)
        wait = self.one.reject(self.now, job, "x", None)
        self.one.left_queue(job)
        assert 0 < wait <= LONGEST
        assert self.one.tickets.find(job.fingerprint) is not None or 0 not in self.one.shards

    @rule(number=st.integers(1, 30))
    def served(self, number: int) -> None:
        job = self.come(number)
        self.one.left_queue(job)
        self.one.attempt_ended(self.now, job, AttemptResult.SERVED)
        if 0 in self.one.shards:
            assert self.one.tickets.find(job.fingerprint) is None

    @rule(number=st.integers(1, 30))
    def gone(self, number: int) -> None:
        job = self.come(number)
        self.one.left_queue(job)
        self.one.client_disconnected(self.now, job)

    @rule(span=st.integers(1000, 900_000))
    def pass_time(self, span: int) -> None:
        self.now += span
        self.one.end_control_period(self.now, {0: node() if self.up else None}, 1)

    up = False

    @precondition(lambda self: not self.up)
    @rule()
    def back(self) -> None:
        self.up = True
        self.one.node_ready(self.now, node(started=self.now))

    @precondition(lambda self: self.up)
    @rule()
    def away(self) -> None:
        self.up = False
        self.one.node_removed(self.now, 0, "gone")

    @precondition(lambda self: self.up and 0 in self.one.shards and self.one.shards[0].queue.ticket_count)
    @rule()
    def moves(self) -> None:
        """The line comes on while the node bears anything and nobody due waits."""
        found = self.one.shards[0].queue
        self.one.update_capacity(self.now, 0, node(), 1)
        before = found.progress
        self.one.update_capacity(self.now + SEC, 0, node(), 1)
        self.now += SEC
        assert found.progress > before or found.due_units > 0

    @invariant()
    def counts_agree(self) -> None:
        tickets = [ticket for ticket in self.one.tickets if ticket.flow is not None]
        assert len(self.one.tickets) <= 12
        recovering = self.one.shards.get(0)
        if recovering is None:
            assert not tickets
            return
        found = recovering.queue
        assert found.ticket_count == len(tickets) == sum(lane.tickets for lane in found.flows.values())
        assert abs(found.ticket_units - sum(ticket.units for ticket in tickets)) < 1e-6
        assert found.due_units >= 0 and len({ticket.fingerprint for ticket in tickets}) == len(tickets)


Tickets.TestCase.settings = hypothesis_settings(max_examples=50, stateful_step_count=25)
TestTickets = Tickets.TestCase
