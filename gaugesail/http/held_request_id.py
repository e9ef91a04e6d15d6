"""The id of a client's latest request, held until the client has read the answer or has left."""

from __future__ import annotations

from ..core.request_ids import RequestIds


class HeldRequestId:
    """What one client connection holds; see ``RequestIds.hold``."""

    def __init__(self, ids: RequestIds) -> None:
        self._ids = ids
        self._held: str | None = None

    def hold(self, client_request_id: str) -> None:
        """Hold the id of a request: its client may leave without having read the answer."""
        self._held = client_request_id
        self._ids.hold(client_request_id)

    def end(self) -> None:
        """The answer was read, the request was refused, or its client is another process's."""
        if self._held is not None:
            self._ids.end_hold(self._held)
            self._held = None

    def client_left(self) -> None:
        """The client has left, perhaps with its answer unread."""
        if self._held is not None:
            self._ids.abandon(self._held)
            self._held = None
