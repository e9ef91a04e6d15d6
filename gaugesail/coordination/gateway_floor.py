"""What a gateway may spend of each plan without a lease: the floor that is bound to its store.

Once persisted the floor is permanent, so that a gateway that reaches no leader still serves some requests.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .fleet_terms import FleetTerms
from .lease_messages import LeaseResponse
from .quota_ledger import RateBurst

PlanRates = tuple[tuple[str, int, int], ...]  # plan, rate and burst in thousandths


@dataclass(slots=True)
class PersistedFloor:
    """A floor that is or must be persisted: its slot in the ledger, and the limits that it goes by."""

    slot: int = -1  # -1: none
    limits_version: int = 0  # index of the entry that set the limits
    limits: dict[str, RateBurst] = field(default_factory=dict)  # by plan
    fleet: str = ""  # the fleet that assigned the slot


class GatewayFloor:
    """This gateway's floor.

    ``changed``: ``current`` must be persisted before anything is spent by it; the caller that persists it
    clears the flag.
    """

    def __init__(self, terms: FleetTerms, store: str, persisted: PersistedFloor) -> None:
        self._terms = terms
        self.store = store  # store id; "": no store, so no floor may be spent
        self.current = persisted
        self.changed = False
        self._frozen = False  # the store rejects writes

    def rates(self, stated_limits: PlanRates) -> PlanRates:
        """Return what may be spent without a lease of each volume, by plan.

        It is the floor of the lesser of the agreed limit and this gateway's configured one.
        """
        if self.current.slot < 0 or not self.store:
            return ()
        own = {plan: (rate, burst) for plan, rate, burst in stated_limits}
        floors = []
        for plan, agreed in sorted(self.current.limits.items()):
            stated = own.get(plan, agreed)
            rate, burst = self._terms.floor(min(agreed[0], stated[0]), min(agreed[1], stated[1]))
            floors.append((plan, rate, burst))
        return tuple(floors)

    def accept(self, response: LeaseResponse) -> None:
        """Adopt the slot and the limits of a response, unless they are older than the current ones."""
        current = self.current
        received = response.floor_slot, response.limits_version
        if not self.store or self._frozen or received == (current.slot, current.limits_version):
            return
        if response.limits_version < current.limits_version and response.floor_slot == current.slot:
            return
        limits = {plan: (rate, burst) for plan, rate, burst in response.limits}
        self.current = PersistedFloor(response.floor_slot, response.limits_version, limits, response.fleet)
        self.changed = True

    def forget_other_fleet(self, fleet: str) -> None:
        """Drop a slot that another fleet of this name assigned: it is not valid in ``fleet``."""
        if self.current.fleet != fleet:
            self.current = PersistedFloor()
            self.changed = bool(self.store)

    def replace_store(self, store: str) -> None:
        """Switch to a new store, which no floor is bound to."""
        self.store = store
        self.current = PersistedFloor()

    def not_persisted(self, persisted: PersistedFloor) -> None:
        """Freeze the floor at the lesser of persisted and current limits, as the store rejects writes."""
        current = self.current
        limits = {}
        for plan, (rate, burst) in persisted.limits.items():
            if plan in current.limits:
                limits[plan] = min(rate, current.limits[plan][0]), min(burst, current.limits[plan][1])
        same = (persisted.slot, persisted.fleet) == (current.slot, current.fleet)
        slot = persisted.slot if same else -1
        self.current = PersistedFloor(slot, persisted.limits_version, limits, persisted.fleet)
        self._frozen = True
