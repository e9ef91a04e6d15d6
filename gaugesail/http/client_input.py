"""The input of a client that has not been processed: parsed, timed and bounded."""

from __future__ import annotations

from typing import Any

from ..net import kernel_wait_us, unread_bytes
from ..peer_progress import PeerProgress
from .arrival_times import ArrivalMark, ArrivalTimes
from .client_limits import MAX_PIPELINED_EXCESS_BYTES
from .client_owner import ClientOwner
from .last_byte_time import LastByteTime
from .parser import Parser


class ClientInput:
    """The input of one client connection."""

    def __init__(self, owner: ClientOwner) -> None:
        self._owner = owner
        self._arrivals = ArrivalTimes()
        self.parser = Parser(answers=False)
        self.truncated = False  # the client exceeded its bound: further input is discarded
        self.excess = 0  # bytes beyond what each client may always have buffered
        self.paused = False  # by the back-pressure of a node
        self.waits_for_turn = False
        self.steps = PeerProgress()
        self.last_byte = LastByteTime()
        self._stopped_at_us = 0
        self.since_us = 0  # when the arriving part of a request started, or became the next to be read

    def feed(self, data: bytes, link: Any, now_us: int) -> None:
        """Add input received from a transport at ``now_us``."""
        arrived_us = now_us - kernel_wait_us(link, self._owner.clock)
        # A client whose bytes fill what is read at once may have waited for this process to read them.
        could_send_more = len(data) < self._owner.pool.io_bytes
        step_us = arrived_us if could_send_more else now_us
        if self.parser.between_messages:
            self.since_us = now_us
            self.steps.begin(step_us, len(data))
        else:
            self.steps.advance(max(self.steps.since_us, step_us), len(data))
        self.last_byte.received(now_us, arrived_us, could_send_more)
        self.parser.feed(data)
        self._arrivals.record(self.parser.bytes_fed, self.parser.bytes_read, arrived_us)

    @property
    def stopped(self) -> bool:
        """Whether nothing is read now."""
        return self.paused or self.waits_for_turn

    def pause(self, link: Any) -> None:
        """Stop reading, for the back-pressure of a node."""
        self._stop(link)
        self.paused = True

    def resume(self, link: Any) -> int:
        """End the pause; return the present time."""
        self.paused = False
        return self._continue(link)

    def wait_for_turn(self, link: Any) -> None:
        """Stop reading until the client's turn."""
        self._stop(link)
        self.waits_for_turn = True

    def take_turn(self, link: Any) -> int:
        """End the wait; return the present time."""
        self.waits_for_turn = False
        return self._continue(link)

    def _stop(self, link: Any) -> None:
        if not self.stopped:
            self._stopped_at_us = self._owner.clock.now_us()
            self.last_byte.paused()
            link.pauseProducing()

    def _continue(self, link: Any) -> int:
        now_us = self._owner.clock.now_us()
        if not self.stopped:
            self.since_us += now_us - self._stopped_at_us  # the gateway's pauses do not count
            self.steps.begin(now_us)
            self.last_byte.resumed(now_us, unread_bytes(link))
            link.resumeProducing()
        return now_us

    def last_read_us(self) -> int:
        """When the last parsed byte was received, which is the start of a request's time."""
        return self._arrivals.last_read(self.parser.bytes_read, self._owner.clock.now_us())

    def bound(self, active: bool) -> None:
        """Bound the input behind the pending request; a connection that is not active counts as empty.

        Reading continues, because the client's FIN is only seen after all its input.  Input beyond the bound
        is discarded, and the connection ends after the requests before it.
        """
        owner = self._owner
        excess = max(0, self.parser.buffered - owner.pool.io_bytes) if active else 0
        owner.excess_input += excess - self.excess
        self.excess = excess
        if excess and (excess > MAX_PIPELINED_EXCESS_BYTES or owner.excess_input > owner.max_excess_input):
            self.truncated = True

    @property
    def is_pending(self) -> bool:
        """Whether anything that was received has no answer yet: buffered input, or the end at a gap."""
        return self.parser.buffered > 0 or self.truncated

    def export_arrivals(self) -> tuple[ArrivalMark, ...]:
        """Return when the buffered input arrived, by the clock that all processes of the machine share."""
        clock = self._owner.clock
        marks = self._arrivals.unread(self.parser.bytes_read)
        return tuple(ArrivalMark(mark.end, clock.to_machine_us(mark.arrived_us)) for mark in marks)

    def restore(self, parser: dict[str, Any], truncated: bool, arrivals: tuple[ArrivalMark, ...]) -> None:
        """Continue with the input of another process, which counts against this one's bounds from now on."""
        clock = self._owner.clock
        self.parser.restore_state(parser)
        self.truncated = truncated
        marks = [ArrivalMark(mark.end, clock.from_machine_us(mark.arrived_us)) for mark in arrivals]
        self._arrivals.restore(marks)
        if marks:
            self.last_byte.restore(marks[-1].arrived_us)
        self.bound(True)

    def release(self) -> None:
        """Drop the input of a lost connection, and stop counting it."""
        self.parser.discard_input()
        self._owner.excess_input -= self.excess
        self.excess = 0
