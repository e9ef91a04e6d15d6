"""The parts of a fleet trial: its judge finds deliberate violations, relays impair as set, and ctl works."""

from __future__ import annotations

import json
import random
import signal
import time
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from twisted.internet.protocol import Factory

from gaugesail.fleet import ctl
from gaugesail.lab.fleet import Limit
from gaugesail.net import Connection, dial
from gaugesail.rehearsal.defaults import settings
from gaugesail.rehearsal.fleet.command import bars, load_timeline
from gaugesail.rehearsal.fleet.heads import GatewayProcess, free_ports
from gaugesail.rehearsal.fleet.relay import Relay, RelayMesh
from gaugesail.rehearsal.fleet.world import ARRIVAL_SPREAD_S, Clients, FleetJudge, MovingDemand, Node
from gaugesail.rehearsal.memory import MemoryReactor

from ..support.datagram_reactor import UdpReactor

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class FaultyGateway(Factory):
    """Forwards and answers each request with the given fault, or correctly with any other word."""

    noisy = False

    def __init__(self, reactor: MemoryReactor, node: Node, fault: str) -> None:
        self.reactor, self.fault = reactor, fault
        host, _, port = node.address.partition(":")
        self.node = host, int(port)

    def buildProtocol(self, addr: Any) -> Connection:
        return _FaultyConnection(self)


class _FaultyConnection(Connection):
    def __init__(self, gateway: FaultyGateway) -> None:
        self.gateway = gateway

    def dataReceived(self, data: bytes) -> None:
        gateway = self.gateway
        for _ in range(2 if gateway.fault == "two out" else 1):
            dialed = dial(gateway.reactor, gateway.node, 1.0, lambda: Connection())
            dialed.addCallback(lambda connection: connection.link.write(data))
        if gateway.fault == "silent":
            return
        if gateway.fault == "breaks":
            self.link.abortConnection()
            return
        gateway.reactor.callLater(0.1, self.link.write, OK * (2 if gateway.fault == "twice" else 1))


def counts_of(fault: str, requests: int = 3, units: int = 2, dead: bool = False) -> Any:
    reactor = MemoryReactor()
    judge = FleetJudge(reactor.seconds, Limit(10.0, 8.0))
    node = Node(reactor, "node", 0, judge)
    port = reactor.listenTCP(0, FaultyGateway(reactor, node, fault), interface="127.0.0.1")
    clients = Clients(reactor, "h", ("127.0.0.1", port.getHost().port), 1, judge, lambda: dead)
    for _ in range(requests):
        clients.send_request(units)
        reactor.run_until(lambda: False, 0.5)
    reactor.run_until(lambda: False, 10)
    judge.counts.lost += clients.overdue(reactor.seconds())
    return judge.counts


def test_a_correct_gateway_breaks_no_guarantee() -> None:
    found = counts_of("well")
    assert (found.overspent, found.lost, found.answered_twice, found.two_out, found.served) == (0, 0, 0, 0, 3)


def test_the_judge_finds_each_violation() -> None:
    assert counts_of("two out").two_out > 0
    assert counts_of("twice").answered_twice > 0
    assert counts_of("silent").lost == 3
    assert counts_of("breaks").lost == 3
    assert counts_of("breaks", dead=True).lost == 0, "its process was killed"
    counts = counts_of("well", requests=6, units=8)
    assert counts.overspent > 0 and counts.lowest_units < 0


def test_a_lower_limit_holds_from_its_settling_on() -> None:
    now = [0.0]
    judge = FleetJudge(lambda: now[0], Limit(100.0, 10.0))

    def spend(units: float) -> int:
        judge.request_sent("r", "h", units)
        judge.attempt_arrived("r")
        judge.attempt_arrived("r")  # a further attempt takes nothing
        return judge.counts.overspent

    assert spend(10 + ARRIVAL_SPREAD_S * 100) == 0
    judge.change_limit(Limit(10.0, 10.0))
    now[0] = 1.0
    assert spend(25) == 0, "the old limit holds"
    judge.enforce_lower_limit(0.0)
    now[0] = 2.0
    assert spend(12) == 1


def test_demand_shifts_and_has_the_given_rate() -> None:
    reactor = MemoryReactor()
    sent: dict[str, float] = {"a": 0.0, "b": 0.0}

    class Count:
        def __init__(self, name: str) -> None:
            self.name = name

        def send_request(self, units: int, volume: int = 1) -> None:
            sent[self.name] += units

    demand = MovingDemand(reactor, 1, {name: Count(name) for name in sent}, 200.0)  # type: ignore[misc]
    reactor.run_until(lambda: False, 60)
    demand.stopped = True
    assert 0.85 < sum(sent.values()) / (200 * 60) < 1.15
    assert demand.weights["a"] != demand.weights["b"]


def forwarded_by(relay: Relay, reactor: MemoryReactor, count: int = 200) -> list[bytes]:
    transport: Any = relay._receiver.transport
    transport.sent.clear()
    for n in range(count):
        relay.datagram(b"%d" % n)
    reactor.run_until(lambda: False, 2.0)
    return list(transport.sent)


def test_a_relay_loses_duplicates_delays_reorders_and_cuts_one_direction() -> None:
    reactor = UdpReactor()
    mesh = RelayMesh(reactor, 1, {"a": ("127.0.0.1", 1), "b": ("127.0.0.1", 2), "c": ("127.0.0.1", 3)})
    relay = mesh.relays["a", "b"]
    plain = [b"%d" % n for n in range(200)]
    assert forwarded_by(relay, reactor) == plain
    relay.impairment.drop = 0.5
    assert 50 < len(forwarded_by(relay, reactor)) < 150
    relay.impairment.clear()
    relay.impairment.duplicate = 1.0
    assert len(forwarded_by(relay, reactor)) == 400
    relay.impairment.clear()
    relay.impairment.jitter = 0.5
    jittered = forwarded_by(relay, reactor)
    assert sorted(jittered) == sorted(plain) and jittered != plain
    relay.impairment.clear()
    relay.impairment.cut = True
    assert not forwarded_by(relay, reactor) and forwarded_by(mesh.relays["b", "a"], reactor) == plain
    assert {id(found) for found in mesh.between({"a"}, both=False)} == {
        id(mesh.relays["a", "b"]), id(mesh.relays["a", "c"])
    }  # fmt: skip
    assert len(mesh.between({"a"})) == 4 and set(mesh.peers("a")) == {"b", "c"}


def test_a_connection_outlasts_a_cut_and_is_throttled() -> None:
    reactor = UdpReactor()
    received = bytearray()

    class Receiver(Connection):
        def dataReceived(self, data: bytes) -> None:
            received.extend(data)

    class ReceivingGateway(Factory):
        noisy = False

        def buildProtocol(self, addr: Any) -> Connection:
            return Receiver()

    port = reactor.listenTCP(0, ReceivingGateway(), interface="127.0.0.1")
    relay = Relay(reactor, random.Random(1), ("127.0.0.1", port.getHost().port))
    relay.impairment.cut = True
    dialed = dial(reactor, relay.address, 1.0, lambda: Connection())
    dialed.addCallback(lambda connection: connection.link.write(b"x" * 1000))
    reactor.run_until(lambda: False, 1)
    assert not received
    relay.impairment.cut, relay.impairment.trickle = False, 1000
    relay.impairment_changed()
    reactor.run_until(lambda: False, 0.5)
    assert 0 < len(received) < 900
    relay.impairment.clear()
    relay.impairment_changed()
    reactor.run_until(lambda: False, 1)
    assert len(received) == 1000


def test_all_errors_of_a_timeline_are_reported(tmp_path: Path) -> None:
    path = tmp_path / "t.toml"
    path.write_text('[[fault]]\nat = 5\nkind = "kill"\nhead = "h1"\n[[fault]]\nat = 2\nkind = "cut"\n')
    assert load_timeline(str(path), ["h0", "h1"]) == ((2.0, "cut"), (5.0, "kill h1"))
    path.write_text('[[fault]]\nat = -1\nkind = "boom"\nhead = "h9"\n')
    with pytest.raises(Exception) as caught:
        load_timeline(str(path), ["h0"])
    error = str(caught.value)
    assert "[[fault]] 1 at" in error and "'boom'" in error and "'h9'" in error
    assert bars([(1.5, "a", 50.0), (2.2, "b", 1.0)], "a", 1.0, 2.0, 100.0)[1] == " "


def test_the_timeline_for_newcomers_is_valid() -> None:
    path = Path(__file__).parents[2] / "deploy" / "trials" / "newcomer.toml"
    assert [name for _, name in load_timeline(str(path), ["h0", "h1", "h2"])] == ["kill h1", "cut h2"]


def test_ctl_shows_and_controls_a_running_gateway(tmp_path: Path) -> None:
    listen, management, fleet, closed_port = free_ports(4)
    gateway = GatewayProcess("h0", tmp_path / "h0", listen, management, fleet)
    given = settings()
    given["contracts"][0] |= {"never_over": 100.0, "most_at_once": 40.0}
    gateway.write_files(
        {"name": "h0", "listen": f"127.0.0.1:{listen}", "management": f"127.0.0.1:{management}", "seed": "1",
         "discovery": f"127.0.0.1:{closed_port}", "settings": given},
        {"fleet": {"name": "f", "head": "h0", "listen": f"127.0.0.1:{fleet}", "keepers": ["h0"],
                   "key": "k" * 20, "folder": str(tmp_path / "h0" / "store")}, "budgets": {"lease_ms": 1000}},
    )  # fmt: skip
    gateway.start()

    def call(*words: str) -> Any:
        return CliRunner().invoke(ctl.command, [*words, "--at", f"127.0.0.1:{management}"])

    def page_of(*words: str) -> Any:
        done = call(*words, "--json")
        return json.loads(done.output) if done.exit_code == 0 else {}

    try:
        end = time.monotonic() + 30
        while (
            not any(floor["rate"] for floor in page_of("budgets").get("own", {}).get("floors", {}).values())
            and time.monotonic() < end
        ):
            time.sleep(0.2)
        budgets = page_of("budgets")
        assert budgets["own"]["floors"]["basic"]["rate"] == pytest.approx(100 * 0.1 / 8)
        assert budgets["wholes"]["basic"]["rate"] == 100.0 and budgets["leader"] == "h0"
        assert page_of("members")["members"][0]["state"] == "alive"
        assert "h0" in call("members").output and "basic" in call("budgets").output
        done = call("forget", "h0")
        assert done.exit_code == 1 and "it is not gone" in done.output
        assert call("forget", "h7").exit_code == 0
        assert call("trust-store").exit_code == 0
    finally:
        gateway.signal(signal.SIGTERM)
        assert gateway.process is not None
        code = gateway.process.wait(30)
    assert code == 0 and not gateway.errors()
    assert CliRunner().invoke(ctl.command, ["members", "--at", f"127.0.0.1:{management}"]).exit_code == 1
    assert CliRunner().invoke(ctl.command, ["members", "--at", "nowhere"]).exit_code == 2
