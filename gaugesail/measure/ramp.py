"""`gaugesail measure ramp`: what gateways that may not exchange messages send to a warming node.

Counted at the node.  The long form of tests/policy/test_slow_start_fleet.py: each size of fleet with the same
seeds.
"""

from __future__ import annotations

import json
from typing import Any

import click

from ..lab.ramp import Ramp, plays
from .storm import SeedRange


def summarize(gateways: int, results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the figures of one size of fleet.

    ``worst`` is the excess over N requests of mean work in a window, as a fraction of 2 * sqrt(N) + 2; above
    1 the node fails.  ``used`` is the share of the node's capacity that served requests.
    """
    capacity = sum(result["power"] for result in results)
    return {
        "heads": gateways, "plays": len(results),
        "over": sum(result["worst"] > 1 or result["broken"] for result in results),
        "worst": round(max(result["worst"] for result in results), 3),
        "served": round(sum(result["served"] for result in results)),
        "used": round(sum(result["served"] for result in results) / capacity, 3),
    }  # fmt: skip


@click.command("ramp")
@click.option(
    "--heads",
    "sizes",
    type=click.IntRange(1, 1000),
    multiple=True,
    default=(5, 20, 30, 200),
    show_default=True,
)
@click.option("--seed", "seeds", type=SeedRange(), default="1-200", show_default=True)
@click.option("--json", "as_json", is_flag=True)
def command(sizes: tuple[int, ...], seeds: list[int], as_json: bool) -> None:
    """What gateways that may not exchange messages send to a warming node, counted there.

    Simulates complete gateways in virtual time.  Exits with 1 if a node got more than the rule allows.
    """
    rows = []
    for gateways in sizes:
        rows.append(summarize(gateways, [Ramp(plays(gateways, seed)).run() for seed in seeds]))
        if not as_json:
            click.echo("  ".join(f"{key} {value}" for key, value in rows[-1].items()))
    if as_json:
        click.echo(json.dumps(rows))
    if any(result["over"] for result in rows):
        raise SystemExit(1)
