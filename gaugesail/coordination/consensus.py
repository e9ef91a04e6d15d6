"""One replica of the log: Raft (Ongaro, Ousterhout 2014) without I/O and without a clock of its own.

It includes pre-votes (Ongaro's thesis, 9.6), a leader that steps down when no majority responds (thesis,
6.2), single-voter membership changes (thesis, 4.1, after an entry of the leader's own term), and confirmed
rounds ("read index"; thesis, 6.4), on which leases rest.  A replica persists each promise before it sends it:
the caller completes the write of ``pop_write`` before it sends ``drain_messages``.  The same calls return the
same results.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from .consensus_messages import (
    AppendEntries,
    AppendResponse,
    InstallSnapshot,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)
from .elections import (
    ELECTION_TIMEOUT_US,
    Role,
    draw_election_timeout_us,
    grants_pre_vote,
    grants_vote,
    is_up_to_date,
)
from .log_commands import Command, LogEntry, Noop, ReplaceVoters
from .messages import Message
from .raft_log import LogBroken, RaftInvariant, RaftLog, Snapshot
from .replication import Leadership, Replication, reached_by_quorum


@dataclass(slots=True)
class RaftWrite:
    """The changes to write atomically before any message is sent.

    ``entries`` replace all entries from ``first_index`` on; a ``snapshot`` replaces all up to its index.
    """

    term: int
    voted_for: str
    first_index: int | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


class RaftNode:
    """One replica.  Times are in microseconds of the caller's clock.

    ``may_vote``: its store is confirmed to be the latest, and accepts writes.
    """

    def __init__(
        self,
        replica_id: str,
        rng: random.Random,
        now: int,
        term: int = 0,
        voted_for: str = "",
        log: RaftLog | None = None,
        may_vote: bool = False,
    ) -> None:
        self.replica_id = replica_id
        self.term = term
        self.voted_for = voted_for  # replica id, in this term
        self.log = log or RaftLog()
        self.may_vote = may_vote
        self.role = Role.FOLLOWER
        self.leader = ""  # replica id; empty if unknown
        self.replication = Replication()
        self._rng = rng
        self._messages: list[tuple[str, Message]] = []
        self._votes: set[str] = set()
        self._vote_unwritten = False  # the term or the vote
        self._term_start_index = 0  # index of the first entry of this leader's term
        self._leader_contact_at = now - ELECTION_TIMEOUT_US  # of the latest message
        self._election_at = 0
        self._restart_election_timer(now)

    # ---- state ----

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters' replica ids, by the log."""
        return self.log.voters

    @property
    def is_voter(self) -> bool:
        """Whether this replica is one of the voters."""
        return self.replica_id in self.voters

    @property
    def quorum_size(self) -> int:
        """The number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    @property
    def serving(self) -> bool:
        """Whether it leads with an entry of its own term committed, and so knows all committed entries."""
        return self.role is Role.LEADER and self.log.commit_index >= self._term_start_index

    @property
    def next_at(self) -> int:
        """When ``tick`` is due next."""
        return self.replication.heartbeat_at if self.role is Role.LEADER else self._election_at

    @property
    def confirmed_round(self) -> int:
        """The latest round that a majority has acknowledged in this term."""
        return self._reached_by_quorum(
            self.replication.acknowledged_rounds(self.voters), self.replication.round
        )

    def _reached_by_quorum(self, followers: list[int], own: int) -> int:
        values = [*followers, own] if self.is_voter else followers
        return reached_by_quorum(values, self.quorum_size)

    # ---- pending writes and messages ----

    def pop_write(self) -> RaftWrite | None:
        """Return the write to complete before any message is sent; None if nothing has changed."""
        if not self._vote_unwritten and not self.log.has_changes:
            return None
        changes = self.log.drain_changes()
        self._vote_unwritten = False
        return RaftWrite(self.term, self.voted_for, changes.first_index, changes.entries, changes.snapshot)

    def drain_messages(self) -> list[tuple[str, Message]]:
        """Return and remove the pending messages, each with its receiver's replica id."""
        messages = self._messages
        self._messages = []
        return messages

    def _send(self, to: str, message: Message) -> None:
        self._messages.append((to, message))

    # ---- time ----

    def tick(self, now: int) -> None:
        """As leader request a heartbeat or step down; otherwise start an election after the timeout."""
        if self.role is Role.LEADER:
            if now >= self.replication.heartbeat_at:
                self._heartbeat_or_step_down(now)
        elif now >= self._election_at:
            self._restart_election_timer(now)
            if self.may_vote and self.is_voter:
                self._start_election(now, pre_vote=True)

    def _heartbeat_or_step_down(self, now: int) -> None:
        """Step down if no majority responds, as it may have elected another leader (thesis, 6.2)."""
        if self.replication.count_responsive(now) + self.is_voter < self.quorum_size:
            self._become_follower(now, self.term, "")
        else:
            self.replication.request_round()

    def _restart_election_timer(self, now: int) -> None:
        self._election_at = now + draw_election_timeout_us(self._rng)

    # ---- elections ----

    def _start_election(self, now: int, pre_vote: bool) -> None:
        """Request votes, or pre-votes first, so that an isolated replica does not disrupt the leader."""
        self.role = Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE
        self.leader = ""
        term = self.term + 1
        if not pre_vote:
            self._enter_term(term, self.replica_id)
        self._votes = {self.replica_id}
        request = VoteRequest(self.replica_id, term, pre_vote, self.log.last_index, self.log.last_term)
        for voter in self.voters:
            if voter != self.replica_id:
                self._send(voter, request)
        self._count_votes(now)

    def _enter_term(self, term: int, voted_for: str = "") -> None:
        self.term = term
        self.voted_for = voted_for
        self._vote_unwritten = True

    def _count_votes(self, now: int) -> None:
        if len(self._votes & set(self.voters)) < self.quorum_size:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(now, pre_vote=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: int) -> None:
        self.role = Role.LEADER
        self.leader = self.replica_id
        self.replication.stop()
        self._term_start_index = self.log.last_index + 1
        self._append(Noop())
        self._track_followers(now)
        self.replication.request_round()

    def _become_follower(self, now: int, term: int, leader: str) -> None:
        if term > self.term:
            self._enter_term(term)
        if self.role is Role.LEADER or leader:
            self._restart_election_timer(now)
        self.role = Role.FOLLOWER
        self.leader = leader
        self._votes = set()
        self.replication.stop()

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        return is_up_to_date(request, self.log.last_term, self.log.last_index)

    def _receive_vote_request(self, now: int, request: VoteRequest) -> None:
        if request.pre_vote:
            self._respond_to_pre_vote(now, request)
            return
        if request.term > self.term:
            self._become_follower(now, request.term, "")
        granted = grants_vote(request, self.term, self.voted_for, self._is_up_to_date(request))
        if granted and not self.voted_for:
            self._enter_term(self.term, request.sender)
            self._restart_election_timer(now)
        self._send(request.sender, VoteResponse(self.replica_id, self.term, False, granted))

    def _respond_to_pre_vote(self, now: int, request: VoteRequest) -> None:
        has_leader = self.role is Role.LEADER or now - self._leader_contact_at < ELECTION_TIMEOUT_US
        granted = grants_pre_vote(request, self.term, has_leader, self._is_up_to_date(request))
        # A refusal carries this term: otherwise a candidate with the longer log but an older term could never
        # win.
        term = request.term if granted else self.term
        self._send(request.sender, VoteResponse(self.replica_id, term, True, granted))

    def _receive_vote_response(self, now: int, response: VoteResponse) -> None:
        if response.pre_vote and response.granted:
            counts = self.role is Role.PRE_CANDIDATE and response.term == self.term + 1
        else:
            if response.term > self.term:
                self._become_follower(now, response.term, "")
            counts = not response.pre_vote and self.role is Role.CANDIDATE and response.term == self.term
        if counts and response.granted:
            self._votes.add(response.sender)
            self._count_votes(now)

    def _receive_timeout_now(self, now: int, message: TimeoutNow) -> None:
        """Start an election at once: the leader transfers leadership (thesis, 3.10)."""
        if message.term == self.term and self.is_voter and self.role is Role.FOLLOWER:
            self._start_election(now, pre_vote=False)

    # ---- the leader's side ----

    def propose(self, command: Command) -> int | None:
        """Append a command to the log; return its index, or None if this replica does not lead."""
        if self.role is not Role.LEADER:
            return None
        self._append(command)
        return self.log.last_index

    def replace_voters(self, now: int, voters: Iterable[str]) -> int | None:
        """Add or remove one voter, once the previous change is committed (thesis, 4.1).

        Returns the index of the entry, or None if the change is not allowed now.
        """
        new_voters = tuple(sorted(voters))
        one_change = len(set(new_voters) ^ set(self.voters)) == 1
        if not self.serving or not self.log.voters_committed or not one_change or not new_voters:
            return None
        index = self.propose(ReplaceVoters(new_voters))
        self._track_followers(now)
        return index

    def request_round(self) -> int:
        """Request a round; return its number.

        Once ``confirmed_round`` reaches it, this replica was still the leader after this call.
        """
        return self.replication.request_round()

    def transfer_leadership(self, voter: str) -> None:
        """Make a follower that has all entries start an election at once (thesis, 3.10)."""
        progress = self.replication.followers.get(voter)
        if self.role is not Role.LEADER or progress is None:
            return
        if progress.match_index == self.log.last_index:
            self._send(voter, TimeoutNow(self.replica_id, self.term))

    def flush(self, now: int) -> None:
        """End a step: send new entries, and a heartbeat if a round is requested."""
        if self.role is not Role.LEADER:
            return
        self._messages += self.replication.messages(now, Leadership(self.replica_id, self.term), self.log)
        self._advance_commit_index()

    def _append(self, command: Command) -> None:
        self.log.append(LogEntry(self.term, command))

    def _track_followers(self, now: int) -> None:
        self.replication.track(now, self.replica_id, self.voters, self.log.last_index)

    def _advance_commit_index(self) -> None:
        """Commit the entries that a majority has, if the last is of this term (paper, 5.4.2)."""
        matches = self.replication.match_indexes(self.voters)
        reached = self._reached_by_quorum(matches, self.log.last_index)
        if reached > self.log.commit_index and self.log.term_at(reached) == self.term:
            self.log.commit_index = reached

    def _receive_append_response(self, now: int, response: AppendResponse) -> None:
        if response.term > self.term:
            self._become_follower(now, response.term, "")
            return
        progress = self.replication.followers.get(response.sender)
        if self.role is not Role.LEADER or response.term < self.term or progress is None:
            return
        progress.acknowledge(now, response, self.log.last_index)
        self._advance_commit_index()
        if not self.is_voter and self.log.voters_committed:
            # It leads until its own removal is committed (thesis, 4.2.2).
            self._become_follower(now, self.term, "")

    # ---- the follower's side ----

    def receive(self, now: int, message: Message) -> None:
        """Process one message.  A replica that may not vote only notes the leader, and promises nothing.

        Raises LogBroken if the message shows that an invariant of Raft is violated.
        """
        if isinstance(message, (AppendEntries, InstallSnapshot)) and message.term >= self.term:
            self._leader_contact_at = now
            if not self.may_vote:
                self.leader = message.sender
        if not self.may_vote:
            return
        match message:
            case VoteRequest():
                self._receive_vote_request(now, message)
            case VoteResponse():
                self._receive_vote_response(now, message)
            case AppendEntries():
                self._receive_entries(now, message)
            case AppendResponse():
                self._receive_append_response(now, message)
            case InstallSnapshot():
                self._receive_snapshot(now, message)
            case TimeoutNow():
                self._receive_timeout_now(now, message)

    def _receive_entries(self, now: int, message: AppendEntries) -> None:
        if not self._accept_leader(now, message):
            return
        log = self.log
        if not log.accepts(message.prev_index, message.prev_term, len(message.entries)):
            self._respond_to_leader(message, False, log.highest_possible_match(message.prev_index))
            return
        log.merge(message.prev_index, message.entries)
        match_index = max(
            message.prev_index + len(message.entries), min(log.commit_index, message.commit_index)
        )
        log.commit_index = max(log.commit_index, min(message.commit_index, match_index))
        self._respond_to_leader(message, True, match_index)

    def _receive_snapshot(self, now: int, message: InstallSnapshot) -> None:
        if not self._accept_leader(now, message):
            return
        snapshot = Snapshot(message.last_index, message.last_term, message.voters, message.state)
        self.log.install(snapshot)
        self._respond_to_leader(message, True, max(message.last_index, 0))

    def _accept_leader(self, now: int, message: AppendEntries | InstallSnapshot) -> bool:
        """Follow the sender unless its term is outdated; in that case respond with the current term."""
        if message.term < self.term:
            response = AppendResponse(self.replica_id, self.term, False, 0, 0)
            self._send(message.sender, response)
            return False
        leads_same_term = self.role is Role.LEADER and message.term == self.term
        if leads_same_term and isinstance(message, AppendEntries):
            raise LogBroken(RaftInvariant.ELECTION_SAFETY, f"{message.sender} also leads term {self.term}")
        self._become_follower(now, message.term, message.sender)
        return True

    def _respond_to_leader(
        self, message: AppendEntries | InstallSnapshot, success: bool, match_index: int
    ) -> None:
        response = AppendResponse(self.replica_id, self.term, success, match_index, message.round)
        self._send(message.sender, response)
