"""The platform's configuration of a gateway: its JSON file and its environment."""

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
from .http.management import MAX_CONNECTIONS as MAX_CALLS
from .net import available_descriptors

# Standard streams, the reactor's own, the listeners, discovery, and what is closing or still connecting.
RESERVED_DESCRIPTORS = 24
FEWEST_USABLE = 4  # descriptors, however few there are
# Of the descriptors that are left.  A node has at most four attempts in flight (the largest congestion
# window), so that 14 nodes use 56; a few more connections rest after an answer, or are stuck beside a trial.
CLIENT_PERCENT = 65
CLIENT_OVERFLOW_PERCENT = 5  # clients whose connections end with their answer
NODE_PERCENT = 30


class ConfigError(ValueError):
    """The configuration cannot be used; the text names what is wrong."""


@dataclass(slots=True, frozen=True)
class Limits:
    """What the processes of a gateway may hold together."""

    memory_mb: int = 192
    sockets: int = 1024
    calls: int = 0  # connections of the second address, where there is one

    def of(self, processes: int) -> Limits:
        """The limits of one of several processes that run beside each other."""
        return replace(self, sockets=self.sockets // processes)

    @property
    def _usable(self) -> int:
        return max(FEWEST_USABLE, self.sockets - RESERVED_DESCRIPTORS - self.calls)

    @property
    def client_connections(self) -> int:
        """How many clients may be connected."""
        return self._usable * CLIENT_PERCENT // 100

    @property
    def client_overflow(self) -> int:
        """How many clients beyond those may be connected until their answer."""
        return max(1, self._usable * CLIENT_OVERFLOW_PERCENT // 100)

    @property
    def node_connections(self) -> int:
        """How many connections to nodes there may be."""
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
    known: Any
    conn_idle_us: int
    connect_timeout_us: int
    zones: list[str]
    kinds: list[str]
    pushed: bool  # lists come from an agent beside the gateway, and bind it from when the agent has them
    folder: str | None  # where the next process of this gateway finds what it is to know
    raw: dict[str, Any]  # as it was read


# What the wire says may be absent; any other key of the file in force must be in the one that replaces it.
OPTIONAL = {
    "aim_stretch", "keep_order", "free_resends", "extra_per_request", "look_back_us", "key_quiet_us", "fleet",
}  # fmt: skip


def check_shape(old: Any, new: Any, path: str = "") -> None:
    """Check that a file that replaces another is complete: it has all that the other has, in its form.

    Reading fills what is missing with defaults, so that a file with a key lost would pass for a good one.
    Raises ConfigError, which names the entry.
    """
    if isinstance(old, dict) and isinstance(new, dict):
        for key, value in old.items():
            if key in new:
                check_shape(value, new[key], f"{path}{key}.")
            elif key not in OPTIONAL:
                raise ConfigError(f"{path}{key}: it is missing")
    elif isinstance(old, list) and isinstance(new, list):
        rows = [row for row in old if isinstance(row, dict)]
        first = rows[0] if rows else {}
        shared = {key: value for key, value in first.items() if all(key in row for row in rows)}
        for n, row in enumerate(new if rows else []):
            check_shape(shared, row, f"{path}{n}.")
    elif _form(old) != _form(new) and old is not None:
        raise ConfigError(f"{path.rstrip('.')}: {new!r} stands where {old!r} was")


def _form(value: Any) -> str:
    number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return "number" if number else type(value).__name__


def flatten(value: Any, path: str = "") -> list[str]:
    """Nested JSON as the path=value lines that ``parse_settings`` reads."""
    if isinstance(value, dict):
        prefix = f"{path}." if path else ""
        return [line for key, item in value.items() for line in flatten(item, f"{prefix}{key}")]
    if isinstance(value, list):
        if any(isinstance(item, (dict, list)) for item in value):
            lines = [f"{path}.count={len(value)}"]
            return lines + [line for n, item in enumerate(value) for line in flatten(item, f"{path}.{n}")]
        return [f"{path}={','.join(_plain(item) for item in value)}"]
    return [f"{path}={_plain(value)}"]


def _plain(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value).replace("\n", "_")


def load(environ: Mapping[str, str] | None = None) -> Config:
    """The configuration that ``BALANCER_CONFIG`` names; the other variables stand in for what it lacks."""
    environ = os.environ if environ is None else environ
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG is not set")
    try:
        data = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    if not isinstance(data, dict):
        raise ConfigError(f"{path}: an object is needed")
    return read(data, environ)


def read(data: dict[str, Any], environ: Mapping[str, str]) -> Config:
    """A configuration from its JSON form."""
    settings = data.get("settings")
    if not isinstance(settings, dict):
        raise ConfigError("settings: an object is needed")
    try:
        limits, permissions = data.get("limits", {}), settings.get("permissions", {})
        # Which classes write is given by position, and stays as it was when classes are added or dropped; a
        # request's method tells it here.
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
                MAX_CALLS if management else 0,
            ),
            # On this wire an agent that lists are pushed to is watched like discovery itself.
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
