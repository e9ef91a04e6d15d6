"""When a peer last made progress, and how long it may rest between two steps of it.

A peer that reads or writes steadily is seen to do so in steps: a receiver opens its window for a good part of
its buffer at once, and a sender writes in pieces of any size.  So a rest is no stall before it is longer than
the latest step takes at the slowest usual rate, or than twice the longest rest that the peer has ended.
"""

from __future__ import annotations

SLOWEST_BYTES_PER_S = 64_000  # of a peer that reads or writes steadily
LARGEST_STEP_BYTES = 64 * 1024  # a larger one counts as this, and so does one of which the size is not known
SAMPLING_US = 250_000  # a step is noticed so much later
BURST_US = 50_000  # bytes that come closer together are one step
LONGEST_STEP_US = LARGEST_STEP_BYTES * 1_000_000 // SLOWEST_BYTES_PER_S + SAMPLING_US
REST_FACTOR = 2
LONGEST_REST_US = 10_000_000  # granted to any peer


class PeerProgress:
    """The steps of one peer; times are microseconds of the gateway's clock."""

    def __init__(self) -> None:
        self.since_us = 0  # of the latest step
        self._step_bytes = LARGEST_STEP_BYTES
        self._longest_rest_us = 0

    def begin(self, now_us: int, step_bytes: int = LARGEST_STEP_BYTES) -> None:
        """Begin to wait for further steps of the peer, whose latest had ``step_bytes``."""
        self.since_us = now_us
        self._step_bytes = step_bytes

    def advance(self, now_us: int, step_bytes: int = LARGEST_STEP_BYTES) -> None:
        """Note a step."""
        rest_us = now_us - self.since_us
        is_same_step = rest_us <= BURST_US
        self._step_bytes = self._step_bytes + step_bytes if is_same_step else step_bytes
        self._longest_rest_us = max(self._longest_rest_us, rest_us)
        self.since_us = now_us

    @property
    def allowed_rest_us(self) -> int:
        """How long the peer may rest before it counts as stalled."""
        step_us = self._step_bytes * 1_000_000 // SLOWEST_BYTES_PER_S + SAMPLING_US
        return max(min(LONGEST_STEP_US, step_us), min(LONGEST_REST_US, REST_FACTOR * self._longest_rest_us))

    @property
    def stalled_at_us(self) -> int:
        """When the peer counts as stalled, if it makes no further step."""
        return self.since_us + self.allowed_rest_us
