"""Which gateways may use a node in slow start, where gateways may not exchange messages.

A quantum is the number of units that a gateway may have unserved at a node during its turn.  Once an even
share is a quantum or more, each gateway has an even share.  Before that, as many gateways as the node's units
allow have one quantum each, and the others have none.  These turns rotate by the clock and the node id alone,
so all gateways see the same rotation no matter when they learnt of the start.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from .settings import NodeId, Settings

TURN_REQUESTS = 2.0  # largest quantum, in requests of mean units


@dataclass(slots=True, frozen=True)
class ShareRotation:
    """The rotation of turns as one gateway sees it."""

    gateway_count: int
    gateway_index: int
    quantum_units: float  # units that a gateway may have unserved at a node during its turn
    turns_per_us: float  # rate at which turns begin

    @classmethod
    def from_settings(cls, settings: Settings) -> ShareRotation:
        """Return the rotation under some settings.

        Besides the N requests of an overload window, an excess of 2 * sqrt(N) + 2 by chance is permitted.
        The turns that begin in one window use half of this excess; rounding up to whole turns, which adds at
        most one quantum, fits into the other half.
        """
        root = (settings.initial_capacity_units / settings.mean_request_units) ** 0.5 + 1
        quantum = min(TURN_REQUESTS, root) * settings.mean_request_units
        window_us = settings.overload_window_us
        turns_per_us = root * settings.mean_request_units / quantum / window_us if window_us else 0.0
        return cls(settings.gateway_count, settings.gateway_index, quantum, turns_per_us)

    def share(self, now: int, node_id: NodeId, unserved_units: float) -> float:
        """Return this gateway's present share of the ``unserved_units`` that a node may have from all."""
        turns = unserved_units / self.quantum_units
        if turns >= self.gateway_count:
            return 1 / self.gateway_count
        offset = self.gateway_index + zlib.crc32(node_id)
        position = (offset - now * self.turns_per_us) % self.gateway_count
        return 1 / turns if position < turns else 0.0
