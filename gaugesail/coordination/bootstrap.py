"""How a fleet begins: once, with all the replicas that the files name, each bound to one founder.

The first of the names in alphabetical order is the founder.  Each replica without a fleet promises, in its
store, to be founded by that founder's store and by no other; when all have, the founder writes down who they
are, and from then on the voters are what the log says.  So no two fleets come of one set of stores, whatever
arrives late or twice, and whoever starts under whose name.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from .messages import BootstrapBind, BootstrapStatus, Message
from .replica_id import make_replica_id, store_id_of

STATUS_INTERVAL_US = 500_000  # between two questions to the others
MAX_VOTERS = 16  # that are taken from a message
FLEET_ID_BYTES = 8

Sent = list[tuple[str, Message]]  # messages, each with its receiver


@dataclass(slots=True)
class BootstrapRecord:
    """What a replica has persisted of its fleet's beginning."""

    fleet_id: str = ""  # empty: there is no fleet yet
    voters: tuple[str, ...] = ()  # the first ones' replica ids
    bound_to: str = ""  # the id of the founder's store that it promised itself to


class Bootstrap:
    """One replica's way into its fleet.  ``unsaved``: ``record`` or ``store_id`` is to be persisted."""

    def __init__(
        self, name: str, store_id: str, replicas: tuple[str, ...], terms_digest: str, record: BootstrapRecord
    ) -> None:
        self.store_id = store_id
        self.record = record
        self.unsaved = False
        self.conflicts: dict[str, str] = {}  # other replicas that do not fit, and why
        self._name = name
        self._replicas = replicas
        self._terms_digest = terms_digest
        self._status_at = 0
        self._bound_stores: dict[str, str] = {}  # replicas that are bound to this store, and their stores
        self._applicants: dict[str, str] = {}  # replicas whose store is no voter of the fleet that there is

    @property
    def next_at(self) -> int:
        """When ``tick`` has something to do."""
        return self._status_at

    @property
    def is_founder(self) -> bool:
        """Whether this replica founds the fleet: it is the first that the file names."""
        return self._name == self._replicas[0]

    def drain_applicants(self) -> dict[str, str]:
        """Return the replicas, by name, whose store is no voter, since the last call."""
        applicants = self._applicants
        self._applicants = {}
        return applicants

    def replace_store(self, store_id: str) -> None:
        """This replica's store is replaced by another, which applies to the same fleet."""
        self.store_id = store_id
        self.record.bound_to = ""
        self.unsaved = True

    # ---- time ----

    def tick(self, now: int, is_voter: bool) -> Sent:
        """Ask the others while there is no fleet, or this replica is no voter; return what is sent."""
        if (self.record.fleet_id and is_voter) or now < self._status_at:
            return []
        self._status_at = now + STATUS_INTERVAL_US
        others = [name for name in self._replicas if name != self._name]
        sent: Sent = [(name, self._status()) for name in others]
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

    def receive(self, sender: str, message: BootstrapStatus | BootstrapBind) -> Sent:
        """Take in what another replica says, and return the answer.  Nothing undoes what is persisted."""
        if sender not in self._replicas:
            return []
        if message.terms_digest != self._terms_digest:
            self.conflicts[sender] = "its file differs in what binds the fleet"
            return []
        self.conflicts.pop(sender, None)
        if isinstance(message, BootstrapBind):
            return self._receive_bind(sender, message)
        if message.fleet_id:
            self._receive_fleet(sender, message)
            return []
        return self._receive_without_fleet(sender, message)

    def _receive_bind(self, sender: str, message: BootstrapBind) -> Sent:
        """Promise this replica to the founder, unless it is promised already."""
        founds = sender == self._replicas[0] and not self.record.fleet_id
        if founds and not self.record.bound_to:
            self._bind_to(message.founder_store)
        return [(sender, self._status())]

    def _receive_fleet(self, sender: str, status: BootstrapStatus) -> None:
        """Another replica has a fleet."""
        if not self.record.fleet_id:
            self._join(status)
        elif status.fleet_id != self.record.fleet_id:
            self.conflicts[sender] = "it belongs to another fleet of this name"
        elif make_replica_id(sender, status.store_id) not in status.voters:
            self._applicants[sender] = status.store_id

    def _receive_without_fleet(self, sender: str, status: BootstrapStatus) -> Sent:
        """Another replica has no fleet: it is told of this one's, or counted among the founders."""
        if self.record.fleet_id:
            self._applicants[sender] = status.store_id
            return [(sender, self._status())]
        if self.is_founder:
            self._bound_stores.pop(sender, None)
            if status.bound_to == self.store_id:
                self._bound_stores[sender] = status.store_id
            self._found_if_all_bound()
        return []

    # ---- the beginning ----

    def _found_if_all_bound(self) -> None:
        """Once all others are bound to this store there is a fleet."""
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
        """Join the fleet that there is, unless this replica is promised to another founder."""
        is_founding_voter = make_replica_id(self._name, self.store_id) in status.voters
        founders = {store_id_of(voter) for voter in status.voters}
        if is_founding_voter and self.record.bound_to and self.record.bound_to not in founders:
            return
        if len(status.voters) <= MAX_VOTERS:
            self.record.fleet_id = status.fleet_id
            self.record.voters = status.voters
            self.unsaved = True
