"""When a client first asked for something, where clients do not mark their retries."""

from __future__ import annotations

MAX_REMEMBERED = 4096  # requests; about 0.5 MB
DEADLINE_SLACK_US = 100_000  # by which a retry may seem to have been asked for before the first request


class FirstRequests:
    """The requests of one gateway that may be retried, oldest first, in bounded memory.

    All times are microseconds.
    """

    def __init__(self) -> None:
        self._received_at: dict[int, int] = {}  # by fingerprint

    def __len__(self) -> int:
        return len(self._received_at)

    def forget(self, fingerprint: int) -> None:
        """A request was served: whoever asks for the same again is another client."""
        self._received_at.pop(fingerprint, None)

    def first_received_at(self, received_at: int, fingerprint: int, earliest: int) -> int:
        """When the client of a request received at ``received_at`` first asked for it.

        A retry has what is left of its class's time: its client first asked at ``earliest``, which is its
        deadline less that time.  It counts as a retry if the same was asked for no earlier than that.
        """
        first_at = self._received_at.pop(fingerprint, None)
        is_retry = (
            earliest < received_at and first_at is not None and first_at >= earliest - DEADLINE_SLACK_US
        )
        self._received_at[fingerprint] = received_at if first_at is None or not is_retry else first_at
        if len(self._received_at) > MAX_REMEMBERED:
            del self._received_at[next(iter(self._received_at))]
        return earliest if is_retry else received_at
