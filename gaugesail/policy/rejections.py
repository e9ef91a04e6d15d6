"""Why requests are rejected; operators see it in the counters ``refused_<reason>_<node_state>``."""

from __future__ import annotations

from enum import Enum


class RejectionReason(Enum):
    """Why a request was rejected; the value is the ``reason`` of its counter."""

    UNLISTED_SHARD = "unlisted"  # no endpoint list has contained its shard
    TOO_LATE = "too_late"  # less than a tick was left when it was received
    UNAVAILABLE = "unavailable"  # its shard has been away for longer than its client still waits
    RETRY_NOT_ALLOWED = "no_repeat"  # an attempt failed, and another one is not allowed
    IN_MAINTENANCE = "away"  # the node of its shard is in maintenance
    OUT_OF_TIME = "out_of_time"  # it waited until not even a fast answer would reach its client
    OVER_LIMIT = "limit"  # its plan's limit has no units for it in its client's time
    QUEUE_TOO_LONG = "hopeless"  # the requests before it cannot all be sent in its client's time


class NodeState(Enum):
    """The state of a rejected request's node; the value is the ``node_state`` of its counter."""

    NONE = "none"  # its shard has no node
    WARMING_UP = "cold"
    WARM = "warm"
