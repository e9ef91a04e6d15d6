"""Who is in the fleet: alive, suspected, gone, left, or back with a new life.

SWIM with suspicion (Das, Gupta, Motivala 2002) and Lifeguard's three parts (Dadgar, Phillips, Currey 2018):
a member that is slow itself asks less and waits longer (local health), a suspicion lasts the shorter the more
members share it, and who is suspected hears of it with the next ping.  What is said of a member is a rumour;
of two the larger by (generation, incarnation, state) holds, so that order, delay and repetition change
nothing.

This drives the speed of recovery only.  No right to spend anything is ever read off it.  Nothing here sends,
waits or reads a clock; the same calls give the same answers.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum

import msgspec
import xxhash

from .messages import Ack, DigestOffer, MemberUpdate, Message, Nack, Ping, PingRequest, StateSync

PERIOD_US = 1_000_000  # of the protocol: one member is asked in each
PING_US = 300_000  # for an answer, before others are asked to try
RELAYS = 3  # who are asked to
SUSPECT_PERIODS = 3.0  # the least suspicion, times the decimal logarithm of the fleet's size
SUSPECT_MOST = 4.0  # times the least: a suspicion that nobody shares
SHARERS = 3  # from so many on it is the least
MOST_HEALTH = 8  # of the local health's count: waits are as many times longer, and one
RUMOUR_BYTES = 900  # carried by one ping at the most
SPREAD = 4  # times the logarithm of the fleet's size: how often one rumour is passed on
FORGET_US = 24 * 3600 * 1_000_000  # of a member that has gone
COMPARE_PERIODS = 10  # between two comparisons of all that is known with one other
JOIN_US = 10_000_000  # from the start: until then another process of this name is taken for an earlier life
LATE_US = 500_000  # after its time: then this process was not running, and judges nobody by it
MOST_MEMBERS = 5000
LONGEST = 128  # of a name or an address in a rumour


class MemberState(IntEnum):
    """What is thought of a member, the worse the larger."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3  # by its own word


@dataclass(slots=True, eq=False)
class Member:
    """One head, by the largest rumour of it."""

    update: MemberUpdate
    state_since: int  # of its state
    suspect_until: int = 0  # then a suspicion is believed
    suspected_by: set[str] = field(default_factory=set)

    @property
    def state(self) -> MemberState:
        return MemberState(self.update.state)


@dataclass(slots=True, eq=False)
class _Probe:
    """One member that is being asked after."""

    target: str
    number: int
    began: int
    relayed: bool = False
    nacks: int = 0
    asked: int = 0


@dataclass(slots=True, frozen=True)
class MemberChange:
    """A member's state has changed; ``how`` is join, suspect, refute, gone, left or back."""

    kind: str
    name: str
    address: str


def rank(rumour: MemberUpdate) -> tuple[int, int, int]:
    """The larger of two rumours of one member holds."""
    return rumour.generation, rumour.incarnation, rumour.state


class Membership:
    """One head's view of all."""

    def __init__(
        self, name: str, address: str, process: int, generation: int, rng: random.Random, now: int
    ) -> None:
        self.name, self._rng = name, rng
        me = MemberUpdate(name, address, generation, 0, MemberState.ALIVE, process)
        self.process, self._born = process, now
        self._all: dict[str, Member] = {name: Member(me, now)}
        self._fresh: dict[str, int] = {name: 0}  # rumours to pass on, by how often they were
        self._ring: list[str] = []  # whom to ask, in an order of its own each turn
        self._probe: _Probe | None = None
        self._for: dict[int, tuple[str, int, int]] = {}  # pings for others: who, its number, when
        self._number = 0
        self._period_at = now + int(PERIOD_US * rng.random())
        self._periods = 0
        self.local_health = 0  # 0: well
        self.name_taken = False  # a later process has this name
        self._changes: list[MemberChange] = []
        self._out: list[tuple[str, Message]] = []

    # ---- what is known ----

    def __iter__(self) -> Iterator[tuple[str, Member]]:
        return iter(self._all.items())

    def __len__(self) -> int:
        return len(self._all)

    @property
    def own_update(self) -> MemberUpdate:
        return self._all[self.name].update

    def state_of(self, name: str) -> MemberState | None:
        member = self._all.get(name)
        return None if member is None else member.state

    def address_of(self, name: str) -> str:
        member = self._all.get(name)
        return "" if member is None else member.update.address

    def active_names(self) -> list[str]:
        """All who may be there, this head too: what is suspected counts."""
        return [name for name, member in self._all.items() if member.state <= MemberState.SUSPECT]

    def digest(self) -> int:
        """The same at two heads that know the same."""
        told = sorted((name, *rank(member.update)) for name, member in self._all.items())
        return xxhash.xxh3_64_intdigest(repr(told).encode())

    def take_changes(self) -> list[MemberChange]:
        """What has changed since the last call."""
        found, self._changes = self._changes, []
        return found

    def take_messages(self) -> list[tuple[str, Message]]:
        """What is to be said since the last call, and to whom."""
        found, self._out = self._out, []
        return found

    @property
    def next_at(self) -> int:
        """When ``tick`` has something to do."""
        times = [self._period_at]
        if self._probe is not None and not self._probe.relayed:
            times.append(self._probe.began + self._patience)
        times += [
            member.suspect_until for member in self._all.values() if member.state is MemberState.SUSPECT
        ]
        return min(times)

    @property
    def _patience(self) -> int:
        return PING_US * (1 + self.local_health)

    @property
    def _least_us(self) -> int:
        """The shortest suspicion."""
        return int(SUSPECT_PERIODS * max(1.0, math.log10(max(1, len(self.active_names())))) * PERIOD_US)

    # ---- joining and leaving ----

    def join(self, through: list[str]) -> None:
        """Make oneself known to some who may be there, and hear what they know."""
        for name in through:
            if name != self.name:
                self._say(name, StateSync(self._told(), True))

    def leave(self, now: int) -> None:
        """Tell some that this head goes by its own will."""
        me = self.own_update
        self._hold(now, _with(me, state=MemberState.LEFT), self.name)
        for name in self._others(RELAYS):
            self._say(name, StateSync((self.own_update,), False))

    # ---- time ----

    def tick(self, now: int) -> None:
        """Take up what is due."""
        late = now - self.next_at > LATE_US
        if late:
            # It did not run: no answer that is missing says anything of others.
            self._ail(1)
            self._probe = None
            for member in self._all.values():
                if member.state is MemberState.SUSPECT:
                    member.suspect_until = max(member.suspect_until, now + PERIOD_US)
        probe = self._probe
        if probe is not None and not probe.relayed and now >= probe.began + self._patience:
            self._relay(probe)
        for name, member in list(self._all.items()):
            if member.state is MemberState.SUSPECT and now >= member.suspect_until:
                self._hold(now, _with(member.update, state=MemberState.GONE), self.name)
            elif member.state >= MemberState.GONE and now - member.state_since > FORGET_US:
                del self._all[name]
                self._fresh.pop(name, None)
        if now >= self._period_at:
            self._period(now)

    def _period(self, now: int) -> None:
        """A new period: what the last one's probe came to, and the next."""
        probe, self._probe = self._probe, None
        if probe is not None:
            self._failed(now, probe)
        self._period_at = now + PERIOD_US * (1 + self.local_health)
        self._for = {n: item for n, item in self._for.items() if now - item[2] < 4 * PERIOD_US}
        self._periods += 1
        if self._periods % COMPARE_PERIODS == 0:
            for name in self._others(1):
                self._say(name, DigestOffer(self.digest()))
        if (target := self._next()) is not None:
            self._number += 1
            self._probe = _Probe(target, self._number, now)
            self._ping(target, self._number)

    def _next(self) -> str | None:
        """Whom to ask after: each once a turn, in an order that is drawn anew."""
        for _ in range(2):
            while self._ring:
                member = self._all.get(name := self._ring.pop())
                if member is not None and member.state <= MemberState.SUSPECT:
                    return name
            self._ring = [name for name in self.active_names() if name != self.name]
            self._rng.shuffle(self._ring)
        return None

    def _ping(self, name: str, number: int) -> None:
        """Who is suspected hears of it first, so that it can say no."""
        member = self._all.get(name)
        first = [member.update] if member is not None and member.state is MemberState.SUSPECT else []
        self._say(name, Ping(number, self._rumours(first)))

    def _relay(self, probe: _Probe) -> None:
        probe.relayed = True
        for name in self._others(RELAYS, probe.target):
            probe.asked += 1
            self._say(name, PingRequest(probe.number, probe.target, self._rumours()))

    def _failed(self, now: int, probe: _Probe) -> None:
        """Nobody heard of it.  Relays that were silent too say that it may be this head that is deaf."""
        self._ail(max(1, probe.asked - probe.nacks) if probe.asked else 1)
        member = self._all.get(probe.target)
        if member is not None and member.state is MemberState.ALIVE:
            self._hold(now, _with(member.update, state=MemberState.SUSPECT), self.name)

    def _ail(self, much: int) -> None:
        self.local_health = max(0, min(MOST_HEALTH, self.local_health + much))

    # ---- what others say ----

    def receive(self, now: int, sender: str, message: Message) -> None:
        """Take in one message.  From whom it is was proven by its tag; what it says is a rumour."""
        match message:
            case Ping():
                self._hear(now, sender, message.updates)
                self._say(sender, Ack(message.number, self.name, self._rumours()))
            case Ack():
                self._hear(now, sender, message.updates)
                self._acked(now, sender, message)
            case PingRequest():
                self._hear(now, sender, message.updates)
                self._number += 1
                self._for[self._number] = sender, message.number, now
                self._ping(message.target, self._number)
                self._say(sender, Nack(message.number, message.target))
            case Nack():
                if self._probe is not None and self._probe.number == message.number:
                    self._probe.nacks += 1
            case DigestOffer():
                if message.digest != self.digest():
                    self._say(sender, StateSync(self._told(), True))
            case StateSync():
                self._hear(now, sender, message.updates)
                if message.wants_reply:
                    self._say(sender, StateSync(self._told(), False))

    def _acked(self, now: int, sender: str, ack: Ack) -> None:
        probe = self._probe
        if probe is not None and probe.number == ack.number and probe.target == ack.target:
            self._probe = None
            self._ail(-1)
        elif (asker := self._for.pop(ack.number, None)) is not None:
            self._say(asker[0], Ack(asker[1], ack.target, self._rumours()))

    def _hear(self, now: int, sender: str, rumours: tuple[MemberUpdate, ...]) -> None:
        for rumour in rumours:
            if (
                0 <= rumour.state <= MemberState.LEFT
                and max(len(rumour.name), len(rumour.address)) <= LONGEST
            ):
                self._hold(now, rumour, sender)

    def _hold(self, now: int, rumour: MemberUpdate, sender: str) -> None:
        """Keep a rumour if it is larger than what stands, and pass it on."""
        name = rumour.name
        if name == self.name and sender != self.name:
            self._of_me(now, rumour)
            return
        member = self._all.get(name)
        if member is None:
            if len(self._all) < MOST_MEMBERS:
                self._all[name] = member = Member(rumour, now)
                self._turned(now, member, None, sender)
            return
        if rank(rumour) == rank(member.update) and rumour.state == MemberState.SUSPECT:
            self._shared(now, member, sender)
        if rank(rumour) > rank(member.update):
            old, member.update = member.update, rumour
            self._turned(now, member, old, sender)

    def _of_me(self, now: int, rumour: MemberUpdate) -> None:
        """What others think of this head: refuted by a larger incarnation, unless it is another process."""
        me = self.own_update
        if rank(rumour) < rank(me) or (rank(rumour) == rank(me) and rumour.process == self.process):
            return
        if rumour.process == self.process:
            if me.state == MemberState.LEFT:
                return
            if rumour.state == MemberState.SUSPECT:
                self._ail(1)  # it was slow to answer
            fresh = _with(me, incarnation=rumour.incarnation + 1)
        elif now - self._born > JOIN_US:
            # Another process has taken this name: this one yields it, and goes on with its own session alone.
            self.name_taken = True
            return
        else:  # an earlier life, whose clock was ahead of ours, or which had no store
            fresh = _with(me, generation=rumour.generation + 1, incarnation=0)
        self._all[self.name].update = fresh
        self._fresh[self.name] = 0

    def _shared(self, now: int, member: Member, sender: str) -> None:
        """One more suspects it: the suspicion lasts less."""
        if sender in member.suspected_by or len(member.suspected_by) >= SHARERS + 1:
            return
        member.suspected_by.add(sender)
        self._fresh[member.update.name] = 0  # each of the first few is worth passing on again
        member.suspect_until = member.state_since + self._suspicion_us(len(member.suspected_by) - 1)

    def _suspicion_us(self, shared: int) -> int:
        least = self._least_us
        most = SUSPECT_MOST * least
        share = math.log(shared + 1) / math.log(SHARERS + 1)
        return int(max(least, most - (most - least) * share))

    def _turned(self, now: int, member: Member, old: MemberUpdate | None, sender: str) -> None:
        rumour = member.update
        self._fresh[rumour.name] = 0
        state = MemberState(rumour.state)
        was = None if old is None else MemberState(old.state)
        born = old is not None and old.process != rumour.process
        member.suspected_by = {sender} if state is MemberState.SUSPECT else set()
        if state is not was or born:
            member.state_since = now
        if state is MemberState.SUSPECT:
            member.suspect_until = member.state_since + self._suspicion_us(0)
        how = None
        if state is MemberState.ALIVE:
            if was is None:
                how = "join"
            elif born or was >= MemberState.GONE:
                how = "back"
            elif was is MemberState.SUSPECT:
                how = "refute"
        elif was is not state:
            how = {MemberState.SUSPECT: "suspect", MemberState.GONE: "gone", MemberState.LEFT: "left"}[state]
        if how is not None and rumour.name != self.name:
            self._changes.append(MemberChange(how, rumour.name, rumour.address))

    # ---- what is said ----

    def _say(self, name: str, message: Message) -> None:
        self._out.append((name, message))

    def _others(self, count: int, but: str = "") -> list[str]:
        names = [
            name for name, member in self._all.items()
            if member.state is MemberState.ALIVE and name not in (self.name, but)
        ]  # fmt: skip
        return self._rng.sample(names, min(count, len(names)))

    def _told(self) -> tuple[MemberUpdate, ...]:
        return tuple(member.update for member in self._all.values())

    def _rumours(self, first: list[MemberUpdate] | None = None) -> tuple[MemberUpdate, ...]:
        """The ones passed on least, as many as fit; each goes out a number of times that grows slowly."""
        chosen = list(first or [])
        room = RUMOUR_BYTES - sum(map(_size, chosen))
        most = SPREAD * math.ceil(math.log10(len(self._all) + 1))
        for name in sorted(self._fresh, key=lambda name: (self._fresh[name], name)):
            rumour = self._all[name].update
            if rumour in chosen:
                continue
            if (room := room - _size(rumour)) < 0:
                break
            chosen.append(rumour)
            self._fresh[name] += 1
            if self._fresh[name] >= most:
                del self._fresh[name]
        return tuple(chosen)


def _size(rumour: MemberUpdate) -> int:
    """About the bytes that it takes on the wire."""
    return len(rumour.name) + len(rumour.address) + 40


def _with(rumour: MemberUpdate, **changes: int) -> MemberUpdate:
    """A copy with other fields."""
    return msgspec.structs.replace(rumour, **changes)
