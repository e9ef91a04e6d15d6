"""Hard cases of a fleet-wide limit, each by itself in virtual time: how much was broken, which must be 0.

A random schedule meets these seldom or never.  Each is named for what happens; tests play them with and
without the guards that they exist for.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Callable

from gaugesail.coordination import messages as m
from gaugesail.coordination.fleet_terms import FleetTerms
from gaugesail.coordination.gateway_floor import PersistedFloor
from gaugesail.coordination.lease_holder import LeaseHolder
from gaugesail.coordination.node import FleetNode, GatewayIdentity, StepOutput
from gaugesail.coordination.persisted_state import PersistentState
from gaugesail.coordination.quota_ledger import QuotaLedger
from gaugesail.coordination.raft_log import Snapshot
from gaugesail.coordination.replica_id import make_replica_id

from ..lab.fleet import SECOND, Disk, FleetWorld, Limit, SimulatedGateway
from ..lab.troubles import Demand

RATE = 100.0
TRIES = 3  # seeds of a case whose moment is a matter of milliseconds


def begun(seed: int, heads: int = 5, drift: float = 0.0) -> FleetWorld:
    """Three keepers and some more, that have begun."""
    world = FleetWorld(seed, heads, 3, Limit(RATE, 16.0 * heads), drift=drift)
    for head in world.gateways.values():
        head.start()
    world.run(8 * SECOND)
    world.audit()
    return world


def ask(world: FleetWorld, names: list[str], seconds: float, rate: float = 2 * RATE) -> None:
    """So many units a second at some heads, in turn."""
    end = world.now + int(seconds * SECOND)
    gap = int(2 / rate * SECOND)
    turn = 0
    while world.now < end:
        world.run(world.now + gap)
        world.send_request(names[turn % len(names)], 2.0)
        turn += 1


def broken(world: FleetWorld) -> int:
    return world.overspent + world.counts["rights_over"]


def leader(world: FleetWorld) -> SimulatedGateway:
    return next(head for head in world.gateways.values() if head.node is not None and head.node.is_leader)


def others(world: FleetWorld, *names: str) -> list[str]:
    return [name for name in world.gateways if name not in names]


def _tries(case: Callable[[int], int]) -> int:
    """The worst of some seeds."""
    return max(case(seed) for seed in range(1, TRIES + 1))


# ---- what messages do ----


def answers_lost() -> int:
    """A grant's answer is lost, and asked for again."""
    world = begun(1)
    for name in others(world, leader(world).name):
        world.link(leader(world).name, name).drop = 0.6
    Demand(world, 2, 1.3 * RATE)
    world.run(world.now + 20 * SECOND)
    return broken(world)


def told_twice() -> int:
    """All that is said arrives twice, some of it late."""
    world = begun(1)
    for a in world.gateways:
        for b in world.gateways:
            world.link(a, b).duplicate, world.link(a, b).jitter_us = 1.0, 60_000
    Demand(world, 2, 1.3 * RATE)
    world.run(world.now + 20 * SECOND)
    return broken(world)


def told_late() -> int:
    """What a leader tells one head arrives when it has been told other things since."""
    world = begun(1)
    busy, other = "h3", "h4"
    boss = leader(world).name
    ask(world, [busy], 3)
    for _ in range(4):
        line = world.link(boss, busy)
        line.delay_us = 3 * SECOND
        ask(world, [other, busy], 0.5)
        line.delay_us = 300
        ask(world, [other], 2)
        ask(world, [busy, other], 2)
    return broken(world)


def one_way() -> int:
    """A head hears nothing, but is heard: its asks are answered in vain."""

    def once(seed: int) -> int:
        world = begun(seed)
        ask(world, ["h3"], 3)
        world.cut(set(others(world, "h3")), both=False)
        ask(world, ["h3", "h4"], 8)
        world.cut(set(others(world, "h3")), both=False, on=False)
        ask(world, ["h3", "h4"], 6)
        return broken(world)

    return _tries(once)


# ---- who leads ----


def two_leaders() -> int:
    """A leader that is cut off with one head believes that it leads; the rest have another."""

    def once(seed: int) -> int:
        world = begun(seed)
        ask(world, ["h3"], 3)
        world.cut({leader(world).name, "h3"})
        ask(world, ["h3", "h4"], 9)
        world.cut({"h0", "h1", "h2", "h3", "h4"}, on=False)
        for name in world.gateways:
            world.cut({name}, on=False)
        ask(world, ["h3", "h4"], 4)
        return broken(world)

    return _tries(once)


def leader_wakes() -> int:
    """A leader sleeps for longer than a lease, and wakes to asks of a head that reaches nobody else."""

    def once(seed: int) -> int:
        world = begun(seed)
        boss = leader(world)
        ask(world, ["h3"], 3)
        for name in others(world, boss.name, "h3"):
            world.link("h3", name).cut = world.link(name, "h3").cut = True
        boss.sleep()
        ask(world, ["h3", "h4"], 9)
        boss.wake()
        ask(world, ["h3", "h4"], 3)
        return broken(world)

    return _tries(once)


def leader_wakes_mid_step() -> int:
    """It sleeps between its own words."""

    def once(seed: int) -> int:
        world = begun(seed)
        boss = leader(world)
        Demand(world, seed, 1.3 * RATE)
        world.run(world.now + 3 * SECOND)
        boss.stop_after = seed
        world.run(world.now + 10 * SECOND)
        boss.wake()
        world.run(world.now + 6 * SECOND)
        return broken(world)

    return _tries(once)


def halves() -> int:
    """Six heads are cut in two halves: only the one with most keepers divides anything."""
    world = begun(1, heads=6)
    ask(world, ["h0", "h5"], 3)
    world.cut({"h0", "h3", "h4"})
    ask(world, ["h0", "h1", "h3", "h5"], 12)
    world.cut({"h0", "h3", "h4"}, on=False)
    ask(world, ["h0", "h5"], 6)
    return broken(world)


def cut_at_close() -> int:
    """A head is heard again just before its lease is over, and the round for its ask ends just after."""

    def once(seed: int) -> int:
        world = begun(seed)
        boss = leader(world).name
        ask(world, ["h3"], 3)
        keepers = [name for name in world.fleet_terms.replicas if name != boss]
        for name in world.fleet_terms.replicas:
            world.link("h3", name).cut = True
        ask(world, ["h3", "h4"], 2.4)
        for name in keepers:
            world.link(boss, name).delay_us = 500_000
        replica = world.gateways[boss].node.replica  # type: ignore[union-attr]
        end = world.now + 4 * SECOND
        while world.now < end and replica is not None and replica.lease_manager is not None:
            ask(world, ["h4"], 0.02)
            mine = [lease for lease in replica.lease_manager.leases.values() if lease.gateway == "h3"]
            if not mine or mine[0].expires_at - world.gateways[boss].now() < (100 + 100 * seed) * 1000:
                break
        for name in world.fleet_terms.replicas:
            world.link("h3", name).cut = False
        ask(world, ["h3", "h4"], 2)
        for name in keepers:
            world.link(boss, name).delay_us = 300
        ask(world, ["h3", "h4"], 5)
        return broken(world)

    return _tries(once)


def minority_grants() -> int:
    """A leader that is cut off with one head is asked for more by it, and the other side's by another."""

    def once(seed: int) -> int:
        world = begun(seed)
        world.cut({leader(world).name, "h3"})
        ask(world, ["h3", "h4"], 9)
        for name in world.gateways:
            world.cut({name}, on=False)
        ask(world, ["h3", "h4"], 3)
        return broken(world)

    return _tries(once)


def short_log() -> int:
    """A keeper that has missed entries stands for election while the others, who have them, are slow."""

    def once(seed: int) -> int:
        world = begun(seed)
        boss = leader(world).name
        short, other = [name for name in world.fleet_terms.replicas if name != boss]
        world.cut({short})
        ask(world, ["h3"], 3)
        world.cut({short}, on=False)
        world.cut({boss})
        world.link(other, short).cut = True  # it hears nothing of the other's standing
        ask(world, ["h4", "h3"], 0.3)
        world.link(other, short).cut = False
        ask(world, ["h4", "h3"], 9)
        world.cut({boss}, on=False)
        ask(world, ["h4", "h3"], 4)
        return broken(world)

    return _tries(once)


# ---- processes ----


def stopped_between_sends() -> int:
    """A head decides to send and sleeps before the first byte, through the end of its lease."""

    def once(seed: int) -> int:
        world = begun(seed)
        ask(world, ["h3"], 4)
        head = world.gateways["h3"]
        world.run(world.now + 2 * SECOND)  # its store fills
        head.stop_after = 1
        for _ in range(30):  # all that was saved up is on its way out
            world.send_request("h3", 2.0)
        world.run(world.now + SECOND // 50)
        for name in others(world, "h3"):
            ask(world, [name], 0.1)
        ask(world, others(world, "h3"), 10, 1.5 * RATE)
        head.wake()
        ask(world, ["h3", *others(world, "h3")], 2)
        return broken(world)

    return _tries(once)


def all_restart() -> int:
    """Every head is killed at once and comes back, again and again."""
    world = begun(1)
    Demand(world, 2, 1.3 * RATE)
    for _ in range(4):
        world.run(world.now + 3 * SECOND)
        for head in world.gateways.values():
            head.kill()
        world.run(world.now + SECOND // 5)
        for head in world.gateways.values():
            head.start()
    world.run(world.now + 10 * SECOND)
    idle = world.utilization(world.now - 3 * SECOND, world.now) < 0.7
    return broken(world) + idle


def rolling_restart() -> int:
    """One head after another is killed and comes back, while demand moves."""
    world = begun(1)
    Demand(world, 2, 1.3 * RATE)
    for name in list(world.gateways):
        world.run(world.now + 2 * SECOND)
        world.gateways[name].kill()
        world.run(world.now + SECOND // 2)
        world.gateways[name].start()
    world.run(world.now + 10 * SECOND)
    idle = world.utilization(world.now - 3 * SECOND, world.now) < 0.8
    return broken(world) + idle


def busiest_restarts() -> int:
    """The head with most of the whole is killed with its store full, and its next life begins at once."""

    def once(seed: int) -> int:
        world = begun(seed)
        ask(world, ["h3"], 3)
        head = world.gateways["h3"]
        for _ in range(6):
            world.run(world.now + SECOND)
            for _ in range(20):
                world.send_request("h3", 2.0)
            world.run(world.now + SECOND // 100)
            head.kill()
            head.start()
            ask(world, ["h3", "h4"], 1)
        return broken(world)

    return _tries(once)


def born_again() -> int:
    """Every head is killed five times a second, and spends all that it has as soon as it has begun."""
    world = begun(1)
    for _ in range(40):
        for head in world.gateways.values():
            head.kill()
            head.start()
        world.run(world.now + SECOND // 20)
        for name in world.gateways:
            for _ in range(6):
                world.send_request(name, 2.0)
        world.run(world.now + 3 * SECOND // 20)
    return broken(world)


def two_under_one_name() -> int:
    """A second process starts under a name that is taken, and a head comes back renamed."""
    world = begun(1)
    Demand(world, 2, 1.3 * RATE)
    twin = SimulatedGateway(world, "h3", 0.0)
    world.twins["h3~"] = twin
    twin.start()
    world.run(world.now + 8 * SECOND)
    head = world.gateways["h4"]
    head.kill()
    world.rename(head, "h4.1")
    head.start()
    world.run(world.now + 8 * SECOND)
    twin.kill()
    world.run(world.now + 8 * SECOND)
    return broken(world)


def store_copied() -> int:
    """All keepers' stores but one are put back as they were a while ago, while entries came since."""

    def once(seed: int) -> int:
        world = begun(seed)
        ask(world, ["h3"], 2)
        copies = {name: world.gateways[name].disk for name in world.fleet_terms.replicas}
        olds = {name: disk.copy() for name, disk in copies.items() if disk is not None}
        ask(world, ["h4"], 4)
        for name in list(olds)[:2]:
            world.gateways[name].kill()
            world.gateways[name].disk = olds[name]
        world.run(world.now + SECOND // 10)
        for name in list(olds)[:2]:
            world.gateways[name].start()
        keep = world.fleet_terms.replicas[2]
        world.cut({keep})
        ask(world, ["h3", "h4"], 12)
        world.cut({keep}, on=False)
        ask(world, ["h3", "h4"], 6)
        return broken(world)

    return _tries(once)


# ---- files and clocks ----


def files_differ() -> int:
    """One head's file says half of what the others' say: that is the whole for all, and is no more later."""
    world = begun(1)
    less = Limit(RATE / 2, 40.0)
    world.gateways["h2"].change_limit(less)
    for judge in world.buckets.values():
        judge.change(world.now, less)
    world.bucket(1).change(world.now, less)
    world.bucket(1).settle(world.now + 2 * world.fleet_terms.lease_with_drift_us + SECOND)
    Demand(world, 2, 1.3 * RATE)
    world.run(world.now + 25 * SECOND)
    return broken(world)


def whole_lowered() -> int:
    """The whole is halved in service, at one head after another, while all of it is spent."""

    def once(seed: int) -> int:
        world = begun(seed)
        Demand(world, seed, 1.6 * RATE)
        world.run(world.now + 4 * SECOND)
        less = world.limit = Limit(RATE / 2, 40.0)
        judge = world.bucket(1)
        judge.change(world.now, less)
        for n, head in enumerate(world.gateways.values()):
            world.at(world.now + n * SECOND // 2, lambda head=head: head.change_limit(less))  # type: ignore[misc]
        judge.settle(world.now + 3 * SECOND + 2 * world.fleet_terms.lease_with_drift_us)
        world.run(world.now + 20 * SECOND)
        more = world.limit = Limit(RATE, 80.0)
        judge.change(world.now, more)
        for n, head in enumerate(world.gateways.values()):
            world.at(world.now + n * SECOND // 2, lambda head=head: head.change_limit(more))  # type: ignore[misc]
        world.run(world.now + 15 * SECOND)
        return broken(world)

    return _tries(once)


def clocks_differ() -> int:
    """The busiest head's clock runs 1% slow and the keepers' 1% fast, and it is cut off."""

    def once(seed: int) -> int:
        world = begun(seed)
        for name, head in world.gateways.items():
            # From here on; the clocks stay where they are.
            drift = -0.0099 if name == "h3" else 0.0099
            head.offset += int(world.now * (head.drift - drift))
            head.drift = drift
        ask(world, ["h3"], 3)
        world.cut({"h3"})
        ask(world, ["h3", "h4", "h1"], 7)
        world.cut({"h3"}, on=False)
        ask(world, ["h3", "h4"], 2)
        return broken(world)

    return _tries(once)


def clock_set_back() -> int:
    """A head's wall clock is set back by a year, and it starts again."""
    world = begun(1)
    Demand(world, 2, 1.3 * RATE)
    world.run(world.now + 3 * SECOND)
    head = world.gateways["h3"]
    head.wall_ms -= 365 * 86_400_000
    head.kill()
    head.start()
    world.run(world.now + 10 * SECOND)
    mine = sum(units for at, name, units in world.arrivals if name == "h3" and at > world.now - 4 * SECOND)
    return broken(world) + (not mine)


# ---- one keeper alone ----


def _keeper(charter: FleetTerms, disk: Disk) -> FleetNode:
    """A seated keeper whose store is taken for the latest."""
    loaded = disk.load(random.Random(1))
    identity = GatewayIdentity("h1", "h1:1", 7 + loaded.state.starts, 1)
    node = FleetNode(charter, "d", identity, loaded, 1, 0)
    _write(disk, node.trust_store(0))
    return node


def _write(disk: Disk, out: StepOutput) -> bool:
    return out.write is None or disk.write(out.write)


def _seats(charter: FleetTerms) -> tuple[Disk, tuple[str, ...]]:
    seats = tuple(make_replica_id(name, f"store-{name}") for name in charter.replicas)
    kept = PersistentState("store-h1", fleet_id="f", voters=seats, bound_to="store-h0")
    return Disk(kept), seats


def vote_forgotten() -> int:
    """A keeper votes, crashes, and is asked for the same term by another."""
    charter = FleetTerms("lab", ("h0", "h1", "h2"))
    disk, seats = _seats(charter)
    node = _keeper(charter, disk)
    out = node.receive(10, "h0", 1, m.VoteRequest(seats[0], 5, False, 0, 0))
    _write(disk, out)
    granted = _granted(out)
    node = _keeper(charter, disk)
    return int(not granted) + int(
        _granted(node.receive(20, "h2", 1, m.VoteRequest(seats[2], 5, False, 0, 0)))
    )


def _granted(out: StepOutput) -> bool:
    return any(isinstance(said, m.VoteResponse) and said.granted for _, said in out.messages)


def full_at_vote() -> int:
    """The store is full when a keeper votes: it must not be heard to have voted, then or later."""
    charter = FleetTerms("lab", ("h0", "h1", "h2"))
    disk, seats = _seats(charter)
    node = _keeper(charter, disk)
    disk.full = True
    out = node.receive(10, "h0", 1, m.VoteRequest(seats[0], 5, False, 0, 0))
    if _write(disk, out):
        return 1  # it said nothing of a vote to keep
    node.store_failed(10, "full")
    later = [node.tick(20 + n * SECOND) for n in range(5)]
    later.append(node.receive(9 * SECOND, "h0", 1, m.VoteRequest(seats[0], 5, False, 0, 0)))
    return sum(map(_granted, later)) + int(node.is_replica)


def older_term() -> int:
    """A keeper that has moved on hears an older leader: it takes nothing from it."""
    charter = FleetTerms("lab", ("h0", "h1", "h2"))
    disk, seats = _seats(charter)
    node = _keeper(charter, disk)
    _write(disk, node.receive(10, "h2", 1, m.VoteRequest(seats[2], 6, False, 0, 0)))
    entry = m.LogEntry(5, m.Noop())
    out = node.receive(20, "h0", 1, m.AppendEntries(seats[0], 5, 0, 0, (entry,), 1, 1))
    taken = any(isinstance(said, m.AppendResponse) and said.success for _, said in out.messages)
    return int(taken) + len(node.replica.raft.log.entries if node.replica is not None else ())


def _holder() -> tuple[LeaseHolder, m.LeaseRequest]:
    """One that has asked at 0."""
    holder = LeaseHolder(FleetTerms("f", ("a",)), "d", 7, "s", PersistedFloor(), 0, random.Random(1))
    holder.set_limits({"p": (100_000, 80_000)}, 8000)
    holder.tick(0, ["a"])
    said = holder.drain_messages()[0][1]
    assert isinstance(said, m.LeaseRequest)
    return holder, said


def answer_late() -> int:
    """An answer is on its way for longer than the lease."""
    holder, asked = _holder()
    answer = m.LeaseResponse(7, asked.number, m.LeaseStatus.RENEWED, 5, 1, "a", -1, 0, (), "f")
    holder.receive(5 * SECOND, "a", answer)
    return int(holder.lease_until > FleetTerms("f", ("a",)).lease_us)


def order_late() -> int:
    """An order comes an hour late, and the one that followed it has come long since."""
    holder, asked = _holder()
    holder.receive(
        10, "a", m.LeaseResponse(7, asked.number, m.LeaseStatus.RENEWED, 5, 1, "a", -1, 0, (), "f")
    )
    for version, rate in ((9, 20_000), (8, 90_000)):
        holder.receive(20, "a", m.QuotaOrders(7, 5, "f", (m.QuotaOrder("p/1", version, rate, 8000),)))
    return int(holder.allocations["p/1"].rate != 20_000)


def session_replaced() -> int:
    """A process has another session: what it had under the one before is others'."""
    holder, asked = _holder()
    holder.receive(
        10, "a", m.LeaseResponse(7, asked.number, m.LeaseStatus.RENEWED, 5, 1, "a", -1, 0, (), "f")
    )
    holder.receive(20, "a", m.QuotaOrders(7, 5, "f", (m.QuotaOrder("p/1", 9, 20_000, 8000),)))
    holder.receive(
        30, "a", m.LeaseResponse(7, asked.number, m.LeaseStatus.RENEWED, 6, 1, "a", -1, 0, (), "f")
    )
    return len(holder.allocations)


def leader_errs() -> int:
    """A leader that has lost count proposes more than there is."""
    ledger = QuotaLedger(FleetTerms("f", ("a",)))
    commands: list[m.Command] = [
        m.SetLimits((("p", 100_000, 80_000),)),
        m.SettleLimits(1),
        m.OpenSession("a", 1, "s"),
        m.OpenSession("b", 2, "t"),
        m.AllocateQuota("p/1", 3, 60_000, 30_000),
        m.AllocateQuota("p/1", 4, 60_000, 30_000),
    ]
    for index, command in enumerate(commands, 1):
        ledger.apply(index, command)
    return int(sum(stake.rate for stake in ledger.allocations["p/1"].values()) > 90_000)


def snapshot_and_log() -> int:
    """What a keeper has kept is what it comes back with."""
    charter = FleetTerms("lab", ("h0", "h1", "h2"))
    disk, seats = _seats(charter)
    node = _keeper(charter, disk)
    entries = tuple(m.LogEntry(3, m.OpenSession(f"h{n}", n + 1, "")) for n in range(3))
    _write(disk, node.receive(10, "h0", 1, m.AppendEntries(seats[0], 3, 0, 0, entries, 2, 1)))
    again = _keeper(charter, copy.deepcopy(disk))
    seat, old = again.replica, node.replica
    if seat is None or old is None:
        return 1
    kept = seat.raft.log
    differs = [
        kept.entries != old.raft.log.entries,
        seat.raft.term != 3,
        kept.snapshot != Snapshot(0, 0, seats, b""),
    ]
    return sum(differs)


CASES: dict[str, Callable[[], int]] = {
    call.__name__: call for call in (
        answers_lost, answer_late, order_late, session_replaced, leader_errs, minority_grants, short_log,
        born_again, told_twice, told_late, one_way, two_leaders, leader_wakes, leader_wakes_mid_step,
        halves, cut_at_close, stopped_between_sends, all_restart, rolling_restart, busiest_restarts,
        two_under_one_name, store_copied, files_differ, whole_lowered, clocks_differ, clock_set_back,
        vote_forgotten, full_at_vote, older_term, snapshot_and_log,
    )
}  # fmt: skip
