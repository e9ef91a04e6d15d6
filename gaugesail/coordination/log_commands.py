"""What the replicated log holds: commands that change the ledger or the voters."""

from __future__ import annotations

from .record import Record


class Noop(Record, frozen=True, tag="Noop"):
    """The first entry of a leader's term; once it is committed, all before it is."""


class ReplaceVoters(Record, frozen=True, tag="Seats"):
    """Who keeps the log from here on: ``name#store`` each, one added or taken away at a time."""

    seats: tuple[str, ...]


class OpenSession(Record, frozen=True, tag="Open"):
    """A session for one process of a head.  The entry's index is its number; a store may bind a floor."""

    gateway: str
    process: int
    store: str = ""


class CloseSession(Record, frozen=True, tag="Close"):
    """A session is over and its parts are free: it left in order, or its lease has surely run out."""

    session: int


class AllocateQuota(Record, frozen=True, tag="Part"):
    """What one session may spend of one amount, in place of what stood there under ``held``."""

    quota_name: str
    session: int
    rate: int
    burst: int
    replaced_version: int = 0  # index of the entry that it replaces; 0: there was none


class SetLimits(Record, frozen=True, tag="Wholes"):
    """The limit of each plan, as the heads' files say: what is less holds at once, what is more later."""

    limits: tuple[tuple[str, int, int], ...]  # plan, rate, burst


class SettleLimits(Record, frozen=True, tag="Settle"):
    """Whatever was given under the wholes before ``version`` has run out: the whole ones hold now."""

    limits_version: int


class AcknowledgeFloor(Record, frozen=True, tag="FloorAt"):
    """The holder of a slot spends no more of it than wholes ``version`` allow."""

    floor_slot: int
    limits_version: int


class ForgetHead(Record, frozen=True, tag="Forget"):
    """Operators say that a head is gone for good: its slot is free."""

    gateway: str


Command = (
    Noop
    | ReplaceVoters
    | OpenSession
    | CloseSession
    | AllocateQuota
    | SetLimits
    | SettleLimits
    | AcknowledgeFloor
    | ForgetHead
)


class LogEntry(Record, frozen=True, tag="Entry"):
    """One place of the log."""

    term: int
    command: Command
