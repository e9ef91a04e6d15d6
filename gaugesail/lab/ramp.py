"""A fleet and one node that warms up, in virtual time: what reaches the node, counted there.

Whole gateways with more to send than the node can do, and no talk between them.  The node is the weakest
that the settings allow.  A judge counts what arrives within each window of ``fall_us``, against N requests
of mean work (N by the settings, at the window's start) and against 2 x root of N + 2 of chance beyond them
(the operators' standing test, rule 4).  The same play gives the same figures.
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
NODE, SHARD = b"node-0", 0
AIM_US, DEADLINE_US = 1_000_000, 3 * SECOND
HOLD_OFF_US = 500_000
LEAST_WIRE_US, MOST_WIRE_US = 200, 20_000  # between a send and its arrival, and back
COMES_AGAIN = 3  # times that a client asks once more for what was refused


@dataclass(slots=True, frozen=True)
class Play:
    """What happens in one play.  Times in seconds, rates in requests a second."""

    heads: int = 5
    seed: int = 1
    hear: float = 0.0  # heads hear of the start up to so much later, each by itself
    restarts: str = "none"  # or "some": one by one all the time; "burst": all at once, again and again
    known: bool = False  # the node was in use before, and starts again where it was
    twice: bool = False  # it starts once more while it warms up
    flaps: bool = False  # lists drop the node for a moment, and name it again with the same start
    faults: float = 0.0  # share of attempts that end without service
    slots: int = 40  # requests that the node holds; it turns away what is more
    rate: float = 40.0  # from all heads together
    span: float = 8.0
    first_ask: float = 0.0  # after the start of the node
    size: int = 0  # units of each request; 0: drawn, as clients send them

    @property
    def name(self) -> str:
        usual = asdict(Play())
        return " ".join(f"{key}={value}" for key, value in asdict(self).items() if value != usual[key])


def settings_of(rng: random.Random, heads: int) -> list[Settings]:
    """Settings that a site could have, one for each head."""
    mean, share = 2.05, rng.choice([0.16, 0.2, 0.31])
    multiple, fall = rng.choice([2.0, 2.5, 3.0]), rng.choice([1_500_000, 2_000_000, 3_000_000])
    units, warm = rng.choice([9.0, 16.0, 24.0, 40.0]), rng.choice([10, 17]) * SECOND
    return [
        Settings(
            classes=(
                RequestClass("read", AIM_US, DEADLINE_US, 1.0, 0.1),
                RequestClass(
                    "write",
                    AIM_US,
                    DEADLINE_US,
                    1.0,
                    0.1,
                    Idempotency.KEYED,
                    writes=True,
                    deduplication_window_us=SECOND,
                ),
            ),
            plans=(Plan("plan", 50.0, 50.0),),
            gateway_count=heads,
            gateway_index=me,
            tick_us=40_000,
            overload_window_us=fall,
            overload_factor=multiple,
            initial_capacity_share=share,
            warm_up_us=warm,
            initial_capacity_units=units,
            mean_request_units=mean,
            max_request_units=8.0,
            fair_share_weight=0.35,
            beyond_share_weight=0.08,
            retry_after_allowed=True,
            max_retry_after_us=HOLD_OFF_US,
            max_attempts=4,
            drain_grace_us=250_000,
        )
        for me in range(heads)
    ]


@dataclass(slots=True)
class Window:
    """Units that arrived within the time of the rule."""

    items: deque[tuple[int, float]] = field(default_factory=deque)
    total: float = 0.0

    def add(self, at: int, units: float, span: int) -> float:
        self.items.append((at, units))
        self.total += units
        while self.items[0][0] <= at - span:
            self.total -= self.items.popleft()[1]
        return self.total


@dataclass(slots=True)
class Judge:
    """The count at the node, of one of its starts."""

    given: Settings
    start: int
    all: Window = field(default_factory=Window)
    told: Window = field(default_factory=Window)
    worst: float = -math.inf  # (requests of mean work from heads that were told - N) / (2 root N + 2)
    worst_all: float = -math.inf  # the same of all heads
    fell_at: int | None = None  # N + 2 root N + 2 were passed first
    broken: bool = False  # and over two thirds of them came from heads that were told

    def allowed(self, at: int) -> float:
        """N at that time, in requests of mean work: the weakest node on the slowest ramp."""
        low, age = self.given.initial_capacity_share, max(0, at - self.start) / self.given.warm_up_us
        return (
            self.given.initial_capacity_units
            * min(1.0, low + (1 - low) * age)
            / low
            / self.given.mean_request_units
        )

    def arrived(self, at: int, units: float, told: bool) -> None:
        if at - self.start >= self.given.warm_up_us:
            return
        span, mean = self.given.overload_window_us, self.given.mean_request_units
        n = self.allowed(at - span)
        chance = 2 * math.sqrt(n) + 2
        both = self.all.add(at, units, span) / mean
        known = self.told.add(at, units if told else 0.0, span) / mean
        self.worst = max(self.worst, (known - n) / chance)
        self.worst_all = max(self.worst_all, (both - n) / chance)
        if both > n + chance and self.fell_at is None:
            self.fell_at, self.broken = at, known > both * 2 / 3


@dataclass(slots=True)
class Asked:
    """A client's request, over all of its tries."""

    units: float
    kind: int
    shard: int
    tries: int = 0


class Ramp:
    """One play."""

    def __init__(
        self, play: Play, make: Callable[[Settings, int, int], Gateway] = Gateway,
        told: Callable[[Settings], Settings] = lambda given: given,
    ) -> None:  # fmt: skip
        self.play, self.make = play, make
        self.rng = random.Random(f"{play.heads} {play.seed}")
        self.given = settings_of(self.rng, play.heads)  # what holds at the node
        self.told = [told(given) for given in self.given]  # what the heads are told
        self.now, self._count = 1000 * SECOND, 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self.heads: list[Gateway | None] = [None] * play.heads
        self.lives = [0] * play.heads
        self.heard = [0] * play.heads  # the start that the head has been told of
        self.start = 0
        self.judges: list[Judge] = []
        self._asked: dict[tuple[int, int], Asked] = {}  # by life's head and request
        self._next = 1
        self._queue: deque[tuple[int, int, StartAttempt, float, int]] = deque()
        self._work = 0.0  # what is left of the first of the queue
        self.counts: Counter[str] = Counter()  # arrived: from heads that were told of the start
        self.tries: Counter[tuple[int, int, int]] = Counter()
        self.served: list[tuple[int, float]] = []

    # ---- time ----

    def at(self, when: int, call: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (max(when, self.now), self._count, call))

    def _wire(self) -> int:
        return self.rng.randrange(LEAST_WIRE_US, MOST_WIRE_US)

    # ---- heads ----

    def _line(self, start: int) -> Endpoint:
        return Endpoint(NODE, SHARD, started_us=start)

    def _birth(self, me: int) -> None:
        """A process begins, with the list that its agent has."""
        self.lives[me] += 1
        self.heads[me] = self.make(self.told[me], self.play.seed * 1000 + me, self.now)
        if self.heard[me] or self.play.known:
            self._give(me, EndpointList(EndpointListKind.CACHED, (self._line(self.heard[me]),)))
        else:
            self._give(me, EndpointList(EndpointListKind.CACHED))

    def _kill(self, me: int, back_us: int) -> None:
        if self.heads[me] is None:
            return
        self.heads[me] = None
        self.counts["kills"] += 1
        self.at(self.now + back_us, lambda: self._birth(me))

    def _give(self, me: int, event: Event) -> None:
        head = self.heads[me]
        if head is None:
            return
        life = self.lives[me]
        for action in head.handle(self.now, [event]):
            if isinstance(action, SetTimer):
                bell = TimerFired(action.token)
                self.at(action.at_us, lambda bell=bell: self._later(me, life, bell))  # type: ignore[misc]
            elif isinstance(action, StartAttempt):
                self._send(me, life, action)
            elif isinstance(action, (RejectRequest, FailRequest)):
                self.counts["refused"] += 1
                wait = action.retry_after_us if isinstance(action, RejectRequest) else HOLD_OFF_US
                self._comes_again(me, self._asked.pop((me, action.request_id)), wait)

    def _later(self, me: int, life: int, event: Event) -> None:
        if self.lives[me] == life:
            self._give(me, event)

    def _hear(self, me: int, start: int) -> None:
        if start == self.start and self.heads[me] is not None:
            self.heard[me] = start
            self._give(me, EndpointList(EndpointListKind.CHANGES, (self._line(start),)))

    def _flap(self) -> None:
        """A list without the node, and a while later one that has it again."""
        for me in range(self.play.heads):
            if self.heard[me] == self.start:
                self._give(me, EndpointList(EndpointListKind.FULL))
                self.at(self.now + 300_000, partial(self._hear, me, self.start))

    # ---- clients ----

    def _units(self) -> float:
        if self.play.size:
            return float(self.play.size)
        units = 1
        while units < 8 and self.rng.random() < 0.512:  # 2.05 in the mean
            units += 1
        return float(units)

    def _ask(self, me: int, asked: Asked) -> None:
        if self.heads[me] is None:
            return
        number, self._next = self._next, self._next + 1
        self._asked[me, number] = asked
        self.counts["asked"] += 1
        event = RequestReceived(
            number,
            asked.kind,
            self.now + DEADLINE_US,
            asked.shard,
            units=asked.units,
            volume_id=me,
            key=number if asked.kind else 0,
            is_retry=asked.tries > 0,
            gateways_in_use=1.0,
            settings=self.told[me],
        )
        self._give(me, event)

    def _comes_again(self, me: int, asked: Asked, wait: int) -> None:
        asked.tries += 1
        if asked.tries <= COMES_AGAIN:
            self.at(self.now + wait, lambda: self._ask(me, asked))

    def _demand(self) -> None:
        shard = -1 if self.rng.random() < 0.15 else SHARD
        asked = Asked(self._units(), int(self.rng.random() < 0.3), shard)
        self._ask(self.rng.randrange(self.play.heads), asked)
        self.at(self.now + int(self.rng.expovariate(self.play.rate) * SECOND), self._demand)

    # ---- the node ----

    def _begin(self) -> None:
        """The node starts; what its old process held is lost."""
        old = [(me, life, send) for _, me, send, _, life in self._queue]
        self._queue.clear()
        self.start, self._work = self.now, 0.0
        self.judges.append(Judge(self.given[0], self.now))
        for me, life, send in old:
            self._end(me, life, send, AttemptResult.RESET, self.now)
        for me in range(self.play.heads):
            late = int(self.rng.uniform(0, self.play.hear) * SECOND)
            self.at(self.now + late, lambda me=me, start=self.start: self._hear(me, start))  # type: ignore[misc]

    def _send(self, me: int, life: int, send: StartAttempt) -> None:
        units, sent = self._asked[me, send.request_id].units, self.now
        heard = self.heard[me]
        self.at(self.now + self._wire(), lambda: self._arrive(me, life, send, units, sent, heard))

    def _arrive(self, me: int, life: int, send: StartAttempt, units: float, sent: int, heard: int) -> None:
        draw = self.rng.random()
        if draw < self.play.faults / 3:  # it never came
            self._end(me, life, send, AttemptResult.NO_CONNECTION, sent)
            return
        told = heard == self.start  # not what went to the process before
        self.counts["arrived"] += told
        self.judges[-1].arrived(self.now, units, told)
        if draw < self.play.faults:
            result = AttemptResult.ERROR if draw < self.play.faults * 2 / 3 else AttemptResult.RESET
            self._end(me, life, send, result, sent)
        elif len(self._queue) >= self.play.slots:
            self._end(me, life, send, AttemptResult.REJECTED, sent)
        else:
            self._queue.append((sent, me, send, units, life))
            if len(self._queue) == 1:
                self._work = units
                self._serve()

    def _power(self) -> float:
        """Units a second of the weakest legal node now."""
        judge, given = self.judges[-1], self.given[0]
        return (
            judge.allowed(self.now)
            * given.mean_request_units
            / given.overload_factor
            * SECOND
            / given.overload_window_us
        )

    def _serve(self) -> None:
        """Work on the first of the queue until it is done."""
        start, done = self.start, self.now + int(self._work / self._power() * SECOND) + 1

        def over() -> None:
            if start != self.start:
                return
            sent, me, send, units, life = self._queue.popleft()
            self.served.append((self.now, units))
            self._end(me, life, send, AttemptResult.SERVED, sent)
            if self._queue:
                self._work = self._queue[0][3]
                self._serve()

        self.at(done, over)

    def _end(self, me: int, life: int, send: StartAttempt, result: AttemptResult, sent: int) -> None:
        """The answer on its way back."""

        def came() -> None:
            if self.lives[me] != life or self.heads[me] is None:
                return
            final = result is AttemptResult.SERVED
            if final:
                self._asked.pop((me, send.request_id), None)
            attempt = self.tries[me, life, send.request_id]
            self.tries[me, life, send.request_id] += 1
            self._give(me, AttemptEnded(send.request_id, attempt, NODE, result, self.now - sent, final))

        self.at(self.now + self._wire(), came)

    # ---- the play ----

    def run(self) -> dict[str, Any]:
        """Play it.  What was allowed, sent and served is of the warm-up since the last start."""
        play, rng = self.play, self.rng
        for me in range(play.heads):
            # They start at different moments, some of them after the node has.
            late = rng.random() < 0.2
            when = self.now + int(rng.uniform(4.0 if late else 0.0, 7.0 if late else 4.0) * SECOND)
            self.at(when, lambda me=me: self._birth(me))  # type: ignore[misc]
        if play.known:
            self.judges.append(Judge(self.given[0], 0))
            self.at(self.now + 3 * SECOND, self._demand)
        first = self.now + 5 * SECOND
        self.at(first, self._begin)
        if not play.known:
            self.at(first + int(play.first_ask * SECOND), self._demand)
        if play.twice:
            self.at(first + int(rng.uniform(0.5, 4.0) * SECOND), self._begin)
        end = first + int(play.span * SECOND)
        when = first + SECOND // 2
        while when < end and play.restarts != "none":
            some = play.restarts == "some"
            for me in [rng.randrange(play.heads)] if some else range(play.heads):
                back = rng.randrange(50_000, 600_000)
                self.at(when, lambda me=me, back=back: self._kill(me, back))  # type: ignore[misc]
            when += int((rng.uniform(0.05, 0.3) if some else rng.choice([0.4, 0.8, 1.6, 3.2])) * SECOND)
        when = first + SECOND
        while when < end and play.flaps:
            self.at(when, self._flap)
            when += SECOND
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end
        return self._told()

    def _told(self) -> dict[str, Any]:
        given, judge = self.given[0], self.judges[-1]
        until = min(self.now, self.start + given.warm_up_us)
        marks = range(self.start, until, 50_000)
        windows = sum(judge.allowed(mark) for mark in marks) * 50_000 / given.overload_window_us
        mean = given.mean_request_units
        served = sum(units for at, units in self.served if self.start <= at <= until) / mean
        early = sum(units for at, units in self.served if self.start <= at <= self.start + 5 * SECOND) / mean
        own = [one for one in self.judges if one.start]
        return {
            "heads": self.play.heads, "seed": self.play.seed, "play": self.play.name,
            "worst": max(one.worst for one in own), "worst_all": max(one.worst_all for one in own),
            "broken": any(one.broken for one in own),
            "allowed": windows, "power": windows / given.overload_factor, "served": served, "early": early,
            "used": served / (windows / given.overload_factor),
            **{key: self.counts[key] for key in ("asked", "arrived", "refused", "kills")},
        }  # fmt: skip


def plays(heads: int, seed: int) -> Play:
    """The troubles of one seed, so that eight seeds in a row have all of them."""
    rng = random.Random(f"play {heads} {seed}")
    kind = seed % 8
    return Play(
        heads, seed, hear=rng.choice([0.0, 0.5, 2.0, 4.0]) if kind != 1 else 4.0,
        restarts=("none", "none", "some", "burst", "some", "burst", "none", "none")[kind],
        known=kind in (4, 6), twice=kind in (5, 6), flaps=kind == 7,
        faults=0.2 if kind in (1, 2, 5, 7) else 0.0, slots=rng.choice([40, 40, 40, 0]),
        first_ask=rng.choice([0.0, 0.0, 3.0]), size=rng.choice([0, 0, 0, 1, 2, 4, 8]),
    )  # fmt: skip
