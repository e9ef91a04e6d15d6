"""A gateway that serves clients and nodes by iSCSI, configured by an operator's file."""

from __future__ import annotations

from typing import Any

from gaugesail.policy.events import EndpointList, EndpointListKind

from ..core.clock import ReactorClock
from ..core.engine import Engine
from ..core.ports import Clock, Logger, Reactor
from ..handover_connection import Takeover
from ..http.management import MAX_CONNECTIONS as MAX_CALLS
from ..memory_budget import MemoryLimit
from ..operations import Operations
from ..service import Service
from .initiator import NodePool
from .operator import OperatorConfig, OperatorError
from .target_server import TargetFront

MAX_SESSIONS = 64  # of clients; each may hold a command window of transfers in memory
RELOADABLE = {"nodes", "settings", "read_class", "write_class", "units"}  # fields of OperatorConfig


class FileDiscovery:
    """The endpoint list from the operator's file, which changes with a reload."""

    list_confirmed = True

    def __init__(self, gateway: IscsiGateway) -> None:
        self._gateway = gateway

    def watch(self, on: bool) -> None:
        """Do nothing: the gateway applies a reload by itself."""

    def poll(self) -> None:
        """Hand the full list to the engine, after the present call."""
        self._gateway.clock.call_later(
            0,
            lambda: self._gateway.engine.update_endpoints(self._gateway.endpoint_list(EndpointListKind.FULL)),
        )

    def close(self) -> None:
        """Do nothing: there is no connection."""


class IscsiGateway(Service):
    """A gateway on the iSCSI wire, with the same engine and policy as on HTTP."""

    def __init__(
        self, reactor: Reactor, operator: OperatorConfig, log: Logger, clock: Clock | None = None
    ) -> None:
        super().__init__(
            reactor,
            clock or ReactorClock(reactor),
            log,
            operator.listen,
            operator.management,
            MemoryLimit(operator.memory_mb, MAX_SESSIONS),
            operator.folder,
        )
        self._operator, self._latest_settings = operator, operator.settings
        log = self._log
        self.transport = NodePool(
            reactor, self.clock, self.buffers, log, operator.initiator, operator.connect_timeout_us
        )
        self.discovery = FileDiscovery(self)
        self.engine = Engine(
            operator.settings, operator.seed, self.clock, self.transport, self.discovery, log
        )
        self.front = TargetFront(
            self.engine,
            operator,
            self.clock,
            self.buffers,
            log,
            self._sessions(1),
            self._shutdown.end_if_idle,
        )
        self.operations = Operations(self.engine, self.front, self._state, self._handover.announce_call, log)

    def _sessions(self, processes: int) -> int:
        sockets = self._operator.sockets // processes - (MAX_CALLS if self._operator.management else 0)
        return min(MAX_SESSIONS, max(1, sockets * 6 // 10))

    def limit(self, processes: int) -> None:
        """Limit the sessions to one process's share of the descriptors among ``processes``."""
        self.front.limit(self._sessions(processes))

    def _open(self, takeover: Takeover | None) -> None:
        super()._open(takeover)
        self.front.address = self.address

    def initial_endpoints(self, handed_over: dict[str, Any]) -> EndpointList:
        """Return the list to start with, from the operator's file."""
        return self.endpoint_list(EndpointListKind.CACHED)

    def endpoint_list(self, kind: EndpointListKind) -> EndpointList:
        """Return the nodes of the operator's file as a list, and update the node transport with them."""
        self.transport.update_nodes(self._operator.nodes)
        return EndpointList(kind, tuple(node.endpoint for node in self._operator.nodes.values()))

    def apply_configuration(self, operator: OperatorConfig) -> None:
        """Apply nodes, classes, plans, rules and extents of a new file; all else needs a restart.

        Raises OperatorError if the number or the size of the logical units differs.
        """
        if operator.geometry != self._operator.geometry:
            raise OperatorError("[[lun]]: number, block size and size cannot change while the gateway runs")
        self._warn_of_restart(self._operator, operator, RELOADABLE)
        self._operator = self.front.operator = operator
        self.change_settings(operator.settings)
        self._log.info("reloaded", nodes=len(operator.nodes))
        self.engine.update_endpoints(self.endpoint_list(EndpointListKind.FULL))
