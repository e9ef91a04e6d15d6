"""Runs a gateway's replica of the log, if its configuration and its store allow one.

A replica votes once its fleet is bootstrapped (bootstrap.py) and its store is confirmed to be the latest
(store_fencing.py).  It is closed for the rest of the process when its log is broken or its store rejects
writes.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from . import messages as m
from .bootstrap import Bootstrap, BootstrapRecord
from .consensus import RaftNode
from .fleet_terms import FleetTerms
from .local_store import LocalStore
from .log_commands import LogEntry
from .notice_queue import NoticeQueue
from .outbox import Outbox
from .raft_log import LogBroken, RaftLog, Snapshot
from .replica import Replica
from .replica_id import make_replica_id, name_of
from .store_fencing import KnownStore, StoreFence

ReplicaMessage = m.StoreMark | m.StoreMarkVerdict | m.BootstrapStatus | m.BootstrapBind


class ReplicaHost:
    """One gateway's replica, with its bootstrap and its store fence.  Times are in microseconds.

    ``enabled``: this gateway may run a replica.
    """

    def __init__(
        self,
        terms: FleetTerms,
        terms_digest: str,
        name: str,
        store: LocalStore,
        rng: random.Random,
        now: int,
    ) -> None:
        state = store.state
        record = BootstrapRecord(state.fleet_id, state.voters, state.bound_to)
        known_stores = {store_id: KnownStore(*known) for store_id, known in state.known_stores.items()}
        self.enabled = name in terms.replicas and store.available
        self.replica: Replica | None = None
        self.bootstrap = Bootstrap(name, state.store_id, terms.replicas, terms_digest, record)
        self.store_fence = StoreFence(known_stores, now)
        self.outbox = Outbox()
        self.notices = NoticeQueue()
        self._terms = terms
        self._terms_digest = terms_digest
        self._name = name
        self._store = store
        self._rng = rng
        self._started_at = now
        self._failed = False

    # ---- state ----

    @property
    def is_voter(self) -> bool:
        """Whether the replica is one of the log's voters."""
        return self.replica is not None and self.replica.is_voter

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters' replica ids, from the log, or from the bootstrap if the log names none."""
        if self.replica is not None and self.replica.raft.voters:
            return self.replica.raft.voters
        return self.bootstrap.record.voters

    def due_times(self) -> list[int]:
        """Return the times at which ``maintain`` and the replica are due."""
        times = []
        if self.enabled:
            times.append(self.store_fence.next_at)
            if not self.is_voter:
                times.append(self.bootstrap.next_at)
        if self.replica is not None:
            times.append(self.replica.next_at)
        return times

    # ---- opening and closing ----

    def open(self, now: int, snapshot: Snapshot, entries: list[LogEntry]) -> None:
        """Open the replica on the persisted log, if the fleet is bootstrapped."""
        record = self.bootstrap.record
        if not record.fleet_id:
            return
        state = self._store.state
        replica_id = make_replica_id(self._name, state.store_id)
        if not snapshot.index and replica_id in record.voters:
            snapshot = Snapshot(0, 0, record.voters, b"")
        log = RaftLog(snapshot, entries)
        raft = RaftNode(replica_id, self._rng, now, state.term, state.voted_for, log)
        self.replica = Replica(self._terms, self._terms_digest, record.fleet_id, raft, self._started_at)

    def close(self) -> None:
        """Close the replica for good: its store rejects writes, or its log is broken."""
        self.replica = None
        self.enabled = False
        self._failed = True

    def replace_store(self, now: int) -> str:
        """Replace an outdated store; return the id of the new one, which applies to become a voter."""
        self.notices.add("store_outdated", store=self._store.state.store_id)
        store_id = f"{self._rng.getrandbits(48):012x}"
        self._store.replace(store_id, self.bootstrap.record)
        self.bootstrap.replace_store(store_id)
        self.store_fence.reset(now)
        self.replica = None
        return store_id

    # ---- steps ----

    def maintain(self, now: int, mark: m.StoreMark) -> None:
        """Open the replica, enable voting, and send the store's mark and bootstrap messages, as due."""
        self._open_if_bootstrapped(now)
        others = [name_of(voter) for voter in self.voters if name_of(voter) != self._name]
        may_vote = self.store_fence.may_vote(len(others))
        self._set_may_vote(may_vote)
        if self.store_fence.mark_is_due(now, may_vote):
            for name in others:
                self.outbox.send(name, mark)
        for receiver, message in self.bootstrap.tick(now, self.is_voter):
            self.outbox.send(receiver, message)
        for name, why in self.bootstrap.conflicts.items():
            self.notices.add_once(f"{name} {why}", "replica_conflict", head=name, why=why)

    def _open_if_bootstrapped(self, now: int) -> None:
        record = self.bootstrap.record
        if record.fleet_id and self.replica is None and not self._failed:
            self.open(now, Snapshot(), [])
            voters = ",".join(map(name_of, record.voters))
            self.notices.add("bootstrapped", fleet=record.fleet_id, voters=voters)

    def _set_may_vote(self, may_vote: bool) -> None:
        if self.replica is None:
            return
        if may_vote and not self.replica.raft.may_vote:
            self.notices.add("voting_enabled", replica=self.replica.raft.replica_id)
        self.replica.raft.may_vote = may_vote
        self.replica.add_applicants(self.bootstrap.drain_applicants())

    def receive(self, sender: str, message: ReplicaMessage) -> bool:
        """Process a message from another replica; return whether ``maintain`` must be called."""
        match message:
            case m.StoreMark():
                self.outbox.send(sender, self.store_fence.receive_mark(message))
                return False
            case m.StoreMarkVerdict():
                state = self._store.state
                if message.store_id != state.store_id or message.process != state.process:
                    return False
                self.store_fence.receive_verdict(sender, message)
            case m.BootstrapStatus() | m.BootstrapBind():
                for receiver, response in self.bootstrap.receive(sender, message):
                    self.outbox.send(receiver, response)
        return True

    def run_raft(self, step: Callable[[RaftNode], None]) -> None:
        """Run one step of consensus; close the replica if the step raises LogBroken."""
        if self.replica is None:
            return
        try:
            step(self.replica.raft)
        except LogBroken as error:
            self.notices.add("log_broken", why=str(error))
            self.close()
