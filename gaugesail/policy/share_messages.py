"""The messages by which gateways pass on their shares of a node in slow start."""

from __future__ import annotations

import struct
from typing import NamedTuple

_REQUEST = struct.Struct("<iQ")  # shard, start of its node
_GRANT = struct.Struct("<iQf")  # shard, start of its node, share


class ShareRequest(NamedTuple):
    """A gateway has more to send to the node of a shard than its share allows."""

    shard: int
    listed_start_us: int  # of the node, as lists tell it: a share is of one start alone

    def encode(self) -> bytes:
        """The message as it is sent to all gateways."""
        return _REQUEST.pack(self.shard, self.listed_start_us)


class ShareGrant(NamedTuple):
    """A gateway gives a part of its share to the one that asked."""

    shard: int
    listed_start_us: int
    share: float  # of the node's slow start

    def encode(self) -> bytes:
        """The message as it is sent to the gateway that asked."""
        return _GRANT.pack(self.shard, self.listed_start_us, self.share)


def decode(data: bytes) -> ShareRequest | ShareGrant | None:
    """A message from another gateway; None for anything else."""
    if len(data) == _REQUEST.size:
        return ShareRequest(*_REQUEST.unpack(data))
    if len(data) == _GRANT.size:
        return ShareGrant(*_GRANT.unpack(data))
    return None
