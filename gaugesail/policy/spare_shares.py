"""What the volumes of one shard have had of its capacity beyond their reserves.

That capacity is due to the volumes in proportion to the share weights of their plans.  It is divided by
start-time fair queueing (Goyal, Vin, Cheng: SIGCOMM 1996): the volume with the lowest tag is served next, and
its tag grows by units over weight.  A volume that comes anew starts at the tag that was served last.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .records import VolumeBudget

SMALLEST_WEIGHT = 1e-3  # so that each volume is served
KEPT_TAGS = 256  # beyond these, the tags that no longer differ from that of a new volume are dropped


@dataclass(slots=True, eq=False)
class SpareShares:
    """The tags of one shard's volumes at one gateway, in units over share weight."""

    progress: float = 0.0  # the tag that was served last
    _tags: dict[VolumeBudget, float] = field(default_factory=dict)
    _drop_at: int = KEPT_TAGS

    def tag(self, volume: VolumeBudget) -> float:
        """Return the tag of a volume's next request."""
        return max(self.progress, self._tags.get(volume, 0.0))

    def spend(self, volume: VolumeBudget, units: float) -> None:
        """Count the units of a request that is sent beyond its volume's reserve."""
        self.progress = self.tag(volume)
        self._tags[volume] = self.progress + cost(volume, units)
        if len(self._tags) > self._drop_at:
            self._tags = {kept: tag for kept, tag in self._tags.items() if tag > self.progress}
            self._drop_at = max(KEPT_TAGS, 2 * len(self._tags))


def cost(volume: VolumeBudget, units: float) -> float:
    """Return by how much a request of ``units`` raises its volume's tag."""
    return units / max(SMALLEST_WEIGHT, volume.plan.share_weight)
