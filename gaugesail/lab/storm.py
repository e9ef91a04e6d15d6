"""The storm: a node fails, its clients wait each in their own way, and it comes back cold."""

from __future__ import annotations

import bisect
import io
import time
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Any

import numpy as np

from .. import config as configuration
from ..app import PlatformGateway
from ..core.clock import ReactorClock
from ..logs import make_logger
from ..rehearsal import defaults
from ..rehearsal.memory import MemoryReactor
from .bricks import Brick, NodeList
from .draws import lognormal, stream
from .nodes import Machine
from .observer import ColdWindow, Observer
from .terminals import KINDS, Ask, Kind, Terminal, Volume

UNIX_S = 1_700_000_000
UNIT_S = 0.026  # core-seconds of a unit at speed 1
UNITS = tuple(range(1, 9))
CLASS_WORK = {False: 0.9, True: 1.2}  # of a read and of a write
WRITES = 0.35
WORK_CV = 0.3  # beside that of the sizes, 0.7: together within the brief's range
# Name, share of the traffic, price, reserve over the usual rate (what is asked for is all inside it), weight.
PLANS = (
    ("basic", 0.41, 0.72, 1.1, 1.0),
    ("standard", 0.30, 0.9, 1.1, 3.0),
    ("priority", 0.29, 1.4, 1.1, 3.0),
)
COLD_MARGIN = 0.45  # of what the slowest node bears at its start: what the first message says is always safe
SLOWEST = 0.85
CAPACITY = 0.9  # of its power: what a node is taken to do, as the load counts it
CALM_S = 15.0  # before the outage
AFTER_S = 45.0  # after the news


@dataclass(slots=True, frozen=True)
class Storm:
    """One experiment."""

    gateways: int = 3
    nodes: int = 2
    clients: str = "mixed"
    outage_s: float = 30.0
    stale_s: float = 3.0  # the list is so late
    volumes: int = 6  # for each node
    load: float = 0.8
    seed: int = 1
    baseline: bool = False
    hold_off_s: float = 0.5  # the longest time to come back that clients heed
    mean_s: float = 4.0  # between two wishes of one terminal
    restart_s: float = 0.0  # if set: the node restarts once more so long after it came back


@dataclass(slots=True)
class Figures:
    """What the experiment shows."""

    recovery_s: float | None
    steady: float
    cold_peak: float
    cold_pressure: float
    burst: float | None
    counts: dict[str, int]
    most_attempts: int
    by_plan: dict[str, float]
    by_kind: dict[str, float]
    by_5s: list[float]
    decision_us: float
    notes: list[str] = field(default_factory=list)


def mixture(name: str) -> list[Kind]:
    if name == "mixed":
        return list(KINDS.values())
    return [KINDS[part] for part in name.split("+")]


class StormWorld:
    """Whole heads in virtual time, between terminals and nodes."""

    def __init__(self, storm: Storm) -> None:
        self.storm = storm
        self.reactor = MemoryReactor()
        self.reactor.advance(1_000_000.0)
        self.start_s = self.reactor.seconds()
        self.observer = Observer()
        self._asks: dict[str, Ask] = {}
        self._names = 0
        weights = np.array([0.49 * 0.51 ** (units - 1) for units in UNITS])
        self._size_share = np.cumsum(weights / weights.sum())
        self.mean_units = float((weights * np.array(UNITS)).sum() / weights.sum())
        self.mean_work_s = (
            self.mean_units * UNIT_S * (CLASS_WORK[True] * WRITES + CLASS_WORK[False] * (1 - WRITES))
        )
        machines = [self._machine(n) for n in range(storm.nodes)]
        self.bricks = [
            Brick(self.reactor, n, machine, self.observer, lambda name: self._asks[name].core_s)
            for n, machine in enumerate(machines)
        ]
        self.list = NodeList(self.reactor, "list", lambda at: None)
        for brick in self.bricks:
            self.list.add(brick)
        self.settings = self._settings()
        self.heads: list[Any] = []
        self.decisions = [0, 0]  # events, nanoseconds
        self.log = io.StringIO()
        for n in range(storm.gateways):
            self._start_head(n)
        self.terminals = self._populate()
        self._watch_cold()

    def _machine(self, number: int) -> Machine:
        rng = stream(self.storm.seed, "machine", number)
        return Machine(
            slots=int(rng.integers(4, 7)), queue=int(rng.integers(52, 147)),
            speed=float(rng.uniform(SLOWEST, 1.1)),
            cold_from=float(rng.uniform(0.31, 0.5)), cold_s=float(rng.uniform(7.9, 17.0)),
        )  # fmt: skip

    def _settings(self) -> dict[str, Any]:
        storm, settings = self.storm, defaults.settings()
        power = sum(brick.model.machine.power for brick in self.bricks) / storm.nodes
        # units a second for each node
        rate = storm.load * CAPACITY * power / self.mean_work_s * self.mean_units
        settings["contracts"] = [
            {"name": name, "rate": rate * share / (storm.volumes / 3), "pays": price, "parts": parts,
             "reserve": reserve * rate * share / (storm.volumes / 3)}
            for name, share, price, reserve, parts in PLANS
        ]  # fmt: skip
        rules, machine = settings["guarantees"], self.bricks[0].model.machine
        self.cold_units = float(
            int(COLD_MARGIN * machine.fall_multiple * rules["cold_share"] * machine.cores * SLOWEST
                / UNIT_S * rules["fall_us"] / 1e6)
        )  # fmt: skip
        settings["domain"] |= {
            "cold_bears": self.cold_units,
            "usual_units": round(self.mean_units, 2),
            "slots_total": storm.nodes,
        }
        settings["clients"] = {"marks_retry": all(kind.marks for kind in mixture(storm.clients))}
        settings["permissions"]["max_retry_after_us"] = round(storm.hold_off_s * 1e6)
        return settings

    def _start_head(self, number: int) -> None:
        settings = self.settings | {"balancers": self.storm.gateways, "me": number}
        config = {
            "name": f"n{number}", "listen": "127.0.0.1:0", "discovery": self.list.address,
            "seed": f"{self.storm.seed:x}{number:04x}", "limits": {"memory_mb": 192, "sockets": 1024},
            "known": self.list.listing(True), "settings": settings,
        }  # fmt: skip
        clock = ReactorClock(
            self.reactor, lambda: round(self.reactor.seconds() * 1e9), lambda: UNIX_S * 10**9
        )
        read = configuration.read(config, {})
        if self.storm.baseline:
            read = replace(read, settings=replace(read.settings, recovery_queue=False))
        head = PlatformGateway(self.reactor, read, make_logger(self.log), clock)
        gateway: Any = head.engine.policy.gateway
        handle = gateway.handle

        def timed(now: int, events: Any) -> Any:
            begun = time.perf_counter_ns()
            acts = handle(now, events)
            self.decisions[0] += len(events)
            self.decisions[1] += time.perf_counter_ns() - begun
            return acts

        gateway.handle = timed
        head.start()
        self.heads.append(head)

    def _populate(self) -> list[Terminal]:
        storm, terminals = self.storm, list[Terminal]()
        kinds = mixture(storm.clients)
        for brick in self.bricks:
            rate = storm.load * CAPACITY * brick.model.machine.power / self.mean_work_s
            volumes, ends = list[Volume](), list[float]()
            first = int(stream(storm.seed, "volumes", brick.number).integers(storm.gateways))
            for n in range(storm.volumes):
                name, share, price, *_ = PLANS[n % 3]
                # Each volume comes through up to three heads, dealt in turn from one that is drawn.
                heads = tuple((first + n + m) % storm.gateways for m in range(min(3, storm.gateways)))
                made = Volume(brick.number * 1000 + n + 1, name, price, brick.number, heads)
                volumes.append(made)
                ends.append((ends[-1] if ends else 0.0) + share / (storm.volumes / 3))
            count = max(1, round(rate * storm.mean_s))
            for n in range(count):
                rng = stream(storm.seed, "terminal", brick.number, n)
                # Terminals stand evenly among the volumes, by their shares.
                at = bisect.bisect(ends, (n + 0.5) / count)
                volume = volumes[min(at, len(volumes) - 1)]
                kind = kinds[int(rng.integers(len(kinds)))]
                head = volume.heads[n % len(volume.heads)]
                terminals.append(Terminal(self, len(terminals), kind, volume, head, count / rate, rng))
        return terminals

    # ---- what terminals need ----

    def draw(self, rng: np.random.Generator, level: float) -> Ask:
        write = bool(rng.random() < WRITES)
        units = int(np.searchsorted(self._size_share, level)) + 1
        core_s = lognormal(rng, units * UNIT_S * CLASS_WORK[write], WORK_CV)
        key = int(rng.integers(1, 1 << 63))
        return Ask(write, units, core_s, key, *((0.6, 5.0) if write else (0.5, 3.0)))

    def name(self, ask: Ask) -> str:
        self._names += 1
        name = f"{self._names:016x}"
        self._asks[name] = ask
        return name

    def head_address(self, head: int) -> tuple[str, int]:
        address: tuple[str, int] = self.heads[head].address
        return address

    # ---- the rule on cold nodes, by what the first message says ----

    def _watch_cold(self) -> None:
        rules = self.settings["guarantees"]
        span, warm, low = rules["fall_us"] / 1e6, rules["ramp_time_us"] / 1e6, rules["cold_share"]
        self.cold = [ColdWindow(span) for _ in self.bricks]

        def arrived(brick: Brick, name: str) -> None:
            began, now = brick.model.started_at, self.reactor.seconds()
            if began is not None and now - began < warm:
                share = low + (1 - low) * (now - began) / warm
                units = self._asks[name].units
                self.cold[brick.number].add(now, units, self.cold_units * share / low)
            if not self.listed[brick.number]:
                self.observer.counts["sent_unlisted"] += 1

        self.listed = [True] * len(self.bricks)
        for brick in self.bricks:
            brick.arrived = lambda name, brick=brick: arrived(brick, name)  # type: ignore[misc]

    # ---- the day ----

    def play(self) -> Figures:
        storm, reactor, brick = self.storm, self.reactor, self.bricks[0]
        wall = time.perf_counter()
        for terminal in self.terminals:
            terminal.start()
        reactor.advance(CALM_S)
        fails = reactor.seconds()
        brick.die()
        reactor.callLater(storm.stale_s, self._news, "Gone", 0.0)
        back = fails + storm.outage_s
        reactor.callLater(storm.outage_s, brick.start)
        news = back + storm.stale_s
        self._news_later(back, back)
        if storm.restart_s:
            again = back + storm.restart_s
            reactor.callLater(again - fails, brick.die)
            reactor.callLater(again + 0.5 - fails, brick.start)
            self._news_later(again + 0.5, again + 0.5)
            news = again + 0.5 + storm.stale_s
        reactor.advance(news + AFTER_S - fails)
        end = reactor.seconds()
        for terminal in self.terminals:
            terminal.stop()
        if "level=error" in self.log.getvalue():
            error = self.log.getvalue().partition("level=error")[2][:300]
            raise RuntimeError(f"a head logged an error: {error}")
        figures = self._figures(fails, news, end)
        figures.notes.append(f"{time.perf_counter() - wall:.1f} s of real time")
        return figures

    def _news_later(self, at: float, started: float) -> None:
        unix = UNIX_S + (started - self.start_s)
        self.reactor.callLater(at + self.storm.stale_s - self.reactor.seconds(), self._news, "Ready", unix)

    def _news(self, phase: str, up_since_s: float) -> None:
        # For the rule, what was written before the news but came after it still counts as told: 250 ms.
        self.listed[0] = phase == "Ready"
        self.list.phase(self.bricks[0], phase, up_since_s)

    def _figures(self, fails: float, news: float, end: float) -> Figures:
        seen, kinds = self.observer, mixture(self.storm.clients)
        last = end - 5  # what falls due in the last seconds may still be under way
        recovered = None
        second = news
        while second + 5 <= last:
            part = seen.service(second, second + 5, node=0)
            if part is not None and part >= 0.95:
                recovered = second - news
                break
            second += 1
        until = news + 30
        heed = {kind.name for kind in kinds if kind.heeds}
        burst = seen.burst(fails, news + (recovered if recovered is not None else AFTER_S), heed)
        return Figures(
            recovery_s=recovered,
            steady=seen.service(fails - CALM_S + 2, fails - 1, node=0) or 0.0,
            cold_peak=round(self.cold[0].peak, 3),
            cold_pressure=round(self.bricks[0].model.pressure, 3),
            burst=burst,
            counts=dict(sorted((Counter(seen.counts)).items())),
            most_attempts=seen.most_attempts,
            by_plan={p[0]: seen.service(news, until, node=0, plan=p[0]) or 0.0 for p in PLANS},
            by_kind={k.name: seen.service(news, until, node=0, kind=k.name) or 0.0 for k in kinds},
            by_5s=[round(seen.service(news + 5 * n, news + 5 * n + 5, node=0) or 0.0, 3) for n in range(8)],
            decision_us=self.decisions[1] / max(1, self.decisions[0]) / 1000,
        )
