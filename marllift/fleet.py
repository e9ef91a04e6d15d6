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

from . import messages as m
from .charter import Charter
from .founding import Founded, Founding, name_of, seat_of, store_of
from .granting import Office
from .holder import Floor, Holder, Spendable
from .ledger import Ledger, Pair, plan_of
from .members import Members, State
from .messages import Entry, Message
from .raft import KEEP, Broken, Raft, Role, Snapshot
from .witness import Known, Witness

RESEAT_US = 5_000_000  # without a word from a seat whose keeper has come back with another store
STEPS = 8  # of applying what one step commits
Notices = tuple[tuple[str, dict[str, Any]], ...]


class Kept(msgspec.Struct):
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
    wholes: dict[str, Pair] = {}
    of_fleet: str = ""  # that gave the floor


@dataclass(slots=True)
class Loaded:
    """What a store held at the start."""

    kept: Kept
    snapshot: Snapshot = field(default_factory=Snapshot)
    log: list[Entry] = field(default_factory=list)


@dataclass(slots=True)
class Save:
    """One write: ``kept`` in place of the last; the log from ``first`` on in place of what stood there; and a
    snapshot in place of all entries up to its index."""

    kept: Kept
    first: int | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    anew: bool = False  # the store is another one: nothing of the old log stays


@dataclass(slots=True)
class Output:
    """What a step comes to, to be done in this order."""

    save: Save | None = None
    shares: Spendable | None = None
    sends: list[tuple[str, Message]] = field(default_factory=list)
    notices: list[tuple[str, dict[str, Any]]] = field(default_factory=list)


class FleetNode:
    """The fleet's decisions at one head; the same calls give the same outputs."""

    def __init__(
        self, charter: Charter, digest: str, name: str, address: str, process: int, unix_ms: int,
        loaded: Loaded | None, seed: int, now: int,
    ) -> None:  # fmt: skip
        self.charter, self.digest, self.name = charter, digest, name
        self.process, self._rng, self._born = process, random.Random(seed), now
        self.keeper = name in charter.keepers and loaded is not None
        self.holds_store = loaded is not None
        kept = loaded.kept if loaded is not None else Kept("")
        self._loaded_saves = kept.saves
        kept.life, kept.process = kept.life + 1, process
        kept.generation = max(unix_ms, kept.generation + 1)
        self.kept = kept
        self.members = Members(name, address, process, kept.generation, self._rng, now)
        self.founding = Founding(
            name, kept.store, charter.keepers, digest, Founded(kept.fleet, kept.seats, kept.bound)
        )
        self.witness = Witness({store: Known(*item) for store, item in kept.known.items()}, now)
        self.ledger = Ledger(charter)
        self.raft: Raft | None = None
        self.office: Office | None = None
        floor = Floor(kept.slot, kept.version, kept.wholes, kept.of_fleet)
        self.holder = Holder(charter, digest, name, process, kept.store, floor, now, self._rng)
        self._floor_kept = floor
        self._changed = self.holds_store  # the life counts before anything is said
        self._anew = False
        self._notices: list[tuple[str, dict[str, Any]]] = []
        self._out: list[tuple[str, Message]] = []
        self._later: dict[int, tuple[str, int]] = {}  # whose petition waits for which entry
        self._answers: dict[int, tuple[bool, str]] = {}  # what became of ours
        self._petitions = 0
        self._said: set[str] = set()  # what is told once
        self._applicants: dict[str, str] = {}  # keepers with a store that has no seat
        self._broken = False
        if self.keeper:
            assert loaded is not None
            self._sit(now, loaded.snapshot, loaded.log)
        self.members.join(list(charter.keepers))

    def _sit(self, now: int, snapshot: Snapshot, log: list[Entry]) -> None:
        """Take up a keeper's log as it was kept."""
        founded = self.founding.kept
        seat = seat_of(self.name, self.kept.store)
        if founded.fleet and not snapshot.index and seat in founded.seats:
            snapshot = Snapshot(0, 0, founded.seats, b"")
        if founded.fleet:
            self.raft = Raft(seat, self._rng, now, self.kept.term, self.kept.vote, snapshot, log)
            self.ledger.load(snapshot.state)

    # ---- what is told from outside ----

    @property
    def next_at(self) -> int:
        """When ``tick`` has something to do."""
        times = [self.members.next_at, self.holder.next_at]
        if self.keeper:
            times.append(self.witness.next_at)
            if not self.seated:
                times.append(self.founding.next_at)
        if self.raft is not None:
            times.append(self.raft.next_at)
        if self.office is not None:
            times.append(self.office.next_at)
        return min(times)

    @property
    def seated(self) -> bool:
        return self.raft is not None and self.raft.seat in self.raft.seats

    @property
    def leads(self) -> bool:
        return self.office is not None

    @property
    def leader(self) -> str:
        """The head that leads, as far as known."""
        if self.raft is not None and self.raft.leader:
            return name_of(self.raft.leader)
        return self.holder.leader

    def state(self, wholes: Mapping[str, Pair], quantum: int) -> None:
        """What this head's own file says of limits: rate and burst by plan, and its largest request."""
        self.holder.state(wholes, quantum)

    def want(self, now: int, asked: Mapping[str, tuple[float, float, float, int]]) -> Output:
        """Units asked for, sent and saved up, and what one is worth, by amount, since the last call."""
        self.holder.want(now, asked)
        return self.tick(now)

    def leave(self, now: int) -> Output:
        """This head ends in order: its parts go back, and the others hear of it."""
        self.holder.leave(now)
        self.members.leave(now)
        raft = self.raft
        if raft is not None and raft.role is Role.LEADER:
            others = [seat for seat in raft.seats if seat != raft.seat]
            if others:
                raft.hand_on(max(others, key=raft.match))
        return self.tick(now)

    def petition(self, now: int, command: m.Forget) -> tuple[int, Output]:
        """What operators ask for: its number, by which ``answer`` tells what became of it."""
        self._petitions += 1
        number = self._petitions
        if self.office is not None:
            self._petitioned(self.name, m.Petition(number, command))
            return number, self._finish(now)
        if not self.leader:
            self._answers[number] = False, "no leader is known"
            return number, Output()
        out = self._finish(now)
        out.sends.append((self.leader, m.Petition(number, command)))
        return number, out

    def answer(self, number: int) -> tuple[bool, str] | None:
        """What became of a petition; None while nothing is known."""
        return self._answers.pop(number, None)

    def trust_store(self, now: int) -> Output:
        """Operators say that this head's store is its latest: it need not wait for others to vouch."""
        self.witness.trusted = True
        return self.tick(now)

    # ---- steps ----

    def tick(self, now: int) -> Output:
        """Take up what is due."""
        self.members.tick(now)
        if self.keeper:
            self._keep(now)
        if self.raft is not None:
            self._guarded(now, lambda raft: raft.tick(now))
        self.holder.tick(now, self._likely())
        return self._finish(now)

    def receive(self, now: int, sender: str, process: int, message: Message) -> Output:
        """Take in one message; whose it is was proven by its tag."""
        match message:
            case m.Ping() | m.Ack() | m.PingFor() | m.Nack() | m.Compare() | m.Sync():
                self.members.receive(now, sender, message)
            case m.Answer() | m.Orders():
                self.holder.receive(now, sender, message)
            case m.Ask():
                self._ask(now, sender, message)
            case m.Mark() if self.keeper:
                self._say(sender, self.witness.marked(message))
            case m.Marked() if self.keeper:
                if message.store == self.kept.store and message.process == self.process:
                    self.witness.told(sender, message)
                    self._keep(now)
            case m.Hello() | m.Bind() if self.keeper:
                for to, said in self.founding.receive(sender, message):
                    self._say(to, said)
                self._keep(now)
            case m.Petition():
                self._petitioned(sender, message)
            case m.Heard():
                self._answers[message.number] = message.done, message.why
            case (
                m.Vote() | m.Voted() | m.Append() | m.Appended() | m.Install() | m.Lead()
            ) if name_of(message.seat) == sender:
                if self.raft is not None:
                    self._guarded(now, lambda raft: raft.receive(now, message))
        return self._finish(now)

    def _guarded(self, now: int, step: Any) -> None:
        try:
            step(self.raft)
        except Broken as broken:
            self._note("log_broken", why=str(broken))
            self._fall(now)

    def _ask(self, now: int, sender: str, ask: m.Ask) -> None:
        if self.office is not None:
            self.office.ask(now, sender, ask)
            return
        leader = self.leader if self.leader != self.name else ""
        self._say(sender, m.Answer(ask.process, ask.number, m.Status.ELSEWHERE, 0, 0, leader))

    def _petitioned(self, sender: str, petition: m.Petition) -> None:
        if self.office is None:
            self._say(sender, m.Heard(petition.number, False, f"the leader is {self.leader or 'not known'}"))
            return
        head = petition.command.head
        if any(session.head == head for session in self.ledger.sessions.values()):
            self._say(sender, m.Heard(petition.number, False, f"{head} has a session: it is not gone"))
        elif not any(slot.head == head for slot in self.ledger.slots.values()):
            self._say(sender, m.Heard(petition.number, True, f"{head} has no floor"))
        elif self.raft is not None and (index := self.raft.propose(petition.command)) is not None:
            self._later[index] = sender, petition.number

    # ---- a keeper's duties ----

    def _keep(self, now: int) -> None:
        """Vouched for or not, seated or not: what follows from that."""
        founded, kept = self.founding.kept, self.kept
        if self.witness.stale:
            self._renew(now)
        if founded.fleet and self.raft is None and not self._broken:
            self._sit(now, Snapshot(), [])
            self._note("founded", fleet=founded.fleet, seats=",".join(map(name_of, founded.seats)))
        others = [name_of(seat) for seat in self._seats() if name_of(seat) != self.name]
        good = self.witness.good(len(others))
        if self.raft is not None:
            if good and not self.raft.may_vote:
                self._note("keeper", seat=self.raft.seat)
            self.raft.may_vote = good
        if self.witness.due(now, good):
            mark = m.Mark(kept.store, kept.life, kept.saves, self._loaded_saves, self.process)
            for name in others:
                self._say(name, mark)
        for to, said in self.founding.tick(now, self.seated):
            self._say(to, said)
        for who, why in self.founding.strange.items():
            if f"{who} {why}" not in self._said:
                self._said.add(f"{who} {why}")
                self._note("strange_keeper", head=who, why=why)

    def _seats(self) -> tuple[str, ...]:
        return self.raft.seats if self.raft is not None and self.raft.seats else self.founding.kept.seats

    def _renew(self, now: int) -> None:
        """This store is an old copy: it is put aside, and a fresh one asks for a seat."""
        self._note("store_is_old", store=self.kept.store)
        kept = self.kept
        fresh = f"{self._rng.getrandbits(48):012x}"
        self.kept = Kept(
            fresh, kept.life, kept.saves, kept.process, kept.generation, self.founding.kept.fleet,
            self.founding.kept.seats,
        )  # fmt: skip
        self.founding.renew(fresh)
        self.witness.restart(now)
        self.raft, self.office, self.ledger = None, None, Ledger(self.charter)
        self.holder.renew(now, fresh)
        self._floor_kept = self.holder.floor
        self._changed = self._anew = True

    def _fall(self, now: int) -> None:
        """A keeper no longer: its store takes no more, or its log is broken."""
        if self.raft is not None:
            self.raft.stop(now)
        self.raft, self.office, self.keeper = None, None, False
        self._broken = True

    def store_failed(self, now: int, why: str) -> None:
        """The last save could not be written: nothing that it was for is done."""
        self._note("store_failed", why=why)
        self._fall(now)
        self.holds_store = False
        self.holder.unkept(self._floor_kept)

    # ---- the end of a step ----

    def _finish(self, now: int) -> Output:
        out = Output()
        raft = self.raft
        if raft is not None:
            self._work(now, raft)
        for change in self.members.changes():
            self._note(f"member_{change.how}", head=change.name, address=change.address)
        if self.members.usurped and "usurped" not in self._said:
            self._said.add("usurped")
            self._note("name_taken", head=self.name)
        out.save = self._save()
        out.shares = self.holder.spendable()
        if raft is not None and self.raft is raft:
            out.sends += [(name_of(seat), said) for seat, said in raft.take_out()]
        if self.office is not None:
            out.sends += self.office.take_out()
            for note in self.office.take_notes():
                self._note(note.event, **dict(note.fields))
        out.sends += self.holder.take_out() + self.members.out() + self._out
        self._out = []
        for event, fields in self.holder.notes:
            self._note(event, **fields)
        self.holder.notes.clear()
        out.notices, self._notices = self._notices, []
        return out

    def _work(self, now: int, raft: Raft) -> None:
        """Carry out what is committed, let the office work on it, and pass on what it proposes."""
        for _ in range(STEPS):
            before = raft.commit, raft.last
            if raft.installed:
                raft.installed = False
                self.ledger.load(raft.snapshot.state)
            for index, command in raft.committed():
                done = self.ledger.apply(index, command)
                if self.office is not None:
                    self.office.applied(now, index, command, done)
                self._heard(index, done)
            if not raft.serving:
                if self.office is not None:
                    self._note("leads_no_more", term=self.office.term)
                self.office = None
            elif self.office is None or self.office.term != raft.term:
                fleet = self.founding.kept.fleet
                fresh = now - self._born < self.charter.count_us or len(raft.seats) == 1
                self.office = Office(self.charter, self.digest, fleet, self.ledger, raft, now, fresh)
                self._note("leads", term=raft.term)
            if self.office is not None:
                self.office.tick(now)
                self._reseat(now, raft)
            raft.flush(now)
            if (raft.commit, raft.last) == before and raft.applied == raft.commit:
                break
        if raft.applied - raft.snapshot.index > KEEP:
            raft.shorten(self.ledger.dump())

    def _heard(self, index: int, done: bool) -> None:
        if (asked := self._later.pop(index, None)) is not None:
            why = "" if done else "it changed nothing"
            if asked[0] == self.name:
                self._answers[asked[1]] = done, why
            else:
                self._say(asked[0], m.Heard(asked[1], done, why))

    def _reseat(self, now: int, raft: Raft) -> None:
        """A keeper that has come back with another store gets a seat for that, once the old one is away."""
        self._applicants.update(self.founding.applicants())
        for name, store in list(self._applicants.items()):
            fresh = seat_of(name, store)
            olds = [seat for seat in raft.seats if name_of(seat) == name]
            if fresh in raft.seats:
                del self._applicants[name]
            elif not olds:
                raft.reseat(now, {*raft.seats, fresh})
            elif (
                (heard := raft.heard_of(olds[0])) is not None
                and now - heard > RESEAT_US
                and raft.reseat(now, set(raft.seats) - {olds[0]}) is not None
            ):
                self._note("seat_taken_away", head=name, store=store_of(olds[0]))

    def _save(self) -> Save | None:
        """All that is to be kept before anything of this step is done."""
        if not self.holds_store:
            return None
        kept, raft = self.kept, self.raft
        log = raft.take_save() if raft is not None else None
        changed = self._changed or self.witness.dirty or self.founding.dirty or self.holder.floor_dirty
        if log is None and not changed:
            return None
        self._changed = self.witness.dirty = self.founding.dirty = self.holder.floor_dirty = False
        founded, floor = self.founding.kept, self.holder.floor
        kept.saves += 1
        kept.fleet, kept.seats, kept.bound = founded.fleet, founded.seats, founded.bound
        kept.known = {
            store: (known.life, known.saves, known.process) for store, known in self.witness.known.items()
        }
        kept.slot, kept.version, kept.wholes = floor.slot, floor.version, floor.wholes
        kept.of_fleet = floor.fleet
        self._floor_kept = floor
        if raft is not None:
            kept.term, kept.vote = raft.term, raft.vote
        save = Save(kept, anew=self._anew)
        self._anew = False
        if log is not None:
            save.first, save.entries, save.snapshot = log.first, log.entries, log.snapshot
        return save

    def _likely(self) -> list[str]:
        """Keepers to ask, the likeliest to lead first; who is thought to be gone comes last."""
        names = sorted({name_of(seat) for seat in self._seats()} or self.charter.keepers)
        gone = {name for name in names if (self.members.state(name) or State.ALIVE) >= State.GONE}
        return sorted(names, key=lambda name: (name != self.leader, name in gone, name))

    def _say(self, to: str, message: Message) -> None:
        self._out.append((to, message))

    def _note(self, event: str, **fields: Any) -> None:
        self._notices.append((event, fields))

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
        ledger, holder = self.ledger, self.holder
        told: dict[str, Any] = {
            "head": self.name, "leader": self.leader, "leads": self.leads, "keeper": self.raft is not None,
            "own": {
                "session": holder.session, "lease_s": round(max(0, holder.until - now) / 1e6, 2),
                "slot": holder.floor.slot, "refused": holder.refused,
                "floors": {plan: {"rate": rate / 1000, "burst": burst / 1000}
                           for plan, rate, burst in holder.floors()},
                "parts": {held.amount: {"rate": held.rate / 1000, "burst": held.burst / 1000}
                          for held in holder.book.values()},
            },
        }  # fmt: skip
        if self.raft is None:
            return told
        told["settled"], told["version"] = ledger.settled, ledger.version
        told["wholes"] = {
            plan: {"rate": rate / 1000, "burst": burst / 1000, "floors": ledger.floors(plan)[0] / 1000}
            for plan, (rate, burst) in sorted(ledger.wholes.items())
        }
        told["slots"] = {n: {"head": slot.head, "store": slot.store} for n, slot in ledger.slots.items()}
        office = self.office
        told["sessions"] = [
            {"session": n, "head": session.head, "slot": session.slot}
            | (office.lease(now, n) if office is not None else {})
            for n, session in sorted(ledger.sessions.items())
        ]
        told["amounts"] = {
            amount: {
                "free": round(ledger.room(amount)[0] / 1000, 3),
                "whole": ledger.wholes[plan_of(amount)][0] / 1000,
                "parts": [
                    {"head": ledger.sessions[n].head, "session": n, "rate": stake.rate / 1000,
                     "burst": stake.burst / 1000}
                    | (office.wish(now, amount, n) if office is not None else {})
                    for n, stake in sorted(stakes.items())
                ],
            }
            for amount, stakes in sorted(ledger.parts.items())
        }  # fmt: skip
        return told
