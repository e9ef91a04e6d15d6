"""Large requests of a soak: how a client writes them, and how a node reads them."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from ...http.messages import MAX_BUFFERED_BODY, Head
from ...net import unsent_bytes
from ..peers import HttpConnection

LARGE_BYTES = (100_000, 400_000, 1_500_000)
PIECES = (1, 1, 4)
PIECE_REST_S = 0.2
WRITTEN_POLL_S = 0.005  # between checks whether a client's kernel has taken its last byte
SLOW_READ_S, SLOW_REST_S = 0.005, 0.1  # a node reads for so long, and then rests
STUCK_S = 6.0  # until a node that has stopped reading goes on
EARLY_ANSWER = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"


@dataclass(slots=True, frozen=True)
class LargeBody:
    """The body of one request, and how its client writes it."""

    size: int
    chunked: bool
    pieces: int

    def framing(self) -> str:
        """The header field that tells its length."""
        return "Transfer-Encoding: chunked" if self.chunked else f"Content-Length: {self.size}"

    def encoded(self) -> bytes:
        """The body as it is sent."""
        body = b"u" * self.size
        return b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body) if self.chunked else body


def draw_large_body(rng: random.Random) -> LargeBody:
    """Draw the body of a large request."""
    return LargeBody(rng.choice(LARGE_BYTES), rng.random() < 0.5, rng.choice(PIECES))


class LargeRequestWriter:
    """Writes one large request in pieces with rests; ``written`` is called once the kernel has its end."""

    def __init__(
        self, reactor: Any, connection: Any, text: bytes, pieces: int, is_current: Callable[[], bool],
        written: Callable[[], None],
    ) -> None:  # fmt: skip
        self._reactor, self._connection = reactor, connection
        self._text, self._size = text, -(-len(text) // pieces)
        self._is_current, self._written = is_current, written

    def write(self, at: int = 0) -> None:
        """Write the piece that begins at this byte, and the others later."""
        if not self._is_current():
            return
        self._connection.link.write(self._text[at : at + self._size])
        if at + self._size < len(self._text):
            self._reactor.callLater(PIECE_REST_S, self.write, at + self._size)
        else:
            self._await_kernel()

    def _await_kernel(self) -> None:
        if not self._is_current():
            return
        if unsent_bytes(self._connection.link):
            self._reactor.callLater(WRITTEN_POLL_S, self._await_kernel)
        else:
            self._written()


class Pace(Enum):
    """How a node reads a large request."""

    AT_ONCE = "at_once"
    SLOW = "slow"
    STUCK = "stuck"
    EARLY = "early"  # it answers before it has read all, and reads on


class NodeSideConnection(HttpConnection):
    """A connection of a node, which reads large requests at a pace that it draws for each."""

    def __init__(self, owner: Any, reactor: Any, rng: random.Random) -> None:
        super().__init__(owner, answers=False)
        self._reactor, self._rng = reactor, rng
        self._slow = False
        self.large_since: float | None = None  # when the head of a large request was read
        self.turned_away = False  # the request that arrives has its answer already

    def header_received(self, head: Head) -> None:
        """Draw a pace if a large request begins."""
        self.large_since, self.turned_away = None, False
        if head.length is not None and head.length <= MAX_BUFFERED_BODY:
            return
        self.large_since = self._reactor.seconds()
        match self._rng.choice(list(Pace)):
            case Pace.SLOW:
                self._slow = True
                self._rest(SLOW_REST_S)
            case Pace.STUCK:
                self._rest(STUCK_S)
            case Pace.EARLY:
                self.turned_away = True
                self.link.write(EARLY_ANSWER)
            case Pace.AT_ONCE:
                pass

    def take_unread_s(self) -> float:
        """How long the message that is complete now may have been unread, in seconds; ends its pace."""
        since, self.large_since, self._slow = self.large_since, None, False
        return self._reactor.seconds() - since if since is not None else 0.0

    def _rest(self, seconds: float) -> None:
        if not self.lost:
            self.link.pauseProducing()
            self._reactor.callLater(seconds, self._read_on)

    def _read_on(self) -> None:
        if not self.lost and self.link.connected:
            self.link.resumeProducing()
            if self._slow:
                self._reactor.callLater(SLOW_READ_S, self._rest_if_slow)

    def _rest_if_slow(self) -> None:
        if self._slow:
            self._rest(SLOW_REST_S)

    def connectionLost(self, reason: Any = None) -> None:
        """End the pace."""
        self.lost = True
        super().connectionLost(reason)
