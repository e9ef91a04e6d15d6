"""Rule 4 with many gateways at once, judged by what the node could do and not by the gateways' books.

The node here is the weakest that the settings allow: it starts at the cold share of its power, grows evenly
and as late as allowed, and falls over when the units sent to it in one window pass the multiple of what it
can do in that window.  Messages between gateways arrive late, or are lost."""

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
STEP = 10_000
AIM = 500_000


class Fleet:
    """Many gateways with work for one node that has just started."""

    def __init__(self, gateways: int, busy: int, talk: bool, loss: float, restarts: bool) -> None:
        self.given = [
            gateway_driver.settings(
                classes=(RequestClass("get", AIM, 2 * SEC),),
                plans=(Plan("plan", 50.0, 50.0),),
                gateway_count=gateways,
                gateway_index=me,
                overload_window_us=SEC,
                overload_factor=2.0,
                initial_capacity_share=0.16,
                warm_up_us=17 * SEC,
                initial_capacity_units=12.0,
                retry_budget_window_us=0,
                peer_messages_allowed=talk,
            )
            for me in range(gateways)
        ]
        self.rng, self.now, self.start, self.busy = random.Random(5), 100 * SEC, 103 * SEC, busy
        self.loss, self.restarts = loss, restarts
        self.hosts = [Gateway(given, me, self.now) for me, given in enumerate(self.given)]
        self.inbox: list[tuple[int, int, Event]] = []
        self.queue: deque[tuple[int, int, StartAttempt, float]] = deque()  # sent at, gateway, send, work left
        self.units: dict[int, float] = {}
        self.sent: list[tuple[int, float]] = []
        self.answered: list[int] = []
        self.next_id = 1
        for me in range(gateways):
            self.give(me, EndpointList(EndpointListKind.CACHED, (Endpoint(NODE, 1),)))

    def give(self, me: int, event: Event) -> None:
        for action in self.hosts[me].handle(self.now, [event]):
            if isinstance(action, StartAttempt):
                self.queue.append((self.now, me, action, self.units[action.request_id]))
                self.sent.append((self.now, self.units[action.request_id]))
            elif isinstance(action, SetTimer):
                self.inbox.append((action.at_us, me, TimerFired(action.token)))
            elif isinstance(action, SendPeerMessage):
                to = range(len(self.hosts)) if action.to is None else [action.to]
                for peer in to:
                    if peer != me and self.rng.random() >= self.loss:
                        late = self.now + self.rng.randrange(1500, 19_000)
                        self.inbox.append((late, peer, PeerMessageReceived(me, action.data)))

    def power(self, at: int) -> float:
        """Units a second of the weakest legal node at that time."""
        given = self.given[0]
        full = (
            given.initial_capacity_units
            / (given.overload_window_us / SEC)
            / given.overload_factor
            / given.initial_capacity_share
        )
        age = min(1.0, max(0.0, (at - self.start) / given.warm_up_us))
        return full * (given.initial_capacity_share + (1 - given.initial_capacity_share) * age)

    def bears(self, until: int) -> float:
        """Units that it bears in the window that ends then."""
        marks = [until - SEC + SEC * (i * 2 + 1) // 40 for i in range(20)]
        return self.given[0].overload_factor * sum(self.power(mark) for mark in marks) / 20

    def run(self, span: int) -> None:
        end = self.now + span
        while self.now < end:
            self.now += STEP
            due = [item for item in self.inbox if item[0] <= self.now]
            self.inbox = [item for item in self.inbox if item[0] > self.now]
            if self.now - STEP < self.start <= self.now:
                self.queue.clear()
                for me in range(len(self.hosts)):
                    late = self.now + self.rng.randrange(0, 800_000)
                    news = EndpointList(EndpointListKind.CHANGES, (Endpoint(NODE, 1, started_us=self.start),))
                    self.inbox.append((late, me, news))
            if self.restarts and self.now > self.start and self.rng.random() < 0.02:
                me = self.rng.randrange(self.busy)  # killed, and back at once with the list it had
                self.hosts[me] = Gateway(self.given[me], me, self.now)
                self.inbox = [i for i in self.inbox if i[1] != me]
                line = Endpoint(NODE, 1, started_us=self.start)
                self.give(me, EndpointList(EndpointListKind.CACHED, (line,)))
            for _, me, event in due:
                self.give(me, event)
            work = self.power(self.now) * STEP / SEC
            while self.queue and work > 0:
                at, me, send, left = self.queue.popleft()
                if left > work:
                    self.queue.appendleft((at, me, send, left - work))
                    break
                work -= left
                self.answered.append(self.now)
                taken = self.now - at
                self.give(me, AttemptEnded(send.request_id, 0, NODE, AttemptResult.SERVED, taken, True))
            for me in range(self.busy):
                if self.now > self.start + 900_000 and self.rng.random() < 0.1:
                    size = self.rng.choice([1.0, 1.0, 2.0, 2.0, 3.0, 6.0])
                    self.units[self.next_id] = size
                    ask = RequestReceived(self.next_id, 0, self.now + 2 * SEC, 1, 0, size, 0, me, 1.0)
                    self.next_id += 1
                    self.give(me, ask)
            window = [units for at, units in self.sent if self.now - SEC < at <= self.now]
            if self.now > self.start + SEC:
                assert sum(window) <= self.bears(self.now), "the node fell over"
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
    assert len(early) > 4, "whole requests fit early in the warm-up"


def test_even_shares_hold_without_peer_messages() -> None:
    Fleet(50, 50, False, 0.0, True).run(8 * SEC)
    Fleet(4, 4, False, 0.0, False).run(14 * SEC)


@pytest.mark.parametrize("data", [b"", b"?", b"\0" * 12, b"\xff" * 16, b"\xff" * 12, b"x" * 256])
def test_malformed_peer_messages_change_nothing(data: bytes) -> None:
    rig = gateway_driver.Driver(gateway_driver.settings(peer_messages_allowed=True))
    rig.pass_time(3 * SEC)
    rig.list_nodes([(0, EndpointState.READY, rig.now)])
    part = rig.gateway.nodes[gateway_driver.node_id(0)].slow_start_share
    assert not [a for a in rig.feed(PeerMessageReceived(1, data)) if isinstance(a, SendPeerMessage)]
    assert rig.gateway.nodes[gateway_driver.node_id(0)].slow_start_share == part


def test_a_restarted_gateway_has_no_share_as_it_may_have_granted_it() -> None:
    for talk in (True, False):
        rig = gateway_driver.Driver(gateway_driver.settings(peer_messages_allowed=talk), nodes=0)
        rig.list_nodes([(0, EndpointState.READY, rig.now - SEC)], EndpointListKind.CACHED)
        rig.pass_time(3 * SEC)
        for _ in range(5):
            rig.send_request(units=1.0)
            rig.pass_time(100_000)
        assert bool(rig.started) is not talk
