"""Simulation of a fleet and one node in slow start; what reaches the node is counted there.

Complete gateways, which exchange no messages, have more to send than the node can serve.  The node is the
weakest that the settings allow.  What arrives within each overload window (``fall_us``) is compared with N,
the requests of mean work that the settings allow at the start of the window, and with another 2 * sqrt(N) + 2
for chance (rule 4 of the operators' standing test).  The same play gives the same figures.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from functools import partial
from typing import Any

from gaugesail.policy.actions import FailRequest, RejectRequest, SetTimer, StartAttempt
from gaugesail.policy.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointListKind,
    Event,
    RequestReceived,
    TimerFired,
)
from gaugesail.policy.gateway import Gateway
from gaugesail.policy.settings import Idempotency, Plan, RequestClass, Settings

SECOND = 1_000_000
NODE_NAME, SHARD = b"node-0", 0
LATENCY_OBJECTIVE_US, DEADLINE_US = 1_000_000, 3 * SECOND
MAX_RETRY_AFTER_US = 500_000
MIN_NETWORK_DELAY_US, MAX_NETWORK_DELAY_US = 200, 20_000  # each way
MAX_RETRIES = 3  # of a refused request, by its client


@dataclass(slots=True, frozen=True)
class Play:
    """The events of one simulation.  Times in seconds, rates in requests a second."""

    heads: int = 5
    seed: int = 1
    hear: float = 0.0  # gateways are notified of the start up to this much later, each at its own time
    restarts: str = "none"  # of gateways; "some": one after another, "burst": all at once, repeatedly
    known: bool = False  # the node was in use before, and restarts under its address
    twice: bool = False  # the node restarts once more while it warms up
    flaps: bool = False  # endpoint lists omit the node briefly, then list it with the same start
    faults: float = 0.0  # share of attempts that are not served
    slots: int = 40  # requests in the node's queue; it rejects more
    rate: float = 40.0  # of all gateways together
    span: float = 8.0
    first_ask: float = 0.0  # time of the first request after the start of the node
    size: int = 0  # units of each request; 0: random sizes

    @property
    def name(self) -> str:
        """The fields that differ from the defaults, as text."""
        usual = asdict(Play())
        return " ".join(f"{key}={value}" for key, value in asdict(self).items() if value != usual[key])


def settings_of(rng: random.Random, gateway_count: int) -> list[Settings]:
    """Draw settings that a site could have; return them for each gateway."""
    mean_units, initial_share = 2.05, rng.choice([0.16, 0.2, 0.31])
    overload_factor, window_us = rng.choice([2.0, 2.5, 3.0]), rng.choice([1_500_000, 2_000_000, 3_000_000])
    initial_units, warm_up_us = rng.choice([9.0, 16.0, 24.0, 40.0]), rng.choice([10, 17]) * SECOND
    return [
        Settings(
            classes=(
                RequestClass("read", LATENCY_OBJECTIVE_US, DEADLINE_US, 1.0, 0.1),
                RequestClass(
                    "write",
                    LATENCY_OBJECTIVE_US,
                    DEADLINE_US,
                    1.0,
                    0.1,
                    Idempotency.KEYED,
                    writes=True,
                    deduplication_window_us=SECOND,
                ),
            ),
            plans=(Plan("plan", 50.0, 50.0),),
            gateway_count=gateway_count,
            gateway_index=index,
            tick_us=40_000,
            overload_window_us=window_us,
            overload_factor=overload_factor,
            initial_capacity_share=initial_share,
            warm_up_us=warm_up_us,
            initial_capacity_units=initial_units,
            mean_request_units=mean_units,
            max_request_units=8.0,
            fair_share_weight=0.35,
            beyond_share_weight=0.08,
            retry_after_allowed=True,
            max_retry_after_us=MAX_RETRY_AFTER_US,
            max_attempts=4,
            drain_grace_us=250_000,
        )
        for index in range(gateway_count)
    ]


@dataclass(slots=True)
class Window:
    """The units that arrived within the overload window."""

    items: deque[tuple[int, float]] = field(default_factory=deque)
    total: float = 0.0

    def add(self, at: int, units: float, span: int) -> float:
        """Add units that arrived, drop those older than ``span``, and return the total."""
        self.items.append((at, units))
        self.total += units
        while self.items[0][0] <= at - span:
            self.total -= self.items.popleft()[1]
        return self.total


@dataclass(slots=True)
class OverloadCheck:
    """What arrives at the node after one of its starts, compared with what the settings allow.

    A gateway is informed if it was notified of that start before it sent the attempt.
    """

    settings: Settings
    started_at: int
    from_all: Window = field(default_factory=Window)
    from_informed: Window = field(default_factory=Window)
    worst: float = -math.inf  # (requests of mean work from informed gateways - N) / (2 * sqrt(N) + 2)
    worst_all: float = -math.inf  # the same of all gateways
    exceeded_at: int | None = None  # time when N + 2 * sqrt(N) + 2 was first exceeded
    overloaded: bool = False  # it was, and over two thirds came from informed gateways

    def allowed(self, at: int) -> float:
        """Return N at a time, in requests of mean work, for the weakest node with the slowest warm-up."""
        initial_share, progress = (
            self.settings.initial_capacity_share,
            max(0, at - self.started_at) / self.settings.warm_up_us,
        )
        return (
            self.settings.initial_capacity_units
            * min(1.0, initial_share + (1 - initial_share) * progress)
            / initial_share
            / self.settings.mean_request_units
        )

    def arrived(self, at: int, units: float, informed: bool) -> None:
        """Count units that arrived, from a gateway that was or was not informed."""
        if at - self.started_at >= self.settings.warm_up_us:
            return
        span, mean_units = self.settings.overload_window_us, self.settings.mean_request_units
        allowed = self.allowed(at - span)
        excess = 2 * math.sqrt(allowed) + 2
        total = self.from_all.add(at, units, span) / mean_units
        from_informed = self.from_informed.add(at, units if informed else 0.0, span) / mean_units
        self.worst = max(self.worst, (from_informed - allowed) / excess)
        self.worst_all = max(self.worst_all, (total - allowed) / excess)
        if total > allowed + excess and self.exceeded_at is None:
            self.exceeded_at, self.overloaded = at, from_informed > total * 2 / 3


@dataclass(slots=True)
class ClientRequest:
    """A client's request, with all its retries."""

    units: float
    class_index: int
    shard: int
    retries: int = 0


class Ramp:
    """The simulation of one play.

    ``make_gateway`` creates a gateway from its settings, a seed and the time.  ``change_settings`` changes
    the settings of the gateways, while the node behaves as the original settings say.
    """

    def __init__(
        self, play: Play, make_gateway: Callable[[Settings, int, int], Gateway] = Gateway,
        change_settings: Callable[[Settings], Settings] = lambda settings: settings,
    ) -> None:  # fmt: skip
        self.play, self.make_gateway = play, make_gateway
        self.rng = random.Random(f"{play.heads} {play.seed}")
        self.settings = settings_of(self.rng, play.heads)  # of the node; the gateways may have others
        self.gateway_settings = [change_settings(settings) for settings in self.settings]
        self.now, self._scheduled = 1000 * SECOND, 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self.gateways: list[Gateway | None] = [None] * play.heads
        self.generations = [0] * play.heads
        self.known_starts = [0] * play.heads  # by gateway, the latest start of the node that it knows
        self.started_at = 0
        self.checks: list[OverloadCheck] = []
        self._requests: dict[tuple[int, int], ClientRequest] = {}  # by gateway and request id
        self._next_request = 1
        self._queue: deque[tuple[int, int, StartAttempt, float, int]] = deque()
        self._remaining_units = 0.0  # of the first request in the queue
        self.counts: Counter[str] = Counter()  # "arrived" counts attempts of informed gateways
        self.attempts: Counter[tuple[int, int, int]] = Counter()
        self.served: list[tuple[int, float]] = []

    # ---- time ----

    def at(self, when: int, call: Callable[[], None]) -> None:
        """Schedule a call, at the present time if ``when`` has passed."""
        self._scheduled += 1
        heapq.heappush(self._events, (max(when, self.now), self._scheduled, call))

    def _network_delay(self) -> int:
        return self.rng.randrange(MIN_NETWORK_DELAY_US, MAX_NETWORK_DELAY_US)

    # ---- gateways ----

    def _endpoint(self, start: int) -> Endpoint:
        return Endpoint(NODE_NAME, SHARD, started_us=start)

    def _start_gateway(self, index: int) -> None:
        """Start a gateway's process, with the endpoint list that its agent has cached."""
        self.generations[index] += 1
        self.gateways[index] = self.make_gateway(
            self.gateway_settings[index], self.play.seed * 1000 + index, self.now
        )
        if self.known_starts[index] or self.play.known:
            self._handle(
                index, EndpointList(EndpointListKind.CACHED, (self._endpoint(self.known_starts[index]),))
            )
        else:
            self._handle(index, EndpointList(EndpointListKind.CACHED))

    def _kill_gateway(self, index: int, restart_us: int) -> None:
        if self.gateways[index] is None:
            return
        self.gateways[index] = None
        self.counts["kills"] += 1
        self.at(self.now + restart_us, lambda: self._start_gateway(index))

    def _handle(self, index: int, event: Event) -> None:
        gateway = self.gateways[index]
        if gateway is None:
            return
        generation = self.generations[index]
        for action in gateway.handle(self.now, [event]):
            if isinstance(action, SetTimer):
                timer = TimerFired(action.token)
                self.at(action.at_us, lambda timer=timer: self._handle_timer(index, generation, timer))  # type: ignore[misc]
            elif isinstance(action, StartAttempt):
                self._send_attempt(index, generation, action)
            elif isinstance(action, (RejectRequest, FailRequest)):
                self.counts["refused"] += 1
                delay = action.retry_after_us if isinstance(action, RejectRequest) else MAX_RETRY_AFTER_US
                self._retry(index, self._requests.pop((index, action.request_id)), delay)

    def _handle_timer(self, index: int, generation: int, event: Event) -> None:
        if self.generations[index] == generation:
            self._handle(index, event)

    def _notify(self, index: int, start: int) -> None:
        if start == self.started_at and self.gateways[index] is not None:
            self.known_starts[index] = start
            self._handle(index, EndpointList(EndpointListKind.CHANGES, (self._endpoint(start),)))

    def _flap_lists(self) -> None:
        """Send endpoint lists without the node, and 300 ms later lists with it."""
        for index in range(self.play.heads):
            if self.known_starts[index] == self.started_at:
                self._handle(index, EndpointList(EndpointListKind.FULL))
                self.at(self.now + 300_000, partial(self._notify, index, self.started_at))

    # ---- clients ----

    def _draw_units(self) -> float:
        if self.play.size:
            return float(self.play.size)
        units = 1
        while units < 8 and self.rng.random() < 0.512:  # mean 2.05
            units += 1
        return float(units)

    def _send_request(self, index: int, request: ClientRequest) -> None:
        if self.gateways[index] is None:
            return
        request_id, self._next_request = self._next_request, self._next_request + 1
        self._requests[index, request_id] = request
        self.counts["asked"] += 1
        event = RequestReceived(
            request_id,
            request.class_index,
            self.now + DEADLINE_US,
            request.shard,
            units=request.units,
            volume_id=index,
            key=request_id if request.class_index else 0,
            is_retry=request.retries > 0,
            gateways_in_use=1.0,
            settings=self.gateway_settings[index],
        )
        self._handle(index, event)

    def _retry(self, index: int, request: ClientRequest, delay: int) -> None:
        request.retries += 1
        if request.retries <= MAX_RETRIES:
            self.at(self.now + delay, lambda: self._send_request(index, request))

    def _generate_request(self) -> None:
        shard = -1 if self.rng.random() < 0.15 else SHARD
        request = ClientRequest(self._draw_units(), int(self.rng.random() < 0.3), shard)
        self._send_request(self.rng.randrange(self.play.heads), request)
        self.at(self.now + int(self.rng.expovariate(self.play.rate) * SECOND), self._generate_request)

    # ---- the node ----

    def _start_node(self) -> None:
        """Start the node; the requests of its old process are lost."""
        interrupted = [(index, generation, attempt) for _, index, attempt, _, generation in self._queue]
        self._queue.clear()
        self.started_at, self._remaining_units = self.now, 0.0
        self.checks.append(OverloadCheck(self.settings[0], self.now))
        for index, generation, attempt in interrupted:
            self._end_attempt(index, generation, attempt, AttemptResult.RESET, self.now)
        for index in range(self.play.heads):
            delay = int(self.rng.uniform(0, self.play.hear) * SECOND)
            self.at(self.now + delay, lambda index=index, start=self.started_at: self._notify(index, start))  # type: ignore[misc]

    def _send_attempt(self, index: int, generation: int, attempt: StartAttempt) -> None:
        units, sent_at = self._requests[index, attempt.request_id].units, self.now
        known_start = self.known_starts[index]
        self.at(
            self.now + self._network_delay(),
            lambda: self._attempt_arrived(index, generation, attempt, units, sent_at, known_start),
        )

    def _attempt_arrived(
        self, index: int, generation: int, attempt: StartAttempt, units: float, sent_at: int, known_start: int
    ) -> None:
        draw = self.rng.random()
        if draw < self.play.faults / 3:  # the connection failed
            self._end_attempt(index, generation, attempt, AttemptResult.NO_CONNECTION, sent_at)
            return
        informed = known_start == self.started_at  # not if sent to the previous process
        self.counts["arrived"] += informed
        self.checks[-1].arrived(self.now, units, informed)
        if draw < self.play.faults:
            result = AttemptResult.ERROR if draw < self.play.faults * 2 / 3 else AttemptResult.RESET
            self._end_attempt(index, generation, attempt, result, sent_at)
        elif len(self._queue) >= self.play.slots:
            self._end_attempt(index, generation, attempt, AttemptResult.REJECTED, sent_at)
        else:
            self._queue.append((sent_at, index, attempt, units, generation))
            if len(self._queue) == 1:
                self._remaining_units = units
                self._serve_next()

    def _capacity(self) -> float:
        """Return the present capacity of the weakest allowed node, in units a second."""
        check, settings = self.checks[-1], self.settings[0]
        return (
            check.allowed(self.now)
            * settings.mean_request_units
            / settings.overload_factor
            * SECOND
            / settings.overload_window_us
        )

    def _serve_next(self) -> None:
        """Serve the first request in the queue."""
        start, done_at = (
            self.started_at,
            self.now + int(self._remaining_units / self._capacity() * SECOND) + 1,
        )

        def finish() -> None:
            if start != self.started_at:
                return
            sent_at, index, attempt, units, generation = self._queue.popleft()
            self.served.append((self.now, units))
            self._end_attempt(index, generation, attempt, AttemptResult.SERVED, sent_at)
            if self._queue:
                self._remaining_units = self._queue[0][3]
                self._serve_next()

        self.at(done_at, finish)

    def _end_attempt(
        self, index: int, generation: int, attempt: StartAttempt, result: AttemptResult, sent_at: int
    ) -> None:
        """Deliver the result of an attempt to its gateway, after the network delay."""

        def deliver() -> None:
            if self.generations[index] != generation or self.gateways[index] is None:
                return
            final = result is AttemptResult.SERVED
            if final:
                self._requests.pop((index, attempt.request_id), None)
            attempt_number = self.attempts[index, generation, attempt.request_id]
            self.attempts[index, generation, attempt.request_id] += 1
            self._handle(
                index,
                AttemptEnded(
                    attempt.request_id, attempt_number, NODE_NAME, result, self.now - sent_at, final
                ),
            )

        self.at(self.now + self._network_delay(), deliver)

    # ---- the run ----

    def run(self) -> dict[str, Any]:
        """Run the simulation and return its figures.

        What was allowed, sent and served is counted during the warm-up after the node's last start.
        """
        play, rng = self.play, self.rng
        for index in range(play.heads):
            # They start at different times, some of them after the node.
            late = rng.random() < 0.2
            when = self.now + int(rng.uniform(4.0 if late else 0.0, 7.0 if late else 4.0) * SECOND)
            self.at(when, lambda index=index: self._start_gateway(index))  # type: ignore[misc]
        if play.known:
            self.checks.append(OverloadCheck(self.settings[0], 0))
            self.at(self.now + 3 * SECOND, self._generate_request)
        node_start = self.now + 5 * SECOND
        self.at(node_start, self._start_node)
        if not play.known:
            self.at(node_start + int(play.first_ask * SECOND), self._generate_request)
        if play.twice:
            self.at(node_start + int(rng.uniform(0.5, 4.0) * SECOND), self._start_node)
        end = node_start + int(play.span * SECOND)
        when = node_start + SECOND // 2
        while when < end and play.restarts != "none":
            one_by_one = play.restarts == "some"
            for index in [rng.randrange(play.heads)] if one_by_one else range(play.heads):
                delay = rng.randrange(50_000, 600_000)
                self.at(when, lambda index=index, delay=delay: self._kill_gateway(index, delay))  # type: ignore[misc]
            when += int((rng.uniform(0.05, 0.3) if one_by_one else rng.choice([0.4, 0.8, 1.6, 3.2])) * SECOND)
        when = node_start + SECOND
        while when < end and play.flaps:
            self.at(when, self._flap_lists)
            when += SECOND
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end
        return self._results()

    def _results(self) -> dict[str, Any]:
        settings, latest = self.settings[0], self.checks[-1]
        until = min(self.now, self.started_at + settings.warm_up_us)
        samples = range(self.started_at, until, 50_000)
        windows = sum(latest.allowed(sample) for sample in samples) * 50_000 / settings.overload_window_us
        mean_units = settings.mean_request_units
        served = sum(units for at, units in self.served if self.started_at <= at <= until) / mean_units
        early = (
            sum(units for at, units in self.served if self.started_at <= at <= self.started_at + 5 * SECOND)
            / mean_units
        )
        checks = [check for check in self.checks if check.started_at]
        return {
            "heads": self.play.heads, "seed": self.play.seed, "play": self.play.name,
            "worst": max(check.worst for check in checks),
            "worst_all": max(check.worst_all for check in checks),
            "broken": any(check.overloaded for check in checks),
            "allowed": windows, "power": windows / settings.overload_factor, "served": served, "early": early,
            "used": served / (windows / settings.overload_factor),
            **{key: self.counts[key] for key in ("asked", "arrived", "refused", "kills")},
        }  # fmt: skip


def plays(gateway_count: int, seed: int) -> Play:
    """Draw the play of a seed; eight consecutive seeds have all kinds of faults."""
    rng = random.Random(f"play {gateway_count} {seed}")
    kind = seed % 8
    return Play(
        gateway_count, seed, hear=rng.choice([0.0, 0.5, 2.0, 4.0]) if kind != 1 else 4.0,
        restarts=("none", "none", "some", "burst", "some", "burst", "none", "none")[kind],
        known=kind in (4, 6), twice=kind in (5, 6), flaps=kind == 7,
        faults=0.2 if kind in (1, 2, 5, 7) else 0.0, slots=rng.choice([40, 40, 40, 0]),
        first_ask=rng.choice([0.0, 0.0, 3.0]), size=rng.choice([0, 0, 0, 1, 2, 4, 8]),
    )  # fmt: skip
