"""Draining a head: clients are sent away, a few idle connections at a time, and nothing taken is lost."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from .core.ports import Call, Clock

FIRST_US = 500_000  # until then connections end with their answers alone: what crosses a close fails
LAST_US = 1_800_000  # by then all idle ones are closed: what came before is over 2 s old at 4 s
STEP_US = 100_000


class Drain:
    """Whether a head is drained, and the closing of what is idle while it is."""

    def __init__(self, clock: Clock, idle: Callable[[], Sequence[Any]]) -> None:
        self._clock, self._idle = clock, idle  # the longest idle first
        self.on = False
        self._since = 0
        self._step: Call | None = None

    def set(self, on: bool) -> None:
        if on and not self.on:
            self._since = self._clock.now_us()
        self.on = on
        if on and self._step is None:
            self._step = self._clock.call_later(FIRST_US, self._shed)

    def _shed(self) -> None:
        self._step = None
        if not self.on:
            return
        left = LAST_US - (self._clock.now_us() - self._since)
        idle = self._idle()
        for connection in idle[: -(-len(idle) // max(1, left // STEP_US))]:
            connection.close()
        self._step = self._clock.call_later(STEP_US, self._shed)
