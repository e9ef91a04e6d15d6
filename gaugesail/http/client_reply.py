"""The one final answer of a request, on the connection that it came by."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.ports import BodySink, BodySource, FailureReason

if TYPE_CHECKING:
    from .client_connection import ClientConnection

FAILURE_STATUS = {FailureReason.FAILED: 500, FailureReason.OUT_OF_TIME: 504, FailureReason.ID_IN_USE: 409}


class ClientReply:
    """Answers once; raises RuntimeError for a second answer."""

    __slots__ = ("_connection",)

    def __init__(self, connection: ClientConnection) -> None:
        self._connection: ClientConnection | None = connection

    def _take(self) -> ClientConnection:
        connection = self._connection
        self._connection = None
        if connection is None:
            raise RuntimeError("a second final answer")
        return connection

    def start_stream(self, source: BodySource) -> BodySink | None:
        """Begin an answer that is passed on while it comes."""
        connection = self._take()
        try:
            return connection.start_stream(source)
        except Exception:  # half an answer may be written: only the end of the connection is safe
            connection.stream_failed()
            raise

    def send_answer(self, answer: bytes) -> None:
        """Answer with the body that a node gave."""
        self._take().answer(200, answer)

    def reject(self, retry_after_us: int) -> None:
        """Answer that the request is rejected; without a time, the longest of the settings is named."""
        connection = self._take()
        retry_after_us = retry_after_us or connection.owner.retry_after_us
        connection.answer(503, b"refused", retry_after_us=retry_after_us)

    def fail(self, reason: FailureReason) -> None:
        """Answer that the request failed."""
        self._take().answer(FAILURE_STATUS[reason], reason.value.encode())

    def client_has_disconnected(self) -> bool:
        """Whether the client has gone, though its end may not have been read yet."""
        return self._connection is not None and self._connection.disconnected
