"""What a soak plays: its size, and the settings that its heads are given."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .. import defaults

MEAN_UNITS, MOST_UNITS = 2.0, 4
MAX_ATTEMPTS = 4
DRAIN_GRACE_S = 0.25
KEYED_WINDOW_S = 0.8
COLD_UNITS, COLD_SHARE, FALL_S, WARM_AFTER_S = 60.0, 0.31, 1.5, 8.0
FALL_MULTIPLE = 3.0
LONGEST_DEADLINE_S = 3.0  # the least that a SIGKILL after a SIGTERM is counted from


@dataclass(slots=True, frozen=True)
class RequestKind:
    """A class of requests as the soak asks for it."""

    name: str
    deadline_s: float
    effect: str  # as the settings spell it
    share: float
    writes: bool


KINDS = (
    RequestKind("read", 1.5, "retryable", 0.5, False),
    RequestKind("write", 2.0, "retryable", 0.2, True),
    RequestKind("booking", 1.5, "fragile", 0.15, True),
    RequestKind("ledger", 2.0, "dedup", 0.15, True),
)


@dataclass(slots=True, frozen=True)
class SoakPlan:
    """One soak."""

    heads: int = 24
    nodes: int = 8
    seconds: float = 60.0
    seed: int = 1
    rate: float = 12.0  # requests a second at each head
    overlap: int = 3  # troubles at a time
    settle_s: float = 8.0  # without new troubles at the end


def settings(plan: SoakPlan, me: int, revision: int = 0) -> dict[str, Any]:
    """The settings of one head in the platform's form; another revision has another aim."""
    made = defaults.settings()
    made["balancers"], made["me"] = plan.heads, me
    made["categories"] = [_category(kind, revision) for kind in KINDS]
    made["domain"] |= {
        "class_writes": [kind.writes for kind in KINDS], "cold_bears": COLD_UNITS, "max_units": MOST_UNITS,
        "slots_total": plan.nodes, "usual_units": MEAN_UNITS,
    }  # fmt: skip
    made["guarantees"] |= {
        "cold_share": COLD_SHARE, "fall_multiple": FALL_MULTIPLE, "fall_us": int(FALL_S * 1e6),
        "drain_grace_us": int(DRAIN_GRACE_S * 1e6), "ramp_time_us": int(WARM_AFTER_S * 1e6),
    }  # fmt: skip
    made["permissions"] |= {"max_attempts": MAX_ATTEMPTS, "conn_idle_us": 4_000_000}
    return made


def _category(kind: RequestKind, revision: int) -> dict[str, Any]:
    return {
        "name": kind.name, "aim_us": 400_000 + 50_000 * (revision % 2),
        "give_up_us": int(kind.deadline_s * 1e6),
        "gain": 2.0, "late_share": 0.15, "effect": kind.effect, "group": "all",
        "window_us": int(KEYED_WINDOW_S * 1e6) if kind.effect == "dedup" else 0,
    }  # fmt: skip
