"""A replica of the log, with the ledger that results from it and, on the leader, the lease manager.

It is created once its gateway's fleet is bootstrapped, and closed when its store is replaced or fails.
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

REPLACE_VOTER_AFTER_US = 5_000_000  # without a response; its gateway has come back with another store
MAX_APPLY_PASSES = 8  # in one step: applying entries may commit further ones


class Replica:
    """One replica.  Times are in microseconds of its gateway's clock.

    ``started_at`` is when the process started: leases granted before it may still count.
    """

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
        self._pending_commands: dict[int, tuple[str, int]] = {}  # sender and number, by entry index
        self._applicants: dict[str, str] = {}  # store ids of gateways whose store is not a voter, by gateway

    @property
    def is_voter(self) -> bool:
        """Whether it is one of the log's voters."""
        return self.raft.is_voter

    @property
    def next_at(self) -> int:
        """When the gateway's ``tick`` is due next for this replica."""
        if self.lease_manager is None:
            return self.raft.next_at
        return min(self.raft.next_at, self.lease_manager.next_at)

    # ---- requests ----

    def receive_lease_request(
        self, now: int, sender: str, request: LeaseRequest, leader: str
    ) -> list[tuple[str, Message]]:
        """Process a lease request; return the responses that are due at once.

        The leader responds later, once its leadership is confirmed; other replicas redirect to ``leader``.
        """
        if self.lease_manager is not None:
            self.lease_manager.request(now, sender, request)
            return []
        return [(sender, redirect(request, leader if leader != self.name else ""))]

    def receive_command(self, sender: str, command: OperatorCommand, leader: str) -> None:
        """Process an operator's command; its result is sent once known (``drain_messages``)."""
        gateway = command.command.gateway
        number = command.number
        if self.lease_manager is None:
            self._send_result(sender, number, False, f"the leader is {leader or 'not known'}")
        elif any(session.gateway == gateway for session in self.ledger.sessions.values()):
            self._send_result(sender, number, False, f"{gateway} has a session: it is not gone")
        elif not any(slot.gateway == gateway for slot in self.ledger.floor_slots.values()):
            self._send_result(sender, number, True, f"{gateway} has no floor")
        elif (index := self.raft.propose(command.command)) is not None:
            self._pending_commands[index] = sender, number

    def _send_result(self, to: str, number: int, done: bool, reason: str) -> None:
        self._results.send(to, OperatorCommandResult(number, done, reason))

    def add_applicants(self, applicants: dict[str, str]) -> None:
        """Add gateways that have come back with a store that is not a voter: store ids by gateway name."""
        self._applicants.update(applicants)

    def transfer_leadership(self) -> None:
        """Hand leadership to the voter with the most complete log, before this gateway shuts down."""
        others = [voter for voter in self.raft.voters if voter != self.raft.replica_id]
        if self.raft.role is Role.LEADER and others:
            self.raft.transfer_leadership(max(others, key=self.raft.replication.match_index))

    # ---- the end of a step ----

    def process(self, now: int) -> None:
        """Apply committed entries, run the lease manager, and replicate the commands that it proposes."""
        log = self.raft.log
        for _ in range(MAX_APPLY_PASSES):
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
            pending = self._pending_commands.pop(index, None)
            if pending is not None:
                sender, number = pending
                self._send_result(sender, number, done, "" if done else "it changed nothing")

    def _update_lease_manager(self, now: int) -> None:
        """Keep one lease manager per term of leadership, from when an entry of that term is committed."""
        raft = self.raft
        manager = self.lease_manager
        if not raft.serving:
            if manager is not None:
                self.notices.append(Notice("lost_leadership", {"term": manager.term}))
            self.lease_manager = None
        elif manager is None or manager.term != raft.term:
            # A single voter has no other replica that could confirm its store as the latest.
            may_miss_leases = (
                now - self._started_at < self._terms.lease_with_drift_us or len(raft.voters) == 1
            )
            self.lease_manager = LeaseManager(
                self._terms, self._digest, self._fleet, self.ledger, raft, now, may_miss_leases
            )
            self.notices.append(Notice("became_leader", {"term": raft.term}))

    def _replace_voters(self, now: int) -> None:
        """Make applicants voters under their new store, once the voter with the old store is removed."""
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
        """Return and remove the pending messages with their receivers; send them after the write."""
        messages = [(name_of(voter), message) for voter, message in self.raft.drain_messages()]
        if self.lease_manager is not None:
            messages += self.lease_manager.drain_messages()
            self.notices += self.lease_manager.drain_notices()
        return messages + self._results.drain()

    def view(self, now: int) -> JsonObject:
        """Return the complete ledger for operators."""
        return ledger_view(now, self.ledger, self.lease_manager)


def redirect(request: LeaseRequest, leader: str) -> LeaseResponse:
    """Return a non-leader's response, naming the ``leader`` that it knows of; empty if unknown."""
    return LeaseResponse(request.process, request.number, LeaseStatus.NOT_LEADER, 0, 0, leader)
