"""The time of a large request that is written to its node while it arrives.

A client counts from its last byte, which may stand in the kernels of both sides while the node's
back-pressure keeps the gateway from reading.  So the time runs from the last moment in which the client is
known to have had nothing more on its way; an upload that waits for its client has all the time that the
limits of clients give.
"""

from __future__ import annotations

from collections.abc import Callable

from ..core.ports import Clock, DelayedCall

# The client has sent nothing if its socket stays empty for so long, and was read all the time before.
EMPTY_US = 3_000
READ_BEFORE_US = 100_000


class UploadTimer:
    """Calls ``expired`` when a client may have waited for ``allowed_us`` microseconds.

    That is its time, less what its node needs for the answer.  ``is_empty`` tells whether the client's socket
    has nothing to read.
    """

    def __init__(
        self, clock: Clock, allowed_us: int, is_empty: Callable[[], bool], expired: Callable[[], None]
    ) -> None:
        self._clock = clock
        self._is_empty = is_empty
        self._allowed_us = allowed_us
        self._expired = expired
        self.complete_after_us = clock.now_us()  # the client had not sent its last byte before then
        self._read_since_us: int | None = 0  # None: the node's back-pressure pauses the client
        self._emptied_us: int | None = None  # when the latest read left nothing in the socket
        self._call: DelayedCall | None = None
        self._schedule()

    def paused(self) -> None:
        """Note that the node's back-pressure pauses the client."""
        self._read_since_us = self._emptied_us = None

    def resumed(self) -> None:
        """Note that the client is read again."""
        self._read_since_us = self._clock.now_us()

    def received(self) -> None:
        """Note that input was read."""
        now_us = self._clock.now_us()
        if self._emptied_us is not None and now_us - self._emptied_us >= EMPTY_US:
            self._note_empty(now_us)
        self._emptied_us = now_us if self._is_empty() else None

    def stop(self) -> None:
        """End the timer, as the request is complete or has its answer."""
        call, self._call = self._call, None
        if call is not None and call.active():
            call.cancel()

    def _note_empty(self, now_us: int) -> None:
        """The socket was empty: nothing was on its way if the client was read all the time before."""
        if self._read_since_us is not None and now_us - self._read_since_us >= READ_BEFORE_US:
            self.complete_after_us = now_us

    def _schedule(self) -> None:
        left_us = self.complete_after_us + self._allowed_us - self._clock.now_us()
        self._call = self._clock.call_later(max(0, left_us), self._check)

    def _check(self) -> None:
        self._call = None
        if self._is_empty():
            self._note_empty(self._clock.now_us())
        if self._clock.now_us() >= self.complete_after_us + self._allowed_us:
            self._expired()
        else:
            self._schedule()
