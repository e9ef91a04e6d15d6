"""A trial: real heads, demand that moves, faults drawn from a seed or told by a timeline, and its outcome."""

from __future__ import annotations

import errno
import random
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path
from typing import Any

from ...lab.fleet import Limit
from ..faults.shim import Call, Faults, NoCompiler, build
from ..peers import Directory
from .heads import HeadProcess, free_ports
from .relay import Line, Relays
from .world import SLACK_S, Clients, FleetJudge, Ledger, MovingDemand, Node, config_of

KEY = "a key of the rig alone, on loopback"
UP_S = 20.0  # in which all heads serve, or the trial has not begun
KINDS = {  # of faults, each a method of the rig, and how often it comes
    "kill": 3.0, "stop": 3.0, "term": 1.5, "store_lost": 1.0, "store_old": 1.5, "restart_all": 0.5,
    "cut": 2.0, "one_way": 2.0, "halves": 1.5, "drop": 2.0, "delay": 2.0, "duplicate": 1.5, "reorder": 1.5,
    "trickle": 1.5, "lower_whole": 1.0, "raise_whole": 1.0, "step_clock": 1.5, "disk_fails": 1.0,
}  # fmt: skip
CLOCK_STEPS_S = (-86400.0, -3600.0, -3.0, 3.0, 3600.0, 86400.0)
DISK_ERRORS = (errno.ENOSPC, errno.EIO)
EVERY_CALL = 1_000_000  # fails, until that is taken back
AFTER_USED_S = 4.0  # the end of the time without faults, that is looked at
RESEAT_S = 20.0  # between two keepers' stores that are lost: with most of them gone at once a fleet is over
CALM_S = 8.0  # at the end, without a new fault: what waits is answered


@dataclass(slots=True, frozen=True)
class Trial:
    """What is played."""

    heads: int = 5
    keepers: int = 3
    seconds: float = 60.0
    seed: int = 1
    rate: float = 100.0  # units a second, of the whole
    burst: float = 80.0
    over: float = 1.3  # demand, of the whole
    lease_ms: int = 2000
    faults: bool = True
    timeline: tuple[tuple[float, str], ...] = ()  # faults by their names, in place of drawn ones
    fleet: bool = True
    after: float = 16.0  # seconds in which demand goes on and nothing fails any more


@dataclass(slots=True)
class Played:
    """What came of it."""

    told: Ledger
    used: float
    used_after: float  # at the end, when nothing fails any more
    faults: Counter[str]
    events: list[tuple[float, str, str]]  # when, which fault, of whom
    errors: list[str]
    began: float


class NotUp(Exception):
    """The heads did not begin to serve."""


class Rig:
    """One trial while it is played."""

    def __init__(self, reactor: Any, trial: Trial, folder: Path) -> None:
        self.reactor, self.trial, self.folder = reactor, trial, folder
        self.rng = random.Random(trial.seed)
        self.limit = Limit(trial.rate, trial.burst)
        self.judge = FleetJudge(reactor.seconds, self.limit)
        self.directory = Directory(reactor, "list", lambda at: None)
        self.nodes = [Node(reactor, f"node-{shard}", shard, self.judge) for shard in (0, 1)]
        for node in self.nodes:
            self.directory.add(node)
        names = [f"h{n}" for n in range(trial.heads)]
        ports = free_ports(3 * trial.heads)
        self.heads = {
            name: HeadProcess(name, folder / name, *ports[3 * n : 3 * n + 3]) for n, name in enumerate(names)
        }
        self.system = self._system_faults()
        at = {name: ("127.0.0.1", head.fleet_port) for name, head in self.heads.items()}
        self.relays = Relays(reactor, trial.seed + 1, at if trial.fleet else {})
        self.keepers = names[: trial.keepers]
        self.clients: dict[str, Clients] = {}
        for name, head in self.heads.items():
            head.with_fleet = trial.fleet
            head.write(self._config(head), self._fleet(head))
            self.clients[name] = Clients(
                reactor, name, ("127.0.0.1", head.listen), trial.heads, self.judge,
                lambda name=name: self._excused(name),  # type: ignore[misc]
            )  # fmt: skip
        self.demand: MovingDemand | None = None
        self.faults: Counter[str] = Counter()
        self.events: list[tuple[float, str, str]] = []
        self.began = 0.0
        self._kills: dict[str, float] = {}  # until when what a head loses is its process's end
        self._busy: set[str] = set()  # heads that a fault has hold of
        self._calls: list[Any] = []
        self._over = False
        self._store_at = -RESEAT_S  # when a keeper's store was last lost or put back
        self._wholes = [(0.0, trial.rate)]  # what the whole is, from when

    def _system_faults(self) -> dict[str, Faults]:
        """What steps each head's wall clock and lets its calls fail; none where there is no compiler."""
        try:
            library = build(self.folder)
        except NoCompiler:
            return {}
        found = {name: Faults(library, head.folder / "faults") for name, head in self.heads.items()}
        for name, head in self.heads.items():
            head.environ = found[name].environment()
        return found

    def _config(self, head: HeadProcess) -> dict[str, Any]:
        me = list(self.heads).index(head.name)
        return config_of(self.directory, head.listen, head.calls, self.limit, self.trial.heads, me)

    def _fleet(self, head: HeadProcess) -> dict[str, Any]:
        peers = self.relays.peers(head.name)
        return {
            "fleet": {
                "name": "rig", "head": head.name, "listen": f"127.0.0.1:{head.fleet_port}", "key": KEY,
                "keepers": self.keepers, "folder": str(head.folder / "store"),
            },
            "budgets": {"lease_ms": self.trial.lease_ms, "most_heads": self.trial.heads},
            "peer": [{"name": name, "address": f"{at[0]}:{at[1]}"} for name, at in peers.items()],
        }  # fmt: skip

    # ---- time ----

    def later(self, seconds: float, call: Callable[[], None]) -> None:
        if not self._over:
            self._calls.append(self.reactor.callLater(seconds, call))

    def until(self, done: Callable[[], bool], seconds: float) -> bool:
        end = self.reactor.seconds() + seconds
        while not done():
            if self.reactor.seconds() >= end:
                return False
            self.reactor.iterate(0.002)
        return True

    @property
    def at(self) -> float:
        return float(self.reactor.seconds()) - self.began

    # ---- a trial ----

    def play(self, progress: Callable[[Rig], None] = lambda rig: None) -> Played:
        """Start all, play, let it come to rest, end all.  NotUp."""
        trial = self.trial
        try:
            for head in self.heads.values():
                head.start()
            if not self.until(self._up, UP_S):
                raise NotUp("\n".join(self._tails()))
            self.began = self.reactor.seconds()
            self.demand = MovingDemand(
                self.reactor, trial.seed + 2, self.clients, trial.over * trial.rate
            )  # fmt: skip
            if trial.timeline:
                for when, name in trial.timeline:
                    self.later(when, lambda name=name: self._fault(name))  # type: ignore[misc]
            elif trial.faults:
                self._draw()
            shown = 0.0
            while self.at < trial.seconds:
                self.reactor.iterate(0.002)
                if self.at >= shown:
                    shown += 0.25
                    progress(self)
            self._clear()
            if trial.faults or trial.timeline:  # all is well again, and demand goes on: is the whole used?
                for head in self.heads.values():
                    head.start()
                self.until(lambda: False, trial.after)
            after = self.at
            self.demand.stopped = True
            self.until(lambda: self._idle() and self.at > after + 2 * SLACK_S, CALM_S)
            for clients in self.clients.values():
                self.judge.told.lost += clients.overdue(self.reactor.seconds())
        finally:
            self.end()
        return Played(
            self.judge.told, self.used(0.3 * trial.seconds, trial.seconds),
            self.used(after - AFTER_USED_S, after), self.faults, self.events,
            [f"{name}: {line}" for name, head in self.heads.items() for line in head.errors()],
            self.began,
        )  # fmt: skip

    def used(self, since: float, until: float) -> float:
        """Of what the whole allows in a span, what reached the nodes."""
        low, high = self.began + since, self.began + until
        units = sum(units for at, _, units in self.judge.told.arrivals if low <= at < high)
        changes = [*self._wholes, (high, 0.0)]
        whole = 0.0
        for (at, rate), (next_at, _) in pairwise(changes):
            whole += rate * max(0.0, min(next_at, high) - max(at, low))
        return units / whole

    def _up(self) -> bool:
        lines = [head.log.read_text(errors="replace") if head.log.exists() else "" for head in
                 self.heads.values()]  # fmt: skip
        wanted = ["listening"] + (["fleet_lease_acquired"] if self.trial.fleet else [])
        return all(word in text for text in lines for word in wanted)

    def _tails(self) -> list[str]:
        return [f"{name}: {line}" for name, head in self.heads.items() if head.log.exists()
                for line in head.log.read_text(errors="replace").splitlines()[-3:]]  # fmt: skip

    def _idle(self) -> bool:
        told = self.judge.told
        return told.asked <= told.served + told.refused + told.failed + told.lost + told.unreached

    def _excused(self, name: str) -> bool:
        """Its process was ended on purpose, just now."""
        head = self.heads[name]
        return self._over or not head.alive or self.reactor.seconds() < self._kills.get(name, 0.0)

    def _clear(self) -> None:
        """No fault goes on: heads run, links are good."""
        for call in self._calls:
            if call.active():
                call.cancel()
        self._clear_disks()
        for line in self.relays.lines.values():
            line.weather.clear()
            line.changed()
        for head in self.heads.values():
            if head.stopped:
                head.go_on()

    def end(self) -> None:
        self._over = True
        if self.demand is not None:
            self.demand.stopped = True
        self._clear()
        for clients in self.clients.values():
            clients.close()
        for head in self.heads.values():
            head.kill()
        self.relays.close()
        for listener in [*self.nodes, self.directory]:
            listener.close([])
        self.until(lambda: False, 0.05)

    # ---- faults ----

    def _draw(self) -> None:
        """The next fault, about 1.2 s from now; each kind comes once before any comes again."""
        order = list(KINDS)
        self.rng.shuffle(order)

        def next_one() -> None:
            if self.at > self.trial.seconds - 1.0:
                return
            name = order.pop() if order else self.rng.choices(list(KINDS), list(KINDS.values()))[0]
            self._fault(name)
            self.later(self.rng.expovariate(1 / self._gap) + 0.2, next_one)

        self.later(1.0, next_one)

    @property
    def _gap(self) -> float:
        """Short enough that each kind comes, in a trial of a minute."""
        return min(1.6, self.trial.seconds / (len(KINDS) + 6) - 0.2)

    def _fault(self, name: str) -> None:
        kind, _, whom = name.partition(" ")
        self._named = whom
        self.faults[kind] += 1
        getattr(self, kind)()
        self._named = ""

    _named = ""

    def _note(self, what: str, whom: str) -> None:
        self.events.append((self.at, what, whom))

    def _any(self) -> HeadProcess | None:
        """A head that runs and that no fault of a process has hold of."""
        free = [head for name, head in self.heads.items() if head.alive and name not in self._busy]
        if self._named:
            free = [head for head in free if head.name == self._named]
        return self.rng.choice(free) if free else None

    def _hold(self, head: HeadProcess, seconds: float, then: Callable[[], None]) -> None:
        self._busy.add(head.name)

        def free() -> None:
            self._busy.discard(head.name)
            then()

        self.later(seconds, free)

    def _down(self, head: HeadProcess) -> None:
        self._kills[head.name] = self.reactor.seconds() + 2.0
        head.kill()
        self.clients[head.name].gone()

    def kill(self) -> None:
        if (head := self._any()) is not None:
            self._note("killed", head.name)
            self._down(head)
            self._hold(head, self.rng.uniform(0.1, 5.0), head.start)

    def stop(self) -> None:
        """SIGSTOP, mostly through the end of its lease, at whatever line it is."""
        if (head := self._any()) is not None:
            self._note("stopped", head.name)
            head.pause()
            self._hold(head, self.rng.uniform(0.3, 2.5 * self.trial.lease_ms / 1000), head.go_on)

    def term(self) -> None:
        """An orderly end, and another start once it is over."""
        if (head := self._any()) is not None:
            self._note("asked to end", head.name)
            if head.young:
                return
            self._kills[head.name] = self.reactor.seconds() + 12.0
            head.term()

            def again() -> None:
                if head.alive:
                    self._hold(head, 0.2, again)
                else:
                    head.start()

            self._hold(head, 1.0, again)

    def _spare(self, head: HeadProcess) -> bool:
        """Whether the fleet bears the loss of its store now."""
        if head.name in self.keepers:
            if self.at - self._store_at < RESEAT_S:
                return False
            self._store_at = self.at
        return True

    def store_lost(self) -> None:
        if (head := self._any()) is not None and self._spare(head):
            self._note("killed, its store lost", head.name)
            self._down(head)
            head.lose_store()
            self._hold(head, self.rng.uniform(0.1, 2.0), head.start)

    def store_old(self) -> None:
        """A backup of some seconds ago is written back."""
        head = self._any()
        copy = head.copy_store() if head is not None else None
        if head is None or not copy:
            return

        def put_back() -> None:
            if head.name in self._busy or not self._spare(head):
                return
            self._note("killed, an old store put back", head.name)
            self._down(head)
            head.restore(copy)
            self._hold(head, self.rng.uniform(0.1, 2.0), head.start)

        self.later(self.rng.uniform(2.5, 6.0), put_back)

    def restart_all(self) -> None:
        self._note("killed", "all")
        for name, head in self.heads.items():
            if head.alive and name not in self._busy:
                self._down(head)
                self._hold(head, self.rng.uniform(0.05, 1.0), head.start)

    def _weather(self, lines: list[Line], change: Callable[[Line], None], low: float, high: float) -> None:
        for line in lines:
            change(line)
            line.changed()

        def clear() -> None:
            for line in lines:
                line.weather.clear()
                line.changed()

        self.later(self.rng.uniform(low, high), clear)

    def _cut(self, side: set[str], both: bool, what: str) -> None:
        self._note(what, "+".join(sorted(side)))
        self._weather(
            self.relays.between(side, both), lambda line: setattr(line.weather, "cut", True), 1.0, 6.0
        )

    def _one(self) -> str:
        return self._named or self.rng.choice(list(self.heads))

    def cut(self) -> None:
        self._cut({self._one()}, True, "cut off")

    def one_way(self) -> None:
        """Others hear nothing of it, or it hears nothing of others."""
        side = {self._one()}
        if self.rng.random() < 0.5:
            side = set(self.heads) - side
        self._cut(side, False, "cut one way")

    def halves(self) -> None:
        names = list(self.heads)
        self._cut(set(self.rng.sample(names, len(names) // 2)), True, "cut in halves")

    def _some(self) -> list[Line]:
        """All lines of one head."""
        return self.relays.between({self._one()})

    def drop(self) -> None:
        share = self.rng.uniform(0.1, 0.6)
        self._note("losses", f"{share:.0%}")
        self._weather(self._some(), lambda line: setattr(line.weather, "drop", share), 1.0, 5.0)

    def delay(self) -> None:
        late = self.rng.choice([0.05, 0.3, 1.5, 4.0])
        self._note("late", f"{late} s")
        self._weather(self._some(), lambda line: setattr(line.weather, "delay", late), 0.5, 4.0)

    def duplicate(self) -> None:
        self._note("doubled", "")

        def change(line: Line) -> None:
            line.weather.double, line.weather.jitter = 0.7, 0.05

        self._weather(self._some(), change, 1.0, 5.0)

    def reorder(self) -> None:
        self._note("out of order", "")
        self._weather(self._some(), lambda line: setattr(line.weather, "jitter", 0.4), 1.0, 5.0)

    def trickle(self) -> None:
        self._note("a trickle", "")
        self._weather(self._some(), lambda line: setattr(line.weather, "trickle", 2000), 1.0, 5.0)

    # ---- the system below ----

    def step_clock(self) -> None:
        """The wall clocks of some heads are stepped, each by its own."""
        for name, faults in self.system.items():
            if self.rng.random() < 0.5:
                step = self.rng.choice(CLOCK_STEPS_S)
                self._note("clock stepped", f"{name} {step:+.0f} s")
                faults.step_wall_clock(step)

    def disk_fails(self) -> None:
        """Writes and syncs fail for a while, mostly on more than one head."""
        names = [name for name in self.system if self.rng.random() < 0.6]
        error = self.rng.choice(DISK_ERRORS)
        self._note("disk fails", "+".join(names))
        for name in names:
            for call in (Call.WRITE, Call.SYNC):
                self.system[name].fail(call, error, EVERY_CALL)
        self.later(self.rng.uniform(0.3, 3.0), self._clear_disks)

    def _clear_disks(self) -> None:
        for faults in self.system.values():
            faults.clear()

    # ---- wholes ----

    def _whole(self, factor: float) -> None:
        """The files change, at one head after another."""
        old = self.limit
        fresh = self.limit = Limit(old.rate * factor, old.burst * factor)
        self._note("whole", f"{fresh.rate:.0f}/s")
        self.judge.change(fresh)
        self._wholes.append((self.reactor.seconds(), fresh.rate))
        waits = set(self.heads)

        def tell(head: HeadProcess) -> None:
            if self.limit is not fresh:
                return
            if head.stopped or not head.alive or head.young:
                # Its file is there when it starts or wakes; it is told once it runs.
                head.write(self._config(head), None)
                self.later(0.5, lambda: tell(head))
                return
            head.change(self._config(head))
            waits.discard(head.name)
            if not waits:
                # Clients use both for 1.5 s, then all leases under the old one run out; in the file's drift.
                self.judge.settle(2.5 + 2.2 * self.trial.lease_ms / 1000 + 3.0)

        for head in self.heads.values():
            self.later(self.rng.uniform(0.0, 2.0), lambda head=head: tell(head))  # type: ignore[misc]

    def lower_whole(self) -> None:
        if self.limit.rate > 0.6 * self.trial.rate:
            self._whole(0.8)

    def raise_whole(self) -> None:
        if self.limit.rate < 1.2 * self.trial.rate:
            self._whole(1.25)


def play(reactor: Any, trial: Trial, progress: Callable[[Rig], None] = lambda rig: None) -> Played:
    """One trial in a folder of its own."""
    with tempfile.TemporaryDirectory(prefix="gaugesail-rig-") as folder:
        return Rig(reactor, trial, Path(folder)).play(progress)
