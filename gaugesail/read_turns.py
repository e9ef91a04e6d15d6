"""Divides the work of each reactor iteration among the clients that ask for much of it.

Work is counted by what the input makes the process do, not by its bytes.  A client has a credit, which
refills as fast as usual clients need it.  One that has spent its credit works on what is left of the
iteration; beyond that it waits, unread, for its turn in a later iteration.  So the other clients are served
in between.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Protocol

from .core.ports import Clock

# In units of work: the framing of one chunk.
REQUEST_WORK = 100  # of a request, with its answer
BYTES_PER_WORK = 256  # of input that is copied
FULL_CREDIT = 1_000
CREDIT_PER_S = 2_000
ITERATION_WORK = 2_000  # beyond the credits
LONG_ITERATION_US = 10_000  # after which bodies wait, so that due answers are given before more is read


@dataclass(slots=True)
class Credit:
    """The credit of one client."""

    units: float = FULL_CREDIT
    refilled_us: int = 0
    latest_work: int = 0


class TurnTaker(Protocol):
    """A client connection that can wait for its turn."""

    credit: Credit

    @property
    def receives_body(self) -> bool:
        """Whether the body of a request is arriving, the head of which was read."""
        ...

    def wait_for_turn(self) -> None:
        """Read nothing until ``take_turn``."""
        ...

    def take_turn(self) -> None:
        """Continue with the buffered input, and read on."""
        ...


class ReadTurns:
    """The clients that wait for their turn; those that wait for longest come first."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: OrderedDict[TurnTaker, None] = OrderedDict()
        self._left = ITERATION_WORK
        self._iteration_is_due = False
        self._began_us: int | None = None  # when the first body of this iteration was read

    def has_turn(self, client: TurnTaker) -> bool:
        """Whether a client may work now; if not, it waits for its turn."""
        if client in self._waiting:
            return False
        if client.receives_body and self._iteration_is_long:
            self._wait(client)
            return False
        if self._left > 0 or client.credit.units > 0 or self._refill(client.credit) > 0:
            return True
        self._wait(client)
        return False

    @property
    def _iteration_is_long(self) -> bool:
        """Whether reading has taken so long in this iteration that timers may be due."""
        now_us = self._clock.now_us()
        if self._began_us is None:
            self._began_us = now_us
            self._schedule()
        return now_us - self._began_us > LONG_ITERATION_US

    def spend(self, client: TurnTaker, work: int) -> bool:
        """Count work that was done for a client; returns whether it may go on, else it waits for its turn."""
        credit = client.credit
        credit.latest_work = work
        credit.units -= work
        if credit.units > 0 or self._refill(credit) > 0:
            return True
        self._left += int(credit.units)
        credit.units = 0
        self._schedule()
        if self._left > 0:
            return True
        self._wait(client)
        return False

    def remove(self, client: TurnTaker) -> None:
        """Forget a client that has left."""
        self._waiting.pop(client, None)

    def _refill(self, credit: Credit) -> float:
        now_us = self._clock.now_us()
        refill = (now_us - credit.refilled_us) * CREDIT_PER_S / 1_000_000
        credit.units = min(float(FULL_CREDIT), credit.units + refill)
        credit.refilled_us = now_us
        return credit.units

    def _wait(self, client: TurnTaker) -> None:
        self._waiting[client] = None
        client.wait_for_turn()
        self._schedule()

    def _schedule(self) -> None:
        if not self._iteration_is_due:
            self._iteration_is_due = True
            self._clock.call_later(0, self._begin_iteration)

    def _begin_iteration(self) -> None:
        self._iteration_is_due = False
        self._left = ITERATION_WORK
        self._began_us = self._clock.now_us() if self._waiting else None
        while self._waiting and self._left > 0 and not self._iteration_is_long:
            client, _ = self._waiting.popitem(last=False)
            # Its next input will cost about as much as the latest.
            self._left -= client.credit.latest_work
            client.credit.units = client.credit.latest_work
            client.take_turn()
        if self._waiting:
            self._schedule()
