"""The fleet's members and their states (alive, suspect, gone or left), as one gateway sees them.

SWIM with suspicion (Das, Gupta, Motivala 2002) and the three extensions of Lifeguard (Dadgar, Phillips,
Currey 2018): a member that is slow itself probes less and waits longer (local health), a suspicion lasts
shorter the more members share it, and a suspect learns of it with the next ping.

Membership affects only how fast the fleet recovers; no right to spend depends on it.  There is no I/O and no
clock of its own; the same calls return the same results.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator

from .failure_detector import RELAY_COUNT, FailureDetector
from .gossip import GossipQueue
from .local_health import LocalHealth
from .member import Member, MemberChange, MemberState
from .member_table import PERIOD_US, MemberTable
from .membership_messages import Ack, DigestOffer, MemberUpdate, Nack, Ping, PingRequest, StateSync
from .messages import Message
from .outbox import Outbox

COMPARE_PERIODS = 10  # between two digest comparisons, each with one other member
LATE_TICK_US = 500_000  # delay of a tick that shows that this process was not running
MAX_NAME_LENGTH = 128  # of a name or an address in an update


class Membership:
    """One gateway's view of all members.  Times are in microseconds."""

    def __init__(
        self, name: str, address: str, process: int, generation: int, rng: random.Random, now: int
    ) -> None:
        own = MemberUpdate(name, address, generation, 0, MemberState.ALIVE, process)
        self._rng = rng
        self._outbox = Outbox()
        self._health = LocalHealth()
        gossip = GossipQueue()
        self._table = MemberTable(own, gossip, self._health, now)
        self._detector = FailureDetector(self._table, gossip, self._health, self._outbox, rng, now)
        self._periods = 0

    # ---- state ----

    def __iter__(self) -> Iterator[tuple[str, Member]]:
        return iter(self._table.members.items())

    def __len__(self) -> int:
        return len(self._table.members)

    @property
    def own_update(self) -> MemberUpdate:
        """The update that this gateway spreads about itself."""
        return self._table.own_update

    @property
    def local_health(self) -> int:
        """This gateway's local health score; 0 is healthy."""
        return self._health.score

    @property
    def name_taken(self) -> bool:
        """Whether a later process uses this gateway's name."""
        return self._table.name_taken

    def state_of(self, name: str) -> MemberState | None:
        """Return a member's state; None if it is unknown."""
        member = self._table.members.get(name)
        return None if member is None else member.state

    def address_of(self, name: str) -> str:
        """Return a member's address ``host:port``; empty if it is unknown."""
        member = self._table.members.get(name)
        return "" if member is None else member.update.address

    def digest(self) -> int:
        """Return a hash of all updates; it is equal at two gateways with the same view."""
        return self._table.digest()

    def drain_changes(self) -> list[MemberChange]:
        """Return and remove the changes since the last call."""
        return self._table.drain_changes()

    def drain_messages(self) -> list[tuple[str, Message]]:
        """Return and remove the pending messages, each with its receiver's name."""
        return self._outbox.drain()

    @property
    def next_at(self) -> int:
        """When ``tick`` is due next."""
        return min([self._detector.next_at, *self._table.suspicion_ends()])

    # ---- joining and leaving ----

    def join(self, through: Iterable[str]) -> None:
        """Announce this gateway to the members ``through``, and request their view."""
        for name in through:
            if name != self._table.own_name:
                self._outbox.send(name, self._state_sync(wants_reply=True))

    def leave(self, now: int) -> None:
        """Announce to some members that this gateway leaves."""
        self._table.set_state(now, self.own_update, MemberState.LEFT)
        for name in self._table.sample_alive(self._rng, RELAY_COUNT):
            self._outbox.send(name, StateSync((self.own_update,), False))

    def _state_sync(self, wants_reply: bool) -> StateSync:
        return StateSync(self._table.updates(), wants_reply)

    # ---- time ----

    def tick(self, now: int) -> None:
        """Run everything that is due."""
        if now - self.next_at > LATE_TICK_US:
            # This process was not running: missing responses say nothing about other members.
            self._health.worsen()
            self._detector.abandon_probe()
            self._table.postpone_suspicions(now + PERIOD_US)
        self._detector.relay_if_late(now)
        self._table.expire(now)
        if now >= self._detector.period_ends_at:
            self._detector.end_period(now)
            self._compare_digests()
            self._detector.begin_period(now)

    def _compare_digests(self) -> None:
        """Offer the digest to another member every COMPARE_PERIODS."""
        self._periods += 1
        if self._periods % COMPARE_PERIODS == 0:
            for name in self._table.sample_alive(self._rng, 1):
                self._outbox.send(name, DigestOffer(self.digest()))

    # ---- messages ----

    def receive(self, now: int, sender: str, message: Message) -> None:
        """Process one message.  Its sender is authenticated; its updates may be out of date."""
        match message:
            case Ping():
                self._accept_updates(now, sender, message.updates)
                self._detector.receive_ping(sender, message)
            case Ack():
                self._accept_updates(now, sender, message.updates)
                self._detector.receive_ack(message)
            case PingRequest():
                self._accept_updates(now, sender, message.updates)
                self._detector.receive_ping_request(now, sender, message)
            case Nack():
                self._detector.receive_nack(message)
            case DigestOffer():
                if message.digest != self.digest():
                    self._outbox.send(sender, self._state_sync(wants_reply=True))
            case StateSync():
                self._accept_updates(now, sender, message.updates)
                if message.wants_reply:
                    self._outbox.send(sender, self._state_sync(wants_reply=False))

    def _accept_updates(self, now: int, sender: str, updates: Iterable[MemberUpdate]) -> None:
        for update in updates:
            if is_valid(update):
                self._table.accept(now, update, sender)


def is_valid(update: MemberUpdate) -> bool:
    """Whether a received update has a known state and a bounded size."""
    if not 0 <= update.state <= MemberState.LEFT:
        return False
    return max(len(update.name), len(update.address)) <= MAX_NAME_LENGTH
