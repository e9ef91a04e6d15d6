"""The command line.  Libraries of a command are imported when it is called, and only then."""

from __future__ import annotations

import importlib
from typing import Any

import click


class LazyGroup(click.Group):
    """A group whose commands are told by the module and the name that they are found under."""

    def __init__(self, *args: Any, lazy: dict[str, str] | None = None, **named: Any) -> None:
        super().__init__(*args, **named)
        self._lazy = lazy or {}

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of all commands, imported or not."""
        return sorted({*super().list_commands(ctx), *self._lazy})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a command's module and return the command; None for a name that there is not."""
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
    """gaugesail: a storage head, its rehearsal kit and its laboratory."""


@click.group(cls=LazyGroup, lazy={
    "budgets": "gaugesail.rehearsal.fleet.command:command",
    "soak": "gaugesail.rehearsal.soak.command:command",
})  # fmt: skip
def trial() -> None:
    """Play what the fleet does with real processes on loopback, and faults between them."""


@click.group(cls=LazyGroup, lazy={
    "budgets": "gaugesail.measure.budgets:command", "fleet-cost": "gaugesail.measure.fleet_cost:command",
    "ramp": "gaugesail.measure.ramp:command", "storm": "gaugesail.measure.storm:command",
})  # fmt: skip
def measure() -> None:
    """Measure what the head does, in virtual time or against a baseline in the same run."""


if __name__ == "__main__":
    main()
