"""The terms that every gateway of a fleet must agree on, and the figures that follow from them."""

from __future__ import annotations

from dataclasses import dataclass

MAX_REPLICAS = 9
MILLION = 1_000_000


@dataclass(slots=True, frozen=True)
class FleetTerms:
    """The terms of one fleet.  Times in microseconds; shares and drift in millionths.

    The order of the fields is part of the digest by which gateways compare their terms.
    """

    name: str
    replicas: tuple[str, ...]  # the gateways that replicate the log, by name
    lease_us: int = 4_000_000
    max_drift_ppm: int = 10_000  # by which any clock runs too fast or too slow
    max_gateways: int = 8  # floors that there are
    floor_share: int = 100_000  # of a limit's rate, for all floors together
    floor_burst_share: int = 500_000  # of a limit's burst, for all floors together

    @property
    def lease_with_drift_us(self) -> int:
        """How long the grantor counts a lease: its clock may be the fastest, the holder's the slowest."""
        return -(-self.lease_us * (MILLION + self.max_drift_ppm) // (MILLION - self.max_drift_ppm))

    def holder_lease_end(self, requested_at: int) -> int:
        """When the holder stops spending, on its own clock, from when it sent its request."""
        return requested_at + self.lease_us

    def grantor_lease_end(self, granted_at: int) -> int:
        """When a lease has surely ended for its holder, on the grantor's clock, from when it was granted.

        The holder counts from an earlier moment, before its request, so that only drift has to be added.
        """
        return granted_at + self.lease_with_drift_us

    def floor(self, rate: int, burst: int) -> tuple[int, int]:
        """One gateway's floor of a limit: rate and burst, in thousandths as they are given."""
        parts = MILLION * self.max_gateways
        return rate * self.floor_share // parts, burst * self.floor_burst_share // parts
