"""What a gateway may spend under its lease: its allocations, and until when they count.

They are at any time at most what the ledger says.  An order that gives more takes effect when it arrives,
after its entry is committed; one that asks for a release takes effect before it is reported to the leader.
"""

from __future__ import annotations

from dataclasses import dataclass

from .gateway_floor import PlanRates
from .lease_messages import HeldQuota, QuotaOrder


@dataclass(slots=True, frozen=True)
class QuotaUpdate:
    """What the gateway may go by from now on.  Rates and bursts in thousandths."""

    lease_until: int  # microseconds; allocations count no longer
    allocations: tuple[tuple[str, int, int], ...] = ()  # those that have changed: quota, rate, burst
    floors: PlanRates | None = None  # all of them; None: unchanged
    replaces_all: bool = False  # what is not named in ``allocations`` is gone


class SpendingRights:
    """The allocations of one session, and what of them the gateway and the leader have not heard."""

    def __init__(self) -> None:
        self.lease_until = 0
        self.allocations: dict[str, HeldQuota] = {}  # by quota
        self._unreported: dict[str, int] = {}  # by quota; the request that carried it last, 0: none
        self._changed: dict[str, None] = {}  # quotas that the gateway has not heard of
        self._replaces_all = False
        self._sent_floors: PlanRates | None = None
        self._sent_lease_until = -1

    # ---- towards the gateway ----

    def pop_update(self, floors: PlanRates) -> QuotaUpdate | None:
        """What has changed for the gateway since the last call; None where nothing has."""
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
        """The last update did not reach the gateway: the next one holds everything."""
        self._changed = dict.fromkeys(self.allocations)
        self._replaces_all = True
        self._sent_floors = None
        self._sent_lease_until = -1

    # ---- towards the leader ----

    @property
    def has_unreported(self) -> bool:
        """Whether any allocation has to be reported to the leader."""
        return bool(self._unreported)

    def collect_report(self, request_number: int, most: int) -> list[HeldQuota]:
        """At most so many allocations that have to be reported, carried by this request."""
        report = []
        for quota_name in list(self._unreported)[:most]:
            held = self.allocations.get(quota_name)
            if held is None:
                del self._unreported[quota_name]
                continue
            self._unreported[quota_name] = request_number
            report.append(held)
        return report

    def more_unreported_than(self, most: int) -> bool:
        """Whether one report leaves some out."""
        return len(self._unreported) > most

    def report_confirmed(self, request_number: int) -> None:
        """The leader has what this request carried."""
        for quota_name, carried_by in list(self._unreported.items()):
            if carried_by == request_number:
                del self._unreported[quota_name]

    # ---- changes ----

    def extend_lease(self, until: int) -> None:
        """A lease counts until then; a response that comes late takes nothing back."""
        self.lease_until = max(self.lease_until, until)

    def apply_order(self, order: QuotaOrder) -> None:
        """Take in one order of this session's leader.

        An order older than the allocation is nothing.  One of the same entry may only lower it: one that
        comes twice would give back what has been released since.
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
        """The session is over: nothing of it may be spent."""
        self.allocations = {}
        self.lease_until = 0
        self._unreported.clear()
        self._changed.clear()
        self._replaces_all = True
