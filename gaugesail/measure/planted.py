"""Faults planted in the fleet's decisions, one at a time, to see that a schedule or a case finds each.

Each replaces one guard by code without it, for as long as the ``with`` lasts; what it takes away is in its
name and its sentence.
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


def _receipt(old: Any) -> Any:
    return lambda self, now, sender, answer, asked, newest: old(self, now, sender, answer, now, newest)


def _ordered_twice(self: Any, order: m.QuotaOrder) -> None:
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


def _ordered_any(old: Any) -> Any:
    """An older order is taken in as if it were the latest."""

    def apply_order(self: Any, order: m.QuotaOrder) -> None:
        held = self.allocations.get(order.quota_name)
        if held is not None and order.version < held.version:
            self.allocations[order.quota_name] = m.HeldQuota(order.quota_name, order.version, 0, 0)
        old(self, order)

    return apply_order


def _no_wait(old: Any) -> Any:
    """A new leader counts sessions from the beginning of time."""

    def init(self: Any, *given: Any) -> None:
        *most, now, _ = given
        old(self, *most, now, False)
        for lease in self.leases.values():
            lease.expires_at = now

    return init


def _unasked(self: Any, now: int, number: int, lease: Any, quota_names: Any) -> None:
    """What a holder is asked to give up is written down at once."""
    for quota_name, (rate, burst) in list(lease.release_targets.items()):
        allocation = self._ledger.allocations.get(quota_name, {}).get(number)
        if allocation is not None:
            rate = min(rate, allocation.rate)
            burst = min(burst, allocation.burst)
            self._propose(quota_name, number, rate, burst, allocation.version)
    _SEND_ORDERS(self, now, number, lease, quota_names)


_SEND_ORDERS = quota_allocator.QuotaAllocator._send_orders


def _allocate_anyway(self: Any, index: int, command: m.AllocateQuota) -> bool:
    """The sum is not looked at."""
    if command.session not in self.sessions:
        return False
    self.allocations.setdefault(command.quota_name, {})[command.session] = quota_ledger.Allocation(
        command.rate, command.burst, index
    )
    self._allocated.pop(command.quota_name, None)
    return True


def _told_early(self: Any, quota_name: str, session: int, rate: int, burst: int, replaced: int) -> None:
    """A grant is told when it is proposed."""
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


def _forever(old: Any) -> Any:
    """What the lease gave is spent when it is over."""

    def shares(self: Any, now: int, event: Any) -> None:
        old(self, now, event)
        if event.lease_until_us:
            self._lease_until = 1 << 62

    return shares


def _not_kept(old: Any) -> Any:
    """Entries are acknowledged and not written."""

    def save(self: Any) -> Any:
        found = old(self)
        if found is not None:
            found.first_index, found.entries = None, ()
        return found

    return save


def _vote_forgotten(old: Any) -> Any:
    """What is kept says no vote and an older term."""

    def save(self: Any) -> Any:
        found = old(self)
        if found is not None:
            found.state.voted_for, found.state.term = "", max(0, found.state.term - 1)
        return found

    return save


def _floor_any(self: Any, head: str, store: str) -> int:
    """Whoever opens a session has the first floor."""
    if 0 not in self.floor_slots:
        self.floor_slots[0] = quota_ledger.FloorSlot(head, store, [self.limits_version])
        self._past_limits[self.limits_version] = self.limits
        self._reserved.clear()
    return 0


def _full(old: Any) -> Any:
    """A gateway begins with its store full."""

    def limit(self: Any, now: int, plan: Any, volume: int, mounts: float) -> Any:
        fresh = (plan.name, volume, 0.0) not in self._buckets
        store = old(self, now, plan, volume, mounts)
        if fresh:
            store.units = plan.limit_burst
        return store

    return limit


def _moved(old: Any) -> Any:
    """A part that grows grows full."""

    def shares(self: Any, now: int, event: Any) -> None:
        before = dict(self._allocations)
        old(self, now, event)
        for plan, volume, _, burst in event.allocations:
            store = self._buckets.get((plan, volume, 0.0))
            if store is not None:
                store.units += max(0.0, burst - before.get((plan, volume), (0.0, 0.0))[1])

    return shares


def _closing_renewed(self: Any, now: int, number: int, lease: Any) -> bool:
    """A session whose end is on its way is renewed."""
    return True


def _closed_early(old: Any) -> Any:
    """A lease is counted from when it was asked for, and for half as long."""

    def tick(self: Any, now: int) -> None:
        old(self, now)
        for lease in self.leases.values():
            lease.expires_at = min(lease.expires_at, now + self._terms.lease_with_drift_us // 2)

    return tick


def _unconfirmed(self: Any) -> int:
    """An ask is answered without a round."""
    return 1 << 60


PLANTS = (
    Plant("lease_from_receipt", "a lease is counted from when its answer came",
          lambda: [_method(lease_holder.LeaseHolder, "_renewed", _receipt)]),
    Plant("grant_twice", "a grant that comes twice counts twice",
          lambda: [patch.object(spending_rights.SpendingRights, "apply_order", _ordered_twice)]),
    Plant("older_grant", "a grant older than what stands is taken in",
          lambda: [_method(spending_rights.SpendingRights, "apply_order", _ordered_any)]),
    Plant("no_wait_after_election", "a new leader does not wait for the leases of the one before",
          lambda: [_method(lease_manager.LeaseManager, "__init__", _no_wait)]),
    Plant("lower_unasked", "a part is taken down before its holder has given it up",
          lambda: [patch.object(quota_allocator.QuotaAllocator, "_send_orders", _unasked)]),
    Plant("no_drift", "the drift of clocks is left out",
          lambda: [patch.object(FleetTerms, "lease_with_drift_us", property(lambda self: self.lease_us))]),
    Plant("no_sum", "the ledger takes a part without looking at the sum",
          lambda: [patch.object(quota_ledger.QuotaLedger, "_allocate", _allocate_anyway)]),
    Plant("told_before_committed", "a grant is told before a majority has it",
          lambda: [patch.object(quota_allocator.QuotaAllocator, "_propose", _told_early)]),
    Plant("book_kept", "the parts of a session that is over are spent on",
          lambda: [_method(spending_rights.SpendingRights, "drop", _keep_allocations)]),
    Plant("expired_spent", "a part is spent after its lease",
          lambda: [_method(rate_limits.RateLimits, "update_quota", _forever)]),
    Plant("minority", "one keeper alone is a majority",
          lambda: [patch.object(consensus.RaftNode, "quorum_size", property(lambda self: 1))]),
    Plant("entries_not_kept", "entries are acknowledged and not written",
          lambda: [_method(consensus.RaftNode, "take_write", _not_kept)]),
    Plant("any_log_elected", "who lacks entries is elected",
          lambda: [patch.object(consensus.RaftNode, "_is_up_to_date", lambda self, request: True)]),
    Plant("floor_twice", "two heads have one floor",
          lambda: [patch.object(quota_ledger.QuotaLedger, "_assign_floor_slot", _floor_any)]),
    Plant("old_store_trusted", "an old copy of a store votes",
          lambda: [patch.object(store_fencing.StoreFence, "may_vote", lambda self, others: True),
                   patch.object(store_fencing, "may_be_latest", lambda known, mark: True)]),
    Plant("born_full", "a process begins with a full store",
          lambda: [_method(rate_limits.RateLimits, "open_bucket", _full)]),
    Plant("grown_full", "a part that grows grows full",
          lambda: [_method(rate_limits.RateLimits, "update_quota", _moved)]),
    Plant("closed_early", "a lease is given up by its giver before its holder's end",
          lambda: [_method(lease_manager.LeaseManager, "tick", _closed_early)]),
    Plant("not_confirmed", "an ask is answered without a round of the majority",
          lambda: [patch.object(consensus.RaftNode, "confirmed_round", property(_unconfirmed))]),
    Plant("vote_not_kept", "a vote is given and not written",
          lambda: [_method(node.FleetNode, "_take_write", _vote_forgotten)]),
    Plant("closing_renewed", "a session whose end is on its way is renewed",
          lambda: [patch.object(lease_manager.LeaseManager, "_may_renew", _closing_renewed)]),
)  # fmt: skip


@contextmanager
def planted(name: str) -> Iterator[None]:
    """With one fault in place."""
    plant = next(item for item in PLANTS if item.name == name)
    with ExitStack() as stack:
        for item in plant.patches():
            stack.enter_context(item)
        yield
