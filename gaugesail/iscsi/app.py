"""A head whose fronts and nodes speak the iSCSI-style wire, by an operator's file."""

from __future__ import annotations

from typing import Any

from gaugesail.policy.events import EndpointList, EndpointListKind

from ..core.clock import ReactorClock
from ..core.engine import Engine
from ..core.ports import Clock, Logger, Reactor
from ..handover import Takeover
from ..http.management import MAX_CONNECTIONS as MAX_CALLS
from ..operations import Operations
from ..service import Service
from .initiator import NodePool
from .operator import Operator, OperatorError
from .target import TargetFront

MAX_SESSIONS = 64  # of clients; each may have a window of transfers in memory


LIVE = {"nodes", "settings", "read_class", "write_class", "units"}


class FileDiscovery:
    """The operator's file as the list of nodes: watching it means to hear of a reload."""

    up = True

    def __init__(self, head: IscsiGateway) -> None:
        self._head = head

    def watch(self, on: bool) -> None:
        pass  # a reload is told in any case

    def poll(self) -> None:
        self._head.clock.call_later(
            0, lambda: self._head.engine.update_endpoints(self._head.listing(EndpointListKind.FULL))
        )

    def close(self) -> None:
        pass


class IscsiGateway(Service):
    """One head on the iSCSI-style wire: same engine, same module, same rules."""

    def __init__(self, reactor: Reactor, operator: Operator, log: Logger, clock: Clock | None = None) -> None:
        super().__init__(
            reactor,
            clock or ReactorClock(reactor),
            log,
            operator.listen,
            operator.management,
            operator.memory_mb,
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
            self._finished,
        )
        self.operations = Operations(self.engine, self.front, self._state, self._handover.announce_call, log)

    def _sessions(self, processes: int) -> int:
        sockets = self._operator.sockets // processes - (MAX_CALLS if self._operator.management else 0)
        return min(MAX_SESSIONS, max(1, sockets * 6 // 10))

    def limit(self, processes: int) -> None:
        self.front.limit(self._sessions(processes))

    def _open(self, inherited: Takeover | None) -> None:
        super()._open(inherited)
        self.front.address = self.address

    def initial_endpoints(self, handed_over: dict[str, Any]) -> EndpointList:
        return self.listing(EndpointListKind.CACHED)

    def listing(self, kind: EndpointListKind) -> EndpointList:
        self.transport.listed(self._operator.nodes)
        return EndpointList(kind, tuple(line.node for line in self._operator.nodes.values()))

    def apply_configuration(self, operator: Operator) -> None:
        """Take nodes, classes, plans, rules and what extents say of them; all else waits for a restart."""
        if operator.geometry != self._operator.geometry:
            raise OperatorError("[[lun]]: its size cannot change while the head runs")
        self._warn_of_restart(self._operator, operator, LIVE)
        self._operator = self.front.operator = operator
        self.change_settings(operator.settings)
        self._log.info("reloaded", nodes=len(operator.nodes))
        self.engine.update_endpoints(self.listing(EndpointListKind.FULL))
