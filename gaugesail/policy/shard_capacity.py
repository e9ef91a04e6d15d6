"""How many units a second this gateway may send to a shard that is or was unavailable."""

from __future__ import annotations

from dataclasses import dataclass

from .records import NodeRecord
from .settings import Settings
from .shard_health import ShardHealth
from .slow_start import UNLIMITED, SlowStart

SERVED_RATE_SMOOTHING = 0.05  # weight of the latest control period in the rate served
SERVED_RATE_HEADROOM = 1.25  # times the rate served: what a shard at full capacity is taken to serve


@dataclass(slots=True, eq=False)
class ServedRate:
    """What one shard has served for this gateway."""

    per_s: float = 0.0  # units a second, smoothed
    units: float = 0.0  # since the last control period


class ShardCapacity:
    """The capacity of each shard as one gateway may use it."""

    def __init__(self, settings: Settings, slow_start: SlowStart) -> None:
        self._settings = settings
        self._slow_start = slow_start
        self._served: dict[int, ServedRate] = {}  # by shard

    def update_settings(self, settings: Settings) -> None:
        """Take other settings; the rates served stay."""
        self._settings = settings

    def record_served(self, shard: int, units: float) -> None:
        """A shard has served a request of ``units``."""
        served = self._served.get(shard)
        if served is None:
            served = self._served[shard] = ServedRate()
        served.units += units

    def end_period(self, span_s: float) -> None:
        """End a control period of ``span_s`` seconds."""
        for served in self._served.values():
            served.per_s += SERVED_RATE_SMOOTHING * (served.units / span_s - served.per_s)
            served.units = 0.0

    def served_per_s(self, shard: int) -> float:
        """Units a second that the shard has usually served."""
        served = self._served.get(shard)
        return 0.0 if served is None else served.per_s

    def units_per_s(
        self, now: int, shard: int, health: ShardHealth, node: NodeRecord | None, process_count: int
    ) -> float:
        """Units a second that this gateway may send; 0 while the shard is unavailable.

        Under slow start it is this process's even part of what the node allows in one overload window, and
        else a little more than the shard has usually served.
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
