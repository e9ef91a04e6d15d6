"""What operators ask of the fleet, and what became of it."""

from __future__ import annotations

from .log_commands import ForgetHead
from .record import Record


class OperatorCommand(Record, frozen=True, tag="Petition"):
    """What operators asked of any head, for the leader to put into the log."""

    number: int
    command: ForgetHead


class OperatorCommandResult(Record, frozen=True, tag="Heard"):
    """What became of a petition."""

    number: int
    done: bool
    reason: str = ""
