"""Notices to operators: log events that result from the fleet's decisions."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

NoticeField = str | int | float


@dataclass(slots=True, frozen=True)
class Notice:
    """One log event with its fields.  The caller of ``FleetNode`` logs it as ``fleet_<event>``."""

    event: str
    fields: Mapping[str, NoticeField] = field(default_factory=dict)
