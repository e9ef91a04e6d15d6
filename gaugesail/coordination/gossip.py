"""Selects the member updates to send with the next message: the least often sent ones that fit.

Each update is sent a number of times that grows with the logarithm of the fleet's size, which is enough for
it to reach all members with high probability (SWIM, section 4.1).
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from .member import Member
from .membership_messages import MemberUpdate

GOSSIP_BYTES = 900  # of updates in one message, so that it fits one datagram
SENDS_PER_LOG_SIZE = 4  # sends of each update, times the decimal logarithm of the fleet's size
UPDATE_OVERHEAD_BYTES = 40


class GossipQueue:
    """The members whose latest update is still to be sent, with the number of times it was sent."""

    def __init__(self) -> None:
        self._times_sent: dict[str, int] = {}

    def announce(self, name: str) -> None:
        """Send a member's update anew: it is new or was confirmed."""
        self._times_sent[name] = 0

    def forget(self, name: str) -> None:
        """Stop sending the update of a removed member."""
        self._times_sent.pop(name, None)

    def select(
        self, members: Mapping[str, Member], first: Sequence[MemberUpdate] = ()
    ) -> tuple[MemberUpdate, ...]:
        """Return the updates for one message: ``first``, then the least often sent ones that fit."""
        chosen = list(first)
        bytes_left = GOSSIP_BYTES - sum(map(update_bytes, chosen))
        max_sends = SENDS_PER_LOG_SIZE * math.ceil(math.log10(len(members) + 1))
        for name in sorted(self._times_sent, key=lambda name: (self._times_sent[name], name)):
            update = members[name].update
            if update in chosen:
                continue
            bytes_left -= update_bytes(update)
            if bytes_left < 0:
                break
            chosen.append(update)
            self._times_sent[name] += 1
            if self._times_sent[name] >= max_sends:
                del self._times_sent[name]
        return tuple(chosen)


def update_bytes(update: MemberUpdate) -> int:
    """Estimate the bytes that an update takes on the wire."""
    return len(update.name) + len(update.address) + UPDATE_OVERHEAD_BYTES
