"""Puts a head together and runs it through its life: start, service, orderly stop."""

from __future__ import annotations

import gc
import signal
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from twisted.internet.defer import maybeDeferred
from twisted.logger import globalLogBeginner

from gaugesail.policy.events import EndpointList

from . import config as configuration
from .core.clock import ReactorClock, boot_ns, use_monotonic_time
from .core.engine import Engine
from .core.ports import Clock, Logger, Reactor
from .handover import Takeover
from .http.client_connection import ClientConnection
from .http.client_server import ClientPlaces, ClientServer
from .http.discovery import DiscoveryClient, DiscoverySettings
from .http.node_connection import NodeConnection
from .http.node_pool import NodePool
from .http.stream_handover import ClientStreamState
from .net import attach, detach, reset
from .operations import Operations
from .service import Service

LIVE = {  # what may change while the head runs, or is for a start
    "discovery", "known", "seed", "settings", "conn_idle_us", "connect_timeout_us", "zones", "kinds", "raw",
}  # fmt: skip


class Head(Service):
    """One head on the platform's protocol.  Embeddable: the reactor is passed in, nothing is global."""

    def __init__(
        self, reactor: Reactor, config: configuration.Config, log: Logger, clock: Clock | None = None
    ) -> None:
        limits = config.limits
        self._wanted = config.settings
        clock = clock or ReactorClock(reactor)
        super().__init__(
            reactor, clock, log, config.listen, config.management, limits.memory_mb, config.folder
        )
        log = self._log
        self._config = config
        self.transport = NodePool(
            reactor,
            self.clock,
            self.buffers,
            log,
            config.conn_idle_us,
            config.connect_timeout_us,
            limits.node_connections,
        )
        self.discovery = DiscoveryClient(
            reactor,
            self.clock,
            log,
            DiscoverySettings(
                config.discovery,
                config.zones,
                config.kinds,
                config.settings.drain_grace_us if config.pushed else None,
            ),
            self.transport.update_addresses,
            lambda endpoints: self.engine.update_endpoints(endpoints),
        )
        self.waits_for_list = config.pushed
        self.engine = Engine(config.settings, config.seed, self.clock, self.transport, self.discovery, log)
        self.front = ClientServer(
            self.engine,
            config.settings,
            self.clock,
            self.buffers,
            log,
            ClientPlaces(limits.client_connections, limits.client_overflow),
            self._finished,
        )
        self.operations = Operations(self.engine, self.front, self._state, self._handover.announce_call, log)

    def initial_endpoints(self, told: dict[str, Any]) -> EndpointList:
        # Another service may count its revisions from anywhere: the process before must have used the same.
        same = told.get("discovery") == self.discovery.host
        news: EndpointList = self.discovery.load_cached(told["list"] if same else self._config.known)
        return news

    def offer_takeover(self) -> Takeover | None:
        takeover = super().offer_takeover()
        if takeover is not None:
            takeover.state.update(discovery=self.discovery.host, list=self.discovery.latest)
        return takeover

    @property
    def has_streams(self) -> bool:
        return bool(self.front.streams)

    def hand_over_answers(self) -> None:
        for client in self.front.streams:
            if client.stream is not None:
                client.stream.start_handover(self._stream_emptied)

    def _stream_emptied(self, client: ClientConnection, node: NodeConnection) -> None:
        if self._handover.successor is None:
            if client.stream is not None:
                client.stream.cancel_handover()
            return
        state = {"client": client.hand_over_stream().to_json(), "brick": node.hand_over_stream().to_json()}
        self._handover.hand_over_answer([detach(client.link), detach(node.link)], state)
        self.front.closed(client)

    def continue_answer(self, descriptors: list[int], state: dict[str, Any]) -> None:
        """Go on with a large answer.  Where either side has gone meanwhile, the other ends with it."""
        client_descriptor, node_descriptor = descriptors
        try:
            node = self.transport.take_over(node_descriptor, state["brick"], self.engine.attempts)
        except OSError:
            reset(client_descriptor)  # an end in order could pass for the answer's own
            return
        client = self.front.buildProtocol(None)
        stream = client.take_over_stream(ClientStreamState.from_json(state["client"]), node)
        self.engine.attempts.adopt_stream(node.attempt)
        try:
            attach(self._reactor, client_descriptor, client)
        except OSError:
            node.stop()
            return
        node.stream_to(stream)

    def limit(self, processes: int) -> None:
        limits = self._config.limits.of(processes)
        self.front.limit(ClientPlaces(limits.client_connections, limits.client_overflow))
        self.transport.limit(limits.node_connections)

    def apply_configuration(self, config: configuration.Config) -> None:
        """Take the file whole or not at all."""
        configuration.check_shape(self._config.raw, config.raw)
        self._warn_of_restart(self._config, config, LIVE)
        self._config = replace(config, limits=self._config.limits)
        self.transport.change_timeouts(config.conn_idle_us, config.connect_timeout_us)
        self.discovery.change_names(config.zones, config.kinds)
        self.discovery.change_address(config.discovery)
        self.change_settings(config.settings)
        classes = ",".join(spec.name for spec in config.settings.classes)
        self._log.info("reloaded", discovery=self.discovery.host, classes=classes)


def _twisted_event(log: Logger, event: Any) -> None:
    failure = event.get("log_failure")
    if failure is not None:
        log.error("callback_raised", error=repr(failure.value), trace=failure.getTraceback()[-2000:])


def _shares(config: Any) -> Any:
    """A configuration of either wire, for a head that divides limits with others."""
    return replace(config, settings=replace(config.settings, fleet_quota=True))


def _among_others(arguments: list[str]) -> tuple[list[str], str | None]:
    """The arguments but ``--fleet FILE``, and that file."""
    if "--fleet" not in arguments:
        return arguments, None
    at = arguments.index("--fleet")
    if at + 1 == len(arguments):
        raise ValueError("--fleet: a file is needed")
    return arguments[:at] + arguments[at + 2 :], arguments[at + 1]


def run(reactor: Any, log: Logger, arguments: list[str]) -> int:
    """Run a head until SIGTERM: by the platform's environment, or by an operator's file.  The exit code.

    ``--fleet FILE`` puts it among other heads; without it nothing of that is imported, opened or started.
    """
    # Ours before anything can send one, in place of Twisted's: by default SIGHUP ends the process, and
    # Twisted's SIGTERM stops at once.  What comes before the reactor runs is carried out when it does.
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(lambda: head.reload_from(load)))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(lambda: head.stop()))
    load: Callable[[], Any] = configuration.load
    head: Service
    try:
        arguments, fleet_file = _among_others(arguments)
        # Leases are counted by the one that goes on while the machine sleeps.
        monotonic_ns = boot_ns if fleet_file is not None else time.monotonic_ns
        use_monotonic_time(reactor, monotonic_ns)
        clock, companion = ReactorClock(reactor, monotonic_ns), None
        if arguments:
            from .iscsi.operator import load_operator

            path = arguments[0]
            load = lambda: load_operator(path)  # noqa: E731
        if fleet_file is not None:
            from .fleet.agent import FleetAgent
            from .fleet.settings import load_fleet

            companion = FleetAgent(reactor, clock, load_fleet(fleet_file), log)
            alone = load
            load = lambda: _shares(alone())  # noqa: E731
        if arguments:
            from .iscsi.app import IscsiHead

            head = IscsiHead(reactor, load(), log, clock)
        else:
            head = Head(reactor, load(), log, clock)
        head.fleet = companion
    except ValueError as error:
        log.error("bad_configuration", error=str(error))
        return 2
    failed: list[int] = []
    # What a callback raises and nobody catches is logged like the rest, on a line of its own.
    observer: Any = lambda event: _twisted_event(log, event)  # noqa: E731
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False, discardBuffer=True)

    def cannot_start(failure: Any) -> None:  # an address in use, say: there is nothing to serve
        log.error("cannot_start", error=repr(failure.value))
        failed.append(1)
        reactor.stop()

    def up() -> None:
        maybeDeferred(head.start).addErrback(cannot_start)
        gc.collect()
        gc.freeze()

    head.stopped.addCallback(lambda _: reactor.callLater(0, reactor.stop))
    reactor.callWhenRunning(up)
    reactor.run(installSignalHandlers=False)
    return failed[0] if failed else 0
