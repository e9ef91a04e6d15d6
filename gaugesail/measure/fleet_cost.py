"""`gaugesail measure fleet-cost`: what a request costs a head among others, against a head alone.

Real heads on loopback in one run, asked in turn: a keeper that leads and a head that is no keeper, in one
fleet, and one without a fleet.  What counts is the processor time of each head's process a request.  Two
processes of the same program differ by some per cent for as long as they live, so that each round starts
others, and the median of the rounds is told.
"""

from __future__ import annotations

import json
import os
import statistics
import tempfile
from dataclasses import replace
from pathlib import Path
from typing import Any

import click

from ..core.clock import use_monotonic_time
from ..rehearsal.fleet.trial import READY_TIMEOUT_S, GatewaysNotReady, Rig, Trial

RATE = 100_000.0  # units a second: nothing is refused
AT_ONCE = 8


def cpu_s(pid: int) -> float:
    """Processor time of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Asked:
    """One head and its clients."""

    def __init__(self, rig: Rig, name: str) -> None:
        self.rig, self.head, self.clients = rig, rig.gateways[name], rig.clients[name]
        self.costs: list[float] = []

    def batch(self, requests: int) -> float:
        """Seconds of processor time a request."""
        assert self.head.process is not None
        told, before = self.rig.judge.counts, cpu_s(self.head.process.pid)
        start = told.served + told.refused + told.failed
        asked = 0
        while (done := told.served + told.refused + told.failed - start) < requests:
            while asked < requests and asked - done < AT_ONCE:
                self.clients.send_request(1)
                asked += 1
            self.rig.reactor.iterate(0.001)
        return (cpu_s(self.head.process.pid) - before) / requests


def measured(reactor: Any, requests: int, batches: int, rounds: int) -> dict[str, Any]:
    """The median of the rounds' ratios, and the least and the most."""
    found = [_round(reactor, requests, batches) for _ in range(rounds)]
    told: dict[str, Any] = {}
    for name, key in (("holder", "ratio"), ("keeper", "keeper_ratio")):
        ratios = sorted(cost[name] / cost["alone"] for cost in found)
        told[key] = round(statistics.median(ratios), 3)
        told[f"{key}_range"] = [round(ratios[0], 3), round(ratios[-1], 3)]
    told["alone_us"] = round(1e6 * statistics.median(cost["alone"] for cost in found), 1)
    return told | {"rounds": rounds, "requests": requests * batches * rounds}


def _round(reactor: Any, requests: int, batches: int) -> dict[str, float]:
    """Seconds of processor time a request of each head."""
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
                    raise GatewaysNotReady("a head did not begin to serve")
            heads = {
                "holder": Asked(rigs[0], "h1"), "keeper": Asked(rigs[0], "h0"), "alone": Asked(rigs[1], "h0")
            }  # fmt: skip
            rigs[0].run_until(lambda: False, 3.0)
            for one in heads.values():  # warm, and what is asked for is granted
                one.batch(requests)
            for _ in range(batches):
                for one in heads.values():
                    one.costs.append(one.batch(requests))
        finally:
            for rig in rigs:
                rig.end()
    return {name: sum(one.costs) / len(one.costs) for name, one in heads.items()}


@click.command("fleet-cost")
@click.option(
    "--requests", type=click.IntRange(100, 1_000_000), default=1000, show_default=True, help="A batch."
)
@click.option("--batches", type=click.IntRange(1, 1000), default=3, show_default=True)
@click.option("--rounds", type=click.IntRange(1, 1000), default=9, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def command(requests: int, batches: int, rounds: int, as_json: bool) -> None:
    """What a request costs a head among others, against a head alone, in one run."""
    from twisted.internet import reactor  # importing it installs it: only the command does

    use_monotonic_time(reactor)
    try:
        told = measured(reactor, requests, batches, rounds)
    except GatewaysNotReady as error:
        raise click.ClickException(str(error)) from None
    if as_json:
        click.echo(json.dumps(told))
    else:
        for key, value in told.items():
            click.echo(f"{key:>18}  {value}")
