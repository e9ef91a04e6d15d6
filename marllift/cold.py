"""What a node that has just started bears (rule 4), and how gateways that may talk share it out.

All figures are the settings': a node starts at ``cold_share`` of its power and is warm ``warm_after_us``
later at the latest; ``cold_units`` from all gateways within ``fall_us`` never push it over.  Their even
part is each one's own.  Where they may not talk, and an even part would be less than a request, whole
quanta go round among them in turns (docs/fleet.md, "The ramp").
"""

from __future__ import annotations

import struct
import zlib
from collections import deque

from . import interface as api
from .state import NodeBook, Shard

WANT, GIFT = struct.Struct("<iQ"), struct.Struct("<iQf")  # shard, start of its node, part given
WANT_US, LEAST_GIFT = 1_000_000, 0.5  # between two wants, and how long one holds; in equal parts
ARRIVAL_US = 50_000  # so much later than another may a request come than it was sent
QUANTUM = 2.0  # requests of mean work that a gateway in its turn may have unserved at a cold node
FOREVER = float("inf")


class ColdCare:
    """The figures of cold nodes, for one gateway."""

    def __init__(self, settings: api.Settings, born: int) -> None:
        self._set, self._born = settings, born
        # Units sent by when, less what was served of them: by node and not in its book, as a list that drops
        # a node for a moment ends the book, and what was sent to the node counts all the same.
        self._unserved: dict[api.NodeId, deque[tuple[int, float]]] = {}

    def settle(self, settings: api.Settings) -> None:
        self._set = settings

    def share(self, now: int, since: int | None) -> float:
        """The share of its power that a node started then has at the least: the slowest legal ramp."""
        warm, low = self._set.warm_after_us, self._set.cold_share
        if since is None or not self._set.fall_us or now - since >= warm:
            return 1.0
        return low + (1 - low) * max(0, now - since) / warm

    def part(self, at: int) -> float:
        """This gateway's part of a node that started then, before any is given or got."""
        return (at > self._born or not self._set.may_tell) / self._set.gateways

    def told(self, now: int, since: int | None) -> float:
        """The units that the first message allows all gateways within the time of the rule; inf when warm."""
        if since is None or (share := self.share(now, since)) >= 1:
            return FOREVER
        return self._set.cold_units * share / self._set.cold_share

    def room(self, now: int, node: NodeBook, lives: int, strict: bool) -> tuple[float, float]:
        """Unserved units that a cold node bears from all gateways, and how many more may go from this one.

        What it has served fitted its power; only what it has not may add up to the multiple less one.
        ``strict`` keeps all that is sent within what the first message allows, served or not: where every
        gateway has more to send than its part, what one leaves is no longer there for another.
        """
        start = now - self._set.fall_us
        # The least that it bore in any part of the window: as it stood when the window began.
        told = self.told(start, node.cold_since)
        if node.cold_since is None or told == FOREVER:
            return FOREVER, FOREVER
        borne = told * (1 - 1 / self._set.fall_multiple)
        if node.cold_since <= self._born and start <= self._born:
            return borne, 0.0  # an earlier life of this gateway may have spent its part, or given it
        part = (node.part if self._set.may_tell else self.turn(now, node.id, borne)) / lives
        log = self._unserved.get(node.id, ())
        room = borne * part - sum(units for at, units in log if at >= start)
        if strict:
            sent = sum(units for at, units in log if units > 0 and at >= start - ARRIVAL_US)
            room = min(room, self.told(now, node.cold_since) * part - sent)
        return borne, room

    def turn(self, now: int, node: api.NodeId, borne: float) -> float:
        """This gateway's part now of the units that a node bears, where the gateways may not talk.

        Each has its even part, once that is a quantum or more.  Before, as many gateways as the sum allows
        have a quantum each and the others nothing.  Who has one goes round, by the clock and the node alone,
        so that all see the same round whenever they heard of the start.  In one window so many new ones get
        a turn that what they send beside those before them takes half of the chance of rule 4 (2 x root of
        N + 2 requests); the ends of the round, at most one quantum more, fit the other half.
        """
        given = self._set
        root = (given.cold_units / given.mean_units) ** 0.5 + 1
        quantum = min(QUANTUM, root) * given.mean_units
        turns = borne / quantum
        if turns >= given.gateways:
            return 1 / given.gateways
        pace = root * given.mean_units / quantum / given.fall_us  # new turns in a microsecond
        place = (given.me + zlib.crc32(node) - now * pace) % given.gateways
        return 1 / turns if place < turns else 0.0

    def sent(self, now: int, node: NodeBook, units: float) -> None:
        """Units go to a node."""
        if not self._set.fall_us:
            return
        oldest = now - self._set.fall_us - ARRIVAL_US
        if (log := self._unserved.get(node.id)) is None:
            kept = self._unserved.items()
            self._unserved = {key: old for key, old in kept if max(old)[0] >= oldest}
            log = self._unserved[node.id] = deque()
        log.append((now, units))
        while log[0][0] < oldest:
            log.popleft()

    def served(self, node: NodeBook, sent_at: int, units: float) -> None:
        """It has served units that were sent then."""
        if (log := self._unserved.get(node.id)) is not None:
            log.append((sent_at, -units))

    def give(self, now: int, shard: Shard, node: NodeBook, lives: int) -> api.Tell | None:
        """Give what is not needed here of a cold node to a gateway that wants it; deducted before it is
        told.
        """
        borne, room = self.room(now, node, lives, False)
        spare = (room - max((job.units for jobs in shard.waiting for job in jobs), default=0.0)) / borne
        peer = next((peer for peer, at in node.wanters.items() if now - at < WANT_US), None)
        if peer is None or spare * self._set.gateways <= LEAST_GIFT:
            return None
        del node.wanters[peer]
        node.part -= spare
        return api.Tell(GIFT.pack(node.shard, node.started, spare * (1 - 1e-6)), peer)

    def want(self, now: int, node: NodeBook, borne: float) -> api.Tell | None:
        """Ask the others for their parts, now and then, while there is more to send than may go."""
        if not self._set.may_tell or borne == FOREVER or now < node.want_at:
            return None
        node.want_at = now + WANT_US
        return api.Tell(WANT.pack(node.shard, node.started))

    def heard(self, now: int, event: api.PeerMessage, shards: dict[int, Shard]) -> int | None:
        """A want, or a part given: only for the same start of a node that is still cold here."""
        layout = {WANT.size: WANT, GIFT.size: GIFT}.get(len(event.data))
        number, start, *gift = layout.unpack(event.data) if layout else (-1, 0)
        shard = shards.get(number)
        node = shard.node if shard is not None else None
        if shard is None or node is None or start != node.started or self.share(now, node.cold_since) >= 1:
            return None
        if not gift:
            node.wanters[event.sender] = now
        elif 0 < gift[0] <= 1:
            node.part = min(1.0, node.part + gift[0])
        return node.shard
