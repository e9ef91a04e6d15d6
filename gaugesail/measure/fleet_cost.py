"""`gaugesail measure fleet-cost`: the cost of a request at a gateway of a fleet, against a gateway alone.

Real gateways on loopback in one run get requests in turn: two in a fleet, of which one has the only replica
and leads, and one without a fleet.  The cost is the CPU time of the gateway's process per request.  Two
processes of the same program differ by some per cent throughout their lives; therefore each round starts new
processes, and the result is the median of the rounds.
"""

from __future__ import annotations

import json
import statistics
import tempfile
from dataclasses import replace
from pathlib import Path
from typing import Any

import click

from ..core.clock import use_monotonic_time
from ..rehearsal.fleet.trial import READY_TIMEOUT_S, GatewaysNotReady, Rig, Trial
from .processor_time import cpu_seconds

RATE = 100_000.0  # units per second, so that nothing is rejected
MAX_CONCURRENT = 8


class MeasuredGateway:
    """A gateway, its clients, and its costs: CPU seconds per request, one for each batch."""

    def __init__(self, rig: Rig, name: str) -> None:
        self.rig, self.gateway, self.clients = rig, rig.gateways[name], rig.clients[name]
        self.costs: list[float] = []

    def batch(self, requests: int) -> float:
        """Send a batch of requests and return the CPU seconds per request."""
        assert self.gateway.process is not None
        counts, before = self.rig.judge.counts, cpu_seconds(self.gateway.process.pid)
        start = counts.served + counts.refused + counts.failed
        sent = 0
        while (done := counts.served + counts.refused + counts.failed - start) < requests:
            while sent < requests and sent - done < MAX_CONCURRENT:
                self.clients.send_request(1)
                sent += 1
            self.rig.reactor.iterate(0.001)
        return (cpu_seconds(self.gateway.process.pid) - before) / requests


def measure(reactor: Any, requests: int, batches: int, rounds: int) -> dict[str, Any]:
    """Return the figures of ``--json``: the median, least and largest ratio of the rounds."""
    costs = [_run_round(reactor, requests, batches) for _ in range(rounds)]
    report: dict[str, Any] = {}
    for name, key in (("holder", "ratio"), ("keeper", "keeper_ratio")):
        ratios = sorted(cost[name] / cost["alone"] for cost in costs)
        report[key] = round(statistics.median(ratios), 3)
        report[f"{key}_range"] = [round(ratios[0], 3), round(ratios[-1], 3)]
    report["alone_us"] = round(1e6 * statistics.median(cost["alone"] for cost in costs), 1)
    return report | {"rounds": rounds, "requests": requests * batches * rounds}


def _run_round(reactor: Any, requests: int, batches: int) -> dict[str, float]:
    """Return the CPU seconds per request of each gateway, in new processes."""
    with tempfile.TemporaryDirectory(prefix="gaugesail-cost-") as folder:
        trial = Trial(gateways=2, replicas=1, rate=RATE, burst=RATE, faults=False)
        rigs = [
            Rig(reactor, trial, Path(folder) / "on"),
            Rig(reactor, replace(trial, gateways=1, fleet=False), Path(folder) / "off"),
        ]
        try:
            for rig in rigs:
                for head in rig.gateways.values():
                    head.start()
                if not rig.run_until(rig.all_ready, READY_TIMEOUT_S):
                    raise GatewaysNotReady("a gateway did not start to serve")
            gateways = {
                "holder": MeasuredGateway(rigs[0], "h1"), "keeper": MeasuredGateway(rigs[0], "h0"),
                "alone": MeasuredGateway(rigs[1], "h0"),
            }  # fmt: skip
            rigs[0].run_until(lambda: False, 3.0)
            for gateway in gateways.values():  # warm up, until the requested quota is granted
                gateway.batch(requests)
            for _ in range(batches):
                for gateway in gateways.values():
                    gateway.costs.append(gateway.batch(requests))
        finally:
            for rig in rigs:
                rig.end()
    return {name: sum(gateway.costs) / len(gateway.costs) for name, gateway in gateways.items()}


@click.command("fleet-cost")
@click.option(
    "--requests", type=click.IntRange(100, 1_000_000), default=1000, show_default=True, help="Of a batch."
)
@click.option("--batches", type=click.IntRange(1, 1000), default=3, show_default=True)
@click.option("--rounds", type=click.IntRange(1, 1000), default=9, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def command(requests: int, batches: int, rounds: int, as_json: bool) -> None:
    """The cost of a request at a gateway of a fleet, against a gateway alone, in one run."""
    from twisted.internet import reactor  # the import installs the reactor: only the command may

    use_monotonic_time(reactor)
    try:
        report = measure(reactor, requests, batches, rounds)
    except GatewaysNotReady as error:
        raise click.ClickException(str(error)) from None
    if as_json:
        click.echo(json.dumps(report))
    else:
        for key, value in report.items():
            click.echo(f"{key:>18}  {value}")
