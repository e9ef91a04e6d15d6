"""What a client has sent and we have not served yet: parsed, timed, and bounded."""

from __future__ import annotations

from typing import Any

from ..net import kernel_wait_us
from .arrival_times import ArrivalTimes
from .client_limits import MAX_PIPELINED, MAX_PIPELINED_EXCESS
from .client_owner import ClientOwner
from .parser import Parser


class ClientInput:
    """The input of one connection."""

    def __init__(self, owner: ClientOwner) -> None:
        self._owner = owner
        self._arrivals = ArrivalTimes()
        self.parser = Parser(answers=False)
        self.cut = False  # the client sent more than it may: the rest is thrown away
        self.excess = 0  # bytes beyond MAX_PIPELINED
        self.paused = False
        self._paused_at_us = 0
        self.since_us = 0  # when the part of a request that is arriving began, or came to its turn

    def feed(self, data: bytes, link: Any, now_us: int) -> None:
        """Add what has come by a transport."""
        arrived_us = now_us - kernel_wait_us(link, self._owner.clock)
        if self.parser.between_messages:
            self.since_us = now_us
        self.parser.feed(data)
        self._arrivals.record(self.parser.bytes_fed, self.parser.bytes_read, arrived_us)

    def pause(self, link: Any) -> None:
        """Read no more for now."""
        self._paused_at_us = self._owner.clock.now_us()
        self.paused = True
        link.pauseProducing()

    def resume(self, link: Any) -> int:
        """Read on; the present time."""
        now_us = self._owner.clock.now_us()
        self.since_us += now_us - self._paused_at_us  # what we make a client wait is not its time
        self.paused = False
        link.resumeProducing()
        return now_us

    def last_read_us(self) -> int:
        """When the last byte came of what has been read: a request's time runs from there."""
        return self._arrivals.last_read(self.parser.bytes_read, self._owner.clock.now_us())

    def bound(self, active: bool) -> None:
        """Bound what waits behind the request in hand; none counts of a connection that is not active.

        Reading goes on, as the client's end is seen behind all that it has sent: what is too much is thrown
        away, and the connection ends where that begins.
        """
        owner = self._owner
        excess = max(0, self.parser.buffered - MAX_PIPELINED) if active else 0
        owner.excess_input += excess - self.excess
        self.excess = excess
        if excess and (excess > MAX_PIPELINED_EXCESS or owner.excess_input > owner.max_excess_input):
            self.cut = True

    def release(self) -> None:
        """The connection is lost: nothing of it counts any more."""
        self._owner.excess_input -= self.excess
        self.excess = 0
