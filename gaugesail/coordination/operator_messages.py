"""Operators' commands to the fleet, and their results."""

from __future__ import annotations

from .log_commands import ForgetGateway
from .record import Record


class OperatorCommand(Record, frozen=True, tag="Petition"):
    """A command that an operator gave to any gateway, for the leader to append to the log."""

    number: int
    command: ForgetGateway


class OperatorCommandResult(Record, frozen=True, tag="Heard"):
    """The result of a command; ``reason`` says why it was rejected, or that there was nothing to do."""

    number: int
    done: bool
    reason: str = ""
