"""What a connection to a node needs of the pool that it belongs to, and of the source of an upload."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from gaugesail.policy.events import AttemptResult

from ..buffers import BufferPool
from ..core.ports import Clock
from .idle_times import IdleTimes
from .node_request import NodeRequest
from .stream_end import StreamEnd

if TYPE_CHECKING:
    from .node_connection import NodeConnection


class PushProducer(Protocol):
    """Twisted's push producer: receives back-pressure from a transport."""

    def pauseProducing(self) -> None:
        """Stop writing until resumed."""
        ...

    def resumeProducing(self) -> None:
        """Continue writing."""
        ...

    def stopProducing(self) -> None:
        """Stop for good: the connection is lost."""
        ...


class ConnectionOwner(Protocol):
    """What a connection needs of the pool that it belongs to."""

    clock: Clock
    buffers: BufferPool
    idle_times: IdleTimes

    def connection_freed(self, connection: NodeConnection) -> None:
        """The answer is complete and the connection may be used again."""
        ...

    def connection_ended(self, connection: NodeConnection) -> None:
        """The connection has ended; called at least once for each connection."""
        ...

    def stream_given_up(self, connection: NodeConnection, why: StreamEnd) -> None:
        """A streamed answer is about to be broken off by the gateway."""
        ...

    def finish(self, request: NodeRequest, result: AttemptResult, answer: bytes = b"") -> None:
        """Report the result of the request that the connection carried."""
        ...
