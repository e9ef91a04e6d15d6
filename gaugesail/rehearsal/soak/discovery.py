"""Discovery of a soak: one list for all, an address and troubles of its own for each head."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from ...http.messages import Head
from ..peers import HttpConnection, HttpListener
from .judge import TOLD_LATEST_S
from .nodes import SoakNode

BEAT_S = 2.0


class Membership:
    """The list of nodes, and who is told of its changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.nodes: dict[str, SoakNode] = {}
        self._listeners: list[Callable[[SoakNode], None]] = []

    def follow(self, changed: Callable[[SoakNode], None]) -> None:
        self._listeners.append(changed)

    def listing(self, only: SoakNode | None = None) -> dict[str, Any]:
        """All that is listed, or one node's line alone."""
        nodes = list(self.nodes.values()) if only is None else [only]
        return {"revision": self.revision, "complete": only is None, "members": [one.line() for one in nodes]}

    def change(self, node: SoakNode) -> None:
        """A node's line is new."""
        self.revision += 1
        self.nodes[node.name] = node
        if node.phase == "Gone":
            del self.nodes[node.name]
        for changed in self._listeners:
            changed(node)


class HeadDiscovery(HttpListener):
    """What one head meets as discovery."""

    def __init__(self, reactor: Any, head: str, membership: Membership) -> None:
        self.head, self._membership = head, membership
        self._watches: list[HttpConnection] = []
        self.silent = False
        self._closed = self._down = False
        self._untold: list[SoakNode] = []  # that drain or are gone, of which nothing was written to the head
        super().__init__(reactor, f"discovery of {head}")
        membership.follow(self._changed)
        self._beat()

    def saw(self, *words: str) -> None:
        pass

    def opened(self, connection: HttpConnection) -> None:
        super().opened(connection)
        if self._down:
            connection.link.abortConnection()

    def lost(self, connection: HttpConnection) -> None:
        super().lost(connection)
        if connection in self._watches:
            self._watches.remove(connection)

    def message(self, connection: HttpConnection, head: Head, body: bytes) -> None:
        if not self.reachable:
            return
        text = json.dumps(self._membership.listing()).encode()
        self.told_all()
        if "follow=1" in head.target:
            self._watches.append(connection)
            connection.link.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._chunk(connection, text)
        else:
            connection.link.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))

    @staticmethod
    def _chunk(connection: HttpConnection, text: bytes) -> None:
        connection.link.write(b"%x\r\n%b\n\r\n" % (len(text) + 1, text))

    def _beat(self) -> None:
        if self._closed:
            return
        self._reactor.callLater(BEAT_S, self._beat)
        if not self.silent:
            for watch in self._watches:
                self._chunk(watch, b"")

    def _changed(self, node: SoakNode) -> None:
        now, told = self._reactor.seconds(), bool(self._watches) and not self.silent
        if told:
            for watch in self._watches:
                self._chunk(watch, json.dumps(self._membership.listing(node)).encode())
        if node.phase == "Ready" or self.head in node.drained_at:
            return
        reached = now + TOLD_LATEST_S if self.reachable else float("inf")
        node.drained_at[self.head] = now if told else reached
        if told:
            node.told_by[self.head] = f"{len(self._watches)} watches at {now:.3f}"
        if not told:
            self._untold.append(node)

    @property
    def reachable(self) -> bool:
        return not (self._down or self.silent)

    def told_all(self) -> None:
        """The head has the whole list as it is now."""
        self._told_by(self._reactor.seconds())
        self._untold = []

    def _told_by(self, latest: float) -> None:
        for node in self._untold:
            if latest < node.drained_at[self.head]:
                node.drained_at[self.head] = latest
                node.told_by[self.head] = f"its list at {latest:.3f}"

    # ---- troubles ----

    def fall_silent(self) -> None:
        """Open watches stay open; nothing is said on them any more, nor is a call answered."""
        self.silent = True
        self._cannot_tell()

    def speak(self) -> None:
        """Calls are answered again; what was silent stays so."""
        self.silent = False
        self._watches = []
        self._told_by(self._reactor.seconds() + TOLD_LATEST_S)

    def cut(self) -> None:
        for connection in list(self.open):
            connection.link.abortConnection()

    def down(self) -> None:
        """Every connection is reset.  The port stays ours: another's connection could be given its number."""
        self._down = True
        self._cannot_tell()
        self.cut()

    def up(self) -> None:
        """Calls are answered again."""
        self._down = False
        self._told_by(self._reactor.seconds() + TOLD_LATEST_S)

    def _cannot_tell(self) -> None:
        """What was not told yet does not count as told while nobody can be reached."""
        for node in self._untold:
            node.drained_at[self.head] = float("inf")

    def shut(self) -> None:
        self._closed = True
        self.port.stopListening()
        self.cut()

    def move(self) -> None:
        """Another address, which the head is told of; the old one closes a little later."""
        old = self.port
        self.address = ""
        self.listen()
        self._reactor.callLater(1.0, old.stopListening)
