"""The timers of a gateway: the tokens of ``SetTimer`` and ``TimerFired``."""

from __future__ import annotations

from enum import IntEnum


class Timer(IntEnum):
    """What to do when a timer fires."""

    CONTROL_PERIOD = 1  # update congestion windows and forecasts, drop expired records
    QUEUE_CHECK = 2  # check the waiting requests
    ENDPOINT_WATCH = 3  # renew the subscription to the endpoint list
