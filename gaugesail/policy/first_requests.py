"""Detection of retries, and of the time of their first request, where clients do not mark retries."""

from __future__ import annotations

MAX_REMEMBERED = 4096  # requests; about 0.5 MB
DEADLINE_SLACK_US = 100_000  # the first request of a retry may be received this long before ``earliest``


class FirstRequests:
    """The requests of one gateway that may be retried, oldest first, in bounded memory.

    Requests for the same operation have the same fingerprint.  All times are microseconds.
    """

    def __init__(self) -> None:
        self._received_at: dict[int, int] = {}  # by fingerprint

    def __len__(self) -> int:
        return len(self._received_at)

    def remove(self, fingerprint: int) -> None:
        """Remove a served request: the next one with its fingerprint is from another client."""
        self._received_at.pop(fingerprint, None)

    def first_received_at(self, received_at: int, fingerprint: int, earliest: int) -> int:
        """Return when the client of a request received at ``received_at`` first sent it.

        A retry has only what is left of its class's time, so its client first sent it at ``earliest``: its
        deadline less the full time of the class.  A request counts as a retry if one with the same
        fingerprint was received no more than ``DEADLINE_SLACK_US`` before ``earliest``.
        """
        first_at = self._received_at.pop(fingerprint, None)
        is_retry = (
            earliest < received_at and first_at is not None and first_at >= earliest - DEADLINE_SLACK_US
        )
        self._received_at[fingerprint] = received_at if first_at is None or not is_retry else first_at
        if len(self._received_at) > MAX_REMEMBERED:
            del self._received_at[next(iter(self._received_at))]
        return earliest if is_retry else received_at
