"""One replica's Raft log: a snapshot, the entries after it, and the commit index.

The log also tracks the voters, by the latest entry that names them, and the changes that are not written to
the store yet.  Section numbers are those of the Raft paper (Ongaro, Ousterhout 2014).
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

from .log_commands import Command, LogEntry, ReplaceVoters

MAX_MESSAGE_ENTRIES = 64
MAX_MESSAGE_BYTES = 900  # a message fits one datagram, unless a single entry is larger
ENTRY_OVERHEAD_BYTES = 48
TUPLE_ITEM_BYTES = 32
COMPACT_AFTER_ENTRIES = 512


class RaftInvariant(Enum):
    """Invariants that hold while each store keeps what was written to it (the paper's figure 3)."""

    ELECTION_SAFETY = "a term has one leader"
    COMMITTED_ENTRIES_STAY = "a committed entry never changes"
    NO_GAPS = "entries follow each other without gaps"


class LogBroken(Exception):
    """An invariant of Raft is violated: a store has lost writes, and this replica must stop."""

    def __init__(self, invariant: RaftInvariant, detail: str) -> None:
        super().__init__(f"{invariant.value}: {detail}")
        self.invariant = invariant
        self.detail = detail


@dataclass(slots=True, frozen=True)
class Snapshot:
    """The state after entry ``index`` of term ``term``; it replaces all entries up to it (section 7)."""

    index: int = 0
    term: int = 0
    voters: tuple[str, ...] = ()
    state: bytes = b""


@dataclass(slots=True, frozen=True)
class LogChanges:
    """The changes of the log to write.

    ``entries`` replace all entries from ``first_index`` on; a ``snapshot`` replaces all up to its index.
    """

    first_index: int | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


class RaftLog:
    """One replica's log.  Indexes begin at 1."""

    def __init__(self, snapshot: Snapshot | None = None, entries: Iterable[LogEntry] = ()) -> None:
        self.snapshot = snapshot or Snapshot()
        self.entries = list(entries)
        self.commit_index = self.snapshot.index
        self.applied_index = self.snapshot.index
        self.snapshot_installed = False  # from the leader: the caller loads its state and resets this
        self._voters = [(self.snapshot.index, self.snapshot.voters)]  # with the index that set them
        for index, entry in enumerate(self.entries, self.snapshot.index + 1):
            self._note_voters(index, entry.command)
        self._first_unwritten: int | None = None
        self._snapshot_unwritten = False

    # ---- state ----

    @property
    def last_index(self) -> int:
        """The index of the latest entry, committed or not."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the latest entry; 0 if there is none."""
        return self.term_at(self.last_index) or 0

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters' replica ids, by the latest entry that names them, committed or not (section 6)."""
        return self._voters[-1][1]

    @property
    def voters_committed(self) -> bool:
        """Whether the latest entry that names the voters is committed."""
        return self._voters[-1][0] <= self.commit_index

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None if it is compacted or does not exist yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        return self.entries[position].term if 0 <= position < len(self.entries) else None

    def entries_from(self, first_index: int) -> tuple[LogEntry, ...]:
        """Return the entries from ``first_index`` on that fit one message, at least one if there is any."""
        selected: list[LogEntry] = []
        size = 0
        for entry in self.entries[first_index - self.snapshot.index - 1 :][:MAX_MESSAGE_ENTRIES]:
            size += entry_bytes(entry)
            if selected and size > MAX_MESSAGE_BYTES:
                break
            selected.append(entry)
        return tuple(selected)

    def drain_committed(self) -> Iterator[tuple[int, Command]]:
        """Yield index and command of each committed entry that is not applied yet; marks it as applied."""
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            yield self.applied_index, self.entries[self.applied_index - self.snapshot.index - 1].command

    # ---- the leader's side ----

    def append(self, entry: LogEntry) -> None:
        """Append an entry."""
        self.entries.append(entry)
        self._mark_unwritten(self.last_index)
        self._note_voters(self.last_index, entry.command)

    def compact(self, state: bytes) -> None:
        """Replace all applied entries by a snapshot; ``state`` is the state after the latest applied one."""
        index = self.applied_index
        term = self.term_at(index)
        if index == self.snapshot.index or term is None:
            return
        voters = next(voters for at, voters in reversed(self._voters) if at <= index)
        del self.entries[: index - self.snapshot.index]
        self.snapshot = Snapshot(index, term, voters, state)
        self._voters = [(index, voters), *(item for item in self._voters if item[0] > index)]
        self._snapshot_unwritten = True

    # ---- the follower's side ----

    def accepts(self, previous_index: int, previous_term: int, count: int) -> bool:
        """Whether ``count`` entries after ``previous_index`` continue this log.

        They do if the previous entry matches (5.3), or if they extend past the snapshot, up to which all
        logs are the same.
        """
        if self.term_at(previous_index) == previous_term:
            return True
        return 0 < previous_index < self.snapshot.index < previous_index + count

    def highest_possible_match(self, previous_index: int) -> int:
        """Return the last index at which this log may match a leader's that differs at ``previous_index``."""
        if previous_index <= self.snapshot.index:
            return self.commit_index  # committed entries are the same in all logs
        if self.term_at(previous_index) is None:
            return self.last_index
        return previous_index - 1

    def merge(self, previous_index: int, entries: Sequence[LogEntry]) -> None:
        """Merge a leader's entries; conflicting entries and all that follow them are removed (5.3).

        Raises LogBroken if a committed entry differs, or if the entries leave a gap.
        """
        for index, entry in enumerate(entries, previous_index + 1):
            if index <= self.snapshot.index:
                continue
            known_term = self.term_at(index)
            if known_term == entry.term:
                continue
            if known_term is not None:
                self._truncate_from(index)
            if index != self.last_index + 1:
                raise LogBroken(
                    RaftInvariant.NO_GAPS, f"received entry {index} after entry {self.last_index}"
                )
            self.append(entry)

    def install(self, snapshot: Snapshot) -> None:
        """Replace all entries up to a leader's snapshot, unless its index is committed here."""
        index = snapshot.index
        if index <= self.commit_index:
            return
        keeps_rest = self.term_at(index) == snapshot.term
        rest = self.entries[index - self.snapshot.index :] if keeps_rest else []
        later_voters = [item for item in self._voters if item[0] > index and keeps_rest]
        self.snapshot = snapshot
        self.entries = rest
        self.commit_index = index
        self.applied_index = index
        self._voters = [(index, snapshot.voters), *later_voters]
        self.snapshot_installed = True
        self._snapshot_unwritten = True
        self._first_unwritten = index + 1

    def _truncate_from(self, index: int) -> None:
        """Remove the uncommitted entries from ``index`` on; raises LogBroken if one is committed."""
        if index <= self.commit_index:
            detail = f"received another entry {index}, but the log is committed up to {self.commit_index}"
            raise LogBroken(RaftInvariant.COMMITTED_ENTRIES_STAY, detail)
        del self.entries[index - self.snapshot.index - 1 :]
        self._mark_unwritten(index)
        while self._voters[-1][0] >= index and len(self._voters) > 1:
            self._voters.pop()

    def _note_voters(self, index: int, command: Command) -> None:
        if isinstance(command, ReplaceVoters):
            self._voters.append((index, command.voters))

    # ---- unwritten changes ----

    @property
    def has_changes(self) -> bool:
        """Whether there are changes that are not written."""
        return self._snapshot_unwritten or self._first_unwritten is not None

    def drain_changes(self) -> LogChanges:
        """Return the changes since the last call."""
        first_index = self._first_unwritten
        entries: tuple[LogEntry, ...] = ()
        if first_index is not None:
            first_index = max(first_index, self.snapshot.index + 1)
            entries = tuple(self.entries[first_index - self.snapshot.index - 1 :])
        changes = LogChanges(first_index, entries, self.snapshot if self._snapshot_unwritten else None)
        self._first_unwritten = None
        self._snapshot_unwritten = False
        return changes

    def _mark_unwritten(self, index: int) -> None:
        if self._first_unwritten is None or index < self._first_unwritten:
            self._first_unwritten = index


def entry_bytes(entry: LogEntry) -> int:
    """Estimate the bytes that an entry takes on the wire."""
    size = ENTRY_OVERHEAD_BYTES
    for name in entry.command.__struct_fields__:
        value = getattr(entry.command, name)
        if isinstance(value, str):
            size += len(value)
        elif isinstance(value, tuple):
            size += TUPLE_ITEM_BYTES * len(value)
    return size
