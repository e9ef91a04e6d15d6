"""`gaugesail trial budgets`: runs a trial of real gateways on loopback and reports its result."""

from __future__ import annotations

import json
import signal
import sys
import tomllib
from collections import defaultdict
from dataclasses import replace
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.live import Live
from rich.panel import Panel
from rich.table import Table
from rich.text import Text

from ...core.clock import use_monotonic_time
from .trial import FAULT_KINDS, GatewaysNotReady, Rig, Trial, TrialResult, play

BARS = " ▁▂▃▄▅▆▇█"
COMPARISON_S = 12.0  # at most, for the run without a fleet
ZERO_COUNTS = ("overspent", "lost", "answered_twice", "two_out")  # counters that must be 0 in every trial
SECONDS_PER_BAR = 1.0


def load_timeline(path: str, gateways: list[str]) -> tuple[tuple[float, str], ...]:
    """Return the seconds and faults of the TOML file ``path``, in order of time.

    Each [[fault]] has ``at`` (seconds), ``kind`` and optionally ``head``, one of ``gateways``.  Raises
    ClickException, which names all errors of the file.
    """
    try:
        data = tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise click.ClickException(f"{path}: {error}") from None
    errors: list[str] = []
    rows: list[tuple[float, str]] = []
    for n, row in enumerate(data.get("fault", []), 1):
        at, kind, head = row.get("at"), row.get("kind"), row.get("head", "")
        if isinstance(at, bool) or not isinstance(at, (int, float)) or at < 0:
            errors.append(f"{path}: [[fault]] {n} at: expected seconds from 0 on, got {at!r}")
        if kind not in FAULT_KINDS:
            errors.append(
                f"{path}: [[fault]] {n} kind: expected one of {', '.join(sorted(FAULT_KINDS))}, got {kind!r}"
            )
        if head and head not in gateways:
            errors.append(f"{path}: [[fault]] {n} head: expected one of {', '.join(gateways)}, got {head!r}")
        if not errors:
            rows.append((float(at), f"{kind} {head}".strip()))
    if not rows and not errors:
        errors.append(f"{path}: expected at least one [[fault]], found none")
    if errors:
        raise click.ClickException("\n".join(errors))
    return tuple(sorted(rows))


def report_fields(result: TrialResult, comparison: TrialResult | None) -> dict[str, Any]:
    """The output of --json; ``comparison`` is the result without a fleet."""
    counts = result.counts
    return {
        "overspent": counts.overspent, "lost": counts.lost, "answered_twice": counts.answered_twice,
        "two_out": counts.two_out, "used": round(result.used, 3), "used_after": round(result.used_after, 3),
        "even_used": round(comparison.used, 3) if comparison is not None else None,
        "faults": dict(result.faults),
        "asked": counts.asked, "served": counts.served, "refused": counts.refused, "failed": counts.failed,
        "unreached": counts.unreached, "least_units": round(counts.lowest_units, 2),
        "errors": len(result.errors),
    }  # fmt: skip


def bars(
    rows: list[tuple[float, str, float]], gateway: str, started_at: float, seconds: float, full_scale: float
) -> str:
    """The units a second of one gateway as a bar chart, one character for each second.

    ``rows`` holds time, gateway and units of each arrival; ``full_scale`` is the rate of a full bar.
    """
    sums: dict[int, float] = defaultdict(float)
    for at, name, units in rows:
        if name == gateway:
            sums[int((at - started_at) / SECONDS_PER_BAR)] += units / SECONDS_PER_BAR
    steps = len(BARS) - 1
    return "".join(
        BARS[min(steps, round(sums[n] / full_scale * steps + (0.49 if sums[n] else 0)))]
        for n in range(int(seconds / SECONDS_PER_BAR))
    )


def _live_view(rig: Rig) -> Table:
    """The table that is shown during a trial."""
    trial, counts = rig.trial, rig.judge.counts
    table = Table(title=f"{rig.elapsed_s:4.0f} of {trial.seconds:.0f} s", title_justify="left", box=None)
    for name in ("gateway", "", "units a second at the nodes"):
        table.add_column(name)
    for name, gateway in rig.gateways.items():
        state = "paused" if gateway.paused else "up" if gateway.alive else "down"
        row = bars(counts.arrivals, name, rig.started_at, rig.elapsed_s, rig.limit.rate)
        table.add_row(name, state, row[-60:])
    last = rig.events[-1] if rig.events else None
    table.add_row("", "", f"latest: {last[1]} {last[2]}" if last else "")
    return table


def print_report(console: Console, trial: Trial, result: TrialResult, comparison: TrialResult | None) -> None:
    """Print the result for people."""
    counts = result.counts
    table = Table(title="Units a second that reached the nodes by gateway, one character for each second",
                  title_justify="left", box=None)  # fmt: skip
    table.add_column("gateway")
    table.add_column("")
    table.add_column("units", justify="right")
    for n in range(trial.gateways):
        name = f"h{n}"
        units_of_one = sum(units for _, sender, units in counts.arrivals if sender == name)
        table.add_row(
            name,
            bars(counts.arrivals, name, result.started_at, trial.seconds, trial.rate),
            f"{units_of_one:.0f}",
        )
    console.print(table)
    for at, what, target in result.events:
        console.print(f"  {at:5.1f} s  {what} {target}", highlight=False)
    asked = max(1, counts.asked)
    summary = [
        f"Limit: {trial.rate:.0f} units a second and {trial.burst:.0f} at once, for {trial.gateways} gateways"
        f" together; demand is {trial.demand_factor:.1f} times that, mostly at one gateway, which changes.",
        f"Used: {result.used:.0%} of the limit"
        + (f", {result.used_after:.0%} at the end of the recovery" if result.faults else "")
        + (
            f"; with a fixed even part for each gateway, {comparison.used:.0%}."
            if comparison is not None
            else "."
        ),
        f"Requests: {counts.asked}; served {counts.served / asked:.0%}, rejected at once with Retry-After"
        f" {counts.refused / asked:.0%}, failed {counts.failed}, gateway unreachable {counts.unreached}.",
    ]
    console.print(Panel("\n".join(summary), title="Summary", title_align="left"))
    verdict = Table(
        title="Violations counted at nodes and clients (expected: 0)", title_justify="left", box=None
    )
    verdict.add_column("what")
    verdict.add_column("times", justify="right")
    names = {
        "overspent": "more units at the nodes than the limit allows", "lost": "a request without an answer",
        "answered_twice": "a request with two answers", "two_out": "concurrent attempts of one request",
    }  # fmt: skip
    for key in ZERO_COUNTS:
        count = getattr(counts, key)
        verdict.add_row(names[key], Text(str(count), style="bold red" if count else "green"))
    console.print(verdict)
    for line in result.errors[:5]:
        console.print(f"[red]log: {line}[/red]", highlight=False)


@click.command("budgets")
@click.option("--heads", type=click.IntRange(1, 20), default=5, show_default=True)
@click.option("--keepers", type=click.IntRange(1, 7), default=3, show_default=True)
@click.option("--seconds", type=click.FloatRange(3, 3600), default=60.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--faults/--no-faults", default=True, show_default=True)
@click.option(
    "--timeline", type=click.Path(), help="A TOML file of [[fault]] rows in place of random faults."
)
@click.option(
    "--even/--no-even",
    default=True,
    help="Also run without a fleet, with a fixed even part of the limit for each gateway.  [default: even]",
)
@click.option(
    "--after",
    type=click.FloatRange(0, 600),
    default=16.0,
    show_default=True,
    help="Seconds under load after the last fault.",
)
@click.option("--json", "as_json", is_flag=True)
def command(
    heads: int, keepers: int, seconds: float, seed: int, faults: bool, timeline: str | None, even: bool,
    after: float, as_json: bool,
) -> None:  # fmt: skip
    """Run real gateways that share one limit, with faults injected between them.

    Starts gateway processes on loopback, each pair connected through relays that lose, delay, duplicate,
    reorder and cut traffic; kills, pauses and restarts the processes, with their store, without it, or with
    an old one.  Exits with status 1 if a guarantee was violated or a gateway logged an error.
    """
    from twisted.internet import reactor  # importing it installs it: only the command does

    use_monotonic_time(reactor)
    # The exit ends the gateway processes that the trial has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    if keepers % 2 == 0 or keepers > heads:
        raise click.BadParameter(
            f"expected an odd number of at most --heads ({heads}), got {keepers}", param_hint="--keepers"
        )
    names = [f"h{n}" for n in range(heads)]
    rows = load_timeline(timeline, names) if timeline else ()
    trial = Trial(
        heads, keepers, seconds, seed, faults=faults, timeline=rows, burst=16.0 * heads, recovery_s=after
    )  # fmt: skip
    comparison: TrialResult | None = None
    console = Console(stderr=as_json)
    try:
        if as_json or not console.is_terminal:
            result = play(reactor, trial)
        else:
            console.print(f"Starting {heads} gateways; {seconds:.0f} s under a moving load.")
            with Live(console=console, transient=True, auto_refresh=False) as live:
                result = play(reactor, trial, lambda rig: live.update(_live_view(rig), refresh=True))
        if even:
            without_fleet = replace(
                trial, seconds=min(COMPARISON_S, seconds), fleet=False, faults=False, timeline=()
            )
            if not as_json:
                console.print(
                    "For comparison: the same demand with a fixed even part of the limit for each gateway."
                )
            comparison = play(reactor, without_fleet)
    except GatewaysNotReady as error:
        raise click.ClickException(
            f"expected all gateways to be ready, the ends of their logs are:\n{error}"
        ) from None
    if as_json:
        print(json.dumps(report_fields(result, comparison)))
        for line in result.errors:
            print(line, file=sys.stderr)
    else:
        print_report(console, trial, result, comparison)
    if any(getattr(result.counts, key) for key in ZERO_COUNTS) or result.errors:
        raise SystemExit(1)
