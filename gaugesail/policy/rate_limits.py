"""What this gateway may spend of amounts that it shares with others: the limit of a plan, by volume, and the
budget for further attempts.

A limit is a store of units, filled as time goes by and emptied by first sends.  Where gateways may not talk
each has the even part of it.  Where the fleet divides it (docs/fleet-agreement.md) a store fills at the floor
and the part together, up to both bursts, and at the floor alone once the lease is over.  It begins empty: an
earlier life may have spent all that this gateway had.  What grows grows empty; what shrinks loses the rest.
"""

from __future__ import annotations

from dataclasses import dataclass

from .events import QuotaChanged
from .settings import Plan, Settings

FLOOR_HOLD_US = 1_000_000  # a send that rests on no lease is begun by then or not at all


@dataclass(slots=True, eq=False)
class TokenBucket:
    """One volume's units here.  Rates in units a second, bursts in units, times in microseconds."""

    plan: Plan
    filled_at: int
    units: float = 0.0
    own_rate: float = 0.0  # its own, whatever happens: the floor, or the even part
    own_burst: float = 0.0
    leased_rate: float = 0.0  # until the lease ends
    leased_burst: float = 0.0
    requested_units: float = 0.0  # units of requests since the last reading
    sent_units: float = 0.0  # and of first sends
    users: int = 0  # that draw on it

    def fill(self, now: int, until: int) -> None:
        """What has come in since; the part's only up to the end of its lease.

        Never more than this gateway's own file allows, whatever the fleet has agreed.
        """
        live = min(now, until)
        if live > self.filled_at and (self.leased_rate or self.leased_burst):
            rate = min(self.plan.limit, self.own_rate + self.leased_rate)
            burst = min(self.plan.limit_burst, self.own_burst + self.leased_burst)
            self.units = min(burst, self.units + (live - self.filled_at) / 1e6 * rate)
            self.filled_at = live
        if now > self.filled_at:
            # From here on it has its own alone.
            rate, burst = min(self.plan.limit, self.own_rate), min(self.plan.limit_burst, self.own_burst)
            self.units = min(burst, self.units + (now - self.filled_at) / 1e6 * rate)
            self.filled_at = now

    def clamp(self) -> None:
        """Its bursts have changed: what is over is lost."""
        self.units = min(self.units, self.own_burst + self.leased_burst)


class RateLimits:
    """The stores of one gateway."""

    def __init__(self, settings: Settings, born: int) -> None:
        self._set, self._born = settings, born
        self._until = 0  # of the lease
        self._stores: dict[tuple[str, int, float], TokenBucket] = {}
        self._asked: dict[tuple[str, int], TokenBucket] = {}
        self._parts: dict[tuple[str, int], tuple[float, float]] = {}
        self._floors: dict[str, tuple[float, float]] = {}
        self._floors_at = born

    def update_settings(self, settings: Settings) -> None:
        """Other settings; stores go by the names of plans."""
        self._set = settings
        plans = {plan.name: plan for plan in settings.plans}
        for store in self._stores.values():
            store.plan = plans.get(store.plan.name, store.plan)

    # ---- limits, the gateway's side ----

    def open_bucket(self, now: int, plan: Plan, volume: int, mounts: float) -> TokenBucket:
        """The store of one volume under its plan's limit."""
        name = plan.name, volume, 0.0 if self._set.fleet_quota else mounts
        if (store := self._stores.get(name)) is None:
            # An earlier life may have spent this gateway's whole part: it starts empty.
            store = self._stores[name] = TokenBucket(plan, self._born)
            if self._set.fleet_quota:
                store.filled_at = self._floors_at
                store.own_rate, store.own_burst = self._floors.get(plan.name, (0.0, 0.0))
                store.fill(now, 0)
                store.leased_rate, store.leased_burst = self._parts.get(name[:2], (0.0, 0.0))
        store.users += 1
        return store

    def record_demand(self, now: int, store: TokenBucket, volume: int, units: float) -> None:
        """A request has come: what is asked for, served or not, is what the fleet divides by."""
        if self._set.fleet_quota and store.plan.limit:
            store.requested_units += units
            self._asked[store.plan.name, volume] = store

    def refill(self, now: int, store: TokenBucket, mounts: float, lives: int) -> None:
        """Bring a store up to now; beside another process of this gateway half of an even part comes in."""
        if not self._set.fleet_quota:
            plan = store.plan
            store.own_rate, store.own_burst = plan.limit / mounts / lives, plan.limit_burst / mounts
        store.fill(now, self._until)

    def spend(self, now: int, store: TokenBucket, units: float) -> int:
        """A first send takes its units: when it has to be begun by; 0: at any time."""
        store.units -= units
        store.sent_units += units
        if not self._set.fleet_quota or not store.plan.limit:
            return 0
        # Checked again at the first byte: a process may sleep in between for longer than its lease.
        leased = now < self._until and (store.leased_rate or store.leased_burst)
        return self._until if leased else now + FLOOR_HOLD_US

    def release(self, now: int, name: tuple[int, str, float], store: TokenBucket) -> bool:
        """A book of a volume is no longer needed; it goes if its store is full, and would be made full again.

        One that is not full would come back with more than it went with.
        """
        store.fill(now, self._until)
        if store.plan.limit and store.units < min(
            store.plan.limit_burst, store.own_burst + store.leased_burst
        ):
            return False
        store.users -= 1
        if not store.users:
            volume, plan, mounts = name
            self._stores.pop((plan, volume, 0.0 if self._set.fleet_quota else mounts), None)
        return True

    # ---- limits, the fleet's side ----

    def allowance(self, now: int, plan: str, volume: int) -> tuple[float, float]:
        """The rate and the burst that it may spend of one volume now; for audits."""
        rate, burst = self._floors.get(plan, (0.0, 0.0))
        part = self._parts.get((plan, volume), (0.0, 0.0)) if now < self._until else (0.0, 0.0)
        return rate + part[0], burst + part[1]

    def take_demand(self, now: int) -> list[tuple[str, int, float, float, float]]:
        """Plan, volume, units asked for and sent since the last call, and units saved up, of each volume
        under a limit that was asked for."""
        found = []
        for name, store in self._asked.items():
            store.fill(now, self._until)
            found.append((*name, store.requested_units, store.sent_units, max(0.0, store.units)))
            store.requested_units = store.sent_units = 0.0
        self._asked = {}
        return found

    def update_quota(self, now: int, event: QuotaChanged) -> None:
        """What the fleet lets this gateway spend from now on; up to now by what held until now."""
        every = list(self._stores.values())
        named = [self._stores.get((plan, volume, 0.0)) for plan, volume, _, _ in event.allocations]
        if event.replaces_all or event.floors is not None or now > self._until:
            changed = every
        else:
            changed = [store for store in named if store is not None]
        for store in changed:
            store.fill(now, self._until)
        self._until = event.lease_until_us
        if event.floors is not None:
            if not self._floors:
                self._floors_at = now
            self._floors = {plan: (rate, burst) for plan, rate, burst in event.floors}
            for store in every:
                store.own_rate, store.own_burst = self._floors.get(store.plan.name, (0.0, 0.0))
        if event.replaces_all:
            self._parts.clear()
            for store in every:
                store.leased_rate = store.leased_burst = 0.0
        for (plan, volume, rate, burst), found in zip(event.allocations, named, strict=True):
            self._parts[plan, volume] = rate, burst
            if not (rate or burst):
                del self._parts[plan, volume]
            if found is not None:
                found.leased_rate, found.leased_burst = rate, burst
        for store in changed:
            store.clamp()
