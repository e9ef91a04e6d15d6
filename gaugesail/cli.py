"""The command line; the module of a command is imported only when the command is called."""

from __future__ import annotations

import importlib
from typing import Any

import click


class LazyGroup(click.Group):
    """A group of commands that are imported on use; ``lazy`` maps each name to ``module:attribute``."""

    def __init__(self, *args: Any, lazy: dict[str, str] | None = None, **named: Any) -> None:
        super().__init__(*args, **named)
        self._lazy = lazy or {}

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of all commands, imported or not."""
        return sorted({*super().list_commands(ctx), *self._lazy})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a command's module and return the command, or None for an unknown name."""
        if (where := self._lazy.get(cmd_name)) is None:
            return super().get_command(ctx, cmd_name)
        module, _, name = where.partition(":")
        command: click.Command = getattr(importlib.import_module(module), name)
        return command


@click.group(
    cls=LazyGroup,
    lazy={
        "ctl": "gaugesail.fleet.ctl:command",
        "measure": "gaugesail.cli:measure",
        "trial": "gaugesail.cli:trial",
    },
)
def main() -> None:
    """gaugesail: a storage gateway, its rehearsal kit and its laboratory."""


@click.group(cls=LazyGroup, lazy={
    "budgets": "gaugesail.rehearsal.fleet.command:command",
    "soak": "gaugesail.rehearsal.soak.command:command",
})  # fmt: skip
def trial() -> None:
    """Run trials of real processes on loopback, with faults injected between them."""


@click.group(cls=LazyGroup, lazy={
    "budgets": "gaugesail.measure.budgets:command", "decisions": "gaugesail.measure.decision_digest:command",
    "fleet-cost": "gaugesail.measure.fleet_cost:command",
    "ramp": "gaugesail.measure.ramp:command",
    "server-count": "gaugesail.measure.server_count:command",
    "starved": "gaugesail.measure.starved:command", "storm": "gaugesail.measure.storm:command",
})  # fmt: skip
def measure() -> None:
    """Measure the gateway, in virtual time or against a baseline in the same run."""


if __name__ == "__main__":
    main()
