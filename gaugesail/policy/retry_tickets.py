"""Retry tickets: one for each rejected request whose client may come back, in bounded memory.

A retry is known by what it asks for: the same volume, key, class, size and shard so soon after a rejection.
That is kept as a 64-bit hash (XXH3, with a seed so that nobody outside can aim at another's ticket), so that
neither ids nor contents of requests cost memory.
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

    fingerprint: int  # the hash of what is asked for
    shard: int
    flow: tuple[str, str] | None  # plan and class; None: in no queue
    units: float
    tag: float  # its turn, in the queue's progress
    retry_at: int  # when its client was told to come back
    retry_after_us: int  # the Retry-After time that it was told
    first_rejected_at: int
    timeouts: int = 0  # attempts that ran out of time


class RetryTickets:
    """The tickets of one gateway, oldest Retry-After first; beyond ``max_tickets`` the oldest go."""

    def __init__(self, seed: int, max_tickets: int = MAX_TICKETS) -> None:
        self._seed = seed & 0xFFFF_FFFF_FFFF_FFFF
        self.max_tickets = max_tickets
        self._tickets: dict[int, RetryTicket] = {}

    def __len__(self) -> int:
        return len(self._tickets)

    def __iter__(self) -> Iterator[RetryTicket]:
        return iter(self._tickets.values())

    def fingerprint(self, request: RequestReceived, class_index: int) -> int:
        """The hash of what a request asks for."""
        data = _LAYOUT.pack(request.volume_id, request.key, class_index, request.units, request.shard)
        return xxhash.xxh3_64_intdigest(data, self._seed)

    def find(self, fingerprint: int) -> RetryTicket | None:
        """The ticket of what is asked for, if there is one."""
        return self._tickets.get(fingerprint)

    def keep(self, ticket: RetryTicket) -> RetryTicket | None:
        """Keep a ticket whose client was just rejected; return the one dropped for it, if any."""
        self._tickets.pop(ticket.fingerprint, None)
        self._tickets[ticket.fingerprint] = ticket
        if len(self._tickets) <= self.max_tickets:
            return None
        return self.drop(next(iter(self._tickets)))

    def drop(self, fingerprint: int) -> RetryTicket | None:
        """Remove and return the ticket of what is asked for, if there is one."""
        return self._tickets.pop(fingerprint, None)

    def take_overdue(self, before: int) -> RetryTicket | None:
        """Remove and return the oldest ticket if its client was to come back before then."""
        first = next(iter(self._tickets.values()), None)
        if first is None or first.retry_at >= before:
            return None
        return self.drop(first.fingerprint)
