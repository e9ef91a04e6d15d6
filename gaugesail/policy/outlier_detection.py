"""Outlier detection: which attempts count against a node, and how few requests a failing node is sent.

A node with consecutive failures, or one that hangs, gets one request at a time.  After any failure other
than a reported error or a first reset, it gets none for a backoff that doubles with each failure
(docs/storms.md).
"""

from __future__ import annotations

from .events import AttemptEnded, AttemptResult
from .gateway_state import GatewayState
from .records import NodeRecord, PendingRequest
from .shard_health import FIRST_TRIAL_WAIT_US, LONGEST_TRIAL_WAIT_US

HANG_ANSWERS = 4.0  # times its mean answer, after which a node hangs; most requests differ in size by less
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


def hang_us(node: NodeRecord, request: PendingRequest) -> float:
    """Return after how many microseconds with an attempt of a request a node hangs.

    That follows from what it takes for the class.  One that has served none is given the part of its
    clients' time that each of the allowed attempts has.
    """
    mean_us = node.service[request.class_position].mean_us
    return HANG_ANSWERS * mean_us if mean_us else request.request_class.deadline_us / request.max_attempts


def is_cut_short(node: NodeRecord, request: PendingRequest, event: AttemptEnded) -> bool:
    """Return whether a timeout is not the node's fault, as its client gave up before the node hung."""
    return event.result is AttemptResult.TIMEOUT and event.elapsed_us < hang_us(node, request)


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
        doubled_us = FIRST_TRIAL_WAIT_US * 2 ** max(0.0, node.consecutive_failures - 1)
        return int(min(LONGEST_TRIAL_WAIT_US, doubled_us) * (0.75 + 0.5 * self._state.random.random()))

    def stuck_requests(self, node: NodeRecord) -> list[PendingRequest]:
        """Return the requests that a node has been holding for so long that it hangs with them."""
        now = self._state.now
        return [
            request for request in node.in_flight.values() if now - request.sent_at > hang_us(node, request)
        ]

    def is_limited_to_one(self, node: NodeRecord, stuck: list[PendingRequest]) -> bool:
        """Return whether a node gets one request at a time, as it is failing or hangs.

        The stuck requests do not count: only another request can show that the node serves again.
        """
        if node.consecutive_failures >= 1:
            return True
        return any(request.sent_at >= node.latest_success_sent_at for request in stuck)
