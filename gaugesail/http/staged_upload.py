"""A large request that is written to a node while it is received, except for its end.

The end is written with the attempt.  Until then the node cannot start the request, so an upload that is
abandoned has not run.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from gaugesail.policy.events import AttemptResult

from ..core.ports import BodySource, Clock
from ..peer_progress import PeerProgress
from .forwarded_request import ForwardedRequest
from .node_connection import NodeConnection
from .node_request import NodeRequest

END_OF_CHUNKS = b"0\r\n\r\n"


class UploadState(Enum):
    """State of a staged upload."""

    RECEIVING = "receiving"  # or received completely and waiting for its attempt
    SENT = "sent"  # the end was written: the request may run
    BROKEN = "broken"  # abandoned: the request cannot run


class StagedUpload:
    """The sink of a large request's body; propagates the node's back-pressure to the client."""

    def __init__(
        self,
        forwarded: ForwardedRequest,
        timeout_us: int,
        source: BodySource,
        finish: Callable[[NodeRequest, AttemptResult], None],
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._steps = PeerProgress()  # of the client, with the body
        self._steps.begin(clock.now_us())
        self._forwarded = forwarded
        self._timeout_us = timeout_us
        self._source = source
        self._finish = finish
        self._connection: NodeConnection | None = None
        self._held_back = b""  # the end of the body: the last byte received, or the last chunk
        self._complete = False
        self._paused = False
        self._pending: NodeRequest | None = None  # carries the attempt, until there is a connection
        self._state = UploadState.RECEIVING
        self.request: NodeRequest | None = None

    def start(self, connection: NodeConnection, request: NodeRequest, host: str) -> None:
        """Write the head and the buffered body on ``connection``, and resume the client."""
        self._connection = connection
        body = self._forwarded.body
        head = self._forwarded.head(host, self._timeout_us, self._source.length)
        connection.start_upload(request, head, self)
        received = body.read()
        body.release()
        self.write(received)
        if self._complete and self._pending is not None:
            self._send_end(connection, self._pending)
        elif not (self._paused or self._complete):
            self._source.resume()

    @property
    def receiving(self) -> bool:
        """Whether the rest of the body is awaited."""
        return self._state is UploadState.RECEIVING and not self._complete

    def stalled_at_us(self) -> int:
        """When its client counts as stalled if it sends nothing until then."""
        return self._clock.now_us() if self._paused else self._steps.stalled_at_us

    def evict(self) -> None:
        """Reject the request, as others need its connection."""
        self._source.stop()

    # ---- back-pressure of the node ----

    def pauseProducing(self) -> None:
        """The node reads too slowly: pause the client."""
        self._paused = True
        if self._state is UploadState.RECEIVING and not self._complete:
            self._source.pause()

    def resumeProducing(self) -> None:
        """The node reads again: resume the client."""
        self._paused = False
        self._steps.begin(self._clock.now_us())
        if self._state is UploadState.RECEIVING and not self._complete:
            self._source.resume()

    def stopProducing(self) -> None:
        """The connection is lost; its protocol's ``connectionLost`` is called too."""

    # ---- the client's side ----

    def write(self, data: bytes) -> None:
        """Write the next bytes of the body; without chunks the last byte received is held back."""
        if self._state is not UploadState.RECEIVING or not data:
            return
        self._steps.advance(self._clock.now_us(), len(data))
        if self._connection is None:
            self._forwarded.body.append(data)
        elif self._source.length is None:
            self._connection.link.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self._connection.link.write(self._held_back + data[:-1])
            self._held_back = data[-1:]

    def finish(self) -> None:
        """Note that the body is complete; its end is held back until the attempt."""
        self._complete = True
        if self._source.length is None:
            self._held_back = END_OF_CHUNKS

    def fail(self) -> None:
        """Abandon the upload, as the client has disconnected or the request has its answer."""
        if self._state is not UploadState.RECEIVING:
            return
        self._state = UploadState.BROKEN
        self._held_back = b""
        if self.request is not None:
            self.request.ended = True
        if self._connection is not None:
            self._connection.abort()

    # ---- the node's side ----

    def connection_lost(self) -> None:
        """The connection is lost or there is none: stop the client, or end the pending attempt."""
        if self._state is not UploadState.RECEIVING:
            return
        self._state = UploadState.BROKEN
        if not self._complete:
            self._source.stop()
        elif self._pending is not None:
            self._finish(self._pending, AttemptResult.NO_CONNECTION)

    def send(self, request: NodeRequest) -> bool:
        """Write the end of the body, for the attempt of ``request``.

        Returns False if the upload is incomplete or abandoned.
        """
        if self._state is not UploadState.RECEIVING or not self._complete:
            return False
        if self._connection is None:
            self._pending = request
        else:
            self._send_end(self._connection, request)
        return True

    def _send_end(self, connection: NodeConnection, request: NodeRequest) -> None:
        if request.obsolete:
            self.fail()
            return
        if not request.may_start():
            self.fail()
            self._finish(request, AttemptResult.NOT_STARTED)
            return
        self._state = UploadState.SENT
        if request.listener is not None and request.attempt is not None:
            request.listener.attempt_started(request.attempt)
        connection.finish_upload(request, self._held_back)
        self._held_back = b""
