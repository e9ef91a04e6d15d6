"""What each volume may still use at this gateway: its reserve, its fair share, and its rate limit."""

from __future__ import annotations

from .events import RequestReceived
from .gateway_state import GatewayState
from .rate_limits import RateLimits
from .records import PendingRequest, VolumeBudget
from .settings import Settings

FORGET_AFTER_US = 10_000_000  # without an open request: by then reserve and share are full


class VolumeTable:
    """The budgets of the volumes that one gateway has requests of.

    A budget goes by volume, plan and number of gateways, so that a client that names the volume of another
    with a plan or gateways of its own does not touch the budget of the other.
    """

    def __init__(self, state: GatewayState, rate_limits: RateLimits) -> None:
        self._state = state
        self._rate_limits = rate_limits
        self.budgets: dict[tuple[int, str, float], VolumeBudget] = {}

    def open(self, event: RequestReceived, settings: Settings) -> VolumeBudget:
        """The budget of a new request's volume, under the settings that the request was received under."""
        plan = settings.plans[event.plan_index]
        key = event.volume_id, plan.name, event.gateways_in_use
        volume = self.budgets.get(key)
        if volume is None:
            state = self._state
            bucket = self._rate_limits.open_bucket(state.now, plan, event.volume_id, event.gateways_in_use)
            reserve = plan.reserve + state.settings.max_request_units
            volume = VolumeBudget(plan, event.gateways_in_use, state.started_at, reserve, plan.rate, bucket)
            self.budgets[key] = volume
        self.refill(volume)
        self._rate_limits.record_demand(self._state.now, volume.limit_bucket, event.volume_id, event.units)
        volume.open_requests += 1
        return volume

    def refill(self, volume: VolumeBudget) -> None:
        """Bring a budget up to now."""
        state = self._state
        volume.refill(state.now, state.settings.max_request_units)
        self._rate_limits.refill(state.now, volume.limit_bucket, volume.gateways_in_use, state.process_count)

    def spend(self, request: PendingRequest) -> None:
        """A first attempt is sent: take its units from the reserve or the share, and from the limit."""
        volume = request.volume
        request.quota_until = self._rate_limits.spend(self._state.now, volume.limit_bucket, request.units)
        if volume.has_reserve(request.units):
            volume.reserve_units -= request.units
        else:
            volume.share_units -= request.units

    def update_plans(self) -> None:
        """The settings have changed: budgets follow their plans by name."""
        plans = {plan.name: plan for plan in self._state.settings.plans}
        for volume in self.budgets.values():
            volume.plan = plans.get(volume.plan.name, volume.plan)

    def forget_idle(self) -> None:
        """Drop the budgets that have not been used for a while and would come back as they are."""
        now = self._state.now
        idle = [item for item in self.budgets.items() if not item[1].open_requests]
        for key, volume in idle:
            unused = now - volume.refilled_at > FORGET_AFTER_US
            if unused and self._rate_limits.release(now, key, volume.limit_bucket):
                del self.budgets[key]
