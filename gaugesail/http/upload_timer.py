"""The time of a request whose body is arriving."""

from __future__ import annotations

from collections.abc import Callable

from ..core.ports import Clock, DelayedCall
from .last_byte_time import LastByteTime

CHECK_INTERVAL_US = 5_000  # shortest, while the client still sends a request of less time


class UploadTimer:
    """Calls ``expired`` when a client may have waited for ``allowed_us`` microseconds.

    That is its time, less what its node needs for the answer.  ``is_empty`` tells whether the client's
    socket has nothing to read.  An upload that waits for its client has all the time that the limits of
    clients give.
    """

    def __init__(
        self,
        clock: Clock,
        allowed_us: int,
        last_byte: LastByteTime,
        is_empty: Callable[[], bool],
        expired: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._last_byte = last_byte
        self._is_empty = is_empty
        self._allowed_us = allowed_us
        self._expired = expired
        self._call: DelayedCall | None = None
        self._schedule()

    @property
    def _due_us(self) -> int:
        return self._last_byte.after_us(self._clock.now_us()) + self._allowed_us

    def stop(self) -> None:
        """End the timer, as the request is complete or has its answer."""
        call, self._call = self._call, None
        if call is not None and call.active():
            call.cancel()

    def _schedule(self) -> None:
        self._call = self._clock.call_later(
            max(CHECK_INTERVAL_US, self._due_us - self._clock.now_us()), self._check
        )

    def _check(self) -> None:
        self._call = None
        now_us = self._clock.now_us()
        if self._is_empty():
            self._last_byte.note_empty(now_us)
        waits_for_client = self._last_byte.after_us(now_us) >= now_us
        if now_us >= self._due_us and not waits_for_client:
            self._expired()
        else:
            self._schedule()
