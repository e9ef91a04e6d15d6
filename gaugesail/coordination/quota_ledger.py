"""The ledger: how much of each quota every session may spend, as the log's commands determine it.

All replicas that apply the same entries have the same ledger; it uses no clock.  A command that would make
the allocations and floors of one quota exceed its limit, or that is based on outdated state, changes nothing,
whichever replica proposed it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from .fleet_terms import FleetTerms
from .log_commands import (
    AcknowledgeFloor,
    AllocateQuota,
    CloseSession,
    Command,
    ForgetGateway,
    OpenSession,
    SetLimits,
    SettleLimits,
)

RateBurst = tuple[int, int]  # in thousandths of a unit a second, and of a unit
NO_SLOT = -1


def plan_of(quota_name: str) -> str:
    """Return the plan of a quota, whose name is PLAN/VOLUME."""
    return quota_name.rpartition("/")[0]


@dataclass(slots=True, eq=False)
class Session:
    """One process of a gateway, while it may hold a lease."""

    number: int  # index of the entry that opened it
    gateway: str
    process: int
    floor_slot: int = NO_SLOT


@dataclass(slots=True, eq=False)
class FloorSlot:
    """One gateway's floor, permanently bound to its store."""

    gateway: str
    store_id: str
    limits_versions: list[int]  # ascending; its holder goes by the limits of one of these


@dataclass(slots=True, eq=False)
class Allocation:
    """What one session may spend of one quota."""

    rate: int
    burst: int
    version: int  # index of the entry that set it


class _Snapshot(msgspec.Struct):
    """The ledger as it is stored; the stored keys keep the names of the first version."""

    limits_version: int = msgspec.field(name="version")
    limits: dict[str, RateBurst] = msgspec.field(name="wholes")
    stated_limits: dict[str, RateBurst] = msgspec.field(name="wanted")
    settled: bool
    past_limits: dict[int, dict[str, RateBurst]] = msgspec.field(name="past")
    sessions: list[tuple[int, str, int, int]]
    floor_slots: dict[int, tuple[str, str, list[int]]] = msgspec.field(name="slots")
    allocations: dict[str, dict[int, tuple[int, int, int]]] = msgspec.field(name="parts")


def _read_snapshot(state: bytes) -> _Snapshot:
    if not state:
        return _Snapshot(0, {}, {}, True, {}, [], {}, {})
    return msgspec.msgpack.decode(state, type=_Snapshot)


@dataclass(slots=True, eq=False)
class QuotaLedger:
    """The state machine of the log."""

    terms: FleetTerms
    limits_version: int = 0  # index of the entry that changed ``limits`` last
    limits: dict[str, RateBurst] = field(default_factory=dict)  # in force, by plan
    stated_limits: dict[str, RateBurst] = field(default_factory=dict)  # configured at the gateways, by plan
    settled: bool = True  # the limits in force are the stated ones
    sessions: dict[int, Session] = field(default_factory=dict)
    floor_slots: dict[int, FloorSlot] = field(default_factory=dict)
    allocations: dict[str, dict[int, Allocation]] = field(default_factory=dict)  # by quota and session
    _past_limits: dict[int, dict[str, RateBurst]] = field(default_factory=dict)  # that floors may go by
    _reserved: dict[str, RateBurst] = field(default_factory=dict)  # cache of reserved_for_floors, by plan
    _allocated: dict[str, RateBurst] = field(default_factory=dict)  # cache of allocated, by quota

    # ---- reading ----

    def session_of_process(self, process: int) -> Session | None:
        """Return the session of a process; None if it has none."""
        return next((session for session in self.sessions.values() if session.process == process), None)

    def reserved_for_floors(self, plan: str) -> RateBurst:
        """Return the sum reserved for all floors of a plan: for each, the largest that its holder may go by.

        A free slot counts with the current limits, so that it can be assigned at any time.
        """
        reserved = self._reserved.get(plan)
        if reserved is None:
            floors = [self._largest_floor(slot, plan) for slot in range(self.terms.max_gateways)]
            reserved = sum(floor[0] for floor in floors), sum(floor[1] for floor in floors)
            self._reserved[plan] = reserved
        return reserved

    def _largest_floor(self, number: int, plan: str) -> RateBurst:
        slot = self.floor_slots.get(number)
        floors = [self.terms.floor(*self.limits.get(plan, (0, 0)))]
        for version in slot.limits_versions if slot is not None else []:
            past = self._past_limits.get(version, {}).get(plan, (0, 0))
            floors.append(self.terms.floor(*past))
        return max(floor[0] for floor in floors), max(floor[1] for floor in floors)

    def leasable(self, plan: str) -> RateBurst:
        """Return what may be allocated of one quota of a plan: its limit less the floors."""
        limit = self.limits.get(plan, (0, 0))
        reserved = self.reserved_for_floors(plan)
        return max(0, limit[0] - reserved[0]), max(0, limit[1] - reserved[1])

    def allocated(self, quota_name: str) -> RateBurst:
        """Return the sum of the allocations of one quota."""
        allocated = self._allocated.get(quota_name)
        if allocated is None:
            allocations = self.allocations.get(quota_name, {}).values()
            rate = sum(allocation.rate for allocation in allocations)
            burst = sum(allocation.burst for allocation in allocations)
            allocated = self._allocated[quota_name] = rate, burst
        return allocated

    def available(self, quota_name: str) -> RateBurst:
        """Return what is left to allocate of one quota; negative after its limit was lowered."""
        leasable = self.leasable(plan_of(quota_name))
        allocated = self.allocated(quota_name)
        return leasable[0] - allocated[0], leasable[1] - allocated[1]

    # ---- the log ----

    def apply(self, index: int, command: Command) -> bool:
        """Apply the command of entry ``index``; return whether it changed anything."""
        match command:
            case OpenSession():
                return self._open_session(index, command)
            case CloseSession():
                return self._close_session(command.session)
            case AllocateQuota():
                return self._allocate(index, command)
            case SetLimits():
                return self._set_limits(index, command)
            case SettleLimits():
                return self._settle_limits(index, command.limits_version)
            case AcknowledgeFloor():
                return self._acknowledge_floor(command)
            case ForgetGateway():
                return self._forget_gateway(command.gateway)
        return False

    def _open_session(self, index: int, command: OpenSession) -> bool:
        if self.session_of_process(command.process) is not None:
            return False
        slot = self._assign_floor_slot(command.gateway, command.store_id) if command.store_id else NO_SLOT
        self.sessions[index] = Session(index, command.gateway, command.process, slot)
        return True

    def _assign_floor_slot(self, gateway: str, store: str) -> int:
        """Return the slot bound to a store, or bind a free one to it; NO_SLOT if none is free."""
        free = NO_SLOT
        for number in range(self.terms.max_gateways):
            slot = self.floor_slots.get(number)
            if slot is not None and (slot.gateway, slot.store_id) == (gateway, store):
                return number
            if slot is None and free == NO_SLOT:
                free = number
        if free != NO_SLOT:
            self.floor_slots[free] = FloorSlot(gateway, store, [self.limits_version])
            self._past_limits[self.limits_version] = self.limits
            self._reserved.clear()
        return free

    def _close_session(self, number: int) -> bool:
        if self.sessions.pop(number, None) is None:
            return False
        held = [name for name, allocations in self.allocations.items() if number in allocations]
        for quota_name in held:
            self._free(quota_name, number)
        return True

    def _free(self, quota_name: str, session: int) -> None:
        allocations = self.allocations[quota_name]
        del allocations[session]
        self._allocated.pop(quota_name, None)
        if not allocations:
            del self.allocations[quota_name]

    def _allocate(self, index: int, command: AllocateQuota) -> bool:
        """Replace one allocation within the limit; no other command gives a session more."""
        quota_name = command.quota_name
        current = self.allocations.get(quota_name, {}).get(command.session)
        if not self._is_current(command, current) or not self._fits(command, current):
            return False
        if not command.rate and not command.burst:
            if current is not None:
                self._free(quota_name, command.session)
            return current is not None
        allocation = Allocation(command.rate, command.burst, index)
        self.allocations.setdefault(quota_name, {})[command.session] = allocation
        self._allocated.pop(quota_name, None)
        return True

    def _is_current(self, command: AllocateQuota, current: Allocation | None) -> bool:
        """Whether the command's session is open, and the allocation that it replaces is the current one."""
        version = current.version if current is not None else 0
        if command.session not in self.sessions or command.replaced_version != version:
            return False
        return command.rate >= 0 and command.burst >= 0

    def _fits(self, command: AllocateQuota, current: Allocation | None) -> bool:
        """Whether the increase is available; a decrease always fits."""
        available = self.available(command.quota_name)
        more_rate = command.rate - (current.rate if current is not None else 0)
        more_burst = command.burst - (current.burst if current is not None else 0)
        return more_rate <= max(0, available[0]) and more_burst <= max(0, available[1])

    def _set_limits(self, index: int, command: SetLimits) -> bool:
        """Apply lower limits to all allocations from here on; higher ones wait until they are settled."""
        stated = {plan: (rate, burst) for plan, rate, burst in command.limits}
        if stated == self.stated_limits:
            return False
        self.stated_limits = stated
        limits = dict(self.limits)
        for plan, (rate, burst) in stated.items():
            current = self.limits.get(plan, (0, 0))
            limits[plan] = min(rate, current[0]), min(burst, current[1])
        self._change_limits(index, limits)
        return True

    def _settle_limits(self, index: int, version: int) -> bool:
        """Apply the stated limits in full, unless they have changed since ``version``."""
        if version != self.limits_version or self.settled:
            return False
        self._change_limits(index, {**self.limits, **self.stated_limits})
        return True

    def _change_limits(self, index: int, limits: dict[str, RateBurst]) -> None:
        self.limits_version = index
        self.limits = limits
        self.settled = all(limits[plan] == stated for plan, stated in self.stated_limits.items())
        self._past_limits[index] = limits
        for slot in self.floor_slots.values():
            slot.limits_versions.append(index)  # its holder may go by these once it receives them
        self._forget_past_limits()

    def _acknowledge_floor(self, command: AcknowledgeFloor) -> bool:
        """Record that the holder of a slot no longer goes by limits older than the acknowledged ones."""
        slot = self.floor_slots.get(command.floor_slot)
        version = command.limits_version
        if slot is None or version not in slot.limits_versions or slot.limits_versions[0] == version:
            return False
        slot.limits_versions = [known for known in slot.limits_versions if known >= version]
        self._forget_past_limits()
        return True

    def _forget_past_limits(self) -> None:
        """Drop the limits that no floor can go by any more."""
        used = {version for slot in self.floor_slots.values() for version in slot.limits_versions}
        used |= {self.limits_version}
        self._past_limits = {
            version: limits for version, limits in self._past_limits.items() if version in used
        }
        self._reserved.clear()

    def _forget_gateway(self, gateway: str) -> bool:
        """Free the floor slots of a removed gateway, except those of an open session."""
        in_use = {session.floor_slot for session in self.sessions.values()}
        freed = [
            number
            for number, slot in self.floor_slots.items()
            if slot.gateway == gateway and number not in in_use
        ]
        for number in freed:
            del self.floor_slots[number]
        self._forget_past_limits()
        return bool(freed)

    # ---- snapshots ----

    def dump(self) -> bytes:
        """Return the ledger as it is stored in a snapshot of the log."""
        sessions = [
            (session.number, session.gateway, session.process, session.floor_slot)
            for session in self.sessions.values()
        ]
        floor_slots = {
            number: (slot.gateway, slot.store_id, slot.limits_versions)
            for number, slot in self.floor_slots.items()
        }
        allocations = {
            quota_name: {number: (item.rate, item.burst, item.version) for number, item in by_session.items()}
            for quota_name, by_session in self.allocations.items()
        }
        snapshot = _Snapshot(
            self.limits_version,
            self.limits,
            self.stated_limits,
            self.settled,
            self._past_limits,
            sessions,
            floor_slots,
            allocations,
        )
        return msgspec.msgpack.encode(snapshot)

    def load(self, state: bytes) -> None:
        """Replace the ledger by one that ``dump`` returned; empty bytes are the empty ledger.

        Raises MsgspecError if the bytes are malformed.
        """
        snapshot = _read_snapshot(state)
        self.limits_version = snapshot.limits_version
        self.limits = snapshot.limits
        self.stated_limits = snapshot.stated_limits
        self.settled = snapshot.settled
        self._past_limits = snapshot.past_limits
        self.sessions = {item[0]: Session(*item) for item in snapshot.sessions}
        self.floor_slots = {number: FloorSlot(*item) for number, item in snapshot.floor_slots.items()}
        self.allocations = {
            quota_name: {number: Allocation(*item) for number, item in by_session.items()}
            for quota_name, by_session in snapshot.allocations.items()
        }
        self._reserved = {}
        self._allocated = {}
