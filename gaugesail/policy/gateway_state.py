"""State that the components of one gateway share: the time, the settings, and the results of a batch."""

from __future__ import annotations

from random import Random

from .actions import Action
from .events import SiblingProcessChanged
from .records import ShardRecord
from .retry_policy import RetryPolicy
from .settings import Settings

TARGET_SHARE = 0.7  # latency target of an attempt as a share of the objective; the rest is for queueing
# The time between two queue checks has these limits, unless ``Settings.tick_us`` is longer.
MAX_TICK_US = 10_000
TICKS_PER_DEADLINE = 64  # at least this many in the time of the clients that wait the shortest


class GatewayState:
    """The time and the settings of one gateway, and the results of the batch in progress.

    Records keep the figures of each request class in lists, indexed by the position of the class.  A class
    keeps its position when the settings change; one that they no longer contain has an infinite objective.
    """

    def __init__(self, settings: Settings, random: Random, now: int) -> None:
        self.random = random  # for jitter
        self.started_at = now
        self.now = now
        # When the second process ended, in microseconds; infinite while it is present.
        self.sibling_until = float("-inf")
        self.predecessor_shares_since = float("-inf")  # until then it used all limits and budgets alone
        self.answers_due = float("inf")  # when this process is to end, in microseconds
        self.actions: list[Action] = []
        self.changed_shards: dict[int, ShardRecord] = {}  # to dispatch at the end of the batch
        self.class_positions: dict[str, int] = {}
        self.latency_targets_us: list[float] = []
        self.latency_objectives_us: list[float] = []
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Replace the settings."""
        self.settings = settings
        shortest = min(request_class.deadline_us for request_class in settings.classes)
        self.tick_us = max(settings.tick_us, min(MAX_TICK_US, shortest // TICKS_PER_DEADLINE))
        self.retry_policy = RetryPolicy(backoff_us=self.tick_us, deduplication_margin_us=self.tick_us)
        self._update_classes(settings)

    def _update_classes(self, settings: Settings) -> None:
        targets = list(self.latency_targets_us)
        objectives = [float("inf")] * len(targets)
        for request_class in settings.classes:
            position = self.class_positions.setdefault(request_class.name, len(self.class_positions))
            if position == len(targets):
                targets.append(0.0)
                objectives.append(0.0)
            targets[position] = request_class.latency_objective_us * TARGET_SHARE
            objectives[position] = request_class.latency_objective_us
        self.latency_targets_us = targets
        self.latency_objectives_us = objectives

    @property
    def process_count(self) -> int:
        """Number of processes that share this gateway's part of the nodes: 1 or 2."""
        # A node that is warming up may still hold what the other process sent in the last window.
        return self.process_count_within(self.settings.overload_window_us)

    def process_count_within(self, window_us: int) -> int:
        """Number of processes, 1 or 2, that share what is counted over a window up to now."""
        return 1 + (self.now < self.sibling_until + window_us)

    def predecessor_counts_within(self, window_us: int) -> bool:
        """Whether a predecessor may have used more than its part of what is counted over this window."""
        return self.now < self.predecessor_shares_since + window_us

    def set_sibling(self, event: SiblingProcessChanged) -> None:
        """Record whether another process of this gateway serves beside this one."""
        self.sibling_until = float("inf") if event.present else float(self.now)
        if event.is_predecessor:
            self.predecessor_shares_since = float(self.now)
