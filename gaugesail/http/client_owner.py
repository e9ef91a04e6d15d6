"""What a client connection needs of the server that accepted it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..buffers import BufferPool
from ..core.engine import Engine
from ..core.ports import Clock
from ..memory_holders import MemoryHolders
from ..read_turns import ReadTurns
from .request_reader import RequestReader

if TYPE_CHECKING:
    from .client_connection import ClientConnection


class ClientOwner(Protocol):
    """The server that accepted a client connection."""

    clock: Clock
    engine: Engine
    pool: BufferPool
    holders: MemoryHolders
    turns: ReadTurns
    reader: RequestReader
    retry_after_us: int  # Retry-After of rejections for which the policy names no time
    excess_input: int  # bytes buffered for all clients beyond what each may always have
    closing: bool
    held: bool  # capacity exhausted: new clients wait in the listen backlog

    @property
    def max_excess_input(self) -> int:
        """Limit of ``excess_input`` in bytes."""
        ...

    @property
    def ready(self) -> bool:
        """Whether the gateway wants new clients."""
        ...

    @property
    def leaving(self) -> bool:
        """Whether clients are to leave, after their next answer or when they are idle."""
        ...

    @property
    def over_limit(self) -> bool:
        """Whether there are more connections than the limit without overflow."""
        ...

    def opened(self, connection: ClientConnection) -> None:
        """Register a new connection."""
        ...

    def closed(self, connection: ClientConnection) -> None:
        """Unregister a connection that has ended."""
        ...

    def used(self, connection: ClientConnection) -> None:
        """Note that a connection has written an answer."""
        ...

    def request_may_have_stalled(self, connection: ClientConnection) -> None:
        """Look whether the client had stopped amid a request before that part was read."""
        ...

    def log_slow_input(self, connection: ClientConnection) -> None:
        """Log a request that took too long to arrive, before it is ended."""
        ...

    def log_fault(self, error: Exception) -> None:
        """Count and log a fault of the gateway."""
        ...
