"""How a gateway renews its lease and hears of its quota (lease_holder.py, lease_manager.py)."""

from __future__ import annotations

from enum import IntEnum

from .record import Record


class QuotaDemand(Record, frozen=True, tag="Demand"):
    """What a head wants of an amount, what a unit is worth there in thousandths, and what it has used lately;
    rate 0: it wants nothing."""

    quota_name: str
    rate: int
    priority_weight: int
    used: int = 0


class HeldQuota(Record, frozen=True, tag="Held"):
    """What a holder's book says of a part: ``version`` is the latest entry that it has taken in."""

    quota_name: str
    version: int
    rate: int
    burst: int


class LeaseRequest(Record, frozen=True, tag="Ask"):
    """A holder renews its lease, and tells what has changed."""

    process: int
    number: int
    session: int  # 0: it has none
    terms_digest: str
    store: str
    limits: tuple[tuple[str, int, int], ...]  # by its own file
    floor_slot: int  # of its floor; -1: none
    floor_version: int  # version of the wholes that its floor goes by
    max_request: int  # the largest request
    fleet: str  # whose the session is
    last_seen_index: int  # the latest entry of that fleet's log that it has heard of
    demands: tuple[QuotaDemand, ...] = ()
    held: tuple[HeldQuota, ...] = ()
    leaving: bool = False


class LeaseStatus(IntEnum):
    """What became of an ask."""

    RENEWED = 0
    UNKNOWN_SESSION = 1  # the session is over, or was never opened
    NOT_LEADER = 2  # ask the gateway that is named, if any
    TERMS_DIFFER = 3  # the two files differ in the terms of the fleet
    LEFT = 4


class QuotaOrder(Record, frozen=True, tag="Order"):
    """One part of the session that is told: by entry ``version`` it may be so much; ``lower`` asks for a
    release down to that."""

    quota_name: str
    version: int
    rate: int
    burst: int
    release: bool = False


class LeaseResponse(Record, frozen=True, tag="Answer"):
    """To one ask.  Only RENEWED lets the holder spend, from when it sent that ask."""

    process: int
    number: int
    status: LeaseStatus
    session: int = 0
    term: int = 0
    leader: str = ""
    floor_slot: int = -1
    limits_version: int = 0  # of the wholes below
    limits: tuple[tuple[str, int, int], ...] = ()
    fleet: str = ""


class QuotaOrders(Record, frozen=True, tag="Orders"):
    """Parts that have changed, told when they do and again until the holder's book says so."""

    process: int
    session: int
    fleet: str
    orders: tuple[QuotaOrder, ...]
