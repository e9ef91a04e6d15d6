"""A large answer that is passed on to its client while it comes from its node."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..core.ports import BodySource
from ..net import DrainNotifier

if TYPE_CHECKING:
    from .client_connection import ClientConnection


class AnswerStream:
    """The sink of one answer, between its head and its end."""

    def __init__(self, connection: ClientConnection, source: BodySource, chunked: bool) -> None:
        self._connection = connection
        self.source = source
        self.chunked = chunked
        self._handing_over = False

    def write(self, data: bytes) -> None:
        """Pass on the next bytes of the answer."""
        if not self._connection.lost and data:
            self._connection.link.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)

    def finish(self) -> None:
        """The answer is complete."""
        if self.chunked and not self._connection.lost:
            self._connection.link.write(b"0\r\n\r\n")
        self._connection.stream_finished()

    def fail(self) -> None:
        """The answer can't be finished: a reset tells the client that it is not complete."""
        self._connection.stream_failed()

    def start_handover(self, emptied: Callable[[ClientConnection, Any], None]) -> None:
        """Report once what is written has left our buffer: then another process may pass the rest on."""
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
        """There is no other process any more: go on here."""
        self._handing_over = False
        self._connection.link.registerProducer(self._connection, True)
        self.source.resume()
