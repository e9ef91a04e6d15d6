"""Frees memory for other clients, and decides who goes without.

First those go that hold memory and have stalled, the ones that did so first before the others.  A peer that
makes progress, in steps of any size, keeps what it holds: then new work is refused, which is the request that
asks for memory or, if that is an answer, the latest requests that wait for a node or are arriving.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol, TypeVar

from .buffers import BufferPool
from .core.ports import Clock

FREED_SHARE = 1 / 16  # of what may be lent, at once


class Stallable(Protocol):
    """A client that holds buffers, a place or a connection to a node while it sends or reads."""

    def stalled_at_us(self) -> int:
        """When it counts as stalled if it neither sends nor reads a byte until then; see ``PeerProgress``."""
        ...

    def evict(self) -> None:
        """Give up what the client holds, with its answer where one is possible."""
        ...


class Holder(Stallable, Protocol):
    """A client that holds buffers."""

    @property
    def is_new_work(self) -> bool:
        """Whether it holds what no node works on yet, and no answer."""
        ...


_Stallable = TypeVar("_Stallable", bound=Stallable)


def stalled_longest_first(holders: Iterable[_Stallable], now_us: int) -> list[_Stallable]:
    """Return those that have stalled, the ones stalled for longest first."""
    at_us = {holder: holder.stalled_at_us() for holder in holders}
    return sorted((holder for holder in at_us if at_us[holder] < now_us), key=at_us.__getitem__)


class MemoryHolders:
    """The clients that hold buffers of one pool; makes room when the pool is empty.

    :param evicted: called for each client that gives up what it holds.
    :param refuse_waiting: refuses the latest request that waits for a node; returns whether there was one.
    """

    def __init__(
        self,
        pool: BufferPool,
        clock: Clock,
        evicted: Callable[[], None],
        refuse_waiting: Callable[[], bool],
    ) -> None:
        self._pool = pool
        self._clock = clock
        self._evicted = evicted
        self._refuse_waiting = refuse_waiting
        self._holders: dict[Holder, None] = {}
        self._making_room = False
        pool.make_room = self.make_room
        pool.refuse_new_work = self.refuse_new_work

    def add(self, holder: Holder) -> None:
        """Register a client that begins to hold buffers."""
        self._holders[holder] = None

    def remove(self, holder: Holder) -> None:
        """Unregister a client that holds none any more; no-op for others."""
        self._holders.pop(holder, None)

    def make_room(self) -> bool:
        """Evict the clients stalled for longest until FREED_SHARE is free; returns whether any was."""
        return self._free_by(self._evict_stalled)

    def refuse_new_work(self) -> bool:
        """Refuse requests that wait or arrive, latest first, until memory is free; returns whether any is."""
        return self._free_by(self._refuse_latest)

    def _free_by(self, refuse: Callable[[], None]) -> bool:
        """Return whether ``refuse`` frees memory; it is not called while it, or another one, is at work."""
        if self._making_room:
            return False
        out_before = self._pool.out
        self._making_room = True
        try:
            refuse()
        finally:
            self._making_room = False
        return self._pool.out < out_before

    def _refuse_latest(self) -> None:
        out_before = self._pool.out
        while self._pool.out >= out_before and (self._refuse_waiting() or self._evict_latest_arriving()):
            pass

    def _evict_latest_arriving(self) -> bool:
        arriving = (holder for holder in reversed(self._holders) if holder.is_new_work)
        latest = next(arriving, None)
        if latest is not None:
            self._evict(latest)
        return latest is not None

    def _evict(self, holder: Holder) -> None:
        self._holders.pop(holder, None)
        self._evicted()
        holder.evict()

    def _evict_stalled(self) -> None:
        stalled = stalled_longest_first(self._holders, self._clock.now_us())
        enough = int(self._pool.large_body_limit * (1 - FREED_SHARE))
        for holder in stalled:
            if self._pool.out <= enough:
                break
            self._evict(holder)
