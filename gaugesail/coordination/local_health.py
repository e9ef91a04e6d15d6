"""How well this gateway itself keeps up: Lifeguard's local health (Dadgar, Phillips, Currey 2018).

A member that is slow itself probes less and waits longer, and so suspects fewer that are well.
"""

from __future__ import annotations

MAX_SCORE = 8


class LocalHealth:
    """A score from 0, well, to ``MAX_SCORE``."""

    def __init__(self) -> None:
        self.score = 0

    def worsen(self, by: int = 1) -> None:
        """Something shows that this gateway is slow."""
        self.score = min(MAX_SCORE, self.score + by)

    def improve(self) -> None:
        """A probe was answered in time."""
        self.score = max(0, self.score - 1)

    @property
    def multiplier(self) -> int:
        """By how much the protocol's times are longer."""
        return 1 + self.score
