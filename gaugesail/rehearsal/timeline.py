"""Virtual time: delayed calls on a heap, so that thousands may be pending."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from twisted.internet.base import DelayedCall


class Timeline:
    """A replacement of Twisted's ``task.Clock`` for many calls: each costs O(log n) and runs at its own time.

    Calls with the same time run in the order in which they were scheduled.
    """

    def __init__(self) -> None:
        self._now = 0.0
        self._heap: list[tuple[float, int, Any]] = []
        self._entry_count = 0

    def seconds(self) -> float:
        """Return the current time."""
        return self._now

    def callLater(self, delay: float, call: Callable[..., Any], /, *args: Any, **named: Any) -> Any:
        """Schedule a call after ``delay`` seconds and return its DelayedCall."""
        delayed_call: Any = DelayedCall(
            self._now + delay, call, args, named, lambda _: None, self._moved_earlier, self.seconds
        )
        self._push(delayed_call)
        return delayed_call

    def _push(self, call: Any) -> None:
        self._entry_count += 1
        heapq.heappush(self._heap, (call.getTime(), self._entry_count, call))

    def _moved_earlier(self, call: Any) -> None:
        """Add an entry for a call that was reset to an earlier time; the old entry is skipped."""
        self._push(call)

    def next_at(self) -> float | None:
        """Return the time of the next call, or None if none is pending."""
        while self._heap:
            at, _, call = self._heap[0]
            if call.cancelled or call.called:
                heapq.heappop(self._heap)
            elif call.getTime() > at:  # it was delayed
                heapq.heappop(self._heap)
                call.activate_delay()
                self._push(call)
            else:
                return at
        return None

    def getDelayedCalls(self) -> list[Any]:
        """Return the pending calls."""
        return [call for _, _, call in self._heap if call.active()]

    def advance(self, seconds: float) -> None:
        """Let ``seconds`` pass; each call that becomes due runs at its own time."""
        end = self._now + seconds
        while (at := self.next_at()) is not None and at <= end:
            _, _, call = heapq.heappop(self._heap)
            self._now = max(self._now, at)
            call.called = 1
            call.func(*call.args, **call.kw)
        self._now = end

    def run_until(self, done: Callable[[], bool], limit_s: float) -> bool:
        """Advance from call to call until ``done`` is true; return false if it is not within ``limit_s``."""
        end = self._now + limit_s
        while not done():
            at = self.next_at()
            if at is None or at > end:
                self.advance(end - self._now)  # the time advances by the full limit
                return False
            self.advance(max(0.0, at - self._now))
        return True
