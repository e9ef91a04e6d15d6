"""Complete gateways in virtual time: the limit is divided by demand, and never overspent."""

from __future__ import annotations

from gaugesail.lab.fleet import SECOND, FleetWorld, Limit


def fleet(gateways: int = 5, replicas: int = 3, seed: int = 1) -> FleetWorld:
    world = FleetWorld(seed, gateways, replicas, Limit(100.0, 16.0 * gateways))
    for gateway in world.gateways.values():
        gateway.start()
    world.run(8 * SECOND)
    return world


def send_requests(world: FleetWorld, name: str, seconds: float, rate: float) -> None:
    """Send requests of two units to one gateway, at ``rate`` units a second."""
    end = world.now + int(seconds * SECOND)
    while world.now < end:
        world.run(world.now + int(2 / rate * SECOND))
        world.send_request(name, 2.0)


def test_demand_at_one_gateway_gets_the_limit_less_the_floors_of_the_others() -> None:
    world = fleet()
    start = world.now
    send_requests(world, "h4", 20, 150)
    assert world.utilization(start + 2 * SECOND, world.now) > 0.9, "the even split uses 0.2"
    assert world.overspent == 0


def test_an_isolated_gateway_serves_by_its_floor_and_its_quota_goes_to_others() -> None:
    world = fleet()
    send_requests(world, "h4", 5, 150)
    world.cut({"h4"})
    cut = world.now
    for _ in range(15):
        send_requests(world, "h4", 0.5, 150)
        send_requests(world, "h3", 0.5, 150)
    late = [item for item in world.arrivals if item[0] > cut + 8 * SECOND]
    mine = sum(units for _, name, units in late if name == "h4") / (world.now - cut - 8 * SECOND) * SECOND
    assert 1.5 < mine < 2.5, "a tenth of 100 units a second, divided by five gateways"
    assert sum(units for _, name, units in late if name == "h3") > 8 * mine
    assert world.overspent == 0
