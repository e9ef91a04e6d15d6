"""Which limits hold for the whole fleet, from what each gateway's own file says.

A limit that falls holds at once for whatever is granted from then on.  One that rises holds once every lease
that was granted under the earlier limits has run out: until then the ledger is not settled.
"""

from __future__ import annotations

from .fleet_terms import FleetTerms
from .log_commands import SetLimits, SettleLimits
from .proposed_commands import ProposedCommands
from .quota_ledger import QuotaLedger, RateBurst
from .session_lease import SessionLease


class LimitsAgreement:
    """Proposes the limits that all live sessions agree to, and settles them."""

    def __init__(
        self,
        terms: FleetTerms,
        ledger: QuotaLedger,
        leases: dict[int, SessionLease],
        proposals: ProposedCommands,
        settle_at: int,
    ) -> None:
        self._terms = terms
        self._ledger = ledger
        self._leases = leases
        self._proposals = proposals
        self._settle_at = settle_at  # microseconds; no lease under earlier limits counts after it

    def propose_agreed(self) -> None:
        """Propose the agreed limits where they differ from those that the ledger has as stated."""
        if self._proposals.sets_limits():
            return
        agreed = self._agreed()
        if not agreed:
            return
        stated = self._ledger.stated_limits
        limits = {**stated, **agreed}
        if limits != stated:
            rows = tuple((plan, *pair) for plan, pair in sorted(limits.items()))
            self._proposals.propose_once(SetLimits(rows))

    def _agreed(self) -> dict[str, RateBurst]:
        """The least that any live session's file says, by plan.

        While a session has not stated its limits to this leader, those may be less than all others: then the
        limits stated before count as well, so that nothing rises.
        """
        least: dict[str, RateBurst] = {} if self._all_stated() else dict(self._ledger.stated_limits)
        for lease in self._leases.values():
            for plan, rate, burst in lease.limits:
                known_rate, known_burst = least.get(plan, (rate, burst))
                least[plan] = min(rate, known_rate), min(burst, known_burst)
        return least

    def _all_stated(self) -> bool:
        return all(lease.limits for lease in self._leases.values())

    def settle_due(self, now: int) -> None:
        """Propose that the stated limits hold in full, once no earlier lease can still count."""
        if not self._ledger.settled and now >= self._settle_at and self._all_stated():
            self._proposals.propose_once(SettleLimits(self._ledger.limits_version))

    def limits_applied(self, now: int) -> None:
        """New limits are in the ledger; earlier leases may count for one lease more."""
        granted_anything = bool(self._ledger.allocations)
        self._settle_at = self._terms.grantor_lease_end(now) if granted_anything else now
