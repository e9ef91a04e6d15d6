"""The platform's configuration of a gateway: a JSON file and environment variables."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from gaugesail.policy.settings import Settings
from gaugesail.simulator.protocol import WireError
from gaugesail.simulator.settings_text import parse_settings

from .http.endpoint_reader import BadList, split_address
from .http.management import MAX_CONNECTIONS as MAX_MANAGEMENT_CONNECTIONS
from .net import available_descriptors

# For standard streams, the reactor, listeners, discovery, and connections being closed or opened.
RESERVED_DESCRIPTORS = 24
MIN_USABLE_DESCRIPTORS = 4
# Shares of the usable descriptors.  A node has at most four attempts in flight (the largest congestion
# window), so 14 nodes need 56 connections; a few more are idle, or carry an attempt that hangs: it does not
# count against the window, so another attempt tests its node.
CLIENT_PERCENT = 65
CLIENT_OVERFLOW_PERCENT = 5  # for clients whose connections are closed after their answer
NODE_PERCENT = 30


class ConfigError(ValueError):
    """The configuration is invalid; the text names the file or entry and the fault."""


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits on all processes of a gateway together."""

    memory_mb: int = 192
    sockets: int = 1024  # descriptors
    management_connections: int = 0  # reserved, if there is a management address

    def of(self, processes: int) -> Limits:
        """The limits of each of several processes that run in parallel; only the descriptors are divided."""
        return replace(self, sockets=self.sockets // processes)

    @property
    def _usable(self) -> int:
        return max(MIN_USABLE_DESCRIPTORS, self.sockets - RESERVED_DESCRIPTORS - self.management_connections)

    @property
    def client_connections(self) -> int:
        """The maximum of client connections."""
        return self._usable * CLIENT_PERCENT // 100

    @property
    def client_overflow(self) -> int:
        """The maximum of client connections beyond those, which are closed after their answer."""
        return max(1, self._usable * CLIENT_OVERFLOW_PERCENT // 100)

    @property
    def node_connections(self) -> int:
        """The maximum of connections to nodes."""
        return max(1, self._usable * NODE_PERCENT // 100)


@dataclass(slots=True, frozen=True)
class Config:
    """A gateway's complete configuration."""

    name: str
    listen: tuple[str, int]
    management: tuple[str, int] | None
    discovery: tuple[str, int]
    seed: int
    limits: Limits
    settings: Settings
    known: Any  # the endpoint list to start with, in discovery's JSON form; None once it was read
    conn_idle_us: int
    connect_timeout_us: int
    zones: list[str]
    kinds: list[str]
    pushed: bool  # a local agent pushes endpoint lists, which are in force once the agent has them
    folder: str | None  # shared by the processes of this gateway, for handover and state
    raw: dict[str, Any]  # the JSON that was read; once the configuration is in force, its shape


def in_force(config: Config) -> Config:
    """Return a configuration without what only its start or its check needs: a list may be long."""
    return replace(config, raw=shape_of(config.raw), known=None)


# Keys that the protocol defines as optional; a new file must have all other keys of the one in force.
OPTIONAL_KEYS = {
    "aim_stretch", "keep_order", "free_resends", "extra_per_request", "look_back_us", "key_quiet_us", "fleet",
}  # fmt: skip


def shape_of(value: Any) -> Any:
    """Return what ``check_shape`` needs of a configuration: of a list's rows only the entries of all of them.

    The rows themselves, such as those of the endpoint list, are not kept.
    """
    if isinstance(value, dict):
        return {key: shape_of(item) for key, item in value.items()}
    rows = [row for row in value if isinstance(row, dict)] if isinstance(value, list) else []
    if not rows:
        return value
    return [{key: shape_of(item) for key, item in rows[0].items() if all(key in row for row in rows)}]


def check_shape(old: Any, new: Any, path: str = "") -> None:
    """Check that a new configuration has all keys of the old one's shape, with values of the same JSON types.

    Reading replaces missing keys by defaults, so that without this check a file that lost a key would be
    accepted.  ``path`` is the prefix of the entries' names.  Raises ConfigError, which names the entry.
    """
    if isinstance(old, dict) and isinstance(new, dict):
        for key, value in old.items():
            if key in new:
                check_shape(value, new[key], f"{path}{key}.")
            elif key not in OPTIONAL_KEYS:
                raise ConfigError(f"{path}{key}: the entry is missing, but the configuration in force has it")
    elif isinstance(old, list) and isinstance(new, list):
        rows = shape_of(old)
        for n, row in enumerate(new if rows and isinstance(rows[0], dict) else []):
            check_shape(rows[0], row, f"{path}{n}.")
    elif _json_type(old) != _json_type(new) and old is not None:
        raise ConfigError(f"{path.rstrip('.')}: expected a value like {old!r}, got {new!r}")


def _json_type(value: Any) -> str:
    number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return "number" if number else type(value).__name__


def flatten(value: Any, path: str = "") -> list[str]:
    """Convert nested JSON to the path=value lines that ``parse_settings`` reads."""
    if isinstance(value, dict):
        prefix = f"{path}." if path else ""
        return [line for key, item in value.items() for line in flatten(item, f"{prefix}{key}")]
    if isinstance(value, list):
        if any(isinstance(item, (dict, list)) for item in value):
            lines = [f"{path}.count={len(value)}"]
            return lines + [line for n, item in enumerate(value) for line in flatten(item, f"{path}.{n}")]
        return [f"{path}={','.join(_text(item) for item in value)}"]
    return [f"{path}={_text(value)}"]


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value).replace("\n", "_")


def load(environ: Mapping[str, str] | None = None) -> Config:
    """Load the file named by ``BALANCER_CONFIG``; other variables are the defaults of missing entries.

    Raises ConfigError if the file cannot be read or is invalid.
    """
    environ = os.environ if environ is None else environ
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG: expected the path of a file, but the variable is not set")
    try:
        data = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    if not isinstance(data, dict):
        raise ConfigError(f"{path}: expected a JSON object, got {type(data).__name__}")
    return read(data, environ)


def read(data: dict[str, Any], environ: Mapping[str, str]) -> Config:
    """Build a configuration from its JSON form and the environment; raises ConfigError if it is invalid."""
    settings = data.get("settings")
    if not isinstance(settings, dict):
        raise ConfigError(f"settings: expected a JSON object, got {type(settings).__name__}")
    try:
        limits, permissions = data.get("limits", {}), settings.get("permissions", {})
        # class_writes lists classes by position and does not change when classes are added or removed; on
        # this wire a request's method determines whether it writes.
        domain = {key: value for key, value in settings.get("domain", {}).items() if key != "class_writes"}
        management = data.get("management") or environ.get("BALANCER_MANAGEMENT")
        return Config(
            name=str(data.get("name") or environ.get("BALANCER_NAME", "")),
            listen=split_address(data.get("listen") or environ.get("BALANCER_LISTEN")),
            management=split_address(management) if management else None,
            discovery=split_address(data.get("discovery") or environ.get("BALANCER_DISCOVERY")),
            seed=int(str(data.get("seed", "0")), 16),
            limits=Limits(
                int(limits.get("memory_mb", 192)),
                available_descriptors(int(limits.get("sockets", 1024))),
                MAX_MANAGEMENT_CONNECTIONS if management else 0,
            ),
            # On this wire the agent that pushes endpoint lists is watched like discovery itself.
            settings=replace(
                parse_settings("\n".join(flatten(settings | {"domain": domain})).encode()),
                subscribes_to_endpoints=True,
            ),
            known=data.get("known") or {"revision": 0, "complete": True, "members": []},
            conn_idle_us=int(permissions.get("conn_idle_us", 15_000_000)),
            connect_timeout_us=int(permissions.get("connect_timeout_us", 250_000)),
            zones=[str(zone) for zone in settings.get("zones", [])],
            kinds=[str(kind) for kind in settings.get("flavors", [])],
            pushed=settings.get("discovery", "push") != "ask",
            folder=environ.get("TMPDIR") or None,
            raw=data,
        )
    except (BadList, WireError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(str(error)) from None
