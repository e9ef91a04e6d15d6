"""`gaugesail trial budgets`: real heads on loopback, faults between them, and a page on what came of it."""

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
from .trial import KINDS, NotUp, Played, Rig, Trial, play

BARS = " ▁▂▃▄▅▆▇█"
EVEN_S = 12.0  # of the run beside it, without a fleet
MUST = ("overspent", "lost", "answered_twice", "two_out")
SHOWN_S = 1.0


def timeline_of(path: str, heads: list[str]) -> tuple[tuple[float, str], ...]:
    """Rows of [[fault]] with ``at`` (seconds), ``kind`` and perhaps ``head``; ClickException names what is
    wrong."""
    try:
        data = tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise click.ClickException(f"{path}: {error}") from None
    faults: list[str] = []
    rows: list[tuple[float, str]] = []
    for n, row in enumerate(data.get("fault", []), 1):
        at, kind, head = row.get("at"), row.get("kind"), row.get("head", "")
        if isinstance(at, bool) or not isinstance(at, (int, float)) or at < 0:
            faults.append(f"{path}: [[fault]] {n} at: seconds are needed, not {at!r}")
        if kind not in KINDS:
            faults.append(f"{path}: [[fault]] {n} kind: {kind!r} is none of {', '.join(sorted(KINDS))}")
        if head and head not in heads:
            faults.append(f"{path}: [[fault]] {n} head: {head!r} is none of {', '.join(heads)}")
        if not faults:
            rows.append((float(at), f"{kind} {head}".strip()))
    if not rows and not faults:
        faults.append(f"{path}: at least one [[fault]] is needed")
    if faults:
        raise click.ClickException("\n".join(faults))
    return tuple(sorted(rows))


def figures(played: Played, even: Played | None) -> dict[str, Any]:
    """What is printed with --json."""
    told = played.told
    return {
        "overspent": told.overspent, "lost": told.lost, "answered_twice": told.answered_twice,
        "two_out": told.two_out, "used": round(played.used, 3), "used_after": round(played.used_after, 3),
        "even_used": round(even.used, 3) if even is not None else None, "faults": dict(played.faults),
        "asked": told.asked, "served": told.served, "refused": told.refused, "failed": told.failed,
        "unreached": told.unreached, "least_units": round(told.least, 2), "errors": len(played.errors),
    }  # fmt: skip


def bars(rows: list[tuple[float, str, float]], head: str, began: float, seconds: float, most: float) -> str:
    """Units a second of one head, a sign for each second."""
    sums: dict[int, float] = defaultdict(float)
    for at, name, units in rows:
        if name == head:
            sums[int((at - began) / SHOWN_S)] += units / SHOWN_S
    places = len(BARS) - 1
    return "".join(
        BARS[min(places, round(sums[n] / most * places + (0.49 if sums[n] else 0)))]
        for n in range(int(seconds / SHOWN_S))
    )


def _while(rig: Rig) -> Table:
    """What is shown while it goes on."""
    trial, told = rig.trial, rig.judge.told
    table = Table(title=f"{rig.at:4.0f} of {trial.seconds:.0f} s", title_justify="left", box=None)
    for name in ("head", "", "units a second at the nodes"):
        table.add_column(name)
    for name, head in rig.heads.items():
        state = "stopped" if head.stopped else "up" if head.alive else "down"
        row = bars(told.arrivals, name, rig.began, rig.at, rig.limit.rate)
        table.add_row(name, state, row[-60:])
    last = rig.events[-1] if rig.events else None
    table.add_row("", "", f"latest: {last[1]} {last[2]}" if last else "")
    return table


def page(console: Console, trial: Trial, played: Played, even: Played | None) -> None:
    """What a busy person reads at the end."""
    told = played.told
    table = Table(title="Who held what, when: units a second that reached the nodes, a sign a second",
                  title_justify="left", box=None)  # fmt: skip
    table.add_column("head")
    table.add_column("")
    table.add_column("units", justify="right")
    for n in range(trial.heads):
        name = f"h{n}"
        mine = sum(units for _, who, units in told.arrivals if who == name)
        table.add_row(name, bars(told.arrivals, name, played.began, trial.seconds, trial.rate), f"{mine:.0f}")
    console.print(table)
    for at, what, whom in played.events:
        console.print(f"  {at:5.1f} s  {what} {whom}", highlight=False)
    asked = max(1, told.asked)
    lines = [
        f"The whole: {trial.rate:.0f} units a second and {trial.burst:.0f} at once, for {trial.heads} heads"
        f" together; asked for {trial.over:.1f} times as much, mostly at one head, which changes.",
        f"Used: {played.used:.0%} of the whole"
        + (f", {played.used_after:.0%} once nothing failed any more" if played.faults else "")
        + (f"; with an even part for each head for good, {even.used:.0%}." if even is not None else "."),
        f"Requests: {told.asked}; served {told.served / asked:.0%}, refused at once with a time to come back"
        f" {told.refused / asked:.0%}, failed {told.failed}, their head was gone {told.unreached}.",
    ]
    console.print(Panel("\n".join(lines), title="In short", title_align="left"))
    verdict = Table(title="Never broken, as nodes and clients counted it", title_justify="left", box=None)
    verdict.add_column("what")
    verdict.add_column("times", justify="right")
    names = {
        "overspent": "more at the nodes than the whole allows", "lost": "a request without an answer",
        "answered_twice": "a request with two answers", "two_out": "two attempts of one request at once",
    }  # fmt: skip
    for key in MUST:
        count = getattr(told, key)
        verdict.add_row(names[key], Text(str(count), style="bold red" if count else "green"))
    console.print(verdict)
    for line in played.errors[:5]:
        console.print(f"[red]log: {line}[/red]", highlight=False)


@click.command("budgets")
@click.option("--heads", type=click.IntRange(1, 20), default=5, show_default=True)
@click.option("--keepers", type=click.IntRange(1, 7), default=3, show_default=True)
@click.option("--seconds", type=click.FloatRange(3, 3600), default=60.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--faults/--no-faults", default=True, show_default=True)
@click.option("--timeline", type=click.Path(), help="A TOML file of [[fault]] rows in place of drawn ones.")
@click.option("--even/--no-even", default=True, help="Play the even parts beside it.  [default: even]")
@click.option(
    "--after",
    type=click.FloatRange(0, 600),
    default=16.0,
    show_default=True,
    help="Seconds without faults at the end.",
)
@click.option("--json", "as_json", is_flag=True)
def command(
    heads: int, keepers: int, seconds: float, seed: int, faults: bool, timeline: str | None, even: bool,
    after: float, as_json: bool,
) -> None:  # fmt: skip
    """One limit, real heads that divide it, and faults between them.

    Starts processes of the head on loopback, each pair joined through a relay that loses, delays, doubles,
    reorders, cuts; kills, stops and restarts them, with their store, without, or with an old one.  Exits with
    1 where something was broken that never may be.
    """
    from twisted.internet import reactor  # importing it installs it: only the command does

    use_monotonic_time(reactor)
    # Told to end, it ends the heads that it has started before it goes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    if keepers % 2 == 0 or keepers > heads:
        raise click.BadParameter("an odd number, and no more than heads", param_hint="--keepers")
    names = [f"h{n}" for n in range(heads)]
    told = timeline_of(timeline, names) if timeline else ()
    trial = Trial(
        heads, keepers, seconds, seed, faults=faults, timeline=told, burst=16.0 * heads, after=after
    )  # fmt: skip
    beside: Played | None = None
    console = Console(stderr=as_json)
    try:
        if as_json or not console.is_terminal:
            played = play(reactor, trial)
        else:
            console.print(f"{heads} heads start; {seconds:.0f} s of demand that moves.")
            with Live(console=console, transient=True, auto_refresh=False) as live:
                played = play(reactor, trial, lambda rig: live.update(_while(rig), refresh=True))
        if even:
            plain = replace(trial, seconds=min(EVEN_S, seconds), fleet=False, faults=False, timeline=())
            if not as_json:
                console.print("The same demand with an even part for each head, for comparison.")
            beside = play(reactor, plain)
    except NotUp as error:
        raise click.ClickException(f"the heads did not begin to serve:\n{error}") from None
    if as_json:
        print(json.dumps(figures(played, beside)))
        for line in played.errors:
            print(line, file=sys.stderr)
    else:
        page(console, trial, played, beside)
    if any(getattr(played.told, key) for key in MUST) or played.errors:
        raise SystemExit(1)
