"""The ledger: who may spend how much of what, as one order of entries makes it, the same at every keeper.

Nothing here knows a clock.  An entry that would make the parts and floors of one amount sum to more than the
whole, or that rests on what is no longer so, changes nothing, whoever proposed it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from .fleet_terms import FleetTerms
from .messages import (
    AcknowledgeFloor,
    AllocateQuota,
    CloseSession,
    Command,
    ForgetHead,
    OpenSession,
    SetLimits,
    SettleLimits,
)

Pair = tuple[int, int]  # rate and burst, in thousandths


def plan_of(amount: str) -> str:
    """The plan of an amount, which is named PLAN/VOLUME."""
    return amount.rpartition("/")[0]


@dataclass(slots=True, eq=False)
class Session:
    """One process of one head, from its opening to its close."""

    number: int
    gateway: str
    process: int
    floor_slot: int = -1  # of its floor


@dataclass(slots=True, eq=False)
class FloorSlot:
    """One head's floor, bound to its store for good.  Its holder goes by one of ``versions``."""

    gateway: str
    store: str
    limits_versions: list[int]


@dataclass(slots=True, eq=False)
class Allocation:
    """What one session may spend of one amount."""

    rate: int
    burst: int
    version: int


class _Dump(msgspec.Struct):
    """The whole ledger as it is kept."""

    version: int
    wholes: dict[str, Pair]
    wanted: dict[str, Pair]
    settled: bool
    past: dict[int, dict[str, Pair]]
    sessions: list[tuple[int, str, int, int]]
    slots: dict[int, tuple[str, str, list[int]]]
    parts: dict[str, dict[int, tuple[int, int, int]]]


@dataclass(slots=True, eq=False)
class QuotaLedger:
    """The state that the log makes."""

    terms: FleetTerms
    limits_version: int = 0  # index of the entry that made the wholes what they are
    limits: dict[str, Pair] = field(default_factory=dict)  # in force, by plan
    stated_limits: dict[str, Pair] = field(default_factory=dict)  # what the files say
    settled: bool = True  # both are the same
    sessions: dict[int, Session] = field(default_factory=dict)
    floor_slots: dict[int, FloorSlot] = field(default_factory=dict)
    allocations: dict[str, dict[int, Allocation]] = field(default_factory=dict)
    _past: dict[int, dict[str, Pair]] = field(default_factory=dict)  # wholes that a slot may go by
    _floors: dict[str, Pair] = field(default_factory=dict)  # all of a plan's, reckoned when first wanted
    _sums: dict[str, Pair] = field(default_factory=dict)  # of an amount's parts

    # ---- reading ----

    def session_of_process(self, process: int) -> Session | None:
        """The session of one process."""
        return next((item for item in self.sessions.values() if item.process == process), None)

    def reserved_for_floors(self, plan: str) -> Pair:
        """What is set aside for all floors of one plan: each slot's largest that its holder may go by."""
        if (found := self._floors.get(plan)) is None:
            now = self.terms.floor(*self.limits.get(plan, (0, 0)))
            rate = burst = 0
            for number in range(self.terms.max_gateways):
                slot = self.floor_slots.get(number)
                pairs = [now]
                for version in slot.limits_versions if slot is not None else []:
                    pairs.append(self.terms.floor(*self._past.get(version, {}).get(plan, (0, 0))))
                rate += max(pair[0] for pair in pairs)
                burst += max(pair[1] for pair in pairs)
            found = self._floors[plan] = rate, burst
        return found

    def leasable(self, plan: str) -> Pair:
        """What may be given in parts, of one amount of a plan."""
        whole, floors = self.limits.get(plan, (0, 0)), self.reserved_for_floors(plan)
        return max(0, whole[0] - floors[0]), max(0, whole[1] - floors[1])

    def allocated(self, amount: str) -> Pair:
        """What is given of one amount."""
        if (found := self._sums.get(amount)) is None:
            stakes = self.allocations.get(amount, {}).values()
            found = self._sums[amount] = (
                sum(stake.rate for stake in stakes), sum(stake.burst for stake in stakes)
            )  # fmt: skip
        return found

    def available(self, amount: str) -> Pair:
        """What more may be given of one amount; under zero after its whole was lowered."""
        most, given = self.leasable(plan_of(amount)), self.allocated(amount)
        return most[0] - given[0], most[1] - given[1]

    def floor_of(self, slot: int, plan: str) -> Pair:
        """The largest floor that the holder of a slot may go by."""
        found = self.floor_slots.get(slot)
        pairs = [(0, 0)]
        for version in found.limits_versions if found is not None else []:
            pairs.append(self.terms.floor(*self._past.get(version, {}).get(plan, (0, 0))))
        return max(pair[0] for pair in pairs), max(pair[1] for pair in pairs)

    # ---- the log ----

    def apply(self, index: int, command: Command) -> bool:
        """Carry out one entry; False where it changes nothing."""
        match command:
            case OpenSession():
                return self._open(index, command)
            case CloseSession():
                return self._close(command.session)
            case AllocateQuota():
                return self._part(index, command)
            case SetLimits():
                return self._wholes(index, command)
            case SettleLimits():
                return self._settle(index, command.limits_version)
            case AcknowledgeFloor():
                return self._floor_at(command)
            case ForgetHead():
                return self._forget(command.gateway)
        return False

    def _open(self, index: int, command: OpenSession) -> bool:
        if self.session_of_process(command.process) is not None:
            return False
        slot = self._slot(command.gateway, command.store) if command.store else -1
        self.sessions[index] = Session(index, command.gateway, command.process, slot)
        return True

    def _slot(self, head: str, store: str) -> int:
        """The floor bound to a store, or a free one bound to it now; -1 where none is free."""
        free = -1
        for number in range(self.terms.max_gateways):
            slot = self.floor_slots.get(number)
            if slot is None:
                free = number if free < 0 else free
            elif (slot.gateway, slot.store) == (head, store):
                return number
        if free >= 0:
            self.floor_slots[free] = FloorSlot(head, store, [self.limits_version])
            self._past[self.limits_version] = self.limits
            self._floors.clear()
        return free

    def _close(self, number: int) -> bool:
        if self.sessions.pop(number, None) is None:
            return False
        for amount in [amount for amount, stakes in self.allocations.items() if number in stakes]:
            self._drop(amount, number)
        return True

    def _drop(self, amount: str, session: int) -> None:
        stakes = self.allocations[amount]
        del stakes[session]
        self._sums.pop(amount, None)
        if not stakes:
            del self.allocations[amount]

    def _part(self, index: int, command: AllocateQuota) -> bool:
        amount, session = command.quota_name, command.session
        stake = self.allocations.get(amount, {}).get(session)
        rate, burst, held = (stake.rate, stake.burst, stake.version) if stake is not None else (0, 0, 0)
        # What it rests on has changed since, or its session is over: another entry came first.
        if (
            session not in self.sessions
            or command.replaced_version != held
            or min(command.rate, command.burst) < 0
        ):
            return False
        room = self.available(amount)
        # The one place where more is given: never beyond the whole, whatever the leader thought.
        if command.rate - rate > max(0, room[0]) or command.burst - burst > max(0, room[1]):
            return False
        if not command.rate and not command.burst:
            if stake is not None:
                self._drop(amount, session)
            return stake is not None
        self.allocations.setdefault(amount, {})[session] = Allocation(command.rate, command.burst, index)
        self._sums.pop(amount, None)
        return True

    def _wholes(self, index: int, command: SetLimits) -> bool:
        """What is less holds for whatever is given from here on; what is more has to be settled first."""
        wanted = {plan: (rate, burst) for plan, rate, burst in command.limits}
        if wanted == self.stated_limits:
            return False
        self.stated_limits = wanted
        lower = dict(self.limits)
        for plan, (rate, burst) in wanted.items():
            old = self.limits.get(plan, (0, 0))
            lower[plan] = min(rate, old[0]), min(burst, old[1])
        self._turn(index, lower)
        return True

    def _settle(self, index: int, version: int) -> bool:
        if version != self.limits_version or self.settled:
            return False
        self._turn(index, {**self.limits, **self.stated_limits})
        return True

    def _turn(self, index: int, wholes: dict[str, Pair]) -> None:
        self.limits_version, self.limits = index, wholes
        self.settled = all(wholes[plan] == pair for plan, pair in self.stated_limits.items())
        self._past[index] = wholes
        for slot in self.floor_slots.values():
            slot.limits_versions.append(index)  # its holder may go by these from when it hears of them
        self._forget_past()

    def _floor_at(self, command: AcknowledgeFloor) -> bool:
        """The holder goes by no older version any more."""
        slot = self.floor_slots.get(command.floor_slot)
        if (
            slot is None
            or command.limits_version not in slot.limits_versions
            or slot.limits_versions[0] == command.limits_version
        ):
            return False
        slot.limits_versions = [
            version for version in slot.limits_versions if version >= command.limits_version
        ]
        self._forget_past()
        return True

    def _forget_past(self) -> None:
        used = {version for slot in self.floor_slots.values() for version in slot.limits_versions} | {
            self.limits_version
        }
        self._past = {version: wholes for version, wholes in self._past.items() if version in used}
        self._floors.clear()

    def _forget(self, head: str) -> bool:
        """A head is gone for good; not one that has a session."""
        busy = {session.floor_slot for session in self.sessions.values()}
        gone = [n for n, slot in self.floor_slots.items() if slot.gateway == head and n not in busy]
        for number in gone:
            del self.floor_slots[number]
        self._forget_past()
        return bool(gone)

    # ---- keeping ----

    def dump(self) -> bytes:
        """The whole of it, for a snapshot."""
        return msgspec.msgpack.encode(
            _Dump(
                self.limits_version, self.limits, self.stated_limits, self.settled, self._past,
                [
                    (item.number, item.gateway, item.process, item.floor_slot)
                    for item in self.sessions.values()
                ],
                {n: (slot.gateway, slot.store, slot.limits_versions) for n, slot in self.floor_slots.items()},
                {
                    amount: {n: (stake.rate, stake.burst, stake.version) for n, stake in stakes.items()}
                    for amount, stakes in self.allocations.items()
                },
            )
        )  # fmt: skip

    def load(self, state: bytes) -> None:
        """Become what was dumped; nothing is the beginning."""
        told = msgspec.msgpack.decode(state, type=_Dump) if state else _Dump(0, {}, {}, True, {}, [], {}, {})
        self.limits_version, self.limits, self.stated_limits = told.version, told.wholes, told.wanted
        self.settled, self._past = told.settled, told.past
        self.sessions = {item[0]: Session(*item) for item in told.sessions}
        self.floor_slots = {n: FloorSlot(*item) for n, item in told.slots.items()}
        self.allocations = {
            amount: {n: Allocation(*stake) for n, stake in stakes.items()}
            for amount, stakes in told.parts.items()
        }
        self._floors, self._sums = {}, {}
