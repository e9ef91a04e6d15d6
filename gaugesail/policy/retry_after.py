"""Retry-After: when the client of a rejected request should retry.

That is when the work that is left allows it: once the backlog of a shard that serves is worked off, at its
turn in the recovery queue of a shard that returns, and, of one that is away, after the time that it is
expected to take.  Nobody is told more than the longest time that clients observe.  The times of all clients
are spread, so that few of them come at once.
"""

from __future__ import annotations

import random
from collections import deque

from .recovery_queue import RecoveryQueue
from .retry_schedule import RetrySchedule
from .retry_tickets import RetryTicket
from .shard_health import ShardHealth, ShardPhase

SHORTEST_US = 5_000  # shortest Retry-After time for the turn of a ticket
SPREAD = 1.25  # the longest Retry-After time for a backlog, as a multiple of the shortest one
SHORTEST_LIST_DELAY_US = 200_000  # shortest assumed delay of the endpoint list
LIST_DELAYS_KEPT = 8
LONGEST_LIST_DELAY_US = 60_000_000  # a longer delay means that the clocks differ


class RetryAfterPolicy:
    """The Retry-After times of one gateway.  All times are microseconds."""

    def __init__(self, rng: random.Random) -> None:
        self.longest_us = 0
        self.list_delays_us: deque[int] = deque(maxlen=LIST_DELAYS_KEPT)
        self._schedule = RetrySchedule(rng)

    def update_longest(self, longest_us: int) -> None:
        """Set the longest Retry-After time that clients may get; 0: they get none."""
        self.longest_us = longest_us

    @property
    def can_be_spread(self) -> bool:
        """Whether the longest time is long enough to spread retries."""
        return self.longest_us >= 2 * SHORTEST_US

    def record_list_delay(self, delay_us: int) -> None:
        """Record that a node was listed ``delay_us`` after its start; implausible delays are ignored."""
        if 0 < delay_us < LONGEST_LIST_DELAY_US:
            self.list_delays_us.append(delay_us)

    def for_backlog(self, now: int, backlog_us: float) -> int:
        """Return the time for a request that is rejected at a shard that serves.

        :param backlog_us: until the shard has worked off what waits there.
        """
        longest = min(self.longest_us, max(2 * SHORTEST_US, int(SPREAD * backlog_us)))
        return self._schedule.choose(now, max(SHORTEST_US, int(longest / SPREAD)), longest)

    def for_ticket(
        self, now: int, health: ShardHealth, queue: RecoveryQueue, ticket: RetryTicket, backlog_us: float
    ) -> int:
        """Return the time for a ticket in the queue of a shard that is or was unavailable."""
        if not health.is_returning:
            return self._for_outage(now, self._expected_outage_us(now, health))
        wait = queue.wait_us(ticket.tag)
        if wait is None or wait >= self.longest_us:
            return self._for_outage(now, self.longest_us)
        if wait < SHORTEST_US:
            # Its turn has passed: the node is slower than assumed.
            return self.for_backlog(now, backlog_us)
        self._schedule.record(now, wait)
        return wait

    def _for_outage(self, now: int, expected_us: int) -> int:
        """Return a time between half and all of what is expected, so that few clients come at once."""
        longest = min(self.longest_us, max(2 * SHORTEST_US, expected_us))
        return self._schedule.choose(now, longest // 2, longest)

    def _expected_outage_us(self, now: int, health: ShardHealth) -> int:
        """Return how long a shard is expected to stay unavailable.

        The endpoint list shows a returning node only after its usual delay; until then, and at a node that
        fails, the outage is taken to last as long again as it has.
        """
        outage_us = max(SHORTEST_LIST_DELAY_US, now - health.unavailable_since)
        if health.phase is ShardPhase.FAILING:
            return max(outage_us, health.trial_at - now)
        if self.list_delays_us:
            return max(SHORTEST_LIST_DELAY_US, max(self.list_delays_us))
        return outage_us
