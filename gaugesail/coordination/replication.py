"""A leader's view of its followers: how much of the log each has, and which round it has acknowledged.

A round is a numbered heartbeat to all followers, who return the number in their responses.  Once a majority
has acknowledged a round, this leader still led when it began ("read index", section 6.4 of Ongaro's thesis).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .consensus_messages import AppendEntries, AppendResponse, InstallSnapshot
from .elections import ELECTION_TIMEOUT_US
from .raft_log import RaftLog

HEARTBEAT_US = 150_000
ROUND_US = 20_000  # minimum between two rounds; requests in between share the next one
RESEND_US = 300_000  # without a response to entries
RESEND_SNAPSHOT_US = 2_000_000  # longer, as a snapshot takes longer to arrive
QUORUM_TIMEOUT_US = 2 * ELECTION_TIMEOUT_US  # without a response, until a follower no longer counts


@dataclass(slots=True, eq=False)
class Progress:
    """One follower's progress.  Times are the leader's, in microseconds."""

    next_index: int
    resend_index: int  # first entry to resend if those in flight are not acknowledged
    last_response_at: int
    match_index: int = 0
    acknowledged_round: int = 0
    entries_sent_at: int = 0
    snapshot_sent_at: int | None = None

    def acknowledge(self, now: int, response: AppendResponse, last_index: int) -> None:
        """Process a response; ``last_index`` is the leader's.

        A rejection below what the follower has acknowledged before is late, or the follower's store was
        restored from a backup: entries in flight are resent after RESEND_US, not at each such response.
        """
        self.last_response_at = now
        self.acknowledged_round = max(self.acknowledged_round, response.round)
        if response.success:
            self.match_index = max(self.match_index, response.match_index)
            self.resend_index = self.match_index + 1
            self.next_index = max(self.next_index, self.resend_index)
        elif response.match_index >= self.match_index:
            self.resend_index = min(response.match_index, last_index) + 1
            self.next_index = self.resend_index

    def resend_if_lost(self, now: int) -> None:
        """Resend unacknowledged entries once they were sent more than RESEND_US ago."""
        if self.match_index < self.next_index - 1 and now - self.entries_sent_at > RESEND_US:
            self.next_index = self.resend_index


@dataclass(slots=True, frozen=True)
class Leadership:
    """The leader that sends: its replica id and term."""

    sender: str
    term: int


class Replication:
    """The followers' progress and the rounds of one leader."""

    def __init__(self) -> None:
        self.followers: dict[str, Progress] = {}
        self.round = 0
        self.heartbeat_at = 0  # latest time for the next round to begin
        self._round_started_at = -ROUND_US
        self._round_requested = False

    # ---- followers ----

    def track(self, now: int, replica_id: str, voters: Iterable[str], last_index: int) -> None:
        """Keep progress for all voters other than ``replica_id``, and drop that of former voters."""
        for voter in voters:
            if voter != replica_id:
                self.followers.setdefault(voter, Progress(last_index, last_index, last_response_at=now))
        self.followers = {voter: known for voter, known in self.followers.items() if voter in voters}

    def stop(self) -> None:
        """Drop all progress when leadership begins or ends."""
        self.followers = {}
        self._round_requested = False

    def match_index(self, voter: str) -> int:
        """Return the last index that a follower has; 0 if it is unknown."""
        progress = self.followers.get(voter)
        return 0 if progress is None else progress.match_index

    def last_response_at(self, voter: str) -> int | None:
        """Return when a follower responded last; None if it is unknown."""
        progress = self.followers.get(voter)
        return None if progress is None else progress.last_response_at

    def count_responsive(self, now: int) -> int:
        """Return how many followers have responded within QUORUM_TIMEOUT_US (thesis, 6.2)."""
        return sum(
            now - progress.last_response_at < QUORUM_TIMEOUT_US for progress in self.followers.values()
        )

    def match_indexes(self, voters: Iterable[str]) -> list[int]:
        """Return the last index that each follower among the voters has."""
        return [known.match_index for voter, known in self.followers.items() if voter in voters]

    def acknowledged_rounds(self, voters: Iterable[str]) -> list[int]:
        """Return the latest round that each follower among the voters has acknowledged."""
        return [known.acknowledged_round for voter, known in self.followers.items() if voter in voters]

    # ---- rounds ----

    def request_round(self) -> int:
        """Request a round; return its number."""
        self._round_requested = True
        return self.round + 1

    def begin_round(self, now: int) -> bool:
        """Begin a round if one is requested and due; return whether one began."""
        if not self._round_requested:
            return False
        due_at = self._round_started_at + ROUND_US
        if now < due_at:
            self.heartbeat_at = min(self.heartbeat_at, due_at)
            return False
        self._round_requested = False
        self.round += 1
        self._round_started_at = now
        self.heartbeat_at = now + HEARTBEAT_US
        return True

    # ---- messages ----

    def messages(
        self, now: int, leadership: Leadership, log: RaftLog
    ) -> list[tuple[str, AppendEntries | InstallSnapshot]]:
        """Return the messages due to each follower: new entries, and a heartbeat if a round begins."""
        heartbeat = self.begin_round(now)
        due: list[tuple[str, AppendEntries | InstallSnapshot]] = []
        for voter, progress in self.followers.items():
            progress.resend_if_lost(now)
            # A follower that waits for a snapshot gets heartbeats only, not a message after each response.
            has_entries = (
                progress.next_index <= log.last_index and log.term_at(progress.next_index - 1) is not None
            )
            if heartbeat or has_entries:
                due.append((voter, self._next_message(now, progress, leadership, log)))
        return due

    def _next_message(
        self, now: int, progress: Progress, leadership: Leadership, log: RaftLog
    ) -> AppendEntries | InstallSnapshot:
        sender = leadership.sender
        term = leadership.term
        previous_index = progress.next_index - 1
        previous_term = log.term_at(previous_index)
        if previous_term is None:
            sent_at = progress.snapshot_sent_at
            if sent_at is not None and now - sent_at <= RESEND_SNAPSHOT_US:
                # The snapshot is in flight: send heartbeats until it is acknowledged.
                return AppendEntries(sender, term, 0, 0, (), 0, self.round)
            progress.snapshot_sent_at = now
            kept = log.snapshot
            return InstallSnapshot(sender, term, kept.index, kept.term, kept.voters, kept.state, self.round)
        entries = log.entries_from(progress.next_index)
        if entries:
            progress.next_index += len(entries)
            progress.entries_sent_at = now
        return AppendEntries(
            sender, term, previous_index, previous_term, entries, log.commit_index, self.round
        )


def reached_by_quorum(values: list[int], quorum_size: int) -> int:
    """Return the largest value that ``quorum_size`` voters have reached; 0 if there are fewer."""
    if len(values) < quorum_size:
        return 0
    return sorted(values, reverse=True)[quorum_size - 1]
