"""A model of a storage node, without a network: service slots, a bounded queue and cold starts.

Requests in service share the node's cores evenly (processor sharing), up to one core each.  A cold node has a
share of its capacity, which rises linearly to all of it; a cold node that receives too much fails and stays
down.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

CAPACITY_UPDATE_S = 0.05  # the capacity of a cold node is recomputed this often


class Scheduler(Protocol):
    """The clock and timers of a model: a Twisted reactor, or one in virtual time."""

    def seconds(self) -> float:
        """Return the present time."""
        ...

    def callLater(self, delay: float, call: Callable[..., Any], /, *args: Any) -> Any:
        """Schedule a call after ``delay`` seconds; return its timer."""
        ...


@dataclass(slots=True, frozen=True)
class Machine:
    """The capacity of a node; times in seconds, work in core-seconds at speed 1."""

    cores: int = 2
    slots: int = 5
    queue_size: int = 90  # requests beyond the slots
    speed: float = 1.0
    initial_share: float = 0.31  # of the capacity, at a cold start
    warm_up_s: float = 17.0  # from a cold start until it has its full capacity
    overload_factor: float = 3.0  # of the present capacity; a cold node that receives more fails
    overload_window_s: float = 1.5  # over which the received work is counted

    @property
    def capacity(self) -> float:
        """Core-seconds of work a second when warm."""
        return self.cores * self.speed


@dataclass(slots=True, eq=False)
class Job:
    """One request at a node; ``on_end`` is called with its result, ``served`` or ``full``."""

    core_s: float
    on_end: Callable[[str], None]
    finish: float = 0.0  # the progress of the node at which it is complete
    abandoned: bool = False  # its connection has closed

    def __lt__(self, other: Job) -> bool:
        return self.finish < other.finish


class NodeModel:
    """The model of one node.

    ``pressure`` is the largest work received within an overload window while cold, relative to what the node
    can bear; above 1 it fails and calls ``on_failure``.
    """

    def __init__(self, scheduler: Scheduler, machine: Machine) -> None:
        self._scheduler, self.machine = scheduler, machine
        self.running = self.failed = False
        self.started_at: float | None = None  # of the last cold start; None: warm
        self._progress = 0.0  # core-seconds that each request in service has received
        self._progress_at = 0.0  # time of ``_progress``
        self._in_service: list[Job] = []
        self._waiting: deque[Job] = deque()
        self._timer: Any = None
        # (time, core-seconds) of the requests received within the overload window
        self._arrived: deque[tuple[float, float]] = deque()
        self.pressure = 0.0
        self.served = 0
        self.on_failure: Callable[[], None] = lambda: None

    # ---- the process ----

    def start(self, cold: bool) -> None:
        """Start the process, cold or as if it had run for long."""
        self.running, self.failed = True, False
        self.started_at = self._scheduler.seconds() if cold else None
        self._progress_at = self._scheduler.seconds()
        self._arrived.clear()

    def stop(self) -> None:
        """End the process; requests in service or queued get no result."""
        self.running = False
        self._in_service, self._waiting = [], deque()
        self._cancel()

    def capacity_share(self) -> float:
        """Return the present share of the capacity."""
        if self.started_at is None:
            return 1.0
        part = (self._scheduler.seconds() - self.started_at) / self.machine.warm_up_s
        return min(1.0, self.machine.initial_share + (1 - self.machine.initial_share) * part)

    # ---- requests ----

    def receive(self, core_s: float, on_end: Callable[[str], None]) -> Job:
        """Receive a complete request; a node that is down or has failed never answers it."""
        job = Job(core_s, on_end)
        self._check_overload(core_s)
        if self.failed or not self.running:
            return job
        if len(self._in_service) < self.machine.slots:
            self._update_progress()
            self._start_job(job)
            self._schedule_completion()
        elif len(self._waiting) < self.machine.queue_size:
            self._waiting.append(job)
        else:
            self._scheduler.callLater(0, on_end, "full")
        return job

    def abandon(self, job: Job) -> None:
        """The sender closed its connection: a queued request is dropped, one in service continues."""
        job.abandoned = True
        if job in self._waiting:
            self._waiting.remove(job)

    def _start_job(self, job: Job) -> None:
        job.finish = self._progress + job.core_s
        heapq.heappush(self._in_service, job)

    def _job_rate(self) -> float:
        """Return the core-seconds that each request in service receives a second."""
        return (
            self.machine.speed
            * self.capacity_share()
            * min(1.0, self.machine.cores / max(1, len(self._in_service)))
        )

    def _update_progress(self) -> None:
        """Advance the progress to the present time, at the present rate."""
        now = self._scheduler.seconds()
        if self._in_service:
            self._progress += (now - self._progress_at) * self._job_rate()
        self._progress_at = now

    def _schedule_completion(self) -> None:
        self._cancel()
        if self._in_service:
            remaining = max(0.0, self._in_service[0].finish - self._progress)
            delay = remaining / self._job_rate()
            self._timer = self._scheduler.callLater(
                delay if self.capacity_share() >= 1 else min(delay, CAPACITY_UPDATE_S), self._complete_jobs
            )

    def _cancel(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _complete_jobs(self) -> None:
        self._timer = None
        self._update_progress()
        completed: list[Job] = []
        while self._in_service and self._in_service[0].finish <= self._progress + 1e-9:
            completed.append(heapq.heappop(self._in_service))
        while self._waiting and len(self._in_service) < self.machine.slots:
            self._start_job(self._waiting.popleft())
        self._schedule_completion()
        for job in completed:
            self.served += 1
            job.on_end("served")

    def _check_overload(self, core_s: float) -> None:
        """Fail if a cold node received too much within the overload window; rejected requests count too."""
        if self.started_at is None or self.capacity_share() >= 1 or self.failed:
            return
        now, machine = self._scheduler.seconds(), self.machine
        self._arrived.append((now, core_s))
        while self._arrived[0][0] < now - machine.overload_window_s:
            self._arrived.popleft()
        bearable = (
            machine.overload_factor * self.capacity_share() * machine.capacity * machine.overload_window_s
        )
        pressure = sum(work_s for _, work_s in self._arrived) / bearable
        self.pressure = max(self.pressure, pressure)
        if pressure > 1:
            self.failed = True
            self._in_service, self._waiting = [], deque()
            self._cancel()
            self._scheduler.callLater(0, self.on_failure)
