"""The terms that all gateways of a fleet must have in common, and the times and floors derived from them."""

from __future__ import annotations

from dataclasses import dataclass

MAX_REPLICAS = 9
MILLION = 1_000_000


@dataclass(slots=True, frozen=True)
class FleetTerms:
    """The terms of one fleet.  Times in microseconds; shares and drift in millionths.

    Gateways compare their terms by a digest, which depends on the order of the fields.
    """

    name: str
    replicas: tuple[str, ...]  # names of the gateways that replicate the log, in alphabetical order
    lease_us: int = 4_000_000
    max_drift_ppm: int = 10_000  # maximum error of a clock's rate, in either direction
    max_gateways: int = 8  # number of floors
    floor_share: int = 100_000  # of a limit's rate, for all floors together
    floor_burst_share: int = 500_000  # of a limit's burst, for all floors together

    @property
    def lease_with_drift_us(self) -> int:
        """How long the grantor counts a lease: its clock may be the fastest, and the holder's the slowest."""
        return -(-self.lease_us * (MILLION + self.max_drift_ppm) // (MILLION - self.max_drift_ppm))

    def holder_lease_end(self, requested_at: int) -> int:
        """Return when the holder stops spending, on its own clock, given when it sent its request."""
        return requested_at + self.lease_us

    def grantor_lease_end(self, granted_at: int) -> int:
        """Return when a lease has certainly expired for its holder, on the grantor's clock.

        The holder counts from an earlier time, when it sent its request, so that only drift must be added.
        """
        return granted_at + self.lease_with_drift_us

    def floor(self, rate: int, burst: int) -> tuple[int, int]:
        """Return one gateway's floor of a limit, as rate and burst, in the units of the arguments."""
        parts = MILLION * self.max_gateways
        return rate * self.floor_share // parts, burst * self.floor_burst_share // parts
