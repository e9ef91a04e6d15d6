"""What the leader knows of one session: its lease, what it has stated, and what it has not confirmed."""

from __future__ import annotations

from dataclasses import dataclass, field

from .lease_messages import LeaseRequest, QuotaDemand
from .quota_ledger import RateBurst


@dataclass(slots=True, eq=False)
class SessionLease:
    """One session as its leader counts it.  Times in microseconds of the leader's clock."""

    expires_at: int  # FleetTerms.grantor_lease_end: the holder has stopped spending by then
    gateway: str
    confirmation_round: int = 0  # the round of the log that has to be confirmed before the answer
    unanswered_request: LeaseRequest | None = None
    unconfirmed: dict[str, int] = field(default_factory=dict)  # quotas not confirmed, and when last sent
    release_targets: dict[str, RateBurst] = field(default_factory=dict)  # what it is asked to come down to
    demands: dict[str, QuotaDemand] = field(default_factory=dict)
    limits: tuple[tuple[str, int, int], ...] = ()  # by its own file; empty until it has stated them
    max_request: int = 0  # its largest request, in thousandths of a unit
    closing: bool = False  # its CloseSession is proposed: it is renewed no more
