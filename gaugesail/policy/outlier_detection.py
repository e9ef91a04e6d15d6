"""Outlier detection: which attempts count against a node, and how few requests a failing node is sent.

A node with consecutive failures, or one that hangs, gets one request at a time.  After any failure other
than a reported error or a first reset, it gets none for a backoff that doubles with each failure.
"""

from __future__ import annotations

from .events import AttemptEnded, AttemptResult
from .gateway_state import GatewayState
from .records import NodeRecord, PendingRequest

# An attempt is stuck after this many times its latency target; a timeout is the node's fault after this many
# times the node's smoothed latency.
STUCK_TARGETS = 2.0
BACKOFF_SHARE = 0.0625  # of the shortest latency target: the backoff before its doublings, one per failure
MAX_BACKOFF_DOUBLINGS = 6
FIRST_RESET_WEIGHT = 0.5  # failures that a first reset counts as: mostly a fault of that connection alone

# Results after which the request may have been executed.
POSSIBLY_EXECUTED = (
    AttemptResult.ERROR,
    AttemptResult.TIMEOUT,
    AttemptResult.RESET,
    AttemptResult.CANCELLED,
)
# Results that do not count against a node that has served a request sent later.
EXCUSED_BY_LATER_SUCCESS = (*POSSIBLY_EXECUTED, AttemptResult.NO_CONNECTION)
# Results that say nothing about the node.
NEUTRAL = (AttemptResult.NOT_STARTED, AttemptResult.CANCELLED)


def is_cut_short(node: NodeRecord, request: PendingRequest, event: AttemptEnded) -> bool:
    """Return whether a timeout is not the node's fault, as its client gave up too early.

    That is before ``STUCK_TARGETS`` times the node's smoothed latency.
    """
    allowed_us = STUCK_TARGETS * node.latency_us[request.class_position]
    return event.result is AttemptResult.TIMEOUT and event.elapsed_us < allowed_us


def is_isolated_loss(node: NodeRecord, request: PendingRequest, result: AttemptResult) -> bool:
    """Return whether an attempt failed alone: the node has served a request that was sent later."""
    return result in EXCUSED_BY_LATER_SUCCESS and request.sent_at < node.latest_success_sent_at


class OutlierDetector:
    """Counts the failures of nodes and limits what a failing node is sent."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    def record_success(self, node: NodeRecord, request: PendingRequest) -> None:
        """Record that a node has served a request."""
        node.consecutive_failures = 0
        node.latest_success_sent_at = max(node.latest_success_sent_at, request.sent_at)

    def record_failure(self, node: NodeRecord, result: AttemptResult) -> None:
        """Count a failed attempt that is the node's fault; neutral results are ignored."""
        if result in NEUTRAL:
            return
        first_reset = result is AttemptResult.RESET and not node.consecutive_failures
        node.consecutive_failures += FIRST_RESET_WEIGHT if first_reset else 1
        if result is not AttemptResult.ERROR and not first_reset:
            # Unlike a reported error, the result may mean that the node is full, hangs or is unreachable:
            # leave it time.
            node.backoff_until = max(node.backoff_until, self._state.now + self._backoff_us(node))

    def _backoff_us(self, node: NodeRecord) -> int:
        return int(
            min(self._state.latency_targets_us)
            * BACKOFF_SHARE
            * 2 ** min(node.consecutive_failures, MAX_BACKOFF_DOUBLINGS)
            * (0.5 + self._state.random.random())
        )

    def stuck_requests(self, node: NodeRecord) -> list[PendingRequest]:
        """Return the requests in flight at a node for over ``STUCK_TARGETS`` times their latency target."""
        now = self._state.now
        targets = self._state.latency_targets_us
        return [
            request
            for request in node.in_flight.values()
            if now - request.sent_at > STUCK_TARGETS * targets[request.class_position]
        ]

    def is_limited_to_one(self, node: NodeRecord, stuck: list[PendingRequest]) -> bool:
        """Return whether a node gets one request at a time, as it is failing or hangs.

        The stuck requests do not count: only another request can show that the node serves again.
        """
        if node.consecutive_failures >= 1:
            return True
        return any(request.sent_at >= node.latest_success_sent_at for request in stuck)
