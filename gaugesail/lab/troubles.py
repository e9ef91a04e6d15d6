"""Load and faults for a simulated fleet: demand that moves between gateways, and random fault schedules."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from .fleet import SECOND, Disk, FleetWorld, Limit, Link, SimulatedGateway

REQUEST_UNITS = (1, 1, 2, 2, 2, 3, 4, 8)  # units of a request
MEAN_REQUEST_UNITS = sum(REQUEST_UNITS) / len(REQUEST_UNITS)
MOVE_INTERVAL_S = (5.0, 23.0)  # bounds of the time between two changes of the busiest gateway


class Demand:
    """Requests for one volume through all gateways, unevenly; the busiest gateway changes.

    ``rate`` is in units a second.  Requests to a gateway whose process has ended are lost.
    """

    def __init__(self, world: FleetWorld, seed: int, rate: float, volume: int = 1) -> None:
        self._world, self._rng = world, random.Random(seed)
        self._gap = MEAN_REQUEST_UNITS / rate * SECOND
        self._volume = volume
        self._names = list(world.gateways)
        self._weights: list[float] = []
        self._move()
        self._arrive()

    def _move(self) -> None:
        self._weights = [1 / (n + 1) ** 1.5 for n in range(len(self._names))]
        self._rng.shuffle(self._weights)
        self._world.at(self._world.now + int(self._rng.uniform(*MOVE_INTERVAL_S) * SECOND), self._move)

    def _arrive(self) -> None:
        world = self._world
        world.at(world.now + 1 + int(self._rng.expovariate(1 / self._gap)), self._arrive)
        name = self._rng.choices(self._names, self._weights)[0]
        world.send_request(name, float(self._rng.choice(REQUEST_UNITS)), self._volume)


class FaultSchedule:
    """Draws faults from a seed and injects them.

    Each kind of fault is a method and is counted in ``faults`` under the method's name.  With ``twins``
    false, no second process is started under a gateway's name.
    """

    def __init__(self, world: FleetWorld, seed: int, twins: bool = True) -> None:
        self.world, self.rng = world, random.Random(seed)
        self.faults: Counter[str] = Counter()
        self._kinds: list[tuple[Callable[[], None], float]] = [
            (self.crash, 3), (self.crash_mid_step, 3), (self.sleep, 2), (self.sleep_mid_step, 3),
            (self.leader_sleeps, 2), (self.cut, 3), (self.cut_one_way, 3), (self.halves, 2),
            (self.lossy, 3), (self.slow, 2), (self.double, 2), (self.hour_late, 1),
            (self.lose_store, 1), (self.old_store, 1.5), (self.full_store, 1.5), (self.restart_all, 0.7),
            (self.rolling, 0.7), (self.lower, 1.5), (self.raise_, 1.5), (self.clock_back, 1),
            (self.leave, 1), (self.twin, 0.7 if twins else 0.0), (self.rename, 0.5),
        ]  # fmt: skip

    def draw(self, until: int, mean_gap_s: float) -> None:
        """Inject faults until a time, at random intervals of this mean; several may overlap."""
        gap = 1 + int(self.rng.expovariate(1 / mean_gap_s) * SECOND)
        at = self.world.now + gap
        if at < until:
            self.world.at(at, lambda: self._play_next(until, mean_gap_s))

    def _play_next(self, until: int, mean_gap_s: float) -> None:
        kinds, weights = zip(*self._kinds, strict=True)
        kind = self.rng.choices(kinds, weights)[0]
        self.faults[kind.__name__.strip("_")] += 1
        kind()
        self.draw(until, mean_gap_s)

    # ---- helpers ----

    def _later(self, low: float, high: float, call: Callable[[], None]) -> None:
        self.world.at(self.world.now + int(self.rng.uniform(low, high) * SECOND), call)

    def _any_gateway(self) -> SimulatedGateway:
        return self.rng.choice(list(self.world.gateways.values()))

    def _leader(self) -> SimulatedGateway:
        leaders = [
            gateway
            for gateway in self.world.gateways.values()
            if gateway.node is not None and gateway.node.is_leader
        ]
        return self.rng.choice(leaders) if leaders else self._any_gateway()

    def _restart(self, gateway: SimulatedGateway, store: bool = True) -> Callable[[], None]:
        """Return a call that starts the gateway's process unless one runs."""

        def restart() -> None:
            if gateway.node is None:
                gateway.start(store)

        return restart

    # ---- processes ----

    def crash(self) -> None:
        """A gateway's process is killed and restarts."""
        gateway = self._any_gateway()
        gateway.kill()
        self._later(0.05, 8, self._restart(gateway))

    def crash_mid_step(self) -> None:
        """A gateway's process is killed between two of its actions and restarts."""
        gateway = self._leader() if self.rng.random() < 0.5 else self._any_gateway()
        gateway.stop_after, gateway.kills_at_stop = self.rng.randrange(6), True
        self._later(0.5, 8, self._restart(gateway))

    def _suspend(self, gateway: SimulatedGateway, mid_step: bool) -> None:
        if mid_step:
            gateway.stop_after, gateway.kills_at_stop = self.rng.randrange(6), False
        else:
            gateway.sleep()
        self._later(0.2, 14, gateway.wake)

    def sleep(self) -> None:
        """A gateway is suspended for a while."""
        self._suspend(self._any_gateway(), False)

    def sleep_mid_step(self) -> None:
        """A gateway is suspended between two of its actions."""
        self._suspend(self._any_gateway(), True)

    def leader_sleeps(self) -> None:
        """The leader is suspended for a while."""
        self._suspend(self._leader(), self.rng.random() < 0.5)

    def leave(self) -> None:
        """The gateway leaves the fleet in order, ends and starts again."""
        gateway = self._any_gateway()
        if gateway.node is not None and not gateway.asleep:
            gateway.step(lambda node: node.leave(gateway.now()))
            self._later(0.1, 0.5, gateway.kill)
            self._later(0.6, 6, self._restart(gateway))

    def restart_all(self) -> None:
        """All gateways are killed at once and restart."""
        for gateway in self.world.gateways.values():
            gateway.kill()
            self._later(0.05, 1.5, self._restart(gateway))

    def rolling(self) -> None:
        """The gateways restart one after another."""
        for n, gateway in enumerate(list(self.world.gateways.values())):
            at = self.world.now + int((n * 1.5 + 0.01) * SECOND)
            self.world.at(at, gateway.kill)
            self.world.at(at + SECOND, self._restart(gateway))

    def clock_back(self) -> None:
        """The wall clock is set back, and the gateway restarts."""
        gateway = self._any_gateway()
        gateway.wall_ms -= self.rng.randrange(10**9)
        gateway.kill()
        self._later(0.05, 2, self._restart(gateway))

    def twin(self) -> None:
        """A second process starts under the name of a running gateway, with a store of its own."""
        gateway = self._any_gateway()
        if self.world.fleet_terms.replicas == (gateway.name,):
            return  # two processes that are each the only replica are two fleets, as documented
        name = f"{gateway.name}~{self.faults['twin']}"
        twin = SimulatedGateway(self.world, gateway.name, gateway.drift)
        self.world.twins[name] = twin
        twin.start()
        self._later(2, 12, twin.kill)

    def rename(self) -> None:
        """A gateway without a replica restarts under another name, with its store."""
        gateway = self._any_gateway()
        if gateway.name in self.world.fleet_terms.replicas:
            return
        gateway.kill()
        new_name = f"{gateway.name.partition('.')[0]}.{self.faults['rename']}"
        self.world.rename(gateway, new_name)
        self._later(0.05, 3, self._restart(gateway))

    # ---- stores ----

    def lose_store(self) -> None:
        """A gateway restarts with an empty store, or with none."""
        gateway = self._any_gateway()
        if self.world.fleet_terms.replicas == (gateway.name,):
            return  # the only replica's store is the only copy of the fleet's state, as documented
        gateway.kill()
        gateway.disk = Disk()
        self._later(0.05, 5, self._restart(gateway, self.rng.random() < 0.7))

    def old_store(self) -> None:
        """A gateway's store is replaced by an earlier copy."""
        gateway = self._any_gateway()
        if gateway.disk is not None:
            copy = gateway.disk.copy()
            self._later(3, 15, lambda: self._restore(gateway, copy))

    def _restore(self, gateway: SimulatedGateway, copy: Disk) -> None:
        gateway.kill()
        gateway.disk = copy
        self._later(0.05, 5, self._restart(gateway))

    def full_store(self) -> None:
        """Writes to a gateway's store fail for a while, then it restarts."""
        gateway = self._leader() if self.rng.random() < 0.5 else self._any_gateway()
        disk = gateway.disk
        if disk is not None:
            disk.full = True
            self._later(0.5, 8, lambda: setattr(disk, "full", False))
            self._later(8, 12, lambda: self._restore(gateway, disk))

    # ---- the network ----

    def _cut_for_a_while(self, names: set[str], both: bool) -> None:
        self.world.cut(names, both)
        self._later(0.5, 12, lambda: self.world.cut(names, both, False))

    def cut(self) -> None:
        """A gateway is cut off."""
        self._cut_for_a_while({self._any_gateway().name}, True)

    def cut_one_way(self) -> None:
        """A gateway cannot send to the others, or cannot receive from them."""
        gateway = self._leader() if self.rng.random() < 0.5 else self._any_gateway()
        names = set(self.world.gateways) - {gateway.name}
        self._cut_for_a_while({gateway.name} if self.rng.random() < 0.5 else names, False)

    def halves(self) -> None:
        """The fleet is cut into two halves."""
        names = sorted(self.world.gateways)
        self._cut_for_a_while(set(self.rng.sample(names, len(names) // 2)), True)

    def _disturb_links(self, change: Callable[[Link], None], low: float, high: float) -> None:
        """Change all links of one gateway for a random time between ``low`` and ``high`` seconds."""
        name = self._any_gateway().name
        pairs = [pair for other in self.world.gateways for pair in ((name, other), (other, name))]
        links = [self.world.link(*pair) for pair in pairs]
        for link in links:
            change(link)

        def undo() -> None:
            for link in links:
                link.drop, link.duplicate, link.delay_us, link.jitter_us = 0.0, 0.0, 300, 700

        self._later(low, high, undo)

    def lossy(self) -> None:
        """A gateway's messages are lost at random."""
        self._disturb_links(lambda link: setattr(link, "drop", self.rng.uniform(0.1, 0.7)), 1, 10)

    def slow(self) -> None:
        """Messages are late, and arrive in another order."""
        jitter_us = self.rng.choice([20_000, 200_000, 1_500_000, 5_000_000])
        self._disturb_links(lambda link: setattr(link, "jitter_us", jitter_us), 1, 10)

    def double(self) -> None:
        """A gateway's messages are duplicated and reordered."""

        def double(link: Link) -> None:
            link.duplicate, link.jitter_us = 0.7, 50_000

        self._disturb_links(double, 1, 10)

    def hour_late(self) -> None:
        """For a moment, a gateway's messages are delayed beyond the end of their lease or election."""
        self._disturb_links(lambda link: setattr(link, "delay_us", 9 * SECOND), 0.2, 1.0)

    # ---- limits ----

    def _change_limit(self, factor: float) -> None:
        """Change the configured limit, at one gateway after another; suspended ones apply it on waking."""
        world, old = self.world, self.world.limit
        limit = world.limit = Limit(old.rate * factor, old.burst * factor)
        pending = set(world.gateways)
        for bucket in world.buckets.values():
            bucket.change(world.now, limit)

        def done(name: str) -> None:
            pending.discard(name)
            if not pending and world.limit is limit:
                for bucket in world.buckets.values():
                    bucket.settle(world.now + 2 * world.fleet_terms.lease_with_drift_us)

        for name, gateway in world.gateways.items():
            at = world.now + int(self.rng.uniform(0, 4) * SECOND)
            world.at(at, lambda gateway=gateway, name=name: gateway.change_limit(limit, lambda: done(name)))  # type: ignore[misc]

    def lower(self) -> None:
        """The limit is lowered."""
        if self.world.limit.rate > 30:
            self._change_limit(self.rng.choice([0.5, 0.8]))

    def raise_(self) -> None:
        """The limit is raised."""
        if self.world.limit.rate < 200:
            self._change_limit(self.rng.choice([1.25, 2.0]))
