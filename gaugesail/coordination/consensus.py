"""One order of entries among a few keepers: the replicated log of Raft (Ongaro, Ousterhout 2014).

With pre-votes and a leader that steps down when it hears of no majority (his thesis, 9.6 and 6.2), seats that
change one at a time (4.1, after an entry of the leader's own term), and confirmed rounds ("read index", 6.4),
on which leases rest.  Whatever a keeper promises is saved before it is said: the caller writes ``take_save``
before it sends ``take_out``.  A seat is a name and its store, as what a keeper has promised lies in that
store.

Nothing here sends, writes or reads a clock; the same calls give the same answers.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from .messages import (
    AppendEntries,
    AppendResponse,
    Command,
    InstallSnapshot,
    LogEntry,
    Message,
    Noop,
    ReplaceVoters,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)

HEARTBEAT_US = 150_000
ROUND_US = 20_000  # between two rounds, however many wait for one
ELECTION_US = 1_000_000  # the least time without a leader before one stands; the most is twice that
RESEND_US = 300_000  # without an answer to entries
INSTALL_US = 2_000_000  # between two whole ledgers for one keeper
MOST_ENTRIES, MOST_BYTES = 64, 900  # of one message, as far as one entry is not larger
KEEP = 512  # entries, from which on a log is made short


class LogBroken(Exception):
    """What never happens while stores keep what they were given: this keeper can be one no longer."""


class Role(Enum):
    """A keeper's part in the current term."""

    FOLLOWER = "follower"
    STANDS = "stands"  # asks whether it would be elected
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class Snapshot:
    """The ledger after entry ``index`` of term ``term``, in place of all entries up to there."""

    index: int = 0
    term: int = 0
    voters: tuple[str, ...] = ()
    state: bytes = b""


@dataclass(slots=True)
class RaftWrite:
    """What has changed and is to be written, whole or not at all, before anything more is said."""

    term: int
    voted_for: str
    first_index: int | None = None  # entries from this index on are those below, and no others
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None  # and no entry up to its index


@dataclass(slots=True, eq=False)
class _Progress:
    """What a leader knows of one other keeper."""

    next: int
    resume: int  # from there again, if what is on its way does not arrive
    match: int = 0
    round: int = 0  # the latest that it has acknowledged
    heard_at: int = 0
    sent_at: int = 0  # entries
    installed_at: int | None = None


@dataclass(slots=True, eq=False)
class RaftNode:
    """One keeper's replica."""

    replica_id: str
    rng: random.Random
    now: int
    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = field(default_factory=Snapshot)
    log: list[LogEntry] = field(default_factory=list)  # after the snapshot
    role: Role = Role.FOLLOWER
    leader: str = ""  # its seat, as far as known
    commit_index: int = 0
    applied_index: int = 0
    may_vote: bool = False  # its store is known to be the latest, and takes writes
    round: int = 0
    snapshot_installed: bool = False  # a snapshot came: the caller loads its state, and says so here
    _first: int | None = None  # the first entry that is not saved
    _hard: bool = False  # term or vote are not saved
    _shorter: bool = False  # the snapshot is not saved
    _out: list[tuple[str, Message]] = field(default_factory=list)
    _votes: set[str] = field(default_factory=set)
    _others: dict[str, _Progress] = field(default_factory=dict)
    _seats: list[tuple[int, tuple[str, ...]]] = field(default_factory=list)  # by the index they came with
    _noop: int = 0  # the first entry of this leader's term
    _round_wanted: bool = False
    _heard_at: int = 0  # from a leader
    _election_at: int = 0
    _beat_at: int = 0
    _round_at: int = -ROUND_US

    def __post_init__(self) -> None:
        self.commit_index = self.applied_index = self.snapshot.index
        self._seats = [(self.snapshot.index, self.snapshot.voters)]
        for place, entry in enumerate(self.log, self.snapshot.index + 1):
            if isinstance(entry.command, ReplaceVoters):
                self._seats.append((place, entry.command.seats))
        self._heard_at = self.now - ELECTION_US
        self._rest(self.now)

    # ---- what stands ----

    @property
    def voters(self) -> tuple[str, ...]:
        """Who keeps the log, by its latest entry that says so, committed or not."""
        return self._seats[-1][1]

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self.log)

    @property
    def serving(self) -> bool:
        """It leads, and an entry of its own term is committed: it knows all that ever was."""
        return self.role is Role.LEADER and self.commit_index >= self._noop

    @property
    def quorum_size(self) -> int:
        return len(self.voters) // 2 + 1

    @property
    def next_at(self) -> int:
        """When ``tick`` has something to do."""
        return self._beat_at if self.role is Role.LEADER else self._election_at

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where it is not here any more, or not yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        place = index - self.snapshot.index - 1
        return self.log[place].term if 0 <= place < len(self.log) else None

    def committed(self) -> Iterator[tuple[int, Command]]:
        """Entries to apply, each once, in order."""
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            yield self.applied_index, self.log[self.applied_index - self.snapshot.index - 1].command

    # ---- what is to be written and said ----

    def take_write(self) -> RaftWrite | None:
        """What is to be written before anything is said; None where nothing changed."""
        if not (self._hard or self._shorter or self._first is not None):
            return None
        save = RaftWrite(self.term, self.voted_for)
        if self._first is not None:
            save.first_index = max(self._first, self.snapshot.index + 1)
            save.entries = tuple(self.log[save.first_index - self.snapshot.index - 1 :])
        if self._shorter:
            save.snapshot = self.snapshot
        self._hard = self._shorter = False
        self._first = None
        return save

    def take_messages(self) -> list[tuple[str, Message]]:
        """What is to be said, by seat, once the save is written."""
        found, self._out = self._out, []
        return found

    # ---- time ----

    def tick(self, now: int) -> None:
        """Beat as a leader, stand for election as another."""
        if self.role is Role.LEADER:
            if now >= self._beat_at:
                heard = sum(now - other.heard_at < 2 * ELECTION_US for other in self._others.values())
                if heard + (self.replica_id in self.voters) < self.quorum_size:
                    self._become_follower(now, self.term, "")  # cut off: whoever has a majority is another
                else:
                    self._round_wanted = True
        elif now >= self._election_at:
            self._rest(now)
            if self.may_vote and self.replica_id in self.voters:
                self._stand(now)

    def _rest(self, now: int) -> None:
        self._election_at = now + ELECTION_US + int(ELECTION_US * self.rng.random())

    # ---- elections ----

    def _stand(self, now: int, pre: bool = True) -> None:
        """Ask for votes; first whether there would be any, so that who was cut off disturbs nobody."""
        self.role = Role.STANDS if pre else Role.CANDIDATE
        self.leader = ""
        term = self.term + 1
        if not pre:
            self._enter_term(term, self.replica_id)
        self._votes = {self.replica_id}
        for seat in self.voters:
            if seat != self.replica_id:
                last = self.term_at(self.last_index) or 0
                self._out.append((seat, VoteRequest(self.replica_id, term, pre, self.last_index, last)))
        self._elected(now)

    def _enter_term(self, term: int, vote: str = "") -> None:
        self.term, self.voted_for, self._hard = term, vote, True

    def _elected(self, now: int) -> None:
        if len(self._votes & set(self.voters)) < self.quorum_size:
            return
        if self.role is Role.STANDS:
            self._stand(now, pre=False)
        elif self.role is Role.CANDIDATE:
            self.role, self.leader = Role.LEADER, self.replica_id
            self._others = {}
            self._noop = self.last_index + 1
            self._append(Noop())
            self._arrange(now)
            self._round_wanted = True

    def _become_follower(self, now: int, term: int, leader: str) -> None:
        if term > self.term:
            self._enter_term(term)
        if self.role is Role.LEADER or leader:
            self._rest(now)
        self.role, self.leader = Role.FOLLOWER, leader
        self._others, self._votes, self._round_wanted = {}, set(), False

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        """Whoever stands has all that may be committed."""
        return (request.last_term, request.last_index) >= (
            self.term_at(self.last_index) or 0,
            self.last_index,
        )

    def _asked(self, now: int, vote: VoteRequest) -> None:
        if vote.pre_vote:
            led = self.role is Role.LEADER or now - self._heard_at < ELECTION_US
            granted = vote.term > self.term and not led and self._is_up_to_date(vote)
            # Refused, it hears our term: who has the longer log and an older term could be elected by nobody.
            term = vote.term if granted else self.term
            self._out.append((vote.sender, VoteResponse(self.replica_id, term, True, granted)))
            return
        if vote.term > self.term:
            self._become_follower(now, vote.term, "")
        granted = vote.term == self.term and self.voted_for in ("", vote.sender) and self._is_up_to_date(vote)
        if granted and not self.voted_for:
            self.voted_for, self._hard = vote.sender, True
            self._rest(now)
        self._out.append((vote.sender, VoteResponse(self.replica_id, self.term, False, granted)))

    def _answered(self, now: int, voted: VoteResponse) -> None:
        if voted.pre_vote and voted.granted:
            counts = self.role is Role.STANDS and voted.term == self.term + 1
        else:
            if voted.term > self.term:
                self._become_follower(now, voted.term, "")
            counts = not voted.pre_vote and self.role is Role.CANDIDATE and voted.term == self.term
        if counts and voted.granted:
            self._votes.add(voted.sender)
            self._elected(now)

    # ---- a leader's side ----

    def propose(self, command: Command) -> int | None:
        """Put an entry into the log; its index, or None where another leads."""
        if self.role is not Role.LEADER:
            return None
        self._append(command)
        return self.last_index

    def replace_voters(self, now: int, seats: Iterable[str]) -> int | None:
        """Other seats: one more or one less, and never before the last change is committed."""
        fresh = tuple(sorted(seats))
        settled = self._seats[-1][0] <= self.commit_index
        if not self.serving or not settled or len(set(fresh) ^ set(self.voters)) != 1 or not fresh:
            return None
        index = self.propose(ReplaceVoters(fresh))
        self._arrange(now)
        return index

    def request_round(self) -> int:
        """The number of a round yet to begin; once ``confirmed`` is as high, this one still led after now."""
        self._round_wanted = True
        return self.round + 1

    @property
    def confirmed_round(self) -> int:
        """The latest round that a majority has acknowledged in this term."""
        rounds = [other.round for seat, other in self._others.items() if seat in self.voters]
        return self._most(rounds, self.round)

    def _most(self, theirs: list[int], mine: int) -> int:
        """The largest figure that a majority has reached."""
        theirs = theirs + [mine] * (self.replica_id in self.voters)
        return sorted(theirs, reverse=True)[self.quorum_size - 1] if len(theirs) >= self.quorum_size else 0

    def transfer_leadership(self, seat: str) -> None:
        """Let another that has all entries stand at once."""
        other = self._others.get(seat)
        if self.role is Role.LEADER and other is not None and other.match == self.last_index:
            self._out.append((seat, TimeoutNow(self.replica_id, self.term)))

    def match_index(self, seat: str) -> int:
        """Up to where another keeper has the log, as this leader knows."""
        other = self._others.get(seat)
        return 0 if other is None else other.match

    def last_heard_at(self, seat: str) -> int | None:
        """When another keeper last answered this leader."""
        other = self._others.get(seat)
        return None if other is None else other.heard_at

    def _append(self, command: Command) -> None:
        self.log.append(LogEntry(self.term, command))
        self._first = self.last_index if self._first is None else min(self._first, self.last_index)
        if isinstance(command, ReplaceVoters):
            self._seats.append((self.last_index, command.seats))

    def _arrange(self, now: int) -> None:
        """Progress for each other seat, and for no one else."""
        for seat in self.voters:
            if seat != self.replica_id:
                self._others.setdefault(seat, _Progress(self.last_index, self.last_index, heard_at=now))
        self._others = {seat: other for seat, other in self._others.items() if seat in self.voters}

    def flush(self, now: int) -> None:
        """At the end of a step: send what is new, and a round where one is wanted."""
        if self.role is not Role.LEADER:
            return
        beat = self._round_wanted and now >= self._round_at + ROUND_US
        if beat:
            self._round_wanted = False
            self.round += 1
            self._round_at, self._beat_at = now, now + HEARTBEAT_US
        elif self._round_wanted:
            self._beat_at = min(self._beat_at, self._round_at + ROUND_US)
        for seat, other in self._others.items():
            if other.match < other.next - 1 and now - other.sent_at > RESEND_US:
                other.next = other.resume
            # Who waits for the whole ledger hears a beat now and then, and no answer to each answer.
            if beat or (other.next <= self.last_index and self.term_at(other.next - 1) is not None):
                self._replicate(now, seat, other)
        self._advance()

    def _replicate(self, now: int, seat: str, other: _Progress) -> None:
        if (term := self.term_at(other.next - 1)) is None:
            if other.installed_at is None or now - other.installed_at > INSTALL_US:
                other.installed_at = now
                kept = self.snapshot
                self._out.append(
                    (
                        seat,
                        InstallSnapshot(
                            self.replica_id,
                            self.term,
                            kept.index,
                            kept.term,
                            kept.voters,
                            kept.state,
                            self.round,
                        ),
                    )
                )
                return
            # The whole ledger is on its way: a sign of life until it has come.
            self._out.append((seat, AppendEntries(self.replica_id, self.term, 0, 0, (), 0, self.round)))
            return
        first = other.next
        entries = self._some(first)
        if entries:
            other.next, other.sent_at = first + len(entries), now
        self._out.append(
            (
                seat,
                AppendEntries(
                    self.replica_id, self.term, first - 1, term, entries, self.commit_index, self.round
                ),
            )
        )

    def _some(self, first: int) -> tuple[LogEntry, ...]:
        found: list[LogEntry] = []
        size = 0
        for entry in self.log[first - self.snapshot.index - 1 :][:MOST_ENTRIES]:
            size += entry_bytes(entry)
            if found and size > MOST_BYTES:
                break
            found.append(entry)
        return tuple(found)

    def _advance(self) -> None:
        """What a majority has is committed, if it is of this term (the paper's 5.4.2)."""
        matches = [other.match for seat, other in self._others.items() if seat in self.voters]
        reached = self._most(matches, self.last_index)
        if reached > self.commit_index and self.term_at(reached) == self.term:
            self.commit_index = reached

    def _acknowledged(self, now: int, told: AppendResponse) -> None:
        if told.term > self.term:
            self._become_follower(now, told.term, "")
            return
        other = self._others.get(told.sender)
        if self.role is not Role.LEADER or told.term < self.term or other is None:
            return
        other.heard_at = now
        other.round = max(other.round, told.round)
        if told.success:
            other.match = max(other.match, told.match_index)
            other.resume = other.match + 1
            other.next = max(other.next, other.resume)
        elif told.match_index >= other.match:
            other.next = other.resume = min(told.match_index, self.last_index) + 1
        # Less than it has said to have is a late word, or a store put back from before: what was sent last is
        # sent again when its time has come, and not at each such word.
        self._advance()
        if self.replica_id not in self.voters and self.commit_index >= self._seats[-1][0]:
            self._become_follower(now, self.term, "")  # it has led until its own seat was gone

    # ---- a follower's side ----

    def receive(self, now: int, message: Message) -> None:
        """Take in one message.  Who may not vote makes no promise of any kind."""
        if isinstance(message, (AppendEntries, InstallSnapshot)) and message.term >= self.term:
            self._heard_at = now
        if not self.may_vote:
            if isinstance(message, (AppendEntries, InstallSnapshot)) and message.term >= self.term:
                self.leader = message.sender
            return
        match message:
            case VoteRequest():
                self._asked(now, message)
            case VoteResponse():
                self._answered(now, message)
            case AppendEntries():
                self._receive_entries(now, message)
            case AppendResponse():
                self._acknowledged(now, message)
            case InstallSnapshot():
                self._install(now, message)
            case TimeoutNow():
                if (
                    message.term == self.term
                    and self.replica_id in self.voters
                    and self.role is Role.FOLLOWER
                ):
                    self._stand(now, pre=False)

    def _receive_entries(self, now: int, told: AppendEntries) -> None:
        if told.term < self.term:
            self._out.append((told.sender, AppendResponse(self.replica_id, self.term, False, 0, 0)))
            return
        if self.role is Role.LEADER and told.term == self.term:
            raise LogBroken(f"{told.sender} leads term {self.term} too")
        self._become_follower(now, told.term, told.sender)
        mine = self.term_at(told.prev_index)
        if mine != told.prev_term:
            if told.prev_index <= self.snapshot.index:
                most = self.commit_index  # what is committed is the same everywhere
            elif mine is None:
                most = self.last_index
            else:
                most = told.prev_index - 1
            ok = False
            if told.prev_index < self.snapshot.index:
                ok = self._overlaps(told)
            if not ok:
                self._out.append(
                    (told.sender, AppendResponse(self.replica_id, self.term, False, most, told.round))
                )
                return
        for place, entry in enumerate(told.entries, told.prev_index + 1):
            if place <= self.snapshot.index:
                continue
            have = self.term_at(place)
            if have == entry.term:
                continue
            if have is not None:
                self._cut(place)
            self._take(place, entry)
        match = max(told.prev_index + len(told.entries), min(self.commit_index, told.commit_index))
        self.commit_index = max(self.commit_index, min(told.commit_index, match))
        self._out.append((told.sender, AppendResponse(self.replica_id, self.term, True, match, told.round)))

    def _overlaps(self, told: AppendEntries) -> bool:
        """Entries that reach past a snapshot of ours: all up to the snapshot is the same everywhere."""
        return told.prev_index + len(told.entries) > self.snapshot.index > 0 and told.prev_index > 0

    def _cut(self, place: int) -> None:
        """Entries from there on are another leader's, and were never committed."""
        if place <= self.commit_index:
            raise LogBroken(
                f"entry {place} of the log differs, and it is committed up to {self.commit_index}"
            )
        del self.log[place - self.snapshot.index - 1 :]
        self._first = place if self._first is None else min(self._first, place)
        while self._seats[-1][0] >= place and len(self._seats) > 1:
            self._seats.pop()

    def _take(self, place: int, entry: LogEntry) -> None:
        if place != self.last_index + 1:
            raise LogBroken(f"entry {place} after {self.last_index}")
        self.log.append(entry)
        self._first = place if self._first is None else min(self._first, place)
        if isinstance(entry.command, ReplaceVoters):
            self._seats.append((place, entry.command.seats))

    def _install(self, now: int, told: InstallSnapshot) -> None:
        if told.term < self.term:
            self._out.append((told.sender, AppendResponse(self.replica_id, self.term, False, 0, 0)))
            return
        self._become_follower(now, told.term, told.sender)
        if told.last_index > self.commit_index:
            same = self.term_at(told.last_index) == told.last_term
            rest = self.log[told.last_index - self.snapshot.index :] if same else []
            self.snapshot = Snapshot(told.last_index, told.last_term, told.voters, told.state)
            self.log = rest
            self.commit_index = told.last_index
            self.applied_index = told.last_index
            self.snapshot_installed = self._shorter = True
            self._first = told.last_index + 1
            self._seats = [
                (told.last_index, told.voters),
                *(s for s in self._seats if s[0] > told.last_index and same),
            ]
        match = max(told.last_index, 0)
        self._out.append((told.sender, AppendResponse(self.replica_id, self.term, True, match, told.round)))

    def compact(self, state: bytes) -> None:
        """Put the ledger as it is after the latest entry applied in place of all up to there."""
        index, term = self.applied_index, self.term_at(self.applied_index)
        if index == self.snapshot.index or term is None:
            return
        seats = next(seats for at, seats in reversed(self._seats) if at <= index)
        del self.log[: index - self.snapshot.index]
        self.snapshot = Snapshot(index, term, seats, state)
        self._seats = [(index, seats), *(item for item in self._seats if item[0] > index)]
        self._shorter = True


def entry_bytes(entry: LogEntry) -> int:
    """About the bytes that an entry takes on the wire."""
    return 48 + sum(len(item) for item in _texts(entry.command))


def _texts(command: Command) -> Iterator[str]:
    for name in command.__struct_fields__:
        value = getattr(command, name)
        if isinstance(value, str):
            yield value
        elif isinstance(value, tuple):
            yield "x" * (32 * len(value))
