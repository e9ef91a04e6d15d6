"""The budgets of volumes at this gateway: reserve and rate limit."""

from __future__ import annotations

from itertools import islice

from .events import RequestReceived
from .gateway_state import GatewayState
from .rate_limits import RateLimits
from .records import PendingRequest, VolumeBudget
from .settings import Settings
from .spare_shares import SpareShares

IDLE_BUDGET_US = 10_000_000  # without an open request; by then the reserve is full
MAX_VOLUMES = 10_000  # the default of ``VolumeTable.max_volumes``
EXAMINED_IN_PERIOD = 2_000  # budgets that may be dropped in one control period
EXAMINED_FOR_ONE = 4  # while there are too many, for each new one


class VolumeTable:
    """The budgets of the volumes that one gateway has requests for.

    The key of a budget is volume, plan and number of gateways, so that a client that names another client's
    volume with a different plan or number of gateways does not change that client's budget.

    Beyond ``max_volumes`` a new budget displaces those that are as full as new ones, which changes nothing
    for their volumes.  The others are as many as the open requests and the volumes that were served lately.
    """

    def __init__(self, state: GatewayState, rate_limits: RateLimits) -> None:
        self._state = state
        self._rate_limits = rate_limits
        self.budgets: dict[tuple[int, str, float], VolumeBudget] = {}
        self.max_volumes = MAX_VOLUMES

    def open(self, event: RequestReceived, settings: Settings) -> VolumeBudget:
        """Return the budget of a new request's volume, under the settings in force for the request."""
        plan = settings.plans[event.plan_index]
        key = event.volume_id, plan.name, event.gateways_in_use
        volume = self.budgets.get(key)
        if volume is None:
            state = self._state
            bucket = self._rate_limits.open_bucket(state.now, plan, event.volume_id, event.gateways_in_use)
            reserve = plan.reserve + state.settings.max_request_units
            volume = VolumeBudget(plan, event.gateways_in_use, state.started_at, reserve, bucket)
            if len(self.budgets) >= self.max_volumes:
                self._examine(EXAMINED_FOR_ONE, 0)
            self.budgets[key] = volume
        self.refill(volume)
        self._rate_limits.record_demand(self._state.now, volume.limit_bucket, event.volume_id, event.units)
        volume.open_requests += 1
        return volume

    def refill(self, volume: VolumeBudget) -> None:
        """Refill a budget up to the present time."""
        state = self._state
        volume.refill(state.now, state.settings.max_request_units)
        self._rate_limits.refill(state.now, volume.limit_bucket, volume.gateways_in_use, state.process_count)

    def spend(self, request: PendingRequest, spare: SpareShares) -> None:
        """Spend the units of a first attempt from the reserve or its shard's spare, and the rate limit."""
        volume = request.volume
        request.quota_until = self._rate_limits.spend(self._state.now, volume.limit_bucket, request.units)
        if volume.has_reserve(request.units):
            volume.reserve_units -= request.units
        else:
            spare.spend(volume, request.units)

    def update_plans(self) -> None:
        """Apply changed settings: each budget follows its plan by name."""
        plans = {plan.name: plan for plan in self._state.settings.plans}
        for volume in self.budgets.values():
            volume.plan = plans.get(volume.plan.name, volume.plan)

    def drop_idle(self) -> None:
        """Drop the long-unused budgets that are as full as new ones."""
        self._examine(EXAMINED_IN_PERIOD, IDLE_BUDGET_US)

    def _examine(self, count: int, unused_us: int) -> None:
        """Drop those of the next ``count`` budgets that may be dropped; the others move to the end."""
        for key in list(islice(self.budgets, count)):
            volume = self.budgets.pop(key)
            if not self._may_drop(key, volume, unused_us):
                self.budgets[key] = volume

    def _may_drop(self, key: tuple[int, str, float], volume: VolumeBudget, unused_us: int) -> bool:
        """Whether a budget is unused and as full as a new one; releases its bucket then."""
        now = self._state.now
        if volume.open_requests or now - volume.refilled_at < unused_us:
            return False
        volume.refill(now, self._state.settings.max_request_units)
        if not volume.is_full(self._state.settings.max_request_units):
            return False
        return self._rate_limits.release(now, key, volume.limit_bucket)
