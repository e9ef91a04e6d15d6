"""The priority weight of a waiting request: by its volume's budget, its class, its plan and its lateness."""

from __future__ import annotations

from .gateway_state import GatewayState
from .records import BEYOND_SHARE, WITHIN_RESERVE, WITHIN_SHARE, NodeRecord, PendingRequest

EARLIEST_LATENCY_SHARE = 0.7  # of the smoothed latency: the earliest that an answer is expected


def volume_tier(request: PendingRequest) -> int:
    """Return whether a request is within its volume's reserve, within its fair share, or beyond both.

    The caller has refilled the volume's budget.
    """
    volume = request.volume
    if volume.has_reserve(request.units):
        return WITHIN_RESERVE
    return WITHIN_SHARE if volume.has_share(request.units) else BEYOND_SHARE


def priority_weight(state: GatewayState, request: PendingRequest, node: NodeRecord, tier: int) -> float:
    """Return the weight of one unit of a request if it is sent to a node now.

    A request that would be answered late gets the lowest weights but is not dropped, as the forecast may be
    outdated.
    """
    earliest_answer = state.now + EARLIEST_LATENCY_SHARE * node.latency_us[request.class_position]
    request_class = request.request_class
    if earliest_answer > request.received_at + request.request_class.latency_objective_us:
        tier_weight = request_class.late_weight_share * state.tier_weights[BEYOND_SHARE]
    else:
        tier_weight = state.tier_weights[tier]
    return request_class.priority_weight * request.volume.plan.priority_weight * tier_weight
