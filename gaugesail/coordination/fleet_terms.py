"""What binds a whole fleet, the same in each head's file, and the figures that follow from it."""

from __future__ import annotations

from dataclasses import dataclass

MOST_KEEPERS = 9
MILLION = 1_000_000


@dataclass(slots=True, frozen=True)
class FleetTerms:
    """The fleet's terms.  Times in microseconds, shares and drift in millionths."""

    name: str
    replicas: tuple[str, ...]
    lease_us: int = 4_000_000
    max_drift_ppm: int = 10_000  # each clock runs at most so much too fast or too slow
    max_gateways: int = 8  # floors that there are
    floor_share: int = 100_000  # of a limit's rate, for all floors together
    floor_burst_share: int = 500_000  # of its burst

    @property
    def lease_with_drift_us(self) -> int:
        """How long a giver counts a lease from after it gave it, so that it outlasts the holder's count."""
        return -(-self.lease_us * (MILLION + self.max_drift_ppm) // (MILLION - self.max_drift_ppm))

    def floor(self, rate: int, burst: int) -> tuple[int, int]:
        """One head's floor of a whole: rate and burst in thousandths."""
        parts = MILLION * self.max_gateways
        return rate * self.floor_share // parts, burst * self.floor_burst_share // parts
