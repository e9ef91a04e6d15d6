"""What a decision costs does not grow with the number of listed servers; counted in steps, not in seconds."""

from __future__ import annotations

from collections.abc import Callable

from gaugesail.policy.actions import SetTimer, StartAttempt
from gaugesail.policy.congestion_window import CONTROL_PERIOD_US
from gaugesail.policy.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Event,
    RequestReceived,
    SettingsChanged,
    TimerFired,
)
from gaugesail.policy.gateway import Gateway
from gaugesail.policy.retry_tickets import RetryTicket, RetryTickets
from gaugesail.policy.settings import Plan, RequestClass, Settings
from gaugesail.policy.timers import Timer

from ..support.step_count import StepCounter

USUAL = 8
COUNTS = (800, 3_200)
FACTOR = 1.4  # of the steps with the usual number, by the operators' table
PLUS_STEPS = 100  # of some thousands
NOW_US = 1_000_000_000
ANSWER_US = 2_000
CLASSES = (RequestClass("read", 500_000, 3_000_000), RequestClass("write", 600_000, 5_000_000, writes=True))
SETTINGS = Settings(
    classes=CLASSES, plans=(Plan("basic", 200.0, 100.0),), gateway_count=8, tick_us=2_000,
    overload_window_us=1_500_000, overload_factor=3.0, initial_capacity_share=0.3,
    initial_capacity_units=20.0, warm_up_us=17_000_000, max_attempts=3, retry_after_allowed=True,
    max_retry_after_us=500_000,
)  # fmt: skip


class ListedGateway:
    """A gateway with any number of listed servers, of which the first ``used`` have served a request."""

    def __init__(self, listed: int, used: int) -> None:
        self.listed, self.used = listed, used
        self.now = NOW_US
        self.gateway = Gateway(SETTINGS, 1, self.now)
        self._timers: list[tuple[int, int]] = [(self.now + CONTROL_PERIOD_US, Timer.CONTROL_PERIOD)]
        self._requests = 0
        self.in_flight: list[tuple[int, bytes]] = []
        self.feed(EndpointList(EndpointListKind.FULL, tuple(self.endpoint(n) for n in range(listed))))
        for shard in range(used):
            self.serve(shard)
        self.pass_time(4 * CONTROL_PERIOD_US)

    @staticmethod
    def endpoint(
        shard: int, state: EndpointState = EndpointState.READY, name: str = "s", started_us: int = 0
    ) -> Endpoint:
        return Endpoint(f"{name}-{shard}".encode(), shard, state, started_us=started_us)

    def feed(self, *events: Event) -> None:
        for action in self.gateway.handle(self.now, list(events)):
            if isinstance(action, SetTimer):
                self._timers.append((action.at_us, action.token))
            elif isinstance(action, StartAttempt):
                self.in_flight.append((action.request_id, action.node_id))

    def pass_time(self, span_us: int) -> None:
        end = self.now + span_us
        while min(self._timers)[0] <= end:
            due = min(self._timers)
            self._timers.remove(due)
            self.now = due[0]
            self.feed(TimerFired(due[1]))
        self.now = end

    def request(self, shard: int) -> None:
        self._requests += 1
        self.feed(RequestReceived(self._requests, 0, self.now + 3_000_000, shard, key=self._requests))

    def answer(self) -> None:
        request_id, node_id = self.in_flight.pop(0)
        self.feed(AttemptEnded(request_id, 0, node_id, AttemptResult.SERVED, ANSWER_US, True))

    def serve(self, shard: int) -> None:
        self.request(shard)
        self.now += ANSWER_US
        self.answer()

    def change(self, *changed: Endpoint) -> None:
        self.feed(EndpointList(EndpointListKind.CHANGES, changed))


def serve_one(made: ListedGateway) -> None:
    made.serve(1)


def serve_a_new_object(made: ListedGateway) -> None:
    made.serve(-1)


def serve_at_a_server_not_used_lately(made: ListedGateway) -> None:
    made.serve(made.listed - 1)


def wait_in_a_queue(made: ListedGateway) -> None:
    for _ in range(12):
        made.request(2)
    made.pass_time(20_000)
    while made.in_flight:
        made.answer()


def idle_for_a_control_period(made: ListedGateway) -> None:
    made.pass_time(CONTROL_PERIOD_US)


def drain_and_return(made: ListedGateway) -> None:
    made.change(made.endpoint(made.listed - 1, EndpointState.DRAINING))
    made.change(made.endpoint(made.listed - 1))


def replace_by_a_new_server(made: ListedGateway) -> None:
    shard = made.listed - 1
    made.change(made.endpoint(shard, EndpointState.GONE), made.endpoint(shard, name="new", started_us=1))


def change_settings_without_a_new_class(made: ListedGateway) -> None:
    made.feed(SettingsChanged(SETTINGS))


def end_an_attempt_at_a_server_that_has_gone(made: ListedGateway) -> None:
    made.request(3)
    made.change(made.endpoint(3, EndpointState.GONE))
    made.answer()
    made.pass_time(CONTROL_PERIOD_US)


DOINGS = (
    serve_one, serve_a_new_object, serve_at_a_server_not_used_lately, wait_in_a_queue,
    idle_for_a_control_period, drain_and_return, replace_by_a_new_server, change_settings_without_a_new_class,
    end_an_attempt_at_a_server_that_has_gone,
)  # fmt: skip


def steps(listed: int, used: int, doing: Callable[[ListedGateway], None]) -> int:
    made = ListedGateway(listed, used)
    return StepCounter().count(lambda: doing(made))


def test_the_steps_of_a_decision_do_not_grow_with_the_list() -> None:
    """Guards against looking at all servers at a request, a tick, an event or a change."""
    problems = {}
    for doing in DOINGS:
        usual = steps(USUAL, USUAL, doing)
        found = {(listed, used): steps(listed, used, doing) for listed in COUNTS for used in (USUAL, listed)}
        if max(found.values()) > FACTOR * usual + PLUS_STEPS:
            problems[doing.__name__] = usual, found
    assert not problems


def test_a_shard_that_has_recovered_is_closed_without_looking_at_the_tickets_of_others() -> None:
    """Guards against a stall as many shards recover at once while many clients hold tickets."""
    found = []
    for others in (8, 4_000):
        tickets = RetryTickets(1)
        for number in range(others):
            shard = 1 if number < 4 else 2
            tickets.keep(RetryTicket(number, shard, None, 1.0, 0.0, NOW_US, 0, NOW_US))
        found.append(StepCounter().count(lambda tickets=tickets: tickets.drop_shard(1)))  # type: ignore[misc]
        assert len(tickets) == others - 4
    assert found[0] == found[1]


def test_a_control_period_passes_at_servers_that_are_away_and_not_asked_for() -> None:
    found = []
    for away in (8, 800):
        made = ListedGateway(1_000, USUAL)
        for shard in range(USUAL, USUAL + away):
            made.change(made.endpoint(shard, EndpointState.DRAINING))
        made.pass_time(4 * CONTROL_PERIOD_US)
        found.append(StepCounter().count(lambda made=made: made.pass_time(CONTROL_PERIOD_US)))  # type: ignore[misc]
    assert found[1] <= FACTOR * found[0] + PLUS_STEPS, found
