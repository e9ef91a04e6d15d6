"""Delivers the single final answer of each request; an exception in a reply affects only its own client."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import TypeVar

from .activity import Activity
from .ports import BodySink, BodySource, FailureReason
from .request_table import OpenRequest, RequestTable
from .trace import Step

_Result = TypeVar("_Result")


class AnswerKind(Enum):
    """How a request was answered; the value is shown in the trace."""

    SERVED = "served"
    STREAMED = "begins"
    REJECTED = "refused"
    FAILED = "failed"


class FinalAnswers:
    """Closes a request before its answer is delivered, so that it cannot be answered twice."""

    def __init__(self, table: RequestTable, activity: Activity) -> None:
        self._table = table
        self._activity = activity

    def serve(self, entry: OpenRequest, answer: bytes) -> None:
        """Deliver a complete answer to an open request."""
        reply = entry.reply
        self._close(entry, "served")
        self._deliver(entry, AnswerKind.SERVED, lambda: reply.send_answer(answer))

    def start_stream(self, entry: OpenRequest, source: BodySource) -> BodySink | None:
        """Start to stream an answer while it is received; None if the client has disconnected."""
        reply = entry.reply
        self._close(entry, "served")
        return self._deliver(entry, AnswerKind.STREAMED, lambda: reply.start_stream(source))

    def reject(self, request_id: int, retry_after_us: int) -> None:
        """Reject a request if it is still open; the client may retry after ``retry_after_us``."""
        if (entry := self._table.open.get(request_id)) is not None:
            reply = entry.reply
            self._table.remember_if_run(entry)
            self._close(entry, "refused")
            self._deliver(entry, AnswerKind.REJECTED, lambda: reply.reject(retry_after_us))

    def fail(self, request_id: int, reason: FailureReason) -> None:
        """Fail a request if it is still open."""
        if (entry := self._table.open.get(request_id)) is not None:
            reply = entry.reply
            self._table.remember_if_run(entry)
            self._close(entry, "failed")
            self._deliver(entry, AnswerKind.FAILED, lambda: reply.fail(reason))

    def client_has_disconnected(self, entry: OpenRequest) -> bool:
        """Whether the client of an open request has disconnected.

        That is true even if the end of its connection has not been read yet.
        """
        reply = entry.reply
        return entry.request_id in self._table.open and bool(
            self._call(lambda: reply.client_has_disconnected())
        )

    def _close(self, entry: OpenRequest, counter: str) -> None:
        self._table.close(entry)
        self._activity.counts[counter] += 1
        self._activity.answered(entry.deadline_us)

    def _deliver(self, entry: OpenRequest, kind: AnswerKind, call: Callable[[], _Result]) -> _Result | None:
        self._activity.note(entry.request.client_request_id, Step.ANSWERED, kind.value)
        return self._call(call)

    def _call(self, call: Callable[[], _Result]) -> _Result | None:
        try:
            return call()
        except Exception as error:
            self._activity.fault("reply_raised", error)
            self._activity.counts["reply_raised"] += 1
            return None
