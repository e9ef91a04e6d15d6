"""Learned idle limits: how long a connection to a node may be idle and still be used.

Nodes close idle connections long before the timeout in the settings, and not always visibly to the gateway.
"""

from __future__ import annotations

FIRST_BUCKET_US = 10_000  # upper bound of the first bucket; each next bound is twice as high
BUCKETS = 12
ASSUMED_GOOD_USES = 10.0  # added to each bucket, so that a few resets do not lower the limit
MAX_RESET_SHARE = 0.12  # of the uses in a bucket, before its idle times are avoided
DECAY = 0.97  # per sweep; at four sweeps a second the half-life is 6 s
NO_LIMIT_US = 1 << 62


class IdleTimes:
    """How often a reused connection is reset at once, by the time for which it had been idle.

    Idle times with too large a share of resets, and all longer ones, are avoided until the counts decay.
    """

    def __init__(self) -> None:
        self._uses = [0.0] * BUCKETS
        self._resets = [0.0] * BUCKETS

    def record(self, idle_us: int, reset: bool) -> None:
        """Count one reuse after ``idle_us``; ``reset`` says whether the connection was reset at once."""
        bucket = min((idle_us // FIRST_BUCKET_US).bit_length(), BUCKETS - 1)
        self._uses[bucket] += 1
        self._resets[bucket] += reset

    def limit_us(self) -> int:
        """Return the longest idle time after which a connection may be used."""
        for bucket, (uses, resets) in enumerate(zip(self._uses, self._resets, strict=True)):
            # The first bucket is always allowed: resets after so short a time have another cause.
            if bucket and resets / (uses + ASSUMED_GOOD_USES) > MAX_RESET_SHARE:
                return FIRST_BUCKET_US << (bucket - 1)
        return NO_LIMIT_US

    def decay(self) -> None:
        """Reduce the counts by the decay factor."""
        self._uses = [uses * DECAY for uses in self._uses]
        self._resets = [resets * DECAY for resets in self._resets]
