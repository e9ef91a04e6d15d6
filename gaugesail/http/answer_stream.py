"""A large answer that is streamed from a node to a client."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..core.ports import BodySource
from ..net import DrainNotifier

if TYPE_CHECKING:
    from .client_connection import ClientConnection


class AnswerStream:
    """The sink for the body of one answer whose head is written."""

    def __init__(self, connection: ClientConnection, source: BodySource, chunked: bool) -> None:
        self._connection = connection
        self.source = source
        self.chunked = chunked
        self._handing_over = False

    def write(self, data: bytes) -> None:
        """Write the next bytes of the body to the client."""
        if not self._connection.lost and data:
            self._connection.stream_bytes_come(len(data))
            self._connection.link.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)

    def finish(self) -> None:
        """Write the end of the complete answer."""
        if self.chunked and not self._connection.lost:
            self._connection.link.write(b"0\r\n\r\n")
        self._connection.stream_finished()

    def fail(self) -> None:
        """End an incomplete answer with a reset, which the client can tell from a complete one."""
        self._connection.stream_failed()

    def start_handover(self, emptied: Callable[[ClientConnection, Any], None]) -> None:
        """Pause the stream and call ``emptied`` once the write buffer is empty.

        Then another process may continue the stream.
        """
        if self._handing_over or self._connection.lost:
            return
        self._handing_over = True
        self.source.pause()
        self._connection.link.unregisterProducer()

        def report() -> None:
            if not self._connection.lost and self._connection.stream is not None:
                emptied(self._connection, self.source)

        DrainNotifier(self._connection.link, report)

    def cancel_handover(self) -> None:
        """Continue the stream here, as the other process has ended."""
        self._handing_over = False
        self._connection.link.registerProducer(self._connection, True)
        self.source.resume()
