"""The base of all records that gateways of a fleet exchange or keep.

Records travel as arrays that begin with their tag, so that fields may be renamed, but neither reordered nor
removed, and a renamed record keeps its tag: gateways of an older version read them.  Rates are thousandths
of a unit a second, bursts thousandths of a unit: whole numbers, so that sums are exact.  Times never travel:
no two gateways share a clock.
"""

from __future__ import annotations

import msgspec


class Record(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all that travels."""
