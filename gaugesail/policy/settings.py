"""The settings of one gateway: classes of requests, plans of volumes, and limits of the site.

``cancel_allowed``, ``health_checks_allowed``, ``reports_usage_elsewhere``, ``load_report_fields``,
``answer_slack_us``, ``limit_slack``, ``writes``, ``late_weight_share``, the ``priority_weight`` of classes,
``fair_share_weight`` and ``beyond_share_weight`` are given by the platform and have no effect on the present
policy; the ``priority_weight`` of plans counts only where a fleet divides its limits.  ``drain_grace_us`` and
``shard_count`` are used only outside the policy.

Settings are immutable.  New settings reach a running gateway as a ``SettingsChanged`` event; an open request
keeps those in force when it was received.  All times are integer microseconds, all sizes are units of work.
Every number is checked on construction; ``InvalidSetting`` names the field and what was expected.
"""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from enum import Enum

NodeId = bytes


class InvalidSetting(ValueError):
    """A setting has an invalid value.

    :param name: the field; readers of a file or of a protocol replace it with the key that they read
        (``named``).
    :param expectation: the expected and the received value.
    """

    def __init__(self, name: str, expectation: str) -> None:
        super().__init__(f"{name}: {expectation}")
        self.name = name
        self.expectation = expectation

    def named(self, key: str) -> str:
        """Return the message with the key that the setting has in its source."""
        return f"{key}: {self.expectation}"


class Idempotency(Enum):
    """How often a request may take effect."""

    IDEMPOTENT = "idempotent"  # may be retried and rejected at any time
    KEYED = "keyed"  # nodes of the deduplication scope drop duplicates within the deduplication window
    NOT_IDEMPOTENT = "not-idempotent"  # must never be executed twice


class DeduplicationScope(Enum):
    """Which nodes drop the duplicates of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "shard"


def _require(owner: object, name: str, low: float, above: bool = False) -> None:
    """Raise ``InvalidSetting`` unless a field is a finite number >= ``low``, or > ``low`` with ``above``."""
    value = getattr(owner, name)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise InvalidSetting(name, f"expected a number, got {value!r}")
    if not low <= value < float("inf") or (above and value <= low):
        raise InvalidSetting(name, f"expected a finite number {'>' if above else '>='} {low}, got {value!r}")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests; raises ``InvalidSetting``."""

    name: str
    latency_objective_us: int  # what clients hope for; it guides the congestion windows
    deadline_us: int  # how long a client of this class waits
    priority_weight: float = 1.0  # of one unit answered within the objective
    late_weight_share: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_us: int = 0
    ordered: bool = False  # requests of one key are executed one at a time
    writes: bool = False

    def __post_init__(self) -> None:
        _require(self, "latency_objective_us", 0, above=True)
        _require(self, "deadline_us", 0, above=True)
        for name in ("priority_weight", "late_weight_share", "deduplication_window_us"):
            _require(self, name, 0)


@dataclass(slots=True, frozen=True)
class Plan:
    """The guarantees and limits of each volume on a plan, over all gateways and nodes.

    Rates are in units per second.  Raises ``InvalidSetting``.
    """

    name: str
    rate: float = 0.0  # for which its volumes are sized
    reserve: float = 0.0  # guaranteed rate
    share_weight: float = 1.0  # proportion of what a shard can do beyond the reserves
    priority_weight: float = 1.0  # multiplies that of the request's class
    limit: float = 0.0  # rate limit; 0: none
    limit_burst: float = 0.0  # units
    limit_slack: float = 0.0  # units

    def __post_init__(self) -> None:
        for name in (
            "rate",
            "reserve",
            "share_weight",
            "priority_weight",
            "limit",
            "limit_burst",
            "limit_slack",
        ):
            _require(self, name, 0)


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one gateway; raises ``InvalidSetting``."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    gateway_count: int = 1
    gateway_index: int = 0
    tick_us: int = 1000  # shortest time between two queue checks
    answer_slack_us: int = 0  # by which an answer may miss its client's deadline
    drain_grace_us: int = 0  # during which a draining node may still be sent requests
    # A node that is warming up fails if it receives more than ``overload_factor`` times its present capacity
    # within ``overload_window_us``; 0: nodes need no slow start.
    overload_window_us: int = 0
    overload_factor: float = 1.0
    initial_capacity_share: float = 1.0  # of its full capacity, right after a start
    warm_up_us: int = 0  # longest time from the start to full capacity
    initial_capacity_units: float = 0.0  # in one overload window, right after a start
    ordered_key_pause_us: int = 0  # after an attempt that may still be running
    retry_budget_free: float = 0.0  # retries in one window, regardless of received requests
    retry_budget_share: float = 0.0  # further retries per request received in the window
    retry_budget_window_us: int = 0  # 0: the number of retries is not limited
    mean_request_units: float = 1.0
    max_request_units: float = 1.0
    fair_share_weight: float = 1.0  # weight of a unit within the volume's fair share; 1 within its reserve
    beyond_share_weight: float = 1.0  # weight of a unit beyond its fair share
    reports_usage_elsewhere: bool = False
    subscribes_to_endpoints: bool = False
    cancel_allowed: bool = False
    health_checks_allowed: bool = False
    peer_messages_allowed: bool = False
    retry_after_allowed: bool = False
    max_attempts: int = 1
    max_retry_after_us: int = 0
    shard_count: int = 0  # 0: unknown
    clients_mark_retries: bool = False
    fleet_quota: bool = False  # the fleet divides limits among the running gateways (``QuotaChanged``)
    recovery_queue: bool = True  # clients rejected at an unavailable or recovering shard get a turn
    load_report_fields: tuple[str, ...] = field(default=())

    @property
    def longest_retry_after_us(self) -> int:
        """The longest Retry-After time that clients may get, in microseconds; 0: they get none."""
        return self.max_retry_after_us if self.retry_after_allowed else 0

    def __post_init__(self) -> None:
        if not self.classes:
            raise InvalidSetting("classes", "expected at least one, got none")
        if not self.plans:
            raise InvalidSetting("plans", "expected at least one, got none")
        for named in (self.classes, self.plans):
            if len({item.name for item in named}) < len(named):
                raise InvalidSetting("classes, plans", "expected unique names, got a duplicate")
        _require(self, "gateway_count", 1)
        _require(self, "overload_factor", 1)
        _require(self, "max_attempts", 1)
        _require(self, "mean_request_units", 0, above=True)
        _require(self, "initial_capacity_share", 0, above=True)
        if not 0 <= self.gateway_index < self.gateway_count:
            expectation = f"expected 0 <= index < {self.gateway_count}, got {self.gateway_index!r}"
            raise InvalidSetting("gateway_index", expectation)
        for item in fields(self):
            if item.type in ("int", "float"):
                _require(self, item.name, 0)
