"""What a client connection needs of the server that accepted it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..buffers import BufferPool
from ..core.engine import Engine
from ..core.ports import Clock
from .request_reader import RequestReader

if TYPE_CHECKING:
    from .client_connection import ClientConnection


class ClientOwner(Protocol):
    """The server of a connection."""

    clock: Clock
    engine: Engine
    pool: BufferPool
    reader: RequestReader
    retry_after_us: int  # that rejected clients are told where the policy names no time
    excess_input: int  # bytes that clients have sent beyond what each may
    closing: bool
    held: bool  # all places are in use, so that more clients wait in the kernel

    @property
    def max_excess_input(self) -> int:
        """How many bytes clients may together have sent beyond what each may."""
        ...

    @property
    def ready(self) -> bool:
        """Whether new clients are to come."""
        ...

    @property
    def leaving(self) -> bool:
        """Whether clients are to go, with their next answer or when they are idle."""
        ...

    @property
    def over_limit(self) -> bool:
        """Whether there are more clients than places."""
        ...

    def opened(self, connection: ClientConnection) -> None:
        """A client has come."""
        ...

    def closed(self, connection: ClientConnection) -> None:
        """A connection has ended."""
        ...

    def used(self, connection: ClientConnection) -> None:
        """A connection has answered."""
        ...

    def output_full(self, connection: ClientConnection) -> None:
        """A client does not read as fast as its answer comes."""
        ...

    def output_emptied(self, connection: ClientConnection) -> None:
        """It reads again, or is gone."""
        ...

    def raised(self, error: Exception) -> None:
        """A connection has met a fault of ours."""
        ...
