"""How a fleet begins: once, by all keepers that the files name, each of which binds itself to one founder.

The first of the names founds.  Each keeper without a fleet promises, in its store, to be founded by that
founder's store and by no other; when all have, the founder writes down who they are, and from then on the
seats are what the log says.  So no two fleets come of one set of stores, whatever arrives late or twice, or
who starts under whose name.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from .messages import BootstrapBind, BootstrapStatus, Message
from .replica_id import make_replica_id, store_id_of

HELLO_US = 500_000
MOST_SEATS = 16


@dataclass(slots=True)
class BootstrapRecord:
    """What a keeper has kept of its fleet's beginning."""

    fleet_id: str = ""  # its id; empty: none yet
    voters: tuple[str, ...] = ()  # the first ones
    bound_to: str = ""  # the founder's store that it promised itself to


class Bootstrap:
    """One keeper's way into its fleet."""

    def __init__(
        self, name: str, store: str, keepers: tuple[str, ...], charter: str, kept: BootstrapRecord
    ) -> None:
        self._name, self.store_id, self._keepers, self._charter = name, store, keepers, charter
        self.record = kept
        self._hello_at = 0
        self._bound: dict[str, str] = {}  # keepers that are bound to us, and their stores
        self._asked: dict[str, str] = {}  # names of stores that want a seat in a fleet that there is
        self.conflicts: dict[str, str] = {}  # keepers whose file differs in what binds, or of another fleet
        self.unsaved = False

    @property
    def next_at(self) -> int:
        return self._hello_at

    @property
    def is_founder(self) -> bool:
        """Whether this one founds."""
        return self._name == self._keepers[0]

    def take_applicants(self) -> dict[str, str]:
        """Keepers by name that have a fresh store, since the last call."""
        found, self._asked = self._asked, {}
        return found

    def _hello(self) -> BootstrapStatus:
        kept = self.record
        return BootstrapStatus(self._charter, self.store_id, kept.fleet_id, kept.voters, kept.bound_to)

    def tick(self, now: int, seated: bool) -> list[tuple[str, Message]]:
        """Ask the others while there is no fleet, or no seat in it."""
        if (self.record.fleet_id and seated) or now < self._hello_at:
            return []
        self._hello_at = now + HELLO_US
        others = [name for name in self._keepers if name != self._name]
        said: list[tuple[str, Message]] = [(name, self._hello()) for name in others]
        if self.is_founder and not self.record.fleet_id:
            if self.record.bound_to != self.store_id:
                self.record.bound_to, self.unsaved = self.store_id, True
            said += [(name, BootstrapBind(self._charter, self.store_id)) for name in others]
            self._found()
        return said

    def receive(self, sender: str, message: BootstrapStatus | BootstrapBind) -> list[tuple[str, Message]]:
        """Take in what another keeper says; nothing it says undoes what is kept."""
        if sender not in self._keepers:
            return []
        if message.terms_digest != self._charter:
            self.conflicts[sender] = "its file differs in what binds the fleet"
            return []
        self.conflicts.pop(sender, None)
        if isinstance(message, BootstrapBind):
            return self._bind(sender, message)
        kept = self.record
        if message.fleet_id and not kept.fleet_id:
            self._adopt(message)
        elif message.fleet_id and message.fleet_id != kept.fleet_id:
            self.conflicts[sender] = "it belongs to another fleet of this name"
        elif not message.fleet_id and kept.fleet_id:
            self._asked[sender] = message.store_id
            return [(sender, self._hello())]
        elif not message.fleet_id and self.is_founder:
            self._bound.pop(sender, None)
            if message.bound_to == self.store_id:
                self._bound[sender] = message.store_id
            self._found()
        elif message.fleet_id and make_replica_id(sender, message.store_id) not in message.voters:
            self._asked[sender] = message.store_id
        return []

    def _bind(self, sender: str, message: BootstrapBind) -> list[tuple[str, Message]]:
        kept = self.record
        if sender != self._keepers[0] or kept.fleet_id:
            return [(sender, self._hello())]
        if not kept.bound_to:
            kept.bound_to, self.unsaved = message.founder_store, True
        return [(sender, self._hello())]

    def _found(self) -> None:
        """All others have bound themselves: from here on there is a fleet."""
        if self.record.fleet_id or len(self._bound) < len(self._keepers) - 1:
            return
        seats = [make_replica_id(name, store) for name, store in self._bound.items()]
        seats.append(make_replica_id(self._name, self.store_id))
        told = "\n".join([self._charter, *sorted(seats)])
        fleet = hashlib.blake2b(told.encode(), digest_size=8).hexdigest()
        self.record.fleet_id, self.record.voters, self.unsaved = fleet, tuple(sorted(seats)), True

    def _adopt(self, told: BootstrapStatus) -> None:
        """There is a fleet: this one is among its founders, or asks for a seat."""
        mine = make_replica_id(self._name, self.store_id) in told.voters
        if (
            mine
            and self.record.bound_to
            and not any(self.record.bound_to == store_id_of(seat) for seat in told.voters)
        ):
            return  # it was promised to another founder
        if len(told.voters) <= MOST_SEATS:
            self.record.fleet_id, self.unsaved = told.fleet_id, True
            self.record.voters = told.voters

    def replace_store(self, store: str) -> None:
        """This store is put aside; another one asks for a seat in the same fleet."""
        self.store_id, self.unsaved = store, True
        self.record.bound_to = ""
