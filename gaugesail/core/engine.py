"""The engine: owns open requests, attempts and deadlines, and carries out what the module decides.

It knows no wire.  Events are gathered and given to the module once a tick; its actions are carried out
in order.  Held here whatever the module says: one final answer a request, one attempt out, the cap on
attempts, nothing sent after the end, and an answer while the client still waits.
"""

from __future__ import annotations

import heapq
from collections import Counter, OrderedDict
from dataclasses import dataclass
from typing import Any

from gaugesail.policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    PollEndpoints,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from gaugesail.policy.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    EndpointList,
    EndpointState,
    Event,
    HealthCheckEnded,
    MaintenanceChanged,
    QuotaChanged,
    RequestReceived,
    SettingsChanged,
    SiblingProcessChanged,
    TimerFired,
)
from gaugesail.policy.gateway import Gateway
from gaugesail.policy.settings import NodeId, Settings

from .ports import Attempt, Call, Clock, Discovery, Logger, NodeTransport, Order, Reply, Sink, Source
from .rules import Breach, Denial, RuleMonitor, deny_send, deny_start
from .trace import Step, Trace

MOST_IDS = 10_000  # of nodes that a list has ever named
GUARD_US = 4_000  # the last answer leaves this long before the client's time is up
ANY_DELAY_US = 10 * 60 * 1_000_000


@dataclass(slots=True, eq=False)
class _Open:
    """A request that is owed its final answer."""

    ticket: int
    order: Order
    reply: Reply
    give_up_us: int
    attempts: int = 0
    out: Attempt | None = None
    latest: AttemptResult | None = None  # of its attempts


class Engine:
    """One head's requests, between the fronts, the module and the nodes."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        transport: NodeTransport,
        discovery: Discovery,
        log: Logger,
        max_open: int = 4096,
    ) -> None:
        self.settings, self._clock, self._log = settings, clock, log
        self._transport, self._discovery = transport, discovery
        self._gateway = Gateway(settings, seed, clock.now_us())
        self._max_open = max_open
        self._open: dict[int, _Open] = {}
        self._out: dict[tuple[int, int], Attempt] = {}
        self._names: dict[str, int] = {}  # of what is open or still out
        self._events: list[Event] = []
        self._flush: Call | None = None
        self._fresh: list[RequestReceived] = []  # taken since the last look at the sockets
        self._looking: list[RequestReceived] = []  # taken before it: it comes now
        self._look: Call | None = None
        self._heap: list[tuple[int, int, int, Any]] = []  # at, order made, what, whose
        self._made = 0
        self._wake: Call | None = None
        self._wake_at = 0
        self._next_ticket = 1
        self._busy = False
        self.counts: Counter[str] = Counter()
        self.trace = Trace()
        self.rules = RuleMonitor(settings.drain_grace_us, log, self.trace)
        self.away: set[NodeId] = set()  # in maintenance
        self._seen: OrderedDict[NodeId, None] = OrderedDict()
        self.ready = self.ended = False

    @property
    def idle(self) -> bool:
        """Nothing is owed to any client."""
        return not self._open

    @property
    def open_requests(self) -> int:
        return len(self._open)

    @property
    def refusals(self) -> Counter[str]:
        """The module's refusals since its start, as ``refused_<why>_<node>``: the guard, and whether the
        shard's node was ``none``, ``cold`` or ``warm`` (docs/fleet.md).  Fails of unsafe classes count too.
        """
        return self._gateway.recovery.rejections

    @property
    def attempts_out(self) -> int:
        return len(self._out)

    def start(self, known: EndpointList) -> None:
        """Set the module up with the list as it was last known."""
        self.ready = True
        self.listed(known)

    # ---- from the fronts ----

    def take(self, order: Order, reply: Reply, received_us: int | None = None) -> int:
        """Take a request; its final answer comes through ``reply``, never from inside this call."""
        now = self._clock.now_us() if received_us is None else received_us
        ticket, self._next_ticket = self._next_ticket, self._next_ticket + 1
        # An id whose earlier attempt may still be out must not go out again: that would be a second copy.
        # It is the new one's error: whoever sent the first neither hears of it nor loses anything.
        if order.name in self._names:
            self.counts["id_in_use"] += 1
            self._note(order.name, Step.TURNED_AWAY, "id in use")
            self._clock.call_later(0, lambda: reply.failed("id in use"))
            return 0
        if len(self._open) >= self._max_open or self.ended:
            self.counts["refused_at_door"] += 1
            self._note(order.name, Step.TURNED_AWAY, "ending" if self.ended else "too many open")
            self._clock.call_later(0, lambda: reply.refused(order.terms.longest_retry_after_us))
            return 0
        entry = _Open(ticket, order, reply, now + order.timeout_us)
        self._open[ticket] = entry
        self._names[order.name] = ticket
        self.counts["taken"] += 1
        self._note(order.name, Step.TAKEN, f"{order.timeout_us // 1000} ms")
        self._at(entry.give_up_us - GUARD_US, _DEADLINE, ticket)
        self._feed(
            RequestReceived(
                ticket, order.kind, entry.give_up_us, order.shard, order.plan, order.units, order.key,
                order.volume, order.mounts, order.again, order.terms, now,
            )
        )  # fmt: skip
        return ticket

    def stage(self, order: Order, source: Source) -> Sink | None:
        """A large request that has not come whole is written to where it will run, short of its end.

        It is taken when it is whole, and runs when the module sends it; None where it can go nowhere.
        """
        node = self._gateway.node_of(order.shard)
        if node is None or node in self.away:
            return None
        return self._transport.stage(node, order, source)

    def client_gone(self, ticket: int) -> None:
        """The client left; what it has out goes on and reports to the module alone.

        What is still being written does not: a node counts an attempt from its last byte.
        """
        entry = self._open.get(ticket)
        if entry is not None:
            self._close(entry)
            self.counts["gone"] += 1
            self._note(entry.order.name, Step.CLIENT_LEFT)
            self._feed(ClientDisconnected(ticket))
            if entry.out is not None:
                self._withdraw(entry.out)

    # ---- from the transport and discovery ----

    def listed(self, news: EndpointList) -> None:
        """News of the list goes to the module at once: the drain rule's time runs."""
        now = self._clock.now_us()
        self.rules.listed(news, now)
        for line in news.endpoints:
            if line.state is not EndpointState.READY or line.node_id not in self._seen:
                self._note(line.node_id.decode(errors="replace"), Step.LISTED, line.state.name.lower())
            self._seen[line.node_id] = None
            self._seen.move_to_end(line.node_id)
        while len(self._seen) > MOST_IDS:  # on a long day bricks come and go by the thousand
            self._seen.popitem(last=False)
        self._events.append(news)
        self._run()

    def has_seen(self, node: NodeId) -> bool:
        """Whether a list has ever named this node."""
        return node in self._seen or node in self.away

    @property
    def seen(self) -> list[NodeId]:
        return list(self._seen)

    def recall(self, nodes: list[NodeId]) -> None:
        """What lists have named to the process before this one."""
        self._seen.update((node, None) for node in nodes[-MOST_IDS:])

    def retune(self, settings: Settings) -> None:
        """Other settings for what is taken from now on."""
        self.settings = settings
        self.rules.grace_us = settings.drain_grace_us
        self._events.append(SettingsChanged(settings))
        self._run()

    def share(self, event: QuotaChanged) -> None:
        """What the fleet lets this head spend from now on."""
        self._events.append(event)
        self._run()

    def wants(self) -> list[tuple[str, int, float, float, float]]:
        """Plan, volume, units asked for and sent since the last call, and units saved up, of each volume
        under a limit that was asked for."""
        return self._gateway.rate_limits.take_demand(self._clock.now_us())

    def overlap(self, on: bool) -> None:
        """Another process of this head works beside this one."""
        self._events.append(SiblingProcessChanged(on))
        self._run()

    def end_all(self) -> None:
        """The process is about to be killed: what is still owed is answered now, and what comes at once."""
        self.ended = True
        for ticket in list(self._open):
            self.counts["overdue"] += 1
            self._fail(ticket, "out of time")
            self._feed(ClientDisconnected(ticket))

    def maintain(self, node: NodeId, on: bool) -> None:
        """Operators take a node out, or put it back: as a drain that no list ends."""
        (self.away.add if on else self.away.discard)(node)
        self._transport.maintain(node, on)
        self._events.append(MaintenanceChanged(node, on))
        self._run()

    def probe_ended(self, node: NodeId, result: AttemptResult, elapsed_us: int) -> None:
        self._feed(HealthCheckEnded(node, result, elapsed_us))

    def attempt_began(self, attempt: Attempt, source: Source) -> Sink | None:
        """An answer is passed on from its first bytes: it is the final one, whatever becomes of the rest.

        From here on neither its deadline nor the module ends it; its id stays taken until it ends.  None
        where nobody takes it.
        """
        if attempt.done or attempt.begun:
            return None
        attempt.begun = True
        entry = self._open.get(attempt.ticket)
        sink: Sink | None = None
        self._note(attempt.name, Step.STREAMED)
        if entry is not None:
            self._close(entry)
            self.counts["served"] += 1
            sink = self._tell(entry, "begins", source)
        self._report(attempt, AttemptResult.SERVED, True)
        return sink

    def adopt(self, attempt: Attempt) -> None:
        """An answer that another process of this head began goes on here: its id is taken until it ends."""
        attempt.begun = True
        self._names.setdefault(attempt.name, 0)

    def _report(self, attempt: Attempt, result: AttemptResult, final: bool) -> None:
        self.counts[f"attempt_{result.name.lower()}"] += 1
        elapsed = max(0, self._clock.now_us() - attempt.sent_us)
        self._feed(AttemptEnded(attempt.ticket, attempt.number, attempt.node, result, elapsed, final))

    def attempt_ended(self, attempt: Attempt, result: AttemptResult, answer: Any = None) -> None:
        """The one end of an attempt.  A second report of it is dropped, and so are its late bytes."""
        if attempt.done:
            return
        attempt.done = True
        self.rules.ended(attempt)
        self._note(attempt.name, Step.ENDED, result.name.lower())
        self._out.pop((attempt.ticket, attempt.number), None)
        if attempt.begun:
            self._names.pop(attempt.name, None)
            ends = {AttemptResult.SERVED: "streamed", AttemptResult.NOT_STARTED: "stream_moved"}
            self.counts[ends.get(result, "stream_broken")] += 1
            return
        entry = self._open.get(attempt.ticket)
        final = entry is None
        if entry is not None:
            entry.out, entry.latest = None, result
            if result is AttemptResult.SERVED:
                final = True
                self._close(entry)
                self.counts["served"] += 1
                self._tell(entry, "served", answer)
        else:
            self._names.pop(attempt.name, None)
        attempt.payload = None  # the heap may hold the attempt a while yet
        self._report(attempt, result, final)

    # ---- ticks ----

    def _feed(self, event: Event) -> None:
        if isinstance(event, RequestReceived):
            # It may have been found together with its client's end: it waits for a whole look at the sockets,
            # whatever else makes the module run before.  One look serves all that came since the last.
            self._fresh.append(event)
            if self._look is None:
                self._look = self._clock.call_later(0, self._looked)
            return
        self._events.append(event)
        if self._flush is None and not self._busy:
            self._flush = self._clock.call_later(0, self._flushed)

    def _looked(self) -> None:
        """The sockets are looked at between two calls of this."""
        seen, self._looking, self._fresh = self._looking, self._fresh, []
        self._look = self._clock.call_later(0, self._looked) if self._looking else None
        # Of what has ended meanwhile the module never hears.
        self._events += [event for event in seen if event.request_id in self._open]
        self._run()

    def _flushed(self) -> None:
        self._flush = None
        self._run()

    def _run(self) -> None:
        """Give the module what has come in, carry out what it says.  Never raises, never nests."""
        if self._busy or not self.ready:
            return  # the loop below takes what was just added, the first list what came before it
        self._busy = True
        try:
            if self._events:
                events, self._events = self._events, []
                try:
                    actions = self._gateway.handle(self._clock.now_us(), events)
                except Exception as error:  # a fault of the module must not end the head or lose requests
                    self._log.error("module_raised", error=repr(error), events=len(events))
                    self.counts["module_raised"] += 1
                    actions = [FailRequest(e.request_id) for e in events if isinstance(e, RequestReceived)]
                for action in actions:
                    try:
                        self._carry_out(action)
                    except Exception as error:  # one bad action must not take the rest with it
                        self._log.error("action_raised", action=repr(action), error=repr(error))
                        self.counts["action_raised"] += 1
        finally:
            self._busy = False
        if self._events and self._flush is None:
            self._flush = self._clock.call_later(0, self._flushed)

    def _carry_out(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._send(action)
            case SetTimer():
                self._at(action.at_us, _TIMER, action.token)
            case RejectRequest():
                if (entry := self._open.get(action.request_id)) is not None:
                    self._close(entry)
                    self.counts["refused"] += 1
                    self._tell(entry, "refused", action.retry_after_us)
            case FailRequest():
                self._fail(action.request_id, "failed")
            case CancelAttempt():
                attempt = self._out.get((action.request_id, action.attempt))
                if attempt is not None and not attempt.begun:
                    self._abort(attempt, AttemptResult.CANCELLED)
            case WatchEndpoints():
                self._discovery.watch(action.on)
            case PollEndpoints():
                self._discovery.fetch()
            case CheckHealth():
                self._transport.probe(action.node_id, self)
            case CloseIdleConnections():
                self._transport.close_idle(action.node_id)
            case WriteLog():
                told = dict(action.fields)
                self._log.info(action.event, **(told | {"text": action.text} if action.text else told))
            case SendPeerMessage():
                self._log.warning("no_peers")  # heads have no way to talk to each other

    def _send(self, action: StartAttempt) -> None:
        entry, now = self._open.get(action.request_id), self._clock.now_us()
        number, most = (0, 0) if entry is None else (entry.attempts, entry.order.terms.max_attempts)
        deadline = 0 if entry is None else entry.give_up_us - GUARD_US
        if entry is not None and action.timeout_us:
            deadline = min(deadline, now + action.timeout_us)
        out = entry is not None and entry.out is not None
        denial = deny_send(entry is None, out, number, most, deadline, action.start_before_us, now)
        if entry is None or denial is not None:
            self.counts["moot_send"] += 1
            self._denied(entry.order.name if entry is not None else "", denial)
            if entry is not None and entry.out is None:
                entry.attempts += 1
            self._feed(
                AttemptEnded(
                    action.request_id, number, action.node_id, AttemptResult.NOT_STARTED, 0, entry is None
                )
            )
            return
        order = entry.order
        attempt = Attempt(
            action.request_id, number, action.node_id, order.shard, order.name, order.payload, now, deadline,
            before_us=action.start_before_us, left=lambda: self._left(entry),
        )  # fmt: skip
        if entry.latest is not None:
            self.counts[f"again_after_{entry.latest.name.lower()}"] += 1
        entry.attempts += 1
        entry.out = attempt
        self._out[(attempt.ticket, number)] = attempt
        self.counts["sent"] += 1
        self._note(order.name, Step.SENT, f"{number} to {action.node_id.decode(errors='replace')}")
        self._at(deadline, _ATTEMPT, attempt)
        if action.node_id in self.away:  # whatever the module says: nothing new until the call back
            self.attempt_ended(attempt, AttemptResult.NO_CONNECTION)
            return
        try:
            self._transport.send(attempt, self)
        except Exception as error:  # whatever the transport meets, the attempt must end
            self._log.error("send_raised", error=repr(error))
            self._abort(attempt, AttemptResult.RESET)

    def _abort(self, attempt: Attempt, result: AttemptResult) -> None:
        """End an attempt from here: its connection is aborted before anything else may be sent.

        Where its last byte was never written, say as its connection was late, it has not run and won't.
        """
        try:
            if self._transport.abort(attempt) is False:
                result = AttemptResult.NO_CONNECTION
        except Exception as error:  # its outcome is owed all the same
            self._log.error("abort_raised", error=repr(error))
        self.attempt_ended(attempt, result)

    def _withdraw(self, attempt: Attempt) -> None:
        try:
            withdrawn = self._transport.withdraw(attempt)
        except Exception as error:  # then it goes on
            self._log.error("withdraw_raised", error=repr(error))
            return
        if withdrawn:
            self.attempt_ended(attempt, AttemptResult.NOT_STARTED)

    def _left(self, entry: _Open) -> bool:
        """Its client has gone: what the front has not read of that yet counts all the same."""
        if entry.ticket in self._open and self._tell(entry, "left"):
            self.client_gone(entry.ticket)
            return True
        return False

    # ---- the rules ----

    def _note(self, subject: str, step: Step, detail: str = "") -> None:
        self.trace.note(self._clock.now_us(), subject, step, detail)

    def _denied(self, request: str, denial: Denial | None) -> None:
        if denial is not None:
            self.counts[f"denied_{denial.value}"] += 1
            self._note(request, Step.DENIED, denial.value)

    def may_start(self, attempt: Attempt) -> bool:
        """Asked by the transport right before the first byte of an attempt."""
        denial = deny_start(attempt, self._clock.now_us())
        self._denied(attempt.name, denial)
        return denial is None

    def attempt_started(self, attempt: Attempt) -> None:
        """Its first byte leaves."""
        self._note(attempt.name, Step.STARTED)
        self.rules.began(attempt, self._clock.now_us())

    def closed_unanswered(self, ticket: int) -> None:
        """A front has closed a client's connection with this request in hand."""
        if (entry := self._open.get(ticket)) is not None:
            self.rules.broke(Breach.CLOSED_UNANSWERED, entry.order.name)

    # ---- final answers ----

    def _close(self, entry: _Open) -> None:
        del self._open[entry.ticket]
        if entry.out is None:
            self._names.pop(entry.order.name, None)
        else:
            entry.out.over = True

    def _fail(self, ticket: int, reason: str) -> None:
        if (entry := self._open.get(ticket)) is not None:
            self._close(entry)
            self.counts["failed"] += 1
            self._tell(entry, "failed", reason)

    def _tell(self, entry: _Open, how: str, *what: Any) -> Any:
        if how != "left":
            self._note(entry.order.name, Step.ANSWERED, how)
        try:
            return getattr(entry.reply, how)(*what)
        except Exception as error:  # a front's fault stays with its one client
            self._log.error("reply_raised", error=repr(error))
            self.counts["reply_raised"] += 1
            return None

    # ---- one heap, one call of the reactor ----

    def _at(self, at_us: int, what: int, whose: Any) -> None:
        self._made += 1
        heapq.heappush(self._heap, (at_us, self._made, what, whose))
        if self._wake is None or at_us < self._wake_at:
            self._schedule()

    def _schedule(self) -> None:
        if self._wake is not None and self._wake.active():
            self._wake.cancel()
        self._wake = None
        if self._heap:
            self._wake_at = self._heap[0][0]
            delay = min(ANY_DELAY_US, self._wake_at - self._clock.now_us())
            self._wake = self._clock.call_later(delay, self._due)

    def _due(self) -> None:
        self._wake = None
        now, over = self._clock.now_us(), []
        while self._heap and self._heap[0][0] <= now:
            _, _, what, whose = heapq.heappop(self._heap)
            if what == _TIMER:
                self._events.append(TimerFired(whose))
            elif what == _ATTEMPT:
                if not (whose.done or whose.begun):
                    self._abort(whose, AttemptResult.TIMEOUT)
            elif whose in self._open:
                over.append(whose)
        self._run()
        for ticket in over:
            # The module had its say; a request still open now would outlive its client.
            if ticket in self._open:
                self.counts["overdue"] += 1
                self._fail(ticket, "out of time")
                self._feed(ClientDisconnected(ticket))
        if self._wake is None:
            self._schedule()


_TIMER, _ATTEMPT, _DEADLINE = 0, 1, 2
