"""Two processes of a gateway, and any changes of the settings, use no more than one process would."""

from __future__ import annotations

from dataclasses import dataclass, replace

from hypothesis import given, settings
from hypothesis import strategies as st

from gaugesail.policy.actions import Action, FailRequest, RejectRequest, SetTimer, StartAttempt
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
    SiblingProcessChanged,
    TimerFired,
)
from gaugesail.policy.gateway import Gateway
from gaugesail.policy.settings import Settings

from ..support import gateway_driver

SEC = 1_000_000
NODE = gateway_driver.node_id(0)
CAPPED = 1  # the plan under a limit
WINDOW_US = 5 * SEC  # of the retry budget
FREE_RETRIES = 4.0
RETRY_SHARE = 0.2
ROUNDING = 1e-6


@dataclass
class Store:
    """The units of a limited volume, for all processes together: it starts full."""

    rate: float
    burst: float
    units: float
    filled_at: int

    def change(self, now: int, rate: float, burst: float) -> None:
        """Apply another rate and burst from now on."""
        self.take(now, 0.0)
        self.rate = rate
        self.burst = burst
        self.units = min(self.units, burst)

    def take(self, now: int, units: float) -> None:
        """Take the units of a first attempt."""
        filled = self.units + (now - self.filled_at) / SEC * self.rate
        self.units = min(self.burst, filled) - units
        self.filled_at = now


class TwoProcesses:
    """A gateway whose process is replaced again and again; checks what all of its processes send."""

    def __init__(self) -> None:
        self.now = 100 * SEC
        self.settings: Settings = gateway_driver.settings(
            gateway_count=1,
            overload_window_us=0,
            retry_budget_window_us=WINDOW_US,
            retry_budget_free=FREE_RETRIES,
            retry_budget_share=RETRY_SHARE,
            max_attempts=10,
        )
        plan = self.settings.plans[CAPPED]
        self.store = Store(plan.limit, plan.limit_burst, plan.limit_burst, self.now)
        self.processes: dict[int, Gateway] = {}
        self.started = 0
        self.timers: list[tuple[int, int, int]] = []  # time, process, token
        self.in_flight: dict[tuple[int, int, int], None] = {}  # process, request, attempt
        self.attempts: dict[tuple[int, int], int] = {}  # by process and request
        self.units: dict[int, float] = {}
        self.requests: list[int] = []
        self.retries: list[int] = []
        self._add_process()

    def _add_process(self) -> None:
        self.started += 1
        number = self.started
        self.processes[number] = Gateway(self.settings, 7, self.now)
        endpoint = Endpoint(NODE, 0, EndpointState.READY)
        self.feed(number, EndpointList(EndpointListKind.FULL, (endpoint,)))

    def feed(self, number: int, event: Event) -> None:
        for action in self.processes[number].handle(self.now, [event]):
            self._carry_out(number, action)

    def _carry_out(self, number: int, action: Action) -> None:
        match action:
            case StartAttempt():
                attempt = self.attempts[number, action.request_id]
                self.attempts[number, action.request_id] += 1
                self.in_flight[number, action.request_id, attempt] = None
                if attempt:
                    self._check_retry()
                else:
                    self.store.take(self.now, self.units[action.request_id])
                    assert self.store.units >= -ROUNDING, "the limit of the volume is exceeded"
            case SetTimer():
                self.timers.append((action.at_us, number, action.token))
            case RejectRequest() | FailRequest():
                self.attempts.pop((number, action.request_id), None)

    def _check_retry(self) -> None:
        self.retries.append(self.now)
        retries = sum(at >= self.now - WINDOW_US for at in self.retries)
        requests = sum(at > self.now - WINDOW_US for at in self.requests)
        assert retries <= FREE_RETRIES + RETRY_SHARE * requests + ROUNDING, "the retry budget is exceeded"

    # ---- steps ----

    def send(self, which: int, units: int, count: int) -> None:
        for _ in range(count):
            number = list(self.processes)[which % len(self.processes)]
            request_id = len(self.units) + 1
            self.units[request_id] = float(units)
            self.attempts[number, request_id] = 0
            self.requests.append(self.now)
            deadline = self.now + SEC
            self.feed(
                number,
                RequestReceived(request_id, 0, deadline, 0, CAPPED, float(units), volume_id=5),
            )

    def end_attempts(self, count: int, result: AttemptResult) -> None:
        for number, request_id, attempt in list(self.in_flight)[:count]:
            del self.in_flight[number, request_id, attempt]
            served = result is AttemptResult.SERVED
            if number in self.processes:
                self.feed(number, AttemptEnded(request_id, attempt, NODE, result, 1000, served))

    def pass_time(self, span_us: int) -> None:
        end = self.now + span_us
        while self.timers and min(self.timers)[0] <= end:
            at, number, token = min(self.timers)
            self.timers.remove((at, number, token))
            self.now = max(self.now, at)
            if number in self.processes:
                self.feed(number, TimerFired(token))
        self.now = end

    def replace(self) -> None:
        """A successor starts; the running process learns of it first."""
        if len(self.processes) > 1:
            return
        old = next(iter(self.processes))
        self._add_process()
        self.feed(old, SiblingProcessChanged(True))
        self.feed(list(self.processes)[1], SiblingProcessChanged(True, is_predecessor=True))

    def end_process(self, which: int) -> None:
        """Either process ends."""
        if len(self.processes) > 1:
            del self.processes[list(self.processes)[which]]
            self.feed(next(iter(self.processes)), SiblingProcessChanged(False))

    def change_limit(self, factor: int) -> None:
        plan = gateway_driver.PLANS[CAPPED]
        changed = replace(plan, limit=plan.limit * factor, limit_burst=plan.limit_burst * factor)
        self.settings = replace(self.settings, plans=(self.settings.plans[0], changed))
        self.store.change(self.now, changed.limit, changed.limit_burst)
        for number in self.processes:
            self.feed(number, SettingsChanged(self.settings))


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("send"), st.integers(0, 1), st.integers(1, 4), st.integers(1, 12)),
        st.tuples(st.just("send"), st.integers(0, 1), st.just(2), st.just(30)),
        st.tuples(
            st.just("end_attempts"),
            st.integers(1, 40),
            st.sampled_from([AttemptResult.SERVED, AttemptResult.ERROR, AttemptResult.NO_CONNECTION]),
        ),
        st.tuples(st.just("end_attempts"), st.just(40), st.just(AttemptResult.SERVED)),
        st.tuples(st.just("pass_time"), st.sampled_from([1_000, 50_000, 700_000, 3_000_000])),
        st.tuples(st.just("replace")),
        st.tuples(st.just("end_process"), st.integers(0, 1)),
        st.tuples(st.just("change_limit"), st.integers(1, 3)),
    ),
    min_size=10,
    max_size=60,
)


@settings(max_examples=150, derandomize=True, deadline=None, database=None)
@given(STEPS)
def test_limits_and_budgets_hold_across_processes_and_settings(steps: list[tuple]) -> None:  # type: ignore[type-arg]
    two = TwoProcesses()
    for name, *arguments in steps:
        getattr(two, name)(*arguments)


def test_a_replacement_spends_one_burst() -> None:
    """Guards against a whole burst in each of two processes."""
    two = TwoProcesses()
    two.pass_time(3 * SEC)
    two.replace()
    two.pass_time(3 * SEC)
    for which in (0, 1):
        for _ in range(8):
            two.send(which, 2, 2)
            two.end_attempts(40, AttemptResult.SERVED)


def test_a_raised_limit_counts_from_its_change_on() -> None:
    """Guards against units at the new rate for the time before the change."""
    two = TwoProcesses()
    two.pass_time(3 * SEC)
    for _ in range(13):
        two.send(0, 2, 1)
        two.end_attempts(40, AttemptResult.SERVED)
    two.pass_time(700_000)
    two.change_limit(3)
    for _ in range(30):
        two.send(0, 2, 1)
        two.end_attempts(40, AttemptResult.SERVED)


def test_a_successor_does_not_repeat_the_free_retries_of_its_predecessor() -> None:
    """Guards against a retry budget that each process has by itself."""
    two = TwoProcesses()
    two.replace()
    old, new = two.processes.values()
    assert old.retry_budget.retry_allowed(old.state), "half of the free retries"
    assert not new.retry_budget.retry_allowed(new.state), "the other half may be used up"
    two.pass_time(WINDOW_US + 1)
    two.send(1, 1, 1)
    assert new.retry_budget.retry_allowed(new.state)
    two.end_process(0)
    for _ in range(2):
        new.retry_budget.record_retry(two.now)
    assert not new.retry_budget.retry_allowed(new.state), "the predecessor's retries count for a window"
    two.pass_time(WINDOW_US + 1)
    two.send(0, 1, 1)
    for _ in range(3):
        new.retry_budget.record_retry(two.now)
    assert new.retry_budget.retry_allowed(new.state)
