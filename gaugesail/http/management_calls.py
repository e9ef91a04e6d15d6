"""Operators' calls by method and path: what each does, and its answer.

The paths are the operators'; a node is a brick there.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol
from urllib.parse import unquote_to_bytes

READ_METHODS = ("GET", "HEAD")
FleetCall = Callable[[str, list[str]], tuple[int, str]]


class OperatorActions(Protocol):
    """What can be asked of a running gateway."""

    @property
    def serving(self) -> bool:
        """Whether health checks succeed."""
        ...

    def drain(self, on: bool) -> None:
        """Drain clients, or take them again."""
        ...

    def trace(self, subject: str | None) -> str:
        """The latest steps, or those of one request or node."""
        ...

    def maintain(self, node_id: bytes, on: bool) -> bool:
        """Put a node into maintenance, or back; False for one that no list has named."""
        ...


@dataclass(slots=True, frozen=True)
class CallAnswer:
    """The answer to a call: its status and a line of text."""

    status: int
    text: str


NO_SUCH_CALL = CallAnswer(HTTPStatus.NOT_FOUND, "no such call")


def _use(method: str) -> CallAnswer:
    return CallAnswer(HTTPStatus.METHOD_NOT_ALLOWED, f"use {method}")


def _ok(text: str) -> CallAnswer:
    return CallAnswer(HTTPStatus.OK, text)


class ManagementCalls:
    """Carries out operators' calls.

    What an operation raises goes through: OSError where a call cannot be kept, StateNotKnown where it comes
    too early.
    """

    def __init__(self, operations: OperatorActions) -> None:
        self._operations = operations
        self.fleet: FleetCall | None = None  # calls under /fleet, where the gateway is a member of one

    def call(self, method: str, target: str) -> CallAnswer:
        """Carry out one call: ``target`` is the request's target, a query is passed over."""
        path = [unquote_to_bytes(word) for word in target.partition("?")[0].split("/")]
        match path:
            case [b"", b"healthcheck"]:
                return self._health(method)
            case [b"", b"healthcheck", b"fail" | b"ok" as word]:
                return self._drain(method, word == b"fail")
            case [b"", b"bricks", node_id, b"maint" | b"ready" as word]:
                return self._maintain(method, node_id, word == b"maint")
            case [b"", b"trace"]:
                return self._trace(method, None)
            case [b"", b"trace", subject]:
                return self._trace(method, subject.decode(errors="replace"))
            case [b"", b"fleet", *words] if self.fleet is not None:
                return CallAnswer(*self.fleet(method, [word.decode(errors="replace") for word in words]))
        return NO_SUCH_CALL

    def _health(self, method: str) -> CallAnswer:
        if method not in READ_METHODS:
            return _use("GET")
        if self._operations.serving:
            return _ok("serving")
        return CallAnswer(HTTPStatus.SERVICE_UNAVAILABLE, "not serving yet")

    def _drain(self, method: str, on: bool) -> CallAnswer:
        if method != "POST":
            return _use("POST")
        self._operations.drain(on)
        return _ok("clients are sent away" if on else "clients are taken")

    def _maintain(self, method: str, node_id: bytes, on: bool) -> CallAnswer:
        if method != "POST":
            return _use("POST")
        if not self._operations.maintain(node_id, on):
            return CallAnswer(HTTPStatus.NOT_FOUND, "no list has ever named that brick")
        return _ok("out of use" if on else "in use")

    def _trace(self, method: str, subject: str | None) -> CallAnswer:
        if method not in READ_METHODS:
            return _use("GET")
        return _ok(self._operations.trace(subject))
