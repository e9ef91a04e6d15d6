"""One head among others: members, agreement, leases and what this head may spend, put together.

Whoever drives it hands in what has come and what time it is, and gets back an ``Output``.  Its save is
written first, whole; then its shares go to the gateway; then its messages go out.  Where the save can't be
written nothing of the rest is done, and ``store_failed`` says so.  So whatever this head says rests on what
it has kept, and it has given up whatever it says that it gave up.  Messages to this head itself come back to
it.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from gaugesail.policy.events import QuotaChanged

from . import messages as m
from .bootstrap import Bootstrap, BootstrapRecord, name_of, seat_of
from .consensus import LogBroken, RaftNode, Snapshot
from .demand_tracker import QuotaUsage
from .fleet_terms import FleetTerms
from .gateway_floor import HeadFloor
from .lease_holder import LeaseHolder
from .membership import Membership, MemberState
from .messages import LogEntry, Message
from .notices import Notice, NoticeField
from .quota_ledger import RateBurst
from .replica import Replica, elsewhere
from .spending_rights import QuotaUpdate
from .store_fencing import KnownStore, StoreFence


class PersistentState(msgspec.Struct):
    """All that a head keeps beside its log, written as one."""

    store: str  # drawn when the store was made
    life: int = 0  # starts
    saves: int = 0
    process: int = 0  # that wrote it
    generation: int = 0  # of the member
    fleet: str = ""
    seats: tuple[str, ...] = ()  # the founders'
    bound: str = ""
    term: int = 0
    vote: str = ""
    known: dict[str, tuple[int, int, int]] = {}  # other stores' marks
    slot: int = -1
    version: int = 0
    wholes: dict[str, RateBurst] = {}
    of_fleet: str = ""  # that gave the floor


@dataclass(slots=True)
class StoredState:
    """What a store held at the start."""

    kept: PersistentState
    snapshot: Snapshot = field(default_factory=Snapshot)
    log: list[LogEntry] = field(default_factory=list)


@dataclass(slots=True)
class StoreWrite:
    """One write: ``kept`` in place of the last; the log from ``first`` on in place of what stood there; and a
    snapshot in place of all entries up to its index."""

    kept: PersistentState
    first: int | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None
    anew: bool = False  # the store is another one: nothing of the old log stays


@dataclass(slots=True)
class StepOutput:
    """What a step comes to, to be done in this order."""

    save: StoreWrite | None = None
    shares: QuotaUpdate | None = None
    sends: list[tuple[str, Message]] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)


def amount_of(plan: str, volume: int) -> str:
    """The name under which the fleet divides the limit of one volume."""
    return f"{plan}/{volume:x}"


def shares_of(told: QuotaUpdate) -> QuotaChanged:
    """What the gateway is told: by plan and volume, in units."""
    parts = []
    for amount, rate, burst in told.allocations:
        plan, _, volume = amount.rpartition("/")
        parts.append((plan, int(volume, 16), rate / 1000, burst / 1000))
    floors = told.floors
    return QuotaChanged(
        told.lease_until, tuple(parts),
        None if floors is None else tuple((plan, rate / 1000, burst / 1000) for plan, rate, burst in floors),
        told.replaces_all,
    )  # fmt: skip


class FleetNode:
    """The fleet's decisions at one head; the same calls give the same outputs."""

    def __init__(
        self, charter: FleetTerms, digest: str, name: str, address: str, process: int, unix_ms: int,
        loaded: StoredState | None, seed: int, now: int,
    ) -> None:  # fmt: skip
        self.charter, self.digest, self.name = charter, digest, name
        self.process, self._rng, self._born = process, random.Random(seed), now
        self.keeper = name in charter.replicas and loaded is not None
        self.holds_store = loaded is not None
        kept = loaded.kept if loaded is not None else PersistentState("")
        self._loaded_saves = kept.saves
        kept.life, kept.process = kept.life + 1, process
        kept.generation = max(unix_ms, kept.generation + 1)
        self.kept = kept
        self.members = Membership(name, address, process, kept.generation, self._rng, now)
        self.founding = Bootstrap(
            name, kept.store, charter.replicas, digest, BootstrapRecord(kept.fleet, kept.seats, kept.bound)
        )
        self.witness = StoreFence({store: KnownStore(*item) for store, item in kept.known.items()}, now)
        self.seat: Replica | None = None
        floor = HeadFloor(kept.slot, kept.version, kept.wholes, kept.of_fleet)
        self.holder = LeaseHolder(charter, digest, process, kept.store, floor, now, self._rng)
        self._floor_kept = floor
        self._changed = self.holds_store  # the life counts before anything is said
        self._anew = False
        self._notices: list[Notice] = []
        self._out: list[tuple[str, Message]] = []
        self._answers: dict[int, tuple[bool, str]] = {}  # what became of ours
        self._petitions = 0
        self._said: set[str] = set()  # what is told once
        self._broken = False
        if self.keeper:
            assert loaded is not None
            self._sit(now, loaded.snapshot, loaded.log)
        self.members.join(list(charter.replicas))

    def _sit(self, now: int, snapshot: Snapshot, log: list[LogEntry]) -> None:
        """Take up a keeper's log as it was kept."""
        founded = self.founding.kept
        seat = seat_of(self.name, self.kept.store)
        if founded.fleet and not snapshot.index and seat in founded.seats:
            snapshot = Snapshot(0, 0, founded.seats, b"")
        if founded.fleet:
            raft = RaftNode(seat, self._rng, now, self.kept.term, self.kept.vote, snapshot, log)
            self.seat = Replica(self.charter, self.digest, founded.fleet, raft, self._born)

    # ---- what is told from outside ----

    @property
    def next_at(self) -> int:
        """When ``tick`` has something to do."""
        times = [self.members.next_at, self.holder.next_at]
        if self.keeper:
            times.append(self.witness.next_at)
            if not self.seated:
                times.append(self.founding.next_at)
        if self.seat is not None:
            times.append(self.seat.next_at)
        return min(times)

    @property
    def seated(self) -> bool:
        return self.seat is not None and self.seat.seated

    @property
    def leads(self) -> bool:
        return self.seat is not None and self.seat.office is not None

    @property
    def leader(self) -> str:
        """The head that leads, as far as known."""
        if self.seat is not None and self.seat.raft.leader:
            return name_of(self.seat.raft.leader)
        return self.holder.leader

    def state(self, wholes: Mapping[str, RateBurst], quantum: int) -> None:
        """What this head's own file says of limits: rate and burst by plan, and its largest request."""
        self.holder.set_limits(wholes, quantum)

    def want(self, now: int, asked: Mapping[str, QuotaUsage]) -> StepOutput:
        """Units asked for, sent and saved up, and what one is worth, by amount, since the last call."""
        self.holder.record_demand(now, asked)
        return self.tick(now)

    def leave(self, now: int) -> StepOutput:
        """This head ends in order: its parts go back, and the others hear of it."""
        self.holder.leave(now)
        self.members.leave(now)
        if self.seat is not None:
            self.seat.hand_on()
        return self.tick(now)

    def petition(self, now: int, command: m.ForgetHead) -> tuple[int, StepOutput]:
        """What operators ask for: its number, by which ``answer`` tells what became of it."""
        self._petitions += 1
        number = self._petitions
        if self.seat is not None and self.leads:
            self.seat.petition(self.name, m.OperatorCommand(number, command), self.leader)
            return number, self._finish(now)
        if not self.leader:
            self._answers[number] = False, "no leader is known"
            return number, StepOutput()
        out = self._finish(now)
        out.sends.append((self.leader, m.OperatorCommand(number, command)))
        return number, out

    def answer(self, number: int) -> tuple[bool, str] | None:
        """What became of a petition; None while nothing is known."""
        return self._answers.pop(number, None)

    def trust_store(self, now: int) -> StepOutput:
        """Operators say that this head's store is its latest: it need not wait for others to vouch."""
        self.witness.trusted = True
        return self.tick(now)

    # ---- steps ----

    def tick(self, now: int) -> StepOutput:
        """Take up what is due."""
        self.members.tick(now)
        if self.keeper:
            self._keep(now)
        if self.seat is not None:
            self._guarded(now, lambda raft: raft.tick(now))
        self.holder.tick(now, self._likely())
        return self._finish(now)

    def receive(self, now: int, sender: str, process: int, message: Message) -> StepOutput:
        """Take in one message; whose it is was proven by its tag."""
        match message:
            case m.Ping() | m.Ack() | m.PingRequest() | m.Nack() | m.DigestOffer() | m.StateSync():
                self.members.receive(now, sender, message)
            case m.LeaseResponse() | m.QuotaOrders():
                self.holder.receive(now, sender, message)
            case m.LeaseRequest():
                self._ask(now, sender, message)
            case m.StoreMark() if self.keeper:
                self._say(sender, self.witness.marked(message))
            case m.StoreMarkVerdict() if self.keeper:
                if message.store == self.kept.store and message.process == self.process:
                    self.witness.told(sender, message)
                    self._keep(now)
            case m.BootstrapStatus() | m.BootstrapBind() if self.keeper:
                for to, said in self.founding.receive(sender, message):
                    self._say(to, said)
                self._keep(now)
            case m.OperatorCommand():
                if self.seat is not None:
                    self.seat.petition(sender, message, self.leader)
                else:
                    self._say(
                        sender, m.OperatorCommandResult(message.number, False, "this head is no keeper")
                    )
            case m.OperatorCommandResult():
                self._answers[message.number] = message.done, message.why
            case (
                m.VoteRequest()
                | m.VoteResponse()
                | m.AppendEntries()
                | m.AppendResponse()
                | m.InstallSnapshot()
                | m.TimeoutNow()
            ) if name_of(message.seat) == sender:
                if self.seat is not None:
                    self._guarded(now, lambda raft: raft.receive(now, message))
        return self._finish(now)

    def _guarded(self, now: int, step: Any) -> None:
        assert self.seat is not None
        try:
            step(self.seat.raft)
        except LogBroken as broken:
            self._note("log_broken", why=str(broken))
            self._fall(now)

    def _ask(self, now: int, sender: str, ask: m.LeaseRequest) -> None:
        if self.seat is not None:
            self._out += self.seat.ask(now, sender, ask, self.leader)
        else:
            self._say(sender, elsewhere(ask, self.leader if self.leader != self.name else ""))

    # ---- a keeper's duties ----

    def _keep(self, now: int) -> None:
        """Vouched for or not, seated or not: what follows from that."""
        founded, kept = self.founding.kept, self.kept
        if self.witness.stale:
            self._renew(now)
        if founded.fleet and self.seat is None and not self._broken:
            self._sit(now, Snapshot(), [])
            self._note("founded", fleet=founded.fleet, seats=",".join(map(name_of, founded.seats)))
        others = [name_of(seat) for seat in self._seats() if name_of(seat) != self.name]
        good = self.witness.good(len(others))
        if self.seat is not None:
            if good and not self.seat.raft.may_vote:
                self._note("keeper", seat=self.seat.raft.seat)
            self.seat.raft.may_vote = good
            self.seat.apply_for(self.founding.applicants())
        if self.witness.due(now, good):
            mark = m.StoreMark(kept.store, kept.life, kept.saves, self._loaded_saves, self.process)
            for name in others:
                self._say(name, mark)
        for to, said in self.founding.tick(now, self.seated):
            self._say(to, said)
        for who, why in self.founding.strange.items():
            if f"{who} {why}" not in self._said:
                self._said.add(f"{who} {why}")
                self._note("strange_keeper", head=who, why=why)

    def _seats(self) -> tuple[str, ...]:
        seat = self.seat
        return seat.raft.seats if seat is not None and seat.raft.seats else self.founding.kept.seats

    def _renew(self, now: int) -> None:
        """This store is an old copy: it is put aside, and a fresh one asks for a seat."""
        self._note("store_is_old", store=self.kept.store)
        kept = self.kept
        fresh = f"{self._rng.getrandbits(48):012x}"
        self.kept = PersistentState(
            fresh, kept.life, kept.saves, kept.process, kept.generation, self.founding.kept.fleet,
            self.founding.kept.seats,
        )  # fmt: skip
        self.founding.renew(fresh)
        self.witness.restart(now)
        self.seat = None
        self.holder.replace_store(now, fresh)
        self._floor_kept = self.holder.floor
        self._changed = self._anew = True

    def _fall(self, now: int) -> None:
        """A keeper no longer: its store takes no more, or its log is broken."""
        self.seat, self.keeper = None, False
        self._broken = True

    def store_failed(self, now: int, why: str) -> None:
        """The last save could not be written: nothing that it was for is done."""
        self._note("store_failed", why=why)
        self._fall(now)
        self.holds_store = False
        self.holder.floor_not_persisted(self._floor_kept)

    # ---- the end of a step ----

    def _finish(self, now: int) -> StepOutput:
        out = StepOutput()
        seat = self.seat
        if seat is not None:
            seat.work(now)
        for change in self.members.changes():
            self._note(f"member_{change.how}", head=change.name, address=change.address)
        if self.members.usurped and "usurped" not in self._said:
            self._said.add("usurped")
            self._note("name_taken", head=self.name)
        out.save = self._save()
        out.shares = self.holder.take_quota_update()
        if seat is not None:
            for to, said in seat.take_out():
                if isinstance(said, m.OperatorCommandResult) and to == self.name:
                    self._answers[said.number] = said.done, said.why
                else:
                    out.sends.append((to, said))
            self._notices += seat.notices
            seat.notices.clear()
        out.sends += self.holder.take_messages() + self.members.out() + self._out
        self._out = []
        self._notices += self.holder.notices
        self.holder.notices.clear()
        out.notices, self._notices = self._notices, []
        return out

    def _save(self) -> StoreWrite | None:
        """All that is to be kept before anything of this step is done."""
        if not self.holds_store:
            return None
        kept, raft = self.kept, self.seat.raft if self.seat is not None else None
        log = raft.take_save() if raft is not None else None
        changed = self._changed or self.witness.dirty or self.founding.dirty or self.holder.floor_changed
        if log is None and not changed:
            return None
        self._changed = self.witness.dirty = self.founding.dirty = self.holder.floor_changed = False
        founded, floor = self.founding.kept, self.holder.floor
        kept.saves += 1
        kept.fleet, kept.seats, kept.bound = founded.fleet, founded.seats, founded.bound
        kept.known = {
            store: (known.life, known.saves, known.process) for store, known in self.witness.known.items()
        }
        kept.slot, kept.version, kept.wholes = floor.slot, floor.limits_version, floor.limits
        kept.of_fleet = floor.fleet
        self._floor_kept = floor
        if raft is not None:
            kept.term, kept.vote = raft.term, raft.vote
        save = StoreWrite(kept, anew=self._anew)
        self._anew = False
        if log is not None:
            save.first, save.entries, save.snapshot = log.first, log.entries, log.snapshot
        return save

    def _likely(self) -> list[str]:
        """Keepers to ask, the likeliest to lead first; who is thought to be gone comes last."""
        names = sorted({name_of(seat) for seat in self._seats()} or self.charter.replicas)
        gone = {name for name in names if (self.members.state(name) or MemberState.ALIVE) >= MemberState.GONE}
        return sorted(names, key=lambda name: (name != self.leader, name in gone, name))

    def _say(self, to: str, message: Message) -> None:
        self._out.append((to, message))

    def _note(self, event: str, **fields: NoticeField) -> None:
        self._notices.append(Notice(event, fields))

    # ---- what staff see ----

    def view_members(self, now: int) -> dict[str, Any]:
        """All members as this head sees them; times in seconds."""
        return {
            "head": self.name, "fleet": self.founding.kept.fleet, "leader": self.leader,
            "keepers": [name_of(seat) for seat in self._seats()], "health": self.members.health,
            "members": [
                {
                    "name": name, "state": member.state.name.lower(), "address": member.rumour.address,
                    "generation": member.rumour.generation, "incarnation": member.rumour.incarnation,
                    "for_s": round((now - member.since) / 1e6, 1),
                }
                for name, member in sorted(self.members)
            ],
        }  # fmt: skip

    def view_budgets(self, now: int) -> dict[str, Any]:
        """What is shared, as this head knows it: rates in units a second, bursts in units, times in seconds.

        A keeper tells the whole ledger, the leader also until when each lease is counted and what is used;
        any other tells its own part.
        """
        holder = self.holder
        told: dict[str, Any] = {
            "head": self.name, "leader": self.leader, "leads": self.leads, "keeper": self.seat is not None,
            "own": {
                "session": holder.session, "lease_s": round(max(0, holder.lease_until - now) / 1e6, 2),
                "slot": holder.floor.slot, "refused": holder.refusal_reason,
                "floors": {plan: {"rate": rate / 1000, "burst": burst / 1000}
                           for plan, rate, burst in holder.floors()},
                "parts": {held.quota_name: {"rate": held.rate / 1000, "burst": held.burst / 1000}
                          for held in holder.allocations.values()},
            },
        }  # fmt: skip
        return told | (self.seat.view(now) if self.seat is not None else {})
