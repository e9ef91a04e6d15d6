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

HELLO_US = 500_000
MOST_SEATS = 16


@dataclass(slots=True)
class BootstrapRecord:
    """What a keeper has kept of its fleet's beginning."""

    fleet: str = ""  # its id; empty: none yet
    seats: tuple[str, ...] = ()  # the first ones
    bound: str = ""  # the founder's store that it promised itself to


def seat_of(name: str, store: str) -> str:
    return f"{name}#{store}"


def name_of(seat: str) -> str:
    return seat.rpartition("#")[0]


def store_of(seat: str) -> str:
    return seat.rpartition("#")[2]


class Bootstrap:
    """One keeper's way into its fleet."""

    def __init__(
        self, name: str, store: str, keepers: tuple[str, ...], charter: str, kept: BootstrapRecord
    ) -> None:
        self._name, self.store, self._keepers, self._charter = name, store, keepers, charter
        self.kept = kept
        self._hello_at = 0
        self._bound: dict[str, str] = {}  # keepers that are bound to us, and their stores
        self._asked: dict[str, str] = {}  # names of stores that want a seat in a fleet that there is
        self.strange: dict[str, str] = {}  # keepers whose file differs in what binds, or of another fleet
        self.dirty = False

    @property
    def next_at(self) -> int:
        return self._hello_at

    @property
    def first(self) -> bool:
        """Whether this one founds."""
        return self._name == self._keepers[0]

    def applicants(self) -> dict[str, str]:
        """Keepers by name that have a fresh store, since the last call."""
        found, self._asked = self._asked, {}
        return found

    def _hello(self) -> BootstrapStatus:
        kept = self.kept
        return BootstrapStatus(self._charter, self.store, kept.fleet, kept.seats, kept.bound)

    def tick(self, now: int, seated: bool) -> list[tuple[str, Message]]:
        """Ask the others while there is no fleet, or no seat in it."""
        if (self.kept.fleet and seated) or now < self._hello_at:
            return []
        self._hello_at = now + HELLO_US
        others = [name for name in self._keepers if name != self._name]
        said: list[tuple[str, Message]] = [(name, self._hello()) for name in others]
        if self.first and not self.kept.fleet:
            if self.kept.bound != self.store:
                self.kept.bound, self.dirty = self.store, True
            said += [(name, BootstrapBind(self._charter, self.store)) for name in others]
            self._found()
        return said

    def receive(self, sender: str, message: BootstrapStatus | BootstrapBind) -> list[tuple[str, Message]]:
        """Take in what another keeper says; nothing it says undoes what is kept."""
        if sender not in self._keepers:
            return []
        if message.charter != self._charter:
            self.strange[sender] = "its file differs in what binds the fleet"
            return []
        self.strange.pop(sender, None)
        if isinstance(message, BootstrapBind):
            return self._bind(sender, message)
        kept = self.kept
        if message.fleet and not kept.fleet:
            self._adopt(message)
        elif message.fleet and message.fleet != kept.fleet:
            self.strange[sender] = "it belongs to another fleet of this name"
        elif not message.fleet and kept.fleet:
            self._asked[sender] = message.store
            return [(sender, self._hello())]
        elif not message.fleet and self.first:
            self._bound.pop(sender, None)
            if message.bound == self.store:
                self._bound[sender] = message.store
            self._found()
        elif message.fleet and seat_of(sender, message.store) not in message.seats:
            self._asked[sender] = message.store
        return []

    def _bind(self, sender: str, message: BootstrapBind) -> list[tuple[str, Message]]:
        kept = self.kept
        if sender != self._keepers[0] or kept.fleet:
            return [(sender, self._hello())]
        if not kept.bound:
            kept.bound, self.dirty = message.founder, True
        return [(sender, self._hello())]

    def _found(self) -> None:
        """All others have bound themselves: from here on there is a fleet."""
        if self.kept.fleet or len(self._bound) < len(self._keepers) - 1:
            return
        seats = [seat_of(name, store) for name, store in self._bound.items()]
        seats.append(seat_of(self._name, self.store))
        told = "\n".join([self._charter, *sorted(seats)])
        fleet = hashlib.blake2b(told.encode(), digest_size=8).hexdigest()
        self.kept.fleet, self.kept.seats, self.dirty = fleet, tuple(sorted(seats)), True

    def _adopt(self, told: BootstrapStatus) -> None:
        """There is a fleet: this one is among its founders, or asks for a seat."""
        mine = seat_of(self._name, self.store) in told.seats
        if mine and self.kept.bound and not any(self.kept.bound == store_of(seat) for seat in told.seats):
            return  # it was promised to another founder
        if len(told.seats) <= MOST_SEATS:
            self.kept.fleet, self.dirty = told.fleet, True
            self.kept.seats = told.seats

    def renew(self, store: str) -> None:
        """This store is put aside; another one asks for a seat in the same fleet."""
        self.store, self.dirty = store, True
        self.kept.bound = ""
