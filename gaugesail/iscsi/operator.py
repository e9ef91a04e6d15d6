"""The operator's file: who is served, which block range belongs to which volume, and where the nodes are."""

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
_ROW_NAMES = {  # field of RequestClass or Plan: key of a [[class]] or [[plan]]
    "priority_weight": "worth",
    "late_weight_share": "late_share",
    "share_weight": "weight",
}
PLAN_FIGURES = {  # keys of a [[plan]] in the order of Plan's fields, with their defaults
    "rate": 0.0,
    "reserve": 0.0,
    "weight": 1.0,
    "price": 1.0,
    "limit": 0.0,
    "limit_burst": 0.0,
    "limit_slack": 0.0,
}
_PLAN_NAMES = _ROW_NAMES | {"priority_weight": "price"}
_RULE_NAMES = {field: key for key, field in RULE_KEYS.items()}


class OperatorError(ValueError):
    """The file cannot be used; the text names the entry."""


@dataclass(slots=True, frozen=True)
class Extent:
    """A range of blocks that lies on one shard and belongs to one volume."""

    first: int
    blocks: int
    volume: int
    plan: int
    shard: int
    hosts: float
    blocks_per_unit: int


@dataclass(slots=True, frozen=True)
class Unit:
    """A logical unit."""

    number: int
    block_size: int
    blocks: int
    extents: tuple[Extent, ...]

    def extent(self, lba: int, count: int) -> Extent | None:
        """The extent that holds the whole range."""
        for extent in self.extents:
            if extent.first <= lba and lba + count <= extent.first + extent.blocks:
                return extent
        return None


@dataclass(slots=True, frozen=True)
class NodeLine:
    """A storage node; its target name is asked for at login."""

    address: tuple[str, int]
    target: str
    node: Endpoint


@dataclass(slots=True, frozen=True)
class Operator:
    """The whole file."""

    listen: tuple[str, int]
    management: tuple[str, int] | None
    target: str
    initiator: str
    settings: Settings
    read_class: int
    write_class: int
    units: dict[int, Unit]
    nodes: dict[bytes, NodeLine]
    connect_timeout_us: int
    sockets: int
    memory_mb: int
    seed: int
    folder: str | None

    @property
    def geometry(self) -> dict[int, tuple[int, int]]:
        """What initiators have been told of the logical units."""
        return {number: (unit.block_size, unit.blocks) for number, unit in self.units.items()}


def _table(owner: dict[str, Any], key: str, kind: type, default: Any = None) -> Any:
    value = owner.get(key, default)
    if isinstance(value, bool) and kind is not bool:
        raise OperatorError(f"{key}: a {kind.__name__} is needed, not {value!r}")
    if kind is float and isinstance(value, int):
        value = float(value)
    if not isinstance(value, kind):
        found = "nothing" if value is None else repr(value)
        raise OperatorError(f"{key}: a {kind.__name__} is needed, not {found}")
    return value


def _each(owner: dict[str, Any], key: str) -> list[tuple[str, dict[str, Any]]]:
    rows = _table(owner, key, list, [])
    if not rows or not all(isinstance(row, dict) for row in rows):
        raise OperatorError(f"at least one [[{key}]] is needed")
    return [(f"[[{key}]] {n}", row) for n, row in enumerate(rows, 1)]


def _whole(row: dict[str, Any], key: str, low: int, high: int, default: int | None = None) -> int:
    value: int = _table(row, key, int, default)
    if not low <= value <= high:
        raise OperatorError(f"{key}: {value} is not from {low} to {high}")
    return value


def _classes(data: dict[str, Any]) -> tuple[RequestClass, ...]:
    classes = []
    for where, row in _each(data, "class"):
        try:
            classes.append(
                RequestClass(
                    _table(row, "name", str),
                    _whole(row, "aim_ms", 1, 3_600_000) * 1000,
                    _whole(row, "deadline_ms", 1, 3_600_000) * 1000,
                    _table(row, "worth", float, 1.0),
                    _table(row, "late_share", float, 0.0),
                    writes=_table(row, "writes", bool, False),
                )
            )
        except InvalidSetting as error:
            raise OperatorError(f"{where}: {error.named(_ROW_NAMES.get(error.name, error.name))}") from None
        except ValueError as error:
            raise OperatorError(f"{where}: {error}") from None
    return tuple(classes)


def _plans(data: dict[str, Any]) -> tuple[Plan, ...]:
    plans = []
    for where, row in _each(data, "plan"):
        try:
            figures = (_table(row, key, float, default) for key, default in PLAN_FIGURES.items())
            plans.append(Plan(_table(row, "name", str), *figures))
        except InvalidSetting as error:
            raise OperatorError(f"{where}: {error.named(_PLAN_NAMES.get(error.name, error.name))}") from None
        except ValueError as error:
            raise OperatorError(f"{where}: {error}") from None
    return tuple(plans)


def _settings(data: dict[str, Any]) -> Settings:
    classes = _classes(data)
    plans = _plans(data)
    rules = _table(data, "rules", dict, {})
    for key in rules:
        if key not in RULE_KEYS:
            raise OperatorError(f"[rules] {key}: unknown; known are {', '.join(sorted(RULE_KEYS))}")
    values = {RULE_KEYS[key]: value for key, value in rules.items()}
    try:
        return Settings(classes=classes, plans=plans, **values)
    except InvalidSetting as error:
        raise OperatorError(f"[rules] {error.named(_RULE_NAMES.get(error.name, error.name))}") from None
    except (ValueError, TypeError) as error:
        raise OperatorError(f"[rules] {error}") from None


def _units(data: dict[str, Any], plans: dict[str, int]) -> dict[int, Unit]:
    units: dict[int, Unit] = {}
    for where, row in _each(data, "lun"):
        try:
            number = _whole(row, "number", 0, 16383)
            size = _whole(row, "block_size", 512, 4096, 512)
            if size & (size - 1):
                raise OperatorError(f"block_size: {size} is no power of two")
            extents: list[Extent] = []
            end = 0
            for which, item in _each(row, "extent"):
                plan = _table(item, "plan", str)
                if plan not in plans:
                    raise OperatorError(f"{which}: plan {plan!r} is not defined")
                extent = Extent(
                    _whole(item, "first", 0, 1 << 48),
                    _whole(item, "blocks", 1, 1 << 48),
                    int(_table(item, "volume", str), 16),
                    plans[plan],
                    _whole(item, "shard", 0, 65535),
                    float(_whole(item, "hosts", 1, 65535, 1)),
                    _whole(item, "blocks_per_unit", 1, 1 << 24, 8),
                )
                if extent.first != end:
                    raise OperatorError(f"{which}: begins at block {extent.first}, not at {end}")
                end += extent.blocks
                extents.append(extent)
            if number in units:
                raise OperatorError(f"number {number} comes twice")
            units[number] = Unit(number, size, end, tuple(extents))
        except ValueError as error:
            raise OperatorError(f"{where}: {error}") from None
    return units


def _nodes(data: dict[str, Any]) -> dict[bytes, NodeLine]:
    nodes: dict[bytes, NodeLine] = {}
    for where, row in _each(data, "node"):
        try:
            name, phase = _table(row, "id", str).encode(), _table(row, "phase", str, "Ready")
            if phase not in STATES:
                raise OperatorError(f"phase: {phase!r} is none of {', '.join(STATES)}")
            if name in nodes:
                raise OperatorError(f"id {name.decode()!r} comes twice")
            address = split_address(row.get("address"))
            started = _whole(row, "up_since_ms", 0, 1 << 52, 0) * 1000
            shard, power = _whole(row, "shard", 0, 65535), _table(row, "power", float, 1.0)
            node = Endpoint(name, shard, STATES[phase], capacity=power, started_us=started)
            nodes[name] = NodeLine(address, _table(row, "target", str, ""), node)
        except (BadList, OperatorError) as error:
            raise OperatorError(f"{where}: {error}") from None
    return nodes


def read_operator(data: dict[str, Any], environ: Mapping[str, str]) -> Operator:
    """A file's contents; OperatorError says which entry is wrong and why."""
    settings = _settings(data)
    writes = [spec.writes for spec in settings.classes]
    if True not in writes or False not in writes:
        raise OperatorError("[[class]]: one class that writes and one that does not are needed")
    target = _table(data, "target", dict, {})
    limits = _table(data, "limits", dict, {})
    key = "listen"
    try:
        listen = split_address(target.get(key))
        key = "management"
        management = split_address(target[key]) if key in target else None
    except BadList as error:
        raise OperatorError(f"[target] {key}: {error}") from None
    return Operator(
        listen,
        management,
        _table(target, "name", str),
        _table(target, "initiator", str, "iqn.2026-12.ee.example:gaugesail"),
        settings,
        writes.index(False),
        writes.index(True),
        _units(data, {plan.name: n for n, plan in enumerate(settings.plans)}),
        _nodes(data),
        _whole(limits, "connect_timeout_ms", 1, 60_000, 250) * 1000,
        available_descriptors(_whole(limits, "sockets", 16, 1 << 20, 1024)),
        _whole(limits, "memory_mb", 32, 1 << 20, 192),
        _whole(target, "seed", 0, 1 << 62, 0),
        _table(target, "folder", str, "") or environ.get("TMPDIR") or None,
    )


def load_operator(path: str) -> Operator:
    try:
        return read_operator(tomllib.loads(Path(path).read_text()), os.environ)
    except (OSError, ValueError) as error:
        raise OperatorError(f"{path}: {error}") from None


def write_toml(data: dict[str, Any], prefix: str = "") -> str:
    """Nested tables as TOML; values before tables, as TOML wants it."""
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
