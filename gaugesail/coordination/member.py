"""One member of the fleet, and which of two updates of it takes precedence (SWIM, section 4.2)."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from .membership_messages import MemberUpdate


class MemberState(IntEnum):
    """A member's state; with equal generation and incarnation the larger state takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2  # its suspicion timed out
    LEFT = 3  # it announced that it leaves


class MemberChangeKind(StrEnum):
    """The kind of a state change; part of a log event's name."""

    JOIN = "join"
    SUSPECT = "suspect"
    REFUTE = "refute"  # a suspect is alive
    GONE = "gone"
    LEFT = "left"
    BACK = "back"  # it was GONE or LEFT, or has a new process


@dataclass(slots=True, frozen=True)
class MemberChange:
    """A change of a member's state."""

    kind: MemberChangeKind
    name: str
    address: str


@dataclass(slots=True, eq=False)
class Member:
    """One member with its latest update.  Times are in microseconds of this gateway's clock."""

    update: MemberUpdate
    state_since: int
    suspect_until: int = 0  # when a suspect's state becomes GONE
    suspected_by: set[str] = field(default_factory=set)

    @property
    def state(self) -> MemberState:
        """The member's state by its latest update."""
        return MemberState(self.update.state)


def rank(update: MemberUpdate) -> tuple[int, int, int]:
    """Return an update's rank among those of its member: the larger one takes precedence."""
    return update.generation, update.incarnation, update.state


_KIND_OF_STATE = {
    MemberState.SUSPECT: MemberChangeKind.SUSPECT,
    MemberState.GONE: MemberChangeKind.GONE,
    MemberState.LEFT: MemberChangeKind.LEFT,
}


def change_kind(before: MemberUpdate | None, after: MemberUpdate) -> MemberChangeKind | None:
    """Return the change to report to operators after a newer update; None if there is none."""
    state = MemberState(after.state)
    if state is not MemberState.ALIVE:
        return None if before is not None and before.state == state else _KIND_OF_STATE[state]
    if before is None:
        return MemberChangeKind.JOIN
    if before.process != after.process or before.state >= MemberState.GONE:
        return MemberChangeKind.BACK
    return MemberChangeKind.REFUTE if before.state == MemberState.SUSPECT else None
