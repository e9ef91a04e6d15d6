"""What the parts of one gateway share: the time, the settings, and what a batch of events has led to."""

from __future__ import annotations

from random import Random

from .actions import Action
from .records import ShardRecord
from .retry_policy import RetryPolicy
from .settings import Settings

TARGET_SHARE = 0.7  # of a latency objective: what an attempt may take, so that time is left for waiting
MAX_TICK_US = 10_000  # between two looks at the queues
TICKS_PER_OBJECTIVE = 16  # at least, in the shortest latency objective


class GatewayState:
    """The time and the settings of one gateway, and the results of the batch in progress.

    Records keep figures of request classes in lists, by the position of the class.  A class keeps its
    position when settings change; one that is no longer used has an infinite latency objective.
    """

    def __init__(self, settings: Settings, random: Random, now: int) -> None:
        self.random = random  # for jitter
        self.started_at = now
        self.now = now
        self.sibling_counts_until = 0.0  # when what another process of this gateway sent counts no more
        self.actions: list[Action] = []
        self.changed_shards: dict[int, ShardRecord] = {}  # for which something may be sent now
        self.class_positions: dict[str, int] = {}
        self.latency_targets_us: list[float] = []
        self.latency_objectives_us: list[float] = []
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Use other settings from now on."""
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
        """How many processes of this gateway share what is rationed: 1 or 2."""
        return 1 + (self.now < self.sibling_counts_until)

    def set_sibling(self, present: bool) -> None:
        """Another process of this gateway works beside this one, or no longer does."""
        if present:
            self.sibling_counts_until = float("inf")
        else:
            # A node that warms up may still hold what the other process sent in the last window.
            self.sibling_counts_until = self.now + self.settings.overload_window_us
