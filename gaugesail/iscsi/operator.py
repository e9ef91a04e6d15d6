"""The operator's file: the target, request classes, plans, logical units with their extents, and nodes."""

from __future__ import annotations

import json
import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from gaugesail.policy.events import Endpoint
from gaugesail.policy.settings import InvalidSetting, Plan, RequestClass, Settings

from ..http.endpoint_reader import STATES, BadList, split_address
from ..net import available_descriptors

RULE_KEYS = {  # key of the [rules] table: field of Settings
    "gateways": "gateway_count",
    "me": "gateway_index",
    "tick_us": "tick_us",
    "answer_slack_us": "answer_slack_us",
    "drain_grace_us": "drain_grace_us",
    "fall_us": "overload_window_us",
    "fall_multiple": "overload_factor",
    "cold_share": "initial_capacity_share",
    "warm_after_us": "warm_up_us",
    "cold_units": "initial_capacity_units",
    "quiet_us": "ordered_key_pause_us",
    "budget_free": "retry_budget_free",
    "budget_share": "retry_budget_share",
    "budget_window_us": "retry_budget_window_us",
    "mean_units": "mean_request_units",
    "most_units": "max_request_units",
    "share_worth": "fair_share_weight",
    "spare_worth": "beyond_share_weight",
    "tells_others": "reports_usage_elsewhere",
    "ask_for_lists": "subscribes_to_endpoints",
    "may_cancel": "cancel_allowed",
    "may_probe": "health_checks_allowed",
    "may_tell": "peer_messages_allowed",
    "may_hold_off": "retry_after_allowed",
    "max_attempts": "max_attempts",
    "max_hold_off_us": "max_retry_after_us",
    "shards": "shard_count",
    "clients_mark": "clients_mark_retries",
    "fleet": "fleet_quota",
    "appointments": "recovery_queue",
    "report_fields": "load_report_fields",
}
_CLASS_KEYS = {  # field of RequestClass or Plan: key of a [[class]] or [[plan]]
    "priority_weight": "worth",
    "late_weight_share": "late_share",
    "share_weight": "weight",
}
PLAN_DEFAULTS = {  # keys of a [[plan]] in the order of Plan's fields, with their defaults
    "rate": 0.0,
    "reserve": 0.0,
    "weight": 1.0,
    "price": 1.0,
    "limit": 0.0,
    "limit_burst": 0.0,
    "limit_slack": 0.0,
}
_PLAN_KEYS = _CLASS_KEYS | {"priority_weight": "price"}
_SETTINGS_KEYS = {field: key for key, field in RULE_KEYS.items()}


class OperatorError(ValueError):
    """The file cannot be used; the text names the entry, what is expected and what was read."""


@dataclass(slots=True, frozen=True)
class Extent:
    """A range of blocks that is stored on one shard and belongs to one volume."""

    first: int
    blocks: int
    volume: int
    plan: int  # its index in the settings
    shard: int
    hosts: float  # gateways through which the volume is used
    blocks_per_unit: int  # per unit of work: a command's units are its blocks divided by this, rounded up


@dataclass(slots=True, frozen=True)
class LogicalUnit:
    """A logical unit."""

    number: int
    block_size: int
    blocks: int
    extents: tuple[Extent, ...]

    def extent(self, lba: int, count: int) -> Extent | None:
        """Return the extent that contains the range; None if no single one does."""
        for extent in self.extents:
            if extent.first <= lba and lba + count <= extent.first + extent.blocks:
                return extent
        return None


@dataclass(slots=True, frozen=True)
class StorageNode:
    """A storage node: its address, the target name to log in to, empty for none, and its endpoint."""

    address: tuple[str, int]
    target: str
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class OperatorConfig:
    """The configuration in an operator's file; ``reload_needs_restart`` logs the names of its fields."""

    listen: tuple[str, int]
    management: tuple[str, int] | None
    target: str
    initiator: str
    settings: Settings
    read_class: int
    write_class: int
    units: dict[int, LogicalUnit]
    nodes: dict[bytes, StorageNode]
    connect_timeout_us: int
    sockets: int
    memory_mb: int
    seed: int
    folder: str | None

    @property
    def geometry(self) -> dict[int, tuple[int, int]]:
        """Block size and number of blocks of each logical unit, as initiators have read them."""
        return {number: (unit.block_size, unit.blocks) for number, unit in self.units.items()}


def _value(table: dict[str, Any], key: str, kind: type, default: Any = None) -> Any:
    value = table.get(key, default)
    if isinstance(value, bool) and kind is not bool:
        raise OperatorError(f"{key}: expected {kind.__name__}, got {value!r}")
    if kind is float and isinstance(value, int):
        value = float(value)
    if not isinstance(value, kind):
        received = "nothing" if value is None else repr(value)
        raise OperatorError(f"{key}: expected {kind.__name__}, got {received}")
    return value


def _rows(table: dict[str, Any], key: str) -> list[tuple[str, dict[str, Any]]]:
    rows = _value(table, key, list, [])
    if not rows or not all(isinstance(row, dict) for row in rows):
        raise OperatorError(f"expected at least one [[{key}]]")
    return [(f"[[{key}]] {n}", row) for n, row in enumerate(rows, 1)]


def _integer(row: dict[str, Any], key: str, low: int, high: int, default: int | None = None) -> int:
    value: int = _value(row, key, int, default)
    if not low <= value <= high:
        raise OperatorError(f"{key}: expected {low} to {high}, got {value}")
    return value


def _classes(data: dict[str, Any]) -> tuple[RequestClass, ...]:
    classes = []
    for where, row in _rows(data, "class"):
        try:
            classes.append(
                RequestClass(
                    _value(row, "name", str),
                    _integer(row, "aim_ms", 1, 3_600_000) * 1000,
                    _integer(row, "deadline_ms", 1, 3_600_000) * 1000,
                    _value(row, "worth", float, 1.0),
                    _value(row, "late_share", float, 0.0),
                    writes=_value(row, "writes", bool, False),
                )
            )
        except InvalidSetting as error:
            raise OperatorError(f"{where}: {error.named(_CLASS_KEYS.get(error.name, error.name))}") from None
        except ValueError as error:
            raise OperatorError(f"{where}: {error}") from None
    return tuple(classes)


def _plans(data: dict[str, Any]) -> tuple[Plan, ...]:
    plans = []
    for where, row in _rows(data, "plan"):
        try:
            figures = (_value(row, key, float, default) for key, default in PLAN_DEFAULTS.items())
            plans.append(Plan(_value(row, "name", str), *figures))
        except InvalidSetting as error:
            raise OperatorError(f"{where}: {error.named(_PLAN_KEYS.get(error.name, error.name))}") from None
        except ValueError as error:
            raise OperatorError(f"{where}: {error}") from None
    return tuple(plans)


def _settings(data: dict[str, Any]) -> Settings:
    classes = _classes(data)
    plans = _plans(data)
    rules = _value(data, "rules", dict, {})
    for key in rules:
        if key not in RULE_KEYS:
            raise OperatorError(f"[rules] {key}: unknown key; expected one of {', '.join(sorted(RULE_KEYS))}")
    values = {RULE_KEYS[key]: value for key, value in rules.items()}
    try:
        return Settings(classes=classes, plans=plans, **values)
    except InvalidSetting as error:
        raise OperatorError(f"[rules] {error.named(_SETTINGS_KEYS.get(error.name, error.name))}") from None
    except (ValueError, TypeError) as error:
        raise OperatorError(f"[rules] {error}") from None


def _units(data: dict[str, Any], plans: dict[str, int]) -> dict[int, LogicalUnit]:
    units: dict[int, LogicalUnit] = {}
    for where, row in _rows(data, "lun"):
        try:
            number = _integer(row, "number", 0, 16383)
            size = _integer(row, "block_size", 512, 4096, 512)
            if size & (size - 1):
                raise OperatorError(f"block_size: expected a power of two, got {size}")
            extents: list[Extent] = []
            end = 0
            for which, item in _rows(row, "extent"):
                plan = _value(item, "plan", str)
                if plan not in plans:
                    raise OperatorError(f"{which}: plan {plan!r} is not defined by a [[plan]]")
                extent = Extent(
                    _integer(item, "first", 0, 1 << 48),
                    _integer(item, "blocks", 1, 1 << 48),
                    int(_value(item, "volume", str), 16),
                    plans[plan],
                    _integer(item, "shard", 0, 65535),
                    float(_integer(item, "hosts", 1, 65535, 1)),
                    _integer(item, "blocks_per_unit", 1, 1 << 24, 8),
                )
                if extent.first != end:
                    raise OperatorError(f"{which}: first: expected block {end}, got {extent.first}")
                end += extent.blocks
                extents.append(extent)
            if number in units:
                raise OperatorError(f"number: {number} is used by another [[lun]]")
            units[number] = LogicalUnit(number, size, end, tuple(extents))
        except ValueError as error:
            raise OperatorError(f"{where}: {error}") from None
    return units


def _nodes(data: dict[str, Any]) -> dict[bytes, StorageNode]:
    nodes: dict[bytes, StorageNode] = {}
    for where, row in _rows(data, "node"):
        try:
            node_id, phase = _value(row, "id", str).encode(), _value(row, "phase", str, "Ready")
            if phase not in STATES:
                raise OperatorError(f"phase: expected one of {', '.join(STATES)}, got {phase!r}")
            if node_id in nodes:
                raise OperatorError(f"id: {node_id.decode()!r} is used by another [[node]]")
            address = split_address(row.get("address"))
            started = _integer(row, "up_since_ms", 0, 1 << 52, 0) * 1000
            shard, capacity = _integer(row, "shard", 0, 65535), _value(row, "power", float, 1.0)
            endpoint = Endpoint(node_id, shard, STATES[phase], capacity=capacity, started_us=started)
            nodes[node_id] = StorageNode(address, _value(row, "target", str, ""), endpoint)
        except (BadList, OperatorError) as error:
            raise OperatorError(f"{where}: {error}") from None
    return nodes


def read_operator(data: dict[str, Any], environ: Mapping[str, str]) -> OperatorConfig:
    """Return the configuration in a file's parsed contents.

    Raises OperatorError, which names the entry that is wrong.
    """
    settings = _settings(data)
    writes = [spec.writes for spec in settings.classes]
    if True not in writes or False not in writes:
        raise OperatorError("[[class]]: expected a class that writes and one that does not")
    target = _value(data, "target", dict, {})
    limits = _value(data, "limits", dict, {})
    key = "listen"
    try:
        listen = split_address(target.get(key))
        key = "management"
        management = split_address(target[key]) if key in target else None
    except BadList as error:
        raise OperatorError(f"[target] {key}: {error}") from None
    return OperatorConfig(
        listen,
        management,
        _value(target, "name", str),
        _value(target, "initiator", str, "iqn.2026-12.ee.example:gaugesail"),
        settings,
        writes.index(False),
        writes.index(True),
        _units(data, {plan.name: n for n, plan in enumerate(settings.plans)}),
        _nodes(data),
        _integer(limits, "connect_timeout_ms", 1, 60_000, 250) * 1000,
        available_descriptors(_integer(limits, "sockets", 16, 1 << 20, 1024)),
        _integer(limits, "memory_mb", 32, 1 << 20, 192),
        _integer(target, "seed", 0, 1 << 62, 0),
        _value(target, "folder", str, "") or environ.get("TMPDIR") or None,
    )


def load_operator(path: str) -> OperatorConfig:
    """Read the operator's file at a path.

    Raises OperatorError, which names the path and the entry that is wrong.
    """
    try:
        return read_operator(tomllib.loads(Path(path).read_text()), os.environ)
    except (OSError, ValueError) as error:
        raise OperatorError(f"{path}: {error}") from None


def write_toml(data: dict[str, Any], prefix: str = "") -> str:
    """Return nested tables as TOML, where the values of a table come before its subtables."""
    lines: list[str] = []
    for key, value in data.items():
        rows = isinstance(value, list) and bool(value) and isinstance(value[0], dict)
        if not rows and not isinstance(value, dict):
            lines.append(f"{key} = {json.dumps(value)}")
    for key, value in data.items():
        if isinstance(value, dict):
            lines += ["", f"[{prefix}{key}]", write_toml(value, f"{prefix}{key}.")]
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for item in value:
                lines += ["", f"[[{prefix}{key}]]", write_toml(item, f"{prefix}{key}.")]
    return "\n".join(lines)
