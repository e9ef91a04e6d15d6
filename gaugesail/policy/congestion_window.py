"""How many requests may be in flight at a node, and for which classes (docs/design.md, "The decisions").

Once per control period the FAST TCP rule moves a node's congestion window toward the latency targets: it
shrinks while answers take longer than the targets and grows while they take less.  The slots of the window
are then split among the request classes: each slot is given to the class whose
response time, forecast by Little's law, exceeds its objective by the largest factor.  The rule, its gain and
its smoothing are taken from a paper that docs/design.md names; that page also lists where the constants here
differ.
"""

from __future__ import annotations

from typing import NamedTuple

from .gateway_state import GatewayState
from .measured_latencies import MeasuredLatencies
from .records import NodeRecord, ShardRecord
from .recovery import RecoveryRamp

CONTROL_PERIOD_US = 250_000
LATENCY_OLD_WEIGHT = 0.002  # weight of the previous value in the smoothed latency of a class
WINDOW_GAIN = 0.8  # r of the window rule
BASE_LATENCY_DRIFT = 1.15  # growth factor of the lowest latency per control period: old values expire
INITIAL_WINDOW = 4.0  # requests in flight per gateway and node
SLOW_START_WINDOW = 1.0  # requests in flight at a node that is warming up, or has just served its trial
MAX_WINDOW = 32.0  # requests in flight
MAX_GROWTH = 1.0  # of a window in one control period, in requests


class LatencySums(NamedTuple):
    """Sums over the request classes with answers in a period, in microseconds."""

    target: float
    smoothed: float
    base: float


class CongestionWindows:
    """Updates the congestion windows of one gateway's nodes and splits their slots among the classes."""

    def __init__(self, state: GatewayState, measured: MeasuredLatencies, recovery: RecoveryRamp) -> None:
        self._state = state
        self._measured = measured
        self._recovery = recovery

    def end_period(self, shard: ShardRecord) -> bool:
        """Update the window of the shard's node from the period that ends now, and begin the next one.

        Returns whether further periods change nothing until something happens at the shard.
        """
        node = shard.node
        is_filled = any(shard.previous_queue_lengths) and any(shard.waiting)
        is_settled = not (any(shard.waiting) or any(shard.arrivals))
        expected_per_s = 0.0 if node is None else node.expected_per_s
        shard.drain.end_period(CONTROL_PERIOD_US / 1e6, is_filled, expected_per_s)
        if node is not None:
            if any(node.latency_counts):
                is_settled = False
                sums = self._smooth_latencies(node)
                if sums.smoothed:
                    self._move_window(node, sums)
            self._split_slots(shard, node)
            node.latency_sums = [0.0] * len(node.latency_sums)
            node.latency_counts = [0] * len(node.latency_sums)
            node.peak_in_flight = len(node.in_flight)
        shard.previous_queue_lengths = [len(requests) for requests in shard.waiting]
        shard.arrivals = [0] * len(shard.arrivals)
        return is_settled

    def _smooth_latencies(self, node: NodeRecord) -> LatencySums:
        target = smoothed = base = 0.0
        targets = self._state.latency_targets_us
        before_us = list(node.latency_us)
        for position, count in enumerate(node.latency_counts):
            if not count:
                continue
            latest = node.latency_sums[position] / count
            node.latency_us[position] = (
                1 - LATENCY_OLD_WEIGHT
            ) * latest + LATENCY_OLD_WEIGHT * node.latency_us[position]
            node.base_latency_us[position] = min(
                targets[position], latest, node.base_latency_us[position] * BASE_LATENCY_DRIFT
            )
            target += targets[position]
            smoothed += node.latency_us[position]
            base += node.base_latency_us[position]
        self._measured.remove(before_us)
        self._measured.add(node.latency_us)
        return LatencySums(target, smoothed, base)

    def _move_window(self, node: NodeRecord, sums: LatencySums) -> None:
        """Move the window by the FAST TCP rule: window * (1 - r + r * goal / latency).

        It grows by no more than ``MAX_GROWTH``, as all gateways of a node see a gap at once, and the answers
        to what they then send come later.  The goal is the target, or nearer to the lowest latency seen while
        the shard returns.
        """
        bounds = self._recovery.window_bounds(node.shard, MAX_WINDOW)
        # With every gateway at its smallest window, one request is still in flight.
        floor = 1 / self._state.settings.gateway_count
        goal = sums.base + (sums.target - sums.base) * bounds.latency_share
        moved = node.window * (1 - WINDOW_GAIN + WINDOW_GAIN * goal / sums.smoothed)
        moved = min(moved, node.window + MAX_GROWTH)
        was_filled = node.peak_in_flight >= int(node.window)
        if moved < node.window or was_filled:
            node.window = max(floor, bounds.smallest, min(MAX_WINDOW, moved))

    def _split_slots(self, shard: ShardRecord, node: NodeRecord) -> None:
        """Give each slot to the class whose forecast exceeds its objective by the largest factor."""
        node.class_slots = [0] * len(self._state.latency_targets_us)
        slots = max(1, int(node.window))
        if not any(shard.arrivals):  # the forecasts do not depend on the slots
            node.class_slots[self._most_late_class(shard, node)] = slots
            return
        for _ in range(slots):
            node.class_slots[self._most_late_class(shard, node)] += 1

    def _most_late_class(self, shard: ShardRecord, node: NodeRecord) -> int:
        most_late_class = 0
        max_lateness = -1.0
        for position in range(len(shard.waiting)):
            lateness = self._forecast_lateness(shard, node, position)
            if lateness > max_lateness:
                most_late_class = position
                max_lateness = lateness
        return most_late_class

    def _forecast_lateness(self, shard: ShardRecord, node: NodeRecord, position: int) -> float:
        """Return the forecast response time of a class, with its slots so far, divided by its objective.

        By Little's law a request waits for the mean queue length over the arrival rate; the average time
        that the queued requests have already waited is added to it.
        """
        delay = 0.0
        arrivals = shard.arrivals[position]
        if arrivals:
            waiting = shard.waiting[position]
            served = node.class_slots[position] * CONTROL_PERIOD_US / max(node.latency_us[position], 1)
            waited = sum(self._state.now - request.received_at for request in waiting) / max(len(waiting), 1)
            queue_at_end = max(0.0, len(waiting) + arrivals - served)
            mean_queue = (queue_at_end + shard.previous_queue_lengths[position]) / 2
            delay = mean_queue / arrivals * CONTROL_PERIOD_US + waited
        target = self._state.latency_targets_us[position]
        return (delay + target) / self._state.latency_objectives_us[position]
