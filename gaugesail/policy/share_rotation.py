"""Which gateways may use a node in slow start now, where gateways may not talk.

Each has its even share, once that is a quantum or more.  Before, as many gateways as the node's units allow
have a quantum each and the others nothing.  The turn goes round by the clock and the node alone, so that all
see the same round whenever they heard of the start.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from .settings import NodeId, Settings

TURN_REQUESTS = 2.0  # of mean units, that a gateway in its turn may have unserved at a node


@dataclass(slots=True, frozen=True)
class ShareRotation:
    """The turns of one gateway."""

    gateway_count: int
    gateway_index: int
    quantum_units: float  # that a gateway in its turn may have unserved at a node
    turns_per_us: float  # that begin

    @classmethod
    def from_settings(cls, settings: Settings) -> ShareRotation:
        """The rotation for some settings.

        In one overload window, as many turns begin as take half of the excess that chance allows (twice the
        root of N, plus 2 requests); the ends of the round, at most one quantum more, fit the other half.
        """
        root = (settings.initial_capacity_units / settings.mean_request_units) ** 0.5 + 1
        quantum = min(TURN_REQUESTS, root) * settings.mean_request_units
        window_us = settings.overload_window_us
        turns_per_us = root * settings.mean_request_units / quantum / window_us if window_us else 0.0
        return cls(settings.gateway_count, settings.gateway_index, quantum, turns_per_us)

    def share(self, now: int, node_id: NodeId, unserved_units: float) -> float:
        """This gateway's share now of the ``unserved_units`` that a node may have from all gateways."""
        turns = unserved_units / self.quantum_units
        if turns >= self.gateway_count:
            return 1 / self.gateway_count
        offset = self.gateway_index + zlib.crc32(node_id)
        position = (offset - now * self.turns_per_us) % self.gateway_count
        return 1 / turns if position < turns else 0.0
