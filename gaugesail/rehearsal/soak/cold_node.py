"""The work that a cold node of a soak may receive."""

from __future__ import annotations

from collections import deque

from . import plan


class ColdNodeWindow:
    """The work that all gateways send to a cold node in an overload window.

    It is compared with the expected requests plus the random spread that the operators' slow-start rule
    permits.
    """

    def __init__(self, started: float) -> None:
        self._started = started
        self._arrivals: deque[tuple[float, float]] = deque()  # time, work in mean requests

    def capacity_share(self, now: float) -> float:
        """The share of its full capacity that the node has by the slowest ramp that the settings allow."""
        age = min(plan.WARM_UP_S, now - self._started)
        return plan.INITIAL_CAPACITY_SHARE + (1 - plan.INITIAL_CAPACITY_SHARE) * age / plan.WARM_UP_S

    def service_time_s(self, now: float, units: float) -> float:
        """Seconds of work for ``units``, with the full capacity that INITIAL_CAPACITY_UNITS implies."""
        full = (
            plan.INITIAL_CAPACITY_UNITS
            / plan.OVERLOAD_FACTOR
            / plan.INITIAL_CAPACITY_SHARE
            / plan.OVERLOAD_WINDOW_S
        )
        return units / (full * self.capacity_share(now))

    def add(self, now: float, units: float) -> float:
        """Record an arrival; returns by how many mean requests the window exceeds what is allowed."""
        self._arrivals.append((now, units / plan.MEAN_UNITS))
        while self._arrivals[0][0] < now - plan.OVERLOAD_WINDOW_S:
            self._arrivals.popleft()
        if now - self._started >= plan.WARM_UP_S:
            return 0.0
        expected = (
            plan.INITIAL_CAPACITY_UNITS
            / plan.MEAN_UNITS
            * self.capacity_share(now)
            / plan.INITIAL_CAPACITY_SHARE
        )
        spread = 2 * expected**0.5 + 2 if expected >= 30 else 3 * expected**0.5 + 3
        return sum(work for _, work in self._arrivals) - float(expected + spread)
