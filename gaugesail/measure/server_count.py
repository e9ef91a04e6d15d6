"""`gaugesail measure server-count`: what a gateway costs with more servers in its list.

The same requests go to gateways with few and with many listed servers, of which all or few are used, and
beside changes of the list.  They take turns, a part of the requests each, so that a processor whose speed
changes is as fast for all of them.  Each cost is compared with the bound that the operators give for larger
fleets.
"""

from __future__ import annotations

import json
import sys
import tempfile
from contextlib import ExitStack
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import click

from ..core.clock import use_monotonic_time
from .server_count_rig import ServerCountRig

USUAL_COUNT = 8
# CPU seconds over the same day, by the number of listed servers ("Beyond this bench", STANDING).
CPU_FACTOR = 1.4
CPU_PLUS_S = 0.02
CPU_PLUS_PER_SERVER_S = 0.12 / 1000
SHORTEST_DAY_S = 20.0
SETTLE_S = 1.0  # after a start, and between the measured spans
TURNS = 10  # of each case


@dataclass(slots=True, frozen=True)
class Case:
    """How many servers are listed and used, and how fast the list changes."""

    listed: int
    used: int
    changes_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Cost:
    """What one case has used."""

    case: Case
    cpu_s: float  # of the requests
    idle_cpu_s: float  # of an idle second
    span_s: float  # of the requests
    start_cpu_s: float  # until it served
    connections: int  # made to servers
    served: int
    others: int  # requests that were not served

    def request_ms(self, requests: int) -> float:
        """Processor time of one request, in milliseconds."""
        return self.cpu_s / requests * 1000


def cpu_bound_s(usual_cpu_s: float, listed: int, span_s: float) -> float:
    """Return the most processor time that a span may take with ``listed`` servers.

    What a day may take beside its usual time is divided evenly over the day.

    :param usual_cpu_s: what it takes with the usual number.
    """
    day_plus_s = CPU_PLUS_S + CPU_PLUS_PER_SERVER_S * listed
    return CPU_FACTOR * usual_cpu_s + day_plus_s * span_s / SHORTEST_DAY_S


class CaseRun:
    """One case: its rig, and what its gateway has used for the requests so far."""

    def __init__(self, reactor: Any, case: Case, folder: Path) -> None:
        self._reactor, self._case = reactor, case
        self.rig = ServerCountRig(reactor, folder, case.listed, seed=1)
        self._start_cpu_s = self._cpu_s = self._span_s = 0.0
        self._served = self._others = 0

    def start(self, warm_up_requests: int, rate: float) -> None:
        """Start the gateway; connections and code are warm afterwards."""
        self.rig.start()
        self._start_cpu_s = self.rig.cpu_s
        self.rig.load(warm_up_requests, rate, self._case.used)
        self.rig.run(SETTLE_S)
        self._served, self._others = -self.rig.clients.served, -self.rig.clients.others

    def take_turn(self, requests: int, rate: float) -> None:
        """Play a part of the requests."""
        before_s = self.rig.cpu_s
        began = self._reactor.seconds()
        self.rig.load(requests, rate, self._case.used, self._case.changes_per_s)
        self._span_s += self._reactor.seconds() - began
        self._cpu_s += self.rig.cpu_s - before_s

    def cost(self, idle_cpu_s: float) -> Cost:
        """Return what the case has used, beside what it uses in an idle second."""
        clients = self.rig.clients
        return Cost(
            self._case, self._cpu_s, idle_cpu_s, self._span_s, self._start_cpu_s, self.rig.connections_made,
            clients.served + self._served, clients.others + self._others,
        )  # fmt: skip


def play(reactor: Any, cases: list[Case], requests: int, rate: float, idle_s: float) -> list[Cost]:
    """Measure all cases in turns; their idle time is the same span."""
    with tempfile.TemporaryDirectory(prefix="gaugesail-servers-") as folder, ExitStack() as stack:
        runs = list[CaseRun]()
        for number, case in enumerate(cases):
            run = CaseRun(reactor, case, Path(folder) / str(number))
            stack.callback(run.rig.close)
            run.start(requests // 10, rate)
            runs.append(run)
        for _ in range(TURNS):
            for run in runs:
                run.take_turn(requests // TURNS, rate)
        runs[0].rig.run(SETTLE_S)
        before_s = [run.rig.cpu_s for run in runs]
        runs[0].rig.run(idle_s)  # one reactor serves the stand-ins of all
        idle_cpu_s = [(run.rig.cpu_s - before) / idle_s for run, before in zip(runs, before_s, strict=True)]
        return [run.cost(idle) for run, idle in zip(runs, idle_cpu_s, strict=True)]


def cases(counts: list[int], changes_per_s: float) -> list[Case]:
    """Return the cases: all or few servers used, and few of them beside changes of the list."""
    found = [Case(USUAL_COUNT, USUAL_COUNT)]
    for count in counts:
        found += [Case(count, count), Case(count, USUAL_COUNT), Case(count, USUAL_COUNT, changes_per_s)]
    return found


@click.command("server-count")
@click.option("--counts", default="800,3200", show_default=True, help="Listed servers, beside the usual 8.")
@click.option("--requests", type=click.IntRange(TURNS), default=1500, show_default=True)
@click.option("--rate", type=float, default=250.0, show_default=True, help="Requests a second.")
@click.option("--changes", type=float, default=100.0, show_default=True, help="Of the list, a second.")
@click.option("--idle-seconds", type=float, default=5.0, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def command(
    counts: str, requests: int, rate: float, changes: float, idle_seconds: float, as_json: bool
) -> None:
    """Measure a gateway's processor time by the number of its servers, against the operators' bound.

    Exits with status 1 if a cost is over it.
    """
    from twisted.internet import reactor  # importing it installs it: only the command does

    use_monotonic_time(reactor)
    numbers = [int(count) for count in counts.split(",")]
    requests -= requests % TURNS
    costs = play(reactor, cases(numbers, changes), requests, rate, idle_seconds)
    usual = costs[0]
    if as_json:
        click.echo(json.dumps([asdict(cost) for cost in costs]))
    is_over = False
    for cost in costs:
        most_s = cpu_bound_s(usual.cpu_s, cost.case.listed, cost.span_s)
        most_idle_s = cpu_bound_s(usual.idle_cpu_s, cost.case.listed, 1.0)
        is_within = cost.cpu_s <= most_s and cost.idle_cpu_s <= most_idle_s
        is_over = is_over or not (is_within or cost.case.changes_per_s)
        click.echo(
            f"{cost.case.listed} listed, {cost.case.used} used, {cost.case.changes_per_s:.0f} changes/s: "
            f"{cost.request_ms(requests):.2f} ms a request (at most {most_s / requests * 1000:.2f}), "
            f"{cost.idle_cpu_s * 1000:.0f} ms an idle second (at most {most_idle_s * 1000:.0f}), "
            f"{cost.start_cpu_s:.2f} s to start, {cost.connections} connections, "
            f"{cost.others} of {requests} not served"
        )
    sys.exit(int(is_over))
