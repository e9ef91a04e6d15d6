"""The rules of Raft's elections: a replica's role, its timeout, and which votes it grants.

In references to sections, "thesis" is Ongaro's (2014) and "paper" is the Raft paper by Ongaro and Ousterhout
(2014).
"""

from __future__ import annotations

import random
from enum import Enum

from .consensus_messages import VoteRequest

ELECTION_TIMEOUT_US = 1_000_000  # least time without a message of a leader; drawn up to twice as long


class Role(Enum):
    """A replica's role in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"  # finds out whether it would be elected (thesis, 9.6)
    CANDIDATE = "candidate"
    LEADER = "leader"


def draw_election_timeout_us(rng: random.Random) -> int:
    """Return how long a follower waits for a leader: random, to avoid split votes (paper, 5.2)."""
    return ELECTION_TIMEOUT_US + int(ELECTION_TIMEOUT_US * rng.random())


def is_up_to_date(request: VoteRequest, last_term: int, last_index: int) -> bool:
    """Whether a candidate has all entries that may be committed (paper, 5.4.1).

    ``last_term`` and ``last_index`` are those of the voter's latest entry.
    """
    return (request.last_term, request.last_index) >= (last_term, last_index)


def grants_pre_vote(request: VoteRequest, term: int, has_leader: bool, up_to_date: bool) -> bool:
    """Whether a replica in ``term`` would vote: never while it has a leader (thesis, 9.6)."""
    return request.term > term and not has_leader and up_to_date


def grants_vote(request: VoteRequest, term: int, voted_for: str, up_to_date: bool) -> bool:
    """Whether a replica in ``term`` votes for a candidate: at most one in each term (paper, 5.2)."""
    return request.term == term and voted_for in ("", request.sender) and up_to_date
