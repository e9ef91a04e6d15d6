"""What a waiting request is worth: the tier of its volume's use, the weights of class and plan, lateness."""

from __future__ import annotations

from .gateway_state import GatewayState
from .records import BEYOND_SHARE, WITHIN_RESERVE, WITHIN_SHARE, NodeRecord, PendingRequest

EARLIEST_LATENCY_SHARE = 0.7  # of the smoothed latency: how fast an answer may come at the best


def volume_tier(request: PendingRequest) -> int:
    """Whether a request's units are within its volume's reserve, within its fair share, or beyond both.

    The volume's budget has to be refilled before.
    """
    volume = request.volume
    if volume.has_reserve(request.units):
        return WITHIN_RESERVE
    return WITHIN_SHARE if volume.has_share(request.units) else BEYOND_SHARE


def priority_weight(state: GatewayState, request: PendingRequest, node: NodeRecord, tier: int) -> float:
    """The weight of one unit of a request, if it is sent to a node now.

    A request that would be late has the lowest weights but is not dropped: the forecast may be stale.
    """
    earliest_answer = state.now + EARLIEST_LATENCY_SHARE * node.latency_us[request.class_index]
    request_class = request.request_class
    if earliest_answer > request.objective_at:
        tier_weight = request_class.late_weight_share * state.tier_weights[BEYOND_SHARE]
    else:
        tier_weight = state.tier_weights[tier]
    return request_class.priority_weight * request.volume.plan.priority_weight * tier_weight
