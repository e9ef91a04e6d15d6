"""The final answer of a request, written to the connection that received the request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.ports import BodySink, BodySource, FailureReason

if TYPE_CHECKING:
    from .client_connection import ClientConnection

FAILURE_STATUS = {FailureReason.FAILED: 500, FailureReason.OUT_OF_TIME: 504, FailureReason.ID_IN_USE: 409}


class ClientReply:
    """Writes one answer.  A second one raises RuntimeError."""

    __slots__ = ("_connection",)

    def __init__(self, connection: ClientConnection) -> None:
        self._connection: ClientConnection | None = connection

    def _release_connection(self) -> ClientConnection:
        connection = self._connection
        self._connection = None
        if connection is None:
            raise RuntimeError("the request already has its final answer")
        return connection

    def start_stream(self, source: BodySource) -> BodySink | None:
        """Start a streamed answer; None if the client is lost."""
        connection = self._release_connection()
        try:
            return connection.start_stream(source)
        except Exception:  # a part may have been written: only a reset is safe
            connection.stream_failed()
            raise

    def send_answer(self, answer: bytes) -> None:
        """Answer 200 with the body that a node sent."""
        self._release_connection().answer(200, answer)

    def reject(self, retry_after_us: int) -> None:
        """Answer 503 with Retry-After; ``retry_after_us`` 0 stands for the longest time in the settings."""
        connection = self._release_connection()
        retry_after_us = retry_after_us or connection.owner.retry_after_us
        connection.answer(503, b"refused", retry_after_us=retry_after_us)

    def fail(self, reason: FailureReason) -> None:
        """Answer with the status of ``reason``."""
        self._release_connection().answer(FAILURE_STATUS[reason], reason.value.encode())

    def client_has_disconnected(self) -> bool:
        """Whether the client has disconnected, even if its FIN was not read yet."""
        return self._connection is not None and self._connection.disconnected
