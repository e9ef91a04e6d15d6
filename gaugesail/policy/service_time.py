"""The measured service time of one class of requests at one node.

The gain is that of the smoothed round-trip time of TCP (RFC 6298, 2.3).
"""

from __future__ import annotations

from dataclasses import dataclass

MEAN_GAIN = 0.125  # weight of the latest answer in the mean
FASTEST_DRIFT = 1.02  # growth factor of the fastest answer with each other one: old values expire


@dataclass(slots=True)
class ServiceTime:
    """How long a node takes for the requests of a class, in microseconds; 0: it has served none."""

    mean_us: float = 0.0
    fastest_us: float = 0.0
    may_need_longer: bool = False  # an attempt ran out of its time, and none has been served since

    def record(self, elapsed_us: int) -> None:
        """Add a served attempt that took ``elapsed_us``."""
        self.may_need_longer = False
        if not self.mean_us:
            self.mean_us = self.fastest_us = max(1.0, elapsed_us)
            return
        self.mean_us += MEAN_GAIN * (elapsed_us - self.mean_us)
        self.fastest_us = min(max(1.0, elapsed_us), self.fastest_us * FASTEST_DRIFT)
