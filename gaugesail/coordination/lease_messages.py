"""Messages by which a gateway renews its lease and receives quota (lease_holder.py, lease_manager.py).

Rates are thousandths of a unit a second, bursts and requests thousandths of a unit.
"""

from __future__ import annotations

from enum import IntEnum

from .record import Record


class QuotaDemand(Record, frozen=True, tag="Demand"):
    """A holder's demand for one quota."""

    quota_name: str
    rate: int  # 0: no demand
    priority_weight: int  # of one unit, in thousandths
    used: int = 0  # rate at which it spent lately


class HeldQuota(Record, frozen=True, tag="Held"):
    """The allocation of one quota by which a holder spends."""

    quota_name: str
    version: int  # index of the latest entry of this allocation that it received
    rate: int
    burst: int


class LeaseRequest(Record, frozen=True, tag="Ask"):
    """Requests a lease or its renewal, and reports what has changed at the holder."""

    process: int
    number: int  # increases by one with each request of the process
    session: int  # 0: none
    terms_digest: str
    store_id: str  # "": no store
    limits: tuple[tuple[str, int, int], ...]  # plan, rate and burst as configured at the holder
    floor_slot: int  # -1: none
    floor_version: int  # version of the limits that its floor goes by
    max_request: int  # largest request of the gateway's clients
    fleet: str  # id of the session's fleet
    last_seen_index: int  # of the latest entry of that fleet's log that the holder received
    demands: tuple[QuotaDemand, ...] = ()  # changed ones
    held: tuple[HeldQuota, ...] = ()  # changed ones
    leaving: bool = False  # the holder gives up its session


class LeaseStatus(IntEnum):
    """The outcome of a request."""

    RENEWED = 0
    UNKNOWN_SESSION = 1  # the session was closed or never opened
    NOT_LEADER = 2  # retry at the gateway that ``leader`` names, if any
    TERMS_DIFFER = 3  # the two gateways' configurations differ in the fleet's terms
    LEFT = 4  # the session is being closed, as the holder requested


class QuotaOrder(Record, frozen=True, tag="Order"):
    """One allocation of a session."""

    quota_name: str
    version: int  # index of the entry that set it
    rate: int
    burst: int
    release: bool = False  # the holder is to release down to this rate and burst


class LeaseResponse(Record, frozen=True, tag="Answer"):
    """Responds to a LeaseRequest.  Only RENEWED extends the lease, counted from when the request was sent."""

    process: int
    number: int  # of the request
    status: LeaseStatus
    session: int = 0
    term: int = 0
    leader: str = ""  # "": unknown
    floor_slot: int = -1
    limits_version: int = 0
    limits: tuple[tuple[str, int, int], ...] = ()  # plan, rate and burst in force
    fleet: str = ""


class QuotaOrders(Record, frozen=True, tag="Orders"):
    """Changed allocations, resent until the holder confirms them."""

    process: int
    session: int
    fleet: str
    orders: tuple[QuotaOrder, ...]
