"""Rule 4 with many gateways at once, judged by what the node could do and not by the gateways' books.

The node here is the weakest that the settings allow: it starts at the cold share of its power, grows evenly
and as late as allowed, and falls over when the units sent to it in one window pass the multiple of what it
can do in that window.  Messages between gateways arrive late, or are lost."""

from __future__ import annotations

import random
from collections import deque

import pytest

from marllift import interface as api
from marllift.decide import Gateway

from . import driver
from .driver import SEC

NODE = driver.node_id(1)
STEP = 10_000
AIM = 500_000


class Fleet:
    """Many gateways with work for one node that has just started."""

    def __init__(self, gateways: int, busy: int, talk: bool, loss: float, restarts: bool) -> None:
        self.given = [
            driver.settings(
                classes=(api.RequestClass("get", AIM, 2 * SEC),), plans=(api.Plan("plan", 50.0, 50.0),),
                gateways=gateways, me=me, fall_us=SEC, fall_multiple=2.0, cold_share=0.16,
                warm_after_us=17 * SEC, cold_units=12.0, budget_window_us=0, may_tell=talk,
            )
            for me in range(gateways)
        ]  # fmt: skip
        self.rng, self.now, self.start, self.busy = random.Random(5), 100 * SEC, 103 * SEC, busy
        self.loss, self.restarts = loss, restarts
        self.hosts = [Gateway(given, me, self.now) for me, given in enumerate(self.given)]
        self.inbox: list[tuple[int, int, api.Event]] = []
        self.queue: deque[tuple[int, int, api.Send, float]] = deque()  # sent at, gateway, send, work left
        self.units: dict[int, float] = {}
        self.sent: list[tuple[int, float]] = []
        self.answered: list[int] = []
        self.next_id = 1
        for me in range(gateways):
            self.give(me, api.NodeList(api.ListKind.CACHED, (api.Node(NODE, 1),)))

    def give(self, me: int, event: api.Event) -> None:
        for action in self.hosts[me].handle(self.now, [event]):
            if isinstance(action, api.Send):
                self.queue.append((self.now, me, action, self.units[action.request]))
                self.sent.append((self.now, self.units[action.request]))
            elif isinstance(action, api.SetTimer):
                self.inbox.append((action.at_us, me, api.TimerFired(action.token)))
            elif isinstance(action, api.Tell):
                to = range(len(self.hosts)) if action.to is None else [action.to]
                for peer in to:
                    if peer != me and self.rng.random() >= self.loss:
                        late = self.now + self.rng.randrange(1500, 19_000)
                        self.inbox.append((late, peer, api.PeerMessage(me, action.data)))

    def power(self, at: int) -> float:
        """Units a second of the weakest legal node at that time."""
        given = self.given[0]
        full = given.cold_units / (given.fall_us / SEC) / given.fall_multiple / given.cold_share
        age = min(1.0, max(0.0, (at - self.start) / given.warm_after_us))
        return full * (given.cold_share + (1 - given.cold_share) * age)

    def bears(self, until: int) -> float:
        """Units that it bears in the window that ends then."""
        marks = [until - SEC + SEC * (i * 2 + 1) // 40 for i in range(20)]
        return self.given[0].fall_multiple * sum(self.power(mark) for mark in marks) / 20

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
                    news = api.NodeList(api.ListKind.CHANGES, (api.Node(NODE, 1, started_us=self.start),))
                    self.inbox.append((late, me, news))
            if self.restarts and self.now > self.start and self.rng.random() < 0.02:
                me = self.rng.randrange(self.busy)  # killed, and back at once with the list it had
                self.hosts[me] = Gateway(self.given[me], me, self.now)
                self.inbox = [i for i in self.inbox if i[1] != me]
                line = api.Node(NODE, 1, started_us=self.start)
                self.give(me, api.NodeList(api.ListKind.CACHED, (line,)))
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
                self.give(me, api.Outcome(send.request, 0, NODE, api.Result.SERVED, taken, True))
            for me in range(self.busy):
                if self.now > self.start + 900_000 and self.rng.random() < 0.1:
                    size = self.rng.choice([1.0, 1.0, 2.0, 2.0, 3.0, 6.0])
                    self.units[self.next_id] = size
                    ask = api.Request(self.next_id, 0, self.now + 2 * SEC, 1, 0, size, 0, me, 1.0)
                    self.next_id += 1
                    self.give(me, ask)
            window = [units for at, units in self.sent if self.now - SEC < at <= self.now]
            if self.now > self.start + SEC:
                assert sum(window) <= self.bears(self.now), "the node fell over"
        self.sent = [item for item in self.sent if item[0] > self.now - SEC]


@pytest.mark.parametrize(("busy", "loss", "restarts"), [(3, 0.0, False), (20, 0.3, True), (50, 0.1, False)])
def test_fifty_gateways_that_talk_never_push_a_cold_node_over(busy: int, loss: float, restarts: bool) -> None:
    fleet = Fleet(50, busy, True, loss, restarts)
    fleet.run(14 * SEC)
    assert restarts or len(fleet.answered) > 20


def test_parts_given_away_let_few_busy_gateways_use_a_cold_node_early() -> None:
    fleet = Fleet(50, 3, True, 0.0, False)
    fleet.run(6 * SEC)
    early = [at for at in fleet.answered if at < fleet.start + 3 * SEC]
    assert len(early) > 4, "whole requests fit early in the warm-up"


def test_without_messages_the_equal_parts_hold() -> None:
    Fleet(50, 50, False, 0.0, True).run(8 * SEC)
    Fleet(4, 4, False, 0.0, False).run(14 * SEC)


@pytest.mark.parametrize("data", [b"", b"?", b"\0" * 12, b"\xff" * 16, b"\xff" * 12, b"x" * 256])
def test_garbage_from_a_peer_changes_nothing(data: bytes) -> None:
    rig = driver.Driver(driver.settings(may_tell=True))
    rig.pass_time(3 * SEC)
    rig.list_nodes([(0, api.NodeMode.READY, rig.now)])
    part = rig.gateway.nodes[driver.node_id(0)].part
    assert not [a for a in rig.feed(api.PeerMessage(1, data)) if isinstance(a, api.Tell)]
    assert rig.gateway.nodes[driver.node_id(0)].part == part


def test_a_restarted_gateway_has_no_part_as_it_may_have_given_it_away() -> None:
    for talk in (True, False):
        rig = driver.Driver(driver.settings(may_tell=talk), nodes=0)
        rig.list_nodes([(0, api.NodeMode.READY, rig.now - SEC)], api.ListKind.CACHED)
        rig.pass_time(3 * SEC)
        for _ in range(5):
            rig.ask(units=1.0)
            rig.pass_time(100_000)
        assert bool(rig.sends) is not talk
