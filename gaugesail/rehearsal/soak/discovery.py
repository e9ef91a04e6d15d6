"""Discovery of a soak: one endpoint list for all gateways, but separate services and faults for each."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from ...http.messages import Head
from ..peers import HttpConnection, HttpListener
from .judge import NOTIFIED_LATEST_S
from .nodes import SoakNode

HEARTBEAT_S = 2.0
BINDS_AFTER_S = 2.0  # after a further process serves, news that it alone has binds the present one too


class Membership:
    """The endpoint list, and the subscribers to its changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.nodes: dict[str, SoakNode] = {}
        self.servers: list[dict[str, Any]] = []  # further entries
        self._listeners: list[Callable[[SoakNode], None]] = []

    def subscribe(self, changed: Callable[[SoakNode], None]) -> None:
        """Call ``changed`` with each node whose entry changes."""
        self._listeners.append(changed)

    def endpoint_list(self, changed_node: SoakNode | None = None) -> dict[str, Any]:
        """The complete list, or a change with the entry of one node."""
        nodes = list(self.nodes.values()) if changed_node is None else [changed_node]
        return {
            "revision": self.revision,
            "complete": changed_node is None,
            "members": [listed.endpoint() for listed in nodes]
            + (self.servers if changed_node is None else []),
        }

    def update(self, node: SoakNode) -> None:
        """Publish the changed entry of a node; a node in phase Gone is removed."""
        self.revision += 1
        self.nodes[node.name] = node
        if node.phase == "Gone":
            del self.nodes[node.name]
        for changed in self._listeners:
            changed(node)


class GatewayDiscovery(HttpListener):
    """The discovery service of one gateway.

    It records when the gateway learns that a node drains or has ended.
    """

    def __init__(self, reactor: Any, gateway: str, membership: Membership) -> None:
        self.gateway, self._membership = gateway, membership
        self._watches: list[HttpConnection] = []
        self.silent = False
        self._closed = self._down = False
        self._unnotified: list[SoakNode] = []  # draining or ended, but not yet sent to the gateway
        self._binds_from = 0.0  # when news that a further process may have had alone is binding
        self._sent_while_starting: list[SoakNode] = []  # perhaps only to the further process
        super().__init__(reactor, f"discovery of {gateway}")
        membership.subscribe(self._changed)
        self._heartbeat()

    def saw(self, *words: str) -> None:
        """Ignored: discovery is no subject of the rules."""

    def opened(self, connection: HttpConnection) -> None:
        """Reset the connection while discovery is down."""
        super().opened(connection)
        if self._down:
            connection.link.abortConnection()

    def lost(self, connection: HttpConnection) -> None:
        """End the watch of a closed connection."""
        super().lost(connection)
        if connection in self._watches:
            self._watches.remove(connection)

    def message(self, connection: HttpConnection, head: Head, body: bytes) -> None:
        """Answer a poll with the complete list, or start a watch; while unreachable, do neither."""
        if not self.reachable:
            return
        text = json.dumps(self._membership.endpoint_list()).encode()
        self.full_list_sent()
        if "follow=1" in head.target:
            self._watches.append(connection)
            connection.link.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._chunk(connection, text)
        else:
            connection.link.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))

    @staticmethod
    def _chunk(connection: HttpConnection, text: bytes) -> None:
        connection.link.write(b"%x\r\n%b\n\r\n" % (len(text) + 1, text))

    def _heartbeat(self) -> None:
        if self._closed:
            return
        self._reactor.callLater(HEARTBEAT_S, self._heartbeat)
        if not self.silent:
            for watch in self._watches:
                self._chunk(watch, b"")

    def _changed(self, node: SoakNode) -> None:
        now, notified = self._reactor.seconds(), bool(self._watches) and not self.silent
        if notified:
            for watch in self._watches:
                self._chunk(watch, json.dumps(self._membership.endpoint_list(node)).encode())
        if node.phase == "Ready" or self.gateway in node.drain_known_at:
            return
        notified_latest = now + NOTIFIED_LATEST_S if self.reachable else float("inf")
        node.drain_known_at[self.gateway] = max(now, self._binds_from) if notified else notified_latest
        if notified and self._has_starting_process:
            self._sent_while_starting.append(node)
        if notified:
            node.notified_by[self.gateway] = f"{len(self._watches)} watches at {now:.3f}"
        if not notified:
            self._unnotified.append(node)

    @property
    def reachable(self) -> bool:
        """Whether calls are answered."""
        return not (self._down or self.silent)

    @property
    def all_notified(self) -> bool:
        """Whether the gateway has been sent every change."""
        return not self._unnotified

    def full_list_sent(self) -> None:
        """The gateway receives the complete current list."""
        if self._has_starting_process:
            self._sent_while_starting += self._unnotified
        else:
            self._assume_notified_by(self._unnotified, max(self._reactor.seconds(), self._binds_from))
        self._unnotified = []

    @property
    def _has_starting_process(self) -> bool:
        return self._binds_from == float("inf")

    def further_process_starts(self) -> None:
        """A process starts beside the present one: what it receives does not bind that one yet."""
        self._binds_from = float("inf")

    def further_process_serves(self) -> None:
        """It serves, or has ended: from BINDS_AFTER_S on, what either has received binds both."""
        self._binds_from = self._reactor.seconds() + BINDS_AFTER_S
        sent, self._sent_while_starting = self._sent_while_starting, []
        self._assume_notified_by(sent, self._binds_from)

    def _assume_notified_by(self, nodes: list[SoakNode], latest: float) -> None:
        for node in nodes:
            if latest < node.drain_known_at[self.gateway]:
                node.drain_known_at[self.gateway] = latest
                node.notified_by[self.gateway] = f"its list at {latest:.3f}"

    # ---- faults ----

    def fall_silent(self) -> None:
        """Keep watches open, but send nothing on them and answer no calls."""
        self.silent = True
        self._mark_unreachable()

    def end_silence(self) -> None:
        """Answer calls again; watches that were silent stay so."""
        self.silent = False
        self._watches = []
        self._assume_notified_by(self._unnotified, self._reactor.seconds() + NOTIFIED_LATEST_S)

    def cut(self) -> None:
        """Abort all connections."""
        for connection in list(self.open):
            connection.link.abortConnection()

    def take_down(self) -> None:
        """Reset every connection.  The port stays open, as another connection could be given its number."""
        self._down = True
        self._mark_unreachable()
        self.cut()

    def bring_up(self) -> None:
        """Answer calls again."""
        self._down = False
        self._assume_notified_by(self._unnotified, self._reactor.seconds() + NOTIFIED_LATEST_S)

    def _mark_unreachable(self) -> None:
        """The pending changes do not count as received while the service is unreachable."""
        for node in self._unnotified:
            node.drain_known_at[self.gateway] = float("inf")

    def shut_down(self) -> None:
        """Stop listening and abort all connections."""
        self._closed = True
        self.port.stopListening()
        self.cut()

    def change_address(self) -> None:
        """Listen at another address, for the next configuration; the old one closes 1 s later."""
        old = self.port
        self.address = ""
        self.listen()
        self._reactor.callLater(1.0, old.stopListening)
