"""Retry-After: when the client of a rejected request should retry.

A client whose turn in the recovery queue is known and near gets the time of that turn.  The times for all
others are spread evenly, up to the longest Retry-After time that clients may get.
"""

from __future__ import annotations

import random
from collections import deque

from .recovery_queue import RecoveryQueue
from .retry_schedule import RetrySchedule
from .retry_tickets import RetryTicket
from .shard_health import ShardHealth, ShardPhase

SHORTEST_US = 5_000  # shortest Retry-After time for the turn of a ticket
SPREAD_SHARE = 0.8  # of the longest Retry-After time: the shortest one at a shard that serves
SHORTEST_LIST_DELAY_US = 200_000  # shortest assumed delay of the endpoint list
LIST_DELAYS_KEPT = 8
LONGEST_LIST_DELAY_US = 60_000_000  # a longer delay means that the clocks differ


class RetryAfterPolicy:
    """The Retry-After times of one gateway.  All times are microseconds."""

    def __init__(self, rng: random.Random) -> None:
        self.longest_us = 0
        self.list_delays_us: deque[int] = deque(maxlen=LIST_DELAYS_KEPT)
        self._schedule = RetrySchedule(rng, 0)

    def update_longest(self, longest_us: int) -> None:
        """Set the longest Retry-After time that clients may get; 0: they get none."""
        if longest_us != self.longest_us:
            self.longest_us = longest_us
            self._schedule.update_longest(longest_us)

    @property
    def can_be_spread(self) -> bool:
        """Whether the longest time is long enough to spread retries."""
        return self.longest_us >= 2 * SHORTEST_US

    def record_list_delay(self, delay_us: int) -> None:
        """Record that a node was listed ``delay_us`` after its start; implausible delays are ignored."""
        if 0 < delay_us < LONGEST_LIST_DELAY_US:
            self.list_delays_us.append(delay_us)

    def spread(self, now: int) -> int:
        """Return the time for a request that is rejected at a shard that serves."""
        if not self.can_be_spread:
            return self.longest_us
        return self._schedule.choose(now, int(SPREAD_SHARE * self.longest_us), self.longest_us)

    def for_ticket(self, now: int, health: ShardHealth, queue: RecoveryQueue, ticket: RetryTicket) -> int:
        """Return the time for a ticket in the queue of a shard that is or was unavailable."""
        shortest = self.longest_us // 2
        longest = self.longest_us
        if health.is_returning:
            wait = queue.wait_us(ticket.tag)
            if wait is not None and SHORTEST_US <= wait < longest:
                self._schedule.record(now, wait)
                return wait
            if wait is not None and wait < SHORTEST_US:
                # Its turn has passed: the node is slower than assumed.
                shortest = SHORTEST_US
                longest = max(2 * SHORTEST_US, longest // 8)
        elif health.phase is ShardPhase.FAILING:
            shortest = min(longest - 1, max(shortest, health.trial_at - now))
        elif self.list_delays_us:
            # The list shows a returning node only after this delay; no earlier retry can be served.
            longest = min(longest, max(SHORTEST_LIST_DELAY_US, max(self.list_delays_us)))
            shortest = longest // 2
        return self._schedule.choose(now, shortest, longest)
