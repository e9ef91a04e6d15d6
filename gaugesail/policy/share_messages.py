"""The messages by which gateways request and grant shares of a node in slow start."""

from __future__ import annotations

import struct
from typing import NamedTuple

_REQUEST = struct.Struct("<iQ")  # shard, start of its node
_GRANT = struct.Struct("<iQf")  # shard, start of its node, share


class ShareRequest(NamedTuple):
    """A gateway requests a larger share: it has more to send to a shard's node than its share allows."""

    shard: int
    listed_start_us: int  # start of the node, on discovery's clock: a share is valid for one start only

    def encode(self) -> bytes:
        """Encode the message, which is sent to all gateways."""
        return _REQUEST.pack(self.shard, self.listed_start_us)


class ShareGrant(NamedTuple):
    """A gateway grants a part of its share to the requester."""

    shard: int
    listed_start_us: int
    share: float  # of the units that all gateways together may have unserved at the node

    def encode(self) -> bytes:
        """Encode the message, which is sent to the requester."""
        return _GRANT.pack(self.shard, self.listed_start_us, self.share)


def decode(data: bytes) -> ShareRequest | ShareGrant | None:
    """Decode a message from another gateway; return None for malformed data."""
    if len(data) == _REQUEST.size:
        return ShareRequest(*_REQUEST.unpack(data))
    if len(data) == _GRANT.size:
        return ShareGrant(*_GRANT.unpack(data))
    return None
