"""Exhaustive search of a small fleet: every state that the gateways can reach, whatever the network does.

Three gateways, each with a lease holder and one or three of them with a replica, share one quota.  A sent
message stays in flight: it may arrive at any time, any number of times, in any order, or never, which covers
loss, duplication and delay.  Only a lease request, which would be answered anew each time, arrives at most
once.  In addition there is a bounded number of lease requests, elections, crashes (the gateway restarts with
its store, as another process) and time steps of half a lease.  In every state, what all gateways may spend by
their own records and clocks must fit the limit.
"""

from __future__ import annotations

import io
import pickle
import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec

from gaugesail.coordination import messages as m
from gaugesail.coordination.consensus import RaftNode
from gaugesail.coordination.demand_tracker import DemandEstimate
from gaugesail.coordination.elections import Role
from gaugesail.coordination.fleet_terms import FleetTerms
from gaugesail.coordination.gateway_floor import PersistedFloor
from gaugesail.coordination.lease_holder import LeaseHolder
from gaugesail.coordination.limits_agreement import LimitsAgreement
from gaugesail.coordination.proposed_commands import ProposedCommands
from gaugesail.coordination.quota_allocator import QuotaAllocator
from gaugesail.coordination.quota_ledger import RateBurst
from gaugesail.coordination.raft_log import RaftLog, Snapshot
from gaugesail.coordination.replica import Replica
from gaugesail.coordination.replica_id import make_replica_id, name_of

NAMES = ("h0", "h1", "h2")
QUOTA_NAME = "p/1"
LIMIT: RateBurst = (100_000, 60_000)
QUANTUM = 4_000
NEVER = 1 << 60
LEASE_US = 4_000_000
FLEET_ID = "f"


class ConstantRandom(random.Random):
    """A random generator whose draws are constant, so that it adds nothing to a state."""

    def random(self) -> float:
        """Return a constant."""
        return 0.5

    def __reduce__(self) -> Any:
        return ConstantRandom, ()


@dataclass(slots=True, frozen=True)
class Budget:
    """How often each event may still happen."""

    lease_requests: int = 2  # of all gateways together
    elections: int = 0
    crashes: int = 0
    steps: int = 0  # time steps of half a lease


@dataclass(slots=True)
class GatewayState:
    """One gateway: its replica, its lease holder, and the term, vote and log in its store."""

    replica: Replica
    holder: LeaseHolder
    process: int
    term: int = 0
    vote: str = ""
    log: list[m.LogEntry] = field(default_factory=list)


Envelope = tuple[str, str, bytes]  # sender, receiver, encoded message


@dataclass(slots=True)
class FleetState:
    """One state of the search."""

    now: int
    gateways: dict[str, GatewayState]
    in_flight: tuple[Envelope, ...]  # every message sent so far
    remaining: Budget
    replica_count: int = 3


_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[m.Message] = msgspec.msgpack.Decoder(m.Message)


# Parts of a lease manager refer to state of their replica or their manager, which is counted there, once.
PARTS_WITH_SHARED_STATE = (LimitsAgreement, ProposedCommands, QuotaAllocator)
SHARED_FIELDS = frozenset({"_ledger", "_leases", "_outbox", "_proposals", "_raft", "_terms"})


def _own_state(part: Any) -> tuple[type, tuple[Any]]:
    return dict, ({name: value for name, value in vars(part).items() if name not in SHARED_FIELDS},)


def _state_key(state: FleetState) -> int:
    """Return a key that is equal for equal states, whether or not their parts are the same objects."""
    out = io.BytesIO()
    pickler = pickle.Pickler(out, 5)
    pickler.fast = True
    pickler.dispatch_table = {owner: _own_state for owner in PARTS_WITH_SHARED_STATE}
    pickler.dump(state)
    return hash(out.getvalue())


def _terms() -> FleetTerms:
    return FleetTerms(FLEET_ID, NAMES, LEASE_US, max_drift_ppm=0, max_gateways=3)


def _raft_node(
    name: str, now: int, replica_count: int, term: int, vote: str, log: list[m.LogEntry]
) -> RaftNode:
    voters = tuple(make_replica_id(name, "s") for name in NAMES[:replica_count])
    stored = RaftLog(Snapshot(0, 0, voters), log)
    return RaftNode(make_replica_id(name, "s"), ConstantRandom(), now, term, vote, stored, may_vote=True)


def _gateway_state(
    name: str, now: int, process: int, replica_count: int, term: int = 0, vote: str = "", log: Any = ()
) -> GatewayState:
    terms = _terms()
    replica = Replica(
        terms, "d", FLEET_ID, _raft_node(name, now, replica_count, term, vote, list(log)), -10 * LEASE_US
    )
    holder = LeaseHolder(terms, "d", process, f"s-{name}", PersistedFloor(), now, ConstantRandom())
    holder.set_limits({"p": LIMIT}, QUANTUM)
    return GatewayState(replica, holder, process, term, vote, list(log))


class Transitions:
    """The transitions between states."""

    def finish_step(self, state: FleetState, name: str) -> list[Envelope]:
        """Complete a gateway's step: apply committed entries, persist, and return the messages to send.

        Timers are set to constants, so that states do not differ by them.
        """
        gateway, now = state.gateways[name], state.now
        replica, raft = gateway.replica, gateway.replica.raft
        raft.replication._round_started_at = now - 1_000_000
        replica.process(now)
        if (write := raft.pop_write()) is not None:
            gateway.term, gateway.vote = write.term, write.voted_for
            if write.first_index is not None:
                gateway.log[write.first_index - 1 :] = write.entries
        sent = [(name, to, _encode(message)) for to, message in replica.drain_messages()]
        sent += [(name, to, _encode(message)) for to, message in gateway.holder.drain_messages()]
        replica.notices.clear()
        gateway.holder.notices.clear()
        gateway.holder.pop_quota_update()
        gateway.holder.floor_changed = False
        self._normalize_timers(gateway, now)
        return sent

    def _normalize_timers(self, gateway: GatewayState, now: int) -> None:
        raft, lease_manager, holder = gateway.replica.raft, gateway.replica.lease_manager, gateway.holder
        raft.replication._round_started_at = now - 1_000_000
        raft.replication.heartbeat_at = NEVER
        raft._election_at = NEVER
        raft._leader_contact_at = now - 10_000_000
        if not raft.replication.followers:
            raft.replication.round = 0
            for lease in lease_manager.leases.values() if lease_manager is not None else ():
                lease.confirmation_round = 0
        for follower in raft.replication.followers.values():
            follower.last_response_at = now
            follower.entries_sent_at = now
        if lease_manager is not None:
            lease_manager._allocator._resend_at = NEVER
            for lease in lease_manager.leases.values():
                lease.unconfirmed = dict.fromkeys(lease.unconfirmed, 0)
        schedule = holder._schedule
        schedule.next_at = NEVER
        schedule._waiting_since = None
        schedule._passed_over = set()
        schedule._preferred = ""
        holder._demands._recorded_at = now
        for estimate in holder._demands._estimates.values():
            estimate.requested_at = now

    def run_step(self, state: FleetState, name: str) -> FleetState:
        """Complete a gateway's step and send its messages; those to itself are delivered at once."""
        sent, in_flight = self.finish_step(state, name), set(state.in_flight)
        while sent:
            envelope = sent.pop(0)
            if envelope[0] == envelope[1]:
                self.deliver(state, name, envelope)
                sent += self.finish_step(state, name)
            else:
                in_flight.add(envelope)
        state.in_flight = tuple(sorted(in_flight))
        return state

    def deliver(self, state: FleetState, name: str, envelope: Envelope) -> None:
        """Deliver a message to a gateway; a lease request is then no longer in flight."""
        gateway, sender, message = state.gateways[name], envelope[0], _decoder.decode(envelope[2])
        match message:
            case m.LeaseResponse() | m.QuotaOrders():
                gateway.holder.receive(state.now, sender, message)
            case m.LeaseRequest():
                state.in_flight = tuple(other for other in state.in_flight if other != envelope)
                leader = gateway.replica.raft.leader
                for to, response in gateway.replica.receive_lease_request(
                    state.now, sender, message, name_of(leader) if leader else ""
                ):
                    state.in_flight = tuple(sorted({*state.in_flight, (name, to, _encode(response))}))
            case _:
                gateway.replica.raft.receive(state.now, message)

    # ---- events ----

    def successors(self, state: FleetState, pickled: bytes) -> Iterator[tuple[str, FleetState]]:
        """Yield the name of each possible event and the state after it; ``pickled`` is ``state``."""
        for envelope in state.in_flight:
            successor = pickle.loads(pickled)
            self.deliver(successor, envelope[1], envelope)
            yield "hear", self.run_step(successor, envelope[1])
        remaining = state.remaining
        if remaining.lease_requests:
            for name in NAMES:
                for leader in self._leaders(state):
                    successor = pickle.loads(pickled)
                    successor.remaining = replace(remaining, lease_requests=remaining.lease_requests - 1)
                    yield "ask", self.request_lease(successor, name, leader)
        if remaining.elections:
            for name in NAMES[: state.replica_count]:
                if state.gateways[name].replica.raft.role is not Role.LEADER:
                    successor = pickle.loads(pickled)
                    successor.remaining = replace(remaining, elections=remaining.elections - 1)
                    yield "stand", self.start_election(successor, name)
        if remaining.crashes:
            for name in NAMES:
                successor = pickle.loads(pickled)
                successor.remaining = replace(remaining, crashes=remaining.crashes - 1)
                old = successor.gateways[name]
                successor.gateways[name] = _gateway_state(
                    name,
                    successor.now,
                    old.process + 10,
                    successor.replica_count,
                    old.term,
                    old.vote,
                    old.log,
                )
                self._normalize_timers(successor.gateways[name], successor.now)
                yield "crash", successor
        if remaining.steps:
            successor = pickle.loads(pickled)
            successor.remaining = replace(remaining, steps=remaining.steps - 1)
            yield "time", self.advance_time(successor)

    def _leaders(self, state: FleetState) -> list[str]:
        """Return the gateways that believe they lead: a lease request to another has no effect."""
        return [name for name, gateway in state.gateways.items() if gateway.replica.raft.role is Role.LEADER]

    def request_lease(self, state: FleetState, name: str, leader: str) -> FleetState:
        """Let a gateway request its lease from this leader."""
        holder = state.gateways[name].holder
        holder._schedule.next_at = state.now
        holder.tick(state.now, [leader])
        return self.run_step(state, name)

    def start_election(self, state: FleetState, name: str) -> FleetState:
        """Let a replica stand for election."""
        raft = state.gateways[name].replica.raft
        raft._start_election(
            state.now, pre_vote=False
        )  # as if its pre-vote had succeeded: this reaches a superset of the real states
        return self.run_step(state, name)

    def advance_time(self, state: FleetState) -> FleetState:
        """Advance all clocks by just over half a lease."""
        state.now += LEASE_US // 2 + 1
        for name, gateway in state.gateways.items():
            raft = gateway.replica.raft
            for follower in raft.replication.followers.values():
                follower.last_response_at = state.now
            gateway.holder.tick(state.now, [])
            self.run_step(state, name)
        return state

    def deliver_all(self, state: FleetState) -> FleetState:
        """Deliver every message once, until no new ones are sent."""
        delivered: set[Envelope] = set()
        while pending := [envelope for envelope in state.in_flight if envelope not in delivered]:
            delivered.add(pending[0])
            self.deliver(state, pending[0][1], pending[0])
            self.run_step(state, pending[0][1])
        return state

    def initial_state(self, budget: Budget, replica_count: int = 3) -> FleetState:
        """Return the initial state: h0 leads, h1 has all leasable quota, and h2 begins to demand as much."""
        gateways = {name: _gateway_state(name, 0, n + 1, replica_count) for n, name in enumerate(NAMES)}
        state = FleetState(1_000_000, gateways, (), budget, replica_count)
        for name in NAMES:
            self._normalize_timers(gateways[name], state.now)
        self.deliver_all(self.start_election(state, "h0"))
        for _ in range(3):
            for name in NAMES:
                self.deliver_all(self.request_lease(state, name, "h0"))
        state.now += 2 * LEASE_US  # the raised limit is settled
        for name in NAMES:
            self.run_step(state, name)
            self.deliver_all(self.request_lease(state, name, "h0"))
        self.set_demand(state, "h1", 200_000)
        for _ in range(4):
            for name in NAMES:
                self.deliver_all(self.request_lease(state, name, "h0"))
        state.in_flight = ()
        self.set_demand(state, "h2", 200_000)
        for gateway in state.gateways.values():
            schedule = gateway.holder._schedule
            schedule._sent_at = {n: at for n, at in schedule._sent_at.items() if n == schedule.number}
        return state

    def set_demand(self, state: FleetState, name: str, rate: int) -> None:
        """Set the demand of a gateway, in thousandths of a unit a second."""
        estimates = state.gateways[name].holder._demands._estimates
        estimates[QUOTA_NAME] = DemandEstimate(1000, state.now, float(rate), float(rate))

    # ---- the invariant ----

    def spendable(self, state: FleetState) -> RateBurst:
        """Return what all gateways may spend now: allocations under leases that the holders count as valid,
        and all floors.
        """
        rate = burst = 0
        for gateway in state.gateways.values():
            holder = gateway.holder
            if (
                state.now < holder.lease_until
                and (allocation := holder.allocations.get(QUOTA_NAME)) is not None
            ):
                rate, burst = rate + allocation.rate, burst + allocation.burst
        floor = _terms().floor(*LIMIT)
        return rate + 3 * floor[0], burst + 3 * floor[1]

    def within_limit(self, state: FleetState) -> bool:
        """Return whether what all gateways may spend fits the limit."""
        rate, burst = self.spendable(state)
        return rate <= LIMIT[0] and burst <= LIMIT[1]


@dataclass(slots=True)
class SearchResult:
    """The result of a search."""

    states: int
    steps: Counter[str]
    complete: bool  # all reachable states were visited
    counterexample: list[str]  # the events that lead to a state in which the limit is exceeded
    two_leaders: int = 0  # states in which two gateways believe that they lead
    moved: int = 0  # states in which h2 has an allocation


def search(budget: Budget, replica_count: int = 3, max_states: int = 1_000_000) -> SearchResult:
    """Visit all reachable states, breadth first.

    Stops at the first state in which the limit is exceeded, and at ``max_states``.
    """
    transitions = Transitions()
    initial = transitions.initial_state(budget, replica_count)
    pickled = pickle.dumps(initial, 5)
    seen = {_state_key(initial)}
    previous: dict[int, tuple[int, str]] = {}
    result = SearchResult(1, Counter(), True, [])
    layer = [(_state_key(initial), pickled)]
    while layer:
        next_layer: list[tuple[int, bytes]] = []
        for parent, pickled in layer:
            state: FleetState = pickle.loads(pickled)
            for step, successor in transitions.successors(state, pickled):
                key = _state_key(successor)
                result.steps[step] += 1
                if key in seen:
                    continue
                seen.add(key)
                previous[key] = parent, step
                result.states += 1
                result.two_leaders += len(transitions._leaders(successor)) > 1
                result.moved += QUOTA_NAME in successor.gateways["h2"].holder.allocations
                if not transitions.within_limit(successor):
                    result.complete = False
                    while key in previous:
                        key, step = previous[key]
                        result.counterexample.insert(0, step)
                    return result
                if result.states >= max_states:
                    result.complete = False
                    return result
                next_layer.append((key, pickle.dumps(successor, 5)))
        layer = next_layer
    return result


INSTANCES = {  # by name: the budget of events, and the number of replicas
    "move": (Budget(lease_requests=3), 1),
    "expiry": (Budget(lease_requests=2, steps=2), 1),
    "crash": (Budget(lease_requests=2, crashes=1, steps=2), 1),
    "keepers": (Budget(lease_requests=1, crashes=1, steps=1), 3),
    "two_leaders": (Budget(lease_requests=0, elections=1, steps=2), 3),
}
