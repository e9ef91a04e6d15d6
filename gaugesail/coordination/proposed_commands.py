"""The commands that a leader has proposed and that are not applied yet, so that none is proposed twice."""

from __future__ import annotations

from .consensus import RaftNode
from .log_commands import (
    AcknowledgeFloor,
    AllocateQuota,
    CloseSession,
    Command,
    OpenSession,
    SetLimits,
    SettleLimits,
)

SingleCommand = OpenSession | CloseSession | SettleLimits | SetLimits | AcknowledgeFloor
CommandKey = tuple[type[Command], int]


def _key(command: SingleCommand) -> CommandKey:
    """Return a command's key; at most one command of each key is pending."""
    match command:
        case OpenSession():
            return OpenSession, command.process
        case CloseSession():
            return CloseSession, command.session
        case AcknowledgeFloor():
            return AcknowledgeFloor, command.floor_slot
        case SetLimits():
            return SetLimits, 0
        case SettleLimits():
            return SettleLimits, 0


class ProposedCommands:
    """The proposals of one leader in one term."""

    def __init__(self, raft: RaftNode) -> None:
        self._raft = raft
        self._indices: dict[CommandKey, int] = {}
        self._allocating: dict[str, set[int]] = {}  # sessions with a pending AllocateQuota, by quota

    def propose_once(self, command: SingleCommand) -> None:
        """Propose a command, unless one with the same key is pending."""
        key = _key(command)
        if key in self._indices:
            return
        index = self._raft.propose(command)
        if index is not None:
            self._indices[key] = index

    def propose_allocation(self, command: AllocateQuota) -> int | None:
        """Propose an allocation, unless one for the same session and quota is pending.

        Returns the index of its entry, or None if it was not proposed.
        """
        allocating = self._allocating.setdefault(command.quota_name, set())
        if command.session in allocating:
            return None
        allocating.add(command.session)
        return self._raft.propose(command)

    def sets_limits(self) -> bool:
        """Whether a SetLimits is pending."""
        return (SetLimits, 0) in self._indices

    def allocates(self, quota_name: str) -> bool:
        """Whether any AllocateQuota of a quota is pending."""
        return quota_name in self._allocating

    def applied(self, command: SingleCommand) -> None:
        """Note that a command was applied, whichever leader proposed it."""
        self._indices.pop(_key(command), None)

    def allocation_applied(self, command: AllocateQuota) -> None:
        """Note that an allocation was applied, or rejected by the ledger."""
        allocating = self._allocating.get(command.quota_name, set())
        allocating.discard(command.session)
        if not allocating:
            self._allocating.pop(command.quota_name, None)
