"""Logs the state of a gateway, and the counters that changed since the last report."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from .buffers import BufferPool
from .core.engine import Engine
from .logs import RateLimitedLogger
from .memory_budget import MEGABYTE
from .process_memory import resident_bytes


class ConnectionCount(Protocol):
    """The clients' or the nodes' side of a gateway."""

    @property
    def connections(self) -> int:
        """Number of open connections."""
        ...


class CountsReport:
    """The log line ``counts`` of one gateway."""

    def __init__(
        self,
        engine: Engine,
        front: ConnectionCount,
        transport: ConnectionCount,
        buffers: BufferPool,
        log: RateLimitedLogger,
    ) -> None:
        self._engine = engine
        self._front = front
        self._transport = transport
        self._buffers = buffers
        self._log = log
        self._reported: Counter[str] = Counter()

    def write(self) -> None:
        """Log the line."""
        counts = self._engine.counts + self._engine.rejections + self._engine.rules.violations
        changes = dict(counts - self._reported)
        self._reported = Counter(counts)
        self._log.info(
            "counts",
            open=self._engine.open_requests,
            out=self._engine.attempts_in_flight,
            clients=self._front.connections,
            nodes=self._transport.connections,
            memory_mb=-(-resident_bytes() // MEGABYTE),
            buffers=self._buffers.out,
            buffers_most=self._buffers.limit,
            ids=len(self._engine.request_ids),
            volumes=len(self._engine.policy.gateway.volumes.budgets),
            maintenance=len(self._engine.in_maintenance),
            answers_late_most_ms=self._engine.lateness.take_most_us() // 1000,
            lines_dropped=self._log.dropped,
            **changes,
        )
