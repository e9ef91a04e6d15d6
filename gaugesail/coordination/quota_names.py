"""The names of quotas, and the conversion of quota updates to the gateway's events."""

from __future__ import annotations

from gaugesail.policy.events import QuotaChanged

from .spending_rights import QuotaUpdate


def quota_name_of(plan: str, volume: int) -> str:
    """Return the name of the quota of one volume under a plan."""
    return f"{plan}/{volume:x}"


def quota_changed_event(update: QuotaUpdate) -> QuotaChanged:
    """Return the gateway's event for an update: by plan and volume, in units rather than thousandths."""
    allocations = []
    for quota_name, rate, burst in update.allocations:
        plan, _, volume = quota_name.rpartition("/")
        allocations.append((plan, int(volume, 16), rate / 1000, burst / 1000))
    floors = update.floors
    in_units = None
    if floors is not None:
        in_units = tuple((plan, rate / 1000, burst / 1000) for plan, rate, burst in floors)
    return QuotaChanged(update.lease_until, tuple(allocations), in_units, update.replaces_all)
