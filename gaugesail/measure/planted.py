"""Faults planted in the fleet's decisions, one at a time, to see that a schedule or a case finds each.

Each replaces one safeguard by code without it, for as long as the ``with`` lasts.  Methods are patched by
name: whoever renames one renames it here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import Any
from unittest.mock import patch

from ..coordination import (
    consensus,
    lease_holder,
    lease_manager,
    node,
    quota_allocator,
    quota_ledger,
    spending_rights,
    store_fencing,
)
from ..coordination import messages as m
from ..coordination.fleet_terms import FleetTerms
from ..policy import rate_limits


@dataclass(slots=True, frozen=True)
class Plant:
    """One fault: what is wrong, and how it is put in."""

    name: str
    what: str
    patches: Callable[[], list[Any]]


def _method(owner: Any, name: str, make: Callable[[Any], Any]) -> Any:
    """Replace a method by one made of it."""
    return patch.object(owner, name, make(getattr(owner, name)))


def _lease_from_receipt(old: Any) -> Any:
    """A lease counts from when its response came."""

    def renewed(
        self: Any, now: int, sender: str, response: m.LeaseResponse, requested_at: int, is_latest: bool
    ) -> None:
        old(self, now, sender, response, now, is_latest)

    return renewed


def _add_order(self: Any, order: m.QuotaOrder) -> None:
    """An order adds what it says to what is there."""
    held = self.allocations.get(order.quota_name)
    rate = order.rate
    burst = order.burst
    if held is not None and order.version == held.version and not order.release:
        rate += held.rate
        burst += held.burst
    self.allocations[order.quota_name] = m.HeldQuota(order.quota_name, order.version, rate, burst)
    self._changed[order.quota_name] = None
    self._unreported[order.quota_name] = 0


def _take_older_order(old: Any) -> Any:
    """An older order is taken in as if it were the latest."""

    def apply_order(self: Any, order: m.QuotaOrder) -> None:
        held = self.allocations.get(order.quota_name)
        if held is not None and order.version < held.version:
            self.allocations[order.quota_name] = m.HeldQuota(order.quota_name, order.version, 0, 0)
        old(self, order)

    return apply_order


def _no_wait_after_election(old: Any) -> Any:
    """A new leader counts the leases of the one before as over."""

    def init(self: Any, *given: Any) -> None:
        *most, now, _ = given
        old(self, *most, now, False)
        for lease in self.leases.values():
            lease.expires_at = now

    return init


def _release_unasked(self: Any, now: int, number: int, lease: Any, quota_names: Any) -> None:
    """What a holder is asked to release is committed at once."""
    for quota_name, (rate, burst) in list(lease.release_targets.items()):
        allocation = self._ledger.allocations.get(quota_name, {}).get(number)
        if allocation is not None:
            rate = min(rate, allocation.rate)
            burst = min(burst, allocation.burst)
            self._propose(quota_name, number, rate, burst, allocation.version)
    _SEND_ORDERS(self, now, number, lease, quota_names)


_SEND_ORDERS = quota_allocator.QuotaAllocator._send_orders


def _allocate_anyway(self: Any, index: int, command: m.AllocateQuota) -> bool:
    """The sum of the allocations is not checked."""
    if command.session not in self.sessions:
        return False
    self.allocations.setdefault(command.quota_name, {})[command.session] = quota_ledger.Allocation(
        command.rate, command.burst, index
    )
    self._allocated.pop(command.quota_name, None)
    return True


def _send_before_commit(
    self: Any, quota_name: str, session: int, rate: int, burst: int, replaced: int
) -> None:
    """A holder is told of a grant when it is proposed."""
    command = m.AllocateQuota(quota_name, session, rate, burst, replaced)
    index = self._proposals.propose_allocation(command)
    found = self._ledger.sessions.get(session)
    if index is not None and found is not None:
        order = m.QuotaOrder(quota_name, index, rate, burst, False)
        message = m.QuotaOrders(found.process, session, self._fleet, (order,))
        self._outbox.append((self._leases[session].gateway, message))


def _keep_allocations(old: Any) -> Any:
    """Allocations of an earlier session are spent under the next."""

    def drop(self: Any) -> None:
        allocations = dict(self.allocations)
        lease_until = self.lease_until
        old(self)
        self.allocations = allocations
        self.lease_until = lease_until
        self._replaces_all = False

    return drop


def _never_expire(old: Any) -> Any:
    """What a lease gave is spent after it."""

    def update_quota(self: Any, now: int, event: Any) -> None:
        old(self, now, event)
        if event.lease_until_us:
            self._lease_until = 1 << 62

    return update_quota


def _drop_entries(old: Any) -> Any:
    """Log entries are acknowledged and not persisted."""

    def save(self: Any) -> Any:
        found = old(self)
        if found is not None:
            found.first_index = None
            found.entries = ()
        return found

    return save


def _forget_vote(old: Any) -> Any:
    """The persisted state has no vote, and an older term."""

    def save(self: Any) -> Any:
        found = old(self)
        if found is not None:
            found.state.voted_for = ""
            found.state.term = max(0, found.state.term - 1)
        return found

    return save


def _share_floor_slot(self: Any, gateway: str, store_id: str) -> int:
    """Whoever opens a session gets the first floor slot."""
    if 0 not in self.floor_slots:
        self.floor_slots[0] = quota_ledger.FloorSlot(gateway, store_id, [self.limits_version])
        self._past_limits[self.limits_version] = self.limits
        self._reserved.clear()
    return 0


def _begin_full(old: Any) -> Any:
    """A gateway begins with full token buckets."""

    def open_bucket(self: Any, now: int, plan: Any, volume: int, gateways_in_use: float) -> Any:
        is_new = (plan.name, volume, 0.0) not in self._buckets
        bucket = old(self, now, plan, volume, gateways_in_use)
        if is_new:
            bucket.units = plan.limit_burst
        return bucket

    return open_bucket


def _grow_full(old: Any) -> Any:
    """A token bucket that grows is filled by what it grows."""

    def update_quota(self: Any, now: int, event: Any) -> None:
        before = dict(self._allocations)
        old(self, now, event)
        for plan, volume, _, burst in event.allocations:
            bucket = self._buckets.get((plan, volume, 0.0))
            if bucket is not None:
                bucket.units += max(0.0, burst - before.get((plan, volume), (0.0, 0.0))[1])

    return update_quota


def _renew_closing(self: Any, now: int, number: int, lease: Any) -> bool:
    """A session whose end is proposed is renewed."""
    return True


def _expire_early(old: Any) -> Any:
    """A lease is counted for half as long as it lasts."""

    def tick(self: Any, now: int) -> None:
        old(self, now)
        for lease in self.leases.values():
            lease.expires_at = min(lease.expires_at, now + self._terms.lease_with_drift_us // 2)

    return tick


def _all_confirmed(self: Any) -> int:
    """A request is answered before a majority has confirmed the leader."""
    return 1 << 60


PLANTS = (
    Plant(
        "lease_from_receipt",
        "a lease counts from when its response came",
        lambda: [_method(lease_holder.LeaseHolder, "_renewed", _lease_from_receipt)],
    ),
    Plant(
        "grant_twice",
        "an order that comes twice counts twice",
        lambda: [patch.object(spending_rights.SpendingRights, "apply_order", _add_order)],
    ),
    Plant(
        "older_grant",
        "an order older than the allocation is taken in",
        lambda: [_method(spending_rights.SpendingRights, "apply_order", _take_older_order)],
    ),
    Plant(
        "no_wait_after_election",
        "a new leader does not wait for the leases of the one before",
        lambda: [_method(lease_manager.LeaseManager, "__init__", _no_wait_after_election)],
    ),
    Plant(
        "lower_unasked",
        "an allocation is lowered before its holder has released it",
        lambda: [patch.object(quota_allocator.QuotaAllocator, "_send_orders", _release_unasked)],
    ),
    Plant(
        "no_drift",
        "the drift of clocks is left out",
        lambda: [patch.object(FleetTerms, "lease_with_drift_us", property(lambda self: self.lease_us))],
    ),
    Plant(
        "no_sum",
        "the ledger takes an allocation without checking the sum",
        lambda: [patch.object(quota_ledger.QuotaLedger, "_allocate", _allocate_anyway)],
    ),
    Plant(
        "told_before_committed",
        "a holder is told of a grant before a majority has it",
        lambda: [patch.object(quota_allocator.QuotaAllocator, "_propose", _send_before_commit)],
    ),
    Plant(
        "book_kept",
        "the allocations of a session that is over are still spent",
        lambda: [_method(spending_rights.SpendingRights, "drop", _keep_allocations)],
    ),
    Plant(
        "expired_spent",
        "an allocation is spent after its lease",
        lambda: [_method(rate_limits.RateLimits, "update_quota", _never_expire)],
    ),
    Plant(
        "minority",
        "one replica alone is a majority",
        lambda: [patch.object(consensus.RaftNode, "quorum_size", property(lambda self: 1))],
    ),
    Plant(
        "entries_not_kept",
        "entries are acknowledged and not persisted",
        lambda: [_method(consensus.RaftNode, "pop_write", _drop_entries)],
    ),
    Plant(
        "any_log_elected",
        "a replica that lacks entries is elected",
        lambda: [patch.object(consensus.RaftNode, "_is_up_to_date", lambda self, request: True)],
    ),
    Plant(
        "floor_twice",
        "two gateways have one floor",
        lambda: [patch.object(quota_ledger.QuotaLedger, "_assign_floor_slot", _share_floor_slot)],
    ),
    Plant(
        "old_store_trusted",
        "an old copy of a store votes",
        lambda: [
            patch.object(store_fencing.StoreFence, "may_vote", lambda self, others: True),
            patch.object(store_fencing, "may_be_latest", lambda known, mark: True),
        ],
    ),
    Plant(
        "born_full",
        "a process begins with full token buckets",
        lambda: [_method(rate_limits.RateLimits, "open_bucket", _begin_full)],
    ),
    Plant(
        "grown_full",
        "a token bucket that grows is filled by what it grows",
        lambda: [_method(rate_limits.RateLimits, "update_quota", _grow_full)],
    ),
    Plant(
        "closed_early",
        "the leader closes a session before the holder's lease ends",
        lambda: [_method(lease_manager.LeaseManager, "tick", _expire_early)],
    ),
    Plant(
        "not_confirmed",
        "a request is answered before a majority has confirmed the leader",
        lambda: [patch.object(consensus.RaftNode, "confirmed_round", property(_all_confirmed))],
    ),
    Plant(
        "vote_not_kept",
        "a vote is given and not persisted",
        lambda: [_method(node.FleetNode, "_pop_write", _forget_vote)],
    ),
    Plant(
        "closing_renewed",
        "a session whose end is proposed is renewed",
        lambda: [patch.object(lease_manager.LeaseManager, "_may_renew", _renew_closing)],
    ),
)


@contextmanager
def planted(name: str) -> Iterator[None]:
    """With one fault in place."""
    plant = next(item for item in PLANTS if item.name == name)
    with ExitStack() as stack:
        for item in plant.patches():
            stack.enter_context(item)
        yield
