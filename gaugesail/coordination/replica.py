"""A replica of the log with what it makes of it: the ledger, and the lease manager while it leads.

It is made when its gateway has a fleet, and ends when its store is replaced or fails.
"""

from __future__ import annotations

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
from .operator_views import JsonObject, ledger_view
from .outbox import Outbox
from .quota_ledger import QuotaLedger
from .raft_log import COMPACT_AFTER_ENTRIES
from .replica_id import make_replica_id, name_of, store_id_of

REPLACE_VOTER_AFTER_US = 5_000_000  # without an answer of a voter whose gateway is back with another store
MAX_ROUNDS = 8  # of applying what one step commits


class Replica:
    """One replica.  Times are in microseconds of its gateway's clock."""

    def __init__(self, terms: FleetTerms, digest: str, fleet: str, raft: RaftNode, started_at: int) -> None:
        self._terms = terms
        self._digest = digest
        self._fleet = fleet
        self._started_at = started_at
        self.raft = raft
        self.name = name_of(raft.replica_id)
        self.ledger = QuotaLedger(terms)
        self.ledger.load(raft.log.snapshot.state)
        self.lease_manager: LeaseManager | None = None
        self.notices: list[Notice] = []
        self._results = Outbox()  # of operators' commands
        self._waiting: dict[int, tuple[str, int]] = {}  # sender and number of a command, by its entry
        self._applicants: dict[str, str] = {}  # gateways with a store that is no voter, and its id

    @property
    def is_voter(self) -> bool:
        """Whether it is one of the log's voters."""
        return self.raft.is_voter

    @property
    def next_at(self) -> int:
        """When the gateway's ``tick`` has something to do for it."""
        if self.lease_manager is None:
            return self.raft.next_at
        return min(self.raft.next_at, self.lease_manager.next_at)

    # ---- what others ask ----

    def receive_lease_request(
        self, now: int, sender: str, request: LeaseRequest, leader: str
    ) -> list[tuple[str, Message]]:
        """Take in a request: the leader answers it later, any other replica at once with who leads."""
        if self.lease_manager is not None:
            self.lease_manager.request(now, sender, request)
            return []
        return [(sender, redirect(request, leader if leader != self.name else ""))]

    def receive_command(self, sender: str, command: OperatorCommand, leader: str) -> None:
        """Take in an operator's command; its result is among the messages, once it is known."""
        gateway = command.command.gateway
        number = command.number
        if self.lease_manager is None:
            self._send_result(sender, number, False, f"the leader is {leader or 'not known'}")
        elif any(session.gateway == gateway for session in self.ledger.sessions.values()):
            self._send_result(sender, number, False, f"{gateway} has a session: it is not gone")
        elif not any(slot.gateway == gateway for slot in self.ledger.floor_slots.values()):
            self._send_result(sender, number, True, f"{gateway} has no floor")
        elif (index := self.raft.propose(command.command)) is not None:
            self._waiting[index] = sender, number

    def _send_result(self, to: str, number: int, done: bool, reason: str) -> None:
        self._results.send(to, OperatorCommandResult(number, done, reason))

    def add_applicants(self, applicants: dict[str, str]) -> None:
        """Take in gateways, by name, that are back with a store that is no voter."""
        self._applicants.update(applicants)

    def transfer_leadership(self) -> None:
        """This gateway shuts down: the voter that has most of the log may lead at once."""
        others = [voter for voter in self.raft.voters if voter != self.raft.replica_id]
        if self.raft.role is Role.LEADER and others:
            self.raft.transfer_leadership(max(others, key=self.raft.replication.match_index))

    # ---- the end of a step ----

    def process(self, now: int) -> None:
        """Apply what is committed, let the lease manager work on it, and replicate what it proposes."""
        log = self.raft.log
        for _ in range(MAX_ROUNDS):
            before = log.commit_index, log.last_index
            self._apply_committed(now)
            self._update_lease_manager(now)
            if self.lease_manager is not None:
                self.lease_manager.tick(now)
                self._replace_voters(now)
            self.raft.flush(now)
            settled = (log.commit_index, log.last_index) == before
            if settled and log.applied_index == log.commit_index:
                break
        if log.applied_index - log.snapshot.index > COMPACT_AFTER_ENTRIES:
            log.compact(self.ledger.dump())

    def _apply_committed(self, now: int) -> None:
        log = self.raft.log
        if log.snapshot_installed:
            log.snapshot_installed = False
            self.ledger.load(log.snapshot.state)
        for index, command in log.drain_committed():
            done = self.ledger.apply(index, command)
            if self.lease_manager is not None:
                self.lease_manager.entry_applied(now, command, done)
            waiting = self._waiting.pop(index, None)
            if waiting is not None:
                sender, number = waiting
                self._send_result(sender, number, done, "" if done else "it changed nothing")

    def _update_lease_manager(self, now: int) -> None:
        """There is one for each term that it leads, from when an entry of that term is committed."""
        raft = self.raft
        manager = self.lease_manager
        if not raft.serving:
            if manager is not None:
                self.notices.append(Notice("lost_leadership", {"term": manager.term}))
            self.lease_manager = None
        elif manager is None or manager.term != raft.term:
            fresh = now - self._started_at < self._terms.lease_with_drift_us or len(raft.voters) == 1
            self.lease_manager = LeaseManager(
                self._terms, self._digest, self._fleet, self.ledger, raft, now, fresh
            )
            self.notices.append(Notice("became_leader", {"term": raft.term}))

    def _replace_voters(self, now: int) -> None:
        """A gateway that is back with another store becomes a voter by that, once the old one is removed."""
        for name, store_id in list(self._applicants.items()):
            applicant = make_replica_id(name, store_id)
            former = [voter for voter in self.raft.voters if name_of(voter) == name]
            if applicant in self.raft.voters:
                del self._applicants[name]
            elif not former:
                self.raft.replace_voters(now, {*self.raft.voters, applicant})
            else:
                self._remove_voter_if_silent(now, former[0])

    def _remove_voter_if_silent(self, now: int, voter: str) -> None:
        last_response_at = self.raft.replication.last_response_at(voter)
        if last_response_at is None or now - last_response_at <= REPLACE_VOTER_AFTER_US:
            return
        if self.raft.replace_voters(now, set(self.raft.voters) - {voter}) is not None:
            fields = {"head": name_of(voter), "store": store_id_of(voter)}
            self.notices.append(Notice("voter_removed", fields))

    def drain_messages(self) -> list[tuple[str, Message]]:
        """Return what is to be sent, each with the gateway that it is for, once the write is done."""
        messages = [(name_of(voter), message) for voter, message in self.raft.drain_messages()]
        if self.lease_manager is not None:
            messages += self.lease_manager.drain_messages()
            self.notices += self.lease_manager.drain_notices()
        return messages + self._results.drain()

    def view(self, now: int) -> JsonObject:
        """Return the whole ledger for operators."""
        return ledger_view(now, self.ledger, self.lease_manager)


def redirect(request: LeaseRequest, leader: str) -> LeaseResponse:
    """Return the answer of a gateway that does not lead: ``leader`` is whom it takes for the leader."""
    return LeaseResponse(request.process, request.number, LeaseStatus.NOT_LEADER, 0, 0, leader)
