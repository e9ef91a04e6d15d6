"""Agrees the fleet's limits from those that each gateway's configuration states.

A lower limit applies at once to everything that is granted from then on.  A higher one applies once all
leases granted under the earlier limits have expired; until then the ledger is not settled.
"""

from __future__ import annotations

from .fleet_terms import FleetTerms
from .log_commands import SetLimits, SettleLimits
from .proposed_commands import ProposedCommands
from .quota_ledger import QuotaLedger, RateBurst
from .session_lease import SessionLease


class LimitsAgreement:
    """Proposes the limits that all open sessions allow, and settles them."""

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
        self._settle_at = settle_at  # microseconds; when leases under earlier limits have expired

    def propose_agreed(self) -> None:
        """Propose the agreed limits if they differ from the ledger's stated ones."""
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
        """Return the lowest limits that any open session states, by plan.

        A session that has not stated its limits to this leader may have lower ones than all others: until it
        has, the limits stated before count as well, so that none rises.
        """
        lowest: dict[str, RateBurst] = {} if self._all_stated() else dict(self._ledger.stated_limits)
        for lease in self._leases.values():
            for plan, rate, burst in lease.limits:
                known_rate, known_burst = lowest.get(plan, (rate, burst))
                lowest[plan] = min(rate, known_rate), min(burst, known_burst)
        return lowest

    def _all_stated(self) -> bool:
        return all(lease.limits for lease in self._leases.values())

    def settle_due(self, now: int) -> None:
        """Propose to apply the stated limits in full, once all earlier leases have expired."""
        if not self._ledger.settled and now >= self._settle_at and self._all_stated():
            self._proposals.propose_once(SettleLimits(self._ledger.limits_version))

    def limits_applied(self, now: int) -> None:
        """Note that the ledger has new limits: leases under earlier ones may last one more lease time."""
        granted_anything = bool(self._ledger.allocations)
        self._settle_at = self._terms.grantor_lease_end(now) if granted_anything else now
