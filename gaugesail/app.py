"""Assembles a gateway for the platform's HTTP protocol."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from gaugesail.policy.events import AttemptResult, EndpointList, EndpointListKind

from . import config as configuration
from .core.clock import ReactorClock
from .core.engine import Engine
from .core.ports import Clock, DelayedCall, Logger, Reactor
from .handover_connection import Takeover
from .http.client_connection import ClientConnection
from .http.client_server import ClientCapacity, ClientServer
from .http.discovery import DiscoveryClient, DiscoverySettings
from .http.node_connection import NodeConnection
from .http.node_pool import NodePool
from .http.stream_handover import ClientStreamState, NodeStreamState
from .memory_budget import MemoryLimit
from .net import attach, detach, reset
from .operations import Operations
from .service import Service

HANDOVER_RETRY_US = 5_000  # until the next look whether the successor takes more answers
RELOADABLE_ENTRIES = {  # fields of Config that are applied at run time, or needed only at startup
    "discovery", "known", "seed", "settings", "conn_idle_us", "connect_timeout_us", "zones", "kinds", "raw",
}  # fmt: skip


class PlatformGateway(Service):
    """A gateway for the platform's protocol.

    It can be embedded: the reactor is passed in, and no state is global.
    """

    def __init__(
        self, reactor: Reactor, config: configuration.Config, log: Logger, clock: Clock | None = None
    ) -> None:
        limits = config.limits
        self._latest_settings = config.settings
        self._handover_retry: DelayedCall | None = None
        clock = clock or ReactorClock(reactor)
        super().__init__(
            reactor,
            clock,
            log,
            config.listen,
            config.management,
            MemoryLimit(limits.memory_mb, limits.client_connections),
            config.folder,
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
        self.discovery = self._build_discovery(config)
        self.waits_for_list = config.pushed
        self.engine = Engine(config.settings, config.seed, self.clock, self.transport, self.discovery, log)
        self.front = ClientServer(
            self.engine,
            config.settings,
            self.clock,
            self.buffers,
            log,
            ClientCapacity(limits.client_connections, limits.client_overflow),
            self._shutdown.end_if_idle,
        )
        self.operations = Operations(self.engine, self.front, self._state, self._handover.announce_call, log)

    def _build_discovery(self, config: configuration.Config) -> DiscoveryClient:
        """Build the discovery client; the node pool gets each endpoint list before the policy does."""
        settings = DiscoverySettings(
            config.discovery,
            config.zones,
            config.kinds,
            config.settings.drain_grace_us if config.pushed else None,
        )
        return DiscoveryClient(
            self._reactor,
            self.clock,
            self._log,
            settings,
            self.transport.update_addresses,
            self._update_endpoints,
        )

    def _update_endpoints(self, endpoints: EndpointList) -> None:
        self.engine.update_endpoints(endpoints)
        if endpoints.kind is EndpointListKind.FULL:
            self.whole_list_received(len(endpoints.endpoints))

    def initial_endpoints(self, handed_over: dict[str, Any]) -> EndpointList:
        """The predecessor's endpoint list if it used the same discovery service, else the configured one."""
        # Revisions of different discovery services cannot be compared.
        same = handed_over.get("discovery") == self.discovery.host
        known, self._config = self._config.known, configuration.in_force(self._config)
        endpoints: EndpointList = self.discovery.load_cached(handed_over["list"] if same else known)
        return endpoints

    def offer_takeover(self) -> Takeover | None:
        """Offer also the latest endpoint list and the address of its discovery service."""
        takeover = super().offer_takeover()
        if takeover is not None:
            takeover.state.update(discovery=self.discovery.host, list=self.discovery.latest)
        return takeover

    @property
    def has_streams(self) -> bool:
        """Whether any answer is being streamed to its client."""
        return bool(self.front.streams)

    @property
    def streams_moved_at_us(self) -> int:
        """When a byte of any streamed answer was last written or read, on the process's clock; 0: never."""
        return max((client.stream_moved_at_us for client in self.front.streams), default=0)

    def reset_streams_if_killed(self) -> None:
        """Let a kill reset the connections of answers of which only the close tells the end."""
        for client in self.front.streams:
            client.reset_if_killed()

    def abort_streams(self) -> None:
        """Reset the connections of answers that cannot be completed, so that their clients can tell."""
        for client in self.front.streams:
            self.engine.counts["stream_aborted_at_shutdown"] += 1
            client.link.abortConnection()

    def hand_over_answers(self) -> None:
        """Hand streamed answers over to the successor, as fast as it takes them."""
        for client in self.front.streams:
            successor = self._handover.successor
            if successor is None:
                return
            if successor.backlogged:
                self._retry_handover()
                return
            if client.stream is not None:
                client.stream.start_handover(self._move_stream, successor.takes_unsent_output)

    def _retry_handover(self) -> None:
        if self._handover_retry is None or not self._handover_retry.active():
            self._handover_retry = self.clock.call_later(HANDOVER_RETRY_US, self.hand_over_answers)

    def _move_stream(self, client: ClientConnection, node: NodeConnection) -> None:
        if self._handover.successor is None:
            if client.stream is not None:
                client.stream.cancel_handover()
            return
        state = {"client": client.hand_over_stream().to_json(), "brick": node.hand_over_stream().to_json()}
        self._handover.hand_over_answer([detach(client.link), detach(node.link)], state)
        client.held_id.end()
        self.front.closed(client)

    def continue_answer(self, descriptors: list[int], state: dict[str, Any]) -> None:
        """Continue a streamed answer; if one of its connections has ended, the other is closed too."""
        client_descriptor, node_descriptor = descriptors
        client_state = ClientStreamState.from_json(state["client"])
        node_state = NodeStreamState.from_json(state["brick"])
        attempts = self.engine.attempts
        node_id = node_state.node_id.encode("latin-1")
        attempt = attempts.adopt_stream(node_id, node_state.client_request_id, node_state.ordered_key)
        try:
            node = self.transport.take_over(node_descriptor, node_state, attempt, attempts)
        except OSError:
            reset(client_descriptor)  # a regular close could pass for the end of the answer
            attempts.attempt_ended(attempt, AttemptResult.RESET)
            return
        self.front.predecessor_handed_over()
        client = self.front.buildProtocol(None)
        stream = client.take_over_stream(client_state, attempt.client_request_id, node)
        try:
            attach(self._reactor, client_descriptor, client)
        except OSError:
            client.input.release()
            node.stop()
            return
        stream.write_unsent(client_state.unsent)
        node.stream_to(stream)

    def limit(self, processes: int) -> None:
        """Limit the connections to one process's share of the descriptors among ``processes``."""
        limits = self._config.limits.of(processes)
        self.front.limit(ClientCapacity(limits.client_connections, limits.client_overflow))
        self.transport.limit(limits.node_connections)

    def apply_configuration(self, config: configuration.Config) -> None:
        """Apply a reloaded configuration if it is complete.

        Raises ConfigError, and applies nothing, if it is not.
        """
        configuration.check_shape(self._config.raw, config.raw)
        self._warn_of_restart(self._config, config, RELOADABLE_ENTRIES)
        self._config = configuration.in_force(replace(config, limits=self._config.limits))
        self.transport.change_timeouts(config.conn_idle_us, config.connect_timeout_us)
        self.discovery.change_names(config.zones, config.kinds)
        self.discovery.change_address(config.discovery)
        self.change_settings(config.settings)
        classes = ",".join(spec.name for spec in config.settings.classes)
        self._log.info("reloaded", discovery=self.discovery.host, classes=classes)
