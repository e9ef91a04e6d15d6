"""Stand-in nodes and the list, on the platform's wire."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..http.messages import Head
from ..rehearsal.peers import Directory, HttpConnection, HttpListener
from .nodes import Machine, Node, Work
from .observer import Observer

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
FULL = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"


class Brick(HttpListener):
    """A node of the model behind the platform's wire."""

    def __init__(
        self, reactor: Any, number: int, machine: Machine, observer: Observer, work: Callable[[str], float]
    ) -> None:
        self.number, self.shard, self.observer, self._work = number, number, observer, work
        self.model = Node(reactor, machine)
        self.model.start(False)
        self.model.fell = self._fell
        self.arrived: Callable[[str], None] = lambda name: None
        self._held: dict[HttpConnection, tuple[str, Work]] = {}
        super().__init__(reactor, f"s-{number}")

    def lost(self, connection: HttpConnection) -> None:
        super().lost(connection)
        name, work = self._held.pop(connection, ("", None))
        if work is not None:
            self.observer.ended(name)
            self.model.drop(work)

    def message(self, connection: HttpConnection, head: Head, body: bytes) -> None:
        name = head.headers["request-id"]
        self.observer.sent(name)
        self.arrived(name)
        work = self.model.take(self._work(name), lambda how: self._answer(connection, name, how))
        self._held[connection] = name, work

    def _answer(self, connection: HttpConnection, name: str, how: str) -> None:
        if self._held.pop(connection, None) is not None:
            self.observer.ended(name)
            connection.link.write(ANSWER if how == "served" else FULL)

    # ---- its life ----

    def die(self) -> None:
        """The process ends: what is open is reset and nothing listens."""
        self.model.stop()
        self.close([])

    def _fell(self) -> None:
        self.observer.counts["fallen"] += 1
        self.die()

    def start(self) -> None:
        self.listen()
        self.model.start(True)


class NodeList(Directory):
    """The list, which is told late of what happens."""

    def phase(self, brick: Brick, phase: str, up_since_s: float = 0.0) -> None:
        self.send([brick.name, phase, f"up={round(up_since_s * 1000)}"])
