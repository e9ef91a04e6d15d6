"""The timers that a gateway asks for: the tokens of ``SetTimer`` and ``TimerFired``."""

from __future__ import annotations

from enum import IntEnum


class Timer(IntEnum):
    """What is due when a timer fires."""

    CONTROL_PERIOD = 1  # congestion windows, forecasts and expired records
    QUEUE_CHECK = 2  # a look at the requests that wait
    ENDPOINT_WATCH = 3  # subscribe to the endpoint list again
