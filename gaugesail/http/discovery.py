"""The discovery watch: one chunked answer that stays open, a JSON object or an empty line at a time."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from gaugesail.policy.events import Endpoint, EndpointList, EndpointListKind, EndpointState

from ..core.ports import Clock, DelayedCall, Logger, Reactor
from ..net import Connection, dial, unread
from .messages import BadMessage, Data, Head
from .node_state import NodeAddress
from .parser import Parser

PATH = "/catalog/members"
SILENCE_US = 4_500_000  # an empty line comes every 2 s; two missing ones and the watch is dead
LONG_US = 2_250_000  # a call that has lasted so long and then fails was wait enough: the next follows soon
LOOK_US = 20_000  # between looks for silence, at the least
PUSHED_PART, PUSHED_US = 5, 250_000  # of the time that drains leave: until an agent is asked again; at most
ANSWER_US = 2_000_000  # until an answer begins: discovery handles calls one after another
CONNECT_S = 1.0
MAX_LINE = 4 * 1024 * 1024
MODES = {"Ready": EndpointState.READY, "Terminating": EndpointState.DRAINING, "Gone": EndpointState.GONE}
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
_ADDRESS = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})\Z")


class BadList(ValueError):
    """A list that does not follow discovery's form."""


def split_address(text: object) -> tuple[str, int]:
    """Host and port; there is no DNS, so the host is an address."""
    match = _ADDRESS.match(text) if isinstance(text, str) else None
    if match is None or int(match[2]) > 65535 or any(int(p) > 255 for p in match[1].split(".")):
        raise BadList(f"{text!r} is no address and port")
    return match[1], int(match[2])


def read_list(
    data: Any, zones: list[str], kinds: list[str]
) -> tuple[int, bool, list[Endpoint], dict[bytes, NodeAddress | None]]:
    """Revision, whether complete, lines for the module and for the connections, none for what is gone.

    Start times are Unix milliseconds; the clock of the head counts Unix microseconds, so 0 stays 0.
    """
    try:
        version, full = int(data["revision"]), bool(data["complete"])
        nodes: list[Endpoint] = []
        lines: dict[bytes, NodeAddress | None] = {}
        for item in data["members"]:
            node, mode = str(item["id"]).encode(), MODES[item["phase"]]
            started = int(item.get("up_since_ms", 0)) * 1000
            # What is gone may have no address any more.
            host, port = ("", 0) if mode is EndpointState.GONE else split_address(item["host_port"])
            zone, kind, shard = item.get("locality", ""), item.get("flavor", ""), int(item["cell"])
            nodes.append(
                Endpoint(
                    node,
                    shard,
                    mode,
                    zones.index(zone) if zone in zones else 0,
                    kinds.index(kind) if kind in kinds else 0,
                    float(item.get("size", 1.0)),
                    started,
                )
            )
            gone = mode is EndpointState.GONE
            lines[node] = (
                None if gone else NodeAddress(host, port, shard, mode is EndpointState.READY, started)
            )
    except (KeyError, TypeError, ValueError) as error:
        raise BadList(f"{type(error).__name__}: {error}") from None
    return version, full, nodes, lines


class _Call(Connection):
    """One connection to discovery: a watch, or a call for the whole list."""

    def __init__(self, owner: DiscoveryClient, target: str, follow: bool) -> None:
        self._owner, self._target, self.follow = owner, target, follow
        self.since = 0  # the revision that the next object of this watch follows on
        self._parser = Parser(answers=True, max_body=None)
        self._text = bytearray()
        self._object = bytearray()  # lines of one that has begun, as lists may come indented
        self._depth = 0  # of what is open in it
        self.ended = self.answered = False
        self.begun_us = self.heard_us = 0  # begun at; the last complete line, or the beginning

    @property
    def due_us(self) -> int:
        """When it counts as silent.  Pieces of a line or an object say nothing: they may trickle for ever."""
        return self.heard_us + (SILENCE_US if self.answered else self._owner.answer_us)

    def connectionMade(self) -> None:
        host = self._owner.host
        if self.ended:  # given up while it was being dialled
            self.link.abortConnection()
            return
        self.link.setTcpNoDelay(True)
        self.link.write(f"GET {self._target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    def dataReceived(self, data: bytes) -> None:
        if self.ended:
            return
        self.answered = True
        self._parser.feed(data)
        try:
            for part in self._parser.parts():
                if isinstance(part, Head):
                    if part.status != 200:
                        raise BadList(f"status {part.status}")
                    self._owner.answered(self.follow)
                elif isinstance(part, Data):
                    self._text += part.data
                    if len(self._text) > MAX_LINE:
                        raise BadList("a line is too long")
                    if self.follow:
                        self._lines()
                else:
                    if self.follow:
                        self._text += b"\n"  # its last line may have no end
                        self._lines()
                    elif self._text.strip():
                        self._owner.heard(json.loads(self._text))
                    self.end("ended" if self.follow else "")
                    return
        except (BadMessage, BadList, ValueError) as error:
            self.end(str(error) or "malformed")

    def _lines(self) -> None:
        while (at := self._text.find(b"\n")) >= 0 and not self.ended:
            line = bytes(self._text[:at]).strip()
            del self._text[: at + 1]
            if not line:
                if not self._object:
                    self.heard_us = self._owner.now()
                continue
            self._object += line
            if len(self._object) > MAX_LINE:
                raise BadList("an object is too long")
            # No string of JSON goes over a line's end, so that what is open is counted line by line.
            bare = _STRING.sub(b"", line)
            self._depth += bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
            if self._depth <= 0:
                complete, self._object, self._depth = bytes(self._object), bytearray(), 0
                self.heard_us = self._owner.now()
                self.since = self._owner.heard(json.loads(complete), self.since)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.end("connection lost")

    def end(self, why: str) -> None:
        """The call is over, once; an empty reason means that it did what it was for."""
        if self.ended:
            return
        self.ended = True
        if self.transport is not None:
            self.link.abortConnection()
        self._owner.call_ended(self, why)


class DiscoveryClient:
    """Watches and fetches the list when the module says so; each failure is told to it once."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        address: tuple[str, int],
        zones: list[str],
        kinds: list[str],
        log: Logger,
        listed: Callable[[dict[bytes, NodeAddress | None], bool], None],
        tell: Callable[[EndpointList], None],
        pushed_grace_us: int | None = None,
    ) -> None:
        self._reactor, self._clock, self._log = reactor, clock, log
        self._address, self.host = address, f"{address[0]}:{address[1]}"
        self.retune(zones, kinds)
        self._listed, self._tell = listed, tell
        self._version = 0
        self._members: dict[str, Any] = {}  # the list as it stands, in discovery's form
        # Where lists are pushed, what the agent beside us has counts as told from our first moment: it is
        # asked for all of it, and until that is there our list may be older than what binds us.
        self._pushed = pushed_grace_us is not None
        # It answers at once and at no cost.  One that is silent has lost its own source, and what it gets at
        # the return of that counts at once too, so that a call must be open then, or follow soon.
        self._again_us = min(PUSHED_US, (pushed_grace_us or 0) // PUSHED_PART)
        self.up = False  # the list is as good as it can be: a watch has been answered
        self._calls: set[_Call] = set()
        self._dials: set[Deferred[Any]] = set()
        self._watching: _Call | None = None
        self._wanted = False  # the module wants a watch, though it may be between two
        self._check: DelayedCall | None = None
        self._retry: DelayedCall | None = None  # of a pushed list's watch
        self._closed = False

    @property
    def answer_us(self) -> int:
        """How long a call may wait for its answer to begin."""
        return self._again_us if self._pushed else ANSWER_US

    def retune(self, zones: list[str], kinds: list[str]) -> None:
        self._zones, self._kinds = zones, kinds

    def now(self) -> int:
        return self._clock.now_us()

    def know(self, data: Any) -> EndpointList:
        """The list that the configuration brings, perhaps old."""
        version, _, nodes, lines = read_list(data, self._zones, self._kinds)
        self._version = 0 if self._pushed else version
        self._remember(data, True)
        self._listed(lines, True)
        return EndpointList(EndpointListKind.CACHED, tuple(nodes))

    def _remember(self, data: Any, full: bool) -> None:
        if full:
            self._members = {}
        for item in data["members"]:
            if item["phase"] == "Gone":
                self._members.pop(item["id"], None)
            else:
                self._members[item["id"]] = item

    @property
    def latest(self) -> dict[str, Any]:
        """The list as it stands, for the next process of this head."""
        return {"revision": self._version, "complete": True, "members": list(self._members.values())}

    def watch(self, on: bool) -> None:
        self._wanted = on
        if self._retry is not None and self._retry.active():
            self._retry.cancel()
        self._retry = None
        if self._closed:
            return
        if on and self._watching is None:  # a move may have been first: a second watch would be one too many
            self._watching = self._call(f"{PATH}?follow=1&since={self._version}", True)
        elif not on and self._watching is not None:
            self._drop(self._watching)

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is at another address from now on: ask there at once, not when the old one has closed.

        The end of what was open at the old address is no failure, so that the module neither hears of one nor
        waits before it asks again; and what is on its way from there no longer counts.
        """
        if address == self._address or self._closed:
            return
        self._address, self.host = address, f"{address[0]}:{address[1]}"
        self._version = 0  # another service may count its revisions from anywhere: the whole list
        fetches = sum(not call.follow for call in self._calls)
        for call in list(self._calls):
            self._drop(call)
        for _ in range(fetches):
            self.poll()
        self.watch(self._wanted)

    def _drop(self, call: _Call) -> None:
        """End a call that is no longer wanted, without a word to anyone."""
        call.ended = True
        self._calls.discard(call)
        if call is self._watching:
            self._watching = None
        if call.transport is not None:
            call.link.abortConnection()

    def poll(self) -> None:
        self._call(PATH, False)

    def _call(self, target: str, follow: bool) -> _Call:
        call = _Call(self, target, follow)
        call.begun_us = call.heard_us = self.now()
        call.since = self._version if follow else 0
        self._calls.add(call)
        made = dial(self._reactor, self._address, CONNECT_S, lambda: call)
        self._dials.add(made)
        made.addErrback(self._no_connection, call)
        made.addBoth(lambda _: self._dials.discard(made))
        self._watch_silence()
        return call

    def _no_connection(self, failure: Failure, call: _Call) -> None:
        call.end(f"no connection: {failure.value!r}")

    def _watch_silence(self) -> None:
        if self._check is not None and self._check.active():
            self._check.cancel()
        self._check = None
        if self._calls and not self._closed:
            due = min(call.due_us for call in self._calls)
            self._check = self._clock.call_later(max(LOOK_US, due - self.now()), self._look)

    def _look(self) -> None:
        """Silence on a connection that stays open is all there is to see of a machine that vanished."""
        self._check = None
        now = self.now()
        for call in list(self._calls):
            # After a standstill of ours what came meanwhile may not have been read yet.
            if now >= call.due_us and not (call.transport is not None and unread(call.link)):
                call.end("silent")
        self._watch_silence()

    def answered(self, follow: bool) -> None:
        self.up = self.up or (follow and not self._pushed)

    def heard(self, data: Any, since: int = 0) -> int:
        """Take a list, or what has changed after ``since``; its revision."""
        version, full, nodes, lines = read_list(data, self._zones, self._kinds)
        self.up = True
        if since <= version < self._version:
            return version  # another call overtook this one
        # A watch comes in order.  Where its revision goes back, discovery has lost its own and counts anew:
        # the change counts, and what changed before it is not known.
        anew = version < since and not full
        self._version = 0 if anew else version
        self._remember(data, full)
        self._listed(lines, full)
        self._tell(EndpointList(EndpointListKind.FULL if full else EndpointListKind.CHANGES, tuple(nodes)))
        if anew:
            raise BadList("its revisions begin anew: the full list is asked for")
        return version

    def call_ended(self, call: _Call, why: str) -> None:
        self._calls.discard(call)
        if call is self._watching:
            self._watching = None
        if why and not self._closed:
            self._log.warning("discovery_failed", why=why, watch=call.follow)
            if self._pushed and call.follow:
                self._retry = self._clock.call_later(self._again_us, lambda: self.watch(self._wanted))
            else:
                if self.now() - call.begun_us >= LONG_US:
                    self._tell(
                        EndpointList(EndpointListKind.CHANGES, ())
                    )  # counts failures from the first again
                self._tell(EndpointList(EndpointListKind.FAILED))

    def close(self) -> None:
        self._closed = True
        if self._check is not None and self._check.active():
            self._check.cancel()
        for made in list(self._dials):
            made.cancel()
        for call in list(self._calls):
            call.end("")
