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

from .actions import SendPeerMessage
from .events import PeerMessageReceived
from .records import NodeRecord, ShardRecord
from .settings import NodeId, Settings

WANT, GIFT = struct.Struct("<iQ"), struct.Struct("<iQf")  # shard, start of its node, part given
WANT_US, LEAST_GIFT = 1_000_000, 0.5  # between two wants, and how long one holds; in equal parts
ARRIVAL_US = 50_000  # so much later than another may a request come than it was sent
QUANTUM = 2.0  # requests of mean work that a gateway in its turn may have unserved at a cold node
UNLIMITED = float("inf")


class SlowStart:
    """The figures of cold nodes, for one gateway."""

    def __init__(self, settings: Settings, born: int) -> None:
        self._set, self._born = settings, born
        # Units sent by when, less what was served of them: by node and not in its book, as a list that drops
        # a node for a moment ends the book, and what was sent to the node counts all the same.
        self._unserved: dict[NodeId, deque[tuple[int, float]]] = {}

    def update_settings(self, settings: Settings) -> None:
        self._set = settings

    def capacity_share(self, now: int, since: int | None) -> float:
        """The share of its power that a node started then has at the least: the slowest legal ramp."""
        warm, low = self._set.warm_up_us, self._set.initial_capacity_share
        if since is None or not self._set.overload_window_us or now - since >= warm:
            return 1.0
        return low + (1 - low) * max(0, now - since) / warm

    def own_share(self, at: int) -> float:
        """This gateway's part of a node that started then, before any is given or got."""
        return (at > self._born or not self._set.peer_messages_allowed) / self._set.gateway_count

    def allowed_units(self, now: int, since: int | None) -> float:
        """The units that the first message allows all gateways within the time of the rule; inf when warm."""
        if since is None or (share := self.capacity_share(now, since)) >= 1:
            return UNLIMITED
        return self._set.initial_capacity_units * share / self._set.initial_capacity_share

    def capacity(self, now: int, node: NodeRecord, lives: int, strict: bool) -> tuple[float, float]:
        """Unserved units that a cold node bears from all gateways, and how many more may go from this one.

        What it has served fitted its power; only what it has not may add up to the multiple less one.
        ``strict`` keeps all that is sent within what the first message allows, served or not: where every
        gateway has more to send than its part, what one leaves is no longer there for another.
        """
        start = now - self._set.overload_window_us
        # The least that it bore in any part of the window: as it stood when the window began.
        told = self.allowed_units(start, node.warming_since)
        if node.warming_since is None or told == UNLIMITED:
            return UNLIMITED, UNLIMITED
        borne = told * (1 - 1 / self._set.overload_factor)
        if node.warming_since <= self._born and start <= self._born:
            return borne, 0.0  # an earlier life of this gateway may have spent its part, or given it
        part = (
            node.slow_start_share
            if self._set.peer_messages_allowed
            else self.share_in_turn(now, node.node_id, borne)
        ) / lives
        log = self._unserved.get(node.node_id, ())
        room = borne * part - sum(units for at, units in log if at >= start)
        if strict:
            sent = sum(units for at, units in log if units > 0 and at >= start - ARRIVAL_US)
            room = min(room, self.allowed_units(now, node.warming_since) * part - sent)
        return borne, room

    def share_in_turn(self, now: int, node: NodeId, borne: float) -> float:
        """This gateway's part now of the units that a node bears, where the gateways may not talk.

        Each has its even part, once that is a quantum or more.  Before, as many gateways as the sum allows
        have a quantum each and the others nothing.  Who has one goes round, by the clock and the node alone,
        so that all see the same round whenever they heard of the start.  In one window so many new ones get
        a turn that what they send beside those before them takes half of the chance of rule 4 (2 x root of
        N + 2 requests); the ends of the round, at most one quantum more, fit the other half.
        """
        given = self._set
        root = (given.initial_capacity_units / given.mean_request_units) ** 0.5 + 1
        quantum = min(QUANTUM, root) * given.mean_request_units
        turns = borne / quantum
        if turns >= given.gateway_count:
            return 1 / given.gateway_count
        pace = (
            root * given.mean_request_units / quantum / given.overload_window_us
        )  # new turns in a microsecond
        place = (given.gateway_index + zlib.crc32(node) - now * pace) % given.gateway_count
        return 1 / turns if place < turns else 0.0

    def record_sent(self, now: int, node: NodeRecord, units: float) -> None:
        """Units go to a node."""
        if not self._set.overload_window_us:
            return
        oldest = now - self._set.overload_window_us - ARRIVAL_US
        if (log := self._unserved.get(node.node_id)) is None:
            kept = self._unserved.items()
            self._unserved = {key: old for key, old in kept if max(old)[0] >= oldest}
            log = self._unserved[node.node_id] = deque()
        log.append((now, units))
        while log[0][0] < oldest:
            log.popleft()

    def record_served(self, node: NodeRecord, sent_at: int, units: float) -> None:
        """It has served units that were sent then."""
        if (log := self._unserved.get(node.node_id)) is not None:
            log.append((sent_at, -units))

    def give_share(
        self, now: int, shard: ShardRecord, node: NodeRecord, lives: int
    ) -> SendPeerMessage | None:
        """Give what is not needed here of a cold node to a gateway that wants it; deducted before it is
        told.
        """
        borne, room = self.capacity(now, node, lives, False)
        spare = (room - max((job.units for jobs in shard.waiting for job in jobs), default=0.0)) / borne
        peer = next((peer for peer, at in node.share_requesters.items() if now - at < WANT_US), None)
        if peer is None or spare * self._set.gateway_count <= LEAST_GIFT:
            return None
        del node.share_requesters[peer]
        node.slow_start_share -= spare
        return SendPeerMessage(GIFT.pack(node.shard, node.listed_start_us, spare * (1 - 1e-6)), peer)

    def request_share(self, now: int, node: NodeRecord, borne: float) -> SendPeerMessage | None:
        """Ask the others for their parts, now and then, while there is more to send than may go."""
        if not self._set.peer_messages_allowed or borne == UNLIMITED or now < node.next_share_request_at:
            return None
        node.next_share_request_at = now + WANT_US
        return SendPeerMessage(WANT.pack(node.shard, node.listed_start_us))

    def receive(self, now: int, event: PeerMessageReceived, shards: dict[int, ShardRecord]) -> int | None:
        """A want, or a part given: only for the same start of a node that is still cold here."""
        layout = {WANT.size: WANT, GIFT.size: GIFT}.get(len(event.data))
        number, start, *gift = layout.unpack(event.data) if layout else (-1, 0)
        shard = shards.get(number)
        node = shard.node if shard is not None else None
        if (
            shard is None
            or node is None
            or start != node.listed_start_us
            or self.capacity_share(now, node.warming_since) >= 1
        ):
            return None
        if not gift:
            node.share_requesters[event.sender] = now
        elif 0 < gift[0] <= 1:
            node.slow_start_share = min(1.0, node.slow_start_share + gift[0])
        return node.shard
