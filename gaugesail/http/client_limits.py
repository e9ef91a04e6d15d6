"""Limits of a client connection: timeouts, input ahead of its answer, and when it may be closed."""

from __future__ import annotations

# For a header section; also from the opening of a connection to the end of its first header section.
HEAD_TIMEOUT_US = 2_500_000
BODY_TIMEOUT_US = 2_500_000  # longest gap in a body
BODY_BYTES_PER_S = 16 * 1024  # lowest mean rate of a body, beside BODY_TIMEOUT_US of slack
CLOSING_READER_US = 5_000_000  # after this a closing connection is ended, whatever it has not read
# Idle time after which a connection may be closed in favour of another.
USED_CONNECTION_US = 2_000_000
UNUSED_CONNECTION_US = 250_000  # no request received; a crowd that says nothing must not hold all places
LINGER_US = 1_000_000  # after an error: time for the client to read it, whatever it still sends
SHORT_LINGER_US = 250_000  # the same while all places are in use
EVICTED_PLACES_DIVISOR = 2  # 1/2 of the places in one sweep, while all are in use
MAX_DISCARDED_BYTES = 256 * 1024  # discarded on a closing connection before reading stops
MAX_PIPELINED_EXCESS_BYTES = 256 * 1024  # of a client, beyond what each may have buffered
PIPELINED_EXCESS_DIVISOR = 8  # all clients together: 1/8 of the buffer pool's limit


def head_due_us(since_us: int) -> int:
    """Deadline of a header section that started to arrive, or became the next to be read, at ``since_us``."""
    return since_us + HEAD_TIMEOUT_US


def body_due_us(since_us: int, last_byte_us: int, received_bytes: int) -> int:
    """Deadline for the next byte of a body of which ``received_bytes`` have arrived since ``since_us``.

    A slow body or a pause is accepted, silence is not: the mean rate must reach BODY_BYTES_PER_S with a slack
    of BODY_TIMEOUT_US, and no gap may exceed BODY_TIMEOUT_US.
    """
    return min(last_byte_us, since_us + received_bytes * 1_000_000 // BODY_BYTES_PER_S) + BODY_TIMEOUT_US


def closing_priority(idle_us: int, requests_received: int) -> int:
    """Rank an idle connection for closing in favour of another: 0 never, 3 first.

    A request that a client sends as the gateway closes the connection fails.  So connections with several
    requests rank last, and one that was just used is not closed.
    """
    if idle_us < (USED_CONNECTION_US if requests_received else UNUSED_CONNECTION_US):
        return 0
    if requests_received > 1:
        return 1
    return 2 if requests_received else 3
