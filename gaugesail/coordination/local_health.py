"""Lifeguard's local health: whether this gateway itself keeps up (Dadgar, Phillips, Currey 2018).

A member that is slow itself probes less and waits longer, and so suspects fewer healthy members.
"""

from __future__ import annotations

MAX_SCORE = 8


class LocalHealth:
    """A score from 0 (healthy) to ``MAX_SCORE``."""

    def __init__(self) -> None:
        self.score = 0

    def worsen(self, by: int = 1) -> None:
        """Raise the score after a sign that this gateway is slow."""
        self.score = min(MAX_SCORE, self.score + by)

    def improve(self) -> None:
        """Lower the score after a probe that was acknowledged in time."""
        self.score = max(0, self.score - 1)

    @property
    def multiplier(self) -> int:
        """The factor by which the protocol's times are extended."""
        return 1 + self.score
