"""Faults of a fleet in virtual time: demand that moves, and schedules of faults drawn from a seed."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from .fleet import SECOND, Disk, FleetWorld, Limit, Link, SimulatedGateway

REQUEST_UNITS = (1, 1, 2, 2, 2, 3, 4, 8)  # units of a request
MEAN_REQUEST_UNITS = sum(REQUEST_UNITS) / len(REQUEST_UNITS)
MOVES_S = (5.0, 23.0)  # between two changes of who is busiest


class Demand:
    """Requests for one volume through all heads, unevenly, the busiest changing; what a dead head would have
    got is lost to its client."""

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
        self._world.at(self._world.now + int(self._rng.uniform(*MOVES_S) * SECOND), self._move)

    def _arrive(self) -> None:
        world = self._world
        world.at(world.now + 1 + int(self._rng.expovariate(1 / self._gap)), self._arrive)
        name = self._rng.choices(self._names, self._weights)[0]
        world.send_request(name, float(self._rng.choice(REQUEST_UNITS)), self._volume)


class FaultSchedule:
    """Draws faults and plays them: each kind is a method, and is counted."""

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
        """Faults from now until a time, about so far apart; several may overlap."""
        gap = 1 + int(self.rng.expovariate(1 / mean_gap_s) * SECOND)
        at = self.world.now + gap
        if at < until:
            self.world.at(at, lambda: self._next(until, mean_gap_s))

    def _next(self, until: int, mean_gap_s: float) -> None:
        kinds, weights = zip(*self._kinds, strict=True)
        kind = self.rng.choices(kinds, weights)[0]
        self.faults[kind.__name__.strip("_")] += 1
        kind()
        self.draw(until, mean_gap_s)

    # ---- helpers ----

    def _later(self, low: float, high: float, call: Callable[[], None]) -> None:
        self.world.at(self.world.now + int(self.rng.uniform(low, high) * SECOND), call)

    def _any(self) -> SimulatedGateway:
        return self.rng.choice(list(self.world.gateways.values()))

    def _leader(self) -> SimulatedGateway:
        leads = [
            head for head in self.world.gateways.values() if head.node is not None and head.node.is_leader
        ]
        return self.rng.choice(leads) if leads else self._any()

    def _back(self, head: SimulatedGateway, store: bool = True) -> Callable[[], None]:
        """Its process starts again, unless it runs."""

        def back() -> None:
            if head.node is None:
                head.start(store)

        return back

    # ---- processes ----

    def crash(self) -> None:
        head = self._any()
        head.kill()
        self._later(0.05, 8, self._back(head))

    def crash_mid_step(self) -> None:
        head = self._leader() if self.rng.random() < 0.5 else self._any()
        head.stop_after, head.dies = self.rng.randrange(6), True
        self._later(0.5, 8, self._back(head))

    def _sleeps(self, head: SimulatedGateway, mid: bool) -> None:
        if mid:
            head.stop_after, head.dies = self.rng.randrange(6), False
        else:
            head.sleep()
        self._later(0.2, 14, head.wake)

    def sleep(self) -> None:
        self._sleeps(self._any(), False)

    def sleep_mid_step(self) -> None:
        self._sleeps(self._any(), True)

    def leader_sleeps(self) -> None:
        self._sleeps(self._leader(), self.rng.random() < 0.5)

    def leave(self) -> None:
        """An orderly end, and a new start."""
        head = self._any()
        if head.node is not None and not head.asleep:
            head.step(lambda node: node.leave(head.now()))
            self._later(0.1, 0.5, head.kill)
            self._later(0.6, 6, self._back(head))

    def restart_all(self) -> None:
        for head in self.world.gateways.values():
            head.kill()
            self._later(0.05, 1.5, self._back(head))

    def rolling(self) -> None:
        for n, head in enumerate(list(self.world.gateways.values())):
            at = self.world.now + int((n * 1.5 + 0.01) * SECOND)
            self.world.at(at, head.kill)
            self.world.at(at + SECOND, self._back(head))

    def clock_back(self) -> None:
        """The wall clock is set back, and the head starts again."""
        head = self._any()
        head.wall_ms -= self.rng.randrange(10**9)
        head.kill()
        self._later(0.05, 2, self._back(head))

    def twin(self) -> None:
        """A second process starts under a name that is taken, with a store of its own."""
        head = self._any()
        if self.world.fleet_terms.replicas == (head.name,):
            return  # two processes that are each the one keeper are two fleets: the pages say so
        name = f"{head.name}~{self.faults['twin']}"
        twin = SimulatedGateway(self.world, head.name, head.drift)
        self.world.twins[name] = twin
        twin.start()
        self._later(2, 12, twin.kill)

    def rename(self) -> None:
        """A head that is no keeper comes back under another name, with its store."""
        head = self._any()
        if head.name in self.world.fleet_terms.replicas:
            return
        head.kill()
        fresh = f"{head.name.partition('.')[0]}.{self.faults['rename']}"
        self.world.rename(head, fresh)
        self._later(0.05, 3, self._back(head))

    # ---- stores ----

    def lose_store(self) -> None:
        head = self._any()
        if self.world.fleet_terms.replicas == (head.name,):
            return  # with the one keeper's store the fleet is gone: the pages say so
        head.kill()
        head.disk = Disk()
        self._later(0.05, 5, self._back(head, self.rng.random() < 0.7))

    def old_store(self) -> None:
        """What was copied some time ago stands in the place of a head's store."""
        head = self._any()
        if head.disk is not None:
            copy = head.disk.copy()
            self._later(3, 15, lambda: self._restore(head, copy))

    def _restore(self, head: SimulatedGateway, copy: Disk) -> None:
        head.kill()
        head.disk = copy
        self._later(0.05, 5, self._back(head))

    def full_store(self) -> None:
        head = self._leader() if self.rng.random() < 0.5 else self._any()
        disk = head.disk
        if disk is not None:
            disk.full = True
            self._later(0.5, 8, lambda: setattr(disk, "full", False))
            self._later(8, 12, lambda: self._restore(head, disk))

    # ---- the network ----

    def _cuts(self, side: set[str], both: bool) -> None:
        self.world.cut(side, both)
        self._later(0.5, 12, lambda: self.world.cut(side, both, False))

    def cut(self) -> None:
        self._cuts({self._any().name}, True)

    def cut_one_way(self) -> None:
        head = self._leader() if self.rng.random() < 0.5 else self._any()
        names = set(self.world.gateways) - {head.name}
        self._cuts({head.name} if self.rng.random() < 0.5 else names, False)

    def halves(self) -> None:
        names = sorted(self.world.gateways)
        self._cuts(set(self.rng.sample(names, len(names) // 2)), True)

    def _lines(self, change: Callable[[Link], None], low: float, high: float) -> None:
        """Change all lines of one head, for a while."""
        name = self._any().name
        pairs = [pair for other in self.world.gateways for pair in ((name, other), (other, name))]
        lines = [self.world.link(*pair) for pair in pairs]
        for line in lines:
            change(line)

        def undo() -> None:
            for line in lines:
                line.drop, line.duplicate, line.delay_us, line.jitter_us = 0.0, 0.0, 300, 700

        self._later(low, high, undo)

    def lossy(self) -> None:
        self._lines(lambda line: setattr(line, "drop", self.rng.uniform(0.1, 0.7)), 1, 10)

    def slow(self) -> None:
        """Late, and so far apart that later messages come first."""
        much = self.rng.choice([20_000, 200_000, 1_500_000, 5_000_000])
        self._lines(lambda line: setattr(line, "jitter_us", much), 1, 10)

    def double(self) -> None:
        def double(line: Link) -> None:
            line.duplicate, line.jitter_us = 0.7, 50_000

        self._lines(double, 1, 10)

    def hour_late(self) -> None:
        """All that one head says for a moment arrives when whatever it is of is long over."""
        self._lines(lambda line: setattr(line, "delay_us", 9 * SECOND), 0.2, 1.0)

    # ---- wholes ----

    def _whole(self, factor: float) -> None:
        """The files change, at one head after another, and some not at all for a while."""
        world, old = self.world, self.world.limit
        fresh = world.limit = Limit(old.rate * factor, old.burst * factor)
        waits = set(world.gateways)
        for judge in world.buckets.values():
            judge.change(world.now, fresh)

        def heard(name: str) -> None:
            waits.discard(name)
            if not waits and world.limit is fresh:
                for judge in world.buckets.values():
                    judge.settle(world.now + 2 * world.fleet_terms.lease_with_drift_us)

        for name, head in world.gateways.items():
            at = world.now + int(self.rng.uniform(0, 4) * SECOND)
            world.at(at, lambda head=head, name=name: head.change_limit(fresh, lambda: heard(name)))  # type: ignore[misc]

    def lower(self) -> None:
        if self.world.limit.rate > 30:
            self._whole(self.rng.choice([0.5, 0.8]))

    def raise_(self) -> None:
        if self.world.limit.rate < 200:
            self._whole(self.rng.choice([1.25, 2.0]))
