"""How a gateway renews its lease and hears of its quota (lease_holder.py, lease_manager.py).

Rates are thousandths of a unit a second, bursts and requests thousandths of a unit.
"""

from __future__ import annotations

from enum import IntEnum

from .record import Record


class QuotaDemand(Record, frozen=True, tag="Demand"):
    """What a gateway wants of one quota."""

    quota_name: str
    rate: int  # 0: it wants nothing
    priority_weight: int  # of one unit, in thousandths
    used: int = 0  # rate at which it has spent lately


class HeldQuota(Record, frozen=True, tag="Held"):
    """What a holder spends by of one quota."""

    quota_name: str
    version: int  # index of the latest entry of this allocation that it knows
    rate: int
    burst: int


class LeaseRequest(Record, frozen=True, tag="Ask"):
    """A holder renews its lease, and tells what has changed."""

    process: int
    number: int  # goes up by one
    session: int  # 0: it has none
    terms_digest: str
    store_id: str  # "": it has no store
    limits: tuple[tuple[str, int, int], ...]  # plan, rate and burst, by its own file
    floor_slot: int  # -1: none
    floor_version: int  # of the limits that its floor goes by
    max_request: int  # its largest request
    fleet: str  # that the session is of
    last_seen_index: int  # the latest entry of that fleet's log that it has heard of
    demands: tuple[QuotaDemand, ...] = ()  # those that have changed
    held: tuple[HeldQuota, ...] = ()  # those that have changed
    leaving: bool = False  # it gives up its session


class LeaseStatus(IntEnum):
    """What became of a request."""

    RENEWED = 0
    UNKNOWN_SESSION = 1  # the session is over, or was never opened
    NOT_LEADER = 2  # ask the gateway that is named, if any
    TERMS_DIFFER = 3  # the two files differ in the terms of the fleet
    LEFT = 4  # the session is being closed, as the holder asked


class QuotaOrder(Record, frozen=True, tag="Order"):
    """One allocation of a session."""

    quota_name: str
    version: int  # index of the entry that made it
    rate: int
    burst: int
    release: bool = False  # the holder is asked to come down to these


class LeaseResponse(Record, frozen=True, tag="Answer"):
    """To one request.  Only RENEWED lets the holder spend, from when it sent that request."""

    process: int
    number: int  # of the request
    status: LeaseStatus
    session: int = 0
    term: int = 0
    leader: str = ""  # "": not known
    floor_slot: int = -1
    limits_version: int = 0
    limits: tuple[tuple[str, int, int], ...] = ()  # plan, rate and burst in force
    fleet: str = ""


class QuotaOrders(Record, frozen=True, tag="Orders"):
    """Allocations that have changed, sent when they do and repeated until the holder confirms them."""

    process: int
    session: int
    fleet: str
    orders: tuple[QuotaOrder, ...]
