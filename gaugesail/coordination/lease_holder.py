"""A holder: what this head may spend, until when, and what it asks for.

Its lease runs from when it sent the ask that was answered, on its own clock.  Its book of parts is at any
time at most what the ledger says: it takes in more when it is told that the entry is committed, and gives up
before it says that it has.  Its floor is its own for good, once it has kept it.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from .fleet_terms import FleetTerms
from .messages import HeldQuota, LeaseRequest, LeaseResponse, LeaseStatus, Message, QuotaDemand, QuotaOrders
from .notices import Notice
from .quota_ledger import Pair

ASKS = 4  # in one lease
SOON_US = 60_000  # between two asks where something has changed
PATIENCE_US = 300_000  # for an answer, before another keeper is asked
MOST_ASKS = 64  # that are remembered
MOST_TOLD = 40  # demands, and parts, in one ask
CHANGED = 0.15  # of what was told: by so much a demand has to differ to be told again
SMOOTH_S = 0.2  # over which a demand is smoothed
SPEND_S = 0.7  # in which what is saved up beyond one request is to go
LEAST = 500  # thousandths of a unit a second: the least that is told
NEVER = 1 << 62
LIVE_US = 3_000_000  # after so long without a request there is no demand


@dataclass(slots=True)
class HeadFloor:
    """The floor that this head has kept: its slot, and the wholes that it goes by."""

    slot: int = -1
    limits_version: int = 0
    limits: dict[str, Pair] = field(default_factory=dict)
    fleet: str = ""


@dataclass(slots=True, frozen=True)
class QuotaUpdate:
    """What the gateway may go by from now on.  ``parts`` are those that have changed, by amount; ``floors``
    are by plan, and None where they have not changed."""

    lease_until: int
    allocations: tuple[tuple[str, int, int], ...] = ()
    floors: tuple[tuple[str, int, int], ...] | None = None
    replaces_all: bool = False  # all parts that are not named are nothing


@dataclass(slots=True, eq=False)
class DemandEstimate:
    """One amount that is asked for here: rates in thousandths of a unit a second, smoothed."""

    worth: int
    at: int  # when it was last asked for
    rate: float = 0.0
    used: float = 0.0
    saved: float = 0.0  # units
    told: int = -1  # the rate that the leader was told
    carried: int = 0  # by which ask, while that has no answer


class LeaseHolder:
    """One process's rights and wishes."""

    def __init__(
        self,
        charter: FleetTerms,
        digest: str,
        head: str,
        process: int,
        store: str,
        floor: HeadFloor,
        now: int,
        rng: random.Random,
    ) -> None:
        self._charter, self._digest, self._head, self._process = charter, digest, head, process
        self._store, self.floor, self._rng = store, floor, rng
        self.session, self.lease_until, self.term, self.leader = 0, 0, 0, ""
        self._fleet, self._seen = "", 0
        self.allocations: dict[str, HeldQuota] = {}
        self._wants: dict[str, DemandEstimate] = {}
        self._wanted_at = now
        self._wholes: tuple[tuple[str, int, int], ...] = ()
        self._quantum = 0
        self._sent: dict[int, int] = {}  # when each ask was sent
        self._number = 0
        self._changed: dict[str, int] = {}  # parts to tell, by the ask that carried them last
        # Whoever has no store may be a life whose earlier one still holds a lease.
        self._first_at = self._ask_at = now if store else now + charter.lease_with_drift_us
        self._waits: int | None = None  # since when for an answer of the one that is asked
        self._asked = ""
        self._whom = ""  # who answered last, or was named as the leader
        self._mute: set[str] = set()  # who was asked since and did not help
        self.leaving = self.left = False
        self.refusal_reason = ""  # why nothing is to be had
        self._out: list[tuple[str, Message]] = []
        self._fresh: dict[str, None] = {}  # parts that the gateway has not heard of
        self._anew = False
        self._floors_told: tuple[tuple[str, int, int], ...] | None = None
        self._until_told = -1
        self.floor_changed = self._frozen = False
        self._lapsed = True
        self.notices: list[Notice] = []

    # ---- what it may spend ----

    def take_quota_update(self) -> QuotaUpdate | None:
        """What has changed for the gateway since the last call; to be passed on after the save is written."""
        floors = self.floors()
        same = floors == self._floors_told and self.lease_until == self._until_told
        if same and not self._fresh and not self._anew:
            return None
        parts = tuple(
            (amount, held.rate, held.burst)
            if (held := self.allocations.get(amount)) is not None
            else (amount, 0, 0)
            for amount in self._fresh
        )
        told = QuotaUpdate(
            self.lease_until, parts, floors if floors != self._floors_told else None, self._anew
        )
        self._fresh, self._anew = {}, False
        self._floors_told, self._until_told = floors, self.lease_until
        return told

    def floors(self) -> tuple[tuple[str, int, int], ...]:
        """What it may spend of each volume of a plan without any lease."""
        if self.floor.slot < 0 or not self._store:
            return ()
        own = {plan: (rate, burst) for plan, rate, burst in self._wholes}  # by this head's own file
        found = []
        for plan, agreed in sorted(self.floor.limits.items()):
            mine = own.get(plan, agreed)
            less = min(agreed[0], mine[0]), min(agreed[1], mine[1])
            found.append((plan, *self._charter.floor(*less)))
        return tuple(found)

    def take_messages(self) -> list[tuple[str, Message]]:
        found, self._out = self._out, []
        return found

    def resend_quota(self) -> None:
        """What was last to be passed on was not: all of it is to be."""
        self._fresh = dict.fromkeys(self.allocations)
        self._anew, self._floors_told, self._until_told = True, None, -1

    def replace_store(self, now: int, store: str) -> None:
        """Its store was an old copy and is put aside: what it says of a floor is nothing."""
        self._store, self.floor = store, HeadFloor()
        self._first_at = self._ask_at = now + self._charter.lease_with_drift_us
        self._drop()

    def floor_not_persisted(self, kept: HeadFloor) -> None:
        """The store takes no more: of two floors the less holds, and no more is said of it."""
        wholes = {
            plan: (min(rate, self.floor.limits[plan][0]), min(burst, self.floor.limits[plan][1]))
            for plan, (rate, burst) in kept.limits.items() if plan in self.floor.limits
        }  # fmt: skip
        same = (kept.slot, kept.fleet) == (self.floor.slot, self.floor.fleet)
        self.floor = HeadFloor(kept.slot if same else -1, kept.limits_version, wholes, kept.fleet)
        self._frozen = True
        self.resend_quota()

    # ---- what it wants ----

    def set_limits(self, wholes: Mapping[str, Pair], quantum: int) -> None:
        """What this head's own file says."""
        self._wholes = tuple((plan, *pair) for plan, pair in sorted(wholes.items()))
        self._quantum = quantum

    def record_demand(self, now: int, asked: Mapping[str, tuple[float, float, float, int]]) -> None:
        """Units asked for and sent since the last call, those saved up, and what one is worth, by amount.

        What is saved up goes first: a head that has plenty leaves its rate to others, and has it when its
        demand rises.
        """
        span, self._wanted_at = max(1, now - self._wanted_at) / 1e6, now
        gain = 1 - math.exp(-span / SMOOTH_S)
        for amount, (_, _, _, worth) in asked.items():
            if amount not in self._wants:
                self._wants[amount] = DemandEstimate(worth, now)
        for amount, want in self._wants.items():
            units, spent, want.saved, want.worth = asked.get(amount, (0.0, 0.0, want.saved, want.worth))
            want.rate += gain * (units * 1000 / span - want.rate)
            want.used += gain * (spent * 1000 / span - want.used)
            if units:
                want.at = now
            if self._differs(now, want):
                self._hurry(now)

    def _rate(self, now: int, want: DemandEstimate) -> int:
        """What is told of a demand: some, until nobody has asked for it in a while."""
        if now - want.at >= LIVE_US:
            return 0
        return max(LEAST, round(want.rate - max(0.0, want.saved * 1000 - self._quantum) / SPEND_S))

    def _differs(self, now: int, want: DemandEstimate) -> bool:
        rate, told = self._rate(now, want), want.told
        return told < 0 or abs(rate - told) > CHANGED * max(rate, told)

    def _hurry(self, now: int) -> None:
        """Ask soon, but not right after what has just gone out; one that is answered is followed by this."""
        if not self.leaving and self._waits is None:
            last = self._sent.get(self._number, now - SOON_US)
            self._ask_at = max(self._first_at, min(self._ask_at, max(now, last + SOON_US)))

    def leave(self, now: int) -> None:
        """Give all up, and say so: from here on nothing is spent but what the floor gives."""
        self.leaving = True
        self._drop()
        self._ask_at = now

    # ---- time ----

    @property
    def next_at(self) -> int:
        """When ``tick`` has something to do; it has nothing more once it has left."""
        if self.left:
            return NEVER
        return min(self._ask_at, self.lease_until) if not self._lapsed else self._ask_at

    def tick(self, now: int, keepers: list[str]) -> None:
        """Ask where it is due; ``keepers`` are those to ask, the likeliest first."""
        if not self._lapsed and now >= self.lease_until:
            self._lapsed = True
            fields = {"parts": len(self.allocations), "asked": self._number}
            self.notices.append(Notice("fell_to_floor", fields))
        if now < self._ask_at or self.left or not keepers:
            return
        if self._waits is not None and now - self._waits >= PATIENCE_US:
            self._mute.add(self._asked)  # another may answer
            self._whom, self._waits = "", None
        if not (left := [name for name in keepers if name not in self._mute]):
            self._mute.clear()
            left = keepers
        self._ask(now, self._whom or left[0])

    def _ask(self, now: int, whom: str) -> None:
        self._number, self._asked = self._number + 1, whom
        if self._waits is None:
            self._waits = now
        self._sent[self._number] = now  # before it is sent: the lease counts from here
        while len(self._sent) > MOST_ASKS:
            del self._sent[next(iter(self._sent))]
        for amount, want in list(self._wants.items()):
            if now - want.at > LIVE_US and want.told == 0 and not want.carried:
                del self._wants[amount]
        due = [item for item in self._wants.items() if item[1].carried or self._differs(now, item[1])]
        demands = []
        for amount, want in due[:MOST_TOLD]:
            want.told, want.carried = self._rate(now, want), self._number
            demands.append(QuotaDemand(amount, want.told, want.worth, round(want.used)))
        held = []
        for amount in list(self._changed)[:MOST_TOLD]:
            if (line := self.allocations.get(amount)) is None:
                del self._changed[amount]
                continue
            self._changed[amount] = self._number
            held.append(line)
        more = len(due) > MOST_TOLD or len(self._changed) > MOST_TOLD
        self._ask_at = now + (SOON_US if more else PATIENCE_US)
        floor = self.floor
        request = LeaseRequest(
            self._process,
            self._number,
            self.session,
            self._digest,
            self._store,
            self._wholes,
            floor.slot,
            floor.limits_version,
            self._quantum,
            self._fleet,
            self._seen,
            tuple(demands),
            tuple(held),
            self.leaving,
        )
        self._out.append((whom, request))

    # ---- what it is told ----

    def receive(self, now: int, sender: str, message: LeaseResponse | QuotaOrders) -> None:
        """Take in what a leader says; what is not for this process, or not for its session, is nothing."""
        if message.process != self._process:
            return
        if isinstance(message, QuotaOrders):
            same = message.session == self.session and message.fleet == self._fleet
            if same and self.session and not self.leaving:
                self._ordered(now, message)
        elif (asked := self._sent.get(message.number)) is not None:
            self._told(now, sender, message, asked)

    def _told(self, now: int, sender: str, answer: LeaseResponse, asked: int) -> None:
        newest = answer.number == self._number
        if newest:
            self._waits, self.refusal_reason = None, ""
        match answer.status:
            case LeaseStatus.RENEWED:
                self._renewed(now, sender, answer, asked, newest)
            case LeaseStatus.UNKNOWN_SESSION:
                if newest:
                    self._drop()
                    self._seen, self._ask_at = 0, now
            case LeaseStatus.NOT_LEADER:
                self._mute.add(sender)
                self._whom = answer.leader if answer.leader not in self._mute else ""
                if newest:
                    self._ask_at = now if self._whom else now + PATIENCE_US // 2
            case LeaseStatus.TERMS_DIFFER:
                self.refusal_reason = f"{sender}'s file differs in what binds the fleet"
                self._ask_at = now + self._charter.lease_us
            case LeaseStatus.LEFT:
                self.left = True

    def _renewed(self, now: int, sender: str, answer: LeaseResponse, asked: int, newest: bool) -> None:
        if self.leaving or (answer.fleet == self._fleet and answer.session < self.session):
            return
        if answer.fleet != self._fleet:  # numbers of another fleet of this name mean nothing in this one
            self._drop()
            self._fleet, self.term, self._seen = answer.fleet, 0, 0
            if self.floor.fleet != answer.fleet:
                self.floor, self.floor_changed = HeadFloor(), bool(self._store)
        if answer.session != self.session:
            self._drop()  # parts of an earlier session are nothing under another
            self.session = answer.session
        self.lease_until = max(self.lease_until, asked + self._charter.lease_us)
        self._seen = max(self._seen, answer.session, answer.limits_version)
        if self._lapsed and now < self.lease_until:
            self._lapsed = False
            self.notices.append(Notice("lease_held", {"session": self.session, "leader": answer.leader}))
        if answer.term >= self.term:
            if answer.term > self.term:
                for want in self._wants.values():
                    want.told = -1  # this leader knows nothing yet
            self.term, self.leader, self._whom = answer.term, answer.leader, sender
            self._mute.clear()
            self._floored(answer)
        for want in self._wants.values():
            if want.carried == answer.number:
                want.carried = 0
        for amount, carried in list(self._changed.items()):
            if carried == answer.number:
                del self._changed[amount]
        if newest:
            wait = self._charter.lease_us // ASKS
            self._ask_at = now + wait - self._rng.randrange(wait // 8)
            if self._changed or any(self._differs(now, want) for want in self._wants.values()):
                self._hurry(now)

    def _floored(self, answer: LeaseResponse) -> None:
        """The slot and its wholes: kept, and gone by from then on."""
        floor = self.floor
        if (
            not self._store
            or self._frozen
            or (answer.floor_slot, answer.limits_version) == (floor.slot, floor.limits_version)
        ):
            return
        if answer.limits_version < floor.limits_version and answer.floor_slot == floor.slot:
            return
        wholes = {plan: (rate, burst) for plan, rate, burst in answer.limits}
        self.floor = HeadFloor(answer.floor_slot, answer.limits_version, wholes, answer.fleet)
        self.floor_changed = True

    def _ordered(self, now: int, message: QuotaOrders) -> None:
        for order in message.orders:
            self._seen = max(self._seen, order.version)
            have = self.allocations.get(order.quota_name)
            rate, burst = order.rate, order.burst
            if have is not None and order.version < have.version:
                continue
            if have is not None and order.version == have.version:
                if not order.release:
                    # Told again: taken in already, and perhaps given up in part since.
                    self._changed[order.quota_name] = 0
                    continue
                rate, burst = min(rate, have.rate), min(burst, have.burst)
            self.allocations[order.quota_name] = HeldQuota(order.quota_name, order.version, rate, burst)
            self._fresh[order.quota_name] = None
            self._changed[order.quota_name] = 0
        if any(order.release for order in message.orders):
            self._ask_at = max(self._first_at, now)  # until it is told, what it gave up is nobody's
        elif self._changed:
            self._hurry(now)

    def _drop(self) -> None:
        """No part is left."""
        self.session, self.allocations = 0, {}
        self.lease_until = 0
        self._changed.clear()
        self._fresh.clear()
        self._anew = True
        for want in self._wants.values():
            want.told = -1
