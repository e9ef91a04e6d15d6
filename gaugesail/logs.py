"""Logging by structlog to standard error, one logfmt line per event; single requests are not logged."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable
from typing import Any, TextIO

import structlog

from .core.ports import Logger

MAX_LINES_PER_SECOND = 5  # of one event


class RateLimitedLogger:
    """Limits each event to MAX_LINES_PER_SECOND, so that a misbehaving peer cannot flood the log."""

    def __init__(self, log: Logger, now_us: Callable[[], int]) -> None:
        self._log, self._now_us = log, now_us
        self._second = 0
        self._lines: Counter[str] = Counter()
        self.dropped = 0

    def _within_limit(self, event: str) -> bool:
        second = self._now_us() // 1_000_000
        if second != self._second:
            self._second = second
            self._lines.clear()
        self._lines[event] += 1
        if self._lines[event] > MAX_LINES_PER_SECOND:
            self.dropped += 1
            return False
        return True

    def info(self, event: str, **fields: Any) -> None:
        """Log at level info, unless the rate limit is reached."""
        if self._within_limit(event):
            self._log.info(event, **fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log at level warning, unless the rate limit is reached."""
        if self._within_limit(event):
            self._log.warning(event, **fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log at level error, unless the rate limit is reached."""
        if self._within_limit(event):
            self._log.error(event, **fields)


def make_logger(stream: TextIO | None = None, **bound: Any) -> Logger:
    """Create a logger that does not use structlog's global configuration.

    It writes to ``stream``, by default standard error, and adds ``bound`` to every line.
    """
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
