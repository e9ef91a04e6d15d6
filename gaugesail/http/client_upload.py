"""The body of a large request: written to its node while its client sends it, with back-pressure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.ports import BodySink, ClientRequest, UploadProgress
from ..net import unread
from .upload_timer import UploadTimer

if TYPE_CHECKING:
    from .client_connection import ClientConnection


class ClientUpload:
    """The source of one body; implements ``BodySource``.

    :param length: of the body in bytes; None if it comes in chunks.
    """

    def __init__(self, connection: ClientConnection, request: ClientRequest, length: int | None) -> None:
        self._connection = connection
        self._request = request
        self.length = length
        self.sink: BodySink | None = None
        self._byte_count = 0
        self._pauses = 0
        self._began_us = connection.owner.clock.now_us()
        connection.owner.engine.keep_answer_time(request)
        self._timer = UploadTimer(
            connection.owner.clock,
            request.timeout_us - request.answer_us,
            connection.input.last_byte,
            lambda: not unread(connection.link),
            self._expired,
        )

    def begin(self) -> None:
        """Write the body to its node from now on, or reject the request if that is not possible."""
        self.sink = self._connection.owner.engine.stage_upload(self._request, self)
        if self.sink is None:
            self.stop()

    def write(self, data: bytes) -> None:
        """Write the next bytes of the body."""
        self._byte_count += len(data)
        if self.sink is not None:
            self.sink.write(data)
        if not self._request.payload.body.length:  # all of it is at the node
            self._connection.owner.holders.remove(self._connection)

    def finish(self, received_us: int) -> int:
        """End the body; return when its last byte may have been sent, at ``received_us`` at the latest."""
        self._timer.stop()
        self._connection.owner.engine.upload_completed(self._request, self.progress)
        if self.sink is not None:
            self.sink.finish()
        self.resume()  # nothing pauses a complete body; reading on detects that the client disconnects
        return min(received_us, self._sent_after_us)

    @property
    def progress(self) -> UploadProgress:
        """How the body has arrived so far."""
        now_us = self._connection.owner.clock.now_us()
        return UploadProgress(
            self._byte_count, self._pauses, now_us - self._began_us, now_us - self._sent_after_us
        )

    @property
    def _sent_after_us(self) -> int:
        """When the client had not sent its last byte yet."""
        return self._connection.input.last_byte.after_us(self._connection.owner.clock.now_us())

    def end(self) -> None:
        """The request has its answer, or its client has left."""
        self._timer.stop()

    def _expired(self) -> None:
        self._connection.owner.engine.counts["upload_too_slow"] += 1
        self._refuse("out_of_time")

    # ---- BodySource ----

    def pause(self) -> None:
        """Stop reading from the client, as the node reads more slowly."""
        if self._connection.pause_reading():
            self._pauses += 1

    def resume(self) -> None:
        """Continue reading from the client."""
        self._connection.resume_reading()

    def stop(self) -> None:
        """Reject the request, whose body has no destination."""
        self._refuse("no_destination")

    def _refuse(self, why: str) -> None:
        self.end()
        self._connection.owner.engine.upload_refused(self._request, why, self.progress)
        self._connection.reject_body()
