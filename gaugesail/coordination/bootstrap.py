"""Bootstraps a fleet, once, from all the configured replicas, each bound to one founder.

The founder is the replica whose name comes first in alphabetical order.  Each replica without a fleet
promises, in its store, to be a founding voter only of a fleet that this founder's store founds.  When all
have promised, the founder persists the fleet's id and voters; from then on the voters are those of the log.
So one set of stores never forms two fleets, even if messages are delayed or duplicated, or a process starts
under another's name.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from .messages import BootstrapBind, BootstrapStatus, Message
from .replica_id import make_replica_id, store_id_of

STATUS_INTERVAL_US = 500_000  # between two status messages to the other replicas
MAX_VOTERS = 16  # accepted in a message
FLEET_ID_BYTES = 8

Outgoing = list[tuple[str, Message]]  # messages, each with its receiver


@dataclass(slots=True)
class BootstrapRecord:
    """The persisted state of a replica's bootstrap."""

    fleet_id: str = ""  # empty: no fleet yet
    voters: tuple[str, ...] = ()  # replica ids of the first voters
    bound_to: str = ""  # id of the founder's store that the replica is bound to


class Bootstrap:
    """One replica's bootstrap.  ``unsaved``: ``record`` or ``store_id`` must be persisted."""

    def __init__(
        self, name: str, store_id: str, replicas: tuple[str, ...], terms_digest: str, record: BootstrapRecord
    ) -> None:
        self.store_id = store_id
        self.record = record
        self.unsaved = False
        self.conflicts: dict[str, str] = {}  # reasons of conflicts, by the other replica's name
        self._name = name
        self._replicas = replicas
        self._terms_digest = terms_digest
        self._status_at = 0
        self._bound_stores: dict[str, str] = {}  # store ids of replicas bound to this store, by name
        self._applicants: dict[str, str] = {}  # store ids of replicas whose store is not a voter, by name

    @property
    def next_at(self) -> int:
        """When ``tick`` is due next."""
        return self._status_at

    @property
    def is_founder(self) -> bool:
        """Whether this replica founds the fleet: its name is the first in alphabetical order."""
        return self._name == self._replicas[0]

    def drain_applicants(self) -> dict[str, str]:
        """Return and remove the replicas whose store is not a voter: store ids by name."""
        applicants = self._applicants
        self._applicants = {}
        return applicants

    def replace_store(self, store_id: str) -> None:
        """Switch to a new store, which applies to the same fleet."""
        self.store_id = store_id
        self.record.bound_to = ""
        self.unsaved = True

    # ---- time ----

    def tick(self, now: int, is_voter: bool) -> Outgoing:
        """Return the status messages that are due while there is no fleet or this replica is not a voter."""
        if (self.record.fleet_id and is_voter) or now < self._status_at:
            return []
        self._status_at = now + STATUS_INTERVAL_US
        others = [name for name in self._replicas if name != self._name]
        sent: Outgoing = [(name, self._status()) for name in others]
        if self.is_founder and not self.record.fleet_id:
            self._bind_to(self.store_id)
            sent += [(name, BootstrapBind(self._terms_digest, self.store_id)) for name in others]
            self._found_if_all_bound()
        return sent

    def _status(self) -> BootstrapStatus:
        record = self.record
        return BootstrapStatus(
            self._terms_digest, self.store_id, record.fleet_id, record.voters, record.bound_to
        )

    def _bind_to(self, founder_store: str) -> None:
        if self.record.bound_to != founder_store:
            self.record.bound_to = founder_store
            self.unsaved = True

    # ---- messages ----

    def receive(self, sender: str, message: BootstrapStatus | BootstrapBind) -> Outgoing:
        """Process another replica's message; return the responses.  A persisted promise is never revoked."""
        if sender not in self._replicas:
            return []
        if message.terms_digest != self._terms_digest:
            self.conflicts[sender] = "its configuration differs in the fleet's terms"
            return []
        self.conflicts.pop(sender, None)
        if isinstance(message, BootstrapBind):
            return self._receive_bind(sender, message)
        if message.fleet_id:
            self._receive_fleet(sender, message)
            return []
        return self._receive_without_fleet(sender, message)

    def _receive_bind(self, sender: str, message: BootstrapBind) -> Outgoing:
        """Bind this replica to the founder's store, unless it is bound already."""
        founds = sender == self._replicas[0] and not self.record.fleet_id
        if founds and not self.record.bound_to:
            self._bind_to(message.founder_store)
        return [(sender, self._status())]

    def _receive_fleet(self, sender: str, status: BootstrapStatus) -> None:
        """Process the status of a replica that has a fleet."""
        if not self.record.fleet_id:
            self._join(status)
        elif status.fleet_id != self.record.fleet_id:
            self.conflicts[sender] = "it belongs to another fleet of this name"
        elif make_replica_id(sender, status.store_id) not in status.voters:
            self._applicants[sender] = status.store_id

    def _receive_without_fleet(self, sender: str, status: BootstrapStatus) -> Outgoing:
        """Process the status of a replica without a fleet: send it this one's fleet, or count its promise."""
        if self.record.fleet_id:
            self._applicants[sender] = status.store_id
            return [(sender, self._status())]
        if self.is_founder:
            self._bound_stores.pop(sender, None)
            if status.bound_to == self.store_id:
                self._bound_stores[sender] = status.store_id
            self._found_if_all_bound()
        return []

    # ---- founding and joining ----

    def _found_if_all_bound(self) -> None:
        """Found the fleet once all other replicas are bound to this store."""
        if self.record.fleet_id or len(self._bound_stores) < len(self._replicas) - 1:
            return
        voters = [make_replica_id(name, store_id) for name, store_id in self._bound_stores.items()]
        voters.append(make_replica_id(self._name, self.store_id))
        voters.sort()
        text = "\n".join([self._terms_digest, *voters])
        self.record.fleet_id = hashlib.blake2b(text.encode(), digest_size=FLEET_ID_BYTES).hexdigest()
        self.record.voters = tuple(voters)
        self.unsaved = True

    def _join(self, status: BootstrapStatus) -> None:
        """Join an existing fleet, unless this replica is bound to another founder's store."""
        is_founding_voter = make_replica_id(self._name, self.store_id) in status.voters
        voter_stores = {store_id_of(voter) for voter in status.voters}
        if is_founding_voter and self.record.bound_to and self.record.bound_to not in voter_stores:
            return
        if len(status.voters) <= MAX_VOTERS:
            self.record.fleet_id = status.fleet_id
            self.record.voters = status.voters
            self.unsaved = True
