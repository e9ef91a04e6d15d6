"""The client of the discovery service: watches and polls the endpoint list as the policy requests."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from gaugesail.policy.events import EndpointList, EndpointListKind
from gaugesail.policy.settings import NodeId

from ..core.ports import Clock, DelayedCall, Logger, Reactor
from ..net import dial, unread
from .discovery_call import DiscoveryCall
from .endpoint_reader import BadList, ListedEndpoints, read_list
from .node_state import NodeAddress

PATH = "/catalog/members"
# A call that fails after at least this time resets the policy's backoff, as the call was a delay itself.
LONG_CALL_US = 2_250_000
SILENCE_CHECK_US = 20_000  # shortest interval between checks for silence
PUSHED_RETRY_US = 250_000  # longest delay before an agent is watched again
PUSHED_RETRY_DIVISOR = 5  # that delay is also at most 1/5 of the drain grace
ANSWER_TIMEOUT_US = 2_000_000  # until an answer starts: discovery handles calls one after another
CONNECT_TIMEOUT_S = 1.0


@dataclass(slots=True, frozen=True)
class DiscoverySettings:
    """Address of discovery, and the names of zones and kinds in its lists.

    ``pushed_grace_us`` is the drain grace where an agent on the same host has the endpoint list pushed to it,
    else None.  The gateway must respect the agent's list from its own start, so it requests the full list;
    until that is received, its own list may lack drains that it has to respect already.
    """

    address: tuple[str, int]
    zones: list[str]
    kinds: list[str]
    pushed_grace_us: int | None = None


class DiscoveryClient:
    """Reports each endpoint list, and each failed call once, to the engine."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        log: Logger,
        settings: DiscoverySettings,
        update_addresses: Callable[[dict[NodeId, NodeAddress | None], bool], None],
        update_endpoints: Callable[[EndpointList], None],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._log = log
        self._set_address(settings.address)
        self.change_names(settings.zones, settings.kinds)
        self._update_addresses = update_addresses
        self._update_endpoints = update_endpoints
        self._revision = 0
        self._members: dict[str, bytes] = {}  # the current list, as discovery's JSON, by id
        self._pushed = settings.pushed_grace_us is not None
        # An agent answers at once and at no cost.  A silent agent has lost its own source, and the gateway
        # must respect a list as soon as the agent receives it: a call must be open at that moment, or be made
        # soon after.
        self._pushed_retry_us = min(PUSHED_RETRY_US, (settings.pushed_grace_us or 0) // PUSHED_RETRY_DIVISOR)
        # A list was received, or discovery has answered a watch, which confirms the cached list.  Never
        # becomes False again.
        self.list_confirmed = False
        self._calls: set[DiscoveryCall] = set()
        self._dials: set[Deferred[Any]] = set()
        self._watching: DiscoveryCall | None = None
        self._watch_wanted = False  # by the policy; between two watches none is open
        self._silence_check: DelayedCall | None = None
        self._retry: DelayedCall | None = None  # of the watch on an agent
        self._closed = False

    def _set_address(self, address: tuple[str, int]) -> None:
        self._address = address
        self.host = f"{address[0]}:{address[1]}"

    def change_names(self, zones: list[str], kinds: list[str]) -> None:
        """Apply changed names of zones and kinds to the lists received from now on."""
        self._zones = zones
        self._kinds = kinds

    def now(self) -> int:
        """The present time in microseconds."""
        return self._clock.now_us()

    # ---- the endpoint list ----

    def load_cached(self, data: Any) -> EndpointList:
        """Read a possibly outdated list, from the configuration or the previous process.  Raises BadList."""
        listed = read_list(data, self._zones, self._kinds)
        self._revision = 0 if self._pushed else listed.revision
        self._remember(data, True)
        self._update_addresses(listed.addresses, True)
        return EndpointList(EndpointListKind.CACHED, tuple(listed.endpoints))

    @property
    def latest(self) -> dict[str, Any]:
        """The current endpoint list in discovery's JSON form, for the next process of this gateway."""
        members = [json.loads(member) for member in self._members.values()]
        return {"revision": self._revision, "complete": True, "members": members}

    def receive(self, data: Any, since: int = 0) -> int:
        """Apply a full list, or the changes after ``since``; return its revision.  Raises BadList."""
        listed = read_list(data, self._zones, self._kinds)
        self.list_confirmed = True
        if since <= listed.revision < self._revision:
            return listed.revision  # older than the list of another call
        # The revisions of a watch increase.  A lower one means that discovery has lost its count and started
        # over: this change is valid, but earlier changes may have been missed.
        restarted = listed.revision < since and not listed.full
        self._revision = 0 if restarted else listed.revision
        self._remember(data, listed.full)
        self._report(listed)
        if restarted:
            raise BadList(f"revision {listed.revision} is below {since}: requesting the full list")
        return listed.revision

    def _remember(self, data: Any, full: bool) -> None:
        if full:
            self._members = {}
        for member in data["members"]:
            if member["phase"] == "Gone":
                self._members.pop(member["id"], None)
            else:
                # The text of a member takes half of the memory of its parsed form.
                self._members[member["id"]] = json.dumps(member, separators=(",", ":")).encode()

    def _report(self, listed: ListedEndpoints) -> None:
        self._update_addresses(listed.addresses, listed.full)
        kind = EndpointListKind.FULL if listed.full else EndpointListKind.CHANGES
        self._update_endpoints(EndpointList(kind, tuple(listed.endpoints)))

    # ---- calls ----

    @property
    def answer_timeout_us(self) -> int:
        """Longest time until the answer to a call starts."""
        return self._pushed_retry_us if self._pushed else ANSWER_TIMEOUT_US

    def watch(self, on: bool) -> None:
        """Start or stop watching the endpoint list."""
        self._watch_wanted = on
        if self._retry is not None and self._retry.active():
            self._retry.cancel()
        self._retry = None
        if self._closed:
            return
        if on and self._watching is None:  # else a change of address has opened one
            self._watching = self._call(f"{PATH}?follow=1&since={self._revision}", True)
        elif not on and self._watching is not None:
            self._drop(self._watching)

    def poll(self) -> None:
        """Request the full endpoint list once."""
        self._call(PATH, False)

    def change_address(self, address: tuple[str, int]) -> None:
        """Move to another address of discovery and repeat the open calls there at once.

        Calls to the old address end without a failure report, so the policy does not back off; data that
        still arrives from there is ignored.
        """
        if address == self._address or self._closed:
            return
        self._set_address(address)
        self._revision = 0  # revisions of another service are not comparable: request the full list
        polls = sum(not call.follow for call in self._calls)
        for call in list(self._calls):
            self._drop(call)
        for _ in range(polls):
            self.poll()
        self.watch(self._watch_wanted)

    def _call(self, target: str, follow: bool) -> DiscoveryCall:
        call = DiscoveryCall(self, target, follow)
        call.since = self._revision if follow else 0
        self._calls.add(call)
        dialled = dial(self._reactor, self._address, CONNECT_TIMEOUT_S, lambda: call)
        self._dials.add(dialled)
        dialled.addErrback(self._no_connection, call)
        dialled.addBoth(lambda _: self._dials.discard(dialled))
        self._schedule_silence_check()
        return call

    def _drop(self, call: DiscoveryCall) -> None:
        """End a call without a report to the policy."""
        self._forget(call)
        call.drop()

    def _forget(self, call: DiscoveryCall) -> None:
        self._calls.discard(call)
        if call is self._watching:
            self._watching = None

    def _no_connection(self, failure: Failure, call: DiscoveryCall) -> None:
        call.end(f"no connection: {failure.value!r}")

    def call_answered(self, call: DiscoveryCall) -> None:
        """The answer to a call has started."""
        self.list_confirmed = self.list_confirmed or (call.follow and not self._pushed)

    def call_ended(self, call: DiscoveryCall, reason: str) -> None:
        """A call has ended; a non-empty ``reason`` makes it a failure, which is logged and reported."""
        self._forget(call)
        if not reason or self._closed:
            return
        self._log.warning("discovery_failed", why=reason, watch=call.follow)
        if self._pushed and call.follow:
            self._retry = self._clock.call_later(
                self._pushed_retry_us, lambda: self.watch(self._watch_wanted)
            )
            return
        if self.now() - call.started_us >= LONG_CALL_US:
            # An empty change resets the policy's count of failures.
            self._update_endpoints(EndpointList(EndpointListKind.CHANGES, ()))
        self._update_endpoints(EndpointList(EndpointListKind.FAILED))

    # ---- silence ----

    def _schedule_silence_check(self) -> None:
        if self._silence_check is not None and self._silence_check.active():
            self._silence_check.cancel()
        self._silence_check = None
        if self._calls and not self._closed:
            due_us = min(call.due_us for call in self._calls)
            delay_us = max(SILENCE_CHECK_US, due_us - self.now())
            self._silence_check = self._clock.call_later(delay_us, self._check_silence)

    def _check_silence(self) -> None:
        """End silent calls: a machine that vanished leaves its connections open."""
        self._silence_check = None
        now_us = self.now()
        for call in list(self._calls):
            # After a stall of this process there may be unread input.
            if now_us >= call.due_us and not (call.transport is not None and unread(call.link)):
                call.end("silent")
        self._schedule_silence_check()

    def close(self) -> None:
        """End all calls and start no more."""
        self._closed = True
        if self._silence_check is not None and self._silence_check.active():
            self._silence_check.cancel()
        for dialled in list(self._dials):
            dialled.cancel()
        for call in list(self._calls):
            call.end("")
