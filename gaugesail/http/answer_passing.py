"""When an answer is passed on before it is complete.  It does no I/O; times are in microseconds.

A short answer is passed on whole, so that its request can be repeated if it breaks off.  A long one is passed
on while its node writes it.  Where neither its length nor its bytes tell which it is, time does.
"""

from __future__ import annotations

from .messages import MAX_BUFFERED_BODY, Head

# A client that has a part of a long answer gets the next within 2 s (operators' page, "Less room").
LONGEST_HOLD_US = 1_000_000  # of what has arrived
LONG_AFTER_US = 30_000  # an answer without a length that takes longer and has LONG_AFTER_BYTES is long
LONG_AFTER_BYTES = 8 * 1024


def may_pass_on(head: Head) -> bool:
    """Whether an answer can be passed on before it is complete: it is served, and not known to be short."""
    return head.status == 200 and (head.length is None or head.length > MAX_BUFFERED_BODY)


def pass_on_at_us(head: Head, body_bytes: int, first_byte_us: int) -> int | None:
    """Return when an answer is passed on if nothing more of it arrives; None if it is not.

    :param body_bytes: received so far.
    :param first_byte_us: when the first byte of the answer arrived.
    """
    if not may_pass_on(head):
        return None
    if body_bytes > MAX_BUFFERED_BODY or (body_bytes and head.length is not None):
        return first_byte_us
    if head.length is None and body_bytes >= LONG_AFTER_BYTES:
        return first_byte_us + LONG_AFTER_US
    return first_byte_us + LONGEST_HOLD_US
