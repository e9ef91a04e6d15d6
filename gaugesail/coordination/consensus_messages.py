"""What replicas of the log say to each other (Raft)."""

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
    sender: str
    term: int
    pre_vote: bool
    granted: bool


class AppendEntries(Record, frozen=True, tag="Append"):
    """Entries after ``prev_index``, and a sign of life; ``round`` comes back with the answer."""

    sender: str
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round: int


class AppendResponse(Record, frozen=True, tag="Appended"):
    """``match``: all up to there is the leader's, and kept; where not ``ok``, what the sender has at most."""

    sender: str
    term: int
    success: bool
    match_index: int
    round: int


class InstallSnapshot(Record, frozen=True, tag="Install"):
    """The ledger as it stood after entry ``index``, in place of all entries up to there."""

    sender: str
    term: int
    last_index: int
    last_term: int
    voters: tuple[str, ...]
    state: bytes
    round: int


class TimeoutNow(Record, frozen=True, tag="Lead"):
    """The leader goes: the one that is told stands for election at once."""

    sender: str
    term: int


ConsensusMessage = VoteRequest | VoteResponse | AppendEntries | AppendResponse | InstallSnapshot | TimeoutNow
