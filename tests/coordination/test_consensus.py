"""Raft's rules by example: votes, terms, entries, voters, snapshots and confirmed rounds."""

from __future__ import annotations

import random

import pytest

from gaugesail.coordination import messages as m
from gaugesail.coordination.consensus import RaftNode
from gaugesail.coordination.elections import ELECTION_TIMEOUT_US, Role
from gaugesail.coordination.fleet_terms import FleetTerms
from gaugesail.coordination.notices import Notice
from gaugesail.coordination.raft_log import LogBroken, RaftInvariant, RaftLog, Snapshot
from gaugesail.coordination.replica import Replica

VOTERS = ("a#1", "b#1", "c#1")
SECOND = 1_000_000


class Cluster:
    """Replicas and their messages; ``deliver`` exchanges them, except with those in ``cut_off``."""

    def __init__(self, voters: tuple[str, ...] = VOTERS) -> None:
        self.now = 10 * SECOND
        self.replicas = {replica_id: self.make(replica_id, Snapshot(0, 0, voters)) for replica_id in voters}
        self.cut_off: set[str] = set()

    def make(self, replica_id: str, snapshot: Snapshot, term: int = 0, vote: str = "") -> RaftNode:
        return RaftNode(
            replica_id, random.Random(replica_id), self.now, term, vote, RaftLog(snapshot), may_vote=True
        )

    def deliver(self, rounds: int = 16) -> None:
        for _ in range(rounds):
            self.now += 25_000
            for replica_id, replica in self.replicas.items():
                if replica.role is Role.LEADER:
                    replica.tick(self.now)
                replica.flush(self.now)
                replica.pop_write()
                for to, message in replica.drain_messages():
                    if to in self.replicas and not {replica_id, to} & self.cut_off:
                        self.replicas[to].receive(self.now, message)

    def elect(self, replica_id: str = "a#1") -> RaftNode:
        """Make a replica win an election, and return it."""
        self.now += 3 * ELECTION_TIMEOUT_US
        self.replicas[replica_id].tick(self.now)
        self.deliver()
        assert self.replicas[replica_id].serving
        return self.replicas[replica_id]


def test_a_leader_is_elected_and_its_entries_are_committed_everywhere() -> None:
    cluster = Cluster()
    a = cluster.elect()
    index = a.propose(m.CloseSession(7))
    cluster.deliver()
    assert all(replica.log.commit_index >= index for replica in cluster.replicas.values() if index)
    assert {replica.leader for replica in cluster.replicas.values()} == {"a#1"}
    assert [command for _, command in cluster.replicas["c#1"].log.drain_committed()][-1] == m.CloseSession(7)


def test_a_replica_votes_once_a_term_and_for_no_candidate_that_lacks_entries() -> None:
    cluster = Cluster()
    cluster.elect().propose(m.CloseSession(1))
    cluster.deliver()
    b = cluster.replicas["b#1"]
    b.receive(cluster.now, m.VoteRequest("c#1", 9, False, 0, 0))
    (_, response), *_ = [item for item in b.drain_messages() if isinstance(item[1], m.VoteResponse)]
    assert isinstance(response, m.VoteResponse) and not response.granted, "its log is shorter"
    b.receive(cluster.now, m.VoteRequest("c#1", 9, False, b.log.last_index, 9))
    b.receive(cluster.now, m.VoteRequest("a#1", 9, False, b.log.last_index, 9))
    granted = [message.granted for _, message in b.drain_messages() if isinstance(message, m.VoteResponse)]
    assert granted == [True, False] and b.voted_for == "c#1"
    write = b.pop_write()
    assert write is not None and (write.term, write.voted_for) == (9, "c#1"), "persisted before it is sent"


def test_a_replica_that_may_not_vote_starts_no_election() -> None:
    cluster = Cluster()
    a = cluster.replicas["a#1"]
    a.may_vote = False
    a.tick(cluster.now + 5 * ELECTION_TIMEOUT_US)
    assert a.role is Role.FOLLOWER and not a.drain_messages()


def test_a_leader_without_responses_of_a_majority_steps_down() -> None:
    cluster = Cluster()
    a = cluster.elect()
    cluster.cut_off = {"a#1"}
    for _ in range(40):
        cluster.now += 100_000
        a.tick(cluster.now)
        cluster.deliver(1)
    assert a.role is not Role.LEADER and not a.serving


def test_a_round_is_confirmed_by_a_majority_that_acknowledges_it_after_it_began() -> None:
    cluster = Cluster()
    a = cluster.elect()
    cluster.cut_off = {"a#1"}
    number = a.request_round()
    cluster.deliver()
    assert a.confirmed_round < number
    cluster.cut_off = {"c#1"}
    a.request_round()
    cluster.deliver()
    assert a.confirmed_round >= number


def test_entries_of_a_leader_that_was_cut_off_are_replaced() -> None:
    cluster = Cluster()
    a = cluster.elect()
    cluster.cut_off = {"a#1"}
    a.propose(m.CloseSession(1))
    a.flush(cluster.now)
    cluster.now += 3 * ELECTION_TIMEOUT_US
    cluster.replicas["b#1"].tick(cluster.now)
    cluster.deliver()
    b = cluster.replicas["b#1"]
    assert b.serving and b.term > a.term
    b.propose(m.CloseSession(2))
    cluster.cut_off = set()
    cluster.deliver(30)
    assert a.role is Role.FOLLOWER
    applied = [command for _, command in a.log.drain_committed()]
    assert m.CloseSession(2) in applied and m.CloseSession(1) not in applied


def test_a_committed_entry_that_differs_raises() -> None:
    cluster = Cluster()
    cluster.elect().propose(m.CloseSession(1))
    cluster.deliver()
    b = cluster.replicas["b#1"]
    entries = (m.LogEntry(b.term + 1, m.CloseSession(9)),)
    with pytest.raises(LogBroken) as broken:
        b.receive(cluster.now, m.AppendEntries("c#1", b.term + 1, 0, 0, entries, 0, 1))
    assert broken.value.invariant is RaftInvariant.COMMITTED_ENTRIES_STAY


def test_a_leader_of_an_older_term_is_sent_the_current_term_and_changes_nothing() -> None:
    cluster = Cluster()
    cluster.elect()
    b = cluster.replicas["b#1"]
    b.receive(cluster.now, m.VoteRequest("c#1", 9, False, 99, 9))
    b.drain_messages()
    before = b.log.last_index, b.log.commit_index
    b.receive(
        cluster.now,
        m.AppendEntries(
            "a#1", 1, b.log.last_index, 1, (m.LogEntry(1, m.CloseSession(1)),), b.log.last_index + 1, 1
        ),
    )
    (_, message), *_ = b.drain_messages()
    assert isinstance(message, m.AppendResponse) and not message.success and message.term == 9
    assert (b.log.last_index, b.log.commit_index) == before


def test_a_candidate_with_the_longer_log_and_an_older_term_learns_the_term_and_is_elected() -> None:
    cluster = Cluster()
    a = cluster.elect()
    cluster.cut_off = {"b#1", "c#1"}
    for replica_id in ("b#1", "c#1"):
        cluster.replicas[replica_id]._enter_term(a.term + 5)
    cluster.cut_off = set()
    a._become_follower(cluster.now, a.term, "")
    a._append(m.CloseSession(1))
    for _ in range(6):
        cluster.now += 2 * ELECTION_TIMEOUT_US
        a.tick(cluster.now)
        cluster.deliver()
    assert a.serving


def test_voters_change_one_at_a_time_and_not_before_the_last_change_is_committed() -> None:
    cluster = Cluster()
    a = cluster.elect()
    assert a.replace_voters(cluster.now, {"a#1", "b#1", "c#2"}) is None, "that is two changes"
    assert a.replace_voters(cluster.now, {"a#1", "b#1"}) is not None
    assert a.replace_voters(cluster.now, {"a#1", "b#1", "c#2"}) is None, "the first is not committed"
    cluster.deliver()
    assert a.replace_voters(cluster.now, {"a#1", "b#1", "c#2"}) is not None
    cluster.replicas["c#2"] = cluster.make("c#2", Snapshot())
    cluster.deliver(30)
    assert cluster.replicas["c#2"].log.commit_index == a.log.commit_index
    assert a.voters == ("a#1", "b#1", "c#2")


def test_a_log_is_compacted_and_a_follower_behind_it_gets_the_snapshot() -> None:
    cluster = Cluster()
    a = cluster.elect()
    cluster.cut_off = {"c#1"}
    for n in range(20):
        a.propose(m.CloseSession(n))
        cluster.deliver(2)
    assert list(a.log.drain_committed())
    a.log.compact(b"the ledger")
    assert not a.log.entries and a.log.snapshot.state == b"the ledger"
    cluster.cut_off = set()
    for _ in range(30):
        cluster.now += 200_000
        a.tick(cluster.now)
        cluster.deliver(2)
    c = cluster.replicas["c#1"]
    assert (
        c.log.snapshot_installed
        and c.log.snapshot.state == b"the ledger"
        and c.log.commit_index == a.log.commit_index
    )


def test_a_single_replica_leads_and_responds_to_operators_commands() -> None:
    cluster = Cluster(("a#1",))
    raft = cluster.replicas["a#1"]
    replica = Replica(FleetTerms("f", ("a",)), "d", "f", raft, 0)
    replica.receive_command("x", m.OperatorCommand(1, m.ForgetGateway("h")), "")
    assert replica.drain_messages()[-1] == ("x", m.OperatorCommandResult(1, False, "the leader is not known"))
    cluster.now += 3 * ELECTION_TIMEOUT_US
    raft.tick(cluster.now)
    replica.process(cluster.now)
    assert replica.lease_manager is not None and Notice("became_leader", {"term": 1}) in replica.notices
    raft.propose(m.OpenSession("h", 5, "store"))
    replica.process(cluster.now)
    replica.receive_command("x", m.OperatorCommand(2, m.ForgetGateway("h")), "a")
    replica.receive_command("x", m.OperatorCommand(3, m.ForgetGateway("g")), "a")
    raft.propose(m.CloseSession(next(iter(replica.ledger.sessions))))
    replica.process(cluster.now)
    replica.receive_command("x", m.OperatorCommand(4, m.ForgetGateway("h")), "a")
    replica.process(cluster.now)
    results = {
        result.number: result.done
        for _, result in replica.drain_messages()
        if isinstance(result, m.OperatorCommandResult)
    }
    assert results == {2: False, 3: True, 4: True} and not replica.ledger.floor_slots
    assert set(replica.view(cluster.now)) == {"settled", "version", "wholes", "slots", "sessions", "amounts"}
