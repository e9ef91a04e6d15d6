"""The life of a gateway on any wire: start, service, a new configuration, an orderly stop."""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Callable
from dataclasses import fields
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from gaugesail.policy.events import EndpointList
from gaugesail.policy.settings import Settings

from .buffers import BUFFER_BYTES, BufferPool
from .client_admission import MIGRATION_ENDS_US
from .core.engine import Engine
from .core.ports import Clock, Logger, Reactor
from .core.settings_transition import TRANSITION_US, transition_settings
from .handover import Handover, Takeover, adopt_port
from .http.management import ACCEPTS_PER_TURN, ManagementServer
from .listening import ACCEPT_RETRY_US, ListeningPort, retry_while_in_use
from .logs import LimitedLogger
from .operations import Operations
from .state import OperatorCall, StateFile

# Spans after SIGTERM.  SIGKILL follows 0.7 s after the longest deadline, 3.7 s after SIGTERM at the least.
STOP_ACCEPTING_AFTER_US = 450_000  # clients still connect for up to 0.4 s
STOP_ACCEPTING_BY_US = 1_500_000  # where connections had to wait in the kernel for a place
CLOSE_IDLE_AFTER_US = 700_000  # until then connections in use are kept
SHORTEST_KILL_DELAY_US = 3_000_000  # the least that counts as the longest deadline
ANSWER_THE_REST_AFTER_US = 500_000  # after the longest deadline
READ_ANSWERS_US = 150_000  # for clients to read those answers
CONFIRM_RETRY_US = 20_000  # between two looks whether the successor has all descriptors
LIST_TIMEOUT_US = 3_000_000  # how long a process waits for a fresh endpoint list before it serves
LIST_RETRY_US = 20_000
SWEEP_INTERVAL_US = 250_000
SWEEPS_PER_REPORT = 40
LISTEN_BACKLOG = 512


class FleetMember(Protocol):
    """This gateway's place among others, where it has one (``--fleet``)."""

    def start(self, engine: Engine) -> None:
        """The gateway is about to serve."""
        ...

    def retune(self, settings: Settings) -> None:
        """Other settings are in force."""
        ...

    def leave(self) -> None:
        """The gateway ends in order: what it holds of the fleet goes back."""
        ...

    def close(self) -> None:
        """The process ends."""
        ...

    def call(self, method: str, path: list[str]) -> tuple[int, str]:
        """Carry out an operator's call under /fleet: a status and its text."""
        ...


class Service:
    """The life of a gateway on any wire: start, a sweep four times a second, an orderly stop."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        log: Logger,
        listen: tuple[str, int],
        management: tuple[str, int] | None,
        memory_mb: int,
        folder: str | None,
    ) -> None:
        self._reactor = reactor
        self._listen = listen
        self._state = StateFile(folder, listen)
        self.clock = clock
        self._log = LimitedLogger(log, clock.now_us)
        # A quarter of the memory for buffers: the interpreter and the policy's records take about 30 MB.
        self._max_buffers = max(64, memory_mb * 1024 * 1024 // 4 // BUFFER_BYTES)
        self.buffers = BufferPool(self._max_buffers)
        self.engine: Engine
        self.front: Any
        self.transport: Any
        self.discovery: Any
        self.operations: Operations
        self.stopped: Deferred[None] = Deferred()
        self.address = listen
        self.management_address = management
        self._management: ManagementServer | None = None
        self._handover = Handover(reactor, clock, self._log, folder, listen, self)
        self._port: Any = None
        self._listener: ListeningPort
        self._stopping = False
        self._stopping_since_us = 0
        self._serve_by_us = 0
        self._replaced = False
        self._wanted: Settings  # what is in force, or will be when clients have left what was before
        self._sweeps = 0
        self._reported: Counter[str] = Counter()
        self.fleet: FleetMember | None = None
        self.waits_for_list = False  # accept nothing before a fresh list: the cached one may miss drains

    # ---- start ----

    def start(self) -> Deferred[Any]:
        """Listen for calls, take over from a running process or listen, start the policy, serve.

        The Deferred fires when the address is ours, and fails where it cannot be had.
        """
        if self.management_address is None:
            return self._handover.request_takeover().addCallback(self._open_address)
        host, port = self.management_address
        free = retry_while_in_use(self.clock, self._log, lambda: self._listen_for_calls(host, port))
        return free.addCallback(lambda _: self._handover.request_takeover()).addCallback(self._open_address)

    def _open_address(self, takeover: Takeover | None) -> Deferred[Any]:
        return retry_while_in_use(self.clock, self._log, lambda: self._open(takeover))

    def _open(self, takeover: Takeover | None) -> None:
        if self._stopping:  # SIGTERM came meanwhile: nothing was accepted, and nothing will be
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
            self._port, self.clock, lambda: front.free_places, lambda: front.accepting and not front.held
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
        """What comes waits, or is left to the process before this one, until our list is fresh."""
        if self._stopping:
            return
        if self.discovery.up or self.clock.now_us() >= self._serve_by_us:
            self._serve()
        else:
            self.clock.call_later(LIST_RETRY_US, self._serve_when_listed)

    def _serve(self) -> None:
        self.front.listening = True
        self.front.accept(True)
        self._handover.announce_serving()
        second = self.management_address
        calls = f"{second[0]}:{second[1]}" if second is not None else "none"
        self._log.info("listening", address=f"{self.address[0]}:{self.address[1]}", management=calls)

    def _listen_for_calls(self, host: str, port: int) -> None:
        if self._stopping:
            return
        self._management = calls = ManagementServer(self.operations, self.clock, self._log)
        if self.fleet is not None:
            calls.set_fleet_handler(self.fleet.call)
        listener = self._reactor.listenTCP(port, calls, backlog=LISTEN_BACKLOG, interface=host)
        ListeningPort(listener, self.clock, lambda: ACCEPTS_PER_TURN, lambda: True)
        self.management_address = host, listener.getHost().port

    def initial_endpoints(self, handed_over: dict[str, Any]) -> EndpointList:
        """The list to start with; ``handed_over`` is what the predecessor handed over, empty without one."""
        raise NotImplementedError

    # ---- another process of this head ----

    def offer_takeover(self) -> Takeover | None:
        """What the successor gets: the listening socket and the nodes ever listed."""
        if self._stopping or not self.front.accepting:
            return None
        listed = [node_id.decode(errors="replace") for node_id in self.engine.listed_nodes]
        return Takeover(self._port.fileno(), {"seen": listed})

    def sibling_process(self, present: bool) -> None:
        """Both count as one head: each has half of what is limited."""
        self._log.info("sibling_process_started" if present else "sibling_process_ended")
        self.engine.set_sibling_process(present)
        self.buffers.trim(self._max_buffers // 2 if present else self._max_buffers)
        self.limit(2 if present else 1)

    def predecessor_clients(self, clients: int) -> None:
        """The process before this one still has so many: of the places for clients the rest is ours."""
        self.front.limit_beside(clients)

    def limit(self, processes: int) -> None:
        """Keep within this process's part of the descriptors."""
        raise NotImplementedError

    def replaced(self, on: bool) -> None:
        """The successor serves in place of this process, or has died and this one serves again."""
        self._replaced = on
        if not self._stopping or on:
            self.front.supersede(on)
        self._log.info("replaced_by_successor" if on else "successor_died", clients=self.front.connections)
        self._handover.report_clients(self.front.connections)
        if on:
            self.hand_over_answers()
        elif self._stopping:
            self._stop_accepting()  # who waits in the kernel for the one that has gone is this one's again

    def hand_over_answers(self) -> None:
        """Hand to the next process what would not end in the time that this one has."""

    def continue_answer(self, descriptors: list[int], state: dict[str, Any]) -> None:
        """Go on with what the process before this one handed over."""
        for descriptor in descriptors:
            os.close(descriptor)

    def follow(self, call: OperatorCall) -> None:
        """An operator has called the sibling process: that binds this one too."""
        self.operations.follow(call)

    # ---- a new configuration ----

    def reload_from(self, load: Callable[[], Any]) -> None:
        """SIGHUP: read the configuration again; whatever is wrong with it, the one in force stays."""
        try:
            self.apply_configuration(load())
        except ValueError as error:
            self._log.error("bad_configuration", error=str(error))

    def apply_configuration(self, config: Any) -> None:
        """Take what may change while the head runs from its configuration, read again."""
        raise NotImplementedError

    def change_settings(self, settings: Settings) -> None:
        """Other settings.  Clients use both for a while: what either forbids is not done until then."""
        if settings == self._wanted:
            return
        self._wanted = settings
        self._apply_settings(transition_settings(self.engine.settings, settings))
        self.clock.call_later(
            TRANSITION_US, lambda: self._apply_settings(settings) if settings is self._wanted else None
        )

    def _apply_settings(self, settings: Settings) -> None:
        self.engine.change_settings(settings)
        self.front.change_settings(settings)
        if self.fleet is not None:
            self.fleet.retune(settings)

    def _warn_of_restart(self, old: Any, new: Any, live: set[str]) -> None:
        """Log which entries of a configuration differ and wait for a restart."""
        names = [item.name for item in fields(old) if getattr(old, item.name) != getattr(new, item.name)]
        if waiting := sorted(set(names) - live):
            self._log.warning("reload_needs_restart", entries=",".join(waiting))

    # ---- stop ----

    def stop(self) -> Deferred[None]:
        """Finish in order: accept a while, serve a while, close what is idle, finish what was taken."""
        if not self._stopping:
            self._stopping = True
            self._stopping_since_us = self.clock.now_us()
            self.operations.stopping = True
            self._log.info("stopping", open=self.engine.open_requests, clients=self.front.connections)
            self.clock.call_later(STOP_ACCEPTING_AFTER_US, self._stop_accepting)
            self.clock.call_later(CLOSE_IDLE_AFTER_US, self._close_idle)
            self.clock.call_later(
                self.longest_deadline_us() + ANSWER_THE_REST_AFTER_US, self._answer_the_rest
            )
        return self.stopped

    def _answer_the_rest(self) -> None:
        self.front.end()
        self.engine.fail_all()
        self.clock.call_later(READ_ANSWERS_US, self._finish_when_read)

    def _finish_when_read(self) -> None:
        """Connections may linger, as that of a client that sends on behind its answer: it is not served."""
        if self.has_streams:
            self.clock.call_later(READ_ANSWERS_US, self._finish_when_read)  # for as long as nobody kills it
        else:
            self._finished()

    @property
    def has_streams(self) -> bool:
        """An answer is on its way to its client."""
        return False

    def longest_deadline_us(self) -> int:
        """The longest deadline, as the platform counts it before it kills."""
        return max(SHORTEST_KILL_DELAY_US, *(spec.deadline_us for spec in self.engine.settings.classes))

    def _stop_accepting(self) -> None:
        if self._replaced or self._port is None:
            return  # the next process accepts
        # What came in time but waits in the kernel, as all places were in use, must not be reset.
        if self.front.held and self.clock.now_us() < self._stopping_since_us + STOP_ACCEPTING_BY_US:
            self.clock.call_later(ACCEPT_RETRY_US, self._stop_accepting)
            return
        self._listener.accept_pending()
        waits = self.front.held or self._listener.short
        if waits and self.clock.now_us() < self._stopping_since_us + STOP_ACCEPTING_BY_US:
            self.clock.call_later(
                ACCEPT_RETRY_US, self._stop_accepting
            )  # more may wait than there were places
            return
        self.front.listening = self.front.accepting = False
        self._port.stopListening()
        self._port = None

    def _close_idle(self) -> None:
        # Clients of a process that is replaced are in no hurry: each request that crosses a close costs one.
        if self._replaced and self.clock.now_us() < self._stopping_since_us + MIGRATION_ENDS_US:
            self.clock.call_later(SWEEP_INTERVAL_US, self._close_idle)
            if self.front.connections:
                return
        self.front.close_idle()
        if self.fleet is not None:
            self.fleet.leave()

    def _finished(self) -> None:
        if (
            self._handover.unconfirmed
            and self.clock.now_us() < self._stopping_since_us + self.longest_deadline_us()
        ):
            self.clock.call_later(CONFIRM_RETRY_US, self._finished)  # what was handed over must have arrived
            return
        if self.stopped.called:
            return
        closed = [self.discovery.close, self.transport.close, self._handover.close]
        if self.fleet is not None:
            closed.append(self.fleet.close)
        for close in closed:
            try:
                close()
            except Exception as error:  # all has its answer: nothing may keep the process from ending
                self._log.error("close_raised", error=repr(error))
        self._log.info("stopped", open=self.engine.open_requests)
        self.stopped.callback(None)

    def _sweep(self) -> None:
        self.clock.call_later(SWEEP_INTERVAL_US, self._sweep)
        self.front.sweep()
        self.transport.sweep()
        self.operations.sweep()
        if self._management is not None:
            self._management.sweep()
        if self._replaced:
            self._handover.report_clients(self.front.connections)
            self.hand_over_answers()
        self._sweeps += 1
        if self._sweeps % SWEEPS_PER_REPORT == 0:
            self._report_counts()

    def _report_counts(self) -> None:
        """Log the state of now, and what was counted since the last report."""
        counts = self.engine.counts + self.engine.rejections + self.engine.rules.violations
        fresh = dict(counts - self._reported)
        self._reported = Counter(counts)
        self._log.info(
            "counts",
            open=self.engine.open_requests,
            out=self.engine.attempts_in_flight,
            clients=self.front.connections,
            nodes=self.transport.connections,
            buffers=self.buffers.out,
            maintenance=len(self.engine.in_maintenance),
            lines_dropped=self._log.dropped,
            **fresh,
        )
