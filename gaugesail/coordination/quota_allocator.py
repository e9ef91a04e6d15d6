"""Divides each quota among the sessions that demand it, and sends the resulting orders to their holders.

An increase is committed to the log before it is sent to its holder.  A decrease is requested from the holder
first, and committed once the holder reports the release.  So a holder never spends by more than its
allocation in the ledger.
"""

from __future__ import annotations

from collections.abc import Iterable

from .fleet_terms import FleetTerms
from .lease_messages import HeldQuota, QuotaDemand, QuotaOrder, QuotaOrders
from .log_commands import AllocateQuota
from .messages import Message
from .proposed_commands import ProposedCommands
from .quota_division import QuotaClaim, divide
from .quota_ledger import Allocation, QuotaLedger, RateBurst, plan_of
from .session_lease import SessionLease

RESEND_US = 250_000  # until an unconfirmed order is resent
MAX_ORDERS = 24  # in one message
MAX_DIVIDED = 200  # quotas in one step
RELEASE_TIMEOUT_US = 1_000_000  # to release the excess over a lowered limit, before renewal is denied
BURST_TOLERANCE = 50  # a burst is unchanged if it differs from its target by up to 1/50 of the leasable one


class QuotaAllocator:
    """One leader's division of quota in one term."""

    def __init__(
        self,
        terms: FleetTerms,
        fleet: str,
        ledger: QuotaLedger,
        leases: dict[int, SessionLease],
        proposals: ProposedCommands,
        outbox: list[tuple[str, Message]],
        now: int,
    ) -> None:
        self._terms = terms
        self._fleet = fleet
        self._ledger = ledger
        self._leases = leases
        self._proposals = proposals
        self._outbox = outbox
        self._grants_from = 0  # microseconds; nothing is granted before
        self._to_divide: dict[str, None] = dict.fromkeys(ledger.allocations)
        self._over_limit_since: dict[str, int] = {}  # by quota, while its allocations exceed the limit
        self._resend_at = now
        for quota_name, allocations in ledger.allocations.items():
            for number in allocations:
                leases[number].unconfirmed[quota_name] = now - RESEND_US

    def defer_grants_until(self, at: int) -> None:
        """Grant nothing before ``at``, in microseconds: leases that are in no log may count until then."""
        self._grants_from = at

    @property
    def next_at(self) -> int:
        """When ``resend_unconfirmed`` is due, in microseconds."""
        return self._resend_at

    # ---- changes ----

    def divide_again(self, quota_names: Iterable[str]) -> None:
        """Schedule some quotas to be divided in the next step."""
        self._to_divide.update(dict.fromkeys(quota_names))

    def divide_all_again(self) -> None:
        """Schedule all quotas with demand or allocations to be divided in the next step."""
        wanted = {quota_name for lease in self._leases.values() for quota_name in lease.demands}
        self.divide_again(wanted | set(self._ledger.allocations))

    def demand_reported(self, lease: SessionLease, demand: QuotaDemand) -> None:
        """Process a holder's changed demand for one quota; rate 0 withdraws it."""
        if demand.rate > 0:
            lease.demands[demand.quota_name] = demand
        else:
            lease.demands.pop(demand.quota_name, None)
        self._to_divide[demand.quota_name] = None

    def holding_reported(self, number: int, lease: SessionLease, held: HeldQuota) -> None:
        """Process a holder's reported allocation: an order was received, or quota was released."""
        allocation = self._allocation(held.quota_name, number)
        if allocation is None or held.version != allocation.version:
            return
        rate = min(held.rate, allocation.rate)
        burst = min(held.burst, allocation.burst)
        if (rate, burst) != (allocation.rate, allocation.burst):
            self._propose(held.quota_name, number, rate, burst, allocation.version)
        elif held.quota_name not in lease.release_targets:
            lease.unconfirmed.pop(held.quota_name, None)

    def allocation_applied(self, now: int, command: AllocateQuota, done: bool) -> None:
        """Process a committed allocation, and send it to its holder.

        ``done`` is false if the ledger has rejected it.
        """
        quota_name = command.quota_name
        self._proposals.allocation_applied(command)
        self._to_divide[quota_name] = None
        lease = self._leases.get(command.session)
        if not done or lease is None:
            return
        target = lease.release_targets.get(quota_name)
        if target is not None and command.rate <= target[0] and command.burst <= target[1]:
            del lease.release_targets[quota_name]
        lease.unconfirmed[quota_name] = now
        self._send_orders(now, command.session, lease, [quota_name])

    # ---- dividing ----

    def divide_due(self, now: int) -> None:
        """Divide the scheduled quotas, up to MAX_DIVIDED; those with uncommitted allocations wait."""
        if now >= self._grants_from > 0:
            self._grants_from = 0
            self.divide_all_again()
        due = [quota_name for quota_name in self._to_divide if not self._proposals.allocates(quota_name)]
        for quota_name in due[:MAX_DIVIDED]:
            del self._to_divide[quota_name]
            self._divide(now, quota_name)

    def _divide(self, now: int, quota_name: str) -> None:
        """Request the release of what exceeds the targets, and grant what is missing and available."""
        self._watch_limit(now, quota_name)
        leasable = self._ledger.leasable(plan_of(quota_name))
        claims = self._claims(quota_name)
        targets = divide(*self._divisible(quota_name, leasable, claims), claims)
        available = self._ledger.available(quota_name)
        tolerance = leasable[1] // BURST_TOLERANCE
        for number in sorted(targets, key=lambda n: (-claims[n].priority_weight, n)):
            target = targets[number]
            current = claims[number].current
            if current[0] > target[0] or current[1] > target[1] + tolerance:
                self._request_release(now, quota_name, number, current, target)
                continue
            self._leases[number].release_targets.pop(quota_name, None)
            rate = max(0, min(target[0] - current[0], available[0]))
            burst = max(0, min(target[1] - current[1], available[1]))
            if now >= self._grants_from and (rate or burst > tolerance):
                available = available[0] - rate, available[1] - burst
                self._grant(quota_name, number, (current[0] + rate, current[1] + burst))

    def _watch_limit(self, now: int, quota_name: str) -> None:
        if min(self._ledger.available(quota_name)) < 0:
            self._over_limit_since.setdefault(quota_name, now)
        else:
            self._over_limit_since.pop(quota_name, None)

    def _claims(self, quota_name: str) -> dict[int, QuotaClaim]:
        """Return what each session demands and has of a quota, except sessions that are being closed."""
        allocations = self._ledger.allocations.get(quota_name, {})
        floor_burst = self._terms.floor(*self._ledger.limits.get(plan_of(quota_name), (0, 0)))[1]
        claims: dict[int, QuotaClaim] = {}
        for number, lease in self._leases.items():
            demand = lease.demands.get(quota_name)
            allocation = allocations.get(number)
            if lease.closing or (demand is None and allocation is None):
                continue
            current = (allocation.rate, allocation.burst) if allocation is not None else (0, 0)
            own_floor = floor_burst if self._ledger.sessions[number].floor_slot >= 0 else 0
            min_burst = max(0, lease.max_request - own_floor)
            rate = 0 if demand is None else demand.rate
            weight = 1 if demand is None else demand.priority_weight
            claims[number] = QuotaClaim(rate, weight, current, min_burst)
        return claims

    def _divisible(self, quota_name: str, leasable: RateBurst, claims: dict[int, QuotaClaim]) -> RateBurst:
        """Return the part of the leasable quota that the claims divide.

        The allocations of sessions that are being closed are not free yet.
        """
        allocations = self._ledger.allocations.get(quota_name, {})
        closing = [allocation for number, allocation in allocations.items() if number not in claims]
        rate = max(0, leasable[0] - sum(allocation.rate for allocation in closing))
        burst = max(0, leasable[1] - sum(allocation.burst for allocation in closing))
        return rate, burst

    def _request_release(
        self, now: int, quota_name: str, number: int, current: RateBurst, target: RateBurst
    ) -> None:
        lease = self._leases[number]
        lower = min(current[0], target[0]), min(current[1], target[1])
        if lease.release_targets.get(quota_name) != lower:
            lease.release_targets[quota_name] = lower
            lease.unconfirmed[quota_name] = now
            self._send_orders(now, number, lease, [quota_name])

    def _grant(self, quota_name: str, number: int, granted: RateBurst) -> None:
        allocation = self._allocation(quota_name, number)
        version = allocation.version if allocation is not None else 0
        self._propose(quota_name, number, *granted, version)

    def _propose(self, quota_name: str, session: int, rate: int, burst: int, replaced_version: int) -> None:
        command = AllocateQuota(quota_name, session, rate, burst, replaced_version)
        self._proposals.propose_allocation(command)

    def _allocation(self, quota_name: str, number: int) -> Allocation | None:
        return self._ledger.allocations.get(quota_name, {}).get(number)

    def release_is_overdue(self, now: int, number: int, lease: SessionLease) -> bool:
        """Whether a holder still has more than a lowered limit allows after RELEASE_TIMEOUT_US."""
        return any(
            now - self._over_limit_since.get(quota_name, now) > RELEASE_TIMEOUT_US
            for quota_name in lease.release_targets
            if self._allocation(quota_name, number) is not None
        )

    # ---- orders to holders ----

    def resend_unconfirmed(self, now: int) -> None:
        """Resend unconfirmed orders every RESEND_US."""
        if now < self._resend_at:
            return
        self._resend_at = now + RESEND_US
        for number, lease in self._leases.items():
            late = [name for name, sent_at in lease.unconfirmed.items() if now - sent_at >= RESEND_US]
            if late:
                self._send_orders(now, number, lease, late)

    def _send_orders(self, now: int, number: int, lease: SessionLease, quota_names: list[str]) -> None:
        """Send a holder its allocations of some quotas, or the targets to release down to."""
        orders = list[QuotaOrder]()
        for quota_name in quota_names:
            allocation = self._allocation(quota_name, number)
            if allocation is None:
                lease.unconfirmed.pop(quota_name, None)
                lease.release_targets.pop(quota_name, None)
                continue
            lease.unconfirmed[quota_name] = now
            orders.append(_order(quota_name, allocation, lease.release_targets.get(quota_name)))
        session = self._ledger.sessions.get(number)
        if session is None:
            return
        for first in range(0, len(orders), MAX_ORDERS):
            part = tuple(orders[first : first + MAX_ORDERS])
            message = QuotaOrders(session.process, number, self._fleet, part)
            self._outbox.append((lease.gateway, message))

    # ---- operators' views ----

    def demand_view(self, quota_name: str, number: int) -> dict[str, float | str]:
        """Return a session's demand and use of a quota, in units a second, and what its change waits for."""
        lease = self._leases[number]
        demand = lease.demands.get(quota_name)
        view: dict[str, float | str] = {
            "wanted": demand.rate / 1000 if demand is not None else 0.0,
            "used": demand.used / 1000 if demand is not None else 0.0,
        }
        if quota_name in lease.release_targets:
            view["why"] = "asked to give some up"  # the holder was sent an order to release some
        elif quota_name in lease.unconfirmed:
            view["why"] = "told, and not yet in its book"  # an order was sent, and is not confirmed
        return view


def _order(quota_name: str, allocation: Allocation, target: RateBurst | None) -> QuotaOrder:
    """Return the order for one allocation; with a target, a request to release down to the target.

    A target may be based on an earlier allocation, so an order never exceeds the ledger's current one.
    """
    if target is None:
        return QuotaOrder(quota_name, allocation.version, allocation.rate, allocation.burst, False)
    rate = min(target[0], allocation.rate)
    burst = min(target[1], allocation.burst)
    return QuotaOrder(quota_name, allocation.version, rate, burst, True)
