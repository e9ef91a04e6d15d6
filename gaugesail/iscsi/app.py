"""A head whose fronts and nodes speak the iSCSI-style wire, by an operator's file."""

from __future__ import annotations

from marllift.interface import ListKind, NodeList

from ..app import Service
from ..core.clock import ReactorClock
from ..core.engine import Engine
from ..core.ports import Clock, Logger, Reactor
from ..http.management import MOST_CALLS
from .initiator import NodePool
from .operator import Operator
from .target import TargetFront

MAX_SESSIONS = 64  # of clients; each may have a window of transfers in memory


class FileDiscovery:
    """The operator's file as the list of nodes: watching it means to hear of a reload."""

    def __init__(self, head: IscsiHead) -> None:
        self._head = head

    def watch(self, on: bool) -> None:
        pass  # a reload is told in any case

    def fetch(self) -> None:
        self._head.clock.call_later(0, lambda: self._head.engine.listed(self._head.known(ListKind.FULL)))

    def close(self) -> None:
        pass


class IscsiHead(Service):
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
        self._operator = operator
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
            min(MAX_SESSIONS, (operator.sockets - (MOST_CALLS if operator.management else 0)) * 6 // 10),
            self._finished,
        )

    def start(self) -> None:
        super().start()
        self.front.address = self.address

    def known(self, kind: ListKind = ListKind.CACHED) -> NodeList:
        self.transport.listed(self._operator.nodes)
        return NodeList(kind, tuple(line.node for line in self._operator.nodes.values()))

    def reload(self, operator: Operator) -> None:
        """Take the nodes of a changed file; all else in it waits for a restart."""
        self._kept(self._operator, operator, {"nodes"})
        self._operator = operator
        self._log.info("reloaded", nodes=len(operator.nodes))
        self.engine.listed(self.known(ListKind.FULL))
