"""The parameters of a soak, and the settings of its gateways."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .. import defaults

MEAN_UNITS, MAX_UNITS = 2.0, 4
MAX_ATTEMPTS = 4
DRAIN_GRACE_S = 0.25
DEDUP_WINDOW_S = 0.8
INITIAL_CAPACITY_UNITS, INITIAL_CAPACITY_SHARE, OVERLOAD_WINDOW_S, WARM_UP_S = 60.0, 0.31, 1.5, 8.0
OVERLOAD_FACTOR = 3.0
LONGEST_DEADLINES_S = (0.3, 0.8, 1.5, 3.0, 5.0, 10.0)  # each gateway draws one
LONGEST_AIM_S = 0.4
CROWD_SEEDS = 3  # one seed in so many has crowds
SOCKETS = 512
SOCKETS_WITH_CROWDS = 160
MEMORY_MB = (64, 96, 192)  # each gateway draws one
PROGRAM_MB = 48  # a limit of two processes leaves at least this for each of them
# What a process may take beside that with further servers ("Beyond this bench", STANDING).
FURTHER_MB, FURTHER_MB_PER_SERVER = 8.0, 4.0 / 1000


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests, and its share of all requests."""

    name: str
    deadline_share: float  # of the longest deadline of its gateway
    effect: str  # whether it may run again: retryable yes, fragile no, dedup within DEDUP_WINDOW_S
    share: float
    writes: bool


REQUEST_CLASSES = (
    RequestClass("read", 0.75, "retryable", 0.5, False),
    RequestClass("write", 1.0, "retryable", 0.2, True),
    RequestClass("booking", 0.75, "fragile", 0.15, True),
    RequestClass("ledger", 1.0, "dedup", 0.15, True),
)


@dataclass(slots=True, frozen=True)
class SoakPlan:
    """The parameters of a soak."""

    gateways: int = 24
    nodes: int = 8
    servers: int = 0  # further entries of the endpoint list, with a shard of their own each
    seconds: float = 60.0
    seed: int = 1
    rate: float = 12.0  # requests a second at each gateway
    overlap: int = 3  # concurrent faults, at most
    large_share: float = 0.15  # of writes that are large requests
    recovery_s: float = 8.0  # at the end: under load, without new faults

    @property
    def shards(self) -> int:
        """The number of shards: one for each node and each further entry of the list."""
        return self.nodes + self.servers

    @property
    def starves(self) -> bool:
        """Whether gateways have a part of a core at times: in runs with many servers."""
        return self.servers > 0

    @property
    def program_mb(self) -> float:
        """What is left at least for each process of a gateway."""
        return PROGRAM_MB + (FURTHER_MB + FURTHER_MB_PER_SERVER * self.servers if self.servers else 0.0)

    @property
    def has_crowds(self) -> bool:
        """Whether crowds of idle clients come."""
        return self.seed % CROWD_SEEDS == 0


def settings(plan: SoakPlan, index: int, longest_deadline_s: float, revision: int = 0) -> dict[str, Any]:
    """The settings of a gateway in the platform's format.

    Odd and even revisions have different latency objectives.
    """
    result = defaults.settings()
    result["balancers"], result["me"] = plan.gateways, index
    result["categories"] = [
        _category(request_class, longest_deadline_s, revision) for request_class in REQUEST_CLASSES
    ]
    result["domain"] |= {
        "class_writes": [request_class.writes for request_class in REQUEST_CLASSES],
        "cold_bears": INITIAL_CAPACITY_UNITS,
        "max_units": MAX_UNITS, "slots_total": plan.shards, "usual_units": MEAN_UNITS,
    }  # fmt: skip
    result["guarantees"] |= {
        "cold_share": INITIAL_CAPACITY_SHARE, "fall_multiple": OVERLOAD_FACTOR,
        "fall_us": int(OVERLOAD_WINDOW_S * 1e6), "drain_grace_us": int(DRAIN_GRACE_S * 1e6),
        "ramp_time_us": int(WARM_UP_S * 1e6),
    }  # fmt: skip
    result["permissions"] |= {"max_attempts": MAX_ATTEMPTS, "conn_idle_us": 4_000_000}
    return result


def _category(request_class: RequestClass, longest_deadline_s: float, revision: int) -> dict[str, Any]:
    aim_s = min(LONGEST_AIM_S, longest_deadline_s / 2)
    return {
        "name": request_class.name, "aim_us": int(aim_s * (1 + 0.1 * (revision % 2)) * 1e6),
        "give_up_us": int(request_class.deadline_share * longest_deadline_s * 1e6),
        "gain": 2.0, "late_share": 0.15, "effect": request_class.effect, "group": "all",
        "window_us": int(DEDUP_WINDOW_S * 1e6) if request_class.effect == "dedup" else 0,
    }  # fmt: skip
