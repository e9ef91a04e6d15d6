"""Exhaustive search of a small fleet: each state that a few heads can come to, whatever the network does.

Three heads, each a holder and, one or three of them, a keeper; one amount.  What is ever said stays in the
air: it may come at any time, any number of times, in any order, or never, which covers loss, doubles and
delay; only an ask, which would be answered anew each time, comes at most once.  Beside that a bounded number
of asks, elections, crashes (a head comes back with its store, as another process) and steps of half a lease
in time.  In every state what all heads may spend by their own books and clocks has to fit the whole.
"""

from __future__ import annotations

import io
import pickle
import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec

from gaugesail.coordination import messages as m
from gaugesail.coordination.consensus import RaftNode
from gaugesail.coordination.demand_tracker import DemandEstimate
from gaugesail.coordination.elections import Role
from gaugesail.coordination.fleet_terms import FleetTerms
from gaugesail.coordination.gateway_floor import PersistedFloor
from gaugesail.coordination.lease_holder import LeaseHolder
from gaugesail.coordination.limits_agreement import LimitsAgreement
from gaugesail.coordination.proposed_commands import ProposedCommands
from gaugesail.coordination.quota_allocator import QuotaAllocator
from gaugesail.coordination.quota_ledger import RateBurst
from gaugesail.coordination.raft_log import RaftLog, Snapshot
from gaugesail.coordination.replica import Replica
from gaugesail.coordination.replica_id import make_replica_id, name_of

NAMES = ("h0", "h1", "h2")
AMOUNT = "p/1"
WHOLE: RateBurst = (100_000, 60_000)
QUANTUM = 4_000
NEVER = 1 << 60
LEASE_US = 4_000_000
FLEET = "f"


class Still(random.Random):
    """Draws that are always the same, and take no room in a state."""

    def random(self) -> float:
        return 0.5

    def __reduce__(self) -> Any:
        return Still, ()


@dataclass(slots=True, frozen=True)
class Budget:
    """How often each thing may still happen."""

    lease_requests: int = 2  # of all holders together
    elections: int = 0
    crashes: int = 0
    steps: int = 0  # of half a lease


@dataclass(slots=True)
class Cell:
    """One head: its keeper, its holder, and what its store holds."""

    keeper: Replica
    holder: LeaseHolder
    process: int
    term: int = 0
    vote: str = ""
    log: list[m.LogEntry] = field(default_factory=list)


Said = tuple[str, str, bytes]  # from, to, what


@dataclass(slots=True)
class Room:
    """One state."""

    now: int
    cells: dict[str, Cell]
    air: tuple[Said, ...]  # all that was ever said
    left: Budget
    keepers: int = 3


_pack = msgspec.msgpack.Encoder().encode
_read: msgspec.msgpack.Decoder[m.Message] = msgspec.msgpack.Decoder(m.Message)


# Parts of a lease manager that refer to what their replica or their manager has: it counts there, once.
SHARING = (LimitsAgreement, ProposedCommands, QuotaAllocator)
SHARED_FIELDS = frozenset({"_ledger", "_leases", "_outbox", "_proposals", "_raft", "_terms"})


def _own_state(part: Any) -> tuple[type, tuple[Any]]:
    return dict, ({name: value for name, value in vars(part).items() if name not in SHARED_FIELDS},)


def _key(room: Room) -> int:
    """The same for states that are the same, whichever of their parts are one object."""
    out = io.BytesIO()
    pickler = pickle.Pickler(out, 5)
    pickler.fast = True
    pickler.dispatch_table = {owner: _own_state for owner in SHARING}
    pickler.dump(room)
    return hash(out.getvalue())


def _charter() -> FleetTerms:
    return FleetTerms(FLEET, NAMES, LEASE_US, max_drift_ppm=0, max_gateways=3)


def _raft(name: str, now: int, keepers: int, term: int, vote: str, log: list[m.LogEntry]) -> RaftNode:
    seats = tuple(make_replica_id(name, "s") for name in NAMES[:keepers])
    kept = RaftLog(Snapshot(0, 0, seats), log)
    return RaftNode(make_replica_id(name, "s"), Still(), now, term, vote, kept, may_vote=True)


def _cell(
    name: str, now: int, process: int, keepers: int, term: int = 0, vote: str = "", log: Any = ()
) -> Cell:
    charter = _charter()
    keeper = Replica(charter, "d", FLEET, _raft(name, now, keepers, term, vote, list(log)), -10 * LEASE_US)
    holder = LeaseHolder(charter, "d", process, f"s-{name}", PersistedFloor(), now, Still())
    holder.set_limits({"p": WHOLE}, QUANTUM)
    return Cell(keeper, holder, process, term, vote, list(log))


class Search:
    """Steps between states."""

    def settle(self, room: Room, name: str) -> list[Said]:
        """The end of a head's step: carry out, keep, say.  Timers are set so that none counts as a state."""
        cell, now = room.cells[name], room.now
        keeper, raft = cell.keeper, cell.keeper.raft
        raft.replication._round_started_at = now - 1_000_000
        keeper.process(now)
        if (save := raft.pop_write()) is not None:
            cell.term, cell.vote = save.term, save.voted_for
            if save.first_index is not None:
                cell.log[save.first_index - 1 :] = save.entries
        said = [(name, to, _pack(what)) for to, what in keeper.drain_messages()]
        said += [(name, to, _pack(what)) for to, what in cell.holder.drain_messages()]
        keeper.notices.clear()
        cell.holder.notices.clear()
        cell.holder.pop_quota_update()
        cell.holder.floor_changed = False
        self._still(cell, now)
        return said

    def _still(self, cell: Cell, now: int) -> None:
        raft, office, holder = cell.keeper.raft, cell.keeper.lease_manager, cell.holder
        raft.replication._round_started_at = now - 1_000_000
        raft.replication.heartbeat_at = NEVER
        raft._election_at = NEVER
        raft._leader_contact_at = now - 10_000_000
        if not raft.replication.followers:
            raft.replication.round = 0
            for lease in office.leases.values() if office is not None else ():
                lease.confirmation_round = 0
        for follower in raft.replication.followers.values():
            follower.last_response_at = now
            follower.entries_sent_at = now
        if office is not None:
            office._allocator._resend_at = NEVER
            for lease in office.leases.values():
                lease.unconfirmed = dict.fromkeys(lease.unconfirmed, 0)
        schedule = holder._schedule
        schedule.next_at = NEVER
        schedule._waiting_since = None
        schedule._passed_over = set()
        schedule._preferred = ""
        holder._demands._recorded_at = now
        for estimate in holder._demands._estimates.values():
            estimate.requested_at = now

    def act(self, room: Room, name: str) -> Room:
        """Settle a head and put what it says into the air; what it says to itself it hears at once."""
        said, air = self.settle(room, name), set(room.air)
        while said:
            item = said.pop(0)
            if item[0] == item[1]:
                self.hear(room, name, item)
                said += self.settle(room, name)
            else:
                air.add(item)
        room.air = tuple(sorted(air))
        return room

    def hear(self, room: Room, name: str, item: Said) -> None:
        cell, sender, what = room.cells[name], item[0], _read.decode(item[2])
        match what:
            case m.LeaseResponse() | m.QuotaOrders():
                cell.holder.receive(room.now, sender, what)
            case m.LeaseRequest():
                room.air = tuple(other for other in room.air if other != item)
                leader = cell.keeper.raft.leader
                for to, said in cell.keeper.receive_lease_request(
                    room.now, sender, what, name_of(leader) if leader else ""
                ):
                    room.air = tuple(sorted({*room.air, (name, to, _pack(said))}))
            case _:
                cell.keeper.raft.receive(room.now, what)

    # ---- what may happen ----

    def next(self, room: Room, packed: bytes) -> Iterator[tuple[str, Room]]:
        """All states one step from here."""
        for item in room.air:
            fresh = pickle.loads(packed)
            self.hear(fresh, item[1], item)
            yield "hear", self.act(fresh, item[1])
        left = room.left
        if left.lease_requests:
            for name in NAMES:
                for whom in self._leaders(room):
                    fresh = pickle.loads(packed)
                    fresh.left = replace(left, lease_requests=left.lease_requests - 1)
                    yield "ask", self.ask(fresh, name, whom)
        if left.elections:
            for name in NAMES[: room.keepers]:
                if room.cells[name].keeper.raft.role is not Role.LEADER:
                    fresh = pickle.loads(packed)
                    fresh.left = replace(left, elections=left.elections - 1)
                    yield "stand", self.stand(fresh, name)
        if left.crashes:
            for name in NAMES:
                fresh = pickle.loads(packed)
                fresh.left = replace(left, crashes=left.crashes - 1)
                old = fresh.cells[name]
                fresh.cells[name] = _cell(
                    name, fresh.now, old.process + 10, fresh.keepers, old.term, old.vote, old.log
                )
                self._still(fresh.cells[name], fresh.now)
                yield "crash", fresh
        if left.steps:
            fresh = pickle.loads(packed)
            fresh.left = replace(left, steps=left.steps - 1)
            yield "time", self.pass_time(fresh)

    def _leaders(self, room: Room) -> list[str]:
        """Whom an ask may do anything with: all who believe that they lead."""
        return [name for name, cell in room.cells.items() if cell.keeper.raft.role is Role.LEADER]

    def ask(self, room: Room, name: str, whom: str) -> Room:
        holder = room.cells[name].holder
        holder._schedule.next_at = room.now
        holder.tick(room.now, [whom])
        return self.act(room, name)

    def stand(self, room: Room, name: str) -> Room:
        raft = room.cells[name].keeper.raft
        raft._start_election(
            room.now, pre_vote=False
        )  # as if its pre-vote had passed: what follows is more than may be
        return self.act(room, name)

    def pass_time(self, room: Room) -> Room:
        room.now += LEASE_US // 2 + 1
        for name, cell in room.cells.items():
            raft = cell.keeper.raft
            for follower in raft.replication.followers.values():
                follower.last_response_at = room.now
            cell.holder.tick(room.now, [])
            self.act(room, name)
        return room

    def quiet(self, room: Room) -> Room:
        """Deliver all that is in the air, each once, until nothing more is said."""
        heard: set[Said] = set()
        while waits := [item for item in room.air if item not in heard]:
            heard.add(waits[0])
            self.hear(room, waits[0][1], waits[0])
            self.act(room, waits[0][1])
        return room

    def first(self, budget: Budget, keepers: int = 3) -> Room:
        """h0 leads, h1 has all that may be given, and h2 begins to want as much."""
        cells = {name: _cell(name, 0, n + 1, keepers) for n, name in enumerate(NAMES)}
        room = Room(1_000_000, cells, (), budget, keepers)
        for name in NAMES:
            self._still(cells[name], room.now)
        self.quiet(self.stand(room, "h0"))
        for _ in range(3):
            for name in NAMES:
                self.quiet(self.ask(room, name, "h0"))
        room.now += 2 * LEASE_US  # the larger whole is settled
        for name in NAMES:
            self.act(room, name)
            self.quiet(self.ask(room, name, "h0"))
        self.want(room, "h1", 200_000)
        for _ in range(4):
            for name in NAMES:
                self.quiet(self.ask(room, name, "h0"))
        room.air = ()
        self.want(room, "h2", 200_000)
        for cell in room.cells.values():
            schedule = cell.holder._schedule
            schedule._sent_at = {n: at for n, at in schedule._sent_at.items() if n == schedule.number}
        return room

    def want(self, room: Room, name: str, rate: int) -> None:
        estimates = room.cells[name].holder._demands._estimates
        estimates[AMOUNT] = DemandEstimate(1000, room.now, float(rate), float(rate))

    # ---- what must hold ----

    def spendable(self, room: Room) -> RateBurst:
        """What all heads may spend now: parts whose lease runs by its holder's count, and all floors."""
        rate = burst = 0
        for cell in room.cells.values():
            holder = cell.holder
            if room.now < holder.lease_until and (held := holder.allocations.get(AMOUNT)) is not None:
                rate, burst = rate + held.rate, burst + held.burst
        floor = _charter().floor(*WHOLE)
        return rate + 3 * floor[0], burst + 3 * floor[1]

    def good(self, room: Room) -> bool:
        rate, burst = self.spendable(room)
        return rate <= WHOLE[0] and burst <= WHOLE[1]


@dataclass(slots=True)
class Found:
    """What a search came to."""

    states: int
    steps: Counter[str]
    complete: bool  # all states were seen
    counterexample: list[str]  # the way to a state in which more may be spent than there is
    two_leaders: int = 0  # states in which two believe that they lead
    moved: int = 0  # states in which h2 has a part


def search(budget: Budget, keepers: int = 3, most: int = 1_000_000) -> Found:
    """Every state, breadth first, until all are seen, one is broken, or there are too many."""
    way = Search()
    first = way.first(budget, keepers)
    packed = pickle.dumps(first, 5)
    seen = {_key(first)}
    back: dict[int, tuple[int, str]] = {}
    found = Found(1, Counter(), True, [])
    layer = [(_key(first), packed)]
    while layer:
        following: list[tuple[int, bytes]] = []
        for mine, packed in layer:
            room: Room = pickle.loads(packed)
            for step, fresh in way.next(room, packed):
                key = _key(fresh)
                found.steps[step] += 1
                if key in seen:
                    continue
                seen.add(key)
                back[key] = mine, step
                found.states += 1
                found.two_leaders += len(way._leaders(fresh)) > 1
                found.moved += AMOUNT in fresh.cells["h2"].holder.allocations
                if not way.good(fresh):
                    found.complete = False
                    while key in back:
                        key, step = back[key]
                        found.counterexample.insert(0, step)
                    return found
                if found.states >= most:
                    found.complete = False
                    return found
                following.append((key, pickle.dumps(fresh, 5)))
        layer = following
    return found


INSTANCES = {  # what may happen, and how many keepers there are
    "move": (Budget(lease_requests=3), 1),
    "expiry": (Budget(lease_requests=2, steps=2), 1),
    "crash": (Budget(lease_requests=2, crashes=1, steps=2), 1),
    "keepers": (Budget(lease_requests=1, crashes=1, steps=1), 3),
    "two_leaders": (Budget(lease_requests=0, elections=1, steps=2), 3),
}
