"""A stand-in storage node after the brief's model, without any wire: slots, a waiting room, cold starts.

Requests in work share the node's cores evenly (processor sharing), up to one core each.  A cold node has a
share of its power that rises evenly to the whole; one that is sent too much while cold falls over and stays
down.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

STEP_S = 0.05  # how often the power of a cold node is brought up to date


class Scheduler(Protocol):
    """Where a model gets its time from."""

    def seconds(self) -> float: ...
    def callLater(self, delay: float, call: Callable[..., Any], /, *args: Any) -> Any: ...


@dataclass(slots=True, frozen=True)
class Machine:
    """What a node can do; times in seconds, work in core-seconds at speed 1."""

    cores: int = 2
    slots: int = 5
    queue: int = 90  # beyond the slots
    speed: float = 1.0
    cold_from: float = 0.31  # of its power at the start
    cold_s: float = 17.0  # until it is warm
    fall_multiple: float = 3.0
    fall_s: float = 1.5

    @property
    def power(self) -> float:
        """Core-seconds of work that it does in a second when it is warm."""
        return self.cores * self.speed


@dataclass(slots=True, eq=False)
class Work:
    """One request at a node.  ``ended`` hears how it went: served, full or fallen."""

    core_s: float
    ended: Callable[[str], None]
    finish: float = 0.0  # in the node's own progress
    over: bool = False  # nobody waits for it any more

    def __lt__(self, other: Work) -> bool:
        return self.finish < other.finish


class Node:
    """The model of one node."""

    def __init__(self, scheduler: Scheduler, machine: Machine) -> None:
        self._time, self.machine = scheduler, machine
        self.up = self.fallen = False
        self.started_at: float | None = None  # None: long ago
        self._progress = 0.0  # core-seconds that each request in work has been given
        self._at = 0.0  # when that was
        self._running: list[Work] = []
        self._waiting: deque[Work] = deque()
        self._next: Any = None
        # when and how much, within the window of the rule
        self._arrived: deque[tuple[float, float]] = deque()
        self.pressure = 0.0  # the most that was sent in a window, over what it bore
        self.served = 0
        self.fell: Callable[[], None] = lambda: None  # what it was behind is to know

    # ---- its life ----

    def start(self, cold: bool) -> None:
        """Its process starts, cold or as one that has run for long."""
        self.up, self.fallen = True, False
        self.started_at = self._time.seconds() if cold else None
        self._at = self._time.seconds()
        self._arrived.clear()

    def stop(self) -> None:
        """Its process ends; whoever waited hears nothing from here."""
        self.up = False
        self._running, self._waiting = [], deque()
        self._cancel()

    def warmth(self) -> float:
        """The share of its power that it has now."""
        if self.started_at is None:
            return 1.0
        part = (self._time.seconds() - self.started_at) / self.machine.cold_s
        return min(1.0, self.machine.cold_from + (1 - self.machine.cold_from) * part)

    # ---- requests ----

    def take(self, core_s: float, ended: Callable[[str], None]) -> Work:
        """A request has come whole."""
        work = Work(core_s, ended)
        self._press(core_s)
        if self.fallen or not self.up:
            return work
        if len(self._running) < self.machine.slots:
            self._move()
            self._begin(work)
            self._plan()
        elif len(self._waiting) < self.machine.queue:
            self._waiting.append(work)
        else:
            self._time.callLater(0, ended, "full")
        return work

    def drop(self, work: Work) -> None:
        """Whoever sent it has gone: what waits is dropped, what runs goes on."""
        work.over = True
        if work in self._waiting:
            self._waiting.remove(work)

    def _begin(self, work: Work) -> None:
        work.finish = self._progress + work.core_s
        heapq.heappush(self._running, work)

    def _rate(self) -> float:
        """What each request in work is given a second."""
        return self.machine.speed * self.warmth() * min(1.0, self.machine.cores / max(1, len(self._running)))

    def _move(self) -> None:
        """Bring the progress up to now; the power of a cold node counts as it was at the last look."""
        now = self._time.seconds()
        if self._running:
            self._progress += (now - self._at) * self._rate()
        self._at = now

    def _plan(self) -> None:
        self._cancel()
        if self._running:
            left = max(0.0, self._running[0].finish - self._progress)
            wait = left / self._rate()
            self._next = self._time.callLater(wait if self.warmth() >= 1 else min(wait, STEP_S), self._due)

    def _cancel(self) -> None:
        if self._next is not None and self._next.active():
            self._next.cancel()
        self._next = None

    def _due(self) -> None:
        self._next = None
        self._move()
        done: list[Work] = []
        while self._running and self._running[0].finish <= self._progress + 1e-9:
            done.append(heapq.heappop(self._running))
        while self._waiting and len(self._running) < self.machine.slots:
            self._begin(self._waiting.popleft())
        self._plan()
        for work in done:
            self.served += 1
            work.ended("served")

    def _press(self, core_s: float) -> None:
        """The rule on cold nodes: too much within its window and the node falls over, whatever it turns
        away.
        """
        if self.started_at is None or self.warmth() >= 1 or self.fallen:
            return
        now, machine = self._time.seconds(), self.machine
        self._arrived.append((now, core_s))
        while self._arrived[0][0] < now - machine.fall_s:
            self._arrived.popleft()
        borne = machine.fall_multiple * self.warmth() * machine.power * machine.fall_s
        pressure = sum(much for _, much in self._arrived) / borne
        self.pressure = max(self.pressure, pressure)
        if pressure > 1:
            self.fallen = True
            self._running, self._waiting = [], deque()
            self._cancel()
            self._time.callLater(0, self.fell)
