"""The names by which the fleet divides limits, and what a gateway is told of its quota in its own terms."""

from __future__ import annotations

from gaugesail.policy.events import QuotaChanged

from .spending_rights import QuotaUpdate


def quota_name_of(plan: str, volume: int) -> str:
    """Return the name under which the fleet divides the limit of one volume."""
    return f"{plan}/{volume:x}"


def quota_changed_event(update: QuotaUpdate) -> QuotaChanged:
    """Return the gateway's event for an update: by plan and volume, in units instead of thousandths."""
    allocations = []
    for quota_name, rate, burst in update.allocations:
        plan, _, volume = quota_name.rpartition("/")
        allocations.append((plan, int(volume, 16), rate / 1000, burst / 1000))
    floors = update.floors
    in_units = None
    if floors is not None:
        in_units = tuple((plan, rate / 1000, burst / 1000) for plan, rate, burst in floors)
    return QuotaChanged(update.lease_until, tuple(allocations), in_units, update.replaces_all)
