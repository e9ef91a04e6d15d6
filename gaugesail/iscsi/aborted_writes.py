"""The aborted writes of each initiator whose end at their nodes is not yet known.

An initiator that is told that a write was aborted, or that logs in anew after its connection was lost, may
write the same blocks again: nothing of the earlier write may run after that (RFC 7143, 11.5 and 6.3.5).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable


class AbortedWrites:
    """Counts the aborted writes of each initiator until they have ended."""

    def __init__(self) -> None:
        self._pending: Counter[str] = Counter()
        self._waiting: dict[str, list[Callable[[], None]]] = {}

    def begin(self, initiator: str) -> None:
        """A write of this initiator is being aborted."""
        self._pending[initiator] += 1

    def end(self, initiator: str) -> None:
        """The abort of one of its writes has ended, with whatever result."""
        self._pending[initiator] -= 1
        if not self._pending[initiator]:
            del self._pending[initiator]
            for call in self._waiting.pop(initiator, ()):
                call()

    def when_ended(self, initiator: str, call: Callable[[], None]) -> None:
        """Make a call once none of its writes is being aborted: now, or later."""
        if self._pending[initiator]:
            self._waiting.setdefault(initiator, []).append(call)
        else:
            call()


class SeveralAborts:
    """Waits for the ends of several aborts; calls ``ended`` once, with whether all ends are known."""

    def __init__(self, count: int, ended: Callable[[bool], None]) -> None:
        self._left = count
        self._all_known = True
        self._ended = ended
        if not count:
            ended(True)

    def one_ended(self, is_known: bool) -> None:
        """One abort has ended; ``is_known`` tells whether nothing of its write can run any more."""
        self._all_known = self._all_known and is_known
        self._left -= 1
        if not self._left:
            self._ended(self._all_known)
