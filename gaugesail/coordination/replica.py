"""A seat among the keepers: its replica of the log, the ledger that it makes, the office while it leads.

Made when a keeper has a fleet, and gone when its store is put aside or fails.
"""

from __future__ import annotations

from typing import Any

from .consensus import RaftNode
from .elections import Role
from .fleet_terms import FleetTerms
from .lease_manager import LeaseManager
from .messages import (
    LeaseRequest,
    LeaseResponse,
    LeaseStatus,
    Message,
    OperatorCommand,
    OperatorCommandResult,
)
from .notices import Notice
from .quota_ledger import QuotaLedger, plan_of
from .raft_log import COMPACT_AFTER_ENTRIES
from .replica_id import make_replica_id, name_of, store_id_of

REPLACE_VOTER_AFTER_US = 5_000_000  # without a word from a seat whose keeper has come back with another store
STEPS = 8  # of applying what one step commits


class Replica:
    """The part of a head that only a keeper has."""

    def __init__(self, charter: FleetTerms, digest: str, fleet: str, raft: RaftNode, born: int) -> None:
        self._charter, self._digest, self._fleet, self._born = charter, digest, fleet, born
        self.raft = raft
        self.name = name_of(raft.replica_id)
        self.ledger = QuotaLedger(charter)
        self.ledger.load(raft.log.snapshot.state)
        self.lease_manager: LeaseManager | None = None
        self._later: dict[int, tuple[str, int]] = {}  # whose petition waits for which entry
        self._applicants: dict[str, str] = {}  # keepers with a store that has no seat
        self.command_results: list[
            tuple[str, OperatorCommandResult]
        ] = []  # what became of petitions, and for whom
        self.notices: list[Notice] = []

    @property
    def is_voter(self) -> bool:
        return self.raft.is_voter

    @property
    def next_at(self) -> int:
        return (
            self.raft.next_at
            if self.lease_manager is None
            else min(self.raft.next_at, self.lease_manager.next_at)
        )

    # ---- what others ask ----

    def receive_lease_request(
        self, now: int, sender: str, ask: LeaseRequest, leader: str
    ) -> list[tuple[str, Message]]:
        """A holder's ask: answered by the office later, or at once with who leads."""
        if self.lease_manager is not None:
            self.lease_manager.request(now, sender, ask)
            return []
        return [(sender, redirect(ask, leader if leader != self.name else ""))]

    def receive_command(self, sender: str, petition: OperatorCommand, leader: str) -> None:
        """What operators ask of the fleet; what becomes of it is in ``heard``."""
        head, number = petition.command.gateway, petition.number
        if self.lease_manager is None:
            self._hear(sender, number, False, f"the leader is {leader or 'not known'}")
        elif any(session.gateway == head for session in self.ledger.sessions.values()):
            self._hear(sender, number, False, f"{head} has a session: it is not gone")
        elif not any(slot.gateway == head for slot in self.ledger.floor_slots.values()):
            self._hear(sender, number, True, f"{head} has no floor")
        elif (index := self.raft.propose(petition.command)) is not None:
            self._later[index] = sender, number

    def _hear(self, to: str, number: int, done: bool, why: str) -> None:
        self.command_results.append((to, OperatorCommandResult(number, done, why)))

    def add_applicants(self, applicants: dict[str, str]) -> None:
        """Keepers by name that have come back with a store that has no seat."""
        self._applicants.update(applicants)

    def transfer_leadership(self) -> None:
        """It ends in order: who has most of the log may lead at once."""
        others = [seat for seat in self.raft.voters if seat != self.raft.replica_id]
        if self.raft.role is Role.LEADER and others:
            self.raft.transfer_leadership(max(others, key=self.raft.replication.match_index))

    # ---- the end of a step ----

    def process(self, now: int) -> None:
        """Carry out what is committed, let the office work on it, and pass on what it proposes."""
        raft = self.raft
        for _ in range(STEPS):
            before = raft.log.commit_index, raft.log.last_index
            if raft.log.snapshot_installed:
                raft.log.snapshot_installed = False
                self.ledger.load(raft.log.snapshot.state)
            for index, command in raft.log.take_committed():
                done = self.ledger.apply(index, command)
                if self.lease_manager is not None:
                    self.lease_manager.entry_applied(now, command, done)
                if (asked := self._later.pop(index, None)) is not None:
                    self._hear(*asked, done, "" if done else "it changed nothing")
            self._seat_office(now)
            if self.lease_manager is not None:
                self.lease_manager.tick(now)
                self._reseat(now)
            raft.flush(now)
            if (
                raft.log.commit_index,
                raft.log.last_index,
            ) == before and raft.log.applied_index == raft.log.commit_index:
                break
        if raft.log.applied_index - raft.log.snapshot.index > COMPACT_AFTER_ENTRIES:
            raft.log.compact(self.ledger.dump())

    def _seat_office(self, now: int) -> None:
        """An office for each term that it leads, from when an entry of that term is committed."""
        raft = self.raft
        if not raft.serving:
            if self.lease_manager is not None:
                self.notices.append(Notice("leads_no_more", {"term": self.lease_manager.term}))
            self.lease_manager = None
        elif self.lease_manager is None or self.lease_manager.term != raft.term:
            fresh = now - self._born < self._charter.lease_with_drift_us or len(raft.voters) == 1
            self.lease_manager = LeaseManager(
                self._charter, self._digest, self._fleet, self.ledger, raft, now, fresh
            )
            self.notices.append(Notice("leads", {"term": raft.term}))

    def _reseat(self, now: int) -> None:
        """A keeper that has come back with another store gets a seat for that, once the old one is away."""
        raft = self.raft
        for name, store in list(self._applicants.items()):
            fresh = make_replica_id(name, store)
            olds = [seat for seat in raft.voters if name_of(seat) == name]
            if fresh in raft.voters:
                del self._applicants[name]
            elif not olds:
                raft.replace_voters(now, {*raft.voters, fresh})
            elif (
                (heard := raft.replication.last_heard_at(olds[0])) is not None
                and now - heard > REPLACE_VOTER_AFTER_US
                and raft.replace_voters(now, set(raft.voters) - {olds[0]}) is not None
            ):
                self.notices.append(Notice("seat_taken_away", {"head": name, "store": store_id_of(olds[0])}))

    def take_messages(self) -> list[tuple[str, Message]]:
        """What is to be said, once what is to be kept is written."""
        out: list[tuple[str, Message]] = [(name_of(seat), said) for seat, said in self.raft.take_messages()]
        if self.lease_manager is not None:
            out += self.lease_manager.take_messages()
            self.notices += self.lease_manager.take_notices()
        heard, self.command_results = self.command_results, []
        return out + list[tuple[str, Message]](heard)

    # ---- what staff see ----

    def view(self, now: int) -> dict[str, Any]:
        """The whole ledger; the leader also tells until when each lease is counted and what is used."""
        ledger, office = self.ledger, self.lease_manager
        return {
            "settled": ledger.settled, "version": ledger.limits_version,
            "wholes": {
                plan: {"rate": rate / 1000, "burst": burst / 1000,
                       "floors": ledger.reserved_for_floors(plan)[0] / 1000}
                for plan, (rate, burst) in sorted(ledger.limits.items())
            },
            "slots": {n: {"head": slot.gateway, "store": slot.store_id}
                      for n, slot in ledger.floor_slots.items()},
            "sessions": [
                {"session": n, "head": session.gateway, "slot": session.floor_slot}
                | (office.lease_view(now, n) if office is not None else {})
                for n, session in sorted(ledger.sessions.items())
            ],
            "amounts": {
                amount: {
                    "free": round(ledger.available(amount)[0] / 1000, 3),
                    "whole": ledger.limits[plan_of(amount)][0] / 1000,
                    "parts": [
                        {"head": ledger.sessions[n].gateway, "session": n, "rate": stake.rate / 1000,
                         "burst": stake.burst / 1000}
                        | (office.demand_view(amount, n) if office is not None else {})
                        for n, stake in sorted(stakes.items())
                    ],
                }
                for amount, stakes in sorted(ledger.allocations.items())
            },
        }  # fmt: skip


def redirect(ask: LeaseRequest, leader: str) -> LeaseResponse:
    """Not here: perhaps at whom this one thinks leads."""
    return LeaseResponse(ask.process, ask.number, LeaseStatus.NOT_LEADER, 0, 0, leader)
