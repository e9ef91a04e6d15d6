"""One member of the fleet as another sees it, and which of two updates of it holds (SWIM, section 4.2)."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from .membership_messages import MemberUpdate


class MemberState(IntEnum):
    """A member's state, the worse the larger."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3  # by its own word


class MemberChangeKind(StrEnum):
    """How a member's state has changed; it is part of a log event's name."""

    JOIN = "join"
    SUSPECT = "suspect"
    REFUTE = "refute"  # it was suspected, and is alive
    GONE = "gone"
    LEFT = "left"
    BACK = "back"  # it was gone, or is another process now


@dataclass(slots=True, frozen=True)
class MemberChange:
    """A member's state has changed."""

    kind: MemberChangeKind
    name: str
    address: str


@dataclass(slots=True, eq=False)
class Member:
    """One member by its largest update.  Times are in microseconds of this gateway's clock."""

    update: MemberUpdate
    state_since: int
    suspect_until: int = 0  # then it counts as gone
    suspected_by: set[str] = field(default_factory=set)

    @property
    def state(self) -> MemberState:
        """The state that the update says."""
        return MemberState(self.update.state)


def rank(update: MemberUpdate) -> tuple[int, int, int]:
    """Return the order of a member's updates: the larger one holds."""
    return update.generation, update.incarnation, update.state


_KIND_OF_STATE = {
    MemberState.SUSPECT: MemberChangeKind.SUSPECT,
    MemberState.GONE: MemberChangeKind.GONE,
    MemberState.LEFT: MemberChangeKind.LEFT,
}


def change_kind(before: MemberUpdate | None, after: MemberUpdate) -> MemberChangeKind | None:
    """Return what operators are told of a larger update; None if nothing."""
    state = MemberState(after.state)
    if state is not MemberState.ALIVE:
        return None if before is not None and before.state == state else _KIND_OF_STATE[state]
    if before is None:
        return MemberChangeKind.JOIN
    if before.process != after.process or before.state >= MemberState.GONE:
        return MemberChangeKind.BACK
    return MemberChangeKind.REFUTE if before.state == MemberState.SUSPECT else None
