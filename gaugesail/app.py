"""Puts a head together and runs it through its life: start, service, orderly stop."""

from __future__ import annotations

import gc
import signal
from collections import Counter
from typing import Any

from twisted.internet.defer import Deferred

from . import config as configuration
from .buffers import BufferPool
from .core.clock import ReactorClock
from .core.engine import Engine
from .core.ports import Logger, Reactor
from .http.bricks import BrickPool
from .http.discovery import DiscoveryClient
from .http.front import ClientFront

ACCEPT_US = 450_000  # after SIGTERM: new connections come for up to 0.4 s
SERVE_US = 700_000  # after SIGTERM: until then, connections in use are kept
SWEEP_US = 1_000_000
REPORT_EVERY = 10  # sweeps
BACKLOG = 512


class Head:
    """One head on the platform's protocol.  Embeddable: the reactor is passed in, nothing is global."""

    def __init__(self, reactor: Reactor, config: configuration.Config, log: Logger) -> None:
        self._config, self._log = config, log
        self._reactor = reactor
        self.clock = ReactorClock(reactor)
        self.buffers = BufferPool(config.limits.buffers)
        self.bricks = BrickPool(
            reactor,
            self.clock,
            self.buffers,
            log,
            config.conn_idle_us,
            config.connect_timeout_us,
            config.limits.node_connections,
        )
        self.discovery = DiscoveryClient(
            reactor,
            self.clock,
            config.discovery,
            config.zones,
            config.kinds,
            log,
            self.bricks.listed,
            lambda news: self.engine.listed(news),
        )
        self.engine = Engine(config.settings, config.seed, self.clock, self.bricks, self.discovery, log)
        self.front = ClientFront(
            self.engine,
            config.settings,
            self.clock,
            self.buffers,
            log,
            config.limits.client_connections,
            self._finished,
        )
        self.stopped: Deferred[None] = Deferred()
        self._port: Any = None
        self._stopping = False
        self._sweeps = 0
        self._reported: Counter[str] = Counter()

    def start(self) -> None:
        """Listen, then set the module up with the list as last known and start watching."""
        host, port = self._config.listen
        self._port = self._reactor.listenTCP(port, self.front, backlog=BACKLOG, interface=host)
        self.front.listening = True
        self.engine.start(self.discovery.know(self._config.known))
        self.clock.call_later(SWEEP_US, self._sweep)
        gc.collect()
        gc.freeze()
        self._log.info("listening", name=self._config.name, address=f"{host}:{self._port.getHost().port}")

    def stop(self) -> Deferred[None]:
        """Finish in order: accept a while, serve a while, close what is idle, finish what was taken."""
        if not self._stopping:
            self._stopping = True
            self._log.info("stopping", open=self.engine.open_requests, clients=self.front.connections)
            self.clock.call_later(ACCEPT_US, self._refuse_new)
            self.clock.call_later(SERVE_US, self.front.close_idle)
        return self.stopped

    def _refuse_new(self) -> None:
        self.front.listening = False
        self._port.stopListening()

    def _finished(self) -> None:
        if not self.stopped.called:
            self.discovery.close()
            self.bricks.close()
            self._log.info("stopped", open=self.engine.open_requests)
            self.stopped.callback(None)

    def _sweep(self) -> None:
        self.clock.call_later(SWEEP_US, self._sweep)
        self.front.sweep()
        self.bricks.sweep()
        self._sweeps += 1
        if self._sweeps % REPORT_EVERY == 0:
            counts = self.engine.counts
            fresh = dict(counts - self._reported)
            self._reported = Counter(counts)
            self._log.info(
                "counts",
                open=self.engine.open_requests,
                out=self.engine.attempts_out,
                clients=self.front.connections,
                nodes=self.bricks.connections,
                buffers=self.buffers.out,
                **fresh,
            )


def run(reactor: Any, log: Logger) -> int:
    """Run a head by its environment until SIGTERM; the exit code."""
    try:
        head = Head(reactor, configuration.load(), log)
    except configuration.ConfigError as error:
        log.error("bad_configuration", error=str(error))
        return 2
    failed: list[int] = []

    def up() -> None:
        # Twisted's own handler would stop at once; ours finishes what was taken.
        signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(head.stop))
        try:
            head.start()
        except Exception as error:  # an address in use, say: there is nothing to serve
            log.error("cannot_start", error=repr(error))
            failed.append(1)
            reactor.stop()

    head.stopped.addCallback(lambda _: reactor.callLater(0, reactor.stop))
    reactor.callWhenRunning(up)
    reactor.run()
    return failed[0] if failed else 0
