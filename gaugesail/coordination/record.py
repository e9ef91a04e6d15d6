"""The base of all records that gateways of a fleet exchange or store.

Records are encoded as arrays that begin with their tag.  Gateways of older versions read them: fields may be
renamed, but neither reordered nor removed, and a renamed record keeps its tag.  Rates are in thousandths of a
unit a second, bursts in thousandths of a unit, as integers, so that sums are exact.  No time is ever compared
with the receiver's clock, as gateways share none; a member's ``generation`` derives from Unix time, but only
orders its starts.
"""

from __future__ import annotations

import msgspec


class Record(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of all records."""
