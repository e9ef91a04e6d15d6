"""Open requests, attempts in flight, and the client request ids that they use."""

from __future__ import annotations

from dataclasses import dataclass

from gaugesail.policy.events import AttemptResult

from .ports import Attempt, ClientRequest, Reply
from .request_ids import RequestIds


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that has no final answer yet."""

    request_id: int
    request: ClientRequest
    reply: Reply
    deadline_us: int  # when the client's timeout ends, or earlier, when this process does
    attempts: int = 0  # so far, counted against the limit
    in_flight: Attempt | None = None
    latest_result: AttemptResult | None = None  # of its latest ended attempt
    may_have_run: bool = False  # by an attempt that has ended


class RequestTable:
    """Indexes requests and attempts.

    A client request id stays in use until its request is closed and its attempt has ended.
    """

    def __init__(self, ids: RequestIds) -> None:
        self._ids = ids
        self.open: dict[int, OpenRequest] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}  # in flight, by request id and number

    def add(self, entry: OpenRequest) -> None:
        """Add an open request."""
        self.open[entry.request_id] = entry
        self._ids.use(entry.request.client_request_id)

    def remember_if_run(self, entry: OpenRequest) -> None:
        """Remember the id of a request that ends unserved, but may have run or may yet."""
        if entry.may_have_run or entry.in_flight is not None:
            self._ids.abandon(entry.request.client_request_id)

    def close(self, entry: OpenRequest) -> None:
        """Close a request that is answered or whose client has disconnected; no more may be sent for it."""
        del self.open[entry.request_id]
        if entry.in_flight is None:
            self._ids.release(entry.request.client_request_id)
        else:
            entry.in_flight.request_closed = True

    def add_attempt(self, entry: OpenRequest, attempt: Attempt) -> None:
        """Add the next attempt of a request."""
        entry.attempts += 1
        entry.in_flight = attempt
        self.attempts[(attempt.request_id, attempt.number)] = attempt

    def remove_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt that has ended."""
        self.attempts.pop((attempt.request_id, attempt.number), None)
