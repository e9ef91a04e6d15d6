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
from .bootstrap import Bootstrap, BootstrapRecord
from .consensus import RaftNode
from .demand_tracker import QuotaUsage
from .fleet_terms import FleetTerms
from .gateway_floor import HeadFloor
from .lease_holder import LeaseHolder
from .member import MemberState
from .membership import Membership
from .messages import LogEntry, Message
from .notices import Notice, NoticeField
from .quota_ledger import RateBurst
from .raft_log import LogBroken, RaftLog, Snapshot
from .replica import Replica, redirect
from .replica_id import make_replica_id, name_of
from .spending_rights import QuotaUpdate
from .store_fencing import KnownStore, StoreFence


class PersistentState(msgspec.Struct):
    """All that a head keeps beside its log, written as one."""

    store_id: str = msgspec.field(name="store")  # drawn when the store was made
    starts: int = msgspec.field(default=0, name="life")  # starts
    writes: int = msgspec.field(default=0, name="saves")
    process: int = 0  # that wrote it
    generation: int = 0  # of the member
    fleet_id: str = msgspec.field(default="", name="fleet")
    voters: tuple[str, ...] = msgspec.field(default=(), name="seats")  # the founders'
    bound_to: str = msgspec.field(default="", name="bound")
    term: int = 0
    voted_for: str = msgspec.field(default="", name="vote")
    known_stores: dict[str, tuple[int, int, int]] = msgspec.field(
        default_factory=dict, name="known"
    )  # other stores' marks
    floor_slot: int = msgspec.field(default=-1, name="slot")
    floor_version: int = msgspec.field(default=0, name="version")
    floor_limits: dict[str, RateBurst] = msgspec.field(default_factory=dict, name="wholes")
    floor_fleet: str = msgspec.field(default="", name="of_fleet")  # that gave the floor


@dataclass(slots=True)
class StoredState:
    """What a store held at the start."""

    state: PersistentState
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[LogEntry] = field(default_factory=list)


@dataclass(slots=True)
class StoreWrite:
    """One write: ``kept`` in place of the last; the log from ``first`` on in place of what stood there; and a
    snapshot in place of all entries up to its index."""

    state: PersistentState
    first_index: int | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None
    replaces_store: bool = False  # the store is another one: nothing of the old log stays


@dataclass(slots=True)
class StepOutput:
    """What a step comes to, to be done in this order."""

    write: StoreWrite | None = None
    quota: QuotaUpdate | None = None
    messages: list[tuple[str, Message]] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)


def quota_name_of(plan: str, volume: int) -> str:
    """The name under which the fleet divides the limit of one volume."""
    return f"{plan}/{volume:x}"


def quota_changed_event(told: QuotaUpdate) -> QuotaChanged:
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
        self.terms, self.terms_digest, self.name = charter, digest, name
        self.process, self._rng, self._born = process, random.Random(seed), now
        self.is_replica = name in charter.replicas and loaded is not None
        self.has_store = loaded is not None
        kept = loaded.state if loaded is not None else PersistentState("")
        self._loaded_saves = kept.writes
        kept.starts, kept.process = kept.starts + 1, process
        kept.generation = max(unix_ms, kept.generation + 1)
        self.persisted = kept
        self.membership = Membership(name, address, process, kept.generation, self._rng, now)
        self.bootstrap = Bootstrap(
            name,
            kept.store_id,
            charter.replicas,
            digest,
            BootstrapRecord(kept.fleet_id, kept.voters, kept.bound_to),
        )
        self.store_fence = StoreFence(
            {store: KnownStore(*item) for store, item in kept.known_stores.items()}, now
        )
        self.replica: Replica | None = None
        floor = HeadFloor(kept.floor_slot, kept.floor_version, kept.floor_limits, kept.floor_fleet)
        self.lease_holder = LeaseHolder(charter, digest, process, kept.store_id, floor, now, self._rng)
        self._floor_kept = floor
        self._changed = self.has_store  # the life counts before anything is said
        self._anew = False
        self._notices: list[Notice] = []
        self._out: list[tuple[str, Message]] = []
        self._answers: dict[int, tuple[bool, str]] = {}  # what became of ours
        self._petitions = 0
        self._said: set[str] = set()  # what is told once
        self._broken = False
        if self.is_replica:
            assert loaded is not None
            self._sit(now, loaded.snapshot, loaded.entries)
        self.membership.join(list(charter.replicas))

    def _sit(self, now: int, snapshot: Snapshot, log: list[LogEntry]) -> None:
        """Take up a keeper's log as it was kept."""
        founded = self.bootstrap.record
        seat = make_replica_id(self.name, self.persisted.store_id)
        if founded.fleet_id and not snapshot.index and seat in founded.voters:
            snapshot = Snapshot(0, 0, founded.voters, b"")
        if founded.fleet_id:
            raft = RaftNode(
                seat, self._rng, now, self.persisted.term, self.persisted.voted_for, RaftLog(snapshot, log)
            )
            self.replica = Replica(self.terms, self.terms_digest, founded.fleet_id, raft, self._born)

    # ---- what is told from outside ----

    @property
    def next_at(self) -> int:
        """When ``tick`` has something to do."""
        times = [self.membership.next_at, self.lease_holder.next_at]
        if self.is_replica:
            times.append(self.store_fence.next_at)
            if not self.is_voter:
                times.append(self.bootstrap.next_at)
        if self.replica is not None:
            times.append(self.replica.next_at)
        return min(times)

    @property
    def is_voter(self) -> bool:
        return self.replica is not None and self.replica.is_voter

    @property
    def is_leader(self) -> bool:
        return self.replica is not None and self.replica.lease_manager is not None

    @property
    def leader(self) -> str:
        """The head that leads, as far as known."""
        if self.replica is not None and self.replica.raft.leader:
            return name_of(self.replica.raft.leader)
        return self.lease_holder.leader

    def set_limits(self, wholes: Mapping[str, RateBurst], quantum: int) -> None:
        """What this head's own file says of limits: rate and burst by plan, and its largest request."""
        self.lease_holder.set_limits(wholes, quantum)

    def report_demand(self, now: int, asked: Mapping[str, QuotaUsage]) -> StepOutput:
        """Units asked for, sent and saved up, and what one is worth, by amount, since the last call."""
        self.lease_holder.record_demand(now, asked)
        return self.tick(now)

    def leave(self, now: int) -> StepOutput:
        """This head ends in order: its parts go back, and the others hear of it."""
        self.lease_holder.leave(now)
        self.membership.leave(now)
        if self.replica is not None:
            self.replica.transfer_leadership()
        return self.tick(now)

    def submit_command(self, now: int, command: m.ForgetHead) -> tuple[int, StepOutput]:
        """What operators ask for: its number, by which ``answer`` tells what became of it."""
        self._petitions += 1
        number = self._petitions
        if self.replica is not None and self.is_leader:
            self.replica.receive_command(self.name, m.OperatorCommand(number, command), self.leader)
            return number, self._finish(now)
        if not self.leader:
            self._answers[number] = False, "no leader is known"
            return number, StepOutput()
        out = self._finish(now)
        out.messages.append((self.leader, m.OperatorCommand(number, command)))
        return number, out

    def take_command_result(self, number: int) -> tuple[bool, str] | None:
        """What became of a petition; None while nothing is known."""
        return self._answers.pop(number, None)

    def trust_store(self, now: int) -> StepOutput:
        """Operators say that this head's store is its latest: it need not wait for others to vouch."""
        self.store_fence.trusted_by_operator = True
        return self.tick(now)

    # ---- steps ----

    def tick(self, now: int) -> StepOutput:
        """Take up what is due."""
        self.membership.tick(now)
        if self.is_replica:
            self._keep(now)
        if self.replica is not None:
            self._guarded(now, lambda raft: raft.tick(now))
        self.lease_holder.tick(now, self._likely())
        return self._finish(now)

    def receive(self, now: int, sender: str, process: int, message: Message) -> StepOutput:
        """Take in one message; whose it is was proven by its tag."""
        match message:
            case m.Ping() | m.Ack() | m.PingRequest() | m.Nack() | m.DigestOffer() | m.StateSync():
                self.membership.receive(now, sender, message)
            case m.LeaseResponse() | m.QuotaOrders():
                self.lease_holder.receive(now, sender, message)
            case m.LeaseRequest():
                self._ask(now, sender, message)
            case m.StoreMark() if self.is_replica:
                self._say(sender, self.store_fence.receive_mark(message))
            case m.StoreMarkVerdict() if self.is_replica:
                if message.store_id == self.persisted.store_id and message.process == self.process:
                    self.store_fence.receive_verdict(sender, message)
                    self._keep(now)
            case m.BootstrapStatus() | m.BootstrapBind() if self.is_replica:
                for to, said in self.bootstrap.receive(sender, message):
                    self._say(to, said)
                self._keep(now)
            case m.OperatorCommand():
                if self.replica is not None:
                    self.replica.receive_command(sender, message, self.leader)
                else:
                    self._say(
                        sender, m.OperatorCommandResult(message.number, False, "this head is no keeper")
                    )
            case m.OperatorCommandResult():
                self._answers[message.number] = message.done, message.reason
            case (
                m.VoteRequest()
                | m.VoteResponse()
                | m.AppendEntries()
                | m.AppendResponse()
                | m.InstallSnapshot()
                | m.TimeoutNow()
            ) if name_of(message.sender) == sender:
                if self.replica is not None:
                    self._guarded(now, lambda raft: raft.receive(now, message))
        return self._finish(now)

    def _guarded(self, now: int, step: Any) -> None:
        assert self.replica is not None
        try:
            step(self.replica.raft)
        except LogBroken as broken:
            self._note("log_broken", why=str(broken))
            self._fall(now)

    def _ask(self, now: int, sender: str, ask: m.LeaseRequest) -> None:
        if self.replica is not None:
            self._out += self.replica.receive_lease_request(now, sender, ask, self.leader)
        else:
            self._say(sender, redirect(ask, self.leader if self.leader != self.name else ""))

    # ---- a keeper's duties ----

    def _keep(self, now: int) -> None:
        """Vouched for or not, seated or not: what follows from that."""
        founded, kept = self.bootstrap.record, self.persisted
        if self.store_fence.stale:
            self._renew(now)
        if founded.fleet_id and self.replica is None and not self._broken:
            self._sit(now, Snapshot(), [])
            self._note("founded", fleet=founded.fleet_id, seats=",".join(map(name_of, founded.voters)))
        others = [name_of(seat) for seat in self._seats() if name_of(seat) != self.name]
        good = self.store_fence.may_vote(len(others))
        if self.replica is not None:
            if good and not self.replica.raft.may_vote:
                self._note("keeper", seat=self.replica.raft.replica_id)
            self.replica.raft.may_vote = good
            self.replica.add_applicants(self.bootstrap.take_applicants())
        if self.store_fence.mark_is_due(now, good):
            mark = m.StoreMark(kept.store_id, kept.starts, kept.writes, self._loaded_saves, self.process)
            for name in others:
                self._say(name, mark)
        for to, said in self.bootstrap.tick(now, self.is_voter):
            self._say(to, said)
        for who, why in self.bootstrap.conflicts.items():
            if f"{who} {why}" not in self._said:
                self._said.add(f"{who} {why}")
                self._note("strange_keeper", head=who, why=why)

    def _seats(self) -> tuple[str, ...]:
        seat = self.replica
        return seat.raft.voters if seat is not None and seat.raft.voters else self.bootstrap.record.voters

    def _renew(self, now: int) -> None:
        """This store is an old copy: it is put aside, and a fresh one asks for a seat."""
        self._note("store_is_old", store=self.persisted.store_id)
        kept = self.persisted
        fresh = f"{self._rng.getrandbits(48):012x}"
        self.persisted = PersistentState(
            fresh, kept.starts, kept.writes, kept.process, kept.generation, self.bootstrap.record.fleet_id,
            self.bootstrap.record.voters,
        )  # fmt: skip
        self.bootstrap.replace_store(fresh)
        self.store_fence.reset(now)
        self.replica = None
        self.lease_holder.replace_store(now, fresh)
        self._floor_kept = self.lease_holder.floor
        self._changed = self._anew = True

    def _fall(self, now: int) -> None:
        """A keeper no longer: its store takes no more, or its log is broken."""
        self.replica, self.is_replica = None, False
        self._broken = True

    def store_failed(self, now: int, why: str) -> None:
        """The last save could not be written: nothing that it was for is done."""
        self._note("store_failed", why=why)
        self._fall(now)
        self.has_store = False
        self.lease_holder.floor_not_persisted(self._floor_kept)

    # ---- the end of a step ----

    def _finish(self, now: int) -> StepOutput:
        out = StepOutput()
        seat = self.replica
        if seat is not None:
            seat.process(now)
        for change in self.membership.take_changes():
            self._note(f"member_{change.kind}", head=change.name, address=change.address)
        if self.membership.name_taken and "name_taken" not in self._said:
            self._said.add("name_taken")
            self._note("name_taken", head=self.name)
        out.write = self._save()
        out.quota = self.lease_holder.take_quota_update()
        if seat is not None:
            for to, said in seat.take_messages():
                if isinstance(said, m.OperatorCommandResult) and to == self.name:
                    self._answers[said.number] = said.done, said.reason
                else:
                    out.messages.append((to, said))
            self._notices += seat.notices
            seat.notices.clear()
        out.messages += self.lease_holder.take_messages() + self.membership.take_messages() + self._out
        self._out = []
        self._notices += self.lease_holder.notices
        self.lease_holder.notices.clear()
        out.notices, self._notices = self._notices, []
        return out

    def _save(self) -> StoreWrite | None:
        """All that is to be kept before anything of this step is done."""
        if not self.has_store:
            return None
        kept, raft = self.persisted, self.replica.raft if self.replica is not None else None
        log = raft.take_write() if raft is not None else None
        changed = (
            self._changed
            or self.store_fence.unsaved
            or self.bootstrap.unsaved
            or self.lease_holder.floor_changed
        )
        if log is None and not changed:
            return None
        self._changed = self.store_fence.unsaved = self.bootstrap.unsaved = (
            self.lease_holder.floor_changed
        ) = False
        founded, floor = self.bootstrap.record, self.lease_holder.floor
        kept.writes += 1
        kept.fleet_id, kept.voters, kept.bound_to = founded.fleet_id, founded.voters, founded.bound_to
        kept.known_stores = {
            store: (known.starts, known.writes, known.process)
            for store, known in self.store_fence.known_stores.items()
        }
        kept.floor_slot, kept.floor_version, kept.floor_limits = (
            floor.slot,
            floor.limits_version,
            floor.limits,
        )
        kept.floor_fleet = floor.fleet
        self._floor_kept = floor
        if raft is not None:
            kept.term, kept.voted_for = raft.term, raft.voted_for
        save = StoreWrite(kept, replaces_store=self._anew)
        self._anew = False
        if log is not None:
            save.first_index, save.entries, save.snapshot = log.first_index, log.entries, log.snapshot
        return save

    def _likely(self) -> list[str]:
        """Keepers to ask, the likeliest to lead first; who is thought to be gone comes last."""
        names = sorted({name_of(seat) for seat in self._seats()} or self.terms.replicas)
        gone = {
            name
            for name in names
            if (self.membership.state_of(name) or MemberState.ALIVE) >= MemberState.GONE
        }
        return sorted(names, key=lambda name: (name != self.leader, name in gone, name))

    def _say(self, to: str, message: Message) -> None:
        self._out.append((to, message))

    def _note(self, event: str, **fields: NoticeField) -> None:
        self._notices.append(Notice(event, fields))

    # ---- what staff see ----

    def view_members(self, now: int) -> dict[str, Any]:
        """All members as this head sees them; times in seconds."""
        return {
            "head": self.name, "fleet": self.bootstrap.record.fleet_id, "leader": self.leader,
            "keepers": [name_of(seat) for seat in self._seats()], "health": self.membership.local_health,
            "members": [
                {
                    "name": name, "state": member.state.name.lower(), "address": member.update.address,
                    "generation": member.update.generation, "incarnation": member.update.incarnation,
                    "for_s": round((now - member.state_since) / 1e6, 1),
                }
                for name, member in sorted(self.membership)
            ],
        }  # fmt: skip

    def view_budgets(self, now: int) -> dict[str, Any]:
        """What is shared, as this head knows it: rates in units a second, bursts in units, times in seconds.

        A keeper tells the whole ledger, the leader also until when each lease is counted and what is used;
        any other tells its own part.
        """
        holder = self.lease_holder
        told: dict[str, Any] = {
            "head": self.name, "leader": self.leader, "leads": self.is_leader,
            "keeper": self.replica is not None,
            "own": {
                "session": holder.session, "lease_s": round(max(0, holder.lease_until - now) / 1e6, 2),
                "slot": holder.floor.slot, "refused": holder.refusal_reason,
                "floors": {plan: {"rate": rate / 1000, "burst": burst / 1000}
                           for plan, rate, burst in holder.floors()},
                "parts": {held.quota_name: {"rate": held.rate / 1000, "burst": held.burst / 1000}
                          for held in holder.allocations.values()},
            },
        }  # fmt: skip
        return told | (self.replica.view(now) if self.replica is not None else {})
