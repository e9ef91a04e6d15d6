"""`gaugesail measure storm`: a node fails, its clients retry, and the effects on the node and the clients."""

from __future__ import annotations

import json
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from typing import Any

import click

from ..lab.storm import Storm, StormWorld
from ..lab.terminals import KINDS

MAXIMUMS = {  # largest allowed figures of a run
    "recovery_s": 20.0, "cold_peak": 1.0, "unanswered": 0, "answered_twice": 0, "two_out": 0,
    "most_attempts": 4, "sent_unlisted": 0, "fallen": 0,
}  # fmt: skip


def run_storm(storm: Storm) -> dict[str, Any]:
    """Simulate a storm and return the figures of ``--json``."""
    figures = StormWorld(storm).play()
    counts = figures.counts
    return {
        "seed": storm.seed, "heads": storm.gateways, "clients": storm.clients, "baseline": storm.baseline,
        "recovery_s": figures.recovery_s, "steady": round(figures.steady, 3),
        "cold_peak": figures.cold_peak, "cold_pressure": figures.cold_pressure,
        "burst": None if figures.burst is None else round(figures.burst, 2),
        "unanswered": counts.get("unanswered", 0), "answered_twice": counts.get("answered_twice", 0),
        "most_attempts": figures.most_attempts, "two_out": counts.get("two_out", 0),
        "sent_unlisted": counts.get("sent_unlisted", 0), "fallen": counts.get("fallen", 0),
        "refusals": counts.get("refused", 0), "early_repeats": counts.get("early_repeats", 0),
        "asked": counts.get("asked", 0), "served": counts.get("served", 0),
        "service": {name: round(value, 3) for name, value in figures.by_plan.items()},
        "service_by_kind": {name: round(value, 3) for name, value in figures.by_kind.items()},
        "service_by_5s": figures.by_5s,
        "decision_us": round(figures.decision_us, 1),
    }  # fmt: skip


def exceeded(run: dict[str, Any]) -> list[str]:
    """Return the names of the figures of a run that exceed their maximum, or are missing."""
    found = [name for name, most in MAXIMUMS.items() if run[name] is None or run[name] > most]
    return found + ["burst"] * (run["burst"] is not None and run["burst"] > 3)


def format_run(run: dict[str, Any]) -> str:
    """Return the line of text that shows a run."""
    recovery = "never" if run["recovery_s"] is None else f"{run['recovery_s']:.0f} s"
    burst = "-" if run["burst"] is None else f"{run['burst']:.1f}"
    service = "  ".join(f"{name} {value:.2f}" for name, value in run["service"].items())
    variant = "baseline" if run["baseline"] else "now"
    return (
        f"seed {run['seed']:>3}  {variant:<8}  recovery {recovery:<10}  "
        f"cold peak {run['cold_peak']:.2f}  burst {burst:<4}  {service}  unanswered {run['unanswered']}  "
        f"answered twice {run['answered_twice']}  overlapping {run['two_out']}  "
        f"most attempts {run['most_attempts']}"
    )


class SeedRange(click.ParamType[list[int]]):
    """A seed, or the first and the last seed of a range."""

    name = "N|FROM-TO"

    def convert(self, value: Any, param: Any, ctx: Any) -> list[int]:
        """Return the seeds of the text ``value``; a list is returned as it is."""
        if isinstance(value, list):
            return value
        first, _, last = str(value).partition("-")
        try:
            return list(range(int(first), int(last or first) + 1))
        except ValueError:
            self.fail(f"expected a seed or FROM-TO, got {value!r}", param, ctx)


def check_client_kinds(ctx: click.Context, param: click.Parameter, value: str) -> str:
    """Check that ``value`` names known kinds of clients, joined by ``+``, and return it.

    Raises `click.BadParameter` for an unknown kind.
    """
    for name in value.split("+"):
        if name != "mixed" and name not in KINDS:
            raise click.BadParameter(f"expected one of mixed, {', '.join(KINDS)}; got {name!r}")
    return value


@click.command("storm")
@click.option("--heads", type=click.IntRange(1, 64), default=3, show_default=True)
@click.option("--nodes", type=click.IntRange(1, 64), default=2, show_default=True, help="One of them fails.")
@click.option(
    "--clients", default="mixed", show_default=True, callback=check_client_kinds, metavar="KIND[+KIND]|mixed",
    help="How clients retry: " + ", ".join(KINDS) + ".",
)  # fmt: skip
@click.option("--outage", type=click.FloatRange(0.5, 600), default=30.0, show_default=True, help="Seconds.")
@click.option(
    "--stale", type=click.FloatRange(0, 60), default=3.0, show_default=True,
    help="Delay of the endpoint list, in seconds.",
)  # fmt: skip
@click.option("--volumes", type=click.IntRange(1, 200), default=6, show_default=True, help="For each node.")
@click.option(
    "--load", type=click.FloatRange(0.05, 2), default=0.8, show_default=True,
    help="Demand as a share of nine tenths of the nodes' capacity.",
)  # fmt: skip
@click.option(
    "--hold-off", type=click.FloatRange(0.05, 60), default=0.5, show_default=True,
    help="Longest retry delay that clients observe, in seconds.",
)  # fmt: skip
@click.option(
    "--restart", type=click.FloatRange(0, 60), default=0.0,
    help="The node restarts once more this many seconds after its recovery; 0: it does not.",
)  # fmt: skip
@click.option("--seed", "seeds", type=SeedRange(), default="1", show_default=True)
@click.option("--jobs", type=click.IntRange(1, 256), default=1, show_default=True, help="Runs side by side.")
@click.option(
    "--baseline", is_flag=True, help="Use the fixed retry delay of earlier gateways, with the same seed."
)
@click.option("--json", "as_json", is_flag=True)
def command(
    heads: int, nodes: int, clients: str, outage: float, stale: float, volumes: int, load: float,
    hold_off: float, restart: float, seeds: list[int], jobs: int, baseline: bool, as_json: bool,
) -> None:  # fmt: skip
    """A node fails and restarts cold, and all clients that waited for it retry.

    Simulates complete gateways, stand-in nodes and clients in virtual time.  With one seed it prints one
    object; with several, the runs and the worst value of each figure.  Exits with 1 if a figure exceeds its
    maximum (not for a baseline).
    """
    storm = Storm(
        heads, nodes, clients, outage, stale, volumes, load, 0, baseline, hold_off, restart_s=restart
    )
    storms = [replace(storm, seed=seed) for seed in seeds]
    if jobs > 1 and len(storms) > 1:
        with ProcessPoolExecutor(min(jobs, len(storms))) as pool:
            runs = list(pool.map(run_storm, storms))
    else:
        runs = [run_storm(storm) for storm in storms]
    violations = {run["seed"]: exceeded(run) for run in runs if exceeded(run)}
    if not as_json:
        for run in runs:
            click.echo(format_run(run))
    elif len(runs) == 1:
        click.echo(json.dumps(runs[0]))
    else:
        worst = {
            name: None if any(run[name] is None for run in runs) else max(run[name] for run in runs)
            for name in MAXIMUMS
        }
        click.echo(json.dumps({"runs": runs, "worst": worst, "broken": violations}))
    if violations and not baseline:
        for seed, names in violations.items():
            click.echo(f"seed {seed}: maximum exceeded by {', '.join(names)}", err=True)
        raise SystemExit(1)
