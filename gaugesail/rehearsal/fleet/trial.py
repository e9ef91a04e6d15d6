"""A trial: real gateways under a moving load and faults that a seed or a timeline determines."""

from __future__ import annotations

import errno
import random
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path
from typing import Any

from ...lab.fleet import Limit
from ..faults.shim import Call, Faults, NoCompiler, build
from ..peers import Directory
from .heads import GatewayProcess, free_ports
from .relay import Relay, RelayMesh
from .world import ANSWER_SLACK_S, Clients, FleetJudge, MovingDemand, Node, TrialCounts, gateway_config

KEY = "a key of the rig alone, on loopback"
READY_TIMEOUT_S = 20.0  # within which all gateways must be ready, else GatewaysNotReady
FAULT_KINDS = {  # of faults: each names a method of Rig; with its weight in random draws
    "kill": 3.0, "stop": 3.0, "term": 1.5, "store_lost": 1.0, "store_old": 1.5, "restart_all": 0.5,
    "cut": 2.0, "one_way": 2.0, "halves": 1.5, "drop": 2.0, "delay": 2.0, "duplicate": 1.5, "reorder": 1.5,
    "trickle": 1.5, "lower_whole": 1.0, "raise_whole": 1.0, "step_clock": 1.5, "disk_fails": 1.0,
}  # fmt: skip
CLOCK_STEPS_S = (-86400.0, -3600.0, -3.0, 3.0, 3600.0, 86400.0)
DISK_ERRORS = (errno.ENOSPC, errno.EIO)
ALL_CALLS = 1_000_000  # that is, until the fault is cleared
FINAL_SPAN_S = 4.0  # of the recovery, in which ``used_after`` is measured
STORE_LOSS_INTERVAL_S = 20.0  # between losses of replicas' stores: no fleet survives the loss of most at once
DRAIN_TIMEOUT_S = 8.0  # at the end, without new faults, for pending requests to be answered


@dataclass(slots=True, frozen=True)
class Trial:
    """The parameters of a trial."""

    gateways: int = 5
    replicas: int = 3
    seconds: float = 60.0
    seed: int = 1
    rate: float = 100.0  # units a second, the limit of the whole fleet
    burst: float = 80.0  # units
    demand_factor: float = 1.3  # demand as a multiple of ``rate``
    lease_ms: int = 2000
    faults: bool = True
    timeline: tuple[tuple[float, str], ...] = ()  # seconds and faults, in place of random ones
    fleet: bool = True
    recovery_s: float = 16.0  # seconds under load after the last fault


@dataclass(slots=True)
class TrialResult:
    """The outcome of a trial."""

    counts: TrialCounts
    used: float  # share of the limit
    used_after: float  # the same, at the end of the recovery
    faults: Counter[str]
    events: list[tuple[float, str, str]]  # elapsed seconds, fault, target
    errors: list[str]
    started_at: float


class GatewaysNotReady(Exception):
    """The gateways were not ready within READY_TIMEOUT_S; the text shows the ends of their logs."""


class Rig:
    """A running trial."""

    def __init__(self, reactor: Any, trial: Trial, folder: Path) -> None:
        self.reactor, self.trial, self.folder = reactor, trial, folder
        self.rng = random.Random(trial.seed)
        self.limit = Limit(trial.rate, trial.burst)
        self.judge = FleetJudge(reactor.seconds, self.limit)
        self.directory = Directory(reactor, "list", lambda at: None)
        self.nodes = [Node(reactor, f"node-{shard}", shard, self.judge) for shard in (0, 1)]
        for node in self.nodes:
            self.directory.add(node)
        names = [f"h{n}" for n in range(trial.gateways)]
        ports = free_ports(3 * trial.gateways)
        self.gateways = {
            name: GatewayProcess(name, folder / name, *ports[3 * n : 3 * n + 3])
            for n, name in enumerate(names)
        }
        self.system_faults = self._build_system_faults()
        at = {name: ("127.0.0.1", gateway.fleet_port) for name, gateway in self.gateways.items()}
        self.mesh = RelayMesh(reactor, trial.seed + 1, at if trial.fleet else {})
        self.replicas = names[: trial.replicas]
        self.clients: dict[str, Clients] = {}
        for name, gateway in self.gateways.items():
            gateway.with_fleet = trial.fleet
            gateway.write_files(self._config(gateway), self._fleet(gateway))
            self.clients[name] = Clients(
                reactor, name, ("127.0.0.1", gateway.listen_port), trial.gateways, self.judge,
                lambda name=name: self._excused(name),  # type: ignore[misc]
            )  # fmt: skip
        self.demand: MovingDemand | None = None
        self.faults: Counter[str] = Counter()
        self.events: list[tuple[float, str, str]] = []
        self.started_at = 0.0
        self._excused_until: dict[str, float] = {}  # by gateway: until then its process has just been ended
        self._under_process_fault: set[str] = set()  # gateways whose process a fault ends or pauses now
        self._scheduled: list[Any] = []
        self._ended = False
        self._store_lost_at = -STORE_LOSS_INTERVAL_S  # when a replica's store was last lost or replaced
        self._limits = [(0.0, trial.rate)]  # when each limit was set, and its rate

    def _build_system_faults(self) -> dict[str, Faults]:
        """Create the control of each gateway's wall clock and system calls; none without a C compiler."""
        try:
            library = build(self.folder)
        except NoCompiler:
            return {}
        found = {name: Faults(library, gateway.folder / "faults") for name, gateway in self.gateways.items()}
        for name, gateway in self.gateways.items():
            gateway.environ = found[name].environment()
        return found

    def _config(self, gateway: GatewayProcess) -> dict[str, Any]:
        index = list(self.gateways).index(gateway.name)
        return gateway_config(
            self.directory,
            gateway.listen_port,
            gateway.management_port,
            self.limit,
            self.trial.gateways,
            index,
        )

    def _fleet(self, gateway: GatewayProcess) -> dict[str, Any]:
        peers = self.mesh.peers(gateway.name)
        return {
            "fleet": {
                "name": "rig", "head": gateway.name, "listen": f"127.0.0.1:{gateway.fleet_port}", "key": KEY,
                "keepers": self.replicas, "folder": str(gateway.folder / "store"),
            },
            "budgets": {"lease_ms": self.trial.lease_ms, "most_heads": self.trial.gateways},
            "peer": [{"name": name, "address": f"{at[0]}:{at[1]}"} for name, at in peers.items()],
        }  # fmt: skip

    # ---- time ----

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedule a call of a fault, unless the trial has ended; ``_clear_faults`` cancels it."""
        if not self._ended:
            self._scheduled.append(self.reactor.callLater(seconds, call))

    def run_until(self, done: Callable[[], bool], seconds: float) -> bool:
        """Run the reactor until ``done`` returns true; returns False after ``seconds``."""
        end = self.reactor.seconds() + seconds
        while not done():
            if self.reactor.seconds() >= end:
                return False
            self.reactor.iterate(0.002)
        return True

    @property
    def elapsed_s(self) -> float:
        """Seconds since the load began."""
        return float(self.reactor.seconds()) - self.started_at

    # ---- the trial ----

    def play(self, progress: Callable[[Rig], None] = lambda rig: None) -> TrialResult:
        """Run the trial from the start of the processes to their end.  Raises GatewaysNotReady."""
        trial = self.trial
        try:
            for gateway in self.gateways.values():
                gateway.start()
            if not self.run_until(self.all_ready, READY_TIMEOUT_S):
                raise GatewaysNotReady("\n".join(self._log_tails()))
            self.started_at = self.reactor.seconds()
            self.demand = MovingDemand(
                self.reactor, trial.seed + 2, self.clients, trial.demand_factor * trial.rate
            )  # fmt: skip
            if trial.timeline:
                for when, name in trial.timeline:
                    self.call_later(when, lambda name=name: self._inject(name))  # type: ignore[misc]
            elif trial.faults:
                self._schedule_faults()
            shown = 0.0
            while self.elapsed_s < trial.seconds:
                self.reactor.iterate(0.002)
                if self.elapsed_s >= shown:
                    shown += 0.25
                    progress(self)
            self._clear_faults()
            if trial.faults or trial.timeline:  # measure how much of the limit is used after all faults
                for gateway in self.gateways.values():
                    gateway.start()
                self.run_until(lambda: False, trial.recovery_s)
            after = self.elapsed_s
            self.demand.stopped = True
            self.run_until(
                lambda: self._all_answered() and self.elapsed_s > after + 2 * ANSWER_SLACK_S, DRAIN_TIMEOUT_S
            )
            for clients in self.clients.values():
                self.judge.counts.lost += clients.overdue(self.reactor.seconds())
        finally:
            self.end()
        return TrialResult(
            self.judge.counts, self.used(0.3 * trial.seconds, trial.seconds),
            self.used(after - FINAL_SPAN_S, after), self.faults, self.events,
            [f"{name}: {line}" for name, gateway in self.gateways.items() for line in gateway.errors()],
            self.started_at,
        )  # fmt: skip

    def used(self, since: float, until: float) -> float:
        """The share of the limit that reached the nodes from ``since`` to ``until``, in elapsed seconds."""
        low, high = self.started_at + since, self.started_at + until
        units = sum(units for at, _, units in self.judge.counts.arrivals if low <= at < high)
        changes = [*self._limits, (high, 0.0)]
        allowed = 0.0
        for (at, rate), (next_at, _) in pairwise(changes):
            allowed += rate * max(0.0, min(next_at, high) - max(at, low))
        return units / allowed

    def all_ready(self) -> bool:
        """Whether all gateways listen and, in a fleet, have a lease, as their logs show."""
        logs = [gateway.log.read_text(errors="replace") if gateway.log.exists() else "" for gateway in
                 self.gateways.values()]  # fmt: skip
        wanted = ["listening"] + (["fleet_lease_acquired"] if self.trial.fleet else [])
        return all(word in text for text in logs for word in wanted)

    def _log_tails(self) -> list[str]:
        return [f"{name}: {line}" for name, gateway in self.gateways.items() if gateway.log.exists()
                for line in gateway.log.read_text(errors="replace").splitlines()[-3:]]  # fmt: skip

    def _all_answered(self) -> bool:
        counts = self.judge.counts
        return counts.asked <= counts.served + counts.refused + counts.failed + counts.lost + counts.unreached

    def _excused(self, name: str) -> bool:
        """Whether the trial has just ended the process of the gateway, so that it cannot answer."""
        gateway = self.gateways[name]
        return self._ended or not gateway.alive or self.reactor.seconds() < self._excused_until.get(name, 0.0)

    def _clear_faults(self) -> None:
        """End all faults: cancel the scheduled ones, restore the relays and resume paused gateways."""
        for call in self._scheduled:
            if call.active():
                call.cancel()
        self._clear_system_faults()
        for relay in self.mesh.relays.values():
            relay.impairment.clear()
            relay.impairment_changed()
        for gateway in self.gateways.values():
            if gateway.paused:
                gateway.resume()

    def end(self) -> None:
        """End all processes and close all connections."""
        self._ended = True
        if self.demand is not None:
            self.demand.stopped = True
        self._clear_faults()
        for clients in self.clients.values():
            clients.close()
        for gateway in self.gateways.values():
            gateway.kill()
        self.mesh.close()
        for listener in [*self.nodes, self.directory]:
            listener.close([])
        self.run_until(lambda: False, 0.05)

    # ---- faults ----

    def _schedule_faults(self) -> None:
        """Inject random faults, ``_mean_gap_s`` apart; each kind occurs once before any occurs again."""
        order = list(FAULT_KINDS)
        self.rng.shuffle(order)

        def inject_next() -> None:
            if self.elapsed_s > self.trial.seconds - 1.0:
                return
            name = (
                order.pop() if order else self.rng.choices(list(FAULT_KINDS), list(FAULT_KINDS.values()))[0]
            )
            self._inject(name)
            self.call_later(self.rng.expovariate(1 / self._mean_gap_s) + 0.2, inject_next)

        self.call_later(1.0, inject_next)

    @property
    def _mean_gap_s(self) -> float:
        """Mean seconds between faults, short enough that each kind occurs in a trial of a minute."""
        return min(1.6, self.trial.seconds / (len(FAULT_KINDS) + 6) - 0.2)

    def _inject(self, name: str) -> None:
        kind, _, target = name.partition(" ")
        self._target = target
        self.faults[kind] += 1
        getattr(self, kind)()
        self._target = ""

    _target = ""  # the gateway that the fault being injected names; empty: one is chosen at random

    def _record(self, what: str, target: str) -> None:
        self.events.append((self.elapsed_s, what, target))

    def _pick_gateway(self) -> GatewayProcess | None:
        """A running gateway, the target if one is named, that is under no fault of its process."""
        idle = [
            gateway
            for name, gateway in self.gateways.items()
            if gateway.alive and name not in self._under_process_fault
        ]
        if self._target:
            idle = [gateway for gateway in idle if gateway.name == self._target]
        return self.rng.choice(idle) if idle else None

    def _occupy(self, gateway: GatewayProcess, seconds: float, then: Callable[[], None]) -> None:
        """Keep other faults of its process off a gateway for ``seconds``, then call ``then``."""
        self._under_process_fault.add(gateway.name)

        def release() -> None:
            self._under_process_fault.discard(gateway.name)
            then()

        self.call_later(seconds, release)

    def _kill_process(self, gateway: GatewayProcess) -> None:
        self._excused_until[gateway.name] = self.reactor.seconds() + 2.0
        gateway.kill()
        self.clients[gateway.name].abort_connections()

    def kill(self) -> None:
        """SIGKILL, and a restart after 0.1 to 5 s."""
        if (gateway := self._pick_gateway()) is not None:
            self._record("killed", gateway.name)
            self._kill_process(gateway)
            self._occupy(gateway, self.rng.uniform(0.1, 5.0), gateway.start)

    def stop(self) -> None:
        """SIGSTOP at any instruction, mostly until after the end of the lease; then SIGCONT."""
        if (gateway := self._pick_gateway()) is not None:
            self._record("paused", gateway.name)
            gateway.pause()
            self._occupy(gateway, self.rng.uniform(0.3, 2.5 * self.trial.lease_ms / 1000), gateway.resume)

    def term(self) -> None:
        """SIGTERM, and a restart when the process has ended."""
        if (gateway := self._pick_gateway()) is not None:
            self._record("terminated", gateway.name)
            if gateway.starting:
                return
            self._excused_until[gateway.name] = self.reactor.seconds() + 12.0
            gateway.term()

            def again() -> None:
                if gateway.alive:
                    self._occupy(gateway, 0.2, again)
                else:
                    gateway.start()

            self._occupy(gateway, 1.0, again)

    def _may_lose_store(self, gateway: GatewayProcess) -> bool:
        """Whether the fleet survives the loss of its store now; if so, the loss is recorded."""
        if gateway.name in self.replicas:
            if self.elapsed_s - self._store_lost_at < STORE_LOSS_INTERVAL_S:
                return False
            self._store_lost_at = self.elapsed_s
        return True

    def store_lost(self) -> None:
        """SIGKILL, and a restart without the store."""
        if (gateway := self._pick_gateway()) is not None and self._may_lose_store(gateway):
            self._record("killed, store lost", gateway.name)
            self._kill_process(gateway)
            gateway.delete_store()
            self._occupy(gateway, self.rng.uniform(0.1, 2.0), gateway.start)

    def store_old(self) -> None:
        """SIGKILL, and a restart with a copy of the store that is 2.5 to 6 s old."""
        gateway = self._pick_gateway()
        copy = gateway.read_store() if gateway is not None else None
        if gateway is None or not copy:
            return

        def put_back() -> None:
            if gateway.name in self._under_process_fault or not self._may_lose_store(gateway):
                return
            self._record("killed, old store restored", gateway.name)
            self._kill_process(gateway)
            gateway.restore_store(copy)
            self._occupy(gateway, self.rng.uniform(0.1, 2.0), gateway.start)

        self.call_later(self.rng.uniform(2.5, 6.0), put_back)

    def restart_all(self) -> None:
        """SIGKILL and restart of all gateways."""
        self._record("killed", "all")
        for name, gateway in self.gateways.items():
            if gateway.alive and name not in self._under_process_fault:
                self._kill_process(gateway)
                self._occupy(gateway, self.rng.uniform(0.05, 1.0), gateway.start)

    def _impair(self, relays: list[Relay], change: Callable[[Relay], None], low: float, high: float) -> None:
        """Apply ``change`` to relays, and clear them after ``low`` to ``high`` seconds."""
        for relay in relays:
            change(relay)
            relay.impairment_changed()

        def clear() -> None:
            for relay in relays:
                relay.impairment.clear()
                relay.impairment_changed()

        self.call_later(self.rng.uniform(low, high), clear)

    def _cut_off(self, side: set[str], both: bool, what: str) -> None:
        self._record(what, "+".join(sorted(side)))
        self._impair(
            self.mesh.between(side, both), lambda relay: setattr(relay.impairment, "cut", True), 1.0, 6.0
        )

    def _pick_name(self) -> str:
        return self._target or self.rng.choice(list(self.gateways))

    def cut(self) -> None:
        """Isolate one gateway from all others."""
        self._cut_off({self._pick_name()}, True, "cut off")

    def one_way(self) -> None:
        """Cut all that one gateway sends to the others, or all that they send to it."""
        side = {self._pick_name()}
        if self.rng.random() < 0.5:
            side = set(self.gateways) - side
        self._cut_off(side, False, "cut one way")

    def halves(self) -> None:
        """Partition the gateways into halves."""
        names = list(self.gateways)
        self._cut_off(set(self.rng.sample(names, len(names) // 2)), True, "partitioned into halves")

    def _relays_of_one(self) -> list[Relay]:
        """All relays from and to one gateway."""
        return self.mesh.between({self._pick_name()})

    def drop(self) -> None:
        """Lose a share of the datagrams of one gateway."""
        share = self.rng.uniform(0.1, 0.6)
        self._record("losses", f"{share:.0%}")
        self._impair(self._relays_of_one(), lambda relay: setattr(relay.impairment, "drop", share), 1.0, 5.0)

    def delay(self) -> None:
        """Delay all traffic of one gateway."""
        delay_s = self.rng.choice([0.05, 0.3, 1.5, 4.0])
        self._record("late", f"{delay_s} s")
        self._impair(
            self._relays_of_one(), lambda relay: setattr(relay.impairment, "delay", delay_s), 0.5, 4.0
        )

    def duplicate(self) -> None:
        """Duplicate most datagrams of one gateway, with a short jitter."""
        self._record("datagrams duplicated", "")

        def change(relay: Relay) -> None:
            relay.impairment.duplicate, relay.impairment.jitter = 0.7, 0.05

        self._impair(self._relays_of_one(), change, 1.0, 5.0)

    def reorder(self) -> None:
        """Reorder the datagrams of one gateway by a long jitter."""
        self._record("datagrams reordered", "")
        self._impair(self._relays_of_one(), lambda relay: setattr(relay.impairment, "jitter", 0.4), 1.0, 5.0)

    def trickle(self) -> None:
        """Throttle the TCP connections of one gateway."""
        self._record("throttled", "")
        self._impair(
            self._relays_of_one(), lambda relay: setattr(relay.impairment, "trickle", 2000), 1.0, 5.0
        )

    # ---- system faults ----

    def step_clock(self) -> None:
        """Step the wall clocks of some gateways, each by a random step of CLOCK_STEPS_S."""
        for name, faults in self.system_faults.items():
            if self.rng.random() < 0.5:
                step = self.rng.choice(CLOCK_STEPS_S)
                self._record("clock stepped", f"{name} {step:+.0f} s")
                faults.step_wall_clock(step)

    def disk_fails(self) -> None:
        """Let writes and syncs fail for 0.3 to 3 s, mostly on several gateways."""
        names = [name for name in self.system_faults if self.rng.random() < 0.6]
        error = self.rng.choice(DISK_ERRORS)
        self._record("disk fails", "+".join(names))
        for name in names:
            for call in (Call.WRITE, Call.SYNC):
                self.system_faults[name].fail(call, error, ALL_CALLS)
        self.call_later(self.rng.uniform(0.3, 3.0), self._clear_system_faults)

    def _clear_system_faults(self) -> None:
        for faults in self.system_faults.values():
            faults.clear()

    # ---- limits ----

    def _change_limit(self, factor: float) -> None:
        """Multiply the limit by ``factor`` in the files of one gateway after another."""
        old = self.limit
        fresh = self.limit = Limit(old.rate * factor, old.burst * factor)
        self._record("whole", f"{fresh.rate:.0f}/s")
        self.judge.change_limit(fresh)
        self._limits.append((self.reactor.seconds(), fresh.rate))
        pending = set(self.gateways)

        def reload(gateway: GatewayProcess) -> None:
            if self.limit is not fresh:
                return
            if gateway.paused or not gateway.alive or gateway.starting:
                # It reads the file at its start; if it runs by then, it is signalled later.
                gateway.write_files(self._config(gateway), None)
                self.call_later(0.5, lambda: reload(gateway))
                return
            gateway.reload(self._config(gateway))
            pending.discard(gateway.name)
            if not pending:
                # Clients use both limits for 1.5 s (settings_transition.TRANSITION_US).  2.2 leases cover two
                # in a row under the old limit, with the drift of clocks.  The other seconds are a margin.
                self.judge.enforce_lower_limit(2.5 + 2.2 * self.trial.lease_ms / 1000 + 3.0)

        for gateway in self.gateways.values():
            self.call_later(self.rng.uniform(0.0, 2.0), lambda gateway=gateway: reload(gateway))  # type: ignore[misc]

    def lower_whole(self) -> None:
        """Lower the limit by a fifth, unless it is low already."""
        if self.limit.rate > 0.6 * self.trial.rate:
            self._change_limit(0.8)

    def raise_whole(self) -> None:
        """Raise the limit by a quarter, unless it is high already."""
        if self.limit.rate < 1.2 * self.trial.rate:
            self._change_limit(1.25)


def play(reactor: Any, trial: Trial, progress: Callable[[Rig], None] = lambda rig: None) -> TrialResult:
    """Run a trial in a temporary folder.  Raises GatewaysNotReady."""
    with tempfile.TemporaryDirectory(prefix="gaugesail-rig-") as folder:
        return Rig(reactor, trial, Path(folder)).play(progress)
