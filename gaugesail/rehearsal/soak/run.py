"""One soak: heads start, clients ask, troubles overlap, and the judge looks on."""

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
from .discovery import HeadDiscovery, Membership
from .heads import READY_S, SoakHead, summary
from .judge import Rule, SoakJudge, Violation
from .nodes import SoakNode
from .plan import SoakPlan
from .troubles import KINDS, Stage

TURN_S = 0.002
SWEEP_S = 0.1
GONE_AFTER_S = (0.5, 2.0)  # a node that drains is gone so much later
STARTS_LATE = 0.1  # of all starts may take longer than READY_S


@dataclass(slots=True)
class Soaked:
    """What came of a soak."""

    counts: Counter[str]
    troubles: Counter[str]
    violations: list[Violation]
    heads: dict[str, Any]
    injected: int  # calls that failed


class Soak:
    """One soak while it is played."""

    def __init__(self, reactor: Any, plan: SoakPlan, folder: Path) -> None:
        self.reactor, self.plan = reactor, plan
        self._rng = random.Random(plan.seed)
        self._active: list[str] = []
        self.troubles: Counter[str] = Counter()
        self.judge = SoakJudge(reactor.seconds, lambda: tuple(self._active))
        self.membership = Membership()
        self._numbers = 0
        for shard in range(plan.nodes):
            self._new_node(shard)
        library = build(folder)
        ports = free_ports(2 * plan.heads)
        self.heads = [self._head(me, folder, library, ports[2 * me : 2 * me + 2]) for me in range(plan.heads)]
        self._stage = Stage(
            reactor, self._rng, self.heads, self._ready_nodes, self._replace, self.judge.exemptions
        )
        self._over = False

    def _new_node(self, shard: int) -> SoakNode:
        self._numbers += 1
        rng = random.Random(self._rng.random())
        node = SoakNode(self.reactor, f"node-{self._numbers}", shard, self.judge, rng)
        self.membership.nodes[node.name] = node
        return node

    def _head(self, number: int, folder: Path, library: Path, ports: list[int]) -> SoakHead:
        name = f"h{number}"
        process = GatewayProcess(name, folder / name, ports[0], ports[1], 0)
        discovery = HeadDiscovery(self.reactor, name, self.membership)
        clients = SoakClients(
            self.reactor, name, ("127.0.0.1", ports[0]), self.judge, random.Random(self._rng.random()),
            self.plan.nodes, self.plan.heads,
        )  # fmt: skip
        faults = Faults(library, folder / name / "faults")
        return SoakHead(
            self.reactor, process, faults, discovery, self.membership, clients, self.judge, self.plan, number
        )

    # ---- nodes ----

    def _ready_nodes(self) -> list[SoakNode]:
        return [node for node in self.membership.nodes.values() if node.phase == "Ready"]

    def _replace(self, node: SoakNode) -> None:
        """It drains and goes; another process takes its shard, and is cold."""
        if node.phase != "Ready" or self._over:
            return
        node.phase = "Terminating"
        self.membership.change(node)
        fresh = self._new_node(node.shard)
        fresh.started_cold(self.reactor.seconds(), time.time_ns() // 1_000_000)
        self.reactor.callLater(self._rng.uniform(0.0, 1.0), self.membership.change, fresh)
        self.reactor.callLater(self._rng.uniform(*GONE_AFTER_S), self._gone, node)

    def _gone(self, node: SoakNode) -> None:
        node.phase = "Gone"
        self.membership.change(node)

    # ---- time ----

    def _turn_until(self, end: float) -> None:
        while self.reactor.seconds() < end:
            self.reactor.iterate(TURN_S)

    def play(self) -> Soaked:
        """Start all, play, let it come to rest, end all."""
        try:
            for head in self.heads:
                head.start()
            started = self.reactor.seconds()
            while not all(head.up for head in self.heads) and self.reactor.seconds() < started + 3 * READY_S:
                self.reactor.iterate(TURN_S)
            for head in self.heads:
                head.starts.clear()  # all at once, on one machine: no restart
            self._ask()
            self._sweep()
            end = self.reactor.seconds() + self.plan.seconds
            self.reactor.callLater(0.5, self._draw, end)
            self._turn_until(end + self.plan.settle_s)
        finally:
            self._over = True
            told, hits = summary(self.heads), sum(head.faults.hits for head in self.heads)
            for head in self.heads:
                head.close()
            for node in self.membership.nodes.values():
                node.close([])
            self._turn_until(self.reactor.seconds() + 0.1)
        if told["starts_late"] > STARTS_LATE * told["starts"]:
            late = f"{told['starts_late']} of {told['starts']} starts were late"
            self.judge.broke(Rule.NOT_READY, "", late)
        return Soaked(self.judge.counts, self.troubles, self.judge.violations, told, hits)

    def _ask(self) -> None:
        """All heads' clients ask; arrivals do not wait for answers."""
        if self._over:
            return
        for head in self.heads:
            head.clients.ask()
        gap = random.Random(self._rng.random()).expovariate(self.plan.rate)
        self.reactor.callLater(min(1.0, gap), self._ask)

    def _sweep(self) -> None:
        if self._over:
            return
        self.judge.sweep()
        for head in self.heads:
            head.look()
        self.reactor.callLater(SWEEP_S, self._sweep)

    # ---- troubles ----

    def _draw(self, end: float) -> None:
        """Keep as many troubles going as the plan says."""
        if self.reactor.seconds() > end or self._over:
            return
        if len(self._active) < self.plan.overlap:
            kind = self._rng.choices(KINDS, [kind.weight for kind in KINDS])[0]
            begun = kind.begin(self._stage)
            if begun is not None:
                self._active.append(kind.name)
                self.troubles[kind.name] += 1
                self.reactor.callLater(begun[0], self._ended, kind.name, begun[1])
        self.reactor.callLater(self._rng.uniform(0.05, 0.5), self._draw, end)

    def _ended(self, name: str, end: Any) -> None:
        self._active.remove(name)
        if not self._over:
            end()


def play(reactor: Any, plan: SoakPlan, keep: Path | None = None) -> Soaked:
    """One soak in a folder of its own; with ``keep`` the heads' logs stay there."""
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        return Soak(reactor, plan, keep).play()
    with tempfile.TemporaryDirectory(prefix="gaugesail-soak-") as folder:
        return Soak(reactor, plan, Path(folder)).play()
