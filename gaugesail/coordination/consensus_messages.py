"""What replicas of the log say to each other (Raft).  ``sender`` is a replica id."""

from __future__ import annotations

from .log_commands import LogEntry
from .record import Record


class VoteRequest(Record, frozen=True, tag="Vote"):
    """Asks for a vote; ``pre`` asks only whether there would be one."""

    sender: str
    term: int
    pre_vote: bool
    last_index: int
    last_term: int


class VoteResponse(Record, frozen=True, tag="Voted"):
    """Answers a VoteRequest.  A refusal tells the voter's term."""

    sender: str
    term: int
    pre_vote: bool
    granted: bool


class AppendEntries(Record, frozen=True, tag="Append"):
    """Entries after ``prev_index``, or a heartbeat without any; ``round`` comes back with the answer."""

    sender: str
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round: int


class AppendResponse(Record, frozen=True, tag="Appended"):
    """Answers AppendEntries or InstallSnapshot.

    With ``success`` all up to ``match_index`` is the leader's and written; without, the sender has no more
    than up to there in common with it.
    """

    sender: str
    term: int
    success: bool
    match_index: int
    round: int


class InstallSnapshot(Record, frozen=True, tag="Install"):
    """The state after entry ``last_index``, in place of all entries up to there."""

    sender: str
    term: int
    last_index: int
    last_term: int
    voters: tuple[str, ...]
    state: bytes
    round: int


class TimeoutNow(Record, frozen=True, tag="Lead"):
    """The leader hands over: the receiver stands for election at once."""

    sender: str
    term: int


ConsensusMessage = VoteRequest | VoteResponse | AppendEntries | AppendResponse | InstallSnapshot | TimeoutNow
