"""Divides the memory that the limit of a gateway leaves beside the program itself.

Every bound on what peers can make the process hold follows from here, so that all of them together stay under
the limit.  The amounts are what the objects cost, not only their bytes.
"""

from __future__ import annotations

from dataclasses import dataclass

from .buffers import BUFFER_BYTES

MEGABYTE = 1024 * 1024
PROGRAM_BYTES = 42 * MEGABYTE  # of one process without clients
SERVER_BYTES = 5 * 1024  # of the records of a listed server
USUAL_SERVERS = 200  # whose records are part of the program
USABLE_SHARE = 0.75  # of what remains: the allocator does not return all that is freed
SMALLEST_SHARE = 1 / 8  # of the limit, even if the program leaves less
# Shares of the usable memory.
BUFFER_SHARE = 0.45  # open requests, bodies, and answers that clients do not read
CONNECTION_SHARE = 0.4  # what each connection may hold without being counted
RECORD_SHARE = 0.15  # volumes and request ids
BUFFERS_OF_CONNECTION = 4  # each as large as ``connection_bytes``: in and out, of a client and its node
SMALLEST_CONNECTION_BYTES = 4 * 1024
LARGEST_CONNECTION_BYTES = 16 * 1024
VOLUME_BYTES = 1200  # of a volume's budget with its token bucket and keys
REQUEST_ID_BYTES = 400  # of a long id with its times
VOLUME_SHARE = 0.7  # of the records
REQUEST_RECORD_BYTES = 4096  # of an open request: its records in the engine and the policy
SMALLEST_BUFFERS = 88  # four bodies of the largest size that is buffered, and the records of their requests


@dataclass(slots=True, frozen=True)
class MemoryBudget:
    """What one process may hold for all its peers."""

    buffers: int  # of BUFFER_BYTES each
    connection_bytes: int  # read at once from a connection, and written before its source is paused
    volumes: int
    request_ids: int  # remembered after their clients have left

    @classmethod
    def within(cls, limit_mb: int, connections: int, processes: int = 1, servers: int = 0) -> MemoryBudget:
        """Return the budget of each of ``processes`` that share a limit in MB and serve ``connections``.

        :param servers: in the endpoint list.
        """
        limit = limit_mb * MEGABYTE
        list_bytes = max(0, servers - USUAL_SERVERS) * SERVER_BYTES
        rest = (limit - processes * (PROGRAM_BYTES + list_bytes)) * USABLE_SHARE
        usable = max(rest, limit * SMALLEST_SHARE) / processes
        connection_bytes = int(usable * CONNECTION_SHARE / (BUFFERS_OF_CONNECTION * max(1, connections)))
        records = usable * RECORD_SHARE
        return cls(
            buffers=max(SMALLEST_BUFFERS, int(usable * BUFFER_SHARE) // BUFFER_BYTES),
            connection_bytes=_power_of_two(connection_bytes),
            volumes=int(records * VOLUME_SHARE / VOLUME_BYTES),
            request_ids=int(records * (1 - VOLUME_SHARE) / REQUEST_ID_BYTES),
        )


@dataclass(slots=True, frozen=True)
class MemoryLimit:
    """The limit on the memory of all processes of a gateway, and the client connections that share it."""

    megabytes: int
    connections: int

    @property
    def leaves_nothing(self) -> bool:
        """Whether the program itself takes all of it."""
        return self.megabytes * MEGABYTE <= PROGRAM_BYTES

    def budget(self, processes: int, servers: int = 0) -> MemoryBudget:
        """Return what each of ``processes`` of the gateway may use for its peers, beside its list."""
        return MemoryBudget.within(self.megabytes, self.connections // processes, processes, servers)


def _power_of_two(byte_count: int) -> int:
    """The largest power of two up to ``byte_count``, within the bounds of a connection buffer."""
    bounded = min(LARGEST_CONNECTION_BYTES, max(SMALLEST_CONNECTION_BYTES, byte_count))
    return 1 << (bounded.bit_length() - 1)
