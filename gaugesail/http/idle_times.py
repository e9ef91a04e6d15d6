"""Learned idle limits: for how long a node's connections may be idle and still be used.

Nodes close idle connections long before the time that the settings name, and not always so that we see it.
"""

from __future__ import annotations

FIRST_BUCKET_US = 10_000  # the first bucket is up to this idle time; each next one is twice as long
BUCKETS = 12
ASSUMED_GOOD_USES = 10.0  # that each bucket starts with, so that a few resets decide nothing
MAX_RESET_SHARE = 0.12  # of the uses in a bucket
DECAY = 0.97  # at each sweep, four a second: half is forgotten in 6 s
NO_LIMIT_US = 1 << 62


class IdleTimes:
    """How often a connection that is used again is reset at once, by how long it had been idle.

    An idle time after which too many were reset is not used, nor is any longer one, until that is forgotten.
    """

    def __init__(self) -> None:
        self._uses = [0.0] * BUCKETS
        self._resets = [0.0] * BUCKETS

    def record(self, idle_us: int, reset: bool) -> None:
        """Enter a use of a connection that had been idle for so long, and whether it was reset at once."""
        bucket = min((idle_us // FIRST_BUCKET_US).bit_length(), BUCKETS - 1)
        self._uses[bucket] += 1
        self._resets[bucket] += reset

    def limit_us(self) -> int:
        """The longest time that a connection may have been idle and still be used."""
        for bucket, (uses, resets) in enumerate(zip(self._uses, self._resets, strict=True)):
            # The shortest is always used: what is reset even there is not reset for having been idle.
            if bucket and resets / (uses + ASSUMED_GOOD_USES) > MAX_RESET_SHARE:
                return FIRST_BUCKET_US << (bucket - 1)
        return NO_LIMIT_US

    def decay(self) -> None:
        """Forget a part of what was recorded."""
        self._uses = [uses * DECAY for uses in self._uses]
        self._resets = [resets * DECAY for resets in self._resets]
