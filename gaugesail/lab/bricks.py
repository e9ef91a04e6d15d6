"""Stand-in storage nodes and a stand-in discovery service, with the platform's HTTP interfaces."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..http.messages import Head
from ..rehearsal.peers import Directory, HttpConnection, HttpListener
from .nodes import Job, Machine, NodeModel
from .observer import Observer

OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
FULL_RESPONSE = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"


class StandInNode(HttpListener):
    """An HTTP server that answers as the node model decides.

    ``work`` returns the core-seconds of a request by its id; ``on_request`` is called with each request's id.
    """

    def __init__(
        self, reactor: Any, number: int, machine: Machine, observer: Observer, work: Callable[[str], float]
    ) -> None:
        self.number, self.shard, self.observer, self._work_of = number, number, observer, work
        self.model = NodeModel(reactor, machine)
        self.model.start(False)
        self.model.on_failure = self._on_failure
        self.on_request: Callable[[str], None] = lambda request_id: None
        self._jobs: dict[HttpConnection, tuple[str, Job]] = {}
        super().__init__(reactor, f"s-{number}")

    def lost(self, connection: HttpConnection) -> None:
        """Abandon the request whose connection closed."""
        super().lost(connection)
        request_id, job = self._jobs.pop(connection, ("", None))
        if job is not None:
            self.observer.ended(request_id)
            self.model.abandon(job)

    def message(self, connection: HttpConnection, head: Head, body: bytes) -> None:
        """Pass a complete request to the model."""
        request_id = head.headers["request-id"]
        self.observer.sent(request_id)
        self.on_request(request_id)
        job = self.model.receive(
            self._work_of(request_id), lambda result: self._respond(connection, request_id, result)
        )
        self._jobs[connection] = request_id, job

    def _respond(self, connection: HttpConnection, request_id: str, result: str) -> None:
        if self._jobs.pop(connection, None) is not None:
            self.observer.ended(request_id)
            connection.link.write(OK_RESPONSE if result == "served" else FULL_RESPONSE)

    # ---- the process ----

    def kill(self) -> None:
        """End the process: connections are reset and the port is closed."""
        self.model.stop()
        self.close([])

    def _on_failure(self) -> None:
        self.observer.counts["fallen"] += 1
        self.kill()

    def start(self) -> None:
        """Start the process again, cold."""
        self.listen()
        self.model.start(True)


class DelayedDiscovery(Directory):
    """The discovery service; its owner notifies it late of changes."""

    def notify(self, node: StandInNode, phase: str, up_since_s: float = 0.0) -> None:
        """Notify the gateways of a node's phase; ``up_since_s`` is its start in Unix time."""
        self.send([node.name, phase, f"up={round(up_since_s * 1000)}"])
