"""One gateway of a fleet: combines membership, consensus, leases and spending limits into one state machine.

The caller passes in each event with the current time, and carries out the returned ``StepOutput`` in order:
it completes the write, passes the quota to the gateway, and sends the messages.  If the write fails, the
caller drops the rest and calls ``store_failed``.  Everything that this gateway sends therefore rests on state
that it has persisted.  The caller delivers messages addressed to this gateway back to ``receive``.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from . import messages as m
from .consensus_messages import ConsensusMessage
from .demand_tracker import QuotaUsage
from .fleet_terms import FleetTerms
from .gateway_floor import PersistedFloor
from .lease_holder import LeaseHolder
from .local_store import LocalStore
from .member import MemberState
from .membership import Membership
from .messages import Message
from .notices import Notice
from .operator_views import JsonObject, lease_view, members_view
from .persisted_state import StoredState, StoreWrite
from .quota_ledger import RateBurst
from .replica import Replica, redirect
from .replica_host import ReplicaHost
from .replica_id import name_of
from .spending_rights import QuotaUpdate


@dataclass(slots=True, frozen=True)
class GatewayIdentity:
    """Identifies this process: gateway name, address ``host:port``, process number, and start time."""

    name: str
    address: str
    process: int
    started_unix_ms: int


@dataclass(slots=True)
class StepOutput:
    """The effects of one step, in the order in which the caller carries them out."""

    write: StoreWrite | None = None
    quota: QuotaUpdate | None = None
    messages: list[tuple[str, Message]] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)


class FleetNode:
    """The fleet's decisions at one gateway.  Deterministic: the same calls return the same outputs.

    Times are in microseconds of the caller's clock.  ``stored`` is the store's content; None without a store.
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
        self.name = identity.name
        self.process = identity.process
        self._rng = random.Random(seed)
        self._store = LocalStore(stored, identity.process, identity.started_unix_ms)
        state = self._store.state
        self.membership = Membership(
            identity.name, identity.address, identity.process, state.generation, self._rng, now
        )
        self._host = ReplicaHost(terms, terms_digest, identity.name, self._store, self._rng, now)
        self._outbox = self._host.outbox
        self._notices = self._host.notices
        floor = PersistedFloor(state.floor_slot, state.floor_version, state.floor_limits, state.floor_fleet)
        self.lease_holder = LeaseHolder(
            terms, terms_digest, identity.process, state.store_id, floor, now, self._rng
        )
        self._persisted_floor = floor
        self._command_results: dict[int, m.OperatorCommandResult] = {}  # by command number
        self._last_command = 0
        if self.is_replica and stored is not None:
            self._host.open(now, stored.snapshot, stored.entries)
        self.membership.join(terms.replicas)

    # ---- state ----

    @property
    def next_at(self) -> int:
        """When ``tick`` is due next."""
        return min([self.membership.next_at, self.lease_holder.next_at, *self._host.due_times()])

    @property
    def has_store(self) -> bool:
        """Whether this gateway has a store that accepts writes."""
        return self._store.available

    @property
    def is_replica(self) -> bool:
        """Whether this gateway may run a replica of the log."""
        return self._host.enabled

    @property
    def replica(self) -> Replica | None:
        """The replica; None if this gateway runs none, or the fleet is not bootstrapped yet."""
        return self._host.replica

    @property
    def is_leader(self) -> bool:
        """Whether this gateway is the leader and grants leases."""
        return self.replica is not None and self.replica.lease_manager is not None

    @property
    def leader(self) -> str:
        """The leading gateway's name; empty if unknown."""
        if self.replica is not None and self.replica.raft.leader:
            return name_of(self.replica.raft.leader)
        return self.lease_holder.leader

    def _likely_leaders(self) -> list[str]:
        """The replicas to request a lease from, the likeliest leader first, members in state GONE last."""
        names = sorted({name_of(voter) for voter in self._host.voters} or self.terms.replicas)
        states = {name: self.membership.state_of(name) or MemberState.ALIVE for name in names}
        return sorted(names, key=lambda name: (name != self.leader, states[name] >= MemberState.GONE, name))

    # ---- calls of the gateway and its operators ----

    def set_limits(self, limits: Mapping[str, RateBurst], max_request: int) -> None:
        """Set this gateway's configured limits by plan and its largest request, all in thousandths."""
        self.lease_holder.set_limits(limits, max_request)

    def report_demand(self, now: int, usage: Mapping[str, QuotaUsage]) -> StepOutput:
        """Record the usage of each quota since the last call."""
        self.lease_holder.record_demand(now, usage)
        return self.tick(now)

    def leave(self, now: int) -> StepOutput:
        """Shut down: return the quota, announce the departure, and hand over leadership."""
        self.lease_holder.leave(now)
        self.membership.leave(now)
        if self.replica is not None:
            self.replica.transfer_leadership()
        return self.tick(now)

    def submit_command(self, now: int, command: m.ForgetGateway) -> tuple[int, StepOutput]:
        """Submit an operator's command to the leader; return its number, for ``pop_command_result``."""
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

    def pop_command_result(self, number: int) -> m.OperatorCommandResult | None:
        """Return and remove a command's result; None while it is pending."""
        return self._command_results.pop(number, None)

    def _keep_result(self, result: m.OperatorCommandResult) -> None:
        self._command_results[result.number] = result

    def trust_store(self, now: int) -> StepOutput:
        """Accept an operator's word that this store is the latest: it needs no confirmation by others."""
        self._host.store_fence.trusted_by_operator = True
        return self.tick(now)

    # ---- steps ----

    def tick(self, now: int) -> StepOutput:
        """Run everything that is due."""
        self.membership.tick(now)
        if self.is_replica:
            self._maintain_replica(now)
        self._host.run_raft(lambda raft: raft.tick(now))
        self.lease_holder.tick(now, self._likely_leaders())
        return self._finish(now)

    def receive(self, now: int, sender: str, process: int, message: Message) -> StepOutput:
        """Process one message from an authenticated sender."""
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
                if self.is_replica and self._host.receive(sender, message):
                    self._maintain_replica(now)
            case _:
                self._receive_consensus(now, sender, message)
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

    def _receive_consensus(self, now: int, sender: str, message: ConsensusMessage) -> None:
        if name_of(message.sender) == sender:
            self._host.run_raft(lambda raft: raft.receive(now, message))

    def _maintain_replica(self, now: int) -> None:
        mark = self._store.mark()  # as of the start of this step
        if self._host.store_fence.outdated:
            store_id = self._host.replace_store(now)
            self.lease_holder.replace_store(now, store_id)
            self._persisted_floor = self.lease_holder.floor
        self._host.maintain(now, mark)

    def store_failed(self, now: int, why: str) -> None:
        """Handle a failed write: close the replica, and go by the lesser of persisted and current floor.

        The caller drops the other effects of the step.  ``why`` is logged for operators.
        """
        self._notices.add("store_failed", why=why)
        self._host.close()
        self._store.available = False
        self.lease_holder.floor_not_persisted(self._persisted_floor)

    # ---- the end of a step ----

    def _finish(self, now: int) -> StepOutput:
        if self.replica is not None:
            self.replica.process(now)
        for change in self.membership.drain_changes():
            self._notices.add(f"member_{change.kind}", head=change.name, address=change.address)
        if self.membership.name_taken:
            self._notices.add_once("name_taken", "name_taken", head=self.name)
        output = StepOutput()
        output.write = self._pop_write()
        output.quota = self.lease_holder.pop_quota_update()
        if self.replica is not None:
            self._collect_from_replica(self.replica, output)
        output.messages += self.lease_holder.drain_messages()
        output.messages += self.membership.drain_messages()
        output.messages += self._outbox.drain()
        self._notices.extend(self.lease_holder.notices)
        self.lease_holder.notices.clear()
        output.notices = self._notices.drain()
        return output

    def _collect_from_replica(self, replica: Replica, output: StepOutput) -> None:
        for receiver, message in replica.drain_messages():
            if isinstance(message, m.OperatorCommandResult) and receiver == self.name:
                self._keep_result(message)
            else:
                output.messages.append((receiver, message))
        self._notices.extend(replica.notices)
        replica.notices.clear()

    def _pop_write(self) -> StoreWrite | None:
        """Return the write to complete before the rest of this step; None if nothing has changed."""
        if not self.has_store:
            return None
        raft = self.replica.raft if self.replica is not None else None
        log_write = raft.pop_write() if raft is not None else None
        state_changed = self._pop_state_changed()
        if log_write is None and not state_changed:
            return None
        store = self._store
        store.update_bootstrap(self._host.bootstrap.record)
        store.update_known_stores(self._host.store_fence.known_stores)
        self._persisted_floor = self.lease_holder.floor
        store.update_floor(self._persisted_floor)
        if raft is not None:
            store.update_vote(raft)
        return store.next_write(log_write)

    def _pop_state_changed(self) -> bool:
        """Return whether any state besides the log has changed since the last call."""
        changed = [
            self._store.pop_changed(),
            self._host.store_fence.unsaved,
            self._host.bootstrap.unsaved,
            self.lease_holder.floor_changed,
        ]
        self._host.store_fence.unsaved = False
        self._host.bootstrap.unsaved = False
        self.lease_holder.floor_changed = False
        return any(changed)

    # ---- operators' views ----

    def view_members(self, now: int) -> JsonObject:
        """Return all members as this gateway sees them; times in seconds."""
        return {
            "head": self.name,
            "fleet": self._host.bootstrap.record.fleet_id,
            "leader": self.leader,
            "keepers": [name_of(voter) for voter in self._host.voters],
            "health": self.membership.local_health,
            "members": members_view(now, self.membership),
        }

    def view_quota(self, now: int) -> JsonObject:
        """Return this gateway's lease and quota and, on a replica, the complete ledger."""
        view = {
            "head": self.name,
            "leader": self.leader,
            "leads": self.is_leader,
            "keeper": self.replica is not None,
            "own": lease_view(now, self.lease_holder),
        }
        return view | (self.replica.view(now) if self.replica is not None else {})
