"""Effects of an attempt's end on the node, on the ordered key, and on the request."""

from __future__ import annotations

from .congestion_window import SLOW_START_WINDOW
from .events import AttemptEnded, AttemptResult
from .gateway_state import GatewayState
from .node_table import NodeTable
from .ordered_keys import OrderedKeys
from .outlier_detection import POSSIBLY_EXECUTED, OutlierDetector, is_cut_short, is_isolated_loss
from .records import NodeRecord, PendingRequest
from .recovery import RecoveryRamp
from .rejections import RejectionReason
from .request_queue import RequestQueue
from .slow_start import SlowStart


class AttemptResults:
    """Processes the ends of attempts for one gateway."""

    def __init__(
        self,
        state: GatewayState,
        node_table: NodeTable,
        queue: RequestQueue,
        ordered_keys: OrderedKeys,
        slow_start: SlowStart,
        recovery: RecoveryRamp,
        outliers: OutlierDetector,
    ) -> None:
        self._state = state
        self._node_table = node_table
        self._queue = queue
        self._ordered_keys = ordered_keys
        self._slow_start = slow_start
        self._recovery = recovery
        self._outliers = outliers

    def ended(self, event: AttemptEnded) -> None:
        """Process the end of an attempt; an attempt that is not in flight at that node is ignored."""
        node = self._node_table.nodes.get(event.node_id)
        if node is None:
            return
        request = node.in_flight.pop((event.request_id, event.attempt), None)
        if request is None:
            return
        self._node_table.mark_changed(node.shard)
        request.in_flight = False
        self._update_node(node, request, event)
        if event.result in POSSIBLY_EXECUTED and request.possibly_executed_at is None:
            request.possibly_executed_at = request.sent_at
            request.possibly_executed_zone = node.zone
        if request.ordered_key is not None:
            if event.answer_continues:
                self._ordered_keys.answer_continues(request.ordered_key, request, event.attempt)
            else:
                self._ordered_keys.attempt_ended(request.ordered_key, request, event.result)
        if not request.finished:
            self._continue(request, event)

    def _update_node(self, node: NodeRecord, request: PendingRequest, event: AttemptEnded) -> None:
        result = event.result
        cut_short = is_cut_short(node, request, event)
        excused = cut_short or is_isolated_loss(node, request, result)
        if self._recovery.attempt_ended(self._state.now, request, result, excused):
            node.window = SLOW_START_WINDOW
        node.class_in_flight[request.class_position] -= 1
        self._pace(node, event.elapsed_us)
        # A timed-out attempt took at least this long.
        if result is AttemptResult.SERVED or (result is AttemptResult.TIMEOUT and not cut_short):
            node.latency_sums[request.class_position] += event.elapsed_us
            node.latency_counts[request.class_position] += 1
        if result is AttemptResult.SERVED:
            node.service[request.class_position].record(event.elapsed_us)
            self._outliers.record_success(node, request)
            self._slow_start.record_served(node, request.sent_at, request.units)
            request.volume.reserve_units -= event.served_elsewhere_units
        else:
            if result is AttemptResult.TIMEOUT and not cut_short:
                node.service[request.class_position].may_need_longer = True
            if not excused:
                self._outliers.record_failure(node, result)

    def _pace(self, node: NodeRecord, elapsed_us: int) -> None:
        """Pause sending after an attempt where the window is below one request.

        By Little's law, the attempt and the pause together keep the window in flight on average.
        """
        now = self._state.now
        node.paced_until = now + int(elapsed_us * max(0.0, 1 / node.window - 1))

    def _continue(self, request: PendingRequest, event: AttemptEnded) -> None:
        """Finish an open request whose attempt has ended, or queue it for another attempt."""
        state = self._state
        if event.request_finished:
            request.in_flight = True  # so that ``remove`` does not look for it in a queue
            self._queue.remove(request)
            return
        if request.any_shard and request.possibly_executed_at is None:
            request.shard = self._queue.choose_shard(request.class_position)
        request.not_before = state.retry_policy.next_attempt_at(state.now)
        self._queue.enqueue(request)
        never_sent = event.result is AttemptResult.NOT_STARTED
        if never_sent or not state.retry_policy.allows_attempt(request, state.now):
            self._queue.reject(request, RejectionReason.RETRY_NOT_ALLOWED)
        elif state.now > request.latest_useful_start(self._node_table.shards[request.shard].node):
            self._queue.reject(request, RejectionReason.OUT_OF_TIME)
