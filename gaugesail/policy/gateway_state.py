"""State that the components of one gateway share: the time, the settings, and the results of a batch."""

from __future__ import annotations

from random import Random

from .actions import Action
from .records import ShardRecord
from .retry_policy import RetryPolicy
from .settings import Settings

TARGET_SHARE = 0.7  # latency target of an attempt as a share of the objective; the rest is for queueing
# The time between two queue checks has these limits, unless ``Settings.tick_us`` is longer.
MAX_TICK_US = 10_000
TICKS_PER_OBJECTIVE = 16  # at least this many in the shortest latency objective


class GatewayState:
    """The time and the settings of one gateway, and the results of the batch in progress.

    Records keep the figures of each request class in lists, indexed by the position of the class.  A class
    keeps its position when the settings change; one that they no longer contain has an infinite objective.
    """

    def __init__(self, settings: Settings, random: Random, now: int) -> None:
        self.random = random  # for jitter
        self.started_at = now
        self.now = now
        # Until then, in microseconds, a second process shares the limits; infinite while it is present.
        self.sibling_counts_until = 0.0
        self.actions: list[Action] = []
        self.changed_shards: dict[int, ShardRecord] = {}  # to dispatch at the end of the batch
        self.class_positions: dict[str, int] = {}
        self.latency_targets_us: list[float] = []
        self.latency_objectives_us: list[float] = []
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Replace the settings."""
        self.settings = settings
        shortest = min(request_class.latency_objective_us for request_class in settings.classes)
        self.tick_us = max(settings.tick_us, min(MAX_TICK_US, shortest // TICKS_PER_OBJECTIVE))
        self.tier_weights = (1.0, settings.fair_share_weight, settings.beyond_share_weight)
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
        """Number of processes that share this gateway's limits: 1 or 2."""
        return 1 + (self.now < self.sibling_counts_until)

    def set_sibling(self, present: bool) -> None:
        """Record whether another process of this gateway serves beside this one."""
        if present:
            self.sibling_counts_until = float("inf")
        else:
            # A node that is warming up may still hold what the other process sent in the last window.
            self.sibling_counts_until = self.now + self.settings.overload_window_us
