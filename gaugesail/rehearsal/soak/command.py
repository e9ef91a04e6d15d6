"""`gaugesail trial soak`: real heads on loopback under overlapping faults, judged by the invariants."""

from __future__ import annotations

import json
import signal
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import click

from ...core.clock import use_monotonic_time
from ..faults.shim import NoCompiler
from .plan import SoakPlan
from .run import Soaked, play

SHOWN = 20  # breaches that are printed in full


def figures(plan: SoakPlan, soaked: Soaked) -> dict[str, Any]:
    """What is printed with --json."""
    return {
        "seed": plan.seed, "heads": plan.heads, "seconds": plan.seconds,
        "requests": dict(soaked.counts), "troubles": dict(soaked.troubles), "calls_failed": soaked.injected,
        "processes": soaked.heads,
        "violations": [
            {"rule": one.rule.value, "head": one.head, "detail": one.detail, "troubles": list(one.troubles)}
            for one in soaked.violations
        ],
    }  # fmt: skip


def report(plan: SoakPlan, soaked: Soaked) -> None:
    """What a person reads."""
    click.echo(f"seed {plan.seed}: {plan.heads} heads, {plan.seconds:.0f} s, {soaked.injected} calls failed")
    click.echo("requests: " + ", ".join(f"{name} {count}" for name, count in sorted(soaked.counts.items())))
    click.echo("troubles: " + ", ".join(f"{name} {count}" for name, count in sorted(soaked.troubles.items())))
    click.echo("processes: " + ", ".join(f"{name} {value}" for name, value in soaked.heads.items()))
    rules = Counter(one.rule.value for one in soaked.violations)
    click.echo("violations: " + (", ".join(f"{name} {count}" for name, count in rules.items()) or "none"))
    for one in soaked.violations[:SHOWN]:
        click.echo(f"  {one.rule.value} {one.head} [{'+'.join(one.troubles)}] {one.detail}")


@click.command("soak")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seconds", type=click.FloatRange(1, 3600), default=60.0, show_default=True)
@click.option("--heads", type=click.IntRange(1, 100), default=24, show_default=True)
@click.option(
    "--overlap", type=click.IntRange(0, 10), default=3, show_default=True, help="Troubles at a time."
)
@click.option("--logs", type=click.Path(path_type=Path), help="A folder in which the heads' logs stay.")
@click.option("--json", "as_json", is_flag=True)
def command(seed: int, seconds: float, heads: int, overlap: int, logs: Path | None, as_json: bool) -> None:
    """Many heads, overlapping faults, and the invariants.

    Starts processes of the head on loopback among nodes, discovery and clients that misbehave; ends, kills,
    stops and reloads them, steps their wall clocks and lets their system calls fail.  Exits with 1 where a
    rule was broken.  Needs a C compiler for the faults of the system.
    """
    from twisted.internet import reactor  # importing it installs it: only the command does

    use_monotonic_time(reactor)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    plan = SoakPlan(heads=heads, seconds=seconds, seed=seed, overlap=overlap)
    try:
        soaked = play(reactor, plan, logs)
    except NoCompiler as error:
        raise click.ClickException(str(error)) from None
    if as_json:
        click.echo(json.dumps(figures(plan, soaked)))
    else:
        report(plan, soaked)
    if soaked.violations:
        raise SystemExit(1)
