"""Probes one member in each period, through relays if it does not respond, and then suspects it (SWIM).

Relays confirm with a NACK that they work: if relays are silent too, it may be this gateway that receives
nothing (Lifeguard).
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from .gossip import GossipQueue
from .local_health import LocalHealth
from .member import MemberState
from .member_table import PERIOD_US, MemberTable
from .membership_messages import Ack, MemberUpdate, Nack, Ping, PingRequest
from .outbox import Outbox

PING_TIMEOUT_US = 300_000  # until relays are requested to ping
RELAY_COUNT = 3
RELAYED_PING_KEPT_US = 4 * PERIOD_US


@dataclass(slots=True, eq=False)
class Probe:
    """A probe in progress."""

    target: str
    number: int
    started_at: int
    relayed: bool = False
    relays_asked: int = 0
    nacks: int = 0


@dataclass(slots=True, frozen=True)
class RelayedPing:
    """A ping sent for another member, with that member's number for it."""

    requester: str
    number: int
    sent_at: int


class FailureDetector:
    """The probes of one gateway.  Times are in microseconds."""

    def __init__(
        self,
        table: MemberTable,
        gossip: GossipQueue,
        health: LocalHealth,
        outbox: Outbox,
        rng: random.Random,
        now: int,
    ) -> None:
        self._table = table
        self._gossip = gossip
        self._health = health
        self._outbox = outbox
        self._rng = rng
        self._probe: Probe | None = None
        self._probe_order: list[str] = []  # shuffled anew each time all were probed
        self._relayed: dict[int, RelayedPing] = {}
        self._last_number = 0
        self.period_ends_at = now + int(PERIOD_US * rng.random())

    @property
    def next_at(self) -> int:
        """When the period ends, or the ping of its target times out."""
        probe = self._probe
        if probe is None or probe.relayed:
            return self.period_ends_at
        return min(self.period_ends_at, probe.started_at + self._ping_timeout_us)

    @property
    def _ping_timeout_us(self) -> int:
        return PING_TIMEOUT_US * self._health.multiplier

    # ---- time ----

    def abandon_probe(self) -> None:
        """Drop the probe in progress without a conclusion."""
        self._probe = None

    def relay_if_late(self, now: int) -> None:
        """Request relays to ping a target that has not responded in time."""
        probe = self._probe
        if probe is None or probe.relayed or now < probe.started_at + self._ping_timeout_us:
            return
        probe.relayed = True
        for name in self._table.sample_alive(self._rng, RELAY_COUNT, excluded=probe.target):
            probe.relays_asked += 1
            self._outbox.send(name, PingRequest(probe.number, probe.target, self._updates()))

    def end_period(self, now: int) -> None:
        """Suspect the target of a probe that was not acknowledged."""
        probe = self._probe
        self._probe = None
        if probe is None:
            return
        silent_relays = probe.relays_asked - probe.nacks
        self._health.worsen(max(1, silent_relays) if probe.relays_asked else 1)
        member = self._table.members.get(probe.target)
        if member is not None and member.state is MemberState.ALIVE:
            self._table.set_state(now, member.update, MemberState.SUSPECT)

    def begin_period(self, now: int) -> None:
        """Probe the next member."""
        self.period_ends_at = now + PERIOD_US * self._health.multiplier
        self._relayed = {
            number: ping
            for number, ping in self._relayed.items()
            if now - ping.sent_at < RELAYED_PING_KEPT_US
        }
        target = self._next_target()
        if target is not None:
            self._probe = Probe(target, self._ping(target), now)

    def _next_target(self) -> str | None:
        """Return the next member in an order that is shuffled each time all were probed (SWIM, 4.3)."""
        for _ in range(2):
            while self._probe_order:
                name = self._probe_order.pop()
                member = self._table.members.get(name)
                if member is not None and member.state <= MemberState.SUSPECT:
                    return name
            self._probe_order = [name for name in self._table.active_names() if name != self._table.own_name]
            self._rng.shuffle(self._probe_order)
        return None

    def _ping(self, name: str) -> int:
        """Send a ping and return its number.  A suspect is sent its own update, so that it can refute."""
        self._last_number += 1
        member = self._table.members.get(name)
        suspected = member is not None and member.state is MemberState.SUSPECT
        first = [member.update] if member is not None and suspected else []
        updates = self._gossip.select(self._table.members, first)
        self._outbox.send(name, Ping(self._last_number, updates))
        return self._last_number

    def _updates(self) -> tuple[MemberUpdate, ...]:
        return self._gossip.select(self._table.members)

    # ---- messages ----

    def receive_ping(self, sender: str, message: Ping) -> None:
        """Acknowledge a ping."""
        self._outbox.send(sender, Ack(message.number, self._table.own_name, self._updates()))

    def receive_ping_request(self, now: int, sender: str, message: PingRequest) -> None:
        """Ping the target for the sender, and confirm to the sender that this relay works."""
        number = self._ping(message.target)
        self._relayed[number] = RelayedPing(sender, message.number, now)
        self._outbox.send(sender, Nack(message.number, message.target))

    def receive_nack(self, message: Nack) -> None:
        """Count a relay that works."""
        if self._probe is not None and self._probe.number == message.number:
            self._probe.nacks += 1

    def receive_ack(self, message: Ack) -> None:
        """End the probe of a target that is alive, or relay the acknowledgement to the requester."""
        probe = self._probe
        if probe is not None and probe.number == message.number and probe.target == message.target:
            self._probe = None
            self._health.improve()
            return
        relayed = self._relayed.pop(message.number, None)
        if relayed is not None:
            ack = Ack(relayed.number, message.target, self._updates())
            self._outbox.send(relayed.requester, ack)
