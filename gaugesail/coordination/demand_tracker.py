"""What a gateway wants of each quota: its smoothed demand, and which changes of it are to be reported.

Rates in thousandths of a unit a second; times in microseconds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from .lease_messages import QuotaDemand

REPORT_CHANGE = 0.15  # a demand that differs by this share from what was reported is reported
SMOOTHING_S = 0.2  # time constant of the smoothing
SAVED_SPENDING_S = 0.7  # in which what is saved up beyond one request is to be spent
MIN_RATE = 500  # the least demand that is reported, in thousandths of a unit a second
DEMAND_LIFETIME_US = 3_000_000  # after so long without a request there is no demand


class QuotaUsage(NamedTuple):
    """One quota since the last reading, in units."""

    requested: float
    spent: float
    saved: float  # in its token bucket now
    priority_weight: int  # of one unit, in thousandths


@dataclass(slots=True, eq=False)
class DemandEstimate:
    """The demand for one quota."""

    priority_weight: int
    requested_at: int  # when it was last asked for
    rate: float = 0.0
    used: float = 0.0
    saved: float = 0.0  # units
    reported: int = -1  # the rate that the leader knows; -1: none
    carried_by: int = 0  # the request that carried it, while that has no answer

    def update(self, now: int, usage: QuotaUsage, gain: float, seconds: float) -> None:
        """Take in one reading over ``seconds``; ``gain`` is its share of the smoothed rates."""
        self.saved = usage.saved
        self.priority_weight = usage.priority_weight
        self.rate += gain * (usage.requested * 1000 / seconds - self.rate)
        self.used += gain * (usage.spent * 1000 / seconds - self.used)
        if usage.requested:
            self.requested_at = now


class DemandTracker:
    """The demand for every quota that this gateway's clients have asked for lately."""

    def __init__(self, now: int) -> None:
        self.max_request = 0  # the largest request, in thousandths of a unit
        self._estimates: dict[str, DemandEstimate] = {}  # by quota
        self._recorded_at = now

    def record(self, now: int, usage: Mapping[str, QuotaUsage]) -> None:
        """Take in what was used of each quota since the last call."""
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
        """Whether any demand differs enough from what was reported."""
        return any(self._differs(now, estimate) for estimate in self._estimates.values())

    def _rate(self, now: int, estimate: DemandEstimate) -> int:
        """The demand to report: at least MIN_RATE, until nobody has asked for the quota in a while.

        What is saved up goes first: a gateway that has plenty leaves its rate to others, and still has its
        savings when its demand rises.
        """
        if now - estimate.requested_at >= DEMAND_LIFETIME_US:
            return 0
        spare = max(0.0, estimate.saved * 1000 - self.max_request)
        return max(MIN_RATE, round(estimate.rate - spare / SAVED_SPENDING_S))

    def _differs(self, now: int, estimate: DemandEstimate) -> bool:
        rate = self._rate(now, estimate)
        reported = estimate.reported
        return reported < 0 or abs(rate - reported) > REPORT_CHANGE * max(rate, reported)

    def collect_report(self, now: int, request_number: int, most: int) -> tuple[list[QuotaDemand], bool]:
        """At most so many demands that have to be reported, carried by this request.

        Returns them, and whether there are more.
        """
        self._forget_withdrawn(now)
        due = [
            (quota_name, estimate)
            for quota_name, estimate in self._estimates.items()
            if estimate.carried_by or self._differs(now, estimate)
        ]
        report = []
        for quota_name, estimate in due[:most]:
            estimate.reported = self._rate(now, estimate)
            estimate.carried_by = request_number
            demand = QuotaDemand(
                quota_name, estimate.reported, estimate.priority_weight, round(estimate.used)
            )
            report.append(demand)
        return report, len(due) > most

    def _forget_withdrawn(self, now: int) -> None:
        """The leader has confirmed that nobody asks for these any more."""
        for quota_name, estimate in list(self._estimates.items()):
            idle = now - estimate.requested_at > DEMAND_LIFETIME_US
            if idle and estimate.reported == 0 and not estimate.carried_by:
                del self._estimates[quota_name]

    def report_confirmed(self, request_number: int) -> None:
        """The leader has what this request carried."""
        for estimate in self._estimates.values():
            if estimate.carried_by == request_number:
                estimate.carried_by = 0

    def report_all_again(self) -> None:
        """The leader knows nothing: another leads, or the session is over."""
        for estimate in self._estimates.values():
            estimate.reported = -1
