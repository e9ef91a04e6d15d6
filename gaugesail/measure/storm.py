"""``gaugesail measure storm``: a node fails, its clients come back, and what that does to it and to them."""

from __future__ import annotations

import json
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from typing import Any

import click

from ..lab.storm import Storm, StormWorld
from ..lab.terminals import KINDS

HOLDS = {  # what must hold in each run: the most that a figure may be
    "recovery_s": 20.0, "cold_peak": 1.0, "unanswered": 0, "answered_twice": 0, "two_out": 0,
    "most_attempts": 4, "sent_unlisted": 0, "fallen": 0,
}  # fmt: skip


def play(storm: Storm) -> dict[str, Any]:
    """The figures of one run, as they are printed."""
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


def broken(run: dict[str, Any]) -> list[str]:
    """What does not hold in a run."""
    found = [name for name, most in HOLDS.items() if run[name] is None or run[name] > most]
    return found + ["burst"] * (run["burst"] is not None and run["burst"] > 3)


def told(run: dict[str, Any]) -> str:
    """One run, for people."""
    recovery = "not at all" if run["recovery_s"] is None else f"{run['recovery_s']:.0f} s"
    burst = "-" if run["burst"] is None else f"{run['burst']:.1f}"
    service = "  ".join(f"{name} {value:.2f}" for name, value in run["service"].items())
    which = "baseline" if run["baseline"] else "now"
    return (
        f"seed {run['seed']:>3}  {which:<8}  back after {recovery:<10}  cold peak {run['cold_peak']:.2f}  "
        f"burst {burst:<4}  {service}  unanswered {run['unanswered']}  twice {run['answered_twice']}  "
        f"two out {run['two_out']}  attempts {run['most_attempts']}"
    )


class Seeds(click.ParamType[list[int]]):
    """One seed, or the first and the last of several."""

    name = "N|FROM-TO"

    def convert(self, value: Any, param: Any, ctx: Any) -> list[int]:
        if isinstance(value, list):
            return value
        first, _, last = str(value).partition("-")
        try:
            return list(range(int(first), int(last or first) + 1))
        except ValueError:
            self.fail(f"{value!r} is neither a number nor FROM-TO", param, ctx)


def known(ctx: click.Context, param: click.Parameter, value: str) -> str:
    """A mixture of kinds of clients that there are."""
    for name in value.split("+"):
        if name != "mixed" and name not in KINDS:
            raise click.BadParameter(f"{name!r} is none of mixed, {', '.join(KINDS)}")
    return value


@click.command("storm")
@click.option("--heads", type=click.IntRange(1, 64), default=3, show_default=True)
@click.option("--nodes", type=click.IntRange(1, 64), default=2, show_default=True, help="One fails.")
@click.option(
    "--clients", default="mixed", show_default=True, callback=known, metavar="KIND[+KIND]|mixed",
    help="How clients come back: " + ", ".join(KINDS) + ".",
)  # fmt: skip
@click.option("--outage", type=click.FloatRange(0.5, 600), default=30.0, show_default=True, help="Seconds.")
@click.option(
    "--stale", type=click.FloatRange(0, 60), default=3.0, show_default=True,
    help="So many seconds late is the list.",
)  # fmt: skip
@click.option("--volumes", type=click.IntRange(1, 200), default=6, show_default=True, help="For each node.")
@click.option(
    "--load", type=click.FloatRange(0.05, 2), default=0.8, show_default=True,
    help="Of nine tenths of what the nodes can do.",
)  # fmt: skip
@click.option(
    "--hold-off", type=click.FloatRange(0.05, 60), default=0.5, show_default=True,
    help="The longest time to come back that clients heed, in seconds.",
)  # fmt: skip
@click.option(
    "--restart", type=click.FloatRange(0, 60), default=0.0,
    help="It starts once more, so many seconds after it came back.",
)  # fmt: skip
@click.option("--seed", "seeds", type=Seeds(), default="1", show_default=True)
@click.option("--jobs", type=click.IntRange(1, 256), default=1, show_default=True, help="Runs side by side.")
@click.option("--baseline", is_flag=True, help="The fixed time to come back of earlier heads, same seed.")
@click.option("--json", "as_json", is_flag=True)
def command(
    heads: int, nodes: int, clients: str, outage: float, stale: float, volumes: int, load: float,
    hold_off: float, restart: float, seeds: list[int], jobs: int, baseline: bool, as_json: bool,
) -> None:  # fmt: skip
    """A node fails, comes back cold, and all who waited for it come back as well.

    Plays whole heads, stand-in nodes and clients in virtual time.  With one seed it prints one object; with
    several, the runs and the worst of each figure.  Exits with 1 where something does not hold that must
    (not for a baseline).
    """
    storm = Storm(
        heads, nodes, clients, outage, stale, volumes, load, 0, baseline, hold_off, restart_s=restart
    )
    storms = [replace(storm, seed=seed) for seed in seeds]
    if jobs > 1 and len(storms) > 1:
        with ProcessPoolExecutor(min(jobs, len(storms))) as pool:
            runs = list(pool.map(play, storms))
    else:
        runs = [play(storm) for storm in storms]
    faults = {run["seed"]: broken(run) for run in runs if broken(run)}
    if not as_json:
        for run in runs:
            click.echo(told(run))
    elif len(runs) == 1:
        click.echo(json.dumps(runs[0]))
    else:
        worst = {
            name: None if any(run[name] is None for run in runs) else max(run[name] for run in runs)
            for name in HOLDS
        }
        click.echo(json.dumps({"runs": runs, "worst": worst, "broken": faults}))
    if faults and not baseline:
        for seed, names in faults.items():
            click.echo(f"seed {seed}: {', '.join(names)} do not hold", err=True)
        raise SystemExit(1)
