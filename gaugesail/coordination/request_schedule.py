"""When a gateway sends its next lease request, and to which replica.

A lease is renewed RENEWALS_PER_LEASE times while it lasts.  A change is reported sooner.  A
replica that does not answer in time, or that does not lead, is passed over until all of them were.
"""

from __future__ import annotations

import random

RENEWALS_PER_LEASE = 4
MIN_GAP_US = 60_000  # between two requests where something has changed
RESPONSE_TIMEOUT_US = 300_000  # before another replica is asked
MAX_REMEMBERED = 64  # requests whose responses still count


class RequestSchedule:
    """The requests of one gateway.  Times in microseconds."""

    def __init__(self, lease_us: int, starts_at: int, rng: random.Random) -> None:
        self._lease_us = lease_us
        self._rng = rng
        self._earliest_at = starts_at
        self.next_at = starts_at  # of the next request
        self.number = 0  # of the latest request
        self._sent_at: dict[int, int] = {}  # by number
        self._waiting_since: int | None = None  # for a response of the replica that was asked
        self._requested_replica = ""
        self._preferred = ""  # who answered last, or was named as the leader
        self._passed_over: set[str] = set()

    def start_again_at(self, at: int) -> None:
        """Send nothing before then."""
        self._earliest_at = at
        self.next_at = at

    def choose(self, now: int, replicas: list[str]) -> str:
        """Whom to ask; ``replicas`` are all of them, the likeliest leader first."""
        if self._waiting_since is not None and now - self._waiting_since >= RESPONSE_TIMEOUT_US:
            self._passed_over.add(self._requested_replica)
            self._preferred = ""
            self._waiting_since = None
        candidates = [name for name in replicas if name not in self._passed_over]
        if not candidates:
            self._passed_over.clear()
            candidates = replicas
        return self._preferred or candidates[0]

    def begin_request(self, now: int, replica: str) -> int:
        """Number a request that is about to be sent: the lease that it brings counts from here."""
        self.number += 1
        self._requested_replica = replica
        if self._waiting_since is None:
            self._waiting_since = now
        self._sent_at[self.number] = now
        while len(self._sent_at) > MAX_REMEMBERED:
            del self._sent_at[next(iter(self._sent_at))]
        return self.number

    def request_sent(self, now: int, more_to_report: bool) -> None:
        """The next follows soon where not all could be reported, or else when this one is not answered."""
        self.next_at = now + (MIN_GAP_US if more_to_report else RESPONSE_TIMEOUT_US)

    def sent_at(self, number: int) -> int | None:
        """When a request was sent; None where it is not known any more."""
        return self._sent_at.get(number)

    # ---- what follows from a response ----

    def answered(self) -> None:
        """The latest request has its response."""
        self._waiting_since = None

    def renewed(self, now: int) -> None:
        """Renew again in good time, up to an eighth of the gap earlier, so that gateways spread out."""
        gap = self._lease_us // RENEWALS_PER_LEASE
        self.next_at = now + gap - self._rng.randrange(gap // 8)

    def leader_answered(self, replica: str) -> None:
        """This replica leads."""
        self._preferred = replica
        self._passed_over.clear()

    def redirected(self, now: int, replica: str, leader: str, is_latest: bool) -> None:
        """A replica does not lead; ``leader`` is whom it thinks does, "" where it knows none."""
        self._passed_over.add(replica)
        self._preferred = leader if leader not in self._passed_over else ""
        if is_latest:
            self.next_at = now if self._preferred else now + RESPONSE_TIMEOUT_US // 2

    def wait_one_lease(self, now: int) -> None:
        """Nothing is to be had until operators change something."""
        self.next_at = now + self._lease_us

    # ---- what is reported sooner ----

    def request_soon(self, now: int) -> None:
        """Ask soon, but not right after the latest request; while that has no response, after that."""
        if self._waiting_since is not None:
            return
        last = self._sent_at.get(self.number, now - MIN_GAP_US)
        self.next_at = max(self._earliest_at, min(self.next_at, max(now, last + MIN_GAP_US)))

    def request_now(self, now: int) -> None:
        """Ask at once, whether or not the latest request has its response."""
        self.next_at = max(self._earliest_at, now)
