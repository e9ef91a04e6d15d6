"""One gateway: handles events and returns actions.

Each event is passed to the component that it concerns.  After all events of a batch, the requests of the
changed shards are dispatched.  The same settings, seed and events always produce the same actions.
"""

from __future__ import annotations

import random

from .actions import Action, SetTimer, WatchEndpoints
from .admission import Admission
from .attempt_results import AttemptResults
from .congestion_window import CONTROL_PERIOD_US, CongestionWindows
from .dispatch import Dispatcher
from .endpoint_watch import EndpointWatch
from .events import (
    AnswerAdopted,
    AnswerEnded,
    AttemptEnded,
    ClientDisconnected,
    EndpointList,
    EndpointListKind,
    Event,
    KeyAuthorityChanged,
    KeyClaimed,
    KeyGranted,
    KeyReleased,
    MaintenanceChanged,
    PeerMessageReceived,
    QuotaChanged,
    RequestReceived,
    SettingsChanged,
    ShutdownStarted,
    SiblingProcessChanged,
    TimerFired,
)
from .gateway_state import GatewayState
from .node_table import NodeTable
from .ordered_keys import OrderedKeys
from .outlier_detection import HANG_ANSWERS, OutlierDetector
from .queue_check import QueueCheck
from .rate_limits import RateLimits
from .records import NodeRecord, PendingRequest, ShardRecord
from .recovery import RecoveryRamp
from .request_queue import RequestQueue
from .retry_budget import RetryBudget
from .routing import Router
from .settings import NodeId, Settings
from .slow_start import SlowStart
from .timers import Timer
from .volume_table import VolumeTable


class Gateway:
    """The decisions of one gateway.

    :param settings: the initial settings; ``SettingsChanged`` replaces them.
    :param seed: the seed of all random draws.
    :param now: when the gateway starts, in microseconds of the caller's monotonic clock.
    """

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        state = GatewayState(settings, random.Random(seed), now)
        self.state = state
        self.slow_start = SlowStart(settings, now)
        self.rate_limits = RateLimits(settings, now)
        self.retry_budget = RetryBudget(settings)
        self.recovery = RecoveryRamp(settings, self.slow_start, random.Random(seed + 1))
        self.node_table = NodeTable(state, self.slow_start, self.recovery)
        self.volumes = VolumeTable(state, self.rate_limits)
        self._endpoint_watch = EndpointWatch(state)
        self.ordered_keys = OrderedKeys(state, self.node_table)
        router = Router(self.slow_start, random.Random(seed + 2))
        self._queue = RequestQueue(state, self.node_table, self.ordered_keys, self.recovery, router)
        self._queue_check = QueueCheck(state, self.node_table, self._queue, self.recovery)
        self._congestion_windows = CongestionWindows(state, self.node_table.measured, self.recovery)
        outliers = OutlierDetector(state)
        self.dispatcher = Dispatcher(
            state,
            self.volumes,
            self.retry_budget,
            self.slow_start,
            self.recovery,
            outliers,
            self.ordered_keys,
        )
        self._attempt_results = AttemptResults(
            state, self.node_table, self._queue, self.ordered_keys, self.slow_start, self.recovery, outliers
        )
        self._admission = Admission(
            state,
            self.node_table,
            self._queue,
            self.ordered_keys,
            self.volumes,
            self.retry_budget,
            self.recovery,
        )
        self._queue_check_is_due = False
        self._set_timer(CONTROL_PERIOD_US, Timer.CONTROL_PERIOD)
        if settings.subscribes_to_endpoints:
            state.actions.append(WatchEndpoints(True))

    @property
    def nodes(self) -> dict[NodeId, NodeRecord]:
        """The known nodes, by id."""
        return self.node_table.nodes

    @property
    def shards(self) -> dict[int, ShardRecord]:
        """The known shards, by number, with their waiting requests."""
        return self.node_table.shards

    @property
    def pending(self) -> dict[int, PendingRequest]:
        """The requests without a final answer, by request id."""
        return self._queue.pending

    def node_of(self, shard: int) -> NodeId | None:
        """Return the node that serves a shard now, or None.

        The body of a large request may be streamed to this node while it is received; the request is
        executed only after its ``StartAttempt``.
        """
        return self.node_table.node_of(shard)

    def answer_time_us(self, shard: int, class_name: str, time_us: int) -> int:
        """Return how much of a client's ``time_us`` a node needs to answer a request that it has received.

        That is until it would hang (``outlier_detection``), and as much as for all that comes before, at
        most.  Of a node that has served none nothing is known: it is half.
        """
        record = self.node_table.shards.get(shard)
        position = self.state.class_positions.get(class_name)
        if record is None or record.node is None or position is None:
            return time_us // 2
        mean_us = record.node.service[position].mean_us
        return min(time_us // 2, int(HANG_ANSWERS * mean_us)) if mean_us else time_us // 2

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Handle a batch of events and return the actions to carry out, in order.

        :param now: the present time, in microseconds of the caller's monotonic clock.
        """
        state = self.state
        state.now = now
        state.changed_shards = {}
        for event in events:
            self._handle_event(event)
        for number, shard in state.changed_shards.items():
            self.recovery.update_capacity(now, number, shard.node, state.process_count)
            self.dispatcher.dispatch(shard)
            self.dispatcher.grant_spare_share(shard)
        self.ordered_keys.grant_changed()
        self._schedule_queue_check()
        actions = state.actions
        state.actions = []
        return actions

    def _handle_event(self, event: Event) -> None:
        match event:
            case AttemptEnded():
                self._attempt_results.ended(event)
            case RequestReceived():
                self._admission.receive(event)
            case TimerFired():
                self._timer_fired(event.token)
            case ClientDisconnected():
                self._queue.client_disconnected(event)
            case EndpointList():
                self._update_endpoints(event)
            case _:
                self._handle_rare_event(event)

    def _handle_rare_event(self, event: Event) -> None:
        match event:
            case PeerMessageReceived():
                self._receive_peer_message(event)
            case MaintenanceChanged():
                self.node_table.set_maintenance(event)
            case SiblingProcessChanged():
                self._change_sibling(event)
            case SettingsChanged():
                self._update_settings(event.settings)
            case ShutdownStarted():
                self._admission.limit_answers(event.answers_due_us)
            case QuotaChanged():
                self.rate_limits.update_quota(self.state.now, event)
            case _:
                self._handle_key_event(event)

    def _handle_key_event(self, event: Event) -> None:
        match event:
            case KeyClaimed():
                self.ordered_keys.claimed(event)
            case KeyReleased():
                self.ordered_keys.released(event)
            case KeyGranted():
                self.ordered_keys.granted(event)
            case KeyAuthorityChanged():
                self.ordered_keys.change_authority(event)
            case AnswerEnded():
                self.ordered_keys.answer_ended(event)
            case AnswerAdopted():
                self.ordered_keys.adopt_answer(event)

    def _change_sibling(self, event: SiblingProcessChanged) -> None:
        """Divide this gateway's limits and budgets between two processes, or use them alone."""
        now = self.state.now
        self.state.set_sibling(event)
        self.rate_limits.divide(now, self.state.process_count)
        if event.is_predecessor:
            self.rate_limits.restart(now)
            self.slow_start.restart(now)

    def _update_endpoints(self, event: EndpointList) -> None:
        if event.kind is EndpointListKind.FAILED:
            renew_at = self._endpoint_watch.failed()
            self.state.actions.append(SetTimer(renew_at, Timer.ENDPOINT_WATCH))
        else:
            self._endpoint_watch.received()
            self.node_table.update(event)

    def _receive_peer_message(self, event: PeerMessageReceived) -> None:
        shard = self.slow_start.receive(self.state.now, event, self.node_table.shards)
        if shard is not None:
            self.node_table.mark_changed(shard)

    def _update_settings(self, settings: Settings) -> None:
        """Apply new settings; open requests keep those in force when they were received."""
        old_targets_us = self.state.latency_targets_us
        old_objectives_us = self.state.latency_objectives_us
        self.state.update_settings(settings)
        self.slow_start.update_settings(settings)
        self.rate_limits.update_settings(self.state.now, settings)
        self.retry_budget.update_settings(settings)
        self.recovery.update_settings(settings)
        if (old_targets_us, old_objectives_us) != (
            self.state.latency_targets_us,
            self.state.latency_objectives_us,
        ):
            self.node_table.update_classes(old_targets_us)
        self.volumes.update_plans()

    # ---- timers ----

    def _set_timer(self, delay_us: int, timer: Timer) -> None:
        self.state.actions.append(SetTimer(self.state.now + delay_us, timer))

    def _schedule_queue_check(self) -> None:
        """Set the timer of the next queue check, one per tick while any request waits."""
        if self._queue_check_is_due:
            return
        if self.ordered_keys.has_waiting_claims or self.node_table.shards.has_waiting:
            self._queue_check_is_due = True
            self._set_timer(self.state.tick_us, Timer.QUEUE_CHECK)

    def _timer_fired(self, token: int) -> None:
        if token == Timer.ENDPOINT_WATCH:
            self.state.actions.append(WatchEndpoints(True))
        elif token == Timer.QUEUE_CHECK:
            self._queue_check_is_due = False
            self._queue_check.run()
            self.ordered_keys.mark_waiting_claims()
        elif token == Timer.CONTROL_PERIOD:
            self._end_control_period()

    def _end_control_period(self) -> None:
        state = self.state
        self._set_timer(CONTROL_PERIOD_US, Timer.CONTROL_PERIOD)
        shards = self.node_table.shards
        nodes = {number: shards[number].node for number in self.recovery.awake if number in shards}
        state.actions += self.recovery.end_control_period(state.now, nodes, state.process_count)
        for shard in shards.active[:]:
            if self._congestion_windows.end_period(shard):
                shards.active.discard(shard)
        self.retry_budget.drop_expired(state.now)
        self.ordered_keys.drop_idle()
        self.volumes.drop_idle()
        self.node_table.drop_unlisted()
