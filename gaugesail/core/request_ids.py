"""The client request ids that may not be sent now, as they may be running already.

An id is in use while its request is open or has an attempt in flight.  If its client leaves and the request
may have run, the id is remembered for some time.  Two processes of a gateway tell each other the ids that
they send, and free them only once the client is known to have read its answer: until then it may have left,
which only the process that holds its connection can tell.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Protocol

from .ports import Clock

REMEMBERED_US = 60_000_000  # an id whose client has left, or which the sibling process has sent
MAX_REMEMBERED = 10_000  # the default of ``RequestIds.max_remembered``


class IdLink(Protocol):
    """Tells the sibling process which ids this one sends."""

    def ids_used(self, ids: tuple[str, ...]) -> None:
        """These ids may run from now on."""
        ...

    def ids_released(self, ids: tuple[str, ...]) -> None:
        """These ids may be sent again."""
        ...


class _ExpiringIds:
    """Ids in the order in which they expire."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._expires_us: OrderedDict[str, int] = OrderedDict()

    def __contains__(self, request_id: str) -> bool:
        expires_us = self._expires_us.get(request_id)
        return expires_us is not None and self._clock.now_us() < expires_us

    def __len__(self) -> int:
        return len(self._expires_us)

    def add(self, request_id: str, most: int) -> None:
        """Add an id; expired ones go, and beyond ``most`` the oldest."""
        now_us = self._clock.now_us()
        self._expires_us[request_id] = now_us + REMEMBERED_US
        self._expires_us.move_to_end(request_id)
        while len(self._expires_us) > most or next(iter(self._expires_us.values())) <= now_us:
            self._expires_us.popitem(last=False)

    def discard(self, request_id: str) -> None:
        self._expires_us.pop(request_id, None)

    def ids(self) -> list[str]:
        return list(self._expires_us)


class RequestIds:
    """The ids of one process, and those that its sibling process has told it."""

    def __init__(self, clock: Clock) -> None:
        self._in_use: set[str] = set()
        self._sent: set[str] = set()  # of those in use
        self._held: set[str] = set()  # whose client is connected and may not have read the answer
        self._unread: set[str] = set()  # of those, the ones that have run and are no longer in use
        self._abandoned = _ExpiringIds(clock)
        self._of_sibling = _ExpiringIds(clock)
        self.max_remembered = MAX_REMEMBERED
        self.link: IdLink | None = None

    def __len__(self) -> int:
        """The number of ids that are remembered without being in use here."""
        return len(self._abandoned) + len(self._of_sibling)

    def is_taken(self, request_id: str) -> bool:
        """Whether a request with this id may not be accepted."""
        return request_id in self._in_use or request_id in self._abandoned or request_id in self._of_sibling

    def may_have_run(self, request_id: str) -> bool:
        """Whether an earlier request with this id may have run, here or at the sibling process."""
        return request_id in self._of_sibling or request_id in self._abandoned

    def use(self, request_id: str) -> None:
        """Mark the id of an accepted request as in use."""
        self._in_use.add(request_id)

    def hold(self, request_id: str) -> None:
        """Keep an id from the sibling process until its client has read the answer, or has left."""
        self._held.add(request_id)

    def end_hold(self, request_id: str) -> None:
        """The client has read the answer, or the request has not run; ignored if the client has left."""
        self._held.discard(request_id)
        if request_id in self._unread:
            self._unread.discard(request_id)
            self._tell_released(request_id)

    def send(self, request_id: str) -> None:
        """Note that an attempt is about to be sent; the sibling process learns it before the node does."""
        self._sent.add(request_id)
        if self.link is not None:
            self.link.ids_used((request_id,))

    def abandon(self, request_id: str) -> None:
        """Remember an id that may have run, as its client has left."""
        self._held.discard(request_id)
        self._unread.discard(request_id)
        self._abandoned.add(request_id, self.max_remembered)
        if self.link is not None and request_id not in self._sent:
            self.link.ids_used((request_id,))  # which remembers it from now on

    def forget(self, request_id: str) -> None:
        """Forget an abandoned id that has not run after all."""
        self._abandoned.discard(request_id)
        self._tell_released(request_id)

    def release(self, request_id: str) -> None:
        """End the use of an id; it may be used again unless it was abandoned."""
        self._in_use.discard(request_id)
        if request_id not in self._sent:
            return
        self._sent.discard(request_id)
        if request_id in self._held:
            self._unread.add(request_id)
        elif request_id not in self._abandoned:
            self._tell_released(request_id)

    def _tell_released(self, request_id: str) -> None:
        if self.link is not None:
            self.link.ids_released((request_id,))

    # ---- the sibling process ----

    def running(self) -> tuple[str, ...]:
        """The ids that may be running, or have run for clients that left or may yet leave.

        Those of a sibling process are among them.
        """
        return (*self._of_sibling.ids(), *self.running_here())

    def running_here(self) -> tuple[str, ...]:
        """Those of this process alone; the ones that matter least come first."""
        return (*self._unread, *self._abandoned.ids(), *self._sent)

    def used_by_sibling(self, ids: tuple[str, ...]) -> None:
        """The sibling process may run these ids."""
        for request_id in ids:
            self._of_sibling.add(request_id, self.max_remembered)

    def released_by_sibling(self, ids: tuple[str, ...]) -> None:
        """The sibling process has ended these ids, and their clients had their answers."""
        for request_id in ids:
            self._of_sibling.discard(request_id)
