"""What a client has not read of its answers: charged to the buffers of the gateway until it has.

Each connection may hold a part uncharged, for which ``memory_budget`` sets memory aside.  A streamed answer
never holds more, as its node is paused, so its client is no holder of buffers however slowly it reads.
"""

from __future__ import annotations

from typing import Any

from .buffers import BufferPool
from .core.ports import Clock
from .memory_holders import Holder, MemoryHolders
from .output_progress import FIN_BYTES, OutputProgress

# Of what is read at once: one fills the transport's buffer, one was read before the pause.
UNCHARGED_READS = 2


class UnreadOutput:
    """The output of one client connection, whose transport reports when its write buffer is full.

    It has no reference to the connection: a cycle would keep the memory of lost ones until a collection.
    """

    def __init__(self, clock: Clock, pool: BufferPool, holders: MemoryHolders) -> None:
        self._progress = OutputProgress(clock)
        self._pool = pool
        self._holders = holders
        self.full = False  # the client reads more slowly than it is written to
        self._unread_bytes = 0  # written while the output is full, or that filled it
        self.charged = 0  # buffers

    def sample(self, link: Any) -> int:
        """Look whether the client has read since the last call; returns when it has last read anything."""
        return self._progress.sample(link)

    def stalled_at_us(self, link: Any) -> int:
        """When the client counts as stalled if it reads nothing until then, while the output is full."""
        self._progress.sample(link)
        return self._progress.stalled_at_us

    @property
    def is_unread(self) -> bool:
        """Whether the client had yet to take some of what was written at the latest sample."""
        return self.full or self._progress.unacknowledged > FIN_BYTES

    def filled(self, link: Any) -> None:
        """The transport's write buffer is full."""
        self.full = True
        self._progress.blocked(link)

    def charge(self, byte_count: int, holder: Holder) -> None:
        """Count bytes that were written while the output is full, or that filled it."""
        self._unread_bytes += byte_count
        excess_bytes = self._unread_bytes - UNCHARGED_READS * self._pool.io_bytes
        new_bytes = excess_bytes - self.charged * self._pool.size
        if new_bytes > 0:
            self._holders.add(holder)
            # Before anything is freed for it: that may end this very client.
            self.charged += self._pool.buffers_for(new_bytes)
            self._pool.charge(new_bytes)

    def emptied(self, holder: Holder) -> None:
        """The client has read all, or has left."""
        self.full = False
        self._unread_bytes = 0
        if not self.charged:
            return
        self._holders.remove(holder)
        charged, self.charged = self.charged, 0
        self._pool.refund(charged)
