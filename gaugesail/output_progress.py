"""When the peer of a connection has last read any of what was written to it.

The transport tells only when its own buffer has become empty, and the kernel accepts bytes that nobody reads.
What counts is what the peer's kernel has acknowledged, which stops when the peer does not read (tcp(7),
``SIOCOUTQ``).
"""

from __future__ import annotations

from typing import Any

from .core.ports import Clock
from .net import unacknowledged_kernel_bytes, unsent_bytes
from .peer_progress import PeerProgress

UNREAD_US = 60_000_000  # a client that reads nothing for longer is treated as lost
FIN_BYTES = 1  # the kernel counts a FIN as one byte until it is acknowledged


def unacknowledged_bytes(link: Any) -> int | None:
    """The bytes written to a transport that its peer has not acknowledged; None if that is not known."""
    queued = unacknowledged_kernel_bytes(link)
    return None if queued is None else queued + unsent_bytes(link)


class OutputProgress:
    """The progress of a peer that reads more slowly than it is written to."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._unacknowledged: int | None = None
        self._steps = PeerProgress()

    @property
    def since_us(self) -> int:
        """When the peer has last read anything."""
        return self._steps.since_us

    @property
    def unacknowledged(self) -> int:
        """The bytes that the peer had not acknowledged at the latest look; 0 if that is not known."""
        return self._unacknowledged or 0

    @property
    def stalled_at_us(self) -> int:
        """When the peer counts as stalled if it reads nothing until then."""
        return self._steps.stalled_at_us

    def blocked(self, link: Any) -> None:
        """Note that the transport's buffer is full."""
        self._steps.begin(self._clock.now_us())
        self._unacknowledged = unacknowledged_bytes(link)

    def sample(self, link: Any) -> int:
        """Look whether the peer has read since the last call; returns ``since_us``."""
        before, now = self._unacknowledged, unacknowledged_bytes(link)
        self._unacknowledged = now
        if before is not None and now is not None and now < before and before > FIN_BYTES:
            self._steps.advance(self._clock.now_us())
        return self.since_us
