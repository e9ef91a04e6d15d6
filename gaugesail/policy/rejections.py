"""Why requests are rejected: the causes that operators read in the counters ``refused_<why>_<node>``."""

from __future__ import annotations

from enum import Enum


class RejectionReason(Enum):
    """Why a request was rejected; the value is the ``why`` of its counter."""

    UNLISTED_SHARD = "unlisted"  # no endpoint list has named its shard
    TOO_LATE = "too_late"  # it came with less than a tick left
    RETRY_TOO_EARLY = "no_place"  # it may not wait, and there was no room at once
    RETRY_NOT_ALLOWED = "no_repeat"  # an attempt failed, and another is not allowed
    IN_MAINTENANCE = "away"  # the node of its shard is in maintenance
    OBJECTIVE_MISSED = "aim"  # it waited until it was too late to start
    QUEUE_TOO_LONG = "hopeless"  # more is sent before it than can be until its objective


class NodeState(Enum):
    """What the node of a rejected request was; the value is the ``node`` of its counter."""

    NONE = "none"  # its shard has no node
    WARMING_UP = "cold"
    WARM = "warm"
