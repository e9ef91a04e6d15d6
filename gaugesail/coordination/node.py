"""One gateway among others: membership, consensus, leases and what it may spend, put together.

Whoever drives it hands in what has come and what time it is, and gets back a ``StepOutput``, to be carried
out in its order: first the write, whole; then the quota goes to the gateway; then the messages go out.  If
the write fails, nothing of the rest is done, and ``store_failed`` is called.  So whatever this gateway says
rests on what it has persisted.  Messages to this gateway itself come back to it.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from . import messages as m
from .bootstrap import Bootstrap, BootstrapRecord
from .consensus import RaftNode, RaftWrite
from .consensus_messages import ConsensusMessage
from .demand_tracker import QuotaUsage
from .fleet_terms import FleetTerms
from .gateway_floor import HeadFloor
from .lease_holder import LeaseHolder
from .log_commands import LogEntry
from .member import MemberState
from .membership import Membership
from .messages import Message
from .notices import Notice, NoticeField
from .operator_views import JsonObject, lease_view, members_view
from .outbox import Outbox
from .persisted_state import PersistentState, StoredState, StoreWrite
from .quota_ledger import RateBurst
from .raft_log import LogBroken, RaftLog, Snapshot
from .replica import Replica, redirect
from .replica_id import make_replica_id, name_of
from .spending_rights import QuotaUpdate
from .store_fencing import KnownStore, StoreFence


@dataclass(slots=True, frozen=True)
class GatewayIdentity:
    """Who this process is: its gateway's name, its address ``host:port``, its number, and when it started."""

    name: str
    address: str
    process: int
    started_unix_ms: int


@dataclass(slots=True)
class StepOutput:
    """What a step comes to, to be done in this order."""

    write: StoreWrite | None = None
    quota: QuotaUpdate | None = None
    messages: list[tuple[str, Message]] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)


class FleetNode:
    """The fleet's decisions at one gateway; the same calls give the same outputs.

    Times are in microseconds of the caller's clock.  ``stored``: what the store holds; None if there is none.
    """

    def __init__(
        self,
        terms: FleetTerms,
        terms_digest: str,
        identity: GatewayIdentity,
        stored: StoredState | None,
        seed: int,
        now: int,
    ) -> None:
        self.terms = terms
        self.terms_digest = terms_digest
        self.name = identity.name
        self.process = identity.process
        self.is_replica = identity.name in terms.replicas and stored is not None
        self.has_store = stored is not None
        self._rng = random.Random(seed)
        self._started_at = now
        self.persisted = stored.state if stored is not None else PersistentState("")
        self._loaded_writes = self.persisted.writes
        self._begin_life(identity)
        self._make_parts(identity, now)
        self._state_changed = self.has_store  # the start counts before anything is said
        self._replaces_store = False
        self._notices: list[Notice] = []
        self._outbox = Outbox()
        self._command_results: dict[int, m.OperatorCommandResult] = {}  # of this gateway's commands
        self._last_command = 0
        self._noted_once: set[str] = set()
        self._replica_failed = False
        if self.is_replica and stored is not None:
            self._open_replica(now, stored.snapshot, stored.entries)
        self.membership.join(terms.replicas)

    def _begin_life(self, identity: GatewayIdentity) -> None:
        persisted = self.persisted
        persisted.starts += 1
        persisted.process = identity.process
        persisted.generation = max(identity.started_unix_ms, persisted.generation + 1)

    def _make_parts(self, identity: GatewayIdentity, now: int) -> None:
        persisted = self.persisted
        terms = self.terms
        digest = self.terms_digest
        self.membership = Membership(
            identity.name, identity.address, identity.process, persisted.generation, self._rng, now
        )
        record = BootstrapRecord(persisted.fleet_id, persisted.voters, persisted.bound_to)
        self.bootstrap = Bootstrap(identity.name, persisted.store_id, terms.replicas, digest, record)
        known_stores = {store: KnownStore(*known) for store, known in persisted.known_stores.items()}
        self.store_fence = StoreFence(known_stores, now)
        self.replica: Replica | None = None
        floor = HeadFloor(
            persisted.floor_slot, persisted.floor_version, persisted.floor_limits, persisted.floor_fleet
        )
        self.lease_holder = LeaseHolder(
            terms, digest, identity.process, persisted.store_id, floor, now, self._rng
        )
        self._persisted_floor = floor

    def _open_replica(self, now: int, snapshot: Snapshot, entries: list[LogEntry]) -> None:
        """Take up the log as it was persisted, if there is a fleet."""
        record = self.bootstrap.record
        if not record.fleet_id:
            return
        persisted = self.persisted
        replica_id = make_replica_id(self.name, persisted.store_id)
        if not snapshot.index and replica_id in record.voters:
            snapshot = Snapshot(0, 0, record.voters, b"")
        log = RaftLog(snapshot, entries)
        raft = RaftNode(replica_id, self._rng, now, persisted.term, persisted.voted_for, log)
        self.replica = Replica(self.terms, self.terms_digest, record.fleet_id, raft, self._started_at)

    # ---- what holds ----

    @property
    def next_at(self) -> int:
        """When ``tick`` has something to do."""
        times = [self.membership.next_at, self.lease_holder.next_at]
        if self.is_replica:
            times.append(self.store_fence.next_at)
            if not self.is_voter:
                times.append(self.bootstrap.next_at)
        if self.replica is not None:
            times.append(self.replica.next_at)
        return min(times)

    @property
    def is_voter(self) -> bool:
        """Whether this gateway's replica is one of the log's voters."""
        return self.replica is not None and self.replica.is_voter

    @property
    def is_leader(self) -> bool:
        """Whether this gateway leads and grants leases."""
        return self.replica is not None and self.replica.lease_manager is not None

    @property
    def leader(self) -> str:
        """The name of the gateway that leads, as far as known."""
        if self.replica is not None and self.replica.raft.leader:
            return name_of(self.replica.raft.leader)
        return self.lease_holder.leader

    def _voters(self) -> tuple[str, ...]:
        """The voters' replica ids, by the log or else by the bootstrap."""
        replica = self.replica
        if replica is not None and replica.raft.voters:
            return replica.raft.voters
        return self.bootstrap.record.voters

    def _likely_leaders(self) -> list[str]:
        """The replicas to ask for a lease, the likeliest leader first; one that seems gone comes last."""
        names = sorted({name_of(voter) for voter in self._voters()} or self.terms.replicas)
        states = {name: self.membership.state_of(name) or MemberState.ALIVE for name in names}
        return sorted(names, key=lambda name: (name != self.leader, states[name] >= MemberState.GONE, name))

    # ---- what the gateway and its operators ask ----

    def set_limits(self, limits: Mapping[str, RateBurst], max_request: int) -> None:
        """Take this gateway's own limits by plan and its largest request, all in thousandths."""
        self.lease_holder.set_limits(limits, max_request)

    def report_demand(self, now: int, usage: Mapping[str, QuotaUsage]) -> StepOutput:
        """Take what was used of each quota since the last call."""
        self.lease_holder.record_demand(now, usage)
        return self.tick(now)

    def leave(self, now: int) -> StepOutput:
        """This gateway shuts down: its quota goes back, and the others hear of it."""
        self.lease_holder.leave(now)
        self.membership.leave(now)
        if self.replica is not None:
            self.replica.transfer_leadership()
        return self.tick(now)

    def submit_command(self, now: int, command: m.ForgetHead) -> tuple[int, StepOutput]:
        """Submit an operator's command to the leader; return its number for ``take_command_result``."""
        self._last_command += 1
        number = self._last_command
        request = m.OperatorCommand(number, command)
        if self.replica is not None and self.is_leader:
            self.replica.receive_command(self.name, request, self.leader)
            return number, self._finish(now)
        if not self.leader:
            self._keep_result(m.OperatorCommandResult(number, False, "no leader is known"))
            return number, StepOutput()
        output = self._finish(now)
        output.messages.append((self.leader, request))
        return number, output

    def take_command_result(self, number: int) -> m.OperatorCommandResult | None:
        """Return what became of a command, once; None while nothing is known."""
        return self._command_results.pop(number, None)

    def _keep_result(self, result: m.OperatorCommandResult) -> None:
        self._command_results[result.number] = result

    def trust_store(self, now: int) -> StepOutput:
        """Operators say that this store is the latest: it need not wait for others to confirm it."""
        self.store_fence.trusted_by_operator = True
        return self.tick(now)

    # ---- steps ----

    def tick(self, now: int) -> StepOutput:
        """Do what is due."""
        self.membership.tick(now)
        if self.is_replica:
            self._maintain_replica(now)
        self._run_raft(now, lambda raft: raft.tick(now))
        self.lease_holder.tick(now, self._likely_leaders())
        return self._finish(now)

    def receive(self, now: int, sender: str, process: int, message: Message) -> StepOutput:
        """Take in one message of an authenticated sender."""
        match message:
            case m.Ping() | m.Ack() | m.PingRequest() | m.Nack() | m.DigestOffer() | m.StateSync():
                self.membership.receive(now, sender, message)
            case m.LeaseResponse() | m.QuotaOrders():
                self.lease_holder.receive(now, sender, message)
            case m.LeaseRequest():
                self._receive_lease_request(now, sender, message)
            case m.OperatorCommand():
                self._receive_command(sender, message)
            case m.OperatorCommandResult():
                self._keep_result(message)
            case m.StoreMark() | m.StoreMarkVerdict() | m.BootstrapStatus() | m.BootstrapBind():
                if self.is_replica:
                    self._receive_for_replica(now, sender, message)
            case _:
                if name_of(message.sender) == sender:
                    self._receive_consensus(now, message)
        return self._finish(now)

    def _receive_lease_request(self, now: int, sender: str, request: m.LeaseRequest) -> None:
        if self.replica is None:
            leader = self.leader if self.leader != self.name else ""
            self._outbox.send(sender, redirect(request, leader))
            return
        for receiver, response in self.replica.receive_lease_request(now, sender, request, self.leader):
            self._outbox.send(receiver, response)

    def _receive_command(self, sender: str, command: m.OperatorCommand) -> None:
        if self.replica is not None:
            self.replica.receive_command(sender, command, self.leader)
            return
        result = m.OperatorCommandResult(command.number, False, "this head is no keeper")
        self._outbox.send(sender, result)

    def _receive_for_replica(
        self,
        now: int,
        sender: str,
        message: m.StoreMark | m.StoreMarkVerdict | m.BootstrapStatus | m.BootstrapBind,
    ) -> None:
        match message:
            case m.StoreMark():
                self._outbox.send(sender, self.store_fence.receive_mark(message))
            case m.StoreMarkVerdict():
                if message.store_id == self.persisted.store_id and message.process == self.process:
                    self.store_fence.receive_verdict(sender, message)
                    self._maintain_replica(now)
            case m.BootstrapStatus() | m.BootstrapBind():
                for receiver, response in self.bootstrap.receive(sender, message):
                    self._outbox.send(receiver, response)
                self._maintain_replica(now)

    def _receive_consensus(self, now: int, message: ConsensusMessage) -> None:
        self._run_raft(now, lambda raft: raft.receive(now, message))

    def _run_raft(self, now: int, step: Callable[[RaftNode], None]) -> None:
        if self.replica is None:
            return
        try:
            step(self.replica.raft)
        except LogBroken as error:
            self._note("log_broken", why=str(error))
            self._close_replica()

    # ---- the replica's store and its place among the voters ----

    def _maintain_replica(self, now: int) -> None:
        """What follows from whether the store is the latest and the replica a voter."""
        mark = self._store_mark()  # of the store as this step found it
        if self.store_fence.stale:
            self._replace_store(now)
        record = self.bootstrap.record
        if record.fleet_id and self.replica is None and not self._replica_failed:
            self._open_replica(now, Snapshot(), [])
            voters = ",".join(map(name_of, record.voters))
            self._note("bootstrapped", fleet=record.fleet_id, voters=voters)
        others = [name_of(voter) for voter in self._voters() if name_of(voter) != self.name]
        may_vote = self.store_fence.may_vote(len(others))
        self._set_may_vote(may_vote)
        if self.store_fence.mark_is_due(now, may_vote):
            for name in others:
                self._outbox.send(name, mark)
        for receiver, message in self.bootstrap.tick(now, self.is_voter):
            self._outbox.send(receiver, message)
        for name, why in self.bootstrap.conflicts.items():
            self._note_once(f"{name} {why}", "replica_conflict", head=name, why=why)

    def _store_mark(self) -> m.StoreMark:
        persisted = self.persisted
        return m.StoreMark(
            persisted.store_id, persisted.starts, persisted.writes, self._loaded_writes, self.process
        )

    def _set_may_vote(self, may_vote: bool) -> None:
        if self.replica is None:
            return
        if may_vote and not self.replica.raft.may_vote:
            self._note("voting_enabled", replica=self.replica.raft.replica_id)
        self.replica.raft.may_vote = may_vote
        self.replica.add_applicants(self.bootstrap.take_applicants())

    def _replace_store(self, now: int) -> None:
        """This store is an old copy: a fresh one takes its place and applies to become a voter."""
        old = self.persisted
        self._note("store_outdated", store=old.store_id)
        store_id = f"{self._rng.getrandbits(48):012x}"
        self.persisted = PersistentState(
            store_id,
            starts=old.starts,
            writes=old.writes,
            process=old.process,
            generation=old.generation,
            fleet_id=self.bootstrap.record.fleet_id,
            voters=self.bootstrap.record.voters,
        )
        self.bootstrap.replace_store(store_id)
        self.store_fence.reset(now)
        self.replica = None
        self.lease_holder.replace_store(now, store_id)
        self._persisted_floor = self.lease_holder.floor
        self._state_changed = True
        self._replaces_store = True

    def _close_replica(self) -> None:
        """A replica no longer: its store takes no more writes, or its log is broken."""
        self.replica = None
        self.is_replica = False
        self._replica_failed = True

    def store_failed(self, now: int, why: str) -> None:
        """The last write failed: nothing that it was for is done."""
        self._note("store_failed", why=why)
        self._close_replica()
        self.has_store = False
        self.lease_holder.floor_not_persisted(self._persisted_floor)

    # ---- the end of a step ----

    def _finish(self, now: int) -> StepOutput:
        if self.replica is not None:
            self.replica.process(now)
        for change in self.membership.take_changes():
            self._note(f"member_{change.kind}", head=change.name, address=change.address)
        if self.membership.name_taken:
            self._note_once("name_taken", "name_taken", head=self.name)
        output = StepOutput()
        output.write = self._take_write()
        output.quota = self.lease_holder.take_quota_update()
        if self.replica is not None:
            self._collect_from_replica(self.replica, output)
        output.messages += self.lease_holder.take_messages()
        output.messages += self.membership.take_messages()
        output.messages += self._outbox.take()
        self._notices += self.lease_holder.notices
        self.lease_holder.notices.clear()
        output.notices = self._notices
        self._notices = []
        return output

    def _collect_from_replica(self, replica: Replica, output: StepOutput) -> None:
        for receiver, message in replica.take_messages():
            if isinstance(message, m.OperatorCommandResult) and receiver == self.name:
                self._keep_result(message)
            else:
                output.messages.append((receiver, message))
        self._notices += replica.notices
        replica.notices.clear()

    def _take_write(self) -> StoreWrite | None:
        """Return what is to be persisted before anything else of this step is done."""
        if not self.has_store:
            return None
        log_write = self.replica.raft.take_write() if self.replica is not None else None
        if log_write is None and not self._take_state_changed():
            return None
        self._take_state_changed()
        self._update_persisted()
        write = StoreWrite(self.persisted, replaces_store=self._replaces_store)
        self._replaces_store = False
        if log_write is not None:
            _add_log(write, log_write)
        return write

    def _take_state_changed(self) -> bool:
        """Return whether anything beside the log has changed since the last call."""
        changed = (
            self._state_changed
            or self.store_fence.unsaved
            or self.bootstrap.unsaved
            or self.lease_holder.floor_changed
        )
        self._state_changed = False
        self.store_fence.unsaved = False
        self.bootstrap.unsaved = False
        self.lease_holder.floor_changed = False
        return changed

    def _update_persisted(self) -> None:
        persisted = self.persisted
        record = self.bootstrap.record
        floor = self.lease_holder.floor
        persisted.writes += 1
        persisted.fleet_id = record.fleet_id
        persisted.voters = record.voters
        persisted.bound_to = record.bound_to
        persisted.known_stores = {
            store: (known.starts, known.writes, known.process)
            for store, known in self.store_fence.known_stores.items()
        }
        persisted.floor_slot = floor.slot
        persisted.floor_version = floor.limits_version
        persisted.floor_limits = floor.limits
        persisted.floor_fleet = floor.fleet
        self._persisted_floor = floor
        if self.replica is not None:
            persisted.term = self.replica.raft.term
            persisted.voted_for = self.replica.raft.voted_for

    def _note(self, event: str, **fields: NoticeField) -> None:
        self._notices.append(Notice(event, fields))

    def _note_once(self, key: str, event: str, **fields: NoticeField) -> None:
        if key not in self._noted_once:
            self._noted_once.add(key)
            self._note(event, **fields)

    # ---- what operators see ----

    def view_members(self, now: int) -> JsonObject:
        """Return all members as this gateway sees them; times in seconds."""
        return {
            "head": self.name,
            "fleet": self.bootstrap.record.fleet_id,
            "leader": self.leader,
            "keepers": [name_of(voter) for voter in self._voters()],
            "health": self.membership.local_health,
            "members": members_view(now, self.membership),
        }

    def view_budgets(self, now: int) -> JsonObject:
        """Return the quotas as this gateway knows them: a replica's whole ledger, or only its own part."""
        view = {
            "head": self.name,
            "leader": self.leader,
            "leads": self.is_leader,
            "keeper": self.replica is not None,
            "own": lease_view(now, self.lease_holder),
        }
        return view | (self.replica.view(now) if self.replica is not None else {})


def _add_log(write: StoreWrite, log_write: RaftWrite) -> None:
    write.first_index = log_write.first_index
    write.entries = log_write.entries
    write.snapshot = log_write.snapshot
