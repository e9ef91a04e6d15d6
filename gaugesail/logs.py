"""structlog on standard error, one line of key=value an event; nothing is logged for a single request."""

from __future__ import annotations

import sys
from typing import Any, TextIO

import structlog

from .core.ports import Logger


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
