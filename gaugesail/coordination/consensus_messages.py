"""Messages between replicas of the log (Raft).  ``sender`` is a replica id."""

from __future__ import annotations

from .log_commands import LogEntry
from .record import Record


class VoteRequest(Record, frozen=True, tag="Vote"):
    """Requests a vote; with ``pre_vote`` only whether the receiver would grant one."""

    sender: str
    term: int
    pre_vote: bool
    last_index: int
    last_term: int


class VoteResponse(Record, frozen=True, tag="Voted"):
    """Responds to a VoteRequest.  A refusal carries the voter's term."""

    sender: str
    term: int
    pre_vote: bool
    granted: bool


class AppendEntries(Record, frozen=True, tag="Append"):
    """Entries after ``prev_index``, none in a heartbeat; the response returns ``round``."""

    sender: str
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round: int


class AppendResponse(Record, frozen=True, tag="Appended"):
    """Responds to AppendEntries or InstallSnapshot.

    With ``success`` the sender's log matches the leader's up to ``match_index``, and is written; without it
    the logs match up to there at most.
    """

    sender: str
    term: int
    success: bool
    match_index: int
    round: int


class InstallSnapshot(Record, frozen=True, tag="Install"):
    """The state after entry ``last_index``; it replaces all entries up to it."""

    sender: str
    term: int
    last_index: int
    last_term: int
    voters: tuple[str, ...]
    state: bytes
    round: int


class TimeoutNow(Record, frozen=True, tag="Lead"):
    """Transfers leadership: the receiver starts an election at once."""

    sender: str
    term: int


ConsensusMessage = VoteRequest | VoteResponse | AppendEntries | AppendResponse | InstallSnapshot | TimeoutNow
