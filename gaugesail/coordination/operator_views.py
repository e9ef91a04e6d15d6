"""The operators' views of the fleet, as JSON objects.  Their keys are read by programs and must not change.

Rates are in units a second, bursts in units, times in seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from .lease_holder import LeaseHolder
from .lease_manager import LeaseManager
from .membership import Membership
from .quota_ledger import QuotaLedger, plan_of

JsonObject = dict[str, Any]


def rate_burst_view(rate: int, burst: int) -> JsonObject:
    """Return a rate and a burst in units, given in thousandths."""
    return {"rate": rate / 1000, "burst": burst / 1000}


def members_view(now: int, membership: Membership) -> list[JsonObject]:
    """Return all members as one gateway sees them."""
    return [
        {
            "name": name,
            "state": member.state.name.lower(),
            "address": member.update.address,
            "generation": member.update.generation,
            "incarnation": member.update.incarnation,
            "for_s": round((now - member.state_since) / 1e6, 1),
        }
        for name, member in sorted(membership)
    ]


def lease_view(now: int, holder: LeaseHolder) -> JsonObject:
    """Return a gateway's own session, lease and quota."""
    return {
        "session": holder.session,
        "lease_s": round(max(0, holder.lease_until - now) / 1e6, 2),
        "slot": holder.floor.slot,
        "refused": holder.refusal_reason,
        "floors": {plan: rate_burst_view(rate, burst) for plan, rate, burst in holder.floors()},
        "parts": {
            held.quota_name: rate_burst_view(held.rate, held.burst) for held in holder.allocations.values()
        },
    }


def ledger_view(now: int, ledger: QuotaLedger, manager: LeaseManager | None) -> JsonObject:
    """Return the complete ledger; with the leader's ``manager`` also the leases' times and the demand."""
    return {
        "settled": ledger.settled,
        "version": ledger.limits_version,
        "wholes": {
            plan: rate_burst_view(rate, burst) | {"floors": ledger.reserved_for_floors(plan)[0] / 1000}
            for plan, (rate, burst) in sorted(ledger.limits.items())
        },
        "slots": {
            number: {"head": slot.gateway, "store": slot.store_id}
            for number, slot in ledger.floor_slots.items()
        },
        "sessions": _sessions_view(now, ledger, manager),
        "amounts": {
            quota_name: _quota_view(quota_name, ledger, manager) for quota_name in sorted(ledger.allocations)
        },
    }


def _sessions_view(now: int, ledger: QuotaLedger, manager: LeaseManager | None) -> Sequence[JsonObject]:
    return [
        {"session": number, "head": session.gateway, "slot": session.floor_slot}
        | (manager.lease_view(now, number) if manager is not None else {})
        for number, session in sorted(ledger.sessions.items())
    ]


def _quota_view(quota_name: str, ledger: QuotaLedger, manager: LeaseManager | None) -> JsonObject:
    parts = [
        {"head": ledger.sessions[number].gateway, "session": number}
        | rate_burst_view(allocation.rate, allocation.burst)
        | (manager.demand_view(quota_name, number) if manager is not None else {})
        for number, allocation in sorted(ledger.allocations[quota_name].items())
    ]
    return {
        "free": round(ledger.available(quota_name)[0] / 1000, 3),
        "whole": ledger.limits[plan_of(quota_name)][0] / 1000,
        "parts": parts,
    }
