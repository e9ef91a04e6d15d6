"""The recovery queue of one shard: which clients were rejected and may retry, and which retries are due.

The progress of the queue is its virtual time, in units divided by weight.  Each flow (the tickets of one
plan and class) is served in proportion to its weight, by start-time fair queueing (Goyal, Vin, Cheng: SIGCOMM
1996).  The turn of a ticket is a tag in virtual time, so the order of tickets does not depend on how fast the
queue advances.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .retry_tickets import RetryTicket

MAX_NEW_SHARE = 0.75  # of the capacity: the most that is reserved for new requests
NEW_RATE_SMOOTHING = 0.3  # weight of the latest control period in the rate of new requests
DUE_BACKLOG_S = 0.25  # seconds of capacity; with more due retries waiting, the queue does not advance
LONG_QUEUE_TICKETS = 8  # with this many tickets or more, every gateway has more to send than its share


class Arrival(Enum):
    """When a request came, by the ticket of its operation; it is served like any other.

    Only the next Retry-After time depends on it, and how fast the queue advances.
    """

    WITHOUT_TICKET = "without_ticket"
    EARLY = "early"  # before its Retry-After time
    BEFORE_TURN = "before_turn"  # in time, but before its turn
    DUE = "due"  # in time and at its turn


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
    advanced_at: int  # time of the last advance
    progress: float = 0.0  # virtual time
    flows: dict[tuple[str, str], Flow] = field(default_factory=dict)  # by plan and class
    ticket_count: int = 0
    ticket_units: float = 0.0
    due_units: float = 0.0  # units of due retries that wait at this gateway now
    capacity_per_s: float = 0.0  # units per second that this gateway may send
    new_per_s: float = 0.0  # units per second of new requests, smoothed
    new_units: float = 0.0  # units of new requests since the last control period
    contended: bool = False  # it has been long since the shard became unavailable

    @property
    def is_long(self) -> bool:
        """Whether so many clients may retry that every gateway has more to send than its share."""
        return self.ticket_count >= LONG_QUEUE_TICKETS

    @property
    def is_unused(self) -> bool:
        """Whether it has no tickets and no requests lately, and nothing may be sent."""
        return not (self.ticket_count or self.capacity_per_s or self.new_per_s or self.new_units)

    @property
    def retry_rate(self) -> float:
        """Units per second for retries: the capacity less what new requests take."""
        return self.capacity_per_s - min(self.new_per_s, MAX_NEW_SHARE * self.capacity_per_s)

    @property
    def _weight(self) -> float:
        return sum(flow.weight for flow in self.flows.values()) or 1.0

    def advance(self, now: int) -> None:
        """Advance the queue by the time since the last call."""
        span_s = (now - self.advanced_at) / 1e6
        self.advanced_at = now
        # A backlog of due retries shows that the node is slower than assumed: no more become due meanwhile.
        if self.ticket_count and self.due_units <= DUE_BACKLOG_S * self.capacity_per_s:
            self.progress += span_s * self.retry_rate / self._weight

    def end_period(self, span_s: float) -> None:
        """End a control period of ``span_s`` seconds."""
        self.new_per_s += NEW_RATE_SMOOTHING * (self.new_units / span_s - self.new_per_s)
        self.new_units = 0.0

    def enter(self, flow_key: tuple[str, str], weight: float, units: float) -> float:
        """Add a ticket at the end of a flow and return its tag.

        :param flow_key: plan and class.
        :param weight: of the flow, if it is new.
        """
        flow = self.flows.setdefault(flow_key, Flow(weight))
        tag = self.progress + flow.units / flow.weight
        flow.units += units
        flow.tickets += 1
        self.ticket_count += 1
        self.ticket_units += units
        return tag

    def leave(self, ticket: RetryTicket) -> None:
        """Remove a ticket that was served or dropped, or has expired."""
        if ticket.flow is None:
            return
        flow = self.flows[ticket.flow]
        flow.units -= ticket.units
        flow.tickets -= 1
        self.ticket_count -= 1
        self.ticket_units -= ticket.units
        if not flow.tickets:
            del self.flows[ticket.flow]

    def add_due(self, units: float) -> None:
        """Add a due retry of ``units`` that waits at this gateway."""
        self.due_units += units

    def remove_due(self, units: float) -> None:
        """Remove a due retry of ``units`` that no longer waits."""
        self.due_units = max(0.0, self.due_units - units)

    def wait_us(self, tag: float) -> int | None:
        """Return the microseconds until a tag is due at the present rate; None if the queue is stopped."""
        if not self.retry_rate:
            return None
        return int(max(0.0, tag - self.progress) * self._weight / self.retry_rate * 1e6)
