"""Simulation of a retry storm: a node fails, its clients retry in various ways, and it restarts cold."""

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
from .bricks import DelayedDiscovery, StandInNode
from .draws import lognormal, stream
from .nodes import Machine
from .observer import Observer, SlowStartWindow
from .terminals import KINDS, ClientKind, RequestSpec, Terminal, Volume

UNIX_START_S = 1_700_000_000
UNIT_WORK_S = 0.026  # core-seconds of a unit at speed 1
UNITS = tuple(range(1, 9))
CLASS_WORK = {False: 0.9, True: 1.2}  # of a read and of a write
WRITE_SHARE = 0.35
WORK_CV = 0.3  # in addition to that of the sizes, 0.7; together within the specified range
# Name, share of the load, price, reserved rate over mean rate (all demand is within it), priority weight.
PLANS = (
    ("basic", 0.41, 0.72, 1.1, 1.0),
    ("standard", 0.30, 0.9, 1.1, 3.0),
    ("priority", 0.29, 1.4, 1.1, 3.0),
)
# The configured share of what the slowest node can bear at its start, so that the settings suit every node.
INITIAL_UNITS_MARGIN = 0.45
MIN_SPEED = 0.85
RATED_SHARE = 0.9  # the part of a node's capacity that a load of 1 uses
STEADY_S = 15.0  # of steady load before the outage
OBSERVED_S = 45.0  # after the notification that the node is ready


@dataclass(slots=True, frozen=True)
class Storm:
    """The parameters of one simulation."""

    gateways: int = 3
    nodes: int = 2
    clients: str = "mixed"
    outage_s: float = 30.0
    discovery_delay_s: float = 3.0  # from a change of the node to its notification
    volumes: int = 6  # of each node
    load: float = 0.8
    seed: int = 1
    baseline: bool = False
    max_retry_after_s: float = 0.5  # the largest Retry-After that clients honor
    mean_gap_s: float = 4.0  # mean time between two operations of a terminal
    restart_s: float = 0.0  # if set, the node restarts again this long after its start


@dataclass(slots=True)
class Figures:
    """The results of a simulation, for the node that fails.

    ``recovery_s`` is the time from the notification that the node is ready until 95% of the value due within
    5 s is served in time, None if that does not happen; ``steady`` is the share served before the outage.
    ``by_5s`` has the shares in the eight spans of 5 s after the notification.
    """

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


def mixture(name: str) -> list[ClientKind]:
    """Return the kinds of clients of a mixture: ``mixed`` for all, or names joined by ``+``."""
    if name == "mixed":
        return list(KINDS.values())
    return [KINDS[part] for part in name.split("+")]


class StormWorld:
    """Complete gateways in virtual time, between terminals and nodes."""

    def __init__(self, storm: Storm) -> None:
        self.storm = storm
        self.reactor = MemoryReactor()
        self.reactor.advance(1_000_000.0)
        self.start_s = self.reactor.seconds()
        self.observer = Observer()
        self._requests: dict[str, RequestSpec] = {}
        self._last_request = 0
        weights = np.array([0.49 * 0.51 ** (units - 1) for units in UNITS])
        self._size_share = np.cumsum(weights / weights.sum())
        self.mean_units = float((weights * np.array(UNITS)).sum() / weights.sum())
        self.mean_work_s = (
            self.mean_units
            * UNIT_WORK_S
            * (CLASS_WORK[True] * WRITE_SHARE + CLASS_WORK[False] * (1 - WRITE_SHARE))
        )
        machines = [self._machine(n) for n in range(storm.nodes)]
        self.nodes = [
            StandInNode(
                self.reactor, n, machine, self.observer, lambda request_id: self._requests[request_id].core_s
            )
            for n, machine in enumerate(machines)
        ]
        self.discovery = DelayedDiscovery(self.reactor, "list", lambda at: None)
        for node in self.nodes:
            self.discovery.add(node)
        self.settings = self._settings()
        self.gateways: list[Any] = []
        self.decisions = [0, 0]  # events, nanoseconds
        self.log = io.StringIO()
        for n in range(storm.gateways):
            self._start_gateway(n)
        self.terminals = self._populate()
        self._watch_slow_start()

    def _machine(self, number: int) -> Machine:
        rng = stream(self.storm.seed, "machine", number)
        return Machine(
            slots=int(rng.integers(4, 7)), queue_size=int(rng.integers(52, 147)),
            speed=float(rng.uniform(MIN_SPEED, 1.1)),
            initial_share=float(rng.uniform(0.31, 0.5)), warm_up_s=float(rng.uniform(7.9, 17.0)),
        )  # fmt: skip

    def _settings(self) -> dict[str, Any]:
        storm, settings = self.storm, defaults.settings()
        capacity = sum(node.model.machine.capacity for node in self.nodes) / storm.nodes
        # units a second of one node
        rate = storm.load * RATED_SHARE * capacity / self.mean_work_s * self.mean_units
        settings["contracts"] = [
            {"name": name, "rate": rate * share / (storm.volumes / 3), "pays": price, "parts": parts,
             "reserve": reserve * rate * share / (storm.volumes / 3)}
            for name, share, price, reserve, parts in PLANS
        ]  # fmt: skip
        rules, machine = settings["guarantees"], self.nodes[0].model.machine
        self.initial_units = float(
            int(INITIAL_UNITS_MARGIN * machine.overload_factor * rules["cold_share"] * machine.cores
                * MIN_SPEED / UNIT_WORK_S * rules["fall_us"] / 1e6)
        )  # fmt: skip
        settings["domain"] |= {
            "cold_bears": self.initial_units,
            "usual_units": round(self.mean_units, 2),
            "slots_total": storm.nodes,
        }
        settings["clients"] = {"marks_retry": all(kind.marks_retries for kind in mixture(storm.clients))}
        settings["permissions"]["max_retry_after_us"] = round(storm.max_retry_after_s * 1e6)
        return settings

    def _start_gateway(self, number: int) -> None:
        settings = self.settings | {"balancers": self.storm.gateways, "me": number}
        config = {
            "name": f"n{number}", "listen": "127.0.0.1:0", "discovery": self.discovery.address,
            "seed": f"{self.storm.seed:x}{number:04x}", "limits": {"memory_mb": 192, "sockets": 1024},
            "known": self.discovery.listing(True), "settings": settings,
        }  # fmt: skip
        clock = ReactorClock(
            self.reactor, lambda: round(self.reactor.seconds() * 1e9), lambda: UNIX_START_S * 10**9
        )
        loaded = configuration.read(config, {})
        if self.storm.baseline:
            loaded = replace(loaded, settings=replace(loaded.settings, recovery_queue=False))
        gateway = PlatformGateway(self.reactor, loaded, make_logger(self.log), clock)
        policy: Any = gateway.engine.policy.gateway
        handle = policy.handle

        def timed(now: int, events: Any) -> Any:
            started_ns = time.perf_counter_ns()
            actions = handle(now, events)
            self.decisions[0] += len(events)
            self.decisions[1] += time.perf_counter_ns() - started_ns
            return actions

        policy.handle = timed
        gateway.start()
        self.gateways.append(gateway)

    def _populate(self) -> list[Terminal]:
        storm, terminals = self.storm, list[Terminal]()
        kinds = mixture(storm.clients)
        for node in self.nodes:
            rate = storm.load * RATED_SHARE * node.model.machine.capacity / self.mean_work_s
            volumes, bounds = list[Volume](), list[float]()
            first = int(stream(storm.seed, "volumes", node.number).integers(storm.gateways))
            for n in range(storm.volumes):
                name, share, price, *_ = PLANS[n % 3]
                # Each volume is used through up to three gateways, in turn from a random first one.
                gateways = tuple((first + n + m) % storm.gateways for m in range(min(3, storm.gateways)))
                new_volume = Volume(node.number * 1000 + n + 1, name, price, node.number, gateways)
                volumes.append(new_volume)
                bounds.append((bounds[-1] if bounds else 0.0) + share / (storm.volumes / 3))
            count = max(1, round(rate * storm.mean_gap_s))
            for n in range(count):
                rng = stream(storm.seed, "terminal", node.number, n)
                # Terminals are distributed over the volumes by their shares.
                at = bisect.bisect(bounds, (n + 0.5) / count)
                volume = volumes[min(at, len(volumes) - 1)]
                kind = kinds[int(rng.integers(len(kinds)))]
                gateway = volume.gateways[n % len(volume.gateways)]
                terminals.append(Terminal(self, len(terminals), kind, volume, gateway, count / rate, rng))
        return terminals

    # ---- the terminals' environment ----

    def draw_request(self, rng: np.random.Generator, level: float) -> RequestSpec:
        """Draw a request whose size is the quantile ``level`` of the sizes."""
        write = bool(rng.random() < WRITE_SHARE)
        units = int(np.searchsorted(self._size_share, level)) + 1
        core_s = lognormal(rng, units * UNIT_WORK_S * CLASS_WORK[write], WORK_CV)
        key = int(rng.integers(1, 1 << 63))
        return RequestSpec(write, units, core_s, key, *((0.6, 5.0) if write else (0.5, 3.0)))

    def new_request_id(self, spec: RequestSpec) -> str:
        """Return the id of a new try of this request."""
        self._last_request += 1
        request_id = f"{self._last_request:016x}"
        self._requests[request_id] = spec
        return request_id

    def gateway_address(self, gateway: int) -> tuple[str, int]:
        """Return the host and port that a gateway listens on."""
        address: tuple[str, int] = self.gateways[gateway].address
        return address

    # ---- the rule on cold nodes, by the settings ----

    def _watch_slow_start(self) -> None:
        rules = self.settings["guarantees"]
        span_s, warm_up_s, initial = rules["fall_us"] / 1e6, rules["ramp_time_us"] / 1e6, rules["cold_share"]
        self.windows = [SlowStartWindow(span_s) for _ in self.nodes]

        def on_request(node: StandInNode, request_id: str) -> None:
            started_at, now = node.model.started_at, self.reactor.seconds()
            if started_at is not None and now - started_at < warm_up_s:
                share = initial + (1 - initial) * (now - started_at) / warm_up_s
                units = self._requests[request_id].units
                self.windows[node.number].add(now, units, self.initial_units * share / initial)
            if not self.listed[node.number]:
                self.observer.counts["sent_unlisted"] += 1

        self.listed = [True] * len(self.nodes)
        for node in self.nodes:
            node.on_request = lambda request_id, node=node: on_request(node, request_id)  # type: ignore[misc]

    # ---- the run ----

    def play(self) -> Figures:
        """Run the simulation.

        Raises RuntimeError if a gateway logs an error.
        """
        storm, reactor, node = self.storm, self.reactor, self.nodes[0]
        wall_start = time.perf_counter()
        for terminal in self.terminals:
            terminal.start()
        reactor.advance(STEADY_S)
        failed_at = reactor.seconds()
        node.kill()
        reactor.callLater(storm.discovery_delay_s, self._notify, "Gone", 0.0)
        restarted_at = failed_at + storm.outage_s
        reactor.callLater(storm.outage_s, node.start)
        notified_at = restarted_at + storm.discovery_delay_s
        self._notify_later(restarted_at, restarted_at)
        if storm.restart_s:
            second_start = restarted_at + storm.restart_s
            reactor.callLater(second_start - failed_at, node.kill)
            reactor.callLater(second_start + 0.5 - failed_at, node.start)
            self._notify_later(second_start + 0.5, second_start + 0.5)
            notified_at = second_start + 0.5 + storm.discovery_delay_s
        reactor.advance(notified_at + OBSERVED_S - failed_at)
        end = reactor.seconds()
        for terminal in self.terminals:
            terminal.stop()
        if "level=error" in self.log.getvalue():
            error = self.log.getvalue().partition("level=error")[2][:300]
            raise RuntimeError(f"a gateway logged an error: {error}")
        figures = self._figures(failed_at, notified_at, end)
        figures.notes.append(f"{time.perf_counter() - wall_start:.1f} s of real time")
        return figures

    def _notify_later(self, at: float, started_at: float) -> None:
        up_since_s = UNIX_START_S + (started_at - self.start_s)
        self.reactor.callLater(
            at + self.storm.discovery_delay_s - self.reactor.seconds(), self._notify, "Ready", up_since_s
        )

    def _notify(self, phase: str, up_since_s: float) -> None:
        # The rule allows 250 ms for requests written before the notification; this count is stricter.
        self.listed[0] = phase == "Ready"
        self.discovery.notify(self.nodes[0], phase, up_since_s)

    def _figures(self, failed_at: float, notified_at: float, end: float) -> Figures:
        observer, kinds = self.observer, mixture(self.storm.clients)
        last = end - 5  # operations that fall due in the last seconds may still be in progress
        recovery_s = None
        start = notified_at
        while start + 5 <= last:
            service = observer.service(start, start + 5, node=0)
            if service is not None and service >= 0.95:
                recovery_s = start - notified_at
                break
            start += 1
        until = notified_at + 30
        honoring = {kind.name for kind in kinds if kind.honors_retry_after}
        burst = observer.burst(
            failed_at, notified_at + (recovery_s if recovery_s is not None else OBSERVED_S), honoring
        )
        return Figures(
            recovery_s=recovery_s,
            steady=observer.service(failed_at - STEADY_S + 2, failed_at - 1, node=0) or 0.0,
            cold_peak=round(self.windows[0].peak, 3),
            cold_pressure=round(self.nodes[0].model.pressure, 3),
            burst=burst,
            counts=dict(sorted((Counter(observer.counts)).items())),
            most_attempts=observer.max_attempts,
            by_plan={p[0]: observer.service(notified_at, until, node=0, plan=p[0]) or 0.0 for p in PLANS},
            by_kind={k.name: observer.service(notified_at, until, node=0, kind=k.name) or 0.0 for k in kinds},
            by_5s=[
                round(observer.service(notified_at + 5 * n, notified_at + 5 * n + 5, node=0) or 0.0, 3)
                for n in range(8)
            ],
            decision_us=self.decisions[1] / max(1, self.decisions[0]) / 1000,
        )
