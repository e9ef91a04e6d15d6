"""Runs a gateway as a member of its fleet: drives FleetNode's decisions with a store, a link and a clock.

Each step is executed in a fixed order: persist the write, pass the quota to the gateway's engine, send the
messages.  If the write fails, neither quota nor messages follow, and the gateway continues as one without a
store.  The store is retried with backoff.  Once it can be written, the gateway restarts from its contents as
a new process would, under another process number, so that neither the messages sent before nor the records
that the failed write may have left are attributed to this process.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet.error import CannotListenError

from gaugesail.coordination.demand_tracker import QuotaUsage
from gaugesail.coordination.messages import Message
from gaugesail.coordination.node import FleetNode, GatewayIdentity, StepOutput
from gaugesail.coordination.persisted_state import StoredState
from gaugesail.coordination.quota_names import quota_changed_event, quota_name_of
from gaugesail.policy.settings import Settings

from ..core.engine import Engine
from ..core.ports import Clock, DelayedCall, Logger
from ..http.endpoint_reader import BadList, split_address
from .backoff import Backoff
from .link import FleetReactor, Link
from .operator_calls import OperatorCalls
from .settings import FleetSettings, digest
from .store import FleetStore, StoreBusy, StoreError, StoreFailed
from .wire import Wire

DEMAND_INTERVAL_US = 100_000  # between two readings of the clients' demand
START_RETRY_US = 300_000  # while another process has the address or the store
SWEEP_INTERVAL_US = 5_000_000  # between two sweeps of the link's idle channels
MIN_TICK_GAP_US = 1_000
FIRST_STORE_RETRY_US = 500_000
LONGEST_STORE_RETRY_US = 8_000_000
# Notices that are logged as errors.
ERROR_EVENTS = frozenset({"store_failed", "log_broken", "stores_are_old", "store_outdated", "name_taken"})


class FleetAgent:
    """A gateway's membership in its fleet, during the life of one operating system process.

    :param process: the process number; by default a random one, as each restart draws.
    """

    def __init__(
        self,
        reactor: FleetReactor,
        clock: Clock,
        settings: FleetSettings,
        log: Logger,
        process: int | None = None,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._settings = settings
        self._log = log
        self._begin_process(process or _draw_process())
        self.fleet_node: FleetNode | None = None
        self.address: tuple[str, int] | None = None
        self._store: FleetStore | None = None
        self._engine: Engine | None = None
        self._gateway_settings: Settings | None = None
        self._tick_call: DelayedCall | None = None
        self._tick_at_us = 0
        self._closed = False
        self._start_delayed = False  # that another process holds the address or the store was logged
        self._timers_started = False
        self._store_backoff = Backoff(FIRST_STORE_RETRY_US, LONGEST_STORE_RETRY_US)
        self._store_retry_pending = False
        self._operator_calls = OperatorCalls(clock, self._step, self._link_counts)

    def _begin_process(self, process: int) -> None:
        """Set the process number, and create the wire and the link that use it."""
        settings = self._settings
        self.process = process
        self.wire = Wire(settings.terms.name, settings.gateway, process, settings.key)
        self.link = Link(self._reactor, self._clock, self.wire, self._log, self._address_of, self._receive)

    # ---- start and end ----

    def start(self, engine: Engine) -> None:
        """Listen, open the store and join; retry while another process has the address or the store."""
        self._engine = engine
        self._gateway_settings = engine.settings
        self._start()

    def _start(self) -> None:
        if self._closed:
            return
        try:
            address = self._listen()
            loaded = self._open_store()
        except (CannotListenError, StoreBusy) as error:
            self._delay_start(str(error))
            return
        host, port = self._settings.advertise or address
        self._start_fleet_node(f"{host}:{port}", loaded)
        self._step(lambda node, now: node.tick(now))
        if not self._timers_started:
            self._timers_started = True
            self._report_demand()
            self._sweep()

    def _listen(self) -> tuple[str, int]:
        """Listen unless the link does already, and return the address.  Raises CannotListenError."""
        if not self.link.listening:
            host, port = self.address or self._settings.listen
            self.address = self.link.listen(host, port)
        return self.address or self._settings.listen

    def _delay_start(self, reason: str) -> None:
        """Retry the start later: the previous process still runs, and alone may spend quota until it ends."""
        if not self._start_delayed:
            self._start_delayed = True
            self._log.warning("fleet_start_delayed", why=reason)
        self._clock.call_later(START_RETRY_US, self._start)

    def _start_fleet_node(self, address: str, loaded: StoredState | None) -> None:
        settings = self._settings
        now = self._clock.now_us()
        identity = GatewayIdentity(settings.gateway, address, self.process, now // 1000)
        seed = secrets.randbits(63)
        self.fleet_node = FleetNode(settings.terms, digest(settings.terms), identity, loaded, seed, now)
        self._pass_limits_to_fleet_node()
        self._log.info(
            "fleet_started",
            fleet=settings.terms.name,
            head=settings.gateway,
            address=address,
            keeper=self.fleet_node.is_replica,
            store=loaded is not None,
            process=self.process,
        )

    def change_settings(self, settings: Settings) -> None:
        """Apply the limits of a new configuration of this gateway."""
        self._gateway_settings = settings
        self._pass_limits_to_fleet_node()

    def _pass_limits_to_fleet_node(self) -> None:
        """Pass the limits of this gateway's configuration to the fleet node, in thousandths of a unit."""
        settings = self._gateway_settings
        if self.fleet_node is None or settings is None:
            return
        limits = {
            plan.name: (round(plan.limit * 1000), round(plan.limit_burst * 1000))
            for plan in settings.plans
            if plan.limit
        }
        self.fleet_node.set_limits(limits, round(settings.max_request_units * 1000))

    def leave(self) -> None:
        """Leave the fleet in order: return the quota, and notify the other members."""
        if self.fleet_node is not None and not self.fleet_node.lease_holder.leaving:
            self._log.info("fleet_leaving", head=self._settings.gateway)
            self._step(lambda node, now: node.leave(now))

    def close(self) -> None:
        """Stop sending and receiving, and close the store."""
        self._closed = True
        self._stop_fleet_node()
        if self._store is not None:
            self._store.close()

    def _stop_fleet_node(self) -> None:
        self.fleet_node = None
        if self._tick_call is not None and self._tick_call.active():
            self._tick_call.cancel()
        self.link.close()

    # ---- the store ----

    def _open_store(self) -> StoredState | None:
        """Open the store and return its contents; None if there is no usable store.  Raises StoreBusy."""
        if self._settings.folder is None:
            return None
        store = FleetStore(self._settings.folder, self._settings.gateway)
        try:
            loaded = store.open()
        except StoreFailed as error:
            self._log.error("store_failed", why=str(error))
            self._retry_store_later()
            return None
        finally:
            self._log_quarantined(store)
        self._store = store
        return loaded

    def _log_quarantined(self, store: FleetStore) -> None:
        for item in store.quarantined:
            self._log.error("store_put_aside", path=item.path, why=item.reason)

    def _retry_store_later(self) -> None:
        if self._store_retry_pending or self._closed:
            return
        self._store_retry_pending = True
        self._clock.call_later(self._store_backoff.next_us(), self._retry_store)

    def _retry_store(self) -> None:
        """Restart from the store if it can be read and written again; else retry later."""
        self._store_retry_pending = False
        leaving = self.fleet_node is not None and self.fleet_node.lease_holder.leaving
        if self._closed or leaving or self._settings.folder is None or self._store is not None:
            return
        store = FleetStore(self._settings.folder, self._settings.gateway)
        try:
            store.open()
            store.check_writable()
        except StoreError as error:
            self._log.warning("fleet_store_unavailable", why=str(error))
            self._retry_store_later()
            return
        finally:
            store.close()
            self._log_quarantined(store)
        self._restart()

    def _restart(self) -> None:
        """Restart as a new process of this gateway.

        Quota held under the old lease ends when the leader counts the lease as expired; the floor stays.
        """
        self._log.info("fleet_restarted", head=self._settings.gateway)
        self._stop_fleet_node()
        self._begin_process(_draw_process())
        self._start()

    # ---- steps ----

    def _receive(self, sender: str, process: int, message: Message) -> None:
        self._step(lambda node, now: node.receive(now, sender, process, message))

    def _receive_own(self, message: Message) -> None:
        self._receive(self._settings.gateway, self.process, message)

    def _step(self, call: Callable[[FleetNode, int], StepOutput]) -> None:
        """Run one step of the fleet node, execute its output, and schedule the next tick."""
        node = self.fleet_node
        if node is None:
            return
        now = self._clock.now_us()
        try:
            self._execute(node, now, call(node, now))
        except Exception as error:  # a fault in this code must not stop the gateway from serving
            self._log.error("fleet_raised", error=repr(error))
            if node.has_store:  # a partial step may be missing from the store: do not rely on the store
                node.store_failed(now, "a step was not completed: see fleet_raised")
        self._schedule_tick()

    def _execute(self, node: FleetNode, now: int, output: StepOutput) -> None:
        """Persist, then pass on the quota, then send: quota and messages depend on persisted state."""
        self._log_notices(output)
        if not self._persist(node, now, output):
            return
        if output.quota is not None:
            assert self._engine is not None
            self._engine.change_quota(quota_changed_event(output.quota))
        for receiver, message in output.messages:
            if receiver == self._settings.gateway:
                self._clock.call_later(0, partial(self._receive_own, message))
            else:
                self.link.send(receiver, message)

    def _persist(self, node: FleetNode, now: int, output: StepOutput) -> bool:
        """Write what has to be persisted; False if that failed and the step must not be executed."""
        if output.write is None or self._store is None:
            return True
        try:
            self._store.write(output.write)
        except StoreFailed as error:
            node.store_failed(now, str(error))
            self._store = None
            self._retry_store_later()
            return False
        self._store_backoff.reset()
        return True

    def _log_notices(self, output: StepOutput) -> None:
        for notice in output.notices:
            fields = {key: value for key, value in notice.fields.items() if value != ""}
            write = self._log.error if notice.event in ERROR_EVENTS else self._log.info
            write(f"fleet_{notice.event}", **fields)

    # ---- timers ----

    def _schedule_tick(self) -> None:
        node = self.fleet_node
        if node is None or self._closed:
            return
        now = self._clock.now_us()
        at = max(now + MIN_TICK_GAP_US, node.next_at)
        if self._tick_call is not None and self._tick_call.active():
            if self._tick_at_us <= at:
                return
            self._tick_call.cancel()
        self._tick_at_us = at
        self._tick_call = self._clock.call_later(at - now, self._tick)

    def _tick(self) -> None:
        self._tick_call = None
        self._step(lambda node, now: node.tick(now))

    def _report_demand(self) -> None:
        """Report the clients' demand since the last reading to the fleet node."""
        if self._closed or self._engine is None or self._gateway_settings is None:
            return
        weights = {
            plan.name: max(1, round(plan.priority_weight * 1000)) for plan in self._gateway_settings.plans
        }
        usage = {
            quota_name_of(plan, volume): QuotaUsage(requested, spent, saved, weights.get(plan, 1000))
            for plan, volume, requested, spent, saved in self._engine.drain_quota_demand()
        }
        self._step(lambda node, now: node.report_demand(now, usage))
        self._clock.call_later(DEMAND_INTERVAL_US, self._report_demand)

    def _sweep(self) -> None:
        if not self._closed:
            self.link.sweep()
            self._clock.call_later(SWEEP_INTERVAL_US, self._sweep)

    # ---- the link ----

    def _address_of(self, gateway: str) -> tuple[str, int] | None:
        """Return a gateway's address: the one in the fleet's file, or else the one that it advertises."""
        configured = self._settings.peers.get(gateway)
        if configured is not None:
            return configured
        advertised = self.fleet_node.membership.address_of(gateway) if self.fleet_node is not None else ""
        try:
            return split_address(advertised) if advertised else None
        except BadList:
            return None

    def _link_counts(self) -> dict[str, Any]:
        return {"dropped": dict(self.wire.dropped), **self.link.counts}

    # ---- operators' calls ----

    def call(self, method: str, path: list[str]) -> tuple[int, str]:
        """Answer a call at the management address with an HTTP status and a body (operator_calls.py)."""
        return self._operator_calls.answer(self.fleet_node, method, path)


def _draw_process() -> int:
    return secrets.randbits(62) | 1
