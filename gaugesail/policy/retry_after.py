"""Retry-After: when the client of a rejected request is told to come back.

A client whose turn in the recovery queue is known and near is told that; every other one is told a time that
spreads the retries evenly over what clients heed.
"""

from __future__ import annotations

import random
from collections import deque

from .recovery_queue import RecoveryQueue
from .retry_schedule import RetrySchedule
from .retry_tickets import RetryTicket
from .shard_health import ShardHealth, ShardPhase

SHORTEST_US = 5_000
SPREAD_SHARE = 0.8  # of the longest time: the shortest that is told where a shard serves
SHORTEST_LIST_DELAY_US = 200_000  # that is assumed of the endpoint list
LIST_DELAYS_KEPT = 8
LONGEST_LIST_DELAY_US = 60_000_000  # a longer one is no delay but a clock that is off


class RetryAfterPolicy:
    """The Retry-After times of one gateway.  All times are microseconds."""

    def __init__(self, rng: random.Random) -> None:
        self.longest_us = 0
        self.list_delays_us: deque[int] = deque(maxlen=LIST_DELAYS_KEPT)
        self._schedule = RetrySchedule(rng, 0)

    def update_longest(self, longest_us: int) -> None:
        """Take the longest time that clients heed; 0: they are told none."""
        if longest_us != self.longest_us:
            self.longest_us = longest_us
            self._schedule.update_longest(longest_us)

    @property
    def can_be_spread(self) -> bool:
        """Whether the longest time leaves anything to choose."""
        return self.longest_us >= 2 * SHORTEST_US

    def record_list_delay(self, delay_us: int) -> None:
        """The list named a node ``delay_us`` after its start; a delay that cannot be is left out."""
        if 0 < delay_us < LONGEST_LIST_DELAY_US:
            self.list_delays_us.append(delay_us)

    def spread(self, now: int) -> int:
        """The time for a request that is rejected at a shard that serves."""
        if not self.can_be_spread:
            return self.longest_us
        return self._schedule.choose(now, int(SPREAD_SHARE * self.longest_us), self.longest_us)

    def for_ticket(self, now: int, health: ShardHealth, queue: RecoveryQueue, ticket: RetryTicket) -> int:
        """The time for a ticket in the queue of a shard that is or was unavailable."""
        shortest = self.longest_us // 2
        longest = self.longest_us
        if health.is_returning:
            wait = queue.wait_us(ticket.tag)
            if wait is not None and SHORTEST_US <= wait < longest:
                self._schedule.record(now, wait)
                return wait
            if wait is not None and wait < SHORTEST_US:
                # Its turn has come, and the node was slower than assumed.
                shortest = SHORTEST_US
                longest = max(2 * SHORTEST_US, longest // 8)
        elif health.phase is ShardPhase.FAILING:
            shortest = min(longest - 1, max(shortest, health.trial_at - now))
        elif self.list_delays_us:
            # Whenever the node is back, the list says so that much later: no retry before then can be served.
            longest = min(longest, max(SHORTEST_LIST_DELAY_US, max(self.list_delays_us)))
            shortest = longest // 2
        return self._schedule.choose(now, shortest, longest)
