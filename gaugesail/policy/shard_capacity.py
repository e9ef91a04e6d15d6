"""How many units per second this gateway may send to a shard that is or was unavailable."""

from __future__ import annotations

from dataclasses import dataclass

from .records import NodeRecord
from .settings import Settings
from .shard_health import ShardHealth
from .slow_start import UNLIMITED, SlowStart

SERVED_RATE_SMOOTHING = 0.05  # weight of the latest control period in the rate served
FORGOTTEN_PERIODS = 2_000  # without service, after which a rate is 0
SERVED_RATE_HEADROOM = 1.25  # assumed capacity of a warm shard as a multiple of the rate served


@dataclass(slots=True, eq=False)
class ServedRate:
    """The rate at which one shard serves this gateway."""

    per_s: float = 0.0  # units per second, smoothed over the control periods before ``period``
    units: float = 0.0  # since the last control period
    period: int = 0

    def advance(self, period: int) -> None:
        """Smooth over the control periods up to ``period``, in which nothing was served."""
        missed = period - self.period
        self.period = period
        if missed > FORGOTTEN_PERIODS:
            self.per_s = 0.0
            return
        for _ in range(missed):
            self.per_s += SERVED_RATE_SMOOTHING * (0.0 - self.per_s)


class ShardCapacity:
    """The part of each shard's capacity that one gateway may use."""

    def __init__(self, settings: Settings, slow_start: SlowStart) -> None:
        self._settings = settings
        self._slow_start = slow_start
        self._served: dict[int, ServedRate] = {}  # by shard
        self._in_use: dict[int, ServedRate] = {}  # those with units of this control period
        self._period = 0  # its number

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings; the rates served stay."""
        self._settings = settings

    def record_served(self, shard: int, units: float) -> None:
        """Count the ``units`` of a request that a shard has served."""
        served = self._served.get(shard)
        if served is None:
            served = self._served[shard] = ServedRate(period=self._period)
        served.units += units
        self._in_use[shard] = served

    def end_period(self, span_s: float) -> None:
        """End a control period of ``span_s`` seconds."""
        for served in self._in_use.values():
            served.advance(self._period)
            served.per_s += SERVED_RATE_SMOOTHING * (served.units / span_s - served.per_s)
            served.units = 0.0
            served.period = self._period + 1
        self._in_use.clear()
        self._period += 1

    def served_per_s(self, shard: int) -> float:
        """Return the smoothed rate that a shard has served, in units per second."""
        served = self._served.get(shard)
        if served is None:
            return 0.0
        served.advance(self._period)
        return served.per_s

    def units_per_s(
        self, now: int, shard: int, health: ShardHealth, node: NodeRecord | None, process_count: int
    ) -> float:
        """Return the units per second that this gateway may send; 0 while the shard is unavailable.

        Where nodes need slow start, this is the process's even part of the node's allowance in one overload
        window; otherwise it is a little more than the shard's smoothed rate.
        """
        if node is None or health.is_unavailable:
            return 0.0
        settings = self._settings
        allowed = self._slow_start.allowed_units(now, node.warming_since)
        if allowed == UNLIMITED:
            allowed = settings.initial_capacity_units / settings.initial_capacity_share
        if allowed and settings.overload_window_us:
            per_s = allowed * 1e6 / settings.overload_window_us
            return per_s / settings.gateway_count / process_count
        return max(self.served_per_s(shard) * SERVED_RATE_HEADROOM, settings.max_request_units)
