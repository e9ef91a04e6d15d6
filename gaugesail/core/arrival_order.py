"""Holds back ordered requests that an earlier one, whose connection is still being accepted, may precede.

A process that stood still, or that was busy, finds requests on open connections and on ones that it has yet
to accept.  The latter are read one pass over the sockets later, or more if many connections are queued,
although they may have arrived first.
"""

from __future__ import annotations

from collections.abc import Iterable

from gaugesail.policy.events import KeyClaimed, KeyReleased, RequestReceived

ReadEvent = RequestReceived | KeyClaimed | KeyReleased  # takes effect in the order of its arrival
PASSES_TO_READ = 2  # over the sockets: the next one accepts a queued connection, the one after that reads it


class ArrivalOrder:
    """Decides which of the received events must wait for another pass over the sockets.

    Only requests and claims of ordered keys ever wait.
    """

    def __init__(self) -> None:
        self._passes_left = 0  # until the connections that were queued have been read

    def connections_queued(self) -> None:
        """Note that connections are left in the accept queue, with requests that may have arrived earlier."""
        self._passes_left = PASSES_TO_READ

    def pass_completed(
        self, ready: list[ReadEvent], unread: Iterable[ReadEvent]
    ) -> tuple[list[ReadEvent], list[ReadEvent]]:
        """Split the ``ready`` events into those that take effect now, and those that wait.

        ``unread`` are the events of the latest pass, which take effect later.  Call this after each pass.
        """
        may_precede_all = self._passes_left > 0
        self._passes_left = max(0, self._passes_left - 1)
        if not any(_ordered_key(event) for event in ready):
            return ready, []
        first_unread_us = _first_arrivals(unread)
        released: list[ReadEvent] = []
        held: list[ReadEvent] = []
        held_claims: set[int] = set()
        for event in ready:
            if isinstance(event, KeyReleased):
                must_wait = event.claim_id in held_claims
            elif key := _ordered_key(event):
                must_wait = may_precede_all or first_unread_us.get(key, event.received_us) < event.received_us
            else:
                must_wait = False
            if must_wait and isinstance(event, KeyClaimed):
                held_claims.add(event.claim_id)
            (held if must_wait else released).append(event)
        return released, held


def _ordered_key(event: ReadEvent) -> int:
    """Return the key whose order an event is subject to, or 0."""
    match event:
        case RequestReceived(settings=settings) if settings is not None:
            return event.key if settings.classes[event.class_index].ordered else 0
        case KeyClaimed(is_held=False):
            return event.key
    return 0


def _first_arrivals(events: Iterable[ReadEvent]) -> dict[int, int]:
    """Return when the first event of each ordered key arrived, in microseconds of the gateway's clock."""
    first: dict[int, int] = {}
    for event in events:
        if not isinstance(event, KeyReleased) and (key := _ordered_key(event)):
            first[key] = min(event.received_us, first.get(key, event.received_us))
    return first
