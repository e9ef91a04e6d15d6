"""The ledger: which session may spend how much of each quota, as the log's commands make it.

Every replica that applies the same entries has the same ledger; nothing here knows a clock.  A command that
would make the allocations and floors of one quota sum to more than its limit, or that rests on what is no
longer so, changes nothing, whoever proposed it.
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

RateBurst = tuple[int, int]  # thousandths of a unit a second, and of a unit
NO_SLOT = -1


def plan_of(quota_name: str) -> str:
    """The plan of a quota, which is named PLAN/VOLUME."""
    return quota_name.rpartition("/")[0]


@dataclass(slots=True, eq=False)
class Session:
    """One process of one gateway, from its opening to its close."""

    number: int  # index of the entry that opened it
    gateway: str
    process: int
    floor_slot: int = NO_SLOT


@dataclass(slots=True, eq=False)
class FloorSlot:
    """One gateway's floor, bound to its store for good."""

    gateway: str
    store_id: str
    limits_versions: list[int]  # its holder goes by the limits of one of these, in order


@dataclass(slots=True, eq=False)
class Allocation:
    """What one session may spend of one quota."""

    rate: int
    burst: int
    version: int  # index of the entry that made it


class _Snapshot(msgspec.Struct):
    """The ledger as it is stored; the names of the stored keys are those of the first version."""

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
    limits_version: int = 0  # index of the entry that made the limits what they are
    limits: dict[str, RateBurst] = field(default_factory=dict)  # in force, by plan
    stated_limits: dict[str, RateBurst] = field(default_factory=dict)  # by the gateways' files
    settled: bool = True  # the limits in force are those that are stated
    sessions: dict[int, Session] = field(default_factory=dict)
    floor_slots: dict[int, FloorSlot] = field(default_factory=dict)
    allocations: dict[str, dict[int, Allocation]] = field(default_factory=dict)  # by quota and session
    _past_limits: dict[int, dict[str, RateBurst]] = field(default_factory=dict)  # that a floor may go by
    _reserved: dict[str, RateBurst] = field(default_factory=dict)  # reserved_for_floors, as computed
    _allocated: dict[str, RateBurst] = field(default_factory=dict)  # allocated, as computed

    # ---- reading ----

    def session_of_process(self, process: int) -> Session | None:
        """The session of one process."""
        return next((session for session in self.sessions.values() if session.process == process), None)

    def reserved_for_floors(self, plan: str) -> RateBurst:
        """What is set aside for all floors of a plan: of each, the largest that its holder may go by.

        A slot that nobody has counts with the current limits, so that a gateway may always have it.
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
        """What may be allocated of one quota of a plan: its limit without the floors."""
        limit = self.limits.get(plan, (0, 0))
        reserved = self.reserved_for_floors(plan)
        return max(0, limit[0] - reserved[0]), max(0, limit[1] - reserved[1])

    def allocated(self, quota_name: str) -> RateBurst:
        """The sum of the allocations of one quota."""
        allocated = self._allocated.get(quota_name)
        if allocated is None:
            allocations = self.allocations.get(quota_name, {}).values()
            rate = sum(allocation.rate for allocation in allocations)
            burst = sum(allocation.burst for allocation in allocations)
            allocated = self._allocated[quota_name] = rate, burst
        return allocated

    def available(self, quota_name: str) -> RateBurst:
        """What more may be allocated of one quota; negative after its limit was lowered."""
        leasable = self.leasable(plan_of(quota_name))
        allocated = self.allocated(quota_name)
        return leasable[0] - allocated[0], leasable[1] - allocated[1]

    # ---- the log ----

    def apply(self, index: int, command: Command) -> bool:
        """Apply the command of one entry; False where it changes nothing."""
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
        """The slot bound to a store, or a free one that is bound to it now; NO_SLOT where none is free."""
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
        """Replace one allocation; the one place where a session gets more, never beyond the limit."""
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
        """Whether what the command rests on is still so: its session, and the allocation it replaces."""
        version = current.version if current is not None else 0
        if command.session not in self.sessions or command.replaced_version != version:
            return False
        return command.rate >= 0 and command.burst >= 0

    def _fits(self, command: AllocateQuota, current: Allocation | None) -> bool:
        """Whether what the command adds is available; less always fits."""
        available = self.available(command.quota_name)
        more_rate = command.rate - (current.rate if current is not None else 0)
        more_burst = command.burst - (current.burst if current is not None else 0)
        return more_rate <= max(0, available[0]) and more_burst <= max(0, available[1])

    def _set_limits(self, index: int, command: SetLimits) -> bool:
        """A limit that falls holds for every allocation from here on; one that rises has to be settled."""
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
        """The stated limits hold in full, unless they have changed since ``version``."""
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
            slot.limits_versions.append(index)  # its holder may go by these once it hears of them
        self._forget_past_limits()

    def _acknowledge_floor(self, command: AcknowledgeFloor) -> bool:
        """The holder of a slot goes by no limits older than these any more."""
        slot = self.floor_slots.get(command.floor_slot)
        version = command.limits_version
        if slot is None or version not in slot.limits_versions or slot.limits_versions[0] == version:
            return False
        slot.limits_versions = [known for known in slot.limits_versions if known >= version]
        self._forget_past_limits()
        return True

    def _forget_past_limits(self) -> None:
        """Keep only the limits that a floor may still go by."""
        used = {version for slot in self.floor_slots.values() for version in slot.limits_versions}
        used |= {self.limits_version}
        self._past_limits = {
            version: limits for version, limits in self._past_limits.items() if version in used
        }
        self._reserved.clear()

    def _forget_gateway(self, gateway: str) -> bool:
        """Free the floor slots of a gateway that is gone for good; not one that a session has."""
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
        """The ledger as it is stored in a snapshot of the log."""
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
        """Become what ``dump`` has written; empty bytes are the empty ledger.  MsgspecError."""
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
