"""What the replicated log holds: commands that change the ledger or the voters."""

from __future__ import annotations

from .record import Record


class Noop(Record, frozen=True, tag="Noop"):
    """The first entry of a leader's term: once it is committed, so is every entry before it."""


class ReplaceVoters(Record, frozen=True, tag="Seats"):
    """The voters from here on, by replica id (replica_id.py); one is added or removed at a time."""

    voters: tuple[str, ...]


class OpenSession(Record, frozen=True, tag="Open"):
    """Open a session for one process of a gateway.  The entry's index is the session's number."""

    gateway: str
    process: int
    store_id: str = ""  # that a floor is bound to; "": it has no store, and gets no floor


class CloseSession(Record, frozen=True, tag="Close"):
    """End a session and free its allocations: it has left, or its lease has surely run out."""

    session: int


class AllocateQuota(Record, frozen=True, tag="Part"):
    """Replace what one session may spend of one quota."""

    quota_name: str
    session: int
    rate: int
    burst: int
    replaced_version: int = 0  # index of the entry that it replaces; 0: there is none


class SetLimits(Record, frozen=True, tag="Wholes"):
    """The limit of each plan, as the gateways' files say: a lower one holds at once, a higher one later."""

    limits: tuple[tuple[str, int, int], ...]  # plan, rate, burst


class SettleLimits(Record, frozen=True, tag="Settle"):
    """No lease granted under the limits before this version counts any more: the stated ones hold in full."""

    limits_version: int


class AcknowledgeFloor(Record, frozen=True, tag="FloorAt"):
    """The holder of a floor slot goes by the limits of this version, and by no older ones."""

    floor_slot: int
    limits_version: int


class ForgetGateway(Record, frozen=True, tag="Forget"):
    """Operators say that a gateway is gone for good: its floor slot is free."""

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
    | ForgetGateway
)


class LogEntry(Record, frozen=True, tag="Entry"):
    """One entry of the log."""

    term: int
    command: Command
