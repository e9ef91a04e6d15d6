"""Who was refused and may come back: one ticket for each request that is asked for again, in bounded memory.

A repeat is known by its client's mark where clients mark them, and else by what it asks for: the same volume,
piece of data, class and size so soon after a refusal.  What is asked for is kept as a 64-bit hash (XXH3,
seeded so that nobody outside can aim at another's), so that neither ids nor contents of requests cost
memory.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

from .events import RequestReceived

MOST = 8192  # tickets of one gateway, about 300 bytes each: 2.5 MB in all, whatever clients send
_LAYOUT = struct.Struct("<QQIfi")


@dataclass(slots=True, eq=False)
class RetryTicket:
    """A place in the line of one shard."""

    fingerprint: int  # the hash of what is asked for
    shard: int
    flow: tuple[str, str] | None  # plan and class; None: in no line
    units: float
    tag: float  # its place, in the line's own progress
    retry_at: int  # when its client was told to come back
    retry_after_us: int  # and how long that was ahead then
    first_rejected_at: int  # its first refusal
    timeouts: int = 0  # attempts that ran out of time


class RetryTickets:
    """The tickets of one gateway, those told longest ago first; beyond ``most`` those go."""

    def __init__(self, seed: int, most: int = MOST) -> None:
        self._seed, self.most = seed & 0xFFFF_FFFF_FFFF_FFFF, most
        self._tickets: dict[int, RetryTicket] = {}

    def __len__(self) -> int:
        return len(self._tickets)

    def __iter__(self) -> Iterator[RetryTicket]:
        return iter(self._tickets.values())

    def fingerprint(self, request: RequestReceived, kind: int) -> int:
        """The hash of what a request asks for; ``kind`` is its class's place in the books."""
        told = _LAYOUT.pack(request.volume_id, request.key, kind, request.units, request.shard)
        return xxhash.xxh3_64_intdigest(told, self._seed)

    def find(self, mark: int) -> RetryTicket | None:
        return self._tickets.get(mark)

    def keep(self, ticket: RetryTicket) -> RetryTicket | None:
        """Keep a ticket that has just been told; the one that has to go for it, if any."""
        self._tickets.pop(ticket.fingerprint, None)
        self._tickets[ticket.fingerprint] = ticket
        if len(self._tickets) <= self.most:
            return None
        return self.drop(next(iter(self._tickets)))

    def drop(self, mark: int) -> RetryTicket | None:
        return self._tickets.pop(mark, None)

    def take_overdue(self, before: int) -> RetryTicket | None:
        """Take out one whose client was told to come back before then, and has not."""
        first = next(iter(self._tickets.values()), None)
        if first is None or first.retry_at >= before:
            return None
        return self.drop(first.fingerprint)
