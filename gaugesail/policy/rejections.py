"""Why requests are rejected; operators see it in the counters ``refused_<why>_<node>``."""

from __future__ import annotations

from enum import Enum


class RejectionReason(Enum):
    """Why a request was rejected; the value is the ``why`` of its counter."""

    UNLISTED_SHARD = "unlisted"  # no endpoint list has contained its shard
    TOO_LATE = "too_late"  # less than a tick was left when it was received
    MAY_NOT_WAIT = "no_place"  # an early retry, or the shard is unavailable for long; not sent at once
    RETRY_NOT_ALLOWED = "no_repeat"  # an attempt failed, and another one is not allowed
    IN_MAINTENANCE = "away"  # the node of its shard is in maintenance
    OBJECTIVE_MISSED = "aim"  # it waited until it was too late to start
    QUEUE_TOO_LONG = "hopeless"  # the requests before it cannot all be sent before its objective


class NodeState(Enum):
    """The state of a rejected request's node; the value is the ``node`` of its counter."""

    NONE = "none"  # its shard has no node
    WARMING_UP = "cold"
    WARM = "warm"
