"""Faults injected into the fleet's decisions, one at a time, to check that a case or a schedule detects each.

Each fault replaces one safeguard by code that lacks it, within the ``with`` block of `inject_fault`.  Methods
are patched by name: a method that is renamed has to be renamed here as well.
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
class InjectedFault:
    """A fault: its name in ``--json``, what is wrong, and a function that makes its patches."""

    name: str
    description: str
    patches: Callable[[], list[Any]]


def _patch_method(owner: Any, name: str, wrap: Callable[[Any], Any]) -> Any:
    """Return a patch that replaces a method by ``wrap(method)``."""
    return patch.object(owner, name, wrap(getattr(owner, name)))


def _count_from_receipt(original: Any) -> Any:
    """A lease counts from the receipt of its response, not from its request."""

    def renewed(
        self: Any, now: int, sender: str, response: m.LeaseResponse, requested_at: int, is_latest: bool
    ) -> None:
        original(self, now, sender, response, now, is_latest)

    return renewed


def _add_order(self: Any, order: m.QuotaOrder) -> None:
    """An order that arrives twice is added to the allocation twice."""
    held = self.allocations.get(order.quota_name)
    rate = order.rate
    burst = order.burst
    if held is not None and order.version == held.version and not order.release:
        rate += held.rate
        burst += held.burst
    self.allocations[order.quota_name] = m.HeldQuota(order.quota_name, order.version, rate, burst)
    self._changed[order.quota_name] = None
    self._unreported[order.quota_name] = 0


def _apply_older_order(original: Any) -> Any:
    """An older order replaces the allocation of a later one."""

    def apply_order(self: Any, order: m.QuotaOrder) -> None:
        held = self.allocations.get(order.quota_name)
        if held is not None and order.version < held.version:
            self.allocations[order.quota_name] = m.HeldQuota(order.quota_name, order.version, 0, 0)
        original(self, order)

    return apply_order


def _no_wait_after_election(original: Any) -> Any:
    """A new leader treats the leases granted by its predecessor as expired."""

    def init(self: Any, *arguments: Any) -> None:
        *leading, now, _ = arguments
        original(self, *leading, now, False)
        for lease in self.leases.values():
            lease.expires_at = now

    return init


def _lower_before_release(self: Any, now: int, number: int, lease: Any, quota_names: Any) -> None:
    """The reduction that a holder is asked for is proposed before it has released the quota."""
    for quota_name, (rate, burst) in list(lease.release_targets.items()):
        allocation = self._ledger.allocations.get(quota_name, {}).get(number)
        if allocation is not None:
            rate = min(rate, allocation.rate)
            burst = min(burst, allocation.burst)
            self._propose(quota_name, number, rate, burst, allocation.version)
    _SEND_ORDERS(self, now, number, lease, quota_names)


_SEND_ORDERS = quota_allocator.QuotaAllocator._send_orders


def _allocate_unchecked(self: Any, index: int, command: m.AllocateQuota) -> bool:
    """The ledger does not check the sum of the allocations."""
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
    """A grant is sent to its holder when it is proposed, before it is committed."""
    command = m.AllocateQuota(quota_name, session, rate, burst, replaced)
    index = self._proposals.propose_allocation(command)
    holder_session = self._ledger.sessions.get(session)
    if index is not None and holder_session is not None:
        order = m.QuotaOrder(quota_name, index, rate, burst, False)
        message = m.QuotaOrders(holder_session.process, session, self._fleet, (order,))
        self._outbox.append((self._leases[session].gateway, message))


def _keep_dropped_allocations(original: Any) -> Any:
    """Allocations and lease of a session that is dropped stay valid."""

    def drop(self: Any) -> None:
        allocations = dict(self.allocations)
        lease_until = self.lease_until
        original(self)
        self.allocations = allocations
        self.lease_until = lease_until
        self._replaces_all = False

    return drop


def _never_expire(original: Any) -> Any:
    """Allocations are spent after their lease has expired."""

    def update_quota(self: Any, now: int, event: Any) -> None:
        original(self, now, event)
        if event.lease_until_us:
            self._lease_until = 1 << 62

    return update_quota


def _drop_entries(original: Any) -> Any:
    """Log entries are acknowledged but not persisted."""

    def pop_write(self: Any) -> Any:
        write = original(self)
        if write is not None:
            write.first_index = None
            write.entries = ()
        return write

    return pop_write


def _forget_vote(original: Any) -> Any:
    """The persisted state lacks the vote and has an older term."""

    def pop_write(self: Any) -> Any:
        write = original(self)
        if write is not None:
            write.state.voted_for = ""
            write.state.term = max(0, write.state.term - 1)
        return write

    return pop_write


def _share_floor_slot(self: Any, gateway: str, store_id: str) -> int:
    """Every session gets the first floor slot."""
    if 0 not in self.floor_slots:
        self.floor_slots[0] = quota_ledger.FloorSlot(gateway, store_id, [self.limits_version])
        self._past_limits[self.limits_version] = self.limits
        self._reserved.clear()
    return 0


def _open_full(original: Any) -> Any:
    """A gateway starts with full token buckets."""

    def open_bucket(self: Any, now: int, plan: Any, volume: int, gateways_in_use: float) -> Any:
        is_new = (plan.name, volume, 0.0) not in self._buckets
        bucket = original(self, now, plan, volume, gateways_in_use)
        if is_new:
            bucket.units = plan.limit_burst
        return bucket

    return open_bucket


def _fill_growth(original: Any) -> Any:
    """A token bucket whose size grows is filled by the growth."""

    def update_quota(self: Any, now: int, event: Any) -> None:
        before = dict(self._allocations)
        original(self, now, event)
        for plan, volume, _, burst in event.allocations:
            bucket = self._buckets.get((plan, volume, 0.0))
            if bucket is not None:
                bucket.units += max(0.0, burst - before.get((plan, volume), (0.0, 0.0))[1])

    return update_quota


def _renew_closing(self: Any, now: int, number: int, lease: Any) -> bool:
    """A session whose closing is proposed is renewed."""
    return True


def _expire_early(original: Any) -> Any:
    """The leader takes a lease to expire after at most half its duration."""

    def tick(self: Any, now: int) -> None:
        original(self, now)
        for lease in self.leases.values():
            lease.expires_at = min(lease.expires_at, now + self._terms.lease_with_drift_us // 2)

    return tick


def _confirm_all_rounds(self: Any) -> int:
    """Every round counts as confirmed: requests are answered without a majority's confirmation."""
    return 1 << 60


INJECTED_FAULTS = (
    InjectedFault(
        "lease_from_receipt",
        "a lease counts from the receipt of its response",
        lambda: [_patch_method(lease_holder.LeaseHolder, "_renewed", _count_from_receipt)],
    ),
    InjectedFault(
        "grant_twice",
        "an order that arrives twice counts twice",
        lambda: [patch.object(spending_rights.SpendingRights, "apply_order", _add_order)],
    ),
    InjectedFault(
        "older_grant",
        "an order older than the allocation is applied",
        lambda: [_patch_method(spending_rights.SpendingRights, "apply_order", _apply_older_order)],
    ),
    InjectedFault(
        "no_wait_after_election",
        "a new leader does not wait for the leases granted by its predecessor to expire",
        lambda: [_patch_method(lease_manager.LeaseManager, "__init__", _no_wait_after_election)],
    ),
    InjectedFault(
        "lower_unasked",
        "an allocation is lowered before its holder has released it",
        lambda: [patch.object(quota_allocator.QuotaAllocator, "_send_orders", _lower_before_release)],
    ),
    InjectedFault(
        "no_drift",
        "the drift of clocks is ignored",
        lambda: [patch.object(FleetTerms, "lease_with_drift_us", property(lambda self: self.lease_us))],
    ),
    InjectedFault(
        "no_sum",
        "the ledger applies an allocation without checking the sum",
        lambda: [patch.object(quota_ledger.QuotaLedger, "_allocate", _allocate_unchecked)],
    ),
    InjectedFault(
        "told_before_committed",
        "a grant is sent to its holder before it is committed",
        lambda: [patch.object(quota_allocator.QuotaAllocator, "_propose", _send_before_commit)],
    ),
    InjectedFault(
        "book_kept",
        "the allocations of a closed session are still spent",
        lambda: [_patch_method(spending_rights.SpendingRights, "drop", _keep_dropped_allocations)],
    ),
    InjectedFault(
        "expired_spent",
        "an allocation is spent after its lease has expired",
        lambda: [_patch_method(rate_limits.RateLimits, "update_quota", _never_expire)],
    ),
    InjectedFault(
        "minority",
        "one replica alone is a majority",
        lambda: [patch.object(consensus.RaftNode, "quorum_size", property(lambda self: 1))],
    ),
    InjectedFault(
        "entries_not_kept",
        "entries are acknowledged but not persisted",
        lambda: [_patch_method(consensus.RaftNode, "pop_write", _drop_entries)],
    ),
    InjectedFault(
        "any_log_elected",
        "a replica that lacks entries is elected",
        lambda: [patch.object(consensus.RaftNode, "_is_up_to_date", lambda self, request: True)],
    ),
    InjectedFault(
        "floor_twice",
        "two gateways share one floor slot",
        lambda: [patch.object(quota_ledger.QuotaLedger, "_assign_floor_slot", _share_floor_slot)],
    ),
    InjectedFault(
        "old_store_trusted",
        "a replica with an old copy of its store votes",
        lambda: [
            patch.object(store_fencing.StoreFence, "may_vote", lambda self, others: True),
            patch.object(store_fencing, "may_be_latest", lambda known, mark: True),
        ],
    ),
    InjectedFault(
        "born_full",
        "a process starts with full token buckets",
        lambda: [_patch_method(rate_limits.RateLimits, "open_bucket", _open_full)],
    ),
    InjectedFault(
        "grown_full",
        "a token bucket whose size grows is filled by the growth",
        lambda: [_patch_method(rate_limits.RateLimits, "update_quota", _fill_growth)],
    ),
    InjectedFault(
        "closed_early",
        "the leader closes a session before the holder's lease ends",
        lambda: [_patch_method(lease_manager.LeaseManager, "tick", _expire_early)],
    ),
    InjectedFault(
        "not_confirmed",
        "a request is answered before a majority has confirmed the leader",
        lambda: [patch.object(consensus.RaftNode, "confirmed_round", property(_confirm_all_rounds))],
    ),
    InjectedFault(
        "vote_not_kept",
        "a vote is sent but not persisted",
        lambda: [_patch_method(node.FleetNode, "_pop_write", _forget_vote)],
    ),
    InjectedFault(
        "closing_renewed",
        "a session whose closing is proposed is renewed",
        lambda: [patch.object(lease_manager.LeaseManager, "_may_renew", _renew_closing)],
    ),
)


@contextmanager
def inject_fault(name: str) -> Iterator[None]:
    """Inject the named fault within a ``with`` block."""
    fault = next(item for item in INJECTED_FAULTS if item.name == name)
    with ExitStack() as stack:
        for item in fault.patches():
            stack.enter_context(item)
        yield
