"""structlog on standard error, one line of key=value an event; nothing is logged for a single request."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable
from typing import Any, TextIO

import structlog

from .core.ports import Logger

MOST_A_SECOND = 5  # lines of one event


class LimitedLogger:
    """Lets each event through a few times a second: a misbehaving peer must not fill the log."""

    def __init__(self, log: Logger, now_us: Callable[[], int]) -> None:
        self._log, self._now_us = log, now_us
        self._second = 0
        self._seen: Counter[str] = Counter()
        self.dropped = 0

    def _may(self, event: str) -> bool:
        second = self._now_us() // 1_000_000
        if second != self._second:
            self._second = second
            self._seen.clear()
        self._seen[event] += 1
        if self._seen[event] > MOST_A_SECOND:
            self.dropped += 1
            return False
        return True

    def info(self, event: str, **fields: Any) -> None:
        """Log at level info, within the rate."""
        if self._may(event):
            self._log.info(event, **fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log at level warning, within the rate."""
        if self._may(event):
            self._log.warning(event, **fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log at level error, within the rate."""
        if self._may(event):
            self._log.error(event, **fields)


def make_logger(stream: TextIO | None = None, **bound: Any) -> Logger:
    """A logger of its own, without touching structlog's global configuration."""
    logger: Logger = structlog.wrap_logger(
        structlog.PrintLogger(stream or sys.stderr),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.BoundLogger,
        **bound,
    )
    return logger
