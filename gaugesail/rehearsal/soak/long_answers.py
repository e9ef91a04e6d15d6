"""The forms of a soak's long answers: any framing, and any pace."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

SHORT_BYTES = 300  # of an answer whose framing alone makes it look long
LONG_BYTES = (66_000, 220_000)
STEPS, STEP_REST_S = 12, 0.05  # of an answer that is written steadily
FIRST_LUMPS = (0, 10, 9_000, 53_000, 65_535)  # bytes; with none its head comes alone
REST_SHARES = (0.1, 1.6)  # of the request's time
LONGEST_REST_S = 2.0
LONG_REST_SHARE = 0.15  # of rests that do not depend on the request's time
LONG_RESTS_S = (0.0, 10.0)
LATE_HEAD_SHARES = (0.5, 0.9)  # of the request's time


class Framing(Enum):
    """How an answer tells where it ends."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


@dataclass(slots=True, frozen=True)
class Lump:
    """A rest, then a part of the body at once."""

    rest_s: float
    size: int


@dataclass(slots=True, frozen=True)
class LongAnswer:
    """The form of one answer."""

    framing: Framing
    head_after_s: float
    lumps: tuple[Lump, ...]

    @property
    def size(self) -> int:
        """Bytes of the body."""
        return sum(lump.size for lump in self.lumps)

    def body(self, name: str) -> bytes:
        """The body for the request with this id, which no other request has."""
        line = name.encode() + b"\n"
        return (line * (self.size // len(line) + 1))[: self.size]

    def head(self) -> bytes:
        """The header section."""
        fields = {
            Framing.LENGTH: b"Content-Length: %d\r\n" % self.size,
            Framing.CHUNKED: b"Transfer-Encoding: chunked\r\n",
            Framing.CLOSE: b"Connection: close\r\n",
        }
        return b"HTTP/1.1 200 OK\r\n" + fields[self.framing] + b"\r\n"


def draw_long_answer(rng: random.Random, due_s: float) -> LongAnswer:
    """Draw the form of an answer to a request with ``due_s`` seconds."""
    framing = rng.choice(list(Framing))
    size = rng.randint(*LONG_BYTES)

    def rest_s() -> float:
        if rng.random() < LONG_REST_SHARE:
            return rng.uniform(*LONG_RESTS_S)
        return min(LONGEST_REST_S, due_s * rng.uniform(*REST_SHARES))

    match rng.choice(("short", "at_once", "steps", "lumps", "lumps", "late_head")):
        case "short":
            return LongAnswer(framing, 0.0, (Lump(0.0, SHORT_BYTES),))
        case "at_once":
            return LongAnswer(framing, 0.0, (Lump(0.0, size),))
        case "steps":
            return LongAnswer(framing, 0.0, (Lump(STEP_REST_S, size // STEPS),) * STEPS)
        case "late_head":
            head_after_s = due_s * rng.uniform(*LATE_HEAD_SHARES)
            return LongAnswer(framing, head_after_s, (Lump(0.0, 20_000), Lump(rest_s(), size - 20_000)))
        case _:
            first = rng.choice(FIRST_LUMPS)
            rest = (size - first) // 2 + 1
            return LongAnswer(framing, 0.0, (Lump(0.0, first), Lump(rest_s(), rest), Lump(rest_s(), rest)))
