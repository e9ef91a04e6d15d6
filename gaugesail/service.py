"""The lifecycle of a gateway on any wire protocol: startup, serving, reload and graceful shutdown."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import fields
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError

from gaugesail.policy.events import EndpointList
from gaugesail.policy.settings import Settings

from .buffers import BufferPool
from .core.engine import Engine
from .core.ports import Clock, Logger, Reactor
from .core.settings_transition import TRANSITION_US, transition_settings
from .counts_report import CountsReport
from .handover import Handover, adopt_port
from .handover_connection import Takeover
from .http.management import ACCEPTS_PER_ITERATION, ManagementServer
from .id_coordination import IdCoordination
from .key_coordination import KeyCoordination
from .listening import LISTEN_BACKLOG, ListeningPort, retry_while_in_use
from .logs import RateLimitedLogger
from .memory_budget import MEGABYTE, PROGRAM_BYTES, MemoryLimit
from .operations import Operations
from .shutdown import Shutdown
from .state import OperatorCall, StateFile

LIST_TIMEOUT_US = 3_000_000  # a process serves after that, even without a current endpoint list
LIST_RETRY_US = 20_000  # between checks for a current endpoint list
SWEEP_INTERVAL_US = 250_000
SWEEPS_PER_REPORT = 40


class FleetMember(Protocol):
    """This gateway's membership of a fleet (``--fleet``)."""

    def start(self, engine: Engine) -> None:
        """Start the membership; called right before the gateway serves."""
        ...

    def change_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        ...

    def leave(self) -> None:
        """Return everything that is leased from the fleet, as the gateway is shutting down."""
        ...

    def close(self) -> None:
        """Release all resources, as the process is ending."""
        ...

    def call(self, method: str, path: list[str]) -> tuple[int, str]:
        """Carry out an operator's call under /fleet; returns the status and the text of the answer."""
        ...


class Service:
    """The lifecycle of a gateway, the base of the gateways of all wire protocols.

    Subclasses set ``engine``, ``front`` (the client server, which accepts and serves clients), ``transport``,
    ``discovery`` and ``operations``.
    ``folder`` is shared by the processes of this gateway; without it there is no handover and no state file.
    """

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        log: Logger,
        listen: tuple[str, int],
        management: tuple[str, int] | None,
        memory: MemoryLimit,
        folder: str | None,
    ) -> None:
        self._reactor = reactor
        self._listen = listen
        self._state = StateFile(folder, listen)
        self.clock = clock
        self._log = RateLimitedLogger(log, clock.now_us)
        self.memory = memory
        budget = memory.budget(1)
        self.buffers = BufferPool(budget.buffers, io_bytes=budget.connection_bytes)
        self.engine: Engine
        self.front: Any
        self.transport: Any
        self.discovery: Any
        self.operations: Operations
        self.stopped: Deferred[None] = Deferred()
        self.address = listen
        self.management_address = management
        self._management: ManagementServer | None = None
        self.keys = KeyCoordination(clock, self._log)
        self.ids = IdCoordination()
        self._handover = Handover(reactor, clock, self._log, folder, listen, self)
        self._port: Any = None
        self._listener: ListeningPort
        self._shutdown = Shutdown(self, self._log)
        self._serve_by_us = 0
        self.replaced = False  # the successor serves in place of this process
        self._latest_settings: Settings  # in force, or will be at the end of the transition
        self._previous_settings: Settings | None = None  # in force beside them during the transition
        self._sweeps = 0
        self._counts_report: CountsReport
        self.fleet: FleetMember | None = None
        self._servers = 0  # in the latest whole list
        self.on_whole_list: Callable[[int], None] = lambda servers: None  # after a whole list was applied
        self.waits_for_list = False  # accept nothing with a cached endpoint list, which may miss drains

    # ---- startup ----

    def start(self) -> Deferred[Any]:
        """Listen for management calls, take over or open the clients' address, and start the policy.

        The Deferred fires when the clients' address is open, and fails if it cannot be opened.
        """
        if self.memory.leaves_nothing:
            program_mb = PROGRAM_BYTES // MEGABYTE
            self._log.warning(
                "memory_limit_too_small", memory_mb=self.memory.megabytes, program_mb=program_mb
            )
        self.engine.limit_records(self.memory.budget(1))
        self._counts_report = CountsReport(self.engine, self.front, self.transport, self.buffers, self._log)
        self.keys.decisions = self.engine.keys
        self.engine.keys.link = self.keys
        self.ids.ids = self.engine.request_ids
        if self.management_address is None:
            return self._handover.request_takeover().addCallback(self._open_clients_address)
        host, port = self.management_address
        listening = retry_while_in_use(self.clock, self._log, lambda: self._listen_for_management(host, port))
        return listening.addCallback(lambda _: self._handover.request_takeover()).addCallback(
            self._open_clients_address
        )

    def _open_clients_address(self, takeover: Takeover | None) -> Deferred[Any]:
        return retry_while_in_use(self.clock, self._log, lambda: self._open_or_look(takeover))

    def _open_or_look(self, takeover: Takeover | None) -> None:
        """Open the clients' address; if it is in use, look again for a process that hands it over."""
        try:
            self._open(takeover or self._handover.predecessor.pop_takeover())
        except CannotListenError:
            self._handover.look_again()
            raise

    def _open(self, takeover: Takeover | None) -> None:
        if self.stopping:  # SIGTERM arrived meanwhile: do not begin to accept
            if takeover is not None:
                os.close(takeover.descriptor)
            return
        host, port = self._listen
        if takeover is None:
            self._port = self._reactor.listenTCP(port, self.front, backlog=LISTEN_BACKLOG, interface=host)
            if self.waits_for_list:
                self._port.stopReading()
        else:
            self._port = adopt_port(self._reactor, takeover.descriptor, self.front)
            self.engine.restore_listed_nodes([str(node).encode() for node in takeover.state.get("seen", [])])
        self.address = (host, self._port.getHost().port)
        self.front.port = self._port
        front = self.front
        self._listener = ListeningPort(
            self._port,
            self.clock,
            lambda: front.free_places,
            lambda: front.accepting and not front.held,
            self.engine.policy.arrival_order.connections_queued,
        )
        self.operations.restore()
        self.engine.start(self.initial_endpoints(takeover.state if takeover is not None else {}))
        if self.fleet is not None:
            self.fleet.start(self.engine)
        self.clock.call_later(SWEEP_INTERVAL_US, self._sweep)
        if takeover is None and not self.waits_for_list:
            self._serve()
        else:
            self._serve_by_us = self.clock.now_us() + LIST_TIMEOUT_US
            self._serve_when_listed()

    def _serve_when_listed(self) -> None:
        """Serve as soon as the endpoint list is current, or after LIST_TIMEOUT_US.

        Until then connections wait in the kernel, or are accepted by the predecessor process.
        """
        if self.stopping:
            return
        if self.discovery.list_confirmed or self.clock.now_us() >= self._serve_by_us:
            self._serve()
        else:
            self.clock.call_later(LIST_RETRY_US, self._serve_when_listed)

    def _serve(self) -> None:
        self.front.listening = True
        self.front.accept(True)
        self._handover.announce_serving()
        address = self.management_address
        management = f"{address[0]}:{address[1]}" if address is not None else "none"
        self._log.info("listening", address=f"{self.address[0]}:{self.address[1]}", management=management)

    def _listen_for_management(self, host: str, port: int) -> None:
        if self.stopping:
            return
        self._management = server = ManagementServer(self.operations, self.clock, self._log)
        if self.fleet is not None:
            server.set_fleet_handler(self.fleet.call)
        listener = self._reactor.listenTCP(port, server, backlog=LISTEN_BACKLOG, interface=host)
        ListeningPort(listener, self.clock, lambda: ACCEPTS_PER_ITERATION, lambda: True)
        self.management_address = host, listener.getHost().port

    def initial_endpoints(self, handed_over: dict[str, Any]) -> EndpointList:
        """The endpoint list to start with.

        ``handed_over`` is the predecessor's state, empty if there is no predecessor.
        """
        raise NotImplementedError

    # ---- another process of this gateway ----

    @property
    def stopping(self) -> bool:
        """Whether this process is shutting down."""
        return self._shutdown.begun

    @property
    def has_port(self) -> bool:
        """Whether the clients' address is open, or was until the shutdown."""
        return self._port is not None or self.stopping

    def offer_takeover(self) -> Takeover | None:
        """Offer the successor the listening socket and the nodes named by endpoint lists."""
        if self.stopping or not self.front.accepting:
            return None
        listed = [node_id.decode(errors="replace") for node_id in self.engine.listed_nodes]
        return Takeover(self._port.fileno(), {"seen": listed})

    def sibling_process(self, present: bool, is_predecessor: bool = False) -> None:
        """Halve this process's limits while another one of this gateway is running."""
        if present != self.engine.has_sibling:
            self._log.info("sibling_process_started" if present else "sibling_process_ended")
        self.engine.set_sibling_process(present, is_predecessor)
        self._apply_memory_budget()
        self.limit(self._processes)

    @property
    def _processes(self) -> int:
        return 2 if self.engine.has_sibling else 1

    def _apply_memory_budget(self) -> None:
        budget = self.memory.budget(self._processes, self._servers)
        self.buffers.trim(budget.buffers, budget.connection_bytes)
        self.engine.limit_records(budget)

    def whole_list_received(self, servers: int) -> None:
        """Set memory aside for the records of so many servers."""
        if servers != self._servers:
            self._servers = servers
            self._apply_memory_budget()
        self.on_whole_list(servers)

    def predecessor_clients(self, clients: int) -> None:
        """Use the client places that the predecessor's ``clients`` connections leave free."""
        self.front.reserve_for_predecessor(clients)

    def limit(self, processes: int) -> None:
        """Limit the connections to one process's share of the descriptors among ``processes``."""
        raise NotImplementedError

    def set_replaced(self, on: bool) -> None:
        """The successor serves in place of this process, or, with ``on`` False, has ended unexpectedly."""
        self.replaced = on
        if not self.stopping or on:
            self.front.supersede(on)
        self._log.info("replaced_by_successor" if on else "successor_died", clients=self.front.connections)
        self._handover.report_clients(self.front.connections)
        if on:
            self.hand_over_answers()
        self._shutdown.successor_changed()

    def hand_over_answers(self) -> None:
        """Hand over to the successor the answers that would outlast this process."""

    def continue_answer(self, descriptors: list[int], state: dict[str, Any]) -> None:
        """Continue an answer that the predecessor handed over."""
        for descriptor in descriptors:
            os.close(descriptor)

    def follow(self, call: OperatorCall) -> None:
        """Apply an operator's call that the sibling process received."""
        self.operations.follow(call)

    # ---- reload ----

    def reload_from(self, load: Callable[[], Any]) -> None:
        """Handle SIGHUP: reload the configuration; if it is invalid, the current one stays in force."""
        try:
            self.apply_configuration(load())
        except ValueError as error:
            self._log.error("bad_configuration", error=str(error))

    def apply_configuration(self, config: Any) -> None:
        """Apply those entries of a reloaded configuration that may change at run time."""
        raise NotImplementedError

    def change_settings(self, settings: Settings) -> None:
        """Change to new settings; during the transition the stricter of old and new values apply."""
        if settings == self._latest_settings:
            return
        self._previous_settings, self._latest_settings = self._latest_settings, settings
        self._shutdown.change_longest_deadline(self.longest_deadline_us())
        self._apply_settings(transition_settings(self.engine.settings, settings))
        self.clock.call_later(TRANSITION_US, lambda: self._end_transition(settings))

    def _end_transition(self, settings: Settings) -> None:
        if settings is self._latest_settings:
            self._previous_settings = None
            self._apply_settings(settings)

    def _apply_settings(self, settings: Settings) -> None:
        self.engine.change_settings(settings)
        self.front.change_settings(settings)
        if self.fleet is not None:
            self.fleet.change_settings(settings)

    def _warn_of_restart(self, old: Any, new: Any, live: set[str]) -> None:
        """Log which entries of a configuration have changed and need a restart; ``live`` need none."""
        names = [item.name for item in fields(old) if getattr(old, item.name) != getattr(new, item.name)]
        if pending := sorted(set(names) - live):
            self._log.warning("reload_needs_restart", entries=",".join(pending))

    # ---- shutdown ----

    def stop(self, ago_us: int = 0) -> Deferred[None]:
        """Shut down gracefully, as SIGTERM was received ``ago_us`` microseconds ago."""
        self.operations.stopping = True
        self._shutdown.begin(self.longest_deadline_us(), ago_us)
        return self.stopped

    def longest_deadline_us(self) -> int:
        """The longest deadline of the settings; the shorter one of both while they change."""
        in_force = [settings for settings in (self._latest_settings, self._previous_settings) if settings]
        return min(max(spec.deadline_us for spec in settings.classes) for settings in in_force)

    @property
    def has_streams(self) -> bool:
        """Whether any answer is being streamed to its client."""
        return False

    @property
    def streams_moved_at_us(self) -> int:
        """When a byte of any streamed answer was last written or read, on the process's clock; 0: never."""
        return 0

    def reset_streams_if_killed(self) -> None:
        """Let a kill reset the connections of answers of which only the close tells the end."""

    def abort_streams(self) -> None:
        """Reset the connections of answers that cannot be completed, so that their clients can tell."""

    def close_port(self, at_once: bool) -> bool:
        """Stop accepting; returns False if connections wait in the kernel for a place, unless ``at_once``.

        Closing the port would reset them.  If a successor serves, the port is left to it.
        """
        if self.replaced or self._port is None:
            return True
        accepts = self.front.listening or not self._handover.predecessor.present
        if accepts:  # else the predecessor does, from the same queue
            if self.front.held and not at_once:
                return False
            self._listener.accept_pending()
            if (self.front.held or self._listener.shortage) and not at_once:
                return False  # more connections may be queued than there were places
        self.front.listening = self.front.accepting = False
        self._port.stopListening()
        self._port = None
        self._handover.predecessor.announce_stopping()
        return True

    def leave_fleet(self) -> None:
        """Return what is leased from the fleet."""
        if self.fleet is not None:
            self.fleet.leave()

    def finish_handover(self) -> bool:
        """Send the successor the last reports; returns whether it has received all that is handed over."""
        has_reported = self._handover.report_keys()
        return not (has_reported or self._handover.unconfirmed)

    def close(self) -> None:
        """Close everything, and report the end of the process."""
        closers = [self.discovery.close, self.transport.close, self.ids.end_process, self._handover.close]
        if self.fleet is not None:
            closers.append(self.fleet.close)
        for close in closers:
            try:
                close()
            except Exception as error:  # all requests are answered: no fault may prevent the end
                self._log.error("close_raised", error=repr(error))
        self.stopped.callback(None)

    def _sweep(self) -> None:
        self.clock.call_later(SWEEP_INTERVAL_US, self._sweep)
        self.front.sweep()
        self.transport.sweep()
        self.operations.sweep()
        if self._management is not None:
            self._management.sweep()
        if self.replaced:
            self._handover.report_clients(self.front.connections)
            self.hand_over_answers()
        self._sweeps += 1
        if self._sweeps % SWEEPS_PER_REPORT == 0:
            self._counts_report.write()
