"""Tells the sibling process of a gateway which request ids this one sends, while both serve."""

from __future__ import annotations

from .core.request_ids import RequestIds
from .handover_connection import HandoverConnection
from .handover_messages import IdMessage, IdsReleased, IdsUsed

IDS_IN_A_MESSAGE = 500


class IdCoordination:
    """One process's part; implements ``IdLink`` for the engine.

    While the other process does not read, nothing is sent to it; it learns all ids when it reads again.
    """

    def __init__(self) -> None:
        self.ids: RequestIds  # set before any other process is looked for
        self._connection: HandoverConnection | None = None
        self._missed = False

    def begin(self, connection: HandoverConnection) -> None:
        """Tell the process at the other end all ids that may be running, and each further one."""
        self._connection = connection
        self.ids.link = self
        self._send_all()

    def end(self, connection: HandoverConnection) -> None:
        """The connection has ended."""
        if connection is self._connection:
            self._connection = self.ids.link = None

    def inform(self, connection: HandoverConnection) -> None:
        """Tell a process that this one does not coordinate with yet all ids that may be running."""
        self._send_used(connection, self.ids.running())

    def end_process(self) -> None:
        """Tell the other process a last time what may have run, as it alone remembers that from now on."""
        if self._connection is not None and not self._connection.backlogged:
            self._send_used(self._connection, self.ids.running_here())

    def received(self, message: IdMessage) -> None:
        """Handle a message of the other process."""
        if isinstance(message, IdsUsed):
            self.ids.used_by_sibling(message.ids)
        else:
            self.ids.released_by_sibling(message.ids)

    def ids_used(self, ids: tuple[str, ...]) -> None:
        """Send ids that are about to be sent to a node."""
        self._send(IdsUsed(ids))

    def ids_released(self, ids: tuple[str, ...]) -> None:
        """Send ids that have ended."""
        self._send(IdsReleased(ids))

    def _send(self, message: IdMessage) -> None:
        connection = self._connection
        if connection is None:
            return
        if connection.backlogged:
            self._missed = True
            return
        if self._missed:
            self._send_all()
        connection.send_now(message)

    def _send_all(self) -> None:
        self._missed = False
        if self._connection is not None:
            self._send_used(self._connection, self.ids.running())

    @staticmethod
    def _send_used(connection: HandoverConnection, ids: tuple[str, ...]) -> None:
        for start in range(0, len(ids), IDS_IN_A_MESSAGE):
            connection.send_now(IdsUsed(ids[start : start + IDS_IN_A_MESSAGE]))
