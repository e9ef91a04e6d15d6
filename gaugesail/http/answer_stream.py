"""A large answer that is streamed from a node to a client."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..core.ports import BodySource
from ..net import DrainNotifier, kernel_socket, unsent_bytes

if TYPE_CHECKING:
    from .client_connection import ClientConnection


MAX_MOVED_OUTPUT_BYTES = 512 * 1024  # more is not moved, as a message has a limit


class AnswerStream:
    """The sink for the body of one answer whose head is written."""

    def __init__(self, connection: ClientConnection, source: BodySource, chunked: bool) -> None:
        self._connection = connection
        self.source = source
        self.chunked = chunked
        self._handing_over = False
        self.written_at_us = connection.owner.clock.now_us()  # when its latest bytes were

    def write(self, data: bytes) -> None:
        """Write the next bytes of the body to the client."""
        if not self._connection.lost and data:
            self.written_at_us = self._connection.owner.clock.now_us()
            self._connection.stream_bytes_come(len(data))
            self._connection.link.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)

    def finish(self) -> None:
        """Write the end of the complete answer; its source may serve others from now on."""
        self._connection.stream = None
        if self.chunked and not self._connection.lost:
            self._connection.link.write(b"0\r\n\r\n")
        self._connection.stream_finished()

    def fail(self) -> None:
        """End an incomplete answer with a reset, which the client can tell from a complete one."""
        self._connection.stream_failed()

    @property
    def ends_by_close(self) -> bool:
        """Whether only the close of the connection tells the end of the answer."""
        return self.source.length is None and not self.chunked

    def write_unsent(self, output: bytes) -> None:
        """Write what the process before has written of the answer, but not sent."""
        if not self._connection.lost and output:
            self._connection.stream_bytes_come(len(output))
            self._connection.link.write(output)

    def start_handover(
        self, move: Callable[[ClientConnection, Any], None], takes_unsent_output: bool
    ) -> None:
        """Pause the stream and call ``move``, after which another process may continue the stream.

        Unless that process ``takes_unsent_output``, ``move`` is called once all output has been sent, which
        the kernel reports only when a good part of its own buffer is free.
        """
        if self._connection.lost:
            return
        link = self._connection.link
        has_socket = kernel_socket(link) is not None  # else the rehearsal's reactor in memory
        can_move = takes_unsent_output and has_socket and unsent_bytes(link) <= MAX_MOVED_OUTPUT_BYTES
        if self._handing_over and not can_move:
            return
        if not self._handing_over:
            self._handing_over = True
            self.source.pause()
            link.unregisterProducer()

        def report() -> None:
            if not self._connection.lost and self._connection.stream is not None:
                move(self._connection, self.source)

        if can_move:
            report()
        else:
            DrainNotifier(link, report)

    def cancel_handover(self) -> None:
        """Continue the stream here, as the other process has ended."""
        self._handing_over = False
        self._connection.link.registerProducer(self._connection, True)
        self.source.resume()
