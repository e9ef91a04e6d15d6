"""Retry tickets: one for each rejected request whose client may retry, in bounded memory.

A retry is recognized by its volume, key, class, units and shard, which are those of a recently rejected
request.  A ticket has only their 64-bit fingerprint (XXH3, seeded so that no client can construct a request
with the ticket of another one), so that neither ids nor contents of requests use memory.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

from .events import RequestReceived

MAX_TICKETS = 8192  # of one gateway; about 300 bytes each, 2.5 MB in all
_LAYOUT = struct.Struct("<QQIfi")  # volume, key, class, units, shard


@dataclass(slots=True, eq=False)
class RetryTicket:
    """The turn of one rejected request in the recovery queue of its shard.  Times are microseconds."""

    fingerprint: int  # hash of the request's operation
    shard: int
    flow: tuple[str, str] | None  # plan and class; None: in no queue
    units: float
    tag: float  # its turn, in the queue's virtual time
    retry_at: int  # when the client should retry
    retry_after_us: int  # the Retry-After time of its latest rejection
    first_rejected_at: int


class RetryTickets:
    """The tickets of one gateway, least recently rejected first; beyond ``max_tickets`` these are dropped."""

    def __init__(self, seed: int, max_tickets: int = MAX_TICKETS) -> None:
        self._seed = seed & 0xFFFF_FFFF_FFFF_FFFF
        self.max_tickets = max_tickets
        self._tickets: dict[int, RetryTicket] = {}
        self._by_shard: dict[int, dict[int, None]] = {}  # the fingerprints of each shard's tickets

    def __len__(self) -> int:
        return len(self._tickets)

    def __iter__(self) -> Iterator[RetryTicket]:
        return iter(self._tickets.values())

    def fingerprint(self, request: RequestReceived, class_position: int) -> int:
        """Return the fingerprint of a request: the hash of its volume, key, class, units and shard."""
        data = _LAYOUT.pack(request.volume_id, request.key, class_position, request.units, request.shard)
        return xxhash.xxh3_64_intdigest(data, self._seed)

    def find(self, fingerprint: int) -> RetryTicket | None:
        """Return the ticket with a fingerprint, or None."""
        return self._tickets.get(fingerprint)

    def keep(self, ticket: RetryTicket) -> RetryTicket | None:
        """Store the ticket of a request that was just rejected; return the one dropped for it, if any."""
        self.drop(ticket.fingerprint)
        self._tickets[ticket.fingerprint] = ticket
        self._by_shard.setdefault(ticket.shard, {})[ticket.fingerprint] = None
        if len(self._tickets) <= self.max_tickets:
            return None
        return self.drop(next(iter(self._tickets)))

    def drop(self, fingerprint: int) -> RetryTicket | None:
        """Remove and return the ticket with a fingerprint, or None."""
        ticket = self._tickets.pop(fingerprint, None)
        if ticket is not None:
            fingerprints = self._by_shard[ticket.shard]
            del fingerprints[fingerprint]
            if not fingerprints:
                del self._by_shard[ticket.shard]
        return ticket

    def drop_shard(self, shard: int) -> None:
        """Remove the tickets of a shard."""
        for fingerprint in list(self._by_shard.get(shard, ())):
            self.drop(fingerprint)

    def pop_overdue(self, before: int) -> RetryTicket | None:
        """Remove and return the oldest ticket if its client should have retried before ``before``."""
        first = next(iter(self._tickets.values()), None)
        if first is None or first.retry_at >= before:
            return None
        return self.drop(first.fingerprint)
