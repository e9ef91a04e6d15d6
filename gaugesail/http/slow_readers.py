"""Bounds the memory held by all clients that read more slowly than their answers arrive."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from ..buffers import BufferPool
from .client_limits import SLOW_READER_US

if TYPE_CHECKING:
    from .client_connection import ClientConnection

MEMORY_DIVISOR = 2  # slow readers may hold 1/2 of the buffer pool's limit


class SlowReaders:
    """The connections whose output is full, in the order in which it filled."""

    def __init__(self, pool: BufferPool) -> None:
        self._pool = pool
        self._unsent_bytes: OrderedDict[ClientConnection, int] = OrderedDict()

    def add(self, connection: ClientConnection) -> None:
        """Register a slow reader; being slow alone does not end a connection."""
        self._unsent_bytes[connection] = connection.unsent_bytes

    def remove(self, connection: ClientConnection) -> None:
        """Unregister a client that reads again or is lost."""
        self._unsent_bytes.pop(connection, None)

    def pop_slowest(self, now_us: int) -> ClientConnection | None:
        """Remove and return the connection to abort: the one that has read nothing for longest.

        None while all together hold less than the bound, or if that one has been blocked for less than
        SLOW_READER_US.
        """
        if sum(self._unsent_bytes.values()) <= self._pool.limit * self._pool.size // MEMORY_DIVISOR:
            return None
        slowest = next(iter(self._unsent_bytes))
        if not slowest.output_full or now_us - slowest.blocked_since_us <= SLOW_READER_US:
            return None
        del self._unsent_bytes[slowest]
        return slowest
