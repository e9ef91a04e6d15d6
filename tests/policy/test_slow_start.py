"""Many gateways at once never overload a node in slow start.

This is checked against a model of the node, not the gateways' records.  The node is the weakest that the
settings allow: it starts at the initial share of its capacity, warms up linearly and as late as allowed, and
fails when the units sent to it in one window exceed the overload factor times its capacity in that window.
Messages between gateways arrive late, or are lost.
"""

from __future__ import annotations

import random
from collections import deque

import pytest

from gaugesail.policy.actions import SendPeerMessage, SetTimer, StartAttempt
from gaugesail.policy.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Event,
    PeerMessageReceived,
    RequestReceived,
    TimerFired,
)
from gaugesail.policy.gateway import Gateway
from gaugesail.policy.settings import Plan, RequestClass

from ..support import gateway_driver
from ..support.gateway_driver import SEC

NODE = gateway_driver.node_id(1)
STEP_US = 10_000
OBJECTIVE_US = 500_000


class Fleet:
    """Many gateways with requests for one node that has just started.

    :param busy: the number of gateways that receive requests.
    :param messages: whether the gateways may exchange messages.
    :param loss: the share of lost messages.
    :param restarts: whether gateways are killed and restarted at random.
    """

    def __init__(self, gateways: int, busy: int, messages: bool, loss: float, restarts: bool) -> None:
        self.settings = [
            gateway_driver.settings(
                classes=(RequestClass("get", OBJECTIVE_US, 2 * SEC),),
                plans=(Plan("plan", 50.0, 50.0),),
                gateway_count=gateways,
                gateway_index=me,
                overload_window_us=SEC,
                overload_factor=2.0,
                initial_capacity_share=0.16,
                warm_up_us=17 * SEC,
                initial_capacity_units=12.0,
                retry_budget_window_us=0,
                peer_messages_allowed=messages,
            )
            for me in range(gateways)
        ]
        self.rng, self.now, self.start, self.busy = random.Random(5), 100 * SEC, 103 * SEC, busy
        self.loss, self.restarts = loss, restarts
        self.gateways = [Gateway(settings, me, self.now) for me, settings in enumerate(self.settings)]
        self.events: list[tuple[int, int, Event]] = []  # time, gateway, event
        self.queue: deque[tuple[int, int, StartAttempt, float]] = deque()  # time, gateway, attempt, units
        self.units: dict[int, float] = {}  # by request
        self.sent: list[tuple[int, float]] = []  # time, units
        self.answered: list[int] = []  # times
        self.next_id = 1
        for me in range(gateways):
            self.handle(me, EndpointList(EndpointListKind.CACHED, (Endpoint(NODE, 1),)))

    def handle(self, me: int, event: Event) -> None:
        for action in self.gateways[me].handle(self.now, [event]):
            if isinstance(action, StartAttempt):
                self.queue.append((self.now, me, action, self.units[action.request_id]))
                self.sent.append((self.now, self.units[action.request_id]))
            elif isinstance(action, SetTimer):
                self.events.append((action.at_us, me, TimerFired(action.token)))
            elif isinstance(action, SendPeerMessage):
                receivers = range(len(self.gateways)) if action.to is None else [action.to]
                for peer in receivers:
                    if peer != me and self.rng.random() >= self.loss:
                        arrives_at = self.now + self.rng.randrange(1500, 19_000)
                        self.events.append((arrives_at, peer, PeerMessageReceived(me, action.data)))

    def capacity_per_s(self, at: int) -> float:
        """Return the capacity of the weakest allowed node at a time, in units per second."""
        settings = self.settings[0]
        full = (
            settings.initial_capacity_units
            / (settings.overload_window_us / SEC)
            / settings.overload_factor
            / settings.initial_capacity_share
        )
        age = min(1.0, max(0.0, (at - self.start) / settings.warm_up_us))
        return full * (settings.initial_capacity_share + (1 - settings.initial_capacity_share) * age)

    def allowed_units(self, until: int) -> float:
        """Return the units that do not overload the node in the window that ends at ``until``."""
        times = [until - SEC + SEC * (i * 2 + 1) // 40 for i in range(20)]
        return self.settings[0].overload_factor * sum(self.capacity_per_s(at) for at in times) / 20

    def run(self, span: int) -> None:
        end = self.now + span
        while self.now < end:
            self.now += STEP_US
            due = [item for item in self.events if item[0] <= self.now]
            self.events = [item for item in self.events if item[0] > self.now]
            if self.now - STEP_US < self.start <= self.now:
                self.queue.clear()
                for me in range(len(self.gateways)):
                    listed_at = self.now + self.rng.randrange(0, 800_000)
                    changes = EndpointList(
                        EndpointListKind.CHANGES, (Endpoint(NODE, 1, started_us=self.start),)
                    )
                    self.events.append((listed_at, me, changes))
            if self.restarts and self.now > self.start and self.rng.random() < 0.02:
                me = self.rng.randrange(self.busy)  # killed, and restarted at once with its cached list
                self.gateways[me] = Gateway(self.settings[me], me, self.now)
                self.events = [i for i in self.events if i[1] != me]
                endpoint = Endpoint(NODE, 1, started_us=self.start)
                self.handle(me, EndpointList(EndpointListKind.CACHED, (endpoint,)))
            for _, me, event in due:
                self.handle(me, event)
            capacity = self.capacity_per_s(self.now) * STEP_US / SEC
            while self.queue and capacity > 0:
                at, me, attempt, left = self.queue.popleft()
                if left > capacity:
                    self.queue.appendleft((at, me, attempt, left - capacity))
                    break
                capacity -= left
                self.answered.append(self.now)
                elapsed_us = self.now - at
                self.handle(
                    me, AttemptEnded(attempt.request_id, 0, NODE, AttemptResult.SERVED, elapsed_us, True)
                )
            for me in range(self.busy):
                if self.now > self.start + 900_000 and self.rng.random() < 0.1:
                    units = self.rng.choice([1.0, 1.0, 2.0, 2.0, 3.0, 6.0])
                    self.units[self.next_id] = units
                    request = RequestReceived(self.next_id, 0, self.now + 2 * SEC, 1, 0, units, 0, me, 1.0)
                    self.next_id += 1
                    self.handle(me, request)
            window = [sent for at, sent in self.sent if self.now - SEC < at <= self.now]
            if self.now > self.start + SEC:
                assert sum(window) <= self.allowed_units(self.now), "the node was overloaded"
        self.sent = [item for item in self.sent if item[0] > self.now - SEC]


@pytest.mark.parametrize(("busy", "loss", "restarts"), [(3, 0.0, False), (20, 0.3, True), (50, 0.1, False)])
def test_fifty_gateways_that_share_never_overload_a_warming_node(
    busy: int, loss: float, restarts: bool
) -> None:
    fleet = Fleet(50, busy, True, loss, restarts)
    fleet.run(14 * SEC)
    assert restarts or len(fleet.answered) > 20


def test_granted_shares_let_few_busy_gateways_use_a_warming_node_early() -> None:
    fleet = Fleet(50, 3, True, 0.0, False)
    fleet.run(6 * SEC)
    early = [at for at in fleet.answered if at < fleet.start + 3 * SEC]
    assert len(early) > 4, "requests fit early in the warm-up"


def test_even_shares_hold_without_peer_messages() -> None:
    Fleet(50, 50, False, 0.0, True).run(8 * SEC)
    Fleet(4, 4, False, 0.0, False).run(14 * SEC)


@pytest.mark.parametrize("data", [b"", b"?", b"\0" * 12, b"\xff" * 16, b"\xff" * 12, b"x" * 256])
def test_malformed_peer_messages_change_nothing(data: bytes) -> None:
    driver = gateway_driver.Driver(gateway_driver.settings(peer_messages_allowed=True))
    driver.pass_time(3 * SEC)
    driver.list_nodes([(0, EndpointState.READY, driver.now)])
    share = driver.gateway.nodes[gateway_driver.node_id(0)].slow_start_share
    assert not [a for a in driver.feed(PeerMessageReceived(1, data)) if isinstance(a, SendPeerMessage)]
    assert driver.gateway.nodes[gateway_driver.node_id(0)].slow_start_share == share


def test_a_restarted_gateway_has_no_share_as_it_may_have_granted_it() -> None:
    for messages in (True, False):
        driver = gateway_driver.Driver(gateway_driver.settings(peer_messages_allowed=messages), nodes=0)
        driver.list_nodes([(0, EndpointState.READY, driver.now - SEC)], EndpointListKind.CACHED)
        driver.pass_time(3 * SEC)
        for _ in range(5):
            driver.send_request(units=1.0)
            driver.pass_time(100_000)
        assert bool(driver.started) is not messages
