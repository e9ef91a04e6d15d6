"""The rig's own parts: a judge that finds what heads break on purpose, relays that do what they say, ctl."""

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
from gaugesail.rehearsal.fleet.command import bars, timeline_of
from gaugesail.rehearsal.fleet.heads import HeadProcess, free_ports
from gaugesail.rehearsal.fleet.relay import Line, Relays
from gaugesail.rehearsal.fleet.world import LATE_S, Clients, FleetJudge, MovingDemand, Node
from gaugesail.rehearsal.memory import MemoryReactor

from ..support.datagram_reactor import UdpReactor

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class RudeHead(Factory):
    """Passes each request on as ``how`` says, and answers as it likes."""

    noisy = False

    def __init__(self, reactor: MemoryReactor, node: Node, how: str) -> None:
        self.reactor, self.how = reactor, how
        host, _, port = node.address.partition(":")
        self.node = host, int(port)

    def buildProtocol(self, addr: Any) -> Connection:
        return _Rude(self)


class _Rude(Connection):
    def __init__(self, head: RudeHead) -> None:
        self.head = head

    def dataReceived(self, data: bytes) -> None:
        head = self.head
        for _ in range(2 if head.how == "two out" else 1):
            made = dial(head.reactor, head.node, 1.0, lambda: Connection())
            made.addCallback(lambda connection: connection.link.write(data))
        if head.how == "silent":
            return
        if head.how == "breaks":
            self.link.abortConnection()
            return
        head.reactor.callLater(0.1, self.link.write, OK * (2 if head.how == "twice" else 1))


def judged(how: str, requests: int = 3, units: int = 2, dead: bool = False) -> Any:
    reactor = MemoryReactor()
    judge = FleetJudge(reactor.seconds, Limit(10.0, 8.0))
    node = Node(reactor, "node", 0, judge)
    port = reactor.listenTCP(0, RudeHead(reactor, node, how), interface="127.0.0.1")
    clients = Clients(reactor, "h", ("127.0.0.1", port.getHost().port), 1, judge, lambda: dead)
    for _ in range(requests):
        clients.ask(units)
        reactor.run_until(lambda: False, 0.5)
    reactor.run_until(lambda: False, 10)
    judge.told.lost += clients.overdue(reactor.seconds())
    return judge.told


def test_a_head_that_does_all_well_is_not_blamed() -> None:
    told = judged("well")
    assert (told.overspent, told.lost, told.answered_twice, told.two_out, told.served) == (0, 0, 0, 0, 3)


def test_each_thing_that_must_not_be_is_found() -> None:
    assert judged("two out").two_out > 0
    assert judged("twice").answered_twice > 0
    assert judged("silent").lost == 3
    assert judged("breaks").lost == 3
    assert judged("breaks", dead=True).lost == 0, "its process was killed"
    told = judged("well", requests=6, units=8)
    assert told.overspent > 0 and told.least < 0


def test_a_smaller_whole_binds_from_when_it_is_settled() -> None:
    now = [0.0]
    judge = FleetJudge(lambda: now[0], Limit(100.0, 10.0))

    def spend(units: float) -> int:
        judge.asked("r", "h", units)
        judge.arrived("r")
        judge.arrived("r")  # a further attempt takes nothing
        return judge.told.overspent

    assert spend(10 + LATE_S * 100) == 0
    judge.change(Limit(10.0, 10.0))
    now[0] = 1.0
    assert spend(25) == 0, "the old one holds"
    judge.settle(0.0)
    now[0] = 2.0
    assert spend(12) == 1


def test_demand_moves_and_asks_for_what_it_says() -> None:
    reactor = MemoryReactor()
    asked: dict[str, float] = {"a": 0.0, "b": 0.0}

    class Count:
        def __init__(self, name: str) -> None:
            self.name = name

        def ask(self, units: int, volume: int = 1) -> None:
            asked[self.name] += units

    demand = MovingDemand(reactor, 1, {name: Count(name) for name in asked}, 200.0)  # type: ignore[misc]
    reactor.run_until(lambda: False, 60)
    demand.stopped = True
    assert 0.85 < sum(asked.values()) / (200 * 60) < 1.15
    assert demand.weights["a"] != demand.weights["b"]


def sent_by(line: Line, reactor: MemoryReactor, count: int = 200) -> list[bytes]:
    wire: Any = line._ear.transport
    wire.sent.clear()
    for n in range(count):
        line.datagram(b"%d" % n)
    reactor.run_until(lambda: False, 2.0)
    return list(wire.sent)


def test_a_relay_loses_doubles_delays_reorders_and_cuts_one_way() -> None:
    reactor = UdpReactor()
    relays = Relays(reactor, 1, {"a": ("127.0.0.1", 1), "b": ("127.0.0.1", 2), "c": ("127.0.0.1", 3)})
    line = relays.lines["a", "b"]
    plain = [b"%d" % n for n in range(200)]
    assert sent_by(line, reactor) == plain
    line.weather.drop = 0.5
    assert 50 < len(sent_by(line, reactor)) < 150
    line.weather.clear()
    line.weather.double = 1.0
    assert len(sent_by(line, reactor)) == 400
    line.weather.clear()
    line.weather.jitter = 0.5
    late = sent_by(line, reactor)
    assert sorted(late) == sorted(plain) and late != plain
    line.weather.clear()
    line.weather.cut = True
    assert not sent_by(line, reactor) and sent_by(relays.lines["b", "a"], reactor) == plain
    assert {id(one) for one in relays.between({"a"}, both=False)} == {
        id(relays.lines["a", "b"]), id(relays.lines["a", "c"])
    }  # fmt: skip
    assert len(relays.between({"a"})) == 4 and set(relays.peers("a")) == {"b", "c"}


def test_an_exchange_waits_out_a_cut_and_trickles() -> None:
    reactor = UdpReactor()
    heard = bytearray()

    class Hears(Connection):
        def dataReceived(self, data: bytes) -> None:
            heard.extend(data)

    class Head(Factory):
        noisy = False

        def buildProtocol(self, addr: Any) -> Connection:
            return Hears()

    port = reactor.listenTCP(0, Head(), interface="127.0.0.1")
    line = Line(reactor, random.Random(1), ("127.0.0.1", port.getHost().port))
    line.weather.cut = True
    made = dial(reactor, line.address, 1.0, lambda: Connection())
    made.addCallback(lambda connection: connection.link.write(b"x" * 1000))
    reactor.run_until(lambda: False, 1)
    assert not heard
    line.weather.cut, line.weather.trickle = False, 1000
    line.changed()
    reactor.run_until(lambda: False, 0.5)
    assert 0 < len(heard) < 900
    line.weather.clear()
    line.changed()
    reactor.run_until(lambda: False, 1)
    assert len(heard) == 1000


def test_a_timeline_is_checked_whole(tmp_path: Path) -> None:
    path = tmp_path / "t.toml"
    path.write_text('[[fault]]\nat = 5\nkind = "kill"\nhead = "h1"\n[[fault]]\nat = 2\nkind = "cut"\n')
    assert timeline_of(str(path), ["h0", "h1"]) == ((2.0, "cut"), (5.0, "kill h1"))
    path.write_text('[[fault]]\nat = -1\nkind = "boom"\nhead = "h9"\n')
    with pytest.raises(Exception) as caught:
        timeline_of(str(path), ["h0"])
    told = str(caught.value)
    assert "[[fault]] 1 at" in told and "'boom'" in told and "'h9'" in told
    assert bars([(1.5, "a", 50.0), (2.2, "b", 1.0)], "a", 1.0, 2.0, 100.0)[1] == " "


def test_a_newcomers_timeline_is_taken() -> None:
    path = Path(__file__).parents[2] / "deploy" / "trials" / "newcomer.toml"
    assert [name for _, name in timeline_of(str(path), ["h0", "h1", "h2"])] == ["kill h1", "cut h2"]


def test_ctl_shows_and_tells_a_running_head(tmp_path: Path) -> None:
    listen, calls, fleet, nobody = free_ports(4)
    head = HeadProcess("h0", tmp_path / "h0", listen, calls, fleet)
    given = settings()
    given["contracts"][0] |= {"never_over": 100.0, "most_at_once": 40.0}
    head.write(
        {"name": "h0", "listen": f"127.0.0.1:{listen}", "management": f"127.0.0.1:{calls}", "seed": "1",
         "discovery": f"127.0.0.1:{nobody}", "settings": given},
        {"fleet": {"name": "f", "head": "h0", "listen": f"127.0.0.1:{fleet}", "keepers": ["h0"],
                   "key": "k" * 20, "folder": str(tmp_path / "h0" / "store")}, "budgets": {"lease_ms": 1000}},
    )  # fmt: skip
    head.start()

    def call(*words: str) -> Any:
        return CliRunner().invoke(ctl.command, [*words, "--at", f"127.0.0.1:{calls}"])

    def told(*words: str) -> Any:
        done = call(*words, "--json")
        return json.loads(done.output) if done.exit_code == 0 else {}

    try:
        end = time.monotonic() + 30
        while (
            not any(floor["rate"] for floor in told("budgets").get("own", {}).get("floors", {}).values())
            and time.monotonic() < end
        ):
            time.sleep(0.2)
        budgets = told("budgets")
        assert budgets["own"]["floors"]["basic"]["rate"] == pytest.approx(100 * 0.1 / 8)
        assert budgets["wholes"]["basic"]["rate"] == 100.0 and budgets["leader"] == "h0"
        assert told("members")["members"][0]["state"] == "alive"
        assert "h0" in call("members").output and "basic" in call("budgets").output
        done = call("forget", "h0")
        assert done.exit_code == 1 and "it is not gone" in done.output
        assert call("forget", "h7").exit_code == 0
        assert call("trust-store").exit_code == 0
    finally:
        head.signal(signal.SIGTERM)
        assert head.process is not None
        code = head.process.wait(30)
    assert code == 0 and not head.errors()
    assert CliRunner().invoke(ctl.command, ["members", "--at", f"127.0.0.1:{calls}"]).exit_code == 1
    assert CliRunner().invoke(ctl.command, ["members", "--at", "nowhere"]).exit_code == 2
