"""A small stand-in for a gateway, with books of its own that check the seven rules."""

from __future__ import annotations

import zlib
from collections import defaultdict, deque
from collections.abc import Iterable
from typing import Any

from marllift import interface as api
from marllift.decide import Gateway
from marllift.interface import Effect, Group, NodeMode, Result

SEC = 1_000_000
MAYBE_RAN = {Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED}
MAYBE_RUNS = {Result.TIMEOUT, Result.RESET, Result.CANCELLED}


def node_id(number: int) -> bytes:
    return bytes([10, 0, 0, number, 0, 80])


def settings(**changes: Any) -> api.Settings:
    given: dict[str, Any] = dict(
        classes=(
            api.RequestClass("get", 200_000, 1_000_000, 2.0, 0.1),
            api.RequestClass(
                "add", 300_000, 1_500_000, 2.0, 0.1, Effect.KEYED, Group.SHARD, 1_200_000, True, True
            ),
            api.RequestClass("once", 400_000, 2_000_000, 1.0, 0.1, Effect.UNSAFE, ordered=True),
        ),
        plans=(api.Plan("small", 8.0, 4.0), api.Plan("capped", 8.0, 4.0, 2.0, 1.5, 20.0, 24.0, 2.0)),
        gateways=2, tick_us=1000, answer_slack_us=30_000, drain_grace_us=SEC, fall_us=2 * SEC,
        fall_multiple=3.0, cold_share=0.2, warm_after_us=10 * SEC, cold_units=24.0, quiet_us=100_000,
        budget_free=2.0, budget_share=0.2, budget_window_us=5 * SEC, mean_units=2.0, most_units=6.0,
        share_worth=0.35, spare_worth=0.1, may_cancel=True, max_attempts=3,
    )  # fmt: skip
    given.update(changes)
    return api.Settings(**given)


class Driver:
    """Feeds one gateway and checks each action against the rules, by its own bookkeeping."""

    def __init__(self, given: api.Settings, nodes: int = 2, now: int = 50 * SEC) -> None:
        self.given, self.now, self.born = given, now, now
        self.gateway = Gateway(given, 7, now)
        self.timers: list[tuple[int, int]] = []
        self.open: dict[int, api.Request] = {}
        self.seen: dict[int, api.Request] = {}
        self.out: dict[tuple[int, int], tuple[bytes, int]] = {}
        self.tries: dict[int, int] = defaultdict(int)
        self.answers: dict[int, api.Action] = {}
        self.risky: dict[int, tuple[int, int]] = {}  # request: (sent at, shard)
        self.modes: dict[bytes, tuple[NodeMode, int, int, int]] = {}  # mode, told at, shard, started
        self.away: set[bytes] = set()  # in maintenance
        self.order: dict[int, deque[int]] = defaultdict(deque)
        self.rest: dict[int, tuple[int, int]] = {}  # key: (until, request that may go on)
        self.took: list[int] = []
        self.extra: list[int] = []
        self.store: dict[int, tuple[float, int]] = {}
        self.load: dict[bytes, list[tuple[int, float]]] = defaultdict(list)
        self.worked: dict[bytes, list[tuple[int, float]]] = defaultdict(list)
        self.sends: list[api.Send] = []
        self.last: list[api.Action] = []
        self.next_id = 1
        if nodes:
            self.list_nodes([(n, NodeMode.READY, 0) for n in range(nodes)], api.ListKind.CACHED)

    # -- events --

    def feed(self, *events: api.Event) -> list[api.Action]:
        for event in events:
            if isinstance(event, api.Request):
                self.open[event.request] = self.seen[event.request] = event
                self.took.append(self.now)
                if self.spec(event).ordered and event.key:
                    self.order[event.key].append(event.request)
        self.last = self.gateway.handle(self.now, list(events))
        for action in self.last:
            self.check(action)
        return self.last

    def list_nodes(
        self, lines: Iterable[tuple[int, NodeMode, int]], kind: api.ListKind = api.ListKind.CHANGES
    ) -> None:
        lines = list(lines)
        named = {node_id(n) for n, _, _ in lines}
        if kind is not api.ListKind.CHANGES:
            for node, (mode, told, shard, started) in self.modes.items():
                if node not in named and mode is NodeMode.READY:
                    self.modes[node] = (NodeMode.GONE, self.now, shard, started)
                elif node not in named:
                    self.modes[node] = (mode, told, shard, started)
        for n, mode, started in lines:
            self.modes[node_id(n)] = (mode, self.now, n % 8, started)
        self.feed(
            api.NodeList(kind, tuple(api.Node(node_id(n), n % 8, mode, 0, 0, 1.0, s) for n, mode, s in lines))
        )

    def retune(self, given: api.Settings) -> None:
        self.given = given
        self.feed(api.Retune(given))

    @staticmethod
    def spec(request: api.Request) -> api.RequestClass:
        """Its class by the settings that it was taken under."""
        assert request.terms is not None
        return request.terms.classes[request.kind]

    def maintain(self, number: int, on: bool) -> None:
        node = node_id(number)
        if not on and node in self.away and node in self.modes:
            mode, told, shard, _ = self.modes[node]
            self.modes[node] = (mode, told, shard, self.now)  # it restarted, at the latest now
        (self.away.add if on else self.away.discard)(node)
        self.feed(api.Maintenance(node, on))

    def ask(self, kind: int = 0, shard: int = 0, give_up: int | None = None, **more: Any) -> int:
        number = self.next_id
        self.next_id += 1
        limit = self.given.classes[kind].deadline_us if give_up is None else give_up
        self.feed(api.Request(number, kind, self.now + limit, shard, terms=self.given, **more))
        return number

    def answer(self, key: tuple[int, int], result: Result = Result.SERVED) -> list[api.Action]:
        node, sent = self.out.pop(key)
        request = self.seen[key[0]]
        final = result is Result.SERVED or key[0] not in self.open
        if result is Result.SERVED:
            self.worked[node].append((sent, request.units))
        if result in MAYBE_RAN and key[0] not in self.risky:
            self.risky[key[0]] = (sent, self.modes[node][2])
        if result in MAYBE_RUNS and self.spec(request).ordered and request.key:
            self.rest[request.key] = (self.now + self.given.quiet_us, key[0])
        if final:
            self.finish(key[0])
        return self.feed(api.Outcome(key[0], key[1], node, result, self.now - sent, final))

    def gone(self, number: int) -> None:
        self.finish(number)
        self.feed(api.ClientGone(number))

    def pass_time(self, span: int) -> None:
        end = self.now + span
        while True:
            due = min((at for at, _ in self.timers), default=end)
            late = min((self.open[n].give_up_us for n, _ in self.out if n in self.open), default=end)
            at = min(due, late)
            if at > end:
                break
            self.now = max(self.now, at)
            ringing = [t for t in self.timers if t[0] <= self.now]
            expired = [k for k in self.out if k[0] in self.open and self.open[k[0]].give_up_us <= self.now]
            if not ringing and not expired:
                break
            self.timers = [t for t in self.timers if t[0] > self.now]
            for key in expired:
                self.answer(key, Result.TIMEOUT)
            self.feed(*(api.TimerFired(token) for _, token in ringing))
        self.now = end
        for number, request in self.open.items():
            assert self.now <= request.give_up_us + self.given.answer_slack_us, f"request {number} overdue"

    # -- rules --

    def finish(self, number: int) -> None:
        self.open.pop(number, None)
        request = self.seen[number]
        if self.spec(request).ordered and request.key:
            queue = self.order[request.key]
            if number in queue:
                queue.remove(number)

    def check(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            assert action.at_us > self.now
            self.timers.append((action.at_us, action.token))
        elif isinstance(action, api.Send):
            self.check_send(action)
        elif isinstance(action, (api.Refuse, api.Fail)):
            number = action.request
            assert number in self.open, "rule 1: answered twice, or not ours"
            spec = self.spec(self.seen[number])
            if isinstance(action, api.Refuse) and spec.effect is not Effect.SAFE:
                risk = number in self.risky or any(k[0] == number for k in self.out)
                free = spec.effect is Effect.KEYED and spec.group is Group.ALL
                assert free or not risk, "rule 2: refused what may have run"
            self.answers[number] = action
            self.finish(number)

    def check_send(self, action: api.Send) -> None:
        number, request = action.request, self.seen[action.request]
        assert request.terms is not None
        spec, plan = self.spec(request), request.terms.plans[request.plan]
        assert self.tries[number] < request.terms.max_attempts, "more attempts than it was taken under"
        assert number in self.open, "rule 1: sent after its end"
        mode, told, shard, started = self.modes[action.node]
        late = self.now > told + self.given.drain_grace_us
        assert mode is NodeMode.READY or not late, "rule 3: sent to a drained node"
        assert action.node not in self.away, "sent to a node in maintenance"
        assert request.shard < 0 or request.shard == shard, "sent to another shard"
        assert not any(k[0] == number for k in self.out), "two attempts at once"
        if number in self.risky:
            sent, first = self.risky[number]
            assert spec.effect is not Effect.UNSAFE, "rule 2: unsafe sent again"
            if spec.effect is Effect.KEYED:
                assert self.now <= sent + spec.repeat_window_us, "rule 2: sent after the window"
                assert spec.group is not Group.SHARD or shard == first, "rule 2: sent out of its group"
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
            if span := self.given.budget_window_us:
                more = sum(at >= self.now - span for at in self.extra)
                base = sum(at > self.now - span for at in self.took)
                allowed = self.given.budget_free + self.given.budget_share * base
                assert more <= allowed, "rule 6: over budget"
        elif plan.limit:
            # An earlier life of this gateway may have spent all of its part.
            store, at = self.store.get(request.volume, (0.0, self.born))
            part = 1 / request.mounts
            filled = min(plan.limit_burst * part, store + (self.now - at) / SEC * plan.limit * part)
            self.store[request.volume] = (filled - request.units, self.now)
            assert filled - request.units >= -plan.limit_slack * part - 1e-6, "rule 7: over the limit"
        if self.given.fall_us and started and self.now < started + self.given.warm_after_us:
            self.load[action.node].append((self.now, request.units))
            sent_units = sum(u for at, u in self.load[action.node] if at >= self.now - self.given.fall_us)
            new = self.now - self.born <= self.given.fall_us
            assert not (new and started <= self.born), "rule 4: an earlier life may have spent it"
            low, age = self.given.cold_share, max(0, self.now - started) / self.given.warm_after_us
            part = self.given.cold_units / self.given.gateways * (low + (1 - low) * age) / low
            idle = sent_units - sum(
                u for at, u in self.worked[action.node] if at >= self.now - self.given.fall_us
            )
            spare = part * (1 - 1 / self.given.fall_multiple)
            kept = sent_units <= part + 1e-6 or idle <= spare + 1e-6
            root = (self.given.cold_units / self.given.mean_units) ** 0.5 + 1
            quantum = min(2.0, root) * self.given.mean_units
            if not self.given.may_tell and spare < quantum:  # docs/fleet.md, "The ramp"
                pace = root * self.given.mean_units / quantum / self.given.fall_us
                place = (self.given.me + zlib.crc32(action.node) - self.now * pace) % self.given.gateways
                kept = place < spare * self.given.gateways / quantum and idle <= quantum + 1e-6
            assert kept, "rule 4: a cold node gets more than it bears beyond what it serves"
        self.out[(number, self.tries[number])] = (action.node, self.now)
        self.tries[number] += 1
        self.sends.append(action)
