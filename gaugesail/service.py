"""The life of a head on any wire: start, service, a new configuration, an orderly stop."""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Callable
from dataclasses import fields
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError

from gaugesail.policy.events import EndpointList
from gaugesail.policy.settings import Settings

from .buffers import BUFFER_BYTES, BufferPool
from .core.engine import Engine
from .core.ports import Clock, Logger, Reactor
from .core.settings_transition import TRANSITION_US, transition_settings
from .door import MOVED_LAST_US
from .handover import Handover, Takeover, adopt_port
from .http.management import ACCEPTS, MOST_CALLS, ManagementFront
from .listening import ListeningPort
from .logs import LimitedLogger
from .operations import Operations
from .state import OperatorCall, StateFile

ACCEPT_US = 450_000  # after SIGTERM: new connections come for up to 0.4 s
LAST_ACCEPT_US = 1_500_000  # and later where they had to wait for a place
ACCEPT_STEP_US = 20_000
SERVE_US = 700_000  # after SIGTERM: until then, connections in use are kept
LEAST_LONGEST_US = 3_000_000  # SIGKILL comes the longest deadline after SIGTERM, and this at the least,
END_US = 500_000  # and 0.7 s more: by then all has its answer
LAST_US = 150_000  # for the answers to be read: what is left then has nothing to wait for
ABLE_US, ABLE_STEP_US = 3_000_000, 20_000  # how long a next process waits for its watch before it serves
# How long it waits for its address, which the process before may have yet: one that was told to end does so,
# or is killed, the longest deadline and 0.7 s later.  A head has 30 s to be ready.
ADDRESS_US, ADDRESS_STEP_US = 25_000_000, 50_000
SWEEP_US = 250_000
REPORT_EVERY = 40  # sweeps
BACKLOG = 512


class Companion(Protocol):
    """What works beside the engine for as long as a head lives: its place among other heads."""

    def start(self, engine: Engine) -> None: ...
    def retune(self, settings: Settings) -> None: ...
    def leave(self) -> None: ...
    def close(self) -> None: ...
    def call(self, method: str, path: list[str]) -> tuple[int, str]:
        """Carry out an operator's call under /fleet: a status and its text."""
        ...


class Service:
    """The life of a head on any wire: start, a sweep four times a second, an orderly stop."""

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
        self._reactor, self._listen = reactor, listen
        self._state = StateFile(folder, listen)
        self.clock = clock
        self._log = LimitedLogger(log, clock.now_us)
        # A quarter of the memory for buffers: the interpreter and the books take about 30 MB.
        self._most_buffers = max(64, memory_mb * 1024 * 1024 // 4 // BUFFER_BYTES)
        self.buffers = BufferPool(self._most_buffers)
        self.engine: Engine
        self.front: Any
        self.transport: Any
        self.discovery: Any
        self.operations: Operations
        self.stopped: Deferred[None] = Deferred()
        self.address, self.management_address = listen, management
        self._management: ManagementFront | None = None
        self._handover = Handover(reactor, clock, self._log, folder, listen, self)
        self._port: Any = None
        self._listening: ListeningPort
        self._stopping, self._stop_at, self._able_by = False, 0, 0
        self._replaced = False
        self._wanted: Settings  # what is in force, or will be when clients have left what was before
        self._sweeps = 0
        self._reported: Counter[str] = Counter()
        self.companion: Companion | None = None
        self.needs_list = False  # what it starts with may be older than what binds it

    # ---- start ----

    def start(self) -> Deferred[Any]:
        """Listen for calls, take over from a running process or listen, set the module up, serve.

        The Deferred fires when the address is ours, and fails where it cannot be had.
        """
        if self.management_address is None:
            return self._handover.request_takeover().addCallback(self._take_address)
        host, port = self.management_address
        free = self._when_free(lambda: self._listen_for_calls(host, port))
        return free.addCallback(lambda _: self._handover.request_takeover()).addCallback(self._take_address)

    def _take_address(self, takeover: Takeover | None) -> Deferred[Any]:
        return self._when_free(lambda: self._begin(takeover))

    def _when_free(self, listen: Callable[[], None]) -> Deferred[Any]:
        """The process before this one may be on its way out and have the address for a while yet."""
        done: Deferred[Any] = Deferred()
        last, waits = self.clock.now_us() + ADDRESS_US, False

        def attempt() -> None:
            nonlocal waits
            try:
                listen()
            except CannotListenError as error:
                if self.clock.now_us() >= last:
                    done.errback()
                    return
                if not waits:
                    waits = True
                    self._log.warning("address_awaited", error=repr(error))
                self.clock.call_later(ADDRESS_STEP_US, attempt)
            except Exception:
                done.errback()
            else:
                done.callback(None)

        attempt()
        return done

    def _begin(self, takeover: Takeover | None) -> None:
        if self._stopping:  # meanwhile it was told to end: nothing was taken, and nothing will be
            if takeover is not None:
                os.close(takeover.descriptor)
            return
        host, port = self._listen
        if takeover is None:
            self._port = self._reactor.listenTCP(port, self.front, backlog=BACKLOG, interface=host)
            if self.needs_list:
                self._port.stopReading()
        else:
            self._port = adopt_port(self._reactor, takeover.descriptor, self.front)
            self.engine.restore_listed_nodes([str(node).encode() for node in takeover.state.get("seen", [])])
        self.address = (host, self._port.getHost().port)
        self.front.port = self._port
        front = self.front
        self._listening = ListeningPort(
            self._port, self.clock, lambda: front.room, lambda: front.accepting and not front.held
        )
        self.operations.restore()
        self.engine.start(self.known(takeover.state if takeover is not None else {}))
        if self.companion is not None:
            self.companion.start(self.engine)
        self.clock.call_later(SWEEP_US, self._sweep)
        if takeover is None and not self.needs_list:
            self._serve()
        else:
            self._able_by = self.clock.now_us() + ABLE_US
            self._serve_when_able()

    def _serve_when_able(self) -> None:
        """What comes waits, or is left to the process before this one, until our list is fresh."""
        if self._stopping:
            return
        if self.discovery.up or self.clock.now_us() >= self._able_by:
            self._serve()
        else:
            self.clock.call_later(ABLE_STEP_US, self._serve_when_able)

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
        self._management = calls = ManagementFront(self.operations, self.clock, self._log)
        if self.companion is not None:
            calls.fleet = self.companion.call
        listener = self._reactor.listenTCP(port, calls, backlog=BACKLOG, interface=host)
        ListeningPort(listener, self.clock, lambda: min(ACCEPTS, MOST_CALLS), lambda: True)
        self.management_address = host, listener.getHost().port

    def known(self, told: dict[str, Any]) -> EndpointList:
        """The list to start with; ``told`` is what the process before this one handed over."""
        raise NotImplementedError

    # ---- another process of this head ----

    def offer_takeover(self) -> Takeover | None:
        if self._stopping or not self.front.accepting:
            return None
        listed = [node_id.decode(errors="replace") for node_id in self.engine.listed_nodes]
        return Takeover(self._port.fileno(), {"seen": listed})

    def sibling_process(self, present: bool) -> None:
        """Both count as one head: each has half of what is limited."""
        self._log.info("sibling_process_started" if present else "sibling_process_ended")
        self.engine.set_sibling_process(present)
        self.buffers.trim(self._most_buffers // 2 if present else self._most_buffers)
        self.limit(2 if present else 1)

    def predecessor_clients(self, clients: int) -> None:
        """The process before this one still has so many: of the places for clients the rest is ours."""
        self.front.limit_beside(clients)

    def limit(self, processes: int) -> None:
        """Keep within this process's part of the descriptors."""
        raise NotImplementedError

    def replaced(self, on: bool) -> None:
        self._replaced = on
        if not self._stopping or on:
            self.front.supersede(on)
        self._log.info("replaced_by_successor" if on else "successor_died", clients=self.front.connections)
        self._handover.report_clients(self.front.connections)
        if on:
            self.hand_over_answers()
        elif self._stopping:
            self._refuse_new()  # who waits in the kernel for the one that has gone is this one's again

    def hand_over_answers(self) -> None:
        """Hand to the next process what would not end in the time that this one has."""

    def continue_answer(self, descriptors: list[int], state: dict[str, Any]) -> None:
        """Go on with what the process before this one handed over."""
        for descriptor in descriptors:
            os.close(descriptor)

    def follow(self, call: OperatorCall) -> None:
        self.operations.follow(call)

    # ---- a new configuration ----

    def hang_up(self, load: Callable[[], Any]) -> None:
        """SIGHUP: read the configuration again; whatever is wrong with it, the one in force stays."""
        try:
            self.reload(load())
        except ValueError as error:
            self._log.error("bad_configuration", error=str(error))

    def reload(self, config: Any) -> None:
        """Take what may change while the head runs from its configuration, read again."""
        raise NotImplementedError

    def retune(self, settings: Settings) -> None:
        """Other settings.  Clients use both for a while: what either forbids is not done until then."""
        if settings == self._wanted:
            return
        self._wanted = settings
        self._use(transition_settings(self.engine.settings, settings))
        self.clock.call_later(
            TRANSITION_US, lambda: self._use(settings) if settings is self._wanted else None
        )

    def _use(self, settings: Settings) -> None:
        self.engine.change_settings(settings)
        self.front.retune(settings)
        if self.companion is not None:
            self.companion.retune(settings)

    def _kept(self, old: Any, new: Any, live: set[str]) -> None:
        """Log which entries of a configuration differ and wait for a restart."""
        names = [item.name for item in fields(old) if getattr(old, item.name) != getattr(new, item.name)]
        if waiting := sorted(set(names) - live):
            self._log.warning("reload_needs_restart", entries=",".join(waiting))

    # ---- stop ----

    def stop(self) -> Deferred[None]:
        """Finish in order: accept a while, serve a while, close what is idle, finish what was taken."""
        if not self._stopping:
            self._stopping, self._stop_at = True, self.clock.now_us()
            self.operations.stopping = True
            self._log.info("stopping", open=self.engine.open_requests, clients=self.front.connections)
            self.clock.call_later(ACCEPT_US, self._refuse_new)
            self.clock.call_later(SERVE_US, self._close_idle)
            self.clock.call_later(self.longest_us() + END_US, self._end)
        return self.stopped

    def _end(self) -> None:
        self.front.end()
        self.engine.fail_all()
        self.clock.call_later(LAST_US, self._last)

    def _last(self) -> None:
        """Connections may linger, as that of a client that sends on behind its answer: it is not served."""
        if self.passing_answers:
            self.clock.call_later(LAST_US, self._last)  # for as long as nobody kills it
        else:
            self._finished()

    @property
    def passing_answers(self) -> bool:
        """An answer is on its way to its client."""
        return False

    def longest_us(self) -> int:
        """The longest deadline, as the platform counts it before it kills."""
        return max(LEAST_LONGEST_US, *(spec.deadline_us for spec in self.engine.settings.classes))

    def _refuse_new(self) -> None:
        if self._replaced or self._port is None:
            return  # the next process accepts
        # What came in time but waits in the kernel, as all places were in use, must not be reset.
        if self.front.held and self.clock.now_us() < self._stop_at + LAST_ACCEPT_US:
            self.clock.call_later(ACCEPT_STEP_US, self._refuse_new)
            return
        self._listening.accept_pending()
        waits = self.front.held or self._listening.short
        if waits and self.clock.now_us() < self._stop_at + LAST_ACCEPT_US:
            self.clock.call_later(ACCEPT_STEP_US, self._refuse_new)  # more may wait than there were places
            return
        self.front.listening = self.front.accepting = False
        self._port.stopListening()
        self._port = None

    def _close_idle(self) -> None:
        # Clients of a process that is replaced are in no hurry: each request that crosses a close costs one.
        if self._replaced and self.clock.now_us() < self._stop_at + MOVED_LAST_US:
            self.clock.call_later(SWEEP_US, self._close_idle)
            if self.front.connections:
                return
        self.front.close_idle()
        if self.companion is not None:
            self.companion.leave()

    def _finished(self) -> None:
        if self._handover.unconfirmed and self.clock.now_us() < self._stop_at + self.longest_us():
            self.clock.call_later(ABLE_STEP_US, self._finished)  # what was handed over must have arrived
            return
        if self.stopped.called:
            return
        closed = [self.discovery.close, self.transport.close, self._handover.close]
        if self.companion is not None:
            closed.append(self.companion.close)
        for close in closed:
            try:
                close()
            except Exception as error:  # all has its answer: nothing may keep the process from ending
                self._log.error("close_raised", error=repr(error))
        self._log.info("stopped", open=self.engine.open_requests)
        self.stopped.callback(None)

    def _sweep(self) -> None:
        self.clock.call_later(SWEEP_US, self._sweep)
        self.front.sweep()
        self.transport.sweep()
        self.operations.sweep()
        if self._management is not None:
            self._management.sweep()
        if self._replaced:
            self._handover.report_clients(self.front.connections)
            self.hand_over_answers()
        self._sweeps += 1
        if self._sweeps % REPORT_EVERY == 0:
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
