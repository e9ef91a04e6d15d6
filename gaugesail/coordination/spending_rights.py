"""What a gateway may spend under its lease: its allocations, and until when they count.

They never exceed those of the ledger.  An order that increases one takes effect when it is received, after
its entry is committed; an order that requests a release takes effect before it is reported to the leader.
"""

from __future__ import annotations

from dataclasses import dataclass

from .gateway_floor import PlanRates
from .lease_messages import HeldQuota, QuotaOrder


@dataclass(slots=True, frozen=True)
class QuotaUpdate:
    """A change of what the gateway may spend.  Rates and bursts in thousandths."""

    lease_until: int  # microseconds; allocations count until then
    allocations: tuple[tuple[str, int, int], ...] = ()  # changed ones: quota, rate, burst
    floors: PlanRates | None = None  # all floors; None: unchanged
    replaces_all: bool = False  # allocations that this update does not name are removed


class SpendingRights:
    """The allocations of one session, and which changes are pending for the gateway and for the leader."""

    def __init__(self) -> None:
        self.lease_until = 0
        self.allocations: dict[str, HeldQuota] = {}  # by quota
        self._unreported: dict[str, int] = {}  # latest request that reported it, by quota; 0: none
        self._changed: dict[str, None] = {}  # quotas whose change is pending for the gateway
        self._replaces_all = False
        self._sent_floors: PlanRates | None = None
        self._sent_lease_until = -1

    # ---- towards the gateway ----

    def pop_update(self, floors: PlanRates) -> QuotaUpdate | None:
        """Return the changes since the last call; None if there are none."""
        floors_same = floors == self._sent_floors
        lease_same = self.lease_until == self._sent_lease_until
        if floors_same and lease_same and not self._changed and not self._replaces_all:
            return None
        allocations = tuple(self._amounts(quota_name) for quota_name in self._changed)
        update = QuotaUpdate(
            self.lease_until, allocations, None if floors_same else floors, self._replaces_all
        )
        self._changed = {}
        self._replaces_all = False
        self._sent_floors = floors
        self._sent_lease_until = self.lease_until
        return update

    def _amounts(self, quota_name: str) -> tuple[str, int, int]:
        held = self.allocations.get(quota_name)
        return (quota_name, held.rate, held.burst) if held is not None else (quota_name, 0, 0)

    def resend_all(self) -> None:
        """Include everything in the next update, as the last one did not reach the gateway."""
        self._changed = dict.fromkeys(self.allocations)
        self._replaces_all = True
        self._sent_floors = None
        self._sent_lease_until = -1

    # ---- towards the leader ----

    @property
    def has_unreported(self) -> bool:
        """Whether the leader has not confirmed the report of some allocation."""
        return bool(self._unreported)

    def collect_report(self, request_number: int, max_items: int) -> list[HeldQuota]:
        """Return up to ``max_items`` allocations to report in request ``request_number``."""
        report = []
        for quota_name in list(self._unreported)[:max_items]:
            held = self.allocations.get(quota_name)
            if held is None:
                del self._unreported[quota_name]
                continue
            self._unreported[quota_name] = request_number
            report.append(held)
        return report

    def more_unreported_than(self, max_items: int) -> bool:
        """Whether a report of ``max_items`` allocations leaves some out."""
        return len(self._unreported) > max_items

    def report_confirmed(self, request_number: int) -> None:
        """Clear the allocations that this request reported: the leader has received it."""
        for quota_name, carried_by in list(self._unreported.items()):
            if carried_by == request_number:
                del self._unreported[quota_name]

    # ---- changes ----

    def extend_lease(self, until: int) -> None:
        """Extend the lease; a late response does not shorten it."""
        self.lease_until = max(self.lease_until, until)

    def apply_order(self, order: QuotaOrder) -> None:
        """Apply one order of this session's leader.

        An order older than the allocation is ignored.  One of the same entry may only lower it: a duplicate
        would otherwise restore what has been released since.
        """
        held = self.allocations.get(order.quota_name)
        rate = order.rate
        burst = order.burst
        if held is not None:
            if order.version < held.version:
                return
            if order.version == held.version:
                if not order.release:
                    self._unreported[order.quota_name] = 0
                    return
                rate = min(rate, held.rate)
                burst = min(burst, held.burst)
        self.allocations[order.quota_name] = HeldQuota(order.quota_name, order.version, rate, burst)
        self._changed[order.quota_name] = None
        self._unreported[order.quota_name] = 0

    def drop(self) -> None:
        """Drop all allocations and the lease: the session is over."""
        self.allocations = {}
        self.lease_until = 0
        self._unreported.clear()
        self._changed.clear()
        self._replaces_all = True
