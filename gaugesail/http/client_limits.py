"""How long a client connection may take, how much it may send ahead, and when it may be closed."""

from __future__ import annotations

HEAD_TIMEOUT_US = 2_500_000  # of a head that is arriving, and of a new connection to send its first
BODY_TIMEOUT_US = 2_500_000  # after a byte of a body,
BODY_BYTES_PER_S = 16 * 1024  # and a second more for so many of them
UNREAD_US = 60_000_000  # a client that has read nothing for so long has gone
SLOW_READER_US = 5_000_000  # after this long it may be cut off where memory is short
# How long a connection has been idle before it may be closed for another.
USED_CONNECTION_US = 2_000_000
UNUSED_CONNECTION_US = 250_000  # it has sent no request yet: clients open one to ask at once
LINGER_US = 1_000_000  # after an error: until then the client may read it, whatever it still sends
MAX_DISCARDED = 256 * 1024  # bytes of what it still sends
MAX_PIPELINED = 16 * 1024  # bytes beyond the request in hand that each client may always have here
MAX_PIPELINED_EXCESS = 256 * 1024  # bytes beyond that, of one client
PIPELINED_EXCESS_DIVISOR = 8  # of all clients together: this part of what buffers may hold


def head_due_us(since_us: int) -> int:
    """Until when a head must be complete that began to arrive, or came to its turn, at ``since_us``."""
    return since_us + HEAD_TIMEOUT_US


def body_due_us(since_us: int, last_byte_us: int, received: int) -> int:
    """Until when more of a body must come, of which ``received`` bytes have come since ``since_us``.

    Slowly is well, and so is a pause; silence is not.
    """
    return min(last_byte_us, since_us + received * 1_000_000 // BODY_BYTES_PER_S) + BODY_TIMEOUT_US


def closing_priority(rested_us: int, requests_received: int) -> int:
    """How readily an idle connection is closed for another: 0 not at all, 3 first.

    The first request on a connection that the gateway closes has failed, so that one that clients use again
    and again goes last, and none goes that has just been used.
    """
    if rested_us < (USED_CONNECTION_US if requests_received else UNUSED_CONNECTION_US):
        return 0
    if requests_received > 1:
        return 1
    return 2 if requests_received else 3
