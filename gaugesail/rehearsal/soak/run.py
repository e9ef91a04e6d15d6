"""Runs a soak: gateways under load and overlapping faults, observed by the judge."""

from __future__ import annotations

import random
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..faults.shim import Faults, build
from ..fleet.heads import GatewayProcess, free_ports
from .clients import SoakClients
from .discovery import GatewayDiscovery, Membership
from .heads import READY_S, SoakGateway, summary
from .judge import Rule, SoakJudge, Violation
from .nodes import SoakNode
from .plan import LONGEST_DEADLINES_S, MEMORY_MB, SoakPlan
from .troubles import FAULT_KINDS, FaultContext

REACTOR_STEP_S = 0.002
SWEEP_INTERVAL_S = 0.1
NODE_EXIT_DELAY_S = (0.5, 2.0)  # from the start of its drain until a node has ended
BACKING_LISTENERS = 8
MAX_LATE_START_SHARE = 0.1  # of all starts may take longer than READY_S


@dataclass(slots=True)
class SoakResult:
    """The outcome of a soak."""

    counts: Counter[str]
    faults: Counter[str]
    violations: list[Violation]
    processes: dict[str, Any]
    failed_calls: int  # system calls that were made to fail


class Soak:
    """A running soak."""

    def __init__(self, reactor: Any, plan: SoakPlan, folder: Path) -> None:
        self.reactor, self.plan = reactor, plan
        self._rng = random.Random(plan.seed)
        self._active: list[str] = []
        self.faults: Counter[str] = Counter()
        self.judge = SoakJudge(reactor.seconds, lambda: tuple(self._active))
        self.membership = Membership()
        self._nodes_created = 0
        for shard in range(plan.nodes):
            self._new_node(shard)
        self._backing = self._new_servers()
        library = build(folder)
        ports = free_ports(3 * plan.gateways)
        self.gateways = [
            self._new_gateway(number, folder, library, ports[3 * number : 3 * number + 3])
            for number in range(plan.gateways)
        ]
        self._fault_context = FaultContext(
            reactor,
            self._rng,
            self.gateways,
            self._ready_nodes,
            self._replace,
            self.judge.exemptions,
            plan.has_crowds,
            plan.starves,
        )
        self.judge.on_violation = self._keep_trace
        self._closed = False

    def _keep_trace(self, gateway_name: str, detail: str) -> None:
        """Keep the trace of the gateway; the text of a violation begins with its request, if it has one."""
        for gateway in self.gateways:
            if gateway.name == gateway_name and not self._closed:
                gateway.traces.keep(detail.split()[0].rstrip(":"))

    def _new_node(self, shard: int) -> SoakNode:
        self._nodes_created += 1
        rng = random.Random(self._rng.random())
        node = SoakNode(self.reactor, f"node-{self._nodes_created}", shard, self.judge, rng)
        self.membership.nodes[node.name] = node
        return node

    def _new_servers(self) -> list[SoakNode]:
        """List the further servers, and return the few listeners that stand in for them."""
        if not self.plan.servers:
            return []
        backing = [
            SoakNode(self.reactor, f"backing-{number}", -1, self.judge, random.Random(self._rng.random()))
            for number in range(BACKING_LISTENERS)
        ]
        for shard in range(self.plan.nodes, self.plan.shards):
            entry = backing[shard % len(backing)].endpoint()
            self.membership.servers.append(entry | {"id": f"server-{shard}", "cell": shard})
        return backing

    def _new_gateway(self, number: int, folder: Path, library: Path, ports: list[int]) -> SoakGateway:
        name = f"h{number}"
        longest_deadline_s = self._rng.choice(LONGEST_DEADLINES_S)
        memory_mb = self._rng.choice(MEMORY_MB)
        process = GatewayProcess(name, folder / name, ports[0], ports[1], 0)
        discovery = GatewayDiscovery(self.reactor, name, self.membership)
        clients = SoakClients(
            self.reactor, name, ("127.0.0.1", ports[0]), self.judge, random.Random(self._rng.random()),
            self.plan, longest_deadline_s,
        )  # fmt: skip
        faults = Faults(library, folder / name / "faults")
        return SoakGateway(
            self.reactor, process, faults, discovery, self.membership, clients, self.judge, self.plan, number,
            longest_deadline_s, ports[2], memory_mb,
        )  # fmt: skip

    # ---- nodes ----

    def _ready_nodes(self) -> list[SoakNode]:
        return [node for node in self.membership.nodes.values() if node.phase == "Ready"]

    def _replace(self, node: SoakNode) -> None:
        """Drain a node and remove it; a new, cold one takes over its shard."""
        if node.phase != "Ready" or self._closed:
            return
        node.phase = "Terminating"
        self.membership.update(node)
        fresh = self._new_node(node.shard)
        fresh.start_cold(self.reactor.seconds(), time.time_ns() // 1_000_000)
        self.reactor.callLater(self._rng.uniform(0.0, 1.0), self.membership.update, fresh)
        self.reactor.callLater(self._rng.uniform(*NODE_EXIT_DELAY_S), self._remove, node)

    def _remove(self, node: SoakNode) -> None:
        node.phase = "Gone"
        self.membership.update(node)

    # ---- time ----

    def _run_until(self, end: float) -> None:
        while self.reactor.seconds() < end:
            self._iterate()

    def _iterate(self) -> None:
        self.judge.exemptions.iteration_began(self.reactor.seconds())
        self.reactor.iterate(REACTOR_STEP_S)

    def play(self) -> SoakResult:
        """Run the soak from the start of the processes to their end."""
        try:
            for gateway in self.gateways:
                gateway.start()
            started = self.reactor.seconds()
            while (
                not all(gateway.ready for gateway in self.gateways)
                and self.reactor.seconds() < started + 3 * READY_S
            ):
                self._iterate()
            for gateway in self.gateways:
                gateway.start_times_s.clear()  # a simultaneous start on one machine is no restart
            self._send_requests()
            self._sweep()
            end = self.reactor.seconds() + self.plan.seconds
            self.reactor.callLater(0.5, self._inject_faults, end)
            self._run_until(end + self.plan.recovery_s)
        finally:
            self._closed = True
            processes, hits = summary(self.gateways), sum(gateway.faults.hits for gateway in self.gateways)
            for gateway in self.gateways:
                gateway.close()
            for node in (*self.membership.nodes.values(), *self._backing):
                node.close([])
            self._run_until(self.reactor.seconds() + 0.1)
        if processes["starts_late"] > MAX_LATE_START_SHARE * processes["starts"]:
            late = f"{processes['starts_late']} of {processes['starts']} starts were late"
            self.judge.report(Rule.NOT_READY, "", late)
        self.judge.counts["harness_stalls"] = self.judge.exemptions.stalls
        self.judge.counts["harness_stall_most_ms"] = round(self.judge.exemptions.longest_stall_s * 1000)
        return SoakResult(self.judge.counts, self.faults, self.judge.violations, processes, hits)

    def _send_requests(self) -> None:
        """Send a request to each gateway; arrivals do not depend on answers."""
        if self._closed:
            return
        for gateway in self.gateways:
            gateway.clients.send_request()
        gap = random.Random(self._rng.random()).expovariate(self.plan.rate)
        self.reactor.callLater(min(1.0, gap), self._send_requests)

    def _sweep(self) -> None:
        if self._closed:
            return
        self.judge.sweep()
        for gateway in self.gateways:
            gateway.check()
        self.reactor.callLater(SWEEP_INTERVAL_S, self._sweep)

    # ---- faults ----

    def _inject_faults(self, end: float) -> None:
        """Keep up to ``plan.overlap`` faults active."""
        if self.reactor.seconds() > end or self._closed:
            return
        if len(self._active) < self.plan.overlap:
            kind = self._rng.choices(FAULT_KINDS, [kind.weight for kind in FAULT_KINDS])[0]
            started = kind.begin(self._fault_context)
            if started is not None:
                self._active.append(kind.name)
                self.faults[kind.name] += 1
                self.reactor.callLater(started[0], self._end_fault, kind.name, started[1])
        self.reactor.callLater(self._rng.uniform(0.05, 0.5), self._inject_faults, end)

    def _end_fault(self, name: str, end: Any) -> None:
        self._active.remove(name)
        if not self._closed:
            end()


def play(reactor: Any, plan: SoakPlan, keep: Path | None = None) -> SoakResult:
    """Run a soak in a temporary folder or, to keep the logs of the gateways, in ``keep``.

    Raises NoCompiler if the fault shim cannot be built.
    """
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        return Soak(reactor, plan, keep).play()
    with tempfile.TemporaryDirectory(prefix="gaugesail-soak-") as folder:
        return Soak(reactor, plan, Path(folder)).play()
