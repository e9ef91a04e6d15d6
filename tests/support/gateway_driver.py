"""A driver that feeds events to one gateway and checks each of its actions against the rules.

It keeps its own records.  The numbers of the rules are those of the operators' protocol.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass
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

from . import slow_start_rule
from .slow_start_rule import UnitsLog

SEC = 1_000_000
POSSIBLY_EXECUTED = {AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED}
POSSIBLY_RUNNING = {AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED}


CLASSES = (
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
)
PLANS = (Plan("small", 8.0, 4.0), Plan("capped", 8.0, 4.0, 2.0, 1.5, 20.0, 24.0, 2.0))


def node_id(number: int) -> bytes:
    """Return the id of a node by its number."""
    return bytes([10, 0, 0, number, 0, 80])


def settings(**changes: Any) -> Settings:
    """Return settings with three classes and two plans, one of which has a limit, with ``changes``."""
    values: dict[str, Any] = dict(
        classes=CLASSES,
        plans=PLANS,
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
    values.update(changes)
    return Settings(**values)


@dataclass
class EndpointRecord:
    """The latest state of a node in the endpoint list; times are microseconds."""

    state: EndpointState
    changed_at: int
    shard: int
    started_at: int


class Driver:
    """Feeds events to one gateway and checks each of its actions against the rules."""

    def __init__(self, settings: Settings, nodes: int = 2, now: int = 50 * SEC) -> None:
        self.settings = settings
        self.now = now
        self.started_at = now
        self.gateway = Gateway(settings, 7, now)
        self.timers: list[tuple[int, int]] = []  # time, token
        self.open_requests: dict[int, RequestReceived] = {}
        self.received: dict[int, RequestReceived] = {}
        self.in_flight: dict[tuple[int, int], tuple[bytes, int]] = {}  # request and attempt: node, sent at
        self.attempts: dict[int, int] = defaultdict(int)
        self.answers: dict[int, Action] = {}
        self.possibly_executed: dict[int, tuple[int, int]] = {}  # request: sent at, shard
        self.endpoints: dict[bytes, EndpointRecord] = {}
        self.in_maintenance: set[bytes] = set()
        self.ordered_keys: dict[int, deque[int]] = defaultdict(deque)
        self.paused_keys: dict[int, tuple[int, int]] = {}  # key: end of the pause, exempt request
        self.request_times: list[int] = []
        self.retry_times: list[int] = []
        self.buckets: dict[int, tuple[float, int]] = {}  # volume: units, filled at
        self.sent_units: dict[bytes, UnitsLog] = defaultdict(UnitsLog)
        self.served_units: dict[bytes, UnitsLog] = defaultdict(UnitsLog)
        self.started: list[StartAttempt] = []
        self.last_actions: list[Action] = []
        self.next_id = 1
        if nodes:
            self.list_nodes([(n, EndpointState.READY, 0) for n in range(nodes)], EndpointListKind.CACHED)

    # ---- events ----

    def feed(self, *events: Event) -> list[Action]:
        """Feed a batch of events to the gateway, check its actions and return them."""
        for event in events:
            if isinstance(event, RequestReceived):
                self._record_request(event)
        self.last_actions = self.gateway.handle(self.now, list(events))
        for action in self.last_actions:
            self._check(action)
        return self.last_actions

    def _record_request(self, request: RequestReceived) -> None:
        self.open_requests[request.request_id] = request
        self.received[request.request_id] = request
        self.request_times.append(self.now)
        if self._is_ordered(request):
            self.ordered_keys[request.key].append(request.request_id)

    def list_nodes(
        self,
        entries: Iterable[tuple[int, EndpointState, int]],
        kind: EndpointListKind = EndpointListKind.CHANGES,
    ) -> None:
        """Feed an endpoint list to the gateway: the number, state and start of each node."""
        entries = list(entries)
        if kind is not EndpointListKind.CHANGES:
            listed = {node_id(number) for number, _, _ in entries}
            for node, record in self.endpoints.items():
                if node not in listed and record.state is EndpointState.READY:
                    record.state = EndpointState.GONE
                    record.changed_at = self.now
        endpoints = []
        for number, state, started in entries:
            shard = number % 8
            self.endpoints[node_id(number)] = EndpointRecord(state, self.now, shard, started)
            endpoints.append(Endpoint(node_id(number), shard, state, started_us=started))
        self.feed(EndpointList(kind, tuple(endpoints)))

    def change_settings(self, settings: Settings) -> None:
        """Feed new settings to the gateway."""
        self.settings = settings
        self.feed(SettingsChanged(settings))

    def set_maintenance(self, number: int, on: bool) -> None:
        """Begin or end the maintenance of a node."""
        node = node_id(number)
        if not on and node in self.in_maintenance and node in self.endpoints:
            self.endpoints[node].started_at = self.now  # it restarted now at the latest
        if on:
            self.in_maintenance.add(node)
        else:
            self.in_maintenance.discard(node)
        self.feed(MaintenanceChanged(node, on))

    def send_request(
        self, class_index: int = 0, shard: int = 0, deadline_after_us: int | None = None, **more: Any
    ) -> int:
        """Send a client's request and return its id; by default it has the deadline of its class."""
        number = self.next_id
        self.next_id += 1
        if deadline_after_us is None:
            deadline_after_us = self.settings.classes[class_index].deadline_us
        deadline_us = self.now + deadline_after_us
        self.feed(RequestReceived(number, class_index, deadline_us, shard, settings=self.settings, **more))
        return number

    def end_attempt(self, key: tuple[int, int], result: AttemptResult = AttemptResult.SERVED) -> list[Action]:
        """End an attempt and return the gateway's actions.

        :param key: request id and number of the attempt.
        """
        node, sent_at = self.in_flight.pop(key)
        number, attempt = key
        request = self.received[number]
        final = result is AttemptResult.SERVED or number not in self.open_requests
        if result is AttemptResult.SERVED:
            self.served_units[node].add(sent_at, request.units)
        if result in POSSIBLY_EXECUTED and number not in self.possibly_executed:
            self.possibly_executed[number] = (sent_at, self.endpoints[node].shard)
        if result in POSSIBLY_RUNNING and self._is_ordered(request):
            self.paused_keys[request.key] = (self.now + self.settings.ordered_key_pause_us, number)
        if final:
            self._finish(number)
        return self.feed(AttemptEnded(number, attempt, node, result, self.now - sent_at, final))

    def disconnect(self, number: int) -> None:
        """Disconnect the client of a request."""
        self._finish(number)
        self.feed(ClientDisconnected(number))

    def pass_time(self, span: int) -> None:
        """Advance the time by microseconds; fire timers, and time out attempts at their deadlines."""
        end = self.now + span
        while True:
            timer_at = min((at for at, _ in self.timers), default=end)
            deadline_at = min((self._deadline_of(key) for key in self._open_attempts()), default=end)
            at = min(timer_at, deadline_at)
            if at > end:
                break
            self.now = max(self.now, at)
            if not self._fire_due():
                break
        self.now = end
        for number, request in self.open_requests.items():
            assert self.now <= request.deadline_us + self.settings.answer_slack_us, (
                f"request {number} has no answer after its deadline"
            )

    def _open_attempts(self) -> list[tuple[int, int]]:
        return [key for key in self.in_flight if key[0] in self.open_requests]

    def _deadline_of(self, key: tuple[int, int]) -> int:
        return self.open_requests[key[0]].deadline_us

    def _fire_due(self) -> bool:
        """Fire the timers and the deadlines that are due; return whether there were any."""
        due = [token for at, token in self.timers if at <= self.now]
        expired = [key for key in self._open_attempts() if self._deadline_of(key) <= self.now]
        if not due and not expired:
            return False
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        for key in expired:
            self.end_attempt(key, AttemptResult.TIMEOUT)
        self.feed(*(TimerFired(token) for token in due))
        return True

    # ---- records ----

    @staticmethod
    def class_of(request: RequestReceived) -> RequestClass:
        """Return the class of a request, by the settings in force when it was received."""
        assert request.settings is not None
        return request.settings.classes[request.class_index]

    def _is_ordered(self, request: RequestReceived) -> bool:
        return bool(self.class_of(request).ordered and request.key)

    def _finish(self, number: int) -> None:
        self.open_requests.pop(number, None)
        request = self.received[number]
        if self._is_ordered(request) and number in self.ordered_keys[request.key]:
            self.ordered_keys[request.key].remove(number)

    # ---- rules ----

    def _check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert action.at_us > self.now
            self.timers.append((action.at_us, action.token))
        elif isinstance(action, StartAttempt):
            self._check_attempt(action)
        elif isinstance(action, (RejectRequest, FailRequest)):
            self._check_answer(action)

    def _check_answer(self, action: RejectRequest | FailRequest) -> None:
        number = action.request_id
        assert number in self.open_requests, "rule 1: answered twice, or never received"
        request_class = self.class_of(self.received[number])
        if isinstance(action, RejectRequest) and request_class.idempotency is not Idempotency.IDEMPOTENT:
            in_flight = any(key[0] == number for key in self.in_flight)
            deduplicated = (
                request_class.idempotency is Idempotency.KEYED
                and request_class.deduplication_scope is DeduplicationScope.ALL
            )
            assert deduplicated or not (number in self.possibly_executed or in_flight), (
                "rule 2: rejected a possibly executed request"
            )
        self.answers[number] = action
        self._finish(number)

    def _check_attempt(self, action: StartAttempt) -> None:
        number = action.request_id
        request = self.received[number]
        settings = request.settings
        assert settings is not None
        assert self.attempts[number] < settings.max_attempts, "more attempts than its settings allow"
        assert number in self.open_requests, "rule 1: sent after its final answer"
        assert not any(key[0] == number for key in self.in_flight), "two attempts of a request at once"
        self._check_node(action.node_id, request)
        self._check_repeat(request, self.endpoints[action.node_id].shard)
        self._check_order(request)
        if self.attempts[number]:
            self._check_retry_budget()
        else:
            self._check_rate_limit(request, settings.plans[request.plan_index])
        self._check_slow_start(action.node_id, request)
        self.in_flight[(number, self.attempts[number])] = (action.node_id, self.now)
        self.attempts[number] += 1
        self.started.append(action)

    def _check_node(self, node: bytes, request: RequestReceived) -> None:
        endpoint = self.endpoints[node]
        drained = self.now > endpoint.changed_at + self.settings.drain_grace_us
        assert endpoint.state is EndpointState.READY or not drained, "rule 3: sent to a drained node"
        assert node not in self.in_maintenance, "sent to a node in maintenance"
        assert request.shard < 0 or request.shard == endpoint.shard, "sent to another shard"

    def _check_repeat(self, request: RequestReceived, shard: int) -> None:
        if request.request_id not in self.possibly_executed:
            return
        sent_at, first_shard = self.possibly_executed[request.request_id]
        request_class = self.class_of(request)
        assert request_class.idempotency is not Idempotency.NOT_IDEMPOTENT, (
            "rule 2: non-idempotent request sent again"
        )
        if request_class.idempotency is Idempotency.KEYED:
            window_end = sent_at + request_class.deduplication_window_us
            assert self.now <= window_end, "rule 2: sent after the deduplication window"
            by_shard = request_class.deduplication_scope is DeduplicationScope.SHARD
            assert not by_shard or shard == first_shard, "rule 2: sent outside its deduplication scope"

    def _check_order(self, request: RequestReceived) -> None:
        if not self._is_ordered(request):
            return
        number = request.request_id
        assert self.ordered_keys[request.key][0] == number, "rule 5: not the first request of its key"
        for other_number, _ in self.in_flight:
            other = self.received[other_number]
            same_key = self._is_ordered(other) and other.key == request.key
            assert not same_key, "rule 5: an earlier attempt is in flight"
        until, exempt = self.paused_keys.get(request.key, (0, number))
        assert self.now >= until or exempt == number, "rule 5: the key is paused"

    def _check_retry_budget(self) -> None:
        self.retry_times.append(self.now)
        window_us = self.settings.retry_budget_window_us
        if window_us:
            retries = sum(at >= self.now - window_us for at in self.retry_times)
            requests = sum(at > self.now - window_us for at in self.request_times)
            allowed = self.settings.retry_budget_free + self.settings.retry_budget_share * requests
            assert retries <= allowed, "rule 6: over the retry budget"

    def _check_rate_limit(self, request: RequestReceived, plan: Plan) -> None:
        if not plan.limit:
            return
        # It starts empty: an earlier process of this gateway may have spent its share.
        units, filled_at = self.buckets.get(request.volume_id, (0.0, self.started_at))
        share = 1 / request.gateways_in_use
        filled = min(plan.limit_burst * share, units + (self.now - filled_at) / SEC * plan.limit * share)
        self.buckets[request.volume_id] = (filled - request.units, self.now)
        assert filled - request.units >= -plan.limit_slack * share - 1e-6, "rule 7: over the limit"

    def _check_slow_start(self, node: bytes, request: RequestReceived) -> None:
        settings = self.settings
        started_at = self.endpoints[node].started_at
        if not settings.overload_window_us or not started_at:
            return
        if self.now >= started_at + settings.warm_up_us:
            return
        self.sent_units[node].add(self.now, request.units)
        window_start = self.now - settings.overload_window_us
        is_new = self.now - self.started_at <= settings.overload_window_us
        assert not (is_new and started_at <= self.started_at), (
            "rule 4: an earlier process may have spent the share"
        )
        sent_units = self.sent_units[node].since(window_start)
        unserved = sent_units - self.served_units[node].since(window_start)
        allowed = slow_start_rule.units_allowed(settings, self.now - started_at)
        unserved_allowed = allowed * (1 - 1 / settings.overload_factor)
        kept = sent_units <= allowed + 1e-6 or unserved <= unserved_allowed + 1e-6
        quantum = slow_start_rule.quantum(settings)
        if not settings.peer_messages_allowed and unserved_allowed < quantum:  # docs/fleet.md, "The ramp"
            has_turn = slow_start_rule.has_turn(settings, node, self.now, unserved_allowed)
            kept = has_turn and unserved <= quantum + 1e-6
        assert kept, "rule 4: more sent to a warming node than its allowance"
