"""A small stand-in for a gateway, with books of its own that check the seven rules."""

from __future__ import annotations

import zlib
from collections import defaultdict, deque
from collections.abc import Iterable
from typing import Any

from gaugesail.policy.actions import Action, FailRequest, RejectRequest, SetTimer, StartAttempt
from gaugesail.policy.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Event,
    MaintenanceChanged,
    RequestReceived,
    SettingsChanged,
    TimerFired,
)
from gaugesail.policy.gateway import Gateway
from gaugesail.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

SEC = 1_000_000
MAYBE_RAN = {AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED}
MAYBE_RUNS = {AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED}


def node_id(number: int) -> bytes:
    return bytes([10, 0, 0, number, 0, 80])


def settings(**changes: Any) -> Settings:
    given: dict[str, Any] = dict(
        classes=(
            RequestClass("get", 200_000, 1_000_000, 2.0, 0.1),
            RequestClass(
                "add",
                300_000,
                1_500_000,
                2.0,
                0.1,
                Idempotency.KEYED,
                DeduplicationScope.SHARD,
                1_200_000,
                True,
                True,
            ),
            RequestClass("once", 400_000, 2_000_000, 1.0, 0.1, Idempotency.NOT_IDEMPOTENT, ordered=True),
        ),
        plans=(Plan("small", 8.0, 4.0), Plan("capped", 8.0, 4.0, 2.0, 1.5, 20.0, 24.0, 2.0)),
        gateway_count=2,
        tick_us=1000,
        answer_slack_us=30_000,
        drain_grace_us=SEC,
        overload_window_us=2 * SEC,
        overload_factor=3.0,
        initial_capacity_share=0.2,
        warm_up_us=10 * SEC,
        initial_capacity_units=24.0,
        ordered_key_pause_us=100_000,
        retry_budget_free=2.0,
        retry_budget_share=0.2,
        retry_budget_window_us=5 * SEC,
        mean_request_units=2.0,
        max_request_units=6.0,
        fair_share_weight=0.35,
        beyond_share_weight=0.1,
        cancel_allowed=True,
        max_attempts=3,
    )
    given.update(changes)
    return Settings(**given)


class Driver:
    """Feeds one gateway and checks each action against the rules, by its own bookkeeping."""

    def __init__(self, given: Settings, nodes: int = 2, now: int = 50 * SEC) -> None:
        self.given, self.now, self.born = given, now, now
        self.gateway = Gateway(given, 7, now)
        self.timers: list[tuple[int, int]] = []
        self.open: dict[int, RequestReceived] = {}
        self.seen: dict[int, RequestReceived] = {}
        self.out: dict[tuple[int, int], tuple[bytes, int]] = {}
        self.tries: dict[int, int] = defaultdict(int)
        self.answers: dict[int, Action] = {}
        self.risky: dict[int, tuple[int, int]] = {}  # request: (sent at, shard)
        self.modes: dict[bytes, tuple[EndpointState, int, int, int]] = {}  # mode, told at, shard, started
        self.away: set[bytes] = set()  # in maintenance
        self.order: dict[int, deque[int]] = defaultdict(deque)
        self.rest: dict[int, tuple[int, int]] = {}  # key: (until, request that may go on)
        self.took: list[int] = []
        self.extra: list[int] = []
        self.store: dict[int, tuple[float, int]] = {}
        self.load: dict[bytes, list[tuple[int, float]]] = defaultdict(list)
        self.worked: dict[bytes, list[tuple[int, float]]] = defaultdict(list)
        self.sends: list[StartAttempt] = []
        self.last: list[Action] = []
        self.next_id = 1
        if nodes:
            self.list_nodes([(n, EndpointState.READY, 0) for n in range(nodes)], EndpointListKind.CACHED)

    # -- events --

    def feed(self, *events: Event) -> list[Action]:
        for event in events:
            if isinstance(event, RequestReceived):
                self.open[event.request_id] = self.seen[event.request_id] = event
                self.took.append(self.now)
                if self.spec(event).ordered and event.key:
                    self.order[event.key].append(event.request_id)
        self.last = self.gateway.handle(self.now, list(events))
        for action in self.last:
            self.check(action)
        return self.last

    def list_nodes(
        self,
        lines: Iterable[tuple[int, EndpointState, int]],
        kind: EndpointListKind = EndpointListKind.CHANGES,
    ) -> None:
        lines = list(lines)
        named = {node_id(n) for n, _, _ in lines}
        if kind is not EndpointListKind.CHANGES:
            for node, (mode, told, shard, started) in self.modes.items():
                if node not in named and mode is EndpointState.READY:
                    self.modes[node] = (EndpointState.GONE, self.now, shard, started)
                elif node not in named:
                    self.modes[node] = (mode, told, shard, started)
        for n, mode, started in lines:
            self.modes[node_id(n)] = (mode, self.now, n % 8, started)
        self.feed(
            EndpointList(kind, tuple(Endpoint(node_id(n), n % 8, mode, 0, 0, 1.0, s) for n, mode, s in lines))
        )

    def retune(self, given: Settings) -> None:
        self.given = given
        self.feed(SettingsChanged(given))

    @staticmethod
    def spec(request: RequestReceived) -> RequestClass:
        """Its class by the settings that it was taken under."""
        assert request.settings is not None
        return request.settings.classes[request.class_index]

    def maintain(self, number: int, on: bool) -> None:
        node = node_id(number)
        if not on and node in self.away and node in self.modes:
            mode, told, shard, _ = self.modes[node]
            self.modes[node] = (mode, told, shard, self.now)  # it restarted, at the latest now
        (self.away.add if on else self.away.discard)(node)
        self.feed(MaintenanceChanged(node, on))

    def ask(self, kind: int = 0, shard: int = 0, give_up: int | None = None, **more: Any) -> int:
        number = self.next_id
        self.next_id += 1
        limit = self.given.classes[kind].deadline_us if give_up is None else give_up
        self.feed(RequestReceived(number, kind, self.now + limit, shard, settings=self.given, **more))
        return number

    def answer(self, key: tuple[int, int], result: AttemptResult = AttemptResult.SERVED) -> list[Action]:
        node, sent = self.out.pop(key)
        request = self.seen[key[0]]
        final = result is AttemptResult.SERVED or key[0] not in self.open
        if result is AttemptResult.SERVED:
            self.worked[node].append((sent, request.units))
        if result in MAYBE_RAN and key[0] not in self.risky:
            self.risky[key[0]] = (sent, self.modes[node][2])
        if result in MAYBE_RUNS and self.spec(request).ordered and request.key:
            self.rest[request.key] = (self.now + self.given.ordered_key_pause_us, key[0])
        if final:
            self.finish(key[0])
        return self.feed(AttemptEnded(key[0], key[1], node, result, self.now - sent, final))

    def gone(self, number: int) -> None:
        self.finish(number)
        self.feed(ClientDisconnected(number))

    def pass_time(self, span: int) -> None:
        end = self.now + span
        while True:
            due = min((at for at, _ in self.timers), default=end)
            late = min((self.open[n].deadline_us for n, _ in self.out if n in self.open), default=end)
            at = min(due, late)
            if at > end:
                break
            self.now = max(self.now, at)
            ringing = [t for t in self.timers if t[0] <= self.now]
            expired = [k for k in self.out if k[0] in self.open and self.open[k[0]].deadline_us <= self.now]
            if not ringing and not expired:
                break
            self.timers = [t for t in self.timers if t[0] > self.now]
            for key in expired:
                self.answer(key, AttemptResult.TIMEOUT)
            self.feed(*(TimerFired(token) for _, token in ringing))
        self.now = end
        for number, request in self.open.items():
            assert self.now <= request.deadline_us + self.given.answer_slack_us, f"request {number} overdue"

    # -- rules --

    def finish(self, number: int) -> None:
        self.open.pop(number, None)
        request = self.seen[number]
        if self.spec(request).ordered and request.key:
            queue = self.order[request.key]
            if number in queue:
                queue.remove(number)

    def check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert action.at_us > self.now
            self.timers.append((action.at_us, action.token))
        elif isinstance(action, StartAttempt):
            self.check_send(action)
        elif isinstance(action, (RejectRequest, FailRequest)):
            number = action.request_id
            assert number in self.open, "rule 1: answered twice, or not ours"
            spec = self.spec(self.seen[number])
            if isinstance(action, RejectRequest) and spec.idempotency is not Idempotency.IDEMPOTENT:
                risk = number in self.risky or any(k[0] == number for k in self.out)
                free = (
                    spec.idempotency is Idempotency.KEYED
                    and spec.deduplication_scope is DeduplicationScope.ALL
                )
                assert free or not risk, "rule 2: refused what may have run"
            self.answers[number] = action
            self.finish(number)

    def check_send(self, action: StartAttempt) -> None:
        number, request = action.request_id, self.seen[action.request_id]
        assert request.settings is not None
        spec, plan = self.spec(request), request.settings.plans[request.plan_index]
        assert self.tries[number] < request.settings.max_attempts, "more attempts than it was taken under"
        assert number in self.open, "rule 1: sent after its end"
        mode, told, shard, started = self.modes[action.node_id]
        late = self.now > told + self.given.drain_grace_us
        assert mode is EndpointState.READY or not late, "rule 3: sent to a drained node"
        assert action.node_id not in self.away, "sent to a node in maintenance"
        assert request.shard < 0 or request.shard == shard, "sent to another shard"
        assert not any(k[0] == number for k in self.out), "two attempts at once"
        if number in self.risky:
            sent, first = self.risky[number]
            assert spec.idempotency is not Idempotency.NOT_IDEMPOTENT, "rule 2: unsafe sent again"
            if spec.idempotency is Idempotency.KEYED:
                assert self.now <= sent + spec.deduplication_window_us, "rule 2: sent after the window"
                assert spec.deduplication_scope is not DeduplicationScope.SHARD or shard == first, (
                    "rule 2: sent out of its group"
                )
        if spec.ordered and request.key:
            queue = self.order[request.key]
            assert queue[0] == number, "rule 5: out of turn"
            for other, _ in self.out:
                taken = self.seen[other]
                ordered = self.spec(taken).ordered and taken.key == request.key
                assert not ordered, "rule 5: an earlier attempt is out"
            until, own = self.rest.get(request.key, (0, number))
            assert self.now >= until or own == number, "rule 5: the key rests"
        if self.tries[number]:
            self.extra.append(self.now)
            if span := self.given.retry_budget_window_us:
                more = sum(at >= self.now - span for at in self.extra)
                base = sum(at > self.now - span for at in self.took)
                allowed = self.given.retry_budget_free + self.given.retry_budget_share * base
                assert more <= allowed, "rule 6: over budget"
        elif plan.limit:
            # An earlier life of this gateway may have spent all of its part.
            store, at = self.store.get(request.volume_id, (0.0, self.born))
            part = 1 / request.gateways_in_use
            filled = min(plan.limit_burst * part, store + (self.now - at) / SEC * plan.limit * part)
            self.store[request.volume_id] = (filled - request.units, self.now)
            assert filled - request.units >= -plan.limit_slack * part - 1e-6, "rule 7: over the limit"
        if self.given.overload_window_us and started and self.now < started + self.given.warm_up_us:
            self.load[action.node_id].append((self.now, request.units))
            sent_units = sum(
                u for at, u in self.load[action.node_id] if at >= self.now - self.given.overload_window_us
            )
            new = self.now - self.born <= self.given.overload_window_us
            assert not (new and started <= self.born), "rule 4: an earlier life may have spent it"
            low, age = self.given.initial_capacity_share, max(0, self.now - started) / self.given.warm_up_us
            part = (
                self.given.initial_capacity_units / self.given.gateway_count * (low + (1 - low) * age) / low
            )
            idle = sent_units - sum(
                u for at, u in self.worked[action.node_id] if at >= self.now - self.given.overload_window_us
            )
            spare = part * (1 - 1 / self.given.overload_factor)
            kept = sent_units <= part + 1e-6 or idle <= spare + 1e-6
            root = (self.given.initial_capacity_units / self.given.mean_request_units) ** 0.5 + 1
            quantum = min(2.0, root) * self.given.mean_request_units
            if not self.given.peer_messages_allowed and spare < quantum:  # docs/fleet.md, "The ramp"
                pace = root * self.given.mean_request_units / quantum / self.given.overload_window_us
                place = (
                    self.given.gateway_index + zlib.crc32(action.node_id) - self.now * pace
                ) % self.given.gateway_count
                kept = place < spare * self.given.gateway_count / quantum and idle <= quantum + 1e-6
            assert kept, "rule 4: a cold node gets more than it bears beyond what it serves"
        self.out[(number, self.tries[number])] = (action.node_id, self.now)
        self.tries[number] += 1
        self.sends.append(action)
