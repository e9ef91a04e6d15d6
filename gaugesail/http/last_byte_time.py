"""The earliest moment at which a client can have sent the last byte of what it sends.

A client counts from its last byte, which may stand in the kernels of both sides while the gateway does not
read: for a node's back-pressure, for other clients, before the connection is accepted, or as the process
stands still.  So the time runs from the last moment in which the client is known to have had nothing more on
its way: its socket was empty, although it was read all the time before.  Times are in microseconds of the
gateway's clock.
"""

from __future__ import annotations

# The client has sent nothing if its socket stays empty for so long, and was read all the time before.
EMPTY_US = 3_000
READ_BEFORE_US = 100_000
HELD_BACK_BYTES = 16 * 1024  # unread by us: a peer may have more to send than its window allows


class LastByteTime:
    """Follows the reads from one client."""

    def __init__(self) -> None:
        self._after_us: int | None = None
        self._read_since_us: int | None = 0  # None: nothing is read now
        self._read_before_pause_us = 0  # ``_read_since_us`` at the latest pause
        self._emptied_us: int | None = None  # when the latest read left nothing in the socket

    def after_us(self, now_us: int) -> int:
        """Return the moment before which the client had not sent its last byte; ``now_us`` at the latest."""
        return now_us if self._after_us is None else self._after_us

    def received(self, now_us: int, arrived_us: int, is_emptied: bool) -> None:
        """Note a read.

        :param arrived_us: when the latest of its bytes came to our kernel; nothing was read since then.
        :param is_emptied: whether it left nothing in the socket.
        """
        if self._after_us is None:
            self._after_us = arrived_us
        elif self._emptied_us is not None and arrived_us - self._emptied_us >= EMPTY_US:
            self.note_empty(arrived_us)
        self._emptied_us = now_us if is_emptied else None
        has_backlog = arrived_us < now_us and not is_emptied
        if has_backlog and self._read_since_us is not None:
            self._read_since_us = now_us

    def note_empty(self, until_us: int) -> None:
        """Note that the socket was empty up to then."""
        if self._read_since_us is not None and until_us - self._read_since_us >= READ_BEFORE_US:
            self._after_us = max(until_us, self.after_us(until_us))

    def paused(self) -> None:
        """Note that nothing is read from now on."""
        if self._read_since_us is not None:
            self._read_before_pause_us = self._read_since_us
        self._read_since_us = self._emptied_us = None

    def resumed(self, now_us: int, unread_bytes: int | None) -> None:
        """Note that the client is read again.

        :param unread_bytes: in its socket; None if that is not known.  Few have held nothing back at the
            client, so that the pause does not count.
        """
        is_held_back = unread_bytes is None or unread_bytes >= HELD_BACK_BYTES
        self._read_since_us = now_us if is_held_back else self._read_before_pause_us

    def restore(self, arrived_us: int) -> None:
        """Begin with input of another process, the latest of which came at ``arrived_us``."""
        self._after_us = arrived_us
