"""The operators' slow-start rule, "rule 4" in gateway_driver.py: what a gateway may send to a warming node.

It is computed from the settings alone.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from gaugesail.policy.settings import Settings

MAX_QUANTUM_REQUESTS = 2.0


@dataclass
class UnitsLog:
    """Units by time, in microseconds."""

    entries: list[tuple[int, float]] = field(default_factory=list)

    def add(self, at: int, units: float) -> None:
        """Record units at a time."""
        self.entries.append((at, units))

    def since(self, start: int) -> float:
        """Return the units recorded at ``start`` or later."""
        return sum(units for at, units in self.entries if at >= start)


def units_allowed(settings: Settings, age_us: int) -> float:
    """Return the units of one gateway in one overload window, ``age_us`` after the start of the node."""
    initial = settings.initial_capacity_share
    age = max(0, age_us) / settings.warm_up_us
    even_share = settings.initial_capacity_units / settings.gateway_count
    return even_share * (initial + (1 - initial) * age) / initial


def _root(settings: Settings) -> float:
    requests: float = settings.initial_capacity_units / settings.mean_request_units
    return float(requests**0.5) + 1


def quantum(settings: Settings) -> float:
    """Return the unserved units of a gateway during its turn (docs/fleet.md, "The ramp")."""
    return min(MAX_QUANTUM_REQUESTS, _root(settings)) * settings.mean_request_units


def has_turn(settings: Settings, node: bytes, now: int, even_share: float) -> bool:
    """Return whether it is the gateway's turn, where ``even_share`` units are less than a quantum."""
    rate = _root(settings) * settings.mean_request_units / quantum(settings) / settings.overload_window_us
    position = (settings.gateway_index + zlib.crc32(node) - now * rate) % settings.gateway_count
    return position < even_share * settings.gateway_count / quantum(settings)
