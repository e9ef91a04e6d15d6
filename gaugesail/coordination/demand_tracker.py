"""A gateway's demand for each quota: smoothed rates, and which changes to report to the leader.

Rates in thousandths of a unit a second; times in microseconds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from .lease_messages import QuotaDemand

REPORT_CHANGE = 0.15  # relative change of a demand above which it is reported again
SMOOTHING_S = 0.2  # time constant of the smoothing
SAVED_SPENDING_S = 0.7  # time in which to spend the savings beyond one largest request
MIN_RATE = 500  # minimum demand to report, in thousandths of a unit a second
DEMAND_LIFETIME_US = 3_000_000  # a quota without a request for this long has no demand


class QuotaUsage(NamedTuple):
    """The usage of one quota since the last reading, in units."""

    requested: float
    spent: float
    saved: float  # in its token bucket now
    priority_weight: int  # of one unit, in thousandths


@dataclass(slots=True, eq=False)
class DemandEstimate:
    """The demand for one quota."""

    priority_weight: int
    requested_at: int  # of the latest client request
    rate: float = 0.0
    used: float = 0.0
    saved: float = 0.0  # units
    reported: int = -1  # rate that was reported to the leader; -1: none
    carried_by: int = 0  # lease request that reported it, until its response; 0: none

    def update(self, now: int, usage: QuotaUsage, gain: float, seconds: float) -> None:
        """Add one reading over ``seconds``; ``gain`` is its weight in the smoothed rates."""
        self.saved = usage.saved
        self.priority_weight = usage.priority_weight
        self.rate += gain * (usage.requested * 1000 / seconds - self.rate)
        self.used += gain * (usage.spent * 1000 / seconds - self.used)
        if usage.requested:
            self.requested_at = now


class DemandTracker:
    """The demand for every quota that this gateway's clients have requested lately."""

    def __init__(self, now: int) -> None:
        self.max_request = 0  # the largest request, in thousandths of a unit
        self._estimates: dict[str, DemandEstimate] = {}  # by quota
        self._recorded_at = now

    def record(self, now: int, usage: Mapping[str, QuotaUsage]) -> None:
        """Record the usage of each quota since the last call."""
        seconds = max(1, now - self._recorded_at) / 1e6
        self._recorded_at = now
        gain = 1 - math.exp(-seconds / SMOOTHING_S)
        for quota_name, reading in usage.items():
            if quota_name not in self._estimates:
                self._estimates[quota_name] = DemandEstimate(reading.priority_weight, now)
        for quota_name, estimate in self._estimates.items():
            idle = QuotaUsage(0.0, 0.0, estimate.saved, estimate.priority_weight)
            estimate.update(now, usage.get(quota_name, idle), gain, seconds)

    def has_changed(self, now: int) -> bool:
        """Whether any demand differs from the reported one by more than REPORT_CHANGE."""
        return any(self._differs(now, estimate) for estimate in self._estimates.values())

    def _rate(self, now: int, estimate: DemandEstimate) -> int:
        """Return the demand to report: at least MIN_RATE, and 0 after DEMAND_LIFETIME_US without a request.

        Savings beyond one largest request are spent first: a gateway with large savings leaves its rate to
        others, and still has its savings when its demand rises.
        """
        if now - estimate.requested_at >= DEMAND_LIFETIME_US:
            return 0
        spare = max(0.0, estimate.saved * 1000 - self.max_request)
        return max(MIN_RATE, round(estimate.rate - spare / SAVED_SPENDING_S))

    def _differs(self, now: int, estimate: DemandEstimate) -> bool:
        rate = self._rate(now, estimate)
        reported = estimate.reported
        return reported < 0 or abs(rate - reported) > REPORT_CHANGE * max(rate, reported)

    def collect_report(self, now: int, request_number: int, max_items: int) -> tuple[list[QuotaDemand], bool]:
        """Return up to ``max_items`` demands to report in request ``request_number``.

        The second value is whether this leaves some out.
        """
        self._forget_withdrawn(now)
        due = [
            (quota_name, estimate)
            for quota_name, estimate in self._estimates.items()
            if estimate.carried_by or self._differs(now, estimate)
        ]
        report = []
        for quota_name, estimate in due[:max_items]:
            estimate.reported = self._rate(now, estimate)
            estimate.carried_by = request_number
            demand = QuotaDemand(
                quota_name, estimate.reported, estimate.priority_weight, round(estimate.used)
            )
            report.append(demand)
        return report, len(due) > max_items

    def _forget_withdrawn(self, now: int) -> None:
        """Drop idle quotas once the leader has confirmed that their demand is 0."""
        for quota_name, estimate in list(self._estimates.items()):
            idle = now - estimate.requested_at > DEMAND_LIFETIME_US
            if idle and estimate.reported == 0 and not estimate.carried_by:
                del self._estimates[quota_name]

    def report_confirmed(self, request_number: int) -> None:
        """Clear the demands that this request reported: the leader has received it."""
        for estimate in self._estimates.values():
            if estimate.carried_by == request_number:
                estimate.carried_by = 0

    def report_all_again(self) -> None:
        """Report all demands again, after a change of the leader or of the session."""
        for estimate in self._estimates.values():
            estimate.reported = -1
