"""The commands of the replicated log, which change the ledger or the voters."""

from __future__ import annotations

from .record import Record


class Noop(Record, frozen=True, tag="Noop"):
    """The first entry of a leader's term: once it is committed, so are all entries before it."""


class ReplaceVoters(Record, frozen=True, tag="Seats"):
    """Set the voters from here on, by replica id (replica_id.py); one is added or removed at a time."""

    voters: tuple[str, ...]


class OpenSession(Record, frozen=True, tag="Open"):
    """Open a session for one process of a gateway.  The index of the entry is the session's number."""

    gateway: str
    process: int
    store_id: str = ""  # the store that its floor is bound to; "": no store, and so no floor


class CloseSession(Record, frozen=True, tag="Close"):
    """Close a session and free its allocations: its holder left, or its lease has expired on every clock."""

    session: int


class AllocateQuota(Record, frozen=True, tag="Part"):
    """Replace one session's allocation of one quota.  Rate and burst in thousandths."""

    quota_name: str
    session: int
    rate: int
    burst: int
    replaced_version: int = 0  # index of the entry that made the replaced allocation; 0: none


class SetLimits(Record, frozen=True, tag="Wholes"):
    """Set the limit of each plan, as the gateways state it: lower ones apply at once, higher ones later."""

    limits: tuple[tuple[str, int, int], ...]  # plan, rate, burst


class SettleLimits(Record, frozen=True, tag="Settle"):
    """Apply the stated limits in full: all leases granted under limits before this version have expired."""

    limits_version: int


class AcknowledgeFloor(Record, frozen=True, tag="FloorAt"):
    """Record that the holder of a floor slot goes by the limits of this version, and by no older ones."""

    floor_slot: int
    limits_version: int


class ForgetGateway(Record, frozen=True, tag="Forget"):
    """Free the floor slot of a gateway that operators have removed for good."""

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
