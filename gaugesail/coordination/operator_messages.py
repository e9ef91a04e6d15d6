"""What operators ask of the fleet, and what became of it."""

from __future__ import annotations

from .log_commands import ForgetGateway
from .record import Record


class OperatorCommand(Record, frozen=True, tag="Petition"):
    """A command that operators gave to any gateway, for the leader to put into the log."""

    number: int
    command: ForgetGateway


class OperatorCommandResult(Record, frozen=True, tag="Heard"):
    """What became of a command; ``reason`` says why it was not done, or that there was nothing to do."""

    number: int
    done: bool
    reason: str = ""
