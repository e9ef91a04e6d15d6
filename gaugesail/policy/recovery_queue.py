"""The recovery queue of one shard: who was rejected and may come back, and whose turn has come.

The progress of the queue is counted in units by weight.  Each flow (the tickets of one plan and class) is
served in proportion to its weight, after start-time fair queueing (Goyal, Vin, Cheng: SIGCOMM 1996).  A turn
is a tag, which keeps its order however fast the queue moves.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from .retry_tickets import RetryTicket

MAX_NEW_SHARE = 0.75  # of the capacity: the most that is set aside for new requests
NEW_RATE_SMOOTHING = 0.3  # weight of the latest control period in the rate of new requests
DUE_BACKLOG_S = 0.25  # of capacity: with more due retries waiting, the queue does not advance
ORDERING_TICKETS = 8  # from which on the queue orders what is sent


class QueuePriority(IntEnum):
    """How a request stands against the others that wait for its shard; the higher go first."""

    EARLY_RETRY = 0  # before its Retry-After time
    RETRY = 1  # in time, but its turn has not come
    NEW = 2
    DUE_RETRY = 3  # in time, and its turn has come


@dataclass(slots=True, eq=False)
class Flow:
    """The tickets of one plan and class."""

    weight: float
    units: float = 0.0
    tickets: int = 0


@dataclass(slots=True, eq=False)
class RecoveryQueue:
    """The tickets of one shard.  Times are microseconds of the caller's clock."""

    shard: int
    advanced_at: int  # up to when the queue has advanced
    progress: float = 0.0
    flows: dict[tuple[str, str], Flow] = field(default_factory=dict)  # by plan and class
    ticket_count: int = 0
    ticket_units: float = 0.0
    due_units: float = 0.0  # of due retries that wait at this gateway now
    capacity_per_s: float = 0.0  # units a second that this gateway may send
    new_per_s: float = 0.0  # units a second of new requests, smoothed
    new_units: float = 0.0  # of new requests since the last control period
    crowded: bool = False  # it has ordered what is sent since the shard became unavailable

    @property
    def orders_requests(self) -> bool:
        """Whether enough clients may come back that the queue orders what is sent."""
        return self.ticket_count >= ORDERING_TICKETS

    @property
    def retry_rate(self) -> float:
        """Units a second for retries: the capacity less what new requests take."""
        return self.capacity_per_s - min(self.new_per_s, MAX_NEW_SHARE * self.capacity_per_s)

    @property
    def _weight(self) -> float:
        return sum(flow.weight for flow in self.flows.values()) or 1.0

    def advance(self, now: int) -> None:
        """Move on by the time that has passed since the last call."""
        span_s = (now - self.advanced_at) / 1e6
        self.advanced_at = now
        # Due retries that still wait show a node slower than assumed: no more turns come until they are sent.
        if self.ticket_count and self.due_units <= DUE_BACKLOG_S * self.capacity_per_s:
            self.progress += span_s * self.retry_rate / self._weight

    def end_period(self, span_s: float) -> None:
        """End a control period of ``span_s`` seconds."""
        self.new_per_s += NEW_RATE_SMOOTHING * (self.new_units / span_s - self.new_per_s)
        self.new_units = 0.0

    def enter(self, flow_key: tuple[str, str], weight: float, units: float) -> float:
        """Add a ticket at the end of the flow of a plan and class, and return its tag."""
        flow = self.flows.setdefault(flow_key, Flow(weight))
        tag = self.progress + flow.units / flow.weight
        flow.units += units
        flow.tickets += 1
        self.ticket_count += 1
        self.ticket_units += units
        return tag

    def leave(self, ticket: RetryTicket) -> None:
        """Remove a ticket that was served, dropped or has expired."""
        if ticket.flow is None:
            return
        flow = self.flows[ticket.flow]
        flow.units -= ticket.units
        flow.tickets -= 1
        self.ticket_count -= 1
        self.ticket_units -= ticket.units
        if not flow.tickets:
            del self.flows[ticket.flow]

    def record_due(self, units: float) -> None:
        """A due retry of ``units`` waits here."""
        self.due_units += units

    def due_left(self, units: float) -> None:
        """A due retry of ``units`` waits no more."""
        self.due_units = max(0.0, self.due_units - units)

    def wait_us(self, tag: float) -> int | None:
        """Microseconds until a turn comes at the present rate; None while the queue stands still."""
        if not self.retry_rate:
            return None
        return int(max(0.0, tag - self.progress) * self._weight / self.retry_rate * 1e6)
