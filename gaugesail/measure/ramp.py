"""`gaugesail measure ramp`: what a fleet that may not talk sends to a cold node, counted at the node.

The long form of tests/test_cold_fleet.py, for each size of fleet over the same seeds.
"""

from __future__ import annotations

import json
from typing import Any

import click

from ..lab.ramp import Ramp, plays
from .storm import Seeds


def row(heads: int, played: list[dict[str, Any]]) -> dict[str, Any]:
    """The figures of one size of fleet.

    ``worst``: requests of mean work over N in a window, in parts of 2 x root of N + 2; over 1 the node falls.
    ``used``: what the node served of what it could.
    """
    power = sum(one["power"] for one in played)
    return {
        "heads": heads, "plays": len(played),
        "over": sum(one["worst"] > 1 or one["broken"] for one in played),
        "worst": round(max(one["worst"] for one in played), 3),
        "served": round(sum(one["served"] for one in played)),
        "used": round(sum(one["served"] for one in played) / power, 3),
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
@click.option("--seed", "seeds", type=Seeds(), default="1-200", show_default=True)
@click.option("--json", "as_json", is_flag=True)
def command(sizes: tuple[int, ...], seeds: list[int], as_json: bool) -> None:
    """What a fleet that may not talk sends to a cold node, counted there.

    Plays whole heads in virtual time.  Exits with 1 where a node got more than the rule allows.
    """
    found = []
    for heads in sizes:
        found.append(row(heads, [Ramp(plays(heads, seed)).run() for seed in seeds]))
        if not as_json:
            click.echo("  ".join(f"{key} {value}" for key, value in found[-1].items()))
    if as_json:
        click.echo(json.dumps(found))
    if any(one["over"] for one in found):
        raise SystemExit(1)
