"""Drives the fleet's decisions in a head: its store, its link, its clock, and its gateway's shares.

In this order, whatever happens: what is to be kept is written; then the gateway hears what it may spend; then
the others hear what this head says.  Where the write fails, nothing of the rest is done, and the head goes on
as one without a store.  The store is asked for again, with backoff; once it can be written it is read whole,
and this head's place begins anew from it, as after a restart of the process: under another process number, so
that nothing that was said before, or may have been kept of the save that failed, counts as this one's word.
"""

from __future__ import annotations

import json
import random
import secrets
from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet.error import CannotListenError

from gaugesail.coordination.demand_tracker import QuotaUsage
from gaugesail.coordination.messages import ForgetHead, Message
from gaugesail.coordination.node import FleetNode, StepOutput, StoredState, quota_changed_event, quota_name_of
from gaugesail.policy.settings import Settings

from ..core.engine import Engine
from ..core.ports import Clock, DelayedCall, Logger
from ..http.endpoint_reader import BadList, split_address
from .link import FleetReactor, Link
from .settings import FleetSettings, digest
from .store import FleetStore, StoreBusy, StoreFailed
from .wire import Wire

WANT_US = 100_000  # between two readings of what is asked for here
AGAIN_US = 300_000  # until a place or a store that another process holds is asked for again
SWEEP_US = 5_000_000
ERROR_EVENTS = frozenset({"store_failed", "log_broken", "stores_are_old", "store_is_old", "name_taken"})
LEAST_US = 1_000  # between two ticks
STORE_AGAIN_US, STORE_AGAIN_MOST_US = 500_000, 8_000_000  # until a store that failed is asked for again


class FleetAgent:
    """One head's place in its fleet, for as long as the process lives."""

    def __init__(
        self, reactor: FleetReactor, clock: Clock, settings: FleetSettings, log: Logger,
        process: int | None = None,
    ) -> None:  # fmt: skip
        self._reactor, self._clock, self._settings, self._log = reactor, clock, settings, log
        self._process_given = process
        self._new_process()
        self.node: FleetNode | None = None
        self.address: tuple[str, int] | None = None
        self._store: FleetStore | None = None
        self._engine: Engine | None = None
        self._terms: Settings | None = None
        self._tick: DelayedCall | None = None
        self._tick_at = 0
        self._closed = self._waiting = self._running = False
        self._store_again_us, self._jitter = STORE_AGAIN_US, random.SystemRandom()
        self._store_asked = False  # it is to be asked for again

    def _new_process(self) -> None:
        """A number and a link of its own, under which this head speaks from now on."""
        settings = self._settings
        self.process = self._process_given or secrets.randbits(62) | 1
        self._process_given = None
        self.wire = Wire(settings.terms.name, settings.gateway, self.process, settings.key)
        self.link = Link(self._reactor, self._clock, self.wire, self._log, self._address, self._heard)

    # ---- life ----

    def start(self, engine: Engine) -> None:
        """Take the place and the store that the file names; while another process has them, wait."""
        self._engine, self._terms = engine, engine.settings
        self._begin()

    def _begin(self) -> None:
        if self._closed:
            return
        try:
            if not self.link.listening:
                host, port = self.address or self._settings.listen
                self.address = self.link.listen(host, port)
            address = self.address or self._settings.listen
            loaded = self._load()
        except (CannotListenError, StoreBusy) as error:
            # The process before this one; nothing of a limit is spent here until it has gone.
            if not self._waiting:
                self._waiting = True
                self._log.warning("fleet_waits", why=str(error))
            self._clock.call_later(AGAIN_US, self._begin)
            return
        settings, now = self._settings, self._clock.now_us()
        host, port = settings.advertise or address
        self.node = FleetNode(
            settings.terms, digest(settings.terms), settings.gateway, f"{host}:{port}", self.process,
            now // 1000, loaded, secrets.randbits(63), now,
        )  # fmt: skip
        self._state()
        self._log.info(
            "fleet_begins", fleet=settings.terms.name, head=settings.gateway, address=f"{host}:{port}",
            keeper=self.node.is_replica, store=loaded is not None, process=self.process,
        )  # fmt: skip
        self._step(lambda node, at: node.tick(at))
        if not self._running:
            self._running = True
            self._wants()
            self._sweep()

    def _load(self) -> StoredState | None:
        """What the store holds; None where there is none, or none that can be used."""
        if self._settings.folder is None:
            return None
        store = FleetStore(self._settings.folder, self._settings.gateway)
        try:
            loaded = store.open()
        except StoreFailed as error:
            self._log.error("store_failed", why=str(error))
            self._ask_for_store()
            return None
        finally:
            for note in store.notes:
                self._log.error("store_put_aside", **note)
        self._store = store
        return loaded

    # ---- a store that failed ----

    def _ask_for_store(self) -> None:
        """Try it again later; heads whose disks failed together do not try in step."""
        if self._store_asked or self._closed:
            return
        self._store_asked = True
        wait = int(self._store_again_us * self._jitter.uniform(0.75, 1.25))
        self._store_again_us = min(STORE_AGAIN_MOST_US, 2 * self._store_again_us)
        self._clock.call_later(wait, self._try_store)

    def _try_store(self) -> None:
        self._store_asked = False
        leaving = self.node is not None and self.node.lease_holder.leaving
        if self._closed or leaving or self._settings.folder is None or self._store is not None:
            return
        store = FleetStore(self._settings.folder, self._settings.gateway)
        try:
            store.open()
            store.prove()
        except (StoreBusy, StoreFailed) as error:
            self._log.warning("fleet_store_awaited", why=str(error))
            self._ask_for_store()
            return
        finally:
            store.close()
            for note in store.notes:
                self._log.error("store_put_aside", **note)
        self._begin_anew()

    def _begin_anew(self) -> None:
        """Take this head's place as a process does that has just started.  What the gateway holds of the
        lease ends with it, as the keepers count it; its floor is the same."""
        self._log.info("fleet_begins_anew", head=self._settings.gateway)
        self.node = None
        if self._tick is not None and self._tick.active():
            self._tick.cancel()
        self.link.close()
        self._new_process()
        self._begin()

    def retune(self, settings: Settings) -> None:
        """This head's own file says other limits."""
        self._terms = settings
        self._state()

    def _state(self) -> None:
        if self.node is not None and self._terms is not None:
            wholes = {
                plan.name: (round(plan.limit * 1000), round(plan.limit_burst * 1000))
                for plan in self._terms.plans if plan.limit
            }  # fmt: skip
            self.node.set_limits(wholes, round(self._terms.max_request_units * 1000))

    def leave(self) -> None:
        """This head ends in order."""
        if self.node is not None and not self.node.lease_holder.leaving:
            self._log.info("fleet_leaves", head=self._settings.gateway)
            self._step(lambda node, now: node.leave(now))

    def close(self) -> None:
        """Nothing is said or heard any more."""
        self._closed, self.node = True, None
        if self._tick is not None and self._tick.active():
            self._tick.cancel()
        self.link.close()
        if self._store is not None:
            self._store.close()

    # ---- steps ----

    def _heard(self, sender: str, process: int, message: Message) -> None:
        self._step(lambda node, now: node.receive(now, sender, process, message))

    def _step(self, call: Callable[[FleetNode, int], StepOutput]) -> None:
        """One step of the decisions, and what it comes to, in its order."""
        node = self.node
        if node is None:
            return
        now = self._clock.now_us()
        try:
            self._carry_out(node, now, call(node, now))
        except Exception as error:  # a fault of ours must not end the head: it serves on with what it has
            self._log.error("fleet_raised", error=repr(error))
            if node.has_store:  # what half a step promised may not be kept: nothing may rest on it
                node.store_failed(now, "a step was not carried out")
        self._plan()

    def _carry_out(self, node: FleetNode, now: int, out: StepOutput) -> None:
        self._tell(out)
        if out.write is not None and self._store is not None:
            try:
                self._store.write(out.write)
                self._store_again_us = STORE_AGAIN_US
            except StoreFailed as error:
                node.store_failed(now, str(error))
                self._store = None
                self._ask_for_store()
                return  # said by the next tick, without what this step was for
        if out.quota is not None:
            assert self._engine is not None
            self._engine.change_quota(quota_changed_event(out.quota))
        for to, message in out.messages:
            if to == self._settings.gateway:
                self._clock.call_later(0, partial(self._heard, to, self.process, message))
            else:
                self.link.send(to, message)

    def _tell(self, out: StepOutput) -> None:
        for notice in out.notices:
            fields = {key: value for key, value in notice.fields.items() if value != ""}
            write = self._log.error if notice.event in ERROR_EVENTS else self._log.info
            write(f"fleet_{notice.event}", **fields)

    # ---- time ----

    def _plan(self) -> None:
        node = self.node
        if node is None or self._closed:
            return
        now = self._clock.now_us()
        at = max(now + LEAST_US, node.next_at)
        if self._tick is not None and self._tick.active():
            if self._tick_at <= at:
                return
            self._tick.cancel()
        self._tick_at = at
        self._tick = self._clock.call_later(at - now, self._due)

    def _due(self) -> None:
        self._tick = None
        self._step(lambda node, now: node.tick(now))

    def _wants(self) -> None:
        if self._closed or self._engine is None or self._terms is None:
            return
        worth = {plan.name: max(1, round(plan.priority_weight * 1000)) for plan in self._terms.plans}
        asked = {
            quota_name_of(plan, volume): QuotaUsage(units, spent, saved, worth.get(plan, 1000))
            for plan, volume, units, spent, saved in self._engine.take_quota_demand()
        }
        self._step(lambda node, now: node.report_demand(now, asked))
        self._clock.call_later(WANT_US, self._wants)

    def _sweep(self) -> None:
        if not self._closed:
            self.link.sweep()
            self._clock.call_later(SWEEP_US, self._sweep)

    # ---- the link ----

    def _address(self, name: str) -> tuple[str, int] | None:
        """Where a head is reached: by this head's own file, or else as it says of itself."""
        if (found := self._settings.peers.get(name)) is not None:
            return found
        told = self.node.membership.address_of(name) if self.node is not None else ""
        try:
            return split_address(told) if told else None
        except BadList:
            return None

    # ---- operators' calls ----

    def call(self, method: str, path: list[str]) -> tuple[int, str]:
        """GET members, budgets, link, petitions/N; POST trust-store, forget/NAME."""
        node = self.node
        if node is None:
            return 503, "not in the fleet yet"
        now = self._clock.now_us()
        match method, path:
            case "GET", ["members"]:
                return 200, json.dumps(node.view_members(now))
            case "GET", ["budgets"]:
                return 200, json.dumps(node.view_budgets(now))
            case "GET", ["link"]:
                told = {"dropped": dict(self.wire.dropped), **self.link.counts}
                return 200, json.dumps(told)
            case "GET", ["petitions", number] if number.isdigit():
                answer = node.take_command_result(int(number))
                state: dict[str, Any] = {"known": answer is not None}
                if answer is not None:
                    state["done"], state["why"] = answer
                return 200, json.dumps(state)
            case "POST", ["trust-store"]:
                self._step(lambda node, at: node.trust_store(at))
                return 200, "this store is taken for the latest"
            case "POST", ["forget", name]:
                return 202, json.dumps({"petition": self._petition(name)})
            case _, ["members" | "budgets" | "link"] | ["petitions", _]:
                return 405, "use GET"
            case _, ["trust-store"] | ["forget", _]:
                return 405, "use POST"
        return 404, "no such call"

    def _petition(self, name: str) -> int:
        numbers: list[int] = []

        def ask(node: FleetNode, now: int) -> StepOutput:
            number, out = node.submit_command(now, ForgetHead(name))
            numbers.append(number)
            return out

        self._step(ask)
        return numbers[0]
