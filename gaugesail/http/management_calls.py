"""Operators' calls: maps method and path to an action and its answer.

The operators define the paths; a node is called brick there.
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
    """The actions of a running gateway that operators may request."""

    @property
    def serving(self) -> bool:
        """Whether health checks succeed."""
        ...

    def drain(self, on: bool) -> None:
        """Drain clients, or accept them again."""
        ...

    def trace(self, subject: str | None) -> str:
        """Return the latest steps of the trace, or those of one request or node."""
        ...

    def maintain(self, node_id: bytes, on: bool) -> bool:
        """Start or end a node's maintenance; False for a node that no endpoint list has named."""
        ...


@dataclass(slots=True, frozen=True)
class CallAnswer:
    """The answer to a call: its status and a line of text."""

    status: int
    text: str


NO_SUCH_CALL = CallAnswer(HTTPStatus.NOT_FOUND, "no such call")


def _method_not_allowed(method: str) -> CallAnswer:
    return CallAnswer(HTTPStatus.METHOD_NOT_ALLOWED, f"use {method}")


def _ok(text: str) -> CallAnswer:
    return CallAnswer(HTTPStatus.OK, text)


class ManagementCalls:
    """Executes operators' calls.

    Exceptions of the actions propagate: OSError if a change cannot be stored, StateNotKnown if the call comes
    too early after the start.
    """

    def __init__(self, operations: OperatorActions) -> None:
        self._operations = operations
        self.fleet: FleetCall | None = None  # handles calls under /fleet, if the gateway is in a fleet

    def call(self, method: str, target: str) -> CallAnswer:
        """Execute one call; a query in ``target`` is ignored."""
        path = [unquote_to_bytes(segment) for segment in target.partition("?")[0].split("/")]
        match path:
            case [b"", b"healthcheck"]:
                return self._health(method)
            case [b"", b"healthcheck", b"fail" | b"ok" as segment]:
                return self._drain(method, segment == b"fail")
            case [b"", b"bricks", node_id, b"maint" | b"ready" as segment]:
                return self._maintain(method, node_id, segment == b"maint")
            case [b"", b"trace"]:
                return self._trace(method, None)
            case [b"", b"trace", subject]:
                return self._trace(method, subject.decode(errors="replace"))
            case [b"", b"fleet", *segments] if self.fleet is not None:
                return CallAnswer(
                    *self.fleet(method, [segment.decode(errors="replace") for segment in segments])
                )
        return NO_SUCH_CALL

    def _health(self, method: str) -> CallAnswer:
        if method not in READ_METHODS:
            return _method_not_allowed("GET")
        if self._operations.serving:
            return _ok("serving")
        return CallAnswer(HTTPStatus.SERVICE_UNAVAILABLE, "not serving yet")

    def _drain(self, method: str, on: bool) -> CallAnswer:
        if method != "POST":
            return _method_not_allowed("POST")
        self._operations.drain(on)
        return _ok("clients are sent away" if on else "clients are taken")

    def _maintain(self, method: str, node_id: bytes, on: bool) -> CallAnswer:
        if method != "POST":
            return _method_not_allowed("POST")
        if not self._operations.maintain(node_id, on):
            return CallAnswer(HTTPStatus.NOT_FOUND, "no list has ever named that brick")
        return _ok("out of use" if on else "in use")

    def _trace(self, method: str, subject: str | None) -> CallAnswer:
        if method not in READ_METHODS:
            return _method_not_allowed("GET")
        return _ok(self._operations.trace(subject))
