"""The log's rules by example: votes, terms, entries, seats, snapshots, confirmed rounds."""

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

SEATS = ("a#1", "b#1", "c#1")
SECOND = 1_000_000


class Three:
    """Three keepers and what they say to each other, delivered when the test says so."""

    def __init__(self, seats: tuple[str, ...] = SEATS) -> None:
        self.now = 10 * SECOND
        self.all = {seat: self.make(seat, Snapshot(0, 0, seats)) for seat in seats}
        self.deaf: set[str] = set()

    def make(self, seat: str, snapshot: Snapshot, term: int = 0, vote: str = "") -> RaftNode:
        return RaftNode(seat, random.Random(seat), self.now, term, vote, RaftLog(snapshot), may_vote=True)

    def talk(self, rounds: int = 16) -> None:
        for _ in range(rounds):
            self.now += 25_000
            for seat, one in self.all.items():
                if one.role is Role.LEADER:
                    one.tick(self.now)
                one.flush(self.now)
                one.take_write()
                for to, said in one.take_messages():
                    if to in self.all and not {seat, to} & self.deaf:
                        self.all[to].receive(self.now, said)

    def lead(self, seat: str = "a#1") -> RaftNode:
        """Let one be elected."""
        self.now += 3 * ELECTION_TIMEOUT_US
        self.all[seat].tick(self.now)
        self.talk()
        assert self.all[seat].serving
        return self.all[seat]


def test_one_is_elected_and_what_it_puts_is_committed_everywhere() -> None:
    three = Three()
    a = three.lead()
    index = a.propose(m.CloseSession(7))
    three.talk()
    assert all(one.log.commit_index >= index for one in three.all.values() if index)
    assert {one.leader for one in three.all.values()} == {"a#1"}
    assert [command for _, command in three.all["c#1"].log.take_committed()][-1] == m.CloseSession(7)


def test_a_keeper_votes_once_a_term_and_for_nobody_who_lacks_entries() -> None:
    three = Three()
    three.lead().propose(m.CloseSession(1))
    three.talk()
    b = three.all["b#1"]
    b.receive(three.now, m.VoteRequest("c#1", 9, False, 0, 0))
    (_, short), *_ = [item for item in b.take_messages() if isinstance(item[1], m.VoteResponse)]
    assert isinstance(short, m.VoteResponse) and not short.granted, "its log is shorter"
    b.receive(three.now, m.VoteRequest("c#1", 9, False, b.log.last_index, 9))
    b.receive(three.now, m.VoteRequest("a#1", 9, False, b.log.last_index, 9))
    granted = [said.granted for _, said in b.take_messages() if isinstance(said, m.VoteResponse)]
    assert granted == [True, False] and b.voted_for == "c#1"
    save = b.take_write()
    assert save is not None and (save.term, save.voted_for) == (9, "c#1"), "kept before it is said"


def test_who_may_not_vote_stands_for_nothing() -> None:
    three = Three()
    a = three.all["a#1"]
    a.may_vote = False
    a.tick(three.now + 5 * ELECTION_TIMEOUT_US)
    assert a.role is Role.FOLLOWER and not a.take_messages()


def test_a_leader_that_hears_of_no_majority_steps_down() -> None:
    three = Three()
    a = three.lead()
    three.deaf = {"a#1"}
    for _ in range(40):
        three.now += 100_000
        a.tick(three.now)
        three.talk(1)
    assert a.role is not Role.LEADER and not a.serving


def test_a_round_is_confirmed_by_a_majority_that_heard_it_after_it_began() -> None:
    three = Three()
    a = three.lead()
    three.deaf = {"a#1"}
    number = a.request_round()
    three.talk()
    assert a.confirmed_round < number
    three.deaf = {"c#1"}
    a.request_round()
    three.talk()
    assert a.confirmed_round >= number


def test_entries_of_a_leader_that_was_cut_off_give_way() -> None:
    three = Three()
    a = three.lead()
    three.deaf = {"a#1"}
    a.propose(m.CloseSession(1))
    a.flush(three.now)
    three.now += 3 * ELECTION_TIMEOUT_US
    three.all["b#1"].tick(three.now)
    three.talk()
    b = three.all["b#1"]
    assert b.serving and b.term > a.term
    b.propose(m.CloseSession(2))
    three.deaf = set()
    three.talk(30)
    assert a.role is Role.FOLLOWER
    told = [command for _, command in a.log.take_committed()]
    assert m.CloseSession(2) in told and m.CloseSession(1) not in told


def test_a_committed_entry_that_differs_ends_the_keeper() -> None:
    three = Three()
    three.lead().propose(m.CloseSession(1))
    three.talk()
    b = three.all["b#1"]
    entries = (m.LogEntry(b.term + 1, m.CloseSession(9)),)
    with pytest.raises(LogBroken) as broken:
        b.receive(three.now, m.AppendEntries("c#1", b.term + 1, 0, 0, entries, 0, 1))
    assert broken.value.invariant is RaftInvariant.COMMITTED_ENTRIES_STAY


def test_an_older_leader_is_told_the_term_and_changes_nothing() -> None:
    three = Three()
    three.lead()
    b = three.all["b#1"]
    b.receive(three.now, m.VoteRequest("c#1", 9, False, 99, 9))
    b.take_messages()
    before = b.log.last_index, b.log.commit_index
    b.receive(
        three.now,
        m.AppendEntries(
            "a#1", 1, b.log.last_index, 1, (m.LogEntry(1, m.CloseSession(1)),), b.log.last_index + 1, 1
        ),
    )
    (_, said), *_ = b.take_messages()
    assert isinstance(said, m.AppendResponse) and not said.success and said.term == 9
    assert (b.log.last_index, b.log.commit_index) == before


def test_one_with_a_longer_log_and_an_older_term_learns_the_term_and_is_elected() -> None:
    three = Three()
    a = three.lead()
    three.deaf = {"b#1", "c#1"}
    for seat in ("b#1", "c#1"):
        three.all[seat]._enter_term(a.term + 5)
    three.deaf = set()
    a._become_follower(three.now, a.term, "")
    a._append(m.CloseSession(1))
    for _ in range(6):
        three.now += 2 * ELECTION_TIMEOUT_US
        a.tick(three.now)
        three.talk()
    assert a.serving


def test_seats_change_one_at_a_time_and_not_before_the_last_change_is_committed() -> None:
    three = Three()
    a = three.lead()
    assert a.replace_voters(three.now, {"a#1", "b#1", "c#2"}) is None, "that is two changes"
    assert a.replace_voters(three.now, {"a#1", "b#1"}) is not None
    assert a.replace_voters(three.now, {"a#1", "b#1", "c#2"}) is None, "the first is not committed"
    three.talk()
    assert a.replace_voters(three.now, {"a#1", "b#1", "c#2"}) is not None
    three.all["c#2"] = three.make("c#2", Snapshot())
    three.talk(30)
    assert three.all["c#2"].log.commit_index == a.log.commit_index and a.voters == ("a#1", "b#1", "c#2")


def test_a_log_is_made_short_and_who_is_behind_gets_the_whole() -> None:
    three = Three()
    a = three.lead()
    three.deaf = {"c#1"}
    for n in range(20):
        a.propose(m.CloseSession(n))
        three.talk(2)
    assert list(a.log.take_committed())
    a.log.compact(b"the ledger")
    assert not a.log.entries and a.log.snapshot.state == b"the ledger"
    three.deaf = set()
    for _ in range(30):
        three.now += 200_000
        a.tick(three.now)
        three.talk(2)
    c = three.all["c#1"]
    assert (
        c.log.snapshot_installed
        and c.log.snapshot.state == b"the ledger"
        and c.log.commit_index == a.log.commit_index
    )


def test_a_keeper_alone_leads_and_answers_petitions() -> None:
    three = Three(("a#1",))
    raft = three.all["a#1"]
    seat = Replica(FleetTerms("f", ("a",)), "d", "f", raft, 0)
    seat.receive_command("x", m.OperatorCommand(1, m.ForgetHead("h")), "")
    assert seat.take_messages()[-1] == ("x", m.OperatorCommandResult(1, False, "the leader is not known"))
    three.now += 3 * ELECTION_TIMEOUT_US
    raft.tick(three.now)
    seat.process(three.now)
    assert seat.lease_manager is not None and Notice("became_leader", {"term": 1}) in seat.notices
    raft.propose(m.OpenSession("h", 5, "store"))
    seat.process(three.now)
    seat.receive_command("x", m.OperatorCommand(2, m.ForgetHead("h")), "a")
    seat.receive_command("x", m.OperatorCommand(3, m.ForgetHead("g")), "a")
    raft.propose(m.CloseSession(next(iter(seat.ledger.sessions))))
    seat.process(three.now)
    seat.receive_command("x", m.OperatorCommand(4, m.ForgetHead("h")), "a")
    seat.process(three.now)
    heard = {
        said.number: said.done
        for _, said in seat.take_messages()
        if isinstance(said, m.OperatorCommandResult)
    }
    assert heard == {2: False, 3: True, 4: True} and not seat.ledger.floor_slots
    assert set(seat.view(three.now)) == {"settled", "version", "wholes", "slots", "sessions", "amounts"}
