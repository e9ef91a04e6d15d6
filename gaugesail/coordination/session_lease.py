"""The leader's state of one session: its lease, its reports, and its unconfirmed orders."""

from __future__ import annotations

from dataclasses import dataclass, field

from .lease_messages import LeaseRequest, QuotaDemand
from .quota_ledger import RateBurst


@dataclass(slots=True, eq=False)
class SessionLease:
    """One session as its leader counts it.  Times in microseconds of the leader's clock."""

    expires_at: int  # FleetTerms.grantor_lease_end: the holder has stopped spending by then
    gateway: str
    confirmation_round: int = 0  # round of the log to confirm before ``unanswered_request`` is granted
    unanswered_request: LeaseRequest | None = None
    unconfirmed: dict[str, int] = field(default_factory=dict)  # when last sent, by quota
    release_targets: dict[str, RateBurst] = field(default_factory=dict)  # to release down to, by quota
    demands: dict[str, QuotaDemand] = field(default_factory=dict)
    limits: tuple[tuple[str, int, int], ...] = ()  # as stated by the holder; empty until then
    max_request: int = 0  # largest client request, in thousandths of a unit
    closing: bool = False  # its CloseSession is proposed: it is no longer renewed
