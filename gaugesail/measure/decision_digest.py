"""`gaugesail measure decisions`: a digest of all decisions of one gateway over a drawn sequence of events.

Two versions that decide alike print the same digests for the same seeds.  The events cover requests for
listed shards and for any shard, all results of attempts, changes and full lists, settings, maintenance,
clients that leave, and the second process of a replacement.
"""

from __future__ import annotations

import hashlib
import random
from dataclasses import replace

import click

from ..policy.actions import Action, FailRequest, RejectRequest, SetTimer, StartAttempt
from ..policy.events import (
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
    SiblingProcessChanged,
    TimerFired,
)
from ..policy.gateway import Gateway
from ..policy.settings import (
    DeduplicationScope,
    Idempotency,
    NodeId,
    Plan,
    RequestClass,
    Settings,
)

CLASSES = (
    RequestClass("read", 200_000, 1_000_000, 2.0, 0.1),
    RequestClass(
        "ledger", 300_000, 1_500_000, 2.0, 0.1, Idempotency.KEYED, DeduplicationScope.SHARD, 1_200_000, True,
        True,
    ),
    RequestClass("booking", 400_000, 2_000_000, 1.0, 0.1, Idempotency.NOT_IDEMPOTENT, ordered=True),
)  # fmt: skip
PLANS = (Plan("small", 8.0, 4.0), Plan("limited", 8.0, 4.0, 2.0, 1.5, 20.0, 24.0, 2.0))
SETTINGS = Settings(
    classes=CLASSES, plans=PLANS, gateway_count=3, tick_us=1000, answer_slack_us=30_000,
    drain_grace_us=1_000_000, overload_window_us=2_000_000, overload_factor=3.0, initial_capacity_share=0.2,
    warm_up_us=10_000_000, initial_capacity_units=24.0, ordered_key_pause_us=100_000, retry_budget_free=5.0,
    retry_budget_share=0.3, retry_budget_window_us=5_000_000, mean_request_units=2.0, max_request_units=6.0,
    fair_share_weight=0.35, beyond_share_weight=0.1, cancel_allowed=True, max_attempts=3,
    retry_after_allowed=True,
    max_retry_after_us=500_000, recovery_queue=True,
)  # fmt: skip
START_US = 50_000_000
RESULTS = (*[AttemptResult.SERVED] * 14, *[result for result in AttemptResult])
MEAN_STEP_US = 2_000
BURST_STEPS, BURST_FACTOR = 3_000, 5  # every other span of so many events comes so much faster
RARE_SHARE = 0.03  # of events that are no request and no end of an attempt


class DecisionReplay:
    """Feeds drawn events to a gateway, and digests all of its actions."""

    def __init__(self, nodes: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self._now = START_US
        self._gateway = Gateway(SETTINGS, seed, self._now)
        self._digest = hashlib.sha256()
        self._timers: list[tuple[int, int]] = []
        self._open: dict[int, bool] = {}
        self._in_flight: list[tuple[int, int, NodeId, int]] = []  # request, attempt, node, sent at
        self._attempts: dict[int, int] = {}
        self._next_node = self._next_request = 1
        self._starts_us = 0
        self._sibling = False
        self._listed: dict[NodeId, Endpoint] = {}
        self.actions = 0
        for shard in range(nodes):
            self._add_node(shard)
        self._feed(EndpointList(EndpointListKind.CACHED, tuple(self._listed.values())))

    def _add_node(self, shard: int, started_us: int = 0) -> Endpoint:
        node_id = f"s-{self._next_node}".encode()
        self._next_node += 1
        endpoint = Endpoint(node_id, shard, zone=shard % 3, started_us=started_us)
        self._listed[node_id] = endpoint
        return endpoint

    def _feed(self, *events: Event) -> None:
        for action in self._gateway.handle(self._now, list(events)):
            self.actions += 1
            self._digest.update(f"{self._now} {action!r}\n".encode())
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self._timers.append((action.at_us, action.token))
        elif isinstance(action, StartAttempt):
            number = self._attempts.get(action.request_id, 0)
            self._attempts[action.request_id] = number + 1
            self._in_flight.append((action.request_id, number, action.node_id, self._now))
        elif isinstance(action, (RejectRequest, FailRequest)):
            self._open.pop(action.request_id, None)

    def play(self, steps: int) -> str:
        """Feed so many events and return the digest of all actions."""
        for number in range(steps):
            is_burst = number // BURST_STEPS % 2
            gap_us = self._rng.expovariate(1 / MEAN_STEP_US) / (BURST_FACTOR if is_burst else 1)
            self._pass_time(int(gap_us))
            self._step()
        return self._digest.hexdigest()[:16]

    def _pass_time(self, gap_us: int) -> None:
        end = self._now + gap_us
        while self._timers and min(self._timers)[0] <= end:
            due = min(self._timers)
            self._timers.remove(due)
            self._now = max(self._now, due[0])
            self._feed(TimerFired(due[1]))
        self._now = end

    def _step(self) -> None:
        if self._rng.random() < RARE_SHARE:
            self._rare_step()
        elif self._in_flight and self._rng.random() < 0.5:
            self._end_attempt()
        else:
            self._request()

    def _request(self) -> None:
        request_id = self._next_request
        self._next_request += 1
        self._open[request_id] = True
        class_index = self._rng.randrange(len(CLASSES))
        shards = [endpoint.shard for endpoint in self._listed.values()] or [0]
        shard = -1 if self._rng.random() < 0.2 else self._rng.choice(shards)
        time_us = int(CLASSES[class_index].deadline_us * self._rng.uniform(0.1, 1.0))
        self._feed(
            RequestReceived(
                request_id, class_index, self._now + time_us, shard, self._rng.randrange(len(PLANS)),
                float(self._rng.randint(1, 6)), self._rng.randrange(20), self._rng.randrange(1, 30), 2.0,
            )
        )  # fmt: skip

    def _end_attempt(self) -> None:
        at = self._rng.randrange(min(8, len(self._in_flight)))
        request_id, attempt, node_id, sent_us = self._in_flight.pop(at)
        result = self._rng.choice(RESULTS)
        is_finished = result is AttemptResult.SERVED or request_id not in self._open
        if is_finished:
            self._open.pop(request_id, None)
        self._feed(AttemptEnded(request_id, attempt, node_id, result, self._now - sent_us, is_finished))

    def _rare_step(self) -> None:
        match self._rng.randrange(7):
            case 0 | 1:
                self._change_endpoint()
            case 2:
                self._feed(EndpointList(EndpointListKind.FULL, tuple(self._listed.values())))
            case 3 if self._open:
                request_id = self._rng.choice(list(self._open))
                del self._open[request_id]
                self._feed(ClientDisconnected(request_id))
            case 4:
                plan = replace(PLANS[0], reserve=self._rng.uniform(2.0, 6.0))
                aim_us = self._rng.randrange(150_000, 300_000)
                classes = (replace(CLASSES[0], latency_objective_us=aim_us), *CLASSES[1:])
                self._feed(SettingsChanged(replace(SETTINGS, classes=classes, plans=(plan, PLANS[1]))))
            case 5 if self._listed:
                node_id = self._rng.choice(list(self._listed))
                self._feed(MaintenanceChanged(node_id, self._rng.random() < 0.5))
            case _:
                self._sibling = not self._sibling
                self._feed(SiblingProcessChanged(self._sibling, self._rng.random() < 0.5))

    def _change_endpoint(self) -> None:
        """Let a node drain or be ready again, restart, go, or be replaced by a new one."""
        if not self._listed:
            return
        node_id = self._rng.choice(list(self._listed))
        endpoint = self._listed[node_id]
        self._starts_us = max(self._starts_us, self._now)
        changed = [endpoint]
        match self._rng.randrange(4):
            case 0:
                states = (EndpointState.READY, EndpointState.DRAINING)
                changed = [replace(endpoint, state=self._rng.choice(states))]
                self._listed[node_id] = changed[0]
            case 1:
                changed = [replace(endpoint, started_us=self._starts_us, state=EndpointState.READY)]
                self._listed[node_id] = changed[0]
            case 2:
                del self._listed[node_id]
                changed = [replace(endpoint, state=EndpointState.GONE)]
                changed.append(self._add_node(endpoint.shard, self._starts_us))
            case _:
                changed = [self._add_node(endpoint.shard, self._starts_us)]
        self._feed(EndpointList(EndpointListKind.CHANGES, tuple(changed)))


@click.command("decisions")
@click.option("--seeds", default="1,2,3", show_default=True)
@click.option("--nodes", type=click.IntRange(1), default=60, show_default=True)
@click.option("--steps", type=click.IntRange(1), default=30_000, show_default=True)
def command(seeds: str, nodes: int, steps: int) -> None:
    """Print a digest of the decisions for each seed, to compare versions."""
    for seed in map(int, seeds.split(",")):
        replay = DecisionReplay(nodes, seed)
        digest = replay.play(steps)
        click.echo(f"seed {seed}, {nodes} nodes, {steps} events: {replay.actions} actions, {digest}")
