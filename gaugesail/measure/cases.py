"""Hard cases of a fleet-wide limit in virtual time, each returning its number of violations, which must be 0.

Random schedules reach these cases seldom or never.  Tests run them with and without the safeguards that they
are meant for (see planted.py).
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
SEED_COUNT = 3  # seeds of a case whose outcome depends on milliseconds


def start_world(seed: int, gateways: int = 5, drift: float = 0.0) -> FleetWorld:
    """Start a fleet of which three gateways have replicas, and run it for 8 seconds."""
    world = FleetWorld(seed, gateways, 3, Limit(RATE, 16.0 * gateways), drift=drift)
    for gateway in world.gateways.values():
        gateway.start()
    world.run(8 * SECOND)
    world.audit()
    return world


def send_demand(world: FleetWorld, names: list[str], seconds: float, rate: float = 2 * RATE) -> None:
    """Send requests to the named gateways in turn for some seconds, ``rate`` units a second in all."""
    end = world.now + int(seconds * SECOND)
    gap = int(2 / rate * SECOND)
    turn = 0
    while world.now < end:
        world.run(world.now + gap)
        world.send_request(names[turn % len(names)], 2.0)
        turn += 1


def count_violations(world: FleetWorld) -> int:
    """Return the number of violations: overspent limits, and spending rights that exceed the limit."""
    return world.overspent + world.counts["rights_over"]


def find_leader(world: FleetWorld) -> SimulatedGateway:
    """Return the first gateway that leads."""
    return next(
        gateway for gateway in world.gateways.values() if gateway.node is not None and gateway.node.is_leader
    )


def other_gateways(world: FleetWorld, *names: str) -> list[str]:
    """Return the names of all gateways but these."""
    return [name for name in world.gateways if name not in names]


def _worst_of_seeds(case: Callable[[int], int]) -> int:
    """Return the most violations of a case over its seeds."""
    return max(case(seed) for seed in range(1, SEED_COUNT + 1))


# ---- faults of messages ----


def answers_lost() -> int:
    """Messages of the leader are lost, grants among them, and the gateways request them again."""
    world = start_world(1)
    for name in other_gateways(world, find_leader(world).name):
        world.link(find_leader(world).name, name).drop = 0.6
    Demand(world, 2, 1.3 * RATE)
    world.run(world.now + 20 * SECOND)
    return count_violations(world)


def told_twice() -> int:
    """Every message arrives twice, some late."""
    world = start_world(1)
    for a in world.gateways:
        for b in world.gateways:
            world.link(a, b).duplicate, world.link(a, b).jitter_us = 1.0, 60_000
    Demand(world, 2, 1.3 * RATE)
    world.run(world.now + 20 * SECOND)
    return count_violations(world)


def told_late() -> int:
    """Messages of the leader to one gateway arrive after later ones."""
    world = start_world(1)
    busy, other = "h3", "h4"
    leader_name = find_leader(world).name
    send_demand(world, [busy], 3)
    for _ in range(4):
        link = world.link(leader_name, busy)
        link.delay_us = 3 * SECOND
        send_demand(world, [other, busy], 0.5)
        link.delay_us = 300
        send_demand(world, [other], 2)
        send_demand(world, [busy, other], 2)
    return count_violations(world)


def one_way() -> int:
    """A gateway can send but receives nothing: its requests are answered in vain."""

    def run(seed: int) -> int:
        world = start_world(seed)
        send_demand(world, ["h3"], 3)
        world.cut(set(other_gateways(world, "h3")), both=False)
        send_demand(world, ["h3", "h4"], 8)
        world.cut(set(other_gateways(world, "h3")), both=False, on=False)
        send_demand(world, ["h3", "h4"], 6)
        return count_violations(world)

    return _worst_of_seeds(run)


# ---- elections and leaders ----


def two_leaders() -> int:
    """A leader isolated with one gateway believes that it still leads; the others elect another."""

    def run(seed: int) -> int:
        world = start_world(seed)
        send_demand(world, ["h3"], 3)
        world.cut({find_leader(world).name, "h3"})
        send_demand(world, ["h3", "h4"], 9)
        world.cut({"h0", "h1", "h2", "h3", "h4"}, on=False)
        for name in world.gateways:
            world.cut({name}, on=False)
        send_demand(world, ["h3", "h4"], 4)
        return count_violations(world)

    return _worst_of_seeds(run)


def leader_wakes() -> int:
    """A leader is suspended for longer than a lease; then a gateway that reaches only it sends requests."""

    def run(seed: int) -> int:
        world = start_world(seed)
        leader = find_leader(world)
        send_demand(world, ["h3"], 3)
        for name in other_gateways(world, leader.name, "h3"):
            world.link("h3", name).cut = world.link(name, "h3").cut = True
        leader.sleep()
        send_demand(world, ["h3", "h4"], 9)
        leader.wake()
        send_demand(world, ["h3", "h4"], 3)
        return count_violations(world)

    return _worst_of_seeds(run)


def leader_wakes_mid_step() -> int:
    """A leader is suspended between the messages of one step, and resumes later."""

    def run(seed: int) -> int:
        world = start_world(seed)
        leader = find_leader(world)
        Demand(world, seed, 1.3 * RATE)
        world.run(world.now + 3 * SECOND)
        leader.stop_after = seed
        world.run(world.now + 10 * SECOND)
        leader.wake()
        world.run(world.now + 6 * SECOND)
        return count_violations(world)

    return _worst_of_seeds(run)


def halves() -> int:
    """Six gateways are split in halves: only the half with a majority of the replicas allocates quota."""
    world = start_world(1, gateways=6)
    send_demand(world, ["h0", "h5"], 3)
    world.cut({"h0", "h3", "h4"})
    send_demand(world, ["h0", "h1", "h3", "h5"], 12)
    world.cut({"h0", "h3", "h4"}, on=False)
    send_demand(world, ["h0", "h5"], 6)
    return count_violations(world)


def cut_at_close() -> int:
    """A request gets through just before the lease ends, and its confirmation round ends just after."""

    def run(seed: int) -> int:
        world = start_world(seed)
        leader_name = find_leader(world).name
        send_demand(world, ["h3"], 3)
        followers = [name for name in world.fleet_terms.replicas if name != leader_name]
        for name in world.fleet_terms.replicas:
            world.link("h3", name).cut = True
        send_demand(world, ["h3", "h4"], 2.4)
        for name in followers:
            world.link(leader_name, name).delay_us = 500_000
        replica = world.gateways[leader_name].node.replica  # type: ignore[union-attr]
        end = world.now + 4 * SECOND
        while world.now < end and replica is not None and replica.lease_manager is not None:
            send_demand(world, ["h4"], 0.02)
            leases = [lease for lease in replica.lease_manager.leases.values() if lease.gateway == "h3"]
            if (
                not leases
                or leases[0].expires_at - world.gateways[leader_name].now() < (100 + 100 * seed) * 1000
            ):
                break
        for name in world.fleet_terms.replicas:
            world.link("h3", name).cut = False
        send_demand(world, ["h3", "h4"], 2)
        for name in followers:
            world.link(leader_name, name).delay_us = 300
        send_demand(world, ["h3", "h4"], 5)
        return count_violations(world)

    return _worst_of_seeds(run)


def minority_grants() -> int:
    """A gateway requests quota from an isolated leader, and another from the leader of the majority."""

    def run(seed: int) -> int:
        world = start_world(seed)
        world.cut({find_leader(world).name, "h3"})
        send_demand(world, ["h3", "h4"], 9)
        for name in world.gateways:
            world.cut({name}, on=False)
        send_demand(world, ["h3", "h4"], 3)
        return count_violations(world)

    return _worst_of_seeds(run)


def short_log() -> int:
    """A replica that lacks entries stands for election while the others, which have them, are slow."""

    def run(seed: int) -> int:
        world = start_world(seed)
        leader_name = find_leader(world).name
        behind, other = [name for name in world.fleet_terms.replicas if name != leader_name]
        world.cut({behind})
        send_demand(world, ["h3"], 3)
        world.cut({behind}, on=False)
        world.cut({leader_name})
        world.link(other, behind).cut = True  # it receives no vote request of the other
        send_demand(world, ["h4", "h3"], 0.3)
        world.link(other, behind).cut = False
        send_demand(world, ["h4", "h3"], 9)
        world.cut({leader_name}, on=False)
        send_demand(world, ["h4", "h3"], 4)
        return count_violations(world)

    return _worst_of_seeds(run)


# ---- faults of processes and stores ----


def stopped_between_sends() -> int:
    """A gateway decides to send and is suspended before the first byte until its lease has ended."""

    def run(seed: int) -> int:
        world = start_world(seed)
        send_demand(world, ["h3"], 4)
        gateway = world.gateways["h3"]
        world.run(world.now + 2 * SECOND)  # its token bucket fills
        gateway.stop_after = 1
        for _ in range(30):  # all saved units are being sent
            world.send_request("h3", 2.0)
        world.run(world.now + SECOND // 50)
        for name in other_gateways(world, "h3"):
            send_demand(world, [name], 0.1)
        send_demand(world, other_gateways(world, "h3"), 10, 1.5 * RATE)
        gateway.wake()
        send_demand(world, ["h3", *other_gateways(world, "h3")], 2)
        return count_violations(world)

    return _worst_of_seeds(run)


def all_restart() -> int:
    """All gateways are killed at once and restart, several times."""
    world = start_world(1)
    Demand(world, 2, 1.3 * RATE)
    for _ in range(4):
        world.run(world.now + 3 * SECOND)
        for gateway in world.gateways.values():
            gateway.kill()
        world.run(world.now + SECOND // 5)
        for gateway in world.gateways.values():
            gateway.start()
    world.run(world.now + 10 * SECOND)
    idle = world.utilization(world.now - 3 * SECOND, world.now) < 0.7
    return count_violations(world) + idle


def rolling_restart() -> int:
    """One gateway after another is killed and restarts, while demand moves."""
    world = start_world(1)
    Demand(world, 2, 1.3 * RATE)
    for name in list(world.gateways):
        world.run(world.now + 2 * SECOND)
        world.gateways[name].kill()
        world.run(world.now + SECOND // 2)
        world.gateways[name].start()
    world.run(world.now + 10 * SECOND)
    idle = world.utilization(world.now - 3 * SECOND, world.now) < 0.8
    return count_violations(world) + idle


def busiest_restarts() -> int:
    """The gateway with most of the limit is killed after its token bucket was full, and restarts at once."""

    def run(seed: int) -> int:
        world = start_world(seed)
        send_demand(world, ["h3"], 3)
        gateway = world.gateways["h3"]
        for _ in range(6):
            world.run(world.now + SECOND)
            for _ in range(20):
                world.send_request("h3", 2.0)
            world.run(world.now + SECOND // 100)
            gateway.kill()
            gateway.start()
            send_demand(world, ["h3", "h4"], 1)
        return count_violations(world)

    return _worst_of_seeds(run)


def born_again() -> int:
    """Every gateway is killed five times a second, and spends all that it has once it has started."""
    world = start_world(1)
    for _ in range(40):
        for gateway in world.gateways.values():
            gateway.kill()
            gateway.start()
        world.run(world.now + SECOND // 20)
        for name in world.gateways:
            for _ in range(6):
                world.send_request(name, 2.0)
        world.run(world.now + 3 * SECOND // 20)
    return count_violations(world)


def two_under_one_name() -> int:
    """A second process starts under a name in use, and a gateway restarts under another name."""
    world = start_world(1)
    Demand(world, 2, 1.3 * RATE)
    twin = SimulatedGateway(world, "h3", 0.0)
    world.twins["h3~"] = twin
    twin.start()
    world.run(world.now + 8 * SECOND)
    gateway = world.gateways["h4"]
    gateway.kill()
    world.rename(gateway, "h4.1")
    gateway.start()
    world.run(world.now + 8 * SECOND)
    twin.kill()
    world.run(world.now + 8 * SECOND)
    return count_violations(world)


def store_copied() -> int:
    """The stores of all replicas but one are replaced by older copies, which lack later entries."""

    def run(seed: int) -> int:
        world = start_world(seed)
        send_demand(world, ["h3"], 2)
        stores = {name: world.gateways[name].disk for name in world.fleet_terms.replicas}
        older_copies = {name: disk.copy() for name, disk in stores.items() if disk is not None}
        send_demand(world, ["h4"], 4)
        for name in list(older_copies)[:2]:
            world.gateways[name].kill()
            world.gateways[name].disk = older_copies[name]
        world.run(world.now + SECOND // 10)
        for name in list(older_copies)[:2]:
            world.gateways[name].start()
        latest = world.fleet_terms.replicas[2]
        world.cut({latest})
        send_demand(world, ["h3", "h4"], 12)
        world.cut({latest}, on=False)
        send_demand(world, ["h3", "h4"], 6)
        return count_violations(world)

    return _worst_of_seeds(run)


# ---- settings and clocks ----


def files_differ() -> int:
    """One gateway's settings have half the others' limit: it applies to all and is not raised later."""
    world = start_world(1)
    lowered = Limit(RATE / 2, 40.0)
    world.gateways["h2"].change_limit(lowered)
    for judge in world.buckets.values():
        judge.change(world.now, lowered)
    world.bucket(1).change(world.now, lowered)
    world.bucket(1).settle(world.now + 2 * world.fleet_terms.lease_with_drift_us + SECOND)
    Demand(world, 2, 1.3 * RATE)
    world.run(world.now + 25 * SECOND)
    return count_violations(world)


def whole_lowered() -> int:
    """The limit is halved and restored, at one gateway after another, while all of it is spent."""

    def run(seed: int) -> int:
        world = start_world(seed)
        Demand(world, seed, 1.6 * RATE)
        world.run(world.now + 4 * SECOND)
        lowered = world.limit = Limit(RATE / 2, 40.0)
        judge = world.bucket(1)
        judge.change(world.now, lowered)
        for n, gateway in enumerate(world.gateways.values()):
            world.at(world.now + n * SECOND // 2, lambda gateway=gateway: gateway.change_limit(lowered))  # type: ignore[misc]
        judge.settle(world.now + 3 * SECOND + 2 * world.fleet_terms.lease_with_drift_us)
        world.run(world.now + 20 * SECOND)
        raised = world.limit = Limit(RATE, 80.0)
        judge.change(world.now, raised)
        for n, gateway in enumerate(world.gateways.values()):
            world.at(world.now + n * SECOND // 2, lambda gateway=gateway: gateway.change_limit(raised))  # type: ignore[misc]
        world.run(world.now + 15 * SECOND)
        return count_violations(world)

    return _worst_of_seeds(run)


def clocks_differ() -> int:
    """The busiest gateway's clock runs 1% slow, those of all others 1% fast, and it is isolated."""

    def run(seed: int) -> int:
        world = start_world(seed)
        for name, gateway in world.gateways.items():
            # The drift applies from now on; the clocks' present readings do not change.
            drift = -0.0099 if name == "h3" else 0.0099
            gateway.offset += int(world.now * (gateway.drift - drift))
            gateway.drift = drift
        send_demand(world, ["h3"], 3)
        world.cut({"h3"})
        send_demand(world, ["h3", "h4", "h1"], 7)
        world.cut({"h3"}, on=False)
        send_demand(world, ["h3", "h4"], 2)
        return count_violations(world)

    return _worst_of_seeds(run)


def clock_set_back() -> int:
    """A gateway's wall clock is set back by a year, and it restarts."""
    world = start_world(1)
    Demand(world, 2, 1.3 * RATE)
    world.run(world.now + 3 * SECOND)
    gateway = world.gateways["h3"]
    gateway.wall_ms -= 365 * 86_400_000
    gateway.kill()
    gateway.start()
    world.run(world.now + 10 * SECOND)
    recent_units = sum(
        units for at, name, units in world.arrivals if name == "h3" and at > world.now - 4 * SECOND
    )
    return count_violations(world) + (not recent_units)


# ---- a single replica, holder or ledger ----


def _start_replica(terms: FleetTerms, disk: Disk) -> FleetNode:
    """Start the replica of gateway h1, with its store trusted to be the latest."""
    loaded = disk.load(random.Random(1))
    identity = GatewayIdentity("h1", "h1:1", 7 + loaded.state.starts, 1)
    node = FleetNode(terms, "d", identity, loaded, 1, 0)
    _persist(disk, node.trust_store(0))
    return node


def _persist(disk: Disk, out: StepOutput) -> bool:
    """Persist a step's write, if it has one; return False if the store did not accept it."""
    return out.write is None or disk.write(out.write)


def _voter_store(terms: FleetTerms) -> tuple[Disk, tuple[str, ...]]:
    """Return the store of gateway h1, one of three voters, and the replica ids of all three."""
    replica_ids = tuple(make_replica_id(name, f"store-{name}") for name in terms.replicas)
    persisted = PersistentState("store-h1", fleet_id="f", voters=replica_ids, bound_to="store-h0")
    return Disk(persisted), replica_ids


def vote_forgotten() -> int:
    """A replica votes, crashes, and receives the vote request of another candidate in the same term."""
    terms = FleetTerms("lab", ("h0", "h1", "h2"))
    disk, replica_ids = _voter_store(terms)
    node = _start_replica(terms, disk)
    out = node.receive(10, "h0", 1, m.VoteRequest(replica_ids[0], 5, False, 0, 0))
    _persist(disk, out)
    granted = _grants_vote(out)
    node = _start_replica(terms, disk)
    return int(not granted) + int(
        _grants_vote(node.receive(20, "h2", 1, m.VoteRequest(replica_ids[2], 5, False, 0, 0)))
    )


def _grants_vote(out: StepOutput) -> bool:
    return any(isinstance(message, m.VoteResponse) and message.granted for _, message in out.messages)


def full_at_vote() -> int:
    """The store is full when a replica votes: it must not send that vote, then or later."""
    terms = FleetTerms("lab", ("h0", "h1", "h2"))
    disk, replica_ids = _voter_store(terms)
    node = _start_replica(terms, disk)
    disk.full = True
    out = node.receive(10, "h0", 1, m.VoteRequest(replica_ids[0], 5, False, 0, 0))
    if _persist(disk, out):
        return 1  # no vote was to be persisted
    node.store_failed(10, "full")
    later = [node.tick(20 + n * SECOND) for n in range(5)]
    later.append(node.receive(9 * SECOND, "h0", 1, m.VoteRequest(replica_ids[0], 5, False, 0, 0)))
    return sum(map(_grants_vote, later)) + int(node.is_replica)


def older_term() -> int:
    """A replica in a later term receives entries of an older leader: it accepts none."""
    terms = FleetTerms("lab", ("h0", "h1", "h2"))
    disk, replica_ids = _voter_store(terms)
    node = _start_replica(terms, disk)
    _persist(disk, node.receive(10, "h2", 1, m.VoteRequest(replica_ids[2], 6, False, 0, 0)))
    entry = m.LogEntry(5, m.Noop())
    out = node.receive(20, "h0", 1, m.AppendEntries(replica_ids[0], 5, 0, 0, (entry,), 1, 1))
    accepted = any(isinstance(message, m.AppendResponse) and message.success for _, message in out.messages)
    return int(accepted) + len(node.replica.raft.log.entries if node.replica is not None else ())


def _requesting_holder() -> tuple[LeaseHolder, m.LeaseRequest]:
    """Return a lease holder that has requested a lease at time 0, and the request."""
    holder = LeaseHolder(FleetTerms("f", ("a",)), "d", 7, "s", PersistedFloor(), 0, random.Random(1))
    holder.set_limits({"p": (100_000, 80_000)}, 8000)
    holder.tick(0, ["a"])
    message = holder.drain_messages()[0][1]
    assert isinstance(message, m.LeaseRequest)
    return holder, message


def answer_late() -> int:
    """A response is in transit for longer than the lease."""
    holder, request = _requesting_holder()
    response = m.LeaseResponse(7, request.number, m.LeaseStatus.RENEWED, 5, 1, "a", -1, 0, (), "f")
    holder.receive(5 * SECOND, "a", response)
    return int(holder.lease_until > FleetTerms("f", ("a",)).lease_us)


def order_late() -> int:
    """An order arrives an hour late, after the order that followed it."""
    holder, request = _requesting_holder()
    holder.receive(
        10, "a", m.LeaseResponse(7, request.number, m.LeaseStatus.RENEWED, 5, 1, "a", -1, 0, (), "f")
    )
    for version, rate in ((9, 20_000), (8, 90_000)):
        holder.receive(20, "a", m.QuotaOrders(7, 5, "f", (m.QuotaOrder("p/1", version, rate, 8000),)))
    return int(holder.allocations["p/1"].rate != 20_000)


def session_replaced() -> int:
    """A process gets another session: quota of its earlier session may be allocated to others."""
    holder, request = _requesting_holder()
    holder.receive(
        10, "a", m.LeaseResponse(7, request.number, m.LeaseStatus.RENEWED, 5, 1, "a", -1, 0, (), "f")
    )
    holder.receive(20, "a", m.QuotaOrders(7, 5, "f", (m.QuotaOrder("p/1", 9, 20_000, 8000),)))
    holder.receive(
        30, "a", m.LeaseResponse(7, request.number, m.LeaseStatus.RENEWED, 6, 1, "a", -1, 0, (), "f")
    )
    return len(holder.allocations)


def leader_errs() -> int:
    """A leader with wrong sums proposes more than the limit."""
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
    return int(sum(allocation.rate for allocation in ledger.allocations["p/1"].values()) > 90_000)


def snapshot_and_log() -> int:
    """A replica restarts with the log, term and snapshot that it persisted."""
    terms = FleetTerms("lab", ("h0", "h1", "h2"))
    disk, replica_ids = _voter_store(terms)
    node = _start_replica(terms, disk)
    entries = tuple(m.LogEntry(3, m.OpenSession(f"h{n}", n + 1, "")) for n in range(3))
    _persist(disk, node.receive(10, "h0", 1, m.AppendEntries(replica_ids[0], 3, 0, 0, entries, 2, 1)))
    restarted = _start_replica(terms, copy.deepcopy(disk))
    replica, original = restarted.replica, node.replica
    if replica is None or original is None:
        return 1
    log = replica.raft.log
    differences = [
        log.entries != original.raft.log.entries,
        replica.raft.term != 3,
        log.snapshot != Snapshot(0, 0, replica_ids, b""),
    ]
    return sum(differences)


CASES: dict[str, Callable[[], int]] = {
    case.__name__: case for case in (
        answers_lost, answer_late, order_late, session_replaced, leader_errs, minority_grants, short_log,
        born_again, told_twice, told_late, one_way, two_leaders, leader_wakes, leader_wakes_mid_step,
        halves, cut_at_close, stopped_between_sends, all_restart, rolling_restart, busiest_restarts,
        two_under_one_name, store_copied, files_differ, whole_lowered, clocks_differ, clock_set_back,
        vote_forgotten, full_at_vote, older_term, snapshot_and_log,
    )
}  # fmt: skip
