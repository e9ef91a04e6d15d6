"""Enforces the time limits of client connections, and ranks idle ones for closing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..client_admission import CloseReason
from ..output_progress import UNREAD_US
from .client_limits import (
    CLOSING_READER_US,
    LINGER_US,
    SHORT_LINGER_US,
    body_due_us,
    closing_priority,
    head_due_us,
)

if TYPE_CHECKING:
    from .client_connection import ClientConnection


def sweep(connection: ClientConnection, now_us: int) -> None:
    """End a connection whose request arrives too slowly, or whose client reads or sends nothing."""
    counts = connection.owner.engine.counts
    if connection.output.full or connection.closing:
        since_us = connection.output.sample(connection.link)
        if connection.closing:  # what its kernel has may be read long after the last byte was written
            since_us = max(since_us, connection.blocked_since_us)
        _sweep_output(connection, now_us - since_us)
    elif connection.input.stopped and connection.disconnected:
        pass  # ``disconnected`` has aborted it
    elif not connection.awaits_answer and not connection.input.parser.between_messages:
        if not connection.input.stopped and now_us > _due_us(connection):
            counts["half_sent"] += 1
            connection.owner.log_slow_input(connection)
            connection.fail_input(408, "the request took too long to arrive")
    elif _is_silent(connection, now_us):
        counts["silent"] += 1
        connection.close(CloseReason.SILENT, at_once=True)


def _is_silent(connection: ClientConnection, now_us: int) -> bool:
    """Whether a new connection has sent no request in time."""
    new = not connection.requests_received and not connection.awaits_answer
    return new and now_us > head_due_us(connection.opened_at_us)


def _sweep_output(connection: ClientConnection, blocked_us: int) -> None:
    linger_us = SHORT_LINGER_US if connection.owner.held else LINGER_US
    if blocked_us > (linger_us if connection.lingering else UNREAD_US):
        connection.owner.engine.counts["unread"] += not connection.lingering
        connection.link.abortConnection()
    elif connection.closing:
        if blocked_us > (CLOSING_READER_US if connection.output.is_unread else linger_us):
            connection.link.loseConnection()  # the client has not closed its side


def _due_us(connection: ClientConnection) -> int:
    """Deadline for more of the request that is arriving."""
    since_us = connection.input.since_us
    if connection.head is not None:
        return body_due_us(since_us, connection.last_received_us, connection.body_bytes)
    # A first request that trickles in gets its error no later than a silent connection is closed.
    return head_due_us(since_us if connection.requests_received else connection.opened_at_us)


def priority_to_close(connection: ClientConnection, now_us: int) -> int:
    """Rank a connection for closing in favour of another: 0 never, 3 first."""
    if not connection.idle:
        return 0
    return closing_priority(now_us - connection.last_used_us, connection.requests_received)
