"""Reader of the settings of the simulator and of ``BALANCER_CONFIG``: lines of ``key=value``.

Each key is mapped to a field of the gateway's settings; unknown keys are ignored.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from ..policy.settings import (
    DeduplicationScope,
    Idempotency,
    InvalidSetting,
    Plan,
    RequestClass,
    Settings,
)
from .protocol import WireError


def _flag(text: str) -> bool:
    return text == "true"


def _names(text: str) -> tuple[str, ...]:
    return tuple(text.split(",")) if text else ()


def _idempotency(text: str) -> Idempotency:
    return {
        "retryable": Idempotency.IDEMPOTENT,
        "dedup": Idempotency.KEYED,
        "fragile": Idempotency.NOT_IDEMPOTENT,
    }[text]


def _deduplication_scope(text: str) -> DeduplicationScope:
    return {
        "all": DeduplicationScope.ALL,
        "zone": DeduplicationScope.ZONE,
        "cell": DeduplicationScope.SHARD,
    }[text]


def _subscribes(text: str) -> bool:
    return text == "ask"


@dataclass(slots=True, frozen=True)
class SettingKey:
    """The key of a setting, the conversion of its value, and the default value."""

    path: str
    convert: Callable[[str], Any]  # raises ValueError or KeyError
    default: str | None = None  # None: the setting is required


# Keyed by the field that each setting sets.
CLASS_KEYS = {
    "name": SettingKey("name", str),
    "latency_objective_us": SettingKey("aim_us", int),
    "deadline_us": SettingKey("give_up_us", int),
    "priority_weight": SettingKey("gain", float, "1"),
    "late_weight_share": SettingKey("late_share", float, "0"),
    "idempotency": SettingKey("effect", _idempotency, "retryable"),
    "deduplication_scope": SettingKey("group", _deduplication_scope, "all"),
    "deduplication_window_us": SettingKey("window_us", int, "0"),
    "ordered": SettingKey("keep_order", _flag, "false"),
}
PLAN_KEYS = {
    "name": SettingKey("name", str),
    "rate": SettingKey("rate", float, "0"),
    "reserve": SettingKey("reserve", float, "0"),
    "share_weight": SettingKey("parts", float, "1"),
    "priority_weight": SettingKey("pays", float, "1"),
    "limit": SettingKey("never_over", float, "0"),
    "limit_burst": SettingKey("most_at_once", float, "0"),
    "limit_slack": SettingKey("limit_slack", float, "0"),
}
SITE_KEYS = {
    "gateway_count": SettingKey("balancers", int),
    "gateway_index": SettingKey("me", int),
    "tick_us": SettingKey("tick_us", int, "1000"),
    "answer_slack_us": SettingKey("guarantees.answer_slack_us", int, "0"),
    "drain_grace_us": SettingKey("guarantees.drain_grace_us", int, "0"),
    "overload_window_us": SettingKey("guarantees.fall_us", int, "0"),
    "overload_factor": SettingKey("guarantees.fall_multiple", float, "1"),
    "initial_capacity_share": SettingKey("guarantees.cold_share", float, "1"),
    "warm_up_us": SettingKey("guarantees.ramp_time_us", int, "0"),
    "initial_capacity_units": SettingKey("domain.cold_bears", float, "0"),
    "ordered_key_pause_us": SettingKey("guarantees.key_quiet_us", int, "0"),
    "retry_budget_free": SettingKey("guarantees.free_resends", float, "0"),
    "retry_budget_share": SettingKey("guarantees.extra_per_request", float, "0"),
    "retry_budget_window_us": SettingKey("guarantees.look_back_us", int, "0"),
    "mean_request_units": SettingKey("domain.usual_units", float, "1"),
    "max_request_units": SettingKey("domain.max_units", float, "1"),
    "fair_share_weight": SettingKey("domain.fair_worth", float, "1"),
    "beyond_share_weight": SettingKey("domain.beyond_share", float, "1"),
    "reports_usage_elsewhere": SettingKey("domain.tells_elsewhere", _flag, "false"),
    "subscribes_to_endpoints": SettingKey("discovery", _subscribes, "push"),
    "cancel_allowed": SettingKey("permissions.cancel", _flag, "false"),
    "health_checks_allowed": SettingKey("permissions.probes", _flag, "false"),
    "peer_messages_allowed": SettingKey("permissions.peers", _flag, "false"),
    "retry_after_allowed": SettingKey("permissions.retry_after", _flag, "false"),
    "max_attempts": SettingKey("permissions.max_attempts", int, "1"),
    "max_retry_after_us": SettingKey("permissions.max_retry_after_us", int, "0"),
    "shard_count": SettingKey("domain.slots_total", int, "0"),
    "clients_mark_retries": SettingKey("clients.marks_retry", _flag, "false"),
    "load_report_fields": SettingKey("load_info.fields", _names, ""),
}


class SettingsText:
    """The keys and values of a settings text; raises ``WireError`` if it is not UTF-8."""

    def __init__(self, text: bytes) -> None:
        try:
            lines = text.decode().splitlines()
        except UnicodeDecodeError:
            raise WireError("settings: expected UTF-8 text") from None
        self._values = dict(line.partition("=")[::2] for line in lines if line)

    def read(self, keys: Mapping[str, SettingKey], prefix: str = "") -> dict[str, Any]:
        """Return the values of the fields in ``keys``, whose paths follow ``prefix``.

        Raises ``WireError``, which names the key, if a value is missing or invalid.
        """
        values = {}
        for name, key in keys.items():
            path = prefix + key.path
            value = self._values.get(path, key.default)
            if value is None:
                raise WireError(f"setting {path} is missing")
            try:
                values[name] = key.convert(value)
            except (ValueError, KeyError):
                raise WireError(f"setting {path}: invalid value {value!r}") from None
        return values

    def count(self, name: str) -> int:
        """Return the number of groups with a name; raise ``WireError`` if it is missing or not a number."""
        value = self._values.get(f"{name}.count", "")
        if not value.isdigit():
            raise WireError(f"setting {name}.count: expected a number, got {value!r}")
        return int(value)

    def class_writes(self) -> list[str]:
        """Return for each class whether it writes, as text; a single empty text if this is not given."""
        return self._values.get("domain.class_writes", "").split(",")


def parse_settings(text: bytes) -> Settings:
    """Parse the settings of a gateway; raise ``WireError``, which names the key, if one is invalid."""
    values = SettingsText(text)
    try:
        classes = _read_classes(values)
        plans = tuple(
            Plan(**values.read(PLAN_KEYS, f"contracts.{i}.")) for i in range(values.count("contracts"))
        )
        return Settings(classes=classes, plans=plans, **values.read(SITE_KEYS))
    except InvalidSetting as error:
        key = SITE_KEYS.get(error.name) or CLASS_KEYS.get(error.name) or PLAN_KEYS.get(error.name)
        raise WireError(f"setting {error.named(key.path if key is not None else error.name)}") from None


def _read_classes(values: SettingsText) -> tuple[RequestClass, ...]:
    writes = values.class_writes()
    classes = tuple(
        RequestClass(**values.read(CLASS_KEYS, f"categories.{i}."), writes=writes[i : i + 1] == ["true"])
        for i in range(values.count("categories"))
    )
    if writes != [""] and len(writes) != len(classes):
        raise WireError(f"setting domain.class_writes: expected {len(classes)} values, got {len(writes)}")
    return classes
