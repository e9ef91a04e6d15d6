"""When a gateway sends its next lease request, and to which replica.

A lease is renewed RENEWALS_PER_LEASE times per lease time; changes are reported sooner.  A replica that does
not respond in time, or does not lead, is passed over until all replicas have been.
"""

from __future__ import annotations

import random

RENEWALS_PER_LEASE = 4
MIN_GAP_US = 60_000  # between two requests that report changes
RESPONSE_TIMEOUT_US = 300_000  # until another replica is tried
MAX_REMEMBERED = 64  # requests whose responses are still accepted


class RequestSchedule:
    """The requests of one gateway.  Times in microseconds."""

    def __init__(self, lease_us: int, starts_at: int, rng: random.Random) -> None:
        self._lease_us = lease_us
        self._rng = rng
        self._earliest_at = starts_at
        self.next_at = starts_at  # time of the next request
        self.number = 0  # of the latest request
        self._sent_at: dict[int, int] = {}  # by request number
        self._waiting_since: int | None = None  # for a response of ``_requested_replica``
        self._requested_replica = ""
        self._preferred = ""  # the replica that led at the latest response, or was named as the leader
        self._passed_over: set[str] = set()

    def start_again_at(self, at: int) -> None:
        """Send no request before ``at``."""
        self._earliest_at = at
        self.next_at = at

    def choose(self, now: int, replicas: list[str]) -> str:
        """Return the replica for the next request, of all ``replicas``, the likeliest leader first."""
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
        """Return the number of a request that is about to be sent: its lease counts from ``now``."""
        self.number += 1
        self._requested_replica = replica
        if self._waiting_since is None:
            self._waiting_since = now
        self._sent_at[self.number] = now
        while len(self._sent_at) > MAX_REMEMBERED:
            del self._sent_at[next(iter(self._sent_at))]
        return self.number

    def request_sent(self, now: int, more_to_report: bool) -> None:
        """Schedule the next request: soon if there is more to report, otherwise after a response timeout."""
        self.next_at = now + (MIN_GAP_US if more_to_report else RESPONSE_TIMEOUT_US)

    def sent_at(self, number: int) -> int | None:
        """Return when a request was sent; None if it is no longer remembered."""
        return self._sent_at.get(number)

    # ---- responses ----

    def response_received(self) -> None:
        """Note that the latest request has its response."""
        self._waiting_since = None

    def renewed(self, now: int) -> None:
        """Schedule the next renewal, up to an eighth of the interval earlier, so that gateways spread out."""
        gap = self._lease_us // RENEWALS_PER_LEASE
        self.next_at = now + gap - self._rng.randrange(gap // 8)

    def leader_responded(self, replica: str) -> None:
        """Note that this replica leads."""
        self._preferred = replica
        self._passed_over.clear()

    def redirected(self, now: int, replica: str, leader: str, is_latest: bool) -> None:
        """Note that a replica does not lead; ``leader`` is the one that it names, empty if it knows none."""
        self._passed_over.add(replica)
        self._preferred = leader if leader not in self._passed_over else ""
        if is_latest:
            self.next_at = now if self._preferred else now + RESPONSE_TIMEOUT_US // 2

    def wait_one_lease(self, now: int) -> None:
        """Wait for one lease time: requests are refused until operators change a configuration."""
        self.next_at = now + self._lease_us

    # ---- early reports ----

    def request_soon(self, now: int) -> None:
        """Send a request soon, MIN_GAP_US after the latest one; not while that has no response."""
        if self._waiting_since is not None:
            return
        last = self._sent_at.get(self.number, now - MIN_GAP_US)
        self.next_at = max(self._earliest_at, min(self.next_at, max(now, last + MIN_GAP_US)))

    def request_now(self, now: int) -> None:
        """Send a request at once, whether or not the latest one has its response."""
        self.next_at = max(self._earliest_at, now)
