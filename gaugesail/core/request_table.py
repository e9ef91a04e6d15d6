"""Requests that are owed an answer, attempts in flight, and the client request ids that either uses."""

from __future__ import annotations

from dataclasses import dataclass

from gaugesail.policy.events import AttemptResult

from .ports import Attempt, ClientRequest, Reply


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that is owed its final answer."""

    request_id: int
    request: ClientRequest
    reply: Reply
    deadline_us: int  # when its client gives up
    attempts: int = 0  # made so far
    in_flight: Attempt | None = None
    latest_result: AttemptResult | None = None  # of its attempts


class RequestTable:
    """A client request id stays in use until its request is answered and its attempt has ended."""

    def __init__(self) -> None:
        self.open: dict[int, OpenRequest] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}  # in flight, by request id and number
        self._ids_in_use: dict[str, int] = {}

    def uses_id(self, client_request_id: str) -> bool:
        """Whether a request of this id is open, or has an attempt in flight."""
        return client_request_id in self._ids_in_use

    def add(self, entry: OpenRequest) -> None:
        """Enter a request."""
        self.open[entry.request_id] = entry
        self._ids_in_use[entry.request.client_request_id] = entry.request_id

    def reserve_id(self, client_request_id: str) -> None:
        """Mark an id as in use for an answer that another process has begun."""
        self._ids_in_use.setdefault(client_request_id, 0)

    def close(self, entry: OpenRequest) -> None:
        """The request has its final answer, or its client has disconnected: nothing more may be written."""
        del self.open[entry.request_id]
        if entry.in_flight is None:
            self.release_id(entry.request.client_request_id)
        else:
            entry.in_flight.request_answered = True

    def release_id(self, client_request_id: str) -> None:
        """Let a client use an id again."""
        self._ids_in_use.pop(client_request_id, None)

    def add_attempt(self, entry: OpenRequest, attempt: Attempt) -> None:
        """Enter a request's next attempt."""
        entry.attempts += 1
        entry.in_flight = attempt
        self.attempts[(attempt.request_id, attempt.number)] = attempt

    def remove_attempt(self, attempt: Attempt) -> None:
        """An attempt has ended."""
        self.attempts.pop((attempt.request_id, attempt.number), None)
