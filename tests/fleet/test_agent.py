"""Fleet agents on a reactor in memory: start, restart, a failing store or step, and operators' calls."""

from __future__ import annotations

import io
import json
from pathlib import Path
from typing import Any

from gaugesail.coordination import messages as m
from gaugesail.core.clock import ReactorClock
from gaugesail.fleet.agent import FleetAgent
from gaugesail.fleet.link import Link
from gaugesail.fleet.settings import read_fleet
from gaugesail.fleet.store import FleetStore, StoreFailed
from gaugesail.fleet.wire import MAX_DATAGRAM_BYTES, Wire
from gaugesail.logs import make_logger
from gaugesail.policy.events import QuotaChanged
from gaugesail.policy.settings import Plan, RequestClass, Settings

from ..support.datagram_reactor import UdpReactor

KEY = "k" * 20


class Engine:
    """A stand-in for the engine: a demand to report, and a record of the quota received."""

    def __init__(self) -> None:
        self.settings = Settings(
            classes=(RequestClass("read", 500_000, 2_000_000, 3.0, 0.15),),
            plans=(Plan("p", 100.0, limit=100.0, limit_burst=80.0),),
            max_request_units=8.0,
            fleet_quota=True,
        )
        self.quota_events: list[QuotaChanged] = []
        self.demand = 0.0

    def change_quota(self, event: QuotaChanged) -> None:
        self.quota_events.append(event)

    def drain_quota_demand(self) -> list[tuple[str, int, float, float, float]]:
        return [("p", 1, self.demand, self.demand, 0.0)] if self.demand else []

    def rate(self) -> float:
        """The rate of the latest allocation received; 0.0 before the first."""
        rates = [allocation[2] for event in self.quota_events for allocation in event.allocations]
        return rates[-1] if rates else 0.0


class Fleet:
    """The agents of some gateways on one reactor in memory."""

    def __init__(self, folder: Path, names: str = "abc") -> None:
        self.reactor, self.folder, self.names = UdpReactor(), folder, names
        self.reactor.advance(1000.0)
        self.log = io.StringIO()
        self.clock = ReactorClock(
            self.reactor, lambda: round(self.reactor.seconds() * 1e9), lambda: 1_700_000_000 * 10**9
        )
        self.engines: dict[str, Any] = {}
        self.agents: dict[str, FleetAgent] = {}
        for name in names:
            self.start(name)

    def start(self, name: str) -> FleetAgent:
        (self.folder / name).mkdir(exist_ok=True)
        settings = read_fleet(
            {
                "fleet": {
                    "name": "f",
                    "head": name,
                    "listen": self.at(name),
                    "keepers": list(self.names[:3]),
                    "key": KEY,
                    "folder": str(self.folder / name),
                },
                "budgets": {"lease_ms": 1000, "most_heads": 4},
                "peer": [{"name": other, "address": self.at(other)} for other in self.names if other != name],
            }
        )
        agent = FleetAgent(self.reactor, self.clock, settings, make_logger(self.log))
        self.agents[name], self.engines[name] = agent, Engine()
        agent.start(self.engines[name])
        return agent

    def at(self, name: str) -> str:
        return f"127.0.0.1:{30_001 + ord(name)}"

    def leaders(self) -> set[str]:
        """The leaders that the gateways know of."""
        return {json.loads(one.call("GET", ["budgets"])[1])["leader"] for one in self.agents.values()}

    def run(self, seconds: float) -> None:
        self.reactor.run_until(lambda: False, seconds)

    def end(self) -> None:
        for agent in self.agents.values():
            agent.close()


def test_gateways_bootstrap_a_fleet_and_the_busy_one_gets_the_quota(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)
    fleet.run(6)
    fleet.engines["b"].demand = 15.0  # in each tenth of a second
    fleet.run(3)
    assert fleet.engines["b"].rate() > 80
    floors = [event.floors for event in fleet.engines["c"].quota_events if event.floors]
    assert floors[-1] == (("p", 2.5, 10.0),)
    status, text = fleet.agents["a"].call("GET", ["budgets"])
    view = json.loads(text)
    assert status == 200 and sum(row["rate"] for row in view["amounts"]["p/1"]["parts"]) <= 90
    leader = view["leader"]
    fleet.agents[leader].close()
    fleet.agents.pop(leader)
    fleet.run(6)
    assert fleet.leaders() not in ({leader}, {""})
    fleet.start(leader)
    fleet.run(6)
    assert len(fleet.leaders()) == 1
    fleet.end()


def test_a_gateway_whose_store_fails_is_no_replica_but_keeps_its_lease(
    tmp_path: Path, monkeypatch: Any
) -> None:
    fleet = Fleet(tmp_path)
    fleet.run(4)
    agent = fleet.agents["a"]
    before = json.loads(agent.call("GET", ["budgets"])[1])["own"]["floors"]

    def disk_full(self: FleetStore, write: Any) -> None:
        raise StoreFailed("full")

    monkeypatch.setattr(agent._store, "write", disk_full.__get__(agent._store))
    node = agent.fleet_node
    assert node is not None
    fleet.run(5)
    view = json.loads(agent.call("GET", ["budgets"])[1])
    assert not node.is_replica and not view["keeper"] and not view["leads"]
    assert view["own"]["floors"] == before and view["own"]["lease_s"] > 0, "it still holds a lease"
    assert "fleet_store_failed" in fleet.log.getvalue()
    fleet.end()


def test_a_gateway_that_leaves_does_not_restart_for_its_store(tmp_path: Path, monkeypatch: Any) -> None:
    fleet = Fleet(tmp_path)
    fleet.run(4)
    agent = fleet.agents["a"]

    def disk_full(self: FleetStore, write: Any) -> None:
        self.close()  # as a write that fails does
        raise StoreFailed("full")

    monkeypatch.setattr(agent._store, "write", disk_full.__get__(agent._store))
    assert fleet.reactor.run_until(lambda: "fleet_store_failed" in fleet.log.getvalue(), 10.0)
    agent.leave()
    fleet.run(10)
    assert "fleet_restarted" not in fleet.log.getvalue()
    fleet.end()


def test_a_step_that_raises_ends_neither_the_gateway_nor_its_lease(tmp_path: Path, monkeypatch: Any) -> None:
    fleet = Fleet(tmp_path)
    fleet.run(3)
    agent = fleet.agents["a"]
    assert agent.fleet_node is not None

    def raising(*_: Any) -> Any:
        raise ZeroDivisionError

    with monkeypatch.context() as patch:
        patch.setattr(agent.fleet_node, "receive", raising)
        fleet.run(0.5)
    assert "fleet_raised" in fleet.log.getvalue() and not agent.fleet_node.is_replica
    fleet.run(8)
    assert json.loads(agent.call("GET", ["budgets"])[1])["own"]["lease_s"] > 0
    fleet.end()


def test_a_second_process_waits_until_the_first_has_ended(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)
    fleet.run(3)
    first = fleet.agents["b"]
    second = fleet.start("b")
    fleet.run(2)
    assert second.fleet_node is None and second.call("GET", ["members"])[0] == 503
    assert "fleet_start_delayed" in fleet.log.getvalue()
    first.leave()
    first.close()
    fleet.run(4)
    assert second.fleet_node is not None and second.fleet_node.lease_holder.lease_until > fleet.clock.now_us()
    fleet.end()


def test_each_operator_call_has_its_status_and_answer(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)
    fleet.run(4)
    agent = fleet.agents["a"]
    assert agent.call("GET", ["link"])[0] == 200 and agent.call("POST", ["trust-store"])[0] == 200
    assert agent.call("POST", ["members"])[0] == 405 and agent.call("GET", ["forget", "x"])[0] == 405
    assert agent.call("GET", ["none"])[0] == 404
    status, text = agent.call("POST", ["forget", "b"])
    number = json.loads(text)["petition"]
    fleet.run(1)
    result = json.loads(agent.call("GET", ["petitions", str(number)])[1])
    assert status == 202 and result["known"] and not result["done"] and "not gone" in result["why"]
    fleet.end()


def test_large_messages_go_by_tcp_and_those_too_large_are_dropped() -> None:
    reactor = UdpReactor()
    clock = ReactorClock(reactor, lambda: round(reactor.seconds() * 1e9), lambda: 0)
    received: list[Any] = []
    links: dict[str, Link] = {}
    addresses = {"a": ("127.0.0.1", 30_001), "b": ("127.0.0.1", 30_002)}
    for n, name in enumerate("ab"):
        wire = Wire("f", name, n, KEY.encode())
        links[name] = Link(
            reactor,
            clock,
            wire,
            make_logger(io.StringIO()),
            addresses.get,
            lambda sender, process, message: received.append(message),
        )
        links[name].listen(*addresses[name])
    large = m.OperatorCommand(1, m.ForgetGateway("x" * 5 * MAX_DATAGRAM_BYTES))
    links["a"].send("b", large)
    links["a"].send("b", m.DigestOffer(1))
    links["a"].send("c", m.DigestOffer(2))
    reactor.run_until(lambda: False, 1)
    assert m.DigestOffer(1) in received and large in received and len(received) == 2
    assert links["a"].counts["no_address"] == 1
    links["b"].close()
    links["a"].send("b", large)
    reactor.run_until(lambda: False, 1)
    links["a"].send("b", m.OperatorCommand(1, m.ForgetGateway("x" * 9_000_000)))
    reactor.run_until(lambda: False, 1)
    assert len(received) == 2 and links["a"].counts["too_large"] == 1
    reactor.run_until(lambda: False, 30)
    links["a"].sweep()
    assert not links["a"]._channels
    links["a"].close()
