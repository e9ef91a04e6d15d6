"""Bounds the memory that clients hold together which do not read as fast as their answers come."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from ..buffers import BufferPool
from .client_limits import SLOW_READER_US

if TYPE_CHECKING:
    from .client_connection import ClientConnection

MEMORY_DIVISOR = 2  # slow readers may hold this part of what buffers may hold


class SlowReaders:
    """The connections whose output is full, in the order in which they became so."""

    def __init__(self, pool: BufferPool) -> None:
        self._pool = pool
        self._unread_bytes: OrderedDict[ClientConnection, int] = OrderedDict()

    def add(self, connection: ClientConnection) -> None:
        """A client does not read as fast as its answer comes, which ends nothing by itself."""
        self._unread_bytes[connection] = connection.unread_bytes

    def remove(self, connection: ClientConnection) -> None:
        """It reads again, or is gone."""
        self._unread_bytes.pop(connection, None)

    def take_excess(self, now_us: int) -> ClientConnection | None:
        """The one to cut off: that has read nothing for longest, where all together hold too much.

        None where they don't, or where it has not been stuck for SLOW_READER_US.
        """
        if sum(self._unread_bytes.values()) <= self._pool.limit * self._pool.size // MEMORY_DIVISOR:
            return None
        slowest = next(iter(self._unread_bytes))
        if not slowest.output_full or now_us - slowest.stuck_since_us <= SLOW_READER_US:
            return None
        del self._unread_bytes[slowest]
        return slowest
