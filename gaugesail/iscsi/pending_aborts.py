"""The ABORT TASKs of one session that have no response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..peer_progress import LONGEST_REST_US

# A node answers an ABORT TASK before its commands (RFC 7143, 11.5): one that writes nothing for so long, with
# such a response due, is taken for silent.
SILENCE_US = 1_000_000


@dataclass(slots=True, eq=False)
class PendingAbort:
    """An ABORT TASK without a response."""

    sent_us: int
    client_request_id: str  # of the aborted attempt; "" of a health check
    ended: list[Callable[[bool], None]] = field(default_factory=list)  # called with whether its end is known


AbortsByRequest = dict[str, list[PendingAbort]]  # by the client's request id


class PendingAborts:
    """The pending aborts of one session, the earliest first.

    :param by_request: the pending aborts of all sessions, kept in step.
    """

    def __init__(self, by_request: AbortsByRequest) -> None:
        self._by_request = by_request
        self._by_tag: dict[int, PendingAbort] = {}

    def __len__(self) -> int:
        return len(self._by_tag)

    def add(self, tag: int, abort: PendingAbort) -> None:
        """Add an abort that was sent with this task tag."""
        self._by_tag[tag] = abort
        self._by_request.setdefault(abort.client_request_id, []).append(abort)

    def end(self, tag: int, is_known: bool) -> None:
        """The abort with this tag has ended; no-op if there is none.

        :param is_known: whether nothing of the aborted command can run any more.
        """
        abort = self._by_tag.pop(tag, None)
        if abort is None:
            return
        of_request = self._by_request[abort.client_request_id]
        of_request.remove(abort)
        if not of_request:
            del self._by_request[abort.client_request_id]
        for call in abort.ended:
            call(is_known)

    def end_all(self) -> None:
        """The session has ended: the end of no aborted command is known."""
        for tag in list(self._by_tag):
            self.end(tag, False)

    def end_overdue(self, now_us: int) -> None:
        """End those without a response for LONGEST_REST_US; who waits is told that the end is not known."""
        while (earliest := self._earliest) is not None:
            tag, abort = earliest
            if now_us - abort.sent_us < LONGEST_REST_US:
                return
            self.end(tag, False)

    def node_is_silent(self, now_us: int, last_received_us: int) -> bool:
        """Whether the node has written nothing for SILENCE_US while a response was due."""
        earliest = self._earliest
        return earliest is not None and now_us - max(earliest[1].sent_us, last_received_us) >= SILENCE_US

    @property
    def _earliest(self) -> tuple[int, PendingAbort] | None:
        return next(iter(self._by_tag.items()), None)
