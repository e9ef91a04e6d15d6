"""The line of one shard in trouble: who is owed a way back, and how far the line has come.

Its progress is counted in units by weight.  Each lane (the tickets of one plan and class) is served in
proportion to its weight, after start-time fair queueing (Goyal, Vin, Cheng: SIGCOMM 1996), so that a place
is a tag that keeps its order however fast the line moves.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

from .retry_tickets import RetryTicket

FRESH_MOST = 0.75  # of what the node bears: so much at the most is left to fresh requests
FRESH_GAIN = 0.3  # of the latest period in what comes fresh
DUE_S = 0.25  # of what the node bears: with more of the due still waiting, the line does not advance


class ShardPhase(Enum):
    """Where a shard stands."""

    SERVING = "serving"
    FAILING = "failing"  # listed, but not there, or failing whatever it gets
    DOWN = "down"  # the list, or operators, have no node for it
    COLD = "cold"  # back, and not yet at its whole power
    WARM = "warm"  # back, and some are still owed their way


class QueuePriority(IntEnum):
    """How a request stands against the others that wait for its shard; the higher go first."""

    EARLY = 0  # a repeat before its time
    ASKING = 1  # a repeat in its time, whose place has not come
    FRESH = 2
    DUE = 3  # a repeat whose place has come


@dataclass(slots=True, eq=False)
class Flow:
    """The tickets of one plan and class."""

    weight: float
    units: float = 0.0  # units
    tickets: int = 0


@dataclass(slots=True, eq=False)
class RetryStorm:
    """What happened in one storm, for staff."""

    since: int
    peak_tickets: int = 0  # of the tickets
    past_peak: bool = False  # its height
    rejected: int = 0
    returned: int = 0
    early: int = 0


@dataclass(slots=True, eq=False)
class RecoveryQueue:
    """What is known of one shard in trouble.  Times in microseconds of the caller's clock."""

    shard: int
    phase: ShardPhase
    since: int  # of this phase
    reason: str  # the evidence for it
    trial_wait_us: int  # the wait before a trial of a node that fails
    advanced_at: int = 0  # up to when the line has advanced
    started: int = 0  # of the node that it has seen last
    progress: float = 0.0
    flows: dict[tuple[str, str], Flow] = field(default_factory=dict)
    ticket_count: int = 0  # tickets
    ticket_units: float = 0.0  # of them
    due_units: float = 0.0  # units of the due that wait at this gateway now
    capacity_per_s: float = 0.0  # units a second that this gateway may send
    fresh_per_s: float = 0.0  # units a second that come fresh
    fresh_units: float = 0.0  # units of them since the last period
    failure_points: int = 0  # of failures in a row
    trial_at: int = 0
    crowded: bool = False  # it was busy since it went away
    storm: RetryStorm | None = None

    @property
    def retry_rate(self) -> float:
        """Units a second for those who come back: what the node bears, less what comes fresh."""
        return self.capacity_per_s - min(self.fresh_per_s, FRESH_MOST * self.capacity_per_s)

    @property
    def _weight(self) -> float:
        return sum(lane.weight for lane in self.flows.values()) or 1.0

    def advance(self, now: int) -> None:
        """Move on by the time that has passed since the last call."""
        span, self.advanced_at = (now - self.advanced_at) / 1e6, now
        # With the due waiting the node is slower than was thought, and nobody more is called.
        if self.ticket_count and self.due_units <= DUE_S * self.capacity_per_s:
            self.progress += span * self.retry_rate / self._weight

    def end_period(self, span_s: float) -> None:
        """So much time has passed since the last period."""
        self.fresh_per_s += FRESH_GAIN * (self.fresh_units / span_s - self.fresh_per_s)
        self.fresh_units = 0.0

    def enter(self, lane: tuple[str, str], weight: float, units: float) -> float:
        """A place at the end of a lane: its tag."""
        mine = self.flows.setdefault(lane, Flow(weight))
        tag = self.progress + mine.units / mine.weight
        mine.units, mine.tickets = mine.units + units, mine.tickets + 1
        self.ticket_count, self.ticket_units = self.ticket_count + 1, self.ticket_units + units
        return tag

    def leave(self, ticket: RetryTicket) -> None:
        """A ticket was served, lost or has run out."""
        if ticket.flow is None:
            return
        lane = self.flows[ticket.flow]
        lane.units, lane.tickets = lane.units - ticket.units, lane.tickets - 1
        self.ticket_count, self.ticket_units = self.ticket_count - 1, self.ticket_units - ticket.units
        if not lane.tickets:
            del self.flows[ticket.flow]

    def wait_us(self, tag: float) -> int | None:
        """Until a place comes, as fast as the line moves now; None where it stands still."""
        if not self.retry_rate:
            return None
        return int(max(0.0, tag - self.progress) * self._weight / self.retry_rate * 1e6)
