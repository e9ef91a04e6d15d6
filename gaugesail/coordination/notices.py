"""What the fleet's decisions tell operators: one log event with its fields."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

NoticeField = str | int | float


@dataclass(slots=True, frozen=True)
class Notice:
    """One event for the log.  The agent logs it as ``fleet_<event>``."""

    event: str
    fields: Mapping[str, NoticeField] = field(default_factory=dict)
