"""Ends client connections that take too long, and tells which idle one may be closed for another."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..client_admission import CloseReason
from .client_limits import (
    LINGER_US,
    SLOW_READER_US,
    UNREAD_US,
    body_due_us,
    closing_priority,
    head_due_us,
)

if TYPE_CHECKING:
    from .client_connection import ClientConnection


def sweep(connection: ClientConnection, now_us: int) -> None:
    """End a connection whose request never is complete, or whose client reads nothing."""
    counts = connection.owner.engine.counts
    if connection.output_full or connection.closing:
        _sweep_output(connection, now_us - connection.stuck_since_us)
    elif connection.input.paused and connection.disconnected:
        pass  # nobody reads it, and it has gone
    elif not connection.awaits_answer and not connection.input.parser.between_messages:
        if not connection.input.paused and now_us > _due_us(connection):
            counts["half_sent"] += 1
            connection.fail_input(408, "the request took too long to arrive")
    elif _is_silent(connection, now_us):
        counts["silent"] += 1
        connection.close(CloseReason.SILENT, at_once=True)


def _is_silent(connection: ClientConnection, now_us: int) -> bool:
    """Whether a client has opened a connection and asked nothing."""
    new = not connection.requests_received and not connection.awaits_answer
    return new and now_us > head_due_us(connection.opened_at_us)


def _sweep_output(connection: ClientConnection, stuck_us: int) -> None:
    if stuck_us > (LINGER_US if connection.lingering else UNREAD_US):
        connection.owner.engine.counts["unread"] += not connection.lingering
        connection.link.abortConnection()
    elif connection.closing and stuck_us > (SLOW_READER_US if connection.output_full else LINGER_US):
        connection.link.loseConnection()  # its client does not close


def _due_us(connection: ClientConnection) -> int:
    """Until when more of the request that is arriving must come."""
    since_us = connection.input.since_us
    if connection.head is not None:
        return body_due_us(since_us, connection.last_byte_us, connection.body_bytes)
    # A first request that trickles in is owed its error by the time that a silent one is.
    return head_due_us(since_us if connection.requests_received else connection.opened_at_us)


def priority_to_close(connection: ClientConnection, now_us: int) -> int:
    """How readily it is closed for another: 0 not at all, 3 first."""
    if not connection.idle:
        return 0
    return closing_priority(now_us - connection.last_used_us, connection.requests_received)
